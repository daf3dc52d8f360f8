"""Crossing events at connections to instances: kept connections that end, and instances that restart."""

import socket
import struct

import pytest
from pgcrossings import MS, OK, answering_then, policy, settled
from pgworld import PgWorld, answering, exchanging, good, row, statement, tag_of, told

from cobaltpond.loop import ConnectionLostError, Sleep
from cobaltpond.wire import pg


def test_several_kept_connections_that_die_at_once_cost_no_request(either):
    """All are closed by the instance in the step in which a request that must not run twice comes."""
    kept = []

    def script(world, connection):
        kept.append(connection)
        yield from answering(lambda text, _: good(text))(world, connection)

    world = PgWorld(script)

    def go():
        clients = []
        for n in range(3):
            clients.append((yield from world.connect()))
            yield from clients[n].send(start=True)
            yield from clients[n].read()
        for n, client in enumerate(clients):
            client.connection.write_now(pg.query_message(statement(n)))
        for client in clients:
            yield from client.read()
        yield Sleep(80 * MS)  # all have rested
        assert len(world.edge.endpoints.by_id["s-0"].idle) == 3
        for connection in list(kept):
            connection.close()
        clients[0].connection.write_now(pg.query_message(statement(9, "pay")))
        return told((yield from clients[0].read()))

    assert world.run(go()) == OK and len(kept) == 4 and world.seen() == {"answer": 4}


def test_a_connection_that_has_idled_its_time_is_not_written_to_though_no_sweep_has_closed_it(either):
    """The machine closes it no later than that, and what is written then may have run."""

    def script(world, connection):
        asked, last = pg.ClientMessageParser(), world.loop.now()
        while data := (yield from connection.read()):
            for kind, value in asked.feed(data):
                if kind == "query" and world.loop.now() - last > 300 * MS:
                    connection.abort()
                    return
                yield from connection.write(pg.startup_response() if kind == "startup" else good(value))
                last = world.loop.now()

    world = PgWorld(script, settings=policy(connIdle=300.0))

    def go():
        next(task for task in world.loop.tasks if task.name == "sweep").cancel()
        client = yield from settled(world, statement(1))
        yield Sleep(310 * MS)
        assert world.edge.endpoints.by_id["s-0"].idle
        yield from client.send(statement(2, "pay"))
        return told((yield from client.read()))

    assert world.run(go()) == OK


def test_a_second_answer_while_the_end_of_the_first_is_awaited_is_nobody_s(either):
    """Row and command are whole, so the answer is passed on; the end of the exchange comes with a copy before
    it."""

    def on_query(world, connection, text):
        own = row(text[text.find(b"id=") + 15 :][:4], tag_of(text))
        yield from connection.write(own)
        yield from world.until(lambda: sum(world.edge.frontend.counts.values()) >= len(world.got))
        yield from connection.write(own + pg.READY_FOR_QUERY)

    world = PgWorld(exchanging(on_query))
    assert world.run(world.ask(*(statement(n) for n in range(1, 5)))) == [
        ("delivered", b"%04x" % n) for n in range(1, 5)
    ]


@pytest.mark.parametrize("client_first", [False, True])
def test_an_answer_in_the_turn_in_which_its_client_has_gone_goes_to_nobody(client_first, either):
    clients = []
    world = PgWorld(
        answering_then(good, lambda number: number == 1 and clients[0].connection.close(), client_first)
    )

    def go():
        clients.append((yield from world.connect()))
        yield from clients[0].send(statement(1), start=True)
        yield from world.until(lambda: world.got and not world.edge.host.hits)
        yield Sleep(80 * MS)
        return (yield from world.ask(statement(2)))

    assert world.run(go()) == [OK]
    assert world.edge.endpoints.open_count == 1 and [
        i.out for i in world.edge.host.decisions.fleet.by_id.values()
    ] == [0]


def test_the_list_tells_of_a_restart_while_the_attempt_dials(either):
    """What is dialled is the new start, which nobody has decided on: nothing is written to it by the old
    decision."""

    def script(world, connection):
        yield from connection.read()
        if not world.seen():
            world.tell(host="s-0", born_ms=world.loop.kernel.wall_clock() // 1000 - 60_000)
            yield from world.until(lambda: world.edge.endpoints.by_id["s-0"].row["started"] is not None)
        yield from connection.write(pg.startup_response())
        asked = pg.ClientMessageParser()
        asked.started = True
        while data := (yield from connection.read()):
            for _, value in asked.feed(data):
                world.got.append(value)
                yield from connection.write(good(value))

    world = PgWorld(script)
    answers = world.run(world.ask(statement(1)))
    assert world.seen()["changed meanwhile"] == 1 and answers in ([OK], [("53300", "400")])
    assert len(world.got) == answers.count(OK)


@pytest.mark.parametrize("told_of", [True, False])
def test_a_restart_while_a_request_is_in_flight_and_the_list_s_word_comes_or_never_does(told_of, either):
    """Its connection ends: it may have run, so it does not run again; the next one goes to the new start."""

    def script(world, connection):
        def reply(text, number):
            if number == 1:
                if told_of:
                    world.tell(host="s-0", born_ms=world.loop.kernel.wall_clock() // 1000 - 60_000)
                return "reset"
            return good(text)

        yield from answering(reply)(world, connection)

    world = PgWorld(script)

    def go():
        first = yield from world.ask(statement(1, "pay"))
        if told_of:
            yield from world.until(lambda: world.edge.endpoints.by_id["s-0"].row["started"] is not None)
        decisions = world.edge.host.decisions
        yield from world.until(lambda: all(i.ejected_until < world.loop.now() for i in decisions.fleet.up))
        return first, (yield from world.ask(statement(2)))

    assert world.run(go()) == ([("58000", None)], [OK]) and len(world.got) == 2
    assert world.edge.endpoints.open_count == 1


def test_the_list_tells_of_a_restart_while_an_answer_of_the_start_before_is_out(either):
    """It is delivered all the same, and its connection is of no further use."""

    def script(world, connection):
        asked = pg.ClientMessageParser()
        while data := (yield from connection.read()):
            for kind, value in asked.feed(data):
                if kind == "query" and not world.got:
                    world.tell(host="s-0", born_ms=world.loop.kernel.wall_clock() // 1000 - 60_000)
                    yield from world.until(
                        lambda: world.edge.endpoints.by_id["s-0"].row["started"] is not None
                    )
                if kind == "query":
                    world.got.append(value)
                yield from connection.write(pg.startup_response() if kind == "startup" else good(value))

    world = PgWorld(script)
    assert world.run(world.ask(statement(1))) == [OK] and world.edge.endpoints.open_count == 0


def test_a_reset_of_a_client_in_the_turn_of_its_request_is_a_client_that_has_gone():
    world = PgWorld(answering(lambda text, _: good(text)))

    def go():
        client = yield from settled(world)
        client.connection.write_now(pg.query_message(statement(1)))
        client.connection.handle.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.connection.close()
        yield from world.until(lambda: not world.edge.frontend.clients and not world.edge.host.hits)
        try:
            yield from client.read()
        except ConnectionLostError:
            return (yield from world.ask(statement(2)))

    assert world.run(go()) == [OK] and len(world.got) == 1
