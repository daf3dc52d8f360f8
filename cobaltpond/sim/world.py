"""Time, what is due, and processes: the operating system of a simulated network.

Time jumps from one event to the next; events of one moment happen in the order in which they were entered.
Every draw comes from a stream named by the seed and its use, so that one more draw in one place moves nothing
elsewhere. Each event that the outside could see goes into a digest: two runs are the same if their digests
are.
"""

import hashlib
import heapq
from itertools import count

from cobaltpond.loop.random_source import seeded_random

TURN_LEAST, TURN_MOST = 20, 120  # microseconds of work that a turn of a loop takes
CLOSING_TURNS = 1000


class SimulationStuckError(Exception):
    """The world cannot go on: no event is due, or too many for one moment."""


class World:
    """`seed`: whatever `seeded_random` takes. `time`: microseconds, the same for all but those whose clocks
    drift."""

    def __init__(self, seed, begin: int = 1_000_000_000):
        self.seed, self.time, self.heap, self.number = seed, begin, [], count()
        self.begin, self.processes, self.pids = begin, {}, count(100)
        self.digest, self.events, self.watch = hashlib.blake2b(digest_size=16), 0, None
        self.starts = {}  # how often a name was started
        self.troubles = []  # what no part may do: an exception nobody caught, a leak

    def chance(self, use: str):
        return seeded_random(f"{self.seed}/{use}")

    def at(self, when: int, call) -> None:
        heapq.heappush(self.heap, (max(when, self.time), next(self.number), call))

    def after(self, delay: int, call) -> None:
        self.at(self.time + delay, call)

    def record_event(self, *what) -> None:
        """One event for the digest, and for whoever watches."""
        self.events += 1
        self.digest.update(f"{self.time}{what}".encode())
        if self.watch is not None:
            self.watch(self.time, what)

    def step(self) -> None:
        if not self.heap:
            raise SimulationStuckError("nothing is due")
        when, _, call = heapq.heappop(self.heap)
        self.time = when
        call()

    def run(self, over, until: int) -> None:
        """Steps until `over()` or the time. Raises SimulationStuckError."""
        while not over():
            if self.time > until:
                raise SimulationStuckError(f"not over after {until - self.begin} us")
            self.step()

    def alive(self) -> list:
        return [p for p in self.processes.values() if p.code is None]


class Process:
    """One simulated process: its loop gets a turn when something is ready for it or due."""

    def __init__(self, world: World, name: str, argv: list, mark: str = "", output: str = ""):
        self.world, self.name, self.argv, self.mark, self.output = world, name, argv, mark, output
        self.pid, self.code = next(world.pids), None
        self.start = world.starts[name] = world.starts.get(name, -1) + 1
        self.chance = world.chance(f"process/{name}/{self.start}")
        self.kernel = self.loop = self.main = self.log = None
        self.free_at, self.due, self.closing, self.frozen = 0, None, 0, False
        self.result = None
        world.processes[self.pid] = self

    # --- its turns ------------------------------------------------------------------------------------------

    def drive(self, loop, main) -> None:
        self.loop, self.main = loop, main
        main.watched = True
        self.schedule_turn()

    def wanted(self) -> int | None:
        """When its loop has something to do, on the world's clock."""
        if self.kernel.ready or self.kernel.pending_signals or self.closing:
            return self.world.time
        at = self.loop.next_turn()
        return None if at is None else self.kernel.world_time(at)

    def schedule_turn(self) -> None:
        """Something about it may have changed: see that its next turn comes in time."""
        if self.code is not None or self.loop is None or self.frozen:
            return
        at = self.wanted()
        if at is None:
            return
        at = max(at, self.free_at, self.world.time)
        if self.due is None or at < self.due:
            self.due = at
            self.world.at(at, lambda: self.turn(at))

    def turn(self, at: int) -> None:
        if self.due != at or self.code is not None or self.frozen:
            return  # another one took its place, or nobody is there any more
        self.due = None
        self.free_at = at + self.chance.randrange(TURN_LEAST, TURN_MOST)
        try:
            if self.closing:
                self.loop.cancel_all()
            self.loop.turn()
        except Exception as trouble:  # what a handler of tasks that died let through
            self.fail(trouble)
            return
        if self.code is not None:
            return
        if self.main.done and not self.closing:
            self.closing = 1
            self.result = self.main.result
        elif self.closing:
            self.closing += 1
            if self.closing > CLOSING_TURNS:
                self.world.troubles.append(
                    f"{self.name}: tasks do not end: {[t.name for t in self.loop.tasks][:5]}"
                )
        if self.closing and (not self.loop.tasks or self.closing > CLOSING_TURNS):
            if self.main.error is not None:
                self.fail(self.main.error)
            else:
                self.exit(0)
            return
        self.schedule_turn()

    def fail(self, trouble: Exception) -> None:
        """A traceback and exit code 1."""
        self.failure = trouble
        if self.log is not None:
            self.log.error("ended by an exception", exc_info=(type(trouble), trouble, trouble.__traceback__))
        self.exit(1)

    # --- its end --------------------------------------------------------------------------------------------

    def exit(self, code: int) -> None:
        if self.code is not None:
            return
        self.code = code
        self.world.record_event("exit", self.name, code)
        self.kernel.process_ended(killed=code < 0)
        if self.loop is not None:
            for task in list(self.loop.tasks):
                try:
                    task.generator.close()
                except BaseException:  # noqa: S110 - its `finally` asks a world that is gone
                    pass
        self.loop = self.main = None

    def signal(self, name: str) -> None:
        if self.code is not None:
            return
        self.world.record_event("signal", self.name, name)
        if name == "KILL":
            self.exit(-9)
        elif name == "STOP":
            self.frozen = True
        elif name == "CONT":
            if self.frozen:
                self.frozen, self.due = False, None
                self.schedule_turn()
        elif self.kernel.signal_handler is None:
            self.exit({"TERM": -15, "INT": -2, "HUP": -1}[name])
        else:
            self.kernel.pending_signals.append(name)
            self.schedule_turn()
