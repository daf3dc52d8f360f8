"""TCP connections as tasks use them: reads, writes with back-pressure, dials with a deadline, and a
bounded accept loop.
"""

from cobaltpond.loop.errors import ConnectionLostError, HandlesExhaustedError, UnreachableError
from cobaltpond.loop.tasks import Deadline, NextTurn, Readable, Sleep, TaskCancelledError, Writable
from cobaltpond.loop.turn_share import TurnShare

CHUNK = 1 << 16  # bytes
MAX_READS_PER_TURN = 2  # of one connection, so that a fast peer does not hold the loop
MAX_ACCEPTS_PER_TURN = 64
OPEN_RETRY_INTERVAL_US = 20_000
MAX_DRAIN_TIME_US = 1_000_000  # in which the rest of the backlog is accepted


class Connection:
    """One TCP connection as a task uses it."""

    def __init__(self, loop, handle):
        self.loop, self.handle = loop, handle
        self.turn_share = TurnShare(loop, MAX_READS_PER_TURN)

    @property
    def closed(self):
        """Whether this side has closed the connection."""
        return self.handle.closed

    def read(self, size=CHUNK):
        """Waits for the next bytes, at most `size`; b"" at the peer's end of file. Raises
        ConnectionLostError. A connection whose data comes faster than it is read gets a share of each turn.
        """
        if self.turn_share.units >= MAX_READS_PER_TURN and self.turn_share.is_used_up:
            yield NextTurn()
        while (data := self.read_now(size)) is None:
            yield Readable(self.handle)
        return data

    def read_now(self, size=CHUNK):
        """Returns the bytes that have arrived, b"" at the end of file, or None if there are none, without
        waiting. Raises ConnectionLostError.
        """
        data = self.handle.recv(size)
        if data is not None:
            self.turn_share.count()
        return data

    def write(self, data):
        """Returns when the operating system has accepted all of the data. Raises ConnectionLostError."""
        view = memoryview(data)
        while view:
            sent = self.handle.send(view)
            if sent is None:
                yield Writable(self.handle)
            else:
                view = view[sent:]

    def write_now(self, data):
        """Returns how many bytes the operating system accepted without waiting. Raises
        ConnectionLostError.
        """
        return self.handle.send(data) or 0

    def close(self):
        """Closes the connection; calling it again does nothing. Written data is still sent, but the peer
        sees a reset if received data is left unread.
        """
        self.handle.close()

    def abort(self):
        """Closes the connection with a reset and discards unsent data."""
        self.handle.abort()


def dial(loop, address, timeout):
    """Opens a connection. Raises RefusedError, UnreachableError, HandlesExhaustedError, or
    DeadlineExceededError after `timeout` microseconds.
    """
    handle = loop.kernel.dial(address)
    try:
        with Deadline(loop, timeout):
            while not handle.connected():
                yield Writable(handle)
        connected_handle, handle = handle, None
        return Connection(loop, connected_handle)
    finally:
        if handle is not None:
            handle.close()


def open_when_possible(open_now, on_retry=None):
    """Returns the socket that `open_now()` opens; where the system refuses for the moment, tries again until
    it does not.

    `on_retry(error)` is called before each further attempt. Raises UnreachableError where the address cannot
    be used.
    """
    while True:
        try:
            return open_now()
        except HandlesExhaustedError as error:
            if on_retry is not None:
                on_retry(error)
            yield Sleep(OPEN_RETRY_INTERVAL_US)


def serve(loop, listener, serve_connection, max_open, name, pause=50_000, evict=lambda: False):
    """Accepts connections until it is cancelled and runs `serve_connection(connection)` as a task for
    each.

    At most `max_open` connections (a number, or a function that returns one) are open at once; further ones
    wait in the backlog. At that bound, and when the file descriptor limit is reached, `evict()` closes a
    connection that can be given up and returns whether there was one. If there is none, accepting pauses for
    `pause` microseconds: open connections go on, and the loop does not spin.

    When cancelled, it accepts what remains in the backlog before it closes the listener.
    """
    open_count, accepted_count = [0], 0

    def run_connection(connection):
        try:
            yield from serve_connection(connection)
        except ConnectionLostError:
            pass
        finally:
            open_count[0] -= 1
            connection.close()

    try:
        while True:
            if open_count[0] >= (max_open() if callable(max_open) else max_open):
                yield Sleep(0 if evict() else pause)
                continue
            try:
                handle = listener.accept()
            except HandlesExhaustedError:
                yield Sleep(0 if evict() else pause)
                continue
            except (ConnectionLostError, UnreachableError):  # of this connection: accept(2)
                yield Sleep(pause)
                continue
            if handle is None:
                yield Readable(listener)
                continue
            accepted_count += 1
            open_count[0] += 1
            loop.spawn(run_connection(Connection(loop, handle)), f"{name}-{accepted_count}")
            if accepted_count % MAX_ACCEPTS_PER_TURN == 0:
                yield NextTurn()
    except TaskCancelledError:
        # Clients in the backlog see an established connection and may have sent a request: accept them all.
        end = loop.now() + MAX_DRAIN_TIME_US
        while loop.now() < end:
            try:
                handle = listener.accept()
            except HandlesExhaustedError:  # the clients stay in the backlog until a descriptor is closed
                yield Sleep(0 if evict() else pause)
                continue
            except (ConnectionLostError, UnreachableError):
                yield NextTurn()
                continue
            if handle is None:
                break
            accepted_count += 1
            open_count[0] += 1
            loop.spawn(run_connection(Connection(loop, handle)), f"{name}-last")
            if accepted_count % MAX_ACCEPTS_PER_TURN == 0:
                yield NextTurn()
        raise
    finally:
        listener.close()
