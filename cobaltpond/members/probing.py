"""SWIM's failure detector: picks the member to probe, asks helpers and evaluates the result (SWIM, 4.3).

A mixin of `view.View`, whose constructor sets and documents the state.
"""

from cobaltpond.members import wire
from cobaltpond.members.reachability import NACKED, NO_REPLY
from cobaltpond.members.states import ALIVE, FAILED, SUSPECT, SUSPECTED, UNHEARD, Member

HELPERS_PER_PROBE = 3  # members asked for an indirect ping of one that does not answer (SWIM's k)
NACK_SHARE = 0.8  # of the ack timeout, after which a helper that has no answer sends a nack
ABSENT_PINGS_WHEN_ALONE = 3  # pings of absent members a period while no member is present, otherwise one


class Probe:
    """The probe under way. Times are in microseconds.

    `indirect_sent_at`: when the ack timeout ended, at which helpers are asked unless the member has answered;
    None before. `result`: DIRECT or INDIRECT, None while nobody has answered."""

    def __init__(self, member: Member, sequence: int, began: int, ack_timeout: int, period: int):
        self.member, self.sequence, self.indirect_sent_at, self.start = member, sequence, None, member.start
        self.indirect_at = began + ack_timeout
        self.end_at = began + period
        self.helpers = {}
        self.nacks = {}
        self.result = None


class Probing:
    """The probing part of `view.View`. The attributes that it uses are those of that class; it is never
    instantiated by itself."""

    def send_nacks(self, now: int) -> None:
        """Sends a nack for each relayed ping whose time is up without an answer; drops ended relays."""
        for sequence, (asker, asker_sequence, about, nack_at, end) in list(self.relays.items()):
            if now >= end:
                del self.relays[sequence]
            elif nack_at is not None and now >= nack_at:
                self.relays[sequence] = asker, asker_sequence, about, None, end
                if not self.probe_settings.plain_swim:
                    self.send(wire.NACK, asker, asker_sequence, about)

    def begin_probe(self, now: int) -> None:
        """Starts the protocol period: pings the next present member, if there is one, and absent members."""
        self.probe_absent(now)
        member = self.next_in_round()
        if member is None:
            self.next_probe = now + self.probe_settings.period
            return
        period = self.scale_by_health(self.probe_settings.period)
        self.next_probe = now + period
        self.probe = Probe(member, 0, now, self.scale_by_health(self.probe_settings.ack_timeout), period)
        self.probe.sequence = self.ping(member.number)

    def next_in_round(self) -> Member | None:
        """Returns the next present member of the round, None if nobody is present.

        A round holds each present member once, shuffled anew for each round, so that a failed member is
        probed within two rounds (SWIM, 4.3)."""
        for _ in range(2):
            while self.probe_round:
                member = self.members[self.probe_round.pop()]
                if member.is_present:
                    return member
            self.probe_round = self.shuffle([n for n, m in self.members.items() if m.is_present])
        return None

    def shuffle(self, numbers: list) -> list:
        """Shuffles the list in place and returns it."""
        for last in range(len(numbers) - 1, 0, -1):
            other = self.chance.randbelow(last + 1)
            numbers[last], numbers[other] = numbers[other], numbers[last]
        return numbers

    def probe_absent(self, now: int) -> None:
        """Pings members that were never heard or have failed, so that a newcomer finds running members and a
        network partition heals."""
        alone = not any(m.is_present for m in self.members.values())
        for _ in range(ABSENT_PINGS_WHEN_ALONE if alone else 1):
            while self.absent_round and self.members[self.absent_round[-1]].state not in (UNHEARD, FAILED):
                self.absent_round.pop()
            if not self.absent_round:
                self.absent_round = self.shuffle(
                    [n for n, m in self.members.items() if m.state in (UNHEARD, FAILED)]
                )
            if self.absent_round:
                self.ping(self.absent_round.pop())

    def request_indirect(self, probe: Probe) -> None:
        """Asks helpers for indirect pings, one from each other zone first.

        Which helpers reach the member and which do not distinguishes the failure of a zone from a network
        partition."""
        numbers = self.shuffle(
            [n for n, m in self.members.items() if m.state == ALIVE and m is not probe.member]
        )
        zones_used, one_per_zone = {self.zones[self.number]: True}, []
        for number in numbers:
            if self.zones[number] not in zones_used:
                zones_used[self.zones[number]] = True
                one_per_zone.append(number)
        helpers = [*one_per_zone, *[n for n in numbers if n not in one_per_zone]][:HELPERS_PER_PROBE]
        for helper in helpers:
            probe.helpers[helper] = True
            self.counts["asked"] += 1
            self.send(wire.INDIRECT_PING, helper, probe.sequence, probe.member.number)

    def end_probe(self, now: int) -> None:
        """Evaluates the probe at the end of its period: an unanswered one raises or confirms a suspicion."""
        probe, self.probe = self.probe, None
        member = probe.member
        if probe.result is not None:
            self.adjust_health(-1)
            member.probe_result = probe.result
            return
        # The ping went to the member's previous start, which can no longer answer.
        if member.start != probe.start:
            return
        self.counts["probes failed"] += 1
        if not probe.helpers:
            self.adjust_health(1)
        # A missing nack counts against our health only once its helper is heard again: the silence of a dead
        # helper is no sign of our own trouble. Lifeguard counts every missing nack at once.
        for helper in probe.helpers:
            if helper not in probe.nacks:
                self.members[helper].missed_acks = 1
        member.probe_result = NACKED if probe.nacks else NO_REPLY
        if member.state == ALIVE:
            self.change_member(member, SUSPECTED, now, self.number, *member.start_and_incarnation)
        elif member.state == SUSPECT:
            self.confirm_suspicion(member, self.number, now)
