"""Event loop: runs tasks (`tasks.py`) and timers over one kernel, one turn after another."""

from collections import deque

from cobaltpond.loop.tasks import Task
from cobaltpond.loop.timers import Timer, Timers

MAX_STEP_TIME_US = 5_000  # for which a turn runs tasks before it looks for new events and timers
STEPS_PER_CHECK = 4  # between two looks at the clock, which cost time themselves


class Loop:
    """The tasks and timers of one thread over one kernel. `on_failure(task, error)` receives the errors of
    tasks that nobody joins; the default raises them.
    """

    def __init__(self, kernel, on_failure=None):
        self.kernel, self.timers, self.run_queue = kernel, Timers(), deque()
        self.tasks, self.current, self.stopping = {}, None, False
        self.turn_at = self.polled_at = self.polled_before = kernel.now()
        self.turn_count = 0
        self.after_turn = []  # callbacks at the end of each turn, in order
        self.on_task_failure = on_failure or self.raise_error
        self.on_timer_lag = None  # None, or a callback that gets the delay of a due timer in microseconds
        self.longest_turn = 0  # microseconds that a turn has taken at most since `take_longest_turn`

    @staticmethod
    def raise_error(task, error):
        """Raises the error of a failed task, which ends the loop."""
        raise error

    def now(self):
        """Returns the time of this turn in microseconds; everything that happens in a turn has the same
        time.
        """
        return self.turn_at

    def spawn(self, generator, name):
        """Starts a task, which runs from the next turn on. Names of tasks appear in logs and order their
        cancellation.
        """
        task = Task(self, generator, name)
        self.tasks[task] = (
            True  # a dict keeps the order of insertion; the order of a set depends on memory addresses
        )
        task.wake()
        return task

    def call_at(self, due_at, callback):
        """Calls `callback` at a time in microseconds. Returns the timer."""
        timer = Timer(due_at, callback, self)
        self.timers.add(timer)
        return timer

    def call_in(self, delay, callback):
        """Calls `callback` after a delay in microseconds. Returns the timer."""
        return self.call_at(self.kernel.now() + max(0, delay), callback)

    def next_turn(self):
        """Returns the time at which the loop has work even without I/O, or None if it has none."""
        return self.kernel.now() if self.run_queue else self.timers.next_at()

    def turn(self):
        """Runs one iteration: wakes tasks whose handles are ready, calls the timers that are due, steps
        the woken tasks, then calls the `after_turn` callbacks.
        """
        ready = self.kernel.poll(self.next_turn())
        self.polled_before, self.polled_at = self.polled_at, self.kernel.now()
        self.turn_at = self.polled_at
        self.turn_count += 1
        for handle, is_readable, is_writable in ready:
            if is_readable and handle.reader is not None:
                task, handle.reader = handle.reader, None
                task.wake()
            if is_writable and handle.writer is not None:
                task, handle.writer = handle.writer, None
                task.wake()
        first_due = self.timers.next_at()
        if self.on_timer_lag is not None and first_due is not None and first_due <= self.turn_at:
            self.on_timer_lag(self.turn_at - first_due)
        for callback in self.timers.pop_due(self.turn_at):
            callback()
        self.step_tasks()
        for callback in self.after_turn:
            callback()
        duration = self.kernel.now() - self.turn_at
        if duration > self.longest_turn:
            self.longest_turn = duration

    def step_tasks(self):
        """Steps the scheduled tasks in order, for at most MAX_STEP_TIME_US. The others, and those that are
        woken meanwhile, wait for the next turn, so that timers and I/O do not starve.
        """
        end = self.turn_at + MAX_STEP_TIME_US
        for number in range(1, len(self.run_queue) + 1):
            self.run_queue.popleft().step()
            if number % STEPS_PER_CHECK == 0 and self.kernel.now() >= end:
                return

    def take_longest_turn(self) -> int:
        """Returns the microseconds of the longest turn since the last call, and begins anew."""
        longest, self.longest_turn = self.longest_turn, 0
        return longest

    def run(self, until=None):
        """Runs turns until the task `until` has ended or `stop` is called. Returns the result of the task,
        None without one; raises its error.
        """
        if until is not None:
            until.watched = True
        while not self.stopping and not (until is not None and until.done):
            self.turn()
        if until is not None and until.error is not None:
            raise until.error
        return until.result if until is not None else None

    def stop(self):
        """Makes `run` return after the current turn."""
        self.stopping = True

    def close(self, turns=1000):
        """Cancels every task and runs their `finally` blocks, for at most `turns` turns."""
        for _ in range(turns):
            if not self.tasks:
                return
            self.cancel_all()
            self.turn()

    def cancel_all(self):
        """Cancels every task, ordered by name."""
        for task in sorted(self.tasks, key=lambda t: t.name):
            task.cancel()
        self.call_in(1000, lambda: None)  # ensures that `poll` returns and a turn follows
