"""Builds the datagrams of a view: which rows of the table each one carries."""

from cobaltpond.members import wire
from cobaltpond.members.states import (
    CODES,
    FAILED,
    LEFT,
    SUSPECT,
    UNHEARD,
)


class Sending:
    """A part of `view.View`, which has the state."""

    def row_of(self, number: int) -> bytes:
        if number == self.number:
            return wire.row(number, self.start, self.incarnation, self.state, number)
        member = self.members[number]
        if member.state == SUSPECT and member.suspecting:  # in turn: each of those who doubt is heard of
            doubters = list(member.suspecting)
            by = doubters[member.rows_sent % len(doubters)]
            member.rows_sent += 1
        else:
            by = member.by if member.by is not None else self.number
        return wire.row(number, *member.mark, member.state, by)

    def rows_for(self, receiver: int, room: int, differs: bool) -> bytes:
        """The buddy's row first (Lifeguard: who is suspect learns of it by the next datagram), then what is
        told the least often, then, where the views differ, the table in turn."""
        most, chosen = room // wire.ROW_SIZE, []
        target = self.members[receiver]
        if target.state in (SUSPECT, FAILED, LEFT) and not (
            self.probe_settings.plain and target.state == SUSPECT
        ):
            chosen.append(receiver)
        limit = self.tellings()
        for number in sorted(self.pending_updates, key=self.pending_updates.get):
            if len(chosen) >= most:
                break
            if number not in chosen:
                chosen.append(number)
                self.pending_updates[number] += 1
        for number in [n for n, times in self.pending_updates.items() if times >= limit]:
            del self.pending_updates[number]
        if differs:
            for _ in self.members:
                if len(chosen) >= most:
                    break
                number = self.order[self.cursor % len(self.order)]
                self.cursor += 1
                if number not in chosen and self.members[number].state != UNHEARD:
                    chosen.append(number)
        return b"".join(self.row_of(number) for number in chosen[:most])

    def send(
        self,
        kind: int,
        receiver: int,
        sequence: int,
        about: int | None = None,
        differs=False,
        more: bytes = b"",
    ) -> None:
        self.stamp += 1
        facts = {
            **self.self_description,
            "start": self.start,
            "incarnation": self.incarnation,
            "state": CODES[self.state],
        }
        fields = wire.self_field(facts) + wire.field(wire.DIGEST, wire.pack(">I", self.hash))
        fields += more
        if about is not None:
            fields += wire.field(wire.ABOUT, wire.pack(">H", about))
        if self.news is not None:
            fields += wire.news_field(*self.news)
        if self.drains:
            fields += wire.drains_field(self.drains[: wire.DRAINS_MOST])
        rows = self.rows_for(receiver, wire.MAX_BYTES - wire.HEADER_SIZE - len(fields) - 2, differs)
        if rows:
            fields += wire.field(wire.ROWS, rows)
        self.out.append(
            (receiver, wire.encode_datagram(kind, self.number, receiver, sequence, self.stamp, fields))
        )

    def ping(self, receiver: int) -> int:
        self.sequence = (self.sequence + 1) & 0xFFFFFFFF
        self.counts["pings"] += 1
        self.send(wire.PING, receiver, self.sequence)
        return self.sequence
