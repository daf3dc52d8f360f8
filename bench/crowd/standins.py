"""Stand-ins for instances, discovery and the release platform, written from the protocol page."""

import asyncio
import json
import re
import socket
import struct
import time
from dataclasses import dataclass

from bench.crowd.protocol import COMMENT, READY, message, response

CONNECTION_ENDED = (asyncio.IncompleteReadError, OSError, asyncio.CancelledError)
HEARTBEAT_S = 1.0
READ_LIMIT_BYTES = 1 << 20
FIRST_BUILD = 1


@dataclass(frozen=True)
class Attempt:
    """One statement that an instance has received whole. `at`: monotonic seconds."""

    at: float
    instance: str
    request_id: int
    group: str
    told_ms: int


def value_of(request_id: int, size: int = 0) -> bytes:
    """Returns the value that an instance makes for a request, filled up to `size` bytes."""
    value = b"made for %016x " % request_id
    return value + b"." * max(0, size - len(value))


class TcpStandIn:
    """A server at a free port of loopback; `serve(reader, writer)` serves one connection."""

    port = 0

    async def start(self):
        """Starts to listen; returns the stand-in itself."""
        self.server = await asyncio.start_server(self.handle, "127.0.0.1", self.port, limit=READ_LIMIT_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def handle(self, reader, writer) -> None:
        """Serves one connection until it ends."""
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except CONNECTION_ENDED:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer) -> None:
        """Serves one connection."""
        raise NotImplementedError


class Instance(TcpStandIn):
    """An instance that runs each statement for `work_s` seconds and answers with `value_bytes` bytes."""

    def __init__(self, name: str, work_s: float = 0.02, value_bytes: int = 0):
        self.name, self.work_s, self.value_bytes = name, work_s, value_bytes
        self.attempts: list[Attempt] = []

    def entry(self) -> dict:
        """Returns discovery's entry of this instance."""
        return {**self.entry_form(), "dial": f"127.0.0.1:{self.port}"}

    def entry_form(self) -> dict:
        """Returns the entry without the port, which is known once the instance listens."""
        return {
            "host": self.name,
            "dial": "127.0.0.1:1",
            "site": "tallinn-dc",
            "class": "small-2c",
            "block": 0,
            "health": "up",
            "share": 1.0,
            "born_ms": 0,
            "revision_no": FIRST_BUILD,
        }

    async def serve(self, reader, writer) -> None:
        """Welcomes the gateway and runs its statements one after another."""
        size = struct.unpack(">I", await reader.readexactly(4))[0]
        await reader.readexactly(size - 4)
        writer.write(message(b"R", b"\0\0\0\0") + message(b"K", b"\0" * 8) + READY)
        while True:
            head = await reader.readexactly(5)
            text = (await reader.readexactly(struct.unpack(">I", head[1:])[0] - 4))[:-1]
            if head[:1] != b"Q":
                return
            comment = COMMENT.search(text)
            if comment is None:
                writer.write(message(b"I", b"") + READY)
                continue
            request_id = int(comment[1], 16)
            self.attempts.append(
                Attempt(time.monotonic(), self.name, request_id, comment[2].decode(), int(comment[4]))
            )
            await self.run(request_id, text, reader, writer)

    async def run(self, request_id: int, text: bytes, reader, writer) -> None:
        """Runs a statement and answers it."""
        await asyncio.sleep(self.work_s)
        writer.write(response(value_of(request_id, self.value_bytes), text))
        await writer.drain()


def http_response(document: dict) -> bytes:
    """Encodes a JSON response."""
    body = json.dumps(document).encode()
    return b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


async def read_request(reader) -> tuple[str, str]:
    """Reads one HTTP request and returns its method and target."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length = re.search(r"content-length: *(\d+)", head, re.IGNORECASE)
    await reader.readexactly(int(length[1]) if length else 0)
    method, target, _ = head.split(" ", 2)
    return method, target


class Discovery(TcpStandIn):
    """Discovery's agent with a list of instances that does not change."""

    def __init__(self, instances: list[Instance]):
        self.instances = instances

    async def serve(self, reader, writer) -> None:
        """Answers calls for the list and watches."""
        while True:
            _, target = await read_request(reader)
            wait = re.search(r"wait_ms=(\d+)", target)
            if wait is not None:
                await asyncio.sleep(int(wait[1]) / 1000)
                writer.write(http_response({"seq": 1, "whole": False, "hosts": []}))
            else:
                hosts = [instance.entry() for instance in self.instances]
                writer.write(http_response({"seq": 1, "whole": True, "hosts": hosts}))
            await writer.drain()


class Platform(TcpStandIn):
    """The release platform: one released build, a feed, and votes."""

    def __init__(self):
        self.began = time.monotonic()

    def state(self) -> dict:
        """Returns the state of the newest build."""
        age_ms = int((time.monotonic() - self.began) * 1000)
        return {"Revision": FIRST_BUILD, "Wave": 3, "State": "stable", "MaxShare": 1.0, "AgeMs": age_ms}

    async def serve(self, reader, writer) -> None:
        """Answers a vote, or feeds the connection."""
        while True:
            method, _ = await read_request(reader)
            if method == "POST":
                writer.write(http_response(self.state()))
                await writer.drain()
                continue
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            line = json.dumps({"type": "ROLLOUT", "object": self.state()}).encode() + b"\n"
            while not writer.is_closing():
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                await asyncio.sleep(HEARTBEAT_S)
                line = b"{}\n"
