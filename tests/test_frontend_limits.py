"""The frontend's limits on requests, and its rules against ambiguous request framing."""

import pytest
from world import World, answer_ok, outcome_counts, read_response

from cobaltpond.wire import http1

LIMIT = "door(head_limit = 1024, target_limit = 64, field_limit = 10, body_limit = 100)"


def padded_request(size):
    """A request whose head has exactly `size` bytes."""
    start = b"GET /look HTTP/1.1\r\nhost: t\r\nx: "
    return start + b"y" * (size - len(start) - 4) + b"\r\n\r\n"


@pytest.mark.parametrize(
    "data, status",
    [
        (padded_request(1024), 200),
        (padded_request(1025), 431),
        (b"GET /look" + b"a" * 59 + b" HTTP/1.1\r\nhost: t\r\n\r\n", 200),
        (b"GET /look" + b"a" * 60 + b" HTTP/1.1\r\nhost: t\r\n\r\n", 414),
        (b"GET /look HTTP/1.1\r\nhost: t\r\n" + b"a: b\r\n" * 9 + b"\r\n", 200),
        (b"GET /look HTTP/1.1\r\nhost: t\r\n" + b"a: b\r\n" * 10 + b"\r\n", 431),
        (http1.request("POST", "/pay", [(b"host", b"t")], b"x" * 100), 200),
        (http1.request("POST", "/pay", [(b"host", b"t")], b"x" * 101), 413),
        (
            http1.request("POST", "/pay", [(b"host", b"t")], None)
            + http1.encode_chunk(b"x" * 100)
            + http1.encode_chunk(b""),
            200,
        ),
        (
            http1.request("POST", "/pay", [(b"host", b"t")], None)
            + http1.encode_chunk(b"x" * 101)
            + http1.encode_chunk(b""),
            413,
        ),
        (b"POST /hold HTTP/1.1\r\nhost: t\r\ncontent-length: 0\r\n\r\n", 400),
        (b"GET /none HTTP/1.1\r\nhost: t\r\n\r\n", 404),
        (b"DELETE /pay HTTP/1.1\r\nhost: t\r\n\r\n", 405),
        (b"GET /look HTTP/1.1\r\nhost: t\r\ncobaltpond-timeout-ms: soon\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nhost: t\r\nexpect: magic\r\n\r\n", 417),
    ],
)
def test_request_limits_at_and_beyond_their_bounds(data, status):
    """Guards against limits that are off by one and against invalid heads that become hits."""
    world = World(answer_ok, extra_settings=LIMIT)

    def go():
        connection = yield from world.connect()
        yield from connection.write(data)
        got_status = (yield from read_response(connection))[0]
        connection.close()
        return got_status

    assert world.run(go()) == status


@pytest.mark.parametrize(
    "data",
    [
        b"POST /pay HTTP/1.1\r\nhost: t\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
        b"POST /pay HTTP/1.1\r\nhost: t\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /pay HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n",
        b"POST /pay HTTP/1.1\r\nhost: t\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
        b"POST /pay HTTP/1.1\r\nhost: t\r\ncontent-length: +5\r\n\r\nhello",
        b"GET /look HTTP/1.1\nhost: t\n\n",
        b"GET /look HTTP/1.1\r\nhost: t\r\nx: a\r\n b\r\n\r\n",
        b"GET /look HTTP/1.1\r\nhost : t\r\n\r\n",
        b"GET /look HTTP/1.1\r\nhost: t\r\nhost: u\r\n\r\n",
        b"GET /look HTTP/1.1\r\n\r\n",
        b"GET http://x/look HTTP/1.1\r\nhost: t\r\n\r\n",
        b"CONNECT x:1 HTTP/1.1\r\nhost: t\r\n\r\n",
        b"GET /look HTTP/2.0\r\nhost: t\r\n\r\n",
    ],
)
def test_request_smuggling_is_rejected(data):
    """An ambiguous request gets one error and ends the connection; what follows it never becomes a hit."""
    world = World(answer_ok)
    next_request = b"GET /look HTTP/1.1\r\nhost: t\r\n\r\n"
    received = world.run(world.raw(data + next_request))
    assert received.startswith(b"HTTP/1.1 4") or received.startswith(b"HTTP/1.1 5"), received
    assert received.count(b"HTTP/1.1 ") == 1 and not world.received_requests


def test_expect_continue_and_a_malformed_chunked_body():
    """An open hit with a malformed body ends with a 400 as its only answer."""
    world = World(answer_ok)

    def go():
        connection = yield from world.connect()
        fields = [(b"host", b"t"), (b"expect", b"100-continue"), (b"content-length", b"3")]
        yield from connection.write(http1.request_head("POST", b"/pay", fields))
        first = yield from connection.read()
        yield from connection.write(b"abc")
        status = (yield from read_response(connection))[0]
        yield from connection.write(http1.request("POST", "/pay", [(b"host", b"t")], None))
        yield from world.until(lambda: world.process.host.open_hits)
        yield from connection.write(b"zz\r\n")
        return first, status, (yield from connection.read())[:12]

    assert world.run(go()) == (b"HTTP/1.1 100 Continue\r\n\r\n", 200, b"HTTP/1.1 400")
    assert outcome_counts(world)["gone"] == 1
