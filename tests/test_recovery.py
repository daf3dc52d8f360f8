"""Recovery of a gateway, free of I/O: phases, rate limits, warm start, and the time to full service."""

import json
import os

import pytest
from helpers import MS, NEW_ROWS, OLD_ROWS, GatewayDriver, row
from hypothesis import given, settings
from hypothesis import strategies as st

from cobaltpond.decisions.records import RandomSource
from cobaltpond.recovery.measure import max_in_window, time_to_full_service
from cobaltpond.recovery.phases import (
    ADMIT_HITS,
    ALL_SOURCES_KNOWN,
    BLANK,
    CAUGHT_UP,
    HEARING,
    PERMISSIONS,
    PHASE_ORDER,
    PROCESS_STALLED,
    SERVING,
    SETTLED,
    SOURCE_KNOWN,
    TIMED_OUT,
    TRANSITIONS,
    VOTE_ON,
    WARM_START_DONE,
    WARMING,
    PhaseMachine,
    ServiceWindow,
)
from cobaltpond.recovery.rate_limiter import AnswerRateLimiter, DialRateLimiter, RecentStarts, StartJitter
from cobaltpond.recovery.warm_start import MAX_ROWS, SILENT, WarmStart, notable_rows, start_mark

EXAMPLES = int(os.environ.get("COBALTPOND_EXAMPLES", "60"))
S = 1_000_000
LONGEST = {BLANK: 3 * S, HEARING: 3 * S, WARMING: S // 2, SERVING: 10 * S}


# --- phases -------------------------------------------------------------------------------------------------


@settings(max_examples=EXAMPLES, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2 * S),
            st.sampled_from(
                [SOURCE_KNOWN, ALL_SOURCES_KNOWN, WARM_START_DONE, CAUGHT_UP, PROCESS_STALLED, "tick"]
            ),
        ),
        max_size=30,
    )
)
def test_phases_follow_the_table_and_never_exceed_their_maximum_time(events):
    machine, now, seen = PhaseMachine(0, LONGEST), 0, []
    machine.on_change = lambda before, cause: seen.append((before, cause, machine.phase))
    for wait, what in events:
        now += wait
        machine.tick(now)
        assert machine.phase not in LONGEST or now - machine.since < LONGEST[machine.phase]
        if what != "tick":
            machine.apply_cause(now, what)
    assert all(TRANSITIONS[before][cause] == after for before, cause, after in seen)
    machine.tick(now + sum(LONGEST.values()))
    assert machine.phase == SETTLED


def test_permissions_only_grow_and_only_the_blank_phase_refuses_hits():
    kept = [set(PERMISSIONS[phase]) - {"ask"} for phase in PHASE_ORDER]
    assert all(one <= other for one, other in zip(kept, kept[1:], strict=False))
    assert [phase for phase in PHASE_ORDER if ADMIT_HITS not in PERMISSIONS[phase]] == [BLANK]
    assert [phase for phase in PHASE_ORDER if VOTE_ON in PERMISSIONS[phase]] == [SETTLED]
    assert all(TIMED_OUT in TRANSITIONS[phase] for phase in PHASE_ORDER if phase != SETTLED)


def test_a_stalled_gateway_returns_to_the_warming_phase():
    machine = PhaseMachine(0, LONGEST)
    for cause in (SOURCE_KNOWN, ALL_SOURCES_KNOWN, WARM_START_DONE, CAUGHT_UP):
        assert machine.apply_cause(1, cause)
    assert (
        machine.phase == SETTLED
        and machine.apply_cause(2, PROCESS_STALLED)
        and machine.phase == WARMING
        and not machine.is_allowed(VOTE_ON)
    )
    assert not machine.apply_cause(3, SOURCE_KNOWN) and machine.status(5)["since_us"] == 3


def test_service_window_needs_a_full_second_of_delivered_hits_or_little_traffic():
    window = ServiceWindow()
    for n in range(11):
        window.record(n * 100 * MS, 10 * n, 9 * n)
    assert not window.is_caught_up()
    window = ServiceWindow()
    for n in range(11):
        window.record(n * 100 * MS, 10 * n, 10 * n)
        assert window.is_caught_up() == (n == 10)
    quiet = ServiceWindow()
    quiet.record(0, 0, 0)
    quiet.record(S, 7, 0)
    assert quiet.is_caught_up()


