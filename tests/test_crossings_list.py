"""Race conditions of the instance list and the desk: two sources, silence, late replies; each order is
forced.
"""

import json

import pytest
from pgworld import PgWorld, answer_script, good_answer, statement

from cobaltpond.edge import discovery, platform
from cobaltpond.loop import Sleep
from cobaltpond.rpc import json_response
from cobaltpond.wire import pg

MS = 1000
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"


def whole_list(seq, *hosts):
    return {"seq": seq, "whole": True, "hosts": list(hosts)}


def http_response(document):
    body = json.dumps(document).encode()
    return RESPONSE_HEAD + b"content-length: %d\r\n\r\n" % len(body) + body


def hold_connection(connections, name):
    """Script of an address that answers nothing: the test does, over `connections[name]`, once a request has
    come.
    """

    def script(connection):
        yield from connection.read()
        connections[name] = connection
        yield from connection.read()

    return script


def instance_states(world):
    return {id: place.row["state"] for id, place in world.edge.endpoints.by_id.items()}


# --- two sources of the list ---


@pytest.mark.parametrize("first", ["old", "new"])
def test_two_sources_in_one_turn_never_go_back_to_the_older_list(first, tmp_path):
    """After a change of address both sources answer in one step, in either order; the old source still lists
    the instance as up. Applying its list last would undo the drain.
    """
    connections = {}
    world = PgWorld(
        answer_script(lambda text, _: good_answer(text)), tmp=tmp_path, discovery_offset=5, known_list=True
    )
    world.listen_at(5, hold_connection(connections, "old"))
    up, draining = world.hosts[0], {**world.hosts[0], "health": "draining"}
    world.response_overrides[3] = lambda request: world.watch(9, world.loop.now() + 1_000 * MS)

    def go():
        yield from world.until(lambda: "old" in connections)
        world.listen_at(6, hold_connection(connections, "new"))
        world.reload_configuration(discovery=f"127.0.0.1:{world.base + 6}")
        yield from world.until(lambda: "new" in connections)
        lists = {"old": http_response(whole_list(4, up)), "new": http_response(whole_list(7, draining))}
        for name in sorted(lists, reverse=first == "old"):
            connections.pop(name).write_now(lists[name])
        yield from world.until(lambda: instance_states(world) == {"s-0": "draining"})
        yield Sleep(50 * MS)
        return instance_states(world), world.edge.discovery.instances.seq

    assert world.run(go()) == ({"s-0": "draining"}, 7)


def test_new_source_with_an_older_version_reverts_nothing(tmp_path):
    """The old source reported version 8 and the new one still has version 5.

    The new one is asked by its own version, and what it reports later is applied on top.
    """
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), tmp=tmp_path)
    up, draining = world.hosts[0], {**world.hosts[0], "health": "draining"}
    more = {**up, "host": "s-9"}
    requested_versions = []

    def serve_older_version(request):
        requested_versions.append(request.query.get("after"))
        if "after" not in request.query:
            return json_response(200, whole_list(5, up))
        return (
            json_response(200, {"seq": 9, "whole": False, "hosts": [draining, more]})
            if len(requested_versions) == 2
            else later()
        )

    def later():
        yield Sleep(1_900 * MS)
        return json_response(200, {"seq": 9, "whole": False, "hosts": []})

    world.response_overrides[3] = serve_older_version

    def go():
        world.seq = 7
        world.publish_host(host="s-0", health="draining")
        yield from world.until(lambda: instance_states(world) == {"s-0": "draining"})
        world.reload_configuration(discovery=f"127.0.0.1:{world.base + 3}")
        seen = []
        while "s-9" not in instance_states(world):
            seen.append(instance_states(world)["s-0"])
            yield Sleep(1 * MS)
        return set(seen), requested_versions[:2], instance_states(world)["s-0"]

    assert world.run(go()) == ({"draining"}, [None, "5"], "draining")


def test_discovery_that_lost_its_versions_is_accepted_after_a_timeout(monkeypatch):
    monkeypatch.setattr(discovery, "STALE_SOURCE_TIME_US", 200 * MS)
    monkeypatch.setattr(discovery, "WATCH_TIME_US", 100 * MS)
    world = PgWorld(answer_script(lambda text, _: good_answer(text)))

    def go():
        world.seq = 40
        world.publish_host(host="s-0", share=0.5)
        yield from world.until(lambda: world.edge.discovery.instances.seq == 41)
        world.seq, world.changes = 2, []
        world.hosts = [{**world.hosts[0], "health": "draining"}]
        yield from world.until(lambda: instance_states(world) == {"s-0": "draining"})
        return world.edge.discovery.instances.seq

    assert world.run(go()) == 2


# --- silence ---


def drip_bytes(connection, head):
    """Each byte arrives in time, the complete response never."""
    yield from connection.write(head)
    while True:
        yield from connection.write(b" ")
        yield Sleep(20 * MS)


