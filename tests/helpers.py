"""Test tools for the decisions: a recording host, a driver, a reference model of the rules, event generators.

The reference model is slow and independent of the decisions: it reads the whole record of a run again.
"""

import random

from cobaltpond.decisions.records import RandomSource
from cobaltpond.decisions.rules import Gateway

MS = 1000
GROUPS = [
    {"name": "look", "kind": "repeatable", "target_latency": 600 * MS, "client_timeout": 2500 * MS},
    {
        "name": "hold",
        "kind": "tagged",
        "scope": "all",
        "repeat_window": 400 * MS,
        "target_latency": 900 * MS,
        "client_timeout": 2500 * MS,
        "benefit": 3,
    },
    {"name": "pay", "kind": "mutating", "target_latency": 800 * MS, "client_timeout": 3000 * MS},
]


def example_settings(**changes):
    """Policy settings for three gateways, with `changes` applied."""
    return {
        "gateways": 3,
        "number": 0,
        "zone": "a",
        "path_groups": GROUPS,
        "gate": "count",
        "list_by": "push",
        "stage_shares": [0.2, 1.0],
        "stage_caps": [0.2, 1.0],
        "exposure_by": "all",
        "exposure_window": 2000 * MS,
        "exposure_free": 2,
        "drain_grace": 250 * MS,
        "cold_time": 4000 * MS,
        "cold_share": 0.33,
        "overload_factor": 2,
        "vote_life": 10_000 * MS,
        "vote_wait": 1000 * MS,
        "most_forwards": 3,
        "may_cancel": True,
        "may_advise": True,
        "most_advice": 1000 * MS,
        "tick": 5 * MS,
        "ask_within": 10_000 * MS,
        **changes,
    }


def scoped(scope):
    """The path groups, with another deduplication scope for the tagged one."""
    return [{**group, **({"scope": scope} if group["kind"] == "tagged" else {})} for group in GROUPS]


def row(id, build=1, state="up", started=None, zone="a", cell=0):
    return {"id": id, "build": build, "state": state, "started": started, "zone": zone, "cell": cell}


class RecordingHost:
    """A `DecisionHost` that records every call as (now, name, arguments).

    `open` has the forwards without an outcome, as (hit, number, sent, instance, timeout); `keys` has the
    idempotency keys by hit.
    """

    def __init__(self):
        self.now, self.calls, self.open, self.keys = 0, [], [], {}

    def __getattr__(self, name):
        def call(*arguments):
            self.calls.append((self.now, name, arguments))
            if name == "send_forward":
                numbers = [n for h, n, *_ in self.open + self.ended if h == arguments[0]]
                self.open.append((arguments[0], len(numbers), self.now, arguments[1], arguments[2]))

        return call

    ended: list = []

    def calls_named(self, *names):
        """The recorded calls of these names."""
        return [(now, name, arguments) for now, name, arguments in self.calls if name in names]


