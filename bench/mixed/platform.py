"""Gateways of both revisions on the platform: `python -m cobaltpond.edge` with one configuration file each.

Discovery and the platform's release desk are played here, for each gateway by a server of its own, so that it
is known which gateway has voted.
"""

import json
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from threading import Thread
from urllib.parse import parse_qs, urlsplit

from mixed.postgres import INSERT, SELECT, Client, Instance
from mixed.programs import Checkout, PortRun, Programs
from mixed.report import expect, expect_equal, until
from mixed.revisions import Revisions
from mixed.web import Server

NAME = "platform"
HITS_EVERY = 0.02  # seconds between two hits of the traffic
SIGN_OF_LIFE = 1.0  # seconds
DRAIN_HITS = 20  # so many in a row have to be answered by what does not drain
SETTINGS = {
    "balancers": 2,
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
        "exposureWindow": 1000.0,
        "uncounted": 2.0,
        "answerWait": 300.0,
        "ballotTtl": 5000.0,
        "toAbort": 1,
    },
    "obligations": {
        "answerSlack": 20.0,
        "cold": 1000.0,
        "coldFrom": 0.5,
        "stopSendingWithin": 250.0,
        "overloadFactor": 2.0,
    },
    "policyLimits": {
        "connIdle": 15000.0,
        "dialTimeout": 200.0,
        "maxAttempts": 3,
        "mayCancel": True,
        "peers": True,
        "retryAfter": True,
        "maxRetryAfter": 1000.0,
    },
}


@dataclass
class State:
    """What discovery and desk tell now; `version` grows with each change of the list. While `reachable` is
    false discovery answers with errors."""

    hosts: list[dict]
    rollout: dict
    version: int = 1
    reachable: bool = False
    ended: bool = False
    lines: list[dict] = field(default_factory=list)  # of the feed, from its beginning

    def tell_hosts(self, hosts: list[dict]) -> None:
        """Replaces the list of instances; discovery answers from now on."""
        self.hosts, self.version, self.reachable = hosts, self.version + 1, True

    def tell_rollout(self, **changes) -> None:
        """Changes the release and tells every feed."""
        self.rollout = {**self.rollout, "AgeMs": 0, **changes}
        self.lines.append({"type": "ROLLOUT", "object": self.rollout})


class Platform(Server):
    """Discovery and desk as one gateway sees them. `ballots`: its votes."""

    def __init__(self, state: State):
        super().__init__(("127.0.0.1", 0), Requests)
        self.state, self.ballots = state, []

    @property
    def address(self) -> str:
        """Host and port, as the configuration of a gateway names them."""
        return f"127.0.0.1:{self.server_address[1]}"


