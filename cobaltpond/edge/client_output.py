"""What one client has been sent and has not read yet."""

from cobaltpond.loop import ConnectionLostError, Writable


class ClientOutput:
    """Writes to one client. What the socket does not accept is counted in the budget and written by a task.

    `on_written()` is called when everything is written; None once the connection has ended. `last_progress`:
    loop time of the last accepted byte.
    """

    def __init__(self, loop, connection, budget, on_written):
        self.loop, self.connection, self.budget, self.on_written = loop, connection, budget, on_written
        self.unsent, self.writer = b"", None
        self.last_progress = loop.now()

    @property
    def is_busy(self) -> bool:
        """Whether bytes wait for the client."""
        return self.writer is not None

    def send(self, data: bytes) -> None:
        """Sends bytes behind those that wait."""
        self.last_progress = self.loop.now()
        if self.writer is not None:
            self.hold(self.unsent + data)
            return
        try:
            sent = self.connection.write_now(data)
        except ConnectionLostError:
            self.connection.close()
            return
        if sent < len(data):
            self.hold(data[sent:])
            self.writer = self.loop.spawn(self.write_rest(), "door-rest")

    def hold(self, data: bytes) -> None:
        """Replaces the bytes that wait, and counts them."""
        change, self.unsent = len(data) - len(self.unsent), data
        if change > 0:
            self.budget.charge(change)
        elif change < 0:
            self.budget.discharge(-change)

    def write_rest(self):
        """Writes the bytes that wait; the body of a task."""
        try:
            while self.unsent:
                sent = self.connection.write_now(self.unsent)
                if sent:  # a slow client that makes progress is not cut off
                    self.hold(self.unsent[sent:])
                    self.last_progress = self.loop.now()
                else:
                    yield Writable(self.connection.handle)
        except ConnectionLostError:
            self.connection.close()
        finally:
            self.hold(b"")
        self.writer = None
        if self.on_written is not None:
            self.on_written()

    def close(self) -> None:
        """Drops what waits."""
        if self.writer is not None:
            self.writer.cancel()
        self.hold(b"")
