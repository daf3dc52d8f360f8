"""Decides whether a customer sends more than its configured share of the hits.

The result only selects the reason that a rejection states; it decides no hit. The module does no I/O.
"""

from collections import deque


class CustomerShares:
    """Counts hits per customer over a sliding window.

    `shares`: customer name to its share of all hits, between 0 and 1. `window`: length in microseconds.
    """

    def __init__(self, shares: dict[str, float], window: int):
        self.shares, self.window = shares, window
        self.times, self.counts = deque(), {}

    def record_hit(self, now: int, customer: str | None) -> None:
        """Counts one hit at `now` (microseconds); `customer` is None where the request names none."""
        self.times.append((now, customer))
        self.counts[customer] = self.counts.get(customer, 0) + 1
        while self.times[0][0] < now - self.window:
            _, expired_customer = self.times.popleft()
            self.counts[expired_customer] -= 1
            if not self.counts[expired_customer]:
                del self.counts[expired_customer]

    def is_over_share(self, customer: str | None) -> bool:
        """Returns whether the customer has more than one hit above its share.

        A customer without a share is never over.
        """
        share = self.shares.get(customer)
        return share is not None and self.counts.get(customer, 0) > share * len(self.times) + 1
