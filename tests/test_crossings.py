"""Race conditions between the gateway and its clients, with each order of events forced.

One side waits until the other event has happened. Instances are in `test_crossings_instances.py`, list and
desk in `test_crossings_list.py`, signals and the end in `test_crossings_ends.py`; `docs/notes-edge.md` has
the table of pairs.
"""

import pytest
from pgcrossings import (
    MS,
    OK,
    answer_and_act_script,
    delayed_startup_script,
    idle_client,
    policy_limits,
    server_error,
)
from pgworld import SETTINGS, PgWorld, answer_script, good_answer, outcome_of, statement

from cobaltpond.loop import Sleep
from cobaltpond.wire import pg

# --- key window and dial ---


def test_retry_whose_dial_outlasts_the_key_window_is_not_sent(each_kernel):
    """The first attempt may have run.

    Its retry is decided within the key's window, but the dial ends after it: sending it could run the hit
    twice.
    """

    def window_is_over(world):
        return world.loop.now() > world.received_at[0] + 400 * MS

    world = PgWorld(
        delayed_startup_script(window_is_over, server_error),
        delayed_startup_script(window_is_over, server_error),
        settings={
            "categories": [
                {**c, **({"window": 400.0, "aim": 1400.0} if c["name"] == "hold" else {})}
                for c in SETTINGS["categories"]
            ],
            **policy_limits(dialTimeout=1000.0),
        },
    )
    world.received_at = []
    assert world.run(world.query(statement(1, "hold"))) == [
        ("53300", "1000")
    ]  # the client may retry a hit with a key elsewhere
    assert len(world.received) == 1 and world.forward_results() == {"server error": 1, "window over": 1}


def test_retry_whose_slow_dial_ends_within_the_key_window_is_sent(each_kernel):
    def soon(world):
        return world.loop.now() > world.received_at[0] + 150 * MS

    world = PgWorld(
        delayed_startup_script(soon, server_error),
        delayed_startup_script(soon, server_error),
        settings=policy_limits(dialTimeout=1000.0),
    )
    world.received_at = []
    assert world.run(world.query(statement(1, "hold"))) == [OK]
    assert len(world.received) == 2 and world.received_at[1] - world.received_at[0] < 3_000 * MS


def test_client_that_leaves_during_the_dial_has_nothing_sent(each_kernel):
    world = PgWorld(
        delayed_startup_script(lambda world: world.client_left),
        delayed_startup_script(lambda world: world.client_left),
        known_list=True,
        settings=policy_limits(dialTimeout=1000.0),
    )
    world.connections, world.client_left, world.received_at = 1, False, []

    def go():
        client = yield from world.connect()
        yield from client.send(statement(1, "pay"), start=True)
        yield from world.until(lambda: world.connections == 2)
        client.connection.close()
        yield from world.until(lambda: not world.edge.frontend.clients)
        world.client_left = True
        yield from world.until(lambda: not world.edge.host.pending_hits)

    world.run(go())
    assert world.received == [] and world.forward_results() == {"changed meanwhile": 1}


# --- closing a connection while a request is on its way ---


@pytest.mark.parametrize(
    "close",
    [
        lambda frontend: frontend.half_close_idle(0),
        lambda frontend: frontend.evict(),
        lambda frontend: frontend.sweep_once(),
    ],
)
def test_unread_request_on_a_connection_about_to_close_is_answered(close):
    """The request is written in the step in which the gateway closes idle connections: it is in the socket
    and has not been read, and a close would lose it.
    """
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), sockets=40)

    def go():
        client = yield from idle_client(world, statement(1))
        others = []
        for _ in range(
            world.edge.config.client_connection_limit // 2 + 1
        ):  # more than half of the limit, so that the sweep closes
            others.append((yield from idle_client(world, statement(2))))
        yield Sleep(400 * MS)
        for idle in world.edge.frontend.clients:
            idle.last_active -= 3_000 * MS  # as if it had been idle for that long
        client.connection.write_now(pg.query_message(statement(3)))
        close(world.edge.frontend)
        return outcome_of((yield from client.read()))

    assert world.run(go()) == OK


