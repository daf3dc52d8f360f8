"""Pairs of events that cross, on real sockets, each order forced: what one party holds back comes only when
the other event has happened. Clients and instances here; list and desk in `test_crossings_list.py`, signals
and the end in `test_crossings_ends.py`.
`docs/notes-edge.md` has the table of pairs."""

import socket
import struct

import pytest
from pgworld import SETTINGS, PgWorld, answering, exchanging, good, row, statement, tag_of, told

from cobaltpond.loop import PeerLost, Sleep
from cobaltpond.wire import pg

OK = ("delivered", b"fine")
MS = 1000


@pytest.fixture(params=["sockets", "virtual"])
def either(request, monkeypatch):
    """The same on the virtual kernel, where the order does not hang on what lies in a real socket."""
    monkeypatch.setattr(PgWorld, "virtual", request.param == "virtual")


def policy(**changes):
    return {"policyLimits": {**SETTINGS["policyLimits"], **changes}}


def held_welcome(release, first=good):
    """The first connection is welcomed at once and its first statement gets `first`; later ones are welcomed
    when `release(world)` holds."""

    def before_welcome(world):
        world.connections = getattr(world, "connections", 0) + 1
        if world.connections > 1:
            yield from world.until(lambda: release(world))

    def on_query(world, connection, text):
        world.got_at.append(world.loop.now())
        yield from connection.write((first if len(world.got) == 1 else good)(text))

    return exchanging(on_query, before_welcome)


def error(text):
    return pg.error("XX000", "no") + pg.READY


def answering_then(reply, then, before=False):
    """`reply(text)` goes out and `then(number)` is done in one step, in this order or the other."""

    def on_query(world, connection, text):
        if before:
            then(len(world.got))
        yield from connection.write(reply(text))
        if not before:
            then(len(world.got))

    return exchanging(on_query)


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
        yield from world.until(lambda: not world.edge.door.clients)
        world.left = True
        yield from world.until(lambda: not world.edge.host.hits)

    world.run(go())
    assert world.got == [] and world.seen() == {"changed meanwhile": 1}


# --- closing at the door, and a request under way ---


def settled(world, *queries):
    """A client that has been answered and has kept its connection."""
    client = yield from world.connect()
    yield from client.send(*queries, start=True)
    yield from client.read()
    for _ in queries:
        yield from client.read()
    return client


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
            world.edge.config.client_room // 2 + 1
        ):  # more than half of the room: the sweep closes
            others.append((yield from settled(world, statement(2))))
        yield Sleep(400 * MS)
        for idle in world.edge.door.clients:
            idle.active -= 3_000 * MS  # as if it had idled for that long
        client.connection.write_now(pg.query(statement(3)))
        close(world.edge.door)
        return told((yield from client.read()))

    assert world.run(go()) == OK


def test_half_a_request_at_the_end_is_waited_for_and_answered(either):
    world = PgWorld(answering(lambda text, _: good(text)))
    half = len(statement(7)) // 2

    def go():
        idle, client = (yield from settled(world, statement(1))), (yield from settled(world, statement(2)))
        whole = pg.query(statement(7))
        yield from client.connection.write(whole[:half])
        yield from world.until(lambda: any(c.asked.torn for c in world.edge.door.clients))
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
            clients[0].connection.write_now(pg.query(statement(3)))

    world = PgWorld(answering_then(good, then))

    def go():
        clients.append((yield from settled(world, statement(1))))
        world.edge.stop("TERM")
        yield from world.until(lambda: world.edge.door.draining)
        yield from clients[0].send(statement(2))
        first, second = (yield from clients[0].read()), (yield from clients[0].read())
        return told(first), told(second), (yield from clients[0].read())

    assert world.run(go()) == (OK, OK, [(b"end", b"")])


@pytest.mark.parametrize("begun", [b"", pg.startup("web", "orders"), pg.startup("web", "orders") + b"Q\0\0"])
def test_who_is_closed_to_make_room_is_told_so_first(begun):
    """A new connection that ends without a word counts as lost: the refusal goes out before the close, and
    the rest of what its client was sending does not reset it away."""
    world = PgWorld(answering(lambda text, _: good(text)))

    def go():
        client = yield from world.connect()
        yield from client.connection.write(begun)
        yield from world.until(lambda: world.edge.door.clients)
        if len(begun) > 3:
            yield from client.read()
        yield Sleep(200 * MS)
        world.edge.door.evict()
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
        lambda text: pg.error("53300", "full") + pg.READY,
        lambda number: clients[0].connection.close(),
        client_first,
    )
    world = PgWorld(script, script, settings=policy(mayCancel=False))

    def go():
        client = yield from world.connect()
        clients.append(client)
        yield from client.send(statement(1, "pay"), start=True)
        yield from world.until(lambda: world.got)
        yield from world.until(lambda: not world.edge.host.hits and not world.edge.door.clients)
        yield Sleep(20 * MS)

    world.run(go())
    decisions = world.edge.host.decisions
    assert decisions.hits == {} and [i.out for i in decisions.fleet.by_id.values()] == [0, 0]


