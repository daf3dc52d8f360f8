"""Reads a scenario script in Starlark into a plan: a plain map that the simulated peers get as JSON.

The script uses the calls of the settings for path groups, customers, release, rules, allow, reports and
prices, and calls of its own for the fleet, the traffic and the faults. Addresses are assigned when the
scenario runs.
"""

import math

import msgspec

from cobaltpond.loop.random_source import seeded_random
from cobaltpond.scenario.declarations import SCENARIO_CALLS
from cobaltpond.settings.limits import LIMIT_FUNCTIONS
from cobaltpond.settings.reader import DeclarationReader


def read_plan(path: str, text: str, seed: int | None = None, extra_calls: dict | None = None) -> dict:
    """The plan of a scenario script; raises SettingsError.

    `seed` replaces the script's own seed unless it is None. `extra_calls` are calls beyond a scenario's own
    (name -> (section, how often it may stand)); the plan holds their declarations under their names.
    """
    calls = DeclarationReader({**SCENARIO_CALLS, **(extra_calls or {})}, LIMIT_FUNCTIONS).run(path, text)

    def first_declaration(name):
        return calls[name][0] if calls[name] else SCENARIO_CALLS[name][0]()

    parameters = first_declaration("day")
    fleet = first_declaration("fleet")
    clients = first_declaration("clients")
    seed = parameters.seed if seed is None else seed
    random_source = seeded_random(seed)
    zones, groups = fleet.zones, {g.name: g for g in calls["path_group"]}
    places = [
        {
            "name": f"place-{n:02d}",
            "id": f"i{random_source.randrange(1 << 24):06x}",
            "zone": zones[n % len(zones)],
            "cell": n // len(zones) // fleet.cell,
            "speed": math.exp(random_source.uniform(-1, 1) * fleet.speed_spread),
        }
        for n in range(fleet.instances)
    ]
    first_build = 41
    return {
        "name": path,
        "seed": seed,
        "length": parameters.length,
        "rate": parameters.rate,
        "crowds": parameters.crowds,
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
        "build": first_build,
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
        "list": msgspec.to_builtins(first_declaration("registry")),
        "report": {"period": 300_000, "names": list(first_declaration("reports").names)},
        "release": msgspec.to_builtins(first_declaration("release")),
        "rules": msgspec.to_builtins(first_declaration("rules")),
        "allow": msgspec.to_builtins(first_declaration("allow")),
        "reports": msgspec.to_builtins(first_declaration("reports")),
        "prices": msgspec.to_builtins(first_declaration("prices")),
        "door": msgspec.to_builtins(first_declaration("door")),
        "offers": [
            {"at": o.at, "build": first_build + 1 + n, "back_after": o.back_after, "back_in": o.back_in}
            for n, o in enumerate(calls["offer"])
        ],
        "flaws": {
            str(first_build + 1 + n): {
                "how": o.flaw,
                "strength": o.strength,
                "group": o.group,
                "speed": o.speed,
            }
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
        "members": msgspec.to_builtins(first_declaration("members")) if calls["members"] else None,
        "recovery": msgspec.to_builtins(first_declaration("recovery")) if calls["recovery"] else None,
        "limits": [msgspec.to_builtins(limit) for limit in calls["limit"]],
        "kills": [
            {"what": k.what, "gateway": k.gateway, "at": k.at, "back_after": k.back_after}
            for k in calls["kill"]
        ],
        "goal": {"whole": 0.6, "worst_window": 0.1, "worst_group": 0.2, "worst_customer": 0.1},
        **{
            name: [msgspec.to_builtins(first_declaration) for first_declaration in calls[name]]
            for name in extra_calls or ()
        },
    }
