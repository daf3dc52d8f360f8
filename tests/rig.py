"""Several real gateway processes on loopback, with a programmable link between every two of them.

Each gateway has a sheet of its own, in which the others' datagram addresses are sockets of the rig: what one
sends to another passes through here and comes out of the socket that the other knows the sender by. List,
desk and instances run in the test's own process, with a listener for each gateway, so that each can be told,
or not told, its own story.
"""

import json
import os
import sys

from world import requests

from cobaltpond.loop import (
    Deadline,
    DeadlineExceededError,
    EpollKernel,
    Loop,
    Readable,
    Sleep,
    reserve_ports,
    serve,
)
from cobaltpond.loop.random_source import seeded_random
from cobaltpond.rpc import CALL_ERRORS, ResponseStream, call, json_response, serve_rpc
from cobaltpond.wire import http1

MS, SECOND = 1000, 1_000_000
PERIOD = 200 * MS
SHEET = """
path_group(name = "look", kind = "repeatable", target_latency = ms(600), client_timeout = s(3))
path_group(name = "pay", kind = "mutating", target_latency = ms(600), client_timeout = s(3))
route(method = "GET", path = "/look*", group = "look")
route(method = "POST", path = "/pay", group = "pay")
release(gate = "count", layout = "beside", shares = [0.5, 1.0], caps = [0.6, 1.0], exposure_window = s(2),
        vote_life = s(5), vote_wait = ms(300), dwell = ms(500), news_period = ms(500))
rules(drain_grace = ms(250), cold_time = s(4), cold_share = 0.5, overload_factor = 2.0, tip_time = ms(1500))
allow(tell = True)
listing(address = "127.0.0.1:%(list)d", by = "push")
desk(address = "127.0.0.1:%(desk)d", platform = "127.0.0.1:%(desk)d")
"""


class Link:
    """One direction between two gateways, as the plan has it."""

    def __init__(self, seed):
        self.cut, self.lose, self.repeat, self.late = False, 0.0, 0.0, (0, 0)
        self.chance, self.passed, self.dropped = seeded_random(seed), 0, 0

    def deliveries(self):
        """After how many microseconds a datagram comes out, once for each time that it does."""
        if self.cut or self.chance.random() < self.lose:
            self.dropped += 1
            return []
        self.passed += 1
        return [
            self.chance.randint(*self.late) for _ in range(2 if self.chance.random() < self.repeat else 1)
        ]


