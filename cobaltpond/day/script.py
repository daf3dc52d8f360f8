"""A day as a Starlark script, read into one plain plan (a map that goes to the stand-ins as JSON).

The script uses the sheet's own calls for path groups, customers, release, rules, allow, reports, prices, and
calls of its own for the fleet, the traffic and what goes wrong. Addresses are found by the day itself.
"""

import math
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cobaltpond.loop.chance import seeded
from cobaltpond.sheet import parts as p
from cobaltpond.sheet.limits import WORDS, Limit
from cobaltpond.sheet.read import MANY, NEEDED, ONE, Reader

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


def read_day(path: str, text: str, seed: int | None = None, more: dict | None = None) -> dict:
    """The plan of a day script. `more`: calls beyond the day's own (name -> (part, MANY)); they stand in the
    plan under their names. Raises BadSheet."""
    calls = Reader({**CALLS, **(more or {})}, WORDS).run(path, text)

    def one(name):
        return calls[name][0] if calls[name] else CALLS[name][0]()

    day, fleet, clients = one("day"), one("fleet"), one("clients")
    seed = day.seed if seed is None else seed
    chance = seeded(seed)
    zones, groups = fleet.zones, {g.name: g for g in calls["path_group"]}
    places = [
        {
            "name": f"place-{n:02d}",
            "id": f"i{chance.randrange(1 << 24):06x}",
            "zone": zones[n % len(zones)],
            "cell": n // len(zones) // fleet.cell,
            "speed": math.exp(chance.uniform(-1, 1) * fleet.speed_spread),
        }
        for n in range(fleet.instances)
    ]
    first = 41
    return {
        "name": path,
        "seed": seed,
        "length": day.length,
        "rate": day.rate,
        "crowds": day.crowds,
        "notes": [],
        "zone_names": zones,
        "home": zones[0],
        "gateways": [{"zone": g.zone, "weight": g.weight} for g in calls["gateway"]],
        "groups": [
            {
                **msgspec.to_builtins(groups[t.group]),
                "share": t.share,
                "work": t.work,
                "cv": t.cv,
                "dist": t.dist,
                "method": t.method,
            }
            for t in calls["traffic"]
        ],
        "customers": [{"name": c.name, "share": c.share, "traffic": c.share} for c in calls["customer"]],
        "clients": {
            "retries": clients.retries,
            "try_share": clients.try_share,
            "backoff": clients.backoff,
            "style": clients.style,
            "honour": clients.honour,
            "marks": clients.marks,
        },
        "keys": clients.keys,
        "places": places,
        "build": first,
        "kind": {
            "cores": fleet.cores,
            "slots": fleet.slots,
            "queue": fleet.queue,
            "cancel": fleet.cancel,
            "cold_share": fleet.cold_share,
            "cold_time": fleet.cold_time,
            "error_rate": fleet.error_rate,
        },
        "boot": fleet.boot,
        "list": msgspec.to_builtins(one("registry")),
        "report": {"period": 300_000, "names": list(one("reports").names)},
        "release": msgspec.to_builtins(one("release")),
        "rules": msgspec.to_builtins(one("rules")),
        "allow": msgspec.to_builtins(one("allow")),
        "reports": msgspec.to_builtins(one("reports")),
        "prices": msgspec.to_builtins(one("prices")),
        "door": msgspec.to_builtins(one("door")),
        "offers": [
            {"at": o.at, "build": first + 1 + n, "back_after": o.back_after, "back_in": o.back_in}
            for n, o in enumerate(calls["offer"])
        ],
        "flaws": {
            str(first + 1 + n): {"how": o.flaw, "strength": o.strength, "group": o.group, "speed": o.speed}
            for n, o in enumerate(calls["offer"])
        },
        "troubles": [
            {
                "name": f"{t.kind}-{n}",
                "kind": t.kind,
                "at": t.at,
                "len": t.length,
                "size": t.size,
                "extra": t.extra,
                "on": t.on,
                "which": t.which,
                "how": t.how,
            }
            for n, t in enumerate(calls["trouble"])
        ],
        "agents": fleet.agents,
        "members": msgspec.to_builtins(one("members")) if calls["members"] else None,
        "recovery": msgspec.to_builtins(one("recovery")) if calls["recovery"] else None,
        "limits": [msgspec.to_builtins(limit) for limit in calls["limit"]],
        "kills": [
            {"what": k.what, "gateway": k.gateway, "at": k.at, "back_after": k.back_after}
            for k in calls["kill"]
        ],
        "goal": {"whole": 0.6, "worst_window": 0.1, "worst_group": 0.2, "worst_customer": 0.1},
        **{name: [msgspec.to_builtins(one) for one in calls[name]] for name in more or ()},
    }


