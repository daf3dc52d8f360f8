"""Statistics and hashing for the decisions: rank tests, tail probabilities, rendezvous hashing."""

from bisect import bisect_left, bisect_right
from math import comb, exp, factorial, sqrt
from statistics import fmean
from zlib import crc32

SECOND = 1_000_000  # microseconds


def rank_test_z(strata):
    """Returns the z value of a stratified rank test (van Elteren) over pairs (new, old sorted) of latencies,
    with midranks for ties; positive where the new ones are slower. On one pair it equals the rank-sum z of
    docs/design.md exactly."""
    excess = variance = 0.0
    for new, old in strata:
        n, m = len(new), len(old)
        u = sum(bisect_left(old, x) + bisect_right(old, x) for x in new) / 2
        excess += (u - n * m / 2) / (n + m + 1)
        variance += n * m / (n + m + 1) / 12
    return excess / sqrt(variance)


def hypergeometric_tail(marked, n, other_marked, m):
    """Returns the p-value of the exact rank test where all ranks but two are tied: the probability that of
    all marked items, distributed at random over groups of n and m, `marked` or more fall to the group of n.
    """
    all_marked = marked + other_marked
    ways = sum(comb(n, k) * comb(m, all_marked - k) for k in range(marked, min(n, all_marked) + 1))
    return ways / comb(n + m, all_marked)


def poisson_tail(least, expected):
    """Returns the probability of `least` or more rare events where `expected` are expected (Poisson)."""
    return 1 - exp(-expected) * sum(expected**n / factorial(n) for n in range(least))


def max_expected_events(least, probability):
    """Returns how many rare events may be expected for `least` or more of them to come with no more than this
    probability; it is found in steps of a tenth."""
    expected = probability
    while poisson_tail(least, 1.1 * expected) < probability:
        expected *= 1.1
    return expected


def mean_by(items, key, value):
    """Returns the mean of one attribute for each value of another, in order of first appearance."""
    rows = {}
    for item in items:
        rows.setdefault(getattr(item, key), []).append(getattr(item, value))
    return {name: fmean(row) for name, row in rows.items()}


def rendezvous_weight(name, number):
    """Returns the weight, below 2**48, of a number for a name (rendezvous hashing: Thaler, Ravishankar,
    1998). The removal of one number changes nothing among the others. The multiplication carries, which
    breaks the linearity of the checksum."""
    return crc32(f"{number} {name}".encode()) * 0x9E3779B97F4A7C15 % 2**64 >> 16
