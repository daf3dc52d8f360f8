"""Cases of files and child processes, on both kernels."""

import os
import sys

from conform import MS, case, file_case, told

from cobaltpond.loop import Deadline, Sleep


@file_case
def a_file_that_is_not_there(kernel, folder):
    return (
        kernel.read_file(f"{folder}/no"),
        kernel.file_size(f"{folder}/no"),
        kernel.list_folder(f"{folder}/no"),
        told(lambda: kernel.file_age(f"{folder}/no")),
        told(lambda: kernel.truncate(f"{folder}/no", 1)),
        told(lambda: kernel.rename(f"{folder}/no", f"{folder}/x")),
        kernel.remove(f"{folder}/no"),
        told(lambda: kernel.write_file(f"{folder}/no/file", b"")),
        told(lambda: kernel.sync_folder(f"{folder}/no")),
    )


@file_case
def written_replaced_and_listed(kernel, folder):
    kernel.make_folder(f"{folder}/a/b")
    kernel.make_folder(f"{folder}/a/b")
    kernel.write_file(f"{folder}/a/z", b"one")
    kernel.write_file(f"{folder}/a/z", b"2")
    kernel.replace_file(f"{folder}/a/y", b"two")
    kernel.replace_file(f"{folder}/a/y", b"three", sync=False)
    kernel.sync_folder(f"{folder}/a")
    return (
        kernel.list_folder(f"{folder}/a"),
        kernel.read_file(f"{folder}/a/z"),
        kernel.read_file(f"{folder}/a/y"),
        kernel.file_size(f"{folder}/a/y"),
        kernel.file_age(f"{folder}/a/y") < 5_000_000,
        kernel.free_space(folder) > 0,
    )


@file_case
def folders_are_renamed_and_removed_whole(kernel, folder):
    kernel.make_folder(f"{folder}/new/tree")
    kernel.write_file(f"{folder}/new/tree/file", b"x", 0o755)
    kernel.rename(f"{folder}/new", f"{folder}/42")
    there = kernel.read_file(f"{folder}/42/tree/file"), kernel.list_folder(f"{folder}/new")
    kernel.make_folder(f"{folder}/full")
    kernel.write_file(f"{folder}/full/file", b"y")
    clash = told(lambda: kernel.rename(f"{folder}/42", f"{folder}/full"))
    kernel.remove(f"{folder}/42")
    return there, clash, kernel.list_folder(folder)


@file_case
def a_file_over_a_file_and_a_folder_over_one(kernel, folder):
    kernel.write_file(f"{folder}/a", b"a")
    kernel.write_file(f"{folder}/b", b"b")
    kernel.rename(f"{folder}/a", f"{folder}/b")
    return (
        kernel.list_folder(folder),
        kernel.read_file(f"{folder}/b"),
        told(lambda: kernel.make_folder(f"{folder}/b")),
    )


@file_case
def appended_flushed_and_cut(kernel, folder):
    file = kernel.append_file(f"{folder}/log")
    file.write(b"one\n")
    before = kernel.read_file(f"{folder}/log")
    file.flush()
    after = kernel.read_file(f"{folder}/log")
    file.write(b"two\n")
    file.sync()
    file.close()
    kernel.truncate(f"{folder}/log", 6)
    again = kernel.append_file(f"{folder}/log")
    again.write(b"!")
    again.close()
    again.close()
    return before, after, kernel.read_file(f"{folder}/log")


@file_case
def a_large_write_does_not_wait_for_a_flush(kernel, folder):
    file = kernel.append_file(f"{folder}/log")
    for _ in range(40):
        file.write(bytes(10_000))
    return kernel.file_size(f"{folder}/log") > 0


@file_case
def a_lock_is_held_by_one(kernel, folder):
    held = kernel.lock_file(f"{folder}/lock")
    second = told(lambda: kernel.lock_file(f"{folder}/lock"))
    held.close()
    return second, told(lambda: kernel.lock_file(f"{folder}/lock").close())


@file_case
def programs_that_are_not_there_or_no_programs(kernel, folder):
    kernel.write_file(f"{folder}/data", b"no program", 0o755)
    return (
        told(lambda: kernel.spawn([f"{folder}/none"], f"{folder}/out")),
        told(lambda: kernel.spawn([f"{folder}/data"], f"{folder}/out")),
        kernel.adopt_process("nobody carries this"),
    )


@case
def a_child_that_ends_by_itself(loop, folder):
    loop.kernel.write_file(f"{folder}/serve", b"#!/bin/sh\nexit 3\n", 0o755)
    child = loop.kernel.spawn([f"{folder}/serve"], f"{folder}/out", "a-mark-of-its-own")
    with Deadline(loop, 5_000 * MS):
        while child.ended() is None:
            yield Sleep(5 * MS)
    child.signal("KILL")  # nobody is hit by a signal to who is gone
    return child.ended(), loop.kernel.adopt_process("a-mark-of-its-own")


@case
def a_child_that_is_stopped_goes_on_and_is_killed(loop, folder):
    sheet = os.path.join(
        os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "examples", "resale.star"
    )
    loop.kernel.write_file(
        f"{folder}/sheet.star", open(sheet, "rb").read().replace(b"/var/lib", folder.encode())
    )
    child = loop.kernel.spawn(
        [sys.executable, "-m", "cobaltpond", "gateway", f"{folder}/sheet.star", "--number", "0"],
        f"{folder}/out.log",
        "another-mark",
    )
    yield Sleep(5 * MS)
    found = loop.kernel.adopt_process("another-mark")
    child.signal("STOP")
    yield Sleep(5 * MS)
    stopped = child.ended()
    child.signal("CONT")
    child.signal("KILL")
    with Deadline(loop, 5_000 * MS):
        while child.ended() is None:
            yield Sleep(5 * MS)
    return found is not None and found.pid == child.pid, stopped, child.ended(), found.ended()
