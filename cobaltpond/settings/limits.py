"""`limit(...)` of a sheet: one allowance, in the users' words, checked when it is read."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cobaltpond.settings.sections import Name, Section, Share

Milli = Annotated[int, Meta(ge=1, description="a rate: per_second(...) or per_minute(...)")]
MOST = 200  # limits of a sheet


class LimitScope(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    group: Name | None = None
    kind: Literal["repeatable", "tagged", "mutating"] | None = None
    customer: Name | None = None


class LimitAction(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    do: Literal["bounce", "count"] = "bounce"
    advice: bool = True


class LimitSettings(Section, kw_only=True):
    """`counts`: hits, first tries or repeats. `rate` or `share_of` and `most`. `scope`: of one gateway, or of
    all together. `within` another limit above this line, with `least` of its rate as a guarantee. `trial`:
    counted, bouncing nobody."""

    name: Name
    counts: Literal["hits", "tries", "repeats"] = "hits"
    where: LimitScope = LimitScope()
    by: Literal["nothing", "customer", "key"] = "nothing"
    rate: Milli | None = None
    burst: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    share_of: Literal["", "hits", "tries", "repeats"] = ""
    most: Share = 0.0
    scope: Literal["gateway", "fleet"] = "gateway"
    within: str = ""
    least: Share = 0.0
    over: LimitAction = LimitAction()
    trial: bool = False
    keys: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000

    def validation_error(self, sheet):
        known = {limit.name: limit for limit in sheet["limit"]}
        if len(known) >= MOST:
            return f"more than {MOST} limits"
        if self.name in known:
            return f"two limits are called {self.name!r}"
        if (self.rate is None) == (not self.share_of):
            return "a limit has either a rate or a share_of, with most"
        if self.share_of and not self.most:
            return f"a share of {self.share_of} needs most, above 0: how much of one each of them allows"
        if self.share_of and self.counts in (self.share_of, "hits"):
            return f"{self.counts} as a share of {self.share_of}: a count cannot be a share of itself"
        if self.where.group is not None and not any(g.name == self.where.group for g in sheet["path_group"]):
            return f"no path group {self.where.group!r} above this line"
        if self.where.customer is not None and not any(
            c.name == self.where.customer for c in sheet["customer"]
        ):
            return f"no customer {self.where.customer!r} above this line"
        if self.where.customer is not None and self.by == "customer":
            return "by customer, where there is one customer: leave out one of the two"
        if self.scope == "fleet" and self.share_of:
            return 'a share is of what one gateway sees: scope = "gateway"'
        if self.scope == "fleet" and not sheet["members"]:
            return (
                "a limit of the fleet needs members(...) above this line: "
                "its gateways have to know each other"
            )
        return self.parent_error(known, sheet) or self.duplicate_error(known)

    def parent_error(self, known, sheet):
        if not self.within:
            return "least is a part of another limit: say which one with within" if self.least else None
        parent = known.get(self.within)
        if parent is None:
            return f"no limit {self.within!r} above this line"
        if parent.rate is None or self.rate is None:
            return f"{self.name!r} within {self.within!r}: both need a rate"
        if not parent.counts_all_of(self):
            return f"{self.within!r} does not count all that {self.name!r} counts: it cannot be within it"
        if self.rate >= parent.rate and not self.least and parent.by == "nothing":
            return (
                f"{self.name!r} never binds: {self.within!r} is over first; "
                "give it a lower rate or leave it out"
            )
        if self.least:
            values = len(sheet["customer"]) if self.by == "customer" else 1
            others = sum(
                limit.least * (len(sheet["customer"]) if limit.by == "customer" else 1)
                for limit in known.values()
                if limit.within == self.within
            )
            if others + self.least * values > 1.0001:
                return (
                    f"the guarantees within {self.within!r} come to "
                    f"{others + self.least * values:.2f} of it: "
                    "they may come to 1 at most"
                )
            if self.by == "key":
                return "a guarantee by key: nobody knows how many keys there are; give it by customer"
            if self.least * parent.rate > self.rate:
                return f"the guarantee is more than {self.name!r} itself allows: lower least or raise rate"
        return None

    def duplicate_error(self, known):
        """Another limit on the same thing: only the stricter one ever binds."""
        for other in known.values():
            same = (other.counts, other.where, other.by, other.scope, other.share_of) == (
                self.counts,
                self.where,
                self.by,
                self.scope,
                self.share_of,
            )
            if same and self.rate is not None and not self.trial and not other.trial:
                lower = self if (self.rate, self.burst) <= (other.rate, other.burst) else other
                never = other if lower is self else self
                if never.rate >= lower.rate and never.burst >= lower.burst:
                    return (
                        f"{never.name!r} never binds beside {lower.name!r}, "
                        "which counts the same: leave one out"
                    )
        return None

    def counts_all_of(self, other) -> bool:
        wider = all(
            getattr(self.where, name) in (None, getattr(other.where, name))
            for name in ("group", "kind", "customer")
        )
        return wider and self.counts in ("hits", other.counts) and self.by in ("nothing", other.by)

    def limit_fields(self, parents: dict) -> dict:
        """The fields of `limits.rules.Limit`."""
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
    """The same for the same limits, in whatever order they stand: what the digest is of."""
    return msgspec.json.encode(
        sorted((msgspec.to_builtins(limit) for limit in limits), key=lambda row: row["name"]), order="sorted"
    )


LIMIT_FUNCTIONS = {
    "per_second": lambda count: round(count * 1000),
    "per_minute": lambda count: round(count * 1000 / 60),
    "where": lambda **fields: fields,
    "bounce": lambda advice=True: {"do": "bounce", "advice": advice},
    "only_count": lambda: {"do": "count"},
}
