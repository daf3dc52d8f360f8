"""One suite over both kernels: what a program can see of sockets, files and children must be the same on
each."""

import conform_files  # noqa: F401  (its cases)
import pytest
from conform import CASES, HERE, MS, case, on_epoll, on_virtual, pair, told, within

from cobaltpond.loop import (
    Connection,
    ConnectionLostError,
    Deadline,
    DeadlineExceededError,
    Readable,
    RefusedError,
    Sleep,
    Writable,
    dial,
)


@case
def nothing_to_read_yet(loop, folder):
    one, other, _ = yield from pair(loop)
    return one.read_now(), other.read_now()


@case
def bytes_come_in_order(loop, folder):
    one, other, _ = yield from pair(loop)
    data, got = bytes(range(256)) * 2000, b""

    def send():
        yield from one.write(data)
        one.handle.finish()

    loop.spawn(send(), "send")
    while piece := (yield from other.read(777)):
        got += piece
    return got == data


@case
def end_of_file_is_read_again_and_again(loop, folder):
    one, other, _ = yield from pair(loop)
    one.handle.finish()
    first = yield from within(loop, other)
    return first, told(other.read_now), told(lambda: other.write_now(b"still open this way"))


@case
def the_finished_side_still_reads(loop, folder):
    one, other, _ = yield from pair(loop)
    one.handle.finish()
    yield from other.write(b"late")
    return (yield from within(loop, one)), told(lambda: one.write_now(b"x"))


@case
def closing_without_unread_bytes_is_an_end(loop, folder):
    one, other, _ = yield from pair(loop)
    yield from one.write(b"last")
    one.close()
    got = yield from within(loop, other)
    return got, (yield from within(loop, other))


@case
def closing_with_unread_bytes_is_a_reset(loop, folder):
    one, other, _ = yield from pair(loop)
    yield from other.write(b"never read")
    yield Sleep(20 * MS)
    one.close()
    yield Sleep(20 * MS)
    return told(other.read_now)


@case
def a_reset_is_told_once_then_the_end(loop, folder):
    one, other, _ = yield from pair(loop)
    one.abort()
    yield Sleep(20 * MS)
    return told(other.read_now), told(other.read_now), told(lambda: other.write_now(b"x"))


@case
def bytes_before_a_reset_are_still_read(loop, folder):
    one, other, _ = yield from pair(loop)
    yield from one.write(b"before")
    yield Sleep(20 * MS)
    one.abort()
    yield Sleep(20 * MS)
    return told(other.read_now), told(other.read_now)


@case
def a_write_to_who_has_closed_is_answered_by_a_reset(loop, folder):
    one, other, _ = yield from pair(loop)
    one.close()
    yield Sleep(20 * MS)
    first = told(lambda: other.write_now(b"x"))
    yield Sleep(20 * MS)
    return first, told(lambda: other.write_now(b"x"))


@case
def a_closed_handle_says_so(loop, folder):
    one, other, _ = yield from pair(loop)
    one.close()
    one.close()
    one.abort()
    return told(one.read_now), told(lambda: one.write_now(b"x")), one.closed


@case
def who_waits_for_a_closed_handle_is_woken(loop, folder):
    one, other, _ = yield from pair(loop)

    def waits():
        return (yield from one.read())

    task = loop.spawn(waits(), "waits")
    yield Sleep(5 * MS)
    one.close()
    try:
        yield from task.join()
    except ConnectionLostError:
        return "PeerLost"


@case
def a_dial_to_nobody_is_refused(loop, folder):
    listener = loop.kernel.listen(HERE, 1)
    address = listener.address()
    listener.close()
    try:
        yield from dial(loop, address, 500 * MS)
    except RefusedError:
        return "refused"


@case
def a_dial_to_a_full_backlog_hangs(loop, folder):
    listener = loop.kernel.listen(HERE, 0)
    kept = []
    try:
        for _ in range(10):
            kept.append((yield from dial(loop, listener.address(), 60 * MS)))
    except DeadlineExceededError:
        return "hangs", len(kept)


@case
def who_waits_in_the_backlog_may_send(loop, folder):
    listener = loop.kernel.listen(HERE, 4)
    one = yield from dial(loop, listener.address(), 500 * MS)
    yield from one.write(b"early")
    yield Sleep(10 * MS)
    other = Connection(loop, listener.accept())
    return (yield from within(loop, other))


