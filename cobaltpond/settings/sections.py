"""What a sheet consists of: one frozen record a call of the Starlark file. Times are whole microseconds."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

from cobaltpond.wire.address import split_address  # noqa: F401  (known by this name all over)

Name = Annotated[str, Meta(min_length=1, max_length=80)]
Duration = Annotated[int, Meta(ge=1000, description="a time: ms(...) or s(...), at least 1 ms")]
NonNegativeDuration = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
PositiveCount = Annotated[int, Meta(ge=1)]
NonNegativeCount = Annotated[int, Meta(ge=0)]
NonNegativeNumber = Annotated[float, Meta(ge=0)]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$", description="host:port")]


class Section(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One call; what is wrong beyond a field's own bounds is said by `validation_error`."""

    def validation_error(self, sheet: dict) -> str | None:
        return None


class PathGroupSettings(Section, kw_only=True):
    name: Name
    target_latency: Duration
    client_timeout: Duration
    kind: Literal["repeatable", "tagged", "mutating"] = "mutating"
    scope: Literal["all", "zone", "cell"] = "all"
    repeat_window: NonNegativeDuration = 0
    benefit: NonNegativeNumber = 1.0
    late_benefit: Share = 0.0
    target_stretch: NonNegativeNumber = 0.0

    def validation_error(self, sheet):
        if self.target_latency > self.client_timeout:
            return "target_latency is longer than client_timeout"
        if self.kind == "tagged" and not self.repeat_window:
            return "a tagged path group needs repeat_window: how long instances drop a repeat"
        if any(g.name == self.name for g in sheet["path_group"]):
            return f"two path groups are called {self.name!r}"


class RouteSettings(Section, kw_only=True):
    """`path` as sent, with `*` at its end for all below; the first route that fits holds."""

    path: Annotated[str, Meta(pattern=r"^/[^*]*\*?$")]
    group: Name
    method: Literal["*", "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"] = "*"

    def validation_error(self, sheet):
        if not any(g.name == self.group for g in sheet["path_group"]):
            return f"no path group {self.group!r} above this line"


class CustomerSettings(Section, kw_only=True):
    name: Name
    share: Share

    def validation_error(self, sheet):
        if sum(c.share for c in sheet["customer"]) + self.share > 1.0001:
            return "the customers' shares come to more than 1"


class ReleaseSettings(Section, kw_only=True):
    """How a build goes out, and what the desk and the gateways hold each other to."""

    gate: Literal["any", "count", "clock"]
    layout: Literal["beside", "in place"]
    shares: list[Share]
    caps: list[Share]
    exposure_window: Duration
    exposure_free: NonNegativeNumber = 2.0
    exposure_by: Literal["all", "path group"] = "all"
    shielded_stages: NonNegativeCount = 0
    keys_stay: bool = False
    on_votes: NonNegativeCount = 1
    hold_votes: NonNegativeCount = 1
    back_votes: PositiveCount = 1
    vote_life: Duration
    vote_wait: Duration
    vote_rate: Annotated[float, Meta(gt=0)] = 50.0
    dwell: NonNegativeDuration
    step: NonNegativeDuration = 4_000_000
    settle: NonNegativeDuration = 1_000_000
    start_within: Duration = 8_000_000
    drain_time: Duration = 1_500_000
    news_period: Duration = 4_000_000
    tally_period: NonNegativeDuration = 0
    tally_sample: Share = 0.0
    wrong_reported: Share = 0.0
    warm_keys: bool = False
    delay_price: NonNegativeNumber = 0.0
    harm_price: NonNegativeNumber = 0.0

    def validation_error(self, sheet):
        if not self.shares or len(self.shares) != len(self.caps):
            return "shares and caps need one figure a stage each"
        if self.shares != sorted(self.shares) or self.caps != sorted(self.caps):
            return "shares and caps may not fall from stage to stage"
        if self.shares[-1] != 1.0:
            return "the last stage's share must be 1.0: it releases the build"


class RuleSettings(Section, kw_only=True):
    """The figures behind the five rules."""

    drain_grace: Duration
    cold_time: Duration
    cold_share: Share
    overload_factor: NonNegativeNumber
    tip_time: Duration
    answer_slack: Duration = 20_000


class PermissionSettings(Section, kw_only=True):
    most_forwards: PositiveCount = 3
    cancel: bool = True
    probe: bool = False
    tell: bool = False
    advise: bool = True
    most_advice: Duration = 2_000_000


class ReportSettings(Section, kw_only=True):
    how: Literal["answers", "probe", "none"] = "answers"
    names: list[Literal["util", "inflight", "queue", "latency_ms", "qps", "eps"]] = []


class PriceSettings(Section, kw_only=True):
    crossing: NonNegativeNumber = 0.0
    probe: NonNegativeNumber = 0.0
    tell: NonNegativeNumber = 0.0
    waste: NonNegativeNumber = 0.0


class FrontendSettings(Section, kw_only=True):
    """Limits towards clients: bytes, counts, times. `hold` is what of a body is kept to be sent again, and of
    an answer before its first byte goes out (the point of no return)."""

    head_limit: Annotated[int, Meta(ge=512)] = 16 << 10
    target_limit: Annotated[int, Meta(ge=64)] = 4 << 10
    field_limit: PositiveCount = 100
    body_limit: NonNegativeCount = 8 << 20
    hold: Annotated[int, Meta(ge=1024)] = 64 << 10
    connections: PositiveCount = 8192
    backlog: PositiveCount = 512
    head_time: Duration = 10_000_000
    idle_time: Duration = 60_000_000
    write_time: Duration = 10_000_000
    hits: PositiveCount = 20_000
    customer_field: Name = "cobaltpond-customer"
    key_field: Name = "cobaltpond-key"
    timeout_field: Name = "cobaltpond-timeout-ms"
    again_field: Name = "cobaltpond-try"
    cost_field: Name = "cobaltpond-cost-ms"


