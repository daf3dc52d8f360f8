"""The platform's configuration: one JSON file, checked, with the settings as the decisions' runsheet."""

from dataclasses import dataclass
from math import isfinite

from cobaltpond.benchlink.policy_settings import policy_settings
from cobaltpond.wire.address import split_address
from cobaltpond.wire.json_lines import JsonLineError, parse_object

MOST = 8 << 20  # bytes of the file
# Parts of the limit of descriptors. Some are kept for desk, list, peers and the moment in which one replaces
# another; clients and instances share the rest, each up to a part. Clients hold at most a third of all for
# hits, a forward takes one each: what is more in the clients' part is for those who ask little and stay.
KEPT_LEAST, KEPT, CLIENTS, INSTANCES = 24, 1 / 12, 0.7, 0.6


# A second answer may come some milliseconds after the first (the fleet days' page): so long a connection
# rests before the next hit goes over it. The protocol's page gives every time limit as much.
REST = 50_000
KINDS = ("repeatable", "tagged", "mutating")
NO_FIGURES = {
    "name",
    "kind",
    "scope",
    "zone",
    "zones",
    "customers",
    "benefit_by",
    "weights",
    "reports",
    "report_names",
    "gate",
    "layout",
    "exposure_by",
    "list_by",
    "path_groups",
    "keys_stay",
    "warm_keys",
    "may_cancel",
    "may_duplicate",
    "may_probe",
    "may_tell",
    "may_advise",
}


class ConfigError(Exception):
    """What is wrong with the configuration, in one line."""


@dataclass(frozen=True)
class InstanceLimits:
    """What `gateway.endpoints.EndpointPool` goes by. Times in microseconds."""

    connections: int
    dial_time: int
    idle_time: int
    rest_time: int


@dataclass(frozen=True)
class Config:
    """Addresses as (host, port). `known` and `news` are JSON as the platform writes them."""

    name: str
    listen: tuple
    discovery: tuple
    desk: tuple
    seed: int
    sockets: int
    memory_mb: float
    cores: float
    peer_listen: tuple | None
    peers: tuple
    peers_all: tuple | None
    known: dict | None
    news: dict | None
    policy_settings: dict

    @property
    def connection_limit(self) -> int:
        """Connections of clients and to instances, together."""
        return max(16, self.sockets - max(KEPT_LEAST, int(self.sockets * KEPT)))

    @property
    def client_connection_limit(self) -> int:
        return int(self.connection_limit * CLIENTS)

    @property
    def instance_connection_limit(self) -> int:
        return int(self.connection_limit * INSTANCES)

    @property
    def instances(self) -> InstanceLimits:
        # what has idled nine tenths of its time is closed here, before the machine does it with a hit on its
        # way
        return InstanceLimits(
            self.instance_connection_limit,
            self.policy_settings["dial_time_out"],
            self.policy_settings["idle_time"] * 9 // 10,
            min(REST, self.policy_settings["idle_time"] // 2),
        )


def check_figures(whose: str, told: dict) -> None:
    """Raises ConfigError where a figure of the settings is none, or is negative or not finite."""
    for name, value in told.items():
        figures = value if name in ("stage_shares", "stage_caps") else [] if name in NO_FIGURES else [value]
        if not isinstance(figures, list) or not all(
            isinstance(one, (int, float)) and isfinite(one) and one >= 0 for one in figures
        ):
            raise ConfigError(f"{whose}: {name} makes no sense as {str(value)[:60]!r}")


def parse_config(told: dict) -> Config:
    """Raises ConfigError."""
    try:
        sheet = policy_settings(told["settings"])
        for name in ("gateways", "number", "path_groups", "dial_time_out", "idle_time", "exposure_window"):
            if not sheet.get(name) and sheet.get(name) != 0:
                raise ConfigError(f"the settings lack {name}")
        check_figures("the settings", sheet)
        for group in sheet["path_groups"]:
            if not isinstance(group.get("name"), str) or group.setdefault("kind", "mutating") not in KINDS:
                raise ConfigError(f"a class without a name, or of a kind that is not known: {group}"[:200])
            check_figures(f"class {group['name']}", group)
            if not (group.get("target_latency") and group.get("client_timeout")):
                raise ConfigError(f"class {group['name']} lacks an aim or a deadline")
        names = [group["name"] for group in sheet["path_groups"]]
        tenants = [customer["name"] for customer in sheet["customers"]]
        if len(set(names)) < len(names) or not all(isinstance(name, str) for name in tenants):
            raise ConfigError("two classes of one name, or a tenant without one")
        sheet.setdefault("answer_slack", 0)
        rollouts, seed, limits = told["rollouts"], told.get("seed"), told.get("limits") or {}
        return Config(
            name=str(told["name"]),
            listen=split_address(told["listen"]),
            discovery=split_address(told["discovery"]),
            desk=split_address(rollouts["address"]),
            seed=int(seed, 16) if isinstance(seed, str) else int(seed or 0),
            sockets=int(limits.get("sockets") or 1024),
            memory_mb=float(limits.get("memory_mb") or 0),
            cores=float(limits.get("cores") or 0),
            peer_listen=split_address(told["peer_listen"]) if told.get("peer_listen") else None,
            peers=tuple(split_address(peer) for peer in told.get("peers") or ()),
            peers_all=split_address(told["peers_all"]) if told.get("peers_all") else None,
            known=told.get("known"),
            news=rollouts.get("news"),
            policy_settings=sheet,
        )
    except ConfigError:
        raise
    except KeyError as trouble:
        raise ConfigError(f"the configuration lacks {trouble}") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as trouble:
        raise ConfigError(f"the configuration makes no sense: {trouble!r}") from None


def read_config(kernel, path: str) -> Config:
    """Raises ConfigError."""
    try:
        data = kernel.read_file(path)
    except OSError as trouble:
        raise ConfigError(f"{path}: {trouble.strerror}") from None
    if data is None:
        raise ConfigError(f"{path}: no such file")
    if len(data) > MOST:
        raise ConfigError(f"{path}: more than {MOST} bytes")
    try:
        return parse_config(parse_object(data))
    except JsonLineError as trouble:
        raise ConfigError(f"{path}: {trouble}") from None
