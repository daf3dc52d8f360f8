"""Rate limits: compiled and reference implementation agree on generated input; invalid settings; the lease
model.
"""

import os
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cobaltpond.limits.compiled import CompiledLimits
from cobaltpond.limits.reference import ReferenceLimits
from cobaltpond.limits.rules import HitAttributes, Limit
from cobaltpond.settings import SettingsError, read_settings
from cobaltpond.settings.limits import canonical_limits

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "bench"))
EXAMPLES = int(os.environ.get("COBALTPOND_EXAMPLES", "80"))
S = 1_000_000
GROUPS = {"look": "repeatable", "buy": "tagged"}


@st.composite
def limits(draw):
    """Up to five limits, some of them within the first."""
    out = []
    for n in range(draw(st.integers(1, 5))):
        counts, share = draw(st.sampled_from(["hits", "tries", "repeats"])), draw(st.booleans()) and n > 0
        by = draw(st.sampled_from(["nothing", "customer", "key"]))
        within = out[0].name if out and not share and out[0].rate and draw(st.booleans()) else ""
        out.append(
            Limit(
                f"l{n}",
                "repeats" if share else counts,
                by,
                0 if share else draw(st.integers(1, 20_000)),
                draw(st.integers(1, 6)),
                "tries" if share else "",
                draw(st.integers(1, 900)) if share else 0,
                within,
                draw(st.integers(0, out[0].rate)) if within else 0,
                draw(st.sampled_from(["bounce", "bounce", "count"])),
                draw(st.booleans()),
                draw(st.integers(0, 4)) == 0,
                keys=1000,
                group=draw(st.sampled_from([None, None, *GROUPS])),
                customer=draw(st.sampled_from([None, None, "ann"])),
            )
        )
    return out


HITS = st.lists(
    st.tuples(
        st.integers(0, 400_000),
        st.sampled_from(list(GROUPS)),
        st.sampled_from([None, "ann", "bob"]),
        st.sampled_from([None, 1, 2]),
        st.booleans(),
    ),
    max_size=60,
)


@settings(max_examples=EXAMPLES, deadline=None)
@given(limits(), HITS)
def test_compiled_and_reference_limits_agree(drawn, hits):
    reference, compiled, now = ReferenceLimits(drawn), CompiledLimits(drawn), 5 * S
    for wait, group, customer, key, again in hits:
        now += wait
        hit = HitAttributes(group, GROUPS[group], customer, key, again)
        assert compiled.check(now, hit) == reference.check(now, hit)


def count_verdicts(limits_, hits):
    """(passed, rejected) of hits, given as (time, hit)."""
    compiled = CompiledLimits(limits_)
    passes = [compiled.check(at, hit).rejected_by is None for at, hit in hits]
    return sum(passes), len(passes) - sum(passes)


