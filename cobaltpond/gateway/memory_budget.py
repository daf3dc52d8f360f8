"""Bounds the bytes that all peers together may make a process hold.

Whoever is about to keep a large message reserves its size first. Where there is no room the reservation
waits, first come first served, and its owner reads no further: the bytes stay with the peer (back-pressure).
"""

from collections import deque

from cobaltpond.loop import Event


class Reservation:
    """Bytes of a `MemoryBudget` that one owner may use. `granted`: whether it may do so already.

    `on_granted()` is called once a reservation that had to wait is granted. `is_request`: it is for a
    request, not for a response; `requested_at` and `granted_at`: times of the loop in microseconds.
    """

    def __init__(self, budget, size: int, is_request: bool, on_granted):
        self.budget, self.size, self.is_request, self.on_granted = budget, size, is_request, on_granted
        self.granted, self.released = False, False
        self.requested_at, self.granted_at = budget.loop.now(), None

    def release(self) -> None:
        """Gives the bytes back, or stops to wait for them; calling it again does nothing."""
        if not self.released:
            self.released, self.on_granted = True, None
            self.budget.take_back(self)


class MemoryBudget:
    """`capacity` bytes, of which requests of clients may use `request_capacity`.

    The rest is kept for responses, so that requests which wait for theirs cannot use up what it needs.
    """

    def __init__(self, loop, capacity: int, request_capacity: int):
        self.loop = loop
        self.capacity, self.request_capacity = capacity, request_capacity
        self.used = self.peak = 0
        self.waiting_requests, self.waiting_responses = deque(), deque()
        self.waiting_began = Event()  # set when a reservation begins to wait

    def resize(self, capacity: int, request_capacity: int) -> None:
        """Changes the limits. What is granted stays; where less is left, the next ones wait for longer."""
        self.capacity, self.request_capacity = capacity, request_capacity
        self.grant_waiting()

    def reserve_request(self, size: int, on_granted) -> Reservation:
        """Reserves bytes for a client's request; see `Reservation`."""
        return self.request(Reservation(self, size, True, on_granted), self.waiting_requests)

    def reserve_response(self, size: int):
        """Waits until bytes for an instance's response are reserved, and returns the reservation."""
        granted = Event()
        reservation = self.request(Reservation(self, size, False, granted.set), self.waiting_responses)
        try:
            while not reservation.granted:
                yield granted
        except BaseException:
            reservation.release()
            raise
        return reservation

    def request(self, reservation: Reservation, queue: deque) -> Reservation:
        """Grants a reservation at once where there is room and no other one waits in the queue."""
        if queue or not self.has_room(reservation):
            queue.append(reservation)
            self.waiting_began.set()
        else:
            self.grant(reservation)
        return reservation

    def has_room(self, reservation: Reservation) -> bool:
        """Returns whether a reservation fits. One alone always does, or it would wait for ever."""
        limit = self.request_capacity if reservation.is_request else self.capacity
        return self.used == 0 or self.used + reservation.size <= limit

    def grant(self, reservation: Reservation) -> None:
        """Lets the owner use its bytes."""
        reservation.granted, reservation.granted_at = True, self.loop.now()
        self.charge(reservation.size)

    def charge(self, size: int) -> None:
        """Counts bytes that are held already, whether or not there is room."""
        self.used += size
        self.peak = max(self.peak, self.used)

    def discharge(self, size: int) -> None:
        """Ends a `charge`, and grants reservations that have room now."""
        self.used -= size
        self.grant_waiting()

    def take_back(self, reservation: Reservation) -> None:
        """Ends a reservation."""
        if reservation.granted:
            self.discharge(reservation.size)
        else:
            for queue in (self.waiting_requests, self.waiting_responses):
                if reservation in queue:
                    queue.remove(reservation)
            self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grants the reservations that wait and have room now: responses first, as they free requests."""
        for queue in (self.waiting_responses, self.waiting_requests):
            while queue and self.has_room(queue[0]):
                reservation = queue.popleft()
                self.grant(reservation)
                reservation.on_granted()

    @property
    def waiting_since(self) -> int | None:
        """Since when the first reservation waits, in microseconds of the loop; None where none does."""
        return min(
            (queue[0].requested_at for queue in (self.waiting_requests, self.waiting_responses) if queue),
            default=None,
        )
