"""The instances as the gateway reaches them: one record each, with its address and kept connections."""

from collections import deque

from cobaltpond.loop import (
    ConnectionLostError,
    Deadline,
    DeadlineExceededError,
    HandlesExhaustedError,
    RefusedError,
    Sleep,
    UnreachableError,
    dial,
)

SWEEP_LEAST = 20_000  # between two sweeps, however short the idle time is
RESERVATION_TIME = 100_000  # a forward that has not asked by then will not ask any more


class NoConnectionError(Exception):
    """None was to be had, and nothing was sent; the text is a key of `endings.SEEN`."""


class InstanceEndpoint:
    """One instance of the list: `row` as the decisions get it, where to dial, connections that wait."""

    def __init__(self, row: dict, address: tuple[str, int]):
        self.row, self.address = row, address
        self.idle, self.open_count = deque(), 0  # (connection, since); all that are open
        self.reserved = self.dials = self.reserved_at = (
            0  # forwards on their way to a kept connection, to a dial
        )


class EndpointPool:
    def __init__(self, loop, limits, greet=None, most=None):
        """`limits`: the sheet's `instances`. `greet(connection)`: what a protocol needs before the first hit,
        within the dial's time; raises NoConnectionError. `most()`: connections to all instances together,
        now."""
        self.loop, self.limits, self.by_id, self.handshake, self.most = loop, limits, {}, greet, most
        self.open_count, self.dial_limiter = (
            0,
            None,
        )  # `recovery.rate_limiter.DialRateLimiter`, where new connections are paced

    def is_reachable(self, place: InstanceEndpoint) -> bool:
        """Is a kept connection left for one more forward, or a new one allowed now?"""
        if self.dial_limiter is not None:
            self.expire_reservations(place)
        return (
            self.dial_limiter is None
            or self.idle_count(place) > place.reserved
            or self.dial_limiter.is_due(place.row["id"], self.loop.now())
        )

    def expire_reservations(self, place: InstanceEndpoint) -> None:
        """Forwards that were called off before they asked for their connection do not keep it from others for
        ever."""
        if self.loop.now() - place.reserved_at > RESERVATION_TIME:
            place.reserved = place.dials = 0

    def idle_count(self, place: InstanceEndpoint) -> int:
        """Kept connections that have rested, and not for too long."""
        now = self.loop.now()
        return sum(self.limits.rest_time <= now - since < self.limits.idle_time for _, since in place.idle)

    def reserve(self, place: InstanceEndpoint) -> None:
        """A forward will ask for a connection in this turn of the loop: what it will use is not promised
        twice."""
        if self.dial_limiter is None:
            return
        self.expire_reservations(place)
        place.reserved_at = self.loop.now()
        if self.idle_count(place) > place.reserved:
            place.reserved += 1
        elif self.dial_limiter.try_acquire(place.row["id"], self.loop.now()):
            place.dials += 1

    def may_dial(self, place: InstanceEndpoint) -> bool:
        """May this forward make a new connection? One that was promised a kept one, which has ended
        meanwhile, needs a turn of its own: guards against hundreds that all dial again when a zone resets
        what they had."""
        self.expire_reservations(place)
        if place.dials:
            place.dials -= 1
            return True
        return self.dial_limiter is None or self.dial_limiter.try_acquire(place.row["id"], self.loop.now())

    def update(self, whole: bool, rows: list[tuple[dict, tuple[str, int]]]) -> None:
        """`rows`: what the decisions get, and the address. Connections to what restarted or left are
        closed."""
        if whole:
            listed = {row["id"] for row, _ in rows}
            for id in [id for id in self.by_id if id not in listed]:
                self.close_idle(self.by_id.pop(id))
        for row, address in rows:
            place = self.by_id.get(row["id"])
            if row["state"] == "gone":
                if place is not None:
                    self.close_idle(self.by_id.pop(row["id"]))
            elif (
                place is None
                or place.address != address
                or any(place.row[mark] != row[mark] for mark in ("started", "build"))
            ):
                if place is not None:  # nothing of the last one carries over
                    self.close_idle(place)
                self.by_id[row["id"]] = InstanceEndpoint(row, address)
            else:
                place.row = row

    def close_idle(self, place: InstanceEndpoint) -> None:
        while place.idle:
            self.close(place, place.idle.popleft()[0])

    def acquire(self, place: InstanceEndpoint):
        """A connection, and whether it was kept from an earlier hit. Raises NoConnectionError.

        A kept one is looked at before it is given out: guards against an instance that closed it meanwhile.
        One that closes between this look and the first byte is found by the write, see `forwards.py`. Until
        it has rested it is not given out: guards against a second answer to the hit before, which comes a
        little later and would pass for the answer to the next.
        """
        place.reserved = max(0, place.reserved - 1)
        while (connection := self.rested(place)) is not None:
            try:
                if connection.read_now(1) is None:
                    return connection, True
            except ConnectionLostError:
                pass
            self.close(place, connection)
        if place.open_count >= self.limits.connections or (
            self.most is not None and self.open_count >= self.most() and not self.evict()
        ):
            raise NoConnectionError("no connection free")
        if not self.may_dial(place):
            raise NoConnectionError("not our turn")
        place.open_count += 1
        self.open_count += 1
        try:
            try:
                connection = yield from self.made(place)
            except HandlesExhaustedError:
                if not self.evict():
                    raise
                connection = yield from self.made(place)
        except BaseException as trouble:
            place.open_count -= 1
            self.open_count -= 1
            why = {
                RefusedError: "refused",
                UnreachableError: "no route",
                DeadlineExceededError: "dial too slow",
                HandlesExhaustedError: "no handle",
                ConnectionLostError: "no route",
            }.get(type(trouble))
            if why is None:
                raise
            raise NoConnectionError(why) from None
        return connection, False

    def rested(self, place: InstanceEndpoint):
        """The kept connection that came back last of those that have rested; None where there is none. What
        has idled its time is left to the sweep. Guards against the machine that closes it with a request on
        its way."""
        now = self.loop.now()
        for at in range(len(place.idle) - 1, -1, -1):
            connection, since = place.idle[at]
            if self.limits.rest_time <= now - since < self.limits.idle_time:
                del place.idle[at]
                return connection
        return None

    def made(self, place: InstanceEndpoint):
        """A new connection, ready for a hit."""
        with Deadline(self.loop, self.limits.dial_time):
            connection = yield from dial(self.loop, place.address, self.limits.dial_time)
            if self.handshake is not None:
                try:
                    yield from self.handshake(connection)
                except BaseException:
                    connection.abort()
                    raise
        return connection

    def release(self, place: InstanceEndpoint, connection) -> None:
        """Kept for the next hit, unless the instance has left meanwhile."""
        if self.by_id.get(place.row["id"]) is place and not connection.closed:
            place.idle.append((connection, self.loop.now()))
        else:
            self.close(place, connection)

    def close(self, place: InstanceEndpoint, connection, reset: bool = False) -> None:
        place.open_count -= 1
        self.open_count -= 1
        connection.abort() if reset else connection.close()

    def evict(self) -> bool:
        """Closes the kept connection that has been idle the longest. False where there is none."""
        place = min((p for p in self.by_id.values() if p.idle), key=lambda p: p.idle[0][1], default=None)
        if place is not None:
            self.close(place, place.idle.popleft()[0])
        return place is not None

    def sweep(self):
        """Closes what has been idle for long; a task without end."""
        while True:
            yield Sleep(max(SWEEP_LEAST, self.limits.idle_time // 4))
            for place in list(self.by_id.values()):
                while place.idle and self.loop.now() - place.idle[0][1] >= self.limits.idle_time:
                    self.close(place, place.idle.popleft()[0])

    def counts(self) -> dict:
        return {
            id: {
                "open": place.open_count,
                "idle": len(place.idle),
                "state": place.row["state"],
                "build": place.row["build"],
            }
            for id, place in self.by_id.items()
        }
