"""One process with a gateway, a scripted list, desk and instances, and raw clients, on real loopback
sockets."""

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
SHEET = """
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
%(more)s
listing(address = "127.0.0.1:%(list)d", by = "%(by)s", ask_within = ms(900))
desk(address = "127.0.0.1:%(desk)d", platform = "127.0.0.1:%(desk)d")
gateway(number = 0, zone = "a", door = "127.0.0.1:%(door)d", peers = "127.0.0.1:%(peers)d")
"""


class Log:
    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda event, **more: self.lines.append((level, event, more))


class Around:
    """What the worlds of all gateways share; they set `loop`, `lock`, `deaths`, `door` and say when it is
    `opened`."""

    def run(self, generator, bound=12 * SECOND):
        """Once the gateway's door is open; whatever died on the way fails the test."""

        def all_of_it():
            with Deadline(self.loop, bound):
                while not self.opened():
                    yield Sleep(2_000)
                return (yield from generator)

        try:
            return self.finish(self.loop.spawn(all_of_it(), "test"))
        finally:
            self.loop.close()
            self.lock.close()
            assert not self.deaths, self.deaths
            assert not self.loop.tasks, self.loop.tasks

    def finish(self, task):
        return self.loop.run(task)

    def until(self, what, bound=5 * SECOND):
        with Deadline(self.loop, bound):
            while not what():
                yield Sleep(2_000)

    def raw(self, data):
        """What comes back until the gateway closes."""
        connection, got = (yield from dial(self.loop, self.door, SECOND)), b""
        try:
            yield from connection.write(data)
            while piece := (yield from connection.read()):
                got += piece
        except ConnectionLostError:
            pass
        connection.close()
        return got


class World(Around):
    """`scripts`: one generator function `(world, connection)` an instance, called for each connection to
    it."""

    def __init__(self, *scripts, more="", decisions=None, by="push"):
        self.deaths = []
        self.loop = Loop(EpollKernel(), lambda task, trouble: self.deaths.append((task.name, trouble)))
        self.log, self.votes, self.streams, self.desk_script = Log(), [], [], None
        self.asked, self.list_fails = 0, False
        self.lock, base = reserve_ports(self.loop.kernel, 4)
        names = {"list": base, "desk": base + 1, "door": base + 2, "peers": base + 3}
        self.door = ("127.0.0.1", names["door"])
        self.settings = read_settings("test.star", SHEET % {**names, "more": more, "by": by})
        self.rows, self.revision, self.seen, self.got = [], 0, [0] * len(scripts), []
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
        return hasattr(self.process.frontend, "listener")

    def scripted(self, number, script):
        def answer(connection):
            self.seen[number] += 1
            yield from script(self, connection)

        return answer

    def on_list(self, request):
        if self.list_fails:
            raise RpcError(503, "not now")
        if "watch" not in request.query:
            self.asked += 1
            whole = {"epoch": "e", "revision": self.revision, "base": None, "rows": self.rows}
            return json_response(200, whole)
        stream = ResponseStream()
        stream.send_object({"epoch": "e", "revision": self.revision, "base": None, "rows": self.rows})
        self.streams.append(stream)
        return stream

    def tell(self, row):
        """A change of one row."""
        self.rows = [r if r["id"] != row["id"] else row for r in self.rows]
        self.revision += 1
        for stream in self.streams:
            stream.send_object(
                {"epoch": "e", "revision": self.revision, "base": self.revision - 1, "rows": [row]}
            )

    def on_desk(self, request):
        if request.path == "/v1/votes":
            self.votes.append(json.loads(request.body))
            return self.desk_script()
        self.news = ResponseStream()
        self.news.send_object(
            {"news": {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age_us": 0}}
        )
        return self.news

    # --- clients --------------------------------------------------------------------------------------------

    def connect(self):
        return (yield from dial(self.loop, self.door, SECOND))

    def ask(self, method="GET", path="/look", fields=(), body=b"", connection=None):
        """(status, head, body) of one hit; on a connection of its own where none is given."""
        own = connection is None
        connection = connection or (yield from self.connect())
        try:
            fields = [(b"host", b"t"), *fields]
            if path == "/hold" and not any(name == b"idempotency-key" for name, _ in fields):
                fields.append((b"idempotency-key", b"m1"))
            yield from connection.write(http1.request(method, path, fields, body))
            return (yield from answer_of(connection, method == "HEAD"))
        finally:
            if own:
                connection.close()

    def asks(self, count, method, path):
        """The statuses of some hits, one after the other."""
        statuses = []
        for _ in range(count):
            statuses.append((yield from self.ask(method, path))[0])
        return statuses


def answer_of(connection, no_body=False):
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


def requests(connection):
    """A parser to be asked again and again: `head, body = yield from get()`; (None, b"") at the end."""
    parser, waiting, state = http1.RequestParser(LIMITS), [], [None, b""]

    def get():
        while True:
            while waiting:
                kind, value = waiting.pop(0)
                if kind == "head":
                    state[:] = [value, b""]
                elif kind == "body":
                    state[1] += value
                else:
                    return tuple(state)
            data = yield from connection.read()
            if not data:
                return None, b""
            waiting.extend(parser.feed(data))

    return get


def good(world, connection, body=b"fine", fields=()):
    """An instance that answers everything."""
    get = requests(connection)
    while True:
        head, got = yield from get()
        if head is None:
            return
        world.got.append((head, got))
        yield from connection.write(http1.response(200, list(fields), body))


def endings(world):
    return {seen: n for seen, n in world.process.forwards.observations.items() if n and seen != "answer"}


def hits(world):
    return {k: v for k, v in world.process.frontend.counts.items()}
