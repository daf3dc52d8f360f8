"""The definition: what each limit says of a hit, worked out anew from all that has happened. Slow on purpose.

For each limit and value it keeps the list of events, (when, what it did to the level), and replays it at each
question. `rules.py` says in words what is written here.
"""

from cobaltpond.limits.rules import ADVICE_MOST, UNIT, HitAttributes, Limit, LimitVerdict, wait_for_token


class ReferenceLimits:
    def __init__(self, limits: list[Limit]):
        self.limits, self.by_name = limits, {limit.name: limit for limit in limits}
        self.events = {}  # (limit's name, "level" or "least", value) -> [(when, units)]

    def level(self, now: int, limit: Limit, what: str, value) -> int:
        """Full at first; grows with time, never above the burst; each event adds or takes."""
        rate = limit.rate if what == "level" else limit.least
        most = limit.burst * UNIT if what == "level" else UNIT
        level, at = most, None
        for when, units in self.events.get((limit.name, what, value), []):
            level = min(most, min(most, level + rate * (when - at) if at is not None else most) + units)
            at = when
        return min(most, level + rate * (now - at)) if at is not None else most

    def event(self, now: int, limit: Limit, what: str, value, units: int) -> None:
        self.events.setdefault((limit.name, what, value), []).append((now, units))

    def check(self, now: int, hit: HitAttributes) -> LimitVerdict:
        concerned = [limit for limit in self.limits if limit.applies_to(hit)]
        for limit in concerned:
            if limit.refills(hit):
                self.event(now, limit, "level", limit.value(hit), limit.share * (UNIT // 1000))
        taking = [limit for limit in concerned if limit.consumes(hit)]
        over = [limit for limit in taking if self.level(now, limit, "level", limit.value(hit)) < UNIT]
        # a guarantee within a parent that is over: its holder goes through all the same
        saved = {
            limit.within: limit
            for limit in taking
            if limit.least and limit not in over and self.level(now, limit, "least", limit.value(hit)) >= UNIT
        }
        bounced = [limit for limit in over if limit.is_binding and limit.name not in saved]
        if bounced:
            waits = {
                limit.name: wait_for_token(self.level(now, limit, "level", limit.value(hit)), limit.rate)
                if limit.advice
                else 0
                for limit in bounced
            }
            first = max(bounced, key=lambda limit: waits[limit.name])
            return LimitVerdict(
                tuple(limit.name for limit in over), first.name, min(ADVICE_MOST, waits[first.name])
            )
        for limit in taking:
            if limit not in over:
                self.event(now, limit, "level", limit.value(hit), -UNIT)
            if limit.least and limit in saved.values():
                self.event(now, limit, "least", limit.value(hit), -UNIT)
        return LimitVerdict(tuple(limit.name for limit in over))
