"""Tests of the gateway's instance list: the watch, restarts, the desk's feed, and a new configuration."""

import json

import pytest
from pgcrossings import OK
from pgworld import PgWorld, answer_script, good_answer, statement

from cobaltpond.edge.discovery import DiscoveredInstances
from cobaltpond.wire import pg
from cobaltpond.wire.json_lines import JsonLineError


@pytest.mark.parametrize(
    "change, is_applied",
    [
        (
            lambda world: world.publish_host(host="s-0", health="draining"),
            lambda world: world.edge.endpoints.by_id["s-0"].row["state"] == "draining",
        ),
        (
            lambda world: world.publish_state(State="reverting", MaxShare=0.0),
            lambda world: world.edge.platform.last_state[2] == "going back",
        ),
    ],
)
def test_change_announced_during_a_dial_stops_the_forward(change, is_applied):
    """The instance delays its startup response.

    Meanwhile it starts to drain, or its build's cap falls: a hit that was decided before must not be sent to
    it.
    """

    def slow(world, connection):
        yield from connection.read()
        if not is_applied(world):
            change(world)
            yield from world.until(lambda: is_applied(world))
        yield from connection.write(pg.startup_response())
        while data := (yield from connection.read()):
            world.received.append(data)

    world = PgWorld(slow, news={"Revision": 1, "Wave": 0, "State": "canary", "MaxShare": 1.0, "AgeMs": 0})
    ((code, _),) = world.run(world.query(statement(1)))
    assert code == "53300" and world.received == [] and world.forward_results() == {"changed meanwhile": 1}


def test_restart_or_new_build_discards_kept_connections():
    world = PgWorld(answer_script(lambda text, _: good_answer(text)))

    def go():
        yield from world.query(statement(1))
        ((idle_connection, _),) = world.edge.endpoints.by_id["s-0"].idle
        world.publish_host(host="s-0", revision_no=2)
        yield from world.until(lambda: idle_connection.closed)
        second = yield from world.query(statement(2))
        ((idle_connection, _),) = world.edge.endpoints.by_id["s-0"].idle
        world.publish_host(host="s-0", revision_no=2, born_ms=1_700_000_000_000)
        yield from world.until(lambda: idle_connection.closed)
        return second

    assert world.run(go()) == [OK]


def test_start_time_is_fixed_per_start_and_invalid_lists_change_nothing():
    instances = DiscoveredInstances(max_instances=100)
    host = {
        "host": "a",
        "dial": "1.2.3.4:5",
        "site": "z",
        "block": 1,
        "health": "up",
        "share": 1.0,
        "born_ms": 1000,
        "revision_no": 3,
    }
    whole, ((row_, address),) = instances.apply(
        50_000_000, 3_000_000, {"seq": 4, "whole": True, "hosts": [host]}
    )
    assert whole and address == ("1.2.3.4", 5) and row_["started"] == 48_000_000
    # the wall clock was changed: the same start keeps its start time
    assert (
        instances.apply(51_000_000, 9_000_000, {"seq": 5, "whole": False, "hosts": [host]})[1][0][0][
            "started"
        ]
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
            instances.apply(0, 0, wrong)
    assert instances.seq == 5
    assert instances.apply(52_000_000, 0, {"seq": 3, "whole": False, "hosts": [host]}) == (
        False,
        [],
    )  # older than the newest version
    gone = {**host, "health": "removed", "dial": ""}
    assert instances.apply(0, 0, {"seq": 6, "whole": False, "hosts": [gone]})[1][0][0]["state"] == "gone"


def test_whole_list_is_fetched_after_a_failed_watch():
    world = PgWorld(answer_script(lambda text, _: good_answer(text)))

    def go():
        yield from world.until(lambda: any(watch for _, path, watch in world.requests))
        world.discovery_error = "nonsense"
        yield from world.until(lambda: world.edge.discovery.counts["errors"])
        world.discovery_error = None
        count = len(world.requests)
        yield from world.until(
            lambda: any(path == "/discovery/hosts" and not watch for _, path, watch in world.requests[count:])
        )
        world.publish_host(host="s-0", health="draining")
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
def test_corrupt_feed_line_reopens_the_feed(line):
    world = PgWorld(answer_script(lambda text, _: good_answer(text)))

    def go():
        yield from world.until(lambda: len(world.feeds) == 1 and world.edge.platform.has_received)
        world.feeds[0].send_object({})
        world.feeds[0].send_object(line)
        yield from world.until(lambda: len(world.feeds) == 2)
        world.publish_state(State="canary", Revision=2, MaxShare=0.2)
        yield from world.until(lambda: world.edge.platform.last_state == (2, 0, "trial", 0.2))

    world.run(go())


def test_reload_moves_list_and_desk_and_ignores_an_unreadable_file(tmp_path):
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), tmp=tmp_path)

    def go():
        yield from world.until(lambda: world.edge.platform.has_received)
        (tmp_path / "config.json").write_text("{")
        world.edge.stop("HUP")  # the file is read again for a while, as it may be partly written
        yield from world.until(lambda: any(level == "error" for level, _, _ in world.log.lines))
        assert world.edge.discovery.address[1] == world.base + 1
        # nobody listens on the first address; the tasks before must end
        for list_at, desk_at in ((5, 5), (3, 4)):
            (tmp_path / "config.json").write_text(
                json.dumps(
                    {
                        **world.configuration,
                        "discovery": f"127.0.0.1:{world.base + list_at}",
                        "rollouts": {"address": f"127.0.0.1:{world.base + desk_at}"},
                    }
                )
            )
            world.edge.stop("HUP")
        yield from world.until(
            lambda: {3, 4} <= {offset for offset, _, _ in world.requests} and len(world.feeds) == 2
        )
        yield from world.until(lambda: world.feeds[0].ended)  # the old feed is closed
        yield from world.until(
            lambda: sorted(task.name for task in world.loop.tasks if task.name in ("discovery", "feed"))
            == ["discovery", "feed"]
        )
        yield from world.edge.platform.cast_vote(1, 0, "hold")
        return (yield from world.query(statement(1)))

    assert world.run(go()) == [OK]
    assert world.requests[-1][0] == 4 and world.votes == [{"Revision": 1, "Wave": 0, "Decision": "pause"}]
    assert [event for level, event, _ in world.log.lines if level == "error"] == [
        "configuration kept as it was"
    ]


def test_list_beyond_the_limit_still_tells_of_listed_instances():
    """Guards against a list without end, and against a drain that is not heard as the list is too long."""
    instances = DiscoveredInstances(max_instances=2)

    def apply(seq, whole, **healths):
        hosts = [
            {"host": name, "dial": "1.2.3.4:5", "health": health, "born_ms": 1000}
            for name, health in healths.items()
        ]
        _, rows = instances.apply(0, 0, {"seq": seq, "whole": whole, "hosts": hosts})
        return {row["id"]: row["state"] for row, _ in rows}

    assert apply(1, True, a="up", b="up", c="up") == {"a": "up", "b": "up"} and instances.left_out == 1
    assert apply(2, False, c="up", d="up", b="draining") == {"b": "draining"}
    assert apply(3, False, e="up", a="removed") == {"a": "gone", "e": "up"} and instances.left_out == 0
    assert apply(4, False, f="up") == {} and instances.left_out == 1
    assert apply(5, True, x="up", y="up", e="draining") == {"x": "up", "e": "draining"}
    assert sorted(instances.listed) == ["e", "x"] and len(instances.start_times) == 2
