"""Seeded random numbers for stand-ins and tools. The decisions have their own generator
(`decisions/records.py`).
"""

from random import Random


def seeded_random(seed) -> Random:
    """Returns a generator that makes the same draws for the same seed."""
    return Random(seed)
