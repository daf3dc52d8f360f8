"""HTTP request handlers of the desk, for gateways, host agents and operators."""

import base64
import binascii

import msgspec

from cobaltpond.builds.manifest import KeyRing, ManifestError, apply_ring_chain
from cobaltpond.desk.stages import ReleaseRefusedError
from cobaltpond.loop import Sleep
from cobaltpond.loop.errors import error_name
from cobaltpond.rpc import ResponseStream, RpcError, json_response

TICK_US = 20_000


class Handlers:
    """Mixin of `service.Desk`, which holds the state that the handlers use."""

    def handle_report(self, body):
        """Applies the status report of a host agent (see `HostOrders.apply_report`).

        Raises RpcError (400) where the report is malformed or names an unknown place.
        """
        try:
            rows = self.hosts.apply_report(self.loop.now(), body, self.state_recovery.is_collecting)
            self.state_recovery.host_reported(body["place"], body.get("seen"))
        except (KeyError, TypeError, ValueError) as error:
            raise RpcError(400, f"no report: {error!r}") from None
        place, listed = body["place"], {row[0] for row in rows}
        for id in [id for id, m in self.stages.instances.items() if m.place == place and id not in listed]:
            self.stages.update_instance(self.loop.now(), id, "", 0, "gone")
        for row in rows:
            self.stages.update_instance(self.loop.now(), *row)
        return json_response(200, {})

    def handle_orders_stream(self, request):
        """Opens the stream of orders and key rings to a host agent.

        The whole current order follows with the next tick. Raises RpcError (404) for an unknown place.
        """
        place = request.query.get("place")
        if place not in self.hosts.hosts:
            raise RpcError(404, f"no place {place!r}")
        stream = ResponseStream()
        self.order_streams.setdefault(place, []).append(stream)
        stream.send_object({"rings": self.rings})
        self.sent_orders.pop(place, None)
        return stream

    def handle(self, request):
        """Dispatches a request to its handler; gives what `serve_rpc` expects. Raises RpcError."""
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
            return self.handle_orders_stream(request)
        if self.hosts and route == ("POST", "/v1/reports"):
            return self.handle_report(request.json_object())
        if self.hosts and route == ("POST", "/v1/keys"):
            return self.accept_key_ring(request.body)
        if route == ("POST", "/v1/back"):
            return self.handle_take_back(request.json_object())
        if route == ("GET", "/v1/history"):
            return json_response(200, {"history": self.history})
        if route == ("GET", "/v1/status"):
            return json_response(200, self.status())
        raise RpcError(404, "no such call")

    def check_gateway_number(self, number) -> int:
        """The given gateway index. Raises RpcError (400) where no such gateway is configured."""
        if not isinstance(number, int) or not 0 <= number < len(self.settings.gateways):
            raise RpcError(400, f"no gateway {number!r}")
        return number

    def handle_news_stream(self, request):
        """Opens the stream of release news to a gateway, which also reports the last state it has seen."""
        number_text = request.query.get("gateway", "")
        number = self.check_gateway_number(int(number_text) if number_text.isdigit() else number_text)
        self.state_recovery.gateway_asked(number, request.query.get("seen"))
        stream = ResponseStream()
        self.streams.setdefault(number, []).append(stream)
        # While the state is being recovered, news waits for the first tick: the journal may be a stale read.
        if not self.state_recovery.is_collecting:
            self.send_to_gateway(number, {"news": self.current_news()})
        return stream

    def handle_vote(self, body):
        """Records the vote of a gateway. Status 200 (ok), 409 (moot) or 429 (full or blocked).

        Raises RpcError (400) where the vote is malformed.
        """
        number = self.check_gateway_number(body.get("gateway"))
        if not isinstance(body.get("build"), int) or not isinstance(body.get("stage"), int):
            raise RpcError(400, "a vote needs build and stage as whole numbers")
        if self.state_recovery.is_blocked:
            return json_response(429, {"answer": "full"})
        answer = self.stages.record_vote(
            self.loop.now(), number, body["build"], body["stage"], body.get("verdict")
        )
        self.persist()  # an acknowledged vote counts after a crash too
        reply = {"answer": answer, "news": self.current_news()} if answer == "ok" else {"answer": answer}
        return json_response({"ok": 200, "moot": 409, "full": 429}[answer], reply)

    def handle_wrong_answer(self, body):
        """Forwards a client's report of a wrong response to the gateway that served the response.

        Raises RpcError (400) where the report is malformed.
        """
        number = self.check_gateway_number(body.get("gateway"))
        wrong = {
            "instance": body.get("instance"),
            "group": body.get("group"),
            "age_us": body.get("age_us", 0),
        }
        if not isinstance(wrong["instance"], str) or not isinstance(wrong["age_us"], int):
            raise RpcError(400, "instance and age_us are needed")
        if wrong["group"] not in {g.name for g in self.settings.path_groups}:
            raise RpcError(400, f"no path group {wrong['group']!r}")
        self.send_to_gateway(number, {"wrong": wrong})
        return json_response(202, {})

    def accept_key_ring(self, data):
        """Verifies a signed key ring, stores it and distributes it to all hosts.

        The ring is verified against the chain of the ring in the settings and all rings accepted since. Each
        host verifies it again itself. Raises RpcError (409) where the ring is not valid or not newer.
        """
        initial_ring = msgspec.json.decode(
            self.loop.kernel.read_file(self.settings.builds.keys) or b"{}", type=KeyRing
        )
        try:
            current_ring, _ = apply_ring_chain(
                initial_ring, [base64.b64decode(one) for one in self.rings], self.wall_clock_seconds()
            )
            ring, accepted_rings = apply_ring_chain(current_ring, [data], self.wall_clock_seconds())
        except (ManifestError, binascii.Error) as error:
            raise RpcError(409, f"{error_name(error)}: {error}") from None
        if not accepted_rings:
            raise RpcError(409, f"key ring {current_ring.version} is held already, or a later one")
        self.rings = [*self.rings, base64.b64encode(data).decode()]
        self.persist()
        for streams in self.order_streams.values():
            for stream in streams:
                stream.send_object({"rings": self.rings})
        self.log.info("key ring", version=ring.version, keys=[key.id for key in ring.keys])
        return json_response(202, {"version": ring.version, "keys": [key.id for key in ring.keys]})

    def wall_clock_seconds(self):
        """Seconds since 1970."""
        return self.loop.kernel.wall_clock() // 1_000_000

    def handle_offer(self, body):
        """Offers a new build for release, or confirms the released one while the operator is waited for.

        Raises RpcError: 400 where the build is not an integer, 409 where the offer is refused.
        """
        if not isinstance(body.get("build"), int):
            raise RpcError(400, "build: a whole number is needed")
        yield from self.wait_until_collected()
        if self.state_recovery.is_waiting:
            return self.confirm_build(body["build"])
        try:
            self.stages.offer_build(self.loop.now(), body["build"])
        except ReleaseRefusedError as refusal:
            raise RpcError(409, str(refusal)) from None
        self.persist()
        return json_response(202, self.status())

    def wait_until_collected(self):
        """Waits until the state has been collected: a request of an operator needs the recovered state."""
        while self.state_recovery.is_collecting:
            yield Sleep(TICK_US)

    def confirm_build(self, build):
        """Marks the newest build as released, when an operator offers it again while the desk waits for one.

        Raises RpcError (409) for any other build.
        """
        if build != self.stages.build:
            raise RpcError(
                409,
                f"the desk waits ({self.state_recovery.recovery.reason}): offer build {self.stages.build} "
                "again if it is to stay, or send it back",
            )
        self.state_recovery.resolve(f"an operator says that build {build} stays")
        self.stages.set_phase(self.loop.now(), "released", 0, "an operator says that it stays")
        self.persist()
        return json_response(202, self.status())

    def handle_take_back(self, body):
        """Rolls back the newest build at an operator's request.

        The request names the build, so that a stale read of the status does not roll back another one. Raises
        RpcError (409) where the named build is not the newest or cannot be rolled back.
        """
        yield from self.wait_until_collected()
        if body.get("build") != self.stages.build:
            raise RpcError(409, f"the newest build is {self.stages.build}, not {body.get('build')}")
        try:
            self.stages.send_back(self.loop.now(), str(body.get("why") or "sent back by an operator")[:200])
        except ReleaseRefusedError as refusal:
            raise RpcError(409, str(refusal)) from None
        self.state_recovery.resolve("an operator sent the build back")
        self.persist()
        return json_response(202, self.status())

    def status(self):
        """The status as JSON; `clock_us` is None while the clock of the stage has not started."""
        now, stages = self.loop.now(), self.stages
        pending_orders = [f"{what} {' '.join(map(str, rest))}" for what, *rest in stages.ordered]
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
            "orders": pending_orders,
            "machines": [
                {"id": m.id, "place": m.place, "build": m.build, "state": m.state}
                for m in stages.instances.values()
            ],
        }
