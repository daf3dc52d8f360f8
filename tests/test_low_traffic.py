"""Decisions of low-traffic gateways, hundreds of which share the load: a test for each past failure."""

import pytest
from helpers import MS, NEW_ROWS, OLD_ROWS, GatewayDriver, row, steady

from cobaltpond.decisions.records import RandomSource, Sample
from cobaltpond.decisions.sample_message import SampleMessage
from cobaltpond.decisions.stats import max_expected_events, poisson_tail


def test_significance_allows_as_many_false_alarms_as_the_votes_make_harmless():
    assert max_expected_events(1, 0.0001) == pytest.approx(0.0001)
    lone = GatewayDriver(OLD_ROWS, gateways=500).gateway
    many = GatewayDriver(OLD_ROWS, gateways=500, back_votes=25).gateway
    assert (
        many.significance_z < lone.significance_z == many.strict_significance_z
        and many.min_samples < lone.min_samples
    )
    assert poisson_tail(25, max_expected_events(25, 0.0001)) < 0.0001


@pytest.mark.parametrize("left, stall", [(300 * MS, 0), (2000 * MS, 1000 * MS)])
def test_short_deadline_or_stalled_gateway_is_no_evidence_against_an_instance(left, stall):
    driver = GatewayDriver(OLD_ROWS + NEW_ROWS, gateways=100)
    for _ in range(40):
        driver.hit(left=left)
        driver.host.now += stall  # the gateway gets no event meanwhile
        if stall:
            driver.end(driver.host.open[0], "ok")
            driver.gateway.on_wake(driver.host.now, 0)
        driver.run(driver.host.now + 500 * MS)
    assert len(driver.host.calls_named("send_forward")) == 40 and not driver.host.calls_named(
        "cancel_forward"
    )
    assert driver.gateway.admitted_share == 1 and not any(
        b.samples for b in driver.gateway.fleet.builds.values()
    )


def test_errors_below_the_least_number_of_samples_prove_nothing():
    gateway = GatewayDriver(OLD_ROWS + NEW_ROWS, news=(2, 0, "trial", 1.0), gateways=47).gateway
    build = gateway.fleet.builds[2]
    assert gateway.assess_errors(build, "all", (4, 5, 0, 85), gateway.significance_z) == "fine"
    assert gateway.assess_errors(build, "all", (6, 9, 0, 85), gateway.significance_z) == "fail"


def test_where_many_votes_are_needed_a_low_traffic_gateway_votes_on_few_hits():
    votes = []
    for needed in (1, 25):
        many = {"gateways": 500, "back_votes": needed, "stage_caps": [1.0, 1.0]}
        driver = GatewayDriver(OLD_ROWS + NEW_ROWS, news=(2, 0, "trial", 1.0), **many)
        driver.serve(14_000 * MS, steady(400), every=400 * MS)
        votes.append({a[2] for _, _, a in driver.host.calls_named("cast_vote")})
    assert "back" not in votes[0] and "back" in votes[1]


def test_samples_from_before_an_instance_restart_are_ignored():
    """The tag in a message stays the same over a restart, and wrong answers are reported seconds later: both
    may concern the process before the restart, which may have run another build."""
    started = 5_000 * MS
    gateway = GatewayDriver(
        [row("a", 1), row("n", 2, started=started)],
        news=(2, 0, "trial", 1.0),
        gateways=100,
        stage_caps=[1.0, 1.0],
    ).gateway
    instance, build = gateway.fleet.by_id["n"], gateway.fleet.builds[2]
    for now, latency, age in ((5_400 * MS, 900 * MS, 0), (9_000 * MS, 200 * MS, 4_000 * MS)):
        gateway.on_peer(now, 3, SampleMessage.pack(Sample(now, latency, False, instance, 0, 1.0, 0), 0, age))
        gateway.on_wrong_answer(now, "n", "look", now - started + 1)
    assert not any(build.samples.values())
    gateway.on_peer(
        9_000 * MS, 3, SampleMessage.pack(Sample(9_000 * MS, 900 * MS, False, instance, 0, 1.0, 0), 0, 0)
    )
    gateway.on_wrong_answer(9_000 * MS, "n", "look", 1_000 * MS)
    assert len(build.samples["look"]) == 2


