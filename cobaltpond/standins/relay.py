"""A relay of bytes between gateways and the release desk that can be told to fail, as the desk or the way to
it would: nothing gets through, answers are lost, errors, lateness. Writes down the news that it lets
through."""

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
    """`mode`: pass, cut (nothing gets through, both ways wait), errors (503 to every new connection), silent
    (half of the new connections lose what is asked, half the answer; old ones wait); `late`: microseconds
    that what the desk says is held back."""

    def __init__(self, loop, listener, target, chance, record):
        self.loop, self.target, self.chance, self.record = loop, target, chance, record
        self.mode, self.late = "pass", 0
        self.task = loop.spawn(serve(loop, listener, self.relay_connection, 512, "relay"), "relay")

    def relay_connection(self, connection):
        fate = None
        if self.mode == "errors":
            yield from connection.read()
            yield from connection.write(http1.response(503, [], b"", False))
            return
        if self.mode == "silent":
            fate = self.chance.choice(("lose what is asked", "lose the answer"))
        try:
            beyond = yield from dial(self.loop, self.target, 1_000_000)
        except (RefusedError, UnreachableError, HandlesExhaustedError, DeadlineExceededError):
            return
        who = [None]
        back = self.loop.spawn(self.relay_answers(beyond, connection, fate, who), "relay-back")
        try:
            while True:
                data = yield from connection.read()
                while self.mode == "cut":
                    yield Sleep(10_000)
                if not data:
                    return
                asked = re.search(rb"gateway\W+(\d+)", data)
                who[0] = int(asked[1]) if asked else who[0]
                if fate != "lose what is asked":
                    yield from beyond.write(data)
        finally:
            back.cancel()
            beyond.close()

    def relay_answers(self, source, sink, fate, who):
        held = deque()
        try:
            while True:
                data = yield from source.read()
                while self.mode in ("cut", "silent") and fate is None:
                    yield Sleep(10_000)
                if not data:
                    return
                if fate == "lose the answer":
                    continue
                held.append((self.loop.now() + self.late, data))
                while held:
                    at, data = held.popleft()
                    if at > self.loop.now():
                        yield Sleep(at - self.loop.now())
                    yield from sink.write(data)
                    for news in re.findall(rb'"news":(\{[^}]*\})', data):
                        self.record("news", gateway=who[0], **json.loads(news))
        except ConnectionLostError:
            pass
        finally:
            sink.handle.finish()
