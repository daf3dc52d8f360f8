"""Cases on files and child processes, for both kernels."""

import os
import sys

from conform import MS, case, file_case, value_or_error

from cobaltpond.loop import Deadline, Sleep


@file_case
def missing_file(kernel, folder):
    return (
        kernel.read_file(f"{folder}/no"),
        kernel.file_size(f"{folder}/no"),
        kernel.list_folder(f"{folder}/no"),
        value_or_error(lambda: kernel.file_age(f"{folder}/no")),
        value_or_error(lambda: kernel.truncate(f"{folder}/no", 1)),
        value_or_error(lambda: kernel.rename(f"{folder}/no", f"{folder}/x")),
        kernel.remove(f"{folder}/no"),
        value_or_error(lambda: kernel.write_file(f"{folder}/no/file", b"")),
        value_or_error(lambda: kernel.sync_folder(f"{folder}/no")),
    )


@file_case
def write_replace_and_list(kernel, folder):
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
def rename_and_remove_folders(kernel, folder):
    kernel.make_folder(f"{folder}/new/tree")
    kernel.write_file(f"{folder}/new/tree/file", b"x", 0o755)
    kernel.rename(f"{folder}/new", f"{folder}/42")
    moved = kernel.read_file(f"{folder}/42/tree/file"), kernel.list_folder(f"{folder}/new")
    kernel.make_folder(f"{folder}/full")
    kernel.write_file(f"{folder}/full/file", b"y")
    clash = value_or_error(lambda: kernel.rename(f"{folder}/42", f"{folder}/full"))
    kernel.remove(f"{folder}/42")
    return moved, clash, kernel.list_folder(folder)


@file_case
def rename_over_file_and_folder_over_file(kernel, folder):
    kernel.write_file(f"{folder}/a", b"a")
    kernel.write_file(f"{folder}/b", b"b")
    kernel.rename(f"{folder}/a", f"{folder}/b")
    return (
        kernel.list_folder(folder),
        kernel.read_file(f"{folder}/b"),
        value_or_error(lambda: kernel.make_folder(f"{folder}/b")),
    )


@file_case
def append_flush_and_truncate(kernel, folder):
    file = kernel.append_file(f"{folder}/log")
    file.write(b"one\n")
    before = kernel.read_file(f"{folder}/log")
    file.flush()
    after = kernel.read_file(f"{folder}/log")
    file.write(b"two\n")
    file.sync()
    file.close()
    kernel.truncate(f"{folder}/log", 6)
    reopened = kernel.append_file(f"{folder}/log")
    reopened.write(b"!")
    reopened.close()
    reopened.close()
    return before, after, kernel.read_file(f"{folder}/log")


@file_case
def append_buffer_is_bounded(kernel, folder):
    file = kernel.append_file(f"{folder}/log")
    for _ in range(40):
        file.write(bytes(10_000))
    return kernel.file_size(f"{folder}/log") > 0


@file_case
def file_lock_is_exclusive(kernel, folder):
    lock = kernel.lock_file(f"{folder}/lock")
    second = value_or_error(lambda: kernel.lock_file(f"{folder}/lock"))
    lock.close()
    return second, value_or_error(lambda: kernel.lock_file(f"{folder}/lock").close())


@file_case
def spawn_missing_or_invalid_program(kernel, folder):
    kernel.write_file(f"{folder}/data", b"no program", 0o755)
    return (
        value_or_error(lambda: kernel.spawn([f"{folder}/none"], f"{folder}/out")),
        value_or_error(lambda: kernel.spawn([f"{folder}/data"], f"{folder}/out")),
        kernel.adopt_process("no process has this mark"),
    )


@case
def child_exit_code(loop, folder):
    loop.kernel.write_file(f"{folder}/serve", b"#!/bin/sh\nexit 3\n", 0o755)
    child = loop.kernel.spawn([f"{folder}/serve"], f"{folder}/out", "a-mark-of-its-own")
    with Deadline(loop, 5_000 * MS):
        while child.ended() is None:
            yield Sleep(5 * MS)
    child.signal("KILL")  # a signal to an ended process reaches no other process
    return child.ended(), loop.kernel.adopt_process("a-mark-of-its-own")


@case
def child_stop_continue_and_kill(loop, folder):
    settings_path = os.path.join(
        os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "examples", "resale.star"
    )
    loop.kernel.write_file(
        f"{folder}/settings.star", open(settings_path, "rb").read().replace(b"/var/lib", folder.encode())
    )
    child = loop.kernel.spawn(
        [sys.executable, "-m", "cobaltpond", "gateway", f"{folder}/settings.star", "--number", "0"],
        f"{folder}/out.log",
        "another-mark",
    )
    yield Sleep(5 * MS)
    adopted = loop.kernel.adopt_process("another-mark")
    child.signal("STOP")
    yield Sleep(5 * MS)
    stopped = child.ended()
    child.signal("CONT")
    child.signal("KILL")
    with Deadline(loop, 5_000 * MS):
        while child.ended() is None:
            yield Sleep(5 * MS)
    return adopted is not None and adopted.pid == child.pid, stopped, child.ended(), adopted.ended()
