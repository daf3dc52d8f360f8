"""One gateway's view of all gateways: SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's refinements (Dadgar,
Phillips, Currey, 2018). Free of I/O: time, datagrams and chance come in, datagrams to be sent come out.

A probe asks one member; who does not answer in time is asked for by helpers; who answers nobody is suspect,
which all are told and it may refute by a higher incarnation; a suspect whose time runs out has failed. What
is told rides on the datagrams of the probes. Ours beside the papers: failed and unheard members are reached
for now and then, so that a split heals without anybody's order; views whose digests differ fill the room left
in a datagram with their tables.
"""

from dataclasses import dataclass
from math import ceil, log, log10

from cobaltpond.members import wire
from cobaltpond.members.probing import HELPERS, Probing
from cobaltpond.members.reachability import Reachability
from cobaltpond.members.receiving import Receiving
from cobaltpond.members.sending import Sending
from cobaltpond.members.states import (
    ALIVE,
    CAUSE_OF,
    CODES,
    LEFT,
    SUSPECT,
    SUSPICION_EXPIRED,
    UNHEARD,
    Member,
    change_state,
)

ALPHA, BETA, DOUBTS = 5, 6, 3  # Lifeguard, IV: suspicion's least and most, confirmations
HEALTH_MOST = 8  # Lifeguard's S
TELLINGS = 4  # times the logarithm of the members a change is told
STOOD_STILL = 0.5  # of a wait: a tick so late says that we stood still


@dataclass(frozen=True)
class ProbeSettings:
    """Times in microseconds. `plain`: SWIM as first published, for comparison."""

    period: int = 1_000_000
    wait: int = 300_000
    plain: bool = False

    @property
    def beta(self) -> int:
        return 1 if self.plain else BETA


