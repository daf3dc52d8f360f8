"""Checks the five invariants on events recorded outside the gateway, without any gateway code."""
