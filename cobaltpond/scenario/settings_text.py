"""Writes the settings files that the desk and the gateways of a scenario are started with."""

from cobaltpond.settings import sections


def starlark_literal(value) -> str:
    """A plain value as Starlark text; None values of maps are left out."""
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(starlark_literal, value)) + "]"
    if isinstance(value, dict):
        return (
            "{"
            + ", ".join(
                f"{starlark_literal(k)}: {starlark_literal(v)}" for k, v in value.items() if v is not None
            )
            + "}"
        )
    return (
        {True: "True", False: "False", None: "None"}[value]
        if isinstance(value, bool) or value is None
        else (repr(value) if not isinstance(value, str) else '"' + value.replace('"', '\\"') + '"')
    )


def starlark_call(name: str, fields: dict) -> str:
    """A Starlark call with keyword arguments; fields that are None are left out."""
    return f"{name}({', '.join(f'{k} = {starlark_literal(v)}' for k, v in fields.items() if v is not None)})"


def settings_text(plan: dict, zone: str, ports: dict, folder: str) -> str:
    """The settings for the gateways of one zone, or for the desk where `zone` is empty.

    The gateways of a zone reach the desk through the relay of that zone.
    """
    path_group_fields = set(sections.PathGroupSettings.__struct_fields__)
    lines = [
        starlark_call("path_group", {k: v for k, v in g.items() if k in path_group_fields})
        for g in plan["groups"]
    ]
    lines += [
        starlark_call("route", {"method": g["method"], "path": f"/{g['name']}", "group": g["name"]})
        for g in plan["groups"]
    ]
    lines += [starlark_call("customer", {"name": c["name"], "share": c["share"]}) for c in plan["customers"]]
    for name in ("release", "rules", "allow", "reports", "prices", "door"):
        lines.append(starlark_call(name, plan[name]))
    lines.append(
        starlark_call(
            "listing",
            {
                "address": f"127.0.0.1:{ports['list']}",
                "by": plan["list"]["by"],
                "ask_within": plan["list"]["ask_within"],
            },
        )
    )
    desk_port = ports["relays"][zone] if zone else ports["desk"]
    lines.append(
        starlark_call(
            "desk",
            {
                "address": f"127.0.0.1:{desk_port}",
                "platform": f"127.0.0.1:{ports['platform']}",
                "journal": f"{folder}/desk.journal",
            },
        )
    )
    if plan.get("agents"):
        lines.append(
            starlark_call(
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
            starlark_call(
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
    recovery = dict(plan.get("recovery") or {})
    with_snapshots = recovery.pop("snapshots", False)
    for n, g in enumerate(plan["gateways"]):
        lines.append(
            starlark_call(
                "gateway",
                {
                    "number": n,
                    "zone": g["zone"],
                    "door": f"127.0.0.1:{ports['doors'] + n}",
                    "peers": f"127.0.0.1:{ports['peers'] + n}",
                    "memory": f"{folder}/list-{n}.kept",
                    "snapshot": f"{folder}/learned-{n}" if with_snapshots else None,
                },
            )
        )
    if plan.get("members"):
        lines.append(starlark_call("members", plan["members"]))
    if recovery:
        lines.append(starlark_call("recovery", recovery))
    lines += [starlark_call("limit", limit) for limit in plan.get("limits", ())]
    return "\n".join(lines) + "\n"
