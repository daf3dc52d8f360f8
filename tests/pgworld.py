"""Test bed in one process, on loopback: a PostgreSQL gateway, scripted instances, discovery, desk and raw
clients.
"""

import json
import struct

from world import SECOND, Log, WorldBase

from cobaltpond.edge.config import parse_config
from cobaltpond.edge.main import Edge
from cobaltpond.loop import EpollKernel, Loop, Sleep, dial, reserve_ports, serve
from cobaltpond.rpc import ResponseStream, RpcError, json_response, serve_rpc
from cobaltpond.sim.machine import Machine
from cobaltpond.wire import pg

SETTINGS = {
    "balancers": 1,
    "position": 0,
    "zone": "a",
    "areas": ["a"],
    "quantum": 5.0,
    "discovery": "automatic",
    "categories": [
        {"name": "look", "idempotency": "idempotent", "aim": 400.0, "deadline": 1500.0, "points": 1.0},
        {
            "name": "hold",
            "idempotency": "deduplicated",
            "dedupScope": "all",
            "window": 3000.0,
            "aim": 400.0,
            "deadline": 1500.0,
            "points": 5.0,
        },
        {"name": "pay", "idempotency": "at_most_once", "aim": 400.0, "deadline": 700.0, "points": 5.0},
    ],
    "tenants": [{"name": "ann", "share": 0.5}, {"name": "bob", "share": 0.5}],
    "familyInfo": {
        "gateMode": "by_count",
        "layout": "parallel",
        "shares": [0.5, 1.0],
        "exposureCaps": [0.5, 1.0],
        "exposureWindow": 2000.0,
        "uncounted": 2.0,
        "answerWait": 300.0,
        "ballotTtl": 5000.0,
        "toAbort": 1,
    },
    "obligations": {
        "answerSlack": 20.0,
        "cold": 2000.0,
        "coldFrom": 0.5,
        "stopSendingWithin": 250.0,
        "overloadFactor": 2.0,
    },
    "policyLimits": {
        "connIdle": 15000.0,
        "dialTimeout": 200.0,
        "maxAttempts": 3,
        "mayCancel": True,
        "retryAfter": True,
        "maxRetryAfter": 1000.0,
    },
}
GATEWAY_MEMORY_BYTES = 10 << 20
SELECT = "SELECT payload FROM entries WHERE ref = '%(ref)s' /* id=%(id)s,c=%(c)s,t=%(t)s,d=%(d)s */"
INSERT = (
    "INSERT INTO entries (ref, payload) VALUES ('%(ref)s', '\\x9f03') RETURNING payload "
    "/* id=%(id)s,c=%(c)s,t=%(t)s,d=%(d)s,k=%(k)s */"
)


def statement(number=1, group="look", time_left_ms=1500, customer="ann", key="00000000000000aa") -> bytes:
    """One of the platform's statements; `time_left_ms` is the client's limit in milliseconds."""
    form = SELECT if group == "look" else INSERT
    return (
        form
        % {
            "ref": f"{number:016x}",
            "id": f"{number:016x}",
            "c": group,
            "t": customer,
            "d": time_left_ms,
            "k": key,
        }
    ).encode()


def row(value=b"fine", tag=b"SELECT 1") -> bytes:
    """An instance's response up to CommandComplete."""
    column = b"payload\0" + struct.pack(">IhIhih", 0, 0, 17, -1, -1, 1)
    return (
        pg.message(b"T", b"\0\1" + column)
        + pg.message(b"D", b"\0\1" + struct.pack(">I", len(value)) + value)
        + pg.message(b"C", tag + b"\0")
    )


def command_tag(text: bytes) -> bytes:
    """The command tag with which a response to this statement ends."""
    return b"SELECT 1" if text.startswith(b"SELECT") else b"INSERT 0 1"


def good_answer(text: bytes) -> bytes:
    """A complete response with the value b"fine"."""
    return row(b"fine", command_tag(text)) + pg.READY_FOR_QUERY


def query_script(on_query, before_startup_response=None):
    """Instance script that runs a generator for each query; an empty query is answered at once.

    `on_query(world, connection, text)` runs once the query is in `world.received`;
    `before_startup_response(world)` runs at each startup.
    """

    def script(world, connection):
        parser = pg.ClientMessageParser()
        while data := (yield from connection.read()):
            for kind, value in parser.feed(data):
                if kind == "startup":
                    if before_startup_response is not None:
                        yield from before_startup_response(world)
                    yield from connection.write(pg.startup_response())
                elif kind == "query" and not value:
                    yield from connection.write(pg.EMPTY_QUERY_RESPONSE)
                elif kind == "query":
                    world.received.append(value)
                    yield from on_query(world, connection, value)

    return script


