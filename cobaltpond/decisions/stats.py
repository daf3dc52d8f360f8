"""Textbook statistics that the rules call; nothing is decided here."""

from bisect import bisect_left, bisect_right
from math import comb, exp, factorial, sqrt
from statistics import fmean
from zlib import crc32

SECOND = 1_000_000  # microseconds


def rank_test_z(strata):
    """The design's z over pairs (new, old sorted) of latencies, summed as in a stratified rank test (van
    Elteren); on one pair it is the design's z to the letter, with midranks for ties."""
    above = spread = 0.0
    for new, old in strata:
        n, m = len(new), len(old)
        u = sum(bisect_left(old, x) + bisect_right(old, x) for x in new) / 2
        above += (u - n * m / 2) / (n + m + 1)
        spread += n * m / (n + m + 1) / 12
    return above / sqrt(spread)


def hypergeometric_tail(marked, n, other_marked, m):
    """The rank test where all ranks but two are tied, exactly: the chance that of all the marked, dealt out
    blindly, so many or more fall to the n and not to the m."""
    every = marked + other_marked
    ways = sum(comb(n, k) * comb(m, every - k) for k in range(marked, min(n, every) + 1))
    return ways / comb(n + m, every)


def poisson_tail(least, expected):
    """The chance of `least` or more rare events where so many are expected (Poisson)."""
    return 1 - exp(-expected) * sum(expected**n / factorial(n) for n in range(least))


def max_expected_events(least, chance):
    """So many rare events may be expected that `least` or more of them come with no more than this chance."""
    expected = chance
    while poisson_tail(least, 1.1 * expected) < chance:
        expected *= 1.1
    return expected


def mean_by(items, key, value):
    """The mean of one attribute for each value of another, in order of first appearance."""
    rows = {}
    for item in items:
        rows.setdefault(getattr(item, key), []).append(getattr(item, value))
    return {name: fmean(row) for name, row in rows.items()}


def rendezvous_weight(name, number):
    """Rendezvous hashing (Thaler, Ravishankar, 1998): the lot that a number draws for a name. Who is gone
    changes nothing among the others. The product carries, which spares the checksum's being linear."""
    return crc32(f"{number} {name}".encode()) * 0x9E3779B97F4A7C15 % 2**64 >> 16
