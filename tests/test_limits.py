"""Limits: the definition and the compiled form agree on drawn limits and hits; what a sheet may not say;
leases."""

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
    """Up to five, of which some lie within the first."""
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
def test_the_compiled_form_says_what_the_definition_says(drawn, hits):
    plain, compiled, now = ReferenceLimits(drawn), CompiledLimits(drawn), 5 * S
    for wait, group, customer, key, again in hits:
        now += wait
        hit = HitAttributes(group, GROUPS[group], customer, key, again)
        assert compiled.check(now, hit) == plain.check(now, hit)


def asked(limits_, hits):
    """(let through, bounced) of hits as (when, hit)."""
    compiled = CompiledLimits(limits_)
    said = [compiled.check(at, hit).by is None for at, hit in hits]
    return sum(said), len(said) - sum(said)


def test_no_second_sees_more_than_rate_and_burst_and_advice_is_kept():
    limit = Limit("a", "hits", "nothing", 10_000, 5)
    compiled, through = CompiledLimits([limit]), []
    for at in range(0, 10 * S, 7_001):
        verdict = compiled.check(at, HitAttributes("look", "repeatable"))
        if verdict.by is None:
            through.append(at)
        else:
            assert 0 < verdict.wait <= 100_000
            probe = CompiledLimits([limit])
            probe.levels["a"].buckets[None] = list(compiled.levels["a"].buckets[None])
            assert (
                probe.check(at + verdict.wait, HitAttributes("look", "repeatable")).by is None
            )  # there is room then
    for begin in range(0, 9 * S, S // 10):
        assert sum(begin <= at < begin + S for at in through) <= 15
    assert 100 <= len(through) <= 106


def test_repeats_as_a_share_of_first_tries_count_nothing_else():
    limit = Limit("retries", "repeats", "nothing", 0, 2, "tries", 200)
    first, again = HitAttributes("look", "repeatable"), HitAttributes("look", "repeatable", again=True)
    through, bounced = asked([limit], [(n, again) for n in range(5)])
    assert (through, bounced) == (2, 3)  # the burst, and no more
    hits = [(n, again if n % 2 else first) for n in range(200)]
    through, bounced = asked([limit], hits)
    assert 118 <= through <= 123  # all first tries, a fifth as many repeats, and the burst


def test_a_guarantee_holds_when_what_it_lies_within_is_over():
    house = Limit("house", "hits", "nothing", 10_000, 1)
    floor = Limit("floor", "hits", "customer", 9_000, 3, within="house", least=2_000)
    compiled, through = CompiledLimits([house, floor]), {"ann": 0, "bob": 0}
    for at in range(0, 10 * S, 10_000):
        for customer, times in (("ann", 9), ("bob", 1 if at % 500_000 == 0 else 0)):
            for _ in range(times):
                through[customer] += (
                    compiled.check(at, HitAttributes("look", "repeatable", customer)).by is None
                )
    assert through["bob"] == 20  # all of its two a second, whatever the other one wants
    assert 90 <= through["ann"] <= 125


def test_a_limit_on_trial_counts_and_bounces_nobody():
    compiled = CompiledLimits([Limit("t", "hits", "nothing", 1_000, 1, trial=True)])
    verdicts = [compiled.check(0, HitAttributes("look", "repeatable")) for _ in range(10)]
    assert all(v.by is None for v in verdicts) and sum(v.over == ("t",) for v in verdicts) == 9
    assert compiled.counts == {"t": [1, 9]}


def test_a_hundred_thousand_values_are_kept_within_the_bound_and_on_the_strict_side():
    compiled = CompiledLimits([Limit("k", "hits", "key", 1_000, 1, keys=100)])
    for n in range(100_000):
        compiled.check(n * 100, HitAttributes("look", "repeatable", key=n))
    assert len(compiled.levels["k"].buckets) <= 101
    rows = CompiledLimits([Limit("k", "hits", "key", 1, 1, keys=3)])
    assert [rows.check(n, HitAttributes("look", "repeatable", key=n)).by for n in range(6)] == [None] * 3 + [
        None,
        "k",
        "k",
    ]


# --- the sheet ----------------------------------------------------------------------------------------------

EXAMPLE = open("examples/resale.star").read()
FINE = """limit(name = "buys", where = where(group = "resale-buy"), by = "customer", rate = per_second(40), \
burst = 80)
limit(name = "all", rate = per_second(900), burst = 100)
limit(name = "floor", by = "customer", rate = per_second(500), burst = 10, within = "all", least = 0.1)
limit(name = "retries", counts = "repeats", share_of = "tries", most = 0.2, burst = 20, \
over = bounce(advice = False))
limit(name = "taste", by = "key", rate = per_minute(30), keys = 500, trial = True, over = only_count())
"""


def test_a_sheet_with_limits_is_read_and_its_digest_does_not_know_their_order():
    sheet = read_settings("x", EXAMPLE + FINE)
    assert [limit.name for limit in sheet.limits] == ["buys", "all", "floor", "retries", "taste"]
    assert sheet.limits[0].rate == 40_000 and sheet.limits[4].rate == 500
    lines = FINE.splitlines()
    other = read_settings("x", EXAMPLE + "\n".join([lines[3], lines[1], lines[2], lines[4], lines[0]]))
    assert (
        canonical_limits(sheet.limits) == canonical_limits(other.limits) and sheet.digest() == other.digest()
    )
    assert sheet.digest() != read_settings("x", EXAMPLE + FINE.replace("(40)", "(41)")).digest()


@pytest.mark.parametrize(
    "line, said",
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
def test_what_a_limit_may_not_say_is_named_with_its_line(line, said):
    with pytest.raises(SettingsError) as error:
        read_settings("f.star", EXAMPLE + line + "\n")
    number = len((EXAMPLE + line).splitlines())
    assert said in str(error.value) and str(error.value).startswith(f"f.star:{number}: limit"), error.value


# --- leases -------------------------------------------------------------------------------------------------


def test_no_interleaving_of_a_small_world_of_leases_passes_its_bound():
    """Further down by hand: `bench/leases_model.py --depth 7`."""
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
def test_the_search_finds_what_is_broken_on_purpose(name):
    from leases_model import BREAKS, broken

    worlds, path = broken(name, 8, most=12_000)
    assert name in BREAKS and path is not None and " of 6" in path[-1], (worlds, path)
