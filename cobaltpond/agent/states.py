"""State machine of a build at a place, free of I/O; every pair of state and event is defined.

An order sets the desired state of a build: `run` it, `keep` it fetched and verified, or have it `gone`.
Orders carry a generation; older and repeated ones are ignored. A new desired state takes effect at once in
any state: the step in progress is not awaited, and its later result is an event that the new state ignores.
"""

ABSENT = "absent"
FETCHING = "fetching"
CHECKING = "checking"
HELD = "held"
STARTING = "starting"
UP = "up"
DRAINING = "draining"
STOPPING = "stopping"
RESTING = "resting"
FAILED = "failed"
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
MAX_CRASHES = 4  # consecutive crashes after which a build counts as failed
FIRST_RESTART_DELAY_US, MAX_RESTART_DELAY_US = 250_000, 4_000_000  # the delay doubles with each crash

# state: event -> (next state, *actions). "?" stands for the next state by the desired state, see
# `next_from_idle`. Events that are not listed are ignored.
TABLE = {
    ABSENT: {"run": (FETCHING, "fetch"), "keep": (FETCHING, "fetch")},
    FETCHING: {"gone": (ABSENT, "leave fetch"), "fetched": (CHECKING, "check"), "unfetched": (FAILED,)},
    CHECKING: {"gone": (ABSENT,), "checked": ("?",), "unsound": (FAILED,)},
    HELD: {"run": (STARTING, "start"), "gone": (ABSENT,)},
    # It has never been listed, so no drain is needed, and a rollback does not wait until it is ready.
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


def next_from_idle(desired: str) -> tuple:
    """(next state, *actions) from a state in which the build is complete and no process runs."""
    return {"run": (STARTING, "start"), "keep": (HELD,), "gone": (ABSENT,)}[desired]


class BuildSlot:
    """State of one build at one place. `crashes`: consecutive crashes; `why`: reason of the last failure."""

    def __init__(self, build: int):
        self.build, self.state, self.desired, self.crashes, self.why = build, ABSENT, "gone", 0, ""

    def handle_event(self, event: str, why: str = "") -> list[str]:
        """Applies an event and gives the actions to run. Raises ValueError for an unknown event."""
        if event not in EVENTS:
            raise ValueError(f"no event {event!r}")
        if event in DESIRED_STATES:
            if event == "run" and self.desired != "run" or self.state == FAILED:
                self.crashes = 0  # a new order starts a new count
            self.desired = event
        transition = TABLE[self.state].get(event)
        if transition is None:
            return []
        next_state, *actions = transition
        if why:
            self.why = why
        if "forgive" in actions:  # it has been up for a long time
            actions.remove("forgive")
            self.crashes = 0
        if "count crash" in actions:
            actions.remove("count crash")
            self.crashes += 1
        if next_state == "crash":
            self.crashes += 1
            next_state = FAILED if self.crashes >= MAX_CRASHES else RESTING
            actions += ["wait rested"] if next_state == RESTING else []
        elif next_state == "?":
            if self.desired == "run" and self.crashes >= MAX_CRASHES:
                next_state = FAILED
            elif self.desired == "run" and self.state == STOPPING and self.crashes:
                next_state, actions = RESTING, [*actions, "wait rested"]
            else:
                next_state, *idle_actions = next_from_idle(self.desired)
                actions = [*actions, *idle_actions]
        elif next_state == UP:
            self.why = ""
        self.state = next_state
        return actions

    def restart_delay(self) -> int:
        """Microseconds to wait before a restart: exponential backoff by the number of crashes."""
        return min(MAX_RESTART_DELAY_US, FIRST_RESTART_DELAY_US << max(0, self.crashes - 1))

    def adopt(self, listed: bool) -> list[str]:
        """Adopts a process that is still running after a restart of the agent; gives the actions to run.

        A process that has been listed counts as up and must be drained before it ends. When it counted as
        starting, it was killed without a drain before its successor was up (found by
        `tests/test_desk_with_agents.py`). The desired state is then applied as an ordinary event.
        """
        self.state = UP if listed else STARTING
        return (["list up", "wait steady"] if listed and self.desired == "run" else []) + self.handle_event(
            self.desired
        )


class BuildSlots:
    """All builds of one place, and the generation of the current order (-1: none yet)."""

    def __init__(self):
        self.generation, self.slots = -1, {}

    def apply_order(self, generation: int, desired_states: dict[int, str]) -> list[tuple[int, str]]:
        """Applies an order; gives (build, action) pairs, none for an old or repeated order.

        A build that the order does not name is to be gone.
        """
        if generation <= self.generation:
            return []
        self.generation = generation
        actions = []
        for build in sorted({*self.slots, *desired_states}):
            slot = self.slots.setdefault(build, BuildSlot(build))
            actions += [(build, action) for action in slot.handle_event(desired_states.get(build, "gone"))]
        self.drop_absent()
        return actions

    def handle_event(self, build: int, event: str, why: str = "") -> list[tuple[int, str]]:
        """Applies an event to a build; gives (build, action) pairs, none for an unknown build."""
        slot = self.slots.get(build)
        actions = [(build, action) for action in slot.handle_event(event, why)] if slot else []
        self.drop_absent()
        return actions

    def drop_absent(self) -> None:
        """Removes the builds that are absent and to be gone."""
        for build in [b for b, s in self.slots.items() if s.state == ABSENT and s.desired == "gone"]:
            del self.slots[build]

    def is_order_complete(self) -> bool:
        """True where every build has reached the state that the last order asks for."""
        completed_states = {"run": UP, "keep": HELD, "gone": ABSENT}
        return all(slot.state == completed_states[slot.desired] for slot in self.slots.values())
