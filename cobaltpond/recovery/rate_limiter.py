"""What the whole fleet together may ask of one target, and which part of it is ours. Free of I/O.

Two shapes. Who wants the same thing once, at its start, waits for a drawn moment (`StartJitter`). Who wants
it again and again has turns (`DialRateLimiter`): a period in which each gateway has one, at an offset drawn
from its seed, and a turn that is not taken at once is lost. Saved ones would be spent together, by hundreds,
in the moment in which a zone comes back.
"""

TURN_SHARE, TURN_LEAST = 0.05, 20_000  # of the period: how long a turn waits to be taken
RECENT = 5_000_000  # a start so lately is one of those that come back now


class RecentStarts:
    """How many gateways have just begun. `declared`: how many the sheet has. `starts`: those that membership
    knows to be there, number -> start, in calendar microseconds; empty before any was heard."""

    def __init__(self, declared: int):
        self.declared, self.starts = max(1, declared), {}

    def update(self, starts: dict[int, int]) -> None:
        self.starts = starts

    def member_count(self) -> int:
        """Never fewer than half of the sheet's: a view that is split must not double what the fleet asks
        for."""
        return self.declared if not self.starts else max(len(self.starts), -(-self.declared // 2))

    def count(self, wall: int) -> int:
        """Of all that the sheet has. Of those never heard the same share is taken to be fresh as of those
        heard, ours being one of them: with nobody heard, everybody."""
        recent = sum(wall - start < RECENT for start in self.starts.values())
        known = len(self.starts)
        return max(1, min(self.declared, -(-self.declared * (recent + 1) // (known + 1))))


class StartJitter:
    """The first call of each gateway that has just begun, to one target that bears `rate` of them a
    second."""

    def __init__(self, rate: float, chance):
        self.rate, self.chance = rate, chance

    def draw_delay(self, fresh: int) -> int:
        """Microseconds: drawn over the time in which the target can bear them all."""
        return self.chance.randbelow(max(1, int(fresh * 1_000_000 / self.rate)))


class DialRateLimiter:
    """New connections to each of many targets, each of which bears `rate` a second from all gateways
    together. `members()`: how many gateways there are now."""

    def __init__(self, rate: float, members, chance):
        self.rate, self.members, self.chance = rate, members, chance
        self.offsets, self.used = {}, {}
        self.counts = {"dials": 0, "refused": 0}

    @property
    def period(self) -> int:
        return max(1, int(self.members() * 1_000_000 / self.rate))

    def turn_start(self, name: str, now: int) -> int:
        """When the turn at this target began that was ours last."""
        period = self.period
        if name not in self.offsets:
            self.offsets[name] = self.chance.randbelow(1 << 30)
        return now - (now + self.offsets[name]) % period

    def is_due(self, name: str, now: int) -> bool:
        """Is there a turn, begun a moment ago and not taken yet?"""
        began, period = self.turn_start(name, now), self.period
        width = min(period, max(TURN_LEAST, int(TURN_SHARE * period)))
        return now - began < width and self.used.get(name, -1) < began

    def try_acquire(self, name: str, now: int) -> bool:
        """Takes it; False where there is none."""
        if not self.is_due(name, now):
            self.counts["refused"] += 1
            return False
        self.used[name] = now
        self.counts["dials"] += 1
        return True

    def retain(self, names) -> None:
        """Only of these anything is kept: targets come and go."""
        for table in (self.offsets, self.used):
            for name in [name for name in table if name not in names]:
                del table[name]


class AnswerRateLimiter:
    """How often one asks us, and all together: a donor answers no more than `each` and `most` a second.
    Guards those who are settled when two hundred ask the three that have lived."""

    def __init__(self, most: int, each: int = 4):
        self.most, self.each, self.second, self.counts, self.all = most, each, None, {}, 0

    def try_acquire(self, now: int, sender: int) -> bool:
        if now // 1_000_000 != self.second:
            self.second, self.counts, self.all = now // 1_000_000, {}, 0
        if self.all >= self.most or self.counts.get(sender, 0) >= self.each:
            return False
        self.all += 1
        self.counts[sender] = self.counts.get(sender, 0) + 1
        return True