def test_no_second_exceeds_rate_and_burst_and_the_advised_wait_suffices():
    limit = Limit("a", "hits", "nothing", 10_000, 5)
    compiled, passed = CompiledLimits([limit]), []
    for at in range(0, 10 * S, 7_001):
        verdict = compiled.check(at, HitAttributes("look", "repeatable"))
        if verdict.rejected_by is None:
            passed.append(at)
        else:
            assert 0 < verdict.wait_us <= 100_000
            probe = CompiledLimits([limit])
            probe.levels["a"].buckets[None] = list(compiled.levels["a"].buckets[None])
            assert (
                probe.check(at + verdict.wait_us, HitAttributes("look", "repeatable")).rejected_by is None
            )  # the advised wait suffices
    for begin in range(0, 9 * S, S // 10):
        assert sum(begin <= at < begin + S for at in passed) <= 15
    assert 100 <= len(passed) <= 106


def test_retries_are_limited_to_a_share_of_first_tries():
    limit = Limit("retries", "repeats", "nothing", 0, 2, "tries", 200)
    first, again = HitAttributes("look", "repeatable"), HitAttributes("look", "repeatable", is_retry=True)
    passed, bounced = count_verdicts([limit], [(n, again) for n in range(5)])
    assert (passed, bounced) == (2, 3)  # only the burst
    hits = [(n, again if n % 2 else first) for n in range(200)]
    passed, bounced = count_verdicts([limit], hits)
    assert 118 <= passed <= 123  # all first tries, a fifth as many retries, and the burst


def test_a_guarantee_holds_while_the_parent_limit_is_over():
    house = Limit("house", "hits", "nothing", 10_000, 1)
    floor = Limit("floor", "hits", "customer", 9_000, 3, within="house", least=2_000)
    compiled, passed = CompiledLimits([house, floor]), {"ann": 0, "bob": 0}
    for at in range(0, 10 * S, 10_000):
        for customer, times in (("ann", 9), ("bob", 1 if at % 500_000 == 0 else 0)):
            for _ in range(times):
                passed[customer] += (
                    compiled.check(at, HitAttributes("look", "repeatable", customer)).rejected_by is None
                )
    assert passed["bob"] == 20  # its guaranteed two a second, whatever the other customer sends
    assert 90 <= passed["ann"] <= 125


def test_a_limit_on_trial_counts_and_rejects_nothing():
    compiled = CompiledLimits([Limit("t", "hits", "nothing", 1_000, 1, trial=True)])
    verdicts = [compiled.check(0, HitAttributes("look", "repeatable")) for _ in range(10)]
    assert all(v.rejected_by is None for v in verdicts) and sum(v.exceeded == ("t",) for v in verdicts) == 9
    assert compiled.counts == {"t": [1, 9]}


def test_buckets_of_many_values_stay_bounded_and_err_on_the_strict_side():
    compiled = CompiledLimits([Limit("k", "hits", "key", 1_000, 1, keys=100)])
    for n in range(100_000):
        compiled.check(n * 100, HitAttributes("look", "repeatable", key=n))
    assert len(compiled.levels["k"].buckets) <= 101
    rows = CompiledLimits([Limit("k", "hits", "key", 1, 1, keys=3)])
    assert [rows.check(n, HitAttributes("look", "repeatable", key=n)).rejected_by for n in range(6)] == [
        None
    ] * 3 + [
        None,
        "k",
        "k",
    ]


# --- settings -----------------------------------------------------------------------------------------------

EXAMPLE = open("examples/resale.star").read()
VALID_LIMITS = """\
limit(name = "buys", where = where(group = "resale-buy"), by = "customer", rate = per_second(40), \
burst = 80)
limit(name = "all", rate = per_second(900), burst = 100)
limit(name = "floor", by = "customer", rate = per_second(500), burst = 10, within = "all", least = 0.1)
limit(name = "retries", counts = "repeats", share_of = "tries", most = 0.2, burst = 20, \
over = bounce(advice = False))
limit(name = "taste", by = "key", rate = per_minute(30), keys = 500, trial = True, over = only_count())
"""


def test_settings_with_limits_are_read_and_their_digest_ignores_the_order():
    deployment = read_settings("x", EXAMPLE + VALID_LIMITS)
    assert [limit.name for limit in deployment.limits] == ["buys", "all", "floor", "retries", "taste"]
    assert deployment.limits[0].rate == 40_000 and deployment.limits[4].rate == 500
    lines = VALID_LIMITS.splitlines()
    other = read_settings("x", EXAMPLE + "\n".join([lines[3], lines[1], lines[2], lines[4], lines[0]]))
    assert (
        canonical_limits(deployment.limits) == canonical_limits(other.limits)
        and deployment.digest() == other.digest()
    )
    assert deployment.digest() != read_settings("x", EXAMPLE + VALID_LIMITS.replace("(40)", "(41)")).digest()


@pytest.mark.parametrize(
    "line, expected",
    [
        ('limit(name = "a")', "either a rate or a share_of"),
        (
            'limit(name = "a", rate = per_second(1), share_of = "tries", most = 0.1)',
            "either a rate or a share_of",
        ),
        ('limit(name = "a", rate = 40)\nlimit(name = "a", rate = 41)', "two limits are called 'a'"),
        ('limit(name = "a", counts = "visits", rate = per_second(1))', "counts"),
        ('limit(name = "a", counts = "repeats", share_of = "tries")', "needs most"),
        ('limit(name = "a", counts = "hits", share_of = "tries", most = 0.1)', "share of itself"),
        ('limit(name = "a", rate = per_second(1), where = where(group = "nope"))', "no path group 'nope'"),
        ('limit(name = "a", rate = per_second(1), where = where(customer = "nope"))', "no customer 'nope'"),
        ('limit(name = "a", rate = per_second(1), where = where(color = "red"))', "color"),
        (
            'limit(name = "a", rate = per_second(1), by = "customer", '
            'where = where(customer = "emajoe-hall"))',
            "leave out one",
        ),
        ('limit(name = "a", rate = per_second(1), scope = "fleet")', "needs members"),
        ('limit(name = "a", rate = per_second(1), least = 0.5)', "say which one with within"),
        ('limit(name = "a", rate = per_second(1), within = "b")', "no limit 'b' above this line"),
        (
            'limit(name = "b", rate = per_second(1))\nlimit(name = "a", rate = per_second(2), within = "b")',
            "never binds",
        ),
        (
            'limit(name = "b", rate = per_second(9), where = where(group = "transfer"))\n'
            'limit(name = "a", rate = per_second(2), within = "b")',
            "does not count all",
        ),
        (
            'limit(name = "b", rate = per_second(9))\n'
            'limit(name = "a", by = "customer", rate = per_second(8), within = "b", least = 0.4)',
            "come to 1.20 of it",
        ),
        (
            'limit(name = "b", rate = per_second(9))\n'
            'limit(name = "a", rate = per_second(1), within = "b", least = 0.5)',
            "more than 'a' itself allows",
        ),
        (
            'limit(name = "b", rate = per_second(9))\nlimit(name = "a", rate = per_second(8))',
            "'b' never binds beside 'a'",
        ),
        ('limit(name = "a", rate = per_second(1), burst = 0)', "burst"),
    ],
)
def test_an_invalid_limit_is_reported_with_its_line(line, expected):
    with pytest.raises(SettingsError) as error:
        read_settings("f.star", EXAMPLE + line + "\n")
    number = len((EXAMPLE + line).splitlines())
    assert expected in str(error.value) and str(error.value).startswith(
        f"f.star:{number}: limit"
    ), error.value


# --- leases -------------------------------------------------------------------------------------------------


def test_no_interleaving_of_the_lease_model_exceeds_the_pool():
    """A shallow search; a deeper one is run by hand: `bench/leases_model.py --depth 7`."""
    from leases_model import search

    for depth, apart in ((4, False), (3, True)):
        worlds, path = search(depth, apart=apart)
        assert path is None and worlds > 500, (worlds, path)


@pytest.mark.parametrize(
    "name",
    [
        "no wait",
        "stands still unnoticed",
        "whole pool in a split",
        "forgets what is out",
        "forgets an older lease",
        "counts from its coming",
    ],
)
def test_the_search_finds_each_injected_fault(name):
    from leases_model import INJECTED_FAULTS, search_with_fault

    worlds, path = search_with_fault(name, 8, most=12_000)
    assert name in INJECTED_FAULTS and path is not None and " of 6" in path[-1], (worlds, path)