def starlark(value) -> str:
    """A plain value as Starlark text."""
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(starlark, value)) + "]"
    if isinstance(value, dict):
        return (
            "{" + ", ".join(f"{starlark(k)}: {starlark(v)}" for k, v in value.items() if v is not None) + "}"
        )
    return (
        {True: "True", False: "False", None: "None"}[value]
        if isinstance(value, bool) or value is None
        else (repr(value) if not isinstance(value, str) else '"' + value.replace('"', '\\"') + '"')
    )


def call(name: str, fields: dict) -> str:
    return f"{name}({', '.join(f'{k} = {starlark(v)}' for k, v in fields.items() if v is not None)})"


def sheet_text(plan: dict, zone: str, ports: dict, folder: str) -> str:
    """The sheet that the desk, and the gateways of one zone, are started with."""
    known = set(p.PathGroup.__struct_fields__)
    lines = [call("path_group", {k: v for k, v in g.items() if k in known}) for g in plan["groups"]]
    lines += [
        call("route", {"method": g["method"], "path": f"/{g['name']}", "group": g["name"]})
        for g in plan["groups"]
    ]
    lines += [call("customer", {"name": c["name"], "share": c["share"]}) for c in plan["customers"]]
    for name in ("release", "rules", "allow", "reports", "prices", "door"):
        lines.append(call(name, plan[name]))
    lines.append(
        call(
            "listing",
            {
                "address": f"127.0.0.1:{ports['list']}",
                "by": plan["list"]["by"],
                "ask_within": plan["list"]["ask_within"],
            },
        )
    )
    desk = ports["relays"][zone] if zone else ports["desk"]
    lines.append(
        call(
            "desk",
            {
                "address": f"127.0.0.1:{desk}",
                "platform": f"127.0.0.1:{ports['platform']}",
                "journal": f"{folder}/desk.journal",
            },
        )
    )
    if plan.get("agents"):
        lines.append(
            call(
                "builds",
                {
                    "sources": [f"127.0.0.1:{ports['builds']}"],
                    "keys": f"{folder}/keys.json",
                    "ready_time": 8_000_000,
                    "stop_time": 1_000_000,
                },
            )
        )
        lines += [
            call(
                "host",
                {
                    "place": place["name"],
                    "zone": place["zone"],
                    "cell": place["cell"],
                    "folder": f"{folder}/{place['name']}",
                    "ports": ports["machines"] + 8 * n,
                },
            )
            for n, place in enumerate(plan["places"])
        ]
    back = dict(plan.get("recovery") or {})
    snapshots = back.pop("snapshots", False)
    for n, g in enumerate(plan["gateways"]):
        lines.append(
            call(
                "gateway",
                {
                    "number": n,
                    "zone": g["zone"],
                    "door": f"127.0.0.1:{ports['doors'] + n}",
                    "peers": f"127.0.0.1:{ports['peers'] + n}",
                    "memory": f"{folder}/list-{n}.kept",
                    "snapshot": f"{folder}/learned-{n}" if snapshots else None,
                },
            )
        )
    if plan.get("members"):
        lines.append(call("members", plan["members"]))
    if back:
        lines.append(call("recovery", back))
    lines += [call("limit", limit) for limit in plan.get("limits", ())]
    return "\n".join(lines) + "\n"
