"""What one client has sent and the gateway has not handled yet.

Up to SMALL_INPUT_BYTES are kept for each client. A larger message is read on only once its size is reserved.
"""

from collections import deque
from dataclasses import dataclass

from cobaltpond.gateway.memory_budget import MemoryBudget, Reservation
from cobaltpond.loop.streams import CHUNK
from cobaltpond.wire import pg

SMALL_INPUT_BYTES = 6 << 10
# A large statement is held once as it came and once more while it is written to an instance.
COPIES_OF_A_REQUEST = 2


@dataclass
class ClientCommand:
    """One query that has arrived whole, and the reservation of its bytes; None for a small one."""

    text: bytes
    reservation: Reservation | None = None

    def release(self) -> None:
        """Frees the bytes."""
        if self.reservation is not None:
            self.reservation.release()


class ClientInput:
    """Bytes and commands of one client. `on_room()` is called when reading may go on."""

    def __init__(self, budget: MemoryBudget, on_room):
        self.budget, self.on_room = budget, on_room
        self.parser, self.queued = pg.ClientMessageParser(), deque()
        self.reservation = None  # of the large message that is arriving
        self.closed = False

    @property
    def held_bytes(self) -> int:
        """How many bytes are kept."""
        return len(self.parser.buffer) + sum(len(command.text) for command in self.queued)

    @property
    def is_waiting(self) -> bool:
        """Whether a large message waits for room."""
        return self.reservation is not None and not self.reservation.granted

    @property
    def is_reading_large(self) -> bool:
        """Whether a large message has its room and is incomplete."""
        return self.reservation is not None and self.reservation.granted

    @property
    def large_messages(self) -> int:
        """How many large messages wait, the one that is arriving included."""
        queued = sum(command.reservation is not None for command in self.queued)
        return queued + (self.reservation is not None)

    def read_size(self) -> int:
        """Returns how many bytes may be read now; 0 for none."""
        if self.reservation is not None:
            if not self.reservation.granted:
                return 0
            return min(CHUNK, max(1, self.parser.message_length() - self.parser.pending_bytes))
        if not self.queued:
            return max(0, SMALL_INPUT_BYTES - self.parser.pending_bytes)
        small = sum(len(command.text) for command in self.queued if command.reservation is None)
        return max(0, SMALL_INPUT_BYTES - self.parser.pending_bytes - small)

    def next_event(self) -> tuple | None:
        """Returns the next event of `pg.ClientMessageParser`, a query as a `ClientCommand`; None until more
        is read.
        """
        if not self.parser.buffer:
            return None
        event = self.parser.next_event()
        if event is None:
            self.reserve_large_message()
            return None
        kind, value = event
        reservation, self.reservation = self.reservation, None
        if kind == "query":
            return kind, ClientCommand(value, reservation)
        if reservation is not None:
            reservation.release()
        return event

    def reserve_large_message(self) -> None:
        """Reserves room for the message that has begun, if it is a large one."""
        length = self.parser.message_length()
        if self.reservation is None and length > SMALL_INPUT_BYTES:
            self.reservation = self.budget.reserve_request(COPIES_OF_A_REQUEST * length, self.on_room)

    def close(self) -> None:
        """Frees everything; nothing is parsed any more. Calling it again does nothing."""
        self.parser.discard_all()
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None
        while self.queued:
            self.queued.popleft().release()
