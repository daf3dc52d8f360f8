"""Checks the five invariants on records of clients, instances, instance list, relays and scenario actions.

Nothing is imported from the gateway, and no state that a gateway reports about itself is read. All times are
in microseconds on one clock. A forward was sent no later than it was read, and no earlier than `since`, when
its connection was last seen empty; a rule counts as broken only if it is broken for every send time between
the two. `TOLERANCE_US` covers the delay over loopback and the event loop iterations at both ends.
"""

from collections import defaultdict

from cobaltpond.audit.exposure import check_exposure
from cobaltpond.audit.findings import RULES, Findings
from cobaltpond.audit.lifetimes import ProcessLifetimes

TOLERANCE_US = 50_000  # see docs/audit.md


def check_rules(
    client_records: list,
    instance_records: list,
    actions: list,
    rule_settings: dict,
    tolerance: int = TOLERANCE_US,
) -> Findings:
    """Checks all rules and returns the findings.

    `rule_settings` is a map of policy settings with `tip_time`, `overload_factor` and `answer_slack` under
    "rules". `tolerance` is smaller where the recorded times are exact, see `sim/wire_observer.py`.
    """
    findings = Findings()
    lifetimes = ProcessLifetimes(actions, tolerance)
    rule_settings = {**rule_settings, "tolerance": tolerance}
    answers = {(event["op"], event["number"]): event for event in client_records if event["kind"] == "answer"}
    arrivals = [
        event
        for event in instance_records
        if event["kind"] == "arrive" and event["hit"] and event["hit"] != "probe"
    ]
    check_answers(findings, lifetimes, client_records, answers, arrivals, rule_settings)
    check_effects(findings, lifetimes, client_records, instance_records, answers, arrivals, rule_settings)
    check_drains(findings, lifetimes, instance_records, arrivals, rule_settings)
    check_cold_instances(findings, instance_records, rule_settings)
    check_exposure(findings, lifetimes, client_records, instance_records, answers, arrivals, rule_settings)
    return findings


def check_answers(findings, lifetimes, client_records, answers, arrivals, rule_settings):
    """Checks that every hit gets one answer, in time, and that no forward follows the answer."""
    tolerance = rule_settings["tolerance"]
    rule, slack = RULES[0], rule_settings["rules"]["answer_slack"]
    by_hit = defaultdict(list)
    for event in arrivals:
        by_hit[event["hit"]].append(event)
    for attempt in client_records:
        if attempt["kind"] == "stray":
            findings.record(
                rule, False, f"a second answer of {attempt['bytes']} bytes from gateway {attempt['gateway']}"
            )
        if attempt["kind"] != "try":
            continue
        answer = answers.get((attempt["op"], attempt["number"]))
        name = f"hit {attempt['op']} try {attempt['number']} at {attempt['gateway']}"
        deadline = attempt["sent"] + attempt["left"] + slack
        if answer is None:
            findings.record(
                rule,
                lifetimes.ended_in(attempt["gateway"], attempt["sent"], 1 << 62),
                f"{name}: the record ends without it",
            )
        elif answer["seen"] in ("lost", "late"):
            lost_with_process = (
                lifetimes.ended_in(attempt["gateway"], attempt["sent"] - tolerance, answer["at"])
                or lifetimes.stopping_in(attempt["gateway"], attempt["sent"], answer["at"])
                and not any(a["op"] == attempt["op"] for a in arrivals)
            )
            stalled = answer["seen"] == "late" and lifetimes.stalled_in(
                attempt["gateway"], attempt["sent"], deadline
            )
            findings.record(rule, lost_with_process or stalled, f"{name}: {answer['seen']}, no answer")
        elif answer["seen"] != "gave up":
            late = answer["from"] > deadline and not lifetimes.stalled_in(
                attempt["gateway"], attempt["sent"], answer["at"]
            )
            findings.record(
                rule, not late, f"{name}: {answer['seen']} {answer['from'] - deadline} us after its time"
            )
            after = [a for a in by_hit.get(answer.get("hit"), ()) if a["since"] > answer["at"] + tolerance]
            findings.record(rule, not after, f"{name}: forwarded after its answer ({answer['seen']})")


