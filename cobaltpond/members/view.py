"""Failure detection and dissemination: one gateway's view of all gateways.

The protocol is SWIM (Das, Gupta, Motivala, 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey,
2018). The module does no I/O: time, datagrams and randomness come in, datagrams to send come out.

A probe pings one member. If no ack comes in time, helpers ping it too. A member that answers nobody becomes
suspect; the suspicion is disseminated, and the member may refute it with a higher incarnation. A suspect
whose suspicion expires has failed. Updates are piggybacked on the datagrams of the probes. Beyond the
papers: failed and unheard members are pinged now and then, so that a network partition heals without an
operator, and members whose table digests differ fill the free room of their datagrams with table rows
(anti-entropy).
"""

from dataclasses import dataclass
from math import ceil, log, log10

from cobaltpond.members import wire
from cobaltpond.members.probing import HELPERS_PER_PROBE, Probing
from cobaltpond.members.reachability import Reachability
from cobaltpond.members.receiving import Receiving
from cobaltpond.members.sending import Sending
from cobaltpond.members.states import (
    ALIVE,
    CAUSE_OF_STATE,
    LEFT,
    STATE_CODES,
    SUSPECT,
    SUSPICION_EXPIRED,
    UNHEARD,
    Member,
    change_state,
)

# Lifeguard, IV: `ALPHA` and `BETA` are the factors of the minimum and the maximum suspicion time, and
# `MAX_CONFIRMATIONS` is the number of confirmations (K).
ALPHA, BETA, MAX_CONFIRMATIONS = 5, 6, 3
MAX_HEALTH = 8  # saturation limit of the local health multiplier (Lifeguard's S)
TRANSMIT_MULTIPLIER = 4  # times the logarithm of the number of members: how often an update is sent
PAUSE_SHARE = 0.5  # of the ack timeout: a tick later than this shows that the process was paused


@dataclass(frozen=True)
class ProbeSettings:
    """Times of the protocol, in microseconds. `plain_swim`: SWIM as first published, for comparison."""

    period: int = 1_000_000
    ack_timeout: int = 300_000
    plain_swim: bool = False

    @property
    def beta(self) -> int:
        """The maximum suspicion time as a multiple of the minimum."""
        return 1 if self.plain_swim else BETA


