"""The module: what was found on hundreds of gateways, a test each."""

import pytest
from helpers import MS, NEW, OLD, Bench, row, steady

from cobaltpond.decisions.records import RandomSource, Sample
from cobaltpond.decisions.sample_message import SampleMessage
from cobaltpond.decisions.stats import max_expected_events, poisson_tail


def test_level_bears_as_many_errors_as_the_votes_make_harmless():
    assert max_expected_events(1, 0.0001) == pytest.approx(0.0001)
    lone, many = Bench(OLD, gateways=500).gateway, Bench(OLD, gateways=500, back_votes=25).gateway
    assert (
        many.significance_z < lone.significance_z == many.strict_significance_z
        and many.min_samples < lone.min_samples
    )
    assert poisson_tail(25, max_expected_events(25, 0.0001)) < 0.0001


@pytest.mark.parametrize("left, still", [(300 * MS, 0), (2000 * MS, 1000 * MS)])
def test_little_time_left_or_a_gateway_that_stood_still_is_no_sign_against_an_instance(left, still):
    bench = Bench(OLD + NEW, gateways=100)
    for _ in range(40):
        bench.hit(left=left)
        bench.host.now += still  # no event reaches it meanwhile
        if still:
            bench.end(bench.host.open[0], "ok")
            bench.gateway.on_wake(bench.host.now, 0)
        bench.run(bench.host.now + 500 * MS)
    assert len(bench.host.named("send_forward")) == 40 and not bench.host.named("cancel_forward")
    assert bench.gateway.admitted == 1 and not any(b.samples for b in bench.gateway.fleet.builds.values())


def test_errors_below_the_least_sample_say_nothing():
    gateway = Bench(OLD + NEW, news=(2, 0, "trial", 1.0), gateways=47).gateway
    build = gateway.fleet.builds[2]
    assert gateway.assess_errors(build, "all", (4, 5, 0, 85), gateway.significance_z) == "fine"
    assert gateway.assess_errors(build, "all", (6, 9, 0, 85), gateway.significance_z) == "fail"


def test_many_votes_let_a_thin_gateway_speak_up_on_a_handful_of_hits():
    votes = []
    for needed in (1, 25):
        many = {"gateways": 500, "back_votes": needed, "stage_caps": [1.0, 1.0]}
        bench = Bench(OLD + NEW, news=(2, 0, "trial", 1.0), **many)
        bench.serve(14_000 * MS, steady(400), every=400 * MS)
        votes.append({a[2] for _, _, a in bench.host.named("cast_vote")})
    assert "back" not in votes[0] and "back" in votes[1]


def test_what_others_say_of_an_instance_s_former_life_is_no_evidence_of_this_one():
    """The tag of a message is the same over a restart, and a wrong answer is told of seconds later."""
    started = 5_000 * MS
    gateway = Bench(
        [row("a", 1), row("n", 2, started=started)],
        news=(2, 0, "trial", 1.0),
        gateways=100,
        stage_caps=[1.0, 1.0],
    ).gateway
    instance, build = gateway.fleet.by_id["n"], gateway.fleet.builds[2]
    for now, latency, age in ((5_400 * MS, 900 * MS, 0), (9_000 * MS, 200 * MS, 4_000 * MS)):
        gateway.on_peer(now, 3, SampleMessage.pack(Sample(now, latency, False, instance, 0, 1.0, 0), 0, age))
        gateway.on_wrong(now, "n", "look", now - started + 1)
    assert not any(build.samples.values())
    gateway.on_peer(
        9_000 * MS, 3, SampleMessage.pack(Sample(9_000 * MS, 900 * MS, False, instance, 0, 1.0, 0), 0, 0)
    )
    gateway.on_wrong(9_000 * MS, "n", "look", 1_000 * MS)
    assert len(build.samples["look"]) == 2


def test_judges_are_told_of_a_build_long_after_its_release():
    """Found on join+mass at 30 gateways, seed 4: a build that fails under load alone was out before it met
    that load, and judges were told for 2.5 warm-ups only."""
    bench = Bench(
        OLD + NEW, news=(2, 0, "trial", 1.0), gateways=100, number=9, may_tell=True, stage_caps=[1.0, 1.0]
    )
    bench.news(2, 0, "released", 1.0)
    bench.serve(60_000 * MS, steady(), every=400 * MS)
    assert [now for now, *_ in bench.host.named("send_to_peer") if now > 50_000 * MS]


