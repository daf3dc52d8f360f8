"""The declarations that a day script may make, one record for each call."""

from typing import Annotated, Literal

from msgspec import Meta

from cobaltpond.settings import sections as p
from cobaltpond.settings.limits import LimitSettings
from cobaltpond.settings.reader import ANY_NUMBER, AT_MOST_ONE, EXACTLY_ONE

FAULT_KINDS = (
    "slow",
    "fast_errors",
    "vanish",
    "zone_cut",
    "burst",
    "tenant_burst",
    "discovery_stale",
    "control_down",
    "conn_squeeze",
    "handshake_slow",
    "balancer_stall",
    "false_reports",
    "give_up",
    "bad_requests",
    "neighbour",
    "shared_slow",
    "heavy_tail",
)
# a chunk that ends early, one that is another, a stranger's signature; a process that ends at once, never
# answers its health check, ends after a while of serving, does not hear the signal to stop
BROKEN_BUILD_KINDS = ("cut", "corrupt", "forged", "exit", "deaf", "crash", "stubborn")


class ScenarioParameters(p.Section, kw_only=True):
    length: p.Duration
    rate: Annotated[float, Meta(gt=0)]
    seed: int = 1
    crowds: p.PositiveCount = 1


class Fleet(p.Section, kw_only=True):
    instances: p.PositiveCount
    zones: list[str]
    cores: p.PositiveCount = 2
    slots: p.PositiveCount = 8
    queue: p.NonNegativeCount = 24
    speed_spread: p.Share = 0.15
    cold_share: p.Share = 0.4
    cold_time: p.Duration = 3_000_000
    cancel: Literal["none", "queued", "all"] = "queued"
    error_rate: p.Share = 0.0
    boot: p.Duration = 1_500_000
    cell: p.PositiveCount = 4
    agents: bool = False

    def validation_error(self, sheet):
        if self.agents and any(g.kind == "tagged" for g in sheet["path_group"]):
            return "instances behind agents do not drop each other's repeats: no tagged path group"


class Traffic(p.Section, kw_only=True):
    """How one path group's hits look on the wire and what they cost an instance."""

    group: p.Name
    share: Annotated[float, Meta(gt=0)]
    work: p.Duration
    method: Literal["GET", "POST"] = "GET"
    cv: p.NonNegativeNumber = 0.5
    dist: Literal["lognormal", "exp"] = "lognormal"

    def validation_error(self, sheet):
        if not any(g.name == self.group for g in sheet["path_group"]):
            return f"no path group {self.group!r} above this line"


class Clients(p.Section, kw_only=True):
    retries: p.NonNegativeCount = 2
    try_share: p.Share = 0.7
    backoff: p.Duration = 100_000
    style: Literal["fixed", "exp"] = "exp"
    honour: p.Share = 0.7
    marks: bool = True
    keys: p.NonNegativeCount = 0


class Gateway(p.Section, kw_only=True):
    zone: p.Name
    weight: p.NonNegativeNumber = 1.0


class ScenarioMembership(p.Section, kw_only=True):
    """The gateways know each other: `members(...)` of their sheets."""

    period: p.Duration = 1_000_000
    wait: p.Duration = 300_000


class ScenarioRecovery(p.RecoverySettings, kw_only=True):
    """`recovery(...)` of the gateways' sheets; `snapshots`: each has a place for one."""

    snapshots: bool = False


class Registry(p.Section, kw_only=True):
    """The list: how late it tells, and of what is silent."""

    by: Literal["push", "asking"] = "push"
    notice: p.NonNegativeDuration = 700_000
    spread: p.NonNegativeDuration = 200_000
    add: p.NonNegativeDuration = 500_000
    silent: p.Duration = 6_000_000
    ask_within: p.Duration = 10_000_000


class Offer(p.Section, kw_only=True):
    """`flaw`: what hits see of a bad build, or what is broken before it serves any (agents only). An operator
    sends it back `back_after` microseconds after the offer, or as soon as it is seen on trial in stage
    `back_in`."""

    at: p.Duration
    flaw: Literal[("", "errors", "slow", "class", "load", "late", "wrong", "shared", *BROKEN_BUILD_KINDS)] = (
        ""
    )
    strength: p.Share = 0.5
    group: str = ""
    speed: Annotated[float, Meta(gt=0)] = 1.0
    back_after: p.Duration | None = None
    back_in: p.NonNegativeCount | None = None

    def validation_error(self, sheet):
        if self.flaw in BROKEN_BUILD_KINDS and not any(f.agents for f in sheet["fleet"]):
            return f"a build broken by {self.flaw!r} needs fleet(agents = True) above this line"
        if self.back_in is not None and self.back_in >= len(sheet["release"][0].shares):
            return f"there is no stage {self.back_in}"


class InjectedFault(p.Section, kw_only=True):
    kind: Literal[FAULT_KINDS]
    at: p.Duration
    length: p.Duration
    size: float = 1.0
    extra: float = 0.0
    on: list[int] = []
    which: int = 0
    how: str = ""


class Kill(p.Section, kw_only=True):
    """`what`: gateway (by its number); with agents also agent, instance (both by the number of the place),
    desk."""

    gateway: p.NonNegativeCount = 0
    what: Literal["gateway", "agent", "instance", "desk"] = "gateway"
    at: p.Duration
    back_after: p.Duration = 2_000_000


SCENARIO_CALLS = {
    "path_group": (p.PathGroupSettings, ANY_NUMBER),
    "customer": (p.CustomerSettings, ANY_NUMBER),
    "release": (p.ReleaseSettings, EXACTLY_ONE),
    "rules": (p.RuleSettings, EXACTLY_ONE),
    "allow": (p.PermissionSettings, AT_MOST_ONE),
    "reports": (p.ReportSettings, AT_MOST_ONE),
    "prices": (p.PriceSettings, AT_MOST_ONE),
    "day": (ScenarioParameters, EXACTLY_ONE),
    "fleet": (Fleet, EXACTLY_ONE),
    "traffic": (Traffic, ANY_NUMBER),
    "clients": (Clients, AT_MOST_ONE),
    "gateway": (Gateway, ANY_NUMBER),
    "registry": (Registry, AT_MOST_ONE),
    "offer": (Offer, ANY_NUMBER),
    "trouble": (InjectedFault, ANY_NUMBER),
    "kill": (Kill, ANY_NUMBER),
    "door": (p.FrontendSettings, AT_MOST_ONE),
    "members": (ScenarioMembership, AT_MOST_ONE),
    "recovery": (ScenarioRecovery, AT_MOST_ONE),
    "limit": (LimitSettings, ANY_NUMBER),
}
