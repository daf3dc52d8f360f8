"""Reads that have exceeded their time limit and go on beside newer attempts.

A caller that gives up an attempt and begins anew never hears a peer that is slower than its limit. So the
read of an attempt that is late goes on, and its result ends the wait of a newer attempt.
"""

from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass

from cobaltpond.loop import Deadline, DeadlineExceededError, Task
from cobaltpond.rpc.client import CALL_ERRORS


@dataclass(eq=False)
class LateRead:
    """One late read; `source` has a `close` method. `result`: once it has ended, else None."""

    source: object
    task: Task | None = None
    result: object = None


class LateReads:
    """The late reads of one caller, at most `max_open`: the oldest one is closed for a new one.

    `first`: the first read that has ended with a result, None before.
    """

    def __init__(self, loop, max_open: int):
        self.loop, self.max_open = loop, max_open
        self.reads, self.first, self.timer = deque(), None, None

    @contextmanager
    def deadline(self, delay: int):
        """Limits the waits of the block to `delay` microseconds, and ends them once a late read has a result.

        Raises DeadlineExceededError in both cases; `first` tells them apart.
        """
        with Deadline(self.loop, delay) as self.timer:
            try:
                yield
            finally:
                self.timer = None

    def add(self, source, read) -> None:
        """Goes on with the read of a source. `read`: a coroutine; its result is None where there is none."""
        while len(self.reads) >= self.max_open:
            self.remove(self.reads[0])
        late = LateRead(source)
        self.reads.append(late)
        late.task = self.loop.spawn(self.run(late, read), "late-read")

    def run(self, late: LateRead, read):
        """Reads on until there is a result. A source that ends without one is closed."""
        try:
            late.result = yield from read
        except (*CALL_ERRORS, DeadlineExceededError):
            pass  # the caller has been told already that this attempt failed
        if late not in self.reads:
            return
        if late.result is None:
            self.remove(late)
        elif self.first is None:
            self.first = late
            if self.timer is not None:
                self.timer.fire()

    def take_first(self) -> tuple:
        """Returns (source, result) of the first read with a result, and closes the others."""
        taken, self.first = self.first, None
        self.reads.remove(taken)
        self.close()
        return taken.source, taken.result

    def remove(self, late: LateRead) -> None:
        """Ends a read and closes its source."""
        self.reads.remove(late)
        late.task.cancel()
        late.source.close()

    def close(self) -> None:
        """Ends all reads and closes their sources."""
        self.first = None
        while self.reads:
            self.remove(self.reads[0])
