"""What a limit means, as plain numbers, and the two evaluators' common ground. Free of I/O.

A limit counts something (`hits`: all; `tries`: first ones; `repeats`: what a client marks as such), where it
says so, for each value of what it counts `by`, by itself. It holds a level of units: `burst` at most, at
first and after a rest; it grows by `rate` a second, or, for a `share_of`, by `most` for each of the other
kind. What it counts takes a unit. Where none is left, it is over: the hit is bounced, or, for a limit on
trial or one that only counts, nothing but counted. A limit `within` another one is asked as the other one is;
what a limit has as `least` of the other's rate goes through although the other one is over (a guarantee). Of
all limits that bind a hit the longest wait is told.

Numbers are whole: rates in thousandths a second, levels in units of `UNIT`, so that both evaluators agree to
the last.
"""

from dataclasses import dataclass

UNIT = 1_000_000_000  # one unit: a thousandth a second for a microsecond is 1
ADVICE_MOST = 2_000_000  # microseconds; nobody is told to wait longer
KINDS = ("hits", "tries", "repeats")


@dataclass(frozen=True)
class Limit:
    """`rate`: thousandths of a unit a second; `share`: thousandths of a unit for each of `share_of`; `least`:
    rate of the guarantee within the parent. `group`, `kind`, `customer`: where it counts, None:
    everywhere."""

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
        return self.over == "bounce" and not self.trial

    def applies_to(self, hit: "HitAttributes") -> bool:
        return (
            self.group in (None, hit.group)
            and self.kind in (None, hit.kind)
            and self.customer in (None, hit.customer)
            and (self.by == "nothing" or getattr(hit, self.by) is not None)
        )

    def consumes(self, hit: "HitAttributes") -> bool:
        return self.counts == "hits" or self.counts == ("repeats" if hit.again else "tries")

    def refills(self, hit: "HitAttributes") -> bool:
        """Does this hit add to the level of a share?"""
        return self.share_of in ("hits", "repeats" if hit.again else "tries")

    def value(self, hit: "HitAttributes"):
        return None if self.by == "nothing" else getattr(hit, self.by)


@dataclass(frozen=True)
class HitAttributes:
    group: str
    kind: str
    customer: str | None = None
    key: object = None
    again: bool = False


@dataclass(frozen=True)
class LimitVerdict:
    """`over`: names of all limits that were over, whether they bind or not. `by`: the one that bounces, None:
    let through. `wait`: microseconds until there is room, 0: no advice."""

    over: tuple[str, ...] = ()
    by: str | None = None
    wait: int = 0


def wait_for_token(level: int, rate: int) -> int:
    """Microseconds until a whole unit is there; 0 where time brings none."""
    return -(-(UNIT - level) // rate) if rate else 0
