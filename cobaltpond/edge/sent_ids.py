"""Remembers the ids of requests that were sent to an instance and must not run again.

A client may leave while its request runs. If the id of that request comes again, on whatever connection, it
must not be sent once more.
"""

from array import array

SLOT_BYTES = 8
MAX_LOAD = 0.5  # share of a table's slots that are used
EMPTY = 0
STAND_IN_FOR_EMPTY = (1 << 64) - 1
HASH_SHIFT = 32
HASH_MASK = (1 << 64) - 1


class IdTable:
    """A set of 64-bit numbers in one block of memory, with linear probing.

    `multiplier`: an odd number that clients cannot know, so that they cannot choose ids that collide.
    """

    def __init__(self, slots: int, multiplier: int):
        self.slots = array("Q", bytes(slots * SLOT_BYTES))
        self.multiplier, self.count = multiplier, 0

    def find(self, number: int) -> int:
        """Returns the slot that holds a number, or the empty one where it belongs."""
        slots = self.slots
        index = ((number * self.multiplier & HASH_MASK) >> HASH_SHIFT) % len(slots)
        while slots[index] not in (EMPTY, number):
            index = (index + 1) % len(slots)
        return index

    def __contains__(self, number: int) -> bool:
        """Returns whether the number was added."""
        return self.slots[self.find(number)] == number

    def add(self, number: int) -> None:
        """Adds a number."""
        index = self.find(number)
        if self.slots[index] == EMPTY:
            self.slots[index] = number
            self.count += 1

    @property
    def is_full(self) -> bool:
        """Whether as many slots are used as may be."""
        return self.count >= MAX_LOAD * len(self.slots)


class SentIds:
    """The latest ids that were recorded: at least a quarter of `slots`, at most half of them."""

    def __init__(self, slots: int, seed: int):
        self.table_slots, self.multiplier = max(2, slots // 2), seed | 1
        self.current, self.previous = self.new_table(), self.new_table()

    def new_table(self) -> IdTable:
        """Returns an empty table."""
        return IdTable(self.table_slots, self.multiplier)

    def __contains__(self, request_id: bytes) -> bool:
        """Returns whether this id, 16 hexadecimal digits, was recorded. One that is asked for stays known."""
        number = int(request_id, 16) or STAND_IN_FOR_EMPTY
        if number in self.current:
            return True
        if number not in self.previous:
            return False
        self.add(number)
        return True

    def record(self, request_id: bytes) -> None:
        """Records an id; the oldest ones are forgotten where there are too many."""
        self.add(int(request_id, 16) or STAND_IN_FOR_EMPTY)

    def add(self, number: int) -> None:
        """Adds a number to the newer table."""
        if self.current.is_full and number not in self.current:
            self.current, self.previous = self.new_table(), self.current
        self.current.add(number)
