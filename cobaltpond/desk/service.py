"""The running release desk: calls from gateways and operators, the platform's instances, news to all."""

import json

from cobaltpond.desk.handlers import TICK, Handlers
from cobaltpond.desk.hosts import HostOrders
from cobaltpond.desk.stages import NO_BUILD, ReleaseStages
from cobaltpond.desk.state_recovery import StateRecovery
from cobaltpond.loop import Deadline, DeadlineExceededError, Sleep, run_component
from cobaltpond.rpc import CALL_ERRORS, call, serve_rpc
from cobaltpond.settings.sections import split_address
from cobaltpond.wal import Journal

CALL_TIME = 1_000_000


class Desk(Handlers):
    def __init__(self, loop, sheet, log):
        self.loop, self.settings, self.log = loop, sheet, log
        self.platform = split_address(sheet.desk.platform) if sheet.desk.platform else None
        self.hosts, self.epoch = None, self.wall()
        self.order_streams, self.sent, self.history, self.rings = {}, {}, [], []
        self.stages, self.streams, self.last, self.told_at = None, {}, None, 0
        self.stop_asked, self.kept, self.journal, self.state_recovery = False, None, None, None
        if sheet.desk.journal:
            self.journal = Journal(loop.kernel, sheet.desk.journal)
            if self.journal.truncation:
                log.warning("journal cut", where=list(self.journal.truncation))

    def run(self):
        listener = self.loop.kernel.listen(split_address(self.settings.desk.address))
        if self.settings.hosts:
            self.stages = ReleaseStages(
                self.settings.release, [h.place for h in self.settings.hosts], NO_BUILD, self.loop.now()
            )
            self.carry_on()
            self.hosts = HostOrders(
                [h.place for h in self.settings.hosts], self.settings.builds.changes, self.epoch
            )
            self.state_recovery = StateRecovery(self, self.recalled())
            self.loop.spawn(serve_rpc(self.loop, listener, self.handle, "desk", log=self.log), "desk")
            yield from self.state_recovery.collect(self.running)
            self.hosts.start_epoch(self.epoch)
            for place in self.hosts.hosts:
                self.hosts.adopt_running(place)
        else:
            yield from self.first_look()
            self.state_recovery = StateRecovery(self, self.recalled())
            self.loop.spawn(serve_rpc(self.loop, listener, self.handle, "desk", log=self.log), "desk")
            yield from self.state_recovery.collect(lambda: ())
            self.loop.spawn(self.watch_platform(), "platform")
        self.persist()
        self.log.info("desk open", build=self.stages.build, places=len(self.stages.places))
        while not self.stop_asked:
            yield Sleep(TICK)
            self.tick()

    def stop(self, name=""):
        self.stop_asked = True

    def running(self) -> list:
        """Builds that the hosts say they run."""
        return [m.build for m in self.stages.instances.values()]

    def send_orders(self, again=False):
        """To each host its present wishes, when they have changed and when it has come back."""
        stages = self.stages
        keep = {b for b in (stages.stable, stages.build, *stages.offered) if b}
        seen = self.current_state()
        for place, streams in self.order_streams.items():
            order = self.hosts.order_for(place, keep)
            if order["wishes"] != self.sent.get(place, {}).get("wishes") and place in self.sent:
                self.hosts.hosts[place].generation = max(
                    order["generation"], self.sent[place]["generation"] + 1
                )
                order = self.hosts.order_for(place, keep)
            order["seen"] = seen
            if again or self.sent.get(place) != order:
                self.sent[place] = order
                for stream in [s for s in streams if not s.ended]:
                    stream.send_object({"order": order})
                self.order_streams[place] = [s for s in streams if not s.ended]

    def first_look(self):
        """The platform's instances at the start: their build is the released one."""
        while self.stages is None:
            try:
                machines = yield from self.call_platform("GET", "/v1/machines")
                up = [m for m in machines["machines"] if m["state"] in ("up", "starting")]
                if up:
                    places = sorted({m["place"] for m in machines["machines"]})
                    self.stages = ReleaseStages(
                        self.settings.release, places, max(m["build"] for m in up), self.loop.now()
                    )
                    self.update(machines)
                    self.carry_on()
                    return
            except (*CALL_ERRORS, DeadlineExceededError, KeyError, ValueError) as trouble:
                self.log.warning("platform silent", why=f"{type(trouble).__name__}: {trouble}")
            yield Sleep(100_000)

    def carry_on(self):
        """The release goes on where the journal left it; without one, what runs counts as released."""
        if self.journal is None:
            return
        kept = self.recalled()
        if kept is not None:
            self.stages.load(kept, self.loop.now())
            self.epoch = max(self.epoch, kept.get("epoch", 0) + 1)
            self.history = kept.get("history", [])
            self.rings = kept.get("rings", [])
            self.log.info(
                "carried on", build=self.stages.build, stage=self.stages.stage, phase=self.stages.phase
            )

    def recalled(self) -> dict | None:
        """The journal's last record."""
        if self.journal is None:
            return None
        return self.journal.records[-1] if self.journal.records else self.journal.snapshot_state

    def current_state(self) -> dict:
        """The state that others may act by, with its mark: what they say they have seen."""
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
        word = self.current_state()
        return {
            **{name: word[name] for name in ("build", "stage", "phase", "cap", "mark", "stable", "gone")},
            "age_us": self.stages.news(self.loop.now())["age_us"],
        }

    def persist(self):
        """What has changed is on disk before anybody is told of it, or ordered by it. A journal that fails
        ends the desk: guards against telling what a restart would forget."""
        if self.journal is None or self.state_recovery is None or self.state_recovery.is_collecting:
            return
        state = {
            **self.stages.dump(),
            "epoch": self.epoch,
            "history": self.history,
            "rings": self.rings,
            "told": [self.epoch, self.stages.turns],
            "known": self.state_recovery.known,
        }
        mark = {name: value for name, value in state.items() if name not in ("at", "held")}
        if mark != self.kept:
            if self.journal.needs_snapshot:
                self.journal.snapshot(state)
            else:
                self.journal.append(state)
                self.journal.sync()
            self.kept = mark

    def call_platform(self, method, target, body=None):
        with Deadline(self.loop, CALL_TIME):
            status, text = yield from call(
                self.loop,
                self.platform,
                method,
                target,
                json.dumps(body).encode() if body is not None else b"",
                CALL_TIME,
            )
        if status >= 300:
            raise ValueError(f"{method} {target}: status {status}")
        return json.loads(text)

    def update(self, machines):
        now, listed = self.loop.now(), {m["id"] for m in machines["machines"]}
        for id in [id for id in self.stages.instances if id not in listed]:
            self.stages.update_instance(now, id, "", 0, "gone")
        for m in machines["machines"]:
            self.stages.update_instance(now, m["id"], m["place"], m["build"], m["state"])
        for tally in machines.get("tallies", []):
            self.send_to_all({"tally": tally})

    def watch_platform(self):
        while True:
            try:
                self.update((yield from self.call_platform("GET", "/v1/machines")))
            except (*CALL_ERRORS, DeadlineExceededError, KeyError, ValueError) as trouble:
                self.log.warning("platform silent", why=f"{type(trouble).__name__}: {trouble}")
            yield Sleep(100_000)

    def tick(self):
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
        mark = {k: v for k, v in state.items() if k != "age_us"}
        due = now - self.told_at >= self.settings.release.news_period
        if mark != self.last or due:
            self.last, self.told_at = mark, now
            self.send_to_all({"news": state})
            if due and self.hosts and not self.state_recovery.is_blocked:
                self.send_orders(again=True)

    def execute_order(self, order):
        what, *rest = order
        try:
            if what == "start":
                yield from self.call_platform("POST", "/v1/machines", {"place": rest[0], "build": rest[1]})
            else:
                yield from self.call_platform("POST", f"/v1/machines/{rest[0]}/{what}", {})
        except (*CALL_ERRORS, DeadlineExceededError, ValueError) as trouble:
            self.log.warning("order not carried out", order=list(order), why=str(trouble))

    def send_to_all(self, one):
        for number in list(self.streams):
            self.send_to_gateway(number, one)

    def send_to_gateway(self, number, one):
        for stream in list(self.streams.get(number, [])):
            if stream.ended or not stream.send_object(one):
                self.streams[number].remove(stream)


def run_desk(kernel, sheet, log) -> None:
    """Until a signal to stop."""
    run_component(kernel, lambda loop: Desk(loop, sheet, log), log, "desk")
