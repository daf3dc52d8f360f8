"""The instances as the gateway reaches them: one record each, with its address and kept connections."""

from collections import deque

from cobaltpond.loop import Deadline, HandlesUsedUp, PeerLost, Refused, Sleep, TimedOut, Unreachable, dial

SWEEP_LEAST = 20_000  # between two sweeps, however short the idle time is
PROMISED = 100_000  # a forward that has not asked by then will not ask any more


class NoConnection(Exception):
    """None was to be had, and nothing was sent; the text is a key of `endings.SEEN`."""


class Place:
    """One instance of the list: `row` as the decisions get it, where to dial, connections that wait."""

    def __init__(self, row: dict, address: tuple[str, int]):
        self.row, self.address = row, address
        self.idle, self.open = deque(), 0  # (connection, since); all that are open
        self.promised = self.dials = self.promised_at = (
            0  # forwards on their way to a kept connection, to a dial
        )


class Places:
    def __init__(self, loop, limits, greet=None, most=None):
        """`limits`: the sheet's `instances`. `greet(connection)`: what a protocol needs before the first hit,
        within the dial's time; raises NoConnection. `most()`: connections to all instances together, now."""
        self.loop, self.limits, self.by_id, self.greet, self.most = loop, limits, {}, greet, most
        self.open, self.turns = 0, None  # `recovery.rate_limiter.Turns`, where new connections are paced

    def reaches(self, place: Place) -> bool:
        """Is a kept connection left for one more forward, or a new one allowed now?"""
        if self.turns is not None:
            self.settle(place)
        return (
            self.turns is None
            or self.spare(place) > place.promised
            or self.turns.due(place.row["id"], self.loop.now())
        )

    def settle(self, place: Place) -> None:
        """Forwards that were called off before they asked for their connection do not keep it from others for
        ever."""
        if self.loop.now() - place.promised_at > PROMISED:
            place.promised = place.dials = 0

    def spare(self, place: Place) -> int:
        """Kept connections that have rested, and not for too long."""
        now = self.loop.now()
        return sum(self.limits.rest_time <= now - since < self.limits.idle_time for _, since in place.idle)

    def promise(self, place: Place) -> None:
        """A forward will ask for a connection in this turn of the loop: what it will use is not promised
        twice."""
        if self.turns is None:
            return
        self.settle(place)
        place.promised_at = self.loop.now()
        if self.spare(place) > place.promised:
            place.promised += 1
        elif self.turns.take(place.row["id"], self.loop.now()):
            place.dials += 1

    def allowed(self, place: Place) -> bool:
        """May this forward make a new connection? One that was promised a kept one, which has ended
        meanwhile, needs a turn of its own: guards against hundreds that all dial again when a zone resets
        what they had."""
        self.settle(place)
        if place.dials:
            place.dials -= 1
            return True
        return self.turns is None or self.turns.take(place.row["id"], self.loop.now())

    def update(self, whole: bool, rows: list[tuple[dict, tuple[str, int]]]) -> None:
        """`rows`: what the decisions get, and the address. Connections to what restarted or left are
        closed."""
        if whole:
            listed = {row["id"] for row, _ in rows}
            for id in [id for id in self.by_id if id not in listed]:
                self.forget(self.by_id.pop(id))
        for row, address in rows:
            place = self.by_id.get(row["id"])
            if row["state"] == "gone":
                if place is not None:
                    self.forget(self.by_id.pop(row["id"]))
            elif (
                place is None
                or place.address != address
                or any(place.row[mark] != row[mark] for mark in ("started", "build"))
            ):
                if place is not None:  # nothing of the last one carries over
                    self.forget(place)
                self.by_id[row["id"]] = Place(row, address)
            else:
                place.row = row

    def forget(self, place: Place) -> None:
        while place.idle:
            self.close(place, place.idle.popleft()[0])

    def take(self, place: Place):
        """A connection, and whether it was kept from an earlier hit. Raises NoConnection.

        A kept one is looked at before it is given out: guards against an instance that closed it meanwhile.
        One that closes between this look and the first byte is found by the write, see `forwards.py`. Until
        it has rested it is not given out: guards against a second answer to the hit before, which comes a
        little later and would pass for the answer to the next.
        """
        place.promised = max(0, place.promised - 1)
        while (connection := self.rested(place)) is not None:
            try:
                if connection.read_now(1) is None:
                    return connection, True
            except PeerLost:
                pass
            self.close(place, connection)
        if place.open >= self.limits.connections or (
            self.most is not None and self.open >= self.most() and not self.evict()
        ):
            raise NoConnection("no connection free")
        if not self.allowed(place):
            raise NoConnection("not our turn")
        place.open += 1
        self.open += 1
        try:
            try:
                connection = yield from self.made(place)
            except HandlesUsedUp:
                if not self.evict():
                    raise
                connection = yield from self.made(place)
        except BaseException as trouble:
            place.open -= 1
            self.open -= 1
            why = {
                Refused: "refused",
                Unreachable: "no route",
                TimedOut: "dial too slow",
                HandlesUsedUp: "no handle",
                PeerLost: "no route",
            }.get(type(trouble))
            if why is None:
                raise
            raise NoConnection(why) from None
        return connection, False

    def rested(self, place: Place):
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

    def made(self, place: Place):
        """A new connection, ready for a hit."""
        with Deadline(self.loop, self.limits.dial_time):
            connection = yield from dial(self.loop, place.address, self.limits.dial_time)
            if self.greet is not None:
                try:
                    yield from self.greet(connection)
                except BaseException:
                    connection.abort()
                    raise
        return connection

    def give_back(self, place: Place, connection) -> None:
        """Kept for the next hit, unless the instance has left meanwhile."""
        if self.by_id.get(place.row["id"]) is place and not connection.closed:
            place.idle.append((connection, self.loop.now()))
        else:
            self.close(place, connection)

    def close(self, place: Place, connection, reset: bool = False) -> None:
        place.open -= 1
        self.open -= 1
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
                "open": place.open,
                "idle": len(place.idle),
                "state": place.row["state"],
                "build": place.row["build"],
            }
            for id, place in self.by_id.items()
        }
