"""A simulated disk: what a program sees, and what is left of it after a power cut.

A file's bytes are safe once synced, a name once its folder is synced; renames too (rename(2), fsync(2)).
After a power cut each change that was not safe is there or not by chance, and of bytes that were not synced a
part from the front. Faults: no room (ENOSPC, half of the write done), a sync that fails (EIO; what was to be
synced is not safe).
"""

import errno


class File:
    def __init__(self, at: int):
        self.data, self.safe, self.at = bytearray(), b"", at


class Folder:
    def __init__(self):
        self.entries, self.safe = {}, {}


class Disk:
    def __init__(self, world):
        self.world, self.root, self.chance = world, Folder(), world.chance("disk")
        self.full, self.failing, self.writes = {}, {}, 0  # folder path -> faults that strike below it
        self.space = 1 << 40

    # --- finding things -------------------------------------------------------------------------------------

    @staticmethod
    def parts(path: str) -> list:
        return [part for part in path.split("/") if part]

    def lookup(self, path: str):
        """The file or folder, or None."""
        here = self.root
        for part in self.parts(path):
            if not isinstance(here, Folder) or part not in here.entries:
                return None
            here = here.entries[part]
        return here

    def parent(self, path: str) -> tuple[Folder, str]:
        *above, name = self.parts(path)
        folder = self.lookup("/".join(above))
        if not isinstance(folder, Folder):
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        return folder, name

    def file(self, path: str) -> File:
        found = self.lookup(path)
        if not isinstance(found, File):
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        return found

    def is_faulty(self, faults: dict, path: str) -> bool:
        return any(
            count and ("/" + path.strip("/") + "/").startswith(folder.rstrip("/") + "/")
            for folder, count in faults.items()
        )

    def check_space(self, path: str) -> None:
        if self.is_faulty(self.full, path):
            raise OSError(errno.ENOSPC, "No space left on device", path)

    def check_io(self, path: str) -> None:
        if self.is_faulty(self.failing, path):
            raise OSError(errno.EIO, "Input/output error", path)

    # --- what programs do -----------------------------------------------------------------------------------

    def create(self, path: str) -> File:
        folder, name = self.parent(path)
        found = folder.entries.get(name)
        if isinstance(found, Folder):
            raise IsADirectoryError(errno.EISDIR, "Is a directory", path)
        if found is None:
            found = folder.entries[name] = File(self.world.time)
        return found

    def write(self, path: str, data: bytes, sync: bool) -> None:
        file = self.create(path)
        self.writes += 1
        file.at = self.world.time
        try:
            self.check_space(path)
        except OSError:
            file.data[:] = data[: len(data) // 2]
            raise
        file.data[:] = data
        if sync:
            self.sync(path, file)

    def sync(self, path: str, file: File) -> None:
        self.check_io(path)
        file.safe = bytes(file.data)

    def rename(self, path: str, to: str) -> None:
        source, name = self.parent(path)
        if name not in source.entries:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        target, new = self.parent(to)
        there = target.entries.get(new)
        if isinstance(there, Folder) and there.entries:
            raise OSError(errno.ENOTEMPTY, "Directory not empty", to)
        moved = source.entries.pop(name)
        target.entries[new] = moved
        self.writes += 1

    def sync_folder(self, path: str) -> None:
        folder = self.lookup(path)
        if not isinstance(folder, Folder):
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        self.check_io(path)
        folder.safe = dict(folder.entries)

    def make_folder(self, path: str) -> None:
        here = self.root
        for part in self.parts(path):
            here = here.entries.setdefault(part, Folder())
            if not isinstance(here, Folder):
                raise FileExistsError(errno.EEXIST, "File exists", path)

    def remove(self, path: str) -> None:
        try:
            folder, name = self.parent(path)
        except FileNotFoundError:
            return
        if folder.entries.pop(name, None) is not None:
            self.writes += 1

    # --- a power cut ----------------------------------------------------------------------------------------

    def power_cut(self, path: str) -> None:
        """What lies under a folder is as its disk has it."""
        found = self.lookup(path)
        if found is not None:
            self.fall_back(found, set())
        self.world.record_event("power cut", path)

    def fall_back(self, node, seen: set) -> None:
        if id(node) in seen:
            return
        seen.add(id(node))
        if isinstance(node, File):
            if bytes(node.data) != node.safe:
                if bytes(node.data[: len(node.safe)]) == node.safe:
                    node.data[:] = node.data[: self.chance.randrange(len(node.safe), len(node.data) + 1)]
                else:  # written over in place: some of the new, or the old
                    kept = self.chance.choice(
                        (node.safe, bytes(node.data[: self.chance.randrange(0, len(node.data) + 1)]))
                    )
                    node.data[:] = kept
                node.safe = bytes(node.data)
            return
        names = sorted({*node.entries, *node.safe})
        entries = {}
        for name in names:
            now, safe = node.entries.get(name), node.safe.get(name)
            kept = now if now is safe or self.chance.random() < 0.5 else safe
            if kept is not None:
                entries[name] = kept
        node.entries, node.safe = entries, dict(entries)
        for name in sorted(entries):
            self.fall_back(entries[name], seen)
