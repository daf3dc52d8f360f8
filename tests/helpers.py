"""A host that records what a gateway does, a slow plain model of the rules, a generator of events."""

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


def sheet(**changes):
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
    """The path groups with another scope of the tagged one."""
    return [{**group, **({"scope": scope} if group["kind"] == "tagged" else {})} for group in GROUPS]


def row(id, build=1, state="up", started=None, zone="a", cell=0):
    return {"id": id, "build": build, "state": state, "started": started, "zone": zone, "cell": cell}


class Host:
    """Keeps every call as (now, name, arguments)."""

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

    def named(self, *names):
        return [(now, name, arguments) for now, name, arguments in self.calls if name in names]


class Bench:
    """A gateway with its host and clock, fed by hand."""

    def __init__(self, rows, seed=1, news=(1, 0, "released", 1.0), **changes):
        self.host = Host()
        self.host.ended = []
        self.gateway = Gateway(self.host, 0, seed, sheet(**changes))
        self.gateway.on_list(0, True, rows)
        self.news(*news)
        self.hits = 0

    def news(self, build, stage, phase, cap, age=0):
        self.gateway.on_news(self.host.now, build, stage, phase, cap, age, False, "ok")

    def hit(self, group="look", left=2000 * MS, key=None, customer=None):
        self.hits += 1
        self.host.keys[self.hits] = key
        self.gateway.on_hit(self.host.now, self.hits, group, customer, key, left, None, False)
        return self.hits

    def end(self, forward, ending="ok", report=None):
        self.host.open.remove(forward)
        self.host.ended.append(forward)
        hit, number, sent, _, _ = forward
        closed = ending == "ok" and not any(
            a[0] == hit for _, _, a in self.host.named("reject_hit", "fail_hit")
        )
        took = self.host.now - sent
        self.gateway.on_outcome(self.host.now, hit, number, ending, took, closed, report or {})

    def probes(self, loads):
        """Answers the probes sent now; `loads`: instance -> hits it reports, or None for no answer."""
        for at, name, (id, *_) in list(self.host.calls):
            if name == "probe_instance" and at == self.host.now and loads(id) is not None:
                self.gateway.on_probed(at, id, "ok", MS, {"inflight": loads(id)})

    def run(self, until, step=25 * MS):
        """Lets time pass, with the wake-ups it asked for and nothing else but time-outs."""
        while self.host.now < until:
            self.host.now += step
            for forward in list(self.host.open):
                if self.host.now >= forward[2] + forward[4]:
                    self.end(forward, "timeout")
            self.gateway.on_wake(self.host.now, 0)
            for now, _, cancelled in self.host.named("cancel_forward"):
                for forward in [f for f in self.host.open if f[:2] == cancelled and now == self.host.now]:
                    self.end(forward, "cancelled")

    def serve(self, until, took, every=40 * MS, groups=("look",), fails=None):
        """Steady hits; `took(instance)` is the latency, `fails(instance)`: it answers with an error."""
        start = self.host.now
        while self.host.now < until:
            if (self.host.now - start) % every < 20 * MS:
                for group in groups:
                    self.hit(group)
            for forward in list(self.host.open):
                if self.host.now - forward[2] >= took(forward[3]):
                    self.end(forward, "error" if fails and fails(forward[3]) else "ok")
            self.run(self.host.now + 20 * MS, 20 * MS)


