"""Marks that identify an agent's processes, so that it finds them again after the loss of its journal."""

from zlib import crc32


def folder_digest(folder: str) -> str:
    """CRC-32 of an agent's folder name, 8 hex digits."""
    return f"{crc32(folder.encode()):08x}"


def process_mark(seed: int, folder: str, build: int, port: int) -> str:
    """The mark of a new process; `seed` makes it unique."""
    return f"{seed:016x}-{folder_digest(folder)}-{build}-{port}"


def find_running_processes(kernel, folder: str) -> dict[str, dict]:
    """Maps the mark of each running process that an agent of this folder started to its journal row.

    After a lost journal, a place would otherwise start a second instance of a running build. Each process
    counts as listed: one that is up must be drained before it ends, and one that was still starting is
    detected by its first failed hits or its exit.
    """
    found = {}
    for _, mark in kernel.marked_processes():
        try:
            _, digest, build, port = mark.split("-")
            if digest == folder_digest(folder):
                found[mark] = {"mark": mark, "build": int(build), "port": int(port), "listed": True}
        except ValueError:
            continue  # of another program, or of an older version
    return found
