"""The gateway on real sockets against peers that misbehave: each way a forward, a client or a stream can
fail."""

import json

import pytest
from world import SECOND, World, answer_of, endings, good, requests

from cobaltpond.loop import Sleep
from cobaltpond.wire import http1


def reset_at_half(world, connection):
    yield from connection.read(20)
    connection.abort()


def stall_after_head(world, connection):
    yield from requests(connection)()
    yield from connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
    yield Sleep(5 * SECOND)


def test_delivered_passes_through_with_marks_and_without_hop_fields():
    world = World(
        lambda w, c: good(w, c, b"body", [(b"x-own", b"1"), (b"endpoint-load-metrics", b"TEXT eps=1")])
    )
    status, head, body = world.run(
        world.ask("POST", "/pay", [(b"connection", b"x-drop"), (b"x-drop", b"1")], b"abc")
    )
    assert (status, body, head.get(b"x-own"), head.get(b"cobaltpond-via")) == (200, b"body", b"1", b"i0")
    assert head.get(b"endpoint-load-metrics") is None
    ((asked, got),) = world.got
    assert (
        got == b"abc"
        and asked.get(b"x-drop") is None
        and asked.get(b"cobaltpond-hit") == head.get(b"cobaltpond-hit")
    )
    assert 0 < int(asked.get(b"cobaltpond-timeout-ms")) <= 800


@pytest.mark.parametrize("path, status, forwards", [("/pay", 502, 1), ("/hold", 200, 2), ("/look", 200, 2)])
def test_instance_resets_after_half_the_request(path, status, forwards):
    tried = []

    def first_resets(world, connection):
        tried.append(1)
        yield from (reset_at_half(world, connection) if len(tried) == 1 else good(world, connection))

    world = World(first_resets, first_resets)
    method = "GET" if path == "/look" else "POST"
    got, head, body = world.run(world.ask(method, path, body=b"" if method == "GET" else b"x" * 5000))
    assert (got, len(tried)) == (status, forwards)
    assert endings(world) == {"cut before an answer": 1}
    assert (head.get(b"cobaltpond-retry") is None) and (
        status == 200 or "retry_harmless" not in json.loads(body)
    )


def test_headers_and_then_a_stall_is_late_and_promises_nothing():
    world = World(stall_after_head)

    def go():
        began = world.loop.now()
        status, head, _ = yield from world.ask("POST", "/pay")
        return status, head.get(b"cobaltpond-retry"), world.loop.now() - began

    status, promise, took = world.run(go())
    assert (status, promise) == (504, None) and took < 800_000
    assert endings(world) == {"too late": 1} and sum(world.seen) == 1


def test_a_stalled_repeatable_hit_is_called_off_and_served_elsewhere():
    tried = []

    def first_stalls(world, connection):
        tried.append(1)
        yield from (stall_after_head(world, connection) if len(tried) == 1 else good(world, connection))

    world = World(first_stalls, first_stalls)
    assert world.run(world.ask())[0] == 200
    assert endings(world) == {"called off": 1}


def test_an_instance_that_answers_twice_is_heard_once():
    def twice(world, connection):
        get = requests(connection)
        while (yield from get())[0] is not None:
            yield from connection.write(http1.response(200, [], b"one") + http1.response(200, [], b"two"))

    world = World(twice)

    def go():
        connection = yield from world.connect()
        bodies = []
        for _ in range(3):
            bodies.append((yield from world.ask(connection=connection))[2])
        yield Sleep(50_000)
        return bodies, connection.read_now()

    assert world.run(go()) == ([b"one"] * 3, None)


def test_an_answer_after_the_time_out_is_not_passed_on():
    def late(world, connection):
        get = requests(connection)
        yield from get()
        yield Sleep(1_000_000)
        yield from connection.write(http1.response(200, [], b"late"))

    world = World(late)

    def go():
        connection = yield from world.connect()
        status = (yield from world.ask("POST", "/pay", connection=connection))[0]
        yield Sleep(500_000)
        return status, connection.read_now()

    assert world.run(go()) == (504, None)


