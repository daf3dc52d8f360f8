"""Tests of the terms of the platform's standing test, each where the code meets it.

`docs/notes-edge.md` has the table.
"""

import json

import pytest
from pgworld import (
    SETTINGS,
    PgWorld,
    answer_script,
    command_tag,
    good_answer,
    outcome_of,
    query_script,
    row,
    statement,
)

from cobaltpond.edge.discovery import RESPONSE_TIMEOUT_US, WATCH_TIME_US, DiscoveredInstances
from cobaltpond.loop import Deadline, Sleep
from cobaltpond.wire import pg

OK = ("delivered", b"fine")


def numbered_answer(text):
    """A response whose value is the hit's own number."""
    return row(text[text.find(b"id=") + 15 :][:4], command_tag(text)) + pg.READY_FOR_QUERY


def repeating_script(late):
    """Instance script that answers each hit a second time, `late` microseconds later."""

    def on_query(world, connection, text):
        def again():
            yield Sleep(late)
            connection.write_now(numbered_answer(text))

        yield from connection.write(numbered_answer(text))
        world.loop.spawn(again(), "again")

    return query_script(on_query)


@pytest.mark.parametrize("late", [0, 2_000, 15_000])
def test_late_duplicate_response_is_not_taken_for_the_next_hit(late):
    """An instance may send a response twice.

    The next hit over the same connection must not get the duplicate as its own response, however fast the
    hits follow each other.
    """
    world = PgWorld(repeating_script(late), known_list=True)
    got = world.run(world.query(*(statement(n) for n in range(1, 13))))
    assert got == [("delivered", b"%04x" % n) for n in range(1, 13)]


def test_rested_connection_is_reused():
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), known_list=True)

    def go():
        first = yield from world.query(statement(1))
        yield Sleep(world.edge.endpoints.limits.rest_time + 5_000)
        return first + (yield from world.query(statement(2)))

    assert world.run(go()) == [OK, OK] and world.edge.endpoints.open_count == 1


def test_open_connections_are_served_or_closed_until_the_end_of_the_drain():
    """Clients keep sending on open connections during the drain: each hit must be answered, or its connection
    closed before the hit was sent.
    """
    world = PgWorld(answer_script(lambda text, number: None if number == 1 else good_answer(text)))
    counts = {"answered": 0, "closed": 0, "lost": 0}

    def sender(client, numbers):
        while True:
            yield from client.send(statement(next(numbers), time_left_ms=800))
            got = yield from client.read()
            if got[-1][0] == b"end":
                counts["closed" if len(got) == 1 else "lost"] += 1
                return
            counts["answered"] += 1
            yield Sleep(5_000)

    def go():
        clients, numbers = [], iter(range(2, 10_000))
        for _ in range(6):
            clients.append((yield from world.connect()))
            yield from clients[-1].send(start=True)
            yield from clients[-1].read()
        # this hit keeps the gateway from ending for a while
        yield from clients[0].send(statement(1, "pay", 700))
        yield from world.until(lambda: world.received)
        senders = [world.loop.spawn(sender(client, numbers), "sender") for client in clients[1:4]]
        world.edge.stop("TERM")
        late = yield from world.connect()  # a new client during the drain, which sends later
        yield from late.send(start=True)
        yield from late.read()
        yield Sleep(450_000)
        senders += [world.loop.spawn(sender(client, numbers), "sender") for client in (*clients[4:], late)]
        with Deadline(world.loop, 5_000_000):
            for task in senders:
                yield from task.join()
            yield from world.main.join()
        return outcome_of((yield from clients[0].read()))

    assert world.run(go()) == ("57014", None)  # its time was up; it may have run
    assert counts["lost"] == 0 and counts["closed"] == 6 and counts["answered"] >= 3
    assert world.edge.host.open_hits == 0 and not world.edge.frontend.clients


def test_silent_connection_from_the_backlog_is_closed_before_the_end():
    world = PgWorld(answer_script(lambda text, _: None))

    def go():
        client = yield from world.connect()
        yield from client.send(statement(1, "pay", 700), start=True)
        yield from client.read()
        yield from world.until(lambda: world.received)
        drain = world.loop.spawn(world.edge.frontend.drain(30_000, 400_000), "drain")
        yield Sleep(20_000)
        silent = yield from world.connect()
        yield from silent.send(start=True)
        yield from silent.read()
        got = yield from silent.read()
        other_hit_is_open = any(client.hit is not None for client in world.edge.frontend.clients)
        yield from drain.join()
        return got, other_hit_is_open

    # refused and closed while the other client's hit was still open
    ((kind, body), end), other_hit_is_open = world.run(go())
    assert kind == b"E" and b"C53300\0" in body and end == (b"end", b"") and other_hit_is_open