def broken_rules(host, asked, told, sheet_):
    """The plain model: reads the whole record again and says which rules it breaks. `asked`: hit -> (time,
    path group, left, outcomes as (number, ending, time)); `told`: (time, what, value)."""
    bad = kept_keys_broken(host, asked, told, sheet_) if sheet_.get("keys_stay") else []
    places, scopes = {}, {g["name"]: g.get("scope") for g in sheet_["path_groups"]}
    for at, what, value in told:
        if what == "list":
            places.setdefault(value["id"], []).append((at, value["zone"], value["cell"]))

    def place(id, now):
        """(zone, cell) as last told."""
        return [entry[1:] for entry in places[id] if entry[0] <= now][-1]

    for id, (at, group, left, outcomes) in asked.items():
        forwards = [(now, a) for now, _, a in host.named("send_forward") if a[0] == id]
        answers = [(now, name) for now, name, a in host.named("reject_hit", "fail_hit") if a[0] == id]
        answers += [(now, "delivered") for _, ending, now in outcomes if ending == "ok" and not answers]
        if len(answers) != 1 or answers[0][0] > at + left + 20 * MS:
            bad.append(("lost", id))
        if any(now > answer for now, _ in forwards for answer, _ in answers):
            bad.append(("sent after the answer", id))
        for index, (now, a) in enumerate(forwards):
            before = [(ending, end) for number, ending, end in outcomes if number < index and end <= now]
            risky = [
                f
                for f, (ending, _) in zip(forwards, before, strict=False)
                if ending not in ("full", "unreachable", "moot")
            ]
            if len(before) < index or index >= sheet_["most_forwards"]:
                bad.append(("two at once or too many", id))
            if risky and (
                group["kind"] == "mutating"
                or group["kind"] == "tagged"
                and now - risky[0][0] > group["repeat_window"]
            ):
                bad.append(("twice", id))
            # sent within what is left of the window: a dial after the decision must not outlast it
            bound = risky and group["kind"] == "tagged" and risky[0][0] + group["repeat_window"] - now
            if bound and not (a[3] is not None and 0 < a[3] <= bound) or not bound and a[3] is not None:
                bad.append(("not bound by the window", id))
            if risky and group["kind"] == "tagged":
                (zone, cell), (first, room) = place(a[1], now), place(risky[0][1][1], risky[0][0])
                if not {"all": True, "zone": zone == first, "cell": (zone, cell) == (first, room)}[
                    scopes[group["name"]]
                ]:
                    bad.append(("outside its scope", id))
        ran = [e for _, e, _ in outcomes if e not in ("full", "unreachable", "moot")]
        harmful = group["kind"] == "mutating" or group["kind"] == "tagged" and scopes[group["name"]] != "all"
        if answers and answers[0][1] == "reject_hit" and ran and harmful:
            bad.append(("harmful bounce", id))
    state, cap, fresh, sent = {}, {1: None}, {}, {}
    events = [(now, 1, name, a) for now, name, a in host.named("send_forward")]
    events += [(now, 0, what, value) for now, what, value in told]
    events += [(at, 0, "taken", id) for id, (at, *_) in asked.items()]
    taken = []
    for now, _, what, value in sorted(events, key=lambda e: e[:2]):
        if what == "list":
            state[value["id"]] = (value, now)
        elif what == "cap":
            build, new = value
            before = cap.get(build, sheet_["stage_caps"][0])
            if new is not None and (before is None or new < before):
                fresh[build] = now + sheet_["drain_grace"]
            cap[build] = new
        elif what == "taken":
            taken.append((now, asked[value][1]["name"]))
        elif what == "send_forward":
            listed, since = state[value[1]]
            if listed["state"] != "up" and now > since + sheet_["drain_grace"]:
                bad.append(("drain", value))
            share = cap.get(listed["build"], sheet_["stage_caps"][0])
            if share is not None:
                group = asked[value[0]][1]
                by = {group["name"]} if sheet_["exposure_by"] == "path group" else {g["name"] for g in GROUPS}
                start = now - sheet_["exposure_window"]
                if fresh.get(listed["build"], now + 1) <= now:
                    start = max(start, fresh[listed["build"]])
                of_it = sent.setdefault(listed["build"], [])
                of_it.append((now, group["name"]))
                most = sheet_["exposure_free"] + share * sum(t > start and g in by for t, g in taken)
                shut = share <= 0 or sheet_.get("shielded_stages") and group["kind"] != "repeatable"
                if sum(t >= start and g in by for t, g in of_it) > most or shut:
                    bad.append(("exposure", value))
    return bad


def kept_keys_broken(host, asked, told, sheet_):
    """Hits whose key the newest build had answered, sent to an earlier one while it was on trial or
    released."""
    bad, builds, news, answered = [], {}, (1, "released"), {}
    events = [(now, 1, name, a) for now, name, a in host.named("send_forward")]
    events += [(at, 0, what, value) for at, what, value in told if what in ("list", "news")]
    events += [
        (at, 2, "ok", (id, number))
        for id, (_, _, _, outcomes) in asked.items()
        for number, ending, at in outcomes
        if ending == "ok"
    ]
    where = {}
    for at, _, what, value in sorted(events, key=lambda e: e[:2]):
        if what == "list":
            builds[value["id"]] = value["build"]
        elif what == "news":
            news = value
        elif what == "ok":
            answered.setdefault((host.keys[value[0]], where[value]), at)
        else:
            number = sum(hit == value[0] for hit, _ in where)
            where[value[0], number] = builds[value[1]]
            newest, phase = news
            since = answered.get((host.keys[value[0]], newest))
            if phase != "going back" and since is not None and since < at and builds[value[1]] < newest:
                bad.append(("key went back", value[0]))
    return bad


