"""The desk process: serves requests, follows instances, persists the release, sends news and orders."""

import json

from cobaltpond.desk.handlers import TICK_US, Handlers
from cobaltpond.desk.hosts import HostOrders
from cobaltpond.desk.stages import NO_BUILD, ReleaseStages
from cobaltpond.desk.state_recovery import StateRecovery
from cobaltpond.loop import Deadline, DeadlineExceededError, Sleep, open_when_possible, run_component
from cobaltpond.rpc import CALL_ERRORS, RepeatedCall, call, serve_rpc
from cobaltpond.settings.sections import split_address
from cobaltpond.wal import Journal

CALL_TIMEOUT_US = 1_000_000  # microseconds


class Desk(Handlers):
    """The release desk as a running service.

    Where the settings name hosts, host agents start and stop instances by the desk's orders; else a platform
    of instances is called. With a journal in the settings, the release survives a restart.
    """

    def __init__(self, loop, settings, log):
        self.loop, self.settings, self.log = loop, settings, log
        self.platform = split_address(settings.desk.platform) if settings.desk.platform else None
        self.hosts, self.epoch = None, self.wall_clock_seconds()
        self.order_streams, self.sent_orders, self.history, self.rings = {}, {}, [], []
        self.stages, self.streams, self.last_news, self.news_sent_at = None, {}, None, 0
        self.stop_asked, self.persisted, self.journal, self.state_recovery = False, None, None, None
        if settings.desk.journal:
            self.journal = Journal(loop.kernel, settings.desk.journal)
            if self.journal.truncation:
                log.warning("journal cut", where=list(self.journal.truncation))

    def run(self):
        """The main task: recovers the state, then ticks until `stop` is called."""
        address = split_address(self.settings.desk.address)
        listener = yield from open_when_possible(lambda: self.loop.kernel.listen(address))
        if self.settings.hosts:
            self.stages = ReleaseStages(
                self.settings.release, [h.place for h in self.settings.hosts], NO_BUILD, self.loop.now()
            )
            self.restore_from_journal()
            self.hosts = HostOrders(
                [h.place for h in self.settings.hosts], self.settings.builds.changes, self.epoch
            )
            self.state_recovery = StateRecovery(self, self.last_record())
            self.loop.spawn(serve_rpc(self.loop, listener, self.handle, "desk", log=self.log), "desk")
            yield from self.state_recovery.collect(self.running_builds)
            self.hosts.start_epoch(self.epoch)
            for place in self.hosts.hosts:
                self.hosts.adopt_running(place)
        else:
            yield from self.wait_for_platform()
            self.state_recovery = StateRecovery(self, self.last_record())
            self.loop.spawn(serve_rpc(self.loop, listener, self.handle, "desk", log=self.log), "desk")
            yield from self.state_recovery.collect(lambda: ())
            self.loop.spawn(self.poll_platform(), "platform")
        self.persist()
        self.log.info("desk ready", build=self.stages.build, places=len(self.stages.places))
        while not self.stop_asked:
            yield Sleep(TICK_US)
            self.tick()

    def stop(self, name=""):
        """Asks `run` to return. `name`: the signal received."""
        self.stop_asked = True

    def running_builds(self) -> list:
        """Builds that the hosts report as running, one entry for each instance."""
        return [m.build for m in self.stages.instances.values()]

    def send_orders(self, resend=False):
        """Sends each host its order where it has changed, the host has reconnected, or `resend` is set."""
        stages = self.stages
        keep_builds = {b for b in (stages.stable, stages.build, *stages.offered) if b}
        seen = self.current_state()
        for place, streams in self.order_streams.items():
            order = self.hosts.order_for(place, keep_builds)
            if order["wishes"] != self.sent_orders.get(place, {}).get("wishes") and place in self.sent_orders:
                self.hosts.hosts[place].generation = max(
                    order["generation"], self.sent_orders[place]["generation"] + 1
                )
                order = self.hosts.order_for(place, keep_builds)
            order["seen"] = seen
            if resend or self.sent_orders.get(place) != order:
                self.sent_orders[place] = order
                for stream in [s for s in streams if not s.ended]:
                    stream.send_object({"order": order})
                self.order_streams[place] = [s for s in streams if not s.ended]

    def wait_for_platform(self):
        """Waits until the platform lists instances; their newest build counts as the released one."""
        while self.stages is None:
            try:
                reply = yield from self.call_platform("GET", "/v1/machines")
                active = [m for m in reply["machines"] if m["state"] in ("up", "starting")]
                if active:
                    places = sorted({m["place"] for m in reply["machines"]})
                    self.stages = ReleaseStages(
                        self.settings.release, places, max(m["build"] for m in active), self.loop.now()
                    )
                    self.apply_instance_list(reply)
                    self.restore_from_journal()
                    return
            except (*CALL_ERRORS, DeadlineExceededError, KeyError, ValueError) as error:
                self.log.warning("platform call failed; retrying", why=f"{type(error).__name__}: {error}")
            yield Sleep(100_000)

    def restore_from_journal(self):
        """Restores the release from the journal; without a record, the running build counts as released."""
        if self.journal is None:
            return
        kept = self.last_record()
        if kept is not None:
            self.stages.load(kept, self.loop.now())
            self.epoch = max(self.epoch, kept.get("epoch", 0) + 1)
            self.history = kept.get("history", [])
            self.rings = kept.get("rings", [])
            self.log.info(
                "carried on", build=self.stages.build, stage=self.stages.stage, phase=self.stages.phase
            )

    def last_record(self) -> dict | None:
        """The last state in the journal; None where there is no journal or it is empty."""
        if self.journal is None:
            return None
        return self.journal.records[-1] if self.journal.records else self.journal.snapshot_state

    def current_state(self) -> dict:
        """The release state that gateways and hosts act on and report back, identified by its `mark`.

        The mark is [epoch, number of the state change], and increases.
        """
        news = self.state_recovery.limit_news(self.stages.news(self.loop.now()))
        return {
            "mark": [self.epoch, self.stages.turns],
            "build": news["build"],
            "stage": news["stage"],
            "phase": news["phase"],
            "cap": news["cap"],
            "stable": self.stages.stable,
            "gone": list(self.stages.condemned),
        }

    def current_news(self) -> dict:
        """The current state with its age, as gateways receive it."""
        seen_state = self.current_state()
        return {
            **{
                name: seen_state[name]
                for name in ("build", "stage", "phase", "cap", "mark", "stable", "gone")
            },
            "age_us": self.stages.news(self.loop.now())["age_us"],
        }

    def persist(self):
        """Writes the state to the journal where it has changed; call it before the state is sent or acted on.

        A failed write ends the desk, so that nothing is published that a restart would forget. Raises
        JournalError.
        """
        if self.journal is None or self.state_recovery is None or self.state_recovery.is_collecting:
            return
        state = {
            **self.stages.dump(),
            "epoch": self.epoch,
            "history": self.history,
            "rings": self.rings,
            "told": [self.epoch, self.stages.turns],
            "known": self.state_recovery.known_gateways,
        }
        comparable = {name: value for name, value in state.items() if name not in ("at", "held")}
        if comparable != self.persisted:
            if self.journal.needs_snapshot:
                self.journal.snapshot(state)
            else:
                self.journal.append(state)
                self.journal.sync()
            self.persisted = comparable

    def call_platform(self, method, target, body=None):
        """Calls the platform; gives the decoded JSON response. `body`: a JSON value, or None.

        Raises ValueError on an error status, what CALL_ERRORS names, or DeadlineExceededError.
        """
        with Deadline(self.loop, CALL_TIMEOUT_US):
            status, text = yield from call(
                self.loop,
                self.platform,
                method,
                target,
                json.dumps(body).encode() if body is not None else b"",
                CALL_TIMEOUT_US,
            )
        if status >= 300:
            raise ValueError(f"{method} {target}: status {status}")
        return json.loads(text)

    def apply_instance_list(self, reply):
        """Applies the platform's list of instances, and passes its response tallies on to the gateways."""
        now, listed = self.loop.now(), {m["id"] for m in reply["machines"]}
        for id in [id for id in self.stages.instances if id not in listed]:
            self.stages.update_instance(now, id, "", 0, "gone")
        for m in reply["machines"]:
            self.stages.update_instance(now, m["id"], m["place"], m["build"], m["state"])
        for tally in reply.get("tallies", []):
            self.send_to_all({"tally": tally})

    def poll_platform(self):
        """A task: polls the platform's list of instances for ever."""
        poll = RepeatedCall(self.loop, self.platform)
        try:
            while True:
                try:
                    response = yield from poll.attempt("GET", "/v1/machines", b"", CALL_TIMEOUT_US)
                    if response.status >= 300:
                        raise ValueError(f"GET /v1/machines: status {response.status}")
                    self.apply_instance_list(json.loads(response.body))
                except (*CALL_ERRORS, DeadlineExceededError, KeyError, ValueError) as error:
                    self.log.warning("platform call failed; retrying", why=f"{type(error).__name__}: {error}")
                yield Sleep(100_000)
        finally:
            poll.close()

    def tick(self):
        """Advances the release; then persists it, gives orders and sends news, in this order."""
        now, stages = self.loop.now(), self.stages
        if not self.state_recovery.is_blocked:
            stages.tick(now)
        self.persist()
        orders = [] if self.state_recovery.is_blocked else stages.orders(now)
        for order in orders:
            self.log.info("order", order=list(order))
            if not self.hosts:
                self.loop.spawn(self.execute_order(order), "order")
        if self.hosts and not self.state_recovery.is_blocked:
            self.hosts.apply_orders(now, orders)
            self.send_orders()
        while stages.transitions:
            _, build, stage, phase, why = stages.transitions.pop(0)
            self.log.info("release", build=build, stage=stage, phase=phase, why=why)
            self.history = [
                *self.history[-99:],
                {
                    "at": self.loop.kernel.wall_clock() // 1000,
                    "build": build,
                    "stage": stage,
                    "phase": phase,
                    "why": why,
                },
            ]
        state = self.current_news()
        comparable = {k: v for k, v in state.items() if k != "age_us"}
        is_due = now - self.news_sent_at >= self.settings.release.news_period
        if comparable != self.last_news or is_due:
            self.last_news, self.news_sent_at = comparable, now
            self.send_to_all({"news": state})
            if is_due and self.hosts and not self.state_recovery.is_blocked:
                self.send_orders(resend=True)

    def execute_order(self, order):
        """Has the platform carry out an order. A failure is logged; the order is given again later."""
        action, *arguments = order
        try:
            if action == "start":
                yield from self.call_platform(
                    "POST", "/v1/machines", {"place": arguments[0], "build": arguments[1]}
                )
            else:
                yield from self.call_platform("POST", f"/v1/machines/{arguments[0]}/{action}", {})
        except (*CALL_ERRORS, DeadlineExceededError, ValueError) as error:
            self.log.warning(
                "platform did not carry out an order; retrying later", order=list(order), why=str(error)
            )

    def send_to_all(self, message):
        """Sends a JSON object to all connected gateways."""
        for number in list(self.streams):
            self.send_to_gateway(number, message)

    def send_to_gateway(self, number, message):
        """Sends a JSON object on all streams of a gateway and drops the streams that have ended."""
        for stream in list(self.streams.get(number, [])):
            if stream.ended or not stream.send_object(message):
                self.streams[number].remove(stream)


def run_desk(kernel, settings, log) -> None:
    """Runs the desk until a signal to stop arrives."""
    run_component(kernel, lambda loop: Desk(loop, settings, log), log, "desk")
