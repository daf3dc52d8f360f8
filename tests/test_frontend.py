"""The HTTP frontend: streamed bodies, slow readers, disconnects, pipelining, and the stop of the gateway."""

from world import World, answer_ok, forward_failures, outcome_counts, read_response, request_reader

from cobaltpond.loop import ConnectionLostError, Sleep
from cobaltpond.wire import http1


def test_long_response_is_streamed_at_the_pace_of_the_client():
    """While the client reads nothing the instance must stall: the gateway must not buffer a long response."""
    sizes_sent = []

    def long(world, connection):
        yield from request_reader(connection)()
        yield from connection.write(http1.response_head(200, [], True, True))
        for _ in range(400):
            yield from connection.write(http1.encode_chunk(b"x" * 65536))
            sizes_sent.append(65536)
        yield from connection.write(http1.encode_chunk(b""))

    world = World(long)

    def go():
        connection = yield from world.connect()
        yield from connection.write(http1.request("GET", "/look", [(b"host", b"t")]))
        yield Sleep(1_200_000)
        sent_before_reading, size = sum(sizes_sent), 0
        parser = http1.ResponseParser(http1.MessageLimits(body=1 << 30))
        while True:
            for kind, value in parser.feed((yield from connection.read())):
                if kind == "end":
                    return sent_before_reading, size
                size += len(value) if kind == "body" else 0

    sent_before_reading, size_received = world.run(go())
    assert size_received == 400 * 65536 and sent_before_reading < size_received / 2, sent_before_reading


def test_client_that_reads_nothing_is_disconnected_with_a_truncated_response():
    """A slow reader must not hold a connection, and its truncated response must not look complete."""

    def long(world, connection):
        yield from request_reader(connection)()
        yield from connection.write(http1.response_head(200, [(b"content-length", b"%d" % (64 << 20))]))
        for _ in range(1024):
            yield from connection.write(b"x" * 65536)

    world = World(long, extra_settings="door(write_time = ms(400))")

    def go():
        connection = yield from world.connect()
        yield from connection.write(http1.request("GET", "/look", [(b"host", b"t")]))
        yield from world.until(lambda: outcome_counts(world).get("cut"))
        size = 0
        try:
            while data := (yield from connection.read()):
                size += len(data)
        except ConnectionLostError:
            pass
        return size

    assert world.run(go()) < 64 << 20
    assert outcome_counts(world) == {"delivered": 1, "cut": 1} and forward_failures(world) == {
        "cut in the answer": 1
    }


def test_instance_failure_in_a_streamed_response_truncates_it_for_the_client():
    """The hit is committed by then: it is not forwarded again, and the client sees the truncation."""

    def breaks_off(world, connection):
        yield from request_reader(connection)()
        yield from connection.write(
            http1.response_head(200, [], True, True) + http1.encode_chunk(b"x" * (128 << 10))
        )
        yield Sleep(50_000)
        connection.abort()

    world = World(breaks_off, breaks_off)

    def go():
        try:
            yield from world.ask()
        except (ConnectionLostError, http1.TruncatedMessageError):
            return "cut"

    assert (
        world.run(go()) == "cut"
        and sum(world.connection_counts) == 1
        and forward_failures(world) == {"cut in the answer": 1}
    )


def test_long_request_body_is_streamed_and_not_sent_twice():
    """Beyond `door.hold` the body is not buffered, so not even a tagged hit is forwarded again."""
    world = World(answer_ok, extra_settings="door(hold = 65536, body_limit = 33554432)")
    body = bytes(range(256)) * (80 << 10 >> 3)
    assert world.run(world.ask("POST", "/pay", body=body))[0] == 200 and world.received_requests[0][1] == body
    attempts = []

    def cut(world, connection):
        attempts.append(1)
        size = 0
        while size < 1 << 20:
            size += len((yield from connection.read()))
        connection.abort()

    world = World(cut, cut, extra_settings="door(hold = 65536, body_limit = 33554432)")
    status = world.run(world.ask("POST", "/hold", body=body))[0]
    assert (
        status in (429, 503)
        and len(attempts) == 1
        and forward_failures(world) == {"cut before an answer": 1, "nothing to send": 1}
    )


def test_client_disconnect_ends_its_hit():
    """Guards against open hits that leak after a disconnect."""

    def slow(world, connection):
        yield from request_reader(connection)()
        yield Sleep(300_000)
        yield from connection.write(http1.response(200, [], b"ok"))

    world = World(slow)

    def go():
        connection = yield from world.connect()
        yield from connection.write(http1.request("POST", "/pay", [(b"host", b"t")], b"x"))
        yield from world.until(lambda: sum(world.connection_counts))
        connection.close()
        yield from world.until(lambda: not world.process.host.pending_hits)

    world.run(go())
    assert outcome_counts(world) == {"gone": 1} and world.process.host.open_hits == 0


def test_pipelined_hits_are_answered_in_order():
    """The instance delays the first response; responses still come in the order of the requests."""

    def by_path(world, connection):
        get = request_reader(connection)
        while (head := (yield from get())[0]) is not None:
            yield Sleep(60_000 if head.target == b"/look1" else 0)
            yield from connection.write(http1.response(200, [], head.target))

    world = World(by_path)

    def go():
        connection = yield from world.connect()
        yield from connection.write(
            b"".join(http1.request("GET", f"/look{n}", [(b"host", b"t")]) for n in (1, 2, 3))
        )
        parser, bodies = http1.ResponseParser(http1.MessageLimits()), b""
        while bodies.count(b"/") < 3:
            for kind, value in parser.feed((yield from connection.read())):
                bodies += value if kind == "body" else b""
        return bodies

    assert world.run(go()) == b"/look1/look2/look3"


def test_head_requests_and_responses_without_a_body():
    """Guards against a connection that loses its framing where no body follows the head."""

    def head_only(world, connection):
        get = request_reader(connection)
        while (head := (yield from get())[0]) is not None:
            yield from connection.write(
                http1.response_head(200, [(b"content-length", b"99")])
                if head.method == "HEAD"
                else http1.response_head(204, [])
            )

    world = World(head_only)

    def go():
        connection = yield from world.connect()
        first = yield from world.ask("HEAD", connection=connection)
        return first, (yield from world.ask("GET", connection=connection))

    (status, head, body), (other, _, _) = world.run(go())
    assert (status, head.get(b"content-length"), body, other) == (200, b"99", b"", 204)


def test_stopping_gateway_answers_open_and_late_hits():
    """A hit that is open and one that arrives during the stop are answered; idle connections are closed."""

    def slow(world, connection):
        get = request_reader(connection)
        while (yield from get())[0] is not None:
            yield Sleep(120_000)
            yield from connection.write(http1.response(200, [], b"ok"))

    world = World(slow)

    def go():
        connections = []
        for _ in range(3):
            connections.append((yield from world.connect()))
        yield from connections[0].write(http1.request("GET", "/look", [(b"host", b"t")]))
        yield from world.until(lambda: sum(world.connection_counts))
        world.process.stop()
        yield Sleep(60_000)
        later = yield from world.ask(connection=connections[1])
        first = yield from read_response(connections[0])
        idle = yield from connections[2].read()
        yield from world.main.join()
        return first[0], later[0], later[1].keep_alive, idle

    assert world.run(go()) == (200, 200, False, b"")
