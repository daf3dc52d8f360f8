"""Tasks: generators as coroutines. A task yields what it waits for, and `event_loop.Loop` resumes it once
that has happened.

A task waits for `Readable(handle)`, `Writable(handle)`, `Sleep(delay)`, an `Event`, or a `Task` (until it
ends). Subroutines are called with `yield from`. A task is cancelled by throwing `TaskCancelledError` into it
where it waits, so that its `finally` blocks run; a `Deadline` encloses any waits and throws
`DeadlineExceededError` where they take too long. An exception that a task does not catch is raised in the
task that joins it, or else passed to `loop.on_task_failure`; it is never lost.
"""

from collections import deque


class TaskCancelledError(BaseException):
    """Thrown into a task that is cancelled. It is not an Exception, so that no general handler swallows
    it.
    """


class DeadlineExceededError(Exception):
    """A deadline has passed."""


class Readable:
    """Waits until a handle becomes readable (edge-triggered)."""

    __slots__ = ("handle",)

    def __init__(self, handle):
        self.handle = handle

    def arm(self, task):
        """Registers the task with the handle. Raises RuntimeError where another task reads it."""
        if self.handle.reader is not None:
            raise RuntimeError("two tasks read one handle")
        self.handle.reader = task

    def disarm(self, task):
        """Withdraws the registration."""
        if self.handle.reader is task:
            self.handle.reader = None


class Writable:
    """Waits until a handle becomes writable (edge-triggered)."""

    __slots__ = ("handle",)

    def __init__(self, handle):
        self.handle = handle

    def arm(self, task):
        """Registers the task with the handle. Raises RuntimeError where another task writes it."""
        if self.handle.writer is not None:
            raise RuntimeError("two tasks write one handle")
        self.handle.writer = task

    def disarm(self, task):
        """Withdraws the registration."""
        if self.handle.writer is task:
            self.handle.writer = None


class Sleep:
    """Waits for `delay` microseconds; 0 lets the other tasks run first."""

    __slots__ = ("delay", "timer")

    def __init__(self, delay):
        self.delay, self.timer = delay, None

    def arm(self, task):
        """Starts the timer that wakes the task."""
        self.timer = task.loop.call_in(self.delay, task.wake)

    def disarm(self, task):
        """Cancels the timer."""
        self.timer.cancel()


class NextTurn:
    """Lets the other tasks run and the loop look for new events; the task goes on in the next turn.

    A task that may find work again and again without waiting yields this after a bounded amount of it.
    """

    __slots__ = ()

    def arm(self, task):
        """Schedules the task again."""
        task.wake()

    def disarm(self, task):
        """Does nothing: a scheduled task has no wait."""


class Event:
    """Wakes all tasks that wait for it each time that it is set; a wait after that is for the next `set`."""

    __slots__ = ("waiting",)

    def __init__(self):
        self.waiting = []

    def arm(self, task):
        """Adds the task to those that wait."""
        self.waiting.append(task)

    def disarm(self, task):
        """Removes the task from those that wait."""
        if task in self.waiting:
            self.waiting.remove(task)

    def set(self, value=None):
        """Wakes the waiting tasks; their `yield` returns the value."""
        waiting, self.waiting = self.waiting, []
        for task in waiting:
            task.wake(value)


class Queue:
    """A first-in-first-out queue with at most `max_items` items: back-pressure on the producer."""

    def __init__(self, max_items):
        self.max_items, self.items = max_items, deque()
        self.item_added, self.item_removed = Event(), Event()

    def put_now(self, item) -> bool:
        """Adds an item without waiting. Returns False where the queue is full; the item is not added then."""
        if len(self.items) >= self.max_items:
            return False
        self.items.append(item)
        self.item_added.set()
        return True

    def put(self, item):
        """Adds an item, waiting while the queue is full."""
        while not self.put_now(item):
            yield self.item_removed

    def get(self):
        """Removes and returns the first item, waiting while the queue is empty."""
        while not self.items:
            yield self.item_added
        item = self.items.popleft()
        self.item_removed.set()
        return item


