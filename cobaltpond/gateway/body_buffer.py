"""Buffers a request body: small bodies are kept for another forward, larger ones are streamed once."""

from cobaltpond.loop import Event


class BodyDiscardedError(Exception):
    """The beginning of the body is no longer buffered, so it cannot be sent again."""


class BodyTruncatedError(Exception):
    """The client disconnected before the end of its body."""


class BodyBuffer:
    """The body of one request, written by the frontend and read by one forward at a time.

    Up to `max_bytes` are kept, so that another forward can read the body from its beginning. Beyond that the
    body is streamed: chunks are discarded once they are read, and the body cannot be sent again.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.chunks = []
        self.buffered_bytes = 0
        self.first_chunk = 0  # number of the first chunk that is still buffered
        self.ended, self.truncated, self.streaming, self.readers = False, False, False, 0
        self.data_added, self.data_removed = Event(), Event()

    def write(self, data: bytes):
        """Appends a chunk.

        Waits while more than `max_bytes` are buffered, which is back-pressure on the client.
        """
        while self.buffered_bytes > self.max_bytes and not self.truncated:
            yield self.data_removed
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes > self.max_bytes:
            self.streaming = True
            self.discard_read_chunks()
        self.data_added.set()

    def finish(self, truncated: bool = False) -> None:
        """Marks the end of the body; `truncated` where the client disconnected before it."""
        self.ended, self.truncated = not truncated, truncated
        self.data_added.set()
        self.data_removed.set()

    @property
    def complete_body(self) -> bytes | None:
        """The whole body; None while it is incomplete or where its beginning is discarded."""
        return b"".join(self.chunks) if self.ended and not self.first_chunk else None

    def discard_read_chunks(self) -> None:
        """Frees the chunks that the reader has passed.

        Does nothing unless the body is streamed to a reader.
        """
        if not self.streaming or not self.readers:
            return
        while self.chunks and self.first_chunk < self.position:
            self.buffered_bytes -= len(self.chunks.pop(0))
            self.first_chunk += 1
        self.data_removed.set()

    def read(self):
        """Returns the next chunk, or b"" at the end; waits for data. The reader calls `rewind()` first.

        Raises BodyTruncatedError where the client disconnected before the end.
        """
        while self.position - self.first_chunk >= len(self.chunks):
            if self.truncated:
                raise BodyTruncatedError
            if self.ended:
                return b""
            yield self.data_added
        data = self.chunks[self.position - self.first_chunk]
        self.position += 1
        self.discard_read_chunks()
        return data

    def rewind(self) -> None:
        """Moves the reader to the beginning. Raises BodyDiscardedError where the beginning is discarded."""
        if self.first_chunk:
            raise BodyDiscardedError
        self.position, self.readers = 0, 1
