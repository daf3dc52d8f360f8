"""The whole network in one process: a virtual clock, seeded faults, the rules checked after every step."""
