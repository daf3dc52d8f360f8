"""The tasks of membership on our loop: feeds the view with datagrams and time, sends what it wants sent,
logs."""

from cobaltpond.loop import Deadline, DeadlineExceededError, Event, Sleep
from cobaltpond.members import wire
from cobaltpond.members.gossip import Gossip
from cobaltpond.members.states import LEFT
from cobaltpond.members.trial_evidence import TrialEvidence
from cobaltpond.members.view import ProbeSettings, View

VERSION = 2  # of the program, as members tell each other
LEAVE_ROUNDS, LEAVE_EVERY = 3, 50_000  # who is stopped says so so often


class Members:
    """`peers`: `gateway.peers.Peers`, whose datagrams of ours come to `receive_datagram`. `about`: gives what
    this gateway says of itself (revision, out, admitted, flags) as a map; `trial`: gives its counts of a
    trial, as `wire.trial_field` takes them, of path groups as `groups` names them; `window`: how old evidence
    may be. `view`: another kind of view (baselines, in measurements)."""

    def __init__(
        self,
        loop,
        zones: dict[int, str],
        number: int,
        settings: ProbeSettings,
        peers,
        post,
        about,
        log,
        chance,
        digest: int = 0,
        view=View,
        trial=None,
        groups=(),
        window: int = 10_000_000,
    ):
        self.loop, self.peers, self.post_event, self.describe_self, self.log = loop, peers, post, about, log
        self.view = view(number, zones, settings, chance, loop.kernel.wall_clock(), loop.now())
        self.view.self_description.update(version=VERSION, settings=digest)
        self.gossip = Gossip(post)
        self.view.on_gossip = lambda member, news, drains: self.gossip.receive(
            self.loop.now(), member, news, drains
        )
        self.evidence, self.trial_counts, self.groups = (
            TrialEvidence(window, post, chance, loop.now()),
            trial,
            list(groups),
        )
        self.view.on_trial_message = self.asked_for if trial is not None else None
        self.changed, self.odd, self.living = Event(), {}, None
        self.is_alone, self.is_island, self.replaced = False, False, False
        peers.on_membership = self.receive_datagram

    # --- datagrams ------------------------------------------------------------------------------------------

    def receive_datagram(self, sender: int, data: bytes) -> None:
        self.prepare()
        try:
            self.view.receive_datagram(self.loop.now(), sender, data)
        except wire.DatagramError as why:  # counted, not logged: a flood must not fill the disk
            self.odd[str(why)] = self.odd.get(str(why), 0) + 1
        self.flush()
        self.changed.set()

    def prepare(self) -> None:
        """What a datagram of ours says is as things are now."""
        now, told = self.loop.now(), self.describe_self()
        news, self.view.drains = self.gossip.outgoing(now)
        self.view.news = news
        flags = (
            told["flags"]
            | (wire.ALONE if self.is_alone else 0)
            | (wire.DRAINING if self.view.state == LEFT else 0)
        )
        build, stage, phase = news[:3] if news else (0, 0, 0)
        self.view.self_description.update(
            revision=told["revision"] & 0xFFFFFFFF,
            out=min(65535, told["out"]),
            flags=flags,
            admitted=round(255 * min(1.0, max(0.0, told["admitted"]))),
            build=build,
            stage=stage,
            phase=phase,
        )

    def flush(self) -> None:
        out, self.view.out = self.view.out, []
        for receiver, data in out:
            self.peers.send_membership(receiver, data)
        changes, self.view.changes = self.view.changes, []
        for member, before in changes:
            self.log.info(
                "member",
                number=member.number,
                zone=member.zone,
                state=member.state,
                before=before,
                cause=member.cause,
                by=member.by,
                start=member.start,
                incarnation=member.incarnation,
            )
        living = self.view.living() if changes or self.living is None else self.living
        if living != self.living:
            self.living = living
            self.post_event("on_members", living)
        if self.view.replaced and not self.replaced:
            self.replaced = True
            self.log.error(
                "replaced: a newer start of this gateway is running elsewhere; this one ends",
                number=self.view.number,
                start=self.view.start,
            )

    def asked_for(self, kind: int, sender: int, sequence: int, rows: list) -> None:
        """A question about a trial, or the answer to ours."""
        if kind == wire.TRIAL_ASK:
            self.view.send(
                wire.TRIAL_REPLY,
                sender,
                sequence,
                more=wire.trial_field(self.trial_counts()[: wire.TRIAL_MOST]),
            )
        else:
            self.evidence.apply_answer(
                sender,
                [
                    (build, self.groups[place], *rest)
                    for build, place, *rest in rows
                    if place < len(self.groups)
                ],
            )

    def desk_news(self, build: int, stage: int, phase: str, cap: float, age: int) -> None:
        """What our own desk says."""
        self.gossip.update_release(self.loop.now(), build, stage, phase, cap, age)
        self.evidence.update_release(self.loop.now(), build, phase, age)

    # --- time -----------------------------------------------------------------------------------------------

    def run(self):
        """For ever; the view's clock."""
        self.flush()
        while True:
            wait = max(1_000, self.view.next_at() - self.loop.now())
            try:
                with Deadline(self.loop, wait):
                    yield self.changed
            except DeadlineExceededError:
                pass
            self.prepare()
            self.view.tick(self.loop.now())
            for number in self.evidence.due_requests(
                self.loop.now(), [n for n in self.view.living() if n != self.view.number]
            ):
                self.view.send(wire.TRIAL_ASK, number, 0)
            self.flush()
            self.check_connectivity()

    def check_connectivity(self) -> None:
        """Are we alone, or the smaller side of a split? Said once as it begins, and once as it ends."""
        now, picture = self.loop.now(), self.view.reachability
        alone, island = picture.is_alone(now), picture.is_island(now)
        if (alone, island) != (self.is_alone, self.is_island):
            self.is_alone, self.is_island = alone, island
            self.log.warning(
                "cut off" if alone or island else "not cut off any more",
                alone=alone,
                island=island,
                zones=picture.zones(now),
                living=len(self.view.living()),
            )

    def leave(self):
        """Tells some of the others, a few times, that this gateway goes in order; they tell on."""
        for _ in range(LEAVE_ROUNDS):
            self.prepare()
            self.view.leave()
            self.flush()
            yield Sleep(LEAVE_EVERY)

    # --- what is shown --------------------------------------------------------------------------------------

    def status(self) -> dict:
        now, view = self.loop.now(), self.view
        return {
            **view.reachability.summary(now),
            "island": self.is_island,
            "start": view.start,
            "incarnation": view.incarnation,
            "counts": view.counts,
            "odd": self.odd,
            "hearsay": {
                **self.gossip.counts,
                "shut": self.gossip.heard and self.gossip.heard[0],
                "from": self.gossip.heard_from,
            },
            "evidence": self.evidence.counts,
        }

    def table(self) -> dict:
        """All members as they are seen from here, ours first."""
        now, view = self.loop.now(), self.view
        own = {
            **view.self_description,
            "number": view.number,
            "state": view.state,
            "start": view.start,
            "incarnation": view.incarnation,
            "since_us": now - view.began,
            "zone": view.zones[view.number],
        }
        rows = [
            {
                **member.facts,
                "number": number,
                "state": member.state,
                "start": member.start,
                "incarnation": member.incarnation,
                "since_us": now - member.since,
                "zone": member.zone,
                "cause": member.cause,
                "by": member.by,
                "reached": member.reached,
                "heard_us": None if member.heard_at is None else now - member.heard_at,
            }
            for number, member in sorted(view.members.items())
        ]
        return {"at": view.number, **self.status(), "members": [own, *rows]}
