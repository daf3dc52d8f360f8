"""The HTTP door and what follows the list and the desk: streams, limits, stops, votes, datagrams."""

from world import World, answer_of, endings, good, hits, requests

from cobaltpond.loop import ConnectionLostError, Sleep
from cobaltpond.wire import http1


def test_long_answers_stream_without_being_held_and_slow_readers_hold_them_back():
    sent = []

    def long(world, connection):
        yield from requests(connection)()
        yield from connection.write(http1.response_head(200, [], True, True))
        for _ in range(400):
            yield from connection.write(http1.encode_chunk(b"x" * 65536))
            sent.append(65536)
        yield from connection.write(http1.encode_chunk(b""))

    world = World(long)

    def go():
        connection = yield from world.connect()
        yield from connection.write(http1.request("GET", "/look", [(b"host", b"t")]))
        yield Sleep(1_200_000)
        behind, size = sum(sent), 0
        parser = http1.ResponseParser(http1.MessageLimits(body=1 << 30))
        while True:
            for kind, value in parser.feed((yield from connection.read())):
                if kind == "end":
                    return behind, size
                size += len(value) if kind == "body" else 0

    behind, whole = world.run(go())
    assert whole == 400 * 65536 and behind < whole / 2, behind


def test_a_reader_that_takes_nothing_is_cut_off_and_its_answer_never_looks_whole():
    def long(world, connection):
        yield from requests(connection)()
        yield from connection.write(http1.response_head(200, [(b"content-length", b"%d" % (64 << 20))]))
        for _ in range(1024):
            yield from connection.write(b"x" * 65536)

    world = World(long, more="door(write_time = ms(400))")

    def go():
        connection = yield from world.connect()
        yield from connection.write(http1.request("GET", "/look", [(b"host", b"t")]))
        yield from world.until(lambda: hits(world).get("cut"))
        size = 0
        try:
            while piece := (yield from connection.read()):
                size += len(piece)
        except ConnectionLostError:
            pass
        return size

    assert world.run(go()) < 64 << 20
    assert hits(world) == {"delivered": 1, "cut": 1} and endings(world) == {"cut in the answer": 1}


def test_an_instance_that_breaks_off_beyond_the_point_of_no_return_cuts_the_client_too():
    def breaks(world, connection):
        yield from requests(connection)()
        yield from connection.write(
            http1.response_head(200, [], True, True) + http1.encode_chunk(b"x" * (128 << 10))
        )
        yield Sleep(50_000)
        connection.abort()

    world = World(breaks, breaks)

    def go():
        try:
            yield from world.ask()
        except (ConnectionLostError, http1.TruncatedMessageError):
            return "cut"

    assert world.run(go()) == "cut" and sum(world.seen) == 1 and endings(world) == {"cut in the answer": 1}


def test_a_long_body_is_streamed_to_the_instance_and_not_sent_twice():
    world = World(good, more="door(hold = 65536, body_limit = 33554432)")
    body = bytes(range(256)) * (80 << 10 >> 3)
    assert world.run(world.ask("POST", "/pay", body=body))[0] == 200 and world.got[0][1] == body
    tried = []

    def cut(world, connection):
        tried.append(1)
        size = 0
        while size < 1 << 20:
            size += len((yield from connection.read()))
        connection.abort()

    world = World(cut, cut, more="door(hold = 65536, body_limit = 33554432)")
    status = world.run(world.ask("POST", "/hold", body=body))[0]
    assert (
        status in (429, 503)
        and len(tried) == 1
        and endings(world) == {"cut before an answer": 1, "nothing to send": 1}
    )


def test_a_client_that_hangs_up_is_gone():
    def slow(world, connection):
        yield from requests(connection)()
        yield Sleep(300_000)
        yield from connection.write(http1.response(200, [], b"ok"))

    world = World(slow)

    def go():
        connection = yield from world.connect()
        yield from connection.write(http1.request("POST", "/pay", [(b"host", b"t")], b"x"))
        yield from world.until(lambda: sum(world.seen))
        connection.close()
        yield from world.until(lambda: not world.process.host.hits)

    world.run(go())
    assert hits(world) == {"gone": 1} and world.process.host.open_hits == 0


def test_pipelined_hits_are_answered_in_order():
    def by_path(world, connection):
        get = requests(connection)
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


def test_head_requests_and_empty_answers():
    def head_only(world, connection):
        get = requests(connection)
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


def test_a_stopping_gateway_answers_what_it_holds_and_what_still_comes():
    def slow(world, connection):
        get = requests(connection)
        while (yield from get())[0] is not None:
            yield Sleep(120_000)
            yield from connection.write(http1.response(200, [], b"ok"))

    world = World(slow)

    def go():
        connections = []
        for _ in range(3):
            connections.append((yield from world.connect()))
        yield from connections[0].write(http1.request("GET", "/look", [(b"host", b"t")]))
        yield from world.until(lambda: sum(world.seen))
        world.process.stop()
        yield Sleep(60_000)
        later = yield from world.ask(connection=connections[1])
        first = yield from answer_of(connections[0])
        idle = yield from connections[2].read()
        yield from world.main.join()
        return first[0], later[0], later[1].keep_alive, idle

    assert world.run(go()) == (200, 200, False, b"")