SILENT_RESPONSES = {
    "at once": lambda connection: Sleep(60_000 * MS),
    "after the head": lambda connection: connection.write(RESPONSE_HEAD + b"content-length: 90\r\n\r\n"),
    "in the body": lambda connection: connection.write(
        RESPONSE_HEAD + b'content-length: 90\r\n\r\n{"seq": 9, "wh'
    ),
    "byte by byte": lambda connection: drip_bytes(
        connection, RESPONSE_HEAD + b"content-length: 100000\r\n\r\n"
    ),
    "nonsense": lambda connection: connection.write(b"nonsense\r\n"),
}


@pytest.mark.parametrize("how", [*SILENT_RESPONSES, "old versions"])
def test_stalled_watch_is_abandoned_in_time(how, monkeypatch):
    """A missed change counts as announced 6 s after the watch fell silent, whatever it had sent before.

    The timeouts that add up to that are cut to a tenth here.
    """
    assert (
        discovery.WATCH_TIME_US + 2 * discovery.RESPONSE_TIMEOUT_US + 1_000_000 < 6_000_000
    )  # with the longest pause between them
    for name in ("WATCH_TIME_US", "RESPONSE_TIMEOUT_US"):
        monkeypatch.setattr(discovery, name, getattr(discovery, name) // 10)
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), discovery_offset=5, known_list=True)
    calls = []

    def script(connection):
        request = yield from connection.read()
        calls.append(b"after" in request)
        if not calls[-1]:
            yield from connection.write(http_response(whole_list(world.seq, *world.hosts)))
        elif how == "old versions":
            yield from connection.write(http_response({"seq": 1, "whole": False, "hosts": []}))
        elif isinstance(wait := SILENT_RESPONSES[how](connection), Sleep):
            yield wait
        else:
            yield from wait
        yield from connection.read()

    world.listen_at(5, script)

    def go():
        yield from world.until(lambda: True in calls)
        began = world.loop.now()
        world.publish_host(host="s-0", health="draining")
        yield from world.until(lambda: instance_states(world) == {"s-0": "draining"})
        took = world.loop.now() - began
        count = len(calls)
        yield Sleep(300 * MS)
        return took, len(calls) - count

    took, more = world.run(go())
    # The source is not polled in a busy loop either: a watch and a whole list each take 50 to 100 ms, in 300
    # ms.
    assert took < 600 * MS and more < 15


def test_change_right_after_an_early_response_is_known_within_the_drain_grace():
    """Discovery comes back after a while, answers one watch early without a change, and announces the next
    change. The retry delays that grew while it was down must not be applied between the two.
    """
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), discovery_offset=5, known_list=True)
    calls = []
    announced_at = []

    def script(connection):
        request = yield from connection.read()
        calls.append(b"after" in request)
        if len(calls) <= 4:  # discovery is down
            return
        if not calls[-1]:
            yield from connection.write(http_response(whole_list(world.seq, *world.hosts)))
        elif not announced_at:
            yield from connection.write(http_response({"seq": world.seq, "whole": False, "hosts": []}))
            world.publish_host(host="s-0", health="draining")
            announced_at.append(world.loop.now())
        yield from connection.read()

    world.listen_at(5, script)

    def go():
        yield from world.until(lambda: instance_states(world) == {"s-0": "draining"})
        return world.loop.now() - announced_at[0]

    assert world.run(go()) < 200 * MS


@pytest.mark.parametrize("down", ["silent", "refusing"])
def test_list_of_a_returning_agent_is_known_at_once(down):
    """Found in scenario herd+mass 549558377948: the agent never answers requests from the time while it was
    silent, and gateways that waited for those, or paused, kept sending to draining instances for up to 1.7 s.
    """
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), discovery_offset=5, known_list=True)
    returned = []

    def script(connection):
        request = yield from connection.read()
        if not returned and down == "refusing":
            return
        if returned and b"after" not in request:
            yield from connection.write(http_response(whole_list(world.seq, *world.hosts)))
        yield from connection.read()

    world.listen_at(5, script)

    def go():
        took = []
        for wait in (2_000, 330, 570, 810):  # it returns at different points between requests and pauses
            yield Sleep(wait * MS)
            world.publish_host(host="s-0", health="draining" if len(took) % 2 == 0 else "up")
            now, began = instance_states(world)["s-0"], world.loop.now()
            returned.append(True)
            yield from world.until(lambda now=now: instance_states(world)["s-0"] != now)
            took.append(world.loop.now() - began)
            returned.clear()
            world.edge.discovery.start(world.edge.discovery.address)  # the open watch will never be answered
        return took

    assert max(world.run(go())) < 250 * MS


