"""What an agent does about one build in its place: a state machine free of I/O, every (state, event) defined.

Orders are wishes: `run` it, `keep` it fetched and sound, or have it `gone`. They carry a generation; older
and repeated ones change nothing. A wish is followed at once from any state: nothing waits for the step under
way, and what that step brings later is an event that its state ignores.
"""

ABSENT, FETCHING, CHECKING, HELD, STARTING, UP, DRAINING, STOPPING, RESTING, FAILED = (
    "absent",
    "fetching",
    "checking",
    "held",
    "starting",
    "up",
    "draining",
    "stopping",
    "resting",
    "failed",
)
STATES = (ABSENT, FETCHING, CHECKING, HELD, STARTING, UP, DRAINING, STOPPING, RESTING, FAILED)
DESIRED_STATES = ("run", "keep", "gone")
EVENTS = (
    *DESIRED_STATES,
    "fetched",
    "unfetched",
    "checked",
    "unsound",
    "ready",
    "late",
    "exited",
    "drained",
    "overdue",
    "rested",
    "steady",
)
MAX_CRASHES = 4  # in a row, before it counts as failed
FIRST_REST, MOST_REST = 250_000, 4_000_000  # microseconds; doubles

# state: event -> (next state, actions). "?" is where the wish leads: see `next_from_idle`. What is not named
# is ignored.
TABLE = {
    ABSENT: {"run": (FETCHING, "fetch"), "keep": (FETCHING, "fetch")},
    FETCHING: {"gone": (ABSENT, "leave fetch"), "fetched": (CHECKING, "check"), "unfetched": (FAILED,)},
    CHECKING: {"gone": (ABSENT,), "checked": ("?",), "unsound": (FAILED,)},
    HELD: {"run": (STARTING, "start"), "gone": (ABSENT,)},
    # it has never been listed: no drain is owed, and a take-back does not wait for it to become ready
    STARTING: {
        "keep": (STOPPING, "kill"),
        "gone": (STOPPING, "kill"),
        "ready": (UP, "list up", "wait steady"),
        "late": (STOPPING, "kill", "count crash"),
        "exited": ("crash",),
    },
    UP: {
        "keep": (DRAINING, "list draining", "wait drained"),
        "gone": (DRAINING, "list draining", "wait drained"),
        "exited": ("crash", "list gone"),
        "steady": (UP, "forgive"),
    },
    DRAINING: {
        "run": (UP, "list up", "wait steady"),
        "drained": (STOPPING, "stop", "wait overdue"),
        "exited": ("?", "list gone"),
    },
    STOPPING: {"overdue": (STOPPING, "kill"), "exited": ("?", "list gone")},
    RESTING: {"keep": (HELD,), "gone": (ABSENT,), "rested": ("?",)},
    FAILED: {"run": (FETCHING, "fetch"), "keep": (FETCHING, "fetch"), "gone": (ABSENT,)},
}


def next_from_idle(wish: str) -> tuple:
    """From a state in which the build is whole and no process runs."""
    return {"run": (STARTING, "start"), "keep": (HELD,), "gone": (ABSENT,)}[wish]


class BuildSlot:
    """One build in one place. `handle_event` gives the actions of an event."""

    def __init__(self, build: int):
        self.build, self.state, self.desired, self.crashes, self.why = build, ABSENT, "gone", 0, ""

    def handle_event(self, event: str, why: str = "") -> list[str]:
        if event not in EVENTS:
            raise ValueError(f"no event {event!r}")
        if event in DESIRED_STATES:
            if event == "run" and self.desired != "run" or self.state == FAILED:
                self.crashes = 0  # a new order is a new beginning
            self.desired = event
        row = TABLE[self.state].get(event)
        if row is None:
            return []
        to, *actions = row
        if why:
            self.why = why
        if "forgive" in actions:  # up for long: the next crash is the first of a row
            actions.remove("forgive")
            self.crashes = 0
        if "count crash" in actions:
            actions.remove("count crash")
            self.crashes += 1
        if to == "crash":
            self.crashes += 1
            to = FAILED if self.crashes >= MAX_CRASHES else RESTING
            actions += ["wait rested"] if to == RESTING else []
        elif to == "?":
            if self.desired == "run" and self.crashes >= MAX_CRASHES:
                to = FAILED
            elif self.desired == "run" and self.state == STOPPING and self.crashes:
                to, actions = RESTING, [*actions, "wait rested"]
            else:
                to, *more = next_from_idle(self.desired)
                actions = [*actions, *more]
        elif to == UP:
            self.why = ""
        self.state = to
        return actions

    def restart_delay(self) -> int:
        return min(MOST_REST, FIRST_REST << max(0, self.crashes - 1))

    def adopt(self, listed: bool) -> list[str]:
        """After a restart of the agent: its process is found alive. One that has been listed is up, and a
        drain is owed to it: taken for one that starts, it was killed without one, before its successor was
        there (found by `tests/test_together.py`). What is wished now decides, through the ordinary events."""
        self.state = UP if listed else STARTING
        return (["list up", "wait steady"] if listed and self.desired == "run" else []) + self.handle_event(
            self.desired
        )


class BuildSlots:
    """All builds of one place, and the generation of the order that is followed."""

    def __init__(self):
        self.generation, self.slots = -1, {}

    def apply_order(self, generation: int, wishes: dict[int, str]) -> list[tuple[int, str]]:
        """(build, action) pairs; none for an order that is old or has been heard."""
        if generation <= self.generation:
            return []
        self.generation = generation
        actions = []
        for build in sorted({*self.slots, *wishes}):
            slot = self.slots.setdefault(build, BuildSlot(build))
            actions += [(build, action) for action in slot.handle_event(wishes.get(build, "gone"))]
        self.drop_absent()
        return actions

    def handle_event(self, build: int, event: str, why: str = "") -> list[tuple[int, str]]:
        slot = self.slots.get(build)
        actions = [(build, action) for action in slot.handle_event(event, why)] if slot else []
        self.drop_absent()
        return actions

    def drop_absent(self) -> None:
        for build in [b for b, s in self.slots.items() if s.state == ABSENT and s.desired == "gone"]:
            del self.slots[build]

    def is_order_complete(self) -> bool:
        """Is all as the last order says?"""
        done = {"run": UP, "keep": HELD, "gone": ABSENT}
        return all(slot.state == done[slot.desired] for slot in self.slots.values())
