"""Client side of calls and JSON-lines streams over HTTP/1.1."""

from cobaltpond.decisions.records import RandomSource
from cobaltpond.loop import (
    ConnectionLostError,
    Deadline,
    DeadlineExceededError,
    HandlesExhaustedError,
    RefusedError,
    Sleep,
    UnreachableError,
    dial,
)
from cobaltpond.wire import http1
from cobaltpond.wire.json_lines import JsonLineError, JsonLineParser

# Bytes. The lines of a stream have a limit of their own (`JsonLineParser`).
STREAM_LIMITS = http1.MessageLimits(head=64 << 10, body=1 << 40)
RESPONSE_LIMITS = http1.MessageLimits(head=64 << 10, body=8 << 20)  # bytes; the response is buffered whole
CALL_ERRORS = (
    ConnectionLostError,
    RefusedError,
    UnreachableError,
    HandlesExhaustedError,
    http1.HttpMessageError,
    JsonLineError,
)
NOT_SENT_ERRORS = (RefusedError, UnreachableError, HandlesExhaustedError)


class Backoff:
    """Exponential backoff with jitter, against a thundering herd of gateways that reconnect at once.

    `base_delay`, `max_delay`: microseconds.
    """

    def __init__(self, base_delay: int, max_delay: int, seed: int):
        self.first_delay = base_delay
        self.max_delay = max_delay
        self.random_source = RandomSource(seed)
        self.last_delay = 0

    def next_delay(self) -> int:
        """Microseconds to wait before the next attempt; at least half of the unjittered delay."""
        self.last_delay = min(self.max_delay, self.last_delay * 2 or self.first_delay)
        return self.last_delay // 2 + self.random_source.randbelow(self.last_delay // 2 + 1)

    def reset(self) -> None:
        """Starts again from the base delay, after a success."""
        self.last_delay = 0


def call(loop, address, method: str, target: str, body: bytes, dial_time: int):
    """Sends one request; gives (status, body) of the response. `dial_time`: microseconds.

    Raises what CALL_ERRORS names, or DeadlineExceededError where connecting takes too long. The caller sets a
    Deadline for the rest.
    """
    connection = yield from dial(loop, address, dial_time)
    try:
        host = f"{address[0]}:{address[1]}".encode()
        yield from connection.write(
            http1.request(
                method,
                target,
                [(b"host", host), (b"connection", b"close"), (b"content-type", b"application/json")],
                body,
            )
        )
        parser, status, body_parts = http1.ResponseParser(RESPONSE_LIMITS), 0, []
        while True:
            data = yield from connection.read()
            for kind, value in parser.feed(data) if data else parser.closed():
                if kind == "head":
                    status = value.status
                elif kind == "body":
                    body_parts.append(value)
                else:
                    return status, b"".join(body_parts)
    finally:
        connection.close()


class LineStream:
    """A streamed response of JSON lines.

    Call `connect` first; then `next_objects` gives lists of objects until the peer ends the stream.
    """

    def __init__(self, loop, address):
        self.loop, self.address, self.connection = loop, address, None

    def connect(self, target: str, dial_time: int):
        """Connects and sends the request; the response is read by `next_objects`. `dial_time`: microseconds.

        Raises what CALL_ERRORS names, or DeadlineExceededError.
        """
        self.connection = yield from dial(self.loop, self.address, dial_time)
        host = f"{self.address[0]}:{self.address[1]}".encode()
        yield from self.connection.write(http1.request("GET", target, [(b"host", host)]))
        self.parser, self.lines = http1.ResponseParser(STREAM_LIMITS), JsonLineParser()

    def next_objects(self):
        """The next objects, at least one; None at the end of the stream.

        Raises what CALL_ERRORS names; ConnectionLostError also where the status is not 200.
        """
        objects = []
        while not objects:
            data = yield from self.connection.read()
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
):
    """Follows a stream of JSON lines and reconnects for ever.

    `target()` gives the request target of each attempt; `on_objects(objects)` receives each list of objects;
    `on_broken(error)` receives what CALL_ERRORS names, DeadlineExceededError, and `extra_errors`, which
    `on_objects` may raise. A stream without data for `silence_timeout` microseconds counts as broken, because
    a peer may fail without closing its connection. `dial_time`: microseconds.
    """
    while True:
        stream = LineStream(loop, address)
        try:
            with Deadline(loop, silence_timeout):
                yield from stream.connect(target(), dial_time)
            while True:
                with Deadline(loop, silence_timeout):
                    objects = yield from stream.next_objects()
                if objects is None:
                    break
                backoff.reset()
                on_objects(objects)
        except (*CALL_ERRORS, DeadlineExceededError, *extra_errors) as error:
            on_broken(error)
        finally:
            stream.close()
        yield Sleep(backoff.next_delay())
