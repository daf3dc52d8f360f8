"""Tests of membership in clusters on the simulated kernel: kills, partitions, packet loss, pauses."""

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
FAST = ProbeSettings(200_000, 60_000)


def make_cluster(count, seed=1, zones=1, settings=FAST, **options):
    cluster = MemberCluster(count, seed, zones, settings, **options)
    cluster.start_all()
    cluster.run(1_100_000)
    cluster.run_until(cluster.all_agree, 20 * SECOND)
    return cluster


def test_new_member_that_reaches_one_member_finds_all():
    """At first all links but one are cut: the other members must be learned from the rows of that one."""
    cluster = MemberCluster(12, 2, 1, FAST)
    for n in range(11):
        cluster.start(n)
    cluster.run_until(lambda: cluster.all_agree(numbers=range(11)), 20 * SECOND)
    cluster.set_loss()
    for n in range(10):  # At first it reaches one member only.
        cluster.cut([11], [n], True)
    cluster.start(11)
    cluster.run_until(lambda: all(cluster.state(11, n) == ALIVE for n in range(11)), 10 * SECOND)
    cluster.run_until(lambda: cluster.all_agree(), 10 * SECOND)
    assert not cluster.world.troubles


@pytest.mark.parametrize("killed", [1, 3, 21])
def test_killed_members_are_failed_everywhere_within_a_time_limit(killed):
    """Of 30 members up to 21 die at once, and none of the survivors may be reported as failed."""
    cluster = make_cluster(30, 5, 3)
    killed_members = list(range(killed))
    cluster.signal("KILL", *killed_members)
    living = cluster.living()
    cluster.run_until(lambda: cluster.all_agree(FAILED, killed_members), 40 * FAST.period)
    # No other member is reported.
    assert {number for _, _, number in cluster.failure_reports()} == set(killed_members)
    assert all(sorted(cluster.parts[n].members.view.living()) == living for n in living)
    assert not cluster.world.troubles


def test_orderly_shutdown_is_announced_and_raises_no_suspicion():
    """Members that miss the announcement would report a failure on every restart of a gateway."""
    cluster = make_cluster(10, 3)
    cluster.signal("TERM", 4)
    cluster.run_until(
        lambda: cluster.all_agree(LEFT, [4], [n for n in range(10) if n != 4]), 10 * FAST.period
    )
    assert not [c for c in cluster.changes if c[2] == 4 and c[4] in (SUSPECT, FAILED)]
    cluster.run_until(lambda: cluster.processes[4].code == 0, 10 * FAST.period)
    cluster.start(4)
    cluster.run_until(lambda: cluster.all_agree(), 20 * FAST.period)


def test_paused_member_refutes_its_failure_and_reports_no_other():
    """After the pause the acks of all others seem overdue, which must not cause false failures."""
    cluster = make_cluster(10, 4)
    cluster.signal("STOP", 6)
    cluster.run_until(
        lambda: cluster.all_agree(FAILED, [6], [n for n in range(10) if n != 6]), 60 * FAST.period
    )
    resumed_at = cluster.world.time
    cluster.signal("CONT", 6)
    cluster.run_until(lambda: cluster.all_agree(), 20 * FAST.period)
    assert cluster.failure_reports(resumed_at) == [] and cluster.parts[6].members.view.incarnation >= 1


@pytest.mark.parametrize("lose, repeat, shuffle", [(0.1, 0, 0), (0.3, 0.3, 0.5), (0.6, 0.2, 0.2)])
def test_failures_are_detected_despite_loss_duplication_and_reordering(lose, repeat, shuffle):
    """Loss alone must not cause lasting false failures, and a killed member is still detected."""
    cluster = make_cluster(12, 6, 2)
    cluster.set_loss(lose, repeat, shuffle)
    cluster.run(30 * SECOND)
    assert lose > 0.1 or cluster.failure_reports() == []
    # Wrongly failed members are soon alive again.
    assert lose > 0.3 or max(cluster.false_failure_times(), default=0) < 15 * FAST.period
    cluster.signal("KILL", 3)
    cluster.run_until(lambda: cluster.all_agree(FAILED, [3]), 200 * FAST.period)
    cluster.set_loss()
    cluster.run_until(lambda: cluster.all_agree(numbers=[n for n in cluster.living()]), 60 * FAST.period)


def test_late_datagrams_do_not_revive_a_failed_member():
    """Datagrams of a killed member may still arrive seconds after its death."""
    cluster = make_cluster(8, 8)
    cluster.set_loss(delay=(2 * SECOND, 3 * SECOND))
    cluster.run(3 * SECOND)
    cluster.set_loss(delay=(15, 60))
    cluster.signal("KILL", 2)
    cluster.run_until(lambda: cluster.all_agree(FAILED, [2]) and cluster.all_agree(), 80 * FAST.period)
    cluster.run(8 * SECOND)  # All delayed datagrams have arrived by now.
    assert cluster.all_agree(FAILED, [2]) and cluster.all_agree()


