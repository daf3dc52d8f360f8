"""The declarations that a day script may make, one record for each call."""

from typing import Annotated, Literal

from msgspec import Meta

from cobaltpond.settings import sections as p
from cobaltpond.settings.limits import Limit
from cobaltpond.settings.reader import MANY, NEEDED, ONE

TROUBLES = (
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
BROKEN = ("cut", "corrupt", "forged", "exit", "deaf", "crash", "stubborn")


class Day(p.Part, kw_only=True):
    length: p.Span
    rate: Annotated[float, Meta(gt=0)]
    seed: int = 1
    crowds: p.Count = 1


class Fleet(p.Part, kw_only=True):
    instances: p.Count
    zones: list[str]
    cores: p.Count = 2
    slots: p.Count = 8
    queue: p.Many = 24
    speed_spread: p.Share = 0.15
    cold_share: p.Share = 0.4
    cold_time: p.Span = 3_000_000
    cancel: Literal["none", "queued", "all"] = "queued"
    error_rate: p.Share = 0.0
    boot: p.Span = 1_500_000
    cell: p.Count = 4
    agents: bool = False

    def wrong(self, sheet):
        if self.agents and any(g.kind == "tagged" for g in sheet["path_group"]):
            return "instances behind agents do not drop each other's repeats: no tagged path group"


class Traffic(p.Part, kw_only=True):
    """How one path group's hits look on the wire and what they cost an instance."""

    group: p.Name
    share: Annotated[float, Meta(gt=0)]
    work: p.Span
    method: Literal["GET", "POST"] = "GET"
    cv: p.Price = 0.5
    dist: Literal["lognormal", "exp"] = "lognormal"

    def wrong(self, sheet):
        if not any(g.name == self.group for g in sheet["path_group"]):
            return f"no path group {self.group!r} above this line"


class Clients(p.Part, kw_only=True):
    retries: p.Many = 2
    try_share: p.Share = 0.7
    backoff: p.Span = 100_000
    style: Literal["fixed", "exp"] = "exp"
    honour: p.Share = 0.7
    marks: bool = True
    keys: p.Many = 0


class Gateway(p.Part, kw_only=True):
    zone: p.Name
    weight: p.Price = 1.0


class Known(p.Part, kw_only=True):
    """The gateways know each other: `members(...)` of their sheets."""

    period: p.Span = 1_000_000
    wait: p.Span = 300_000


class Back(p.Recovery, kw_only=True):
    """`recovery(...)` of the gateways' sheets; `snapshots`: each has a place for one."""

    snapshots: bool = False


class Registry(p.Part, kw_only=True):
    """The list: how late it tells, and of what is silent."""

    by: Literal["push", "asking"] = "push"
    notice: p.Pause = 700_000
    spread: p.Pause = 200_000
    add: p.Pause = 500_000
    silent: p.Span = 6_000_000
    ask_within: p.Span = 10_000_000


class Offer(p.Part, kw_only=True):
    """`flaw`: what hits see of a bad build, or what is broken before it serves any (agents only). An operator
    sends it back `back_after` microseconds after the offer, or as soon as it is seen on trial in stage
    `back_in`."""

    at: p.Span
    flaw: Literal[("", "errors", "slow", "class", "load", "late", "wrong", "shared", *BROKEN)] = ""
    strength: p.Share = 0.5
    group: str = ""
    speed: Annotated[float, Meta(gt=0)] = 1.0
    back_after: p.Span | None = None
    back_in: p.Many | None = None

    def wrong(self, sheet):
        if self.flaw in BROKEN and not any(f.agents for f in sheet["fleet"]):
            return f"a build broken by {self.flaw!r} needs fleet(agents = True) above this line"
        if self.back_in is not None and self.back_in >= len(sheet["release"][0].shares):
            return f"there is no stage {self.back_in}"


class Trouble(p.Part, kw_only=True):
    kind: Literal[TROUBLES]
    at: p.Span
    length: p.Span
    size: float = 1.0
    extra: float = 0.0
    on: list[int] = []
    which: int = 0
    how: str = ""


class Kill(p.Part, kw_only=True):
    """`what`: gateway (by its number); with agents also agent, instance (both by the number of the place),
    desk."""

    gateway: p.Many = 0
    what: Literal["gateway", "agent", "instance", "desk"] = "gateway"
    at: p.Span
    back_after: p.Span = 2_000_000


CALLS = {
    "path_group": (p.PathGroup, MANY),
    "customer": (p.Customer, MANY),
    "release": (p.Release, NEEDED),
    "rules": (p.Rules, NEEDED),
    "allow": (p.Allow, ONE),
    "reports": (p.Reports, ONE),
    "prices": (p.Prices, ONE),
    "day": (Day, NEEDED),
    "fleet": (Fleet, NEEDED),
    "traffic": (Traffic, MANY),
    "clients": (Clients, ONE),
    "gateway": (Gateway, MANY),
    "registry": (Registry, ONE),
    "offer": (Offer, MANY),
    "trouble": (Trouble, MANY),
    "kill": (Kill, MANY),
    "door": (p.Door, ONE),
    "members": (Known, ONE),
    "recovery": (Back, ONE),
    "limit": (Limit, MANY),
}
