"""Handles the calls to the desk: from gateways, hosts and operators."""

import base64
import binascii

import msgspec

from cobaltpond.builds.manifest import Ring, Unfit, rings_after
from cobaltpond.desk.stages import Refused
from cobaltpond.loop import Sleep
from cobaltpond.rpc import Refusal, Stream, json_answer

TICK = 20_000


class Handlers:
    """A part of `service.Desk`, which has the state."""

    def report(self, body):
        """A host says how it stands."""
        try:
            rows = self.hosts.report(self.loop.now(), body, self.comeback.collecting)
            self.comeback.host(body["place"], body.get("seen"))
        except (KeyError, TypeError, ValueError) as trouble:
            raise Refusal(400, f"no report: {trouble!r}") from None
        place, listed = body["place"], {row[0] for row in rows}
        for id in [id for id, m in self.stages.machines.items() if m.place == place and id not in listed]:
            self.stages.machine(self.loop.now(), id, "", 0, "gone")
        for row in rows:
            self.stages.machine(self.loop.now(), *row)
        return json_answer(200, {})

    def follow_orders(self, request):
        place = request.query.get("place")
        if place not in self.hosts.hosts:
            raise Refusal(404, f"no place {place!r}")
        stream = Stream()
        self.order_streams.setdefault(place, []).append(stream)
        stream.put({"rings": self.rings})
        self.sent.pop(place, None)
        return stream

    def handle(self, request):
        route = request.method, request.path
        if route == ("GET", "/v1/news"):
            return self.follow(request)
        if route == ("POST", "/v1/votes"):
            return self.vote(request.json())
        if route == ("POST", "/v1/wrong"):
            return self.wrong(request.json())
        if route == ("POST", "/v1/builds"):
            return self.offer(request.json())
        if self.hosts and route == ("GET", "/v1/orders"):
            return self.follow_orders(request)
        if self.hosts and route == ("POST", "/v1/reports"):
            return self.report(request.json())
        if self.hosts and route == ("POST", "/v1/keys"):
            return self.take_ring(request.body)
        if route == ("POST", "/v1/back"):
            return self.back(request.json())
        if route == ("GET", "/v1/history"):
            return json_answer(200, {"history": self.history})
        if route == ("GET", "/v1/status"):
            return json_answer(200, self.status())
        raise Refusal(404, "no such call")

    def gateway_of(self, number) -> int:
        if not isinstance(number, int) or not 0 <= number < len(self.sheet.gateways):
            raise Refusal(400, f"no gateway {number!r}")
        return number

    def follow(self, request):
        given = request.query.get("gateway", "")
        number = self.gateway_of(int(given) if given.isdigit() else given)
        self.comeback.gateway(number, request.query.get("seen"))
        stream = Stream()
        self.streams.setdefault(number, []).append(stream)
        if not self.comeback.collecting:  # else with the first tick: guards against telling what is old
            self.tell(number, {"news": self.news()})
        return stream

    def vote(self, body):
        number = self.gateway_of(body.get("gateway"))
        if not isinstance(body.get("build"), int) or not isinstance(body.get("stage"), int):
            raise Refusal(400, "a vote needs build and stage as whole numbers")
        if self.comeback.shut:
            return json_answer(429, {"answer": "full"})
        answer = self.stages.vote(self.loop.now(), number, body["build"], body["stage"], body.get("verdict"))
        self.keep()  # a vote that was answered is one that counts, also after a crash
        told = {"answer": answer, "news": self.news()} if answer == "ok" else {"answer": answer}
        return json_answer({"ok": 200, "moot": 409, "full": 429}[answer], told)

    def wrong(self, body):
        """A client found wrong what a gateway passed on; that gateway is told."""
        number = self.gateway_of(body.get("gateway"))
        told = {"instance": body.get("instance"), "group": body.get("group"), "age_us": body.get("age_us", 0)}
        if not isinstance(told["instance"], str) or not isinstance(told["age_us"], int):
            raise Refusal(400, "instance and age_us are needed")
        if told["group"] not in {g.name for g in self.sheet.path_groups}:
            raise Refusal(400, f"no path group {told['group']!r}")
        self.tell(number, {"wrong": told})
        return json_answer(202, {})

    def take_ring(self, data):
        """A signed key ring for all hosts. It is held against the sheet's ring and all that have come since,
        kept, and handed on; each host checks it again for itself."""
        first = msgspec.json.decode(self.loop.kernel.read_file(self.sheet.builds.keys) or b"{}", type=Ring)
        try:
            held, _ = rings_after(first, [base64.b64decode(one) for one in self.rings], self.wall())
            ring, taken = rings_after(held, [data], self.wall())
        except (Unfit, binascii.Error) as trouble:
            raise Refusal(409, f"{type(trouble).__name__}: {trouble}") from None
        if not taken:
            raise Refusal(409, f"key ring {held.version} is held already, or a later one")
        self.rings = [*self.rings, base64.b64encode(data).decode()]
        self.keep()
        for streams in self.order_streams.values():
            for stream in streams:
                stream.put({"rings": self.rings})
        self.log.info("key ring", version=ring.version, keys=[key.id for key in ring.keys])
        return json_answer(202, {"version": ring.version, "keys": [key.id for key in ring.keys]})

    def wall(self):
        return self.loop.kernel.wall() // 1_000_000

    def offer(self, body):
        if not isinstance(body.get("build"), int):
            raise Refusal(400, "build: a whole number is needed")
        yield from self.collected()
        if self.comeback.waiting:
            return self.stands(body["build"])
        try:
            self.stages.offer(self.loop.now(), body["build"])
        except Refused as no:
            raise Refusal(409, str(no)) from None
        self.keep()
        return json_answer(202, self.status())

    def collected(self):
        """An operator's word waits until the desk knows where it stands."""
        while self.comeback.collecting:
            yield Sleep(TICK)

    def stands(self, build):
        """While the operator is waited for, offering the newest build once more says that it is the released
        one."""
        if build != self.stages.build:
            raise Refusal(
                409,
                f"the desk waits ({self.comeback.returning.why}): offer build {self.stages.build} "
                "again if it is to stay, or send it back",
            )
        self.comeback.settle(f"an operator says that build {build} stays")
        self.stages.set(self.loop.now(), "released", 0, "an operator says that it stays")
        self.keep()
        return json_answer(202, self.status())

    def back(self, body):
        """An operator sends a build back; the number guards against meaning another one than is out."""
        yield from self.collected()
        if body.get("build") != self.stages.build:
            raise Refusal(409, f"the newest build is {self.stages.build}, not {body.get('build')}")
        try:
            self.stages.send_back(self.loop.now(), str(body.get("why") or "sent back by an operator")[:200])
        except Refused as no:
            raise Refusal(409, str(no)) from None
        self.comeback.settle("an operator sent the build back")
        self.keep()
        return json_answer(202, self.status())

    def status(self):
        now, stages = self.loop.now(), self.stages
        missing = [f"{what} {' '.join(map(str, rest))}" for what, *rest in stages.ordered]
        return {
            "news": self.news(),
            "returning": self.comeback.status(),
            "condemned": stages.condemned,
            "stable": stages.stable,
            "offered": stages.offered,
            "clock_us": None if stages.clock is None else now - stages.clock,
            "votes": {v: stages.standing(now, v) for v in ("on", "hold", "back")},
            "missing": self.hosts.missing(now) if self.hosts else [],
            "streams": sum(map(len, self.streams.values())),
            "orders": missing,
            "machines": [
                {"id": m.id, "place": m.place, "build": m.build, "state": m.state}
                for m in stages.machines.values()
            ],
        }
