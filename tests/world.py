"""One process with a gateway, scripted stand-ins for the list, the desk and the instances, and raw clients.

All of them use real loopback sockets.
"""

import json

from cobaltpond.gateway.main import GatewayProcess
from cobaltpond.loop import (
    ConnectionLostError,
    Deadline,
    EpollKernel,
    Loop,
    Sleep,
    dial,
    reserve_ports,
    serve,
)
from cobaltpond.rpc import ResponseStream, RpcError, json_response, serve_rpc
from cobaltpond.settings import read_settings
from cobaltpond.wire import http1

SECOND = 1_000_000
LIMITS = http1.MessageLimits(head=1 << 20, body=1 << 28)
SETTINGS = """
path_group(name = "look", kind = "repeatable", target_latency = ms(400), client_timeout = ms(1500))
path_group(name = "hold", kind = "tagged", scope = "all", repeat_window = s(3), target_latency = ms(400),
           client_timeout = ms(1500))
path_group(name = "pay", kind = "mutating", target_latency = ms(400), client_timeout = ms(800))
route(method = "GET", path = "/look*", group = "look")
route(method = "HEAD", path = "/look*", group = "look")
route(method = "POST", path = "/hold", group = "hold")
route(method = "POST", path = "/pay", group = "pay")
customer(name = "ann", share = 0.2)
customer(name = "bob", share = 0.8)
release(gate = "count", layout = "beside", shares = [0.5, 1.0], caps = [0.5, 1.0], exposure_window = s(2),
        vote_life = s(5), vote_wait = ms(300), dwell = ms(500))
rules(drain_grace = ms(250), cold_time = s(2), cold_share = 0.5, overload_factor = 2.0, tip_time = ms(1500))
reports(names = ["inflight"])
%(extra_settings)s
listing(address = "127.0.0.1:%(list)d", by = "%(by)s", ask_within = ms(900))
desk(address = "127.0.0.1:%(desk)d", platform = "127.0.0.1:%(desk)d")
gateway(number = 0, zone = "a", door = "127.0.0.1:%(door)d", peers = "127.0.0.1:%(peers)d")
"""


class Log:
    """Records log calls in `lines` as (level, event, fields)."""

    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda event, **fields: self.lines.append((level, event, fields))


class WorldBase:
    """The base of the test worlds of all gateways.

    A subclass sets `loop`, `lock` (the reserved ports), `task_failures`, and `listen_address` (the
    address for clients); its `opened()` returns whether the gateway accepts clients.
    """

    def run(self, generator, bound=12 * SECOND):
        """Runs a coroutine once the gateway accepts clients; returns its result.

        A task that failed or still runs at the end fails the test, and so does a run longer than `bound`
        microseconds.
        """

        def when_open():
            with Deadline(self.loop, bound):
                while not self.opened():
                    yield Sleep(2_000)
                return (yield from generator)

        try:
            return self.finish(self.loop.spawn(when_open(), "test"))
        finally:
            self.loop.close()
            self.lock.close()
            assert not self.task_failures, self.task_failures
            assert not self.loop.tasks, self.loop.tasks

    def finish(self, task):
        """Runs the loop until the task ends; returns the task's result."""
        return self.loop.run(task)

    def until(self, what, bound=5 * SECOND):
        """Waits until `what()` is true, at most `bound` microseconds."""
        with Deadline(self.loop, bound):
            while not what():
                yield Sleep(2_000)

    def raw(self, data):
        """Sends bytes on a connection of its own; returns what the gateway sends until it closes."""
        connection, received = (yield from dial(self.loop, self.listen_address, SECOND)), b""
        try:
            yield from connection.write(data)
            while data_read := (yield from connection.read()):
                received += data_read
        except ConnectionLostError:
            pass
        connection.close()
        return received


