"""The sheet's limits at the door: what they say of a hit before the decisions hear of it, and what is shared
by all."""

from cobaltpond.leases.service import Leases
from cobaltpond.limits.compiled import CompiledLimits
from cobaltpond.limits.rules import HitAttributes, Limit

OWN = 5  # a fifth of a fleet's limit is everybody's own, in equal parts
LIFE = 2_000_000  # of a lease


class AdmissionLimits:
    """`settings.limits`; `members`: `members.service.Members`, needed for limits of the whole fleet."""

    def __init__(self, loop, sheet, number: int, members, log):
        self.loop, self.log, self.settings, self.noted = loop, log, sheet, {}
        parents = {limit.name: limit for limit in sheet.limits}
        plain = [Limit(**limit.limit_fields(parents)) for limit in sheet.limits]
        self.count = len(sheet.gateways)
        self.limits = CompiledLimits(plain, self.own_rate)
        names = [limit.name for limit in plain if limit.fleet]
        pools = {limit.name: limit.rate - self.count * self.own_rate(limit) for limit in plain if limit.fleet}
        self.leases = (
            Leases(loop, number, self.count, members, self.limits, names, pools, LIFE) if names else None
        )

    def own_rate(self, limit: Limit) -> int:
        return limit.rate // OWN // self.count if limit.fleet else limit.rate

    def check(self, group, customer, key, again):
        """A `limits.rules.Verdict`."""
        verdict = self.limits.check(
            self.loop.now(), HitAttributes(group.name, group.kind, customer, key, again)
        )
        for name in verdict.over:  # once a second each: a flood must not fill the log
            if self.loop.now() - self.noted.get(name, -1_000_000) >= 1_000_000:
                self.noted[name] = self.loop.now()
                self.log.info("over a limit", limit=name, bounced=verdict.by == name, customer=customer)
        return verdict

    def status(self) -> dict:
        return {
            "limits": {
                name: {"let_through": through, "over": over}
                for name, (through, over) in self.limits.counts.items()
            },
            "leases": self.leases.status() if self.leases else None,
        }
