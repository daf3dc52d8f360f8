"""The declarations of a scenario script, one struct for each Starlark call."""

from typing import Annotated, Literal

from msgspec import Meta

from cobaltpond.settings import sections
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
# cut: a chunk ends early; corrupt: a chunk has other content; forged: signed with an unknown key; exit: the
# process ends at once; deaf: it never answers its health check; crash: it ends after serving for a while;
# stubborn: it ignores the signal to stop.
BROKEN_BUILD_KINDS = ("cut", "corrupt", "forged", "exit", "deaf", "crash", "stubborn")


class ScenarioParameters(sections.Section, kw_only=True):
    """Length (microseconds), hits per second, seed and number of client processes of a scenario."""

    length: sections.Duration
    rate: Annotated[float, Meta(gt=0)]
    seed: int = 1
    crowds: sections.PositiveCount = 1


class Fleet(sections.Section, kw_only=True):
    """The instances and their capacity; with `agents`, agents start them as processes of their own."""

    instances: sections.PositiveCount
    zones: list[str]
    cores: sections.PositiveCount = 2
    slots: sections.PositiveCount = 8
    queue: sections.NonNegativeCount = 24
    speed_spread: sections.Share = 0.15
    cold_share: sections.Share = 0.4
    cold_time: sections.Duration = 3_000_000
    cancel: Literal["none", "queued", "all"] = "queued"
    error_rate: sections.Share = 0.0
    boot: sections.Duration = 1_500_000
    cell: sections.PositiveCount = 4
    agents: bool = False

    def validation_error(self, calls):
        """The text of an inconsistency, or None."""
        if self.agents and any(g.kind == "tagged" for g in calls["path_group"]):
            return "instances behind agents do not drop each other's repeats: no tagged path group"


class Traffic(sections.Section, kw_only=True):
    """The requests of one path group and the work, in microseconds, that they cost an instance."""

    group: sections.Name
    share: Annotated[float, Meta(gt=0)]
    work: sections.Duration
    method: Literal["GET", "POST"] = "GET"
    cv: sections.NonNegativeNumber = 0.5
    dist: Literal["lognormal", "exp"] = "lognormal"

    def validation_error(self, calls):
        """The text of an inconsistency, or None."""
        if not any(g.name == self.group for g in calls["path_group"]):
            return f"no path group {self.group!r} above this line"


class Clients(sections.Section, kw_only=True):
    """The retry behaviour of the clients; `honour` is the share that follows retry advice."""

    retries: sections.NonNegativeCount = 2
    try_share: sections.Share = 0.7
    backoff: sections.Duration = 100_000
    style: Literal["fixed", "exp"] = "exp"
    honour: sections.Share = 0.7
    marks: bool = True
    keys: sections.NonNegativeCount = 0


class Gateway(sections.Section, kw_only=True):
    """One gateway and its weight in the clients' choice."""

    zone: sections.Name
    weight: sections.NonNegativeNumber = 1.0


class ScenarioMembership(sections.Section, kw_only=True):
    """Membership among the gateways: `members(...)` of their settings."""

    period: sections.Duration = 1_000_000
    wait: sections.Duration = 300_000


class ScenarioRecovery(sections.RecoverySettings, kw_only=True):
    """`recovery(...)` of the gateways' settings; with `snapshots`, each gateway has a snapshot path."""

    snapshots: bool = False


class Registry(sections.Section, kw_only=True):
    """The instance list: its delays, in microseconds, for changes and for instances that are silent."""

    by: Literal["push", "asking"] = "push"
    notice: sections.NonNegativeDuration = 700_000
    spread: sections.NonNegativeDuration = 200_000
    add: sections.NonNegativeDuration = 500_000
    silent: sections.Duration = 6_000_000
    ask_within: sections.Duration = 10_000_000


class Offer(sections.Section, kw_only=True):
    """A build that is offered during the scenario.

    `flaw` is the fault that hits see in a bad build, or what is broken before it serves any hit (agents
    only). An operator sends the build back `back_after` microseconds after the offer, or as soon as it is on
    trial in stage `back_in`.
    """

    at: sections.Duration
    flaw: Literal[("", "errors", "slow", "class", "load", "late", "wrong", "shared", *BROKEN_BUILD_KINDS)] = (
        ""
    )
    strength: sections.Share = 0.5
    group: str = ""
    speed: Annotated[float, Meta(gt=0)] = 1.0
    back_after: sections.Duration | None = None
    back_in: sections.NonNegativeCount | None = None

    def validation_error(self, calls):
        """The text of an inconsistency, or None."""
        if self.flaw in BROKEN_BUILD_KINDS and not any(f.agents for f in calls["fleet"]):
            return f"a build broken by {self.flaw!r} needs fleet(agents = True) above this line"
        if self.back_in is not None and self.back_in >= len(calls["release"][0].shares):
            return f"there is no stage {self.back_in}"


class InjectedFault(sections.Section, kw_only=True):
    """A fault injected from `at` for `length` microseconds; the other fields depend on `kind`."""

    kind: Literal[FAULT_KINDS]
    at: sections.Duration
    length: sections.Duration
    size: float = 1.0
    extra: float = 0.0
    on: list[int] = []
    which: int = 0
    how: str = ""


class Kill(sections.Section, kw_only=True):
    """A process that is killed and started again `back_after` microseconds later.

    `what` is gateway (by its number); with agents also agent and instance (by place number), or desk.
    """

    gateway: sections.NonNegativeCount = 0
    what: Literal["gateway", "agent", "instance", "desk"] = "gateway"
    at: sections.Duration
    back_after: sections.Duration = 2_000_000


SCENARIO_CALLS = {
    "path_group": (sections.PathGroupSettings, ANY_NUMBER),
    "customer": (sections.CustomerSettings, ANY_NUMBER),
    "release": (sections.ReleaseSettings, EXACTLY_ONE),
    "rules": (sections.RuleSettings, EXACTLY_ONE),
    "allow": (sections.PermissionSettings, AT_MOST_ONE),
    "reports": (sections.ReportSettings, AT_MOST_ONE),
    "prices": (sections.PriceSettings, AT_MOST_ONE),
    "day": (ScenarioParameters, EXACTLY_ONE),
    "fleet": (Fleet, EXACTLY_ONE),
    "traffic": (Traffic, ANY_NUMBER),
    "clients": (Clients, AT_MOST_ONE),
    "gateway": (Gateway, ANY_NUMBER),
    "registry": (Registry, AT_MOST_ONE),
    "offer": (Offer, ANY_NUMBER),
    "trouble": (InjectedFault, ANY_NUMBER),
    "kill": (Kill, ANY_NUMBER),
    "door": (sections.FrontendSettings, AT_MOST_ONE),
    "members": (ScenarioMembership, AT_MOST_ONE),
    "recovery": (ScenarioRecovery, AT_MOST_ONE),
    "limit": (LimitSettings, ANY_NUMBER),
}
