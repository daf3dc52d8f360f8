"""A crowd of clients in a process of its own: `python -m bench.crowd.crowd KIND PORT COUNT SECONDS SEED`.

Prints one JSON object at its end: connections made, bytes sent, and those that the gateway ended.
"""

import asyncio
import json
import random
import resource
import socket
import subprocess
import sys
import time
from pathlib import Path

from bench.crowd.protocol import LARGE_VALUE_BYTES, insert, query, select, startup_message

ROOT = Path(__file__).resolve().parent.parent.parent
CROWD_TIME_LEFT_MS = 2500
PIECE_BYTES = 2 << 10  # of a request that is written slowly
PIECE_INTERVAL_S = 0.02
SEND_BUFFER_BYTES = 32 << 10  # as over a network: a large request comes in parts
SHORT_FIELDS = 2480  # as many as the largest startup message holds
PIPELINED_COMMANDS = 200
FLOOD_BATCH = 400  # commands in one write
RETRY_PAUSE_S = 0.01
READ_BYTES = 1 << 16
LARGE_VALUE = b"9f" * LARGE_VALUE_BYTES


class CrowdClient:
    """One client of a crowd. `play()` opens a connection and uses it until it ends or time is up."""

    def __init__(self, number: int, port: int, until: float, seed: int, counts: dict):
        self.number, self.port, self.until, self.counts = number, port, until, counts
        self.random = random.Random(seed << 16 | number)
        self.sequence = 0
        self.reader = self.writer = None

    def next_id(self) -> int:
        """Returns an id that no other request has."""
        self.sequence += 1
        return 1 << 63 | self.random.getrandbits(14) << 48 | self.number << 32 | self.sequence

    def time_left(self) -> float:
        """Returns the seconds until the crowd leaves."""
        return max(0.0, self.until - time.monotonic())

    async def connect(self) -> None:
        """Opens a connection with a small send buffer."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        except BaseException:
            sock.close()
            raise
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=READ_BYTES)
        self.counts["connections"] += 1

    async def run(self) -> None:
        """Plays again and again until time is up."""
        while self.time_left():
            try:
                await self.connect()
                await self.play()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.counts["ended"] += 1
            finally:
                if self.writer is not None:
                    self.writer.transport.abort()
                    self.writer = None
            await asyncio.sleep(RETRY_PAUSE_S)

    async def send(self, data: bytes) -> None:
        """Sends data at the gateway's pace."""
        self.writer.write(data)
        await self.writer.drain()
        self.counts["bytes"] += len(data)

    async def stay(self) -> None:
        """Reads and discards until the gateway ends the connection or time is up."""
        async with asyncio.timeout(self.time_left()):
            while await self.reader.read(READ_BYTES):
                pass
        raise ConnectionResetError

    async def play(self) -> None:
        """Uses one connection."""
        raise NotImplementedError


