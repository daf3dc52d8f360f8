"""Whole societies of membership's service on the virtual kernel: kills, splits, losses, stops."""

import os
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cobaltpond.decisions.records import RandomSource
from cobaltpond.members.reachability import ALONE, CUT_OFF, GONE, REACHABLE
from cobaltpond.members.states import (
    ALIVE,
    FAILED,
    LEFT,
    SUSPECT,
)
from cobaltpond.members.view import ProbeSettings, View
from cobaltpond.sim.member_cluster import SECOND, MemberCluster

EXAMPLES = int(os.environ.get("COBALTPOND_EXAMPLES", "60"))
BRISK = ProbeSettings(200_000, 60_000)


def society(count, seed=1, zones=1, settings=BRISK, **more):
    one = MemberCluster(count, seed, zones, settings, **more)
    one.start_all()
    one.run(1_100_000)
    one.run_until(one.all_agree, 20 * SECOND)
    return one


def test_a_newcomer_that_knows_one_finds_all_and_all_find_it():
    one = MemberCluster(12, 2, 1, BRISK)
    for n in range(11):
        one.start(n)
    one.run_until(lambda: one.all_agree(numbers=range(11)), 20 * SECOND)
    one.set_loss()
    for n in range(10):  # to all but one of them it has no way at first
        one.cut([11], [n], True)
    one.start(11)
    one.run_until(lambda: all(one.state(11, n) == ALIVE for n in range(11)), 10 * SECOND)
    one.run_until(lambda: one.all_agree(), 10 * SECOND)
    assert not one.world.troubles


@pytest.mark.parametrize("killed", [1, 3, 21])
def test_killed_ones_are_known_to_all_that_live_within_a_bound(killed):
    one = society(30, 5, 3)
    gone = list(range(killed))
    one.signal("KILL", *gone)
    living = one.living()
    one.run_until(lambda: one.all_agree(FAILED, gone), 40 * BRISK.period)
    assert {number for _, _, number in one.failure_reports()} == set(gone)  # and nobody else
    assert all(sorted(one.parts[n].members.view.living()) == living for n in living)
    assert not one.world.troubles


def test_whoever_is_stopped_in_order_is_told_of_and_never_suspected():
    one = society(10, 3)
    one.signal("TERM", 4)
    one.run_until(lambda: one.all_agree(LEFT, [4], [n for n in range(10) if n != 4]), 10 * BRISK.period)
    assert not [c for c in one.changes if c[2] == 4 and c[4] in (SUSPECT, FAILED)]
    one.run_until(lambda: one.processes[4].code == 0, 10 * BRISK.period)
    one.start(4)
    one.run_until(lambda: one.all_agree(), 20 * BRISK.period)


def test_one_that_stood_still_longer_than_a_suspicion_refutes_and_calls_nobody_dead():
    one = society(10, 4)
    one.signal("STOP", 6)
    one.run_until(lambda: one.all_agree(FAILED, [6], [n for n in range(10) if n != 6]), 60 * BRISK.period)
    at = one.world.time
    one.signal("CONT", 6)
    one.run_until(lambda: one.all_agree(), 20 * BRISK.period)
    assert one.failure_reports(at) == [] and one.parts[6].members.view.incarnation >= 1


@pytest.mark.parametrize("lose, repeat, shuffle", [(0.1, 0, 0), (0.3, 0.3, 0.5), (0.6, 0.2, 0.2)])
def test_loss_repetition_and_disorder(lose, repeat, shuffle):
    one = society(12, 6, 2)
    one.set_loss(lose, repeat, shuffle)
    one.run(30 * SECOND)
    assert lose > 0.1 or one.failure_reports() == []
    assert (
        lose > 0.3 or max(one.false_failure_times(), default=0) < 15 * BRISK.period
    )  # who answers is soon back
    one.signal("KILL", 3)
    one.run_until(lambda: one.all_agree(FAILED, [3]), 200 * BRISK.period)
    one.set_loss()
    one.run_until(lambda: one.all_agree(numbers=[n for n in one.living()]), 60 * BRISK.period)


