"""Pairs of events that cross, on real sockets, each order forced: two sources of the list, silence, the
desk."""

import json

import pytest
from pgworld import PgWorld, answering, good, statement

from cobaltpond.edge import discovery, platform
from cobaltpond.loop import Sleep
from cobaltpond.rpc import json_response
from cobaltpond.wire import pg

MS = 1000
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"


def whole(seq, *hosts):
    return {"seq": seq, "whole": True, "hosts": list(hosts)}


def answer(told_):
    body = json.dumps(told_).encode()
    return HEAD + b"content-length: %d\r\n\r\n" % len(body) + body


def holding(held, name):
    """An address that answers nothing: the test does, over `held[name]`, once it has been asked."""

    def script(connection):
        yield from connection.read()
        held[name] = connection
        yield from connection.read()

    return script


def state(world):
    return {id: place.row["state"] for id, place in world.edge.endpoints.by_id.items()}


# --- two sources of the list ---


@pytest.mark.parametrize("first", ["old", "new"])
def test_two_sources_answer_in_one_turn_and_the_older_list_of_the_older_source_is_not_taken_last(
    first, tmp_path
):
    """Both answers are written in one step, in either order; the old source's says that the instance is still
    up."""
    held = {}
    world = PgWorld(answering(lambda text, _: good(text)), tmp=tmp_path, agent=5, known=True)
    world.listen_at(5, holding(held, "old"))
    up, drains = world.hosts[0], {**world.hosts[0], "health": "draining"}
    world.answers[3] = lambda request: world.watch(9, world.loop.now() + 1_000 * MS)

    def go():
        yield from world.until(lambda: "old" in held)
        world.listen_at(6, holding(held, "new"))
        world.hup(discovery=f"127.0.0.1:{world.base + 6}")
        yield from world.until(lambda: "new" in held)
        lists = {"old": answer(whole(4, up)), "new": answer(whole(7, drains))}
        for name in sorted(lists, reverse=first == "old"):
            held.pop(name).write_now(lists[name])
        yield from world.until(lambda: state(world) == {"s-0": "draining"})
        yield Sleep(50 * MS)
        return state(world), world.edge.discovery.instances.seq

    assert world.run(go()) == ({"s-0": "draining"}, 7)


def test_a_new_source_that_is_behind_takes_nothing_back_and_is_asked_by_its_own_version(tmp_path):
    """The old source told of version 8; the new one has only version 5 yet. What it tells later comes on
    top."""
    world = PgWorld(answering(lambda text, _: good(text)), tmp=tmp_path)
    up, drains = world.hosts[0], {**world.hosts[0], "health": "draining"}
    more = {**up, "host": "s-9"}
    asked = []

    def behind(request):
        asked.append(request.query.get("after"))
        if "after" not in request.query:
            return json_response(200, whole(5, up))
        return (
            json_response(200, {"seq": 9, "whole": False, "hosts": [drains, more]})
            if len(asked) == 2
            else later()
        )

    def later():
        yield Sleep(1_900 * MS)
        return json_response(200, {"seq": 9, "whole": False, "hosts": []})

    world.answers[3] = behind

    def go():
        world.seq = 7
        world.tell(host="s-0", health="draining")
        yield from world.until(lambda: state(world) == {"s-0": "draining"})
        world.hup(discovery=f"127.0.0.1:{world.base + 3}")
        seen = []
        while "s-9" not in state(world):
            seen.append(state(world)["s-0"])
            yield Sleep(1 * MS)
        return set(seen), asked[:2], state(world)["s-0"]

    assert world.run(go()) == ({"draining"}, [None, "5"], "draining")


def test_a_discovery_that_has_lost_its_versions_is_believed_after_a_while(monkeypatch):
    monkeypatch.setattr(discovery, "STALE_SOURCE_TIME_US", 200 * MS)
    monkeypatch.setattr(discovery, "WATCH_TIME_US", 100 * MS)
    world = PgWorld(answering(lambda text, _: good(text)))

    def go():
        world.seq = 40
        world.tell(host="s-0", share=0.5)
        yield from world.until(lambda: world.edge.discovery.instances.seq == 41)
        world.seq, world.changes = 2, []
        world.hosts = [{**world.hosts[0], "health": "draining"}]
        yield from world.until(lambda: state(world) == {"s-0": "draining"})
        return world.edge.discovery.instances.seq

    assert world.run(go()) == 2


# --- silence ---


def drip(connection, head):
    """Each byte comes in time, the whole never."""
    yield from connection.write(head)
    while True:
        yield from connection.write(b" ")
        yield Sleep(20 * MS)


