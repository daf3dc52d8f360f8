"""What a rate limit means, as plain numbers; shared by both implementations. Does no I/O.

A limit counts hits (`hits`: all; `tries`: first ones; `repeats`: those that a client marks as retries) where
it applies, separately for each value of what it counts `by`. It is a token bucket that holds at most
`burst` units, at first and after a rest. The bucket grows by `rate` a second, or, with `share_of`, by `share`
for each hit of the other kind. Each counted hit consumes a unit. With no unit left the limit is over: the hit
is rejected, or only counted if the limit is a dry run (setting `trial`) or counts only. A limit `within`
another one (its parent) is checked beside it; what the limit has as `least` of the parent's rate is a
guarantee and passes even if the parent is over. A rejection advises the longest wait of all limits that
reject the hit.

All numbers are integers: rates in thousandths a second, levels in units of `UNIT`, so that both
implementations agree exactly.
"""

from dataclasses import dataclass

UNIT = 1_000_000_000  # one unit: a rate of a thousandth a second adds 1 in a microsecond
MAX_ADVICE_US = 2_000_000  # no client is advised to wait longer
KINDS = ("hits", "tries", "repeats")


@dataclass(frozen=True)
class Limit:
    """One rate limit.

    `rate` is in thousandths of a unit a second, `share` in thousandths of a unit for each hit of `share_of`,
    and `least` is the rate of the guarantee within the parent. `group`, `kind` and `customer` say where the
    limit applies, None: everywhere.
    """

    name: str
    counts: str
    by: str = "nothing"  # customer, key or nothing
    rate: int = 0
    burst: int = 1
    share_of: str = ""
    share: int = 0
    within: str = ""
    least: int = 0
    over: str = "bounce"  # or "count"
    advice: bool = True
    trial: bool = False
    fleet: bool = False
    keys: int = 10_000
    group: str | None = None
    kind: str | None = None
    customer: str | None = None

    @property
    def is_binding(self) -> bool:
        """Whether the limit rejects hits, rather than only counting them."""
        return self.over == "bounce" and not self.trial

    def applies_to(self, hit: "HitAttributes") -> bool:
        """Returns whether the hit is in the limit's scope and has the value that the limit counts by."""
        return (
            self.group in (None, hit.group)
            and self.kind in (None, hit.kind)
            and self.customer in (None, hit.customer)
            and (self.by == "nothing" or getattr(hit, self.by) is not None)
        )

    def consumes(self, hit: "HitAttributes") -> bool:
        """Returns whether the hit, which the limit applies to, takes a unit from the bucket."""
        return self.counts == "hits" or self.counts == ("repeats" if hit.is_retry else "tries")

    def refills(self, hit: "HitAttributes") -> bool:
        """Returns whether the hit adds to the bucket of a limit that is a share of another kind."""
        return self.share_of in ("hits", "repeats" if hit.is_retry else "tries")

    def value(self, hit: "HitAttributes"):
        """Returns the value of the hit that selects the bucket; None if all hits share one."""
        return None if self.by == "nothing" else getattr(hit, self.by)


@dataclass(frozen=True)
class HitAttributes:
    """The attributes of a hit that limits depend on; `is_retry` marks a client's retry."""

    group: str
    kind: str
    customer: str | None = None
    key: object = None
    is_retry: bool = False


@dataclass(frozen=True)
class LimitVerdict:
    """The outcome of a check.

    `exceeded` names all limits that were over, whether they reject or not. `rejected_by` is the limit that
    rejects the hit, None if it passes. `wait_us` is the time until there is room, 0 for no advice.
    """

    exceeded: tuple[str, ...] = ()
    rejected_by: str | None = None
    wait_us: int = 0


def wait_for_token(level: int, rate: int) -> int:
    """Returns the microseconds until a whole unit is available; 0 if time adds none."""
    return -(-(UNIT - level) // rate) if rate else 0
