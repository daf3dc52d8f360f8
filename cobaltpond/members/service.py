"""Runs membership on the event loop: feeds the view datagrams and time, sends its datagrams, and logs."""

from cobaltpond.loop import Deadline, DeadlineExceededError, Event, Sleep
from cobaltpond.members import wire
from cobaltpond.members.gossip import Gossip
from cobaltpond.members.states import LEFT
from cobaltpond.members.trial_evidence import TrialEvidence
from cobaltpond.members.view import ProbeSettings, View

PROGRAM_VERSION = 2  # sent to the other members
# How often a stopping gateway announces that it leaves, and the microseconds between two announcements.
LEAVE_ROUNDS, LEAVE_INTERVAL_US = 3, 50_000


class Members:
    """Membership of one gateway.

    `zones`: the zone name of each gateway, by number.
    `peers`: a `gateway.peers.Peers`, which passes membership datagrams to `receive_datagram`.
    `post`: posts an event to the decisions.
    `describe_self`: returns the facts that this gateway sends about itself (revision, out, admitted, flags).
    `chance`: a `RandomSource` of the decisions.
    `digest`: the digest of the settings.
    `view`: the class of the view, which measurements replace by a baseline.
    `trial_counts`: returns our counts of a trial as `wire.encode_trial` takes them; None: trial messages are
    ignored.
    `groups`: the names of the path groups, by index.
    `max_evidence_age`: the greatest age of trial evidence, in microseconds."""

    def __init__(
        self,
        loop,
        zones: dict[int, str],
        number: int,
        settings: ProbeSettings,
        peers,
        post,
        describe_self,
        log,
        chance,
        digest: int = 0,
        view=View,
        trial_counts=None,
        groups=(),
        max_evidence_age: int = 10_000_000,
    ):
        self.loop = loop
        self.peers = peers
        self.post_event = post
        self.describe_self = describe_self
        self.log = log
        self.view = view(number, zones, settings, chance, loop.kernel.wall_clock(), loop.now())
        self.view.self_description.update(version=PROGRAM_VERSION, settings=digest)
        self.gossip = Gossip(post)
        self.view.on_gossip = lambda member, news, drains: self.gossip.receive(
            self.loop.now(), member, news, drains
        )
        self.evidence = TrialEvidence(max_evidence_age, post, chance, loop.now())
        self.trial_counts = trial_counts
        self.groups = list(groups)
        self.view.on_trial_message = self.handle_trial_message if trial_counts is not None else None
        self.changed, self.rejected, self.last_living = Event(), {}, None
        self.is_isolated, self.is_on_minority_side, self.replaced = False, False, False
        peers.on_membership = self.receive_datagram

    # --- datagrams ------------------------------------------------------------------------------------------

    def receive_datagram(self, sender: int, data: bytes) -> None:
        """Applies one datagram from the address of member `sender`, and sends the replies."""
        self.update_self_description()
        try:
            self.view.receive_datagram(self.loop.now(), sender, data)
        except wire.DatagramError as error:
            # These are counted and not logged, since a flood of them would fill the disk.
            self.rejected[str(error)] = self.rejected.get(str(error), 0) + 1
        self.flush()
        self.changed.set()

    def update_self_description(self) -> None:
        """Updates what our datagrams report of this gateway, the release and draining instances."""
        now, description = self.loop.now(), self.describe_self()
        news, self.view.drains = self.gossip.outgoing(now)
        self.view.news = news
        flags = (
            description["flags"]
            | (wire.ALONE if self.is_isolated else 0)
            | (wire.DRAINING if self.view.state == LEFT else 0)
        )
        build, stage, phase = news[:3] if news else (0, 0, 0)
        self.view.self_description.update(
            revision=description["revision"] & 0xFFFFFFFF,
            out=min(65535, description["out"]),
            flags=flags,
            admitted=round(255 * min(1.0, max(0.0, description["admitted"]))),
            build=build,
            stage=stage,
            phase=phase,
        )

    def flush(self) -> None:
        """Sends the view's datagrams, logs its state changes, and posts a change of the present members."""
        out, self.view.outbox = self.view.outbox, []
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
                by=member.reporter,
                start=member.start,
                incarnation=member.incarnation,
            )
        living = self.view.living() if changes or self.last_living is None else self.last_living
        if living != self.last_living:
            self.last_living = living
            self.post_event("on_members", living)
        if self.view.replaced and not self.replaced:
            self.replaced = True
            self.log.error(
                "replaced: a newer start of this gateway is running elsewhere; this one ends",
                number=self.view.number,
                start=self.view.start,
            )

    def handle_trial_message(self, kind: int, sender: int, sequence: int, rows: list) -> None:
        """Answers a request for our trial counts, or applies the reply to one of our own requests.

        Rows on path groups that our settings lack are dropped."""
        if kind == wire.TRIAL_REQUEST:
            self.view.send(
                wire.TRIAL_REPLY,
                sender,
                sequence,
                extra_fields=wire.encode_trial(self.trial_counts()[: wire.MAX_TRIAL_ROWS]),
            )
        else:
            self.evidence.apply_response(
                sender,
                [
                    (build, self.groups[group_index], *rest)
                    for build, group_index, *rest in rows
                    if group_index < len(self.groups)
                ],
            )

    def on_release_state(self, build: int, stage: int, phase: str, cap: float, age: int) -> None:
        """Takes the release state of this gateway's own desk connection, whose stage began `age` microseconds
        ago."""
        self.gossip.update_release(self.loop.now(), build, stage, phase, cap, age)
        self.evidence.update_release(self.loop.now(), build, phase, age)

    # --- time -----------------------------------------------------------------------------------------------

    def run(self):
        """Runs the view's clock until cancelled; the body of a task."""
        self.flush()
        while True:
            wait = max(1_000, self.view.next_at() - self.loop.now())
            try:
                with Deadline(self.loop, wait):
                    yield self.changed
            except DeadlineExceededError:
                pass
            self.update_self_description()
            self.view.tick(self.loop.now())
            for number in self.evidence.due_requests(
                self.loop.now(), [n for n in self.view.living() if n != self.view.number]
            ):
                self.view.send(wire.TRIAL_REQUEST, number, 0)
            self.flush()
            self.check_connectivity()

    def check_connectivity(self) -> None:
        """Logs when this gateway becomes alone or the smaller side of a partition, and when that ends."""
        now, reachability = self.loop.now(), self.view.reachability
        alone, island = reachability.is_isolated(now), reachability.is_on_minority_side(now)
        if (alone, island) != (self.is_isolated, self.is_on_minority_side):
            self.is_isolated, self.is_on_minority_side = alone, island
            self.log.warning(
                "cut off" if alone or island else "not cut off any more",
                alone=alone,
                island=island,
                zones=reachability.zones(now),
                living=len(self.view.living()),
            )

    def leave(self):
        """Announces an orderly shutdown to some members, which disseminate it; the body of a task."""
        for _ in range(LEAVE_ROUNDS):
            self.update_self_description()
            self.view.leave()
            self.flush()
            yield Sleep(LEAVE_INTERVAL_US)

    # --- status pages ---------------------------------------------------------------------------------------

    def status(self) -> dict:
        """Returns membership's part of the status page."""
        now, view = self.loop.now(), self.view
        return {
            **view.reachability.summary(now),
            "island": self.is_on_minority_side,
            "start": view.start,
            "incarnation": view.incarnation,
            "counts": view.counts,
            "odd": self.rejected,
            "hearsay": {
                **self.gossip.counts,
                "shut": self.gossip.gossiped_release and self.gossip.gossiped_release[0],
                "from": self.gossip.gossiped_by,
            },
            "evidence": self.evidence.counts,
        }

    def table(self) -> dict:
        """Returns the body of `/-/members`: the status and all members as this gateway sees them, itself
        first."""
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
                "by": member.reporter,
                "reached": member.probe_result,
                "heard_us": None if member.heard_at is None else now - member.heard_at,
            }
            for number, member in sorted(view.members.items())
        ]
        return {"at": view.number, **self.status(), "members": [own, *rows]}
