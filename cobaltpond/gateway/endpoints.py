"""Pools connections to the instances: one record per instance, with its address and its idle connections."""

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

MIN_SWEEP_PERIOD_US = 20_000  # between two sweeps, however short the idle time is
RESERVATION_TIME_US = 100_000  # a forward that has not acquired its connection by then never will


class NoConnectionError(Exception):
    """No connection was available and nothing was sent; the text is a key of `FORWARD_RESULTS`."""


class InstanceEndpoint:
    """One instance of the list: `row` as the decisions get it, the address to dial, the idle connections."""

    def __init__(self, row: dict, address: tuple[str, int]):
        self.row, self.address = row, address
        # idle: (connection, idle since), in the order of release
        # open_count: all open connections, idle or in use
        self.idle, self.open_count = deque(), 0
        # reserved, reserved_dials: forwards that will use an idle connection, and those that will dial
        # reserved_at: when the last reservation was made
        self.reserved = self.reserved_dials = self.reserved_at = 0


class EndpointPool:
    """The endpoints of all listed instances, with limits on connections and on the rate of dials.

    `limits`: the `instances` section of the settings. `handshake(connection)`: a coroutine for what a
    protocol exchanges before the first hit, within the dial time; it raises NoConnectionError.
    `connection_limit()`: the limit of connections to all instances together at this time; None: no limit.
    """

    def __init__(self, loop, limits, handshake=None, connection_limit=None):
        self.loop = loop
        self.limits = limits
        self.by_id = {}
        self.handshake = handshake
        self.connection_limit = connection_limit
        self.open_count = 0
        # idle connections that were closed because their instance had sent something that answers no request
        self.surplus_closes = 0
        # `recovery.rate_limiter.DialRateLimiter`, None where the rate of dials is not limited
        self.dial_limiter = None

    def is_reachable(self, endpoint: InstanceEndpoint) -> bool:
        """Returns whether one more forward finds an idle connection or may dial now."""
        if self.dial_limiter is not None:
            self.expire_reservations(endpoint)
        return (
            self.dial_limiter is None
            or self.idle_count(endpoint) > endpoint.reserved
            or self.dial_limiter.is_due(endpoint.row["id"], self.loop.now())
        )

    def expire_reservations(self, endpoint: InstanceEndpoint) -> None:
        """Drops reservations of forwards that were cancelled before they acquired their connection.

        Otherwise these connections would be withheld from other forwards until the process ends.
        """
        if self.loop.now() - endpoint.reserved_at > RESERVATION_TIME_US:
            endpoint.reserved = endpoint.reserved_dials = 0

    def idle_count(self, endpoint: InstanceEndpoint) -> int:
        """Returns how many connections `acquire` may reuse: idle for `rest_time`, but not for `idle_time`."""
        now = self.loop.now()
        return sum(
            self.limits.rest_time <= now - idle_since < self.limits.idle_time
            for _, idle_since in endpoint.idle
        )

    def reserve(self, endpoint: InstanceEndpoint) -> None:
        """Reserves an idle connection or a dial for a forward that will acquire it in this turn of the loop.

        This way no connection is counted for two forwards. Does nothing where the rate of dials is not
        limited.
        """
        if self.dial_limiter is None:
            return
        self.expire_reservations(endpoint)
        endpoint.reserved_at = self.loop.now()
        if self.idle_count(endpoint) > endpoint.reserved:
            endpoint.reserved += 1
        elif self.dial_limiter.try_acquire(endpoint.row["id"], self.loop.now()):
            endpoint.reserved_dials += 1

    def may_dial(self, endpoint: InstanceEndpoint) -> bool:
        """Returns whether this forward may dial; uses up a reserved dial, else a permit of the rate limiter.

        A forward whose reserved idle connection has closed meanwhile needs a permit of its own. Otherwise
        hundreds of forwards would redial at once when a zone resets its connections (thundering herd).
        """
        self.expire_reservations(endpoint)
        if endpoint.reserved_dials:
            endpoint.reserved_dials -= 1
            return True
        return self.dial_limiter is None or self.dial_limiter.try_acquire(endpoint.row["id"], self.loop.now())

    def update(self, whole: bool, rows: list[tuple[dict, tuple[str, int]]]) -> None:
        """Applies the list; `rows`: (row as the decisions get it, address).

        `whole`: absent instances are removed. Idle connections to instances that restarted or left are
        closed.
        """
        if whole:
            listed = {row["id"] for row, _ in rows}
            for id in [id for id in self.by_id if id not in listed]:
                self.close_idle(self.by_id.pop(id))
        for row, address in rows:
            endpoint = self.by_id.get(row["id"])
            if row["state"] == "gone":
                if endpoint is not None:
                    self.close_idle(self.by_id.pop(row["id"]))
            elif (
                endpoint is None
                or endpoint.address != address
                or any(endpoint.row[field] != row[field] for field in ("started", "build"))
            ):
                if endpoint is not None:  # a restarted instance inherits no connection
                    self.close_idle(endpoint)
                self.by_id[row["id"]] = InstanceEndpoint(row, address)
            else:
                endpoint.row = row

    def close_idle(self, endpoint: InstanceEndpoint) -> None:
        """Closes all idle connections of an endpoint."""
        while endpoint.idle:
            self.close(endpoint, endpoint.idle.popleft()[0])

    def acquire(self, endpoint: InstanceEndpoint):
        """Returns (connection, whether it is reused from an earlier hit). Raises NoConnectionError.

        An idle connection is checked before it is handed out, since the instance may have closed it
        meanwhile. A close between this check and the first byte is detected by the write, see `forwards.py`.
        A connection is not reused before it has been idle for `rest_time`: an instance may send a second
        response to the earlier hit a little later. One that arrives after the check, because the network or a
        process was held up, is for the protocol to tell from the response to the next hit: see `forwards.py`.
        """
        endpoint.reserved = max(0, endpoint.reserved - 1)
        while (connection := self.take_idle(endpoint)) is not None:
            try:
                data = connection.read_now(1)
                if data is None:
                    return connection, True
                self.surplus_closes += len(data)
            except ConnectionLostError:
                pass
            self.close(endpoint, connection)
        if endpoint.open_count >= self.limits.connections or (
            self.connection_limit is not None
            and self.open_count >= self.connection_limit()
            and not self.evict()
        ):
            raise NoConnectionError("no connection free")
        if not self.may_dial(endpoint):
            raise NoConnectionError("not our turn")
        endpoint.open_count += 1
        self.open_count += 1
        try:
            try:
                connection = yield from self.connect(endpoint)
            except HandlesExhaustedError:
                if not self.evict():
                    raise
                connection = yield from self.connect(endpoint)
        except BaseException as error:
            endpoint.open_count -= 1
            self.open_count -= 1
            reason = {
                RefusedError: "refused",
                UnreachableError: "no route",
                DeadlineExceededError: "dial too slow",
                HandlesExhaustedError: "no handle",
                ConnectionLostError: "no route",
            }.get(type(error))
            if reason is None:
                raise
            raise NoConnectionError(reason) from None
        return connection, False

    def take_idle(self, endpoint: InstanceEndpoint):
        """Removes and returns the latest released connection that has been idle for `rest_time`, or None.

        One past `idle_time` is left to `sweep`: the instance may close it while a request is on its way.
        """
        now = self.loop.now()
        for index in range(len(endpoint.idle) - 1, -1, -1):
            connection, idle_since = endpoint.idle[index]
            if self.limits.rest_time <= now - idle_since < self.limits.idle_time:
                del endpoint.idle[index]
                return connection
        return None

    def connect(self, endpoint: InstanceEndpoint):
        """Dials a new connection and completes the handshake.

        Raises the loop's errors and NoConnectionError.
        """
        with Deadline(self.loop, self.limits.dial_time):
            connection = yield from dial(self.loop, endpoint.address, self.limits.dial_time)
            if self.handshake is not None:
                try:
                    yield from self.handshake(connection)
                except BaseException:
                    connection.abort()
                    raise
        return connection

    def release(self, endpoint: InstanceEndpoint, connection) -> None:
        """Keeps the connection for a later hit.

        Closes it where the instance has restarted or left meanwhile.
        """
        if self.by_id.get(endpoint.row["id"]) is endpoint and not connection.closed:
            endpoint.idle.append((connection, self.loop.now()))
        else:
            self.close(endpoint, connection)

    def close(self, endpoint: InstanceEndpoint, connection, reset: bool = False) -> None:
        """Closes a connection of the pool, with a TCP reset where `reset` is set."""
        endpoint.open_count -= 1
        self.open_count -= 1
        connection.abort() if reset else connection.close()

    def evict(self) -> bool:
        """Closes the connection that has been idle the longest. Returns False where none is idle."""
        endpoint = min((e for e in self.by_id.values() if e.idle), key=lambda e: e.idle[0][1], default=None)
        if endpoint is not None:
            self.close(endpoint, endpoint.idle.popleft()[0])
        return endpoint is not None

    def sweep(self):
        """Closes connections that have been idle for `idle_time`; runs until cancelled."""
        while True:
            yield Sleep(max(MIN_SWEEP_PERIOD_US, self.limits.idle_time // 4))
            for endpoint in list(self.by_id.values()):
                while endpoint.idle and self.loop.now() - endpoint.idle[0][1] >= self.limits.idle_time:
                    self.close(endpoint, endpoint.idle.popleft()[0])

    def counts(self) -> dict:
        """Returns connections, state and build of each instance, for `/-/status`."""
        return {
            id: {
                "open": endpoint.open_count,
                "idle": len(endpoint.idle),
                "state": endpoint.row["state"],
                "build": endpoint.row["build"],
            }
            for id, endpoint in self.by_id.items()
        }