def test_idle_connection_closed_by_the_instance_costs_nothing():
    def one_each(world, connection):
        yield from requests(connection)()
        yield from connection.write(http1.response(200, [], b"ok"))  # and closes, without having said so

    world = World(one_each)
    assert world.run(world.asks(5, "POST", "/pay")) == [200] * 5 and endings(world) == {}


@pytest.mark.parametrize("path, statuses", [("/pay", [200, 502]), ("/hold", [200, 200])])
def test_end_of_a_kept_connection_after_the_request_was_written_may_have_run(path, statuses):
    number = []

    def second_is_cut(world, connection):
        get = requests(connection)
        number.append(1)
        yield from get()
        yield from connection.write(http1.response(200, [], b"ok"))
        if len(number) == 1:
            yield from get()  # read, and closed without a word
            return
        yield from good(world, connection)

    world = World(second_is_cut)
    assert world.run(world.asks(2, "POST", path)) == statuses
    assert endings(world) == {"cut before an answer": 1}


def test_refusals_are_known_not_to_have_run_and_so_bounce_even_a_mutating_hit():
    def full(world, connection):
        get = requests(connection)
        while (yield from get())[0] is not None:
            yield from connection.write(http1.response(503, [(b"cobaltpond-not-run", b"full")], b""))

    world = World(full)
    status, head, body = world.run(world.ask("POST", "/pay"))
    assert status in (429, 503) and head.get(b"cobaltpond-retry") == b"harmless"
    assert json.loads(body)["retry_harmless"] is True and int(head.get(b"retry-after")) >= 1
    assert set(endings(world)) == {"refusal"}


def test_server_error_is_an_error_with_no_promise():
    def broken(world, connection):
        get = requests(connection)
        while (yield from get())[0] is not None:
            yield from connection.write(http1.response(500, [], b"boom"))

    world = World(broken)
    status, head, _ = world.run(world.ask("POST", "/pay"))
    assert status == 502 and head.get(b"cobaltpond-retry") is None and endings(world) == {"server error": 1}


@pytest.mark.parametrize(
    "junk",
    [
        b"NOT HTTP\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"content-length: 1\r\n" * 2 + b"\r\n",
        b"HTTP/1.1 200 OK\r\nx: " + b"y" * (70 << 10),
    ],
)
def test_an_answer_that_makes_no_sense_is_an_error(junk):
    def nonsense(world, connection):
        yield from requests(connection)()
        yield from connection.write(junk)
        yield Sleep(SECOND)

    world = World(nonsense)
    assert world.run(world.ask("POST", "/pay"))[0] == 502 and endings(world) == {"no sense": 1}


def test_nobody_listens_is_known_not_to_have_run():
    world = World(good)
    world.rows[0]["address"] = "127.0.0.1:1"
    status, head, _ = world.run(world.ask("POST", "/pay"))
    assert (
        status == 503 and head.get(b"cobaltpond-retry") == b"harmless" and set(endings(world)) == {"refused"}
    )


def test_a_drain_heard_in_the_turn_of_a_hit_holds_for_it():
    world = World(good, good)

    def go():
        # both in one turn, the hit first: what the list says is told to the decisions before it
        connection = yield from world.connect()
        yield from connection.write(http1.request("GET", "/look", [(b"host", b"t")]))
        told = {"epoch": "e", "revision": 1, "base": 0, "rows": [{**world.rows[0], "state": "draining"}]}
        real = world.process.host.accept_hit

        def take_and_hear(*arguments):
            hit = real(*arguments)
            world.process.list_follower.apply_object(told)
            return hit

        world.process.host.accept_hit = take_and_hear
        return (yield from answer_of(connection))

    status, head, _ = world.run(go())
    assert (status, head.get(b"cobaltpond-via"), world.seen[0]) == (200, b"i1", 0)
