"""Client side of JSON-lines streams over HTTP/1.1."""

from cobaltpond.loop import ConnectionLostError, DeadlineExceededError, Sleep, dial
from cobaltpond.rpc.client import CALL_ERRORS, Backoff
from cobaltpond.rpc.late_reads import LateReads
from cobaltpond.wire import http1
from cobaltpond.wire.json_lines import MAX_LINE_BYTES, JsonLineParser

# Bytes. The lines of a stream have a limit of their own (`JsonLineParser`).
STREAM_LIMITS = http1.MessageLimits(head=64 << 10, body=1 << 40)
READ_BYTES = 4 << 10  # in one read: its objects are handled in one step of the task
MAX_SILENT_STREAMS = 2  # that stay open beside the newest one


class LineStream:
    """A streamed response of JSON lines.

    Call `connect` first; then `next_objects` gives lists of objects until the peer ends the stream.
    """

    def __init__(self, loop, address, max_line_bytes: int = MAX_LINE_BYTES):
        self.loop, self.address, self.connection = loop, address, None
        self.max_line_bytes = max_line_bytes

    def connect(self, target: str, dial_time: int):
        """Connects and sends the request; the response is read by `next_objects`. `dial_time`: microseconds.

        Raises what CALL_ERRORS names, or DeadlineExceededError.
        """
        self.connection = yield from dial(self.loop, self.address, dial_time)
        host = f"{self.address[0]}:{self.address[1]}".encode()
        yield from self.connection.write(http1.request("GET", target, [(b"host", host)]))
        self.parser, self.lines = http1.ResponseParser(STREAM_LIMITS), JsonLineParser(self.max_line_bytes)

    def next_objects(self):
        """The next objects, at least one; None at the end of the stream.

        Raises what CALL_ERRORS names; ConnectionLostError also where the status is not 200.
        """
        objects = []
        while not objects:
            data = yield from self.connection.read(READ_BYTES)
            for kind, value in self.parser.feed(data) if data else self.parser.closed():
                if kind == "head" and value.status != 200:
                    raise ConnectionLostError(f"status {value.status}")
                if kind == "body":
                    objects += self.lines.feed(value)
                if kind == "end":
                    return objects or None
        return objects

    def close(self):
        """Closes the connection, where there is one."""
        if self.connection is not None:
            self.connection.close()


class StreamFollower:
    """The streams that one follower has open; see `follow_stream` for the arguments.

    A silent stream may be broken, or its peer slow. It stays open while a new one begins, and the one that
    speaks first is followed. So a peer that is slower than the time limit is heard too.
    """

    def __init__(self, loop, address, silence_timeout: int, max_line_bytes: int):
        self.loop, self.address, self.silence_timeout = loop, address, silence_timeout
        self.max_line_bytes = max_line_bytes
        self.silent = LateReads(loop, MAX_SILENT_STREAMS)
        self.stream = None

    def connect(self, target, dial_time: int):
        """Opens the newest stream, unless a silent one has spoken meanwhile."""
        if self.silent.first is not None:
            return
        self.stream = LineStream(self.loop, self.address, self.max_line_bytes)
        try:
            with self.silent.deadline(self.silence_timeout):
                yield from self.stream.connect(target(), dial_time)
        except DeadlineExceededError:
            if self.silent.first is None:
                raise

    def next_objects(self):
        """Returns the next objects of the first stream that has some; None at the end of the newest one."""
        if self.silent.first is None:
            try:
                with self.silent.deadline(self.silence_timeout):
                    objects = yield from self.stream.next_objects()
                self.silent.close()
                return objects
            except DeadlineExceededError:
                if self.silent.first is None:
                    self.silent.add(self.stream, self.stream.next_objects())
                    self.stream = None
                    raise
        self.close_stream()
        self.stream, objects = self.silent.take_first()
        return objects

    def close_stream(self) -> None:
        """Closes the newest stream; silent ones stay open."""
        if self.stream is not None:
            self.stream.close()
        self.stream = None

    def close(self) -> None:
        """Closes all streams."""
        self.close_stream()
        self.silent.close()


def follow_stream(
    loop,
    address,
    target,
    on_objects,
    silence_timeout: int,
    dial_time: int,
    backoff: Backoff,
    on_broken,
    extra_errors=(),
    max_line_bytes: int = MAX_LINE_BYTES,
):
    """Follows a stream of JSON lines and reconnects for ever.

    `target()` gives the request target of each attempt; `on_objects(objects)` receives each list of objects;
    `on_broken(error)` receives what CALL_ERRORS names, DeadlineExceededError, and `extra_errors`, which
    `on_objects` may raise. A stream without data for `silence_timeout` microseconds counts as broken, because
    a peer may fail without closing its connection; it is still heard if it speaks before its successor.
    `dial_time`: microseconds. `max_line_bytes`: a longer line is an error.
    """
    follower = StreamFollower(loop, address, silence_timeout, max_line_bytes)
    try:
        while True:
            try:
                yield from follower.connect(target, dial_time)
                while (objects := (yield from follower.next_objects())) is not None:
                    backoff.reset()
                    on_objects(objects)
            except (*CALL_ERRORS, DeadlineExceededError, *extra_errors) as error:
                on_broken(error)
            finally:
                follower.close_stream()
            yield Sleep(backoff.next_delay())
    finally:
        follower.close()
