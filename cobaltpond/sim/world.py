"""The virtual clock, the event queue and the simulated processes.

Time jumps from one event to the next; events of the same moment run in the order in which they were
scheduled. Every random draw comes from a stream named by the seed and its purpose, so that one more draw in
one place changes nothing elsewhere. Each event that is visible from outside a process goes into a digest: two
runs are the same if their digests are.
"""

import hashlib
import heapq
from itertools import count

from cobaltpond.loop.random_source import seeded_random

# Range of the processing time of one turn of an event loop.
MIN_TURN_US, MAX_TURN_US = 20, 120
MAX_CLOSING_TURNS = 1000  # turns in which cancelled tasks must end before they count as a leak


class SimulationStuckError(Exception):
    """The simulation cannot go on: no event is scheduled, or the time limit has passed."""


class World:
    """The virtual clock and its event queue.

    `seed` is whatever `seeded_random` takes. `time` is in microseconds; processes whose clocks drift see
    another time. `troubles` collects, as text, what no process may do. `watch`, where set, is called with
    each event.
    """

    def __init__(self, seed, begin: int = 1_000_000_000):
        self.seed, self.time, self.event_queue, self.sequence = seed, begin, [], count()
        self.begin, self.processes, self.pids = begin, {}, count(100)
        self.digest, self.events, self.watch = hashlib.blake2b(digest_size=16), 0, None
        self.start_counts = {}  # process name -> number of its last start, from 0
        self.troubles = []  # uncaught exceptions and task leaks

    def chance(self, purpose: str):
        """Return a new random stream for one purpose; the same seed and purpose give the same draws."""
        return seeded_random(f"{self.seed}/{purpose}")

    def at(self, when: int, callback) -> None:
        """Schedule a callback at a time in microseconds, or now where that is past."""
        heapq.heappush(self.event_queue, (max(when, self.time), next(self.sequence), callback))

    def after(self, delay: int, callback) -> None:
        """Schedule a callback after a delay in microseconds."""
        self.at(self.time + delay, callback)

    def record_event(self, *event) -> None:
        """Add one event to the digest and pass it to the watcher."""
        self.events += 1
        self.digest.update(f"{self.time}{event}".encode())
        if self.watch is not None:
            self.watch(self.time, event)

    def step(self) -> None:
        """Run the next event. Raises SimulationStuckError where none is scheduled."""
        if not self.event_queue:
            raise SimulationStuckError("no event is scheduled")
        when, _, callback = heapq.heappop(self.event_queue)
        self.time = when
        callback()

    def run(self, is_done, until: int) -> None:
        """Step until `is_done()`. Raises SimulationStuckError where the time passes `until` first."""
        while not is_done():
            if self.time > until:
                raise SimulationStuckError(f"not over after {until - self.begin} us")
            self.step()

    def alive(self) -> list:
        """Return the processes that have not exited, in order of their start."""
        return [p for p in self.processes.values() if p.code is None]


class Process:
    """One simulated process: its event loop gets a turn when something is ready or a timer is due.

    `code` is the exit code, None while it runs; `start` counts the earlier processes of the same name;
    `failure`, where set, is the exception that ended it.
    """

    def __init__(self, world: World, name: str, argv: list, mark: str = "", output: str = ""):
        self.world, self.name, self.argv, self.mark, self.output = world, name, argv, mark, output
        self.pid, self.code = next(world.pids), None
        self.start = world.start_counts[name] = world.start_counts.get(name, -1) + 1
        self.rng = world.chance(f"process/{name}/{self.start}")
        self.kernel = self.loop = self.main = self.log = None
        self.busy_until, self.scheduled_turn, self.closing_turns, self.stopped = 0, None, 0, False
        self.result = None
        world.processes[self.pid] = self

    # --- turns ----------------------------------------------------------------------------------------------

    def drive(self, loop, main) -> None:
        """Run a loop until its main task ends."""
        self.loop, self.main = loop, main
        main.watched = True
        self.schedule_turn()

    def next_turn_time(self) -> int | None:
        """Return when the loop has something to do, in microseconds of the world's clock, or None."""
        if self.kernel.ready or self.kernel.pending_signals or self.closing_turns:
            return self.world.time
        at = self.loop.next_turn()
        return None if at is None else self.kernel.world_time(at)

    def schedule_turn(self) -> None:
        """Schedule the next turn anew, after anything that may make it earlier."""
        if self.code is not None or self.loop is None or self.stopped:
            return
        at = self.next_turn_time()
        if at is None:
            return
        at = max(at, self.busy_until, self.world.time)
        if self.scheduled_turn is None or at < self.scheduled_turn:
            self.scheduled_turn = at
            self.world.at(at, lambda: self.turn(at))

    def turn(self, at: int) -> None:
        """Run one turn of the loop, and end the process once the main task and all others are done."""
        if self.scheduled_turn != at or self.code is not None or self.stopped:
            return  # an earlier turn has replaced this one, or the process cannot run
        self.scheduled_turn = None
        self.busy_until = at + self.rng.randrange(MIN_TURN_US, MAX_TURN_US)
        try:
            if self.closing_turns:
                self.loop.cancel_all()
            self.loop.turn()
        except Exception as exception:  # raised out of a task's failure handler
            self.fail(exception)
            return
        if self.code is not None:
            return
        if self.main.done and not self.closing_turns:
            self.closing_turns = 1
            self.result = self.main.result
        elif self.closing_turns:
            self.closing_turns += 1
            if self.closing_turns > MAX_CLOSING_TURNS:
                self.world.troubles.append(
                    f"{self.name}: tasks do not end: {[t.name for t in self.loop.tasks][:5]}"
                )
        if self.closing_turns and (not self.loop.tasks or self.closing_turns > MAX_CLOSING_TURNS):
            if self.main.error is not None:
                self.fail(self.main.error)
            else:
                self.exit(0)
            return
        self.schedule_turn()

    def fail(self, exception: Exception) -> None:
        """End the process with exit code 1 and log the exception."""
        self.failure = exception
        if self.log is not None:
            self.log.error(
                "ended by an exception", exc_info=(type(exception), exception, exception.__traceback__)
            )
        self.exit(1)

    # --- exit -----------------------------------------------------------------------------------------------

    def exit(self, code: int) -> None:
        """End the process with an exit code; a negative one is the number of the signal that killed it."""
        if self.code is not None:
            return
        self.code = code
        self.world.record_event("exit", self.name, code)
        self.kernel.process_ended(killed=code < 0)
        if self.loop is not None:
            for task in list(self.loop.tasks):
                try:
                    task.generator.close()
                except BaseException:  # noqa: S110 - its `finally` may use what has gone
                    pass
        self.loop = self.main = None

    def signal(self, name: str) -> None:
        """Deliver a signal: KILL, STOP, CONT, TERM, INT or HUP."""
        if self.code is not None:
            return
        self.world.record_event("signal", self.name, name)
        if name == "KILL":
            self.exit(-9)
        elif name == "STOP":
            self.stopped = True
        elif name == "CONT":
            if self.stopped:
                self.stopped, self.scheduled_turn = False, None
                self.schedule_turn()
        elif self.kernel.signal_handler is None:
            self.exit({"TERM": -15, "INT": -2, "HUP": -1}[name])
        else:
            self.kernel.pending_signals.append(name)
            self.schedule_turn()
