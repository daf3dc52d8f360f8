"""Who is there in whose eyes: the tables of several gateways side by side. Free of I/O."""

from collections import Counter

from cobaltpond.members.gossip import PHASES


def compare_tables(tables: dict[int, dict | None]) -> dict:
    """`tables`: gateway -> its table as `Members.table` gives it, None where it did not answer.

    Gives {"silent": gateways that did not answer, "members": one row a member, "apart": what they have not
    alike}."""
    heard = {at: table for at, table in tables.items() if table is not None}
    seen = {}  # member -> {at: row}
    for at, table in heard.items():
        for row in table["members"]:
            seen.setdefault(row["number"], {})[at] = row
    rows = [one_member(number, eyes) for number, eyes in sorted(seen.items())]
    own = {at: next(row for row in table["members"] if row["number"] == at) for at, table in heard.items()}
    apart = {}
    for name, shown in (("settings", "{:08x}"), ("version", "{}"), ("revision", "{}"), ("zone", "{}")):
        values = {at: row.get(name) for at, row in own.items()}
        if name != "zone" and len(set(values.values())) > 1:
            apart[name] = by_value({at: shown.format(value) for at, value in values.items()})
    news = {
        at: f"build {row['build']} stage {row['stage']} {PHASES[row['phase']]}" for at, row in own.items()
    }
    if len(set(news.values())) > 1:
        apart["news"] = by_value(news)
    cut = {
        at: [f"{zone}: {state}" for zone, state in table["zones"].items() if state not in ("fine", "unknown")]
        for at, table in heard.items()
    }
    idle = sorted(at for at, row in own.items() if row["state"] == "alive" and not row.get("flags", 1) & 1)
    return {
        "silent": sorted(at for at, table in tables.items() if table is None),
        "members": rows,
        "apart": apart,
        "idle": idle,
        "zones": {at: says for at, says in sorted(cut.items()) if says},
        "links": {at: table["broken_links"] for at, table in sorted(heard.items()) if table["broken_links"]},
    }


def one_member(number: int, eyes: dict) -> dict:
    """One member as the most see it, and who sees it otherwise since when. A gateway's word on itself does
    not count where others speak of it."""
    others = {at: row for at, row in eyes.items() if at != number} or eyes
    states = Counter(row["state"] for row in others.values())
    most = max(sorted(states), key=states.get)
    starts = {row["start"] for row in eyes.values() if row["state"] != "unheard"}
    return {
        "number": number,
        "zone": next(iter(eyes.values()))["zone"],
        "state": most,
        "since_us": min(row["since_us"] for row in others.values() if row["state"] == most),
        "start": max(starts, default=0),
        "starts": len(starts),
        "otherwise": {
            at: {
                "state": row["state"],
                "since_us": row["since_us"],
                "cause": row.get("cause", ""),
                "by": row.get("by"),
            }
            for at, row in sorted(others.items())
            if row["state"] != most
        },
    }


def by_value(values: dict) -> dict:
    """value -> who has it."""
    rows = {}
    for at, value in sorted(values.items()):
        rows.setdefault(value, []).append(at)
    return rows


def format_ranges(numbers) -> str:
    """0-3, 7, 9-12"""
    runs = []
    for number in sorted(numbers):
        if runs and number == runs[-1][1] + 1:
            runs[-1][1] = number
        else:
            runs.append([number, number])
    return ", ".join(f"{a}" if a == b else f"{a}-{b}" for a, b in runs)


def format_comparison(told: dict) -> list[str]:
    """For a terminal."""
    rows = []
    if told["silent"]:
        rows.append(f"no answer from: {format_ranges(told['silent'])}")
    if told["idle"]:
        rows.append(f"there, but not open for hits: {format_ranges(told['idle'])}")
    agreed = {}
    for row in told["members"]:
        if row["otherwise"] or row["starts"] > 1 or row["state"] not in ("alive",):
            rows.append(
                f"gateway {row['number']:<4} zone {row['zone']:<10} {row['state']:<8} "
                f"for {row['since_us'] / 1e6:.1f} s" + (", seen in two starts" if row["starts"] > 1 else "")
            )
            rows += [
                f"    but {what['state']} at gateway {at} for {what['since_us'] / 1e6:.1f} s"
                + (
                    f" ({what['cause']}" + (f" by {what['by']}" if what["by"] is not None else "") + ")"
                    if what["cause"]
                    else ""
                )
                for at, what in row["otherwise"].items()
            ]
        else:
            agreed.setdefault(row["zone"], []).append(row["number"])
    rows = [
        f"zone {zone:<10} alive in all eyes: {format_ranges(numbers)}" for zone, numbers in agreed.items()
    ] + rows
    for at, says in told["zones"].items():
        rows.append(f"gateway {at} sees {'; '.join(says)}")
    for at, numbers in told["links"].items():
        rows.append(
            f"gateway {at} is heard by others, but not by or from: {format_ranges(numbers)} (one link)"
        )
    for name, values in told["apart"].items():
        rows.append(
            f"{name} differ: "
            + "; ".join(f"{value} at {format_ranges(ats)}" for value, ats in values.items())
        )
    return rows