@case
def who_waits_in_the_backlog_of_a_listener_that_closes_is_reset(loop, folder):
    listener = loop.kernel.listen(HERE, 4)
    one = yield from dial(loop, listener.address(), 500 * MS)
    listener.close()
    yield Sleep(20 * MS)
    return told(one.read_now)


@case
def accept_after_the_peer_has_left(loop, folder):
    listener = loop.kernel.listen(HERE, 4)
    one = yield from dial(loop, listener.address(), 500 * MS)
    yield from one.write(b"bye")
    one.close()
    yield Sleep(10 * MS)
    other = Connection(loop, listener.accept())
    first = yield from within(loop, other)
    return first, (yield from within(loop, other)), listener.accept()


@case
def a_port_in_use(loop, folder):
    listener = loop.kernel.listen(HERE, 4)
    taken = told(lambda: loop.kernel.listen(listener.address(), 4))
    address = listener.address()
    listener.close()
    again = loop.kernel.listen(address, 4)
    return taken, again.address() == address
    yield


@case
def a_writer_waits_for_a_reader_that_is_late(loop, folder):
    one, other, _ = yield from pair(loop)
    sent, blocked = 0, False
    for _ in range(400):
        took = one.handle.send(bytes(1 << 16))
        if took is None:
            blocked = True
            break
        sent += took
        yield Sleep(100)

    def waits():
        yield Writable(one.handle)
        return "writable"

    task = loop.spawn(waits(), "waits")
    yield Sleep(20 * MS)
    still = task.done
    got = 0
    while got < sent:
        got += len((yield from other.read()))
    yield from task.join()
    return blocked, still, got == sent


@case
def a_new_stream_is_told_as_writable_once(loop, folder):
    listener = loop.kernel.listen(HERE, 4)
    handle = loop.kernel.dial(listener.address())
    with Deadline(loop, 500 * MS):
        while not handle.connected():
            yield Writable(handle)

    def waits():
        yield Readable(handle)

    task = loop.spawn(waits(), "waits")
    yield Sleep(20 * MS)
    quiet = task.done
    task.cancel()
    return quiet


@case
def an_edge_is_told_once(loop, folder):
    """Bytes that were told of and not read are not told of again; new ones are."""
    one, other, _ = yield from pair(loop)
    yield Readable(other.handle) if other.read_now() is not None else Sleep(0)
    yield from one.write(b"a")
    yield Readable(other.handle)

    def waits():
        yield Readable(other.handle)

    task = loop.spawn(waits(), "waits")
    yield Sleep(20 * MS)
    before = task.done
    yield from one.write(b"b")
    with Deadline(loop, 500 * MS):
        yield task
    return before, other.read_now()


@case
def datagrams_go_to_whom_they_are_sent(loop, folder):
    one, other = loop.kernel.open_datagrams(HERE), loop.kernel.open_datagrams(HERE)
    empty = other.recv(100)
    sent = one.send(b"hello", other.address())
    yield Readable(other)
    data, address = other.recv(100)
    cut = one.send(b"0123456789", other.address())
    yield Sleep(10 * MS)
    short = other.recv(4)
    return empty, sent, data, address == one.address(), cut, short[0], other.recv(4)


@case
def a_datagram_to_nobody_is_lost(loop, folder):
    one = loop.kernel.open_datagrams(HERE)
    gone = loop.kernel.open_datagrams(HERE)
    address = gone.address()
    gone.close()
    sent = one.send(b"x", address)
    yield Sleep(10 * MS)
    return sent, one.recv(10)


@case
def sleeps_end_in_order_and_not_early(loop, folder):
    ended = []

    def one(n):
        began = loop.kernel.now()
        yield Sleep(n * MS)
        ended.append((n, loop.kernel.now() - began >= n * MS))

    tasks = [loop.spawn(one(n), f"{n}") for n in (9, 3, 6)]
    for task in tasks:
        yield from task.join()
    return ended


@case
def time_does_not_go_back(loop, folder):
    seen = [loop.kernel.now()]
    for _ in range(20):
        yield Sleep(0)
        seen.append(loop.kernel.now())
    return seen == sorted(seen), loop.kernel.wall_clock() > 1_600_000_000_000_000


@pytest.mark.parametrize("case", CASES, ids=lambda function: function.__name__)
def test_both_kernels_show_the_same(case, tmp_path):
    folders = [tmp_path / "epoll", tmp_path / "virtual"]
    folders[0].mkdir()
    real, virtual = on_epoll(case, str(folders[0])), on_virtual(case, str(folders[1]))
    assert real == virtual and real is not None
