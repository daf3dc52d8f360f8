"""Handles the calls to the desk: from gateways, hosts and operators."""

import base64
import binascii

import msgspec

from cobaltpond.builds.manifest import KeyRing, ManifestError, apply_ring_chain
from cobaltpond.desk.stages import ReleaseRefusedError
from cobaltpond.loop import Sleep
from cobaltpond.loop.errors import error_name
from cobaltpond.rpc import ResponseStream, RpcError, json_response

TICK = 20_000


class Handlers:
    """A part of `service.Desk`, which has the state."""

    def handle_report(self, body):
        """A host says how it stands."""
        try:
            rows = self.hosts.apply_report(self.loop.now(), body, self.state_recovery.is_collecting)
            self.state_recovery.host_reported(body["place"], body.get("seen"))
        except (KeyError, TypeError, ValueError) as trouble:
            raise RpcError(400, f"no report: {trouble!r}") from None
        place, listed = body["place"], {row[0] for row in rows}
        for id in [id for id, m in self.stages.instances.items() if m.place == place and id not in listed]:
            self.stages.update_instance(self.loop.now(), id, "", 0, "gone")
        for row in rows:
            self.stages.update_instance(self.loop.now(), *row)
        return json_response(200, {})

    def follow_orders(self, request):
        place = request.query.get("place")
        if place not in self.hosts.hosts:
            raise RpcError(404, f"no place {place!r}")
        stream = ResponseStream()
        self.order_streams.setdefault(place, []).append(stream)
        stream.send_object({"rings": self.rings})
        self.sent.pop(place, None)
        return stream

    def handle(self, request):
        route = request.method, request.path
        if route == ("GET", "/v1/news"):
            return self.handle_news_stream(request)
        if route == ("POST", "/v1/votes"):
            return self.handle_vote(request.json_object())
        if route == ("POST", "/v1/wrong"):
            return self.handle_wrong_answer(request.json_object())
        if route == ("POST", "/v1/builds"):
            return self.handle_offer(request.json_object())
        if self.hosts and route == ("GET", "/v1/orders"):
            return self.follow_orders(request)
        if self.hosts and route == ("POST", "/v1/reports"):
            return self.handle_report(request.json_object())
        if self.hosts and route == ("POST", "/v1/keys"):
            return self.take_ring(request.body)
        if route == ("POST", "/v1/back"):
            return self.handle_take_back(request.json_object())
        if route == ("GET", "/v1/history"):
            return json_response(200, {"history": self.history})
        if route == ("GET", "/v1/status"):
            return json_response(200, self.status())
        raise RpcError(404, "no such call")

    def gateway_of(self, number) -> int:
        if not isinstance(number, int) or not 0 <= number < len(self.settings.gateways):
            raise RpcError(400, f"no gateway {number!r}")
        return number

    def handle_news_stream(self, request):
        given = request.query.get("gateway", "")
        number = self.gateway_of(int(given) if given.isdigit() else given)
        self.state_recovery.gateway_asked(number, request.query.get("seen"))
        stream = ResponseStream()
        self.streams.setdefault(number, []).append(stream)
        if (
            not self.state_recovery.is_collecting
        ):  # else with the first tick: guards against telling what is old
            self.send_to_gateway(number, {"news": self.current_news()})
        return stream

    def handle_vote(self, body):
        number = self.gateway_of(body.get("gateway"))
        if not isinstance(body.get("build"), int) or not isinstance(body.get("stage"), int):
            raise RpcError(400, "a vote needs build and stage as whole numbers")
        if self.state_recovery.is_blocked:
            return json_response(429, {"answer": "full"})
        answer = self.stages.record_vote(
            self.loop.now(), number, body["build"], body["stage"], body.get("verdict")
        )
        self.persist()  # a vote that was answered is one that counts, also after a crash
        told = {"answer": answer, "news": self.current_news()} if answer == "ok" else {"answer": answer}
        return json_response({"ok": 200, "moot": 409, "full": 429}[answer], told)

    def handle_wrong_answer(self, body):
        """A client found wrong what a gateway passed on; that gateway is told."""
        number = self.gateway_of(body.get("gateway"))
        told = {"instance": body.get("instance"), "group": body.get("group"), "age_us": body.get("age_us", 0)}
        if not isinstance(told["instance"], str) or not isinstance(told["age_us"], int):
            raise RpcError(400, "instance and age_us are needed")
        if told["group"] not in {g.name for g in self.settings.path_groups}:
            raise RpcError(400, f"no path group {told['group']!r}")
        self.send_to_gateway(number, {"wrong": told})
        return json_response(202, {})

    def take_ring(self, data):
        """A signed key ring for all hosts. It is held against the sheet's ring and all that have come since,
        kept, and handed on; each host checks it again for itself."""
        first = msgspec.json.decode(
            self.loop.kernel.read_file(self.settings.builds.keys) or b"{}", type=KeyRing
        )
        try:
            held, _ = apply_ring_chain(first, [base64.b64decode(one) for one in self.rings], self.wall())
            ring, taken = apply_ring_chain(held, [data], self.wall())
        except (ManifestError, binascii.Error) as trouble:
            raise RpcError(409, f"{error_name(trouble)}: {trouble}") from None
        if not taken:
            raise RpcError(409, f"key ring {held.version} is held already, or a later one")
        self.rings = [*self.rings, base64.b64encode(data).decode()]
        self.persist()
        for streams in self.order_streams.values():
            for stream in streams:
                stream.send_object({"rings": self.rings})
        self.log.info("key ring", version=ring.version, keys=[key.id for key in ring.keys])
        return json_response(202, {"version": ring.version, "keys": [key.id for key in ring.keys]})

    def wall(self):
        return self.loop.kernel.wall_clock() // 1_000_000

    def handle_offer(self, body):
        if not isinstance(body.get("build"), int):
            raise RpcError(400, "build: a whole number is needed")
        yield from self.collected()
        if self.state_recovery.is_waiting:
            return self.confirm_build(body["build"])
        try:
            self.stages.offer_build(self.loop.now(), body["build"])
        except ReleaseRefusedError as no:
            raise RpcError(409, str(no)) from None
        self.persist()
        return json_response(202, self.status())

    def collected(self):
        """An operator's word waits until the desk knows where it stands."""
        while self.state_recovery.is_collecting:
            yield Sleep(TICK)

    def confirm_build(self, build):
        """While the operator is waited for, offering the newest build once more says that it is the released
        one."""
        if build != self.stages.build:
            raise RpcError(
                409,
                f"the desk waits ({self.state_recovery.returning.reason}): offer build {self.stages.build} "
                "again if it is to stay, or send it back",
            )
        self.state_recovery.resolve(f"an operator says that build {build} stays")
        self.stages.set_phase(self.loop.now(), "released", 0, "an operator says that it stays")
        self.persist()
        return json_response(202, self.status())

    def handle_take_back(self, body):
        """An operator sends a build back; the number guards against meaning another one than is out."""
        yield from self.collected()
        if body.get("build") != self.stages.build:
            raise RpcError(409, f"the newest build is {self.stages.build}, not {body.get('build')}")
        try:
            self.stages.send_back(self.loop.now(), str(body.get("why") or "sent back by an operator")[:200])
        except ReleaseRefusedError as no:
            raise RpcError(409, str(no)) from None
        self.state_recovery.resolve("an operator sent the build back")
        self.persist()
        return json_response(202, self.status())

    def status(self):
        now, stages = self.loop.now(), self.stages
        missing = [f"{what} {' '.join(map(str, rest))}" for what, *rest in stages.ordered]
        return {
            "news": self.current_news(),
            "returning": self.state_recovery.status(),
            "condemned": stages.condemned,
            "stable": stages.stable,
            "offered": stages.offered,
            "clock_us": None if stages.clock is None else now - stages.clock,
            "votes": {v: stages.count_votes(now, v) for v in ("on", "hold", "back")},
            "missing": self.hosts.missing_places(now) if self.hosts else [],
            "streams": sum(map(len, self.streams.values())),
            "orders": missing,
            "machines": [
                {"id": m.id, "place": m.place, "build": m.build, "state": m.state}
                for m in stages.instances.values()
            ],
        }
