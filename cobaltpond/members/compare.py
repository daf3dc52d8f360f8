"""Compares the membership tables of several gateways, and formats the differences. Does no I/O."""

from collections import Counter

from cobaltpond.members.gossip import PHASES


def compare_tables(tables: dict[int, dict | None]) -> dict:
    """Compares the tables of `Members.table` by number of the gateway, None for one that did not answer.

    Returns {"silent": gateways that did not answer, "members": one row a member (`summarize_member`),
    "apart": facts in which gateways differ, "idle": gateways that run but take no hits, "zones": the zones
    that a gateway cannot fully reach, "links": its broken links}."""
    answered = {gateway: table for gateway, table in tables.items() if table is not None}
    rows_by_member = {}  # number of a member -> {gateway: row}
    for gateway, table in answered.items():
        for row in table["members"]:
            rows_by_member.setdefault(row["number"], {})[gateway] = row
    rows = [summarize_member(number, views) for number, views in sorted(rows_by_member.items())]
    own_rows = {
        gateway: next(row for row in table["members"] if row["number"] == gateway)
        for gateway, table in answered.items()
    }
    differences = {}
    for name, value_format in (("settings", "{:08x}"), ("version", "{}"), ("revision", "{}"), ("zone", "{}")):
        values = {gateway: row.get(name) for gateway, row in own_rows.items()}
        if name != "zone" and len(set(values.values())) > 1:
            differences[name] = group_by_value(
                {gateway: value_format.format(value) for gateway, value in values.items()}
            )
    releases = {
        gateway: f"build {row['build']} stage {row['stage']} {PHASES[row['phase']]}"
        for gateway, row in own_rows.items()
    }
    if len(set(releases.values())) > 1:
        differences["news"] = group_by_value(releases)
    zone_problems = {
        gateway: [
            f"{zone}: {state}" for zone, state in table["zones"].items() if state not in ("fine", "unknown")
        ]
        for gateway, table in answered.items()
    }
    not_ready = sorted(
        gateway
        for gateway, row in own_rows.items()
        if row["state"] == "alive" and not row.get("flags", 1) & 1
    )
    return {
        "silent": sorted(gateway for gateway, table in tables.items() if table is None),
        "members": rows,
        "apart": differences,
        "idle": not_ready,
        "zones": {gateway: problems for gateway, problems in sorted(zone_problems.items()) if problems},
        "links": {
            gateway: table["broken_links"]
            for gateway, table in sorted(answered.items())
            if table["broken_links"]
        },
    }


def summarize_member(number: int, views: dict) -> dict:
    """Returns how most gateways see one member, and which ones see it otherwise and since when.

    `views`: number of a gateway -> its row on the member. A gateway's row on itself does not count if others
    have one."""
    others = {gateway: row for gateway, row in views.items() if gateway != number} or views
    states = Counter(row["state"] for row in others.values())
    majority_state = max(sorted(states), key=states.get)
    starts = {row["start"] for row in views.values() if row["state"] != "unheard"}
    return {
        "number": number,
        "zone": next(iter(views.values()))["zone"],
        "state": majority_state,
        "since_us": min(row["since_us"] for row in others.values() if row["state"] == majority_state),
        "start": max(starts, default=0),
        "starts": len(starts),
        "otherwise": {
            gateway: {
                "state": row["state"],
                "since_us": row["since_us"],
                "cause": row.get("cause", ""),
                "by": row.get("by"),
            }
            for gateway, row in sorted(others.items())
            if row["state"] != majority_state
        },
    }


def group_by_value(values: dict) -> dict:
    """Groups the numbers of gateways by their value."""
    groups = {}
    for gateway, value in sorted(values.items()):
        groups.setdefault(value, []).append(gateway)
    return groups


def format_ranges(numbers) -> str:
    """Formats numbers as ranges in ascending order, such as "0-3, 7, 9-12"."""
    runs = []
    for number in sorted(numbers):
        if runs and number == runs[-1][1] + 1:
            runs[-1][1] = number
        else:
            runs.append([number, number])
    return ", ".join(f"{first}" if first == last else f"{first}-{last}" for first, last in runs)


def format_comparison(comparison: dict) -> list[str]:
    """Formats the result of `compare_tables` as lines for a terminal.

    The zones on whose members all gateways agree come first, then each difference."""
    lines = []
    if comparison["silent"]:
        lines.append(f"no answer from: {format_ranges(comparison['silent'])}")
    if comparison["idle"]:
        lines.append(f"there, but not open for hits: {format_ranges(comparison['idle'])}")
    agreed_members = {}
    for row in comparison["members"]:
        if row["otherwise"] or row["starts"] > 1 or row["state"] not in ("alive",):
            lines.append(
                f"gateway {row['number']:<4} zone {row['zone']:<10} {row['state']:<8} "
                f"for {row['since_us'] / 1e6:.1f} s" + (", seen in two starts" if row["starts"] > 1 else "")
            )
            lines += [
                f"    but {view['state']} at gateway {gateway} for {view['since_us'] / 1e6:.1f} s"
                + (
                    f" ({view['cause']}" + (f" by {view['by']}" if view["by"] is not None else "") + ")"
                    if view["cause"]
                    else ""
                )
                for gateway, view in row["otherwise"].items()
            ]
        else:
            agreed_members.setdefault(row["zone"], []).append(row["number"])
    lines = [
        f"zone {zone:<10} alive in all eyes: {format_ranges(numbers)}"
        for zone, numbers in agreed_members.items()
    ] + lines
    for gateway, problems in comparison["zones"].items():
        lines.append(f"gateway {gateway} sees {'; '.join(problems)}")
    for gateway, numbers in comparison["links"].items():
        lines.append(
            f"gateway {gateway} is heard by others, but not by or from: {format_ranges(numbers)} (one link)"
        )
    for name, values in comparison["apart"].items():
        lines.append(
            f"{name} differ: "
            + "; ".join(f"{value} at {format_ranges(gateways)}" for value, gateways in values.items())
        )
    return lines
