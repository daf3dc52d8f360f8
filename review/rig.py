"""Stand-ins for clients, instances, discovery and the platform, and the start of one gateway process.

They are written from the pages on the protocol and the deployment, with the standard library alone. The
gateway is started with the `run` line of the deploy file; everything else runs in the process of the test.
"""

import asyncio
import json
import os
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
READY = b"Z\0\0\0\5I"
# how a connection of a stand-in ends: by its peer, or with the test
ENDED = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)
COMMENT = re.compile(rb"/\* id=([0-9a-f]{16}),c=([^,]*),t=([^,]*),d=(\d+)(?:,k=([0-9a-f]{16}))?")

# The example of the page on the wire, with one gateway, without peers and probes.
SETTINGS = {
    "areas": ["tallinn-dc", "tartu-dc"],
    "balancers": 1,
    "position": 0,
    "zone": "tallinn-dc",
    "quantum": 5.0,
    "discovery": "automatic",
    "categories": [
        {
            "name": "listing-read",
            "idempotency": "idempotent",
            "dedupScope": "all",
            "window": 5000.0,
            "aim": 1000.0,
            "deadline": 2500.0,
            "lateWorth": 0.0,
            "points": 1.0,
            "stream": False,
        },
        {
            "name": "resale-buy",
            "idempotency": "deduplicated",
            "dedupScope": "all",
            "window": 3000.0,
            "aim": 1200.0,
            "deadline": 5000.0,
            "lateWorth": 0.0,
            "points": 5.0,
            "stream": False,
        },
    ],
    "clients": {"marksRetry": True},
    "familyInfo": {
        "answerWait": 1200.0,
        "apiRate": 50.0,
        "ayesNeeded": 0,
        "ballotTtl": 10000.0,
        "countedBy": "all",
        "exposureCaps": [0.16, 0.5, 1.0, 1.0],
        "exposureWindow": 2000.0,
        "foundShare": 0.3,
        "gateMode": "automatic",
        "harmFee": 3.0,
        "keysStay": False,
        "lagFee": 0.35,
        "layout": "parallel",
        "minDwell": 3000.0,
        "newsPeriod": 4000.0,
        "shares": [0.08, 0.25, 0.6, 1.0],
        "shielded": 0,
        "step": 4000.0,
        "tally": 0.0,
        "tallySample": 0.0,
        "toAbort": 1,
        "toPause": 1,
        "uncounted": 2.0,
        "warmKeys": False,
    },
    "goal": {"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.1},
    "kindOfService": "rollout",
    "layers": ["resale-api"],
    "loadInfo": {"how": "inline", "names": ["util", "inflight", "latency_ms"]},
    "obligations": {
        "answerSlack": 20.0,
        "cold": 4400.0,
        "coldFrom": 0.33,
        "mustAskIn": 10000.0,
        "overloadFactor": 2.0,
        "stopSendingWithin": 250.0,
        "tipAfter": 1500.0,
    },
    "overShareWorth": 0.1,
    "policyLimits": {
        "connIdle": 15000.0,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 116980,
        "dialTimeout": 250.0,
        "maxAttempts": 3,
        "maxRetryAfter": 2000.0,
        "mayCancel": True,
        "mayDuplicate": False,
        "mostHeld": 29245,
        "peers": False,
        "probes": False,
        "retryAfter": True,
        "streamsPerConn": 100,
    },
    "shapes": ["small-2c"],
    "tariffs": {"crossZone": 0.04, "lateFail": 0.08, "peer": 0.05, "probe": 0.01, "waste": 0.03},
    "tenants": [
        {"name": "emajoe-hall", "quotaRps": 41.0, "share": 0.5},
        {"name": "vaksali-fest", "quotaRps": 31.0, "share": 0.5},
    ],
    "tier": 0,
    "weights": "nominal",
    "worthBy": "request",
}


def exit_not_run(error_type, error, traceback) -> None:
    """Exits with 2 after an error outside `main`; Python's own 1 would say that the rule was broken."""
    sys.__excepthook__(error_type, error, traceback)
    sys.stderr.flush()
    os._exit(NOT_RUN)


sys.excepthook = exit_not_run


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, a line each, with milliseconds since the start of the test."""

    def __init__(self, folder: Path):
        self.path, self.began, self.lines = folder / "record.txt", time.monotonic(), []

    def now(self) -> float:
        """Returns milliseconds since the start of the test."""
        return (time.monotonic() - self.began) * 1000

    def add(self, text: str) -> float:
        """Adds a line and returns its time."""
        now = self.now()
        self.lines.append(f"{now:10.1f} {text}")
        return now

    def write(self) -> None:
        """Writes the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def message(kind: bytes, body: bytes) -> bytes:
    """Encodes a message of PostgreSQL's protocol."""
    return kind + struct.pack(">I", len(body) + 4) + body


def startup_message() -> bytes:
    """Encodes a startup message."""
    body = b"\0\3\0\0user\0web\0database\0orders\0\0"
    return struct.pack(">I", len(body) + 4) + body


def query_message(text: bytes) -> bytes:
    """Encodes a simple query."""
    return message(b"Q", text + b"\0")


def select(id: int, time_left: int, group="listing-read") -> bytes:
    """Returns a SELECT of a client; `time_left` in milliseconds."""
    return (
        f"SELECT payload FROM entries WHERE ref = '{id:016x}' "
        f"/* id={id:016x},c={group},t=emajoe-hall,d={time_left} */"
    ).encode()


def insert(id: int, time_left: int, payload: str, group="resale-buy") -> bytes:
    """Returns an INSERT of a client; `time_left` in milliseconds, `payload` in hex."""
    return (
        f"INSERT INTO entries (ref, payload) VALUES ('{id:016x}', '\\x{payload}') RETURNING payload "
        f"/* id={id:016x},c={group},t=emajoe-hall,d={time_left},k={id:016x} */"
    ).encode()


def row(value: bytes, text: bytes) -> bytes:
    """Encodes an instance's whole answer to a statement: one row of one column, and ReadyForQuery."""
    tag = b"SELECT 1" if text.startswith(b"SELECT") else b"INSERT 0 1"
    column = b"payload\0" + struct.pack(">IhIhih", 0, 0, 17, -1, -1, 1)
    return (
        message(b"T", b"\0\1" + column)
        + message(b"D", b"\0\1" + struct.pack(">I", len(value)) + value)
        + message(b"C", tag + b"\0")
        + READY
    )


async def read_messages(reader) -> list:
    """Reads messages up to ReadyForQuery; the last is (b"", b"") where the connection ended before it."""
    got = []
    while True:
        try:
            head = await reader.readexactly(5)
            body = await reader.readexactly(struct.unpack(">I", head[1:])[0] - 4)
        except (asyncio.IncompleteReadError, ConnectionError):
            return [*got, (b"", b"")]
        if head[:1] == b"Z":
            return got
        got.append((head[:1], body))


def outcome(messages: list) -> tuple:
    """Returns ("served", value), (SQLSTATE, text), ("empty", None) or ("closed", None)."""
    for kind, body in messages:
        if kind == b"D":
            complete = any(other == b"C" for other, _ in messages)
            return ("served", body[6:]) if complete else ("closed", None)
        if kind == b"E":
            fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
            return fields[b"C"], fields.get(b"M")
        if kind == b"I":
            return "empty", None
    return "closed", None


class Client:
    """One connection of a client to the gateway."""

    def __init__(self, port: int):
        self.port = port

    async def connect(self):
        """Connects and waits for the gateway's welcome."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.write(startup_message())
        await read_messages(self.reader)
        return self

    async def ask(self, text: bytes) -> tuple:
        """Sends one statement and returns its outcome."""
        self.writer.write(query_message(text))
        return outcome(await read_messages(self.reader))

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


class Instance:
    """One instance: it welcomes every connection and runs one statement at a time on each.

    `run(instance, text, writer)` runs a statement and writes the answer.
    """

    def __init__(self, record: Record, name: str, run):
        self.record, self.name, self.run, self.attempts = record, name, run, []

    async def start(self) -> "Instance":
        """Listens at a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer) -> None:
        """Serves one connection."""
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
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
                    writer.write(READY)
                    continue
                id, limit = comment[1].decode(), int(comment[4])
                at = self.record.add(f"{self.name} got an attempt of {id}, told d={limit}")
                self.attempts.append((at, id, limit))
                await self.run(self, text, writer)
                await writer.drain()
        except ENDED:
            pass
        finally:
            writer.close()


