"""Many open connections at a steady rate through one gateway: is any answer lost, does memory stay flat, how
late does the loop run?

    .venv/bin/python bench/soak.py [--connections 2000] [--rate 300] [--seconds 60]

Hits are sent in open loop, each on the next connection in turn; instances take 80 ms each.
"""

import argparse
import json
import os
import sys
import tempfile
import time
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from relay import INSTANCES, SHEET, cpu, free, start, wait_for  # noqa: E402

from cobaltpond.loop import (  # noqa: E402, F401
    Connection,
    ConnectionLostError,
    EpollKernel,
    Loop,
    Sleep,
    dial,
)
from cobaltpond.wire import http1  # noqa: E402

LIMITS = http1.MessageLimits()


class Soak:
    def __init__(self, door, words, pid):
        self.loop, self.door, self.words, self.pid = Loop(EpollKernel()), ("127.0.0.1", door), words, pid
        self.took, self.lost, self.other, self.memory = [], 0, 0, []

    def rss(self):
        with open(f"/proc/{self.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

    def one(self, connection):
        began, parser = self.loop.kernel.now(), http1.ResponseParser(LIMITS)
        try:
            yield from connection.write(b"GET /look HTTP/1.1\r\nhost: t\r\n\r\n")
            while True:
                data = yield from connection.read()
                for kind, value in parser.feed(data) if data else parser.closed():
                    if kind == "head" and value.status != 200:
                        self.other += 1
                    if kind == "end":
                        self.took.append(self.loop.kernel.now() - began)
                        return
        except (ConnectionLostError, http1.HttpMessageError):
            self.lost += 1

    def run(self):
        connections, words = [], self.words
        for _ in range(words.connections):
            connections.append((yield from dial(self.loop, self.door, 3_000_000)))
        begin, sent, total = self.loop.kernel.now(), 0, words.rate * words.seconds
        while sent < total:
            due = begin + sent * 1_000_000 // words.rate
            if due > self.loop.kernel.now():
                yield Sleep(due - self.loop.kernel.now())
            if sent % (words.rate * 5) == 0:
                self.memory.append(round(self.rss(), 1))
            self.loop.spawn(self.one(connections[sent % len(connections)]), "hit")
            sent += 1
        end = self.loop.kernel.now() + 5_000_000
        while len(self.took) + self.lost < total and self.loop.kernel.now() < end:
            yield Sleep(10_000)
        self.missing = total - len(self.took) - self.lost
        self.memory.append(round(self.rss(), 1))


def main():
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--connections", type=int, default=2000)
    words.add_argument("--rate", type=int, default=300)
    words.add_argument("--seconds", type=int, default=60)
    words = words.parse_args()
    ports, children = free(INSTANCES), []
    listing, desk, door = free(3)
    try:
        children.append(start("responder", 0.08, *ports))
        children.append(start("peers", listing, desk, *ports))
        wait_for(ports[-1])
        wait_for(desk)
        with tempfile.NamedTemporaryFile("w", suffix=".star", delete=False) as file:
            file.write(SHEET % (listing, desk, door))
        gateway = start("gateway", file.name, "own")
        children.append(gateway)
        wait_for(door)
        time.sleep(0.5)
        soak, before = Soak(door, words, gateway.pid), cpu(gateway.pid)
        soak.loop.run(soak.loop.spawn(soak.run(), "soak"))
        spent = cpu(gateway.pid) - before
        status = json.load(urllib.request.urlopen(f"http://127.0.0.1:{door}/-/status"))
        took = sorted(soak.took)
        print(
            f"{words.connections} connections, {words.rate} hits/s for {words.seconds} s: "
            f"answered {len(took)}, not 200 {soak.other}, lost {soak.lost}, missing {soak.missing}"
        )
        print(
            f"p50 {took[len(took) // 2] / 1000:.1f} ms, p99 {took[int(len(took) * 0.99)] / 1000:.1f} ms, "
            f"CPU {spent / max(1, len(took)) * 1e6:.0f} us a hit"
        )
        print(f"memory, MiB every 5 s: {soak.memory}")
        print(f"loop lag us: {status['lag_us']}")
    finally:
        for child in children:
            child.kill()


if __name__ == "__main__":
    main()