def random_day(seed, **changes):
    """A generated stream of events against the module; returns what the model needs to judge it."""
    dice = random.Random(seed)
    rows = [row(f"i{n}", zone=dice.choice("ab"), cell=n % 3) for n in range(6)]
    told = [(0, "list", r) for r in rows]
    bench = Bench(rows, seed, **changes)
    asked = {}
    while bench.host.now < 8_000 * MS:
        now = bench.host.now
        if dice.random() < 0.03:
            changed = row(
                f"i{dice.randrange(8)}",
                dice.choice([1, 1, 2]),
                dice.choice(["up", "up", "up", "draining", "gone"]),
                dice.choice([None, now]),
            )
            told.append((now, "list", changed))
            bench.gateway.on_list(now, False, [changed])
        elif dice.random() < 0.02:
            phase, cap = dice.choice([("trial", 0.2), ("trial", 1.0), ("going back", 0), ("released", None)])
            told.append((now, "cap", (2, cap)))
            told.append((now, "news", (2, phase)))
            bench.news(2, 0, phase, 1.0 if cap is None else cap)
        if now % (30 * MS) == 0:
            bench.gateway.on_wake(now, 0)
        for _ in range(dice.choice([0, 0, 1, 1, 2, 12 if dice.random() < 0.02 else 1])):
            group, left = dice.choice(GROUPS), dice.choice([80, 400, 1500, 2500]) * MS
            asked[bench.hits + 1] = (now, group, left, [])
            bench.hit(group["name"], left, dice.randrange(9))
        for forward in list(bench.host.open):
            if now >= forward[2] + forward[4]:
                ending = "timeout"
            elif dice.random() < 0.12:
                ending = dice.choice(["ok"] * 8 + ["error", "full", "reset", "unreachable", "moot"])
            else:
                continue
            asked[forward[0]][3].append((forward[1], ending, now))
            bench.end(forward, ending, {"inflight": dice.randrange(5)})
        for at, name, arguments in bench.host.calls[-40:]:
            if name == "probe_instance" and at >= now - 10 * MS and dice.random() < 0.5:
                report = {"inflight": dice.randrange(5)}
                bench.gateway.on_probed(now, *arguments, dice.choice(["ok", "ok", "timeout"]), 5 * MS, report)
            for forward in [f for f in bench.host.open if name == "cancel_forward" and f[:2] == arguments]:
                asked[forward[0]][3].append((forward[1], "cancelled", now))
                bench.end(forward, "cancelled")
        bench.host.now += 5 * MS
    while bench.host.open or bench.gateway.held_hits:
        bench.host.now += 5 * MS
        for forward in list(bench.host.open):
            if bench.host.now >= forward[2] + forward[4]:
                asked[forward[0]][3].append((forward[1], "timeout", bench.host.now))
                bench.end(forward, "timeout")
        bench.gateway.on_wake(bench.host.now, 0)
    return bench, asked, told


OLD = [row(f"i{n}") for n in range(6)]
NEW = [row(f"n{n}", 2) for n in range(4)]
THIN = {"gateways": 100, "may_probe": True}


def trial(took, fails=None, until=16_000, **changes):
    """A build on trial with every instance warm but the clock of its stage just begun."""
    bench = Bench(OLD + NEW, news=(2, 0, "trial", 1.0), **{"stage_caps": [1.0, 1.0], **changes})
    bench.serve(until * MS, took, groups=("look", "hold"), fails=fails)
    return [(now, verdict) for now, _, (_, _, verdict) in bench.host.named("cast_vote")], bench


def steady(bad=100):
    dice = RandomSource(3)
    return (
        lambda id: (60 + dice.randbelow(80) if id[0] == "i" else bad * (60 + dice.randbelow(80)) / 100) * MS
    )
