"""How load moves between instances: probes, cancelled forwards, and admission control while answers are
late."""

import pytest
from helpers import LOW_TRAFFIC, MS, NEW_ROWS, OLD_ROWS, GatewayDriver, steady


def test_hit_that_takes_most_of_its_target_latency_is_not_cancelled():
    """With few hits an instance is not heard from for long: only an overdue answer is a sign of silence."""
    driver = GatewayDriver(OLD_ROWS[:2])
    driver.serve(6_000 * MS, lambda id: 450 * MS, every=400 * MS)  # target latency: 600 ms
    assert (
        len(driver.host.calls_named("send_forward")) > 10
        and driver.host.calls_named("cancel_forward", "reject_hit", "fail_hit") == []
    )


PRICED = {**LOW_TRAFFIC, "probe_price": 0.08}


def test_no_probe_where_it_costs_more_than_the_hits_it_may_save():
    driver = GatewayDriver(OLD_ROWS, **PRICED)
    driver.serve(4_000 * MS, lambda id: 100 * MS)
    assert (
        len(driver.host.calls_named("send_forward")) > 90 and driver.host.calls_named("probe_instance") == []
    )
    while driver.host.open:
        driver.end(driver.host.open[0], "ok")
    driver.hit()
    driver.end(driver.host.open[0], "unreachable")  # one dial in ten fails, as far as it knows
    driver.hit()
    assert len(driver.host.calls_named("probe_instance")) == 1


def probe_overdue_instance(replies):
    """A low-traffic gateway with a forward in flight for so long that it probes the instance, which replies
    or not. Returns the driver and the instance."""
    driver = GatewayDriver(OLD_ROWS[:2], **PRICED)
    driver.run(100 * MS)
    driver.hit()
    driver.run(450 * MS)  # target latency: 600 ms
    ((_, _, (probed,)),) = driver.host.calls_named("probe_instance")
    assert probed == driver.host.open[0][3] and driver.host.calls_named("cancel_forward") == []
    if replies:
        driver.gateway.on_probed(driver.host.now, probed, "ok", MS, {"inflight": 9})
    driver.run(600 * MS)
    return driver, probed


def test_busy_instance_that_replies_to_a_probe_keeps_its_hit():
    driver, probed = probe_overdue_instance(True)
    assert (
        driver.host.calls_named("cancel_forward") == []
        and len(driver.host.calls_named("probe_instance", "send_forward")) == 2
    )
    assert driver.gateway.fleet.by_id[probed].ejected_until == 0


def test_instance_that_does_not_reply_to_a_probe_is_ejected_and_its_hit_retried_elsewhere():
    driver, probed = probe_overdue_instance(False)
    assert (
        len(driver.host.calls_named("cancel_forward")) == 1
        and driver.gateway.fleet.by_id[probed].ejected_until > 0
    )
    assert driver.host.open[0][3] != probed


def test_late_answers_to_hits_sent_before_the_last_admission_cut_cut_no_more():
    driver = GatewayDriver(OLD_ROWS, gateways=100, may_cancel=False)
    for _ in range(8):
        driver.hit()
    driver.run(700 * MS)  # target latency: 600 ms
    while driver.host.open:
        driver.end(driver.host.open[0], "ok")
        driver.run(driver.host.now + 25 * MS)
    assert driver.gateway.admitted_share == 0.7
    driver.gateway.admitted_share = 1.0
    driver.hit()
    driver.run(driver.host.now + 700 * MS)
    driver.end(driver.host.open[0], "ok")
    assert driver.gateway.admitted_share == 0.7


def test_load_that_moves_to_a_released_build_is_no_evidence_against_it():
    """Once the earlier build drains, the new one gets the hits of both and is slower for it. Samples of the
    trial still count."""
    driver = GatewayDriver(
        OLD_ROWS + NEW_ROWS, news=(2, 0, "trial", 0.5), stage_caps=[0.5, 1.0], gate="clock", layout="beside"
    )
    driver.serve(6_000 * MS, steady(), groups=("look",))
    gateway, released = driver.gateway, driver.host.now
    driver.news(2, 0, "released", 1.0)
    driver.serve(7_000 * MS, steady(), groups=("look",))
    driver.gateway.on_list(driver.host.now, False, [{**one, "state": "draining"} for one in OLD_ROWS])
    driver.serve(9_000 * MS, steady(500), groups=("look",))
    new, old = (
        gateway.recent_samples(b, gateway.groups["look"], driver.host.now)
        for b in (gateway.newest, gateway.newest.earlier)
    )
    pairs, unpaired = gateway.stratify(new, old, driver.host.now)
    assert sum(s.at > released for s in new) > 30 and unpaired == []
    counted = sum(len(some) for some, _ in pairs)
    assert 0 < counted <= sum(s.at <= released for s in new)