def answer_script(answer):
    """Instance script: `answer(text, number)` gives the bytes for a query, None for silence, or "reset"."""

    def on_query(world, connection, text):
        reply = answer(text, len(world.received))
        if reply == "reset":
            connection.abort()
        elif reply is not None:
            yield from connection.write(reply)

    return query_script(on_query)


class Client:
    """A raw client.

    `read` returns (kind letter, body) of each message up to ReadyForQuery or the end of the connection.
    """

    def __init__(self, connection):
        self.connection, self.pending = connection, b""

    def send(self, *queries, start=False):
        yield from self.connection.write(
            (pg.startup_message("web", "orders") if start else b"")
            + b"".join(pg.query_message(q) for q in queries)
        )

    def read_message(self):
        while True:
            while len(self.pending) >= 5 and len(self.pending) > (
                size := int.from_bytes(self.pending[1:5], "big")
            ):
                message, self.pending = self.pending[: size + 1], self.pending[size + 1 :]
                return message[:1], message[5:]
            data = yield from self.connection.read()
            if not data:
                return None, b""
            self.pending += data

    def read(self):
        got = []
        while True:
            kind, body = yield from self.read_message()
            if kind is None:
                return [*got, (b"end", b"")]
            if kind == b"Z":
                return got
            got.append((kind, body))


def outcome_of(messages) -> tuple:
    """Condenses a response: ("delivered", value), (SQLSTATE, detail), ("empty",) or ("nothing",)."""
    for kind, body in messages:
        if kind == b"D":
            return "delivered", body[6:]
        if kind == b"E":
            fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
            return fields[b"C"], fields.get(b"D")
        if kind == b"I":
            return ("empty",)
    return ("nothing",)


