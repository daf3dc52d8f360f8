"""Short calls and long streams to the list and the desk, over HTTP/1.1 with JSON lines."""

from cobaltpond.decisions.records import Chance
from cobaltpond.loop import Deadline, HandlesUsedUp, PeerLost, Refused, Sleep, TimedOut, Unreachable, dial
from cobaltpond.wire import http1
from cobaltpond.wire.json_lines import BadLine, Lines

LIMITS = http1.Limits(head=64 << 10, body=1 << 40)  # of a stream, whose lines have a bound of their own
WHOLE = http1.Limits(head=64 << 10, body=8 << 20)  # of an answer that is kept whole
FAILED = (PeerLost, Refused, Unreachable, HandlesUsedUp, http1.BadMessage, BadLine)
NOT_SENT = (Refused, Unreachable, HandlesUsedUp)


class Backoff:
    """Growing, jittered waits between tries: guards against gateways that come back all at once."""

    def __init__(self, first: int, most: int, seed: int):
        self.first, self.most, self.chance, self.last = first, most, Chance(seed), 0

    def next(self) -> int:
        self.last = min(self.most, self.last * 2 or self.first)
        return self.last // 2 + self.chance.below(self.last // 2 + 1)

    def reset(self) -> None:
        self.last = 0


def call(loop, address, method: str, target: str, body: bytes, dial_time: int):
    """One request, one whole answer: (status, body). Raises what FAILED names, or TimedOut of the dial; wrap
    it in a Deadline for the rest."""
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
    """A long answer of JSON lines. `open` first; then `next` gives lists of objects until the peer ends
    it."""

    def __init__(self, loop, address):
        self.loop, self.address, self.connection = loop, address, None

    def open(self, target: str, dial_time: int):
        """Raises what FAILED names, TimedOut, or PeerLost where the answer is no 200."""
        self.connection = yield from dial(self.loop, self.address, dial_time)
        host = f"{self.address[0]}:{self.address[1]}".encode()
        yield from self.connection.write(http1.request("GET", target, [(b"host", host)]))
        self.parser, self.lines = http1.ResponseParser(LIMITS), Lines()

    def next(self):
        """Some objects; None at the end."""
        objects = []
        while not objects:
            data = yield from self.connection.read()
            for kind, value in self.parser.feed(data) if data else self.parser.closed():
                if kind == "head" and value.status != 200:
                    raise PeerLost(f"status {value.status}")
                if kind == "body":
                    objects += self.lines.feed(value)
                if kind == "end":
                    return objects or None
        return objects

    def close(self):
        if self.connection is not None:
            self.connection.close()


def follow(loop, address, target, take, silence: int, dial_time: int, waits: Backoff, broken, also=()):
    """A stream of JSON lines, taken up again for ever. `target()` is asked at each try; `take(objects)` gets
    what comes; `broken(trouble)` hears of what FAILED names, TimedOut and `also`, which `take` may raise.
    Silence of `silence` microseconds counts as a broken stream: guards against a peer that is gone without a
    word."""
    while True:
        stream = LineStream(loop, address)
        try:
            with Deadline(loop, silence):
                yield from stream.open(target(), dial_time)
            while True:
                with Deadline(loop, silence):
                    told = yield from stream.next()
                if told is None:
                    break
                waits.reset()
                take(told)
        except (*FAILED, TimedOut, *also) as trouble:
            broken(trouble)
        finally:
            stream.close()
        yield Sleep(waits.next())
