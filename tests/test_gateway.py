"""The gateway on real sockets with failing instances: what clients get and what counts as having run."""

import json

import pytest
from world import SECOND, World, answer_ok, forward_failures, read_response, request_reader

from cobaltpond.loop import Sleep
from cobaltpond.wire import http1


def reset_in_request(world, connection):
    """An instance that resets the connection in the middle of the request."""
    yield from connection.read(20)
    connection.abort()


def stall_in_body(world, connection):
    """An instance that sends the head and a part of the body, and then nothing more."""
    yield from request_reader(connection)()
    yield from connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
    yield Sleep(5 * SECOND)


def test_response_is_delivered_with_gateway_fields_and_without_hop_by_hop_fields():
    """Guards against leaking hop-by-hop fields and load reports, and against a lost body or timeout."""
    world = World(
        lambda w, c: answer_ok(w, c, b"body", [(b"x-own", b"1"), (b"endpoint-load-metrics", b"TEXT eps=1")])
    )
    status, head, body = world.run(
        world.ask("POST", "/pay", [(b"connection", b"x-drop"), (b"x-drop", b"1")], b"abc")
    )
    assert (status, body, head.get(b"x-own"), head.get(b"cobaltpond-via")) == (200, b"body", b"1", b"i0")
    assert head.get(b"endpoint-load-metrics") is None
    ((request, request_body),) = world.received_requests
    assert (
        request_body == b"abc"
        and request.get(b"x-drop") is None
        and request.get(b"cobaltpond-hit") == head.get(b"cobaltpond-hit")
    )
    assert 0 < int(request.get(b"cobaltpond-timeout-ms")) <= 800


@pytest.mark.parametrize("path, status, forwards", [("/pay", 502, 1), ("/hold", 200, 2), ("/look", 200, 2)])
def test_instance_resets_in_the_middle_of_the_request(path, status, forwards):
    """A hit that may have run is forwarded again only where its path group permits that.

    An error promises nothing.
    """
    attempts = []

    def first_resets(world, connection):
        attempts.append(1)
        yield from (
            reset_in_request(world, connection) if len(attempts) == 1 else answer_ok(world, connection)
        )

    world = World(first_resets, first_resets)
    method = "GET" if path == "/look" else "POST"
    got_status, head, body = world.run(world.ask(method, path, body=b"" if method == "GET" else b"x" * 5000))
    assert (got_status, len(attempts)) == (status, forwards)
    assert forward_failures(world) == {"cut before an answer": 1}
    assert (head.get(b"cobaltpond-retry") is None) and (
        status == 200 or "retry_harmless" not in json.loads(body)
    )


def test_stalled_response_times_out_without_a_retry_promise():
    """The hit may have run: the 504 comes before the client's timeout and promises no harmless retry."""
    world = World(stall_in_body)

    def go():
        started = world.loop.now()
        status, head, _ = yield from world.ask("POST", "/pay")
        return status, head.get(b"cobaltpond-retry"), world.loop.now() - started

    status, promise, duration = world.run(go())
    assert (status, promise) == (504, None) and duration < 800_000
    assert forward_failures(world) == {"too late": 1} and sum(world.connection_counts) == 1


def test_stalled_forward_of_a_repeatable_hit_is_cancelled_and_retried():
    """The second instance answers, and the first forward is cancelled."""
    attempts = []

    def first_stalls(world, connection):
        attempts.append(1)
        yield from (stall_in_body(world, connection) if len(attempts) == 1 else answer_ok(world, connection))

    world = World(first_stalls, first_stalls)
    assert world.run(world.ask())[0] == 200
    assert forward_failures(world) == {"called off": 1}


def test_second_response_on_a_connection_is_ignored():
    """A surplus response must not be taken for the response to the next hit on a reused connection."""

    def twice(world, connection):
        get = request_reader(connection)
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


def test_response_after_the_timeout_is_not_forwarded():
    """The client has its 504.

    A second response on its connection would be taken for that of its next request.
    """

    def late(world, connection):
        get = request_reader(connection)
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


