"""What a gateway knows of another one, and every change of that: one table, one function. Free of I/O."""

UNHEARD, ALIVE, SUSPECT, FAILED, LEFT = "unheard", "alive", "suspect", "failed", "left"
# Of two words about one start and incarnation, the higher rank holds (SWIM, 4.2; ours: leaving ends a start).
RANK = {ALIVE: 0, SUSPECT: 1, FAILED: 2, LEFT: 3}
CODES = {name: code for code, name in enumerate((UNHEARD, ALIVE, SUSPECT, FAILED, LEFT))}
NAMES = {code: name for name, code in CODES.items()}

HEARD, SUSPECTED, SUSPICION_EXPIRED, REPORTED_FAILED, REPORTED_LEFT = (
    "heard",
    "doubted",
    "ran out",
    "told failed",
    "told left",
)
CAUSE_OF = {ALIVE: HEARD, SUSPECT: SUSPECTED, FAILED: REPORTED_FAILED, LEFT: REPORTED_LEFT}
NEXT = {
    UNHEARD: {HEARD: ALIVE, SUSPECTED: SUSPECT, REPORTED_FAILED: FAILED, REPORTED_LEFT: LEFT},
    ALIVE: {HEARD: ALIVE, SUSPECTED: SUSPECT, REPORTED_FAILED: FAILED, REPORTED_LEFT: LEFT},
    SUSPECT: {
        HEARD: ALIVE,
        SUSPECTED: SUSPECT,
        SUSPICION_EXPIRED: FAILED,
        REPORTED_FAILED: FAILED,
        REPORTED_LEFT: LEFT,
    },
    FAILED: {HEARD: ALIVE, SUSPECTED: SUSPECT, REPORTED_FAILED: FAILED, REPORTED_LEFT: LEFT},
    LEFT: {HEARD: ALIVE, SUSPECTED: SUSPECT, REPORTED_FAILED: FAILED, REPORTED_LEFT: LEFT},
}


class Member:
    """One gateway of the sheet as it is seen from here. `start`, `incarnation`: of the life last heard of;
    `facts`: what it said of itself last, a map; `reached`: how its last probe went (`reachability.py`); times
    in microseconds."""

    __slots__ = (
        "number",
        "zone",
        "state",
        "start",
        "incarnation",
        "since",
        "cause",
        "by",
        "suspecting",
        "doubted_at",
        "until",
        "facts",
        "stamp",
        "heard_at",
        "reached",
        "spent",
        "spent_at",
        "rows_sent",
        "missed_acks",
    )

    def __init__(self, number: int, zone: str, now: int):
        self.number, self.zone, self.state, self.start, self.incarnation = number, zone, UNHEARD, 0, 0
        self.since, self.cause, self.by = now, "", None
        self.suspecting, self.doubted_at, self.until = {}, 0, 0
        self.facts, self.stamp, self.heard_at, self.reached = {}, None, None, None
        self.spent, self.spent_at, self.rows_sent, self.missed_acks = 0, now, 0, 0

    @property
    def mark(self) -> tuple[int, int]:
        return self.start, self.incarnation

    @property
    def is_present(self) -> bool:
        """As far as we know: a suspect is there until its time has run out."""
        return self.state in (ALIVE, SUSPECT)

    def supersedes(self, state: str, start: int, incarnation: int) -> bool:
        """Does this word hold against what is known?"""
        if self.state == UNHEARD:
            return True
        return (start, incarnation, RANK[state]) > (self.start, self.incarnation, RANK[self.state])


def change_state(member: Member, cause: str, now: int, by: int | None, start: int, incarnation: int) -> str:
    """The only place where a state changes. Gives the state before. Raises RuntimeError on what the table
    lacks: a fault of ours, never of a peer (words of peers are ranked before they come here)."""
    before = member.state
    if cause not in NEXT[before]:
        raise RuntimeError(f"a member that is {before} cannot be {cause}")
    member.state = NEXT[before][cause]
    if member.state != before or start != member.start:
        member.since = now
    if start != member.start:  # another life: nothing known of the last one holds
        member.facts, member.stamp = {}, None
    member.start, member.incarnation, member.cause, member.by = start, incarnation, cause, by
    member.suspecting, member.rows_sent = {}, 0
    return before
