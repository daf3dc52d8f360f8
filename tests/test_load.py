"""How load moves between instances: probes, cancelled forwards, and admission control while answers are
late."""

import pytest
from helpers import MS, NEW, OLD, THIN, Bench, steady


def test_hit_that_takes_most_of_its_target_latency_is_not_cancelled():
    """With few hits an instance is not heard from for long: only an overdue answer is a sign of silence."""
    bench = Bench(OLD[:2])
    bench.serve(6_000 * MS, lambda id: 450 * MS, every=400 * MS)  # target latency: 600 ms
    assert (
        len(bench.host.named("send_forward")) > 10
        and bench.host.named("cancel_forward", "reject_hit", "fail_hit") == []
    )


PRICED = {**THIN, "probe_price": 0.08}


def test_no_probe_where_it_costs_more_than_the_hits_it_may_save():
    bench = Bench(OLD, **PRICED)
    bench.serve(4_000 * MS, lambda id: 100 * MS)
    assert len(bench.host.named("send_forward")) > 90 and bench.host.named("probe_instance") == []
    while bench.host.open:
        bench.end(bench.host.open[0], "ok")
    bench.hit()
    bench.end(bench.host.open[0], "unreachable")  # one dial in ten fails, as far as it knows
    bench.hit()
    assert len(bench.host.named("probe_instance")) == 1


def probe_overdue_instance(replies):
    """A low-traffic gateway with a forward in flight for so long that it probes the instance, which replies
    or not. Returns the bench and the instance."""
    bench = Bench(OLD[:2], **PRICED)
    bench.run(100 * MS)
    bench.hit()
    bench.run(450 * MS)  # target latency: 600 ms
    ((_, _, (probed,)),) = bench.host.named("probe_instance")
    assert probed == bench.host.open[0][3] and bench.host.named("cancel_forward") == []
    if replies:
        bench.gateway.on_probed(bench.host.now, probed, "ok", MS, {"inflight": 9})
    bench.run(600 * MS)
    return bench, probed


def test_busy_instance_that_replies_to_a_probe_keeps_its_hit():
    bench, probed = probe_overdue_instance(True)
    assert (
        bench.host.named("cancel_forward") == []
        and len(bench.host.named("probe_instance", "send_forward")) == 2
    )
    assert bench.gateway.fleet.by_id[probed].ejected_until == 0


def test_instance_that_does_not_reply_to_a_probe_is_ejected_and_its_hit_retried_elsewhere():
    bench, probed = probe_overdue_instance(False)
    assert (
        len(bench.host.named("cancel_forward")) == 1 and bench.gateway.fleet.by_id[probed].ejected_until > 0
    )
    assert bench.host.open[0][3] != probed


def test_late_answers_to_hits_sent_before_the_last_admission_cut_cut_no_more():
    bench = Bench(OLD, gateways=100, may_cancel=False)
    for _ in range(8):
        bench.hit()
    bench.run(700 * MS)  # target latency: 600 ms
    while bench.host.open:
        bench.end(bench.host.open[0], "ok")
        bench.run(bench.host.now + 25 * MS)
    assert bench.gateway.admitted == 0.7
    bench.gateway.admitted = 1.0
    bench.hit()
    bench.run(bench.host.now + 700 * MS)
    bench.end(bench.host.open[0], "ok")
    assert bench.gateway.admitted == 0.7


