"""The standing test's own terms, each where the code answers it: `docs/notes-edge.md` has the table."""

import json

import pytest
from pgworld import SETTINGS, PgWorld, answering, exchanging, good, row, statement, tag_of, told

from cobaltpond.edge.discovery import RESPONSE_TIMEOUT_US, WATCH_TIME_US, DiscoveredInstances
from cobaltpond.loop import Deadline, Sleep
from cobaltpond.wire import pg

OK = ("delivered", b"fine")


def named(text):
    """An answer that holds the hit's own number."""
    return row(text[text.find(b"id=") + 15 :][:4], tag_of(text)) + pg.READY_FOR_QUERY


def twice(late):
    """An instance that answers every hit once more, a little later."""

    def on_query(world, connection, text):
        def again():
            yield Sleep(late)
            connection.write_now(named(text))

        yield from connection.write(named(text))
        world.loop.spawn(again(), "again")

    return exchanging(on_query)


@pytest.mark.parametrize("late", [0, 2_000, 15_000])
def test_a_second_answer_that_comes_later_is_not_taken_for_the_next_hit_s(late):
    """Hits one after the other, as fast as they are answered: each gets its own value, none the one before
    it."""
    world = PgWorld(twice(late), known=True)
    got = world.run(world.ask(*(statement(n) for n in range(1, 13))))
    assert got == [("delivered", b"%04x" % n) for n in range(1, 13)]


def test_a_connection_that_has_rested_is_used_again():
    world = PgWorld(answering(lambda text, _: good(text)), known=True)

    def go():
        first = yield from world.ask(statement(1))
        yield Sleep(world.edge.endpoints.limits.rest_time + 5_000)
        return first + (yield from world.ask(statement(2)))

    assert world.run(go()) == [OK, OK] and world.edge.endpoints.open_count == 1


def test_after_term_every_connection_that_stays_open_is_served_or_closed_up_to_the_end():
    """Clients go on sending on whatever is open: each hit is answered, or its connection was closed before it
    came."""
    world = PgWorld(answering(lambda text, number: None if number == 1 else good(text)))
    seen = {"answered": 0, "closed": 0, "lost": 0}

    def sender(client, numbers):
        while True:
            yield from client.send(statement(next(numbers), left=800))
            got = yield from client.read()
            if got[-1][0] == b"end":
                seen["closed" if len(got) == 1 else "lost"] += 1
                return
            seen["answered"] += 1
            yield Sleep(5_000)

    def go():
        clients, numbers = [], iter(range(2, 10_000))
        for _ in range(6):
            clients.append((yield from world.connect()))
            yield from clients[-1].send(start=True)
            yield from clients[-1].read()
        yield from clients[0].send(statement(1, "pay", 700))  # it keeps the gateway from ending for a while
        yield from world.until(lambda: world.got)
        senders = [world.loop.spawn(sender(client, numbers), "sender") for client in clients[1:4]]
        world.edge.stop("TERM")
        late = yield from world.connect()  # new ones come for a while, and send later still
        yield from late.send(start=True)
        yield from late.read()
        yield Sleep(450_000)
        senders += [world.loop.spawn(sender(client, numbers), "sender") for client in (*clients[4:], late)]
        with Deadline(world.loop, 5_000_000):
            for task in senders:
                yield from task.join()
            yield from world.main.join()
        return told((yield from clients[0].read()))

    assert world.run(go()) == ("57014", None)  # its time was up; it may have run
    assert seen["lost"] == 0 and seen["closed"] == 6 and seen["answered"] >= 3
    assert world.edge.host.open_hits == 0 and not world.edge.frontend.clients


def test_what_comes_out_of_the_backlog_last_and_says_nothing_is_closed_before_the_end():
    world = PgWorld(answering(lambda text, _: None))

    def go():
        client = yield from world.connect()
        yield from client.send(statement(1, "pay", 700), start=True)
        yield from client.read()
        yield from world.until(lambda: world.got)
        drain = world.loop.spawn(world.edge.frontend.drain(30_000, 400_000), "drain")
        yield Sleep(20_000)
        silent = yield from world.connect()
        yield from silent.send(start=True)
        yield from silent.read()
        got = yield from silent.read()
        still = any(client.hit is not None for client in world.edge.frontend.clients)
        yield from drain.join()
        return got, still

    ((kind, body), end), still = world.run(go())  # told and closed while the other's hit was still open
    assert kind == b"E" and b"C53300\0" in body and end == (b"end", b"") and still