# --- rate limits --------------------------------------------------------------------------------------------


@pytest.mark.parametrize("count", [1, 3, 30, 200])
def test_dials_of_all_gateways_to_one_target_stay_within_its_rate(count):
    """Thundering herd: all gateways start at once, want a connection at every moment and use every turn; then
    the target resets all of them.
    """
    rate, chance = 40.0, RandomSource(7)
    fleet = [
        DialRateLimiter(rate, lambda: count, RandomSource(chance.randbelow(1 << 30))) for _ in range(count)
    ]
    times, first = [], {}
    for now in range(0, 20 * S, 5 * MS):
        for n, limiter in enumerate(fleet):
            if limiter.try_acquire("i0", now):
                times.append(now)
                first.setdefault(n, now)
    # Some of 200 random offsets lie close together: the mean is the rate, but one second may exceed it by
    # three square roots of the rate.
    assert len(times) / 20 <= rate * 1.02 and max_in_window(times) <= rate + 3 * rate**0.5
    assert len(first) == count and max(first.values()) <= count * S / rate + 5 * MS


def test_an_unused_dial_turn_expires():
    limiter = DialRateLimiter(10.0, lambda: 100, RandomSource(3))  # one every 10 s, for half a second
    due = [now for now in range(0, 30 * S, 10 * MS) if limiter.is_due("i0", now)]
    assert 3 * 45 <= len(due) <= 3 * 51
    begin = due[0]
    assert limiter.try_acquire("i0", begin) and not limiter.try_acquire("i0", begin + 10 * MS)
    assert not any(limiter.is_due("i0", now) for now in range(begin, begin + 9 * S, 10 * MS))
    later = [now for now in range(begin + 9 * S, begin + 11 * S, 10 * MS) if limiter.is_due("i0", now)]
    assert later and limiter.try_acquire("i0", later[-1])
    limiter.retain({"i1": 1})
    assert limiter.offsets == limiter.last_used == {}


def test_recent_starts_are_estimated_from_the_members_heard():
    recent_starts = RecentStarts(200)
    assert (
        recent_starts.count(100 * S) == 200 and recent_starts.member_count() == 200
    )  # nobody heard: all may have just started
    recent_starts.update({n: 0 for n in range(199)})
    assert recent_starts.count(100 * S) == 1 and recent_starts.member_count() == 199
    recent_starts.update({n: 0 if n < 60 else 98 * S for n in range(199)})
    assert 130 <= recent_starts.count(100 * S) <= 150
    recent_starts.update({1: 0, 2: 0})  # the smaller side of a partition asks for no more
    assert recent_starts.member_count() == 100
    jitter = StartJitter(100.0, RandomSource(1))
    assert max(jitter.draw_delay(200) for _ in range(500)) <= 2 * S and jitter.draw_delay(1) <= 10 * MS


def test_a_donor_limits_its_answers():
    answers = AnswerRateLimiter(20)
    allowed = [answers.try_acquire(5 * S + n, n % 50) for n in range(200)]
    assert sum(allowed) == 20 and answers.try_acquire(6 * S, 3)
    one = AnswerRateLimiter(20)
    assert [one.try_acquire(0, 1) for _ in range(6)] == [True] * 4 + [False] * 2


# --- warm start ---------------------------------------------------------------------------------------------


def test_only_evidence_against_an_instance_is_sent_the_worst_first():
    rows = [(n, 1.0, 2, 0.0, 0, 0) for n in range(100)] + [
        (200, 1.0, 9, 0.0, SILENT, 0),
        (201, 4.0, 9, 0.0, 0, 0),
        (202, 1.0, 0, 0.9, 0, 0),
    ]
    assert [row_[0] for row_ in notable_rows(rows)] == [200, 202, 201]
    assert len(notable_rows([(n, 9.0, 1, 0, 0, 0) for n in range(500)])) == MAX_ROWS


def warm_start_after_answers(rows_by_donor, window=12 * S, now=0):
    warm = WarmStart(window, RandomSource(1), now)
    to = warm.due_requests(now, sorted(rows_by_donor))
    for number in to:
        warm.apply_response(number, rows_by_donor[number])
    return warm, to


