"""Tasks, deadlines, cancellation, timers, sockets and children of the loop, on the real kernel."""

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
    task_failures = []
    loop = Loop(EpollKernel(), lambda task, trouble: task_failures.append((task.name, trouble)))
    loop.task_failures = task_failures
    return loop


def run(loop, generator):
    return loop.run(loop.spawn(generator, "main"))


def test_a_deadline_interrupts_and_composes(loop):
    def inner():
        with Deadline(loop, 500 * MS):
            yield Sleep(5_000 * MS)

    def outer():
        began = loop.now()
        try:
            with Deadline(loop, 20 * MS):
                yield from inner()
        except DeadlineExceededError:
            yield Sleep(1 * MS)  # and nothing of it is left behind
            return loop.now() - began

    assert 20 * MS <= run(loop, outer()) < 200 * MS


def test_a_deadline_that_passes_as_the_wait_ends_does_no_harm_afterwards(loop):
    def go():
        for _ in range(50):
            try:
                with Deadline(loop, 1 * MS):
                    yield Sleep(1 * MS)
            except DeadlineExceededError:
                pass
            yield Sleep(100)
        return "whole"

    assert run(loop, go()) == "whole"


def test_cancelling_runs_finally_and_waits_in_it(loop):
    said = []

    def victim():
        try:
            yield Sleep(10_000 * MS)
        finally:
            said.append("cleaning")
            yield Sleep(1 * MS)
            said.append("clean")

    def go():
        task = loop.spawn(victim(), "victim")
        yield Sleep(1 * MS)
        task.cancel()
        yield task
        return said

    assert run(loop, go()) == ["cleaning", "clean"] and not loop.task_failures


def test_a_task_cancelled_before_its_first_step_still_cleans_up(loop):
    said = []

    def victim():
        try:
            yield Sleep(10_000 * MS)
        finally:
            said.append("clean")

    def go():
        task = loop.spawn(victim(), "victim")
        task.cancel()
        yield task

    run(loop, go())
    assert said == ["clean"]


def test_no_task_dies_in_silence(loop):
    def bad():
        yield Sleep(0)
        raise ValueError("oh")

    def alone():
        loop.spawn(bad(), "bad")
        yield Sleep(5 * MS)

    run(loop, alone())
    ((name, trouble),) = loop.task_failures
    assert name == "bad" and str(trouble) == "oh"

    def joined():
        yield from loop.spawn(bad(), "bad").join()

    with pytest.raises(ValueError):
        run(loop, joined())
    assert len(loop.task_failures) == 1


def test_a_value_on_its_way_is_not_lost_to_an_interruption(loop):
    event, got = Event(), []

    def waits():
        try:
            with Deadline(loop, 5 * MS):
                got.append((yield event))
                yield Sleep(10_000 * MS)
        except DeadlineExceededError:
            got.append("late")

    def go():
        task = loop.spawn(waits(), "waits")
        yield Sleep(1 * MS)
        event.set("value")
        task.interrupt(task)  # in the same turn
        task.discard_interrupt(task)
        yield task

    run(loop, go())
    assert got == ["value", "late"]


def test_a_queue_holds_back_whoever_puts(loop):
    queue, most = Queue(3), []

    def puts():
        for n in range(50):
            yield from queue.put(n)
            most.append(len(queue.items))

    def go():
        loop.spawn(puts(), "puts")
        got = []
        for _ in range(50):
            got.append((yield from queue.get()))
            yield Sleep(10)
        return got

    assert run(loop, go()) == list(range(50)) and max(most) <= 3


def test_a_hundred_thousand_timers_stay_cheap(loop):
    """The heap does not fill with cancelled ones, and what is due comes in order."""
    fired = []
    timers = [loop.call_in(3_600_000 * MS, lambda: None) for _ in range(100_000)]
    for n in (3, 1, 2):
        loop.call_in(n * MS, lambda n=n: fired.append(n))
    for timer in timers[:90_000]:
        timer.cancel()
    assert len(loop.timers.heap) < 25_000

    def go():
        yield Sleep(10 * MS)

    began = loop.kernel.now()
    run(loop, go())
    assert fired == [1, 2, 3] and loop.kernel.now() - began < 500 * MS


