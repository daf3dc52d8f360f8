"""Runs the same cases on the epoll kernel and on the virtual kernel: what a program observes of sockets,
files and child processes must be the same on both.
"""

import conform_files  # noqa: F401  (registers its cases)
import pytest
from conform import (
    CASES,
    LOCAL_ANY_PORT,
    MS,
    case,
    connected_pair,
    read_within_deadline,
    run_on_epoll,
    run_on_virtual,
    value_or_error,
)

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
def read_without_data(loop, folder):
    local, remote, _ = yield from connected_pair(loop)
    return local.read_now(), remote.read_now()


@case
def bytes_arrive_in_order(loop, folder):
    local, remote, _ = yield from connected_pair(loop)
    data, got = bytes(range(256)) * 2000, b""

    def send():
        yield from local.write(data)
        local.handle.finish()

    loop.spawn(send(), "send")
    while piece := (yield from remote.read(777)):
        got += piece
    return got == data


@case
def end_of_file_is_read_repeatedly(loop, folder):
    local, remote, _ = yield from connected_pair(loop)
    local.handle.finish()
    first = yield from read_within_deadline(loop, remote)
    return (
        first,
        value_or_error(remote.read_now),
        value_or_error(lambda: remote.write_now(b"still open this way")),
    )


@case
def half_closed_side_still_reads(loop, folder):
    local, remote, _ = yield from connected_pair(loop)
    local.handle.finish()
    yield from remote.write(b"late")
    return (yield from read_within_deadline(loop, local)), value_or_error(lambda: local.write_now(b"x"))


@case
def close_without_unread_bytes_is_end_of_file(loop, folder):
    local, remote, _ = yield from connected_pair(loop)
    yield from local.write(b"last")
    local.close()
    got = yield from read_within_deadline(loop, remote)
    return got, (yield from read_within_deadline(loop, remote))


@case
def close_with_unread_bytes_is_a_reset(loop, folder):
    local, remote, _ = yield from connected_pair(loop)
    yield from remote.write(b"never read")
    yield Sleep(20 * MS)
    local.close()
    yield Sleep(20 * MS)
    return value_or_error(remote.read_now)


@case
def reset_is_reported_once_then_end_of_file(loop, folder):
    local, remote, _ = yield from connected_pair(loop)
    local.abort()
    yield Sleep(20 * MS)
    return (
        value_or_error(remote.read_now),
        value_or_error(remote.read_now),
        value_or_error(lambda: remote.write_now(b"x")),
    )


@case
def bytes_before_a_reset_are_read(loop, folder):
    local, remote, _ = yield from connected_pair(loop)
    yield from local.write(b"before")
    yield Sleep(20 * MS)
    local.abort()
    yield Sleep(20 * MS)
    return value_or_error(remote.read_now), value_or_error(remote.read_now)


@case
def write_to_closed_peer_gets_a_reset(loop, folder):
    local, remote, _ = yield from connected_pair(loop)
    local.close()
    yield Sleep(20 * MS)
    first = value_or_error(lambda: remote.write_now(b"x"))
    yield Sleep(20 * MS)
    return first, value_or_error(lambda: remote.write_now(b"x"))


@case
def closed_handle_reports_connection_lost(loop, folder):
    local, remote, _ = yield from connected_pair(loop)
    local.close()
    local.close()
    local.abort()
    return value_or_error(local.read_now), value_or_error(lambda: local.write_now(b"x")), local.closed


@case
def close_wakes_a_waiting_reader(loop, folder):
    local, remote, _ = yield from connected_pair(loop)

    def wait_for_handle():
        return (yield from local.read())

    task = loop.spawn(wait_for_handle(), "wait")
    yield Sleep(5 * MS)
    local.close()
    try:
        yield from task.join()
    except ConnectionLostError:
        return "connection lost"


@case
def dial_without_listener_is_refused(loop, folder):
    listener = loop.kernel.listen(LOCAL_ANY_PORT, 1)
    address = listener.address()
    listener.close()
    try:
        yield from dial(loop, address, 500 * MS)
    except RefusedError:
        return "refused"


@case
def dial_to_full_backlog_hangs(loop, folder):
    listener = loop.kernel.listen(LOCAL_ANY_PORT, 0)
    connections = []
    try:
        for _ in range(10):
            connections.append((yield from dial(loop, listener.address(), 60 * MS)))
    except DeadlineExceededError:
        return "hangs", len(connections)


@case
def client_in_backlog_may_send(loop, folder):
    listener = loop.kernel.listen(LOCAL_ANY_PORT, 4)
    local = yield from dial(loop, listener.address(), 500 * MS)
    yield from local.write(b"early")
    yield Sleep(10 * MS)
    remote = Connection(loop, listener.accept())
    return (yield from read_within_deadline(loop, remote))


@case
def closing_listener_resets_its_backlog(loop, folder):
    listener = loop.kernel.listen(LOCAL_ANY_PORT, 4)
    local = yield from dial(loop, listener.address(), 500 * MS)
    listener.close()
    yield Sleep(20 * MS)
    return value_or_error(local.read_now)


