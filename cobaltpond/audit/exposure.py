"""Checks the exposure rule: forwards to a build on trial stay within the cap, kept keys with their build."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from itertools import accumulate

from cobaltpond.audit.findings import RULES


def by_gateway(entries, kind):
    rows = defaultdict(list)
    for entry in entries:
        if entry["kind"] == kind and entry.get("gateway") is not None:
            rows[int(entry["gateway"])].append(entry)
    return rows


class CapHistory:
    """What one start of a gateway was told: news by time."""

    def __init__(self, rows, sheet):
        self.rows, self.settings, self.eps = sorted(rows, key=lambda r: r[0]), sheet, sheet["eps"]
        self.times = [r[0] for r in self.rows]
        self.grace = sheet["drain_grace"]

    def state_at(self, at):
        n = bisect_right(self.times, at)
        return self.rows[n - 1] if n else None

    def cap(self, build, news):
        """None where the build is not on trial for who was told this."""
        first = (self.settings.get("stage_caps") or [0.0])[0]
        if news is None or build > news[1]:
            return first
        return news[4] if build == news[1] and news[3] != "released" else None

    def allowed(self, build, since, at):
        """The highest cap that can have held between the two times, and from when forwards count; None: no
        cap."""
        caps = [self.cap(build, self.state_at(since - self.eps))]
        caps += [
            self.cap(build, row)
            for row in self.rows
            if since - self.eps - self.grace - self.eps <= row[0] <= at
        ]
        caps.append(self.cap(build, self.state_at(since - self.eps - self.grace - self.eps)))
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
            at = e["at"] if e.get("exact") else lives.read_time(number, e["at"])
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
        caps, (shortest, longest) = CapHistory(news[number, life], sheet), lives.window(number, window)
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
            found.record(
                rule,
                count <= free + cap * room + 1e-9,
                f"gateway {number}: {count} forwards to build {build} on trial, "
                f"{free:g} + {cap:.2f} x {room} allowed at {e['at']}",
            )
            told = caps.state_at(e["at"])
            stage = told[2] if told and told[1] == build else 0
            shielded = stage < sheet.get("shielded_stages", 0) and kinds[e["group"]] != "repeatable"
            surely = shielded and caps.state_at(e["since"] - eps) == told
            found.record(
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
        caps = CapHistory(news[number, life], sheet)
        told = {caps.state_at(e["since"] - eps), caps.state_at(e["at"])}
        if e.get("key") is None or not e["since"] or len(told) != 1 or None in told:
            continue
        ((_, build, _, phase, _),) = told
        answered = [
            b for at, b in kept.get((number, life, e["key"]), []) if at + eps < e["since"] and b == build
        ]
        wrong = answered and phase in ("trial", "released") and e["build"] < build
        found.record(
            rule, not wrong, f"hit {e['hit']}: its key was answered by build {build}, sent to {e['build']}"
        )
