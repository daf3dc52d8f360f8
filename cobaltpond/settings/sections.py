"""The sections of a settings file: one immutable record for each call. Times are whole microseconds,
shares are fractions between 0 and 1. Field names are the keywords of the file, and their order enters
the digest of the settings.
"""

from typing import Annotated, Literal

from msgspec import Meta

from cobaltpond.settings.release_sections import (  # noqa: F401  (`sections` offers all sections)
    PermissionSettings,
    ReleaseSettings,
    RuleSettings,
)
from cobaltpond.settings.values import (
    Address,
    Duration,
    Name,
    NonNegativeCount,
    NonNegativeDuration,
    NonNegativeNumber,
    PositiveCount,
    Section,
    Share,
)
from cobaltpond.wire.address import split_address  # noqa: F401  (other packages import it from here)


class PathGroupSettings(Section, kw_only=True):
    """Requests that are treated alike: `path_group(...)`.

    Attributes:
        name: unique name of the path group.
        target_latency: latency that a hit should not exceed, in microseconds.
        client_timeout: time after which a client gives up, in microseconds; not shorter than target_latency.
        kind: "repeatable" hits may be forwarded again freely, "tagged" ones within repeat_window to instances
            that drop the repeat, "mutating" ones not after they may have run.
        scope: which instances drop a repeat of a tagged hit that ran elsewhere: all, those of its zone, or
            those of its cell.
        repeat_window: how long instances recognise and drop a repeat, in microseconds; required for tagged
            groups.
        benefit: benefit of a hit that is answered in time.
        late_benefit: share of the benefit that a late answer still has.
        target_stretch: passed to the decisions unchanged.
    """

    name: Name
    target_latency: Duration
    client_timeout: Duration
    kind: Literal["repeatable", "tagged", "mutating"] = "mutating"
    scope: Literal["all", "zone", "cell"] = "all"
    repeat_window: NonNegativeDuration = 0
    benefit: NonNegativeNumber = 1.0
    late_benefit: Share = 0.0
    target_stretch: NonNegativeNumber = 0.0

    def validation_error(self, declared):
        """Returns what is wrong with this call, or None; see `Section.validation_error`."""
        if self.target_latency > self.client_timeout:
            return "target_latency is longer than client_timeout"
        if self.kind == "tagged" and not self.repeat_window:
            return "a tagged path group needs repeat_window: how long instances drop a repeat"
        if any(g.name == self.name for g in declared["path_group"]):
            return f"two path groups are called {self.name!r}"


class RouteSettings(Section, kw_only=True):
    """Assigns requests to a path group: `route(...)`. The first route that matches applies.

    Attributes:
        path: the path as the client sends it; a `*` at its end matches every longer path.
        group: name of a path group above this line.
        method: HTTP method, or "*" for all.
    """

    path: Annotated[str, Meta(pattern=r"^/[^*]*\*?$")]
    group: Name
    method: Literal["*", "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"] = "*"

    def validation_error(self, declared):
        """Returns what is wrong with this call, or None; see `Section.validation_error`."""
        if not any(g.name == self.group for g in declared["path_group"]):
            return f"no path group {self.group!r} above this line"


class CustomerSettings(Section, kw_only=True):
    """A customer of the service: `customer(...)`.

    Attributes:
        name: name as it stands in the customer header.
        share: share of all hits within a sliding window that the customer is entitled to; all shares add up
            to 1 at most.
    """

    name: Name
    share: Share

    def validation_error(self, declared):
        """Returns what is wrong with this call, or None; see `Section.validation_error`."""
        if sum(c.share for c in declared["customer"]) + self.share > 1.0001:
            return "the customers' shares come to more than 1"


class ReportSettings(Section, kw_only=True):
    """How instances report their load: `reports(...)`.

    Attributes:
        how: with their answers, when probed, or not at all.
        names: metrics that a report contains.
    """

    how: Literal["answers", "probe", "none"] = "answers"
    names: list[Literal["util", "inflight", "queue", "latency_ms", "qps", "eps"]] = []


