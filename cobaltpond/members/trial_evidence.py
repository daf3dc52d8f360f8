"""What a gateway that begins in mid-trial asks others for: their counts of the trial. Free of I/O.

Two that are there are asked, of our choice. An answer is weighed by its age and handed on as a tally, which
the module never takes for hits of its own. Both may have counted the same hits (a judge counts what others
tell): of two answers the larger holds, they are not added up.
"""

ASKED, TIMES, EVERY = 2, 3, 500_000  # members; times each; so long apart, until it answers


class TrialEvidence:
    """`window`: so old a count is worth nothing, in microseconds; `post`: as
    `GatewayDecisionHost.post_event`; `began`: our own start."""

    def __init__(self, window: int, post, chance, began: int):
        self.window, self.post_event, self.chance, self.began = window, post, chance, began
        self.build, self.asked, self.next_at, self.taken = None, {}, None, {}
        self.counts = {"asked": 0, "answers": 0, "tallies": 0}

    def update_release(self, now: int, build: int, phase: str, age: int) -> None:
        """Our own desk speaks. A trial that began before we did is one that we have missed the first part
        of."""
        if phase != "trial":
            self.build, self.asked, self.next_at = None, {}, None
        elif build != self.build:
            missed = now - age < self.began
            self.build, self.asked, self.taken = build, {}, {}
            self.next_at = now if missed else None

    def due_requests(self, now: int, living) -> list[int]:
        """Whom to ask now. Who has gone meanwhile is replaced by another."""
        if self.next_at is None or now < self.next_at:
            return []
        self.next_at = now + EVERY
        waiting = [n for n, times in self.asked.items() if n in living and times is not None]
        answered = sum(times is None for times in self.asked.values())
        fresh = [n for n in living if n not in self.asked]
        while fresh and len(waiting) + answered < ASKED:
            waiting.append(fresh.pop(self.chance.randbelow(len(fresh))))
        to = [n for n in waiting if self.asked.get(n, 0) < TIMES]
        for number in to:
            self.asked[number] = self.asked.get(number, 0) + 1
        if answered >= ASKED or not to and living:
            self.next_at = None
        self.counts["asked"] += len(to)
        return to

    def apply_answer(self, sender: int, rows: list[tuple]) -> None:
        """`rows`: (build, path group, hits, errored, age of the newest). Taken once from each that was
        asked."""
        if self.asked.get(sender) is None:
            return
        self.asked[sender] = None
        self.counts["answers"] += 1
        for build, group, hits, errored, age in rows:
            share = max(0.0, 1 - age / self.window)
            count, bad = int(hits * share), int(min(errored, hits) * share)
            known, known_bad = self.taken.get((build, group), (0, 0))
            if count > known:
                self.taken[build, group] = count, max(bad, known_bad)
                self.counts["tallies"] += 1
                self.post_event("on_tally", build, group, count - known, max(0, bad - known_bad), 0, age)