@pytest.mark.parametrize("failing, says", [(10, "fail"), (5, "fine")])
def test_long_after_a_release_only_what_most_instances_err_on_speaks_against_it(failing, says):
    """No earlier build is there to be compared with: a trouble of some instances is no fault of theirs."""
    news = [row(f"n{n}", 2) for n in range(10)]
    gateway = Bench(OLD + news, news=(2, 0, "released", 1.0), gateways=30).gateway
    build, instances = gateway.fleet.builds[2], [gateway.fleet.by_id[one["id"]] for one in news]
    new = [
        Sample(0, 900, at < 40 // failing and n < failing, instance, 0, 1.0, 0)
        for n, instance in enumerate(instances)
        for at in range(20)
    ]
    counts, window = (40, 200, 2, 200), int(2.5 * gateway.cold_time)
    gateway.assess(build, gateway.stage_began + window - 1)
    assert (
        gateway.assess_errors(build, "all", counts, gateway.significance_z, new) == "fail"
    )  # beside the earlier build
    gateway.assess(build, gateway.stage_began + window)
    assert gateway.assess_errors(build, "all", counts, gateway.significance_z, new) == says


@pytest.mark.parametrize("failing, says", [(10, "fail"), (5, "fine")])
def test_a_judge_that_has_restarted_since_the_release_says_what_most_instances_err_on(failing, says):
    """Found on roll+mass at 30 gateways, seed 8: both judges were restarted, had no record of the earlier
    build, which had gone, and found nothing against one that failed a sixth of its hits at nearly all
    instances."""
    news = [row(f"n{n}", 2) for n in range(10)]
    gateway = Bench(news, news=(2, 0, "released", 1.0), gateways=30).gateway
    build, instances = gateway.fleet.builds[2], [gateway.fleet.by_id[one["id"]] for one in news]
    new = [
        Sample(0, 900, at < 40 // failing and n < failing, instance, 0, 1.0, 0)
        for n, instance in enumerate(instances)
        for at in range(20)
    ]
    gateway.release_settled = True  # of what the platform counts no instance is known
    assert (
        gateway.assess_errors(build, "platform", (60, 100_000, 0, 0), gateway.strict_significance_z) == "fine"
    )
    assert gateway.assess_errors(build, "all", (40, 200, 0, 0), gateway.significance_z, new) == says
    gateway.release_settled = False  # the earlier build's record may still come
    assert gateway.assess_errors(build, "all", (40, 200, 0, 0), gateway.significance_z, new) == "fine"


def test_weeks_without_a_release_keep_no_more_than_days():
    """Found by the soak on sockets: evidence was trimmed only where a build was judged."""
    bench = Bench([row("a"), row("b")], keys_stay=True)
    for n in range(3000):
        bench.hit(key=n)
        bench.end(bench.host.open[-1])
        bench.host.now += 10 * MS
        bench.host.calls.clear()
    build = bench.gateway.fleet.build(1)
    assert len(build.samples["look"]) <= 480
    bench.news(2, 0, "trial", 0.2)
    bench.news(3, 0, "trial", 0.2)
    assert not bench.gateway.kept_keys


def test_a_late_answer_of_the_earlier_build_does_not_lower_a_kept_key():
    """Found by simulation: a forward to the earlier build was out while the new one answered the same key."""
    bench = Bench([row("a"), row("b", 2)], news=(2, 0, "trial", 1.0), keys_stay=True, stage_caps=[1.0, 1.0])
    forwards = {}
    while set(forwards) != {"a", "b"}:
        bench.hit(key=7)
        forwards[bench.host.open[-1][3]] = bench.host.open[-1]
    bench.end(forwards["b"])
    bench.host.now += 10 * MS
    bench.end(forwards["a"])
    for forward in list(bench.host.open):
        bench.end(forward)
    bench.host.now += 10 * MS
    before = len(bench.host.named("send_forward"))
    for _ in range(20):
        bench.hit(key=7)
    assert {a[1] for _, _, a in bench.host.named("send_forward")[before:]} == {"b"}


@pytest.mark.parametrize("first", ["news", "newest row"])
def test_gateway_that_starts_in_mid_trial_knows_the_earlier_build(first):
    """Whatever it hears first, the build on trial is judged against the one before it."""
    bench = (
        Bench([], news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0])
        if first == "news"
        else Bench([], news=(0, 0, "released", 1.0), stage_caps=[1.0, 1.0])
    )
    bench.gateway.on_list(bench.host.now, True, NEW + OLD if first == "newest row" else OLD + NEW)
    bench.news(2, 0, "trial", 1.0)
    assert bench.gateway.newest.earlier.number == 1
    bench.serve(8_000 * MS, steady(), fails=lambda id: id[0] == "n")
    assert "back" in {verdict for _, _, (_, _, verdict) in bench.host.named("cast_vote")}


def test_few_errors_spread_over_many_instances_are_seen():
    """Each of 30 instances errs once in a while: leaving out the worst third of them would leave out every
    error."""
    old, new = (
        [row(f"{mark}{n:02}", build, cell=n // 3) for n in range(30)] for mark, build in (("i", 1), ("n", 2))
    )
    bench = Bench(old + new, news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0])
    gateway, group = bench.gateway, bench.gateway.groups["look"]
    for n in range(3_600):  # 600 of the new build, of which 12 errors at 12 instances
        instance = gateway.fleet.by_id[f"{'i' if n % 6 else 'n'}{n // 6 % 30:02}"]
        errored = instance.id[0] == "n" and n >= 3_600 - 12 * 6
        latency = (2500 if errored else 80) * MS
        gateway.record_sample(group, Sample(n * MS, latency, errored, instance, n // 1_000, 1.0, 0), n * MS)
    assert gateway.assess(gateway.newest, 3_600 * MS) == "fail"


def test_what_is_kept_of_a_busy_build_is_not_the_long_part_of_it():
    """Both builds are alike, quick mostly and long at times; the newer one gets most hits, so that what is
    kept of it reaches less far back: of its hits sent long ago only the long ones are still there."""
    old, new = (
        [row(f"{mark}{n:02}", build, cell=n // 3) for n in range(30)] for mark, build in (("i", 1), ("n", 2))
    )
    bench = Bench(old + new, news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0])
    gateway, group, dice = bench.gateway, bench.gateway.groups["look"], RandomSource(3)
    ended = []
    for n in range(12_000):  # one a millisecond, a tenth of them to the earlier build
        instance = gateway.fleet.by_id[f"{'n' if n % 10 else 'i'}{dice.randbelow(30):02}"]
        latency = (1500 if dice.randbelow(10) < 2 else 60 + dice.randbelow(80)) * MS
        ended.append(
            (
                n * MS + latency,
                n,
                Sample(n * MS + latency, latency, False, instance, n * MS // gateway.stratum_length, 1.0, 0),
            )
        )
    said = []
    for at, n, sample in sorted(ended):
        gateway.record_sample(group, sample, at)
        if n % 200 == 0 and n > 4_000:
            said.append(gateway.assess(gateway.newest, at))
    assert len(said) > 30 and "fail" not in said and said.count("suspect") < len(said) / 5


def test_an_error_that_is_told_is_placed_in_its_own_time():
    """It counts as a time-out, and yet nothing was waited for: dated back by one it lay among quieter
    hits."""
    bench = Bench(OLD + NEW, news=(2, 0, "trial", 1.0), may_tell=True, gateways=180)
    gateway = bench.gateway
    instance = gateway.fleet.by_id[NEW[0]["id"]]
    for errored in (True, False):
        told = SampleMessage.pack(Sample(0, 2500 * MS, errored, instance, 0, 1.0, 0), 0)
        gateway.on_peer(90_000 * MS, 5, told)
    first, second = instance.build.samples["look"]
    assert (first.stratum, second.stratum) == (
        90_000 * MS // gateway.stratum_length,
        87_500 * MS // gateway.stratum_length,
    )
    assert first.errored and first.latency == 2500 * MS


def judge_of(bench, living):
    bench.gateway.on_members(bench.host.now, living)
    return bench.gateway.judges(bench.gateway.newest)


def test_a_judge_that_dies_gives_place_to_one_that_is_told_what_was_seen_and_nobody_is_told_twice():
    bench = Bench(
        OLD + NEW, news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0], may_tell=True, gateways=20, number=3
    )
    everybody = {n: 100 + n for n in range(20) if n != 3}  # ours may judge too: not here
    first = judge_of(bench, everybody)
    bench.serve(3_000 * MS, steady())
    told = bench.host.named("send_to_peer")
    assert {a[0] for _, _, a in told} == set(first) and all(len(a[1]) == 8 for _, _, a in told)
    second = judge_of(bench, {n: at for n, at in everybody.items() if n != first[0]})
    fresh = [n for n in second if n not in first]
    again = bench.host.named("send_to_peer")[len(told) :]
    assert len(fresh) == 1 and {a[0] for _, _, a in again} == set(fresh) and 8 <= len(again) <= 40
    assert (
        all(SampleMessage.unpack(a[1])[5] >= 0 for _, _, a in again)
        and max(SampleMessage.unpack(a[1])[5] for _, _, a in again) > 0
    )
    count = len(bench.host.named("send_to_peer"))
    judge_of(bench, {n: at for n, at in everybody.items() if n != first[0]})
    judge_of(bench, everybody)  # the first is back, of the same start: it knows
    assert len(bench.host.named("send_to_peer")) == count
    judge_of(bench, everybody | {first[0]: 999})  # it was restarted, and knows nothing
    assert {a[0] for _, _, a in bench.host.named("send_to_peer")[count:]} == {first[0]}


def test_no_word_of_another_gateway_opens_anything():
    bench = Bench(OLD + NEW, news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0])

    def sent(count=40):
        before = len(bench.host.named("send_forward"))
        for _ in range(count):
            bench.hit()
            if bench.host.open:
                bench.end(bench.host.open[0])
            bench.host.now += 10 * MS
        return {a[1][0] for _, _, a in bench.host.named("send_forward")[before:]}

    assert "n" in sent()
    bench.gateway.on_shut(bench.host.now, 2)
    assert sent() == {"i"}
    bench.news(2, 0, "trial", 1.0)
    bench.gateway.on_shut(bench.host.now, None)  # as the host says it once the desk has spoken
    assert "n" in sent()
    tags = [SampleMessage.instance_tag(one["id"], 1) for one in OLD]
    bench.gateway.on_drains(bench.host.now, tags + [1, 2])
    assert sent() == {"n"}
    bench.gateway.on_list(bench.host.now, False, [OLD[0]])
    bench.news(2, 0, "going back", 0.0)
    assert sent() == {"i"}
    bench.gateway.on_shut(bench.host.now, None)  # opens nothing that the desk has shut
    assert sent() == {"i"}


def test_where_keys_stay_no_more_of_them_are_bound_to_a_trial_than_its_cap_serves():
    """One by one all keys were bound to it, and what its cap did not allow was bounced."""
    bench = Bench(
        OLD + NEW, news=(2, 0, "trial", 0.2), stage_caps=[0.2, 1.0], keys_stay=True, exposure_free=50
    )
    for n in range(2_000):
        bench.hit(key=n % 40)
        bench.end(bench.host.open[0])
        bench.host.now += 20 * MS
    assert not bench.host.named("reject_hit")
    bound = [key for key, build in bench.gateway.kept_keys.items() if build.number == 2]
    assert 2 <= len(bound) <= 16  # 8 on the mean
    other = Bench(
        OLD + NEW, news=(2, 0, "trial", 0.2), stage_caps=[0.2, 1.0], keys_stay=True, seed=9, number=2
    )
    assert all(other.gateway.may_bind_key(key, other.gateway.newest) == (key in bound) for key in range(40))
    other.news(2, 1, "trial", 1.0)
    assert all(other.gateway.may_bind_key(key, other.gateway.newest) for key in range(40))
