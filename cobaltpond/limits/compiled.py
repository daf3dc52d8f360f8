"""The same on the hit path: which limits concern which hits is worked out once, a level is two numbers. Free
of I/O.

`reference.py` is the definition; `tests/test_limits.py` holds the two against each other on drawn limits and
hits. What is kept is bounded: a limit knows `keys` values at most. Beyond them, values whose level is full
again are forgotten first, which changes nothing; if none is, those that are not known share one level, which
is on the strict side.
"""

from cobaltpond.limits.rules import ADVICE_MOST, UNIT, HitAttributes, Limit, LimitVerdict, wait_for_token

FREE = LimitVerdict()
OTHERS = ("others",)  # the level of values that find no room


class TokenBuckets:
    """Of one limit (or its guarantee): value -> [level, when]. `rate` may change, see
    `CompiledLimits.lend`."""

    def __init__(self, rate: int, most: int, keys: int):
        self.rate, self.most, self.keys, self.rows = rate, most, keys, {}
        self.own, self.missed = {}, keys  # value -> (rate, most) of its own, where it was lent more

    def row(self, now: int, value) -> list:
        row = self.rows.get(value)
        if row is None:
            if len(self.rows) >= self.keys and value != OTHERS:
                self.missed += 1
                if (
                    self.missed > self.keys // 10
                ):  # a look at all of them is paid for by as many that found none
                    self.missed = 0
                    self.forget(now)
                if len(self.rows) >= self.keys:
                    return self.row(now, OTHERS)
            row = self.rows[value] = [self.most, now]
            return row
        if row[1] != now:
            rate, most = self.own.get(value, (self.rate, self.most))
            level = row[0] + rate * (now - row[1])
            row[0], row[1] = level if level < most else most, now
        return row

    def rate_of(self, value) -> int:
        return self.own[value][0] if value in self.own else self.rate

    def forget(self, now: int) -> None:
        """Values whose level is full again: as good as never seen."""
        for value in [
            value
            for value, (level, at) in self.rows.items()
            if value not in self.own and level + self.rate * (now - at) >= self.most
        ]:
            del self.rows[value]


class CompiledLimits:
    """`base`: the rate of a limit that is our own, thousandths a second; less than all for one of the whole
    fleet, whose burst is shared as its rate is."""

    def __init__(self, limits: list[Limit], base=lambda limit: limit.rate):
        self.limits, self.own_rate, self.by_name = limits, base, {limit.name: limit for limit in limits}
        self.levels = {
            one.name: TokenBuckets(base(one), self.burst(one, base(one)), one.keys) for one in limits
        }
        self.leasts = {
            limit.name: TokenBuckets(limit.least, UNIT, limit.keys) for limit in limits if limit.least
        }
        self.plans, self.counts = {}, {limit.name: [0, 0] for limit in limits}  # [let through, over]
        self.wanted = {}  # (limit's name, value) -> hits asked for, of limits of the fleet

    def plan(self, hit: HitAttributes) -> tuple:
        """(limits that its coming adds to, limits that take it), for all hits that look alike."""
        mark = hit.group, hit.kind, hit.customer, hit.again, hit.key is None
        found = self.plans.get(mark)
        if found is None:
            concerned = [limit for limit in self.limits if limit.applies_to(hit)]
            found = self.plans[mark] = (
                [limit for limit in concerned if limit.refills(hit)],
                [limit for limit in concerned if limit.consumes(hit)],
            )
        return found

    def check(self, now: int, hit: HitAttributes) -> LimitVerdict:
        giving, taking = self.plan(hit)
        if not giving and not taking:
            return FREE
        for limit in giving:
            row = self.levels[limit.name].row(now, limit.value(hit))
            row[0] = min(self.levels[limit.name].most, row[0] + limit.share * (UNIT // 1000))
        over, rows = [], []
        for limit in taking:
            value = limit.value(hit)
            if limit.fleet:
                self.wanted[limit.name, value] = self.wanted.get((limit.name, value), 0) + 1
            row = self.levels[limit.name].row(now, value)
            rows.append((limit, row))
            if row[0] < UNIT:
                over.append(limit)
        saved = self.saved(now, hit, taking, over) if self.leasts else {}
        worst, by = -1, None
        for limit, row in rows if over else ():
            if limit in over:
                self.counts[limit.name][1] += 1
                if limit.is_binding and limit.name not in saved:
                    wait = (
                        wait_for_token(row[0], self.levels[limit.name].rate_of(limit.value(hit)))
                        if limit.advice
                        else 0
                    )
                    worst, by = (wait, limit.name) if wait > worst else (worst, by)
        if by is not None:
            return LimitVerdict(tuple(limit.name for limit in over), by, min(ADVICE_MOST, worst))
        for limit, row in rows:
            if limit not in over:
                row[0] -= UNIT
                self.counts[limit.name][0] += 1
            if limit.least and limit in saved.values():
                self.leasts[limit.name].row(now, limit.value(hit))[0] -= UNIT
        return LimitVerdict(tuple(limit.name for limit in over)) if over else FREE

    def saved(self, now: int, hit: HitAttributes, taking, over) -> dict:
        """Parent's name -> the limit whose guarantee lets this hit through."""
        return {
            limit.within: limit
            for limit in taking
            if limit.least
            and limit not in over
            and self.leasts[limit.name].row(now, limit.value(hit))[0] >= UNIT
        }

    # --- limits of the whole fleet --------------------------------------------------------------------------

    def set_lent_rate(self, now: int, name: str, value, amount: int) -> None:
        """What a lease adds to our own part of a limit, thousandths a second; 0: it has run out. What came
        until now came at the rate before."""
        levels, limit = self.levels[name], self.by_name[name]
        levels.row(now, value)
        if amount:
            rate = self.own_rate(limit) + amount
            levels.own[value] = rate, self.burst(limit, rate)
        else:
            levels.own.pop(value, None)

    @staticmethod
    def burst(limit: Limit, rate: int) -> int:
        """The highest level, of whoever has this part of the rate; one hit at least."""
        return max(UNIT, limit.burst * UNIT * rate // limit.rate) if limit.fleet else limit.burst * UNIT

    def take_demand(self) -> dict:
        """What was asked for since the last call, of limits of the fleet: (name, value) -> hits."""
        wanted, self.wanted = self.wanted, {}
        return wanted
