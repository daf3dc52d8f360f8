"""Rate limits for what all starting gateways together ask of one target. Does no I/O.

Both kinds prevent a thundering herd. A call that each gateway makes once, at its start, waits for a random
delay (`StartJitter`). Repeated calls use turns (`DialRateLimiter`): each gateway has one turn in a period, at
a random offset, and a turn that is not used while it lasts is lost. Saved turns would be spent by hundreds of
gateways together, in the moment in which a zone returns.
"""

# A turn can be used during this share of the period, but at least for this many microseconds.
TURN_WIDTH_SHARE, MIN_TURN_WIDTH_US = 0.05, 20_000
RECENT_START_US = 5_000_000  # a gateway that started less than this ago counts as recent


class RecentStarts:
    """Estimates how many gateways have just started.

    `declared` is the number of gateways in the settings. `starts` maps the number of each gateway that
    membership sees to its start, in calendar microseconds; it is empty until one is heard.
    """

    def __init__(self, declared: int):
        self.declared, self.starts = max(1, declared), {}

    def update(self, starts: dict[int, int]) -> None:
        """Replaces the known starts: gateway number -> calendar microseconds."""
        self.starts = starts

    def member_count(self) -> int:
        """Returns the number of gateways present, at least half of those declared.

        With the lower bound, the sides of a split membership view do not together double what the fleet asks
        for.
        """
        return self.declared if not self.starts else max(len(self.starts), -(-self.declared // 2))

    def count(self, wall_time: int) -> int:
        """Returns how many of the declared gateways have just started, at `wall_time` in calendar
        microseconds.

        Gateways that were never heard are assumed to have the same share of recent starts as those heard,
        this one included; if none was heard, all count as recent.
        """
        recent = sum(wall_time - start < RECENT_START_US for start in self.starts.values())
        known = len(self.starts)
        return max(1, min(self.declared, -(-self.declared * (recent + 1) // (known + 1))))


class StartJitter:
    """Random delay before the first call of a starting gateway to one target.

    The target bears `rate` calls a second from all gateways together.
    """

    def __init__(self, rate: float, random_source):
        self.rate, self.random_source = rate, random_source

    def draw_delay(self, recent_count: int) -> int:
        """Returns a random delay in microseconds, within the time that the target needs to serve all recently
        started gateways.
        """
        return self.random_source.randbelow(max(1, int(recent_count * 1_000_000 / self.rate)))


class DialRateLimiter:
    """Limits new connections to each of many targets.

    Each target bears `rate` new connections a second from all gateways together. `members()` returns the
    present number of gateways.
    """

    def __init__(self, rate: float, members, random_source):
        self.rate, self.members, self.random_source = rate, members, random_source
        self.offsets, self.last_used = {}, {}
        self.counts = {"dials": 0, "refused": 0}

    @property
    def period(self) -> int:
        """Microseconds in which each gateway has one turn at each target."""
        return max(1, int(self.members() * 1_000_000 / self.rate))

    def turn_start(self, name: str, now: int) -> int:
        """Returns when this gateway's latest turn at this target began, in microseconds."""
        period = self.period
        if name not in self.offsets:
            self.offsets[name] = self.random_source.randbelow(1 << 30)
        return now - (now + self.offsets[name]) % period

    def is_due(self, name: str, now: int) -> bool:
        """Returns whether a turn is in progress and not used yet."""
        turn_began, period = self.turn_start(name, now), self.period
        width = min(period, max(MIN_TURN_WIDTH_US, int(TURN_WIDTH_SHARE * period)))
        return now - turn_began < width and self.last_used.get(name, -1) < turn_began

    def try_acquire(self, name: str, now: int) -> bool:
        """Uses the turn; returns False if there is none."""
        if not self.is_due(name, now):
            self.counts["refused"] += 1
            return False
        self.last_used[name] = now
        self.counts["dials"] += 1
        return True

    def retain(self, names) -> None:
        """Drops the state of all targets but these, since targets come and go."""
        for table in (self.offsets, self.last_used):
            for name in [name for name in table if name not in names]:
                del table[name]


class AnswerRateLimiter:
    """Limits the warm-start answers of a donor to `max_per_sender` and `max_total` a second.

    It prevents an overload of the settled gateways when 200 starting ones ask the three that have survived.
    """

    def __init__(self, max_total: int, max_per_sender: int = 4):
        self.max_total = max_total
        self.max_per_sender = max_per_sender
        self.second = None
        self.counts = {}
        self.total = 0

    def try_acquire(self, now: int, sender: int) -> bool:
        """Counts an answer to this sender; returns False if a limit of the current second is reached."""
        if now // 1_000_000 != self.second:
            self.second, self.counts, self.total = now // 1_000_000, {}, 0
        if self.total >= self.max_total or self.counts.get(sender, 0) >= self.max_per_sender:
            return False
        self.total += 1
        self.counts[sender] = self.counts.get(sender, 0) + 1
        return True
