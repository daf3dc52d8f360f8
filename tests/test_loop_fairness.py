"""Shares of the event loop: no task and no peer holds it, on the epoll kernel."""

import pytest

from cobaltpond.loop import EpollKernel, Loop, NextTurn, Sleep, dial, serve
from cobaltpond.loop.event_loop import MAX_STEP_TIME_US

MS = 1000
FLOOD_BYTES = 1 << 20


@pytest.fixture
def loop():
    return Loop(EpollKernel())


# Guards against a peer whose next bytes are always there when its last ones are read: the reader ran on.
def test_reader_of_a_fast_peer_lets_timers_run(loop):
    received, ticks = [0], []

    def flood(connection):
        while True:
            yield from connection.write(b"x" * FLOOD_BYTES)

    def read(connection):
        while True:
            received[0] += len((yield from connection.read(1024)))
            busy_until = loop.kernel.now() + MS  # work, during which more arrives
            while loop.kernel.now() < busy_until:
                pass

    def main():
        listener = loop.kernel.listen(("127.0.0.1", 0))
        tasks = [loop.spawn(serve(loop, listener, flood, 4, "flood"), "door")]
        tasks.append(loop.spawn(read((yield from dial(loop, listener.address(), 100 * MS))), "reader"))
        for _ in range(10):
            yield Sleep(5 * MS)
            ticks.append(loop.kernel.now())
        for task in tasks:
            task.cancel()

    loop.run(loop.spawn(main(), "main"))
    assert received[0] > 1024
    assert max(b - a for a, b in zip(ticks, ticks[1:], strict=False)) < 50 * MS


# Guards against hundreds of tasks with work in one turn: timers waited for all of them.
def test_timers_run_between_the_steps_of_many_busy_tasks(loop):
    def busy():
        for _ in range(20):
            busy_until = loop.kernel.now() + MS
            while loop.kernel.now() < busy_until:
                pass
            yield NextTurn()

    def main():
        tasks = [loop.spawn(busy(), f"busy-{n}") for n in range(40)]
        fired = []
        loop.call_in(MS, lambda: fired.append(loop.kernel.now()))
        started_at = loop.kernel.now()
        while not fired:
            yield NextTurn()
        for task in tasks:
            task.cancel()
        return fired[0] - started_at

    assert loop.run(loop.spawn(main(), "main")) < 4 * MAX_STEP_TIME_US


# Guards against a task that is resumed by another one and then woken once more by what it waited for.
def test_resumed_task_is_woken_once(loop):
    wakes = []

    def sleeper():
        yield Sleep(20 * MS)
        wakes.append("resumed")
        yield Sleep(60 * MS)
        wakes.append("slept")

    def main():
        task = loop.spawn(sleeper(), "sleeper")
        yield Sleep(MS)
        task.resume()
        yield Sleep(40 * MS)
        assert wakes == ["resumed"]
        yield from task.join()

    loop.run(loop.spawn(main(), "main"))
    assert wakes == ["resumed", "slept"]
