"""The budget of bytes that peers may make a process hold, its plan, and a client's input under it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pgworld import PgWorld, answer_script, command_tag, good_answer, outcome_of, row, statement

from cobaltpond.edge.client_input import SMALL_INPUT_BYTES, ClientInput
from cobaltpond.edge.memory_plan import CLIENT_BYTES, MB, plan_memory
from cobaltpond.gateway.memory_budget import MemoryBudget
from cobaltpond.loop import EpollKernel, Loop, Sleep
from cobaltpond.wire import pg

CAPACITY, REQUEST_CAPACITY = 1000, 600
LARGE = statement(7, "hold").replace(b"\\x9f03", b"\\x" + b"9f" * 60_000)
MS = 1000


class Clock:
    """Stands for a loop whose time does not pass."""

    def now(self):
        return 0


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 700)), max_size=60))
def test_budget_is_never_exceeded_and_nobody_waits_for_ever(steps):
    """Guards against a sum over the limit, and against a reservation that is never granted."""
    budget, held, granted = MemoryBudget(Clock(), CAPACITY, REQUEST_CAPACITY), [], []
    for is_release, size in steps:
        if is_release and held:
            held.pop(size % len(held)).release()
        else:
            held.append(budget.reserve_request(size, lambda: granted.append(1)))
        in_use = [reservation.size for reservation in held if reservation.granted]
        assert budget.used == sum(in_use)
        assert budget.used <= REQUEST_CAPACITY or len(in_use) == 1
    while held:
        assert any(reservation.granted for reservation in held)
        next(reservation for reservation in held if reservation.granted).release()
        held = [reservation for reservation in held if not reservation.released]
    assert budget.used == 0 and not budget.waiting_requests


def test_responses_have_room_that_requests_cannot_take():
    """Guards against requests that fill the memory and then all wait for their responses."""
    loop = Loop(EpollKernel())
    budget = MemoryBudget(loop, CAPACITY, REQUEST_CAPACITY)
    requests = [budget.reserve_request(300, lambda: None) for _ in range(4)]
    assert [reservation.granted for reservation in requests] == [True, True, False, False]

    def main():
        first = yield from budget.reserve_response(400)
        waiting = loop.spawn(budget.reserve_response(100), "waiting")
        yield Sleep(MS)
        assert not waiting.done
        first.release()
        second = yield from waiting.join()
        second.release()
        cancelled = [loop.spawn(budget.reserve_response(CAPACITY), "cancelled") for _ in range(2)]
        yield Sleep(MS)
        for task in cancelled:
            task.cancel()
        yield Sleep(MS)

    loop.run(loop.spawn(main(), "main"))
    assert budget.used == 600 and not budget.waiting_responses


@pytest.mark.parametrize("limit_mb", [32, 64, 192])
def test_plan_adds_up_to_less_than_the_limit(limit_mb):
    """Guards against shares that each fit and together do not."""
    plan = plan_memory(limit_mb, 10 * MB, 657)
    total = 10 * MB + plan.pool + plan.control + plan.max_clients * CLIENT_BYTES
    assert total < limit_mb * MB and plan.requests < plan.pool
    assert plan.max_clients == 657
    assert plan_memory(16, 10 * MB, 657).max_clients < 657  # where memory is scarcer than descriptors


def test_small_input_is_bounded_and_a_large_message_waits_for_room():
    """Guards against half-read messages that hold memory without an account."""
    budget, resumed = MemoryBudget(Clock(), 300_000, 260_000), []
    first, second = (ClientInput(budget, lambda n=n: resumed.append(n)) for n in range(2))
    for client in (first, second):
        client.parser.feed(pg.startup_message("web", "orders"))
        client.parser.add(pg.query_message(LARGE)[:SMALL_INPUT_BYTES])
        assert client.next_event() is None
    assert first.is_reading_large and second.is_waiting and second.read_size() == 0
    first.parser.add(pg.query_message(LARGE)[SMALL_INPUT_BYTES:])
    kind, command = first.next_event()
    assert kind == "query" and command.text == LARGE and not first.held_bytes
    command.release()
    assert resumed == [1] and second.is_reading_large
    second.close()
    assert budget.used == 0


def test_large_requests_and_responses_give_their_bytes_back(each_kernel):
    """Guards against an account that only grows: nothing is reserved after answers, cuts and closes."""
    world = PgWorld(
        answer_script(
            lambda text, count: row(b"x" * 60_000, command_tag(text)) + pg.READY_FOR_QUERY
            if count < 3
            else good_answer(text)
        )
    )
    budget = world.edge.budget

    def go():
        client, got = (yield from world.connect()), []
        yield from client.send(start=True)
        yield from client.read()
        for number in range(1, 5):
            yield from client.send(LARGE.replace(b"id=%016x" % 7, b"id=%016x" % number))
            got.append(outcome_of((yield from client.read()))[0])
        yield from client.connection.write(pg.query_message(LARGE)[:50_000])
        yield from world.until(lambda: budget.used > 0)
        client.connection.close()
        yield from world.until(lambda: budget.used == 0)
        return got

    assert world.run(go()) == ["delivered"] * 4
    assert budget.peak > 2 * len(LARGE)
