"""Tests of membership between real gateway processes, with faults of links and of processes."""

import json
import subprocess
import sys

import pytest
from rig import MS, Rig


def make_rig(tmp_path, count, **options):
    rig = Rig(tmp_path, count, **options)
    for n in range(3):
        rig.instance(f"old-{n}", 1)
    return rig


def logged_states(rig, observer, number):
    return [
        line["state"] for line in rig.log(observer) if line["event"] == "member" and line["number"] == number
    ]


def test_killed_stopped_and_paused_gateways_are_reported_and_hits_succeed(tmp_path):
    """A killed or paused gateway is reported as failed, one that is stopped in order only as left."""
    rig = make_rig(tmp_path, 5, zones=("north", "south"))

    def scenario():
        yield from rig.start_all()
        rig.signal("KILL", 3)
        others = [0, 1, 2, 4]
        yield from rig.until_seen("failed", [3], others)
        assert None not in (yield from rig.hits(0, 10))
        rig.start(3)
        yield from rig.until_seen("alive", range(5), range(5))
        tables = []
        for n in range(5):
            tables.append((yield from rig.table(n)))
        assert len({row["start"] for table in tables for row in table["members"] if row["number"] == 3}) == 1
        rig.signal("TERM", 4)
        yield from rig.until_seen("left", [4], [0, 1, 2, 3])
        rig.signal("STOP", 1)
        yield from rig.until_seen("failed", [1], [0, 2, 3])
        assert None not in (yield from rig.hits(2, 5))
        rig.signal("CONT", 1)
        yield from rig.until_seen("alive", [0, 1, 2, 3], [0, 1, 2, 3])

    rig.run(scenario())
    assert "failed" not in logged_states(rig, 0, 4) and "suspect" not in logged_states(rig, 0, 4)
    # A paused gateway reports no other as failed.
    assert not any("failed" in logged_states(rig, 1, n) for n in (0, 2))


def test_broken_links_isolation_and_zone_partition_are_reported_and_heal(tmp_path):
    """A one-way link is reported without a member failure; an isolated gateway asks not to be preferred, but
    stays ready and serves its clients."""
    rig = make_rig(tmp_path, 6, zones=("north", "south"))
    north, south = [0, 2, 4], [1, 3, 5]

    def scenario():
        yield from rig.start_all()
        rig.links[1, 0].cut = True  # Gateway 0 does not hear gateway 1, which hears gateway 0.

        def link_is_reported():
            table = yield from rig.table(0)
            return table["broken_links"] == [1]

        yield from rig.until(link_is_reported)
        states = yield from rig.states(0)
        assert states[1] == "alive"
        rig.links[1, 0].cut = False
        rig.between(range(6), range(6), lose=0.1, repeat=0.3, late=(0, 20 * MS))
        assert None not in (yield from rig.hits(3, 10))
        rig.between(range(6), range(6), lose=0.0, repeat=0.0, late=(0, 0))
        rig.between([1], [0, 2, 3, 4, 5], cut=True)  # Gateway 1 is isolated.

        def is_not_preferred():
            return (yield from rig.get(1, "/-/prefer"))[0] == 503

        yield from rig.until(is_not_preferred)
        assert (yield from rig.get(1, "/-/ready"))[0] == 200
        assert None not in (yield from rig.hits(1, 5))  # It still serves the clients that it gets.
        assert (yield from rig.get(0, "/-/prefer"))[0] == 200
        rig.between([1], [0, 2, 3, 4, 5], cut=False)

        def is_preferred():
            return (yield from rig.get(1, "/-/prefer"))[0] == 200

        yield from rig.until(is_preferred)
        rig.between(north, south, cut=True)
        yield from rig.until_seen("failed", south, north)
        yield from rig.until_seen("failed", north, south)
        rig.between(north, south, cut=False)
        yield from rig.until_seen("alive", range(6), range(6))

    rig.run(scenario())
    # The failure was due to the cuts, not to the one-way link.
    assert logged_states(rig, 0, 1)[0] == "alive" and "failed" in logged_states(rig, 0, 1)


