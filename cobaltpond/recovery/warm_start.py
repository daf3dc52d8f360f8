"""Warm start: which donors a starting gateway asks about instances, and which answers it accepts. Does no
I/O.

A donor is a settled gateway. Only evidence against an instance is requested, sent and accepted: that it is
slow, failing or silent, and its load. A report that makes an instance look better than an unknown one would
send the traffic of every starting gateway there. A row identifies instance, build and start by one digest, so
that a report about an earlier start matches nothing. The weight of a row falls with its age.
"""

from zlib import crc32

# `DONORS_ASKED`: number of donors asked. `MAX_ATTEMPTS`: requests to each. `ASK_INTERVAL_US`: time between
# two requests to one that has not answered.
DONORS_ASKED, MAX_ATTEMPTS, ASK_INTERVAL_US = 2, 3, 100_000
MAX_ROWS = 48  # rows of one answer; the least notable ones are left out
NOTABLE_LATENCY_RATIO, NOTABLE_FAULT_SHARE = 1.5, 0.2  # an instance is reported from these on
SILENT = 1  # bit of a row's flags: the instance does not answer


def start_mark(id: str, build: int, start) -> int:
    """Returns a digest that identifies one start of one instance, equally at all gateways; `start` is the
    list's own value for it.
    """
    return crc32(f"{id} {build} {start}".encode())


def notable_rows(rows) -> list[tuple]:
    """Returns the rows that are worth sending, the worst first and at most `MAX_ROWS`.

    Each row is (digest of the start, latency ratio, load, faults, flags, age in microseconds).
    """
    notable = [
        row
        for row in rows
        if row[4] & SILENT or row[3] >= NOTABLE_FAULT_SHARE or row[1] >= NOTABLE_LATENCY_RATIO
    ]
    return sorted(notable, key=lambda row: (-(row[4] & SILENT), -row[3], -row[1], row[0]))[:MAX_ROWS]


class WarmStart:
    """The requests and answers of one starting gateway.

    Rows older than `validity_us` are ignored; requests end `max_duration` microseconds after `now`.
    """

    def __init__(self, validity_us: int, random_source, now: int, max_duration: int = 1_000_000):
        self.validity_us = validity_us
        self.random_source = random_source
        self.deadline = now + max_duration
        self.next_at = now
        self.asked, self.rows, self.known = {}, {}, {}
        self.counts = {"asked": 0, "answers": 0, "rows": 0, "stale": 0}

    def due_requests(self, now: int, donors: list[int]) -> list[int]:
        """Returns the donors to ask now, out of `donors`, which report themselves as settled.

        The result is empty if there is no donor: a starting gateway does not wait for one.
        """
        if now < self.next_at or self.is_over(now):
            return []
        self.next_at = now + ASK_INTERVAL_US
        pending = [n for n, attempts in self.asked.items() if attempts is not None and n in donors]
        unasked = [n for n in donors if n not in self.asked]
        while unasked and len(pending) + self.answers < DONORS_ASKED:
            pending.append(unasked.pop(self.random_source.randbelow(len(unasked))))
        recipients = [n for n in pending if self.asked.get(n, 0) < MAX_ATTEMPTS]
        for number in recipients:
            self.asked[number] = self.asked.get(number, 0) + 1
        self.counts["asked"] += len(recipients)
        return recipients

    @property
    def answers(self) -> int:
        """The number of donors that have answered."""
        return sum(attempts is None for attempts in self.asked.values())

    def is_over(self, now: int) -> bool:
        """Returns whether enough donors have answered or the time has run out."""
        return self.answers >= DONORS_ASKED or now >= self.deadline

    def apply_response(self, sender: int, rows: list[tuple]) -> None:
        """Adds one datagram of an answer, which may consist of several; `rows` as `notable_rows` returns
        them.

        Rows of a sender that was not asked are ignored.
        """
        if sender not in self.asked:
            return
        if self.asked[sender] is not None:
            self.asked[sender] = None
            self.counts["answers"] += 1
        for mark, latency_ratio, load, faults, flags, age in rows:
            weight = 1 - age / self.validity_us
            if weight <= 0:
                self.counts["stale"] += 1
                continue
            self.counts["rows"] += 1
            self.rows.setdefault(mark, {})[sender] = (latency_ratio, load, faults, flags, weight)

    def accepted_rows(self, marks: dict[int, str]) -> list[tuple]:
        """Returns rows (instance id, latency ratio, load, faults, silent) and clears them.

        No value is better than that of an unknown instance. `marks` maps the digest of each listed start to
        its instance id. Of several reports the worst value counts, but an instance is silent only if all
        donors that report on it say so.
        """
        accepted = []
        for mark in sorted(self.rows):
            if mark not in marks:
                self.counts["stale"] += 1  # the instance has restarted or is no longer listed
                continue
            reports = self.rows[mark].values()
            latency_ratio = max(
                1 + (max(1.0, latency_ratio) - 1) * weight for latency_ratio, _, _, _, weight in reports
            )
            load = max(load * weight for _, load, _, _, weight in reports)
            faults = max(faults * weight for _, _, faults, _, weight in reports)
            silent = all(flags & SILENT and weight > 0.5 for _, _, _, flags, weight in reports)
            accepted.append((marks[mark], latency_ratio, load, faults, silent))
        self.rows = {}
        return accepted
