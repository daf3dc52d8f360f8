"""A gateway's links to the list, the desk and the other gateways, and the forward results it reports."""

import pytest
from world import SECOND, SETTINGS, World, answer_ok

from cobaltpond.gateway.forward_results import FORWARD_RESULTS
from cobaltpond.gateway.peers import Peers
from cobaltpond.loop import Deadline, EpollKernel, Loop, Sleep, reserve_ports
from cobaltpond.settings import read_settings
from cobaltpond.settings.sections import split_address


def test_list_stream_recovers_with_the_whole_list():
    """After a gap and after a broken stream the gateway requests the whole list and goes on from it."""
    world = World(answer_ok, answer_ok)

    def go():
        yield from world.ask()
        stream_with_gap, follower = world.list_streams[-1], world.process.list_follower
        stream_with_gap.queue.items.clear()
        world.revision = 7  # the next change does not apply to the revision that the gateway has
        stream_with_gap.send_object({"epoch": "e", "revision": 8, "base": 7, "rows": []})
        yield from world.until(lambda: follower.instance_list.revision == 7)
        assert follower.counts["gaps"] == 1
        stream = world.list_streams[-1]
        stream.close()  # the stream breaks; a new one brings the whole list
        world.revision = 9
        yield from world.until(lambda: follower.instance_list.revision == 9)
        return (yield from world.ask())[0]

    assert world.run(go()) == 200


@pytest.mark.parametrize(
    "response, answer",
    [("ok", "ok"), (409, "moot"), (429, "full"), (500, "error"), ("late", "timeout"), ("cut", "timeout")],
)
def test_each_desk_response_to_a_vote_maps_to_one_answer(response, answer):
    """Guards against a vote that counts as cast where the desk has not counted it, or the reverse."""
    from cobaltpond.rpc import json_response

    world, events = World(answer_ok), []

    def answer_vote():
        if response == "late":
            yield Sleep(600_000)
        if response == "cut":
            return None
        news = {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age_us": 0}
        return json_response(response if isinstance(response, int) else 200, {"answer": "x", "news": news})

    world.answer_vote = answer_vote

    def go():
        world.process.host.post_event_first = lambda name, *rest: events.append((name, rest))
        if response == "cut":
            world.process.desk_client.address = reset_address
            yield from world.process.desk_client.cast_vote(2, 0, "on")
        else:
            yield from world.process.desk_client.cast_vote(2, 0, "on")

    reset_listener = world.loop.kernel.listen(("127.0.0.1", 0), 8)
    reset_address = reset_listener.address()

    def reset_after_request(connection):
        yield from connection.read()
        connection.abort()

    from cobaltpond.loop import serve

    world.loop.spawn(serve(world.loop, reset_listener, reset_after_request, 4, "cuts"), "cuts")
    world.run(go())
    ((name, rest),) = events
    assert name == "on_news" and rest[-2:] == (True, answer)


def test_polled_list_is_refreshed_and_survives_failures():
    """While polls fail the last list stays in use; the next one that succeeds is applied."""
    world = World(answer_ok, by="asking")

    def go():
        assert (yield from world.ask())[0] == 200
        yield from world.until(lambda: world.list_polls >= 3)
        world.list_unavailable = True
        yield from world.until(lambda: world.process.list_follower.counts["errors"])
        assert (yield from world.ask())[0] == 200  # the last list received stays in use
        world.list_unavailable, world.revision = False, 5
        yield from world.until(lambda: world.process.list_follower.instance_list.revision == 5)

    world.run(go())


def test_datagrams_are_accepted_from_configured_gateways_only():
    """Guards against datagrams from strangers, with a false sender number or length, or too long to send."""
    loop, events = Loop(EpollKernel()), []
    lock, first_port = reserve_ports(loop.kernel, 4)
    second_port, stranger_port = first_port + 1, first_port + 2
    names = {
        "extra_settings": "",
        "list": 1,
        "by": "push",
        "desk": 1,
        "door": first_port + 3,
        "peers": first_port,
    }
    second_gateway = (
        f'gateway(number = 1, zone = "a", door = "127.0.0.1:9", peers = "127.0.0.1:{second_port}")'
    )
    settings = read_settings("x", SETTINGS % names + second_gateway)

    class Host:
        def post_event(self, *event):
            events.append(event)

    addresses = {g.number: split_address(g.peers) for g in settings.gateways}
    one, two = (Peers(loop, addresses, addresses[n], n, Host()) for n in addresses)
    stranger = loop.kernel.open_datagrams(("127.0.0.1", stranger_port))

    def go():
        task = loop.spawn(two.listen(), "listen")
        assert one.send_to(1, b"hello") and one.send_to(None, b"all") and not one.send_to(1, b"x" * 257)
        assert not one.send_to(7, b"nobody")
        for malformed in (b"", b"cp", b"cp\0\0\0\5hello"):
            stranger.send(malformed, ("127.0.0.1", second_port))
        one.handle.send(b"cp\0\1\0\5hello", ("127.0.0.1", second_port))  # the number of another gateway
        one.handle.send(b"cp\0\0\0\6hello", ("127.0.0.1", second_port))  # a wrong length
        with Deadline(loop, 5 * SECOND):
            while two.counts["odd"] < 5:
                yield Sleep(1000)
        task.cancel()
        yield task

    loop.run(loop.spawn(go(), "main"))
    lock.close()
    assert events == [("on_peer", 0, b"hello"), ("on_peer", 0, b"all")]


def test_every_forward_result_is_known_to_the_decisions():
    """The table and the type of the decisions' interface must list the same results."""
    from typing import get_args

    from cobaltpond.decisions.interface import ForwardResult

    assert {result for result, _ in FORWARD_RESULTS.values()} == set(get_args(ForwardResult))
