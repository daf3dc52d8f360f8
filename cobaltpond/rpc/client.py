"""Client side of calls over HTTP/1.1."""

from cobaltpond.decisions.records import RandomSource
from cobaltpond.loop import (
    ConnectionLostError,
    HandlesExhaustedError,
    RefusedError,
    UnreachableError,
    dial,
)
from cobaltpond.rpc.body_allowance import BodyShare
from cobaltpond.wire import http1
from cobaltpond.wire.json_lines import JsonLineError

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


class PendingCall:
    """One request and its response. A read of the response that was interrupted can be resumed.

    `share`: takes the bytes of the body, and is the caller's to release; None: bounded by RESPONSE_LIMITS
    alone.
    """

    def __init__(self, loop, address, share: BodyShare | None = None):
        self.loop, self.address, self.connection, self.share = loop, address, None, share
        self.parser, self.status, self.body_parts = http1.ResponseParser(RESPONSE_LIMITS), 0, []

    def send(self, method: str, target: str, body: bytes, dial_time: int):
        """Connects and sends the request. `dial_time`: microseconds.

        Raises what CALL_ERRORS names, or DeadlineExceededError where connecting takes too long.
        """
        self.connection = yield from dial(self.loop, self.address, dial_time)
        host = f"{self.address[0]}:{self.address[1]}".encode()
        yield from self.connection.write(
            http1.request(
                method,
                target,
                [(b"host", host), (b"connection", b"close"), (b"content-type", b"application/json")],
                body,
            )
        )

    def read_response(self):
        """Returns (status, body) of the response. Raises what CALL_ERRORS names."""
        while True:
            data = yield from self.connection.read()
            for kind, value in self.parser.feed(data) if data else self.parser.closed():
                if kind == "head":
                    self.status = value.status
                elif kind == "body":
                    if self.share is not None:
                        self.share.take(len(value))
                    self.body_parts.append(value)
                else:
                    return self.status, b"".join(self.body_parts)

    def close(self):
        """Closes the connection, where there is one."""
        if self.connection is not None:
            self.connection.close()


def call(
    loop,
    address,
    method: str,
    target: str,
    body: bytes,
    dial_time: int,
    share: BodyShare | None = None,
):
    """Sends one request; gives (status, body) of the response. `dial_time`: microseconds. `share`: see
    `PendingCall`.

    Raises what CALL_ERRORS names, or DeadlineExceededError where connecting takes too long. The caller sets a
    Deadline for the rest.
    """
    pending = PendingCall(loop, address, share)
    try:
        yield from pending.send(method, target, body, dial_time)
        return (yield from pending.read_response())
    finally:
        pending.close()
