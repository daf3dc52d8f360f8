"""Lets a gateway that starts in mid-trial ask other members for their counts of the trial. Does no I/O.

Two present members are asked, chosen at random. An answer is weighted by its age and posted as a tally, which
the decisions never take for hits of their own. Both members may have counted the same hits, since a judge
also counts what others report to it: of two answers the larger count is used, and they are not added up.
"""

# Members asked; requests to each of them; microseconds between two requests to one that has not answered.
MEMBERS_ASKED, MAX_REQUESTS, RETRY_INTERVAL_US = 2, 3, 500_000


class TrialEvidence:
    """The requests and answers of one gateway.

    `max_evidence_age`: age in microseconds from which a count is worth nothing; `post`: as
    `GatewayDecisionHost.post_event`; `began`: when this gateway started, in microseconds."""

    def __init__(self, max_evidence_age: int, post, chance, began: int):
        self.max_evidence_age = max_evidence_age
        self.post_event = post
        self.chance = chance
        self.began = began
        # requests: number of a member -> how often it was asked, None once it has answered;
        # counted: (build, path group) -> (hits, errored) that were posted
        self.build, self.requests, self.next_at, self.counted = None, {}, None, {}
        self.counts = {"asked": 0, "answers": 0, "tallies": 0}

    def update_release(self, now: int, build: int, phase: str, age: int) -> None:
        """Takes the desk's release state, whose stage began `age` microseconds ago. Requests start if the
        stage in which a trial is first seen began before this gateway did, which then has missed a part of
        the trial."""
        if phase != "trial":
            self.build, self.requests, self.next_at = None, {}, None
        elif build != self.build:
            missed = now - age < self.began
            self.build, self.requests, self.counted = build, {}, {}
            self.next_at = now if missed else None

    def due_requests(self, now: int, living) -> list[int]:
        """Returns the numbers of the members to ask now. One that is no longer among the `living` is
        replaced."""
        if self.next_at is None or now < self.next_at:
            return []
        self.next_at = now + RETRY_INTERVAL_US
        waiting = [n for n, times in self.requests.items() if n in living and times is not None]
        answered = sum(times is None for times in self.requests.values())
        not_asked = [n for n in living if n not in self.requests]
        while not_asked and len(waiting) + answered < MEMBERS_ASKED:
            waiting.append(not_asked.pop(self.chance.randbelow(len(not_asked))))
        receivers = [n for n in waiting if self.requests.get(n, 0) < MAX_REQUESTS]
        for number in receivers:
            self.requests[number] = self.requests.get(number, 0) + 1
        if answered >= MEMBERS_ASKED or not receivers and living:
            self.next_at = None
        self.counts["asked"] += len(receivers)
        return receivers

    def apply_response(self, sender: int, rows: list[tuple]) -> None:
        """Posts tallies from the first answer of each member that was asked.

        `rows`: (build, path group, hits, errored, age of the newest hit in microseconds)."""
        if self.requests.get(sender) is None:
            return
        self.requests[sender] = None
        self.counts["answers"] += 1
        for build, group, hits, errored, age in rows:
            weight = max(0.0, 1 - age / self.max_evidence_age)
            count, errored_count = int(hits * weight), int(min(errored, hits) * weight)
            known, known_errored = self.counted.get((build, group), (0, 0))
            if count > known:
                self.counted[build, group] = count, max(errored_count, known_errored)
                self.counts["tallies"] += 1
                self.post_event(
                    "on_platform_counts",
                    build,
                    group,
                    count - known,
                    max(0, errored_count - known_errored),
                    0,
                    age,
                )