def test_idle_connection_closed_by_the_instance_fails_no_hit():
    """The instance closes after each response without announcing it.

    The gateway has to notice before it reuses it.
    """

    def one_each(world, connection):
        yield from request_reader(connection)()
        yield from connection.write(http1.response(200, [], b"ok"))  # and closes without having announced it

    world = World(one_each)
    assert world.run(world.ask_repeatedly(5, "POST", "/pay")) == [200] * 5 and forward_failures(world) == {}


@pytest.mark.parametrize("path, statuses", [("/pay", [200, 502]), ("/hold", [200, 200])])
def test_reused_connection_closed_after_the_write_may_have_run(path, statuses):
    """HTTP/1.1 cannot tell whether the request was read: only a hit that may run again is forwarded again."""
    connections = []

    def second_is_cut(world, connection):
        get = request_reader(connection)
        connections.append(1)
        yield from get()
        yield from connection.write(http1.response(200, [], b"ok"))
        if len(connections) == 1:
            yield from get()  # read, and closed without a response
            return
        yield from answer_ok(world, connection)

    world = World(second_is_cut)
    assert world.run(world.ask_repeatedly(2, "POST", path)) == statuses
    assert forward_failures(world) == {"cut before an answer": 1}


def test_refused_mutating_hit_is_bounced_with_a_retry_promise():
    """A refusal states that the hit has not run, so a retry by the client is harmless."""

    def full(world, connection):
        get = request_reader(connection)
        while (yield from get())[0] is not None:
            yield from connection.write(http1.response(503, [(b"cobaltpond-not-run", b"full")], b""))

    world = World(full)
    status, head, body = world.run(world.ask("POST", "/pay"))
    assert status in (429, 503) and head.get(b"cobaltpond-retry") == b"harmless"
    assert json.loads(body)["retry_harmless"] is True and int(head.get(b"retry-after")) >= 1
    assert set(forward_failures(world)) == {"refusal"}


def test_server_error_carries_no_retry_promise():
    """A 5xx without a refusal may have run in part."""

    def broken(world, connection):
        get = request_reader(connection)
        while (yield from get())[0] is not None:
            yield from connection.write(http1.response(500, [], b"boom"))

    world = World(broken)
    status, head, _ = world.run(world.ask("POST", "/pay"))
    assert (
        status == 502
        and head.get(b"cobaltpond-retry") is None
        and forward_failures(world) == {"server error": 1}
    )


@pytest.mark.parametrize(
    "response_data",
    [
        b"NOT HTTP\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"content-length: 1\r\n" * 2 + b"\r\n",
        b"HTTP/1.1 200 OK\r\nx: " + b"y" * (70 << 10),
    ],
)
def test_malformed_response_is_an_error(response_data):
    """The instance has received the hit and may have run it, so the client gets a 502."""

    def malformed(world, connection):
        yield from request_reader(connection)()
        yield from connection.write(response_data)
        yield Sleep(SECOND)

    world = World(malformed)
    assert world.run(world.ask("POST", "/pay"))[0] == 502 and forward_failures(world) == {"no sense": 1}


def test_refused_dial_is_known_not_to_have_run():
    """Nothing was sent, so the bounce promises that a retry is harmless."""
    world = World(answer_ok)
    world.rows[0]["address"] = "127.0.0.1:1"
    status, head, _ = world.run(world.ask("POST", "/pay"))
    assert (
        status == 503
        and head.get(b"cobaltpond-retry") == b"harmless"
        and set(forward_failures(world)) == {"refused"}
    )


def test_drain_received_in_the_turn_of_a_hit_applies_to_it():
    """The decisions get the list before the hit, so it is not forwarded to a draining instance."""
    world = World(answer_ok, answer_ok)

    def go():
        # Both come in one turn, the hit first; the decisions get the list before the hit.
        connection = yield from world.connect()
        yield from connection.write(http1.request("GET", "/look", [(b"host", b"t")]))
        change = {"epoch": "e", "revision": 1, "base": 0, "rows": [{**world.rows[0], "state": "draining"}]}
        accept_hit = world.process.host.accept_hit

        def accept_then_drain(*arguments):
            hit = accept_hit(*arguments)
            world.process.list_follower.apply_object(change)
            return hit

        world.process.host.accept_hit = accept_then_drain
        return (yield from read_response(connection))

    status, head, _ = world.run(go())
    assert (status, head.get(b"cobaltpond-via"), world.connection_counts[0]) == (200, b"i1", 0)