class Deadline:
    """Context manager within a task, `with Deadline(loop, delay):`, with a delay in microseconds. It
    throws at most one DeadlineExceededError, and only inside its block.
    """

    def __init__(self, loop, delay):
        self.loop, self.delay = loop, delay
        self.passed = False

    def __enter__(self):
        """Starts the timer for the current task."""
        self.task = self.loop.current
        self.timer = self.loop.call_in(self.delay, self.fire)
        return self

    def fire(self):
        """Interrupts the task: its next wait inside the block raises DeadlineExceededError."""
        self.passed = True
        self.task.interrupt(self)

    def __exit__(self, error_type, value, traceback):
        """Cancels the timer and withdraws an interruption that is not delivered yet."""
        self.timer.cancel()
        self.task.discard_interrupt(self)
        return False


class Task:
    """A running generator. After its end, `done` is true and `result` or `error` is set; both are None for
    a cancelled task.
    """

    def __init__(self, loop, generator, name):
        self.loop, self.generator, self.name = loop, generator, name
        self.wait, self.value, self.ready = None, None, False
        self.interrupts = deque()  # interruptions that are not delivered yet
        self.woken_normally = False  # woken by what it waited for, not by an interruption
        self.done, self.result, self.error = False, None, None
        self.ended, self.watched = Event(), False

    def arm(self, task):
        """Wakes the other task when this one ends, at once if it has ended."""
        if self.done:
            task.wake()
        else:
            self.ended.arm(task)

    def disarm(self, task):
        """Withdraws the other task's wait."""
        self.ended.disarm(task)

    def wake(self, value=None):
        """Schedules the task for the next turn; its `yield` returns the value. Does nothing if it is
        scheduled or done.
        """
        if not self.done and not self.ready:
            self.ready, self.value, self.wait, self.woken_normally = True, value, None, True
            self.loop.run_queue.append(self)

    def resume(self):
        """Wakes a waiting task before its wait is over; does nothing where it does not wait."""
        if self.wait is not None:
            self.wait.disarm(self)
            self.wake()

    def interrupt(self, reason):
        """Schedules an interruption, a `Deadline` or TaskCancelledError. It is thrown at a wait; a value
        that the task was woken with is delivered first.
        """
        if self.done:
            return
        self.interrupts.append(reason)
        if self.wait is not None:
            self.wait.disarm(self)
            self.wake()
            self.woken_normally = False

    def discard_interrupt(self, reason):
        """Withdraws an interruption that is not delivered yet."""
        self.interrupts = deque(entry for entry in self.interrupts if entry is not reason)

    def cancel(self):
        """Throws TaskCancelledError into the task at its current or next wait; does nothing once it is
        done.
        """
        if not self.done and TaskCancelledError not in self.interrupts:
            self.interrupt(TaskCancelledError)

    def step(self):
        """Runs the generator until its next wait or its end."""
        self.ready, value, self.value = False, self.value, None
        self.loop.current = self
        try:
            while True:
                if self.interrupts and not self.woken_normally:
                    reason = self.interrupts.popleft()
                    wait = self.generator.throw(
                        TaskCancelledError()
                        if reason is TaskCancelledError
                        else DeadlineExceededError(
                            f"{self.name}: the deadline of {reason.delay} us has passed"
                        )
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
        except Exception as error:
            self.finish(None, error)
        else:
            self.wait = wait
            wait.arm(self)
        finally:
            self.loop.current = None

    def finish(self, result, error):
        """Records the outcome and wakes the tasks that wait. An error that no task waits for goes to
        `loop.on_task_failure`.
        """
        self.done, self.result, self.error = True, result, error
        self.loop.tasks.pop(self, None)
        is_observed = self.watched or self.ended.waiting
        self.ended.set()
        if error is not None and not is_observed:
            self.loop.on_task_failure(self, error)

    def join(self):
        """Waits until the task has ended and returns its result. Raises the error of the task."""
        if not self.done:
            yield self
        if self.error is not None:
            raise self.error
        return self.result
