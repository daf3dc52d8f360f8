"""The figures of a played day, and the table that says them."""

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram

from cobaltpond.audit.findings import RULES

WINDOW = 10_000_000


def compute_figures(result: dict) -> dict:
    """Service (the share of benefit answered within target latency), its worst parts, G after the bench's
    manner as far as it can be had here, forwards a hit, latencies in milliseconds."""
    crowd, yard, plan = result["crowd"], result["yard"], result["plan"]
    asked = {e["op"]: e for e in crowd if e["kind"] == "asked"}
    answers = [e for e in crowd if e["kind"] == "answer"]
    tries = [e for e in crowd if e["kind"] == "try"]
    arrivals = [e for e in yard if e["kind"] == "arrive" and e["hit"] and e["hit"] != "probe"]
    groups = {g["name"]: g for g in plan["groups"]}
    earned, latency, served_by = defaultdict(float), HdrHistogram(1, 120_000_000, 3), defaultdict(float)
    wrong = 0.0
    for a in answers:
        if a["seen"] != "delivered":
            continue
        ask = asked[a["op"]]
        took = a["at"] - ask["begun"]
        latency.record_value(max(1, took))
        if a.get("wrong") or a["status"] >= 500:
            wrong += ask["benefit"] * bool(a.get("wrong"))
            continue
        served_by[a["build"], a["at"] - result["begin"]] += ask["benefit"]
        if took <= ask["target"]:
            earned[a["op"]] = ask["benefit"]
        else:
            earned[a["op"]] = ask["benefit"] * groups[ask["group"]].get("late_benefit", 0.0)

    def share(ops):
        whole = sum(asked[op]["benefit"] for op in ops)
        return sum(earned[op] for op in ops) / whole if whole else 1.0

    windows = []
    for start in range(0, max(1, plan["length"] - WINDOW + 1), 1_000_000):
        ops = [op for op, e in asked.items() if start <= e["day"] < start + WINDOW]
        windows.append((share(ops), start))
    by_group = {g: share([op for op, e in asked.items() if e["group"] == g]) for g in groups}
    by_customer = {
        c["name"]: share([op for op, e in asked.items() if e["customer"] == c["name"]])
        for c in plan["customers"]
    }
    goal, service = plan["goal"], share(asked)
    weight = sum(goal.values())
    mixed = (
        goal["whole"] * service
        + goal["worst_window"] * min(windows)[0]
        + goal["worst_group"] * min(by_group.values())
        + goal["worst_customer"] * min(by_customer.values(), default=1.0)
    ) / weight
    prices = prices_of(result, asked, arrivals, served_by, wrong)
    lags = [s["lag_us"] for s in result["statuses"]]
    return {
        "hits": len(asked),
        "tries": len(tries),
        "forwards": len(arrivals),
        "service": service,
        "forwards a hit": len(arrivals) / max(1, len(tries)),
        "worst 10 s": min(windows),
        "by group": by_group,
        "by customer": by_customer,
        "G": mixed - sum(prices.values()),
        "prices": prices,
        "p50": latency.get_value_at_percentile(50) / 1000,
        "p99": latency.get_value_at_percentile(99) / 1000,
        "answers": Counter(a["seen"] for a in answers),
        "lag p99 us": max(lag["p99"] for lag in lags),
        "endings": sum((Counter(s["endings"]) for s in result["statuses"]), Counter()),
    }


