"""Seeded chance for stand-ins and tools; the decisions have their own (`decisions/records.py`)."""

from random import Random


def seeded_random(seed) -> Random:
    """The same draws for the same seed."""
    return Random(seed)
