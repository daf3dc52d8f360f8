"""Rate limits of a settings file: the `limit(...)` calls, validated when they are read."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cobaltpond.settings.sections import Name, Section, Share

MilliRate = Annotated[int, Meta(ge=1, description="a rate: per_second(...) or per_minute(...)")]
MAX_LIMITS = 200  # limits of one settings file


class LimitScope(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Which hits a limit counts: `where(...)`. None stands for all.

    Attributes:
        group: name of a path group.
        kind: kind of path group.
        customer: name of a customer.
    """

    group: Name | None = None
    kind: Literal["repeatable", "tagged", "mutating"] | None = None
    customer: Name | None = None


class LimitAction(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What happens to a hit beyond the limit: `bounce(...)` or `only_count()`.

    Attributes:
        do: reject the hit, or only count it.
        advice: whether the client is told when to retry.
    """

    do: Literal["bounce", "count"] = "bounce"
    advice: bool = True


class LimitSettings(Section, kw_only=True):
    """One rate limit: `limit(...)`. It has either `rate`, or `share_of` and `most`.

    Attributes:
        name: unique name.
        counts: all hits, first tries only, or repeats only.
        where: which hits it concerns.
        by: one limit for all of them, or one for each customer or key.
        rate: thousandths of a hit per second, from per_second(...) or per_minute(...); None with share_of.
        burst: capacity of the token bucket in hits.
        share_of: what the counted hits are a share of; empty with rate.
        most: largest share, with share_of.
        scope: counted by each gateway by itself, or by the whole fleet together.
        within: name of a limit above this line that also applies; empty: none.
        least: share of the rate of `within` that is guaranteed.
        over: what happens to a hit beyond the limit.
        trial: counts hits but rejects none.
        keys: largest number of customers or keys that are tracked.
    """

    name: Name
    counts: Literal["hits", "tries", "repeats"] = "hits"
    where: LimitScope = LimitScope()
    by: Literal["nothing", "customer", "key"] = "nothing"
    rate: MilliRate | None = None
    burst: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    share_of: Literal["", "hits", "tries", "repeats"] = ""
    most: Share = 0.0
    scope: Literal["gateway", "fleet"] = "gateway"
    within: str = ""
    least: Share = 0.0
    over: LimitAction = LimitAction()
    trial: bool = False
    keys: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000

    def validation_error(self, declared):
        """Returns what is wrong with this call, or None; see `Section.validation_error`."""
        earlier_limits = {limit.name: limit for limit in declared["limit"]}
        if len(earlier_limits) >= MAX_LIMITS:
            return f"more than {MAX_LIMITS} limits"
        if self.name in earlier_limits:
            return f"two limits are called {self.name!r}"
        if (self.rate is None) == (not self.share_of):
            return "a limit has either a rate or a share_of, with most"
        if self.share_of and not self.most:
            return f"a share of {self.share_of} needs most, above 0: how much of one each of them allows"
        if self.share_of and self.counts in (self.share_of, "hits"):
            return f"{self.counts} as a share of {self.share_of}: a count cannot be a share of itself"
        if self.where.group is not None and not any(
            g.name == self.where.group for g in declared["path_group"]
        ):
            return f"no path group {self.where.group!r} above this line"
        if self.where.customer is not None and not any(
            c.name == self.where.customer for c in declared["customer"]
        ):
            return f"no customer {self.where.customer!r} above this line"
        if self.where.customer is not None and self.by == "customer":
            return "by customer, where there is one customer: leave out one of the two"
        if self.scope == "fleet" and self.share_of:
            return 'a share is of what one gateway sees: scope = "gateway"'
        if self.scope == "fleet" and not declared["members"]:
            return (
                "a limit of the fleet needs members(...) above this line: "
                "its gateways have to know each other"
            )
        return self.parent_error(earlier_limits, declared) or self.duplicate_error(earlier_limits)

    def parent_error(self, earlier_limits, declared):
        """Returns what is wrong with `within` and `least`, or None. `earlier_limits` maps names to the
        limits above this one.
        """
        if not self.within:
            return "least is a part of another limit: say which one with within" if self.least else None
        parent = earlier_limits.get(self.within)
        if parent is None:
            return f"no limit {self.within!r} above this line"
        if parent.rate is None or self.rate is None:
            return f"{self.name!r} within {self.within!r}: both need a rate"
        if not parent.counts_all_of(self):
            return f"{self.within!r} does not count all that {self.name!r} counts: it cannot be within it"
        if self.rate >= parent.rate and not self.least and parent.by == "nothing":
            return (
                f"{self.name!r} never binds: {self.within!r} is exceeded first; "
                "give it a lower rate or leave it out"
            )
        if self.least:
            value_count = len(declared["customer"]) if self.by == "customer" else 1
            guaranteed = sum(
                limit.least * (len(declared["customer"]) if limit.by == "customer" else 1)
                for limit in earlier_limits.values()
                if limit.within == self.within
            )
            if guaranteed + self.least * value_count > 1.0001:
                return (
                    f"the guarantees within {self.within!r} come to "
                    f"{guaranteed + self.least * value_count:.2f} of it: "
                    "they may come to 1 at most"
                )
            if self.by == "key":
                return "no guarantee by key: the number of keys is unknown; give it by customer"
            if self.least * parent.rate > self.rate:
                return f"the guarantee is more than {self.name!r} itself allows: lower least or raise rate"
        return None

    def duplicate_error(self, earlier_limits):
        """Returns an error if an earlier limit counts the same hits: only the stricter one of the two
        would ever reject a hit. Otherwise None.
        """
        for other in earlier_limits.values():
            counts_the_same = (other.counts, other.where, other.by, other.scope, other.share_of) == (
                self.counts,
                self.where,
                self.by,
                self.scope,
                self.share_of,
            )
            if counts_the_same and self.rate is not None and not self.trial and not other.trial:
                stricter = self if (self.rate, self.burst) <= (other.rate, other.burst) else other
                redundant = other if stricter is self else self
                if redundant.rate >= stricter.rate and redundant.burst >= stricter.burst:
                    return (
                        f"{redundant.name!r} never binds beside {stricter.name!r}, "
                        "which counts the same: leave one out"
                    )
        return None

    def counts_all_of(self, other) -> bool:
        """Tells whether this limit counts every hit that the other one counts."""
        has_wider_scope = all(
            getattr(self.where, name) in (None, getattr(other.where, name))
            for name in ("group", "kind", "customer")
        )
        return has_wider_scope and self.counts in ("hits", other.counts) and self.by in ("nothing", other.by)

    def limit_fields(self, parents: dict) -> dict:
        """Returns the fields of `limits.rules.Limit`: rates in thousandths of a hit per second, shares in
        thousandths. `parents` maps names to limits.
        """
        parent = parents.get(self.within)
        return {
            "name": self.name,
            "counts": self.counts,
            "by": self.by,
            "rate": self.rate or 0,
            "burst": self.burst,
            "share_of": self.share_of,
            "share": round(self.most * 1000),
            "within": self.within,
            "least": round(self.least * parent.rate) if parent else 0,
            "over": self.over.do,
            "advice": self.over.advice,
            "trial": self.trial,
            "fleet": self.scope == "fleet",
            "keys": self.keys,
            "group": self.where.group,
            "kind": self.where.kind,
            "customer": self.where.customer,
        }


def canonical_limits(limits) -> bytes:
    """Returns an encoding of the limits that does not depend on their order, for comparison and digests."""
    return msgspec.json.encode(
        sorted((msgspec.to_builtins(limit) for limit in limits), key=lambda row: row["name"]), order="sorted"
    )


# Functions of the settings file beside `limit`; rates are in thousandths of a hit per second.
LIMIT_FUNCTIONS = {
    "per_second": lambda count: round(count * 1000),
    "per_minute": lambda count: round(count * 1000 / 60),
    "where": lambda **fields: fields,
    "bounce": lambda advice=True: {"do": "bounce", "advice": advice},
    "only_count": lambda: {"do": "count"},
}
