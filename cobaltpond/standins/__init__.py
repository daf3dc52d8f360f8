"""Simulated peers for tests and scenarios: instances that use time instead of CPU, clients, a relay."""
