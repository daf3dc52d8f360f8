"""The HTTP door and what follows the list and the desk: streams, limits, stops, votes, datagrams."""

import pytest
from world import SECOND, SHEET, World, answer_of, endings, good, hits, requests

from cobaltpond.gateway.endings import SEEN
from cobaltpond.gateway.peers import Peers
from cobaltpond.loop import Deadline, EpollKernel, Loop, PeerLost, Sleep, free_run
from cobaltpond.sheet import read_sheet
from cobaltpond.sheet.parts import split_address
from cobaltpond.wire import http1


def test_long_answers_stream_without_being_held_and_slow_readers_hold_them_back():
    sent = []

    def long(world, connection):
        yield from requests(connection)()
        yield from connection.write(http1.bare(200, [], True, True))
        for _ in range(400):
            yield from connection.write(http1.chunk(b"x" * 65536))
            sent.append(65536)
        yield from connection.write(http1.chunk(b""))

    world = World(long)

    def go():
        connection = yield from world.connect()
        yield from connection.write(http1.request("GET", "/look", [(b"host", b"t")]))
        yield Sleep(1_200_000)
        behind, size = sum(sent), 0
        parser = http1.ResponseParser(http1.Limits(body=1 << 30))
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
        yield from connection.write(http1.bare(200, [(b"content-length", b"%d" % (64 << 20))]))
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
        except PeerLost:
            pass
        return size

    assert world.run(go()) < 64 << 20
    assert hits(world) == {"delivered": 1, "cut": 1} and endings(world) == {"cut in the answer": 1}


def test_an_instance_that_breaks_off_beyond_the_point_of_no_return_cuts_the_client_too():
    def breaks(world, connection):
        yield from requests(connection)()
        yield from connection.write(http1.bare(200, [], True, True) + http1.chunk(b"x" * (128 << 10)))
        yield Sleep(50_000)
        connection.abort()

    world = World(breaks, breaks)

    def go():
        try:
            yield from world.ask()
        except (PeerLost, http1.Cut):
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
        parser, bodies = http1.ResponseParser(http1.Limits()), b""
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
                http1.bare(200, [(b"content-length", b"99")])
                if head.method == "HEAD"
                else http1.bare(204, [])
            )

    world = World(head_only)

    def go():
        connection = yield from world.connect()
        first = yield from world.ask("HEAD", connection=connection)
        return first, (yield from world.ask("GET", connection=connection))

    (status, head, body), (other, _, _) = world.run(go())
    assert (status, head.get(b"content-length"), body, other) == (200, b"99", b"", 204)


LIMIT = "door(head_limit = 1024, target_limit = 64, field_limit = 10, body_limit = 100)"


def padded(size):
    start = b"GET /look HTTP/1.1\r\nhost: t\r\nx: "
    return start + b"y" * (size - len(start) - 4) + b"\r\n\r\n"


@pytest.mark.parametrize(
    "data, status",
    [
        (padded(1024), 200),
        (padded(1025), 431),
        (b"GET /look" + b"a" * 59 + b" HTTP/1.1\r\nhost: t\r\n\r\n", 200),
        (b"GET /look" + b"a" * 60 + b" HTTP/1.1\r\nhost: t\r\n\r\n", 414),
        (b"GET /look HTTP/1.1\r\nhost: t\r\n" + b"a: b\r\n" * 9 + b"\r\n", 200),
        (b"GET /look HTTP/1.1\r\nhost: t\r\n" + b"a: b\r\n" * 10 + b"\r\n", 431),
        (http1.request("POST", "/pay", [(b"host", b"t")], b"x" * 100), 200),
        (http1.request("POST", "/pay", [(b"host", b"t")], b"x" * 101), 413),
        (
            http1.request("POST", "/pay", [(b"host", b"t")], None)
            + http1.chunk(b"x" * 100)
            + http1.chunk(b""),
            200,
        ),
        (
            http1.request("POST", "/pay", [(b"host", b"t")], None)
            + http1.chunk(b"x" * 101)
            + http1.chunk(b""),
            413,
        ),
        (b"POST /hold HTTP/1.1\r\nhost: t\r\ncontent-length: 0\r\n\r\n", 400),
        (b"GET /none HTTP/1.1\r\nhost: t\r\n\r\n", 404),
        (b"DELETE /pay HTTP/1.1\r\nhost: t\r\n\r\n", 405),
        (b"GET /look HTTP/1.1\r\nhost: t\r\ncobaltpond-timeout-ms: soon\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nhost: t\r\nexpect: magic\r\n\r\n", 417),
    ],
)
def test_each_limit_at_it_and_one_past_it(data, status):
    world = World(good, more=LIMIT)

    def go():
        connection = yield from world.connect()
        yield from connection.write(data)
        got = (yield from answer_of(connection))[0]
        connection.close()
        return got

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
def test_no_hit_is_smuggled(data):
    world = World(good)
    follow = b"GET /look HTTP/1.1\r\nhost: t\r\n\r\n"
    got = world.run(world.raw(data + follow))
    assert got.startswith(b"HTTP/1.1 4") or got.startswith(b"HTTP/1.1 5"), got
    assert got.count(b"HTTP/1.1 ") == 1 and not world.got