def made_value(instance: Instance, text: bytes) -> bytes:
    """Returns the value that an instance makes for a request: it names the request and the instance."""
    return b"made for " + COMMENT.search(text)[1] + b" by " + instance.name.encode()


async def answer(instance: Instance, text: bytes, writer, work: float = 0.02) -> None:
    """Runs a statement for `work` seconds and answers it."""
    await asyncio.sleep(work)
    writer.write(row(made_value(instance, text), text))
    instance.record.add(f"{instance.name} ran and answered {COMMENT.search(text)[1].decode()}")


def http_response(body: bytes) -> bytes:
    """Encodes a JSON answer."""
    head = f"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def read_request(reader) -> tuple:
    """Reads one HTTP request and returns (method, target, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length = re.search(r"content-length: *(\d+)", head, re.IGNORECASE)
    method, target, _ = head.split(" ", 2)
    return method, target, await reader.readexactly(int(length[1]) if length else 0)


class Discovery:
    """Discovery's agent: the list of instances, and watches. `delay()`: seconds by which answers are late."""

    def __init__(self, record: Record, hosts: list, delay=lambda: 0.0):
        self.record, self.hosts, self.delay = record, hosts, delay
        self.seq, self.changes, self.changed = 1, [], asyncio.Event()

    async def start(self) -> "Discovery":
        """Listens at a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def publish(self, host: str, **fields) -> float:
        """Changes the entry of a host and returns the time."""
        entry = next(entry for entry in self.hosts if entry["host"] == host)
        entry.update(fields)
        self.seq += 1
        self.changes.append((self.seq, dict(entry)))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.record.add(f"discovery has version {self.seq}: {host} {fields}")

    async def serve(self, reader, writer) -> None:
        """Answers the calls of one connection."""
        try:
            while True:
                _, target, _ = await read_request(reader)
                asked, late = self.record.now(), self.delay()
                after, wait = (re.search(rf"{name}=(\d+)", target) for name in ("after", "wait_ms"))
                if after is not None:
                    end = time.monotonic() + int(wait[1]) / 1000
                    while self.seq <= int(after[1]) and (left := end - time.monotonic()) > 0:
                        try:
                            await asyncio.wait_for(self.changed.wait(), left)
                        except TimeoutError:
                            break
                await asyncio.sleep(late)
                if after is None:
                    answer = {"seq": self.seq, "whole": True, "hosts": self.hosts}
                else:
                    hosts = [entry for seq, entry in self.changes if seq > int(after[1])]
                    answer = {"seq": self.seq, "whole": False, "hosts": hosts}
                writer.write(http_response(json.dumps(answer).encode()))
                await writer.drain()
                self.record.add(f"discovery answered {target}, asked at {asked:.0f}, with seq {self.seq}")
        except ENDED:
            pass
        finally:
            writer.close()


class Platform:
    """The platform: the state of the newest build on a feed, and votes."""

    def __init__(self, record: Record):
        self.record, self.began = record, time.monotonic()

    def state(self) -> dict:
        """Returns the state of the newest build, which is released."""
        age = int((time.monotonic() - self.began) * 1000)
        return {"Revision": 1, "Wave": 3, "State": "stable", "MaxShare": 1.0, "AgeMs": age}

    async def start(self) -> "Platform":
        """Listens at a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer) -> None:
        """Answers the calls of one connection, or feeds it."""
        try:
            while True:
                method, target, body = await read_request(reader)
                if method == "POST":
                    self.record.add(f"platform got {body.decode()}")
                    writer.write(http_response(json.dumps(self.state()).encode()))
                    await writer.drain()
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
                line = json.dumps({"type": "ROLLOUT", "object": self.state()}).encode() + b"\n"
                while not writer.is_closing():
                    writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                    await writer.drain()
                    await asyncio.sleep(1)
                    line = b"{}\n"
        except ENDED:
            pass
        finally:
            writer.close()


