"""How a build goes out and comes back: the release desk's decisions, free of I/O.

Level-triggered: what is to run follows from the state (`wanted`), and orders are the difference to what the
platform says is running. An order that is lost, late or carried out twice therefore puts itself right. All
changes of phase go through `change_phase`. Times are microseconds.
"""

from dataclasses import dataclass, field

TRIAL, GOING_BACK, RELEASED, WITHDRAWN = "trial", "going back", "released", "withdrawn"
NEXT = {
    TRIAL: {TRIAL, GOING_BACK, RELEASED},
    GOING_BACK: {WITHDRAWN},
    RELEASED: {RELEASED, TRIAL, GOING_BACK},
    WITHDRAWN: {TRIAL},
}
NO_BUILD = 0  # the build of an empty fleet
ORDER_AGAIN = 2_000_000  # an order not seen carried out is given again


class ReleaseRefusedError(Exception):
    """An offer that cannot be taken; the text says why."""


@dataclass
class PlatformInstance:
    """One instance as the platform tells of it."""

    id: str
    place: str
    build: int
    state: str  # starting, up, draining
    drained_at: int | None = None


@dataclass
class Vote:
    build: int
    stage: int
    verdict: str
    at: int


@dataclass
class ReleaseStages:
    """`release`: the sheet's call of that name; `places`: names of the fleet's places in the order in which
    they get a new build; `build`: what runs at the start."""

    release: object
    places: list
    build: int
    now: int = 0
    stage: int = 0
    phase: str = RELEASED
    since: int = 0
    stable: int | None = None  # the build to return to
    offered: list = field(default_factory=list)
    instances: dict = field(default_factory=dict)
    votes: dict = field(default_factory=dict)
    ordered: dict = field(default_factory=dict)  # what was ordered -> when
    launched: int = 0
    clock: int | None = None  # when the stage's clock began
    held: int = 0
    tokens: float | None = None
    tokens_at: int = 0
    transitions: list = field(default_factory=list)
    turns: int = 0  # grows with each change that others may act by
    condemned: list = field(default_factory=list)  # builds that went back: none of them goes out again

    def __post_init__(self):
        self.since = self.now
        self.tokens = 2.0 * self.release.vote_rate
        self.tokens_at = self.now

    # --- over a restart ------------------------------------------------------------------------------------

    KEPT = ("build", "stage", "phase", "stable", "offered", "held")
    ALSO_KEPT = ("turns", "condemned")  # since December 2026: a journal from before has none

    def dump(self) -> dict:
        """What must outlive the desk. Moments are kept as ages; the platform's instances are asked for anew,
        and orders follow from the difference, so that neither has to be remembered."""
        return {
            **{name: getattr(self, name) for name in (*self.KEPT, *self.ALSO_KEPT)},
            "at": self.now,
            "since": self.since,
            "launched": self.launched,
            "clock": self.clock,
            "places": list(self.places),
            "votes": {str(n): [v.build, v.stage, v.verdict, v.at] for n, v in self.votes.items()},
        }

    def load(self, kept: dict, now: int) -> None:
        """Carries on from a dump. A clock that has begun anew since (a machine that booted) counts as no time
        passed; otherwise votes and stages age as if the desk had been there."""
        moved = now - kept["at"] if now < kept["at"] else 0
        for name in self.KEPT:
            setattr(self, name, kept[name])
        self.turns, self.condemned = kept.get("turns", 0), list(kept.get("condemned", ()))
        self.offered, self.places = list(kept["offered"]), list(kept["places"])
        self.since, self.launched, self.now = kept["since"] + moved, kept["launched"] + moved, now
        self.clock = None if kept["clock"] is None else kept["clock"] + moved
        self.votes = {
            int(n): Vote(b, s, verdict, at + moved) for n, (b, s, verdict, at) in kept["votes"].items()
        }

    # --- what is to run -------------------------------------------------------------------------------------

    def trial_places(self) -> list:
        share = self.release.shares[self.stage]
        return self.places[: max(1, int(share * len(self.places) + 0.5))]

    def wanted(self) -> dict:
        """place -> the builds that should run there."""
        if self.phase == RELEASED:
            return {place: {self.build} - {NO_BUILD} for place in self.places}
        if self.phase in (GOING_BACK, WITHDRAWN):
            return {place: {self.stable} for place in self.places}
        trial = set(self.trial_places())
        beside = self.release.layout == "beside"
        return {
            place: ({self.stable, self.build} if beside else {self.build})
            if place in trial
            else {self.stable}
            for place in self.places
        }

    def running(self, place, build) -> bool:
        return any(m.place == place and m.build == build and m.state == "up" for m in self.instances.values())

    def orders(self, now: int) -> list:
        """("start", place, build), ("drain", id), ("stop", id): the difference between wanted and running."""
        due, wanted = [], self.wanted()
        for place in self.places:
            here = [m for m in self.instances.values() if m.place == place]
            for build in sorted(wanted[place]):
                if not any(m.build == build and m.state != "draining" for m in here):
                    due.append(("start", place, build))
            replaced = all(self.running(place, build) for build in wanted[place])
            for machine in here:
                if machine.build in wanted[place]:
                    continue
                if machine.state == "draining":
                    if now - (machine.drained_at or now) >= self.release.drain_time:
                        due.append(("stop", machine.id))
                elif replaced or machine.state == "starting":
                    due.append(("drain" if machine.state == "up" else "stop", machine.id))
        fresh = [order for order in due if now - self.ordered.get(order, -ORDER_AGAIN) >= ORDER_AGAIN]
        self.ordered = {order: at for order, at in self.ordered.items() if order in due}
        for order in fresh:
            self.ordered[order] = now
        return fresh

    # --- what happens ---------------------------------------------------------------------------------------

    def change_phase(self, now: int, phase: str, stage: int, why: str, room: bool = False) -> None:
        """The one place where phase and stage change. `room`: it goes back for a later one, not for what it
        did."""
        if phase not in NEXT[self.phase]:
            raise RuntimeError(f"a release cannot go from {self.phase} to {phase}")
        if phase == GOING_BACK and not room and self.build not in self.condemned:
            self.condemned = [*self.condemned[-15:], self.build]
        self.set_phase(now, phase, stage, why)

    def set_phase(self, now: int, phase: str, stage: int, why: str) -> None:
        self.phase, self.stage, self.since = phase, stage, now
        self.launched, self.clock, self.held = now, None, 0
        self.turns += 1
        self.transitions.append((now, self.build, stage, phase, why))

    def resume(self, now: int, plan, why: str) -> None:
        """Not by the table: what others have seen (`recovery.desk_state.ResumePlan`) takes the place of an
        older state. Raises ReleaseRefusedError where there would be nothing to return to."""
        mine = [
            b for b in (plan.stable, self.build, self.stable) if b not in (None, NO_BUILD) and b < plan.build
        ]
        stable = next((b for b in mine if b not in plan.condemned), None)
        if stable is None and plan.phase in (TRIAL, GOING_BACK, WITHDRAWN):
            raise ReleaseRefusedError(
                f"of build {plan.build}, {plan.phase}, nobody knows which one to return to"
            )
        self.build, self.stable, self.votes, self.ordered = plan.build, stable, {}, {}
        self.condemned = sorted({*self.condemned, *plan.condemned})[-16:]
        self.offered = [b for b in self.offered if b > plan.build and b not in self.condemned]
        self.set_phase(now, plan.phase, min(plan.stage, len(self.release.caps) - 1), why)

    def offer_build(self, now: int, build: int) -> None:
        """Raises ReleaseRefusedError. One on trial is taken off first; the new one then follows by itself."""
        newest = max([self.build, *self.offered])
        if build <= newest:
            raise ReleaseRefusedError(f"build {build} is not later than {newest}")
        if self.build == NO_BUILD:  # an empty fleet: there is no earlier build to compare with
            self.build = build
            return self.change_phase(now, RELEASED, 0, "the first build")
        self.offered.append(build)
        if self.phase == TRIAL:
            self.change_phase(now, GOING_BACK, self.stage, f"build {build} is due", room=True)
        self.tick(now)

    def send_back(self, now: int, why: str) -> None:
        """An operator's word: as good as all votes there are. Raises ReleaseRefusedError."""
        if self.phase not in (TRIAL, RELEASED):
            raise ReleaseRefusedError(f"build {self.build} is {self.phase}")
        if self.stable is None:
            raise ReleaseRefusedError(f"there is no build before {self.build} to go back to")
        self.change_phase(now, GOING_BACK, self.stage, why)
        self.tick(now)

    def update_instance(self, now: int, id: str, place: str, build: int, state: str) -> None:
        """What the platform says of an instance; state gone takes it out."""
        if state == "gone":
            self.instances.pop(id, None)
        elif id in self.instances and self.instances[id].build == build:
            known = self.instances[id]
            if state == "draining" and known.state != "draining":
                known.drained_at = now
            known.state = state
        else:
            self.instances[id] = PlatformInstance(
                id, place, build, state, now if state == "draining" else None
            )

    def record_vote(self, now: int, gateway: int, build: int, stage: int, verdict: str) -> str:
        """ok, moot or full. A vote that is ok replaces the gateway's earlier one."""
        rate = self.release.vote_rate
        self.tokens = min(2 * rate, self.tokens + rate * (now - self.tokens_at) / 1e6)
        self.tokens_at = now
        if self.tokens < 1:
            return "full"
        self.tokens -= 1
        clock, here = self.release.gate == "clock", (build, stage) == (self.build, self.stage)
        legal = {
            "none": build == self.build,
            "back": build == self.build and self.phase in (TRIAL, RELEASED),
            "on": here and self.phase == TRIAL and not clock,
            "hold": here and self.phase == TRIAL and clock,
        }
        if not legal.get(verdict, False) or self.stable is None and verdict == "back":
            return "moot"
        self.votes[gateway] = Vote(build, stage, verdict, now)
        self.tick(now)
        return "ok"

    def count_votes(self, now: int, verdict: str) -> int:
        """How many votes stand for this verdict on the newest build, and for on and hold on its stage."""
        return sum(
            v.verdict == verdict
            and v.build == self.build
            and now - v.at < self.release.vote_life
            and (verdict == "back" or v.stage == self.stage)
            for v in self.votes.values()
        )

    def tick(self, now: int) -> None:
        passed, self.now = now - self.now, now
        release = self.release
        back = 1 if release.gate == "any" else release.back_votes
        if (
            self.phase in (TRIAL, RELEASED)
            and self.stable is not None
            and self.count_votes(now, "back") >= back
        ):
            self.change_phase(
                now, GOING_BACK, self.stage, f"{self.count_votes(now, 'back')} votes to send it back"
            )
        if self.phase == GOING_BACK and self.settled_back():
            self.change_phase(now, WITHDRAWN, self.stage, "the last instance is gone")
        if self.phase in (RELEASED, WITHDRAWN) and self.offered:
            if self.phase == RELEASED:
                self.stable = self.build
            self.build, self.votes = self.offered.pop(0), {}
            self.change_phase(now, TRIAL, 0, "offered")
        if self.phase != TRIAL:
            return
        if self.clock is None:
            up = all(self.running(place, self.build) for place in self.trial_places())
            if up or now - self.launched >= release.start_within:
                self.clock = now + (release.settle if up else 0)
        if self.clock is None or now < self.clock:
            return
        if release.gate == "clock":
            if release.hold_votes and self.count_votes(now, "hold") >= release.hold_votes:
                self.held += passed
            ready = now - self.clock - self.held >= release.step
        else:
            need = 1 if release.gate == "any" else max(1, release.on_votes)
            ready = now - self.clock >= release.dwell and self.count_votes(now, "on") >= need
        if ready:
            last = self.stage == len(release.shares) - 1
            self.change_phase(
                now,
                RELEASED if last else TRIAL,
                self.stage + (not last),
                "every stage passed" if last else "on",
            )

    def settled_back(self) -> bool:
        covered = all(self.running(place, self.stable) for place in self.places)
        return covered and not any(m.build == self.build and m.state == "up" for m in self.instances.values())

    def cap(self) -> float:
        """What gateways may send to the newest build. On the way back it falls with the places that have
        nothing else running, to 0."""
        if self.phase == RELEASED:
            return 1.0
        if self.phase == TRIAL:
            return self.release.caps[self.stage]
        bare = sum(not self.running(place, self.stable) for place in self.places)
        return self.release.caps[self.stage] * bare / len(self.places)

    def news(self, now: int) -> dict:
        return {
            "build": self.build,
            "stage": self.stage,
            "phase": self.phase,
            "cap": self.cap(),
            "age_us": max(0, now - self.since),
        }
