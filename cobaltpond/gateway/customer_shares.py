"""Is a customer beyond its share of what comes in? Names the reason in a bounce; decides no hit. Free of
I/O."""

from collections import deque


class CustomerShares:
    """Counts of the last `window` microseconds by customer."""

    def __init__(self, customers: dict[str, float], window: int):
        self.customers, self.window = customers, window
        self.times, self.counts = deque(), {}

    def record_hit(self, now: int, customer: str | None) -> None:
        self.times.append((now, customer))
        self.counts[customer] = self.counts.get(customer, 0) + 1
        while self.times[0][0] < now - self.window:
            _, old = self.times.popleft()
            self.counts[old] -= 1

    def is_over_share(self, customer: str | None) -> bool:
        """More than one hit above its share of all that came."""
        share = self.customers.get(customer)
        return share is not None and self.counts.get(customer, 0) > share * len(self.times) + 1