class View(Probing, Sending, Receiving):
    """`zones`: name of each gateway's zone by number, ours included. `chance`: as `RandomSource` of the
    decisions. What is to be sent collects in `out` as (number, datagram), what has changed in `changes` as
    (member, state before)."""

    def __init__(
        self, number: int, zones: dict[int, str], settings: ProbeSettings, chance, start: int, now: int
    ):
        self.number, self.zones, self.probe_settings, self.chance = number, zones, settings, chance
        self.members = {n: Member(n, zone, now) for n, zone in zones.items() if n != number}
        self.order = list(self.members)
        self.start, self.incarnation, self.state, self.bumped = start, 0, ALIVE, False
        self.health, self.sequence, self.stamp, self.began = 0, chance.randbelow(1 << 30), 0, now
        self.self_description = {
            "zone": wire.zone_mark(zones[number]),
            "version": 0,
            "settings": 0,
            "revision": 0,
            "build": 0,
            "stage": 0,
            "phase": 0,
            "out": 0,
            "admitted": 255,
            "flags": 0,
        }
        self.news, self.drains = None, ()  # to ride along: gossip.py
        self.on_gossip = None  # called with (member, news or None, drains) of each datagram
        self.on_trial_message = None  # called with (kind, sender, sequence, rows): questions on trials
        self.on_warm_start_message = self.on_lease_message = None  # the same, on instances and on leases
        self.probe, self.next_probe = None, now + chance.randbelow(settings.period) + 1
        self.round, self.reach_round = [], []  # whom to probe, whom to reach for, in a drawn order
        self.pending_updates = {}  # number -> times told
        self.relays = {}  # sequence -> (who asks, its sequence, about whom, nack at, end)
        self.cursor, self.hash = 0, self.row_hash(number)
        self.out, self.changes, self.replaced = [], [], False
        self.reachability = Reachability(self)
        self.counts = {
            "pings": 0,
            "asked": 0,
            "heard": 0,
            "old": 0,
            "flood": 0,
            "strangers": 0,
            "refuted": 0,
            "probes failed": 0,
            "stood still": 0,
        }

    # --- figures --------------------------------------------------------------------------------------------

    def living(self) -> dict[int, int]:
        """Who is there, ours included: number -> start."""
        return {n: m.start for n, m in self.members.items() if m.is_present} | (
            {self.number: self.start} if self.state == ALIVE else {}
        )

    def size(self) -> int:
        return 1 + sum(m.is_present for m in self.members.values())

    def slowed(self, time: int) -> int:
        """A wait as long as our own health asks for: who is slow itself doubts others later."""
        return time * (1 + self.health)

    def suspicion(self, doubters: int) -> int:
        """How long a suspicion lasts with so many who doubt."""
        size = self.size()
        least = int(ALPHA * max(1.0, log10(max(1, size))) * self.probe_settings.period)
        most, wanted = self.probe_settings.beta * least, min(DOUBTS, size - 2)
        if wanted < 1:
            return least
        return max(least, int(most - (most - least) * log(doubters) / log(wanted + 1)))

    def tellings(self) -> int:
        return TELLINGS * ceil(log10(self.size() + 1))

    def adjust_health(self, step: int) -> None:
        if not self.probe_settings.plain:
            self.health = min(HEALTH_MOST, max(0, self.health + step))

    def row_hash(self, number: int) -> int:
        """Of one row of the table; all of them, folded by exclusive or, are the digest of a view."""
        if number == self.number:
            what = number, self.start, self.incarnation, CODES[self.state]
        else:
            member = self.members[number]
            if member.state == UNHEARD:
                return 0
            what = number, *member.mark, CODES[member.state]
        return wire.crc32(wire.pack(">HQIB", *what))

    # --- changes --------------------------------------------------------------------------------------------

    def alter(self, member: Member, cause: str, now: int, by: int, start: int, incarnation: int) -> None:
        self.hash ^= self.row_hash(member.number)
        life = member.start
        before = change_state(member, cause, now, by, start, incarnation)
        self.hash ^= self.row_hash(member.number)
        if member.state == SUSPECT:
            member.suspecting, member.doubted_at = {}, now
            self.add_suspicion(member, by, now)
        if not member.is_present:
            member.reached, member.missed_acks = None, 0
        if member.state != before or member.start != life:
            self.changes.append((member, before))
        self.pending_updates[member.number] = 0

    def add_suspicion(self, member: Member, by: int, now: int) -> None:
        """One more who doubts: the suspicion gets shorter, though it never ends in the past."""
        member.suspecting[by] = True
        member.until = max(now, member.doubted_at + self.suspicion(len(member.suspecting)))

    def confirm_suspicion(self, member: Member, by: int, now: int) -> None:
        """Told on (Lifeguard's dogpile): others' waits get shorter too; so many confirmations and no more."""
        if by not in member.suspecting and len(member.suspecting) <= DOUBTS and not self.probe_settings.plain:
            self.add_suspicion(member, by, now)
            self.pending_updates[member.number] = 0

    def raise_self(self, incarnation: int, start: int | None = None) -> None:
        self.hash ^= self.row_hash(self.number)
        self.incarnation = incarnation
        if start is not None:
            self.start = start
        self.hash ^= self.row_hash(self.number)
        self.pending_updates[self.number] = 0

    def doubted_of_me(self, start: int, incarnation: int, state: str) -> None:
        """What others say of us that does not hold. A newer start of our name is our own former life where a
        clock went back: outbid once. One that outbids us again lives: the newer one stays, and it is not
        us."""
        if start > self.start:
            if self.bumped:
                self.replaced = True
            else:
                self.bumped = True
                self.raise_self(0, start + 1)
        elif (
            start == self.start and state != ALIVE and incarnation >= self.incarnation and self.state == ALIVE
        ):
            self.counts["refuted"] += 1
            self.adjust_health(1)  # they could not hear us: it may be us
            self.raise_self(incarnation + 1)

    def apply_row(self, now: int, number: int, start: int, incarnation: int, state: str, by: int) -> None:
        """One row of another's table."""
        if number == self.number:
            self.doubted_of_me(start, incarnation, state)
            return
        member = self.members.get(number)
        if member is None:
            self.counts["strangers"] += 1
        elif member.supersedes(state, start, incarnation):
            self.alter(member, CAUSE_OF[state], now, by, start, incarnation)
        elif state == SUSPECT == member.state and (start, incarnation) == member.mark:
            self.confirm_suspicion(member, by, now)

    # --- time -----------------------------------------------------------------------------------------------

    def next_at(self) -> int:
        """When `tick` is due next."""
        at = [self.next_probe]
        if self.probe is not None:
            at.append(self.probe.ask_at if self.probe.asked is None else self.probe.end_at)
            at.append(self.probe.end_at)
        at += [m.until for m in self.members.values() if m.state == SUSPECT]
        at += [relay[3] if relay[3] is not None else relay[4] for relay in self.relays.values()]
        return min(at)

    def tick(self, now: int) -> None:
        if self.state != ALIVE:
            return
        due = self.next_at()
        if now < due:
            return
        late = now - due
        if late > STOOD_STILL * self.probe_settings.wait and not self.probe_settings.plain:
            self.stood_still(now, late)
            return
        self.nack(now)
        probe = self.probe
        if probe is not None and probe.asked is None and now >= probe.ask_at:
            probe.asked = now
            if probe.reached is None:
                self.request_indirect(probe)
        if probe is not None and now >= probe.end_at:
            self.end_probe(now)
        for member in [m for m in self.members.values() if m.state == SUSPECT]:
            if now >= member.until:
                self.alter(member, SUSPICION_EXPIRED, now, self.number, *member.mark)
        if self.probe is None and now >= self.next_probe:
            self.begin_probe(now)

    def stood_still(self, now: int, late: int) -> None:
        """Guards against a process that was stopped, or a clock that jumped: what it would call overdue it
        has not had time to hear. Its own probe counts for nothing, and every suspicion is as much longer."""
        self.counts["stood still"] += 1
        self.adjust_health(1)
        self.probe, self.next_probe = None, now + self.probe_settings.wait
        self.relays = {}
        for member in self.members.values():
            if member.state == SUSPECT:
                member.until += late

    # --- the end --------------------------------------------------------------------------------------------

    def leave(self) -> None:
        """In order: told, not suspected. Called again it tells others; who was told tells on."""
        self.hash ^= self.row_hash(self.number)
        self.state = LEFT
        self.hash ^= self.row_hash(self.number)
        for number in self.drawn([n for n, m in self.members.items() if m.is_present])[: 2 * HELPERS]:
            self.send(wire.LEAVE, number, 0)
