"""Tasks, deadlines, cancellation, timers, sockets and child processes of the event loop, on the epoll
kernel.
"""

import resource
import sys

import pytest

from cobaltpond.loop import (
    ConnectionLostError,
    Deadline,
    DeadlineExceededError,
    EpollKernel,
    Event,
    HandlesExhaustedError,
    Loop,
    Queue,
    RefusedError,
    Sleep,
    dial,
    serve,
)

MS = 1000


@pytest.fixture
def loop():
    failures = []
    loop = Loop(EpollKernel(), lambda task, error: failures.append((task.name, error)))
    loop.failures = failures
    return loop


def run(loop, generator):
    return loop.run(loop.spawn(generator, "main"))


def test_deadline_interrupts_nested_wait(loop):
    """An outer deadline interrupts a wait in a subroutine with a longer deadline of its own, and does not
    interrupt later waits.
    """

    def inner():
        with Deadline(loop, 500 * MS):
            yield Sleep(5_000 * MS)

    def outer():
        began = loop.now()
        try:
            with Deadline(loop, 20 * MS):
                yield from inner()
        except DeadlineExceededError:
            yield Sleep(1 * MS)  # a later wait is not interrupted again
            return loop.now() - began

    assert 20 * MS <= run(loop, outer()) < 200 * MS


def test_expired_deadline_does_not_interrupt_later_waits(loop):
    """A deadline that expires in the same turn as its wait ends must not interrupt a wait outside its
    block.
    """

    def main():
        for _ in range(50):
            try:
                with Deadline(loop, 1 * MS):
                    yield Sleep(1 * MS)
            except DeadlineExceededError:
                pass
            yield Sleep(100)
        return "finished"

    assert run(loop, main()) == "finished"


def test_cancelled_task_may_wait_in_finally(loop):
    """A cancelled task can wait in its `finally` block, and cancellation is no failure."""
    log = []

    def cancelled_task():
        try:
            yield Sleep(10_000 * MS)
        finally:
            log.append("cleaning")
            yield Sleep(1 * MS)
            log.append("clean")

    def main():
        task = loop.spawn(cancelled_task(), "cancelled")
        yield Sleep(1 * MS)
        task.cancel()
        yield task
        return log

    assert run(loop, main()) == ["cleaning", "clean"] and not loop.failures


def test_task_cancelled_before_first_step_runs_finally(loop):
    """A task that is cancelled before it has run at all still runs its `finally` block."""
    log = []

    def cancelled_task():
        try:
            yield Sleep(10_000 * MS)
        finally:
            log.append("clean")

    def main():
        task = loop.spawn(cancelled_task(), "cancelled")
        task.cancel()
        yield task

    run(loop, main())
    assert log == ["clean"]


def test_task_failure_is_reported_or_raised_in_join(loop):
    """A task's error must not get lost: it goes to `join`, or to the failure callback if nobody joins."""

    def fail():
        yield Sleep(0)
        raise ValueError("failed on purpose")

    def run_unjoined():
        loop.spawn(fail(), "fail")
        yield Sleep(5 * MS)

    run(loop, run_unjoined())
    ((name, error),) = loop.failures
    assert name == "fail" and str(error) == "failed on purpose"

    def run_joined():
        yield from loop.spawn(fail(), "fail").join()

    with pytest.raises(ValueError):
        run(loop, run_joined())
    assert len(loop.failures) == 1


def test_event_value_is_delivered_before_an_interruption(loop):
    """An interruption in the same turn as `set` must not drop the value of the event."""
    event, got = Event(), []

    def wait_for_event():
        try:
            with Deadline(loop, 5 * MS):
                got.append((yield event))
                yield Sleep(10_000 * MS)
        except DeadlineExceededError:
            got.append("late")

    def main():
        task = loop.spawn(wait_for_event(), "wait")
        yield Sleep(1 * MS)
        event.set("value")
        task.interrupt(task)  # in the same turn
        task.discard_interrupt(task)
        yield task

    run(loop, main())
    assert got == ["value", "late"]


def test_full_queue_blocks_the_producer(loop):
    """The queue never holds more than its bound, however fast the producer is."""
    queue, lengths = Queue(3), []

    def produce():
        for n in range(50):
            yield from queue.put(n)
            lengths.append(len(queue.items))

    def main():
        loop.spawn(produce(), "produce")
        got = []
        for _ in range(50):
            got.append((yield from queue.get()))
            yield Sleep(10)
        return got

    assert run(loop, main()) == list(range(50)) and max(lengths) <= 3


def test_timer_heap_stays_small_with_100000_timers(loop):
    """Cancelled timers are removed from the heap, and due timers fire in order of time."""
    fired = []
    timers = [loop.call_in(3_600_000 * MS, lambda: None) for _ in range(100_000)]
    for n in (3, 1, 2):
        loop.call_in(n * MS, lambda n=n: fired.append(n))
    for timer in timers[:90_000]:
        timer.cancel()
    assert len(loop.timers.heap) < 25_000

    def main():
        yield Sleep(10 * MS)

    began = loop.kernel.now()
    run(loop, main())
    assert fired == [1, 2, 3] and loop.kernel.now() - began < 500 * MS


