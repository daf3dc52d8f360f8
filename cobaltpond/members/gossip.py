"""Gossips the release state and draining instances, and judges what others gossip. Does no I/O.

Gossip may only restrict traffic. A gateway acts on the report that a build is rolled back (phase `going back`
while the rollback is in progress, `withdrawn` afterwards) or has a lower cap until it receives a release
state over its own desk connection, and on the report that an instance drains until its own instance list
shows it. Gossip never raises a cap and never reopens a build or an instance, so that a wrong or late message
costs capacity but breaks no rule.
"""

from cobaltpond.members.states import LEFT

PHASES = ("trial", "released", "going back", "withdrawn")  # the index is sent to other members
FIRST_CLOSED_PHASE = 2  # index in PHASES; from this phase on a build gets no more hits
RECENT_DRAIN_US = 5_000_000  # instances that began to drain within this time are gossiped


class Gossip:
    """Release state and drains as this gateway's own connections and other members report them.

    `post`: called with the name and the arguments of an event for the decisions, as
    `GatewayDecisionHost.post_event`. Times are in microseconds."""

    def __init__(self, post):
        self.post_event = post
        # (build, stage, phase, cap) that our own desk connection reported last, and when its stage began
        self.own_release, self.own_since = None, 0
        # the same from another member, while it overrides ours, and that member's number
        self.gossiped_release, self.gossiped_since, self.gossiped_by = None, 0, None
        self.overruled = {}  # gossiped releases that our own desk connection contradicted, oldest first
        # revision of our instance list; tag of a draining instance -> when it began to drain
        self.revision, self.draining = 0, {}
        self.counts = {"news taken": 0, "drains taken": 0, "overruled": 0}

    # --- reports of our own connections ---------------------------------------------------------------------

    def update_release(self, now: int, build: int, stage: int, phase: str, cap: float, age: int) -> None:
        """Takes the desk's release state, whose stage began `age` microseconds ago. It overrides gossip and
        lifts every restriction on a build that gossip imposed."""
        self.own_release, self.own_since = (build, stage, phase, cap), now - age
        if self.gossiped_release is not None:
            if self.gossiped_release[:3] != self.own_release[:3]:
                self.overruled[self.gossiped_release] = True
                while len(self.overruled) > 16:
                    del self.overruled[next(iter(self.overruled))]
                self.counts["overruled"] += 1
            self.gossiped_release = self.gossiped_by = None
            self.post_event("on_build_blocked", None)

    def set_draining(self, now: int, revision: int, tags: list[int]) -> None:
        """Takes the tags of the instances that drain by this gateway's own instance list of this revision."""
        self.revision = revision
        self.draining = {tag: self.draining.get(tag, now) for tag in tags}

    # --- what is sent ---------------------------------------------------------------------------------------

    def outgoing(self, now: int) -> tuple[tuple | None, list[int]]:
        """Returns the release state as `wire.encode_news` takes it, or None, and the tags of the instances
        that began to drain lately, the newest first."""
        release, since = (
            (self.gossiped_release, self.gossiped_since)
            if self.gossiped_release is not None
            else (self.own_release, self.own_since)
        )
        news = None
        if release is not None:
            build, stage, phase, cap = release
            news = build, min(stage, 255), PHASES.index(phase), cap, max(0, now - since)
        recent_drains = [tag for tag, at in reversed(self.draining.items()) if now - at < RECENT_DRAIN_US]
        return news, recent_drains

    # --- reports of other members ---------------------------------------------------------------------------

    def receive(self, now: int, member, news: tuple | None, drains: list[int]) -> None:
        """Takes the gossip of one datagram that is newer than all before it from this member."""
        if member.state == LEFT:
            return
        if drains and member.facts.get("revision", 0) > self.revision:
            self.counts["drains taken"] += 1
            self.post_event("on_drains", drains)
        if news is None or news[2] >= len(PHASES):
            return  # The phase belongs to a later version of the program and is ignored.
        release = news[0], news[1], PHASES[news[2]], news[3]
        if release in self.overruled or not self.is_restriction(release, now - news[4]):
            return
        self.gossiped_release, self.gossiped_since, self.gossiped_by = release, now - news[4], member.number
        self.counts["news taken"] += 1
        self.post_event("on_build_blocked", release[0])

    def is_restriction(self, release: tuple, since: int) -> bool:
        """Returns whether a reported release state admits fewer hits to its build than the known one.

        An older stage or build does not: the member that reports it is behind."""
        build, stage, phase, cap = release
        known = self.gossiped_release or self.own_release
        phase_index = PHASES.index(phase)
        if known is None:
            return phase_index >= FIRST_CLOSED_PHASE
        if build != known[0]:
            return build > known[0] and phase_index >= FIRST_CLOSED_PHASE
        known_phase_index = PHASES.index(known[2])
        if phase_index >= FIRST_CLOSED_PHASE:
            return phase_index > known_phase_index
        return (
            phase_index == known_phase_index
            and stage == known[1]
            and cap < known[3] - 1 / 65535
            and since >= self.own_since
        )
