"""Reads the datagrams that come in to a view, and answers them."""

from cobaltpond.members import wire
from cobaltpond.members.probing import NACK_SHARE
from cobaltpond.members.reachability import DIRECT, INDIRECT
from cobaltpond.members.states import LEFT, STATE_CODES

MAX_RELAYS = 64  # indirect pings under way here on behalf of other members
MAX_DATAGRAMS_PER_PERIOD = 24  # read from one sender in a protocol period


class Receiving:
    """The receiving part of `view.View`. The attributes that it uses are those of that class; it is never
    instantiated by itself."""

    def receive_datagram(self, now: int, sender: int, data: bytes) -> None:
        """Handles one datagram from the address of member `sender`.

        Raises wire.DatagramError if it cannot be read; nothing of it is applied then. Datagrams beyond
        MAX_DATAGRAMS_PER_PERIOD are dropped and counted."""
        member = self.members.get(sender)
        if member is None:
            raise wire.DatagramError("stranger")
        # The limit applies before any decoding, so that a flood from one sender costs little CPU time.
        if now - member.period_began >= self.probe_settings.period:
            member.period_datagrams, member.period_began = 0, now
        member.period_datagrams += 1
        if member.period_datagrams > MAX_DATAGRAMS_PER_PERIOD:
            self.counts["flood"] += 1
            return
        kind, sequence, stamp, fields = wire.decode_datagram(sender, self.number, data)
        facts, rows = wire.decode_facts(fields), wire.decode_rows(fields)
        subject = wire.decode_number(fields, wire.SUBJECT, ">H")
        digest = wire.decode_number(fields, wire.DIGEST, ">I")
        news, drains, trial = wire.decode_news(fields), wire.decode_drains(fields), wire.decode_trial(fields)
        warm, leases = wire.decode_warm(fields), wire.decode_leases(fields)
        self.counts["heard"] += 1
        self.adjust_health(member.missed_acks)
        member.missed_acks = 0
        is_newest = (
            facts["start"] > member.start
            or facts["start"] == member.start
            and (member.stamp is None or stamp > member.stamp)
        )
        self.apply_row(
            now, sender, facts["start"], facts["incarnation"], wire.STATE_NAMES[facts["state"]], sender
        )
        if is_newest and facts["start"] == member.start:
            member.facts, member.stamp, member.heard_at = facts, stamp, now
            if self.on_gossip is not None:
                self.on_gossip(member, news, drains)
        elif facts["start"] < member.start:
            self.counts["old"] += 1  # A late or replayed datagram of a previous start is ignored as a whole.
            return
        else:
            self.counts["old"] += 1
        for row in rows:
            self.apply_row(now, *row)
        if facts["state"] == STATE_CODES[LEFT]:
            return
        differs = digest is not None and digest != self.table_digest
        if kind == wire.PING:
            self.send(wire.ACK, sender, sequence, differs=differs)
        elif kind == wire.ACK:
            self.handle_ack(now, sender, sequence, subject)
        elif kind == wire.INDIRECT_PING and subject in self.members and len(self.relays) < MAX_RELAYS:
            relay_sequence = self.ping(subject)
            ack_timeout = self.probe_settings.ack_timeout
            self.relays[relay_sequence] = (
                sender,
                sequence,
                subject,
                now + int(NACK_SHARE * ack_timeout),
                now + self.probe_settings.period,
            )
        elif kind in (wire.TRIAL_REQUEST, wire.TRIAL_REPLY) and self.on_trial_message is not None:
            self.on_trial_message(kind, sender, sequence, trial)
        elif kind in (wire.WARM_REQUEST, wire.WARM_REPLY) and self.on_warm_start_message is not None:
            self.on_warm_start_message(kind, sender, sequence, warm)
        elif kind in (wire.LEASE_REQUEST, wire.LEASE_REPLY) and self.on_lease_message is not None:
            self.on_lease_message(kind, sender, sequence, leases)
        elif (
            kind == wire.NACK
            and self.probe is not None
            and sequence == self.probe.sequence
            and (sender in self.probe.helpers)
        ):
            self.probe.nacks[sender] = True

    def handle_ack(self, now: int, sender: int, sequence: int, subject: int | None) -> None:
        """Forwards the ack of a relayed ping to the asking member, or records it for our own probe.

        `subject` is the probed member where a helper sends the ack, None where the probed member itself
        does."""
        relay = self.relays.get(sequence)
        if relay is not None and relay[2] == sender and subject is None:
            del self.relays[sequence]
            self.send(wire.ACK, relay[0], relay[1], sender)
            return
        probe = self.probe
        if probe is None or sequence != probe.sequence:
            return
        if subject is None and sender == probe.member.number:
            probe.result = DIRECT
        elif subject == probe.member.number and sender in probe.helpers and probe.result is None:
            probe.result = INDIRECT