def test_datagrams_that_come_seconds_late_bring_nobody_back():
    one = society(8, 8)
    one.set_loss(delay=(2 * SECOND, 3 * SECOND))
    one.run(3 * SECOND)
    one.set_loss(delay=(15, 60))
    one.signal("KILL", 2)
    one.run_until(lambda: one.all_agree(FAILED, [2]) and one.all_agree(), 80 * BRISK.period)
    one.run(8 * SECOND)  # what was on its way has come by now
    assert one.all_agree(FAILED, [2]) and one.all_agree()


def test_a_link_broken_one_way_is_named_and_nobody_is_called_failed():
    one = society(9, 7, 3)
    one.link(1, 5).one_way("gateway-1", True)  # 1 does not hear 5
    one.run_until(lambda: one.parts[1].members.view.reachability.broken_links() == [5], 60 * BRISK.period)
    one.run(20 * SECOND)
    assert one.failure_reports() == []
    one.link(1, 5).one_way("gateway-1", False)
    one.run_until(lambda: not one.parts[1].members.view.reachability.broken_links(), 60 * BRISK.period)


def zones_seen(one, at):
    return one.parts[at].members.view.reachability.zones(one.world.time)


def test_a_zone_gone_is_told_from_being_cut_off_oneself_and_both_heal():
    one = society(12, 9, 3)
    zone0, rest = [0, 3, 6, 9], [n for n in range(12) if n % 3]
    one.cut(zone0, rest, True)
    one.run_until(
        lambda: zones_seen(one, 1)["zone-0"] == GONE
        and zones_seen(one, 0)["zone-1"] == CUT_OFF
        and one.parts[0].members.is_island
        and not one.parts[1].members.is_island,
        60 * BRISK.period,
    )
    assert zones_seen(one, 1) == {"zone-0": GONE, "zone-1": REACHABLE, "zone-2": REACHABLE}
    one.run_until(
        lambda: one.all_agree(FAILED, zone0, rest) and one.all_agree(FAILED, rest, zone0), 100 * BRISK.period
    )
    one.cut(zone0, rest, False)
    one.run_until(lambda: one.all_agree() and not one.parts[0].members.is_island, 40 * BRISK.period)


def test_a_split_in_three_heals_though_each_side_has_restarted_some():
    one = society(12, 10, 3)
    sides = [[n for n in range(12) if n % 3 == side] for side in range(3)]
    for a in range(3):
        for b in range(a):
            one.cut(sides[a], sides[b], True)
    one.run(12 * SECOND)
    one.signal("KILL", 0, 1, 2)
    one.run(SECOND)
    for n in (0, 1, 2):
        one.start(n)
    one.run(5 * SECOND)
    for a in range(3):
        for b in range(a):
            one.cut(sides[a], sides[b], False)
    one.run_until(lambda: one.all_agree(), 60 * BRISK.period)
    assert not one.world.troubles


def test_whoever_hears_nobody_says_that_it_is_alone_and_not_any_more_afterwards():
    one = society(5, 11)
    one.cut([2], [0, 1, 3, 4], True)
    one.run_until(lambda: one.parts[2].members.is_alone, 30 * BRISK.period)
    assert set(zones_seen(one, 2).values()) == {ALONE} and not one.parts[0].members.is_alone
    one.cut([2], [0, 1, 3, 4], False)
    one.run_until(lambda: not one.parts[2].members.is_alone and one.all_agree(), 40 * BRISK.period)


def test_a_link_that_flaps_every_second_costs_nobody_its_place():
    one = society(8, 12)
    for second in range(20):
        one.cut([1], [2], second % 2 == 0)
        one.run(SECOND)
    one.cut([1], [2], False) if one.link(1, 2).cuts else None
    assert one.failure_reports() == []


def test_all_restarted_at_once_and_a_clock_that_jumped():
    one = society(15, 13)
    one.signal("KILL", *range(15))
    one.start_all(within=300_000)
    one.run(400_000)
    one.run_until(lambda: one.all_agree(), 60 * BRISK.period)
    at = one.world.time
    one.processes[4].kernel.here += 30 * SECOND  # its clock is half a minute ahead from now on
    one.processes[4].schedule_turn()
    one.run(10 * SECOND)
    assert one.all_agree() and one.failure_reports(at) == []


