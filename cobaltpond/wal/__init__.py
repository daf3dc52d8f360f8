"""Write-ahead log: an append-only journal with checksummed records, snapshots and explicit syncs."""

from cobaltpond.wal.journal import Journal, JournalError

__all__ = ["JournalError", "Journal"]
