"""Adapter that runs the decisions behind the simulator's protocol; it converts names and units only."""
