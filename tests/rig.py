"""Test rig: several real gateway processes on loopback, with a programmable link between every two of them.

Each gateway has its own settings, in which the datagram addresses of the others are sockets of the rig: a
datagram passes through the rig and leaves by the socket that the receiver knows as the sender's address. The
instance list, the desk and the instances run in the test's process, with one listener for each gateway, so
that a test can send different data to each gateway, or none.
"""

import json
import os
import sys

from world import request_reader

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
SETTINGS = """
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
    """One direction of the link between two gateways, with the faults that the test has set."""

    def __init__(self, seed):
        self.cut, self.lose, self.repeat, self.late = False, 0.0, 0.0, (0, 0)
        self.chance, self.passed, self.dropped = seeded_random(seed), 0, 0

    def deliveries(self):
        """The delay of each copy of a datagram in microseconds; empty if the datagram is lost."""
        if self.cut or self.chance.random() < self.lose:
            self.dropped += 1
            return []
        self.passed += 1
        return [
            self.chance.randint(*self.late) for _ in range(2 if self.chance.random() < self.repeat else 1)
        ]


class Rig:
    """`count` gateways; number n is in zone `zones[n % len(zones)]`."""

    def __init__(self, folder, count, zones=("north",), seed=1, extra_settings=""):
        """`extra_settings`: further lines for the settings of every gateway."""
        self.extra_settings = extra_settings
        self.loop = Loop(EpollKernel(), self.on_task_failure)
        self.folder = str(folder)
        self.count = count
        self.task_failures = []
        self.zones = [zones[n % len(zones)] for n in range(count)]
        pairs = [(a, b) for a in range(count) for b in range(count) if a != b]
        self.links = {pair: Link(f"{seed}/{pair}") for pair in pairs}
        # A reserved range is free of listeners, but datagram ports in it may be taken.
        for _ in range(50):
            self.lock, base = reserve_ports(self.loop.kernel, 4 * count + count * count + 8)
            at = iter(range(base, base + 4 * count + count * count + 8))
            self.client_ports, self.peer_ports, self.list_ports, self.desk_ports = (
                [next(at) for _ in range(count)] for _ in range(4)
            )
            # By pair: the port of the second gateway in the settings of the first.
            self.link_ports, self.sockets = {pair: next(at) for pair in pairs}, {}
            try:
                for peer_port in self.peer_ports:  # Tests that the gateways' own ports are free.
                    self.loop.kernel.open_datagrams(("127.0.0.1", peer_port)).close()
                for pair, port in self.link_ports.items():
                    self.sockets[pair] = self.loop.kernel.open_datagrams(("127.0.0.1", port))
                break
            except OSError:
                self.close()
        else:
            raise RuntimeError("no free ports")
        self.children, self.ended, self.streams = {}, {}, {n: {} for n in range(count)}
        self.news = {n: {"build": 1, "stage": 0, "phase": "released", "cap": 1.0} for n in range(count)}
        self.since, self.silent_desks, self.rows, self.revision = self.loop.kernel.now(), {}, [], 1
        self.served = {}  # name of an instance -> hits
        self.epoch, self.request_log, self.votes, self.reported_states = "e", [], [], {}
        # By name of the instance: times of its connections, and the delay of its answers.
        self.connect_times, self.answer_delays = {}, {}
        for pair in pairs:
            self.loop.spawn(self.relay_datagrams(pair), f"link-{pair}")
        for n in range(count):
            for name, port, handler in (
                ("list", self.list_ports[n], self.on_list),
                ("desk", self.desk_ports[n], self.on_desk),
            ):
                listener = self.loop.kernel.listen(("127.0.0.1", port), 64)
                self.loop.spawn(
                    serve_rpc(
                        self.loop,
                        listener,
                        lambda request, n=n, handler=handler: handler(n, request),
                        f"{name}-{n}",
                    ),
                    f"{name}-{n}",
                )
        self.loop.spawn(self.repeat_news(), "beat")

    def close(self):
        for socket in self.sockets.values():
            socket.close()
        self.lock.close()

    def on_task_failure(self, task, error):
        self.task_failures.append((task.name, error))

    # --- links ----------------------------------------------------------------------------------------------

    def relay_datagrams(self, pair):
        a, b = pair
        while True:
            datagram = self.sockets[pair].recv(2048)
            if datagram is None:
                yield Readable(self.sockets[pair])
                continue
            for delay in self.links[pair].deliveries():
                self.loop.call_in(
                    delay,
                    lambda data=datagram[0]: self.sockets[b, a].send(data, ("127.0.0.1", self.peer_ports[b])),
                )

    def between(self, ones, others, **faults):
        """Sets attributes of `Link` (cut, lose, repeat, late) in both directions between two groups."""
        for a in ones:
            for b in others:
                if a != b:
                    for pair in ((a, b), (b, a)):
                        for name, value in faults.items():
                            setattr(self.links[pair], name, value)

    # --- instances, list, desk ------------------------------------------------------------------------------

    def instance(self, name, build, delay=0):
        listener = self.loop.kernel.listen(("127.0.0.1", 0), 256)
        self.served[name] = 0

        self.connect_times[name], self.answer_delays[name] = [], delay

        def answer_requests(connection):
            self.connect_times[name].append(self.loop.kernel.now())
            next_request = request_reader(connection)
            while True:
                head, _ = yield from next_request()
                if head is None:
                    return
                if head.target != b"/-/probe":
                    self.served[name] += 1
                if self.answer_delays[name]:
                    yield Sleep(self.answer_delays[name])
                yield from connection.write(http1.response(200, [], name.encode()))

        self.loop.spawn(serve(self.loop, listener, answer_requests, 256, name), name)
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
        full_list = {"epoch": self.epoch, "revision": self.revision, "base": None, "rows": self.rows}
        self.request_log.append((self.loop.kernel.now(), "list", n))
        if "watch" not in request.query:
            return json_response(200, full_list)
        stream = self.streams[n]["list"] = ResponseStream()
        stream.send_object(full_list)
        return stream

    def push_list(self, row, receivers):
        """Changes one row of the instance list, and pushes the change to some of the gateways only."""
        self.rows = [r if r["id"] != row["id"] else row for r in self.rows]
        self.revision += 1
        for n in receivers:
            self.streams[n]["list"].send_object(
                {"epoch": self.epoch, "revision": self.revision, "base": self.revision - 1, "rows": [row]}
            )

    def on_desk(self, n, request):
        if request.path == "/v1/votes":
            self.votes.append((n, request.json_object()))
            return json_response(200, {"news": self.news_of(n)})
        self.request_log.append((self.loop.kernel.now(), "desk", n))
        self.reported_states[n] = json.loads(request.query.get("seen") or "null")
        stream = self.streams[n]["desk"] = ResponseStream()
        stream.send_object({"news": self.news_of(n)})
        return stream

    def news_of(self, n):
        return {**self.news[n], "age_us": self.loop.kernel.now() - self.since}

    def push_news(self, receivers, **news):
        self.since = self.loop.kernel.now()
        for n in receivers:
            self.news[n] = news
            if "desk" in self.streams[n]:
                self.streams[n]["desk"].send_object({"news": self.news_of(n)})

    def repeat_news(self):
        """Sends the desk's news periodically, except to the gateways in `silent_desks`."""
        while True:
            yield Sleep(500 * MS)
            for n in range(self.count):
                if "desk" in self.streams[n] and n not in self.silent_desks:
                    self.streams[n]["desk"].send_object({"news": self.news_of(n)})

    # --- gateway processes ----------------------------------------------------------------------------------

    def settings_path(self, n):
        path = os.path.join(self.folder, f"sheet-{n}.star")
        lines = [SETTINGS % {"list": self.list_ports[n], "desk": self.desk_ports[n]}]
        for m in range(self.count):
            peers = self.peer_ports[n] if m == n else self.link_ports[n, m]
            lines.append(
                f'gateway(number = {m}, zone = "{self.zones[m]}", door = "127.0.0.1:{self.client_ports[m]}", '
                f'peers = "127.0.0.1:{peers}", snapshot = "{self.snapshot(m)}", '
                f'memory = "{self.folder}/list-{m}")'
            )
        lines.append(self.extra_settings)
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
        """(status, body) of a request to a gateway's client port; (None, b"") if no answer comes."""
        try:
            with Deadline(self.loop, 4 * SECOND):
                return (
                    yield from call(self.loop, ("127.0.0.1", self.client_ports[n]), method, path, b"", SECOND)
                )
        except (*CALL_ERRORS, DeadlineExceededError):
            return None, b""

    def status(self, n):
        """The status page of a gateway; empty if it does not answer."""
        status, body = yield from self.get(n, "/-/status")
        return json.loads(body) if status == 200 else {}

    def until_phase(self, phase, numbers, bound=20 * SECOND):
        def all_reached():
            for n in numbers:
                status = yield from self.status(n)
                if status.get("recovery", {}).get("phase") != phase:
                    return False
            return True

        yield from self.until(all_reached, bound)

    def table(self, n):
        status, body = yield from self.get(n, "/-/members")
        return json.loads(body) if status == 200 else None

    def states(self, n):
        """State of each gateway by number as gateway n sees it, its own included; empty without an answer."""
        table = yield from self.table(n)
        return {row["number"]: row["state"] for row in table["members"]} if table else {}

    def until(self, condition, bound=20 * SECOND):
        """Polls a generator function until it returns true. Fails the test after `bound` microseconds."""
        end = self.loop.kernel.now() + bound
        while not (yield from condition()):
            assert self.loop.kernel.now() < end, f"{condition} not so within {bound} us"
            yield Sleep(50 * MS)

    def until_seen(self, state, numbers, observers, bound=20 * SECOND):
        def all_see_it():
            for n in observers:
                states = yield from self.states(n)
                if any(states.get(number) != state for number in numbers if number != n):
                    return False
            return True

        yield from self.until(all_see_it, bound)

    def start_all(self):
        """Starts all gateways, and waits until each sees all others as alive."""
        self.start(*range(self.count))
        yield from self.until_seen("alive", range(self.count), range(self.count), 30 * SECOND)

    def hits(self, n, count, path="/look"):
        """Bodies (names of instances) of consecutive hits at gateway n; None for each without status 200."""
        bodies = []
        for _ in range(count):
            status, body = yield from self.get(n, path, "GET" if path == "/look" else "POST")
            bodies.append(body.decode() if status == 200 else None)
        return bodies

    def run(self, generator, bound=60 * SECOND):
        """Runs a test's generator, then kills the processes that this rig has started."""

        def run_generator():
            with Deadline(self.loop, bound):
                return (yield from generator)

        try:
            return self.loop.run(self.loop.spawn(run_generator(), "test"))
        finally:
            for child in self.children.values():
                child.signal("CONT")
                child.signal("KILL")

            def all_ended():
                with Deadline(self.loop, 5 * SECOND):
                    while self.living():
                        yield Sleep(5 * MS)

            self.loop.run(self.loop.spawn(all_ended(), "gone"))
            self.loop.close()
            self.close()
            assert not self.task_failures, self.task_failures

    def log(self, n):
        data = self.loop.kernel.read_file(os.path.join(self.folder, f"gateway-{n}.log")) or b""
        return [json.loads(line) for line in data.decode().splitlines() if line.startswith("{")]