def test_indented_list_with_unknown_fields_is_read():
    instances = DiscoveredInstances(max_instances=100)
    response = {
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

    whole, rows = instances.apply(0, 0, parse_object(json.dumps(response, indent=4).encode()))
    assert whole and [row_["id"] for row_, _ in rows] == ["a"]


def test_silent_watch_is_replaced_before_a_missed_change_counts():
    """A change counts as announced 6 s after the watch fell silent, or 2 s after a call's own wait.

    A watch of 2 s, a response timeout of 1 s and the fetch of the whole list stay below that.
    """
    assert (
        WATCH_TIME_US + RESPONSE_TIMEOUT_US + RESPONSE_TIMEOUT_US < 6_000_000
        and RESPONSE_TIMEOUT_US < 2_000_000
    )
    world = PgWorld(answer_script(lambda text, _: good_answer(text)))

    def go():
        yield from world.until(lambda: any(watch for _, _, watch in world.requests))
        answer, world.watch = world.watch, lambda after, end: silent()

        def silent():
            yield Sleep(60_000_000)

        yield from world.until(lambda: sum(watch for _, _, watch in world.requests) > 1, 8_000_000)
        began, world.watch = world.loop.now(), answer
        world.publish_host(host="s-0", health="draining")
        yield from world.until(
            lambda: world.edge.endpoints.by_id["s-0"].row["state"] == "draining", 8_000_000
        )
        return world.loop.now() - began

    assert world.run(go(), bound=20_000_000) < WATCH_TIME_US + 2 * RESPONSE_TIMEOUT_US


def test_current_list_is_read_before_the_listener_opens():
    """The list that the agent has counts as announced from the start of a new process, although the
    configuration holds an older one.
    """
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), known_list=True)
    world.publish_host(host="s-0", health="draining")
    ((code, _),) = world.run(world.query(statement(1)))
    assert code == "53300" and world.received == []


def test_reasons_for_giving_up_are_counted():
    world = PgWorld(answer_script(lambda text, _: pg.error_response("53300", "full") + pg.READY_FOR_QUERY))
    answers = world.run(world.query(statement(1, "look", 1500), statement(2, "pay", 700)))
    assert [code for code, _ in answers] == ["53300", "53300"]
    given_up = world.edge.host.decisions.given_up
    assert sum(given_up.values()) == 2 and set(given_up) <= {
        "forwards used up",
        "no place that fits",
        "late after a forward",
        "no time",
    }


def test_retry_sends_at_most_the_remaining_time_of_the_client():
    """The first attempt fails after 300 ms and the dial of the retry takes 150 ms: the retry must announce
    only the rest of the client's time.
    """

    def on_query(world, connection, text):
        if len(world.received) == 1:
            yield Sleep(300_000)
            yield from connection.write(pg.error_response("XX000", "no") + pg.READY_FOR_QUERY)
        else:
            yield from connection.write(good_answer(text))

    def before_startup_response(world):
        world.dials = getattr(world, "dials", 0) + 1
        if world.dials > 1:
            yield Sleep(150_000)

    world = PgWorld(*[query_script(on_query, before_startup_response)] * 2, known_list=True)
    assert world.run(world.query(statement(1, time_left_ms=1200))) == [OK]
    first, further = (int(text.split(b",d=")[1].split()[0]) for text in world.received)
    assert 1000 < first <= 1200 and 0 < further <= 1200 - 300 - 150


def test_queued_commands_are_dropped_when_their_client_leaves():
    """The commands wait for their first attempt when the client closes, and the open one is answered only
    after that. None of the waiting ones may be sent.
    """

    def on_query(world, connection, text):
        if len(world.received) == 1:
            yield from world.until(lambda: world.client_left)
        yield from connection.write(good_answer(text))

    world = PgWorld(
        query_script(on_query),
        query_script(on_query),
        known_list=True,
        settings={"policyLimits": {**SETTINGS["policyLimits"], "mayCancel": False}},
    )
    world.client_left = False

    def go():
        client = yield from world.connect()
        yield from client.send(*(statement(n) for n in range(1, 6)), start=True)
        yield from world.until(lambda: world.received)
        client.connection.close()
        yield from world.until(lambda: not world.edge.frontend.clients)
        world.client_left = True
        yield from world.until(lambda: not world.edge.host.pending_hits)
        return (yield from world.query(statement(9)))

    assert world.run(go()) == [OK]
    assert [text[text.find(b"id=") + 3 :][:16] for text in world.received] == [b"%016x" % n for n in (1, 9)]
