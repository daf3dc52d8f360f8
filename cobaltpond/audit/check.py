"""Decides the five rules from the records of clients, instances, list, relays and the day's own acts.

Nothing here is imported from the gateway, and nothing a gateway believes of itself is read. Times are on one
clock. A forward was sent no later than it was read, and no earlier than `since` (when its connection was last
seen empty); a rule counts as broken only if it is so for every time between the two. `EPS` covers the way
over loopback and the turns of the loops at both ends.
"""

from collections import defaultdict

from cobaltpond.audit.exposure import exposure_kept
from cobaltpond.audit.findings import RULES, Findings
from cobaltpond.audit.lives import ProcessLifetimes

EPS = 50_000  # microseconds; see docs/audit.md


def check_rules(crowd: list, yard: list, acts: list, sheet: dict, eps: int = EPS) -> Findings:
    """`sheet`: a runsheet map and under "rules" the figures tip_time, overload_factor and answer_slack.
    `eps`: less where the records' times are exact, see `sim/wire_observer.py`."""
    found, lives, sheet = Findings(), ProcessLifetimes(acts, eps), {**sheet, "eps": eps}
    answers = {(e["op"], e["number"]): e for e in crowd if e["kind"] == "answer"}
    arrivals = [e for e in yard if e["kind"] == "arrive" and e["hit"] and e["hit"] != "probe"]
    no_hit_lost(found, lives, crowd, answers, arrivals, sheet)
    no_effect_twice(found, lives, crowd, yard, answers, arrivals, sheet)
    drains_kept(found, lives, yard, arrivals, sheet)
    cold_kept(found, yard, sheet)
    exposure_kept(found, lives, crowd, yard, answers, arrivals, sheet)
    return found


def no_hit_lost(found, lives, crowd, answers, arrivals, sheet):
    eps = sheet["eps"]
    rule, slack = RULES[0], sheet["rules"]["answer_slack"]
    by_hit = defaultdict(list)
    for e in arrivals:
        by_hit[e["hit"]].append(e)
    for t in crowd:
        if t["kind"] == "stray":
            found.record(rule, False, f"a second answer of {t['bytes']} bytes from gateway {t['gateway']}")
        if t["kind"] != "try":
            continue
        answer, name = (
            answers.get((t["op"], t["number"])),
            f"hit {t['op']} try {t['number']} at {t['gateway']}",
        )
        due = t["sent"] + t["left"] + slack
        if answer is None:
            found.record(
                rule, lives.ended_in(t["gateway"], t["sent"], 1 << 62), f"{name}: the record ends without it"
            )
        elif answer["seen"] in ("lost", "late"):
            excused = (
                lives.ended_in(t["gateway"], t["sent"] - eps, answer["at"])
                or lives.stopping_in(t["gateway"], t["sent"], answer["at"])
                and not any(a["op"] == t["op"] for a in arrivals)
            )
            stalled = answer["seen"] == "late" and lives.stalled_in(t["gateway"], t["sent"], due)
            found.record(rule, excused or stalled, f"{name}: {answer['seen']}, no answer")
        elif answer["seen"] != "gave up":
            late = answer["from"] > due and not lives.stalled_in(t["gateway"], t["sent"], answer["at"])
            found.record(rule, not late, f"{name}: {answer['seen']} {answer['from'] - due} us after its time")
            after = [a for a in by_hit.get(answer.get("hit"), ()) if a["since"] > answer["at"] + eps]
            found.record(rule, not after, f"{name}: forwarded after its answer ({answer['seen']})")