def test_dials_that_are_refused_and_that_hang(loop):
    listener = loop.kernel.listen(("127.0.0.1", 0), 0)
    address = listener.address()
    closed = loop.kernel.listen(("127.0.0.1", 0), 1)
    nobody = closed.address()
    closed.close()

    def go():
        with pytest.raises(RefusedError):
            yield from dial(loop, nobody, 200 * MS)
        kept, late = [], False
        for _ in range(20):  # nobody accepts: the backlog fills, and then dials hang
            try:
                kept.append((yield from dial(loop, address, 50 * MS)))
            except DeadlineExceededError:
                late = True
                break
        for connection in kept:
            connection.close()
        return late

    assert run(loop, go())


def test_bytes_both_ways_with_a_peer_that_reads_late_then_resets(loop):
    listener = loop.kernel.listen(("127.0.0.1", 0), 8)
    got = []

    def answer(connection):
        yield Sleep(30 * MS)
        while sum(map(len, got)) < 5 << 20:
            got.append((yield from connection.read()))
        connection.abort()

    def go():
        task = loop.spawn(serve(loop, listener, answer, 4, "serve"), "serve")
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

    run(loop, go())
    assert sum(map(len, got)) == 5 << 20


def test_used_up_descriptors_at_accept_and_at_dial(loop):
    """Accepting waits and goes on; dialling says so; what is open is not touched."""
    listener = loop.kernel.listen(("127.0.0.1", 0), 64)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    def answer(connection):
        while data := (yield from connection.read()):
            yield from connection.write(data)

    def go():
        task = loop.spawn(serve(loop, listener, answer, 64, "echo", pause=5 * MS), "echo")
        first = yield from dial(loop, listener.address(), 500 * MS)
        yield Sleep(5 * MS)
        second = loop.kernel.dial(listener.address())  # waits in the backlog
        hoard = []
        resource.setrlimit(resource.RLIMIT_NOFILE, (200, hard))
        try:
            with pytest.raises(HandlesExhaustedError):
                while True:
                    hoard.append(loop.kernel.dial(listener.address()))
            yield from first.write(b"still here")
            assert (yield from first.read()) == b"still here"
            yield Sleep(20 * MS)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for handle in hoard:
                handle.close()
        from cobaltpond.loop import Connection

        late = Connection(loop, second)
        yield from late.write(b"late")
        with Deadline(loop, 2_000 * MS):
            assert (yield from late.read()) == b"late"
        for connection in (first, late):
            connection.close()
        task.cancel()
        yield task

    run(loop, go())
    assert not loop.task_failures


def test_what_can_be_spared_goes_before_accepting_pauses(loop):
    """Found by simulation: hits waited in the backlog while idle connections held on to handles."""

    class Full:
        reader, tries, spared = None, 0, 0

        def accept(self):
            self.tries += 1
            if not self.spared:
                raise HandlesExhaustedError("none left")

        def evict(self):
            self.spared += 1
            return True

        def close(self):
            pass

    full = Full()

    def go():
        task = loop.spawn(serve(loop, full, None, 4, "door", pause=10_000 * MS, evict=full.evict), "door")
        yield Sleep(20 * MS)
        task.cancel()
        yield task

    run(loop, go())
    assert full.spared == 1 and full.tries >= 2


def test_who_waits_in_the_backlog_at_the_end_is_taken_though_no_handle_is_left_at_first(loop):
    class Used:
        reader, tries, taken, closed = None, 0, 0, False

        def accept(self):
            self.tries += 1
            if self.tries == 1:
                return None  # nobody there: it waits
            if self.tries < 5:
                raise HandlesExhaustedError("none left")
            self.taken += 1
            return self if self.taken == 1 else None

        def close(self):
            self.closed = True

    used, answered = Used(), []

    def answer(connection):
        answered.append(used.closed)
        yield Sleep(0)

    def go():
        task = loop.spawn(serve(loop, used, answer, 4, "door", pause=2 * MS), "door")
        yield Sleep(5 * MS)
        task.cancel()
        yield task
        yield Sleep(5 * MS)

    run(loop, go())
    assert answered == [True] and used.tries == 6 and not loop.task_failures


def test_children_end_and_are_told_to(loop, tmp_path):
    child = loop.kernel.spawn(
        [sys.executable, "-c", "print('up', flush=True); import time; time.sleep(60)"], str(tmp_path / "out")
    )

    def go():
        with Deadline(loop, 5_000 * MS):
            while b"up" not in (loop.kernel.read_file(str(tmp_path / "out")) or b""):
                yield Sleep(5 * MS)
            child.signal("TERM")
            while child.ended() is None:
                yield Sleep(2 * MS)
        return child.ended()

    assert run(loop, go()) == -15
