"""Reference implementation of the rate limits: each verdict is computed from all past events, slowly on
purpose.

For each limit and value it keeps the list of events, (time, change of the level), and replays it at each
check. `rules.py` explains the meaning.
"""

from cobaltpond.limits.rules import MAX_ADVICE_US, UNIT, HitAttributes, Limit, LimitVerdict, wait_for_token


class ReferenceLimits:
    """Unbounded and slow limits that define what `compiled.CompiledLimits` must return."""

    def __init__(self, limits: list[Limit]):
        self.limits, self.by_name = limits, {limit.name: limit for limit in limits}
        self.events = {}  # (limit's name, "level" or "least", value) -> [(when, units)]

    def level(self, now: int, limit: Limit, kind: str, value) -> int:
        """Returns the level now, in units of `UNIT`.

        The level is full at first, grows with time up to the burst, and is changed by each event. `kind` is
        "level", or "least" for the level of the guarantee.
        """
        rate = limit.rate if kind == "level" else limit.least
        capacity = limit.burst * UNIT if kind == "level" else UNIT
        level, at = capacity, None
        for when, units in self.events.get((limit.name, kind, value), []):
            level = min(
                capacity, min(capacity, level + rate * (when - at) if at is not None else capacity) + units
            )
            at = when
        return min(capacity, level + rate * (now - at)) if at is not None else capacity

    def record_event(self, now: int, limit: Limit, kind: str, value, units: int) -> None:
        """Adds a change of the level by `units`."""
        self.events.setdefault((limit.name, kind, value), []).append((now, units))

    def check(self, now: int, hit: HitAttributes) -> LimitVerdict:
        """Records a hit and returns the verdict; `now` in microseconds."""
        applicable = [limit for limit in self.limits if limit.applies_to(hit)]
        for limit in applicable:
            if limit.refills(hit):
                self.record_event(now, limit, "level", limit.value(hit), limit.share * (UNIT // 1000))
        consuming = [limit for limit in applicable if limit.consumes(hit)]
        over = [limit for limit in consuming if self.level(now, limit, "level", limit.value(hit)) < UNIT]
        # A guarantee within a parent that is over lets its hits pass all the same.
        guaranteed = {
            limit.within: limit
            for limit in consuming
            if limit.least and limit not in over and self.level(now, limit, "least", limit.value(hit)) >= UNIT
        }
        rejecting = [limit for limit in over if limit.is_binding and limit.name not in guaranteed]
        if rejecting:
            wait_by_limit = {
                limit.name: wait_for_token(self.level(now, limit, "level", limit.value(hit)), limit.rate)
                if limit.advice
                else 0
                for limit in rejecting
            }
            first = max(rejecting, key=lambda limit: wait_by_limit[limit.name])
            return LimitVerdict(
                tuple(limit.name for limit in over), first.name, min(MAX_ADVICE_US, wait_by_limit[first.name])
            )
        for limit in consuming:
            if limit not in over:
                self.record_event(now, limit, "level", limit.value(hit), -UNIT)
            if limit.least and limit in guaranteed.values():
                self.record_event(now, limit, "least", limit.value(hit), -UNIT)
        return LimitVerdict(tuple(limit.name for limit in over))
