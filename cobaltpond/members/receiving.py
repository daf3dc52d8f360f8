"""Reads the datagrams that come in to a view, and answers them."""

from cobaltpond.members import wire
from cobaltpond.members.probing import NACK_SHARE
from cobaltpond.members.reachability import DIRECT, HELPED
from cobaltpond.members.states import CODES, LEFT

RELAYED = 64  # questions for others that are open here
EACH_PERIOD = 24  # datagrams of one sender that are read in a period


class Receiving:
    """A part of `view.View`, which has the state."""

    def receive_datagram(self, now: int, sender: int, data: bytes) -> None:
        """One datagram from the address of a member. Raises wire.Odd on what is not read; nothing of it is
        kept."""
        member = self.members.get(sender)
        if member is None:
            raise wire.DatagramError("stranger")
        if (
            now - member.spent_at >= self.probe_settings.period
        ):  # guards against floods: before anything is worked out
            member.spent, member.spent_at = 0, now
        member.spent += 1
        if member.spent > EACH_PERIOD:
            self.counts["flood"] += 1
            return
        kind, sequence, stamp, fields = wire.decode_datagram(sender, self.number, data)
        facts, rows = wire.facts_of(fields), wire.rows_of(fields)
        about, digest = wire.number_of(fields, wire.ABOUT, ">H"), wire.number_of(fields, wire.DIGEST, ">I")
        news, drains, trial = wire.news_of(fields), wire.drains_of(fields), wire.trial_of(fields)
        warm, leases = wire.warm_of(fields), wire.leases_of(fields)
        self.counts["heard"] += 1
        self.adjust_health(member.missed_acks)
        member.missed_acks = 0
        fresh = (
            facts["start"] > member.start
            or facts["start"] == member.start
            and (member.stamp is None or stamp > member.stamp)
        )
        self.apply_row(now, sender, facts["start"], facts["incarnation"], wire.NAMES[facts["state"]], sender)
        if fresh and facts["start"] == member.start:
            member.facts, member.stamp, member.heard_at = facts, stamp, now
            if self.on_gossip is not None:
                self.on_gossip(member, news, drains)
        elif facts["start"] < member.start:
            self.counts["old"] += 1  # a former life's, late or replayed: its word is not taken
            return
        else:
            self.counts["old"] += 1
        for told in rows:
            self.apply_row(now, *told)
        if facts["state"] == CODES[LEFT]:
            return
        differs = digest is not None and digest != self.hash
        if kind == wire.PING:
            self.send(wire.ACK, sender, sequence, differs=differs)
        elif kind == wire.ACK:
            self.acked(now, sender, sequence, about)
        elif kind == wire.INDIRECT_PING and about in self.members and len(self.relays) < RELAYED:
            relayed = self.ping(about)
            wait = self.probe_settings.wait
            self.relays[relayed] = (
                sender,
                sequence,
                about,
                now + int(NACK_SHARE * wait),
                now + self.probe_settings.period,
            )
        elif kind in (wire.TRIAL_ASK, wire.TRIAL_REPLY) and self.on_trial_message is not None:
            self.on_trial_message(kind, sender, sequence, trial)
        elif kind in (wire.WARM_ASK, wire.WARM_REPLY) and self.on_warm_start_message is not None:
            self.on_warm_start_message(kind, sender, sequence, warm)
        elif kind in (wire.LEASE_ASK, wire.LEASE_REPLY) and self.on_lease_message is not None:
            self.on_lease_message(kind, sender, sequence, leases)
        elif (
            kind == wire.NACK
            and self.probe is not None
            and sequence == self.probe.sequence
            and (sender in self.probe.helpers)
        ):
            self.probe.nacks[sender] = True

    def acked(self, now: int, sender: int, sequence: int, about: int | None) -> None:
        relay = self.relays.get(sequence)
        if relay is not None and relay[2] == sender and about is None:
            del self.relays[sequence]
            self.send(wire.ACK, relay[0], relay[1], sender)
            return
        probe = self.probe
        if probe is None or sequence != probe.sequence:
            return
        if about is None and sender == probe.member.number:
            probe.reached = DIRECT
        elif about == probe.member.number and sender in probe.helpers and probe.reached is None:
            probe.reached = HELPED