def test_judges_get_samples_of_a_build_long_after_its_release():
    """A build that fails only under load may be released before it meets that load. Judges that got samples
    for 2.5 warm-ups after the release only (join+mass at 30 gateways, seed 4) never saw it fail."""
    driver = GatewayDriver(
        OLD_ROWS + NEW_ROWS,
        news=(2, 0, "trial", 1.0),
        gateways=100,
        number=9,
        may_tell=True,
        stage_caps=[1.0, 1.0],
    )
    driver.news(2, 0, "released", 1.0)
    driver.serve(60_000 * MS, steady(), every=400 * MS)
    assert [now for now, *_ in driver.host.calls_named("send_to_peer") if now > 50_000 * MS]


@pytest.mark.parametrize("failing, verdict", [(10, "fail"), (5, "fine")])
def test_long_after_a_release_only_errors_at_most_instances_fail_a_build(failing, verdict):
    """The earlier build has no hits left to compare with: errors of a minority of the instances have another
    cause than the build."""
    news = [row(f"n{n}", 2) for n in range(10)]
    gateway = GatewayDriver(OLD_ROWS + news, news=(2, 0, "released", 1.0), gateways=30).gateway
    build, instances = gateway.fleet.builds[2], [gateway.fleet.by_id[one["id"]] for one in news]
    new = [
        Sample(0, 900, at < 40 // failing and n < failing, instance, 0, 1.0, 0)
        for n, instance in enumerate(instances)
        for at in range(20)
    ]
    counts, window = (40, 200, 2, 200), int(2.5 * gateway.cold_time)
    gateway.assess(build, gateway.stage_started_at + window - 1)
    assert (
        gateway.assess_errors(build, "all", counts, gateway.significance_z, new) == "fail"
    )  # still compared with the earlier build
    gateway.assess(build, gateway.stage_started_at + window)
    assert gateway.assess_errors(build, "all", counts, gateway.significance_z, new) == verdict


@pytest.mark.parametrize("failing, verdict", [(10, "fail"), (5, "fine")])
def test_judge_that_restarted_since_the_release_fails_a_build_on_errors_at_most_instances(failing, verdict):
    """Restarted judges have no record of an earlier build that has gone. With nothing to compare, both judges
    (roll+mass at 30 gateways, seed 8) passed a build that failed a sixth of its hits at nearly all
    instances."""
    news = [row(f"n{n}", 2) for n in range(10)]
    gateway = GatewayDriver(news, news=(2, 0, "released", 1.0), gateways=30).gateway
    build, instances = gateway.fleet.builds[2], [gateway.fleet.by_id[one["id"]] for one in news]
    new = [
        Sample(0, 900, at < 40 // failing and n < failing, instance, 0, 1.0, 0)
        for n, instance in enumerate(instances)
        for at in range(20)
    ]
    gateway.release_settled = True  # the platform counts do not tell the instances
    assert (
        gateway.assess_errors(build, "platform", (60, 100_000, 0, 0), gateway.strict_significance_z) == "fine"
    )
    assert gateway.assess_errors(build, "all", (40, 200, 0, 0), gateway.significance_z, new) == verdict
    gateway.release_settled = False  # the earlier build's record may still come
    assert gateway.assess_errors(build, "all", (40, 200, 0, 0), gateway.significance_z, new) == "fine"


def test_samples_do_not_grow_without_a_release():
    """Evidence that is trimmed only when a build is assessed grows without bound between releases, as it did
    in the soak test on sockets."""
    driver = GatewayDriver([row("a"), row("b")], keys_stay=True)
    for n in range(3000):
        driver.hit(key=n)
        driver.end(driver.host.open[-1])
        driver.host.now += 10 * MS
        driver.host.calls.clear()
    build = driver.gateway.fleet.build(1)
    assert len(build.samples["look"]) <= 480
    driver.news(2, 0, "trial", 0.2)
    driver.news(3, 0, "trial", 0.2)
    assert not driver.gateway.kept_keys


def test_a_late_answer_of_the_earlier_build_does_not_lower_a_kept_key():
    """A forward to the earlier build may be in flight while the new one answers the same key. Its late answer
    bound the key to the earlier build again in a simulated run."""
    driver = GatewayDriver(
        [row("a"), row("b", 2)], news=(2, 0, "trial", 1.0), keys_stay=True, stage_caps=[1.0, 1.0]
    )
    forwards = {}
    while set(forwards) != {"a", "b"}:
        driver.hit(key=7)
        forwards[driver.host.open[-1][3]] = driver.host.open[-1]
    driver.end(forwards["b"])
    driver.host.now += 10 * MS
    driver.end(forwards["a"])
    for forward in list(driver.host.open):
        driver.end(forward)
    driver.host.now += 10 * MS
    before = len(driver.host.calls_named("send_forward"))
    for _ in range(20):
        driver.hit(key=7)
    assert {a[1] for _, _, a in driver.host.calls_named("send_forward")[before:]} == {"b"}


@pytest.mark.parametrize("first", ["news", "newest row"])
def test_gateway_that_starts_during_a_trial_knows_the_earlier_build(first):
    """Whether the news or the list comes first, the build on trial is assessed against the one before it."""
    driver = (
        GatewayDriver([], news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0])
        if first == "news"
        else GatewayDriver([], news=(0, 0, "released", 1.0), stage_caps=[1.0, 1.0])
    )
    driver.gateway.on_list(
        driver.host.now, True, NEW_ROWS + OLD_ROWS if first == "newest row" else OLD_ROWS + NEW_ROWS
    )
    driver.news(2, 0, "trial", 1.0)
    assert driver.gateway.newest.earlier.number == 1
    driver.serve(8_000 * MS, steady(), fails=lambda id: id[0] == "n")
    assert "back" in {verdict for _, _, (_, _, verdict) in driver.host.calls_named("cast_vote")}


def test_few_errors_spread_over_many_instances_fail_a_build():
    """Of 30 instances 12 have one error each: leaving out the worst third of the instances would leave out
    nearly all errors."""
    old, new = (
        [row(f"{mark}{n:02}", build, cell=n // 3) for n in range(30)] for mark, build in (("i", 1), ("n", 2))
    )
    driver = GatewayDriver(old + new, news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0])
    gateway, group = driver.gateway, driver.gateway.groups["look"]
    for n in range(3_600):  # 600 of the new build, of which 12 errors at 12 instances
        instance = gateway.fleet.by_id[f"{'i' if n % 6 else 'n'}{n // 6 % 30:02}"]
        errored = instance.id[0] == "n" and n >= 3_600 - 12 * 6
        latency = (2500 if errored else 80) * MS
        gateway.record_sample(group, Sample(n * MS, latency, errored, instance, n // 1_000, 1.0, 0), n * MS)
    assert gateway.assess(gateway.newest, 3_600 * MS) == "fail"


def test_samples_kept_of_a_busy_build_are_not_biased_towards_long_hits():
    """Survivorship bias: both builds are alike, mostly quick and at times slow, but the newer one gets most
    hits, so its samples reach less far back. Of its hits sent before that only the slow ones are among
    them."""
    old, new = (
        [row(f"{mark}{n:02}", build, cell=n // 3) for n in range(30)] for mark, build in (("i", 1), ("n", 2))
    )
    driver = GatewayDriver(old + new, news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0])
    gateway, group, dice = driver.gateway, driver.gateway.groups["look"], RandomSource(3)
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
    verdicts = []
    for at, n, sample in sorted(ended):
        gateway.record_sample(group, sample, at)
        if n % 200 == 0 and n > 4_000:
            verdicts.append(gateway.assess(gateway.newest, at))
    assert len(verdicts) > 30 and "fail" not in verdicts and verdicts.count("suspect") < len(verdicts) / 5


def test_error_in_a_message_is_placed_in_the_stratum_in_which_it_came():
    """An error counts as a timeout but comes at once: dated back by the timeout it would be compared with
    hits of an earlier, quieter stratum."""
    driver = GatewayDriver(OLD_ROWS + NEW_ROWS, news=(2, 0, "trial", 1.0), may_tell=True, gateways=180)
    gateway = driver.gateway
    instance = gateway.fleet.by_id[NEW_ROWS[0]["id"]]
    for errored in (True, False):
        message = SampleMessage.pack(Sample(0, 2500 * MS, errored, instance, 0, 1.0, 0), 0)
        gateway.on_peer(90_000 * MS, 5, message)
    first, second = instance.build.samples["look"]
    assert (first.stratum, second.stratum) == (
        90_000 * MS // gateway.stratum_length,
        87_500 * MS // gateway.stratum_length,
    )
    assert first.errored and first.latency == 2500 * MS


def judges_after(driver, living):
    """The judges of the newest build once the membership has changed."""
    driver.gateway.on_members(driver.host.now, living)
    return driver.gateway.judges(driver.gateway.newest)


def test_dead_judge_is_replaced_by_one_that_gets_past_samples_and_none_gets_duplicates():
    driver = GatewayDriver(
        OLD_ROWS + NEW_ROWS,
        news=(2, 0, "trial", 1.0),
        stage_caps=[1.0, 1.0],
        may_tell=True,
        gateways=20,
        number=3,
    )
    # this gateway, number 3, is left out so that it is no judge itself
    everybody = {n: 100 + n for n in range(20) if n != 3}
    first = judges_after(driver, everybody)
    driver.serve(3_000 * MS, steady())
    sent = driver.host.calls_named("send_to_peer")
    assert {a[0] for _, _, a in sent} == set(first) and all(len(a[1]) == 8 for _, _, a in sent)
    second = judges_after(driver, {n: at for n, at in everybody.items() if n != first[0]})
    new = [n for n in second if n not in first]
    again = driver.host.calls_named("send_to_peer")[len(sent) :]
    assert len(new) == 1 and {a[0] for _, _, a in again} == set(new) and 8 <= len(again) <= 40
    assert (
        all(SampleMessage.unpack(a[1])[5] >= 0 for _, _, a in again)
        and max(SampleMessage.unpack(a[1])[5] for _, _, a in again) > 0
    )
    count = len(driver.host.calls_named("send_to_peer"))
    judges_after(driver, {n: at for n, at in everybody.items() if n != first[0]})
    judges_after(driver, everybody)  # the first is back with the same start: it has the samples
    assert len(driver.host.calls_named("send_to_peer")) == count
    judges_after(driver, everybody | {first[0]: 999})  # it was restarted and has none
    assert {a[0] for _, _, a in driver.host.calls_named("send_to_peer")[count:]} == {first[0]}


def test_no_report_of_another_gateway_lifts_a_restriction():
    driver = GatewayDriver(OLD_ROWS + NEW_ROWS, news=(2, 0, "trial", 1.0), stage_caps=[1.0, 1.0])

    def sent(count=40):
        before = len(driver.host.calls_named("send_forward"))
        for _ in range(count):
            driver.hit()
            if driver.host.open:
                driver.end(driver.host.open[0])
            driver.host.now += 10 * MS
        return {a[1][0] for _, _, a in driver.host.calls_named("send_forward")[before:]}

    assert "n" in sent()
    driver.gateway.on_build_blocked(driver.host.now, 2)
    assert sent() == {"i"}
    driver.news(2, 0, "trial", 1.0)
    driver.gateway.on_build_blocked(
        driver.host.now, None
    )  # as the host reports it once the desk has answered
    assert "n" in sent()
    tags = [SampleMessage.instance_tag(one["id"], 1) for one in OLD_ROWS]
    driver.gateway.on_drains(driver.host.now, tags + [1, 2])
    assert sent() == {"n"}
    driver.gateway.on_list(driver.host.now, False, [OLD_ROWS[0]])
    driver.news(2, 0, "going back", 0.0)
    assert sent() == {"i"}
    driver.gateway.on_build_blocked(driver.host.now, None)  # lifts nothing that the desk has ordered
    assert sent() == {"i"}


def test_no_more_sticky_keys_are_bound_to_a_trial_than_its_cap_serves():
    """If each hit could bind its key, all keys would be bound to the trial one by one, and the hits beyond
    its cap would be rejected."""
    driver = GatewayDriver(
        OLD_ROWS + NEW_ROWS,
        news=(2, 0, "trial", 0.2),
        stage_caps=[0.2, 1.0],
        keys_stay=True,
        exposure_free=50,
    )
    for n in range(2_000):
        driver.hit(key=n % 40)
        driver.end(driver.host.open[0])
        driver.host.now += 20 * MS
    assert not driver.host.calls_named("reject_hit")
    bound = [key for key, build in driver.gateway.kept_keys.items() if build.number == 2]
    assert 2 <= len(bound) <= 16  # 8 on average
    other = GatewayDriver(
        OLD_ROWS + NEW_ROWS,
        news=(2, 0, "trial", 0.2),
        stage_caps=[0.2, 1.0],
        keys_stay=True,
        seed=9,
        number=2,
    )
    assert all(other.gateway.may_bind_key(key, other.gateway.newest) == (key in bound) for key in range(40))
    other.news(2, 1, "trial", 1.0)
    assert all(other.gateway.may_bind_key(key, other.gateway.newest) for key in range(40))
