"""Stand-ins of the second review: instances, discovery, platform and clients, on loopback and the real clock.

Written from the users' pages (PROTOCOL.md, DEPLOY.md). The standard library alone; one asyncio loop plays all
parties, and the gateways run as processes of their own, by the `run` line of the deploy file.
"""

import asyncio
import json
import os
import random
import re
import shutil
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
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
STATEMENT = re.compile(rb"/\* id=([0-9a-f]{16}),c=([^,]*),t=([^,]*),d=(\d+)")
SELECT = "SELECT payload FROM entries WHERE ref = '%s' /* id=%s,c=%s,t=%s,d=%d */"
INSERT = (
    "INSERT INTO entries (ref, payload) VALUES ('%s', '\\x%s') RETURNING payload "
    "/* id=%s,c=%s,t=%s,d=%d,k=%s */"
)


# a request is lost half a second after its time; each time limit is 50 ms longer on sockets
ANSWER_GRACE_S = 0.55


class CaseError(Exception):
    """The case could not run."""


def message(kind: bytes, body: bytes) -> bytes:
    """Encodes a message of PostgreSQL's protocol."""
    return kind + struct.pack(">I", len(body) + 4) + body


READY = message(b"Z", b"I")
EMPTY = message(b"I", b"") + READY
STARTUP_BODY = b"\0\3\0\0user\0web\0database\0orders\0\0"
STARTUP = struct.pack(">I", len(STARTUP_BODY) + 4) + STARTUP_BODY


def error(code: str, text: str, fatal: bool = False) -> bytes:
    """Encodes an ErrorResponse."""
    severity = "FATAL" if fatal else "ERROR"
    return message(b"E", f"S{severity}\0V{severity}\0C{code}\0M{text}\0\0".encode())


def row(value: bytes, tag: bytes) -> bytes:
    """Encodes RowDescription, DataRow and CommandComplete of one binary value."""
    column = b"payload\0" + struct.pack(">IhIhih", 0, 0, 17, -1, -1, 1)
    return (
        message(b"T", b"\0\1" + column)
        + message(b"D", b"\0\1" + struct.pack(">I", len(value)) + value)
        + message(b"C", tag + b"\0")
    )


async def read_message(reader):
    """Reads one message after the startup; returns (kind, body)."""
    head = await reader.readexactly(5)
    return head[:1], await reader.readexactly(struct.unpack(">I", head[1:])[0] - 4)


def abort(writer):
    """Closes a connection at once."""
    writer.transport.abort()


class Record:
    """What was sent, answered and run, in the order of time; written to `record.txt` at the end."""

    def __init__(self):
        self.began, self.lines = time.monotonic(), []

    def add(self, text: str, at: float | None = None):
        """Adds a line at a time of the monotonic clock, now by default."""
        self.lines.append((time.monotonic() if at is None else at, text))

    def write(self, folder: Path):
        """Writes the file."""
        with open(folder / "record.txt", "w") as file:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at - self.began:9.4f} {text}\n")


