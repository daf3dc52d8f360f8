"""A build server of chunks and manifests, with ranges, that can be told to misbehave; and a maker of
builds."""

from cobaltpond.builds.manifest import (
    BuildFile,
    EarlierBuild,
    Manifest,
    content_digest,
    split_chunks,
    write_manifest,
)
from cobaltpond.loop import ConnectionLostError, Sleep, serve
from cobaltpond.wire import http1


def make_build(build, files, signers, made, expires, chunk=4096, entry=None, earlier=None, health="/-/probe"):
    """`files`: path -> bytes. Gives (signed manifest, digest -> chunk)."""
    rows, chunks = [], {}
    for path, data in files.items():
        pieces = split_chunks(data, chunk)
        chunks.update((content_digest(piece), piece) for piece in pieces)
        mode = 0o755 if path == next(iter(files)) else 0o644
        rows.append(BuildFile(path, len(data), [content_digest(piece) for piece in pieces], mode))
    manifest = Manifest(
        build,
        made,
        expires,
        chunk,
        rows,
        entry or [next(iter(files))],
        health,
        EarlierBuild(*earlier) if earlier else None,
    )
    return write_manifest(manifest, signers), chunks


class BuildServer:
    """`faults`: what goes wrong, by path or for all (`*`), each for so many requests: cut (after `n` bytes),
    lie (a length that is not so), slow, redirect, junk, status, none."""

    def __init__(self, loop, listener):
        self.loop, self.manifests, self.chunks, self.faults = loop, {}, {}, {}
        self.sent, self.asked, self.listener = 0, [], listener
        self.address = listener.address()
        self.task = loop.spawn(serve(loop, listener, self.serve, 64, "builds"), "builds")

    def add(self, build, signed, chunks):
        self.manifests[build] = signed
        self.chunks.update(chunks)

    def next_fault(self, path):
        for name in (path, "*"):
            rows = self.faults.get(name)
            if rows:
                what, left = rows[0]
                if left == 1:
                    rows.pop(0)
                else:
                    rows[0] = what, left - 1
                return what
        return None

    def body(self, path):
        kind, _, name = path.strip("/").partition("/")
        return self.chunks.get(name) if kind == "chunks" else self.manifests.get(int(name))

    def serve(self, connection):
        parser = http1.RequestParser(http1.MessageLimits())
        while True:
            data = yield from connection.read()
            if not data:
                return
            for kind, head in parser.feed(data):
                if kind == "head":
                    yield from self.answer(connection, head)
                    return

    def answer(self, connection, head):
        path = head.target.decode()
        self.asked.append(path)
        body, way = self.body(path), self.next_fault(path)
        what, _, size = (way or "").partition(" ")
        if body is None or what == "status":
            yield from connection.write(http1.response(404 if body is None else 500, [], b"", False))
            return
        if what == "redirect":
            yield from connection.write(
                http1.response(302, [(b"location", size.encode() or head.target)], b"", False)
            )
            return
        if what == "junk":
            body = bytes(len(body))
        start = 0
        given = head.get(b"range")
        if given and what != "norange":
            start = int(given[6:].rstrip(b"-"))
        part = body[start:]
        length = len(part) + (7 if what == "lie" else 0)
        fields = [(b"content-length", b"%d" % length)]
        if start:
            fields.append((b"content-range", b"bytes %d-%d/%d" % (start, len(body) - 1, len(body))))
        if what == "cut":
            part = part[: int(size)]
        self.sent += len(part)
        try:
            yield from connection.write(http1.response_head(206 if start else 200, fields, False))
            if what == "slow":
                for byte in part:
                    yield Sleep(20_000)
                    yield from connection.write(bytes([byte]))
            yield from connection.write(part)
        except ConnectionLostError:
            pass
