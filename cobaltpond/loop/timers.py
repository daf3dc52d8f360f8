"""One-shot timers of an event loop, kept in a heap."""

import heapq
from itertools import count


class Timer:
    """A callback at a time `due_at`, in microseconds of the kernel's clock."""

    __slots__ = ("due_at", "callback", "loop")

    def __init__(self, due_at, callback, loop):
        self.due_at, self.callback, self.loop = due_at, callback, loop

    def cancel(self):
        """Prevents the callback; does nothing once it has been called or cancelled."""
        if self.callback is not None:
            self.callback = None
            self.loop.timers.timer_cancelled()


class Timers:
    """A timer heap with lazy removal. It is rebuilt when more than half of it is cancelled, so that an
    operation stays O(log n).
    """

    def __init__(self):
        self.heap, self.sequence, self.cancelled_count = [], count(), 0

    def add(self, timer):
        """Adds a timer; timers that are due at the same time fire in the order in which they were added."""
        heapq.heappush(self.heap, (timer.due_at, next(self.sequence), timer))

    def timer_cancelled(self):
        """Counts a cancelled timer and rebuilds the heap if too many have accumulated."""
        self.cancelled_count += 1
        if self.cancelled_count > 64 and self.cancelled_count * 2 > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].callback is not None]
            heapq.heapify(self.heap)
            self.cancelled_count = 0

    def next_at(self):
        """Returns the time of the next timer in microseconds, or None if there is none."""
        while self.heap and self.heap[0][2].callback is None:
            heapq.heappop(self.heap)
            self.cancelled_count -= 1
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now):
        """Removes the timers that are due and yields their callbacks, ordered by time and then by
        insertion.
        """
        while (due_at := self.next_at()) is not None and due_at <= now:
            timer = heapq.heappop(self.heap)[2]
            callback, timer.callback = timer.callback, None
            yield callback