class PgWorld(WorldBase):
    """The test bed, with one instance for each script.

    `discovery_offset` selects the address of discovery, counted from the gateway's port; a test may listen on
    5 and 6 itself (`listen_at`). `response_overrides` maps an address's offset to a handler `(request)` that
    replaces the usual one.
    """

    virtual = False  # True: run on the virtual kernel

    def __init__(
        self,
        *scripts,
        tmp=None,
        sockets=256,
        settings=None,
        news=None,
        known_list=False,
        discovery_offset=1,
        start_edge=True,
    ):
        self.task_failures = []
        self.log = Log()
        self.received = []
        self.votes = []
        self.requests = []
        self.feeds = []
        self.machine = Machine(1) if self.virtual else None
        kernel = self.machine.process("case", ["case"]) if self.virtual else EpollKernel()
        kernel.memory_used = lambda: GATEWAY_MEMORY_BYTES  # the test's process holds far more than a gateway
        self.loop = Loop(kernel, lambda task, error: self.task_failures.append((task.name, error)))
        self.lock, base = reserve_ports(self.loop.kernel, 7)
        self.listen_address = ("127.0.0.1", base)
        # the body of an error 500 that discovery answers with
        self.response_overrides, self.discovery_error = {}, None
        self.news = news or {"Revision": 1, "Wave": 0, "State": "stable", "MaxShare": 1.0, "AgeMs": 0}
        self.hosts, self.seq, self.changes = [], 1, []
        for n, script in enumerate(scripts):
            listener = self.loop.kernel.listen(("127.0.0.1", 0), 64)
            host, port = listener.address()
            self.hosts.append(
                {
                    "host": f"s-{n}",
                    "dial": f"{host}:{port}",
                    "site": "a",
                    "class": "m",
                    "block": 0,
                    "health": "up",
                    "share": 1.0,
                    "born_ms": 0,
                    "revision_no": 1,
                }
            )
            self.loop.spawn(serve(self.loop, listener, self.bind_script(script), 64, f"i{n}"), f"i{n}")
        for offset in (1, 2, 3, 4):  # discovery and desk, at two addresses each
            listener = self.loop.kernel.listen(("127.0.0.1", base + offset), 64)
            handler = self.on_discovery if offset % 2 else self.on_desk
            self.loop.spawn(
                serve_rpc(self.loop, listener, self.record_requests(handler, offset), f"at-{offset}"),
                f"at-{offset}",
            )
        self.base, self.path = base, str(tmp / "config.json") if tmp else "none"
        self.configuration = {
            "name": "n0",
            "listen": f"127.0.0.1:{base}",
            "discovery": f"127.0.0.1:{base + discovery_offset}",
            "seed": "2a",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            "rollouts": {"address": f"127.0.0.1:{base + 2}", "news": self.news},
            "known": {"seq": 1, "whole": True, "hosts": self.hosts} if known_list else None,
            "settings": {**SETTINGS, **(settings or {})},
        }
        if start_edge:  # otherwise the test starts the gateway as a process
            self.edge = Edge(self.loop, self.path, parse_config(self.configuration), self.log)
            self.main = self.loop.spawn(self.edge.run(), "gateway")

    def bind_script(self, script):
        """Binds a script to this test bed."""

        def answer(connection):
            yield from script(self, connection)

        return answer

    def record_requests(self, handler, offset):
        """Wraps a handler so that (offset, path, is a watch) of each request is recorded."""

        def handle(request):
            self.requests.append((offset, request.path, "after" in request.query))
            return self.response_overrides.get(offset, handler)(request)

        return handle

    def listen_at(self, offset, script):
        """Listens on a further address; `script(connection)` answers each connection byte by byte."""
        listener = self.loop.kernel.listen(("127.0.0.1", self.base + offset), 64)
        self.loop.spawn(serve(self.loop, listener, script, 64, f"at-{offset}"), f"at-{offset}")

    def reload_configuration(self, **addresses):
        """Writes these addresses to the configuration file and sends SIGHUP."""
        with open(self.path, "w") as file:
            json.dump({**self.configuration, **addresses}, file)
        self.edge.stop("HUP")

    def publish_host(self, **changes):
        """Publishes a change of one host through discovery."""
        old = next(h for h in self.hosts if h["host"] == changes["host"])
        new = {**old, **changes}
        self.hosts = [new if h is old else h for h in self.hosts]
        self.seq += 1
        self.changes.append((self.seq, new))

    def on_discovery(self, request):
        if self.discovery_error is not None:
            raise RpcError(500, self.discovery_error)
        if "after" not in request.query:
            return json_response(200, {"seq": self.seq, "whole": True, "hosts": self.hosts})
        return self.watch(int(request.query["after"]), self.loop.now() + int(request.query["wait_ms"]) * 1000)

    def watch(self, after, end):
        """Answers a watch once there is a change after the version `after`, or at the time `end`."""
        while self.seq <= after and self.loop.now() < end and self.discovery_error is None:
            yield Sleep(2_000)
        hosts = [host for seq, host in self.changes if seq > after]
        return json_response(200, {"seq": self.seq, "whole": False, "hosts": hosts})

    def on_desk(self, request):
        if request.path.endswith("ballots"):
            self.votes.append(json.loads(request.body))
            return json_response(200, self.news)
        feed = ResponseStream()
        feed.send_object({"type": "ROLLOUT", "object": self.news})
        self.feeds.append(feed)
        return feed

    def publish_state(self, **changes):
        """Publishes a changed release state through the feed."""
        self.news = {**self.news, **changes}
        self.feeds[-1].send_object({"type": "ROLLOUT", "object": self.news})

    def finish(self, task):
        if not self.virtual:
            return self.loop.run(task)
        kernel, world = self.loop.kernel, self.machine.world
        kernel.run_loop(self.loop, task)
        world.run(lambda: kernel.process.code is not None, world.begin + 60 * SECOND)
        if kernel.process.code:
            raise kernel.process.failure
        return kernel.process.result

    def opened(self):
        return self.edge.frontend.listener is not None

    def connect(self):
        return Client((yield from dial(self.loop, self.listen_address, SECOND)))

    def query(self, *queries):
        """Sends the queries over one new connection and returns the outcome of each."""
        client, got = (yield from self.connect()), []
        yield from client.send(start=True)
        yield from client.read()
        for statement_text in queries:
            yield from client.send(statement_text)
            got.append(outcome_of((yield from client.read())))
        client.connection.close()
        return got

    def forward_results(self):
        """How often each result of a forward was counted."""
        return {k: v for k, v in self.edge.forwards.result_counts.items() if v}
