"""Formatting of wall-clock times for people."""

from datetime import UTC, datetime


def format_utc(milliseconds: int) -> str:
    """Formats milliseconds since the Unix epoch as a UTC date and time, to the second."""
    return datetime.fromtimestamp(milliseconds / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
