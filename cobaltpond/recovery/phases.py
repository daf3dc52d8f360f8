"""The phases of a starting gateway and what each one permits: one transition table, one function. Does no
I/O.

Missing knowledge never makes a gateway refuse traffic: hits are permitted from the second phase on.
`ADMIT_HITS` and `DIAL_INSTANCES` are shown on the status page and not enforced here. The other permissions
are enforced, since others rely on what they cover: votes to advance a release, samples for the judges,
warm-start answers for gateways that start later, and snapshots.
"""

BLANK, HEARING, WARMING, SERVING, SETTLED = "blank", "hearing", "warming", "serving", "settled"
PHASE_ORDER = (BLANK, HEARING, WARMING, SERVING, SETTLED)
SOURCE_KNOWN = "heard"
ALL_SOURCES_KNOWN = "all heard"
WARM_START_DONE = "warmed"
CAUGHT_UP = "in step"
TIMED_OUT = "its time is up"
PROCESS_STALLED = "stood still"

# A blank gateway knows its settings and perhaps a stored list. A hearing (receiving) one has either the list
# or the desk's release state, or received neither in time. A warming one has both, or did not get them in
# time, and asks other gateways what they know. A serving one relies on what it observes itself. A settled one
# has observed enough for others to rely on.
TRANSITIONS = {
    BLANK: {SOURCE_KNOWN: HEARING, ALL_SOURCES_KNOWN: WARMING, TIMED_OUT: HEARING},
    HEARING: {ALL_SOURCES_KNOWN: WARMING, TIMED_OUT: WARMING},
    WARMING: {WARM_START_DONE: SERVING, TIMED_OUT: SERVING, PROCESS_STALLED: WARMING},
    SERVING: {CAUGHT_UP: SETTLED, TIMED_OUT: SETTLED, PROCESS_STALLED: WARMING},
    SETTLED: {PROCESS_STALLED: WARMING},
}
ADMIT_HITS = "admit"
DIAL_INSTANCES = "dial"
REQUEST_WARM_START = "ask"
SEND_SAMPLES = "tell"
VOTE_BACK = "vote back"
VOTE_ON = "vote on"
ANSWER_WARM_START = "answer"
WRITE_SNAPSHOT = "keep"
PERMISSIONS = {
    BLANK: (),
    HEARING: (ADMIT_HITS, DIAL_INSTANCES),
    WARMING: (ADMIT_HITS, DIAL_INSTANCES, REQUEST_WARM_START, SEND_SAMPLES, VOTE_BACK),
    SERVING: (ADMIT_HITS, DIAL_INSTANCES, SEND_SAMPLES, VOTE_BACK),
    SETTLED: (
        ADMIT_HITS,
        DIAL_INSTANCES,
        SEND_SAMPLES,
        VOTE_BACK,
        VOTE_ON,
        ANSWER_WARM_START,
        WRITE_SNAPSHOT,
    ),
}


class PhaseMachine:
    """The recovery phase of one start of a gateway.

    `max_durations` maps a phase to the longest time in it, in microseconds; SETTLED has none. `on_change` is
    called with (previous phase, cause) at each change.
    """

    def __init__(self, now: int, max_durations: dict[str, int], on_change=lambda previous_phase, cause: None):
        self.phase = BLANK
        self.since = now
        self.started_at = now
        self.max_durations = max_durations
        self.on_change = on_change
        self.transitions = [(now, BLANK, "started")]

    def apply_cause(self, now: int, cause: str) -> bool:
        """Applies a cause and returns whether the phase changed; a cause without a transition is ignored.

        The phase changes nowhere else.
        """
        next_phase = TRANSITIONS[self.phase].get(cause)
        if next_phase is None:
            return False
        previous_phase, self.phase, self.since = self.phase, next_phase, now
        self.transitions = [*self.transitions[-31:], (now, next_phase, cause)]
        self.on_change(previous_phase, cause)
        return True

    def tick(self, now: int) -> None:
        """Leaves each phase whose maximum time has passed, several at once if the call comes late."""
        while self.phase in self.max_durations and now - self.since >= self.max_durations[self.phase]:
            self.apply_cause(self.since + self.max_durations[self.phase], TIMED_OUT)

    def is_allowed(self, permission: str) -> bool:
        """Returns whether the current phase grants this permission."""
        return permission in PERMISSIONS[self.phase]

    def status(self, now: int) -> dict:
        """Returns the fields of the status page; times in microseconds, transitions relative to the start."""
        return {
            "phase": self.phase,
            "since_us": now - self.since,
            "up_us": now - self.started_at,
            "may": list(PERMISSIONS[self.phase]),
            "story": [[at - self.started_at, phase, cause] for at, phase, cause in self.transitions],
        }


class ServiceWindow:
    """Determines whether nearly all hits of the last second were delivered.

    With fewer than `MIN_HITS` hits in the window their share is no evidence, and a full window is enough.
    """

    MIN_DELIVERED_SHARE, WINDOW_US, MIN_HITS = 0.95, 1_000_000, 8

    def __init__(self):
        self.samples = []  # (time, total answered, total delivered)

    def record(self, now: int, answered: int, delivered: int) -> None:
        """Adds the totals of answered and delivered hits at this time, in microseconds."""
        self.samples.append((now, answered, delivered))
        while len(self.samples) > 2 and self.samples[1][0] <= now - self.WINDOW_US:
            del self.samples[0]

    def is_caught_up(self) -> bool:
        """Returns whether the window is complete and its share of delivered hits is high enough. Needs one
        sample.
        """
        (first, answered, delivered), (last, all_answered, all_delivered) = self.samples[0], self.samples[-1]
        window_hits = all_answered - answered
        return last - first >= self.WINDOW_US and (
            window_hits < self.MIN_HITS or all_delivered - delivered >= self.MIN_DELIVERED_SHARE * window_hits
        )
