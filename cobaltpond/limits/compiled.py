"""Rate limits on the hit path: token buckets, with the limits that apply to a hit cached. Does no I/O.

`reference.py` is the definition; `tests/test_limits.py` compares the two on generated limits and hits. Memory
is bounded: a limit has buckets for at most `keys` values. Beyond them, values with a full bucket are dropped
first, which changes nothing; if there is none, new values share one bucket, which errs on the strict side.
"""

from cobaltpond.limits.rules import MAX_ADVICE_US, UNIT, HitAttributes, Limit, LimitVerdict, wait_for_token

NO_LIMIT_APPLIES = LimitVerdict()
OVERFLOW_VALUE = ("others",)  # the shared bucket of values that have none of their own


class TokenBuckets:
    """The buckets of one limit, or of its guarantee: value -> [level, time of that level].

    `rate` is in thousandths a second, `capacity` in units of `UNIT`, time in microseconds. The rate of a
    value can change by `CompiledLimits.set_lent_rate`.
    """

    def __init__(self, rate: int, capacity: int, keys: int):
        self.rate, self.capacity, self.keys, self.buckets = rate, capacity, keys, {}
        self.lent_rates, self.misses = {}, keys  # lent_rates: value -> (rate, capacity)

    def bucket(self, now: int, value) -> list:
        """Returns the value's bucket, refilled up to now; the shared one if there is no room for a
        new value.
        """
        bucket = self.buckets.get(value)
        if bucket is None:
            if len(self.buckets) >= self.keys and value != OVERFLOW_VALUE:
                self.misses += 1
                # Scanning all buckets is amortized over this many values without one.
                if self.misses > self.keys // 10:
                    self.misses = 0
                    self.drop_full(now)
                if len(self.buckets) >= self.keys:
                    return self.bucket(now, OVERFLOW_VALUE)
            bucket = self.buckets[value] = [self.capacity, now]
            return bucket
        if bucket[1] != now:
            rate, capacity = self.lent_rates.get(value, (self.rate, self.capacity))
            level = bucket[0] + rate * (now - bucket[1])
            bucket[0], bucket[1] = level if level < capacity else capacity, now
        return bucket

    def current_rate(self, value) -> int:
        """Returns the value's rate in thousandths a second, including what it was lent."""
        return self.lent_rates[value][0] if value in self.lent_rates else self.rate

    def drop_full(self, now: int) -> None:
        """Drops values whose bucket is full again, which equal values never seen."""
        for value in [
            value
            for value, (level, at) in self.buckets.items()
            if value not in self.lent_rates and level + self.rate * (now - at) >= self.capacity
        ]:
            del self.buckets[value]


class CompiledLimits:
    """The limits of one gateway, checked for each hit.

    `own_rate` returns the part of a limit's rate that belongs to this gateway, in thousandths a second. It is
    less than the whole for a limit of the fleet, whose burst is shared in the same proportion.
    """

    def __init__(self, limits: list[Limit], own_rate=lambda limit: limit.rate):
        self.limits, self.own_rate, self.by_name = limits, own_rate, {limit.name: limit for limit in limits}
        self.levels = {
            limit.name: TokenBuckets(own_rate(limit), self.burst(limit, own_rate(limit)), limit.keys)
            for limit in limits
        }
        self.guarantees = {
            limit.name: TokenBuckets(limit.least, UNIT, limit.keys) for limit in limits if limit.least
        }
        self.plan_cache, self.counts = {}, {limit.name: [0, 0] for limit in limits}  # [passed, over]
        self.demand = {}  # (limit's name, value) -> hits, for limits of the fleet

    def matching_limits(self, hit: HitAttributes) -> tuple:
        """Returns (limits that the hit refills, limits that it consumes), cached for all hits with the same
        attributes.
        """
        hit_shape = hit.group, hit.kind, hit.customer, hit.is_retry, hit.key is None
        found = self.plan_cache.get(hit_shape)
        if found is None:
            applicable = [limit for limit in self.limits if limit.applies_to(hit)]
            found = self.plan_cache[hit_shape] = (
                [limit for limit in applicable if limit.refills(hit)],
                [limit for limit in applicable if limit.consumes(hit)],
            )
        return found

    def check(self, now: int, hit: HitAttributes) -> LimitVerdict:
        """Counts a hit and returns the verdict; `now` is in microseconds and must not decrease.

        A rejected hit consumes nothing, but may refill limits that are a share of its kind.
        """
        refilling, consuming = self.matching_limits(hit)
        if not refilling and not consuming:
            return NO_LIMIT_APPLIES
        for limit in refilling:
            bucket = self.levels[limit.name].bucket(now, limit.value(hit))
            bucket[0] = min(self.levels[limit.name].capacity, bucket[0] + limit.share * (UNIT // 1000))
        over, buckets = [], []
        for limit in consuming:
            value = limit.value(hit)
            if limit.fleet:
                self.demand[limit.name, value] = self.demand.get((limit.name, value), 0) + 1
            bucket = self.levels[limit.name].bucket(now, value)
            buckets.append((limit, bucket))
            if bucket[0] < UNIT:
                over.append(limit)
        guaranteed = self.guaranteed(now, hit, consuming, over) if self.guarantees else {}
        longest_wait, by = -1, None
        for limit, bucket in buckets if over else ():
            if limit in over:
                self.counts[limit.name][1] += 1
                if limit.is_binding and limit.name not in guaranteed:
                    wait = (
                        wait_for_token(bucket[0], self.levels[limit.name].current_rate(limit.value(hit)))
                        if limit.advice
                        else 0
                    )
                    longest_wait, by = (wait, limit.name) if wait > longest_wait else (longest_wait, by)
        if by is not None:
            return LimitVerdict(tuple(limit.name for limit in over), by, min(MAX_ADVICE_US, longest_wait))
        for limit, bucket in buckets:
            if limit not in over:
                bucket[0] -= UNIT
                self.counts[limit.name][0] += 1
            if limit.least and limit in guaranteed.values():
                self.guarantees[limit.name].bucket(now, limit.value(hit))[0] -= UNIT
        return LimitVerdict(tuple(limit.name for limit in over)) if over else NO_LIMIT_APPLIES

    def guaranteed(self, now: int, hit: HitAttributes, consuming, over) -> dict:
        """Returns parent's name -> the limit whose guarantee lets this hit through."""
        return {
            limit.within: limit
            for limit in consuming
            if limit.least
            and limit not in over
            and self.guarantees[limit.name].bucket(now, limit.value(hit))[0] >= UNIT
        }

    # --- limits of the whole fleet --------------------------------------------------------------------------

    def set_lent_rate(self, now: int, name: str, value, amount: int) -> None:
        """Sets what a lease adds to the own rate of a limit, in thousandths a second; 0 once it has expired.

        The bucket is refilled at the earlier rate up to now.
        """
        levels, limit = self.levels[name], self.by_name[name]
        levels.bucket(now, value)
        if amount:
            rate = self.own_rate(limit) + amount
            levels.lent_rates[value] = rate, self.burst(limit, rate)
        else:
            levels.lent_rates.pop(value, None)

    @staticmethod
    def burst(limit: Limit, rate: int) -> int:
        """Returns the bucket capacity for this part of the rate, in units of `UNIT`; at least one hit for a
        limit of the fleet.
        """
        return max(UNIT, limit.burst * UNIT * rate // limit.rate) if limit.fleet else limit.burst * UNIT

    def take_demand(self) -> dict:
        """Returns and clears the hits per (limit's name, value), for limits of the fleet."""
        demand, self.demand = self.demand, {}
        return demand
