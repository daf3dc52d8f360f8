"""Applies the configured rate limits to a hit before the decisions see it, and shares fleet-wide limits."""

from cobaltpond.leases.service import Leases
from cobaltpond.limits.compiled import CompiledLimits
from cobaltpond.limits.rules import HitAttributes, Limit

OWN_SHARE_DIVISOR = 5  # a fifth of a fleet-wide limit is split evenly among the gateways; the rest is leased
LEASE_TIME_US = 2_000_000


class AdmissionLimits:
    """Checks `settings.limits` for one gateway.

    `members` (`members.service.Members`) is needed only where a limit applies to the whole fleet; it carries
    the lease messages between the gateways.
    """

    def __init__(self, loop, settings, number: int, members, log):
        self.loop, self.log, self.settings, self.logged_at = loop, log, settings, {}
        parents = {limit.name: limit for limit in settings.limits}
        rules = [Limit(**limit.limit_fields(parents)) for limit in settings.limits]
        self.count = len(settings.gateways)
        self.limits = CompiledLimits(rules, self.own_rate)
        names = [limit.name for limit in rules if limit.fleet]
        pools = {limit.name: limit.rate - self.count * self.own_rate(limit) for limit in rules if limit.fleet}
        self.leases = (
            Leases(loop, number, self.count, members, self.limits, names, pools, LEASE_TIME_US)
            if names
            else None
        )

    def own_rate(self, limit: Limit) -> int:
        """Returns the part of `limit.rate`, in the same unit, that this gateway may use without a lease."""
        return limit.rate // OWN_SHARE_DIVISOR // self.count if limit.fleet else limit.rate

    def check(self, group, customer, key, is_retry):
        """Consumes tokens for one hit and returns a `limits.rules.LimitVerdict`.

        `group` is the path group's settings; `customer` and `key` are None where the request names none.
        """
        verdict = self.limits.check(
            self.loop.now(), HitAttributes(group.name, group.kind, customer, key, is_retry)
        )
        for name in verdict.exceeded:  # logged at most once a second per limit: a flood must not fill the log
            if self.loop.now() - self.logged_at.get(name, -1_000_000) >= 1_000_000:
                self.logged_at[name] = self.loop.now()
                self.log.info(
                    "over a limit", limit=name, bounced=verdict.rejected_by == name, customer=customer
                )
        return verdict

    def status(self) -> dict:
        """Returns counts per limit and the state of the leases, for `/-/status`.

        `leases` is None without fleet limits.
        """
        return {
            "limits": {
                name: {"let_through": through, "over": over}
                for name, (through, over) in self.limits.counts.items()
            },
            "leases": self.leases.status() if self.leases else None,
        }