class GatewayDriver:
    """Drives a gateway, its host and its clock, event by event."""

    def __init__(self, rows, seed=1, news=(1, 0, "released", 1.0), **changes):
        self.host = RecordingHost()
        self.host.ended = []
        self.gateway = Gateway(self.host, 0, seed, example_settings(**changes))
        self.gateway.on_list(0, True, rows)
        self.news(*news)
        self.hits = 0

    def news(self, build, stage, phase, cap, age=0):
        """The desk tells the state of the release."""
        self.gateway.on_news(self.host.now, build, stage, phase, cap, age, False, "ok")

    def hit(self, group="look", left=2000 * MS, key=None, customer=None):
        """A hit arrives; returns its id."""
        self.hits += 1
        self.host.keys[self.hits] = key
        self.gateway.on_hit(self.host.now, self.hits, group, customer, key, left, None, False)
        return self.hits

    def end(self, forward, result="ok", report=None):
        """An open forward gets its outcome now."""
        self.host.open.remove(forward)
        self.host.ended.append(forward)
        hit, number, sent, _, _ = forward
        hit_final = result == "ok" and not any(
            a[0] == hit for _, _, a in self.host.calls_named("reject_hit", "fail_hit")
        )
        duration = self.host.now - sent
        self.gateway.on_outcome(self.host.now, hit, number, result, duration, hit_final, report or {})

    def probes(self, loads):
        """Answers the probes sent now; `loads(instance)` is the hits that it reports, None: no reply."""
        for at, name, (id, *_) in list(self.host.calls):
            if name == "probe_instance" and at == self.host.now and loads(id) is not None:
                self.gateway.on_probed(at, id, "ok", MS, {"inflight": loads(id)})

    def run(self, until, step=25 * MS):
        """Lets time pass until `until`, with wake-ups, timeouts and cancellations but no answers."""
        while self.host.now < until:
            self.host.now += step
            for forward in list(self.host.open):
                if self.host.now >= forward[2] + forward[4]:
                    self.end(forward, "timeout")
            self.gateway.on_wake(self.host.now, 0)
            for now, _, cancelled in self.host.calls_named("cancel_forward"):
                for forward in [f for f in self.host.open if f[:2] == cancelled and now == self.host.now]:
                    self.end(forward, "cancelled")

    def serve(self, until, duration, every=40 * MS, groups=("look",), fails=None):
        """Steady hits; `duration(instance)` is the latency, `fails(instance)` whether it answers an error."""
        start = self.host.now
        while self.host.now < until:
            if (self.host.now - start) % every < 20 * MS:
                for group in groups:
                    self.hit(group)
            for forward in list(self.host.open):
                if self.host.now - forward[2] >= duration(forward[3]):
                    self.end(forward, "error" if fails and fails(forward[3]) else "ok")
            self.run(self.host.now + 20 * MS, 20 * MS)


