"""What a gateway that begins asks of living ones about instances, and what of the answers it believes. Free
of I/O.

Only what speaks against an instance is asked, told and believed: that it is slow, full, failing or silent. A
word that makes an instance look better than nothing known would send everybody there. A row names instance,
build and start by one mark, so that a word about a former start finds nobody; its weight falls with its age.
"""

from zlib import crc32

ASKED, TIMES, EVERY = 2, 3, 100_000  # donors; times each; so long apart, until one answers
ROWS_MOST = 48  # the most remarkable ones are told, no more
PACE, FAULTY = 1.5, 0.2  # from here on an instance is worth a word
SILENT = 1  # flag


def start_mark(id: str, build: int, start) -> int:
    """One start of one instance, the same at all gateways: `start` is the list's own mark."""
    return crc32(f"{id} {build} {start}".encode())


def notable_rows(rows) -> list[tuple]:
    """`rows`: (mark, pace, load, faults, flags, age); those worth a word, the worst first."""
    worth = [row for row in rows if row[4] & SILENT or row[3] >= FAULTY or row[1] >= PACE]
    return sorted(worth, key=lambda row: (-(row[4] & SILENT), -row[3], -row[1], row[0]))[:ROWS_MOST]


class WarmStart:
    """`window`: so old a word is worth nothing, microseconds. `longest`: no asking after so long."""

    def __init__(self, window: int, chance, now: int, longest: int = 1_000_000):
        self.window, self.chance, self.end, self.next_at = window, chance, now + longest, now
        self.asked, self.rows, self.known = {}, {}, {}
        self.counts = {"asked": 0, "answers": 0, "rows": 0, "stale": 0}

    def due_requests(self, now: int, donors: list[int]) -> list[int]:
        """Whom to ask now, of those that say of themselves that they are settled. Nobody: there is no donor,
        and nobody waits for one."""
        if now < self.next_at or self.is_over(now):
            return []
        self.next_at = now + EVERY
        waiting = [n for n, times in self.asked.items() if times is not None and n in donors]
        fresh = [n for n in donors if n not in self.asked]
        while fresh and len(waiting) + self.answers < ASKED:
            waiting.append(fresh.pop(self.chance.randbelow(len(fresh))))
        to = [n for n in waiting if self.asked.get(n, 0) < TIMES]
        for number in to:
            self.asked[number] = self.asked.get(number, 0) + 1
        self.counts["asked"] += len(to)
        return to

    @property
    def answers(self) -> int:
        return sum(times is None for times in self.asked.values())

    def is_over(self, now: int) -> bool:
        return self.answers >= ASKED or now >= self.end

    def apply_answer(self, sender: int, rows: list[tuple]) -> None:
        """One datagram of an answer; it may have more than one. `rows` as `notable_rows` gives them."""
        if sender not in self.asked:
            return
        if self.asked[sender] is not None:
            self.asked[sender] = None
            self.counts["answers"] += 1
        for mark, pace, load, faults, flags, age in rows:
            weight = 1 - age / self.window
            if weight <= 0:
                self.counts["stale"] += 1
                continue
            self.counts["rows"] += 1
            self.rows.setdefault(mark, {})[sender] = (pace, load, faults, flags, weight)

    def accepted_rows(self, marks: dict[int, str]) -> list[tuple]:
        """(instance id, pace, load, faults, silent), worse than unknown in each or not at all; `marks`: those
        that are listed now, mark -> id. Of two words the worse holds; silent is one only if all who speak of
        it say so."""
        out = []
        for mark in sorted(self.rows):
            if mark not in marks:
                self.counts["stale"] += 1  # it has restarted since, or has gone
                continue
            said = self.rows[mark].values()
            pace = max(1 + (max(1.0, pace) - 1) * weight for pace, _, _, _, weight in said)
            load = max(load * weight for _, load, _, _, weight in said)
            faults = max(faults * weight for _, _, faults, _, weight in said)
            silent = all(flags & SILENT and weight > 0.5 for _, _, _, flags, weight in said)
            out.append((marks[mark], pace, load, faults, silent))
        self.rows = {}
        return out
