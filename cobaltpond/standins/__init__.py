"""Peers for tests and days: instances that work on time instead of CPU, the list, a relay, clients."""
