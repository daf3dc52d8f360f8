"""Marks of an agent's processes: they say what each is, so that one is known again though the journal is
lost."""

from zlib import crc32


def folder_digest(folder: str) -> str:
    return f"{crc32(folder.encode()):08x}"


def process_mark(seed: int, folder: str, build: int, port: int) -> str:
    return f"{seed:016x}-{folder_digest(folder)}-{build}-{port}"


def find_running_processes(kernel, folder: str) -> dict[str, dict]:
    """Mark -> what the journal would know, of every living process that an agent of this folder began. Guards
    against a lost journal that would have a place run twice what it runs already. Each counts as listed: one
    that is up is owed a drain, and one that was starting is found by its first hits or its end."""
    found = {}
    for _, mark in kernel.marked_processes():
        try:
            _, here, build, port = mark.split("-")
            if here == folder_digest(folder):
                found[mark] = {"mark": mark, "build": int(build), "port": int(port), "listed": True}
        except ValueError:
            continue  # another program's, or of a version before
    return found
