"""The tasks of membership on our loop: feeds the view with datagrams and time, sends what it wants sent,
logs."""

from cobaltpond.loop import Deadline, Event, Sleep, TimedOut
from cobaltpond.members import wire
from cobaltpond.members.gossip import Hearsay
from cobaltpond.members.states import LEFT
from cobaltpond.members.trial_evidence import Evidence
from cobaltpond.members.view import Settings, View

VERSION = 2  # of the program, as members tell each other
LEAVE_ROUNDS, LEAVE_EVERY = 3, 50_000  # who is stopped says so so often


class Members:
    """`peers`: `gateway.peers.Peers`, whose datagrams of ours come to `take`. `about`: gives what this
    gateway says of itself (revision, out, admitted, flags) as a map; `trial`: gives its counts of a trial, as
    `wire.trial_field` takes them, of path groups as `groups` names them; `window`: how old evidence may be.
    `view`: another kind of view (baselines, in measurements)."""

    def __init__(
        self,
        loop,
        zones: dict[int, str],
        number: int,
        settings: Settings,
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
        self.loop, self.peers, self.post, self.about, self.log = loop, peers, post, about, log
        self.view = view(number, zones, settings, chance, loop.kernel.wall(), loop.now())
        self.view.told_of_me.update(version=VERSION, settings=digest)
        self.hearsay = Hearsay(post)
        self.view.hearsay = lambda member, news, drains: self.hearsay.word(
            self.loop.now(), member, news, drains
        )
        self.evidence, self.trial, self.groups = (
            Evidence(window, post, chance, loop.now()),
            trial,
            list(groups),
        )
        self.view.trial = self.asked_for if trial is not None else None
        self.moved, self.odd, self.living = Event(), {}, None
        self.alone, self.island, self.replaced = False, False, False
        peers.members = self.take

    # --- datagrams ------------------------------------------------------------------------------------------

    def take(self, sender: int, data: bytes) -> None:
        self.prepare()
        try:
            self.view.heard(self.loop.now(), sender, data)
        except wire.Odd as why:  # counted, not logged: a flood must not fill the disk
            self.odd[str(why)] = self.odd.get(str(why), 0) + 1
        self.flush()
        self.moved.set()

    def prepare(self) -> None:
        """What a datagram of ours says is as things are now."""
        now, told = self.loop.now(), self.about()
        news, self.view.drains = self.hearsay.say(now)
        self.view.news = news
        flags = (
            told["flags"]
            | (wire.ALONE if self.alone else 0)
            | (wire.DRAINING if self.view.state == LEFT else 0)
        )
        build, stage, phase = news[:3] if news else (0, 0, 0)
        self.view.told_of_me.update(
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
            self.peers.send_members(receiver, data)
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
            self.post("on_members", living)
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
                wire.TRIAL_TOLD, sender, sequence, more=wire.trial_field(self.trial()[: wire.TRIAL_MOST])
            )
        else:
            self.evidence.answered(
                sender,
                [
                    (build, self.groups[place], *rest)
                    for build, place, *rest in rows
                    if place < len(self.groups)
                ],
            )

    def news(self, build: int, stage: int, phase: str, cap: float, age: int) -> None:
        """What our own desk says."""
        self.hearsay.news(self.loop.now(), build, stage, phase, cap, age)
        self.evidence.news(self.loop.now(), build, phase, age)

    # --- time -----------------------------------------------------------------------------------------------

    def run(self):
        """For ever; the view's clock."""
        self.flush()
        while True:
            wait = max(1_000, self.view.next_at() - self.loop.now())
            try:
                with Deadline(self.loop, wait):
                    yield self.moved
            except TimedOut:
                pass
            self.prepare()
            self.view.tick(self.loop.now())
            for number in self.evidence.due(
                self.loop.now(), [n for n in self.view.living() if n != self.view.number]
            ):
                self.view.send(wire.TRIAL_ASK, number, 0)
            self.flush()
            self.look()

    def look(self) -> None:
        """Are we alone, or the smaller side of a split? Said once as it begins, and once as it ends."""
        now, picture = self.loop.now(), self.view.picture
        alone, island = picture.alone(now), picture.island(now)
        if (alone, island) != (self.alone, self.island):
            self.alone, self.island = alone, island
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
            **view.picture.summary(now),
            "island": self.island,
            "start": view.start,
            "incarnation": view.incarnation,
            "counts": view.counts,
            "odd": self.odd,
            "hearsay": {
                **self.hearsay.counts,
                "shut": self.hearsay.heard and self.hearsay.heard[0],
                "from": self.hearsay.heard_from,
            },
            "evidence": self.evidence.counts,
        }

    def table(self) -> dict:
        """All members as they are seen from here, ours first."""
        now, view = self.loop.now(), self.view
        own = {
            **view.told_of_me,
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
