"""Load reports of instances: how they steer hits, and when they are stale."""

import pytest
from helpers import MS, GatewayDriver, row


def chosen_instances(driver, count):
    """The instances that `count` further hits go to, each answered at once without a load report."""
    instances = []
    for _ in range(count):
        driver.hit()
        forward = driver.host.open[-1]
        instances.append(forward[3])
        driver.end(forward)
    return instances


def report_loads(driver, loads):
    """Each instance answers a probe with its number of hits in flight."""
    for id, load in loads.items():
        driver.gateway.on_probed(driver.host.now, id, "ok", MS, {"inflight": load})


def test_load_report_is_stale_after_the_shortest_target_latency():
    """Stale read: where each of 192 gateways hears from an instance only every 20 s (calm+mass), an instance
    that was empty once got all hits of every gateway until it was heard from again."""
    driver = GatewayDriver([row(id) for id in "abcd"], gateways=100)
    report_loads(driver, {"a": 0, "b": 6, "c": 6, "d": 6})
    assert set(chosen_instances(driver, 8)) == {"a"}
    driver.host.now += 601 * MS
    assert set(chosen_instances(driver, 8)) == set("abcd")


def test_stale_load_report_is_replaced_by_the_mean_of_the_zone():
    """Without the mean no hits cross to the other zone while the own one is overloaded, or all of them do, to
    one instance there."""
    rows = [row(id) for id in "abcd"] + [row(id, zone="b") for id in "wxyz"]
    driver = GatewayDriver(rows, gateways=100, crossing_price=0.04)
    assert set(chosen_instances(driver, 8)) == set("abcd")  # crossing costs as much as one hit more
    report_loads(driver, dict.fromkeys("abc", 5) | dict.fromkeys("wxyz", 1))  # d has reported nothing
    driver.host.now += 601 * MS
    assert set(chosen_instances(driver, 8)) == set("wxyz")


@pytest.mark.parametrize("load, goes_to", [(1, True), (9, False)])
def test_instance_probed_alone_gets_the_hit_only_if_it_is_no_fuller_than_the_next(load, goes_to):
    """Where only one probe is worth its price, the hit went to the probed instance whatever load it
    reported."""
    driver = GatewayDriver([row(id) for id in "abcd"], gateways=100, may_probe=True, probe_price=0.2)
    report_loads(driver, dict.fromkeys("abcd", 3))
    driver.host.now += 601 * MS
    driver.gateway.late_share = 0.7  # a third of it is worth one probe, not two
    driver.hit()
    ((_, _, (probed,)),) = [
        call for call in driver.host.calls_named("probe_instance") if call[0] == driver.host.now
    ]
    driver.probes(lambda id: load)
    assert (driver.host.open[-1][3] == probed) is goes_to
