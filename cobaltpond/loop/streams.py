"""Bytes over a stream handle: reads, writes with back-pressure, dials with a time-out, a bounded accept."""

from cobaltpond.loop.errors import ConnectionLostError, HandlesExhaustedError
from cobaltpond.loop.tasks import Deadline, Readable, Sleep, TaskCancelledError, Writable

CHUNK = 1 << 16
LAST_TRIES = 50  # to take what waits in a backlog, with no descriptor left


class Connection:
    """One TCP connection as a task uses it."""

    def __init__(self, loop, handle):
        self.loop, self.handle = loop, handle

    @property
    def closed(self):
        return self.handle.closed

    def read(self, size=CHUNK):
        """The next bytes; b"" at the end. Raises ConnectionLostError."""
        while (data := self.handle.recv(size)) is None:
            yield Readable(self.handle)
        return data

    def read_now(self, size=CHUNK):
        """What is there without waiting; None where nothing is."""
        return self.handle.recv(size)

    def write(self, data):
        """Returns when the operating system has taken all of it. Raises ConnectionLostError."""
        view = memoryview(data)
        while view:
            sent = self.handle.send(view)
            if sent is None:
                yield Writable(self.handle)
            else:
                view = view[sent:]

    def write_now(self, data):
        """How many bytes were taken without waiting."""
        return self.handle.send(data) or 0

    def close(self):
        self.handle.close()

    def abort(self):
        self.handle.abort()


def dial(loop, address, timeout):
    """A connection. Raises RefusedError, UnreachableError, HandlesExhaustedError, or DeadlineExceededError
    after `timeout` microseconds."""
    handle = loop.kernel.dial(address)
    try:
        with Deadline(loop, timeout):
            while not handle.connected():
                yield Writable(handle)
        done, handle = handle, None
        return Connection(loop, done)
    finally:
        if handle is not None:
            handle.close()


def serve(loop, listener, answer, most, name, pause=50_000, evict=lambda: False):
    """Accepts for ever; `answer(connection)` is a task each, `most` (a number, or called) at once; the rest
    waits.

    Guards against used-up descriptors: `evict()` closes what can be spared and says whether there was any;
    else accepting pauses, what is open goes on, and nothing spins.
    """
    open_now, number = [0], 0

    def one(connection):
        try:
            yield from answer(connection)
        except ConnectionLostError:
            pass
        finally:
            open_now[0] -= 1
            connection.close()

    try:
        while True:
            if open_now[0] >= (most() if callable(most) else most):
                yield Sleep(0 if evict() else pause)
                continue
            try:
                handle = listener.accept()
            except HandlesExhaustedError:
                yield Sleep(0 if evict() else pause)
                continue
            if handle is None:
                yield Readable(listener)
                continue
            number += 1
            open_now[0] += 1
            loop.spawn(one(Connection(loop, handle)), f"{name}-{number}")
            if number % 64 == 0:
                yield Sleep(0)  # a flood of dials must not hold up the turn
    except TaskCancelledError:
        # who waits in the backlog believes to be connected and may have sent something: take them all
        tries = LAST_TRIES
        while tries:
            try:
                handle = listener.accept()
            except HandlesExhaustedError:  # they stay in the backlog until something is closed
                tries -= 1
                yield Sleep(0 if evict() else pause)
                continue
            if handle is None:
                break
            open_now[0] += 1
            loop.spawn(one(Connection(loop, handle)), f"{name}-last")
        raise
    finally:
        listener.close()
