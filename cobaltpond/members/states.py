"""The membership states of one gateway and the table of their transitions. Does no I/O."""

UNHEARD, ALIVE, SUSPECT, FAILED, LEFT = "unheard", "alive", "suspect", "failed", "left"
# Of two reports on one start and incarnation the higher rank wins (SWIM, 4.2). Unlike in SWIM, leaving ends a
# start for good.
STATE_RANK = {ALIVE: 0, SUSPECT: 1, FAILED: 2, LEFT: 3}
STATE_CODES = {name: code for code, name in enumerate((UNHEARD, ALIVE, SUSPECT, FAILED, LEFT))}
STATE_NAMES = {code: name for name, code in STATE_CODES.items()}

HEARD = "heard"
SUSPECTED = "doubted"
SUSPICION_EXPIRED = "ran out"
REPORTED_FAILED = "told failed"
REPORTED_LEFT = "told left"
# Maps a reported state to the cause of the transition.
CAUSE_OF_STATE = {ALIVE: HEARD, SUSPECT: SUSPECTED, FAILED: REPORTED_FAILED, LEFT: REPORTED_LEFT}
NEXT_STATE = {
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
    """One gateway of the settings as this gateway sees it. Times are in microseconds.

    `start` and `incarnation` are those last heard of, `facts` is the member's latest description of itself,
    `probe_result` the outcome of the last probe (`reachability.py`), None while there is none. `suspecting`
    holds the numbers of the members that suspect it, `reporter` the number of the gateway that reported the
    current state."""

    __slots__ = (
        "number",
        "zone",
        "state",
        "start",
        "incarnation",
        "since",
        "cause",
        "reporter",
        "suspecting",
        "suspected_at",
        "suspicion_end",
        "facts",
        "stamp",
        "heard_at",
        "probe_result",
        "period_datagrams",
        "period_began",
        "rows_sent",
        "missed_acks",
    )

    def __init__(self, number: int, zone: str, now: int):
        self.number, self.zone, self.state, self.start, self.incarnation = number, zone, UNHEARD, 0, 0
        self.since, self.cause, self.reporter = now, "", None
        self.suspecting, self.suspected_at, self.suspicion_end = {}, 0, 0
        self.facts, self.stamp, self.heard_at, self.probe_result = {}, None, None, None
        self.period_datagrams, self.period_began, self.rows_sent, self.missed_acks = 0, now, 0, 0

    @property
    def start_and_incarnation(self) -> tuple[int, int]:
        """(start, incarnation): a greater pair is a later start of the member, or its later word on the same
        one."""
        return self.start, self.incarnation

    @property
    def is_present(self) -> bool:
        """Whether the member counts as running. A suspect does until its suspicion expires."""
        return self.state in (ALIVE, SUSPECT)

    def supersedes(self, state: str, start: int, incarnation: int) -> bool:
        """Returns whether a report with these values overrides what is known of the member."""
        if self.state == UNHEARD:
            return True
        return (start, incarnation, STATE_RANK[state]) > (
            self.start,
            self.incarnation,
            STATE_RANK[self.state],
        )


def change_state(
    member: Member, cause: str, now: int, reporter: int | None, start: int, incarnation: int
) -> str:
    """Applies `cause` to the member and returns its previous state. All state changes happen here.

    Raises RuntimeError on a transition that the table lacks. That is a fault of this program, never of a
    peer: reports of peers are ranked by `Member.supersedes` first."""
    before = member.state
    if cause not in NEXT_STATE[before]:
        raise RuntimeError(f"a member that is {before} cannot be {cause}")
    member.state = NEXT_STATE[before][cause]
    if member.state != before or start != member.start:
        member.since = now
    if start != member.start:  # Facts of the previous start do not apply to the new process.
        member.facts, member.stamp = {}, None
    member.start, member.incarnation, member.cause, member.reporter = start, incarnation, cause, reporter
    member.suspecting, member.rows_sent = {}, 0
    return before
