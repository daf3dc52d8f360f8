"""Reads and checks the platform's JSON configuration, and converts its settings to policy settings."""

from dataclasses import dataclass
from math import isfinite

from cobaltpond.benchlink.policy_settings import policy_settings
from cobaltpond.wire.address import split_address
from cobaltpond.wire.json_lines import JsonLineError, parse_object

MAX_CONFIG_BYTES = 8 << 20  # largest configuration file
# Shares of the limit of file descriptors. A reserve stays for the desk, the list, the peers and the moment in
# which one of them replaces another; clients and instances use the rest, each up to its share. Open hits keep
# at most a third of all descriptors on the client side, since each of their forwards takes another one; the
# rest of the clients' share serves connections that send little and stay open.
MIN_RESERVED_DESCRIPTORS, RESERVED_SHARE, CLIENT_SHARE, INSTANCE_SHARE = 24, 1 / 12, 0.7, 0.6


# An instance may repeat a response some milliseconds after the first one (the platform's documentation of
# fleet days says so), so a connection rests for this long before the next hit is sent over it. The protocol
# allows as much slack in every time limit.
MAX_REST_TIME_US = 50_000
GROUP_KINDS = ("repeatable", "tagged", "mutating")
NON_NUMERIC_SETTINGS = {
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
    """The configuration is unusable; the text gives the reason in one line."""


@dataclass(frozen=True)
class InstanceLimits:
    """Limits of `gateway.endpoints.EndpointPool`: a count of connections and times in microseconds."""

    connections: int
    dial_time: int
    idle_time: int
    rest_time: int


@dataclass(frozen=True)
class Config:
    """A checked configuration.

    Addresses are (host, port) pairs. `sockets` limits the file descriptors. `known_list` and `release_state`
    are JSON objects as the platform writes them, None where the file has none; `peer_listen` and `peers_all`
    are None without peers.
    """

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
    known_list: dict | None
    release_state: dict | None
    policy_settings: dict

    @property
    def connection_limit(self) -> int:
        """Maximum number of connections to clients and instances together."""
        return max(16, self.sockets - max(MIN_RESERVED_DESCRIPTORS, int(self.sockets * RESERVED_SHARE)))

    @property
    def client_connection_limit(self) -> int:
        """Maximum number of client connections."""
        return int(self.connection_limit * CLIENT_SHARE)

    @property
    def instance_connection_limit(self) -> int:
        """Maximum number of connections to instances."""
        return int(self.connection_limit * INSTANCE_SHARE)

    @property
    def instances(self) -> InstanceLimits:
        """Limits of the connections to instances."""
        # A connection is closed here after nine tenths of the idle time, before the instance closes it while
        # a hit is on its way.
        return InstanceLimits(
            self.instance_connection_limit,
            self.policy_settings["dial_time_out"],
            self.policy_settings["idle_time"] * 9 // 10,
            min(MAX_REST_TIME_US, self.policy_settings["idle_time"] // 2),
        )


def check_numbers(owner: str, values: dict) -> None:
    """Checks that all numeric settings are finite and not negative.

    `owner` names the settings in the error text. Raises ConfigError.
    """
    for name, value in values.items():
        numbers = (
            value
            if name in ("stage_shares", "stage_caps")
            else []
            if name in NON_NUMERIC_SETTINGS
            else [value]
        )
        if not isinstance(numbers, list) or not all(
            isinstance(number, (int, float)) and isfinite(number) and number >= 0 for number in numbers
        ):
            raise ConfigError(f"{owner}: {name} has the invalid value {str(value)[:60]!r}")


def parse_config(document: dict) -> Config:
    """Converts the decoded JSON document. Raises ConfigError."""
    try:
        settings = policy_settings(document["settings"])
        for name in ("gateways", "number", "path_groups", "dial_time_out", "idle_time", "exposure_window"):
            if not settings.get(name) and settings.get(name) != 0:
                raise ConfigError(f"the settings lack {name}")
        check_numbers("the settings", settings)
        for group in settings["path_groups"]:
            if (
                not isinstance(group.get("name"), str)
                or group.setdefault("kind", "mutating") not in GROUP_KINDS
            ):
                raise ConfigError(f"a class has no name or an unknown kind: {group}"[:200])
            check_numbers(f"class {group['name']}", group)
            if not (group.get("target_latency") and group.get("client_timeout")):
                raise ConfigError(f"class {group['name']} lacks an aim or a deadline")
        group_names = [group["name"] for group in settings["path_groups"]]
        customer_names = [customer["name"] for customer in settings["customers"]]
        if len(set(group_names)) < len(group_names) or not all(
            isinstance(name, str) for name in customer_names
        ):
            raise ConfigError("two classes share a name, or a tenant has none")
        settings.setdefault("answer_slack", 0)
        rollouts, seed, limits = document["rollouts"], document.get("seed"), document.get("limits") or {}
        return Config(
            name=str(document["name"]),
            listen=split_address(document["listen"]),
            discovery=split_address(document["discovery"]),
            desk=split_address(rollouts["address"]),
            seed=int(seed, 16) if isinstance(seed, str) else int(seed or 0),
            sockets=int(limits.get("sockets") or 1024),
            memory_mb=float(limits.get("memory_mb") or 0),
            cores=float(limits.get("cores") or 0),
            peer_listen=split_address(document["peer_listen"]) if document.get("peer_listen") else None,
            peers=tuple(split_address(peer) for peer in document.get("peers") or ()),
            peers_all=split_address(document["peers_all"]) if document.get("peers_all") else None,
            known_list=document.get("known"),
            release_state=rollouts.get("news"),
            policy_settings=settings,
        )
    except ConfigError:
        raise
    except KeyError as error:
        raise ConfigError(f"the configuration lacks {error}") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"the configuration is invalid: {error!r}") from None


def read_config(kernel, path: str) -> Config:
    """Reads and parses the file at `path`.

    Raises ConfigError, also where the file is missing or too large.
    """
    try:
        data = kernel.read_file(path)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    if data is None:
        raise ConfigError(f"{path}: no such file")
    if len(data) > MAX_CONFIG_BYTES:
        raise ConfigError(f"{path}: more than {MAX_CONFIG_BYTES} bytes")
    try:
        return parse_config(parse_object(data))
    except JsonLineError as error:
        raise ConfigError(f"{path}: {error}") from None
