"""The store of a host: chunks by their digest, builds put together from them; whole or not there.

    chunks/ab/<digest>      one chunk, its name vouches for it
    builds/<number>/        manifest, and the tree under `tree/`
    *.new                   whatever was under way at a crash; removed at the next start

Everything is written aside, synced, renamed, and the folder synced. A folder `builds/N` is there only when it
is whole.
"""

import os

from cobaltpond.builds.manifest import Manifest, content_digest


class DigestMismatchError(Exception):
    """Bytes that are not what their name says."""

    outer_name = "WrongDigest"


class StoreFullError(Exception):
    """No room: the store's own bound, or the disk."""

    outer_name = "Full"


class CorruptChunkError(Exception):
    """A chunk that was sound when it came and is no more; it has been removed, to be fetched anew."""

    outer_name = "Rotten"


class Store:
    """`most`: bytes that chunks and builds may take together; `spare`: bytes of the disk that are left
    free."""

    def __init__(self, kernel, folder: str, most: int = 1 << 40, spare: int = 64 << 20):
        self.kernel, self.folder, self.most, self.spare = kernel, folder, most, spare
        for name in ("chunks", "builds"):
            kernel.make_folder(self.path(name))
        self.lock = kernel.lock_file(self.path("lock"))
        self.chunks, self.used, self.swept = {}, 0, 0
        for short in kernel.list_folder(self.path("chunks")):
            for name in kernel.list_folder(self.path("chunks", short)):
                path = self.path("chunks", short, name)
                if name.endswith(".new"):
                    kernel.remove(path)
                    self.swept += 1
                else:
                    self.chunks[name] = kernel.file_size(path)
        for name in kernel.list_folder(self.path("builds")):
            if not name.isdigit():
                kernel.remove(self.path("builds", name))
                self.swept += 1
        self.used = sum(self.chunks.values())

    def path(self, *names: str) -> str:
        return os.path.join(self.folder, *names)

    def chunk_path(self, name: str) -> str:
        return self.path("chunks", name[:2], name)

    def builds(self) -> list[int]:
        return sorted(int(n) for n in self.kernel.list_folder(self.path("builds")) if n.isdigit())

    def tree(self, build: int) -> str:
        return self.path("builds", str(build), "tree")

    def manifest(self, build: int) -> bytes | None:
        return self.kernel.read_file(self.path("builds", str(build), "manifest"))

    def missing_chunks(self, manifest: Manifest) -> dict[str, int]:
        """Digest to size of what is still to be fetched; what another build has brought is not fetched
        again."""
        return {name: size for name, size in manifest.chunks().items() if self.chunks.get(name) != size}

    def check_room(self, size: int) -> None:
        """Raises StoreFullError."""
        if self.used + size > self.most:
            raise StoreFullError(f"{self.used} of {self.most} bytes are used, {size} more are needed")
        free = self.kernel.free_space(self.folder)
        if free < size + self.spare:
            raise StoreFullError(f"{free} bytes are free on the disk, {size} more are needed")

    def put_chunk(self, name: str, data: bytes) -> None:
        """Raises DigestMismatchError or StoreFullError; then nothing of it is there."""
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
        except OSError as trouble:  # a disk that fills up between the look and the write
            self.kernel.remove(path + ".new")
            raise StoreFullError(str(trouble)) from trouble
        self.chunks[name] = len(data)
        self.used += len(data)

    def read_chunk(self, name: str) -> bytes:
        """A chunk, checked. Raises CorruptChunkError."""
        data = self.kernel.read_file(self.chunk_path(name))
        if data is None or content_digest(data) != name:
            self.kernel.remove(self.chunk_path(name))
            self.used -= self.chunks.pop(name, 0)
            raise CorruptChunkError(f"chunk {name[:12]}")
        return data

    def assemble(self, manifest: Manifest, signed: bytes) -> str:
        """Puts a build together from its chunks and gives its tree's folder. Raises CorruptChunkError or
        StoreFullError."""
        place = self.path("builds", str(manifest.build))
        if manifest.build in self.builds():
            return self.tree(manifest.build)
        self.check_room(manifest.size)
        new, kernel = place + ".new", self.kernel
        kernel.remove(new)
        try:
            folders = {os.path.join(new, "tree")}
            for file in manifest.files:
                folder = os.path.dirname(os.path.join(new, "tree", file.path))
                while len(folder) > len(new):
                    folders.add(folder)
                    folder = os.path.dirname(folder)
            for folder in sorted(folders):
                kernel.make_folder(folder)
            for file in manifest.files:
                data = b"".join(self.read_chunk(name) for name in file.chunks)
                kernel.write_file(os.path.join(new, "tree", file.path), data, file.mode)
            kernel.write_file(os.path.join(new, "manifest"), signed)
            for folder in sorted(folders, reverse=True):
                kernel.sync_folder(folder)
            kernel.sync_folder(new)
            kernel.rename(new, place)
            kernel.sync_folder(self.path("builds"))
        except OSError as trouble:
            kernel.remove(new)
            raise StoreFullError(str(trouble)) from trouble
        return self.tree(manifest.build)

    def is_intact(self, manifest: Manifest) -> bool:
        """Does the tree on disk still hold what the manifest says?"""
        for file in manifest.files:
            data = self.kernel.read_file(os.path.join(self.tree(manifest.build), file.path))
            if data is None or len(data) != file.size:
                return False
            pieces = [data[n : n + manifest.chunk] for n in range(0, len(data), manifest.chunk)]
            if [content_digest(piece) for piece in pieces] != file.chunks:
                return False
        return True

    def discard(self, build: int) -> None:
        """Out of sight in one step, then removed: a crash leaves no half of it."""
        place = self.path("builds", str(build))
        if build in self.builds():
            self.kernel.rename(place, place + ".new")
            self.kernel.sync_folder(self.path("builds"))
            self.kernel.remove(place + ".new")

    def prune(self, keep: set[int], age: int, needed: set[str]) -> list[int]:
        """Removes builds older than `age` microseconds that are not in `keep` (what runs or may be returned
        to), then chunks that neither a build that stays nor `needed` (what is being fetched) names."""
        gone = [
            build
            for build in self.builds()
            if build not in keep and self.kernel.file_age(self.path("builds", str(build), "manifest")) >= age
        ]
        for build in gone:
            self.discard(build)
        named = set(needed)
        for build in self.builds():
            named |= chunk_names(self.manifest(build) or b"")
        for name in [name for name in self.chunks if name not in named]:
            self.kernel.remove(self.chunk_path(name))
            self.used -= self.chunks.pop(name)
        return gone

    def close(self) -> None:
        self.lock.close()


def chunk_names(signed: bytes) -> set[str]:
    """The chunks that a manifest on disk names. It was checked when it came, so its signature is not asked
    again."""
    import msgspec

    body = signed.split(b"\n", 2)[1] if signed.count(b"\n") > 1 else b"{}"
    try:
        return set(msgspec.json.decode(body, type=Manifest).chunks())
    except msgspec.DecodeError:
        return set()
