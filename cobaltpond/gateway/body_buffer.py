"""The body of a hit: kept up to a bound so that it can be sent again, streamed beyond it."""

from cobaltpond.loop import Event


class BodyDiscardedError(Exception):
    """The beginning was not kept: it cannot be sent again."""


class BodyTruncatedError(Exception):
    """The client left in the middle of its body."""


class BodyBuffer:
    def __init__(self, hold: int):
        self.hold, self.chunks, self.buffered_bytes, self.start = (
            hold,
            [],
            0,
            0,
        )  # start: number of the first chunk kept
        self.ended, self.cut, self.streaming, self.readers = False, False, False, 0
        self.data_added, self.data_removed = Event(), Event()

    def write(self, data: bytes):
        """Waits while more than `hold` bytes lie unread: back-pressure on the client."""
        while self.buffered_bytes > self.hold and not self.cut:
            yield self.data_removed
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes > self.hold:
            self.streaming = True
            self.drop_read()
        self.data_added.set()

    def finish(self, cut: bool = False) -> None:
        self.ended, self.cut = not cut, cut
        self.data_added.set()
        self.data_removed.set()

    @property
    def complete_body(self) -> bytes | None:
        """All of it, where it is all here and kept."""
        return b"".join(self.chunks) if self.ended and not self.start else None

    def drop_read(self) -> None:
        """Beyond the bound, what the one reader has passed is let go."""
        if not self.streaming or not self.readers:
            return
        while self.chunks and self.start < self.position:
            self.buffered_bytes -= len(self.chunks.pop(0))
            self.start += 1
        self.data_removed.set()

    def read(self):
        """A generator-coroutine per chunk for one reader: `rewind()` first. b"" at the end."""
        while self.position - self.start >= len(self.chunks):
            if self.cut:
                raise BodyTruncatedError
            if self.ended:
                return b""
            yield self.data_added
        data = self.chunks[self.position - self.start]
        self.position += 1
        self.drop_read()
        return data

    def rewind(self) -> None:
        """From the beginning again; Torn where that has been let go."""
        if self.start:
            raise BodyDiscardedError
        self.position, self.readers = 0, 1
