"""Soak test of one gateway with many open connections at a steady rate.

Reports lost responses, memory use over time and the lag of the event loop.

    .venv/bin/python bench/soak.py [--connections 2000] [--rate 300] [--seconds 60]

Hits are sent in an open loop, each on the next connection in turn. An instance takes 80 ms to answer.
"""

import argparse
import json
import os
import sys
import tempfile
import time
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from relay import INSTANCES, SETTINGS_TEMPLATE, cpu_seconds, free_ports, start, wait_for  # noqa: E402

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


class SoakTest:
    """Load generator and counters of one soak test.

    `latencies` are in microseconds, `memory` in MiB, one sample every 5 s and one at the end.
    """

    def __init__(self, port, options, pid):
        self.loop = Loop(EpollKernel())
        self.address = ("127.0.0.1", port)
        self.options = options
        self.pid = pid
        self.latencies, self.lost, self.not_ok, self.memory = [], 0, 0, []

    def resident_mib(self):
        """Returns the resident memory of the gateway in MiB."""
        with open(f"/proc/{self.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

    def send_hit(self, connection):
        """Sends one hit on an open connection and counts its response, or its loss."""
        sent_at, parser = self.loop.kernel.now(), http1.ResponseParser(LIMITS)
        try:
            yield from connection.write(b"GET /look HTTP/1.1\r\nhost: t\r\n\r\n")
            while True:
                data = yield from connection.read()
                for kind, value in parser.feed(data) if data else parser.closed():
                    if kind == "head" and value.status != 200:
                        self.not_ok += 1
                    if kind == "end":
                        self.latencies.append(self.loop.kernel.now() - sent_at)
                        return
        except (ConnectionLostError, http1.HttpMessageError):
            self.lost += 1

    def run(self):
        """Opens the connections, sends all hits at their times, and waits up to 5 s for the rest."""
        connections, options = [], self.options
        for _ in range(options.connections):
            connections.append((yield from dial(self.loop, self.address, 3_000_000)))
        begin, sent, total = self.loop.kernel.now(), 0, options.rate * options.seconds
        while sent < total:
            send_at = begin + sent * 1_000_000 // options.rate
            if send_at > self.loop.kernel.now():
                yield Sleep(send_at - self.loop.kernel.now())
            if sent % (options.rate * 5) == 0:
                self.memory.append(round(self.resident_mib(), 1))
            self.loop.spawn(self.send_hit(connections[sent % len(connections)]), "hit")
            sent += 1
        deadline = self.loop.kernel.now() + 5_000_000
        while len(self.latencies) + self.lost < total and self.loop.kernel.now() < deadline:
            yield Sleep(10_000)
        self.missing = total - len(self.latencies) - self.lost
        self.memory.append(round(self.resident_mib(), 1))


def main():
    """Starts the responder, the list, the desk and a gateway, runs the test and prints its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, default=2000)
    parser.add_argument("--rate", type=int, default=300)
    parser.add_argument("--seconds", type=int, default=60)
    options = parser.parse_args()
    ports, children = free_ports(INSTANCES), []
    list_port, desk_port, gateway_port = free_ports(3)
    try:
        children.append(start("responder", 0.08, *ports))
        children.append(start("peers", list_port, desk_port, *ports))
        wait_for(ports[-1])
        wait_for(desk_port)
        with tempfile.NamedTemporaryFile("w", suffix=".star", delete=False) as file:
            file.write(SETTINGS_TEMPLATE % (list_port, desk_port, gateway_port))
        gateway = start("gateway", file.name, "own")
        children.append(gateway)
        wait_for(gateway_port)
        time.sleep(0.5)
        soak, before = SoakTest(gateway_port, options, gateway.pid), cpu_seconds(gateway.pid)
        soak.loop.run(soak.loop.spawn(soak.run(), "soak"))
        spent = cpu_seconds(gateway.pid) - before
        status = json.load(urllib.request.urlopen(f"http://127.0.0.1:{gateway_port}/-/status"))
        latencies = sorted(soak.latencies)
        print(
            f"{options.connections} connections, {options.rate} hits/s for {options.seconds} s: "
            f"answered {len(latencies)}, not 200 {soak.not_ok}, lost {soak.lost}, missing {soak.missing}"
        )
        print(
            f"p50 {latencies[len(latencies) // 2] / 1000:.1f} ms, "
            f"p99 {latencies[int(len(latencies) * 0.99)] / 1000:.1f} ms, "
            f"CPU {spent / max(1, len(latencies)) * 1e6:.0f} us a hit"
        )
        print(f"memory, MiB every 5 s: {soak.memory}")
        print(f"loop lag us: {status['lag_us']}")
    finally:
        for child in children:
            child.kill()


if __name__ == "__main__":
    main()