def test_expect_continue_and_a_body_that_makes_no_sense():
    world = World(good)

    def go():
        connection = yield from world.connect()
        fields = [(b"host", b"t"), (b"expect", b"100-continue"), (b"content-length", b"3")]
        yield from connection.write(http1.start("POST", b"/pay", fields))
        first = yield from connection.read()
        yield from connection.write(b"abc")
        status = (yield from answer_of(connection))[0]
        yield from connection.write(http1.request("POST", "/pay", [(b"host", b"t")], None))
        yield from world.until(lambda: world.process.host.open_hits)
        yield from connection.write(b"zz\r\n")
        return first, status, (yield from connection.read())[:12]

    assert world.run(go()) == (b"HTTP/1.1 100 Continue\r\n\r\n", 200, b"HTTP/1.1 400")
    assert hits(world)["gone"] == 1


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


def test_a_list_that_breaks_off_is_taken_up_again_whole():
    world = World(good, good)

    def go():
        yield from world.ask()
        broken, lines = world.streams[-1], world.process.follower
        broken.queue.items.clear()
        world.revision = 7  # what it is told next does not build on what it holds
        broken.put({"epoch": "e", "revision": 8, "base": 7, "rows": []})
        yield from world.until(lambda: lines.held.revision == 7)
        assert lines.counts["gaps"] == 1
        stream = world.streams[-1]
        stream.end()  # the stream breaks; a new one brings the whole list
        world.revision = 9
        yield from world.until(lambda: lines.held.revision == 9)
        return (yield from world.ask())[0]

    assert world.run(go()) == 200


@pytest.mark.parametrize(
    "script, answer",
    [("ok", "ok"), (409, "moot"), (429, "full"), (500, "error"), ("late", "timeout"), ("cut", "timeout")],
)
def test_each_answer_to_a_vote(script, answer):
    from cobaltpond.calls import json_answer

    world, heard = World(good), []

    def desk():
        if script == "late":
            yield Sleep(600_000)
        if script == "cut":
            return None
        news = {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age_us": 0}
        return json_answer(script if isinstance(script, int) else 200, {"answer": "x", "news": news})

    world.desk_script = desk

    def go():
        world.process.host.post_first = lambda name, *rest: heard.append((name, rest))
        if script == "cut":
            world.process.news.address = cut_address
            yield from world.process.news.vote(2, 0, "on")
        else:
            yield from world.process.news.vote(2, 0, "on")

    cut_listener = world.loop.kernel.listen(("127.0.0.1", 0), 8)
    cut_address = cut_listener.address()

    def cuts(connection):
        yield from connection.read()
        connection.abort()

    from cobaltpond.loop import serve

    world.loop.spawn(serve(world.loop, cut_listener, cuts, 4, "cuts"), "cuts")
    world.run(go())
    ((name, rest),) = heard
    assert name == "on_news" and rest[-2:] == (True, answer)


def test_a_list_that_is_asked_for_is_asked_in_time_and_failures_are_heard():
    world = World(good, by="asking")

    def go():
        assert (yield from world.ask())[0] == 200
        yield from world.until(lambda: world.asked >= 3)
        world.list_fails = True
        yield from world.until(lambda: world.process.follower.counts["errors"])
        assert (yield from world.ask())[0] == 200  # the last list heard still holds
        world.list_fails, world.revision = False, 5
        yield from world.until(lambda: world.process.follower.held.revision == 5)

    world.run(go())


def test_datagrams_are_taken_from_gateways_of_the_sheet_only():
    loop, heard = Loop(EpollKernel()), []
    lock, a = free_run(loop.kernel, 4)
    b, c = a + 1, a + 2
    names = {"more": "", "list": 1, "by": "push", "desk": 1, "door": a + 3, "peers": a}
    second = f'gateway(number = 1, zone = "a", door = "127.0.0.1:9", peers = "127.0.0.1:{b}")'
    sheet = read_sheet("x", SHEET % names + second)

    class Host:
        def post(self, *told):
            heard.append(told)

    addresses = {g.number: split_address(g.peers) for g in sheet.gateways}
    one, two = (Peers(loop, addresses, addresses[n], n, Host()) for n in addresses)
    stranger = loop.kernel.datagrams(("127.0.0.1", c))

    def go():
        task = loop.spawn(two.listen(), "listen")
        assert one.tell(1, b"hello") and one.tell(None, b"all") and not one.tell(1, b"x" * 257)
        assert not one.tell(7, b"nobody")
        for junk in (b"", b"cp", b"cp\0\0\0\5hello"):
            stranger.send(junk, ("127.0.0.1", b))
        one.handle.send(b"cp\0\1\0\5hello", ("127.0.0.1", b))  # another's number
        one.handle.send(b"cp\0\0\0\6hello", ("127.0.0.1", b))  # another length
        with Deadline(loop, 5 * SECOND):
            while two.counts["odd"] < 5:
                yield Sleep(1000)
        task.cancel()
        yield task

    loop.run(loop.spawn(go(), "main"))
    lock.close()
    assert heard == [("on_peer", 0, b"hello"), ("on_peer", 0, b"all")]


def test_every_ending_is_one_that_the_decisions_know():
    from typing import get_args

    from cobaltpond.decisions.interface import Ending

    assert {ending for ending, _ in SEEN.values()} == set(get_args(Ending))
