"""Computes the figures of a finished scenario and formats them as a report."""

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram

from cobaltpond.audit.findings import RULES

WINDOW_US = 10_000_000


def compute_figures(result: dict) -> dict:
    """The figures of a result, by name.

    Service (the share of benefit answered within target latency), its worst parts, the bench's score G as far
    as it can be computed here, forwards a hit, and latencies in milliseconds.
    """
    client_records, instance_records, plan = result["crowd"], result["yard"], result["plan"]
    hits = {event["op"]: event for event in client_records if event["kind"] == "asked"}
    answers = [event for event in client_records if event["kind"] == "answer"]
    tries = [event for event in client_records if event["kind"] == "try"]
    arrivals = [
        event
        for event in instance_records
        if event["kind"] == "arrive" and event["hit"] and event["hit"] != "probe"
    ]
    groups = {g["name"]: g for g in plan["groups"]}
    earned_benefits = defaultdict(float)
    latency_histogram = HdrHistogram(1, 120_000_000, 3)
    served_by = defaultdict(float)
    wrong_benefit = 0.0
    for answer in answers:
        if answer["seen"] != "delivered":
            continue
        hit = hits[answer["op"]]
        latency_us = answer["at"] - hit["begun"]
        latency_histogram.record_value(max(1, latency_us))
        if answer.get("wrong") or answer["status"] >= 500:
            wrong_benefit += hit["benefit"] * bool(answer.get("wrong"))
            continue
        served_by[answer["build"], answer["at"] - result["begin"]] += hit["benefit"]
        if latency_us <= hit["target"]:
            earned_benefits[answer["op"]] = hit["benefit"]
        else:
            earned_benefits[answer["op"]] = hit["benefit"] * groups[hit["group"]].get("late_benefit", 0.0)

    def service_of(ops):
        total_benefit = sum(hits[op]["benefit"] for op in ops)
        return sum(earned_benefits[op] for op in ops) / total_benefit if total_benefit else 1.0

    windows = []
    for start in range(0, max(1, plan["length"] - WINDOW_US + 1), 1_000_000):
        ops = [op for op, event in hits.items() if start <= event["day"] < start + WINDOW_US]
        windows.append((service_of(ops), start))
    by_group = {g: service_of([op for op, event in hits.items() if event["group"] == g]) for g in groups}
    by_customer = {
        c["name"]: service_of([op for op, event in hits.items() if event["customer"] == c["name"]])
        for c in plan["customers"]
    }
    goal, service = plan["goal"], service_of(hits)
    weight = sum(goal.values())
    weighted_service = (
        goal["whole"] * service
        + goal["worst_window"] * min(windows)[0]
        + goal["worst_group"] * min(by_group.values())
        + goal["worst_customer"] * min(by_customer.values(), default=1.0)
    ) / weight
    prices = compute_prices(result, hits, arrivals, served_by, wrong_benefit)
    loop_lags = [s["lag_us"] for s in result["statuses"]]
    return {
        "hits": len(hits),
        "tries": len(tries),
        "forwards": len(arrivals),
        "service": service,
        "forwards a hit": len(arrivals) / max(1, len(tries)),
        "worst 10 s": min(windows),
        "by group": by_group,
        "by customer": by_customer,
        "G": weighted_service - sum(prices.values()),
        "prices": prices,
        "p50": latency_histogram.get_value_at_percentile(50) / 1000,
        "p99": latency_histogram.get_value_at_percentile(99) / 1000,
        "answers": Counter(answer["seen"] for answer in answers),
        "lag p99 us": max(lag["p99"] for lag in loop_lags),
        "endings": sum((Counter(s["endings"]) for s in result["statuses"]), Counter()),
    }