def test_one_way_link_failure_is_reported_and_causes_no_member_failure():
    """Helpers still reach the member, so that only the link is broken."""
    cluster = make_cluster(9, 7, 3)
    cluster.link(1, 5).one_way("gateway-1", True)  # Gateway 1 does not hear gateway 5.
    cluster.run_until(
        lambda: cluster.parts[1].members.view.reachability.broken_links() == [5], 60 * FAST.period
    )
    cluster.run(20 * SECOND)
    assert cluster.failure_reports() == []
    cluster.link(1, 5).one_way("gateway-1", False)
    cluster.run_until(lambda: not cluster.parts[1].members.view.reachability.broken_links(), 60 * FAST.period)


def zone_states(cluster, observer):
    return cluster.parts[observer].members.view.reachability.zones(cluster.world.time)


def test_lost_zone_is_distinguished_from_own_partition_and_both_heal():
    """Both sides of a partition see the other as failed; only the smaller one is an island."""
    cluster = make_cluster(12, 9, 3)
    zone0, rest = [0, 3, 6, 9], [n for n in range(12) if n % 3]
    cluster.cut(zone0, rest, True)
    cluster.run_until(
        lambda: zone_states(cluster, 1)["zone-0"] == GONE
        and zone_states(cluster, 0)["zone-1"] == CUT_OFF
        and cluster.parts[0].members.is_on_minority_side
        and not cluster.parts[1].members.is_on_minority_side,
        60 * FAST.period,
    )
    assert zone_states(cluster, 1) == {"zone-0": GONE, "zone-1": REACHABLE, "zone-2": REACHABLE}
    cluster.run_until(
        lambda: cluster.all_agree(FAILED, zone0, rest) and cluster.all_agree(FAILED, rest, zone0),
        100 * FAST.period,
    )
    cluster.cut(zone0, rest, False)
    cluster.run_until(
        lambda: cluster.all_agree() and not cluster.parts[0].members.is_on_minority_side, 40 * FAST.period
    )


def test_three_way_partition_heals_although_members_restarted_meanwhile():
    """After the partition, the sides know different starts of the restarted members."""
    cluster = make_cluster(12, 10, 3)
    sides = [[n for n in range(12) if n % 3 == side] for side in range(3)]
    for a in range(3):
        for b in range(a):
            cluster.cut(sides[a], sides[b], True)
    cluster.run(12 * SECOND)
    cluster.signal("KILL", 0, 1, 2)
    cluster.run(SECOND)
    for n in (0, 1, 2):
        cluster.start(n)
    cluster.run(5 * SECOND)
    for a in range(3):
        for b in range(a):
            cluster.cut(sides[a], sides[b], False)
    cluster.run_until(lambda: cluster.all_agree(), 60 * FAST.period)
    assert not cluster.world.troubles


def test_isolated_member_reports_being_alone_until_the_links_are_back():
    """Its own network is at fault, not all the other members."""
    cluster = make_cluster(5, 11)
    cluster.cut([2], [0, 1, 3, 4], True)
    cluster.run_until(lambda: cluster.parts[2].members.is_isolated, 30 * FAST.period)
    assert set(zone_states(cluster, 2).values()) == {ALONE} and not cluster.parts[0].members.is_isolated
    cluster.cut([2], [0, 1, 3, 4], False)
    cluster.run_until(
        lambda: not cluster.parts[2].members.is_isolated and cluster.all_agree(), 40 * FAST.period
    )


def test_flapping_link_causes_no_member_failure():
    """The link between two members goes down and up each second for 20 seconds."""
    cluster = make_cluster(8, 12)
    for second in range(20):
        cluster.cut([1], [2], second % 2 == 0)
        cluster.run(SECOND)
    cluster.cut([1], [2], False) if cluster.link(1, 2).cuts else None
    assert cluster.failure_reports() == []


def test_members_agree_after_a_full_restart_and_a_clock_jump():
    """A clock that jumps ahead makes all pending acks seem overdue."""
    cluster = make_cluster(15, 13)
    cluster.signal("KILL", *range(15))
    cluster.start_all(within=300_000)
    cluster.run(400_000)
    cluster.run_until(lambda: cluster.all_agree(), 60 * FAST.period)
    fault_time = cluster.world.time
    cluster.processes[4].kernel.here += 30 * SECOND  # Its clock jumps half a minute ahead.
    cluster.processes[4].schedule_turn()
    cluster.run(10 * SECOND)
    assert cluster.all_agree() and cluster.failure_reports(fault_time) == []


