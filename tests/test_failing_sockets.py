"""System calls that fail for a moment while sockets are opened and accepted (socket(2), accept(2))."""

import errno
import socket

import pytest

from cobaltpond.loop import (
    EpollKernel,
    HandlesExhaustedError,
    Loop,
    Sleep,
    UnreachableError,
    dial,
    open_when_possible,
    serve,
)

MS = 1000
LOCAL = ("127.0.0.1", 0)
ACCEPT_CODES = [errno.EPERM, errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH, errno.ENOBUFS]
REAL_ACCEPT = socket.socket.accept


def failing(real, codes):
    """A system call that fails with each of the codes once, and then works."""
    left = list(codes)

    def call(*arguments, **named):
        if left:
            raise OSError(left.pop(0), "injected")
        return real(*arguments, **named)

    return call


def run(generator):
    loop = Loop(EpollKernel())
    return loop.run(loop.spawn(generator(loop), "main"))


# Guards against a process that ends with a traceback because a call failed for a moment while it started.
@pytest.mark.parametrize("call", ["socket", "setsockopt", "listen", "bind"])
def test_socket_is_opened_once_the_system_allows_it(monkeypatch, call):
    codes, errors = [errno.ENOBUFS, errno.ENOMEM, errno.ENFILE], []
    if call == "socket":
        monkeypatch.setattr("cobaltpond.loop.kernel.socket.socket", failing(socket.socket, codes))
    else:
        real = getattr(socket.socket, call)
        monkeypatch.setattr(socket.socket, call, failing(real, codes), raising=False)

    def main(loop):
        opened = yield from open_when_possible(lambda: loop.kernel.listen(LOCAL), errors.append)
        opened.close()
        return True

    assert run(main)
    assert len(errors) == 3 and all(isinstance(error, HandlesExhaustedError) for error in errors)


# Guards against waiting for ever for an address that will not become free.
def test_taken_address_is_reported_at_once():
    def main(loop):
        first = loop.kernel.listen(LOCAL)
        for open_now in (loop.kernel.listen, loop.kernel.open_datagrams):
            with pytest.raises(UnreachableError):
                yield from open_when_possible(lambda open_now=open_now: open_now(("192.0.2.1", 9)))
        with pytest.raises(UnreachableError):
            yield from open_when_possible(lambda: loop.kernel.listen(first.address()))

    run(main)


# Guards against a gateway that accepts nobody any more because one accept failed.
@pytest.mark.parametrize(
    "code", [errno.EPERM, errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH, errno.ENOBUFS]
)
def test_listener_goes_on_after_a_failed_accept(monkeypatch, code):
    served = []

    def answer(connection):
        served.append(connection)
        yield Sleep(0)

    def main(loop):
        listener = loop.kernel.listen(LOCAL)
        door = loop.spawn(serve(loop, listener, answer, 4, "client", pause=MS), "door")
        monkeypatch.setattr(socket.socket, "accept", failing(REAL_ACCEPT, [code]))
        connection = yield from dial(loop, listener.address(), 100 * MS)
        end = loop.now() + 500 * MS
        while not served and loop.now() < end:
            yield Sleep(MS)
        connection.close()
        door.cancel()

    run(main)
    assert len(served) == 1
