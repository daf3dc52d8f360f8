"""The settings of the whole deployment: all sections together, their digest, and the settings of the
decisions.
"""

from zlib import crc32

import msgspec
from msgspec import Struct

from cobaltpond.settings.sections import (
    BuildSettings,
    CustomerSettings,
    DeskSettings,
    FrontendSettings,
    GatewaySettings,
    HostSettings,
    InstanceListSettings,
    InstanceSettings,
    MembershipSettings,
    PathGroupSettings,
    PermissionSettings,
    PriceSettings,
    RecoverySettings,
    ReleaseSettings,
    ReportSettings,
    RouteSettings,
    RuleSettings,
)

KEPT_KEYS_PER_CONNECTION = 64  # idempotency keys that are remembered for each client connection


class DeploymentSettings(Struct, frozen=True):
    """Everything that a settings file declares; the sections say what the fields mean.

    Attributes:
        path_groups: at least one.
        routes: at least one, in the order in which they are tried.
        customers: may be empty.
        gateways: at least one, in the order of their numbers.
        release: the release process.
        rules: the parameters of the audited rules.
        allow: what the decisions may do.
        reports: load reports.
        prices: costs for the decisions.
        door: limits towards clients.
        instances: limits towards instances.
        listing: source of the list of instances.
        desk: the release desk.
        builds: source of builds; None where no agents run.
        hosts: hosts with agents.
        members: None: gateways do not know each other.
        recovery: None: no paced recovery.
        limits: a tuple of `settings.limits.LimitSettings`.
        tick: resolution of the clock of the decisions, in microseconds.
        over_share_benefit: benefit of hits over their customer's share, passed to the decisions.
    """

    path_groups: tuple[PathGroupSettings, ...]
    routes: tuple[RouteSettings, ...]
    customers: tuple[CustomerSettings, ...]
    gateways: tuple[GatewaySettings, ...]
    release: ReleaseSettings
    rules: RuleSettings
    allow: PermissionSettings
    reports: ReportSettings
    prices: PriceSettings
    door: FrontendSettings
    instances: InstanceSettings
    listing: InstanceListSettings
    desk: DeskSettings
    builds: BuildSettings | None = None
    hosts: tuple[HostSettings, ...] = ()
    members: MembershipSettings | None = None
    recovery: RecoverySettings | None = None
    limits: tuple = ()  # of `settings.limits.LimitSettings`
    tick: int = 1000
    over_share_benefit: float = 0.1

    def digest(self) -> int:
        """Returns a CRC-32 of everything that all gateways must have in common. Addresses and files of the
        single gateways are left out, and the order of the limits does not matter.
        """
        comparable = msgspec.structs.replace(
            self,
            gateways=tuple(
                GatewaySettings(number=g.number, zone=g.zone, door="0.0.0.0:0") for g in self.gateways
            ),
        )
        ordered = msgspec.structs.replace(
            comparable, limits=tuple(sorted(comparable.limits, key=lambda limit: limit.name))
        )
        return crc32(msgspec.json.encode(ordered))

    @property
    def zones(self) -> list[str]:
        """The zones of the gateways, without repetition, in the order of the file."""
        return list(dict.fromkeys(g.zone for g in self.gateways))

    def policy_settings(self, number: int) -> dict:
        """Returns the settings that the decisions of gateway `number` get, as a plain map. Times are in
        microseconds.
        """
        release, rules, allow = self.release, self.rules, self.allow
        groups = [
            {
                "name": g.name,
                "kind": g.kind,
                "scope": g.scope,
                "repeat_window": g.repeat_window,
                "target_latency": g.target_latency,
                "client_timeout": g.client_timeout,
                "benefit": g.benefit,
                "late_benefit": g.late_benefit,
                "target_stretch": g.target_stretch,
            }
            for g in self.path_groups
        ]
        return {
            "path_groups": groups,
            "customers": [{"name": c.name, "share": c.share} for c in self.customers],
            "gateways": len(self.gateways),
            "number": number,
            "zone": self.gateways[number].zone,
            "zones": self.zones,
            "tick": self.tick,
            "over_share_benefit": self.over_share_benefit,
            "benefit_by": "request",
            "weights": "nominal",
            "reports": self.reports.how,
            "report_names": list(self.reports.names),
            "gate": release.gate,
            "layout": release.layout,
            "stage_shares": list(release.shares),
            "stage_caps": list(release.caps),
            "exposure_window": release.exposure_window,
            "exposure_free": release.exposure_free,
            "exposure_by": release.exposure_by,
            "shielded_stages": release.shielded_stages,
            "keys_stay": release.keys_stay,
            "most_kept_keys": KEPT_KEYS_PER_CONNECTION * self.door.connections,
            "vote_life": release.vote_life,
            "vote_wait": release.vote_wait,
            "vote_rate": release.vote_rate,
            "on_votes": release.on_votes,
            "back_votes": release.back_votes,
            "hold_votes": release.hold_votes,
            "dwell": release.dwell,
            "step": release.step,
            "news_period": release.news_period,
            "delay_price": release.delay_price,
            "harm_price": release.harm_price,
            "tally_period": release.tally_period,
            "tally_sample": release.tally_sample,
            "wrong_reported": release.wrong_reported,
            "warm_keys": release.warm_keys,
            "may_cancel": allow.cancel,
            "may_duplicate": False,
            "may_probe": allow.probe,
            "may_tell": allow.tell and len(self.gateways) > 1,
            "may_advise": allow.advise,
            "most_advice": allow.most_advice,
            "most_forwards": allow.most_forwards,
            "dial_time_out": self.instances.dial_time,
            "drain_grace": rules.drain_grace,
            "cold_time": rules.cold_time,
            "cold_share": rules.cold_share,
            "overload_factor": rules.overload_factor,
            "tip_time": rules.tip_time,
            "ask_within": self.listing.ask_within,
            "list_by": self.listing.by,
            "crossing_price": self.prices.crossing,
            "probe_price": self.prices.probe,
            "tell_price": self.prices.tell,
            "waste_price": self.prices.waste,
            "paced": bool(self.recovery and self.recovery.dials),
        }