def test_an_indented_list_and_one_with_fields_that_are_not_known_are_read():
    listed = DiscoveredInstances()
    told_ = {
        "seq": 4,
        "whole": True,
        "more": [1],
        "hosts": [
            {
                "host": "a",
                "dial": "1.2.3.4:5",
                "site": "z",
                "block": 1,
                "health": "up",
                "share": 1.0,
                "born_ms": 0,
                "revision_no": 3,
                "colour": "red",
            }
        ],
    }
    from cobaltpond.wire.json_lines import parse_object

    whole, rows = listed.apply(0, 0, parse_object(json.dumps(told_, indent=4).encode()))
    assert whole and [row_["id"] for row_, _ in rows] == ["a"]


def test_a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts():
    """6 s after it fell silent, or 2 s after a call's own wait, a change counts as told: a watch of 2 s, a
    second of patience and a whole list at once stay below that."""
    assert (
        WATCH_TIME_US + RESPONSE_TIMEOUT_US + RESPONSE_TIMEOUT_US < 6_000_000
        and RESPONSE_TIMEOUT_US < 2_000_000
    )
    world = PgWorld(answering(lambda text, _: good(text)))

    def go():
        yield from world.until(lambda: any(watch for _, _, watch in world.asked))
        answer, world.watch = world.watch, lambda after, end: silent()

        def silent():
            yield Sleep(60_000_000)

        yield from world.until(lambda: sum(watch for _, _, watch in world.asked) > 1, 8_000_000)
        began, world.watch = world.loop.now(), answer
        world.tell(host="s-0", health="draining")
        yield from world.until(
            lambda: world.edge.endpoints.by_id["s-0"].row["state"] == "draining", 8_000_000
        )
        return world.loop.now() - began

    assert world.run(go(), bound=20_000_000) < WATCH_TIME_US + 2 * RESPONSE_TIMEOUT_US


def test_what_the_agent_has_is_known_before_the_door_opens_though_the_configuration_s_list_is_old():
    """What the agent has counts as told from the first moment of a new process."""
    world = PgWorld(answering(lambda text, _: good(text)), known=True)
    world.tell(host="s-0", health="draining")
    ((code, _),) = world.run(world.ask(statement(1)))
    assert code == "53300" and world.got == []


def test_why_hits_were_given_up_is_counted():
    world = PgWorld(answering(lambda text, _: pg.error_response("53300", "full") + pg.READY_FOR_QUERY))
    answers = world.run(world.ask(statement(1, "look", 1500), statement(2, "pay", 700)))
    assert [code for code, _ in answers] == ["53300", "53300"]
    given_up = world.edge.host.decisions.given_up
    assert sum(given_up.values()) == 2 and set(given_up) <= {
        "forwards used up",
        "no place that fits",
        "late after a forward",
        "no time",
    }


def test_a_further_attempt_tells_its_instance_at_most_what_is_left_to_the_client():
    """The first one takes 300 ms to fail, the dial of the next 150 ms more: no more than the rest is told."""

    def on_query(world, connection, text):
        if len(world.got) == 1:
            yield Sleep(300_000)
            yield from connection.write(pg.error_response("XX000", "no") + pg.READY_FOR_QUERY)
        else:
            yield from connection.write(good(text))

    def before_welcome(world):
        world.dials = getattr(world, "dials", 0) + 1
        if world.dials > 1:
            yield Sleep(150_000)

    world = PgWorld(*[exchanging(on_query, before_welcome)] * 2, known=True)
    assert world.run(world.ask(statement(1, left=1200))) == [OK]
    first, further = (int(text.split(b",d=")[1].split()[0]) for text in world.got)
    assert 1000 < first <= 1200 and 0 < further <= 1200 - 300 - 150


def test_commands_that_wait_behind_an_open_one_are_not_sent_on_once_their_client_has_gone():
    """They wait for their first attempt when the connection is closed; the open one is answered only then."""

    def on_query(world, connection, text):
        if len(world.got) == 1:
            yield from world.until(lambda: world.left)
        yield from connection.write(good(text))

    world = PgWorld(
        exchanging(on_query),
        exchanging(on_query),
        known=True,
        settings={"policyLimits": {**SETTINGS["policyLimits"], "mayCancel": False}},
    )
    world.left = False

    def go():
        client = yield from world.connect()
        yield from client.send(*(statement(n) for n in range(1, 6)), start=True)
        yield from world.until(lambda: world.got)
        client.connection.close()
        yield from world.until(lambda: not world.edge.frontend.clients)
        world.left = True
        yield from world.until(lambda: not world.edge.host.hits)
        return (yield from world.ask(statement(9)))

    assert world.run(go()) == [OK]
    assert [text[text.find(b"id=") + 3 :][:16] for text in world.got] == [b"%016x" % n for n in (1, 9)]
