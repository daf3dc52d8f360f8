"""Deterministic simulation testing: every process on a virtual clock, with seeded faults."""