def test_hits_after_the_last_one_of_the_earlier_build_are_not_paired_with_its_hits():
    """Where instances are replaced in place, the earlier ones leave one after another, and their last hits
    are quick."""
    driver = GatewayDriver(OLD_ROWS + NEW_ROWS, news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0])
    driver.serve(3_000 * MS, steady(), groups=("look", "hold"))
    driver.gateway.on_list(driver.host.now, False, [{**one, "state": "gone"} for one in OLD_ROWS])
    driver.serve(3_500 * MS, steady(500), groups=("look", "hold"))
    gateway = driver.gateway
    for group in gateway.groups.values():
        new, old = (
            gateway.recent_samples(build, group, driver.host.now)
            for build in (gateway.newest, gateway.newest.earlier)
        )
        pairs, unpaired = gateway.stratify(new, old, driver.host.now)
        last = max(sample.at - sample.latency for sample in old) if old else 0
        paired, since = sum(len(some) for some, _ in pairs), max(new[0].at, old[0].at) if new and old else 0
        assert paired == sum(since <= sample.at <= last for sample in new) or group.name == "pay"
        assert unpaired or group.name == "pay"


def test_slow_hit_cuts_admission_before_its_answer_comes():
    """In congestion answers take several times the target latency: waiting for them would admit all hits
    until then."""
    driver = GatewayDriver(OLD_ROWS[:2], **PRICED)
    driver.run(100 * MS)
    driver.hit()
    driver.run(450 * MS)  # target latency: 600 ms
    ((_, _, (probed,)),) = driver.host.calls_named("probe_instance")
    driver.gateway.on_probed(driver.host.now, probed, "ok", MS, {"inflight": 9})
    assert driver.gateway.admitted_share == 1.0
    driver.run(700 * MS)
    assert driver.gateway.admitted_share == 0.7 and driver.host.open


def test_preference_for_a_trusted_build_shrinks_with_the_number_of_gateways():
    """With the full bias at each of hundreds of gateways, all hits of the fleet would go to the few instances
    of a stage (thundering herd)."""
    shares = []
    for gateways in (3, 180):
        driver = GatewayDriver(
            OLD_ROWS + NEW_ROWS,
            news=(2, 0, "trial", 1.0),
            stage_caps=[1.0, 1.0],
            gateways=gateways,
            layout="beside",
        )
        driver.gateway.build_trusted = True
        for _ in range(60):
            driver.hit()
            driver.end(driver.host.open[0])
            driver.host.now += 10 * MS
        sent = [a[1] for _, _, a in driver.host.calls_named("send_forward")]
        shares.append(sum(id[0] == "n" for id in sent) / len(sent))
    assert shares[0] == 1.0 and 0.3 < shares[1] < 0.5  # 4 of 10 instances


def test_overdue_forward_that_may_not_be_cancelled_counts_once():
    """The unanswered probe is counted; the forward stays in flight and is checked again and again."""
    driver = GatewayDriver(OLD_ROWS[:2], **PRICED)
    driver.run(100 * MS)
    driver.hit("pay")
    driver.run(650 * MS)  # target latency: 800 ms; and two ticks
    ((_, _, (probed,)),) = driver.host.calls_named("probe_instance")
    driver.gateway.on_probed(driver.host.now, probed, "timeout", 250 * MS, {})
    driver.run(1_500 * MS)
    assert driver.host.open and driver.host.calls_named("cancel_forward") == []
    assert driver.gateway.fleet.by_id[
        probed
    ].ejected_until > 0 and driver.gateway.unreachable_share == pytest.approx(0.1)
