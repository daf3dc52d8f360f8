"""Times of day for people to read."""

from datetime import UTC, datetime


def format_utc(milliseconds: int) -> str:
    """Milliseconds since 1970 as a time of day in UTC, to the second."""
    return datetime.fromtimestamp(milliseconds / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
