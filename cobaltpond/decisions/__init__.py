"""Routing, release evaluation and votes of a gateway, free of I/O; bench and gateway run the same code."""
