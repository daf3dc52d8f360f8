"""How load moves between instances: probes, hits called off, and shares cut by what is slow."""

import pytest
from helpers import MS, NEW, OLD, THIN, Bench, steady


def test_a_hit_that_takes_most_of_its_target_latency_is_not_called_off():
    """Few hits reach an instance at a time: that nothing else was heard of it meanwhile is no sign of
    silence."""
    bench = Bench(OLD[:2])
    bench.serve(6_000 * MS, lambda id: 450 * MS, every=400 * MS)  # of 600
    assert (
        len(bench.host.named("send_forward")) > 10
        and bench.host.named("cancel_forward", "reject_hit", "fail_hit") == []
    )


PRICED = {**THIN, "probe_price": 0.08}


def test_no_probe_where_it_costs_more_than_the_hits_it_may_spare():
    bench = Bench(OLD, **PRICED)
    bench.serve(4_000 * MS, lambda id: 100 * MS)
    assert len(bench.host.named("send_forward")) > 90 and bench.host.named("probe_instance") == []
    while bench.host.open:
        bench.end(bench.host.open[0], "ok")
    bench.hit()
    bench.end(bench.host.open[0], "unreachable")  # one dial in ten fails, as far as it knows
    bench.hit()
    assert len(bench.host.named("probe_instance")) == 1


def slow_one(answers):
    """A thin gateway with one hit out for longer than it waits before it asks the instance; its probes are
    answered or not."""
    bench = Bench(OLD[:2], **PRICED)
    bench.run(100 * MS)
    bench.hit()
    bench.run(450 * MS)  # of 600
    ((_, _, (asked,)),) = bench.host.named("probe_instance")
    assert asked == bench.host.open[0][3] and bench.host.named("cancel_forward") == []
    if answers:
        bench.gateway.on_probed(bench.host.now, asked, "ok", MS, {"inflight": 9})
    bench.run(600 * MS)
    return bench, asked


def test_a_busy_instance_that_answers_when_asked_is_not_called_off():
    bench, asked = slow_one(True)
    assert (
        bench.host.named("cancel_forward") == []
        and len(bench.host.named("probe_instance", "send_forward")) == 2
    )
    assert bench.gateway.fleet.by_id[asked].ejected_until == 0


def test_an_instance_that_says_nothing_when_asked_is_called_off_and_the_hit_goes_elsewhere():
    bench, asked = slow_one(False)
    assert len(bench.host.named("cancel_forward")) == 1 and bench.gateway.fleet.by_id[asked].ejected_until > 0
    assert bench.host.open[0][3] != asked


def test_late_answers_to_what_went_out_before_the_last_cut_cut_no_more():
    bench = Bench(OLD, gateways=100, may_cancel=False)
    for _ in range(8):
        bench.hit()
    bench.run(700 * MS)  # of 600
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
    """The hits of both builds go to the new one once the earlier one drains. What was slow in the trial
    counts on."""
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
    pairs, alone = gateway.stratify(new, old, bench.host.now)
    assert sum(s.at > released for s in new) > 30 and alone == []
    counted = sum(len(some) for some, _ in pairs)
    assert 0 < counted <= sum(s.at <= released for s in new)


def test_hits_that_end_when_the_earlier_build_gets_no_more_are_not_ranked_with_its_own():
    """In place: the earlier instances leave one after another, the last hits they had are quick."""
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
        pairs, alone = gateway.stratify(new, old, bench.host.now)
        last = max(sample.at - sample.latency for sample in old) if old else 0
        paired, since = sum(len(some) for some, _ in pairs), max(new[0].at, old[0].at) if new and old else 0
        assert paired == sum(since <= sample.at <= last for sample in new) or group.name == "pay"
        assert alone or group.name == "pay"


def test_a_slow_hit_cuts_the_share_before_its_answer_comes():
    """Guards against a jam whose answers take several times the target latency: until then all would be let
    in."""
    bench = Bench(OLD[:2], **PRICED)
    bench.run(100 * MS)
    bench.hit()
    bench.run(450 * MS)  # of 600
    ((_, _, (asked,)),) = bench.host.named("probe_instance")
    bench.gateway.on_probed(bench.host.now, asked, "ok", MS, {"inflight": 9})
    assert bench.gateway.admitted == 1.0
    bench.run(700 * MS)
    assert bench.gateway.admitted == 0.7 and bench.host.open


def test_trust_in_a_build_draws_no_more_to_it_from_hundreds_of_gateways_than_from_a_few():
    """A lean of its own at each of them would send all hits of a fleet to the few instances of a stage."""
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


def test_a_silent_forward_that_may_not_be_called_off_counts_once():
    """The probe that goes unanswered is the sign; the forward stays out and is looked at again and again."""
    bench = Bench(OLD[:2], **PRICED)
    bench.run(100 * MS)
    bench.hit("pay")
    bench.run(650 * MS)  # of 800, and two ticks
    ((_, _, (asked,)),) = bench.host.named("probe_instance")
    bench.gateway.on_probed(bench.host.now, asked, "timeout", 250 * MS, {})
    bench.run(1_500 * MS)
    assert bench.host.open and bench.host.named("cancel_forward") == []
    assert bench.gateway.fleet.by_id[
        asked
    ].ejected_until > 0 and bench.gateway.unreachable_share == pytest.approx(0.1)