def broken_rules(host, hits, reported, settings):
    """The reference model: reads the whole record of a run and lists the violations of the rules.

    `hits` is hit -> (time, path group, time left, outcomes as (number, result, time)); `reported` is a list
    of (time, what, value), what the gateway was told of the list and the release."""
    violations = kept_keys_broken(host, hits, reported, settings) if settings.get("keys_stay") else []
    locations, scopes = {}, {g["name"]: g.get("scope") for g in settings["path_groups"]}
    for at, what, value in reported:
        if what == "list":
            locations.setdefault(value["id"], []).append((at, value["zone"], value["cell"]))

    def location(id, now):
        """(zone, cell) as last reported."""
        return [entry[1:] for entry in locations[id] if entry[0] <= now][-1]

    for id, (at, group, left, outcomes) in hits.items():
        forwards = [(now, a) for now, _, a in host.calls_named("send_forward") if a[0] == id]
        answers = [(now, name) for now, name, a in host.calls_named("reject_hit", "fail_hit") if a[0] == id]
        answers += [(now, "delivered") for _, result, now in outcomes if result == "ok" and not answers]
        if len(answers) != 1 or answers[0][0] > at + left + 20 * MS:
            violations.append(("lost", id))
        if any(now > answer for now, _ in forwards for answer, _ in answers):
            violations.append(("sent after the answer", id))
        for index, (now, a) in enumerate(forwards):
            before = [(result, end) for number, result, end in outcomes if number < index and end <= now]
            executed = [
                f
                for f, (result, _) in zip(forwards, before, strict=False)
                if result not in ("full", "unreachable", "moot")
            ]
            if len(before) < index or index >= settings["most_forwards"]:
                violations.append(("two at once or too many", id))
            if executed and (
                group["kind"] == "mutating"
                or group["kind"] == "tagged"
                and now - executed[0][0] > group["repeat_window"]
            ):
                violations.append(("twice", id))
            # sent within what is left of the window: a dial after the decision must not outlast it
            bound = executed and group["kind"] == "tagged" and executed[0][0] + group["repeat_window"] - now
            if bound and not (a[3] is not None and 0 < a[3] <= bound) or not bound and a[3] is not None:
                violations.append(("not bound by the window", id))
            if executed and group["kind"] == "tagged":
                zone, cell = location(a[1], now)
                first_zone, first_cell = location(executed[0][1][1], executed[0][0])
                if not {
                    "all": True,
                    "zone": zone == first_zone,
                    "cell": (zone, cell) == (first_zone, first_cell),
                }[scopes[group["name"]]]:
                    violations.append(("outside its scope", id))
        executed_results = [e for _, e, _ in outcomes if e not in ("full", "unreachable", "moot")]
        harmful = group["kind"] == "mutating" or group["kind"] == "tagged" and scopes[group["name"]] != "all"
        if answers and answers[0][1] == "reject_hit" and executed_results and harmful:
            violations.append(("harmful bounce", id))
    state, cap, counted_from, sent = {}, {1: None}, {}, {}
    events = [(now, 1, name, a) for now, name, a in host.calls_named("send_forward")]
    events += [(now, 0, what, value) for now, what, value in reported]
    events += [(at, 0, "accepted", id) for id, (at, *_) in hits.items()]
    accepted = []
    for now, _, what, value in sorted(events, key=lambda e: e[:2]):
        if what == "list":
            state[value["id"]] = (value, now)
        elif what == "cap":
            build, new = value
            before = cap.get(build, settings["stage_caps"][0])
            if new is not None and (before is None or new < before):
                counted_from[build] = now + settings["drain_grace"]
            cap[build] = new
        elif what == "accepted":
            accepted.append((now, hits[value][1]["name"]))
        elif what == "send_forward":
            listed, since = state[value[1]]
            if listed["state"] != "up" and now > since + settings["drain_grace"]:
                violations.append(("drain", value))
            share = cap.get(listed["build"], settings["stage_caps"][0])
            if share is not None:
                group = hits[value[0]][1]
                counted_groups = (
                    {group["name"]}
                    if settings["exposure_by"] == "path group"
                    else {g["name"] for g in GROUPS}
                )
                start = now - settings["exposure_window"]
                if counted_from.get(listed["build"], now + 1) <= now:
                    start = max(start, counted_from[listed["build"]])
                forwards_to_build = sent.setdefault(listed["build"], [])
                forwards_to_build.append((now, group["name"]))
                most = settings["exposure_free"] + share * sum(
                    t > start and g in counted_groups for t, g in accepted
                )
                forbidden = share <= 0 or settings.get("shielded_stages") and group["kind"] != "repeatable"
                if sum(t >= start and g in counted_groups for t, g in forwards_to_build) > most or forbidden:
                    violations.append(("exposure", value))
    return violations


def kept_keys_broken(host, hits, reported, settings):
    """Violations of session affinity: hits whose key the newest build had answered, sent to an earlier build
    while the newest one was on trial or released."""
    violations, builds, news, answered = [], {}, (1, "released"), {}
    events = [(now, 1, name, a) for now, name, a in host.calls_named("send_forward")]
    events += [(at, 0, what, value) for at, what, value in reported if what in ("list", "news")]
    events += [
        (at, 2, "ok", (id, number))
        for id, (_, _, _, outcomes) in hits.items()
        for number, result, at in outcomes
        if result == "ok"
    ]
    builds_sent_to = {}
    for at, _, what, value in sorted(events, key=lambda e: e[:2]):
        if what == "list":
            builds[value["id"]] = value["build"]
        elif what == "news":
            news = value
        elif what == "ok":
            answered.setdefault((host.keys[value[0]], builds_sent_to[value]), at)
        else:
            number = sum(hit == value[0] for hit, _ in builds_sent_to)
            builds_sent_to[value[0], number] = builds[value[1]]
            newest, phase = news
            since = answered.get((host.keys[value[0]], newest))
            if phase != "going back" and since is not None and since < at and builds[value[1]] < newest:
                violations.append(("key went back", value[0]))
    return violations