class PriceSettings(Section, kw_only=True):
    """Costs that the decisions take into account, 0 for none: `prices(...)`.

    Attributes:
        crossing: price of a forward to another zone.
        probe: price of a probe.
        tell: price of a message to another gateway.
        waste: price of wasted work.
    """

    crossing: NonNegativeNumber = 0.0
    probe: NonNegativeNumber = 0.0
    tell: NonNegativeNumber = 0.0
    waste: NonNegativeNumber = 0.0


class FrontendSettings(Section, kw_only=True):
    """Limits towards clients: `door(...)`. Sizes are in bytes, times in microseconds.

    Attributes:
        head_limit: size of a request head.
        target_limit: size of a request target.
        field_limit: number of header fields.
        body_limit: size of a request body.
        hold: bytes of a request body that are kept for a retry, and of an answer that are collected before
            its first byte is sent (after which the hit cannot be retried).
        connections: open client connections.
        backlog: connections that wait to be accepted.
        head_time: time to receive a request head.
        idle_time: time that a connection may stay without a request.
        write_time: time in which a client has to accept data.
        hits: hits in progress.
        customer_field: header with the customer.
        key_field: header with the key.
        timeout_field: header with the client's timeout in milliseconds.
        again_field: header with the number of the try; a value above 0 marks a retry.
        cost_field: header with the expected cost of the request in milliseconds.
    """

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
    """Limits towards instances: `instances(...)`. Times are in microseconds.

    Attributes:
        dial_time: time to open a connection.
        idle_time: time after which an idle connection is closed.
        rest_time: how long a connection stays idle after an answer before it is reused; for instances that
            may answer a hit twice.
        connections: open connections to one instance.
        answer_limit: size of an answer in bytes.
        probe_path: path of probes.
        probe_time: time to answer a probe.
        refusals: status codes that mean that the instance did not run the request.
    """

    dial_time: Duration = 250_000
    idle_time: Duration = 15_000_000
    rest_time: NonNegativeDuration = 0
    connections: PositiveCount = 512
    answer_limit: Annotated[int, Meta(ge=1024)] = 1 << 30
    probe_path: Annotated[str, Meta(pattern="^/")] = "/-/probe"
    probe_time: Duration = 250_000
    refusals: tuple[int, ...] = (429,)


class InstanceListSettings(Section, kw_only=True):
    """Where gateways get the list of instances: `listing(...)`. Times are in microseconds.

    Attributes:
        address: host:port of the list.
        by: whether changes are pushed, or the list is asked for.
        ask_within: with "asking": how current the list has to be; a third of it is the longest time between
            requests.
        silence: with "push": time without data after which the stream counts as broken.
    """

    address: Address
    by: Literal["push", "asking"] = "push"
    ask_within: Duration = 10_000_000
    silence: Duration = 15_000_000


class DeskSettings(Section, kw_only=True):
    """The release desk: `desk(...)`.

    Attributes:
        address: host:port of the desk.
        platform: host:port of the platform that starts instances; None: agents on hosts start them.
        journal: folder of the desk's journal; None: its state does not survive a restart.
    """

    address: Address
    platform: Address | None = None
    journal: str | None = None


class GatewaySettings(Section, kw_only=True):
    """One gateway: `gateway(...)`.

    Attributes:
        number: gateways are numbered in order from 0.
        zone: zone in which it runs.
        door: host:port for clients.
        peers: host:port to which other gateways send datagrams; None: it has no membership.
        bind: host:port where it receives these datagrams itself, if that differs from peers.
        memory: file in which it keeps the list of instances, or None.
        snapshot: file in which it keeps what it has learned, or None.
    """

    number: NonNegativeCount
    zone: Name
    door: Address
    peers: Address | None = None
    bind: Address | None = None
    memory: str | None = None
    snapshot: str | None = None

    def validation_error(self, declared):
        """Returns what is wrong with this call, or None; see `Section.validation_error`."""
        if self.number != len(declared["gateway"]):
            return f"gateways are numbered in order from 0; {len(declared['gateway'])} comes next"
        if any(g.door == self.door for g in declared["gateway"]):
            return f"two gateways at {self.door}"


