"""The edge's list of instances: the feed, restarts, and a new configuration."""

import json

import pytest
from pgcrossings import OK
from pgworld import PgWorld, answering, good, statement

from cobaltpond.edge.discovery import DiscoveredInstances
from cobaltpond.wire import pg
from cobaltpond.wire.json_lines import JsonLineError


@pytest.mark.parametrize(
    "change, heard",
    [
        (
            lambda world: world.tell(host="s-0", health="draining"),
            lambda world: world.edge.endpoints.by_id["s-0"].row["state"] == "draining",
        ),
        (
            lambda world: world.say(State="reverting", MaxShare=0.0),
            lambda world: world.edge.platform.last_state[2] == "going back",
        ),
    ],
)
def test_what_is_told_while_a_dial_lasts_is_kept(change, heard):
    """The instance is slow to welcome; meanwhile it is to drain, or its build's cap falls: no hit may reach
    it."""

    def slow(world, connection):
        yield from connection.read()
        if not heard(world):
            change(world)
            yield from world.until(lambda: heard(world))
        yield from connection.write(pg.startup_response())
        while data := (yield from connection.read()):
            world.got.append(data)

    world = PgWorld(slow, news={"Revision": 1, "Wave": 0, "State": "canary", "MaxShare": 1.0, "AgeMs": 0})
    ((code, _),) = world.run(world.ask(statement(1)))
    assert code == "53300" and world.got == [] and world.seen() == {"changed meanwhile": 1}


def test_a_restarted_instance_or_another_build_gets_no_old_connection():
    world = PgWorld(answering(lambda text, _: good(text)))

    def go():
        yield from world.ask(statement(1))
        ((kept, _),) = world.edge.endpoints.by_id["s-0"].idle
        world.tell(host="s-0", revision_no=2)
        yield from world.until(lambda: kept.closed)
        second = yield from world.ask(statement(2))
        ((kept, _),) = world.edge.endpoints.by_id["s-0"].idle
        world.tell(host="s-0", revision_no=2, born_ms=1_700_000_000_000)
        yield from world.until(lambda: kept.closed)
        return second

    assert world.run(go()) == [OK]


def test_start_times_are_worked_out_once_a_start_and_nonsense_changes_nothing():
    listed, host = (
        DiscoveredInstances(),
        {
            "host": "a",
            "dial": "1.2.3.4:5",
            "site": "z",
            "block": 1,
            "health": "up",
            "share": 1.0,
            "born_ms": 1000,
            "revision_no": 3,
        },
    )
    whole, ((row_, address),) = listed.apply(
        50_000_000, 3_000_000, {"seq": 4, "whole": True, "hosts": [host]}
    )
    assert whole and address == ("1.2.3.4", 5) and row_["started"] == 48_000_000
    # the wall clock was set: the same start stays where it was
    assert (
        listed.apply(51_000_000, 9_000_000, {"seq": 5, "whole": False, "hosts": [host]})[1][0][0]["started"]
        == 48_000_000
    )
    for wrong in (
        {},
        {"seq": float("inf"), "whole": True, "hosts": []},
        {"seq": 6, "whole": False},
        [],
        None,
        {"seq": 6, "whole": True, "hosts": [{"host": "b"}]},
        {"seq": 6, "whole": True, "hosts": [host, {**host, "health": "odd"}]},
    ):
        with pytest.raises(JsonLineError):
            listed.apply(0, 0, wrong)
    assert listed.seq == 5
    assert listed.apply(52_000_000, 0, {"seq": 3, "whole": False, "hosts": [host]}) == (
        False,
        [],
    )  # overtaken
    gone = {**host, "health": "removed", "dial": ""}
    assert listed.apply(0, 0, {"seq": 6, "whole": False, "hosts": [gone]})[1][0][0]["state"] == "gone"


def test_after_a_broken_watch_the_whole_list_is_asked_for():
    world = PgWorld(answering(lambda text, _: good(text)))

    def go():
        yield from world.until(lambda: any(watch for _, path, watch in world.asked))
        world.discovery_says = "nonsense"
        yield from world.until(lambda: world.edge.discovery.counts["errors"])
        world.discovery_says = None
        count = len(world.asked)
        yield from world.until(
            lambda: any(path == "/discovery/hosts" and not watch for _, path, watch in world.asked[count:])
        )
        world.tell(host="s-0", health="draining")
        yield from world.until(lambda: world.edge.endpoints.by_id["s-0"].row["state"] == "draining")

    world.run(go())


@pytest.mark.parametrize(
    "line",
    [
        {"type": "R\x00LLOUT", "object": {}},
        {"type": "ROLLOUT", "object": {"Wave": 1}},
        {"type": "DISPUTE", "object": 7},
    ],
)
def test_a_spoilt_line_of_the_feed_drops_it_and_the_state_is_asked_for_anew(line):
    world = PgWorld(answering(lambda text, _: good(text)))

    def go():
        yield from world.until(lambda: len(world.feeds) == 1 and world.edge.platform.has_heard)
        world.feeds[0].send_object({})
        world.feeds[0].send_object(line)
        yield from world.until(lambda: len(world.feeds) == 2)
        world.say(State="canary", Revision=2, MaxShare=0.2)
        yield from world.until(lambda: world.edge.platform.last_state == (2, 0, "trial", 0.2))

    world.run(go())


def test_a_new_configuration_moves_list_and_desk_and_an_unreadable_one_changes_nothing(tmp_path):
    world = PgWorld(answering(lambda text, _: good(text)), tmp=tmp_path)

    def go():
        yield from world.until(lambda: world.edge.platform.has_heard)
        (tmp_path / "config.json").write_text("{")
        world.edge.stop("HUP")  # it is read again for a while: it may be only half there
        yield from world.until(lambda: any(level == "error" for level, _, _ in world.log.lines))
        assert world.edge.discovery.address[1] == world.base + 1
        for list_at, desk_at in ((5, 5), (3, 4)):  # first where nobody listens: all that came before must end
            (tmp_path / "config.json").write_text(
                json.dumps(
                    {
                        **world.told,
                        "discovery": f"127.0.0.1:{world.base + list_at}",
                        "rollouts": {"address": f"127.0.0.1:{world.base + desk_at}"},
                    }
                )
            )
            world.edge.stop("HUP")
        yield from world.until(
            lambda: {3, 4} <= {offset for offset, _, _ in world.asked} and len(world.feeds) == 2
        )
        yield from world.until(lambda: world.feeds[0].ended)  # the old feed is let go
        yield from world.until(
            lambda: sorted(task.name for task in world.loop.tasks if task.name in ("discovery", "feed"))
            == ["discovery", "feed"]
        )
        yield from world.edge.platform.cast_vote(1, 0, "hold")
        return (yield from world.ask(statement(1)))

    assert world.run(go()) == [OK]
    assert world.asked[-1][0] == 4 and world.votes == [{"Revision": 1, "Wave": 0, "Decision": "pause"}]
    assert [event for level, event, _ in world.log.lines if level == "error"] == [
        "configuration kept as it was"
    ]
