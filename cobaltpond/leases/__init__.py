"""Leases on a shared allowance: who may use how much, until when, with which fencing token."""