@case
def accept_after_peer_closed(loop, folder):
    listener = loop.kernel.listen(LOCAL_ANY_PORT, 4)
    local = yield from dial(loop, listener.address(), 500 * MS)
    yield from local.write(b"bye")
    local.close()
    yield Sleep(10 * MS)
    remote = Connection(loop, listener.accept())
    first = yield from read_within_deadline(loop, remote)
    return first, (yield from read_within_deadline(loop, remote)), listener.accept()


@case
def listen_on_used_port(loop, folder):
    listener = loop.kernel.listen(LOCAL_ANY_PORT, 4)
    second_listen = value_or_error(lambda: loop.kernel.listen(listener.address(), 4))
    address = listener.address()
    listener.close()
    reopened = loop.kernel.listen(address, 4)
    return second_listen, reopened.address() == address
    yield


@case
def writer_waits_for_slow_reader(loop, folder):
    local, remote, _ = yield from connected_pair(loop)
    sent, blocked = 0, False
    for _ in range(400):
        accepted = local.handle.send(bytes(1 << 16))
        if accepted is None:
            blocked = True
            break
        sent += accepted
        yield Sleep(100)

    def wait_for_handle():
        yield Writable(local.handle)
        return "writable"

    task = loop.spawn(wait_for_handle(), "wait")
    yield Sleep(20 * MS)
    writer_done = task.done
    got = 0
    while got < sent:
        got += len((yield from remote.read()))
    yield from task.join()
    return blocked, writer_done, got == sent


@case
def new_stream_is_reported_writable_once(loop, folder):
    listener = loop.kernel.listen(LOCAL_ANY_PORT, 4)
    handle = loop.kernel.dial(listener.address())
    with Deadline(loop, 500 * MS):
        while not handle.connected():
            yield Writable(handle)

    def wait_for_handle():
        yield Readable(handle)

    task = loop.spawn(wait_for_handle(), "wait")
    yield Sleep(20 * MS)
    woken = task.done
    task.cancel()
    return woken


@case
def readiness_is_edge_triggered(loop, folder):
    """Bytes that were reported but not read are not reported again; new bytes are."""
    local, remote, _ = yield from connected_pair(loop)
    yield Readable(remote.handle) if remote.read_now() is not None else Sleep(0)
    yield from local.write(b"a")
    yield Readable(remote.handle)

    def wait_for_handle():
        yield Readable(remote.handle)

    task = loop.spawn(wait_for_handle(), "wait")
    yield Sleep(20 * MS)
    woken_early = task.done
    yield from local.write(b"b")
    with Deadline(loop, 500 * MS):
        yield task
    return woken_early, remote.read_now()


@case
def datagrams_reach_their_address(loop, folder):
    local, remote = loop.kernel.open_datagrams(LOCAL_ANY_PORT), loop.kernel.open_datagrams(LOCAL_ANY_PORT)
    nothing_received = remote.recv(100)
    sent = local.send(b"hello", remote.address())
    yield Readable(remote)
    data, address = remote.recv(100)
    truncated_send = local.send(b"0123456789", remote.address())
    yield Sleep(10 * MS)
    truncated = remote.recv(4)
    return (
        nothing_received,
        sent,
        data,
        address == local.address(),
        truncated_send,
        truncated[0],
        remote.recv(4),
    )


@case
def datagram_without_receiver_is_lost(loop, folder):
    local = loop.kernel.open_datagrams(LOCAL_ANY_PORT)
    closed = loop.kernel.open_datagrams(LOCAL_ANY_PORT)
    address = closed.address()
    closed.close()
    sent = local.send(b"x", address)
    yield Sleep(10 * MS)
    return sent, local.recv(10)


@case
def sleeps_end_in_order_and_not_early(loop, folder):
    ended = []

    def sleep_for(n):
        began = loop.kernel.now()
        yield Sleep(n * MS)
        ended.append((n, loop.kernel.now() - began >= n * MS))

    tasks = [loop.spawn(sleep_for(n), f"{n}") for n in (9, 3, 6)]
    for task in tasks:
        yield from task.join()
    return ended


@case
def clock_is_monotonic(loop, folder):
    times = [loop.kernel.now()]
    for _ in range(20):
        yield Sleep(0)
        times.append(loop.kernel.now())
    return times == sorted(times), loop.kernel.wall_clock() > 1_600_000_000_000_000


@pytest.mark.parametrize("case", CASES, ids=lambda function: function.__name__)
def test_kernels_behave_alike(case, tmp_path):
    """A difference would let the simulation pass code that fails on a real system, or the reverse."""
    folders = [tmp_path / "epoll", tmp_path / "virtual"]
    folders[0].mkdir()
    epoll_result, virtual_result = run_on_epoll(case, str(folders[0])), run_on_virtual(case, str(folders[1]))
    assert epoll_result == virtual_result and epoll_result is not None