def test_one_slow_process_accuses_nobody_and_is_there_again_once_it_is_quick():
    one = society(16, 17)
    one.slow_down([5], one.world.time + 30 * SECOND, runs=(10_000, 30_000), stands=(200_000, 600_000))
    at = one.world.time
    one.run(31 * SECOND)
    assert not [d for d in one.failure_reports(at) if d[2] != 5]
    one.run_until(lambda: one.all_agree(), 40 * BRISK.period)


def test_a_full_table_takes_nobody_in_whom_the_sheet_does_not_name():
    view = View(0, {n: "a" for n in range(300)}, ProbeSettings(), RandomSource(1), 9, 0)
    for n in range(1, 65_536):
        view.apply_row(5, n, 7, 0, ALIVE, 1)
    assert len(view.members) == 299 and view.counts["strangers"] == 65_536 - 300
    assert len(view.pending_updates) <= 300 and len(view.living()) == 300


def test_of_two_with_one_name_the_newer_start_stays_and_the_other_says_why_it_ends():
    one = society(5, 14, lines=True)
    former, old = one.processes[3], one.parts[3]
    view = one.parts[1].members.view  # another process of the name has been heard elsewhere
    newer = old.members.view.start + 10 * SECOND
    view.apply_row(view.began, 3, newer, 0, ALIVE, 3)
    one.run_until(lambda: old.members.view.outbid_once, 60 * BRISK.period)
    assert former.code is None  # it may have been its own former life
    view.apply_row(view.began, 3, newer + 2, 0, ALIVE, 3)  # that one lives: it outbids in its turn
    one.run_until(lambda: former.code is not None, 60 * BRISK.period)
    assert former.result == 3
    assert [line for line in one.machine.lines if line[3].startswith("replaced")]


def test_the_same_seed_gives_the_same_events():
    digests = set()
    for _ in range(2):
        one = society(9, 15, 3)
        one.set_loss(0.2, 0.1, 0.3)
        one.run(5 * SECOND)
        digests.add(one.world.digest.hexdigest())
    assert len(digests) == 1


@settings(max_examples=max(4, EXAMPLES // 12), deadline=None)
@given(st.integers(0, 10_000))
def test_drawn_faults_and_then_peace(seed):
    """Whatever happens, once it is over all that live agree, and whoever was never struck was never called
    failed for longer than a refutation takes."""
    one = society(8, seed, 2)
    chance = one.world.chance("plan")
    for _ in range(6):
        number, other = chance.sample(range(8), 2)
        what = chance.choice(["kill", "stop", "cut", "one way", "loss"])
        if what == "kill":
            one.signal("KILL", number)
            one.run(chance.randrange(100_000, 4 * SECOND))
            one.start(number)
        elif what == "stop":
            one.signal("STOP", number)
            one.run(chance.randrange(100_000, 4 * SECOND))
            one.signal("CONT", number)
        elif what == "cut":
            one.cut([number], [other], True)
            one.run(chance.randrange(100_000, 4 * SECOND))
            one.cut([number], [other], False)
        elif what == "one way":
            one.link(number, other).one_way(one.name(other), True)
            one.run(chance.randrange(100_000, 4 * SECOND))
            one.link(number, other).one_way(one.name(other), False)
        else:
            one.set_loss(0.4, 0.2, 0.2)
            one.run(chance.randrange(100_000, 3 * SECOND))
            one.set_loss()
    one.run_until(lambda: one.all_agree(), 80 * BRISK.period)
    digests = {one.parts[n].members.view.table_digest for n in one.living()}
    one.run_until(
        lambda: len({one.parts[n].members.view.table_digest for n in one.living()}) == 1, 40 * BRISK.period
    )
    assert digests and not one.world.troubles


def test_plain_swim_is_the_same_code_without_the_refinements():
    plain_swim = replace(BRISK, plain_swim=True)
    one = society(10, 16, settings=plain_swim)
    one.signal("KILL", 3)
    one.run_until(lambda: one.all_agree(FAILED, [3]), 60 * BRISK.period)
    assert all(part.members.view.health == 0 for part in one.parts.values())