def test_two_donors_are_asked_and_the_worse_report_counts_weighted_by_age():
    a, b = start_mark("a", 1, 5), start_mark("b", 1, 5)
    warm, to = warm_start_after_answers(
        {1: [(a, 3.0, 10, 0.0, SILENT, 0), (b, 2.0, 4, 0.5, SILENT, 6 * S)], 2: [(a, 2.0, 20, 0.1, 0, 0)]}
    )
    assert sorted(to) == [1, 2] and warm.is_over(0) and warm.due_requests(1, [1, 2, 3]) == []
    assert warm.accepted_rows({a: "a", b: "b"}) == sorted(
        [
            ("a", 3.0, 20.0, 0.1, False),  # silent to one of two donors: a broken link of that donor
            ("b", 1.5, 2.0, 0.25, False),
        ],
        key=lambda r: {"a": a, "b": b}[r[0]],
    )


@settings(max_examples=EXAMPLES, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 9),
            st.floats(0, 12),
            st.integers(0, 255),
            st.floats(0, 1),
            st.integers(0, 1),
            st.integers(0, 30 * S),
        ),
        max_size=40,
    )
)
def test_no_report_makes_an_instance_look_better_than_unknown(rows):
    warm, _ = warm_start_after_answers({1: rows, 2: rows[::2]})
    for _, latency_ratio, load, faults, silent in warm.accepted_rows({n: f"i{n}" for n in range(10)}):
        assert latency_ratio >= 1 and load >= 0 and 0 <= faults <= 1
        assert not silent or any(flags and age < 6 * S for _, _, _, _, flags, age in rows)


def test_reports_on_earlier_starts_too_old_or_from_unasked_senders_are_dropped():
    old, new = start_mark("a", 1, 5), start_mark("a", 1, 6)
    warm, _ = warm_start_after_answers(
        {1: [(old, 5.0, 10, 1.0, SILENT, 0), (new, 5.0, 10, 1.0, SILENT, 12 * S)]}
    )
    warm.apply_response(7, [(new, 5.0, 1, 1.0, 1, 0)])
    assert warm.accepted_rows({new: "a"}) == [] and warm.counts["stale"] == 2


def test_without_donors_nothing_waits_and_a_failed_donor_is_replaced():
    warm = WarmStart(S, RandomSource(1), 0)
    assert warm.due_requests(0, []) == [] and not warm.is_over(S - 1) and warm.is_over(S)
    warm = WarmStart(S, RandomSource(1), 0)
    first = warm.due_requests(0, [1, 2, 3, 4])
    left = [n for n in (1, 2, 3, 4) if n not in first]
    again = warm.due_requests(100 * MS, left)
    assert len(first) == 2 and sorted(again) == left


def test_decisions_accept_reports_only_on_instances_not_observed_themselves():
    driver = GatewayDriver(OLD_ROWS)
    driver.hit()
    driver.host.now += 50 * MS
    known_id = driver.host.open[0][3]
    driver.end(driver.host.open[0])
    others = [r["id"] for r in OLD_ROWS if r["id"] != known_id]
    driver.gateway.on_warm_start(
        driver.host.now,
        [
            (known_id, 9.0, 50, 0.9, True),
            (others[0], 9.0, 0, 0.0, False),
            (others[1], 1.0, 0, 0.0, True),
            ("gone", 2.0, 1, 1, True),
        ],
        [],
    )
    by_id = driver.gateway.fleet.by_id
    assert by_id[known_id].latency_ratio < 2 and by_id[known_id].ejected_until == 0
    assert by_id[others[0]].latency_ratio == 9.0 and by_id[others[1]].ejected_until > driver.host.now
    for _ in range(8):
        driver.hit()
    used = [f[3] for f in driver.host.open]
    assert others[0] not in used and others[1] not in used and len(used) == 8


def test_sticky_keys_are_restored_only_for_the_newest_build():
    driver = GatewayDriver(OLD_ROWS + NEW_ROWS, news=(2, 0, "trial", 0.5), keys_stay=True)
    driver.gateway.on_warm_start(0, [], [(7, 2), (8, 1), (9, 3)])
    assert {key: build.number for key, build in driver.gateway.kept_keys.items()} == {7: 2}


