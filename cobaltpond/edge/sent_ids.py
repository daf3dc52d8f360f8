"""Remembers the ids of requests that were sent to an instance and must not run again.

A client may leave while its request runs. If the id of that request comes again, on whatever connection, it
must not be sent once more.
"""

from collections import deque


class SentIds:
    """The latest `max_ids` ids that were recorded; older ones are forgotten."""

    def __init__(self, max_ids: int):
        self.max_ids = max_ids
        self.order, self.ids = deque(), set()

    def __contains__(self, request_id: bytes) -> bool:
        """Returns whether this id, 16 hexadecimal digits, was recorded."""
        return int(request_id, 16) in self.ids

    def record(self, request_id: bytes) -> None:
        """Records an id; the oldest one is forgotten where there are too many."""
        number = int(request_id, 16)
        if number in self.ids:
            return
        self.order.append(number)
        self.ids.add(number)
        if len(self.order) > self.max_ids:
            self.ids.discard(self.order.popleft())