class StopHalfWay(CrowdClient):
    """Stops after nine tenths of a large request and stays."""

    async def play(self) -> None:
        """Uses one connection."""
        request = insert(self.next_id(), CROWD_TIME_LEFT_MS, LARGE_VALUE)
        await self.send(startup_message() + request[: len(request) * 9 // 10])
        await self.stay()


class WriteSlowly(CrowdClient):
    """Writes a large request in small pieces, one after another."""

    async def play(self) -> None:
        """Uses one connection."""
        request = insert(self.next_id(), CROWD_TIME_LEFT_MS, LARGE_VALUE)
        await self.send(startup_message())
        for offset in range(0, len(request), PIECE_BYTES):
            if not self.time_left():
                return
            await self.send(request[offset : offset + PIECE_BYTES])
            await asyncio.sleep(PIECE_INTERVAL_S)
        await self.stay()


class ManyFields(CrowdClient):
    """Sends the largest startup message, of very many short fields, and begins again."""

    async def play(self) -> None:
        """Uses one connection."""
        fields = b"user\0w\0" + b"a\0b\0" * SHORT_FIELDS
        await self.send(startup_message(fields))
        async with asyncio.timeout(self.time_left()):
            await self.reader.read(READ_BYTES)


class Pipeline(CrowdClient):
    """Sends hundreds of large commands at once and reads the answers."""

    async def play(self) -> None:
        """Uses one connection."""
        staying = asyncio.ensure_future(self.stay())
        try:
            await self.send(startup_message())
            for _ in range(PIPELINED_COMMANDS):
                await self.send(insert(self.next_id(), CROWD_TIME_LEFT_MS, LARGE_VALUE))
        finally:
            staying.cancel()


class NeverRead(CrowdClient):
    """Sends small requests, sixteen at a time, and never reads an answer."""

    async def play(self) -> None:
        """Uses one connection."""
        self.writer.transport.pause_reading()
        self.writer.write(startup_message())
        while self.time_left():
            await self.send(b"".join(select(self.next_id(), CROWD_TIME_LEFT_MS) for _ in range(16)))
            await asyncio.sleep(0.2)


class BlockingFlood(CrowdClient):
    """One client at full speed, with a blocking socket of its own thread; `command()` makes what it sends."""

    reads = True

    def command(self) -> bytes:
        """Returns the next batch."""
        return query(b"") * FLOOD_BATCH

    async def run(self) -> None:
        """Floods in a thread until time is up."""
        await asyncio.to_thread(self.flood)

    def flood(self) -> None:
        """Sends as fast as the gateway takes it, and begins again when the connection ends."""
        while self.time_left():
            try:
                with socket.create_connection(("127.0.0.1", self.port), 2) as sock:
                    self.counts["connections"] += 1
                    self.use(sock)
            except OSError:
                self.counts["ended"] += 1
                time.sleep(RETRY_PAUSE_S)

    def use(self, sock: socket.socket) -> None:
        """Floods one connection."""
        sock.sendall(startup_message())
        sock.setblocking(False)
        pending = b""
        while self.time_left():
            pending = pending or self.command()
            try:
                sent = sock.send(pending)
                self.counts["bytes"] += sent
                pending = pending[sent:]
            except BlockingIOError:
                time.sleep(0.0005)
            if self.reads:
                try:
                    if not sock.recv(READ_BYTES):
                        raise ConnectionResetError
                except BlockingIOError:
                    pass


class EmptyQueries(BlockingFlood):
    """Sends empty queries at full speed and reads the answers."""


class EmptyQueriesUnread(BlockingFlood):
    """Sends empty queries at full speed and reads nothing."""

    reads = False


class UnsoundRequests(BlockingFlood):
    """Sends statements that no instance takes, at full speed; begins again as soon as it is turned away."""

    def command(self) -> bytes:
        """Returns the next batch."""
        return query(b"SELECT %d" % self.next_id()) * FLOOD_BATCH


class NewNames(BlockingFlood):
    """Sends small requests under ever new tenants, each after the answer to the one before it."""

    def use(self, sock: socket.socket) -> None:
        """Sends one request after another."""
        sock.sendall(startup_message())
        sock.settimeout(2)
        while self.time_left():
            request_id = self.next_id()
            sock.sendall(select(request_id, CROWD_TIME_LEFT_MS, tenant=f"tenant-{request_id:x}"))
            if not sock.recv(READ_BYTES):
                raise ConnectionResetError


class HalfCommand(CrowdClient):
    """Sends the first half of a small request and stays; begins again when it is turned away."""

    async def play(self) -> None:
        """Uses one connection."""
        request = select(self.next_id(), CROWD_TIME_LEFT_MS)
        await self.send(startup_message() + request[: len(request) // 2])
        await self.stay()


class StartupBytes(CrowdClient):
    """Sends nothing but a part of the startup message and stays."""

    async def play(self) -> None:
        """Uses one connection."""
        await self.send(startup_message()[:3])
        await self.stay()


class Silent(CrowdClient):
    """Connects and says nothing."""

    async def play(self) -> None:
        """Uses one connection."""
        await self.stay()


KINDS = {
    "stop-half-way": StopHalfWay,
    "write-slowly": WriteSlowly,
    "many-fields": ManyFields,
    "pipeline": Pipeline,
    "never-read": NeverRead,
    "empty-queries": EmptyQueries,
    "empty-queries-unread": EmptyQueriesUnread,
    "unsound-requests": UnsoundRequests,
    "new-names": NewNames,
    "half-command": HalfCommand,
    "startup-bytes": StartupBytes,
    "silent": Silent,
}


def start_crowd(kind: str, port: int, count: int, seconds: float, seed: int) -> subprocess.Popen:
    """Starts a crowd in a process of its own."""
    command = [sys.executable, "-m", "bench.crowd.crowd", kind, port, count, seconds, seed]
    return subprocess.Popen([str(word) for word in command], cwd=ROOT, stdout=subprocess.PIPE)


async def crowd(kind: str, port: int, count: int, seconds: float, seed: int) -> dict:
    """Plays a crowd and returns its counts."""
    counts = {"kind": kind, "connections": 0, "bytes": 0, "ended": 0}
    until = time.monotonic() + seconds
    clients = [KINDS[kind](number, port, until, seed, counts) for number in range(count)]
    await asyncio.gather(*(client.run() for client in clients))
    return counts


def main() -> None:
    """Plays the crowd that the command line names."""
    kind, port, count, seconds, seed = sys.argv[1:6]
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    print(json.dumps(asyncio.run(crowd(kind, int(port), int(count), float(seconds), int(seed)))))


if __name__ == "__main__":
    main()
