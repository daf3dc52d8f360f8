"""Race conditions at connections to instances: kept connections that close, and instances that restart."""

import socket
import struct

import pytest
from pgcrossings import MS, OK, answer_and_act_script, idle_client, policy_limits
from pgworld import PgWorld, answer_script, command_tag, good_answer, outcome_of, query_script, row, statement

from cobaltpond.loop import ConnectionLostError, Sleep
from cobaltpond.wire import pg


def test_kept_connections_that_close_together_lose_no_request(each_kernel):
    """The instance closes all kept connections in the step in which a request arrives that must not run
    twice: it must go over a new connection.
    """
    connections = []

    def script(world, connection):
        connections.append(connection)
        yield from answer_script(lambda text, _: good_answer(text))(world, connection)

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
        yield Sleep(80 * MS)  # all have rested long enough to be reused
        assert len(world.edge.endpoints.by_id["s-0"].idle) == 3
        for connection in list(connections):
            connection.close()
        clients[0].connection.write_now(pg.query_message(statement(9, "pay")))
        return outcome_of((yield from clients[0].read()))

    assert world.run(go()) == OK and len(connections) == 4 and world.forward_results() == {"answer": 4}


def test_expired_idle_connection_is_not_used_even_without_a_sweep(each_kernel):
    """The instance closes a connection no later than after its idle time, and a hit that is written then may
    have run.
    """

    def script(world, connection):
        parser, last = pg.ClientMessageParser(), world.loop.now()
        while data := (yield from connection.read()):
            for kind, value in parser.feed(data):
                if kind == "query" and world.loop.now() - last > 300 * MS:
                    connection.abort()
                    return
                yield from connection.write(
                    pg.startup_response() if kind == "startup" else good_answer(value)
                )
                last = world.loop.now()

    world = PgWorld(script, settings=policy_limits(connIdle=300.0))

    def go():
        next(task for task in world.loop.tasks if task.name == "sweep").cancel()
        client = yield from idle_client(world, statement(1))
        yield Sleep(310 * MS)
        assert world.edge.endpoints.by_id["s-0"].idle
        yield from client.send(statement(2, "pay"))
        return outcome_of((yield from client.read()))

    assert world.run(go()) == OK


def test_duplicate_response_before_ready_for_query_is_discarded(each_kernel):
    """A response is delivered once its row and command are complete.

    A duplicate before ReadyForQuery must not become the response of the next hit.
    """

    def on_query(world, connection, text):
        own = row(text[text.find(b"id=") + 15 :][:4], command_tag(text))
        yield from connection.write(own)
        yield from world.until(lambda: sum(world.edge.frontend.counts.values()) >= len(world.received))
        yield from connection.write(own + pg.READY_FOR_QUERY)

    world = PgWorld(query_script(on_query))
    assert world.run(world.query(*(statement(n) for n in range(1, 5)))) == [
        ("delivered", b"%04x" % n) for n in range(1, 5)
    ]


@pytest.mark.parametrize("client_first", [False, True])
def test_response_in_the_turn_of_the_client_close_is_discarded(client_first, each_kernel):
    clients = []
    world = PgWorld(
        answer_and_act_script(
            good_answer, lambda number: number == 1 and clients[0].connection.close(), client_first
        )
    )

    def go():
        clients.append((yield from world.connect()))
        yield from clients[0].send(statement(1), start=True)
        yield from world.until(lambda: world.received and not world.edge.host.pending_hits)
        yield Sleep(80 * MS)
        return (yield from world.query(statement(2)))

    assert world.run(go()) == [OK]
    assert world.edge.endpoints.open_count == 1 and [
        i.own_inflight for i in world.edge.host.decisions.fleet.by_id.values()
    ] == [0]


def test_restart_announced_during_the_dial_stops_the_forward(each_kernel):
    """The dial reaches the new start, on which no decision has been made: the old decision must write nothing
    to it.
    """

    def script(world, connection):
        yield from connection.read()
        if not world.forward_results():
            world.publish_host(host="s-0", born_ms=world.loop.kernel.wall_clock() // 1000 - 60_000)
            yield from world.until(lambda: world.edge.endpoints.by_id["s-0"].row["started"] is not None)
        yield from connection.write(pg.startup_response())
        parser = pg.ClientMessageParser()
        parser.started = True
        while data := (yield from connection.read()):
            for _, value in parser.feed(data):
                world.received.append(value)
                yield from connection.write(good_answer(value))

    world = PgWorld(script)
    answers = world.run(world.query(statement(1)))
    assert world.forward_results()["changed meanwhile"] == 1 and answers in ([OK], [("53300", "400")])
    assert len(world.received) == answers.count(OK)


@pytest.mark.parametrize("is_announced", [True, False])
def test_restart_during_a_request_with_and_without_a_list_update(is_announced, each_kernel):
    """The connection of an open request closes: it may have run, so it is not sent again, and the next one
    goes to the new start.
    """

    def script(world, connection):
        def reply(text, number):
            if number == 1:
                if is_announced:
                    world.publish_host(host="s-0", born_ms=world.loop.kernel.wall_clock() // 1000 - 60_000)
                return "reset"
            return good_answer(text)

        yield from answer_script(reply)(world, connection)

    world = PgWorld(script)

    def go():
        first = yield from world.query(statement(1, "pay"))
        if is_announced:
            yield from world.until(lambda: world.edge.endpoints.by_id["s-0"].row["started"] is not None)
        decisions = world.edge.host.decisions
        yield from world.until(lambda: all(i.ejected_until < world.loop.now() for i in decisions.fleet.up))
        return first, (yield from world.query(statement(2)))

    assert world.run(go()) == ([("58000", None)], [OK]) and len(world.received) == 2
    assert world.edge.endpoints.open_count == 1


def test_restart_announced_during_a_response_still_delivers_it(each_kernel):
    """The response of the old start is delivered, and its connection must not be kept."""

    def script(world, connection):
        parser = pg.ClientMessageParser()
        while data := (yield from connection.read()):
            for kind, value in parser.feed(data):
                if kind == "query" and not world.received:
                    world.publish_host(host="s-0", born_ms=world.loop.kernel.wall_clock() // 1000 - 60_000)
                    yield from world.until(
                        lambda: world.edge.endpoints.by_id["s-0"].row["started"] is not None
                    )
                if kind == "query":
                    world.received.append(value)
                yield from connection.write(
                    pg.startup_response() if kind == "startup" else good_answer(value)
                )

    world = PgWorld(script)
    assert world.run(world.query(statement(1))) == [OK] and world.edge.endpoints.open_count == 0


def test_client_reset_in_the_turn_of_its_request_counts_as_a_close():
    world = PgWorld(answer_script(lambda text, _: good_answer(text)))

    def go():
        client = yield from idle_client(world)
        client.connection.write_now(pg.query_message(statement(1)))
        client.connection.handle.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.connection.close()
        yield from world.until(lambda: not world.edge.frontend.clients and not world.edge.host.pending_hits)
        try:
            yield from client.read()
        except ConnectionLostError:
            return (yield from world.query(statement(2)))

    assert world.run(go()) == [OK] and len(world.received) == 1