class World(WorldBase):
    """A world with one HTTP gateway.

    `scripts`: one coroutine function `(world, connection)` per instance, called for each connection to it.
    `extra_settings`: further lines of the settings. `by`: how the gateway gets the list, "push" or "asking".
    `connection_counts`: connections per instance. `received_requests`: (head, body) of the requests that
    `answer_ok` has received. `rows`, `revision`: the list. `list_polls`: how often the list was polled.
    """

    def __init__(self, *scripts, extra_settings="", decisions=None, by="push"):
        self.task_failures = []
        self.loop = Loop(EpollKernel(), lambda task, error: self.task_failures.append((task.name, error)))
        self.log, self.votes, self.list_streams, self.answer_vote = Log(), [], [], None
        self.list_polls, self.list_unavailable = 0, False
        self.lock, base = reserve_ports(self.loop.kernel, 4)
        names = {"list": base, "desk": base + 1, "door": base + 2, "peers": base + 3}
        self.listen_address = ("127.0.0.1", names["door"])
        self.settings = read_settings(
            "test.star", SETTINGS % {**names, "extra_settings": extra_settings, "by": by}
        )
        self.rows = []
        self.revision = 0
        self.connection_counts = [0] * len(scripts)
        self.received_requests = []
        for n, script in enumerate(scripts):
            listener = self.loop.kernel.listen(("127.0.0.1", 0), 64)
            host, port = listener.address()
            self.rows.append(
                {
                    "id": f"i{n}",
                    "address": f"{host}:{port}",
                    "build": 1,
                    "zone": "a",
                    "cell": 0,
                    "state": "up",
                    "start": 1,
                    "age_us": 60 * SECOND,
                }
            )
            self.loop.spawn(serve(self.loop, listener, self.scripted(n, script), 64, f"i{n}"), f"i{n}")
        for name, handler in (("list", self.on_list), ("desk", self.on_desk)):
            listener = self.loop.kernel.listen(("127.0.0.1", names[name]), 64)
            self.loop.spawn(serve_rpc(self.loop, listener, handler, name), name)
        self.process = GatewayProcess(self.loop, self.settings, 0, self.log, decisions)
        self.main = self.loop.spawn(self.process.run(), "gateway")

    def opened(self):
        """Whether the gateway accepts clients."""
        return hasattr(self.process.frontend, "listener")

    def scripted(self, number, script):
        """The connection handler of an instance: counts the connection and runs its script."""

        def handle_connection(connection):
            self.connection_counts[number] += 1
            yield from script(self, connection)

        return handle_connection

    def on_list(self, request):
        """Serves the list of instances: whole on a poll, as a stream on a watch."""
        if self.list_unavailable:
            raise RpcError(503, "not now")
        if "watch" not in request.query:
            self.list_polls += 1
            whole = {"epoch": "e", "revision": self.revision, "base": None, "rows": self.rows}
            return json_response(200, whole)
        stream = ResponseStream()
        stream.send_object({"epoch": "e", "revision": self.revision, "base": None, "rows": self.rows})
        self.list_streams.append(stream)
        return stream

    def push_row(self, row):
        """Changes one row of the list and pushes the change."""
        self.rows = [r if r["id"] != row["id"] else row for r in self.rows]
        self.revision += 1
        for stream in self.list_streams:
            stream.send_object(
                {"epoch": "e", "revision": self.revision, "base": self.revision - 1, "rows": [row]}
            )

    def on_desk(self, request):
        """Serves the desk: votes as the test scripts them, else the news stream."""
        if request.path == "/v1/votes":
            self.votes.append(json.loads(request.body))
            return self.answer_vote()
        self.news = ResponseStream()
        self.news.send_object(
            {"news": {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age_us": 0}}
        )
        return self.news

    # --- clients --------------------------------------------------------------------------------------------

    def connect(self):
        """A new client connection."""
        return (yield from dial(self.loop, self.listen_address, SECOND))

    def ask(self, method="GET", path="/look", fields=(), body=b"", connection=None):
        """Sends one request, by default on a new connection; returns (status, head, body)."""
        own_connection = connection is None
        connection = connection or (yield from self.connect())
        try:
            fields = [(b"host", b"t"), *fields]
            if path == "/hold" and not any(name == b"idempotency-key" for name, _ in fields):
                fields.append((b"idempotency-key", b"m1"))
            yield from connection.write(http1.request(method, path, fields, body))
            return (yield from read_response(connection, method == "HEAD"))
        finally:
            if own_connection:
                connection.close()

    def ask_repeatedly(self, count, method, path):
        """Sends requests one after the other; returns their statuses."""
        statuses = []
        for _ in range(count):
            statuses.append((yield from self.ask(method, path))[0])
        return statuses


def read_response(connection, no_body=False):
    """Reads one response; returns (status, head, body). `no_body`: it is the response to a HEAD request."""
    parser, head, body = http1.ResponseParser(LIMITS, no_body), None, b""
    while True:
        data = yield from connection.read()
        for kind, value in parser.feed(data) if data else parser.closed():
            if kind == "head":
                head = value
            elif kind == "body":
                body += value
            else:
                return head.status, head, body


def request_reader(connection):
    """Returns `get`: each `head, body = yield from get()` reads a request; (None, b"") at the end."""
    parser, events, state = http1.RequestParser(LIMITS), [], [None, b""]

    def get():
        while True:
            while events:
                kind, value = events.pop(0)
                if kind == "head":
                    state[:] = [value, b""]
                elif kind == "body":
                    state[1] += value
                else:
                    return tuple(state)
            data = yield from connection.read()
            if not data:
                return None, b""
            events.extend(parser.feed(data))

    return get


def answer_ok(world, connection, body=b"fine", fields=()):
    """The script of an instance that answers every request with 200."""
    get = request_reader(connection)
    while True:
        head, request_body = yield from get()
        if head is None:
            return
        world.received_requests.append((head, request_body))
        yield from connection.write(http1.response(200, list(fields), body))


def forward_failures(world):
    """How often each key of FORWARD_RESULTS but "answer" occurred."""
    return {
        result_key: n
        for result_key, n in world.process.forwards.result_counts.items()
        if n and result_key != "answer"
    }


def outcome_counts(world):
    """The frontend's counters, by outcome."""
    return {k: v for k, v in world.process.frontend.counts.items()}