def no_effect_twice(found, lives, crowd, yard, answers, arrivals, sheet):
    eps = sheet["eps"]
    rule, groups = RULES[1], {g["name"]: g for g in sheet["path_groups"]}
    effects = defaultdict(list)
    for e in yard:
        if e["kind"] == "effect":
            effects[e["op"]].append(e)
    for op, rows in effects.items():
        found.record(
            rule,
            len(rows) == 1,
            f"hit {op} ({rows[0]['group']}): {len(rows)} effects at "
            f"{[(r['instance'], r['hit']) for r in rows]}",
        )
    refused = {(e["hit"], e["forward"]) for e in yard if e["kind"] == "refused"}
    ended = {}  # work may go on after the gateway has left: the first counts
    for e in yard:
        if e["kind"] in ("end", "left"):
            ended.setdefault((e["hit"], e["forward"]), e)
    where = {(e["instance"], e["start"]): (e["zone"], e["cell"]) for e in yard if e["kind"] == "up"}
    by_hit = defaultdict(list)
    for e in arrivals:
        by_hit[e["hit"]].append(e)
    answered = {a["hit"]: a for a in answers.values() if a.get("hit")}
    for hit, rows in by_hit.items():
        rows.sort(key=lambda e: e["forward"])
        group = groups[rows[0]["group"]]
        risky = [e for e in rows if (hit, e["forward"]) not in refused]
        found.record(rule, len(rows) <= sheet["most_forwards"], f"hit {hit}: {len(rows)} forwards")
        for before, after in zip(rows, rows[1:], strict=False):
            end = ended.get((hit, before["forward"]))
            both = end is not None and end["from"] > after["at"] + eps and before["since"] and after["since"]
            both = both and not lives.frozen_in(before["instance"], before["at"], end["from"])
            found.record(rule, not both, f"hit {hit}: two forwards at once")
        if group["kind"] != "repeatable" and risky:
            first, later = risky[0], [e for e in rows if e["forward"] > risky[0]["forward"]]
            for e in later:
                if group["kind"] == "mutating":
                    found.record(rule, False, f"mutating hit {hit}: sent again after it may have run")
                else:
                    found.record(
                        rule,
                        e["since"] <= first["at"] + group["repeat_window"] + eps,
                        f"tagged hit {hit}: sent again after its window",
                    )
                    one, other = (where[x["instance"], x["start"]] for x in (first, e))
                    same = {"all": True, "zone": one[0] == other[0], "cell": one == other}[group["scope"]]
                    found.record(rule, same, f"tagged hit {hit}: sent again outside its {group['scope']}")
        harmless = group["kind"] == "repeatable" or group["kind"] == "tagged" and group["scope"] == "all"
        answer = answered.get(hit)
        if answer is not None and not harmless:
            before = [e for e in risky if e["at"] <= answer["at"]]
            found.record(
                rule, not (answer.get("promise") and before), f"hit {hit}: bounced after it may have run"
            )


def drains_kept(found, lives, yard, arrivals, sheet):
    eps = sheet["eps"]
    rule, grace = RULES[2], sheet["drain_grace"]
    # (gateway, life, id, start) -> [when told of its end, when told that it is up again], the last one open
    told, known = defaultdict(list), defaultdict(dict)

    def ends(name, at):
        if not told[name] or told[name][-1][1] is not None:
            told[name].append([at, None])

    for e in yard:
        if e["kind"] != "list":
            continue
        number = int(e["gateway"])
        at = e["at"] if e.get("exact") else lives.read_time(number, e["at"])
        life = lives.life(number, e["at"])
        listed = known[number, life]
        rows = {row["id"]: row for row in e["rows"]}
        if e["base"] is None:
            for id, start in list(listed.items()):
                if id not in rows:
                    ends((number, life, id, start), at)
                    del listed[id]
        for id, row in rows.items():
            if row["state"] == "up":
                if listed.get(id) not in (None, row["start"]):
                    ends((number, life, id, listed[id]), at)
                again = told.get((number, life, id, row["start"]))
                if again and again[-1][1] is None:  # its drain was taken back
                    again[-1][1] = at
                listed[id] = row["start"]
            else:
                ends((number, life, id, row["start"]), at)
                listed.pop(id, None)
    for e in arrivals:
        number = int(e["gateway"])
        spans = told.get((number, lives.life(number, e["at"]), e["instance"], e["start"]), ())
        late = [
            e["since"] - at
            for at, up in spans
            if e["since"] > at + grace + eps and (up is None or e["at"] < up - eps)
        ]
        found.record(
            rule,
            not late,
            f"hit {e['hit']}: sent to {e['instance']} {max(late, default=0)} us after "
            f"gateway {number} was told that it drains or is gone",
        )


def cold_kept(found, yard, sheet):
    rule, tip, factor = RULES[3], sheet["rules"]["tip_time"], sheet["rules"]["overload_factor"]
    ups = {(e["instance"], e["start"]): e for e in yard if e["kind"] == "up" and not e["warm"]}
    work = defaultdict(list)
    for e in yard:
        if e["kind"] == "arrive":
            work[e["instance"], e["start"]].append(e)
        if e["kind"] == "fell":
            found.record(rule, False, f"{e['instance']} fell over at {e['at']}")
    for name, up in ups.items():
        began = up.get("began", up["start"])
        rows = [e for e in work[name] if e["at"] - began < up["cold_time"]]
        worst = 0.0
        for n, last in enumerate(rows):
            window = [e["work"] for e in rows[: n + 1] if e["at"] > last["at"] - tip]
            age = last["at"] - began
            warmth = up["cold_share"] + (1 - up["cold_share"]) * min(1.0, age / up["cold_time"])
            bearable = factor * up["cores"] * up["speed"] * warmth * min(tip, max(1, age))
            worst = max(worst, (sum(window) - 2 * max(window)) / bearable)
        found.record(rule, worst <= 1.1, f"{name[0]}: sent {worst:.2f} times what a cold instance bears")