def check_effects(findings, lifetimes, client_records, instance_records, answers, arrivals, rule_settings):
    """Checks that no hit takes effect twice and that retries keep to the limits of their path group."""
    tolerance = rule_settings["tolerance"]
    rule, groups = RULES[1], {g["name"]: g for g in rule_settings["path_groups"]}
    effects = defaultdict(list)
    for event in instance_records:
        if event["kind"] == "effect":
            effects[event["op"]].append(event)
    for op, rows in effects.items():
        findings.record(
            rule,
            len(rows) == 1,
            f"hit {op} ({rows[0]['group']}): {len(rows)} effects at "
            f"{[(r['instance'], r['hit']) for r in rows]}",
        )
    refused = {(event["hit"], event["forward"]) for event in instance_records if event["kind"] == "refused"}
    ended = {}  # work may go on after the gateway has disconnected, so the first end counts
    for event in instance_records:
        if event["kind"] in ("end", "left"):
            ended.setdefault((event["hit"], event["forward"]), event)
    placement_of = {
        (event["instance"], event["start"]): (event["zone"], event["cell"])
        for event in instance_records
        if event["kind"] == "up"
    }
    by_hit = defaultdict(list)
    for event in arrivals:
        by_hit[event["hit"]].append(event)
    answered = {a["hit"]: a for a in answers.values() if a.get("hit")}
    for hit, rows in by_hit.items():
        rows.sort(key=lambda event: event["forward"])
        group = groups[rows[0]["group"]]
        may_have_run = [event for event in rows if (hit, event["forward"]) not in refused]
        findings.record(rule, len(rows) <= rule_settings["most_forwards"], f"hit {hit}: {len(rows)} forwards")
        for before, after in zip(rows, rows[1:], strict=False):
            end = ended.get((hit, before["forward"]))
            overlapping = (
                end is not None
                and end["from"] > after["at"] + tolerance
                and before["since"]
                and after["since"]
            )
            overlapping = overlapping and not lifetimes.frozen_in(
                before["instance"], before["at"], end["from"]
            )
            findings.record(rule, not overlapping, f"hit {hit}: two forwards at once")
        if group["kind"] != "repeatable" and may_have_run:
            first = may_have_run[0]
            later_forwards = [event for event in rows if event["forward"] > may_have_run[0]["forward"]]
            for event in later_forwards:
                if group["kind"] == "mutating":
                    findings.record(rule, False, f"mutating hit {hit}: sent again after it may have run")
                else:
                    findings.record(
                        rule,
                        event["since"] <= first["at"] + group["repeat_window"] + tolerance,
                        f"tagged hit {hit}: sent again after its window",
                    )
                    first_placement, later_placement = (
                        placement_of[x["instance"], x["start"]] for x in (first, event)
                    )
                    within_scope = {
                        "all": True,
                        "zone": first_placement[0] == later_placement[0],
                        "cell": first_placement == later_placement,
                    }[group["scope"]]
                    findings.record(
                        rule, within_scope, f"tagged hit {hit}: sent again outside its {group['scope']}"
                    )
        retry_is_safe = group["kind"] == "repeatable" or group["kind"] == "tagged" and group["scope"] == "all"
        answer = answered.get(hit)
        if answer is not None and not retry_is_safe:
            before = [event for event in may_have_run if event["at"] <= answer["at"]]
            findings.record(
                rule, not (answer.get("promise") and before), f"hit {hit}: bounced after it may have run"
            )


def check_drains(findings, lifetimes, instance_records, arrivals, rule_settings):
    """Checks that no forward goes to an instance once its drain, or its end, is known for the drain grace."""
    tolerance = rule_settings["tolerance"]
    rule, grace = RULES[2], rule_settings["drain_grace"]
    # (gateway, process, id, start) -> [[time of the drain or end, time up again or None], ...]
    drain_spans, listed_by_process = defaultdict(list), defaultdict(dict)

    def mark_draining(name, at):
        if not drain_spans[name] or drain_spans[name][-1][1] is not None:
            drain_spans[name].append([at, None])

    for event in instance_records:
        if event["kind"] != "list":
            continue
        number = int(event["gateway"])
        at = event["at"] if event.get("exact") else lifetimes.read_time(number, event["at"])
        life = lifetimes.life(number, event["at"])
        listed = listed_by_process[number, life]
        rows = {row["id"]: row for row in event["rows"]}
        if event["base"] is None:
            for id, start in list(listed.items()):
                if id not in rows:
                    mark_draining((number, life, id, start), at)
                    del listed[id]
        for id, row in rows.items():
            if row["state"] == "up":
                if listed.get(id) not in (None, row["start"]):
                    mark_draining((number, life, id, listed[id]), at)
                again = drain_spans.get((number, life, id, row["start"]))
                if again and again[-1][1] is None:  # the drain was revoked
                    again[-1][1] = at
                listed[id] = row["start"]
            else:
                mark_draining((number, life, id, row["start"]), at)
                listed.pop(id, None)
    for event in arrivals:
        number = int(event["gateway"])
        spans = drain_spans.get(
            (number, lifetimes.life(number, event["at"]), event["instance"], event["start"]), ()
        )
        late = [
            event["since"] - at
            for at, up in spans
            if event["since"] > at + grace + tolerance and (up is None or event["at"] < up - tolerance)
        ]
        findings.record(
            rule,
            not late,
            f"hit {event['hit']}: sent to {event['instance']} {max(late, default=0)} us after "
            f"gateway {number} was told that it drains or is gone",
        )


def check_cold_instances(findings, instance_records, rule_settings):
    """Checks that no cold instance gets more work than the overload factor allows."""
    rule = RULES[3]
    tip = rule_settings["rules"]["tip_time"]
    factor = rule_settings["rules"]["overload_factor"]
    cold_starts = {
        (event["instance"], event["start"]): event
        for event in instance_records
        if event["kind"] == "up" and not event["warm"]
    }
    work = defaultdict(list)
    for event in instance_records:
        if event["kind"] == "arrive":
            work[event["instance"], event["start"]].append(event)
        if event["kind"] == "fell":
            findings.record(rule, False, f"{event['instance']} fell over at {event['at']}")
    for name, up in cold_starts.items():
        began = up.get("began", up["start"])
        rows = [event for event in work[name] if event["at"] - began < up["cold_time"]]
        worst = 0.0
        for n, last in enumerate(rows):
            window = [event["work"] for event in rows[: n + 1] if event["at"] > last["at"] - tip]
            age = last["at"] - began
            warmth = up["cold_share"] + (1 - up["cold_share"]) * min(1.0, age / up["cold_time"])
            max_work = factor * up["cores"] * up["speed"] * warmth * min(tip, max(1, age))
            worst = max(worst, (sum(window) - 2 * max(window)) / max_work)
        findings.record(rule, worst <= 1.1, f"{name[0]}: sent {worst:.2f} times what a cold instance bears")