class Requests(BaseHTTPRequestHandler):
    """Handles the requests of one gateway."""

    server: Platform
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802  (a name that `http.server` prescribes)
        """Serves the list of instances and the feed of the release."""
        url = urlsplit(self.path)
        try:
            if url.path == "/discovery/hosts":
                self.discovery(parse_qs(url.query))
            elif url.path == "/v2/projects/main/feed":
                self.feed()
            else:
                self.send_error(404)
        except OSError:
            self.close_connection = True  # the gateway has left

    def do_POST(self) -> None:  # noqa: N802
        """Takes a vote and answers with the state of the release."""
        ballot = json.loads(self.rfile.read(int(self.headers["content-length"])))
        self.server.ballots.append(ballot)
        self.answer(self.server.state.rollout)

    def discovery(self, query: dict) -> None:
        """The whole list, or what is new after a version that the gateway names, as soon as there is any."""
        state = self.server.state
        if not state.reachable:
            self.send_error(500)
            return
        after = int(query.get("after", ["0"])[0])
        end = time.monotonic() + int(query.get("wait_ms", ["0"])[0]) / 1000
        while state.version <= after and time.monotonic() < end:
            time.sleep(0.01)
        self.answer(
            {
                "seq": state.version,
                "whole": "after" not in query,
                "hosts": state.hosts if state.version > after else [],
            }
        )

    def feed(self) -> None:
        """Streams the lines of the feed, from its beginning until the scenario ends."""
        state, sent, alive_at = self.server.state, 0, time.monotonic()
        self.send_response(200)
        self.send_header("transfer-encoding", "chunked")
        self.end_headers()
        while not state.ended:
            for line in state.lines[sent:]:
                self.chunk(line)
            sent = len(state.lines)
            if time.monotonic() - alive_at > SIGN_OF_LIFE:
                alive_at = time.monotonic()
                self.chunk({})
            time.sleep(0.01)

    def chunk(self, value: dict) -> None:
        """Sends one line of the feed as a chunk."""
        data = json.dumps(value).encode() + b"\n"
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))

    def answer(self, value: dict) -> None:
        """Answers with a JSON value."""
        data = json.dumps(value).encode() + b"\n"
        self.send_response(200)
        self.send_header("content-length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *_) -> None:
        """Nothing is printed."""


@dataclass
class Gateway:
    """One gateway of the platform, number 0 of OLD or 1 of NEW."""

    number: int
    checkout: Checkout
    ports: PortRun
    platform: Platform
    hits: int = 0

    @property
    def name(self) -> str:
        """The name in reports, and of the process."""
        return f"{self.checkout.name} gateway"

    @property
    def door(self) -> int:
        """The port where it takes hits."""
        return self.ports.first + self.number

    def peers(self, number: int) -> str:
        """The address where a gateway takes datagrams."""
        return f"127.0.0.1:{self.ports.first + 2 + number}"

    def configuration(self) -> dict:
        """The configuration of this gateway, as JSON."""
        state = self.platform.state
        return {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.door}",
            "discovery": self.platform.address,
            "seed": f"2{self.number}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "peer_listen": self.peers(self.number),
            "peers": [self.peers(0), self.peers(1)],
            "rollouts": {"address": self.platform.address, "news": state.rollout},
            "known": {"seq": 1, "whole": True, "hosts": state.hosts},
            "settings": {**SETTINGS, "position": self.number},
        }

    def start(self, programs: Programs) -> None:
        """Writes the configuration and starts the process."""
        path = programs.folder / f"configuration-{self.number}.json"
        path.write_text(json.dumps(self.configuration()))
        programs.start(self.checkout, self.name, "-m", "cobaltpond.edge", EDGE_CONFIG=str(path))

    def ask(self, client: Client, group: str) -> str:
        """One hit; the name of the instance that answered it, or an error."""
        self.hits += 1
        form = SELECT if group == "look" else INSERT
        left = int(next(one["deadline"] for one in SETTINGS["categories"] if one["name"] == group))
        reference = f"{self.number:08x}{self.hits:08x}"
        return client.ask(
            form.format(ref=reference, group=group, tenant=("ann", "bob")[self.hits % 2], left=left)
        )


