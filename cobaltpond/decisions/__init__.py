"""The decisions of the hit path and of the votes, free of I/O; the same text serves bench and gateway."""
