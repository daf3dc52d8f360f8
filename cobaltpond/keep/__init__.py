"""What must survive a crash: an append-only journal with checksummed records, snapshots, and explicit
syncs."""

from cobaltpond.keep.journal import Broken, Journal

__all__ = ["Broken", "Journal"]
