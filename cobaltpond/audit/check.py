"""Decides the five rules from the records of clients, instances, list, relays and the day's own acts.

Nothing here is imported from the gateway, and nothing a gateway believes of itself is read. Times are on one
clock. A forward was sent no later than it was read, and no earlier than `since` (when its connection was last
seen empty); a rule counts as broken only if it is so for every time between the two. `EPS` covers the way
over loopback and the turns of the loops at both ends.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from itertools import accumulate

EPS = 50_000  # microseconds; see docs/audit.md
RULES = ("no hit lost", "no effect twice", "drains kept", "cold instances", "exposure")


class Findings:
    def __init__(self):
        self.checked = dict.fromkeys(RULES, 0)
        self.broken = {rule: [] for rule in RULES}

    def check(self, rule: str, fine: bool, text: str) -> None:
        self.checked[rule] += 1
        if not fine:
            self.broken[rule].append(text)

    @property
    def kept(self) -> bool:
        return not any(self.broken.values())


class Lives:
    """When each gateway ran: `acts` of the day: started, killed, told to stop, stood still, went on; and how
    fast its clock did."""

    def __init__(self, acts: list, eps: int):
        self.eps = eps
        self.ends, self.starts, self.stalls, self.stops = (defaultdict(list) for _ in range(4))
        self.frozen = [
            (act["part"], act["at"], act["at"] + act["len"] + self.eps)
            for act in acts
            if act["kind"] == "frozen"
        ]
        self.rates = {act["gateway"]: act["rate"] for act in acts if act["kind"] == "drifted"}
        for act in acts:
            number, at = act.get("gateway"), act["at"]
            if act["kind"] == "killed":
                self.ends[number].append(at)
            elif act["kind"] == "stopping":
                self.stops[number].append(at)
            elif act["kind"] == "started":
                self.starts[number].append(at)
            elif act["kind"] == "stalled":
                self.stalls[number].append([at, at + act["len"] + self.eps])

    def window(self, number, window) -> tuple[int, int]:
        """The least and the most that so much time on a gateway's own clock is on ours."""
        own = window / self.rates.get(number, 1.0)
        return int(min(window, own)), int(max(window, own)) + 1

    def ended_in(self, number, since, until) -> bool:
        return any(since <= at <= until for at in self.ends[number])

    def stopping_in(self, number, since, until) -> bool:
        return any(at - self.eps <= until and since <= at + 20_000_000 for at in self.stops[number])

    def stalled_in(self, number, since, until) -> bool:
        return any(a <= until and since <= b for a, b in self.stalls[number])

    def frozen_in(self, instance, since, until) -> bool:
        """Did an instance stand still then? What it did late says nothing of when a gateway gave up on it."""
        place = instance.partition(".")[0]
        return any(part == place and a <= until and since <= b for part, a, b in self.frozen)

    def heard(self, number, at) -> int:
        """When what came at `at` was read: after a stand-still."""
        return max([at, *(b for a, b in self.stalls[number] if a <= at <= b)])

    def life(self, number, at) -> int:
        """Which start of the gateway this time belongs to."""
        return bisect_right(self.starts[number], at)


def by_gateway(entries, kind):
    rows = defaultdict(list)
    for entry in entries:
        if entry["kind"] == kind and entry.get("gateway") is not None:
            rows[int(entry["gateway"])].append(entry)
    return rows


def check_all(crowd: list, yard: list, acts: list, sheet: dict, eps: int = EPS) -> Findings:
    """`sheet`: a runsheet map and under "rules" the figures tip_time, overload_factor and answer_slack.
    `eps`: less where the records' times are exact, see `sim/truth.py`."""
    found, lives, sheet = Findings(), Lives(acts, eps), {**sheet, "eps": eps}
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
            found.check(rule, False, f"a second answer of {t['bytes']} bytes from gateway {t['gateway']}")
        if t["kind"] != "try":
            continue
        answer, name = (
            answers.get((t["op"], t["number"])),
            f"hit {t['op']} try {t['number']} at {t['gateway']}",
        )
        due = t["sent"] + t["left"] + slack
        if answer is None:
            found.check(
                rule, lives.ended_in(t["gateway"], t["sent"], 1 << 62), f"{name}: the record ends without it"
            )
        elif answer["seen"] in ("lost", "late"):
            excused = (
                lives.ended_in(t["gateway"], t["sent"] - eps, answer["at"])
                or lives.stopping_in(t["gateway"], t["sent"], answer["at"])
                and not any(a["op"] == t["op"] for a in arrivals)
            )
            stalled = answer["seen"] == "late" and lives.stalled_in(t["gateway"], t["sent"], due)
            found.check(rule, excused or stalled, f"{name}: {answer['seen']}, no answer")
        elif answer["seen"] != "gave up":
            late = answer["from"] > due and not lives.stalled_in(t["gateway"], t["sent"], answer["at"])
            found.check(rule, not late, f"{name}: {answer['seen']} {answer['from'] - due} us after its time")
            after = [a for a in by_hit.get(answer.get("hit"), ()) if a["since"] > answer["at"] + eps]
            found.check(rule, not after, f"{name}: forwarded after its answer ({answer['seen']})")


