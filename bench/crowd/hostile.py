"""Discovery and platform that send too much, too large or ever new things, once `kind` is set."""

import asyncio
import json
import re
import socket
import struct

from bench.crowd.protocol import LARGE_VALUE_BYTES, message, response
from bench.crowd.standins import (
    FIRST_BUILD,
    Discovery,
    Instance,
    Platform,
    http_response,
    read_request,
    value_of,
)

LARGE_LIST_HOSTS = 30_000
DENSE_VALUES = 1_500_000
SLOW_PIECE_BYTES, SLOW_PIECE_INTERVAL_S = 64 << 10, 0.02
SLOW_VALUE_BYTES, ENDLESS_BYTES, NOTICE_BYTES = 1 << 10, 8 << 20, 60 << 10
HOLD_S = 30.0
NEW_HOSTS = 200  # in each response
LINE_PIECE = b'{"type":"' + b"x" * (32 << 10)
OBJECTS_IN_A_PIECE = 2000
PEER_BATCH = 64
PEER_HEADER = struct.Struct(">2sHH")


class HostileInstance(Instance):
    """An instance that turns hostile: `kind` is None, "slow-values", "endless-notices", "endless-value" or
    "never-reads".
    """

    kind = None

    async def run(self, request_id: int, text: bytes, reader, writer) -> None:
        """Answers a statement as the kind says."""
        if self.kind is None:
            await super().run(request_id, text, reader, writer)
        elif self.kind == "never-reads":
            writer.transport.pause_reading()
            await asyncio.sleep(HOLD_S)
        elif self.kind == "endless-notices":
            while True:
                writer.write(message(b"N", b"x" * NOTICE_BYTES))
                await writer.drain()
        else:
            data = response(value_of(request_id, LARGE_VALUE_BYTES), text)
            if self.kind == "endless-value":
                data = data[: len(data) // 2] + b"x" * ENDLESS_BYTES
            for offset in range(0, len(data), SLOW_VALUE_BYTES):
                writer.write(data[offset : offset + SLOW_VALUE_BYTES])
                await writer.drain()
                await asyncio.sleep(SLOW_PIECE_INTERVAL_S)


def chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class HostileDiscovery(Discovery):
    """Discovery's agent that turns hostile: `kind` is None, "large-lists", "dense-lists", "new-instances" or
    "new-builds".
    """

    def __init__(self, instances):
        super().__init__(instances)
        self.kind, self.seq, self.count = None, 1, 0
        entry = {**instances[0].entry_form(), "health": "up"}
        large = [{**entry, "host": f"x-{number}"} for number in range(LARGE_LIST_HOSTS)]
        self.large_list = http_response({"seq": 1 << 30, "whole": True, "hosts": large})
        self.dense_list = http_response({"seq": 1 << 30, "whole": True, "hosts": [[]] * DENSE_VALUES})

    async def serve(self, reader, writer) -> None:
        """Answers calls and watches."""
        while True:
            _, target = await read_request(reader)
            if self.kind in ("large-lists", "dense-lists"):
                data = self.large_list if self.kind == "large-lists" else self.dense_list
                for offset in range(0, len(data), SLOW_PIECE_BYTES):
                    writer.write(data[offset : offset + SLOW_PIECE_BYTES])
                    await writer.drain()
                    await asyncio.sleep(SLOW_PIECE_INTERVAL_S)
                continue
            await self.answer(target, writer)

    async def answer(self, target: str, writer) -> None:
        """Answers one call with the list, or with changes that bring ever new entries."""
        if self.kind is not None and "after=" in target:
            writer.write(http_response(self.changes()))
        elif wait := re.search(r"wait_ms=(\d+)", target):
            for _ in range(int(wait[1]) // 20):
                await asyncio.sleep(0.02)
                if self.kind is not None:
                    break
            writer.write(http_response({"seq": self.seq, "whole": False, "hosts": []}))
        else:
            hosts = [instance.entry() for instance in self.instances]
            writer.write(http_response({"seq": self.seq, "whole": True, "hosts": hosts}))
        await writer.drain()

    def changes(self) -> dict:
        """Returns changes with new instances, or with new builds."""
        self.seq += 1
        hosts = []
        for _ in range(NEW_HOSTS):
            self.count += 1
            entry = self.instances[self.count % len(self.instances)].entry()
            entry["host"] = f"new-{self.count}"
            if self.kind == "new-builds":
                entry.update(revision_no=FIRST_BUILD + self.count, health="draining", host="new")
            hosts.append(entry)
        return {"seq": self.seq, "whole": False, "hosts": hosts}


class HostilePlatform(Platform):
    """The platform with a feed that turns hostile: `kind` is None, "endless-line", "heartbeats", "disputes"
    or "new-revisions".
    """

    kind = None

    def __init__(self):
        super().__init__()
        self.revision = FIRST_BUILD

    def state(self) -> dict:
        """Returns the state of the newest build."""
        return {**super().state(), "Revision": self.revision}

    async def serve(self, reader, writer) -> None:
        """Feeds the connection; turns hostile within it."""
        method, _ = await read_request(reader)
        if method == "POST":
            writer.write(http_response(self.state()))
            await writer.drain()
            return
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        writer.write(chunk(json.dumps({"type": "ROLLOUT", "object": self.state()}).encode() + b"\n"))
        while not writer.is_closing():
            if self.kind is None:
                writer.write(chunk(b"{}\n"))
                await asyncio.sleep(0.02)
            else:
                writer.write(chunk(self.piece()))
                await writer.drain()
                await asyncio.sleep(0)

    def piece(self) -> bytes:
        """Returns the next piece of a hostile feed."""
        if self.kind == "endless-line":
            return LINE_PIECE
        if self.kind == "heartbeats":
            return b"{}\n" * OBJECTS_IN_A_PIECE
        lines = []
        for _ in range(OBJECTS_IN_A_PIECE // 10):
            if self.kind == "disputes":
                self.revision += 1
                dispute = {"InstanceId": f"s-{self.revision}", "Lane": "listing-read", "AgeMs": 10}
                lines.append({"type": "DISPUTE", "object": dispute})
            else:
                self.revision += 1
                lines.append({"type": "ROLLOUT", "object": self.state()})
        return b"".join(json.dumps(line).encode() + b"\n" for line in lines)


async def flood_peer(sender: socket.socket, gateway_address, number: int, seconds: float) -> None:
    """Sends samples of an unknown instance from a peer's address at full speed."""
    loop, payload = asyncio.get_running_loop(), b"\0" * 8
    packet = PEER_HEADER.pack(b"cp", number, len(payload)) + payload
    end = loop.time() + seconds
    while loop.time() < end:
        for _ in range(PEER_BATCH):
            try:
                sender.sendto(packet, gateway_address)
            except OSError:
                break
        await asyncio.sleep(0)