class Rig:
    """`count` gateways, number n in zone `zones[n % len(zones)]`."""

    def __init__(self, folder, count, zones=("north",), seed=1, more=""):
        """`more`: further calls of every gateway's sheet."""
        self.more = more
        self.loop, self.folder, self.count, self.deaths = (
            Loop(EpollKernel(), self.died),
            str(folder),
            count,
            [],
        )
        self.zones = [zones[n % len(zones)] for n in range(count)]
        pairs = [(a, b) for a in range(count) for b in range(count) if a != b]
        self.links = {pair: Link(f"{seed}/{pair}") for pair in pairs}
        for _ in range(50):  # a run is free of listeners; datagrams are another matter
            self.lock, base = reserve_ports(self.loop.kernel, 4 * count + count * count + 8)
            at = iter(range(base, base + 4 * count + count * count + 8))
            self.doors, self.binds, self.lists, self.desks = (
                [next(at) for _ in range(count)] for _ in range(4)
            )
            self.ports, self.sockets = (
                {pair: next(at) for pair in pairs},
                {},
            )  # where one believes the other to be
            try:
                for bind in self.binds:  # the gateways' own, tried and left to them
                    self.loop.kernel.open_datagrams(("127.0.0.1", bind)).close()
                for pair, port in self.ports.items():
                    self.sockets[pair] = self.loop.kernel.open_datagrams(("127.0.0.1", port))
                break
            except OSError:
                self.close()
        else:
            raise RuntimeError("no free ports")
        self.children, self.ended, self.streams = {}, {}, {n: {} for n in range(count)}
        self.news = {n: {"build": 1, "stage": 0, "phase": "released", "cap": 1.0} for n in range(count)}
        self.since, self.deaf_desk, self.rows, self.revision = self.loop.kernel.now(), {}, [], 1
        self.served = {}  # name of an instance -> hits
        self.epoch, self.asked, self.votes, self.seen = "e", [], [], {}
        self.dials, self.slow = {}, {}  # name of an instance -> when it was connected to; how late it is
        for pair in pairs:
            self.loop.spawn(self.carry(pair), f"link-{pair}")
        for n in range(count):
            for what, port, handler in (
                ("list", self.lists[n], self.on_list),
                ("desk", self.desks[n], self.on_desk),
            ):
                listener = self.loop.kernel.listen(("127.0.0.1", port), 64)
                self.loop.spawn(
                    serve_rpc(
                        self.loop,
                        listener,
                        lambda request, n=n, handler=handler: handler(n, request),
                        f"{what}-{n}",
                    ),
                    f"{what}-{n}",
                )
        self.loop.spawn(self.beat(), "beat")

    def close(self):
        for socket in self.sockets.values():
            socket.close()
        self.lock.close()

    def died(self, task, trouble):
        self.deaths.append((task.name, trouble))

    # --- the links ------------------------------------------------------------------------------------------

    def carry(self, pair):
        a, b = pair
        while True:
            got = self.sockets[pair].recv(2048)
            if got is None:
                yield Readable(self.sockets[pair])
                continue
            for late in self.links[pair].deliveries():
                self.loop.call_in(
                    late, lambda data=got[0]: self.sockets[b, a].send(data, ("127.0.0.1", self.binds[b]))
                )

    def between(self, ones, others, **how):
        """Both directions between two groups: cut, lose, repeat, late."""
        for a in ones:
            for b in others:
                if a != b:
                    for pair in ((a, b), (b, a)):
                        for name, value in how.items():
                            setattr(self.links[pair], name, value)

    # --- instances, list, desk ------------------------------------------------------------------------------

    def instance(self, name, build, delay=0):
        listener = self.loop.kernel.listen(("127.0.0.1", 0), 256)
        self.served[name] = 0

        self.dials[name], self.slow[name] = [], delay

        def answers(connection):
            self.dials[name].append(self.loop.kernel.now())
            get = requests(connection)
            while True:
                head, _ = yield from get()
                if head is None:
                    return
                if head.target != b"/-/probe":
                    self.served[name] += 1
                if self.slow[name]:
                    yield Sleep(self.slow[name])
                yield from connection.write(http1.response(200, [], name.encode()))

        self.loop.spawn(serve(self.loop, listener, answers, 256, name), name)
        host, port = listener.address()
        self.rows.append(
            {
                "id": name,
                "address": f"{host}:{port}",
                "build": build,
                "zone": "north",
                "cell": 0,
                "state": "up",
                "start": 1,
                "age_us": 60 * SECOND,
            }
        )

    def on_list(self, n, request):
        whole = {"epoch": self.epoch, "revision": self.revision, "base": None, "rows": self.rows}
        self.asked.append((self.loop.kernel.now(), "list", n))
        if "watch" not in request.query:
            return json_response(200, whole)
        stream = self.streams[n]["list"] = ResponseStream()
        stream.send_object(whole)
        return stream

    def tell_list(self, row, to):
        """A change of one row, told to some of the gateways only."""
        self.rows = [r if r["id"] != row["id"] else row for r in self.rows]
        self.revision += 1
        for n in to:
            self.streams[n]["list"].send_object(
                {"epoch": self.epoch, "revision": self.revision, "base": self.revision - 1, "rows": [row]}
            )

    def on_desk(self, n, request):
        if request.path == "/v1/votes":
            self.votes.append((n, request.json_object()))
            return json_response(200, {"news": self.told(n)})
        self.asked.append((self.loop.kernel.now(), "desk", n))
        self.seen[n] = json.loads(request.query.get("seen") or "null")
        stream = self.streams[n]["desk"] = ResponseStream()
        stream.send_object({"news": self.told(n)})
        return stream

    def told(self, n):
        return {**self.news[n], "age_us": self.loop.kernel.now() - self.since}

    def tell_news(self, to, **news):
        self.since = self.loop.kernel.now()
        for n in to:
            self.news[n] = news
            if "desk" in self.streams[n]:
                self.streams[n]["desk"].send_object({"news": self.told(n)})

    def beat(self):
        """The desk says its news again and again; not to those that it has forgotten."""
        while True:
            yield Sleep(500 * MS)
            for n in range(self.count):
                if "desk" in self.streams[n] and n not in self.deaf_desk:
                    self.streams[n]["desk"].send_object({"news": self.told(n)})

    # --- the processes --------------------------------------------------------------------------------------

    def settings_path(self, n):
        path = os.path.join(self.folder, f"sheet-{n}.star")
        lines = [SHEET % {"list": self.lists[n], "desk": self.desks[n]}]
        for m in range(self.count):
            peers = self.binds[n] if m == n else self.ports[n, m]
            lines.append(
                f'gateway(number = {m}, zone = "{self.zones[m]}", door = "127.0.0.1:{self.doors[m]}", '
                f'peers = "127.0.0.1:{peers}", snapshot = "{self.snapshot(m)}", '
                f'memory = "{self.folder}/list-{m}")'
            )
        lines.append(self.more)
        lines.append(f"members(period = ms({PERIOD // MS}), wait = ms({PERIOD // MS * 3 // 10}))")
        self.loop.kernel.replace_file(path, "\n".join(lines).encode(), sync=False)
        return path

    def snapshot(self, n):
        return os.path.join(self.folder, f"learned-{n}")

    def start(self, *numbers):
        for n in numbers:
            self.children[n] = self.loop.kernel.spawn(
                [sys.executable, "-m", "cobaltpond", "gateway", self.settings_path(n), "--number", str(n)],
                os.path.join(self.folder, f"gateway-{n}.log"),
            )

    def signal(self, name, *numbers):
        for n in numbers:
            self.children[n].signal(name)

    def living(self):
        return [n for n, child in sorted(self.children.items()) if child.ended() is None]

    def get(self, n, path, method="GET"):
        """(status, body) of a page or a hit at a gateway's door; (None, b"") where none comes."""
        try:
            with Deadline(self.loop, 4 * SECOND):
                return (yield from call(self.loop, ("127.0.0.1", self.doors[n]), method, path, b"", SECOND))
        except (*CALL_ERRORS, DeadlineExceededError):
            return None, b""

    def status(self, n):
        """Nothing where it does not answer."""
        status, body = yield from self.get(n, "/-/status")
        return json.loads(body) if status == 200 else {}

    def until_phase(self, phase, numbers, bound=20 * SECOND):
        def there():
            for n in numbers:
                status = yield from self.status(n)
                if status.get("recovery", {}).get("phase") != phase:
                    return False
            return True

        yield from self.until(there, bound)

    def table(self, n):
        status, body = yield from self.get(n, "/-/members")
        return json.loads(body) if status == 200 else None

    def states(self, n):
        """number -> state as gateway n sees it; its own too. Nothing where it does not answer."""
        table = yield from self.table(n)
        return {row["number"]: row["state"] for row in table["members"]} if table else {}

    def until(self, what, bound=20 * SECOND):
        """Asks a generator function again and again until it says yes; fails the test past the bound."""
        end = self.loop.kernel.now() + bound
        while not (yield from what()):
            assert self.loop.kernel.now() < end, f"{what} not so within {bound} us"
            yield Sleep(50 * MS)

    def until_seen(self, state, numbers, eyes, bound=20 * SECOND):
        def seen():
            for n in eyes:
                states = yield from self.states(n)
                if any(states.get(number) != state for number in numbers if number != n):
                    return False
            return True

        yield from self.until(seen, bound)

    def gathered(self):
        """Everybody up, and known to everybody."""
        self.start(*range(self.count))
        yield from self.until_seen("alive", range(self.count), range(self.count), 30 * SECOND)

    def hits(self, n, count, path="/look"):
        """The bodies (names of instances) of some hits at one door, one after the other; None where none
        came."""
        got = []
        for _ in range(count):
            status, body = yield from self.get(n, path, "GET" if path == "/look" else "POST")
            got.append(body.decode() if status == 200 else None)
        return got

    def run(self, generator, bound=60 * SECOND):
        """Plays a test; every process that was started here is ended by its id, whatever happens."""

        def all_of_it():
            with Deadline(self.loop, bound):
                return (yield from generator)

        try:
            return self.loop.run(self.loop.spawn(all_of_it(), "test"))
        finally:
            for child in self.children.values():
                child.signal("CONT")
                child.signal("KILL")

            def gone():
                with Deadline(self.loop, 5 * SECOND):
                    while self.living():
                        yield Sleep(5 * MS)

            self.loop.run(self.loop.spawn(gone(), "gone"))
            self.loop.close()
            self.close()
            assert not self.deaths, self.deaths

    def log(self, n):
        data = self.loop.kernel.read_file(os.path.join(self.folder, f"gateway-{n}.log")) or b""
        return [json.loads(line) for line in data.decode().splitlines() if line.startswith("{")]
