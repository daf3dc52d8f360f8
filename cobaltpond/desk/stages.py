"""State machine of a staged release: rollout, votes and rollback, free of I/O.

The control loop is level-triggered: the builds that should run follow from the state (`wanted`), and orders
are the difference to the instances that the platform reports. An order that is lost, late or executed twice
is therefore corrected by itself. Transitions by the table go through `change_phase`. Times are
microseconds.
"""

from dataclasses import dataclass, field

TRIAL, GOING_BACK, RELEASED, WITHDRAWN = "trial", "going back", "released", "withdrawn"
ALLOWED_TRANSITIONS = {
    TRIAL: {TRIAL, GOING_BACK, RELEASED},
    GOING_BACK: {WITHDRAWN},
    RELEASED: {RELEASED, TRIAL, GOING_BACK},
    WITHDRAWN: {TRIAL},
}
NO_BUILD = 0  # the build of an empty fleet
ORDER_RETRY_US = 2_000_000  # an order without a visible effect is given again after this time


class ReleaseRefusedError(Exception):
    """A release request that the current state does not allow; the text says why."""


@dataclass
class PlatformInstance:
    """One instance as the platform reports it. `draining_since`: None while it is not draining."""

    id: str
    place: str
    build: int
    state: str  # starting, up, draining
    draining_since: int | None = None


@dataclass
class Vote:
    """The last vote of a gateway: its verdict on a build at a stage, and the time of the vote."""

    build: int
    stage: int
    verdict: str
    at: int