@pytest.mark.parametrize("how", [how for how in SILENT_RESPONSES if how != "nonsense"])
def test_stalled_feed_is_reopened(how, monkeypatch):
    monkeypatch.setattr(platform, "FEED_SILENCE_TIMEOUT_US", 300 * MS)
    world, opened_at = PgWorld(answer_script(lambda text, _: good_answer(text)), tmp=None), []

    def script(connection):
        yield from connection.read()
        opened_at.append(world.loop.now())
        news = {"type": "ROLLOUT", "object": {**world.news, "Revision": 1 + len(opened_at)}}
        line = json.dumps(news).encode() + b"\n"
        if len(opened_at) > 1:
            yield from connection.write(
                RESPONSE_HEAD + b"transfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line)
            )
        elif how == "byte by byte":
            yield from drip_bytes(connection, RESPONSE_HEAD + b"transfer-encoding: chunked\r\n\r\nffff\r\n")
        elif isinstance(wait := SILENT_RESPONSES[how](connection), Sleep):
            yield wait
        else:
            yield from wait
        yield from connection.read()

    def go():
        world.listen_at(5, script)
        world.edge.platform.start(("127.0.0.1", world.base + 5))
        yield from world.until(lambda: world.edge.platform.last_state[0] == 3)
        return opened_at[1] - opened_at[0]

    assert 300 * MS <= world.run(go()) < 900 * MS


# --- the desk ---


def test_late_vote_reply_does_not_raise_the_cap_again():
    """The vote counted while the build was on trial.

    Its reply is delayed until the feed has reported that the build is going back: the older state must not
    raise the cap again.
    """
    trial = {"Revision": 2, "Wave": 0, "State": "canary", "MaxShare": 0.5, "AgeMs": 3000}
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), news=trial)
    desk = world.edge.platform

    def delay_vote_reply(request):
        if not request.path.endswith("ballots"):
            return world.on_desk(request)
        return after()

    def after():
        world.publish_state(State="reverting", MaxShare=0.0, AgeMs=10)
        yield from world.until(lambda: desk.last_state[2] == "going back")
        return json_response(200, {**trial, "AgeMs": 3050})

    world.response_overrides[2] = delay_vote_reply

    def go():
        yield from world.until(lambda: desk.has_received)
        yield from desk.cast_vote(2, 0, "none")
        yield Sleep(5 * MS)
        decisions = world.edge.host.decisions
        return desk.last_state, decisions.phase, decisions.cap, decisions.last_vote_answer

    assert world.run(go()) == ((2, 0, "going back", 0.0), "going back", 0.0, "ok")


@pytest.mark.parametrize("order", ["old new", "new old"])
def test_dispute_from_two_feeds_in_one_turn_counts_once(order):
    world, connections = PgWorld(answer_script(lambda text, _: good_answer(text))), {}
    desk = world.edge.platform

    def go():
        for offset, name in ((5, "old"), (6, "new")):
            world.listen_at(offset, hold_connection(connections, name))
            desk.start(("127.0.0.1", world.base + offset))
            yield from world.until(lambda name=name: name in connections)
        wrong = {"type": "DISPUTE", "object": {"InstanceId": "s-0", "Lane": "look", "AgeMs": 900}}
        line = json.dumps(wrong).encode() + b"\n"
        before = desk.counts["wrong"]
        for name in order.split():
            connections[name].write_now(
                RESPONSE_HEAD + b"transfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line)
            )
        yield from world.until(lambda: len(desk.source_switch.tasks) == 1)
        yield Sleep(20 * MS)
        return desk.counts["wrong"] - before

    assert world.run(go()) == (1 if order == "new old" else 2)


@pytest.mark.parametrize("then", [{"State": "reverting", "MaxShare": 0.0}, {"Revision": 3, "MaxShare": 0.1}])
def test_cap_that_fell_during_a_dial_holds_despite_later_states(then):
    """The forward is for build 1.

    The first state drops its cap to 0, and further ones concern another build: the forward must still not be
    sent.
    """

    def script(world, connection):
        yield from connection.read()
        if not world.forward_results():
            world.publish_state(State="reverting", MaxShare=0.0)
            yield from world.until(lambda: world.edge.platform.last_state[2] == "going back")
            world.publish_state(Revision=2, State="canary", MaxShare=0.2)
            yield from world.until(lambda: world.edge.platform.last_state[0] == 2)
            world.publish_state(**{"Revision": 2, "State": "canary", **then})
            yield from world.until(lambda: world.edge.platform.last_state[3] < 0.2)
        yield from connection.write(pg.startup_response())
        while data := (yield from connection.read()):
            world.received.append(data)

    world = PgWorld(script, news={"Revision": 1, "Wave": 0, "State": "canary", "MaxShare": 1.0, "AgeMs": 0})
    world.run(world.query(statement(1)))
    assert world.received == [] and world.forward_results() == {"changed meanwhile": 1}
