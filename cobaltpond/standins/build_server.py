"""Serves chunks and manifests of builds, with range requests and injected faults; makes signed builds."""

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
    """Makes a signed build: (signed manifest, digest -> chunk).

    `files` maps paths to bytes; the first one is executable and the default entry. `chunk` is in bytes,
    `made` and `expires` are in seconds, `earlier` is (build, digest) or None.
    """
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
    """A server of builds; `sent` counts body bytes and `asked` lists the requested paths.

    `faults` maps a path, or `*` for all, to a list of (fault, number of requests): "cut N" (the connection
    ends after N bytes), "lie" (a wrong content-length), "slow", "redirect TARGET", "junk" (zero bytes),
    "status" (500), "norange" (ignores the range).
    """

    def __init__(self, loop, listener):
        self.loop, self.manifests, self.chunks, self.faults = loop, {}, {}, {}
        self.sent, self.asked, self.listener = 0, [], listener
        self.address = listener.address()
        self.task = loop.spawn(serve(loop, listener, self.serve, 64, "builds"), "builds")

    def add(self, build, signed, chunks):
        """Serves a signed manifest and its chunks (digest -> bytes)."""
        self.manifests[build] = signed
        self.chunks.update(chunks)

    def next_fault(self, path):
        """The fault for the next request of a path, which is used up by it; None for no fault."""
        for name in (path, "*"):
            rows = self.faults.get(name)
            if rows:
                fault_kind, uses_left = rows[0]
                if uses_left == 1:
                    rows.pop(0)
                else:
                    rows[0] = fault_kind, uses_left - 1
                return fault_kind
        return None

    def body(self, path):
        """The bytes of a chunk or manifest; None for an unknown one."""
        kind, _, name = path.strip("/").partition("/")
        return self.chunks.get(name) if kind == "chunks" else self.manifests.get(int(name))

    def serve(self, connection):
        """Answers one request of a connection."""
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
        """Answers a request, with a fault where one is set for its path."""
        path = head.target.decode()
        self.asked.append(path)
        body, fault = self.body(path), self.next_fault(path)
        fault_kind, _, argument = (fault or "").partition(" ")
        if body is None or fault_kind == "status":
            yield from connection.write(http1.response(404 if body is None else 500, [], b"", False))
            return
        if fault_kind == "redirect":
            yield from connection.write(
                http1.response(302, [(b"location", argument.encode() or head.target)], b"", False)
            )
            return
        if fault_kind == "junk":
            body = bytes(len(body))
        start = 0
        range_header = head.get(b"range")
        if range_header and fault_kind != "norange":
            start = int(range_header[6:].rstrip(b"-"))
        content = body[start:]
        length = len(content) + (7 if fault_kind == "lie" else 0)
        fields = [(b"content-length", b"%d" % length)]
        if start:
            fields.append((b"content-range", b"bytes %d-%d/%d" % (start, len(body) - 1, len(body))))
        if fault_kind == "cut":
            content = content[: int(argument)]
        self.sent += len(content)
        try:
            yield from connection.write(http1.response_head(206 if start else 200, fields, False))
            if fault_kind == "slow":
                for byte in content:
                    yield Sleep(20_000)
                    yield from connection.write(bytes([byte]))
            yield from connection.write(content)
        except ConnectionLostError:
            pass