class View(Probing, Sending, Receiving):
    """The membership table of one gateway and the protocol that keeps it.

    `zones`: zone name of each gateway by number, ours included; `chance`: a `RandomSource` of the decisions;
    `start`: start time of this process in microseconds since 1970, which identifies this start; `now`: loop
    time in microseconds. The caller collects datagrams to send from `outbox` as (number, datagram) and state
    changes from `changes` as (member, previous state), calls `tick` at `next_at`, and ends the process once
    `replaced` is set."""

    def __init__(
        self, number: int, zones: dict[int, str], settings: ProbeSettings, chance, start: int, now: int
    ):
        self.number, self.zones, self.probe_settings, self.chance = number, zones, settings, chance
        self.members = {n: Member(n, zone, now) for n, zone in zones.items() if n != number}
        self.sync_order = list(self.members)
        self.start, self.incarnation, self.state, self.outbid_once = start, 0, ALIVE, False
        self.health, self.sequence, self.stamp, self.began = 0, chance.randbelow(1 << 30), 0, now
        self.self_description = {
            "zone": wire.zone_digest(zones[number]),
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
        self.news, self.drains = None, ()  # release state and drains, sent with each datagram: see gossip.py
        self.on_gossip = None  # called with (member, release state or None, drains) of a new datagram
        self.on_trial_message = None  # called with (kind, sender, sequence, rows) of trial messages
        self.on_warm_start_message = self.on_lease_message = None  # likewise, for warm start and leases
        self.probe, self.next_probe = None, now + chance.randbelow(settings.period) + 1
        self.probe_round, self.absent_round = [], []  # shuffled: members to probe, absent ones to ping
        self.pending_updates = {}  # number -> how often its row has been sent
        # sequence of our ping -> (asking member, its sequence, probed member, time of the nack, end)
        self.relays = {}
        self.sync_cursor, self.table_digest = 0, self.row_digest(number)
        self.outbox, self.changes, self.replaced = [], [], False
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

    # --- sizes, times and digests ---------------------------------------------------------------------------

    def living(self) -> dict[int, int]:
        """Starts of the present members by number, this gateway included until it leaves."""
        return {n: m.start for n, m in self.members.items() if m.is_present} | (
            {self.number: self.start} if self.state == ALIVE else {}
        )

    def member_count(self) -> int:
        """Returns the number of present members, this gateway included."""
        return 1 + sum(m.is_present for m in self.members.values())

    def scale_by_health(self, time: int) -> int:
        """Returns the time scaled by Lifeguard's local health multiplier: a slow gateway suspects others
        later."""
        return time * (1 + self.health)

    def suspicion_time(self, suspecting: int) -> int:
        """Returns the duration of a suspicion that this many members share, in microseconds."""
        size = self.member_count()
        minimum = int(ALPHA * max(1.0, log10(max(1, size))) * self.probe_settings.period)
        maximum, confirmations = self.probe_settings.beta * minimum, min(MAX_CONFIRMATIONS, size - 2)
        if confirmations < 1:
            return minimum
        return max(minimum, int(maximum - (maximum - minimum) * log(suspecting) / log(confirmations + 1)))

    def max_transmissions(self) -> int:
        """Returns how often an update is sent before it is dropped."""
        return TRANSMIT_MULTIPLIER * ceil(log10(self.member_count() + 1))

    def adjust_health(self, step: int) -> None:
        """Adds `step` to the local health score: 0 is healthy, MAX_HEALTH the worst. Plain SWIM has none."""
        if not self.probe_settings.plain_swim:
            self.health = min(MAX_HEALTH, max(0, self.health + step))

    def row_digest(self, number: int) -> int:
        """Returns the digest of one table row, 0 for an unheard member. The exclusive or of all is
        `table_digest`."""
        if number == self.number:
            row = number, self.start, self.incarnation, STATE_CODES[self.state]
        else:
            member = self.members[number]
            if member.state == UNHEARD:
                return 0
            row = number, *member.start_and_incarnation, STATE_CODES[member.state]
        return wire.crc32(wire.pack(">HQIB", *row))

    # --- changes --------------------------------------------------------------------------------------------

    def change_member(
        self, member: Member, cause: str, now: int, reporter: int, start: int, incarnation: int
    ) -> None:
        """Changes a member's state, and has the update disseminated."""
        self.table_digest ^= self.row_digest(member.number)
        start_before = member.start
        before = change_state(member, cause, now, reporter, start, incarnation)
        self.table_digest ^= self.row_digest(member.number)
        if member.state == SUSPECT:
            member.suspecting, member.suspected_at = {}, now
            self.add_suspicion(member, reporter, now)
        if not member.is_present:
            member.probe_result, member.missed_acks = None, 0
        if member.state != before or member.start != start_before:
            self.changes.append((member, before))
        self.pending_updates[member.number] = 0

    def add_suspicion(self, member: Member, reporter: int, now: int) -> None:
        """Records one more member that suspects it. Shortens the suspicion, but never into the past."""
        member.suspecting[reporter] = True
        member.suspicion_end = max(now, member.suspected_at + self.suspicion_time(len(member.suspecting)))

    def confirm_suspicion(self, member: Member, reporter: int, now: int) -> None:
        """Counts an independent confirmation of a suspicion, and disseminates it, so that the suspicion gets
        shorter at other members too (Lifeguard's dogpile). Counts at most MAX_CONFIRMATIONS."""
        if (
            reporter not in member.suspecting
            and len(member.suspecting) <= MAX_CONFIRMATIONS
            and not self.probe_settings.plain_swim
        ):
            self.add_suspicion(member, reporter, now)
            self.pending_updates[member.number] = 0

    def set_own_incarnation(self, incarnation: int, start: int | None = None) -> None:
        """Takes a higher incarnation, or a later start, and disseminates it. None keeps the start."""
        self.table_digest ^= self.row_digest(self.number)
        self.incarnation = incarnation
        if start is not None:
            self.start = start
        self.table_digest ^= self.row_digest(self.number)
        self.pending_updates[self.number] = 0

    def refute(self, start: int, incarnation: int, state: str) -> None:
        """Refutes a wrong report on this gateway by a higher incarnation.

        A newer start of our number is our own previous process if a clock went back: we outbid it once. If a
        newer start appears again, another process with our number is running, and this one gives way."""
        if start > self.start:
            if self.outbid_once:
                self.replaced = True
            else:
                self.outbid_once = True
                self.set_own_incarnation(0, start + 1)
        elif (
            start == self.start and state != ALIVE and incarnation >= self.incarnation and self.state == ALIVE
        ):
            self.counts["refuted"] += 1
            self.adjust_health(1)  # The others could not hear us: the fault may be ours.
            self.set_own_incarnation(incarnation + 1)

    def apply_row(
        self, now: int, number: int, start: int, incarnation: int, state: str, reporter: int
    ) -> None:
        """Applies one row of another member's table; numbers that the settings lack are counted only."""
        if number == self.number:
            self.refute(start, incarnation, state)
            return
        member = self.members.get(number)
        if member is None:
            self.counts["strangers"] += 1
        elif member.supersedes(state, start, incarnation):
            self.change_member(member, CAUSE_OF_STATE[state], now, reporter, start, incarnation)
        elif state == SUSPECT == member.state and (start, incarnation) == member.start_and_incarnation:
            self.confirm_suspicion(member, reporter, now)

    # --- time -----------------------------------------------------------------------------------------------

    def next_at(self) -> int:
        """Returns the time of the next `tick`, in microseconds."""
        times = [self.next_probe]
        if self.probe is not None:
            times.append(self.probe.indirect_at if self.probe.indirect_sent_at is None else self.probe.end_at)
            times.append(self.probe.end_at)
        times += [m.suspicion_end for m in self.members.values() if m.state == SUSPECT]
        times += [relay[3] if relay[3] is not None else relay[4] for relay in self.relays.values()]
        return min(times)

    def tick(self, now: int) -> None:
        """Does what is due: nacks, indirect pings, the end of a probe, expired suspicions, the next probe."""
        if self.state != ALIVE:
            return
        due = self.next_at()
        if now < due:
            return
        late = now - due
        if late > PAUSE_SHARE * self.probe_settings.ack_timeout and not self.probe_settings.plain_swim:
            self.recover_from_pause(now, late)
            return
        self.send_nacks(now)
        probe = self.probe
        if probe is not None and probe.indirect_sent_at is None and now >= probe.indirect_at:
            probe.indirect_sent_at = now
            if probe.result is None:
                self.request_indirect(probe)
        if probe is not None and now >= probe.end_at:
            self.end_probe(now)
        for member in [m for m in self.members.values() if m.state == SUSPECT]:
            if now >= member.suspicion_end:
                self.change_member(member, SUSPICION_EXPIRED, now, self.number, *member.start_and_incarnation)
        if self.probe is None and now >= self.next_probe:
            self.begin_probe(now)

    def recover_from_pause(self, now: int, late: int) -> None:
        """Handles a tick that is `late` microseconds late, since the process was stopped or its clock jumped.

        The acks that seem overdue have not been read yet, and acting on them would cause false failures: the
        probe under way is dropped, and every suspicion is extended by the delay."""
        self.counts["stood still"] += 1
        self.adjust_health(1)
        self.probe, self.next_probe = None, now + self.probe_settings.ack_timeout
        self.relays = {}
        for member in self.members.values():
            if member.state == SUSPECT:
                member.suspicion_end += late

    # --- leaving --------------------------------------------------------------------------------------------

    def leave(self) -> None:
        """Announces an orderly shutdown to some members, so that nobody suspects this gateway.

        They disseminate it. Each call picks its members anew."""
        self.table_digest ^= self.row_digest(self.number)
        self.state = LEFT
        self.table_digest ^= self.row_digest(self.number)
        for number in self.shuffle([n for n, m in self.members.items() if m.is_present])[
            : 2 * HELPERS_PER_PROBE
        ]:
            self.send(wire.LEAVE, number, 0)
