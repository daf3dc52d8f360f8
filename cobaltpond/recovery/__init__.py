"""Restart recovery: phases, rate limits, warm start, snapshots, and a desk that lost its state."""
