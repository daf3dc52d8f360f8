"""Runs real agents and a real desk as child processes, with a registry and build servers in this process.

Tests use it to order releases, break builds, kill processes and inspect what runs in the end.
"""

import base64
import json
import sys

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from cobaltpond.builds.manifest import KeyRing, SigningKey
from cobaltpond.loop import Deadline, DeadlineExceededError, Sleep, reserve_ports
from cobaltpond.loop.random_source import seeded_random
from cobaltpond.rpc import CALL_ERRORS, call, json_response, serve_rpc
from cobaltpond.standins.build_server import BuildServer, make_build
from cobaltpond.standins.instance_list import InstanceListServer

SECOND = 1_000_000
# An instance that answers its health check; the file `flaw` beside it names its fault.
SERVE = """#!%s -SE
import os, signal, socket, sys, time
flaw = open(os.path.join(os.path.dirname(os.path.abspath(__file__)), "flaw")).read()
if flaw == "exit":
    sys.exit(3)
if flaw == "stubborn":
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
listener = socket.create_server(("127.0.0.1", int(sys.argv[1])), backlog=16)
began = time.monotonic()
while True:
    listener.settimeout(0.05)
    try:
        peer, _ = listener.accept()
    except TimeoutError:
        peer = None
    if flaw == "crash" and time.monotonic() - began > 0.4:
        os._exit(9)
    if peer is not None:
        peer.settimeout(0.5)
        try:
            peer.recv(4096)
            status = b"503 No" if flaw == "deaf" else b"200 OK"
            peer.sendall(b"HTTP/1.1 " + status + b"\\r\\ncontent-length: 0\\r\\n\\r\\n")
        except OSError:
            pass
        peer.close()
"""
SETTINGS = """
path_group(name = "look", kind = "repeatable", target_latency = ms(500), client_timeout = ms(2000))
route(path = "/*", group = "look")
release(gate = "any", layout = "%(layout)s", shares = [0.34, 1.0], caps = [0.5, 1.0], exposure_window = s(2),
        vote_life = s(20), vote_wait = ms(500), dwell = ms(200), settle = ms(100), start_within = s(4),
        drain_time = ms(300), news_period = s(1))
rules(drain_grace = ms(250), cold_time = s(2), cold_share = 0.5, overload_factor = 2.0, tip_time = ms(1500))
listing(address = "127.0.0.1:%(list)d")
desk(address = "127.0.0.1:%(desk)d", journal = "%(folder)s/desk")
builds(sources = [%(sources)s], keys = "%(folder)s/keys.json", ready_time = s(2), stop_time = ms(600))
"""


