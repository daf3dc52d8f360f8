"""Connections that are ended to make room: whatever was read of them gets its final answer."""

from pgworld import PgWorld, answer_script, good_answer, outcome_of, query_script, statement

from cobaltpond.loop import Sleep
from cobaltpond.wire import pg

MS = 1000


def delayed_answer(world, connection, text):
    """Answers after a while."""
    yield Sleep(100 * MS)
    yield from connection.write(good_answer(text))


# Guards against commands that are read and then closed away without an answer.
def test_pipelined_commands_of_an_ended_connection_are_refused(each_kernel):
    world = PgWorld(query_script(delayed_answer))

    def go():
        client, got = (yield from world.connect()), []
        yield from client.send(*(statement(n) for n in range(1, 4)), start=True)
        yield from world.until(lambda: world.received)
        (owner,) = world.edge.frontend.clients
        owner.end_after_answer()
        yield from client.read()
        for _ in range(4):
            got.append(outcome_of((yield from client.read()))[0])
        return got

    assert world.run(go()) == ["delivered", "53300", "53300", "nothing"]
    assert len(world.received) == 1


# Guards against ending a client that sends one request after another and never pipelines.
def test_only_connections_with_commands_waiting_count_as_pipelining(each_kernel):
    world = PgWorld(answer_script(lambda text, _: good_answer(text)))

    def go():
        client = yield from world.connect()
        yield from client.send(start=True)
        yield from client.read()
        (owner,), seen = world.edge.frontend.clients, []
        for number in range(1, 4):
            yield from client.send(statement(number))
            yield from client.read()
            seen.append(owner.pipelined_since)
        yield from client.send(*(statement(n) for n in range(4, 7)))
        for _ in range(2):
            yield from client.read()
        return seen, owner.pipelined_since is not None

    assert world.run(go()) == ([None] * 3, True)


# Guards against a refusal that passes for the open hit's, which may run: a large command behind it waits in
# vain for memory.
def test_open_hit_gets_its_own_answer_when_the_command_behind_it_is_refused(each_kernel):
    world = PgWorld(query_script(delayed_answer))
    large = statement(2, "hold").replace(b"\\x9f03", b"\\x" + b"9f" * 60_000)

    def go():
        client, got = (yield from world.connect()), []
        world.edge.budget.charge(world.edge.budget.capacity)
        yield from client.send(statement(1, "pay", 700), start=True)
        yield from world.until(lambda: world.received)
        yield from client.connection.write(pg.query_message(large)[:1000])
        (owner,) = world.edge.frontend.clients
        yield from world.until(lambda: owner.input.is_waiting)
        owner.input.reservation.requested_at -= 10_000 * MS
        world.edge.frontend.relieve_memory_once()
        yield from client.read()
        for _ in range(2):
            got.append(outcome_of((yield from client.read()))[0])
        return got

    assert world.run(go()) == ["delivered", "53300"]