def host_entry(name: str, port: int, zone="tallinn-dc") -> dict:
    """Returns discovery's entry of an instance that started long ago."""
    return {
        "host": name,
        "dial": f"127.0.0.1:{port}",
        "site": zone,
        "class": "small-2c",
        "block": 0,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
        "revision_no": 1,
    }


class Gateway:
    """One gateway process, started with the `run` line of the deploy file."""

    def __init__(self, record: Record, folder: str, discovery: int, platform: Platform, **limits):
        self.record, self.folder = record, folder
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.limits = {"cores": 1.0, "memory_mb": 64, "sockets": 256, **limits}
        self.configuration = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "rollouts": {"address": f"127.0.0.1:{platform.port}", "news": platform.state()},
            "settings": SETTINGS,
        }

    def start(self) -> None:
        """Starts the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        path = Path(self.folder) / "config.json"
        path.write_text(json.dumps(self.configuration))
        sockets = self.limits["sockets"]
        with open(Path(self.folder) / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env={
                    **os.environ,
                    "TMPDIR": self.folder,
                    "EDGE_NAME": "n0",
                    "EDGE_LISTEN": self.configuration["listen"],
                    "EDGE_DISCOVERY": self.configuration["discovery"],
                    "EDGE_CONFIG": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )
        self.record.add(f"started the gateway: {run}; seed {self.configuration['seed']}")

    async def ready(self) -> None:
        """Waits until the gateway has answered an empty query."""
        for _ in range(200):
            if self.process.poll() is not None:
                raise CaseError(f"the gateway ended with {self.process.returncode} before it was ready")
            try:
                client = await Client(self.port).connect()
                got = await client.ask(b"")
                client.close()
                if got[0] == "empty":
                    self.record.add("the gateway is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CaseError("the gateway was not ready within 10 s")

    def memory_mb(self) -> float:
        """Returns the memory of the process in MB, without mapped files; 0 once it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"RssAnon:\s*(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    async def stop(self) -> None:
        """Ends the process by its id: TERM, and KILL where it is still there 6 s later."""
        process = getattr(self, "process", None)
        if process is None:
            return
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
            for _ in range(120):
                if process.poll() is not None:
                    break
                await asyncio.sleep(0.05)
        if process.poll() is None:
            process.kill()
        process.wait()
        self.record.add(f"the gateway has ended with {process.returncode}")


def main(folder: str, case) -> None:
    """Runs `case(record, temporary folder)` within 110 s and exits with its verdict."""
    record, verdict = Record(Path(folder).resolve()), NOT_RUN
    record.add(f"disruption: {'yes' if DISRUPTED else 'no'}")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            verdict = asyncio.run(asyncio.wait_for(case(record, temporary), 110))
        except Exception as error:  # whatever it is, it shows nothing about the rule
            record.add(f"the case could not run: {error!r}")
        log = Path(temporary) / "log.txt"
        record.lines.append("log of the gateway:")
        record.lines += log.read_text().splitlines()[-400:] if log.exists() else []
    record.lines.append(f"exit {verdict}")
    record.write()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[verdict])
    sys.exit(verdict)