def test_slow_member_causes_no_false_failures_and_recovers():
    """A member that is paused most of the time reads acks too late and must not suspect others for it."""
    cluster = make_cluster(16, 17)
    cluster.slow_down([5], cluster.world.time + 30 * SECOND, runs=(10_000, 30_000), stands=(200_000, 600_000))
    fault_time = cluster.world.time
    cluster.run(31 * SECOND)
    assert not [d for d in cluster.failure_reports(fault_time) if d[2] != 5]
    cluster.run_until(lambda: cluster.all_agree(), 40 * FAST.period)


def test_table_ignores_numbers_that_the_settings_lack():
    """Rows with arbitrary numbers must not make the table grow."""
    view = View(0, {n: "a" for n in range(300)}, ProbeSettings(), RandomSource(1), 9, 0)
    for n in range(1, 65_536):
        view.apply_row(5, n, 7, 0, ALIVE, 1)
    assert len(view.members) == 299 and view.counts["strangers"] == 65_536 - 300
    assert len(view.pending_updates) <= 300 and len(view.living()) == 300


def test_process_replaced_by_a_newer_start_logs_it_and_ends():
    """Two processes with the same number would outbid each other for ever."""
    cluster = make_cluster(5, 14, lines=True)
    process, member_process = cluster.processes[3], cluster.parts[3]
    view = cluster.parts[1].members.view  # Another process with this number has been heard elsewhere.
    newer_start = member_process.members.view.start + 10 * SECOND
    view.apply_row(view.began, 3, newer_start, 0, ALIVE, 3)
    cluster.run_until(lambda: member_process.members.view.outbid_once, 60 * FAST.period)
    assert process.code is None  # The newer start may have been its own previous process.
    # The other process is running and outbids it in its turn.
    view.apply_row(view.began, 3, newer_start + 2, 0, ALIVE, 3)
    cluster.run_until(lambda: process.code is not None, 60 * FAST.period)
    assert process.result == 3
    assert [line for line in cluster.machine.lines if line[3].startswith("replaced")]


def test_same_seed_gives_the_same_events():
    """A simulated failure could not be replayed from its seed otherwise."""
    digests = set()
    for _ in range(2):
        cluster = make_cluster(9, 15, 3)
        cluster.set_loss(0.2, 0.1, 0.3)
        cluster.run(5 * SECOND)
        digests.add(cluster.world.digest.hexdigest())
    assert len(digests) == 1


@settings(max_examples=max(4, EXAMPLES // 12), deadline=None)
@given(st.integers(0, 10_000))
def test_members_agree_after_random_faults(seed):
    """Once the faults end, all running members see each other as alive and have equal table digests."""
    cluster = make_cluster(8, seed, 2)
    random_source = cluster.world.chance("plan")
    for _ in range(6):
        number, other = random_source.sample(range(8), 2)
        fault = random_source.choice(["kill", "stop", "cut", "one way", "loss"])
        if fault == "kill":
            cluster.signal("KILL", number)
            cluster.run(random_source.randrange(100_000, 4 * SECOND))
            cluster.start(number)
        elif fault == "stop":
            cluster.signal("STOP", number)
            cluster.run(random_source.randrange(100_000, 4 * SECOND))
            cluster.signal("CONT", number)
        elif fault == "cut":
            cluster.cut([number], [other], True)
            cluster.run(random_source.randrange(100_000, 4 * SECOND))
            cluster.cut([number], [other], False)
        elif fault == "one way":
            cluster.link(number, other).one_way(cluster.name(other), True)
            cluster.run(random_source.randrange(100_000, 4 * SECOND))
            cluster.link(number, other).one_way(cluster.name(other), False)
        else:
            cluster.set_loss(0.4, 0.2, 0.2)
            cluster.run(random_source.randrange(100_000, 3 * SECOND))
            cluster.set_loss()
    cluster.run_until(lambda: cluster.all_agree(), 80 * FAST.period)
    digests = {cluster.parts[n].members.view.table_digest for n in cluster.living()}
    cluster.run_until(
        lambda: len({cluster.parts[n].members.view.table_digest for n in cluster.living()}) == 1,
        40 * FAST.period,
    )
    assert digests and not cluster.world.troubles


def test_plain_swim_detects_failures_without_local_health():
    """The comparison in bench/members.py relies on `plain_swim` switching Lifeguard off."""
    settings_of_plain_swim = replace(FAST, plain_swim=True)
    cluster = make_cluster(10, 16, settings=settings_of_plain_swim)
    cluster.signal("KILL", 3)
    cluster.run_until(lambda: cluster.all_agree(FAILED, [3]), 60 * FAST.period)
    assert all(part.members.view.health == 0 for part in cluster.parts.values())