@dataclass
class ReleaseStages:
    """The release state of a fleet.

    `release`: the settings of that name; `places`: names of the fleet's places, in the order in which they
    get a new build; `build`: the build that runs at the start.
    """

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
    ordered: dict = field(default_factory=dict)  # order -> time when it was last given
    launched: int = 0
    clock: int | None = None  # start of the stage's clock; None: not all instances are up yet
    held: int = 0
    tokens: float | None = None
    tokens_at: int = 0
    transitions: list = field(default_factory=list)
    turns: int = 0  # number of state changes; others identify a state by it
    condemned: list = field(default_factory=list)  # builds rolled back; never released again

    def __post_init__(self):
        """Starts the phase now, with a full bucket of vote tokens."""
        self.since = self.now
        self.tokens = 2.0 * self.release.vote_rate
        self.tokens_at = self.now

    # --- persistence ---------------------------------------------------------------------------------------

    STORED_FIELDS = ("build", "stage", "phase", "stable", "offered", "held")
    OPTIONAL_STORED_FIELDS = ("turns", "condemned")  # added in December 2026: older journals lack them

    def dump(self) -> dict:
        """The state that must survive a restart, as JSON.

        `at` is the time of the dump, from which `load` corrects the other times. Instances and orders are not
        stored: the platform reports its instances again, and orders follow from the difference.
        """
        return {
            **{name: getattr(self, name) for name in (*self.STORED_FIELDS, *self.OPTIONAL_STORED_FIELDS)},
            "at": self.now,
            "since": self.since,
            "launched": self.launched,
            "clock": self.clock,
            "places": list(self.places),
            "votes": {str(n): [v.build, v.stage, v.verdict, v.at] for n, v in self.votes.items()},
        }

    def load(self, record: dict, now: int) -> None:
        """Restores a dump.

        Where the monotonic clock has started again since (a reboot), no time counts as passed. Otherwise
        votes and stages age as if the desk had been running.
        """
        moved = now - record["at"] if now < record["at"] else 0
        for name in self.STORED_FIELDS:
            setattr(self, name, record[name])
        self.turns, self.condemned = record.get("turns", 0), list(record.get("condemned", ()))
        self.offered, self.places = list(record["offered"]), list(record["places"])
        self.since, self.launched, self.now = record["since"] + moved, record["launched"] + moved, now
        self.clock = None if record["clock"] is None else record["clock"] + moved
        self.votes = {
            int(n): Vote(b, s, verdict, at + moved) for n, (b, s, verdict, at) in record["votes"].items()
        }

    # --- desired builds and orders --------------------------------------------------------------------------

    def trial_places(self) -> list:
        """The places that run the new build at the current stage, at least one."""
        share = self.release.shares[self.stage]
        return self.places[: max(1, int(share * len(self.places) + 0.5))]

    def desired_builds(self) -> dict:
        """Maps each place to the builds that should run there."""
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

    def is_running(self, place, build) -> bool:
        """True where an instance of the build is up at the place."""
        return any(m.place == place and m.build == build and m.state == "up" for m in self.instances.values())

    def orders(self, now: int) -> list:
        """Orders for the difference between the wanted and the reported instances.

        An order is ("start", place, build), ("drain", id) or ("stop", id). One that was given less than
        ORDER_RETRY_US ago is left out.
        """
        pending, desired_builds = [], self.desired_builds()
        for place in self.places:
            here = [m for m in self.instances.values() if m.place == place]
            for build in sorted(desired_builds[place]):
                if not any(m.build == build and m.state != "draining" for m in here):
                    pending.append(("start", place, build))
            replaced = all(self.is_running(place, build) for build in desired_builds[place])
            for instance in here:
                if instance.build in desired_builds[place]:
                    continue
                if instance.state == "draining":
                    if now - (instance.draining_since or now) >= self.release.drain_time:
                        pending.append(("stop", instance.id))
                elif replaced or instance.state == "starting":
                    pending.append(("drain" if instance.state == "up" else "stop", instance.id))
        new_orders = [
            order for order in pending if now - self.ordered.get(order, -ORDER_RETRY_US) >= ORDER_RETRY_US
        ]
        self.ordered = {order: at for order, at in self.ordered.items() if order in pending}
        for order in new_orders:
            self.ordered[order] = now
        return new_orders

    # --- events ---------------------------------------------------------------------------------------------

    def change_phase(self, now: int, phase: str, stage: int, why: str, superseded: bool = False) -> None:
        """Changes phase and stage by the table of allowed transitions. Raises RuntimeError for any other.

        `superseded`: the build is rolled back for a later one, not for its faults, and is not condemned.
        """
        if phase not in ALLOWED_TRANSITIONS[self.phase]:
            raise RuntimeError(f"a release cannot go from {self.phase} to {phase}")
        if phase == GOING_BACK and not superseded and self.build not in self.condemned:
            self.condemned = [*self.condemned[-15:], self.build]
        self.set_phase(now, phase, stage, why)

    def set_phase(self, now: int, phase: str, stage: int, why: str) -> None:
        """Sets phase and stage without a check and restarts the clock of the stage."""
        self.phase, self.stage, self.since = phase, stage, now
        self.launched, self.clock, self.held = now, None, 0
        self.turns += 1
        self.transitions.append((now, self.build, stage, phase, why))

    def resume(self, now: int, plan, why: str) -> None:
        """Replaces an older state by the one that others have seen (`recovery.desk_state.ResumePlan`).

        The table of transitions does not apply. Raises ReleaseRefusedError where no stable build would be
        known.
        """
        candidates = [
            b for b in (plan.stable, self.build, self.stable) if b not in (None, NO_BUILD) and b < plan.build
        ]
        stable = next((b for b in candidates if b not in plan.condemned), None)
        if stable is None and plan.phase in (TRIAL, GOING_BACK, WITHDRAWN):
            raise ReleaseRefusedError(
                f"of build {plan.build}, {plan.phase}, nobody knows which one to return to"
            )
        self.build, self.stable, self.votes, self.ordered = plan.build, stable, {}, {}
        self.condemned = sorted({*self.condemned, *plan.condemned})[-16:]
        self.offered = [b for b in self.offered if b > plan.build and b not in self.condemned]
        self.set_phase(now, plan.phase, min(plan.stage, len(self.release.caps) - 1), why)

    def offer_build(self, now: int, build: int) -> None:
        """Queues a build for release. A build on trial is rolled back first; the new one then follows.

        Raises ReleaseRefusedError where the build is not newer than all others.
        """
        newest = max([self.build, *self.offered])
        if build <= newest:
            raise ReleaseRefusedError(f"build {build} is not later than {newest}")
        if self.build == NO_BUILD:  # an empty fleet: there is no earlier build to compare with
            self.build = build
            return self.change_phase(now, RELEASED, 0, "the first build")
        self.offered.append(build)
        if self.phase == TRIAL:
            self.change_phase(now, GOING_BACK, self.stage, f"build {build} is due", superseded=True)
        self.tick(now)

    def send_back(self, now: int, why: str) -> None:
        """Rolls the newest build back at once, without votes.

        Raises ReleaseRefusedError where it is not out, or where there is no stable build.
        """
        if self.phase not in (TRIAL, RELEASED):
            raise ReleaseRefusedError(f"build {self.build} is {self.phase}")
        if self.stable is None:
            raise ReleaseRefusedError(f"there is no build before {self.build} to go back to")
        self.change_phase(now, GOING_BACK, self.stage, why)
        self.tick(now)

    def update_instance(self, now: int, id: str, place: str, build: int, state: str) -> None:
        """Records the state of an instance that the platform reports; "gone" removes it."""
        if state == "gone":
            self.instances.pop(id, None)
        elif id in self.instances and self.instances[id].build == build:
            instance = self.instances[id]
            if state == "draining" and instance.state != "draining":
                instance.draining_since = now
            instance.state = state
        else:
            self.instances[id] = PlatformInstance(
                id, place, build, state, now if state == "draining" else None
            )

    def record_vote(self, now: int, gateway: int, build: int, stage: int, verdict: str) -> str:
        """Records a vote; gives "ok", "moot" (not applicable now) or "full" (over the vote rate).

        A vote that is ok replaces the gateway's earlier one.
        """
        rate = self.release.vote_rate
        self.tokens = min(2 * rate, self.tokens + rate * (now - self.tokens_at) / 1e6)
        self.tokens_at = now
        if self.tokens < 1:
            return "full"
        self.tokens -= 1
        clock, here = self.release.gate == "clock", (build, stage) == (self.build, self.stage)
        allowed_verdicts = {
            "none": build == self.build,
            "back": build == self.build and self.phase in (TRIAL, RELEASED),
            "on": here and self.phase == TRIAL and not clock,
            "hold": here and self.phase == TRIAL and clock,
        }
        if not allowed_verdicts.get(verdict, False) or self.stable is None and verdict == "back":
            return "moot"
        self.votes[gateway] = Vote(build, stage, verdict, now)
        self.tick(now)
        return "ok"

    def count_votes(self, now: int, verdict: str) -> int:
        """Counts valid votes with this verdict on the newest build; "on" and "hold" only of this stage."""
        return sum(
            v.verdict == verdict
            and v.build == self.build
            and now - v.at < self.release.vote_life
            and (verdict == "back" or v.stage == self.stage)
            for v in self.votes.values()
        )

    def tick(self, now: int) -> None:
        """Makes the transitions that are due by votes, instances and clocks."""
        elapsed, self.now = now - self.now, now
        release = self.release
        back_votes_needed = 1 if release.gate == "any" else release.back_votes
        if (
            self.phase in (TRIAL, RELEASED)
            and self.stable is not None
            and self.count_votes(now, "back") >= back_votes_needed
        ):
            self.change_phase(
                now, GOING_BACK, self.stage, f"{self.count_votes(now, 'back')} votes to send it back"
            )
        if self.phase == GOING_BACK and self.is_rollback_complete():
            self.change_phase(now, WITHDRAWN, self.stage, "the last instance is gone")
        if self.phase in (RELEASED, WITHDRAWN) and self.offered:
            if self.phase == RELEASED:
                self.stable = self.build
            self.build, self.votes = self.offered.pop(0), {}
            self.change_phase(now, TRIAL, 0, "offered")
        if self.phase != TRIAL:
            return
        if self.clock is None:
            all_up = all(self.is_running(place, self.build) for place in self.trial_places())
            if all_up or now - self.launched >= release.start_within:
                self.clock = now + (release.settle if all_up else 0)
        if self.clock is None or now < self.clock:
            return
        if release.gate == "clock":
            if release.hold_votes and self.count_votes(now, "hold") >= release.hold_votes:
                self.held += elapsed
            ready = now - self.clock - self.held >= release.step
        else:
            on_votes_needed = 1 if release.gate == "any" else max(1, release.on_votes)
            ready = now - self.clock >= release.dwell and self.count_votes(now, "on") >= on_votes_needed
        if ready:
            is_last_stage = self.stage == len(release.shares) - 1
            self.change_phase(
                now,
                RELEASED if is_last_stage else TRIAL,
                self.stage + (not is_last_stage),
                "every stage passed" if is_last_stage else "on",
            )

    def is_rollback_complete(self) -> bool:
        """True where the stable build is up at every place and no instance of the newest build is up."""
        all_covered = all(self.is_running(place, self.stable) for place in self.places)
        return all_covered and not any(
            m.build == self.build and m.state == "up" for m in self.instances.values()
        )

    def cap(self) -> float:
        """The maximum share of traffic that gateways may send to the newest build, 0 to 1.

        During a rollback it falls to 0 as the places regain an instance of the stable build.
        """
        if self.phase == RELEASED:
            return 1.0
        if self.phase == TRIAL:
            return self.release.caps[self.stage]
        uncovered = sum(not self.is_running(place, self.stable) for place in self.places)
        return self.release.caps[self.stage] * uncovered / len(self.places)

    def news(self, now: int) -> dict:
        """The state for gateways, as JSON."""
        return {
            "build": self.build,
            "stage": self.stage,
            "phase": self.phase,
            "cap": self.cap(),
            "age_us": max(0, now - self.since),
        }
