"""Checks the exposure rule: forwards to a build on trial stay within the cap, keys stay with their build."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from itertools import accumulate

from cobaltpond.audit.findings import RULES


def group_by_gateway(entries, kind):
    """Gateway number -> the entries of this kind that name the gateway."""
    rows = defaultdict(list)
    for entry in entries:
        if entry["kind"] == kind and entry.get("gateway") is not None:
            rows[int(entry["gateway"])].append(entry)
    return rows


class CapHistory:
    """The release state known to one gateway process over time.

    Each row is (time, build, stage, phase, cap).
    """

    def __init__(self, rows, rule_settings):
        self.rows = sorted(rows, key=lambda r: r[0])
        self.settings = rule_settings
        self.tolerance = rule_settings["tolerance"]
        self.times = [r[0] for r in self.rows]
        self.grace = rule_settings["drain_grace"]

    def state_at(self, at):
        """The last row received up to `at`; None before the first."""
        n = bisect_right(self.times, at)
        return self.rows[n - 1] if n else None

    def cap(self, build, state):
        """The cap for a build under a known state; None where the build is not on trial in it."""
        first = (self.settings.get("stage_caps") or [0.0])[0]
        if state is None or build > state[1]:
            return first
        return state[4] if build == state[1] and state[3] != "released" else None

    def allowed(self, build, since, at):
        """The highest cap that can have applied between the two times, and the time forwards count from.

        The cap is None where there may have been none.
        """
        caps = [self.cap(build, self.state_at(since - self.tolerance))]
        caps += [
            self.cap(build, row)
            for row in self.rows
            if since - self.tolerance - self.grace - self.tolerance <= row[0] <= at
        ]
        caps.append(self.cap(build, self.state_at(since - self.tolerance - self.grace - self.tolerance)))
        if None in caps:
            return None, 0
        counted_from = 0
        for before, row in zip([None, *self.rows], self.rows, strict=False):
            old, new = self.cap(build, before), self.cap(build, row)
            if new is not None and (old is None or new < old) and row[0] + self.grace <= since:
                counted_from = row[0] + self.grace
        return max(caps), counted_from


def check_exposure(findings, lifetimes, client_records, instance_records, answers, arrivals, rule_settings):
    """Checks forwards to builds on trial against the cap, shielded stages and, if set, key affinity."""
    tolerance = rule_settings["tolerance"]
    rule, window, free_forwards = RULES[4], rule_settings["exposure_window"], rule_settings["exposure_free"]
    by_group = rule_settings["exposure_by"] == "path group"
    kinds = {g["name"]: g["kind"] for g in rule_settings["path_groups"]}
    release_news = defaultdict(list)
    tries_by_ledger = defaultdict(list)
    forwards_by_ledger = defaultdict(list)
    builds_by_key = {}
    for number, rows in group_by_gateway(instance_records, "news").items():
        for event in rows:
            at = event["at"] if event.get("exact") else lifetimes.read_time(number, event["at"])
            release_news[number, lifetimes.life(number, event["at"])].append(
                (at, event["build"], event["stage"], event["phase"], event["cap"])
            )
    for event in client_records:
        if event["kind"] == "try":
            life = lifetimes.life(event["gateway"], event["sent"])
            tries_by_ledger[event["gateway"], life, event["group"] if by_group else "all"].append(
                event["sent"]
            )
    for times in tries_by_ledger.values():
        times.sort()
    for event in arrivals:
        life = lifetimes.life(int(event["gateway"]), event["at"])
        forwards_by_ledger[
            int(event["gateway"]), life, event["build"], event["group"] if by_group else "all"
        ].append(event)
    for (number, life, build, ledger), rows in forwards_by_ledger.items():
        cap_history = CapHistory(release_news[number, life], rule_settings)
        shortest, longest = lifetimes.window(number, window)
        rows.sort(key=lambda event: event["at"])
        by_earliest_send = sorted(rows, key=lambda event: event["since"])
        try_times = tries_by_ledger[number, life, ledger]
        earliest_sends = [event["since"] for event in by_earliest_send]
        latest_arrivals = list(accumulate((event["at"] for event in by_earliest_send), max))
        for event in rows:
            if not event["since"]:
                continue  # delayed on its way, so its send time is unknown
            cap, counted_from = cap_history.allowed(build, event["since"], event["at"])
            if cap is None:
                continue
            before = bisect_right(earliest_sends, event["since"])
            # Counts since the cap was lowered, then over the whole window: the cap may have been lowered
            # a second time meanwhile, and what the whole window allows is within the cap.
            for count_start in (counted_from, 0) if counted_from else (0,):
                count = before - bisect_left(
                    earliest_sends, max(event["at"] - shortest, count_start + tolerance if count_start else 0)
                )
                # A counted forward may be sent after this one, when the gateway has accepted more hits.
                tries_counted = bisect_right(try_times, latest_arrivals[before - 1]) - bisect_left(
                    try_times,
                    max(event["since"] - longest, count_start)
                    - tolerance
                    - stall_time(lifetimes, number, event["since"]),
                )
                if count <= free_forwards + cap * tries_counted + 1e-9:
                    break
            findings.record(
                rule,
                count <= free_forwards + cap * tries_counted + 1e-9,
                f"gateway {number}: {count} forwards to build {build} on trial, "
                f"{free_forwards:g} + {cap:.2f} x {tries_counted} allowed at {event['at']}",
            )
            known_state = cap_history.state_at(event["at"])
            stage = known_state[2] if known_state and known_state[1] == build else 0
            is_shielded = (
                stage < rule_settings.get("shielded_stages", 0) and kinds[event["group"]] != "repeatable"
            )
            shield_violated = is_shielded and cap_history.state_at(event["since"] - tolerance) == known_state
            findings.record(
                rule,
                not shield_violated,
                f"hit {event['hit']}: {kinds[event['group']]}, to build {build} in stage {stage}",
            )
    if rule_settings.get("keys_stay"):
        check_key_affinity(
            findings, rule, lifetimes, answers, arrivals, release_news, rule_settings, builds_by_key
        )


def stall_time(lifetimes, number, at):
    """Microseconds of suspension to add: hits sent to a suspended gateway are accepted when it resumes."""
    return sum(b - a for a, b in lifetimes.stalls[number] if b - lifetimes.tolerance <= at <= b + 10_000_000)


def check_key_affinity(
    findings, rule, lifetimes, answers, arrivals, release_news, rule_settings, builds_by_key
):
    """Checks that a key answered by the build on trial or released is not sent to an older one later."""
    tolerance = rule_settings["tolerance"]
    keyed = {event["hit"]: event["key"] for event in arrivals if event.get("key")}
    for a in sorted(answers.values(), key=lambda a: a["at"]):
        key = keyed.get(a.get("hit"))
        if a["seen"] == "delivered" and key is not None:
            name = a["gateway"], lifetimes.life(a["gateway"], a["at"]), key
            builds_by_key.setdefault(name, []).append((a["at"], a["build"]))
    for event in arrivals:
        number = int(event["gateway"])
        life = lifetimes.life(number, event["at"])
        cap_history = CapHistory(release_news[number, life], rule_settings)
        known_state = {cap_history.state_at(event["since"] - tolerance), cap_history.state_at(event["at"])}
        if event.get("key") is None or not event["since"] or len(known_state) != 1 or None in known_state:
            continue
        ((_, build, _, phase, _),) = known_state
        answered = [
            b
            for at, b in builds_by_key.get((number, life, event["key"]), [])
            if at + tolerance < event["since"] and b == build
        ]
        went_to_older_build = answered and phase in ("trial", "released") and event["build"] < build
        findings.record(
            rule,
            not went_to_older_build,
            f"hit {event['hit']}: its key was answered by build {build}, sent to {event['build']}",
        )