# --- kept connections to instances ---


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
            client.connection.write_now(pg.query(statement(n)))
        for client in clients:
            yield from client.read()
        yield Sleep(80 * MS)  # all have rested
        assert len(world.edge.places.by_id["s-0"].idle) == 3
        for connection in list(kept):
            connection.close()
        clients[0].connection.write_now(pg.query(statement(9, "pay")))
        return told((yield from clients[0].read()))

    assert world.run(go()) == OK and len(kept) == 4 and world.seen() == {"answer": 4}


def test_a_connection_that_has_idled_its_time_is_not_written_to_though_no_sweep_has_closed_it(either):
    """The machine closes it no later than that, and what is written then may have run."""

    def script(world, connection):
        asked, last = pg.Asked(), world.loop.now()
        while data := (yield from connection.read()):
            for kind, value in asked.feed(data):
                if kind == "query" and world.loop.now() - last > 300 * MS:
                    connection.abort()
                    return
                yield from connection.write(pg.welcome() if kind == "startup" else good(value))
                last = world.loop.now()

    world = PgWorld(script, settings=policy(connIdle=300.0))

    def go():
        next(task for task in world.loop.tasks if task.name == "sweep").cancel()
        client = yield from settled(world, statement(1))
        yield Sleep(310 * MS)
        assert world.edge.places.by_id["s-0"].idle
        yield from client.send(statement(2, "pay"))
        return told((yield from client.read()))

    assert world.run(go()) == OK


def test_a_second_answer_while_the_end_of_the_first_is_awaited_is_nobody_s(either):
    """Row and command are whole, so the answer is passed on; the end of the exchange comes with a copy before
    it."""

    def on_query(world, connection, text):
        own = row(text[text.find(b"id=") + 15 :][:4], tag_of(text))
        yield from connection.write(own)
        yield from world.until(lambda: sum(world.edge.door.counts.values()) >= len(world.got))
        yield from connection.write(own + pg.READY)

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
    assert world.edge.places.open == 1 and [
        i.out for i in world.edge.host.decisions.fleet.by_id.values()
    ] == [0]


# --- an instance that restarts at the same address ---


def test_the_list_tells_of_a_restart_while_the_attempt_dials(either):
    """What is dialled is the new start, which nobody has decided on: nothing is written to it by the old
    decision."""

    def script(world, connection):
        yield from connection.read()
        if not world.seen():
            world.tell(host="s-0", born_ms=world.loop.kernel.wall() // 1000 - 60_000)
            yield from world.until(lambda: world.edge.places.by_id["s-0"].row["started"] is not None)
        yield from connection.write(pg.welcome())
        asked = pg.Asked()
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
                    world.tell(host="s-0", born_ms=world.loop.kernel.wall() // 1000 - 60_000)
                return "reset"
            return good(text)

        yield from answering(reply)(world, connection)

    world = PgWorld(script)

    def go():
        first = yield from world.ask(statement(1, "pay"))
        if told_of:
            yield from world.until(lambda: world.edge.places.by_id["s-0"].row["started"] is not None)
        decisions = world.edge.host.decisions
        yield from world.until(lambda: all(i.benched_until < world.loop.now() for i in decisions.fleet.up))
        return first, (yield from world.ask(statement(2)))

    assert world.run(go()) == ([("58000", None)], [OK]) and len(world.got) == 2
    assert world.edge.places.open == 1


def test_the_list_tells_of_a_restart_while_an_answer_of_the_start_before_is_out(either):
    """It is delivered all the same, and its connection is of no further use."""

    def script(world, connection):
        asked = pg.Asked()
        while data := (yield from connection.read()):
            for kind, value in asked.feed(data):
                if kind == "query" and not world.got:
                    world.tell(host="s-0", born_ms=world.loop.kernel.wall() // 1000 - 60_000)
                    yield from world.until(lambda: world.edge.places.by_id["s-0"].row["started"] is not None)
                if kind == "query":
                    world.got.append(value)
                yield from connection.write(pg.welcome() if kind == "startup" else good(value))

    world = PgWorld(script)
    assert world.run(world.ask(statement(1))) == [OK] and world.edge.places.open == 0


def test_a_reset_of_a_client_in_the_turn_of_its_request_is_a_client_that_has_gone():
    world = PgWorld(answering(lambda text, _: good(text)))

    def go():
        client = yield from settled(world)
        client.connection.write_now(pg.query(statement(1)))
        client.connection.handle.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.connection.close()
        yield from world.until(lambda: not world.edge.door.clients and not world.edge.host.hits)
        try:
            yield from client.read()
        except PeerLost:
            return (yield from world.ask(statement(2)))

    assert world.run(go()) == [OK] and len(world.got) == 1
