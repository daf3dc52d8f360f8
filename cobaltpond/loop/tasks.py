"""Generators as coroutines. A task yields what it waits for; the loop resumes it when that has come.

Waits: `Readable(handle)`, `Writable(handle)`, `Sleep(delay)`, an `Event`, a `Task` (until it ends).
Subroutines are called with `yield from`. A task is cancelled by throwing `TaskCancelledError` into it where
it waits, so that its `finally` blocks run; a `Deadline` wraps any waits and throws `DeadlineExceededError`
where they take too long. An exception that a task does not catch goes to whoever waits for it, else to
`loop.on_death` with the task: never into nothing.
"""

import heapq
from collections import deque
from itertools import count


class TaskCancelledError(BaseException):
    """Thrown into a task that is to end. Not an Exception: no handler should swallow it by chance."""


class DeadlineExceededError(Exception):
    """A deadline has passed."""


class Timer:
    __slots__ = ("at", "call", "loop")

    def __init__(self, at, call, loop):
        self.at, self.call, self.loop = at, call, loop

    def cancel(self):
        if self.call is not None:
            self.call = None
            self.loop.timers.timer_cancelled()


class Timers:
    """A heap with lazy removal; when half of it is cancelled it is built anew, so that cost stays log n."""

    def __init__(self):
        self.heap, self.number, self.cancelled_count = [], count(), 0

    def add(self, timer):
        heapq.heappush(self.heap, (timer.at, next(self.number), timer))

    def timer_cancelled(self):
        self.cancelled_count += 1
        if self.cancelled_count > 64 and self.cancelled_count * 2 > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].call is not None]
            heapq.heapify(self.heap)
            self.cancelled_count = 0

    def next_at(self):
        while self.heap and self.heap[0][2].call is None:
            heapq.heappop(self.heap)
            self.cancelled_count -= 1
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now):
        """Takes out, in order of time and then of setting, what is due."""
        while (at := self.next_at()) is not None and at <= now:
            timer = heapq.heappop(self.heap)[2]
            call, timer.call = timer.call, None
            yield call


class Readable:
    __slots__ = ("handle",)

    def __init__(self, handle):
        self.handle = handle

    def arm(self, task):
        if self.handle.reader is not None:
            raise RuntimeError("two tasks read one handle")
        self.handle.reader = task

    def disarm(self, task):
        if self.handle.reader is task:
            self.handle.reader = None


class Writable:
    __slots__ = ("handle",)

    def __init__(self, handle):
        self.handle = handle

    def arm(self, task):
        if self.handle.writer is not None:
            raise RuntimeError("two tasks write one handle")
        self.handle.writer = task

    def disarm(self, task):
        if self.handle.writer is task:
            self.handle.writer = None


class Sleep:
    __slots__ = ("delay", "timer")

    def __init__(self, delay):
        self.delay, self.timer = delay, None

    def arm(self, task):
        self.timer = task.loop.call_in(self.delay, task.wake)

    def disarm(self, task):
        self.timer.cancel()


class Event:
    """Set once or again and again; all that wait are woken with the value."""

    __slots__ = ("waiting",)

    def __init__(self):
        self.waiting = []

    def arm(self, task):
        self.waiting.append(task)

    def disarm(self, task):
        if task in self.waiting:
            self.waiting.remove(task)

    def set(self, value=None):
        waiting, self.waiting = self.waiting, []
        for task in waiting:
            task.wake(value)


class Queue:
    """First in, first out, with a bound: back-pressure on whoever puts."""

    def __init__(self, most):
        self.most, self.items = most, deque()
        self.item_added, self.item_removed = Event(), Event()

    def put_now(self, item) -> bool:
        """False where it is full; the item is not taken."""
        if len(self.items) >= self.most:
            return False
        self.items.append(item)
        self.item_added.set()
        return True

    def put(self, item):
        while not self.put_now(item):
            yield self.item_removed

    def get(self):
        while not self.items:
            yield self.item_added
        item = self.items.popleft()
        self.item_removed.set()
        return item


class Deadline:
    """`with Deadline(loop, delay):` inside a task; at most one DeadlineExceededError is thrown, and only
    inside it."""

    def __init__(self, loop, delay):
        self.loop, self.delay = loop, delay
        self.passed = False

    def __enter__(self):
        self.task = self.loop.current
        self.timer = self.loop.call_in(self.delay, self.fire)
        return self

    def fire(self):
        self.passed = True
        self.task.interrupt(self)

    def __exit__(self, kind, value, trace):
        self.timer.cancel()
        self.task.discard_interrupt(self)
        return False


