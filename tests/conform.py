"""Runs one case on both kernels, and the helpers that cases share."""

from cobaltpond.loop import (
    Connection,
    ConnectionLostError,
    Deadline,
    EpollKernel,
    HandlesExhaustedError,
    Loop,
    Readable,
    RefusedError,
    UnreachableError,
    dial,
)
from cobaltpond.sim.machine import Machine

MS = 1000
LOCAL_ANY_PORT = ("127.0.0.1", 0)


def run_on_epoll(case, folder):
    """Runs the case on the epoll kernel and returns its result."""
    loop = Loop(EpollKernel())
    try:
        return loop.run(loop.spawn(case(loop, folder), "case"))
    finally:
        loop.close()


def run_on_virtual(case, folder):
    """Runs the case as a process of a simulated machine and returns its result; raises its failure."""
    machine = Machine(1)
    kernel = machine.process("case", ["case"])
    kernel.make_folder("/case")
    loop = Loop(kernel)
    kernel.run_loop(loop, loop.spawn(case(loop, "/case"), "case"))
    machine.world.run(lambda: kernel.process.code is not None, machine.world.begin + 60_000_000)
    if kernel.process.code:
        raise kernel.process.failure
    return kernel.process.result


CASES = []


def case(function):
    """Registers a generator function (loop, folder) as a case."""
    CASES.append(function)
    return function


def connected_pair(loop):
    """Opens a TCP connection and returns both ends and the listener."""
    listener = loop.kernel.listen(LOCAL_ANY_PORT, 8)
    one = yield from dial(loop, listener.address(), 500 * MS)
    while (handle := listener.accept()) is None:
        yield Readable(listener)
    return one, Connection(loop, handle), listener


def value_or_error(call):
    """Returns the result of a call, or the class name of the error that it raises."""
    try:
        return call()
    except (ConnectionLostError, RefusedError, UnreachableError, HandlesExhaustedError, OSError) as error:
        return type(error).__name__


def read_within_deadline(loop, connection):
    """Reads from the connection, for at most 500 ms."""
    with Deadline(loop, 500 * MS):
        return (yield from connection.read())


def file_case(function):
    """Registers a plain function (kernel, folder) as a case."""

    def run_case(loop, folder):
        return function(loop.kernel, folder)
        yield

    run_case.__name__ = function.__name__
    CASES.append(run_case)
