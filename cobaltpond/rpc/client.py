"""Short calls and long streams to the list and the desk, over HTTP/1.1 with JSON lines."""

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

LIMITS = http1.MessageLimits(
    head=64 << 10, body=1 << 40
)  # of a stream, whose lines have a bound of their own
WHOLE = http1.MessageLimits(head=64 << 10, body=8 << 20)  # of an answer that is kept whole
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
    """Growing, jittered waits between tries: guards against gateways that come back all at once."""

    def __init__(self, first: int, most: int, seed: int):
        self.first_delay, self.most, self.chance, self.last = first, most, RandomSource(seed), 0

    def next_delay(self) -> int:
        self.last = min(self.most, self.last * 2 or self.first_delay)
        return self.last // 2 + self.chance.randbelow(self.last // 2 + 1)

    def reset(self) -> None:
        self.last = 0


def call(loop, address, method: str, target: str, body: bytes, dial_time: int):
    """One request, one whole answer: (status, body). Raises what CALL_ERRORS names, or DeadlineExceededError
    of the dial; wrap it in a Deadline for the rest."""
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
        parser, status, parts = http1.ResponseParser(WHOLE), 0, []
        while True:
            data = yield from connection.read()
            for kind, value in parser.feed(data) if data else parser.closed():
                if kind == "head":
                    status = value.status
                elif kind == "body":
                    parts.append(value)
                else:
                    return status, b"".join(parts)
    finally:
        connection.close()


class LineStream:
    """A long answer of JSON lines. `connect` first; then `next_objects` gives lists of objects until the peer
    ends it."""

    def __init__(self, loop, address):
        self.loop, self.address, self.connection = loop, address, None

    def connect(self, target: str, dial_time: int):
        """Raises what CALL_ERRORS names, DeadlineExceededError, or ConnectionLostError where the answer is no
        200."""
        self.connection = yield from dial(self.loop, self.address, dial_time)
        host = f"{self.address[0]}:{self.address[1]}".encode()
        yield from self.connection.write(http1.request("GET", target, [(b"host", host)]))
        self.parser, self.lines = http1.ResponseParser(LIMITS), JsonLineParser()

    def next_objects(self):
        """Some objects; None at the end."""
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
        if self.connection is not None:
            self.connection.close()


def follow_stream(loop, address, target, take, silence: int, dial_time: int, waits: Backoff, broken, also=()):
    """A stream of JSON lines, taken up again for ever. `target()` is asked at each try; `take(objects)` gets
    what comes; `broken(trouble)` hears of what CALL_ERRORS names, DeadlineExceededError and `also`, which
    `take` may raise. Silence of `silence` microseconds counts as a broken stream: guards against a peer that
    is gone without a word."""
    while True:
        stream = LineStream(loop, address)
        try:
            with Deadline(loop, silence):
                yield from stream.connect(target(), dial_time)
            while True:
                with Deadline(loop, silence):
                    told = yield from stream.next_objects()
                if told is None:
                    break
                waits.reset()
                take(told)
        except (*CALL_ERRORS, DeadlineExceededError, *also) as trouble:
            broken(trouble)
        finally:
            stream.close()
        yield Sleep(waits.next_delay())
