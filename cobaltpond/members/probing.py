"""Whom a view probes, in which order, who is asked to help, and what a probe without an answer says (SWIM,
4.3).

A part of `view.View`, which has the state.
"""

from cobaltpond.members import wire
from cobaltpond.members.reachability import LOST, MUTE
from cobaltpond.members.states import ALIVE, FAILED, SUSPECT, SUSPECTED, UNHEARD, Member

HELPERS = 3  # asked for who does not answer (SWIM's k)
NACK_SHARE = 0.8  # of the wait: a helper says that it has heard nothing either
REACHES = 3  # a period, while nobody is heard; else one


class Probe:
    """The one that is under way. `asked`: when helpers were asked, None before."""

    def __init__(self, member: Member, sequence: int, began: int, wait: int, period: int):
        self.member, self.sequence, self.asked, self.start = member, sequence, None, member.start
        self.ask_at, self.end_at, self.helpers, self.nacks, self.reached = (
            began + wait,
            began + period,
            {},
            {},
            None,
        )


class Probing:
    def nack(self, now: int) -> None:
        for sequence, (asker, asked, about, nack_at, end) in list(self.relays.items()):
            if now >= end:
                del self.relays[sequence]
            elif nack_at is not None and now >= nack_at:
                self.relays[sequence] = asker, asked, about, None, end
                if not self.probe_settings.plain:
                    self.send(wire.NACK, asker, asked, about)

    def begin_probe(self, now: int) -> None:
        self.probe_absent(now)
        member = self.next_of_round()
        if member is None:
            self.next_probe = now + self.probe_settings.period
            return
        period = self.slowed(self.probe_settings.period)
        self.next_probe = now + period
        self.probe = Probe(member, 0, now, self.slowed(self.probe_settings.wait), period)
        self.probe.sequence = self.ping(member.number)

    def next_of_round(self) -> Member | None:
        """Each member that is there once a round, in an order drawn anew each time: a failed one is met
        within two rounds (SWIM, 4.3)."""
        for _ in range(2):
            while self.round:
                member = self.members[self.round.pop()]
                if member.is_present:
                    return member
            self.round = self.drawn([n for n, m in self.members.items() if m.is_present])
        return None

    def drawn(self, numbers: list) -> list:
        for last in range(len(numbers) - 1, 0, -1):
            other = self.chance.randbelow(last + 1)
            numbers[last], numbers[other] = numbers[other], numbers[last]
        return numbers

    def probe_absent(self, now: int) -> None:
        """Asks who was never heard, or has failed: so a newcomer finds whoever lives, and a split heals."""
        alone = not any(m.is_present for m in self.members.values())
        for _ in range(REACHES if alone else 1):
            while self.reach_round and self.members[self.reach_round[-1]].state not in (UNHEARD, FAILED):
                self.reach_round.pop()
            if not self.reach_round:
                self.reach_round = self.drawn(
                    [n for n, m in self.members.items() if m.state in (UNHEARD, FAILED)]
                )
            if self.reach_round:
                self.ping(self.reach_round.pop())

    def request_indirect(self, probe: Probe) -> None:
        """Helpers of every zone there is, as far as their number goes: what a zone's silence means is told by
        who hears it and who does not."""
        numbers = self.drawn(
            [n for n, m in self.members.items() if m.state == ALIVE and m is not probe.member]
        )
        seen, first = {self.zones[self.number]: True}, []
        for number in numbers:
            if self.zones[number] not in seen:
                seen[self.zones[number]] = True
                first.append(number)
        helpers = [*first, *[n for n in numbers if n not in first]][:HELPERS]
        for helper in helpers:
            probe.helpers[helper] = True
            self.counts["asked"] += 1
            self.send(wire.INDIRECT_PING, helper, probe.sequence, probe.member.number)

    def end_probe(self, now: int) -> None:
        probe, self.probe = self.probe, None
        member = probe.member
        if probe.reached is not None:
            self.adjust_health(-1)
            member.reached = probe.reached
            return
        if member.start != probe.start:  # asked was its former life, which could not answer any more
            return
        self.counts["probes failed"] += 1
        if not probe.helpers:
            self.adjust_health(1)
        for helper in probe.helpers:  # charged once it is heard again: what a dead helper does not
            if helper not in probe.nacks:  # say is no sign of our own health (ours; Lifeguard charges it)
                self.members[helper].missed_acks = 1
        member.reached = LOST if probe.nacks else MUTE
        if member.state == ALIVE:
            self.alter(member, SUSPECTED, now, self.number, *member.mark)
        elif member.state == SUSPECT:
            self.confirm_suspicion(member, self.number, now)
