"""Membership between real gateway processes, with faults between them and in them."""

import json
import subprocess
import sys

import pytest
from rig import MS, Rig


def rig(tmp_path, count, **more):
    one = Rig(tmp_path, count, **more)
    for n in range(3):
        one.instance(f"old-{n}", 1)
    return one


def changes(one, n, number):
    return [line["state"] for line in one.log(n) if line["event"] == "member" and line["number"] == number]


def test_killed_restarted_and_stopped_ones_are_known_as_such_and_hits_go_on(tmp_path):
    one = rig(tmp_path, 5, zones=("north", "south"))

    def go():
        yield from one.gathered()
        one.signal("KILL", 3)
        others = [0, 1, 2, 4]
        yield from one.until_seen("failed", [3], others)
        assert None not in (yield from one.hits(0, 10))
        one.start(3)
        yield from one.until_seen("alive", range(5), range(5))
        tables = []
        for n in range(5):
            tables.append((yield from one.table(n)))
        assert len({row["start"] for table in tables for row in table["members"] if row["number"] == 3}) == 1
        one.signal("TERM", 4)
        yield from one.until_seen("left", [4], [0, 1, 2, 3])
        one.signal("STOP", 1)
        yield from one.until_seen("failed", [1], [0, 2, 3])
        assert None not in (yield from one.hits(2, 5))
        one.signal("CONT", 1)
        yield from one.until_seen("alive", [0, 1, 2, 3], [0, 1, 2, 3])

    one.run(go())
    assert "failed" not in changes(one, 0, 4) and "suspect" not in changes(one, 0, 4)
    assert not any("failed" in changes(one, 1, n) for n in (0, 2))  # whoever stood still accused nobody


def test_a_zone_cut_off_a_one_way_link_and_rough_links(tmp_path):
    one = rig(tmp_path, 6, zones=("north", "south"))
    north, south = [0, 2, 4], [1, 3, 5]

    def go():
        yield from one.gathered()
        one.links[1, 0].cut = True  # 0 does not hear 1; 1 hears 0

        def named():
            table = yield from one.table(0)
            return table["broken_links"] == [1]

        yield from one.until(named)
        states = yield from one.states(0)
        assert states[1] == "alive"
        one.links[1, 0].cut = False
        one.between(range(6), range(6), lose=0.1, repeat=0.3, late=(0, 20 * MS))
        assert None not in (yield from one.hits(3, 10))
        one.between(range(6), range(6), lose=0.0, repeat=0.0, late=(0, 0))
        one.between([1], [0, 2, 3, 4, 5], cut=True)  # one alone

        def alone():
            return (yield from one.get(1, "/-/prefer"))[0] == 503

        yield from one.until(alone)
        assert (yield from one.get(1, "/-/ready"))[0] == 200
        assert None not in (yield from one.hits(1, 5))  # it goes on serving whoever comes
        assert (yield from one.get(0, "/-/prefer"))[0] == 200
        one.between([1], [0, 2, 3, 4, 5], cut=False)

        def back():
            return (yield from one.get(1, "/-/prefer"))[0] == 200

        yield from one.until(back)
        one.between(north, south, cut=True)
        yield from one.until_seen("failed", south, north)
        yield from one.until_seen("failed", north, south)
        one.between(north, south, cut=False)
        yield from one.until_seen("alive", range(6), range(6))

    one.run(go())
    assert changes(one, 0, 1)[0] == "alive" and "failed" in changes(one, 0, 1)  # by the cuts, not by the link


def test_what_others_hear_of_a_release_and_of_instances_shuts_and_never_opens(tmp_path):
    one = rig(tmp_path, 3)
    for n in range(3):
        one.instance(f"new-{n}", 2)

    def new_ones(names):
        return [name for name in names if name and name.startswith("new")]

    def go():
        one.tell_news(range(3), build=2, stage=1, phase="trial", cap=1.0)
        yield from one.gathered()

        def seen():
            return new_ones((yield from one.hits(0, 10)))

        yield from one.until(seen)
        one.deaf_desk[0] = True  # its own link stays up and says nothing
        one.tell_news([1, 2], build=2, stage=1, phase="going back", cap=0.0)

        def shut():
            table = yield from one.table(0)
            return table["hearsay"]["shut"] == 2

        yield from one.until(shut)
        assert not new_ones((yield from one.hits(0, 20)))
        one.tell_news([1, 2], build=2, stage=1, phase="released", cap=1.0)
        assert not new_ones((yield from one.hits(0, 20)))  # no word of theirs opens it
        one.tell_news([0], build=2, stage=1, phase="released", cap=1.0)
        yield from one.until(seen)  # its own desk's does
        for n in range(3):  # and an instance that drains by others' lists
            row = next(r for r in one.rows if r["id"] == f"old-{n}")
            one.tell_list({**row, "state": "draining"}, [1, 2])

        def drained():
            names = yield from one.hits(0, 12)
            return None not in names and len(new_ones(names)) == 12

        yield from one.until(drained)

    one.run(go())


def test_one_that_is_restarted_in_mid_trial_asks_two_for_their_counts_and_counts_them_as_others(tmp_path):
    one = rig(tmp_path, 3)
    for n in range(3):
        one.instance(f"new-{n}", 2)

    def go():
        one.tell_news(range(3), build=2, stage=1, phase="trial", cap=1.0)
        yield from one.gathered()
        for n in (1, 2):
            assert None not in (yield from one.hits(n, 40))
        one.signal("KILL", 0)
        yield from one.until_seen("failed", [0], [1, 2])
        one.start(0)

        def heard():
            table = yield from one.table(0)
            return table and table["evidence"]["answers"] == 2 and table["evidence"]["tallies"]

        yield from one.until(heard)
        status, body = yield from one.get(0, "/-/status")
        assert json.loads(body)["hits"]["taken"] == 0

    one.run(go())


def test_the_command_lays_the_tables_side_by_side(tmp_path):
    one = rig(tmp_path, 3)

    def go():
        yield from one.gathered()
        one.signal("KILL", 2)
        yield from one.until_seen("failed", [2], [0, 1])
        told = one.loop.kernel.spawn(
            [sys.executable, "-m", "cobaltpond", "members", one.settings_path(0), "--as-json"],
            str(tmp_path / "told"),
        )
        yield from one.until(lambda: ended(told))
        return told.ended()

    def ended(child):
        return child.ended() is not None
        yield

    assert one.run(go()) == 1
    told = json.loads((tmp_path / "told").read_text())
    assert (
        told["silent"] == [2]
        and told["members"][2]["state"] == "failed"
        and not told["members"][0]["otherwise"]
    )


@pytest.mark.parametrize(
    "line, why",
    [
        ("members(period = ms(200), wait = ms(100))", "wait may be a third of period"),
        ("members(period = 5)", "period"),
        ("members()\nmembers()", "only one such call"),
    ],
)
def test_a_sheet_whose_membership_makes_no_sense_is_refused_with_its_line(tmp_path, line, why):
    one = rig(tmp_path, 2)
    path = one.settings_path(0)
    with open(path, encoding="utf-8") as file:
        text = "\n".join([row for row in file.read().splitlines() if not row.startswith("members")] + [line])
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    done = subprocess.run([sys.executable, "-m", "cobaltpond", "check", path], capture_output=True, text=True)
    one.loop.close()
    one.close()
    assert done.returncode == 2 and why in done.stderr and f"{path}:" in done.stderr