class MembershipSettings(Section, kw_only=True):
    """Failure detection among gateways (docs/members.md): `members(...)`. Times are in microseconds.

    Attributes:
        period: time between two probes.
        wait: time for an answer before other gateways are asked for an indirect probe.
        judges: whether the judges of a build are chosen among the gateways that are present.
    """

    period: Duration = 1_000_000
    wait: Duration = 300_000
    judges: bool = True

    def validation_error(self, declared):
        """Returns what is wrong with this call, or None; see `Section.validation_error`."""
        if 3 * self.wait > self.period:
            return "wait may be a third of period at most: helpers need as long again, and back"
        if len(declared["gateway"]) < 2:
            return "membership needs two gateways above this line"
        without_address = [g.number for g in declared["gateway"] if g.peers is None]
        if without_address:
            return f'gateway {without_address[0]} has no address for datagrams: give it peers = "host:port"'
        duplicates = [
            g.peers
            for index, g in enumerate(declared["gateway"])
            if g.peers in [other.peers for other in declared["gateway"][:index]]
        ]
        if duplicates:
            return f"two gateways take datagrams at {duplicates[0]}"
        if len(declared["gateway"]) > 65_535:
            return "more than 65535 gateways"


class RecoverySettings(Section, kw_only=True):
    """Recovery after a restart (docs/recovery.md): `recovery(...)`. Times are in microseconds.

    Attributes:
        dials: new connections per second that one instance bears from all gateways together; 0: no bound.
        calls: first calls per second that the instance list and the desk bear; 0: no bound.
        warm: whether a starting gateway asks settled gateways for what they have learned.
        asks: such requests per second that one gateway answers.
        hear: longest time in each of the first two phases, without any news and while news arrives.
        warming: longest time in the phase of the warm start.
        settle: longest time in the phase of serving before it counts as settled.
        snapshot_every: time between two snapshots, where a gateway has a file for them.
    """

    dials: NonNegativeNumber = 0.0
    calls: NonNegativeNumber = 0.0
    warm: bool = True
    asks: PositiveCount = 20
    hear: Duration = 3_000_000
    warming: Duration = 500_000
    settle: Duration = 15_000_000
    snapshot_every: Duration = 2_000_000

    def validation_error(self, declared):
        """Returns what is wrong with this call, or None; see `Section.validation_error`."""
        if 0 < self.dials < 0.1:
            return "dials below 0.1 a second: ten seconds between two connections of the whole fleet"
        if 0 < self.calls < 0.1:
            return "calls below 0.1 a second: ten seconds between two gateways that begin"


class BuildSettings(Section, kw_only=True):
    """Where agents get builds, and the limits of doing so: `builds(...)`.

    Attributes:
        sources: host:port of each build server.
        keys: file of the first key ring.
        rate: bytes per second; 0: no bound.
        most: size of the store in bytes.
        prune_after: age in microseconds after which an unused build is deleted.
        ready_time: time for a started process to become ready, in microseconds.
        stop_time: time for a process to end before it is killed, in microseconds.
        changes: bound on the changes that the desk keeps for the hosts.
    """

    sources: list[Address]
    keys: str
    rate: NonNegativeCount = 0
    most: PositiveCount = 20 << 30
    prune_after: Duration = 7 * 24 * 3600 * 1_000_000
    ready_time: Duration = 10_000_000
    stop_time: Duration = 3_000_000
    changes: PositiveCount = 1 << 20


class HostSettings(Section, kw_only=True):
    """One host on which an agent runs instances: `host(...)`.

    Attributes:
        place: unique name of its place in the fleet.
        zone: zone of the host.
        folder: folder of the agent.
        ports: the first of eight consecutive ports that its instances use in turn.
        address: IP address of its instances.
        cell: cell of the host within its zone.
    """

    place: Name
    zone: Name
    folder: str
    ports: Annotated[int, Meta(ge=1024, le=65527)]
    address: Annotated[str, Meta(pattern="^[0-9.]+$")] = "127.0.0.1"
    cell: NonNegativeCount = 0

    def validation_error(self, declared):
        """Returns what is wrong with this call, or None; see `Section.validation_error`."""
        if any(h.place == self.place for h in declared["host"]):
            return f"two hosts for place {self.place!r}"
        if any(abs(h.ports - self.ports) < 8 and h.address == self.address for h in declared["host"]):
            return "ports overlap with another host's"
