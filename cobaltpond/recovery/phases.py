"""What a gateway that begins knows, and what it may do by it: one table, one function. Free of I/O.

The door is not the phases' matter beyond the first one: a gateway is never shut for want of knowledge. What
the table holds back is what others would rest on: a vote that says *on*, samples for the judges, counts and
figures for those who begin later, a snapshot.
"""

BLANK, HEARING, WARMING, SERVING, SETTLED = "blank", "hearing", "warming", "serving", "settled"
ORDER = (BLANK, HEARING, WARMING, SERVING, SETTLED)
HEARD, ALL_HEARD, WARMED, IN_STEP, TIME_UP, STOOD_STILL = (
    "heard",
    "all heard",
    "warmed",
    "in step",
    "its time is up",
    "stood still",
)

# Blank knows the sheet, perhaps a kept list; hearing has one of list and news, or neither in time; warming
# has both and asks others what they know; serving goes by what it sees; settled has seen enough for others to
# rest on.
NEXT = {
    BLANK: {HEARD: HEARING, ALL_HEARD: WARMING, TIME_UP: HEARING},
    HEARING: {ALL_HEARD: WARMING, TIME_UP: WARMING},
    WARMING: {WARMED: SERVING, TIME_UP: SERVING, STOOD_STILL: WARMING},
    SERVING: {IN_STEP: SETTLED, TIME_UP: SETTLED, STOOD_STILL: WARMING},
    SETTLED: {STOOD_STILL: WARMING},
}
ADMIT, DIAL, ASK, TELL, VOTE_BACK, VOTE_ON, ANSWER, KEEP = (
    "admit",
    "dial",
    "ask",
    "tell",
    "vote back",
    "vote on",
    "answer",
    "keep",
)
PERMISSIONS = {
    BLANK: (),
    HEARING: (ADMIT, DIAL),
    WARMING: (ADMIT, DIAL, ASK, TELL, VOTE_BACK),
    SERVING: (ADMIT, DIAL, TELL, VOTE_BACK),
    SETTLED: (ADMIT, DIAL, TELL, VOTE_BACK, VOTE_ON, ANSWER, KEEP),
}


class PhaseMachine:
    """One start of a gateway. `longest`: phase -> how long it may stay there, microseconds; none for SETTLED.
    `moved`: called with (phase before, cause) at each change."""

    def __init__(self, now: int, longest: dict[str, int], moved=lambda before, cause: None):
        self.phase, self.since, self.began, self.longest, self.on_change = BLANK, now, now, longest, moved
        self.transitions = [(now, BLANK, "started")]

    def apply_cause(self, now: int, cause: str) -> bool:
        """The one place where the phase changes. What a phase has no use for changes nothing; False then."""
        to = NEXT[self.phase].get(cause)
        if to is None:
            return False
        before, self.phase, self.since = self.phase, to, now
        self.transitions = [*self.transitions[-31:], (now, to, cause)]
        self.on_change(before, cause)
        return True

    def tick(self, now: int) -> None:
        """Nobody stays longer in a phase than it may; each one that is due is left, however late this is
        called."""
        while self.phase in self.longest and now - self.since >= self.longest[self.phase]:
            self.apply_cause(self.since + self.longest[self.phase], TIME_UP)

    def is_allowed(self, what: str) -> bool:
        return what in PERMISSIONS[self.phase]

    def status(self, now: int) -> dict:
        return {
            "phase": self.phase,
            "since_us": now - self.since,
            "up_us": now - self.began,
            "may": list(PERMISSIONS[self.phase]),
            "story": [[at - self.began, phase, cause] for at, phase, cause in self.transitions],
        }


class ServiceWindow:
    """Is a gateway in step: were nearly all its hits of the last second answered in time? `least`: of the
    second's hits so many must be there to speak of a share; with fewer, time alone decides."""

    SHARE, WINDOW, LEAST = 0.95, 1_000_000, 8

    def __init__(self):
        self.rows = []  # (at, answered by then, delivered by then)

    def record(self, now: int, answered: int, delivered: int) -> None:
        self.rows.append((now, answered, delivered))
        while len(self.rows) > 2 and self.rows[1][0] <= now - self.WINDOW:
            del self.rows[0]

    def is_in_step(self) -> bool:
        """Of a whole window."""
        (first, answered, delivered), (last, all_answered, all_delivered) = self.rows[0], self.rows[-1]
        count = all_answered - answered
        return last - first >= self.WINDOW and (
            count < self.LEAST or all_delivered - delivered >= self.SHARE * count
        )