def test_gossip_of_release_and_drains_restricts_traffic_and_never_opens_it(tmp_path):
    """One gateway's desk link stays connected but silent, so that gossip is its only source."""
    rig = make_rig(tmp_path, 3)
    for n in range(3):
        rig.instance(f"new-{n}", 2)

    def instances_of_new_build(names):
        return [name for name in names if name and name.startswith("new")]

    def scenario():
        rig.push_news(range(3), build=2, stage=1, phase="trial", cap=1.0)
        yield from rig.start_all()

        def new_build_is_used():
            return instances_of_new_build((yield from rig.hits(0, 10)))

        yield from rig.until(new_build_is_used)
        rig.silent_desks[0] = True  # Its desk link stays connected but silent.
        rig.push_news([1, 2], build=2, stage=1, phase="going back", cap=0.0)

        def build_is_closed():
            table = yield from rig.table(0)
            return table["hearsay"]["shut"] == 2

        yield from rig.until(build_is_closed)
        assert not instances_of_new_build((yield from rig.hits(0, 20)))
        rig.push_news([1, 2], build=2, stage=1, phase="released", cap=1.0)
        # Gossip does not open the build again.
        assert not instances_of_new_build((yield from rig.hits(0, 20)))
        rig.push_news([0], build=2, stage=1, phase="released", cap=1.0)
        yield from rig.until(new_build_is_used)  # Its own desk does.
        for n in range(3):  # Instances that drain by the others' lists only.
            row = next(r for r in rig.rows if r["id"] == f"old-{n}")
            rig.push_list({**row, "state": "draining"}, [1, 2])

        def only_new_build_is_used():
            names = yield from rig.hits(0, 12)
            return None not in names and len(instances_of_new_build(names)) == 12

        yield from rig.until(only_new_build_is_used)

    rig.run(scenario())


def test_gateway_restarted_in_mid_trial_requests_trial_counts_of_two_others(tmp_path):
    """These counts must not appear among the hits that the gateway took itself."""
    rig = make_rig(tmp_path, 3)
    for n in range(3):
        rig.instance(f"new-{n}", 2)

    def scenario():
        rig.push_news(range(3), build=2, stage=1, phase="trial", cap=1.0)
        yield from rig.start_all()
        for n in (1, 2):
            assert None not in (yield from rig.hits(n, 40))
        rig.signal("KILL", 0)
        yield from rig.until_seen("failed", [0], [1, 2])
        rig.start(0)

        def counts_have_arrived():
            table = yield from rig.table(0)
            return table and table["evidence"]["answers"] == 2 and table["evidence"]["tallies"]

        yield from rig.until(counts_have_arrived)
        status, body = yield from rig.get(0, "/-/status")
        assert json.loads(body)["hits"]["taken"] == 0

    rig.run(scenario())


def test_members_command_compares_the_tables_of_all_gateways(tmp_path):
    """The command exits with 1, since a killed gateway does not answer and counts as failed."""
    rig = make_rig(tmp_path, 3)

    def scenario():
        yield from rig.start_all()
        rig.signal("KILL", 2)
        yield from rig.until_seen("failed", [2], [0, 1])
        command = rig.loop.kernel.spawn(
            [sys.executable, "-m", "cobaltpond", "members", rig.settings_path(0), "--as-json"],
            str(tmp_path / "told"),
        )
        yield from rig.until(lambda: has_ended(command))
        return command.ended()

    def has_ended(child):
        return child.ended() is not None
        yield

    assert rig.run(scenario()) == 1
    output = json.loads((tmp_path / "told").read_text())
    assert (
        output["silent"] == [2]
        and output["members"][2]["state"] == "failed"
        and not output["members"][0]["otherwise"]
    )


@pytest.mark.parametrize(
    "line, message",
    [
        ("members(period = ms(200), wait = ms(100))", "wait may be a third of period"),
        ("members(period = 5)", "period"),
        ("members()\nmembers()", "only one such call"),
    ],
)
def test_invalid_membership_settings_are_rejected_with_their_line(tmp_path, line, message):
    """`check` exits with 2, and names the file and line that an operator has to correct."""
    rig = make_rig(tmp_path, 2)
    path = rig.settings_path(0)
    with open(path, encoding="utf-8") as file:
        text = "\n".join([row for row in file.read().splitlines() if not row.startswith("members")] + [line])
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    result = subprocess.run(
        [sys.executable, "-m", "cobaltpond", "check", path], capture_output=True, text=True
    )
    rig.loop.close()
    rig.close()
    assert result.returncode == 2 and message in result.stderr and f"{path}:" in result.stderr