def compute_prices(result, hits, arrivals, served_by, wrong_benefit):
    """The deductions from the score G, by name."""
    plan, hit_count = result["plan"], max(1, len(hits))
    zones = {str(n): g["zone"] for n, g in enumerate(plan["gateways"])}
    places = {name: p["zone"] for p in plan["places"] for name in (p["id"], p["name"])}
    zone_crossings = sum(
        zones[event["gateway"]]
        != places[event["instance"].rpartition("." if "." in event["instance"] else "-")[0]]
        for event in arrivals
    )
    total_benefit = sum(event["benefit"] for event in hits.values()) or 1.0
    good_offers = [
        (o["at"], o["build"])
        for o in plan["offers"]
        if not plan["flaws"][str(o["build"])]["how"] and o.get("back_in") is None
    ]
    delayed_benefit = sum(
        earned
        for (build, at), earned in served_by.items()
        if build < max([b for seconds, b in good_offers if seconds <= at], default=0)
    )
    benefit = {g["name"]: g["benefit"] for g in plan["groups"]}
    flawed_builds = {int(b) for b, figures in plan["flaws"].items() if figures["how"]}
    harmed_benefit = wrong_benefit + sum(
        benefit[event["group"]]
        for event in result["yard"]
        if event["kind"] == "end"
        and event["how"] == "error"
        and event["build"] in flawed_builds
        and event["type"] != "repeatable"
    )
    release, prices = plan["release"], plan["prices"]
    probes = sum(s["host"]["probes"] for s in result["statuses"])
    return {
        "crossing": prices.get("crossing", 0) * zone_crossings / hit_count,
        "delay": release.get("delay_price", 0) * delayed_benefit / total_benefit,
        "harm": release.get("harm_price", 0) * harmed_benefit / total_benefit,
        "probes": prices.get("probe", 0) * probes / hit_count,
    }


def release_changes(result: dict) -> list:
    """The changes of the release state: (seconds into the scenario, build, stage, phase)."""
    rows, last = [], None
    for event in result["yard"]:
        if event["kind"] == "news":
            state = event["build"], event["stage"], event["phase"]
            if state != last and (not rows or (event["at"] - event["age_us"]) / 1e6 >= rows[-1][0]):
                last = state
                seconds = (event["at"] - event["age_us"] - result["begin"]) / 1e6
                if all(row[1:] != state for row in rows):
                    rows.append((max(seconds, 0.0), *state))
    return sorted(rows)


def format_report(result: dict) -> str:
    """The report of a result as text, for an operator."""
    figures, findings, plan = compute_figures(result), result["found"], result["plan"]
    lines = [
        f"day {plan['name']}, seed {plan['seed']}: {len(plan['gateways'])} gateways, {len(plan['places'])} "
        f"instances, {len(plan['zone_names'])} zones, {plan['length'] / 1e6:.0f} s, {plan['rate']:.0f} hits/s"
    ]
    lines += [f"note: {note}" for note in plan["notes"]]
    lines.append("")
    lines.append(f"{'rule':<18}{'checked':>9}{'broken':>8}")
    for rule in RULES:
        lines.append(f"{rule:<18}{findings.checked[rule]:>9}{len(findings.broken[rule]):>8}")
        lines += [f"    {text}" for text in findings.broken[rule][:5]]
    lines.append("")
    window, at = figures["worst 10 s"]
    lines.append(
        f"hits {figures['hits']}, tries {figures['tries']}, forwards {figures['forwards']} "
        f"({figures['forwards a hit']:.3f} a try)"
    )
    lines.append("answers: " + ", ".join(f"{seen} {n}" for seen, n in sorted(figures["answers"].items())))
    lines.append("endings: " + ", ".join(f"{seen} {n}" for seen, n in sorted(figures["endings"].items())))
    lines.append(
        f"service {figures['service']:.4f}, worst 10 s {window:.4f} (from {at / 1e6:.0f} s), "
        f"p50 {figures['p50']:.0f} ms, p99 {figures['p99']:.0f} ms, "
        f"loop lag p99 {figures['lag p99 us'] / 1000:.1f} ms"
    )
    lines.append("by path group: " + ", ".join(f"{g} {x:.3f}" for g, x in figures["by group"].items()))
    lines.append(
        f"G {figures['G']:.3f} (prices: "
        + ", ".join(f"{k} {v:.3f}" for k, v in figures["prices"].items())
        + ")"
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
        f"{at:6.1f} s  build {build} stage {stage}: {phase}"
        for at, build, stage, phase in release_changes(result)
    ]
    return "\n".join(lines)