class PlatformScenario:
    """One gateway of each revision before an instance of each build."""

    def __init__(self, revisions: Revisions, folder: Path):
        self.revisions, self.report, self.programs = revisions, revisions.report, Programs(folder)
        self.instances = [Instance("old build"), Instance("new build")]
        old = self.host(0)
        self.state = State(
            [old], {"Revision": 1, "Wave": 0, "State": "stable", "MaxShare": 1.0, "AgeMs": 9000}
        )
        self.state.tell_rollout(AgeMs=9000)
        self.gateways: list[Gateway] = []
        self.failures: list[str] = []

    def host(self, number: int, health: str = "up") -> dict:
        """A row of discovery's list; instance n runs build n + 1."""
        return {
            "host": f"s-{number}",
            "dial": self.instances[number].address,
            "site": "a",
            "class": "m",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
            "revision_no": number + 1,
        }

    def run(self) -> None:
        """The whole scenario, with its servers running."""
        with ExitStack() as stack:
            ports = stack.enter_context(PortRun(4))
            for number, checkout in enumerate((self.revisions.old, self.revisions.new)):
                self.gateways.append(Gateway(number, checkout, ports, Platform(self.state)))
            for server in (*self.instances, *(gateway.platform for gateway in self.gateways)):
                stack.callback(server.server_close)
                Thread(target=server.serve_forever, daemon=True).start()
                stack.callback(server.shutdown)
            stack.callback(self.end)
            stack.enter_context(self.programs)
            self.check_configuration()
            self.check_release()
            self.check_drain()
            self.check_stops()

    def end(self) -> None:
        """Ends the feeds."""
        self.state.ended = True

    def check_configuration(self) -> None:
        """Discovery does not answer yet: the only instances are those of the configuration."""
        for gateway in self.gateways:
            gateway.start(self.programs)
        for gateway in self.gateways:
            with self.report.check(f"{NAME}: {gateway.name} serves by its configuration alone"):
                client = until("door", lambda gateway=gateway: Client(gateway.door))
                with client:
                    told = {group: gateway.ask(client, group) for group in ("look", "hold", "pay")}
                expect_equal(told, dict.fromkeys(("look", "hold", "pay"), "old build"), "answers")

    def check_release(self) -> None:
        """A new build goes on trial; each gateway sends it a part of the hits and votes for it."""
        before = [instance.statements for instance in self.instances]
        self.state.tell_hosts([self.host(0), self.host(1)])
        self.state.tell_rollout(Revision=2, State="canary", MaxShare=0.5)
        with ExitStack() as stack:
            clients = [stack.enter_context(Client(gateway.door)) for gateway in self.gateways]
            for gateway in self.gateways:
                with self.report.check(f"{NAME}: {gateway.name} votes for a build on trial"):
                    until("vote", lambda gateway=gateway: self.hit_all(clients) and self.has_voted(gateway))
        with self.report.check(f"{NAME}: no failed answers, and both builds served"):
            expect(not self.failures, "; ".join(self.failures[:3]))
            for instance, count in zip(self.instances, before, strict=True):
                expect(instance.statements > count, f"{instance.name}: nothing served on trial")

    def hit_all(self, clients: list[Client]) -> bool:
        """One hit at each gateway; what is no answer of an instance is noted."""
        time.sleep(HITS_EVERY)
        for gateway, client in zip(self.gateways, clients, strict=True):
            told = gateway.ask(client, "pay" if gateway.hits % 4 == 0 else "look")
            if told not in ("old build", "new build"):
                self.failures.append(f"{gateway.name}: {told}")
        return True

    @staticmethod
    def has_voted(gateway: Gateway) -> bool:
        """The gateway has voted to promote the build on trial."""
        return {"Revision": 2, "Wave": 0, "Decision": "promote"} in gateway.platform.ballots

    def check_drain(self) -> None:
        """The build is released and the earlier instance drains: it gets nothing more."""
        self.state.tell_rollout(State="stable", MaxShare=1.0)
        self.state.tell_hosts([self.host(0, "draining"), self.host(1)])
        for gateway in self.gateways:
            with self.report.check(f"{NAME}: {gateway.name} sends nothing to what drains"):
                until("only the new build", lambda gateway=gateway: self.answers(gateway) == {"new build"})

    @staticmethod
    def answers(gateway: Gateway) -> set[str]:
        """Of some hits in a row."""
        with Client(gateway.door) as client:
            return {gateway.ask(client, "look") for _ in range(DRAIN_HITS)}

    def check_stops(self) -> None:
        """Both gateways stop with exit code 0."""
        with self.report.check(f"{NAME}: both end with 0 when asked to stop"):
            codes = {gateway.name: self.programs.stop(gateway.name) for gateway in self.gateways}
            expect_equal(codes, dict.fromkeys(codes, 0), "exit codes")


def check_platform(revisions: Revisions) -> None:
    """Both revisions read the platform's configuration and serve side by side."""
    folder = revisions.scratch / NAME
    folder.mkdir()
    with revisions.report.scenario(NAME):
        PlatformScenario(revisions, folder).run()