class Instance:
    """One instance: `cores` workers, a queue, and the faults that a case switches on.

    `welcome_delay`: seconds by which a new connection comes up late. Attempts whose last byte has arrived are
    added to `world.attempts`.
    """

    def __init__(self, world, number: int, build: int, zone: str):
        self.world, self.id = world, f"s-{number:04x}"
        self.build, self.zone, self.born_ms, self.health = build, zone, 0, "up"
        self.welcome_delay, self.writers = 0.0, set()
        self.cores, self.queue_limit, self.in_hand = asyncio.Semaphore(2), 40, 0
        self.awake = asyncio.Event()
        self.awake.set()
        self.address = None

    async def start(self):
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 18)
        self.address = self.server.sockets[0].getsockname()

    def fall_silent(self):
        """The machine vanishes: its connections stay open, and it says nothing."""
        self.awake.clear()
        self.world.record.add(f"instance {self.id} falls silent")

    def come_back(self):
        """The machine is back after a restart: its old connections are reset, and discovery has its start."""
        for writer in list(self.writers):
            abort(writer)
        self.awake.set()
        self.born_ms = int(time.time() * 1000)
        for gateway in self.world.gateways:
            gateway.discovery.publish(self)
        self.world.record.add(f"instance {self.id} is back")

    def row(self) -> dict:
        """The entry in discovery's list."""
        return {
            "host": self.id,
            "dial": f"{self.address[0]}:{self.address[1]}",
            "site": self.zone,
            "class": "small-2c",
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
            "revision_no": self.build,
        }

    async def serve(self, reader, writer):
        """Serves one connection of a gateway."""
        self.writers.add(writer)
        try:
            size = struct.unpack(">I", await reader.readexactly(4))[0]
            await reader.readexactly(size - 4)
            if self.welcome_delay:
                await asyncio.sleep(self.welcome_delay)
            await self.awake.wait()
            writer.write(message(b"R", b"\0\0\0\0") + message(b"K", b"\0" * 8) + READY)
            while True:
                kind, body = await asyncio.wait_for(read_message(reader), self.world.idle_s)
                if kind != b"Q":
                    return
                await self.handle(body[:-1], writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            self.writers.discard(writer)
            abort(writer)

    async def handle(self, text: bytes, writer):
        """Answers one query."""
        arrived = time.monotonic()
        found = STATEMENT.search(text)
        if found:
            id, group, _, d = (part.decode() for part in found.groups())
            self.world.attempts.append((arrived, self, id, group, int(d)))
            self.world.record.add(f"attempt {id} {group} d={d} at {self.id} build {self.build}", arrived)
        await self.awake.wait()
        if not text.strip():
            writer.write(EMPTY)
        elif text == b"SHOW gauges":
            writer.write(row(b"inflight=%d,util=0.5,latency_ms=50" % self.in_hand, b"SHOW") + READY)
        elif text == b"SELECT 1":
            writer.write(row(b"1", b"SELECT 1") + READY)
        elif not found:
            writer.write(error("08P01", "no statement") + READY)
            self.world.record.add(f"statement that no client sent at {self.id}: {text[:80]!r}")
        elif self.in_hand >= self.queue_limit:
            writer.write(error("53300", "queue full") + READY)
        else:
            self.in_hand += 1
            try:
                async with self.cores:
                    if time.monotonic() - arrived > int(d) / 1000:
                        writer.write(error("53300", "the request is over") + READY)
                        return
                    self.world.record.add(f"run {id} at {self.id}")
                    await asyncio.sleep(self.world.work(group))
            finally:
                self.in_hand -= 1
            await self.awake.wait()
            tag = b"SELECT 1" if text.startswith(b"SELECT") else b"INSERT 0 1"
            status = message(b"S", b"gauges\0inflight=%d,util=0.5,latency_ms=50\0" % (self.in_hand + 1))
            writer.write(status + row(f"{id} {self.id}".encode(), tag) + READY)
        await writer.drain()


async def read_request(reader):
    """Reads one HTTP request; returns (method, path, query, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    method, target, _ = head.split("\r\n", 1)[0].split(" ")
    length = re.search(r"(?im)^content-length:\s*(\d+)", head)
    body = await reader.readexactly(int(length.group(1))) if length else b""
    path, _, query = target.partition("?")
    return method, path, dict(pair.split("=", 1) for pair in query.split("&") if pair), body


class Http:
    """A small HTTP/1.1 server; `answer(method, path, query, body, writer)` gives an object or None."""

    async def start(self):
        """Listens on a free port."""
        self.writers = set()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        """Serves one connection."""
        self.writers.add(writer)
        try:
            while True:
                answer = await self.answer(*(await read_request(reader)), writer)
                if answer is None:
                    return
                status, document = answer
                body = json.dumps(document, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} S\r\ncontent-type: application/json\r\n"
                writer.write(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            abort(writer)

    def end(self):
        """Closes all open connections."""
        for writer in list(self.writers):
            abort(writer)


class Discovery(Http):
    """One gateway's agent: the list as the world tells it. `slow`: seconds by which each answer comes late.
    `silent`: it takes calls and answers none."""

    def __init__(self, world):
        self.world, self.seq, self.rows, self.changes = world, 1, {}, []
        self.slow, self.silent, self.changed, self.told = 0.0, False, asyncio.Event(), []

    def publish(self, *instances):
        """The agent has been sent new entries."""
        self.seq += 1
        for instance in instances:
            entry = instance.row()
            self.changes.append((self.seq, entry))
            if entry["health"] == "removed":
                self.rows.pop(entry["host"], None)
            else:
                self.rows[entry["host"]] = entry
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, method, path, query, body, writer):
        """Answers a call for the whole list, or a watch."""
        if self.silent:
            await asyncio.sleep(3600)
        if "after" in query:
            after, end = int(query["after"]), time.monotonic() + min(60000, int(query["wait_ms"])) / 1000
            while self.seq <= after and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
        if self.slow:
            await asyncio.sleep(self.slow)
        if "after" in query:
            latest = {entry["host"]: entry for seq, entry in self.changes if seq > after}
            document = {"seq": self.seq, "whole": False, "hosts": list(latest.values())}
        else:
            document = {"seq": self.seq, "whole": True, "hosts": list(self.rows.values())}
        self.told.append((time.monotonic(), self.seq))
        return 200, document


class Platform(Http):
    """The platform: the release's state, its feed, and votes that count and change nothing."""

    def __init__(self, world, build: int, wave: int, state: str, cap: float):
        self.world, self.build, self.wave, self.state, self.cap = world, build, wave, state, cap
        self.since, self.feeds = time.monotonic(), []

    def news(self) -> dict:
        """The state of the newest build."""
        age = int((time.monotonic() - self.since) * 1000)
        state = {"Revision": self.build, "Wave": self.wave, "State": self.state}
        return {**state, "MaxShare": self.cap, "AgeMs": age}

    async def answer(self, method, path, query, body, writer):
        """Answers a vote, or opens a feed."""
        if path.endswith("/ballots"):
            self.world.record.add(f"vote {body.decode()}")
            vote = json.loads(body)
            current = vote["Revision"] == self.build and self.state in ("canary", "stable")
            return (200, self.news()) if current else (409, {"error": "STALE"})
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        first = True
        while True:
            line = {"type": "ROLLOUT", "object": self.news()} if first else {}
            first = False
            data = json.dumps(line).encode() + b"\n"
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(1.0)


class Request:
    """One request of a client, and how it ended. Times of the monotonic clock."""

    def __init__(self, group: str, d: int):
        self.id, self.ref, self.key = (f"{random.getrandbits(64):016x}" for _ in range(3))
        self.group, self.d = group, d
        self.sent = self.answered = None
        self.outcome = "none"  # served, refused, failed, wrong, closed, none
        self.resent = False

    @property
    def limit(self) -> float:
        """The time from which on it is lost if it has no final answer."""
        return self.sent + self.d / 1000 + ANSWER_GRACE_S

    def loss(self) -> list:
        """Returns a line that says that it is lost, or none."""
        if self.outcome not in ("none", "closed", "wrong") and self.answered <= self.limit:
            return []
        late = self.answered - self.sent - self.d / 1000
        return [f"{self.id} {self.group} lost: {self.outcome}, {late:+.3f} s to its time"]

    def text(self, insert: bool, tenant: str, left: int) -> bytes:
        """The statement."""
        if not insert:
            return (SELECT % (self.ref, self.id, self.group, tenant, left)).encode()
        return (INSERT % (self.ref, "9f03", self.id, self.group, tenant, left, self.key)).encode()


class Gateway:
    """One gateway process with its agent of discovery."""

    def __init__(self, world, number: int):
        self.world, self.number = world, number
        self.process, self.port, self.idle = None, world.free_port(), []
        self.peer_port = world.free_port(socket.SOCK_DGRAM)
        self.discovery = Discovery(world)
        self.config = world.folder / f"config-{number}.json"
        self.log = open(world.folder / f"log-{number}.txt", "ab")

    def write_config(self, known):
        """Writes the configuration file, with the list as last held."""
        world, listen = self.world, f"127.0.0.1:{self.port}"
        document = {
            "name": f"n{self.number}",
            "listen": listen,
            "discovery": "{}:{}".format(*self.discovery.address),
            "seed": f"{random.getrandbits(64):016x}",
            "limits": world.limits,
            "rollouts": {"address": "{}:{}".format(*world.platform.address), "news": world.platform.news()},
            "known": known,
            "settings": {**world.settings, "position": self.number, "balancers": len(world.gateways)},
        }
        if world.settings["policyLimits"]["peers"]:
            document["peer_listen"] = f"127.0.0.1:{self.peer_port}"
            document["peers"] = [f"127.0.0.1:{other.peer_port}" for other in world.gateways]
        self.config.write_text(json.dumps(document))

    async def start(self, known=None):
        """Starts the process by the deploy file's `run` and waits until the front would take it in."""
        await asyncio.to_thread(self.write_config, known)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = tempfile.mkdtemp(dir=self.world.folder)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": scratch,
            "EDGE_NAME": f"n{self.number}",
            "EDGE_LISTEN": f"127.0.0.1:{self.port}",
            "EDGE_DISCOVERY": "{}:{}".format(*self.discovery.address),
            "EDGE_CONFIG": str(self.config),
        }
        self.started = time.monotonic()
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.world.record.add(f"gateway {self.number} started")
        while time.monotonic() - self.started < 30:
            if self.process.poll() is not None:
                raise CaseError(f"gateway {self.number} ended at its start")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(STARTUP + message(b"Q", b"\0"))
                while (await read_message(reader))[0] != b"I":
                    pass
                abort(writer)
                self.world.record.add(f"gateway {self.number} ready")
                return
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.01)
        raise CaseError(f"gateway {self.number} is not ready after 30 s")

    def signal(self, name: str):
        """Sends a signal to the process that this case started."""
        if self.process.poll() is None:
            self.process.send_signal(getattr(signal, f"SIG{name}"))
            self.world.record.add(f"gateway {self.number} gets SIG{name}")

    async def connect(self):
        """Opens a client's connection and writes the startup message."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 18)
        writer.write(STARTUP)
        return [reader, writer, False]

    def kept_connection(self):
        """Returns a kept connection that the gateway has not closed, or None."""
        while self.idle:
            connection = self.idle.pop()
            if not connection[0].at_eof():
                return connection
            abort(connection[1])
        return None

    async def ask(self, request: Request, patience: float = 6.0) -> Request:
        """Sends one request as a usual client does and waits `patience` seconds past its time."""
        world = self.world
        world.requests.append(request)
        request.gateway = self.number
        request.sent = time.monotonic()
        end = request.sent + request.d / 1000 + patience
        for attempt in range(2):
            # a request that crosses the close of its connection is sent once more, on a new one
            connection = None if attempt else self.kept_connection()
            try:
                connection = connection or await self.connect()
                left = max(1, request.d - int((time.monotonic() - request.sent) * 1000))
                text = request.text(request.group not in world.reads, world.tenant(), left)
                connection[1].write(message(b"Q", text + b"\0"))
                if not attempt:
                    request.sent = time.monotonic()
                    world.record.add(
                        f"sent {request.id} {request.group} d={request.d} gateway {self.number}", request.sent
                    )
                outcome = await asyncio.wait_for(self.answer(connection, request), end - time.monotonic())
            except asyncio.TimeoutError:
                outcome = "none"
                abort(connection[1])
            except OSError:
                outcome = "closed"
            if outcome != "closed" or attempt:
                break
            request.resent = True
        request.outcome, request.answered = outcome, time.monotonic()
        lateness = request.answered - request.sent - request.d / 1000
        world.record.add(f"answered {request.id} {outcome}, {lateness:+.3f} s to its time", request.answered)
        return request

    async def answer(self, connection, request: Request) -> str:
        """Reads one answer and keeps the connection; returns the outcome."""
        reader, writer, _ = connection
        outcome = None
        try:
            while True:
                kind, body = await read_message(reader)
                if kind == b"D":
                    right = body[6:].split(b" ")[0] == request.id.encode()
                    outcome = "served" if right else "wrong"
                elif kind == b"E":
                    fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
                    outcome = "refused" if fields[b"C"] in ("53300", "57P03") else f"failed {fields[b'C']}"
                    if fields[b"S"] == "FATAL":
                        abort(writer)
                        return outcome
                elif kind == b"Z":
                    if outcome is not None:
                        self.idle.append(connection)
                        return outcome
        except (OSError, asyncio.IncompleteReadError):
            abort(writer)
            return outcome or "closed"


class World:
    """All parties of one case. `platform_class`: a case may replace it."""

    platform_class = Platform

    def __init__(self, name: str, settings: dict, reads: tuple, limits: dict, gateways: int, seed: int):
        random.seed(int(sys.argv[1]) if sys.argv[1:] else seed)
        self.case, self.settings = Path(name).resolve().parent, settings
        self.reads, self.limits = reads, limits
        self.idle_s = settings["policyLimits"]["connIdle"] / 1000
        self.record, self.attempts, self.requests = Record(), [], []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.ports = set()
        self.gateways = []
        self.gateways += [Gateway(self, number) for number in range(gateways)]
        self.instances, self.tasks = [], []

    def work(self, group: str) -> float:
        """Seconds of work that a request of this class takes; a case may replace it."""
        return random.uniform(0.03, 0.06)

    def free_port(self, kind=socket.SOCK_STREAM) -> int:
        """A port that is free now."""
        while True:
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind(("127.0.0.1", 0))
                port = sock.getsockname()[1]
            if port not in self.ports:
                self.ports.add(port)
                return port

    def tenant(self) -> str:
        """A tenant of the settings."""
        return random.choice(self.settings["tenants"])["name"]

    async def start(self, instances, platform: tuple):
        """Starts all parties; `instances`: (build, how many) pairs; `platform`: the release's state."""
        areas = self.settings["areas"]
        for build, count in instances:
            for _ in range(count):
                number = len(self.instances)
                instance = Instance(self, number, build, areas[number % len(areas)])
                await instance.start()
                self.instances.append(instance)
        self.platform = self.platform_class(self, *platform)
        await self.platform.start()
        for gateway in self.gateways:
            await gateway.discovery.start()
            gateway.discovery.publish(*self.instances)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))

    async def traffic(self, rate, until: float, d=(0.9, 1.0)):
        """Sends `rate` (a number, or a function of the time) requests a second to each gateway, at random
        moments, until a time."""

        async def client(gateway):
            asks = []
            groups = self.settings["categories"]
            while True:
                now = rate(time.monotonic()) if callable(rate) else rate
                pause = random.expovariate(now) if now else 0.05
                if time.monotonic() + pause >= until:
                    break
                await asyncio.sleep(pause)
                if not now:
                    continue
                group = random.choices(groups, [self.mix[g["name"]] for g in groups])[0]
                request = Request(group["name"], int(random.uniform(*d) * group["deadline"]))
                asks.append(asyncio.create_task(gateway.ask(request)))
            await asyncio.gather(*asks)

        await asyncio.gather(*(client(gateway) for gateway in self.gateways))

    def close(self):
        """Ends every process and writes the record."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
            gateway.log.close()
            text = (self.folder / f"log-{gateway.number}.txt").read_text(errors="replace")
            for line in text.splitlines()[-400:]:
                if '"figures"' not in line:
                    self.record.add(f"log of gateway {gateway.number}: {line[:300]}", self.record.began)
        self.record.write(self.case)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(make_world, play):
    """Plays a case and exits with its verdict.

    `make_world()` returns the parties, `play(world)` a list of breaks. Any error of the test itself, and
    TERM, end with NOT_RUN: only a list with entries says that the rule is broken.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda loop, context: None)  # connections that the end of the play cuts
    verdict, text, world = NOT_RUN, "", None
    try:
        world = make_world()
        breaks = loop.run_until_complete(asyncio.wait_for(play(world), 110))
        for line in breaks[:40]:
            world.record.add(f"BREAK {line}")
        text = f"{len(breaks)} breaks"
        verdict = BROKEN if breaks else HELD
    except BaseException as problem:
        text = repr(problem)
    try:
        if world is not None:
            verdict = finish(world, verdict, text)
        else:
            print(f"did not run; {text}")
    except BaseException as problem:
        verdict = NOT_RUN
        print(f"did not run; {problem!r}")
    sys.stdout.flush()
    os._exit(verdict)  # without the loop's own close, which would wait for each open connection


def finish(world: World, verdict: int, text: str) -> int:
    """Ends all processes, writes the record and prints the verdict; returns it."""
    outcomes = {}
    for request in world.requests:
        outcomes[request.outcome] = outcomes.get(request.outcome, 0) + 1
    name = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "did not run"}[verdict]
    line = f"{name}; {text}; outcomes {outcomes}; attempts {len(world.attempts)}"
    world.record.add(f"verdict: {line}")
    world.close()
    print(f"{world.case.name}: {line}")
    return verdict
