"""Relays bytes between gateways and the release desk, with injected faults of the desk or the network.

Faults are a partition, lost answers, errors and delay. The relay records the release state that it delivers.
"""

import json
import re
from collections import deque

from cobaltpond.loop import (
    ConnectionLostError,
    DeadlineExceededError,
    HandlesExhaustedError,
    RefusedError,
    Sleep,
    UnreachableError,
    dial,
    serve,
)
from cobaltpond.wire import http1


class Relay:
    """A relay to one target.

    `mode` is pass, cut (both directions wait), errors (503 to every new connection) or silent (half of the
    new connections lose the request, half the answer; old ones wait). `delay` is added to the desk's data, in
    microseconds.
    """

    def __init__(self, loop, listener, target, random_source, record):
        self.loop, self.target, self.random_source, self.record = loop, target, random_source, record
        self.mode, self.delay = "pass", 0
        self.task = loop.spawn(serve(loop, listener, self.relay_connection, 512, "relay"), "relay")

    def relay_connection(self, connection):
        """Relays one connection from a gateway until either side closes it."""
        fault = None
        if self.mode == "errors":
            yield from connection.read()
            yield from connection.write(http1.response(503, [], b"", False))
            return
        if self.mode == "silent":
            fault = self.random_source.choice(("lose what is asked", "lose the answer"))
        try:
            desk_connection = yield from dial(self.loop, self.target, 1_000_000)
        except (RefusedError, UnreachableError, HandlesExhaustedError, DeadlineExceededError):
            return
        gateway_number = [None]
        answer_task = self.loop.spawn(
            self.relay_answers(desk_connection, connection, fault, gateway_number), "relay-back"
        )
        try:
            while True:
                data = yield from connection.read()
                while self.mode == "cut":
                    yield Sleep(10_000)
                if not data:
                    return
                gateway_match = re.search(rb"gateway\W+(\d+)", data)
                gateway_number[0] = int(gateway_match[1]) if gateway_match else gateway_number[0]
                if fault != "lose what is asked":
                    yield from desk_connection.write(data)
        finally:
            answer_task.cancel()
            desk_connection.close()

    def relay_answers(self, source, sink, fault, gateway_number):
        """Relays the data of the desk, delayed, and records the release state in it."""
        delayed = deque()
        try:
            while True:
                data = yield from source.read()
                while self.mode in ("cut", "silent") and fault is None:
                    yield Sleep(10_000)
                if not data:
                    return
                if fault == "lose the answer":
                    continue
                delayed.append((self.loop.now() + self.delay, data))
                while delayed:
                    at, data = delayed.popleft()
                    if at > self.loop.now():
                        yield Sleep(at - self.loop.now())
                    yield from sink.write(data)
                    for news in re.findall(rb'"news":(\{[^}]*\})', data):
                        self.record("news", gateway=gateway_number[0], **json.loads(news))
        except ConnectionLostError:
            pass
        finally:
            sink.handle.finish()
