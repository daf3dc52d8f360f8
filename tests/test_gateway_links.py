"""A gateway's connections to the list, the desk and the other gateways, and the endings it reports."""

import pytest
from world import SECOND, SHEET, World, good

from cobaltpond.gateway.forward_results import FORWARD_RESULTS
from cobaltpond.gateway.peers import Peers
from cobaltpond.loop import Deadline, EpollKernel, Loop, Sleep, reserve_ports
from cobaltpond.settings import read_settings
from cobaltpond.settings.sections import split_address


def test_a_list_that_breaks_off_is_taken_up_again_whole():
    world = World(good, good)

    def go():
        yield from world.ask()
        broken, lines = world.streams[-1], world.process.list_follower
        broken.queue.items.clear()
        world.revision = 7  # what it is told next does not build on what it holds
        broken.send_object({"epoch": "e", "revision": 8, "base": 7, "rows": []})
        yield from world.until(lambda: lines.instance_list.revision == 7)
        assert lines.counts["gaps"] == 1
        stream = world.streams[-1]
        stream.close()  # the stream breaks; a new one brings the whole list
        world.revision = 9
        yield from world.until(lambda: lines.instance_list.revision == 9)
        return (yield from world.ask())[0]

    assert world.run(go()) == 200


@pytest.mark.parametrize(
    "script, answer",
    [("ok", "ok"), (409, "moot"), (429, "full"), (500, "error"), ("late", "timeout"), ("cut", "timeout")],
)
def test_each_answer_to_a_vote(script, answer):
    from cobaltpond.rpc import json_response

    world, heard = World(good), []

    def desk():
        if script == "late":
            yield Sleep(600_000)
        if script == "cut":
            return None
        news = {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age_us": 0}
        return json_response(script if isinstance(script, int) else 200, {"answer": "x", "news": news})

    world.desk_script = desk

    def go():
        world.process.host.post_event_first = lambda name, *rest: heard.append((name, rest))
        if script == "cut":
            world.process.desk_client.address = cut_address
            yield from world.process.desk_client.cast_vote(2, 0, "on")
        else:
            yield from world.process.desk_client.cast_vote(2, 0, "on")

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
        yield from world.until(lambda: world.process.list_follower.counts["errors"])
        assert (yield from world.ask())[0] == 200  # the last list heard still holds
        world.list_fails, world.revision = False, 5
        yield from world.until(lambda: world.process.list_follower.instance_list.revision == 5)

    world.run(go())


def test_datagrams_are_taken_from_gateways_of_the_sheet_only():
    loop, heard = Loop(EpollKernel()), []
    lock, a = reserve_ports(loop.kernel, 4)
    b, c = a + 1, a + 2
    names = {"more": "", "list": 1, "by": "push", "desk": 1, "door": a + 3, "peers": a}
    second = f'gateway(number = 1, zone = "a", door = "127.0.0.1:9", peers = "127.0.0.1:{b}")'
    sheet = read_settings("x", SHEET % names + second)

    class Host:
        def post_event(self, *told):
            heard.append(told)

    addresses = {g.number: split_address(g.peers) for g in sheet.gateways}
    one, two = (Peers(loop, addresses, addresses[n], n, Host()) for n in addresses)
    stranger = loop.kernel.open_datagrams(("127.0.0.1", c))

    def go():
        task = loop.spawn(two.listen(), "listen")
        assert one.send_to(1, b"hello") and one.send_to(None, b"all") and not one.send_to(1, b"x" * 257)
        assert not one.send_to(7, b"nobody")
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

    from cobaltpond.decisions.interface import ForwardResult

    assert {ending for ending, _ in FORWARD_RESULTS.values()} == set(get_args(ForwardResult))
