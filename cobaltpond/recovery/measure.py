"""Time to full service, defined here and nowhere else: from records of what passed over sockets. Free of I/O.

Full service after a fault at `fault`: the first moment from which, over one second, the share of hits that
were delivered in time is at least 0.95 of what it was over the last five seconds before the fault, and every
gateway that lives is settled.
"""

SHARE, WINDOW, BEFORE, STEP = 0.95, 1_000_000, 5_000_000, 100_000


def in_time_share(hits: list, begin: int, end: int) -> float | None:
    """`hits`: (moment at which it was sent, delivered in time); None where there was none."""
    rows = [good for at, good in hits if begin <= at < end]
    return sum(rows) / len(rows) if rows else None


def time_to_full_service(hits: list, fault: int, end: int, settled_at: int | None) -> int | None:
    """Microseconds after the fault; None where it was not reached by `end`. `settled_at`: when the last
    gateway that lives was settled, None if one was not."""
    before = in_time_share(hits, fault - BEFORE, fault)
    if before is None or settled_at is None:
        return None
    at = max(fault, settled_at - WINDOW)
    while at + WINDOW <= end:
        share = in_time_share(hits, at, at + WINDOW)
        if share is not None and share >= SHARE * before and at + WINDOW >= settled_at:
            return at + WINDOW - fault
        at += STEP
    return None


def max_in_window(times: list[int], window: int = WINDOW) -> int:
    """The most of these moments that lie within any one window."""
    times, first, most = sorted(times), 0, 0
    for last, at in enumerate(times):
        while at - times[first] >= window:
            first += 1
        most = max(most, last - first + 1)
    return most
