"""Runs a scripted scenario over real sockets: processes, injected faults, invariant checks and a report."""