class HostCluster:
    """A desk, its hosts and optional gateways; times are in microseconds.

    `registry_log` lists the reports to the registry: (time, instance, build, state, start).
    """

    def __init__(self, loop, folder, hosts=6, layout="beside", servers=2, gateways=1):
        self.loop = loop
        self.folder = str(folder)
        self.children = {}
        self.places = [f"h{n}" for n in range(hosts)]
        kernel = loop.kernel
        kernel.make_folder(self.folder)
        self.key = Ed25519PrivateKey.from_private_bytes(b"k" * 32)
        self.servers = [BuildServer(loop, kernel.listen(("127.0.0.1", 0), 64)) for _ in range(servers)]
        self.listed, self.registry_log = {}, []
        self.lock, base = reserve_ports(kernel, 8 * hosts + 1 + gateways)
        self.ports = list(range(base, base + 8 * hosts + 1 + gateways))
        self.instance_list = InstanceListServer(
            loop, lambda kind, **more: None, seeded_random(1), 200_000, 50_000
        )
        loop.spawn(self.instance_list.push_updates(), "list-push")
        listener = kernel.listen(("127.0.0.1", 0), 256)
        loop.spawn(serve_rpc(loop, listener, self.handle_registry, "registry"), "registry")
        self.desk = ("127.0.0.1", self.ports[-1])
        self.doors = [("127.0.0.1", self.ports[-2 - n]) for n in range(gateways)]
        public = base64.b64encode(self.key.public_key().public_bytes_raw()).decode()
        ring = KeyRing(1, [SigningKey("town", public, 0, 1 << 40)])
        import msgspec

        kernel.replace_file(f"{self.folder}/keys.json", msgspec.json.encode(ring), sync=False)
        sources = ", ".join(f'"127.0.0.1:{s.address[1]}"' for s in self.servers)
        text = SETTINGS % {
            "layout": layout,
            "list": listener.address()[1],
            "desk": self.desk[1],
            "folder": self.folder,
            "sources": sources,
        }
        for n, place in enumerate(self.places):
            text += (
                f'host(place = "{place}", zone = "a", folder = "{self.folder}/{place}", '
                f"ports = {self.ports[0] + 8 * n})\n"
            )
        for n, (_, port) in enumerate(self.doors):
            text += f'gateway(number = {n}, zone = "a", door = "127.0.0.1:{port}")\n'
        self.settings_path = f"{self.folder}/town.star"
        kernel.replace_file(self.settings_path, text.encode(), sync=False)

    def handle_registry(self, request):
        """Serves the instance list and accepts the agents' reports."""
        if request.method == "GET":
            return self.instance_list.handle(request)
        row = request.json_object()
        listed_row = {k: v for k, v in row.items() if k != "age_us"}
        self.instance_list.publish([{**listed_row, "up_at": self.loop.now() - row["age_us"]}])
        self.registry_log.append((self.loop.now(), row["id"], row["build"], row["state"], row["start"]))
        if row["state"] == "gone":
            if self.listed.get(row["id"], {}).get("start") == row["start"]:
                del self.listed[row["id"]]
        else:
            self.listed[row["id"]] = row
        return json_response(200, {})

    def publish_build(self, number, flaw="good", size=200_000, key=None, salt=b""):
        """Signs a build and adds it to all build servers; returns (signed manifest, chunks).

        `key` replaces the cluster's key, under the same id or, where it is a pair (id, key), under its own.
        """
        body = (salt or b"%d" % number) * (size // max(1, len(salt or b"%d" % number)))
        id, key = key if isinstance(key, tuple) else ("town", key or self.key)
        now = self.loop.kernel.wall_clock() // SECOND
        signed, chunks = make_build(
            number,
            {"serve": (SERVE % sys.executable).encode(), "flaw": flaw.encode(), "data": body},
            {id: key},
            now,
            now + 10_000,
            16384,
            ["serve", "{port}"],
        )
        for server in self.servers:
            server.add(number, signed, chunks)
        return signed, chunks

    def start(self, name):
        """Starts the desk, a gateway (`gateway-N`) or the agent of a host."""
        words = (
            ["desk", self.settings_path] if name == "desk" else ["agent", self.settings_path, "--place", name]
        )
        if name.startswith("gateway-"):
            words = ["gateway", self.settings_path, "--number", name.partition("-")[2]]
        self.children[name] = self.loop.kernel.spawn(
            [sys.executable, "-m", "cobaltpond", *words], f"{self.folder}/{name}.log"
        )

    def kill_process(self, name):
        """Kills a child process and waits until it has ended."""
        self.children[name].signal("KILL")
        self.children[name].process.wait()

    def start_all(self):
        """Starts the desk and all agents."""
        for name in ("desk", *self.places):
            self.start(name)

    def call_desk(self, method, target, body=None):
        """One call to the desk: (status, parsed answer); raises the errors of `rpc.call` after a second."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else b""
        with Deadline(self.loop, SECOND):
            status, text = yield from call(self.loop, self.desk, method, target, data, SECOND)
        return status, json.loads(text)

    def call_until_answered(
        self, method, target, body=None, bound=15 * SECOND, good=lambda status, answer: status < 300
    ):
        """Repeats a call, to a desk that may be down, until `good(status, answer)`.

        Raises TimeoutError after `bound` microseconds.
        """
        end, last_result = self.loop.now() + bound, None
        while self.loop.now() < end:
            try:
                last_result = yield from self.call_desk(method, target, body)
                if good(*last_result):
                    return last_result[1]
            except (*CALL_ERRORS, DeadlineExceededError, ValueError) as error:
                last_result = error
            yield Sleep(20_000)
        raise TimeoutError(f"{method} {target}: {last_result}")

    def cast_vote(self, build, stage, verdict):
        """Votes as gateway 0; a vote that the desk refuses with 409 is accepted, too."""
        return (
            yield from self.call_until_answered(
                "POST",
                "/v1/votes",
                {"gateway": 0, "build": build, "stage": stage, "verdict": verdict},
                good=lambda s, a: s in (200, 409),
            )
        )

    def wait_until(self, condition, bound=20 * SECOND):
        """Waits for a condition and returns the time; raises TimeoutError after `bound` microseconds."""
        end = self.loop.now() + bound
        while self.loop.now() < end:
            if condition():
                return self.loop.now()
            yield Sleep(10_000)
        raise TimeoutError(
            f"not within {bound} us: running {self.running_builds()}, listed {self.listed_up()}"
        )

    def promote(self, build, bound=20 * SECOND):
        """Votes for a build, stage by stage, until it is released; raises TimeoutError."""
        end = self.loop.now() + bound
        while self.loop.now() < end:
            status = yield from self.call_until_answered("GET", "/v1/status")
            news = status["news"]
            if (news["build"], news["phase"]) == (build, "released"):
                return
            yield from self.cast_vote(build, news["stage"], "on")
            yield Sleep(30_000)
        raise TimeoutError(f"build {build} was not released: {status}")

    def listed_up(self):
        """(place, build) of all instances that the registry lists as up."""
        return sorted(
            (row["id"].partition(".")[0], row["build"])
            for row in self.listed.values()
            if row["state"] == "up"
        )

    def running_builds(self):
        """(place, build) of every running process that was started from a host's store."""
        found = []
        for _, words in self.loop.kernel.command_lines():
            for word in words[:4]:
                if word.startswith(self.folder + "/") and word.endswith("/tree/serve"):
                    parts = word[len(self.folder) + 1 :].split("/")
                    found.append((parts[0], int(parts[3])))
        return sorted(found)

    def runs_only(self, build):
        """Whether this build, and nothing else, is running and listed in every place."""
        whole = sorted((place, build) for place in self.places)
        return self.running_builds() == whole and self.listed_up() == whole

    def close(self):
        """Kills all child processes and the instances that they have started."""
        self.lock.close()
        for child in self.children.values():
            child.signal("KILL")
        for pid, words in self.loop.kernel.command_lines():
            if any(word.startswith(f"{self.folder}/") for word in words):
                self.loop.kernel.kill_process(pid)
