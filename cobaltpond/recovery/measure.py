"""Computes the time to full service from records of what passed over sockets. Does no I/O.

This is the only definition. Full service after a fault is the first moment from which, over one second, the
share of hits delivered in time is at least 0.95 of what it was over the last five seconds before the fault,
while every running gateway is settled.
"""

# `FULL_SERVICE_SHARE`: the part of the earlier share of hits delivered in time that counts as full service.
# `WINDOW_US`: the window over which the share is taken. `BASELINE_US`: the time before the fault with which
# it is compared. `STEP_US`: the step of the search.
FULL_SERVICE_SHARE, WINDOW_US, BASELINE_US, STEP_US = 0.95, 1_000_000, 5_000_000, 100_000


def in_time_share(hits: list, begin: int, end: int) -> float | None:
    """Returns the share of hits sent in [begin, end) that were delivered in time; None if there were none.

    `hits` holds pairs (time sent in microseconds, delivered in time).
    """
    rows = [in_time for at, in_time in hits if begin <= at < end]
    return sum(rows) / len(rows) if rows else None


def time_to_full_service(hits: list, fault: int, end: int, settled_at: int | None) -> int | None:
    """Returns the microseconds from the fault to full service; None if it is not reached by `end`.

    `settled_at` is when the last running gateway settled, None if one did not.
    """
    baseline_share = in_time_share(hits, fault - BASELINE_US, fault)
    if baseline_share is None or settled_at is None:
        return None
    at = max(fault, settled_at - WINDOW_US)
    while at + WINDOW_US <= end:
        share = in_time_share(hits, at, at + WINDOW_US)
        if (
            share is not None
            and share >= FULL_SERVICE_SHARE * baseline_share
            and at + WINDOW_US >= settled_at
        ):
            return at + WINDOW_US - fault
        at += STEP_US
    return None


def max_in_window(times: list[int], window: int = WINDOW_US) -> int:
    """Returns the highest number of these moments that lie within any one window, in microseconds."""
    times, first, highest_count = sorted(times), 0, 0
    for last, at in enumerate(times):
        while at - times[first] >= window:
            first += 1
        highest_count = max(highest_count, last - first + 1)
    return highest_count