SILENT = {
    "at once": lambda connection: Sleep(60_000 * MS),
    "after the head": lambda connection: connection.write(HEAD + b"content-length: 90\r\n\r\n"),
    "in the body": lambda connection: connection.write(HEAD + b'content-length: 90\r\n\r\n{"seq": 9, "wh'),
    "byte by byte": lambda connection: drip(connection, HEAD + b"content-length: 100000\r\n\r\n"),
    "nonsense": lambda connection: connection.write(b"nonsense\r\n"),
}


@pytest.mark.parametrize("how", [*SILENT, "old versions"])
def test_a_watch_that_says_nothing_more_is_left_in_time_whatever_it_had_said(how, monkeypatch):
    """What it misses counts as told 6 s after it fell silent: the waits that lead there are cut to a tenth
    here."""
    assert (
        discovery.WATCH_TIME_US + 2 * discovery.RESPONSE_TIMEOUT_US + 1_000_000 < 6_000_000
    )  # with the longest pause between
    for name in ("WATCH_TIME_US", "RESPONSE_TIMEOUT_US"):
        monkeypatch.setattr(discovery, name, getattr(discovery, name) // 10)
    world, calls = PgWorld(answering(lambda text, _: good(text)), agent=5, known=True), []

    def script(connection):
        request = yield from connection.read()
        calls.append(b"after" in request)
        if not calls[-1]:
            yield from connection.write(answer(whole(world.seq, *world.hosts)))
        elif how == "old versions":
            yield from connection.write(answer({"seq": 1, "whole": False, "hosts": []}))
        elif isinstance(wait := SILENT[how](connection), Sleep):
            yield wait
        else:
            yield from wait
        yield from connection.read()

    world.listen_at(5, script)

    def go():
        yield from world.until(lambda: True in calls)
        began = world.loop.now()
        world.tell(host="s-0", health="draining")
        yield from world.until(lambda: state(world) == {"s-0": "draining"})
        took = world.loop.now() - began
        count = len(calls)
        yield Sleep(300 * MS)
        return took, len(calls) - count

    took, more = world.run(go())
    # nor is it asked without pauses that grow: a watch and a whole list each 50 to 100 ms, in 300 ms
    assert took < 600 * MS and more < 15


def test_what_is_told_right_after_an_early_answer_is_known_within_the_grace_of_drains():
    """Discovery comes back after a while, one watch is answered at once with nothing new, and the next change
    is told. The pauses that grew while it was down must not be taken between the two."""
    world, calls, told_at = PgWorld(answering(lambda text, _: good(text)), agent=5, known=True), [], []

    def script(connection):
        request = yield from connection.read()
        calls.append(b"after" in request)
        if len(calls) <= 4:  # it is down
            return
        if not calls[-1]:
            yield from connection.write(answer(whole(world.seq, *world.hosts)))
        elif not told_at:
            yield from connection.write(answer({"seq": world.seq, "whole": False, "hosts": []}))
            world.tell(host="s-0", health="draining")
            told_at.append(world.loop.now())
        yield from connection.read()

    world.listen_at(5, script)

    def go():
        yield from world.until(lambda: state(world) == {"s-0": "draining"})
        return world.loop.now() - told_at[0]

    assert world.run(go()) < 200 * MS


@pytest.mark.parametrize("down", ["silent", "refusing"])
def test_what_the_agent_has_at_its_return_is_known_at_once(down):
    """Found on herd+mass 549558377948: it never answers what it was asked while it was silent, and gateways
    that waited for that, or paused, went on sending to what drained for up to 1.7 s."""
    world, back = PgWorld(answering(lambda text, _: good(text)), agent=5, known=True), []

    def script(connection):
        request = yield from connection.read()
        if not back and down == "refusing":
            return
        if back and b"after" not in request:
            yield from connection.write(answer(whole(world.seq, *world.hosts)))
        yield from connection.read()

    world.listen_at(5, script)

    def go():
        took = []
        for wait in (2_000, 330, 570, 810):  # whenever it comes back in the course of calls and pauses
            yield Sleep(wait * MS)
            world.tell(host="s-0", health="draining" if len(took) % 2 == 0 else "up")
            now, began = state(world)["s-0"], world.loop.now()
            back.append(True)
            yield from world.until(lambda now=now: state(world)["s-0"] != now)
            took.append(world.loop.now() - began)
            back.clear()
            world.edge.discovery.start(world.edge.discovery.address)  # the watch that stands now is of no use
        return took

    assert max(world.run(go())) < 250 * MS


@pytest.mark.parametrize("how", [how for how in SILENT if how != "nonsense"])
def test_a_feed_that_says_nothing_more_is_opened_anew(how, monkeypatch):
    monkeypatch.setattr(platform, "FEED_SILENCE_TIMEOUT_US", 300 * MS)
    world, opened = PgWorld(answering(lambda text, _: good(text)), tmp=None), []

    def script(connection):
        yield from connection.read()
        opened.append(world.loop.now())
        news = {"type": "ROLLOUT", "object": {**world.news, "Revision": 1 + len(opened)}}
        line = json.dumps(news).encode() + b"\n"
        if len(opened) > 1:
            yield from connection.write(
                HEAD + b"transfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line)
            )
        elif how == "byte by byte":
            yield from drip(connection, HEAD + b"transfer-encoding: chunked\r\n\r\nffff\r\n")
        elif isinstance(wait := SILENT[how](connection), Sleep):
            yield wait
        else:
            yield from wait
        yield from connection.read()

    def go():
        world.listen_at(5, script)
        world.edge.platform.start(("127.0.0.1", world.base + 5))
        yield from world.until(lambda: world.edge.platform.last_state[0] == 3)
        return opened[1] - opened[0]

    assert 300 * MS <= world.run(go()) < 900 * MS


# --- the desk ---


def test_an_answer_to_a_vote_that_comes_after_the_feed_s_later_news_opens_nothing_again():
    """The vote counted while the build was on trial; its answer is held until the feed has told that it goes
    back."""
    trial = {"Revision": 2, "Wave": 0, "State": "canary", "MaxShare": 0.5, "AgeMs": 3000}
    world = PgWorld(answering(lambda text, _: good(text)), news=trial)
    desk = world.edge.platform

    def held(request):
        if not request.path.endswith("ballots"):
            return world.on_desk(request)
        return after()

    def after():
        world.say(State="reverting", MaxShare=0.0, AgeMs=10)
        yield from world.until(lambda: desk.last_state[2] == "going back")
        return json_response(200, {**trial, "AgeMs": 3050})

    world.answers[2] = held

    def go():
        yield from world.until(lambda: desk.has_heard)
        yield from desk.cast_vote(2, 0, "none")
        yield Sleep(5 * MS)
        decisions = world.edge.host.decisions
        return desk.last_state, decisions.phase, decisions.cap, decisions.cast_answer

    assert world.run(go()) == ((2, 0, "going back", 0.0), "going back", 0.0, "ok")


@pytest.mark.parametrize("order", ["old new", "new old"])
def test_a_wrong_answer_that_two_feeds_tell_of_in_one_turn_counts_once(order):
    world, held = PgWorld(answering(lambda text, _: good(text))), {}
    desk = world.edge.platform

    def go():
        for offset, name in ((5, "old"), (6, "new")):
            world.listen_at(offset, holding(held, name))
            desk.start(("127.0.0.1", world.base + offset))
            yield from world.until(lambda name=name: name in held)
        wrong = {"type": "DISPUTE", "object": {"InstanceId": "s-0", "Lane": "look", "AgeMs": 900}}
        line = json.dumps(wrong).encode() + b"\n"
        before = desk.counts["wrong"]
        for name in order.split():
            held[name].write_now(HEAD + b"transfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        yield from world.until(lambda: len(desk.source_switch.tasks) == 1)
        yield Sleep(20 * MS)
        return desk.counts["wrong"] - before

    assert world.run(go()) == (1 if order == "new old" else 2)


@pytest.mark.parametrize("then", [{"State": "reverting", "MaxShare": 0.0}, {"Revision": 3, "MaxShare": 0.1}])
def test_a_cap_that_fell_while_an_attempt_dials_holds_though_other_news_follows(then):
    """The attempt is for build 1; the first news shuts it, the second tells of something else. Nothing is
    written."""

    def script(world, connection):
        yield from connection.read()
        if not world.seen():
            world.say(State="reverting", MaxShare=0.0)
            yield from world.until(lambda: world.edge.platform.last_state[2] == "going back")
            world.say(Revision=2, State="canary", MaxShare=0.2)
            yield from world.until(lambda: world.edge.platform.last_state[0] == 2)
            world.say(**{"Revision": 2, "State": "canary", **then})
            yield from world.until(lambda: world.edge.platform.last_state[3] < 0.2)
        yield from connection.write(pg.startup_response())
        while data := (yield from connection.read()):
            world.got.append(data)

    world = PgWorld(script, news={"Revision": 1, "Wave": 0, "State": "canary", "MaxShare": 1.0, "AgeMs": 0})
    world.run(world.ask(statement(1)))
    assert world.got == [] and world.seen() == {"changed meanwhile": 1}