def test_dial_reports_refusal_and_deadline(loop):
    """A dial without a listener is refused, and a dial to a full backlog ends with its deadline."""
    listener = loop.kernel.listen(("127.0.0.1", 0), 0)
    address = listener.address()
    closed = loop.kernel.listen(("127.0.0.1", 0), 1)
    closed_address = closed.address()
    closed.close()

    def main():
        with pytest.raises(RefusedError):
            yield from dial(loop, closed_address, 200 * MS)
        connections, timed_out = [], False
        for _ in range(20):  # no task accepts: the backlog fills up, and further dials hang
            try:
                connections.append((yield from dial(loop, address, 50 * MS)))
            except DeadlineExceededError:
                timed_out = True
                break
        for connection in connections:
            connection.close()
        return timed_out

    assert run(loop, main())


def test_write_waits_for_slow_reader_and_reports_reset(loop):
    """A write of 5 MiB waits for a slow reader; a reset then ends reading with ConnectionLostError."""
    listener = loop.kernel.listen(("127.0.0.1", 0), 8)
    got = []

    def serve_connection(connection):
        yield Sleep(30 * MS)
        while sum(map(len, got)) < 5 << 20:
            got.append((yield from connection.read()))
        connection.abort()

    def main():
        task = loop.spawn(serve(loop, listener, serve_connection, 4, "serve"), "serve")
        connection = yield from dial(loop, listener.address(), 500 * MS)
        yield from connection.write(b"x" * (5 << 20))
        with pytest.raises(ConnectionLostError):
            while (yield from connection.read()):
                pass
        connection.close()
        with pytest.raises(ConnectionLostError):
            yield from connection.read()
        task.cancel()
        yield task

    run(loop, main())
    assert sum(map(len, got)) == 5 << 20


def test_descriptor_limit_at_accept_and_dial(loop):
    """At the file descriptor limit accepting pauses and later goes on, a dial raises
    HandlesExhaustedError, and open connections keep working.
    """
    listener = loop.kernel.listen(("127.0.0.1", 0), 64)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    def serve_connection(connection):
        while data := (yield from connection.read()):
            yield from connection.write(data)

    def main():
        task = loop.spawn(serve(loop, listener, serve_connection, 64, "echo", pause=5 * MS), "echo")
        first = yield from dial(loop, listener.address(), 500 * MS)
        yield Sleep(5 * MS)
        second = loop.kernel.dial(listener.address())  # stays in the backlog
        handles = []
        resource.setrlimit(resource.RLIMIT_NOFILE, (200, hard))
        try:
            with pytest.raises(HandlesExhaustedError):
                while True:
                    handles.append(loop.kernel.dial(listener.address()))
            yield from first.write(b"still here")
            assert (yield from first.read()) == b"still here"
            yield Sleep(20 * MS)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for handle in handles:
                handle.close()
        from cobaltpond.loop import Connection

        backlog_connection = Connection(loop, second)
        yield from backlog_connection.write(b"late")
        with Deadline(loop, 2_000 * MS):
            assert (yield from backlog_connection.read()) == b"late"
        for connection in (first, backlog_connection):
            connection.close()
        task.cancel()
        yield task

    run(loop, main())
    assert not loop.failures


def test_accept_evicts_idle_connections_before_pausing(loop):
    """A simulation found that new connections waited in the backlog while idle connections kept the file
    descriptors.
    """

    class ExhaustedListener:
        reader, attempts, evictions = None, 0, 0

        def accept(self):
            self.attempts += 1
            if not self.evictions:
                raise HandlesExhaustedError("no descriptor left")

        def evict(self):
            self.evictions += 1
            return True

        def close(self):
            pass

    listener = ExhaustedListener()

    def main():
        task = loop.spawn(
            serve(loop, listener, None, 4, "door", pause=10_000 * MS, evict=listener.evict), "door"
        )
        yield Sleep(20 * MS)
        task.cancel()
        yield task

    run(loop, main())
    assert listener.evictions == 1 and listener.attempts >= 2


def test_shutdown_drains_backlog_after_descriptor_shortage(loop):
    """A client in the backlog sees an established connection. It is still accepted when `serve` is
    cancelled, although no descriptor is free at first.
    """

    class BusyListener:
        reader, attempts, accepted, closed = None, 0, 0, False

        def accept(self):
            self.attempts += 1
            if self.attempts == 1:
                return None  # the backlog is empty: `serve` waits for it
            if self.attempts < 5:
                raise HandlesExhaustedError("no descriptor left")
            self.accepted += 1
            return self if self.accepted == 1 else None

        def close(self):
            self.closed = True

    listener, listener_closed = BusyListener(), []

    def serve_connection(connection):
        listener_closed.append(listener.closed)
        yield Sleep(0)

    def main():
        task = loop.spawn(serve(loop, listener, serve_connection, 4, "door", pause=2 * MS), "door")
        yield Sleep(5 * MS)
        task.cancel()
        yield task
        yield Sleep(5 * MS)

    run(loop, main())
    assert listener_closed == [True] and listener.attempts == 6 and not loop.failures


def test_child_process_ends_by_signal(loop, tmp_path):
    """A child process gets a signal, and its exit code is the negative number of the signal."""
    child = loop.kernel.spawn(
        [sys.executable, "-c", "print('up', flush=True); import time; time.sleep(60)"], str(tmp_path / "out")
    )

    def main():
        with Deadline(loop, 5_000 * MS):
            while b"up" not in (loop.kernel.read_file(str(tmp_path / "out")) or b""):
                yield Sleep(5 * MS)
            child.signal("TERM")
            while child.ended() is None:
                yield Sleep(2 * MS)
        return child.ended()

    assert run(loop, main()) == -15