def random_events(seed, **changes):
    """Runs a gateway on random events; returns what the reference model needs: (driver, hits, reported)."""
    random_source = random.Random(seed)
    rows = [row(f"i{n}", zone=random_source.choice("ab"), cell=n % 3) for n in range(6)]
    reported = [(0, "list", r) for r in rows]
    driver = GatewayDriver(rows, seed, **changes)
    hits = {}
    while driver.host.now < 8_000 * MS:
        now = driver.host.now
        if random_source.random() < 0.03:
            changed = row(
                f"i{random_source.randrange(8)}",
                random_source.choice([1, 1, 2]),
                random_source.choice(["up", "up", "up", "draining", "gone"]),
                random_source.choice([None, now]),
            )
            reported.append((now, "list", changed))
            driver.gateway.on_list(now, False, [changed])
        elif random_source.random() < 0.02:
            phase, cap = random_source.choice(
                [("trial", 0.2), ("trial", 1.0), ("going back", 0), ("released", None)]
            )
            reported.append((now, "cap", (2, cap)))
            reported.append((now, "news", (2, phase)))
            driver.news(2, 0, phase, 1.0 if cap is None else cap)
        if now % (30 * MS) == 0:
            driver.gateway.on_wake(now, 0)
        for _ in range(random_source.choice([0, 0, 1, 1, 2, 12 if random_source.random() < 0.02 else 1])):
            group, left = random_source.choice(GROUPS), random_source.choice([80, 400, 1500, 2500]) * MS
            hits[driver.hits + 1] = (now, group, left, [])
            driver.hit(group["name"], left, random_source.randrange(9))
        for forward in list(driver.host.open):
            if now >= forward[2] + forward[4]:
                result = "timeout"
            elif random_source.random() < 0.12:
                result = random_source.choice(["ok"] * 8 + ["error", "full", "reset", "unreachable", "moot"])
            else:
                continue
            hits[forward[0]][3].append((forward[1], result, now))
            driver.end(forward, result, {"inflight": random_source.randrange(5)})
        for at, name, arguments in driver.host.calls[-40:]:
            if name == "probe_instance" and at >= now - 10 * MS and random_source.random() < 0.5:
                report = {"inflight": random_source.randrange(5)}
                driver.gateway.on_probed(
                    now, *arguments, random_source.choice(["ok", "ok", "timeout"]), 5 * MS, report
                )
            for forward in [f for f in driver.host.open if name == "cancel_forward" and f[:2] == arguments]:
                hits[forward[0]][3].append((forward[1], "cancelled", now))
                driver.end(forward, "cancelled")
        driver.host.now += 5 * MS
    while driver.host.open or driver.gateway.held_hits:
        driver.host.now += 5 * MS
        for forward in list(driver.host.open):
            if driver.host.now >= forward[2] + forward[4]:
                hits[forward[0]][3].append((forward[1], "timeout", driver.host.now))
                driver.end(forward, "timeout")
        driver.gateway.on_wake(driver.host.now, 0)
    return driver, hits, reported


OLD_ROWS = [row(f"i{n}") for n in range(6)]
NEW_ROWS = [row(f"n{n}", 2) for n in range(4)]
LOW_TRAFFIC = {"gateways": 100, "may_probe": True}


def trial(duration, fails=None, until=16_000, **changes):
    """Runs a trial with warm instances whose stage has just begun; returns (time, verdict) of the votes, and
    the driver."""
    driver = GatewayDriver(
        OLD_ROWS + NEW_ROWS, news=(2, 0, "trial", 1.0), **{"stage_caps": [1.0, 1.0], **changes}
    )
    driver.serve(until * MS, duration, groups=("look", "hold"), fails=fails)
    return [(now, verdict) for now, _, (_, _, verdict) in driver.host.calls_named("cast_vote")], driver


def steady(bad=100):
    """Latencies from 60 to 140 ms; those of the new build are `bad` percent of that."""
    random_source = RandomSource(3)
    return (
        lambda id: (
            60 + random_source.randbelow(80)
            if id[0] == "i"
            else bad * (60 + random_source.randbelow(80)) / 100
        )
        * MS
    )
