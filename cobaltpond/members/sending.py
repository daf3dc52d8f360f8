"""Builds the datagrams of a view, and chooses which table rows each one carries (SWIM's dissemination)."""

from cobaltpond.members import wire
from cobaltpond.members.states import (
    FAILED,
    LEFT,
    STATE_CODES,
    SUSPECT,
    UNHEARD,
)


class Sending:
    """The sending part of `view.View`. The attributes that it uses are those of that class; it is never
    instantiated by itself."""

    def encode_table_row(self, number: int) -> bytes:
        """Encodes the row of a member, or of this gateway, for a datagram.

        A suspect's row names one of the members that suspect it, each in turn, so that receivers can count
        the independent confirmations."""
        if number == self.number:
            return wire.encode_row(number, self.start, self.incarnation, self.state, number)
        member = self.members[number]
        if member.state == SUSPECT and member.suspecting:
            suspecting = list(member.suspecting)
            reporter = suspecting[member.rows_sent % len(suspecting)]
            member.rows_sent += 1
        else:
            reporter = member.reporter if member.reporter is not None else self.number
        return wire.encode_row(number, *member.start_and_incarnation, member.state, reporter)

    def choose_rows(self, receiver: int, room: int, differs: bool) -> bytes:
        """Returns the encoded rows for a datagram that has `room` bytes left.

        First comes the receiver's own row if it is suspect, failed or left (Lifeguard's buddy system: a
        suspect learns of it by the next datagram), then the updates sent least often, then, where the table
        digests differ, the rest of the table in turn (anti-entropy)."""
        max_rows, chosen = room // wire.ROW_SIZE, []
        target = self.members[receiver]
        if target.state in (SUSPECT, FAILED, LEFT) and not (
            self.probe_settings.plain_swim and target.state == SUSPECT
        ):
            chosen.append(receiver)
        limit = self.max_transmissions()
        for number in sorted(self.pending_updates, key=self.pending_updates.get):
            if len(chosen) >= max_rows:
                break
            if number not in chosen:
                chosen.append(number)
                self.pending_updates[number] += 1
        for number in [n for n, times in self.pending_updates.items() if times >= limit]:
            del self.pending_updates[number]
        if differs:
            for _ in self.members:
                if len(chosen) >= max_rows:
                    break
                number = self.sync_order[self.sync_cursor % len(self.sync_order)]
                self.sync_cursor += 1
                if number not in chosen and self.members[number].state != UNHEARD:
                    chosen.append(number)
        return b"".join(self.encode_table_row(number) for number in chosen[:max_rows])

    def send(
        self,
        kind: int,
        receiver: int,
        sequence: int,
        subject: int | None = None,
        differs=False,
        extra_fields: bytes = b"",
    ) -> None:
        """Appends a datagram to `outbox`.

        `subject`: the member that an indirect ping, its ack or its nack is about; `differs`: the receiver's
        table digest differs from ours; `extra_fields`: further encoded ones. Raises ValueError if they
        do not fit."""
        self.stamp += 1
        facts = {
            **self.self_description,
            "start": self.start,
            "incarnation": self.incarnation,
            "state": STATE_CODES[self.state],
        }
        fields = wire.encode_facts(facts) + wire.encode_field(wire.DIGEST, wire.pack(">I", self.table_digest))
        fields += extra_fields
        if subject is not None:
            fields += wire.encode_field(wire.SUBJECT, wire.pack(">H", subject))
        if self.news is not None:
            fields += wire.encode_news(*self.news)
        if self.drains:
            fields += wire.encode_drains(self.drains[: wire.MAX_DRAINS])
        rows = self.choose_rows(receiver, wire.MAX_BYTES - wire.HEADER_SIZE - len(fields) - 2, differs)
        if rows:
            fields += wire.encode_field(wire.ROWS, rows)
        self.outbox.append(
            (receiver, wire.encode_datagram(kind, self.number, receiver, sequence, self.stamp, fields))
        )

    def ping(self, receiver: int) -> int:
        """Sends a ping and returns its sequence number."""
        self.sequence = (self.sequence + 1) & 0xFFFFFFFF
        self.counts["pings"] += 1
        self.send(wire.PING, receiver, self.sequence)
        return self.sequence