def no_effect_twice(found, lives, crowd, yard, answers, arrivals, sheet):
    eps = sheet["eps"]
    rule, groups = RULES[1], {g["name"]: g for g in sheet["path_groups"]}
    effects = defaultdict(list)
    for e in yard:
        if e["kind"] == "effect":
            effects[e["op"]].append(e)
    for op, rows in effects.items():
        found.check(
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
        found.check(rule, len(rows) <= sheet["most_forwards"], f"hit {hit}: {len(rows)} forwards")
        for before, after in zip(rows, rows[1:], strict=False):
            end = ended.get((hit, before["forward"]))
            both = end is not None and end["from"] > after["at"] + eps and before["since"] and after["since"]
            both = both and not lives.frozen_in(before["instance"], before["at"], end["from"])
            found.check(rule, not both, f"hit {hit}: two forwards at once")
        if group["kind"] != "repeatable" and risky:
            first, later = risky[0], [e for e in rows if e["forward"] > risky[0]["forward"]]
            for e in later:
                if group["kind"] == "mutating":
                    found.check(rule, False, f"mutating hit {hit}: sent again after it may have run")
                else:
                    found.check(
                        rule,
                        e["since"] <= first["at"] + group["repeat_window"] + eps,
                        f"tagged hit {hit}: sent again after its window",
                    )
                    one, other = (where[x["instance"], x["start"]] for x in (first, e))
                    same = {"all": True, "zone": one[0] == other[0], "cell": one == other}[group["scope"]]
                    found.check(rule, same, f"tagged hit {hit}: sent again outside its {group['scope']}")
        harmless = group["kind"] == "repeatable" or group["kind"] == "tagged" and group["scope"] == "all"
        answer = answered.get(hit)
        if answer is not None and not harmless:
            before = [e for e in risky if e["at"] <= answer["at"]]
            found.check(
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
        at = e["at"] if e.get("exact") else lives.heard(number, e["at"])
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
        found.check(
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
            found.check(rule, False, f"{e['instance']} fell over at {e['at']}")
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
        found.check(rule, worst <= 1.1, f"{name[0]}: sent {worst:.2f} times what a cold instance bears")


class Caps:
    """What one start of a gateway was told: news by time."""

    def __init__(self, rows, sheet):
        self.rows, self.sheet, self.eps = sorted(rows, key=lambda r: r[0]), sheet, sheet["eps"]
        self.times = [r[0] for r in self.rows]
        self.grace = sheet["drain_grace"]

    def told(self, at):
        n = bisect_right(self.times, at)
        return self.rows[n - 1] if n else None

    def cap(self, build, news):
        """None where the build is not on trial for who was told this."""
        first = (self.sheet.get("stage_caps") or [0.0])[0]
        if news is None or build > news[1]:
            return first
        return news[4] if build == news[1] and news[3] != "released" else None

    def allowed(self, build, since, at):
        """The highest cap that can have held between the two times, and from when forwards count; None: no
        cap."""
        caps = [self.cap(build, self.told(since - self.eps))]
        caps += [
            self.cap(build, row)
            for row in self.rows
            if since - self.eps - self.grace - self.eps <= row[0] <= at
        ]
        caps.append(self.cap(build, self.told(since - self.eps - self.grace - self.eps)))
        if None in caps:
            return None, 0
        lowered = 0
        for before, row in zip([None, *self.rows], self.rows, strict=False):
            old, new = self.cap(build, before), self.cap(build, row)
            if new is not None and (old is None or new < old) and row[0] + self.grace <= since:
                lowered = row[0] + self.grace
        return max(caps), lowered


def exposure_kept(found, lives, crowd, yard, answers, arrivals, sheet):
    eps = sheet["eps"]
    rule, window, free = RULES[4], sheet["exposure_window"], sheet["exposure_free"]
    by_group, kinds = (
        sheet["exposure_by"] == "path group",
        {g["name"]: g["kind"] for g in sheet["path_groups"]},
    )
    news, tries, sent, kept = defaultdict(list), defaultdict(list), defaultdict(list), {}
    for number, rows in by_gateway(yard, "news").items():
        for e in rows:
            at = e["at"] if e.get("exact") else lives.heard(number, e["at"])
            news[number, lives.life(number, e["at"])].append(
                (at, e["build"], e["stage"], e["phase"], e["cap"])
            )
    for e in crowd:
        if e["kind"] == "try":
            life = lives.life(e["gateway"], e["sent"])
            tries[e["gateway"], life, e["group"] if by_group else "all"].append(e["sent"])
    for times in tries.values():
        times.sort()
    for e in arrivals:
        life = lives.life(int(e["gateway"]), e["at"])
        sent[int(e["gateway"]), life, e["build"], e["group"] if by_group else "all"].append(e)
    for (number, life, build, ledger), rows in sent.items():
        caps, (shortest, longest) = Caps(news[number, life], sheet), lives.window(number, window)
        rows.sort(key=lambda e: e["at"])
        order, taken = sorted(rows, key=lambda e: e["since"]), tries[number, life, ledger]
        sinces, latest = [e["since"] for e in order], list(accumulate((e["at"] for e in order), max))
        for e in rows:
            if not e["since"]:
                continue  # held on its way: nothing certain can be said
            cap, counted = caps.allowed(build, e["since"], e["at"])
            if cap is None:
                continue
            before = bisect_right(sinces, e["since"])
            # counted anew since the cap fell, or over the whole window: a second fall may have come
            # meanwhile, and what the window allows as a whole is within the cap
            for anew in (counted, 0) if counted else (0,):
                count = before - bisect_left(sinces, max(e["at"] - shortest, anew + eps if anew else 0))
                # one that is counted may have been sent after this one, when more hits had been taken
                room = bisect_right(taken, latest[before - 1]) - bisect_left(
                    taken, max(e["since"] - longest, anew) - eps - stall_time(lives, number, e["since"])
                )
                if count <= free + cap * room + 1e-9:
                    break
            found.check(
                rule,
                count <= free + cap * room + 1e-9,
                f"gateway {number}: {count} forwards to build {build} on trial, "
                f"{free:g} + {cap:.2f} x {room} allowed at {e['at']}",
            )
            told = caps.told(e["at"])
            stage = told[2] if told and told[1] == build else 0
            shielded = stage < sheet.get("shielded_stages", 0) and kinds[e["group"]] != "repeatable"
            surely = shielded and caps.told(e["since"] - eps) == told
            found.check(
                rule, not surely, f"hit {e['hit']}: {kinds[e['group']]}, to build {build} in stage {stage}"
            )
    if sheet.get("keys_stay"):
        keys_kept(found, rule, lives, answers, arrivals, news, sheet, kept)


def stall_time(lives, number, at):
    """Hits sent to a gateway that stands still are taken when it goes on."""
    return sum(b - a for a, b in lives.stalls[number] if b - lives.eps <= at <= b + 10_000_000)


def keys_kept(found, rule, lives, answers, arrivals, news, sheet, kept):
    eps = sheet["eps"]
    keyed = {e["hit"]: e["key"] for e in arrivals if e.get("key")}
    for a in sorted(answers.values(), key=lambda a: a["at"]):
        key = keyed.get(a.get("hit"))
        if a["seen"] == "delivered" and key is not None:
            name = a["gateway"], lives.life(a["gateway"], a["at"]), key
            kept.setdefault(name, []).append((a["at"], a["build"]))
    for e in arrivals:
        number = int(e["gateway"])
        life = lives.life(number, e["at"])
        caps = Caps(news[number, life], sheet)
        told = {caps.told(e["since"] - eps), caps.told(e["at"])}
        if e.get("key") is None or not e["since"] or len(told) != 1 or None in told:
            continue
        ((_, build, _, phase, _),) = told
        answered = [
            b for at, b in kept.get((number, life, e["key"]), []) if at + eps < e["since"] and b == build
        ]
        wrong = answered and phase in ("trial", "released") and e["build"] < build
        found.check(
            rule, not wrong, f"hit {e['hit']}: its key was answered by build {build}, sent to {e['build']}"
        )
