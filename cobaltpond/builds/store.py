"""Content-addressed store of a host: chunks by digest, and builds that are assembled from them atomically.

    chunks/ab/<digest>      one chunk, verified by its name
    builds/<number>/        manifest, and the files under `tree/`
    *.new                   unfinished writes of a crash; removed at the next start

Everything is written under a temporary name, synced and renamed, and then the folder is synced. A folder
`builds/N` therefore exists only when it is complete.
"""

import os

from cobaltpond.builds.manifest import Manifest, content_digest


class DigestMismatchError(Exception):
    """The bytes of a chunk do not match its digest."""

    outer_name = "WrongDigest"


class StoreFullError(Exception):
    """No space: the store's size limit is reached, or the disk is full."""

    outer_name = "Full"


class CorruptChunkError(Exception):
    """A stored chunk no longer matches its digest; it has been removed, so that it is fetched again."""

    outer_name = "Rotten"


class Store:
    """The store in a folder; it holds the folder's lock. Raises RefusedError where another process has it.

    `max_bytes`: size limit of the store; `min_free_bytes`: bytes of the disk that stay free.
    """

    def __init__(self, kernel, folder: str, max_bytes: int = 1 << 40, min_free_bytes: int = 64 << 20):
        self.kernel = kernel
        self.folder = folder
        self.max_bytes = max_bytes
        self.min_free_bytes = min_free_bytes
        for name in ("chunks", "builds"):
            kernel.make_folder(self.path(name))
        self.lock = kernel.lock_file(self.path("lock"))
        self.chunks, self.used_bytes, self.removed_leftovers = {}, 0, 0
        for prefix in kernel.list_folder(self.path("chunks")):
            for name in kernel.list_folder(self.path("chunks", prefix)):
                path = self.path("chunks", prefix, name)
                if name.endswith(".new"):
                    kernel.remove(path)
                    self.removed_leftovers += 1
                else:
                    self.chunks[name] = kernel.file_size(path)
        for name in kernel.list_folder(self.path("builds")):
            if not name.isdigit():
                kernel.remove(self.path("builds", name))
                self.removed_leftovers += 1
        self.used_bytes = sum(self.chunks.values())

    def path(self, *names: str) -> str:
        """A path in the store's folder."""
        return os.path.join(self.folder, *names)

    def chunk_path(self, name: str) -> str:
        """The path of a chunk."""
        return self.path("chunks", name[:2], name)

    def builds(self) -> list[int]:
        """The complete builds, in ascending order."""
        return sorted(int(n) for n in self.kernel.list_folder(self.path("builds")) if n.isdigit())

    def tree(self, build: int) -> str:
        """The folder of a build's files."""
        return self.path("builds", str(build), "tree")

    def manifest(self, build: int) -> bytes | None:
        """The signed manifest of a stored build; None where there is none."""
        return self.kernel.read_file(self.path("builds", str(build), "manifest"))

    def missing_chunks(self, manifest: Manifest) -> dict[str, int]:
        """Maps digest to size of the chunks to fetch; chunks shared with other builds are present already."""
        return {name: size for name, size in manifest.chunks().items() if self.chunks.get(name) != size}

    def check_room(self, size: int) -> None:
        """Raises StoreFullError where `size` more bytes do not fit."""
        if self.used_bytes + size > self.max_bytes:
            raise StoreFullError(
                f"{self.used_bytes} of {self.max_bytes} bytes are used, {size} more are needed"
            )
        free_bytes = self.kernel.free_space(self.folder)
        if free_bytes < size + self.min_free_bytes:
            raise StoreFullError(f"{free_bytes} bytes are free on the disk, {size} more are needed")

    def put_chunk(self, name: str, data: bytes) -> None:
        """Stores a chunk. Raises DigestMismatchError or StoreFullError; then nothing of it is stored."""
        if content_digest(data) != name:
            raise DigestMismatchError(f"{len(data)} bytes are not {name[:12]}")
        if name in self.chunks:
            return
        self.check_room(len(data))
        path, folder = self.chunk_path(name), self.path("chunks", name[:2])
        try:
            if not self.kernel.list_folder(folder):
                self.kernel.make_folder(folder)
                self.kernel.sync_folder(self.path("chunks"))
            self.kernel.write_file(path + ".new", data)
            self.kernel.rename(path + ".new", path)
            self.kernel.sync_folder(folder)
        except OSError as error:  # the disk filled up between the check and the write
            self.kernel.remove(path + ".new")
            raise StoreFullError(str(error)) from error
        self.chunks[name] = len(data)
        self.used_bytes += len(data)

    def read_chunk(self, name: str) -> bytes:
        """The verified bytes of a chunk. Raises CorruptChunkError."""
        data = self.kernel.read_file(self.chunk_path(name))
        if data is None or content_digest(data) != name:
            self.kernel.remove(self.chunk_path(name))
            self.used_bytes -= self.chunks.pop(name, 0)
            raise CorruptChunkError(f"chunk {name[:12]}")
        return data

    def assemble(self, manifest: Manifest, signed: bytes) -> str:
        """Assembles a build from its chunks; gives the folder of its files.

        Raises CorruptChunkError or StoreFullError.
        """
        build_folder = self.path("builds", str(manifest.build))
        if manifest.build in self.builds():
            return self.tree(manifest.build)
        self.check_room(manifest.size)
        staging_folder, kernel = build_folder + ".new", self.kernel
        kernel.remove(staging_folder)
        try:
            folders = {os.path.join(staging_folder, "tree")}
            for file in manifest.files:
                folder = os.path.dirname(os.path.join(staging_folder, "tree", file.path))
                while len(folder) > len(staging_folder):
                    folders.add(folder)
                    folder = os.path.dirname(folder)
            for folder in sorted(folders):
                kernel.make_folder(folder)
            for file in manifest.files:
                data = b"".join(self.read_chunk(name) for name in file.chunks)
                kernel.write_file(os.path.join(staging_folder, "tree", file.path), data, file.mode)
            kernel.write_file(os.path.join(staging_folder, "manifest"), signed)
            for folder in sorted(folders, reverse=True):
                kernel.sync_folder(folder)
            kernel.sync_folder(staging_folder)
            kernel.rename(staging_folder, build_folder)
            kernel.sync_folder(self.path("builds"))
        except OSError as error:
            kernel.remove(staging_folder)
            raise StoreFullError(str(error)) from error
        return self.tree(manifest.build)

    def is_intact(self, manifest: Manifest) -> bool:
        """True where the files on disk still match the manifest."""
        for file in manifest.files:
            data = self.kernel.read_file(os.path.join(self.tree(manifest.build), file.path))
            if data is None or len(data) != file.size:
                return False
            pieces = [data[n : n + manifest.chunk] for n in range(0, len(data), manifest.chunk)]
            if [content_digest(piece) for piece in pieces] != file.chunks:
                return False
        return True

    def discard(self, build: int) -> None:
        """Deletes a build: renames it first, so that a crash leaves no partial build."""
        build_folder = self.path("builds", str(build))
        if build in self.builds():
            self.kernel.rename(build_folder, build_folder + ".new")
            self.kernel.sync_folder(self.path("builds"))
            self.kernel.remove(build_folder + ".new")

    def prune(self, keep: set[int], min_age: int, needed: set[str]) -> list[int]:
        """Deletes old builds and unreferenced chunks; gives the deleted builds.

        Builds older than `min_age` microseconds are deleted unless they are in `keep` (running, or possible
        rollback targets); chunks unless a remaining build or `needed` (a fetch in progress) references them.
        """
        removed_builds = [
            build
            for build in self.builds()
            if build not in keep
            and self.kernel.file_age(self.path("builds", str(build), "manifest")) >= min_age
        ]
        for build in removed_builds:
            self.discard(build)
        referenced = set(needed)
        for build in self.builds():
            referenced |= chunk_names(self.manifest(build) or b"")
        for name in [name for name in self.chunks if name not in referenced]:
            self.kernel.remove(self.chunk_path(name))
            self.used_bytes -= self.chunks.pop(name)
        return removed_builds

    def close(self) -> None:
        """Releases the folder's lock."""
        self.lock.close()


def chunk_names(signed: bytes) -> set[str]:
    """The chunks that a stored manifest references; empty where it cannot be parsed.

    It was verified when it was fetched, so its signature is not verified again.
    """
    import msgspec

    body = signed.split(b"\n", 2)[1] if signed.count(b"\n") > 1 else b"{}"
    try:
        return set(msgspec.json.decode(body, type=Manifest).chunks())
    except msgspec.DecodeError:
        return set()
