"""Clients that leave while their requests wait or run, on sockets and on the virtual kernel."""

import pytest
from pgworld import PgWorld, answer_script, good_answer, outcome_of, statement

from cobaltpond.edge.sent_ids import SentIds
from cobaltpond.loop import Sleep
from cobaltpond.wire.statement import PlatformStatement

MS = 1000
REFUSED = ("42601", None)


def ids(world):
    """The ids of the statements that instances have received."""
    return [PlatformStatement(text).id for text in world.received]


# Guards against an id that runs twice: its client left while it ran, and it came again on a new connection.
@pytest.mark.parametrize("group", ["pay", "hold"])
def test_id_whose_client_left_while_it_ran_is_not_sent_again(each_kernel, group):
    world = PgWorld(answer_script(lambda text, _: None))

    def go():
        client = yield from world.connect()
        yield from client.send(statement(1, group), start=True)
        yield from world.until(lambda: world.received)
        client.connection.close()
        yield from world.until(lambda: not world.edge.frontend.open_ids)
        return (yield from world.query(statement(1, group)))

    assert world.run(go()) == [REFUSED]
    assert ids(world) == [b"%016x" % 1]


# Guards against an id that runs twice: it came again after its answer.
def test_id_that_was_answered_is_not_sent_again(each_kernel):
    world = PgWorld(answer_script(lambda text, _: good_answer(text)))

    def go():
        first = yield from world.query(statement(1, "pay"))
        return first + (yield from world.query(statement(1, "pay")))

    assert world.run(go())[1] == REFUSED
    assert ids(world) == [b"%016x" % 1]


# Guards against refusing an id that was never sent: a request that crossed a close comes once more.
def test_id_that_was_never_sent_is_served_when_it_comes_again(each_kernel):
    world = PgWorld(answer_script(lambda text, _: good_answer(text)))

    def go():
        client = yield from world.connect()
        yield from client.send(statement(1, "pay")[:-1], start=True)  # unsound: refused before it is sent
        yield from client.read()
        outcome_of((yield from client.read()))
        return (yield from world.query(statement(1, "pay")))

    assert world.run(go())[0][0] == "delivered"


# Guards against requests that are sent on although the close of their client lies behind them, unread.
def test_commands_behind_an_open_one_are_not_sent_on_after_the_close(each_kernel):
    world = PgWorld(answer_script(lambda text, _: None))

    def go():
        client = yield from world.connect()
        yield from client.send(*(statement(n, "pay") for n in range(1, 9)), start=True)
        yield from world.until(lambda: world.received)
        client.connection.close()
        yield Sleep(800 * MS)

    world.run(go())
    assert ids(world) == [b"%016x" % 1]
    assert world.edge.host.pending_hits == {}


# Guards against a record of ids that grows without end, and one that forgets too soon under ever new ones.
def test_the_latest_ids_are_known_and_the_oldest_forgotten():
    slots, recorded = 256, [b"%016x" % (number * 2**20) for number in range(1000)]
    sent = SentIds(slots, seed=7)
    for number, request_id in enumerate(recorded):
        sent.record(request_id)
        assert all(known in sent for known in recorded[max(0, number + 1 - slots // 4) : number + 1])
    assert sum(request_id in sent for request_id in recorded[: -slots // 2]) == 0


# Guards against an id that is forgotten although it comes again and again.
def test_an_id_that_comes_again_stays_known():
    sent = SentIds(256, seed=7)
    sent.record(b"%016x" % 0)
    for number in range(1, 1000):
        sent.record(b"%016x" % number)
        assert b"%016x" % 0 in sent