def test_a_gateway_in_a_restart_loop_stays_within_the_cap_of_a_trial():
    """Each start once granted two free hits: a gateway that crashed every 300 ms sent a third of all hits to
    a build with a cap of a twentieth.
    """
    sent = taken = 0
    for seed in range(20):
        driver = GatewayDriver(
            OLD_ROWS + NEW_ROWS, seed=seed, news=(2, 0, "trial", 0.05), stage_caps=[0.05, 1.0]
        )
        for _ in range(10):
            driver.host.now += 30 * MS
            driver.hit()
            for forward in list(driver.host.open):
                driver.end(forward)
        taken += 10
        sent += sum(a[1].startswith("n") for _, _, a in driver.host.calls_named("send_forward"))
    assert sent <= 0.05 * taken + 2 and taken == 200


# --- time to full service -----------------------------------------------------------------------------------


def test_full_service_needs_the_earlier_share_and_all_gateways_settled():
    hits = [(at, not 10 * S <= at < 12 * S) for at in range(0, 20 * S, 10 * MS)]
    assert time_to_full_service(hits, 10 * S, 20 * S, 11 * S) == pytest.approx(2.95 * S, abs=0.11 * S)
    assert time_to_full_service(hits, 10 * S, 20 * S, 16 * S) == 6 * S
    assert time_to_full_service(hits, 10 * S, 20 * S, None) is None
    assert time_to_full_service(hits[:1100], 10 * S, 11 * S, 10 * S) is None
    assert max_in_window([0, 1, S - 1, S, 3 * S]) == 3


def test_invalid_recovery_settings_are_refused():
    from cobaltpond.settings import SettingsError, read_settings

    text = open("examples/resale.star").read()
    assert (
        read_settings("x", text).recovery is None and not read_settings("x", text).policy_settings(0)["paced"]
    )
    deployment = read_settings("x", text + "recovery(dials = 30.0, calls = 100.0)\n")
    assert deployment.policy_settings(0)["paced"] and deployment.recovery.warm
    assert json.loads(json.dumps(deployment.policy_settings(0)))["paced"]
    for bad, why in (
        ("dials = 0.01", "dials below 0.1"),
        ("calls = 0.05", "calls below 0.1"),
        ("hear = 3", "a time"),
    ):
        with pytest.raises(SettingsError, match=why):
            read_settings("x", text + f"recovery({bad})\n")


def test_an_instance_without_a_dial_turn_gets_no_forward():
    """The host limits dials; the decisions choose among reachable instances, and hold or reject the hit if
    there is none.
    """
    driver = GatewayDriver([row("a"), row("b")], paced=True)
    driver.host.is_reachable = lambda id: id == "b"
    for _ in range(3):
        driver.hit()
    assert [f[3] for f in driver.host.open] == ["b"] * 3
    driver.host.is_reachable = lambda id: False
    driver.hit()
    driver.run(400 * MS)
    assert len(driver.host.calls_named("reject_hit")) == 1


def test_the_reservation_of_a_cancelled_forward_expires():
    """A forward that was cancelled before it connected left its reservation behind, and from then on the
    instance was reachable only in dial turns. Found by reading the code.
    """
    from types import SimpleNamespace

    from cobaltpond.gateway.endpoints import RESERVATION_TIME_US, EndpointPool, InstanceEndpoint

    loop = SimpleNamespace(clock=S)
    loop.now = lambda: loop.clock
    endpoints = EndpointPool(loop, SimpleNamespace(rest_time=0, idle_time=15 * S))
    endpoints.dial_limiter = SimpleNamespace(
        is_due=lambda name, now: False, try_acquire=lambda name, now: False
    )
    endpoint = InstanceEndpoint({"id": "i0"}, ("127.0.0.1", 1))
    endpoint.idle.append((object(), 0))
    assert endpoints.is_reachable(endpoint)
    endpoints.reserve(endpoint)
    assert not endpoints.is_reachable(endpoint)  # the reserved forward uses the idle connection
    loop.clock += RESERVATION_TIME_US + 1
    assert endpoints.is_reachable(endpoint)