class InstanceSettings(Section, kw_only=True):
    """Limits towards instances. `rest_time`: how long a connection rests after an answer before the next hit
    goes over it; for instances that may answer a hit twice."""

    dial_time: Duration = 250_000
    idle_time: Duration = 15_000_000
    rest_time: NonNegativeDuration = 0
    connections: PositiveCount = 512
    answer_limit: Annotated[int, Meta(ge=1024)] = 1 << 30
    probe_path: Annotated[str, Meta(pattern="^/")] = "/-/probe"
    probe_time: Duration = 250_000
    refusals: tuple[int, ...] = (429,)


class InstanceListSettings(Section, kw_only=True):
    address: Address
    by: Literal["push", "asking"] = "push"
    ask_within: Duration = 10_000_000
    silence: Duration = 15_000_000


class DeskSettings(Section, kw_only=True):
    address: Address
    platform: Address | None = None
    journal: str | None = None


class GatewaySettings(Section, kw_only=True):
    """`door` for clients, `peers` for datagrams of other gateways (`bind`: where it takes them itself, if
    they come another way than straight), `memory`: the file of the kept list, `snapshot`: that of what it has
    learned."""

    number: NonNegativeCount
    zone: Name
    door: Address
    peers: Address | None = None
    bind: Address | None = None
    memory: str | None = None
    snapshot: str | None = None

    def validation_error(self, sheet):
        if self.number != len(sheet["gateway"]):
            return f"gateways are numbered in order from 0; {len(sheet['gateway'])} comes next"
        if any(g.door == self.door for g in sheet["gateway"]):
            return f"two gateways at {self.door}"


class MembershipSettings(Section, kw_only=True):
    """Gateways that know each other (docs/members.md). `period`: one probe so often; `wait`: for its answer,
    before others are asked to help; `judges`: of a build are chosen among those who are there."""

    period: Duration = 1_000_000
    wait: Duration = 300_000
    judges: bool = True

    def validation_error(self, sheet):
        if 3 * self.wait > self.period:
            return "wait may be a third of period at most: helpers need as long again, and back"
        if len(sheet["gateway"]) < 2:
            return "membership needs two gateways above this line"
        without = [g.number for g in sheet["gateway"] if g.peers is None]
        if without:
            return f'gateway {without[0]} has no address for datagrams: give it peers = "host:port"'
        doubled = [
            g.peers
            for n, g in enumerate(sheet["gateway"])
            if g.peers in [other.peers for other in sheet["gateway"][:n]]
        ]
        if doubled:
            return f"two gateways take datagrams at {doubled[0]}"
        if len(sheet["gateway"]) > 65_535:
            return "more than 65535 gateways"


class RecoverySettings(Section, kw_only=True):
    """Coming back (docs/recovery.md). `dials`: new connections a second that one instance bears from all
    gateways together, 0 for no bound; `calls`: first calls a second that the list bears, and the desk, 0 for
    no bound; `warm`: ask settled gateways; `asks`: answers a second that one of them gives; `hear`,
    `warming`, `settle`: the longest in each phase; `snapshot_every`: between two snapshots, where a gateway
    has a place for one."""

    dials: NonNegativeNumber = 0.0
    calls: NonNegativeNumber = 0.0
    warm: bool = True
    asks: PositiveCount = 20
    hear: Duration = 3_000_000
    warming: Duration = 500_000
    settle: Duration = 15_000_000
    snapshot_every: Duration = 2_000_000

    def validation_error(self, sheet):
        if 0 < self.dials < 0.1:
            return "dials below 0.1 a second: ten seconds between two connections of the whole fleet"
        if 0 < self.calls < 0.1:
            return "calls below 0.1 a second: ten seconds between two gateways that begin"


class BuildSettings(Section, kw_only=True):
    """Where agents get builds, and what they may cost. `keys`: the file of the first key ring; `rate`: bytes
    a second, 0 for no bound; `most`: bytes of the store."""

    sources: list[Address]
    keys: str
    rate: NonNegativeCount = 0
    most: PositiveCount = 20 << 30
    prune_after: Duration = 7 * 24 * 3600 * 1_000_000
    ready_time: Duration = 10_000_000
    stop_time: Duration = 3_000_000
    changes: PositiveCount = 1 << 20


class HostSettings(Section, kw_only=True):
    """One place of the fleet: `ports` is the first of eight that its instances use in turn."""

    place: Name
    zone: Name
    folder: str
    ports: Annotated[int, Meta(ge=1024, le=65527)]
    address: Annotated[str, Meta(pattern="^[0-9.]+$")] = "127.0.0.1"
    cell: NonNegativeCount = 0

    def validation_error(self, sheet):
        if any(h.place == self.place for h in sheet["host"]):
            return f"two hosts for place {self.place!r}"
        if any(abs(h.ports - self.ports) < 8 and h.address == self.address for h in sheet["host"]):
            return "ports overlap with another host's"
