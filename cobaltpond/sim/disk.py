"""A simulated disk: what a program reads and writes, and what remains of it after a power loss.

The bytes of a file are durable once it is synced; a name, also after a rename, once its folder is synced
(rename(2), fsync(2)). After a power loss each change that was not durable is present or absent at random,
and of appended bytes that were not synced a random prefix remains (torn write). Faults: the disk is full
(ENOSPC, half of the write is done), or a sync fails (EIO; the data does not become durable).
"""

import errno


class File:
    """A file: `data` as programs see it, `synced` as a power loss leaves it; `modified_at` in us."""

    def __init__(self, modified_at: int):
        self.data, self.synced, self.modified_at = bytearray(), b"", modified_at


class Folder:
    """A folder: `entries` (name -> File or Folder) as programs see it, `synced` as a power loss leaves it."""

    def __init__(self):
        self.entries, self.synced = {}, {}


class Disk:
    """The disk that all simulated processes share; paths are absolute, with "/" between names.

    `full_folders` and `sync_failing_folders` map a folder's path to the number of faults in force below it;
    `free_bytes` is what an unaffected folder reports.
    """

    def __init__(self, world):
        self.world, self.root, self.rng = world, Folder(), world.chance("disk")
        self.full_folders, self.sync_failing_folders, self.writes = {}, {}, 0
        self.free_bytes = 1 << 40

    # --- lookup ---------------------------------------------------------------------------------------------

    @staticmethod
    def split_path(path: str) -> list:
        """Return the names in a path."""
        return [part for part in path.split("/") if part]

    def lookup(self, path: str):
        """Return the File or Folder at a path, or None."""
        node = self.root
        for part in self.split_path(path):
            if not isinstance(node, Folder) or part not in node.entries:
                return None
            node = node.entries[part]
        return node

    def parent(self, path: str) -> tuple[Folder, str]:
        """Return the folder that holds a path and the path's last name. Raises FileNotFoundError."""
        *above, name = self.split_path(path)
        folder = self.lookup("/".join(above))
        if not isinstance(folder, Folder):
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        return folder, name

    def file(self, path: str) -> File:
        """Return the file at a path. Raises FileNotFoundError."""
        found = self.lookup(path)
        if not isinstance(found, File):
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        return found

    def is_faulty(self, faults: dict, path: str) -> bool:
        """Return whether one of `faults` (folder -> count) is in force at a path."""
        return any(
            count and ("/" + path.strip("/") + "/").startswith(folder.rstrip("/") + "/")
            for folder, count in faults.items()
        )

    def check_space(self, path: str) -> None:
        """Raise OSError (ENOSPC) where the disk is full at a path."""
        if self.is_faulty(self.full_folders, path):
            raise OSError(errno.ENOSPC, "No space left on device", path)

    def check_io(self, path: str) -> None:
        """Raise OSError (EIO) where syncs fail at a path."""
        if self.is_faulty(self.sync_failing_folders, path):
            raise OSError(errno.EIO, "Input/output error", path)

    # --- file operations ------------------------------------------------------------------------------------

    def create(self, path: str) -> File:
        """Return the file at a path, created empty where there is none. Raises OSError."""
        folder, name = self.parent(path)
        found = folder.entries.get(name)
        if isinstance(found, Folder):
            raise IsADirectoryError(errno.EISDIR, "Is a directory", path)
        if found is None:
            found = folder.entries[name] = File(self.world.time)
        return found

    def write(self, path: str, data: bytes, sync: bool) -> None:
        """Replace a file's content, and sync it where `sync`.

        Raises OSError; on a full disk half of the bytes are written.
        """
        file = self.create(path)
        self.writes += 1
        file.modified_at = self.world.time
        try:
            self.check_space(path)
        except OSError:
            file.data[:] = data[: len(data) // 2]
            raise
        file.data[:] = data
        if sync:
            self.sync(path, file)

    def sync(self, path: str, file: File) -> None:
        """Make a file's bytes durable. Raises OSError."""
        self.check_io(path)
        file.synced = bytes(file.data)

    def rename(self, path: str, to: str) -> None:
        """Move a file or folder, replacing a file or an empty folder at `to`. Raises OSError."""
        source, name = self.parent(path)
        if name not in source.entries:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        target, new_name = self.parent(to)
        existing = target.entries.get(new_name)
        if isinstance(existing, Folder) and existing.entries:
            raise OSError(errno.ENOTEMPTY, "Directory not empty", to)
        moved = source.entries.pop(name)
        target.entries[new_name] = moved
        self.writes += 1

    def sync_folder(self, path: str) -> None:
        """Make the names in a folder durable. Raises OSError."""
        folder = self.lookup(path)
        if not isinstance(folder, Folder):
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        self.check_io(path)
        folder.synced = dict(folder.entries)

    def make_folder(self, path: str) -> None:
        """Create a folder and the missing ones above it. Raises FileExistsError where a file stands there."""
        node = self.root
        for part in self.split_path(path):
            node = node.entries.setdefault(part, Folder())
            if not isinstance(node, Folder):
                raise FileExistsError(errno.EEXIST, "File exists", path)

    def remove(self, path: str) -> None:
        """Remove a file or folder; a path that does not exist is ignored."""
        try:
            folder, name = self.parent(path)
        except FileNotFoundError:
            return
        if folder.entries.pop(name, None) is not None:
            self.writes += 1

    # --- power loss -----------------------------------------------------------------------------------------

    def power_cut(self, path: str) -> None:
        """Lose power below a path: what was not synced may be gone."""
        found = self.lookup(path)
        if found is not None:
            self.restore_synced(found, set())
        self.world.record_event("power cut", path)

    def restore_synced(self, node, seen: set) -> None:
        """Set a node and all below it to a state that a power loss may leave.

        `seen`: ids of the nodes that are done.
        """
        if id(node) in seen:
            return
        seen.add(id(node))
        if isinstance(node, File):
            if bytes(node.data) != node.synced:
                if bytes(node.data[: len(node.synced)]) == node.synced:
                    node.data[:] = node.data[: self.rng.randrange(len(node.synced), len(node.data) + 1)]
                else:  # overwritten in place: the old content, or a prefix of the new one
                    kept_version = self.rng.choice(
                        (node.synced, bytes(node.data[: self.rng.randrange(0, len(node.data) + 1)]))
                    )
                    node.data[:] = kept_version
                node.synced = bytes(node.data)
            return
        names = sorted({*node.entries, *node.synced})
        entries = {}
        for name in names:
            current, synced = node.entries.get(name), node.synced.get(name)
            kept_version = current if current is synced or self.rng.random() < 0.5 else synced
            if kept_version is not None:
                entries[name] = kept_version
        node.entries, node.synced = entries, dict(entries)
        for name in sorted(entries):
            self.restore_synced(entries[name], seen)