def prices_of(result, asked, arrivals, served_by, wrong):
    plan, first = result["plan"], max(1, len(asked))
    zones = {str(n): g["zone"] for n, g in enumerate(plan["gateways"])}
    places = {name: p["zone"] for p in plan["places"] for name in (p["id"], p["name"])}
    crossed = sum(
        zones[e["gateway"]] != places[e["instance"].rpartition("." if "." in e["instance"] else "-")[0]]
        for e in arrivals
    )
    whole = sum(e["benefit"] for e in asked.values()) or 1.0
    good = [
        (o["at"], o["build"])
        for o in plan["offers"]
        if not plan["flaws"][str(o["build"])]["how"] and o.get("back_in") is None
    ]
    behind = sum(
        worth
        for (build, at), worth in served_by.items()
        if build < max([b for when, b in good if when <= at], default=0)
    )
    benefit = {g["name"]: g["benefit"] for g in plan["groups"]}
    flawed = {int(b) for b, f in plan["flaws"].items() if f["how"]}
    harm = wrong + sum(
        benefit[e["group"]]
        for e in result["yard"]
        if e["kind"] == "end" and e["how"] == "error" and e["build"] in flawed and e["type"] != "repeatable"
    )
    release, prices = plan["release"], plan["prices"]
    probes = sum(s["host"]["probes"] for s in result["statuses"])
    return {
        "crossing": prices.get("crossing", 0) * crossed / first,
        "delay": release.get("delay_price", 0) * behind / whole,
        "harm": release.get("harm_price", 0) * harm / whole,
        "probes": prices.get("probe", 0) * probes / first,
    }


def releases(result: dict) -> list:
    """When the desk's news changed: (seconds into the day, build, stage, phase)."""
    rows, last = [], None
    for e in result["yard"]:
        if e["kind"] == "news":
            mark = e["build"], e["stage"], e["phase"]
            if mark != last and (not rows or (e["at"] - e["age_us"]) / 1e6 >= rows[-1][0]):
                last = mark
                when = (e["at"] - e["age_us"] - result["begin"]) / 1e6
                if all(row[1:] != mark for row in rows):
                    rows.append((max(when, 0.0), *mark))
    return sorted(rows)


def format_report(result: dict) -> str:
    f, found, plan = compute_figures(result), result["found"], result["plan"]
    lines = [
        f"day {plan['name']}, seed {plan['seed']}: {len(plan['gateways'])} gateways, {len(plan['places'])} "
        f"instances, {len(plan['zone_names'])} zones, {plan['length'] / 1e6:.0f} s, {plan['rate']:.0f} hits/s"
    ]
    lines += [f"note: {note}" for note in plan["notes"]]
    lines.append("")
    lines.append(f"{'rule':<18}{'checked':>9}{'broken':>8}")
    for rule in RULES:
        lines.append(f"{rule:<18}{found.checked[rule]:>9}{len(found.broken[rule]):>8}")
        lines += [f"    {text}" for text in found.broken[rule][:5]]
    lines.append("")
    window, at = f["worst 10 s"]
    lines.append(
        f"hits {f['hits']}, tries {f['tries']}, forwards {f['forwards']} ({f['forwards a hit']:.3f} a try)"
    )
    lines.append("answers: " + ", ".join(f"{seen} {n}" for seen, n in sorted(f["answers"].items())))
    lines.append("endings: " + ", ".join(f"{seen} {n}" for seen, n in sorted(f["endings"].items())))
    lines.append(
        f"service {f['service']:.4f}, worst 10 s {window:.4f} (from {at / 1e6:.0f} s), "
        f"p50 {f['p50']:.0f} ms, p99 {f['p99']:.0f} ms, loop lag p99 {f['lag p99 us'] / 1000:.1f} ms"
    )
    lines.append("by path group: " + ", ".join(f"{g} {x:.3f}" for g, x in f["by group"].items()))
    lines.append(
        f"G {f['G']:.3f} (prices: " + ", ".join(f"{k} {v:.3f}" for k, v in f["prices"].items()) + ")"
    )
    if result["final"]:
        for row in result["final"]["history"]:
            lines.append(f"  build {row['build']} stage {row['stage']}: {row['phase']} ({row['why']})")
        lines.append(
            f"at the end: build {result['final']['meant']} is meant; "
            + (
                "it, and nothing else, runs in every place"
                if result["final"]["exact"]
                else f"{'' if result['final']['settled'] else 'the release is still under way; '}"
                f"running: {result['final']['running']}"
            )
        )
    lines += [
        f"{at:6.1f} s  build {build} stage {stage}: {phase}" for at, build, stage, phase in releases(result)
    ]
    return "\n".join(lines)
