"""Parts of `mixed_revisions.py`: programs of two checkouts side by side, observed from outside only."""
