"""The module: what a report of load is worth, and for how long."""

import pytest
from helpers import MS, Bench, row


def chosen(bench, count):
    """The instances that further hits go to, each answered at once without a report."""
    got = []
    for _ in range(count):
        bench.hit()
        forward = bench.host.open[-1]
        got.append(forward[3])
        bench.end(forward)
    return got


def reports(bench, loads):
    """One answer from each instance, with what it reports of its load."""
    for id, load in loads.items():
        bench.gateway.on_probed(bench.host.now, id, "ok", MS, {"inflight": load})


def test_a_report_of_load_is_worth_the_shortest_target_and_no_more():
    """Found on calm+mass at 192 gateways: each hears from an instance every 20 s, and what had been empty
    once got all that it sent, from every one of them, until it was heard from again."""
    bench = Bench([row(id) for id in "abcd"], gateways=100)
    reports(bench, {"a": 0, "b": 6, "c": 6, "d": 6})
    assert set(chosen(bench, 8)) == {"a"}
    bench.host.now += 601 * MS
    assert set(chosen(bench, 8)) == set("abcd")


def test_where_reports_are_old_a_zone_counts_as_full_as_its_instances_were():
    """Without it nobody crosses to the other zone while the own one is crowded, or all do for one instance
    there."""
    rows = [row(id) for id in "abcd"] + [row(id, zone="b") for id in "wxyz"]
    bench = Bench(rows, gateways=100, crossing_price=0.04)
    assert set(chosen(bench, 8)) == set("abcd")  # crossing costs as much as one hit more
    reports(bench, dict.fromkeys("abc", 5) | dict.fromkeys("wxyz", 1))  # of d nothing is known
    bench.host.now += 601 * MS
    assert set(chosen(bench, 8)) == set("wxyz")


@pytest.mark.parametrize("load, goes_to", [(1, True), (9, False)])
def test_one_instance_probed_alone_gets_the_hit_only_if_it_is_no_fuller_than_the_next(load, goes_to):
    """Found where a probe costs so much that but one is worth its price: whatever it said, the hit went
    there."""
    bench = Bench([row(id) for id in "abcd"], gateways=100, may_probe=True, probe_price=0.2)
    reports(bench, dict.fromkeys("abcd", 3))
    bench.host.now += 601 * MS
    bench.gateway.late_share = 0.7  # a third of it is worth one probe, not two
    bench.hit()
    ((_, _, (probed,)),) = [call for call in bench.host.named("probe_instance") if call[0] == bench.host.now]
    bench.probes(lambda id: load)
    assert (bench.host.open[-1][3] == probed) is goes_to