def test_load_that_moves_to_a_released_build_is_no_evidence_against_it():
    """Once the earlier build drains, the new one gets the hits of both and is slower for it. Samples of the
    trial still count."""
    bench = Bench(OLD + NEW, news=(2, 0, "trial", 0.5), stage_caps=[0.5, 1.0], gate="clock", layout="beside")
    bench.serve(6_000 * MS, steady(), groups=("look",))
    gateway, released = bench.gateway, bench.host.now
    bench.news(2, 0, "released", 1.0)
    bench.serve(7_000 * MS, steady(), groups=("look",))
    bench.gateway.on_list(bench.host.now, False, [{**one, "state": "draining"} for one in OLD])
    bench.serve(9_000 * MS, steady(500), groups=("look",))
    new, old = (
        gateway.recent_samples(b, gateway.groups["look"], bench.host.now)
        for b in (gateway.newest, gateway.newest.earlier)
    )
    pairs, unpaired = gateway.stratify(new, old, bench.host.now)
    assert sum(s.at > released for s in new) > 30 and unpaired == []
    counted = sum(len(some) for some, _ in pairs)
    assert 0 < counted <= sum(s.at <= released for s in new)


def test_hits_after_the_last_one_of_the_earlier_build_are_not_paired_with_its_hits():
    """Where instances are replaced in place, the earlier ones leave one after another, and their last hits
    are quick."""
    bench = Bench(OLD + NEW, news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0])
    bench.serve(3_000 * MS, steady(), groups=("look", "hold"))
    bench.gateway.on_list(bench.host.now, False, [{**one, "state": "gone"} for one in OLD])
    bench.serve(3_500 * MS, steady(500), groups=("look", "hold"))
    gateway = bench.gateway
    for group in gateway.groups.values():
        new, old = (
            gateway.recent_samples(build, group, bench.host.now)
            for build in (gateway.newest, gateway.newest.earlier)
        )
        pairs, unpaired = gateway.stratify(new, old, bench.host.now)
        last = max(sample.at - sample.latency for sample in old) if old else 0
        paired, since = sum(len(some) for some, _ in pairs), max(new[0].at, old[0].at) if new and old else 0
        assert paired == sum(since <= sample.at <= last for sample in new) or group.name == "pay"
        assert unpaired or group.name == "pay"


def test_slow_hit_cuts_admission_before_its_answer_comes():
    """In congestion answers take several times the target latency: waiting for them would admit all hits
    until then."""
    bench = Bench(OLD[:2], **PRICED)
    bench.run(100 * MS)
    bench.hit()
    bench.run(450 * MS)  # target latency: 600 ms
    ((_, _, (probed,)),) = bench.host.named("probe_instance")
    bench.gateway.on_probed(bench.host.now, probed, "ok", MS, {"inflight": 9})
    assert bench.gateway.admitted == 1.0
    bench.run(700 * MS)
    assert bench.gateway.admitted == 0.7 and bench.host.open


def test_preference_for_a_trusted_build_shrinks_with_the_number_of_gateways():
    """With the full bias at each of hundreds of gateways, all hits of the fleet would go to the few instances
    of a stage (thundering herd)."""
    shares = []
    for gateways in (3, 180):
        bench = Bench(
            OLD + NEW, news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0], gateways=gateways, layout="beside"
        )
        bench.gateway.build_trusted = True
        for _ in range(60):
            bench.hit()
            bench.end(bench.host.open[0])
            bench.host.now += 10 * MS
        sent = [a[1] for _, _, a in bench.host.named("send_forward")]
        shares.append(sum(id[0] == "n" for id in sent) / len(sent))
    assert shares[0] == 1.0 and 0.3 < shares[1] < 0.5  # 4 of 10 instances


def test_overdue_forward_that_may_not_be_cancelled_counts_once():
    """The unanswered probe is counted; the forward stays in flight and is checked again and again."""
    bench = Bench(OLD[:2], **PRICED)
    bench.run(100 * MS)
    bench.hit("pay")
    bench.run(650 * MS)  # target latency: 800 ms; and two ticks
    ((_, _, (probed,)),) = bench.host.named("probe_instance")
    bench.gateway.on_probed(bench.host.now, probed, "timeout", 250 * MS, {})
    bench.run(1_500 * MS)
    assert bench.host.open and bench.host.named("cancel_forward") == []
    assert bench.gateway.fleet.by_id[
        probed
    ].ejected_until > 0 and bench.gateway.unreachable_share == pytest.approx(0.1)
