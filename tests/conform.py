"""How one case is run on both kernels, and what cases share."""

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
HERE = ("127.0.0.1", 0)


def on_epoll(case, folder):
    loop = Loop(EpollKernel())
    try:
        return loop.run(loop.spawn(case(loop, folder), "case"))
    finally:
        loop.close()


def on_virtual(case, folder):
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
    CASES.append(function)
    return function


def pair(loop):
    """Both ends of a stream, and its listener."""
    listener = loop.kernel.listen(HERE, 8)
    one = yield from dial(loop, listener.address(), 500 * MS)
    while (handle := listener.accept()) is None:
        yield Readable(listener)
    return one, Connection(loop, handle), listener


def told(call):
    """What a call gives, or the name of what it raises."""
    try:
        return call()
    except (ConnectionLostError, RefusedError, UnreachableError, HandlesExhaustedError, OSError) as trouble:
        return type(trouble).__name__


def within(loop, connection):
    with Deadline(loop, 500 * MS):
        return (yield from connection.read())


def file_case(function):
    def whole(loop, folder):
        return function(loop.kernel, folder)
        yield

    whole.__name__ = function.__name__
    CASES.append(whole)
