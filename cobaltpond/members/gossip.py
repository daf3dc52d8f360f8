"""What a gateway says of the release and of instances, and what it takes from another one's word. Free of
I/O.

One rule: a member's word only ever shuts. That a build goes back, has been withdrawn or has a lower cap is
acted upon until our own link to the desk speaks again; that an instance drains, until our own list knows it.
Nothing heard from a member opens a cap, a build or an instance: a wrong or late word costs room, never a
rule.
"""

from cobaltpond.members.states import LEFT

PHASES = ("trial", "released", "going back", "withdrawn")  # in the order in which a build goes through them
SHUT = 2  # from this one on a build gets no more hits
FRESH = 5_000_000  # an instance that began to drain so lately is told of


class Gossip:
    """`post`: called with what the module is to hear, as `GatewayDecisionHost.post_event`."""

    def __init__(self, post):
        self.post_event = post
        self.own, self.own_since = None, 0  # what our own link to the desk said last
        self.heard, self.heard_since, self.heard_from = None, 0, None  # what holds on another's word
        self.overruled = {}  # words that our own link has spoken after, in order
        self.revision, self.draining = 0, {}  # of our list; tag of an instance -> when it began to drain
        self.counts = {"news taken": 0, "drains taken": 0, "overruled": 0}

    # --- what our own links say -----------------------------------------------------------------------------

    def update_release(self, now: int, build: int, stage: int, phase: str, cap: float, age: int) -> None:
        """From the desk. It always holds, and ends what was taken on another's word."""
        self.own, self.own_since = (build, stage, phase, cap), now - age
        if self.heard is not None:
            if self.heard[:3] != self.own[:3]:
                self.overruled[self.heard] = True
                while len(self.overruled) > 16:
                    del self.overruled[next(iter(self.overruled))]
                self.counts["overruled"] += 1
            self.heard = self.heard_from = None
            self.post_event("on_shut", None)

    def set_draining(self, now: int, revision: int, tags: list[int]) -> None:
        """Our own list has changed; `tags`: of those that drain by it."""
        self.revision = revision
        self.draining = {tag: self.draining.get(tag, now) for tag in tags}

    # --- what is said ---------------------------------------------------------------------------------------

    def outgoing(self, now: int) -> tuple[tuple | None, list[int]]:
        """(news for a datagram or None, tags of instances that began to drain lately, the newest first)."""
        told, since = (self.heard, self.heard_since) if self.heard is not None else (self.own, self.own_since)
        news = None
        if told is not None:
            build, stage, phase, cap = told
            news = build, min(stage, 255), PHASES.index(phase), cap, max(0, now - since)
        fresh = [tag for tag, at in reversed(self.draining.items()) if now - at < FRESH]
        return news, fresh

    # --- what others say ------------------------------------------------------------------------------------

    def receive(self, now: int, member, news: tuple | None, drains: list[int]) -> None:
        """Of one fresh datagram."""
        if member.state == LEFT:
            return
        if drains and member.facts.get("revision", 0) > self.revision:
            self.counts["drains taken"] += 1
            self.post_event("on_drains", drains)
        if news is None or news[2] >= len(PHASES):
            return  # a phase of a later version: no word that we know
        told = news[0], news[1], PHASES[news[2]], news[3]
        if told in self.overruled or not self.shuts(told, now - news[4]):
            return
        self.heard, self.heard_since, self.heard_from = told, now - news[4], member.number
        self.counts["news taken"] += 1
        self.post_event("on_shut", told[0])

    def shuts(self, told: tuple, since: int) -> bool:
        """Is it a reason to send no more to that build? An older stage or build is not: its teller is
        behind."""
        build, stage, phase, cap = told
        known = self.heard or self.own
        order = PHASES.index(phase)
        if known is None:
            return order >= SHUT
        if build != known[0]:
            return build > known[0] and order >= SHUT
        mine = PHASES.index(known[2])
        if order >= SHUT:
            return order > mine
        return order == mine and stage == known[1] and cap < known[3] - 1 / 65535 and since >= self.own_since