class Task:
    def __init__(self, loop, generator, name):
        self.loop, self.generator, self.name = loop, generator, name
        self.wait, self.value, self.ready = None, None, False
        self.interrupts = deque()  # interruptions not yet delivered
        self.woken_normally = False  # woken by what it waited for, not by an interruption
        self.done, self.result, self.error = False, None, None
        self.ended, self.watched = Event(), False

    def arm(self, task):
        if self.done:
            task.wake()
        else:
            self.ended.arm(task)

    def disarm(self, task):
        self.ended.disarm(task)

    def wake(self, value=None):
        if not self.done and not self.ready:
            self.ready, self.value, self.wait, self.woken_normally = True, value, None, True
            self.loop.run_queue.append(self)

    def interrupt(self, why):
        """What is thrown is delivered at a wait; a value already on its way is delivered first."""
        if self.done:
            return
        self.interrupts.append(why)
        if self.wait is not None:
            self.wait.disarm(self)
            self.wake()
            self.woken_normally = False

    def discard_interrupt(self, why):
        self.interrupts = deque(x for x in self.interrupts if x is not why)

    def cancel(self):
        if not self.done and TaskCancelledError not in self.interrupts:
            self.interrupt(TaskCancelledError)

    def step(self):
        self.ready, value, self.value = False, self.value, None
        self.loop.current = self
        try:
            while True:
                if self.interrupts and not self.woken_normally:
                    why = self.interrupts.popleft()
                    wait = self.generator.throw(
                        TaskCancelledError()
                        if why is TaskCancelledError
                        else DeadlineExceededError(f"{self.name}: nothing came within {why.delay} us")
                    )
                else:
                    wait = self.generator.send(value)
                value, self.woken_normally = None, False
                if not self.interrupts:
                    break
        except StopIteration as end:
            self.finish(end.value, None)
        except TaskCancelledError:
            self.finish(None, None)
        except Exception as trouble:
            self.finish(None, trouble)
        else:
            self.wait = wait
            wait.arm(self)
        finally:
            self.loop.current = None

    def finish(self, result, trouble):
        self.done, self.result, self.error = True, result, trouble
        self.loop.tasks.pop(self, None)
        heard = self.watched or self.ended.waiting
        self.ended.set()
        if trouble is not None and not heard:
            self.loop.on_task_failure(self, trouble)

    def join(self):
        """Waits for its end; its exception is raised here too."""
        if not self.done:
            yield self
        if self.error is not None:
            raise self.error
        return self.result


class Loop:
    """One thread's tasks and timers over one kernel."""

    def __init__(self, kernel, on_death=None):
        self.kernel, self.timers, self.run_queue = kernel, Timers(), deque()
        self.tasks, self.current, self.stopping = {}, None, False
        self.turn_at = self.polled_at = self.polled_before = kernel.now()
        self.after_turn = []  # called at the end of each turn, in order
        self.on_task_failure = on_death or self.raise_it
        self.on_timer_lag = None  # called with how late a due timer was, where set

    @staticmethod
    def raise_it(task, trouble):
        raise trouble

    def now(self):
        """The time of this turn: all that happens in a turn happens at one time."""
        return self.turn_at

    def spawn(self, generator, name):
        task = Task(self, generator, name)
        self.tasks[task] = True  # a map, not a set: what is cancelled first must not hang on addresses
        task.wake()
        return task

    def call_at(self, at, call):
        timer = Timer(at, call, self)
        self.timers.add(timer)
        return timer

    def call_in(self, delay, call):
        return self.call_at(self.kernel.now() + max(0, delay), call)

    def next_turn(self):
        """When there is something to do here whatever comes from outside; None: never."""
        return self.kernel.now() if self.run_queue else self.timers.next_at()

    def turn(self):
        """What is ready, then what is due, then the tasks that these woke, then the end of the turn."""
        ready = self.kernel.poll(self.next_turn())
        self.polled_before, self.polled_at = self.polled_at, self.kernel.now()
        self.turn_at = self.polled_at
        for handle, read, write in ready:
            if read and handle.reader is not None:
                task, handle.reader = handle.reader, None
                task.wake()
            if write and handle.writer is not None:
                task, handle.writer = handle.writer, None
                task.wake()
        first = self.timers.next_at()
        if self.on_timer_lag is not None and first is not None and first <= self.turn_at:
            self.on_timer_lag(self.turn_at - first)
        for call in self.timers.pop_due(self.turn_at):
            call()
        for _ in range(len(self.run_queue)):  # what they wake waits for the next turn: no starving
            self.run_queue.popleft().step()
        for call in self.after_turn:
            call()

    def run(self, until=None):
        """Turns until `until` (a task) has ended, or until `stop`. Raises what that task raised."""
        if until is not None:
            until.watched = True
        while not self.stopping and not (until is not None and until.done):
            self.turn()
        if until is not None and until.error is not None:
            raise until.error
        return until.result if until is not None else None

    def stop(self):
        self.stopping = True

    def close(self, turns=1000):
        """Cancels every task and lets their `finally` blocks run, within a bound."""
        for _ in range(turns):
            if not self.tasks:
                return
            self.cancel_all()
            self.turn()

    def cancel_all(self):
        for task in sorted(self.tasks, key=lambda t: t.name):
            task.cancel()
        self.call_in(1000, lambda: None)  # a turn comes in any case