def test_partial_request_during_the_drain_is_awaited_and_answered(each_kernel):
    world = PgWorld(answer_script(lambda text, _: good_answer(text)))
    half = len(statement(7)) // 2

    def go():
        idle = yield from idle_client(world, statement(1))
        client = yield from idle_client(world, statement(2))
        whole = pg.query_message(statement(7))
        yield from client.connection.write(whole[:half])
        yield from world.until(lambda: any(c.input.parser.has_partial for c in world.edge.frontend.clients))
        world.edge.stop("TERM")
        # the idle connection is closed, the partial request is not
        assert (yield from idle.read())[-1][0] == b"end"
        yield from client.connection.write(whole[half:])
        got = outcome_of((yield from client.read()))
        yield from world.main.join()
        return got

    assert world.run(go()) == OK and world.edge.host.open_hits == 0


def test_request_that_crosses_the_last_response_of_a_drain_is_answered():
    """The request arrives in the step of the response before it, after which the draining gateway would close
    the connection and lose it.
    """
    clients = []

    def then(number):
        if number == 2:
            clients[0].connection.write_now(pg.query_message(statement(3)))

    world = PgWorld(answer_and_act_script(good_answer, then))

    def go():
        clients.append((yield from idle_client(world, statement(1))))
        world.edge.stop("TERM")
        yield from world.until(lambda: world.edge.frontend.draining)
        yield from clients[0].send(statement(2))
        first, second = (yield from clients[0].read()), (yield from clients[0].read())
        return outcome_of(first), outcome_of(second), (yield from clients[0].read())

    assert world.run(go()) == (OK, OK, [(b"end", b"")])


@pytest.mark.parametrize(
    "sent_before", [b"", pg.startup_message("web", "orders"), pg.startup_message("web", "orders") + b"Q\0\0"]
)
def test_evicted_connection_gets_a_refusal_first(sent_before):
    """A new connection that is closed silently counts as a lost request.

    The refusal must arrive before the close, and further bytes of the client must not reset it away.
    """
    world = PgWorld(answer_script(lambda text, _: good_answer(text)))

    def go():
        client = yield from world.connect()
        yield from client.connection.write(sent_before)
        yield from world.until(lambda: world.edge.frontend.clients)
        if len(sent_before) > 3:
            yield from client.read()
        yield Sleep(200 * MS)
        world.edge.frontend.evict()
        if sent_before.endswith(b"Q\0\0"):
            yield from client.connection.write(b"\0" * 500)
        return (yield from client.read())

    (kind, body), (end, _) = world.run(go())
    assert kind == b"E" and b"C53300\0" in body and b"SFATAL\0" in body and end == b"end"


@pytest.mark.parametrize("client_first", [False, True])
def test_refusal_and_client_close_in_one_turn_leave_no_state(client_first, each_kernel):
    """After the refusal the decisions send again, while the client has left in the same turn: the second
    attempt is never made, and must not be mistaken for the first one.
    """
    clients = []
    script = answer_and_act_script(
        lambda text: pg.error_response("53300", "full") + pg.READY_FOR_QUERY,
        lambda number: clients[0].connection.close(),
        client_first,
    )
    world = PgWorld(script, script, settings=policy_limits(mayCancel=False))

    def go():
        client = yield from world.connect()
        clients.append(client)
        yield from client.send(statement(1, "pay"), start=True)
        yield from world.until(lambda: world.received)
        yield from world.until(lambda: not world.edge.host.pending_hits and not world.edge.frontend.clients)
        yield Sleep(20 * MS)

    world.run(go())
    decisions = world.edge.host.decisions
    assert decisions.hits == {} and [i.own_inflight for i in decisions.fleet.by_id.values()] == [0, 0]
