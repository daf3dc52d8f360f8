"""Pairs of events that cross, on real sockets, each order forced: what one party holds back comes only when
the other event has happened. Clients here; instances in `test_crossings_instances.py`, list and desk in
`test_crossings_list.py`, signals and the end in `test_crossings_ends.py`.
`docs/notes-edge.md` has the table of pairs."""

import pytest
from pgcrossings import MS, OK, answering_then, error, held_welcome, policy, settled
from pgworld import SETTINGS, PgWorld, answering, good, statement, told

from cobaltpond.loop import Sleep
from cobaltpond.wire import pg

# --- the window of a key, and the dial ---


def test_a_repeat_whose_dial_outlasts_the_window_is_not_sent(either):
    """The first attempt may have run; the repeat is decided within its window, and its dial comes up after
    it."""

    def over(world):
        return world.loop.now() > world.got_at[0] + 400 * MS

    world = PgWorld(
        held_welcome(over, error),
        held_welcome(over, error),
        settings={
            "categories": [
                {**c, **({"window": 400.0, "aim": 1400.0} if c["name"] == "hold" else {})}
                for c in SETTINGS["categories"]
            ],
            **policy(dialTimeout=1000.0),
        },
    )
    world.got_at = []
    assert world.run(world.ask(statement(1, "hold"))) == [
        ("53300", "1000")
    ]  # a keyed one may come again, elsewhere
    assert len(world.got) == 1 and world.seen() == {"server error": 1, "window over": 1}


def test_a_repeat_whose_dial_is_late_but_within_the_window_is_sent(either):
    def soon(world):
        return world.loop.now() > world.got_at[0] + 150 * MS

    world = PgWorld(held_welcome(soon, error), held_welcome(soon, error), settings=policy(dialTimeout=1000.0))
    world.got_at = []
    assert world.run(world.ask(statement(1, "hold"))) == [OK]
    assert len(world.got) == 2 and world.got_at[1] - world.got_at[0] < 3_000 * MS


def test_a_client_that_leaves_while_its_first_attempt_dials_has_nothing_sent(either):
    world = PgWorld(
        held_welcome(lambda world: world.left),
        held_welcome(lambda world: world.left),
        known=True,
        settings=policy(dialTimeout=1000.0),
    )
    world.connections, world.left, world.got_at = 1, False, []

    def go():
        client = yield from world.connect()
        yield from client.send(statement(1, "pay"), start=True)
        yield from world.until(lambda: world.connections == 2)
        client.connection.close()
        yield from world.until(lambda: not world.edge.frontend.clients)
        world.left = True
        yield from world.until(lambda: not world.edge.host.hits)

    world.run(go())
    assert world.got == [] and world.seen() == {"changed meanwhile": 1}


# --- closing at the door, and a request under way ---


@pytest.mark.parametrize(
    "close", [lambda door: door.half_close_idle(0), lambda door: door.evict(), lambda door: door.sweep_once()]
)
def test_a_request_that_lies_unread_when_its_idle_connection_is_to_close_is_answered(close):
    """Written in the very step in which the door closes what idles: it is in the socket, and nobody has read
    it."""
    world = PgWorld(answering(lambda text, _: good(text)), sockets=40)

    def go():
        client = yield from settled(world, statement(1))
        others = []
        for _ in range(
            world.edge.config.client_connection_limit // 2 + 1
        ):  # more than half of the room: the sweep closes
            others.append((yield from settled(world, statement(2))))
        yield Sleep(400 * MS)
        for idle in world.edge.frontend.clients:
            idle.last_active -= 3_000 * MS  # as if it had idled for that long
        client.connection.write_now(pg.query_message(statement(3)))
        close(world.edge.frontend)
        return told((yield from client.read()))

    assert world.run(go()) == OK


def test_half_a_request_at_the_end_is_waited_for_and_answered(either):
    world = PgWorld(answering(lambda text, _: good(text)))
    half = len(statement(7)) // 2

    def go():
        idle, client = (yield from settled(world, statement(1))), (yield from settled(world, statement(2)))
        whole = pg.query_message(statement(7))
        yield from client.connection.write(whole[:half])
        yield from world.until(lambda: any(c.parser.has_partial for c in world.edge.frontend.clients))
        world.edge.stop("TERM")
        assert (yield from idle.read())[-1][0] == b"end"  # what idles was closed; the half was not
        yield from client.connection.write(whole[half:])
        got = told((yield from client.read()))
        yield from world.main.join()
        return got

    assert world.run(go()) == OK and world.edge.host.open_hits == 0


def test_the_next_request_sent_beside_the_last_answer_of_a_gateway_that_drains_is_answered():
    """It comes in the same step as the answer to the one before; at that answer the connection is to
    close."""
    clients = []

    def then(number):
        if number == 2:
            clients[0].connection.write_now(pg.query_message(statement(3)))

    world = PgWorld(answering_then(good, then))

    def go():
        clients.append((yield from settled(world, statement(1))))
        world.edge.stop("TERM")
        yield from world.until(lambda: world.edge.frontend.draining)
        yield from clients[0].send(statement(2))
        first, second = (yield from clients[0].read()), (yield from clients[0].read())
        return told(first), told(second), (yield from clients[0].read())

    assert world.run(go()) == (OK, OK, [(b"end", b"")])


@pytest.mark.parametrize(
    "begun", [b"", pg.startup_message("web", "orders"), pg.startup_message("web", "orders") + b"Q\0\0"]
)
def test_who_is_closed_to_make_room_is_told_so_first(begun):
    """A new connection that ends without a word counts as lost: the refusal goes out before the close, and
    the rest of what its client was sending does not reset it away."""
    world = PgWorld(answering(lambda text, _: good(text)))

    def go():
        client = yield from world.connect()
        yield from client.connection.write(begun)
        yield from world.until(lambda: world.edge.frontend.clients)
        if len(begun) > 3:
            yield from client.read()
        yield Sleep(200 * MS)
        world.edge.frontend.evict()
        if begun.endswith(b"Q\0\0"):
            yield from client.connection.write(b"\0" * 500)
        return (yield from client.read())

    (kind, body), (end, _) = world.run(go())
    assert kind == b"E" and b"C53300\0" in body and b"SFATAL\0" in body and end == b"end"


@pytest.mark.parametrize("client_first", [False, True])
def test_an_instance_s_last_word_and_its_client_s_close_in_one_turn_leave_nothing_behind(
    client_first, either
):
    """Where the refusal is told first, the decisions send again, and the client has gone in the same turn:
    the attempt that is never made is the second one, and must not pass for the first."""
    clients = []
    script = answering_then(
        lambda text: pg.error_response("53300", "full") + pg.READY_FOR_QUERY,
        lambda number: clients[0].connection.close(),
        client_first,
    )
    world = PgWorld(script, script, settings=policy(mayCancel=False))

    def go():
        client = yield from world.connect()
        clients.append(client)
        yield from client.send(statement(1, "pay"), start=True)
        yield from world.until(lambda: world.got)
        yield from world.until(lambda: not world.edge.host.hits and not world.edge.frontend.clients)
        yield Sleep(20 * MS)

    world.run(go())
    decisions = world.edge.host.decisions
    assert decisions.hits == {} and [i.out for i in decisions.fleet.by_id.values()] == [0, 0]
