"""Scenarios: a day script with faults of the network, processes, clocks and disks; written, or drawn from a
seed."""

from typing import Annotated, Literal

from msgspec import Meta

from cobaltpond.loop.random_source import seeded_random
from cobaltpond.scenario.plan import read_plan
from cobaltpond.scenario.settings_text import starlark_call
from cobaltpond.settings import sections as p
from cobaltpond.settings.reader import ANY_NUMBER

NET = ("cut", "reset", "refuse", "silent", "slow", "datagrams")
PROCESS = ("kill", "restart", "stall", "drift", "handles")
DISK = ("full", "sync_fails", "power_cut")
FAULTS = (*NET, *PROCESS, *DISK)
STATE = ("lost", "rolled_back")  # of a journal: gone, or a copy `size` seconds old put back
AIMED = ("cut", "reset", "kill", "restart", "stall")  # what is aimed where it strikes a gateway
AIMS = ("", "drain", "window", "vote", "stage", "back")


class Fault(p.Section, kw_only=True):
    """`on` and `to`: parts of the day (gateway-0, desk, yard, agent-place-00, solo-place-00). With `aim` it
    strikes `offset` microseconds from the first such moment of the gateway `by` (else `on`) after `at`: the
    end of a drain's grace, the end of a tagged hit's repeat window, the end of a vote's wait, the turn in
    which it hears of another stage, or that a build goes back."""

    kind: Literal[*FAULTS, "one_way", *STATE]
    at: p.Duration
    length: p.Duration = 1_000_000
    on: p.Name
    to: str = ""
    size: Annotated[float, Meta(ge=0)] = 1.0
    aim: Literal[AIMS] = ""
    by: str = ""
    offset: int = 0

    def validation_error(self, sheet):
        if self.kind in ("cut", "reset", "slow", "datagrams", "one_way") and not self.to:
            return f"{self.kind} needs `to`: a link has two ends"
        if self.aim and not (self.by or self.on).startswith("gateway-"):
            return "what is aimed is aimed at a moment of a gateway"
        if self.kind == "restart" and not self.on.startswith("gateway-"):
            return "only gateways are restarted in order"


FAULT_CALLS = {"fault": (Fault, ANY_NUMBER)}
SIZES = {
    # length s, hits a second, gateways, instances
    "small": (18, 24.0, 2, 6),
    "known": (20, 30.0, 5, 6),  # gateways that know each other
    "day": (60, 22.0, 3, 12),
    "lost": (18, 24.0, 3, 6),  # journals lost and put back, gateways killed with them
    "large": (20, 120.0, 50, 80),
}


def read_fault_scenario(path: str, text: str, seed: int | None = None) -> dict:
    return read_plan(path, text, seed, FAULT_CALLS)


def draw_scenario(seed: int, size: str = "small", lean: dict | None = None) -> str:
    """The text of a scenario. `lean`: kind of fault -> weight; the seed and it decide everything."""
    length, rate, gateways, instances = SIZES[size]
    chance, lines = seeded_random(f"scenario/{seed}"), [f"# drawn from seed {seed}, size {size}"]
    agents, quiet = chance.random() < 0.3 and size != "large", 6_000_000
    last = length * 1_000_000 - quiet  # the end stays quiet: it must have come back by then
    zones = ["north", "south"] if chance.random() < 0.8 else ["north", "south", "east"]

    def say(name, /, **fields):
        lines.append(starlark_call(name, fields))

    say("day", length=length * 1_000_000, rate=rate * chance.uniform(0.8, 1.2), seed=seed)
    say(
        "fleet",
        instances=instances,
        zones=zones,
        cores=2,
        cold_time=chance.choice([2_000_000, 3_000_000]),
        cancel=chance.choice(["none", "queued", "all"]),
        agents=agents,
        boot=600_000,
    )
    say(
        "registry",
        notice=chance.choice([100_000, 400_000]),
        spread=chance.choice([0, 200_000]),
        add=100_000,
        silent=2_000_000,
        by=chance.choice(["push", "push", "asking"]),
        ask_within=2_000_000,
    )
    say("path_group", name="look", kind="repeatable", target_latency=900_000, client_timeout=2_500_000)
    say(
        "path_group",
        name="pay",
        kind="mutating",
        target_latency=1_000_000,
        client_timeout=3_000_000,
        benefit=2.0,
    )
    if not agents:
        say(
            "path_group",
            name="hold",
            kind="tagged",
            scope=chance.choice(["all", "zone", "cell"]),
            repeat_window=chance.choice([300_000, 600_000, 1_500_000]),
            target_latency=1_000_000,
            client_timeout=2_500_000,
            benefit=3.0,
        )
    work = chance.choice([60_000, 90_000])
    say("traffic", group="look", share=0.5, work=work)
    say("traffic", group="pay", share=0.25, work=work, method="POST")
    if not agents:
        say("traffic", group="hold", share=0.25, work=work, method="POST")
    say("customer", name="emajoe-hall", share=0.6)
    say("customer", name="vaksali-fest", share=0.4)
    say("clients", retries=2, keys=chance.choice([0, 0, 40]))
    gate = chance.choice(["any", "count", "clock"])
    stages = chance.choice([([0.34, 1.0], [0.4, 1.0]), ([0.2, 0.5, 1.0], [0.3, 0.8, 1.0])])
    say(
        "release",
        gate=gate,
        layout=chance.choice(["beside", "in place"]),
        shares=stages[0],
        caps=stages[1],
        exposure_window=chance.choice([1_000_000, 2_000_000]),
        exposure_free=2.0,
        exposure_by=chance.choice(["all", "path group"]),
        shielded_stages=chance.choice([0, 0, 1]),
        keys_stay=chance.random() < 0.3,
        on_votes=chance.choice([1, min(2, gateways)]),
        back_votes=1,
        hold_votes=1,
        vote_life=5_000_000,
        vote_wait=800_000,
        dwell=500_000,
        step=1_500_000,
        settle=200_000,
        start_within=3_000_000,
        drain_time=chance.choice([500_000, 1_200_000]),
        news_period=1_000_000,
    )
    say(
        "rules",
        drain_grace=250_000,
        cold_time=3_000_000,
        cold_share=0.4,
        overload_factor=2.0,
        tip_time=1_000_000,
    )
    say(
        "allow",
        most_forwards=chance.choice([2, 3]),
        probe=chance.random() < 0.7,
        tell=chance.random() < 0.7 or size in ("known", "lost"),
        cancel=chance.random() < 0.8,
    )
    say("reports", how="answers", names=["util", "inflight"] if chance.random() < 0.7 else [])
    for n in range(gateways):
        say("gateway", zone=zones[n % len(zones)], weight=chance.choice([0.7, 1.0, 1.3]))
    if size in ("known", "lost"):
        say("members", period=300_000, wait=90_000)
    if size == "lost":
        say(
            "recovery",
            dials=chance.choice([0.0, 30.0]),
            calls=chance.choice([0.0, 20.0]),
            settle=4_000_000,
            snapshots=chance.random() < 0.5,
            snapshot_every=500_000,
        )
    at = chance.randrange(1_000_000, 3_000_000)
    while at < last - 3_000_000:
        flaw = chance.choice(["", "", "errors", "slow", "wrong", "load"])
        back = chance.randrange(2_000_000, 6_000_000) if chance.random() < 0.2 else None
        say("offer", at=at, flaw=flaw, strength=chance.uniform(0.5, 1.0), back_after=back)
        at += chance.randrange(5_000_000, 12_000_000)
    parts = [f"gateway-{n}" for n in range(gateways)]
    hosts = [f"place-{n:02d}" for n in range(instances)]
    if size == "lost":
        lose(say, chance, last, agents, parts, hosts)
        return "\n".join(lines) + "\n"
    busy = 0
    kinds = {kind: 1.0 for kind in FAULTS if agents or kind not in ("full", "sync_fails")}
    kinds = {kind: weight * (lean or {}).get(kind, 1.0) for kind, weight in kinds.items()}
    while True:
        at = busy + chance.randrange(500_000, 3_000_000)
        if at > last - 2_000_000:
            break
        span = min(chance.choice([50_000, 300_000, 1_000_000, 2_500_000]), last - at)
        if chance.random() < 0.3:
            trouble(say, chance, at, span, agents, instances)
        else:
            fault(
                say,
                chance,
                chance.choices(list(kinds), list(kinds.values()))[0],
                at,
                span,
                agents,
                parts,
                hosts,
            )
        busy = at + (span if chance.random() < 0.6 else 0)
    if size == "known":  # between gateways there is more that can go wrong
        for _ in range(chance.randrange(4)):
            one, other = chance.sample(parts, 2)
            say(
                "fault",
                kind=chance.choice(["one_way", "cut"]),
                at=chance.randrange(1_000_000, last - 3_000_000),
                length=chance.choice([300_000, 1_000_000, 3_000_000]),
                on=one,
                to=other,
            )
    return "\n".join(lines) + "\n"


def lose(say, chance, last, agents, parts, hosts) -> None:
    """The desk loses its state once or twice, at a drawn moment or close to one that matters; gateways, and
    with agents one of those, may go with it, or be cut off from it."""
    at = chance.randrange(1_500_000, last // 2)
    for _ in range(chance.choice([1, 1, 2])):
        row = {
            "kind": chance.choice(["lost", "rolled_back", "rolled_back"]),
            "at": at,
            "on": "desk",
            "length": chance.choice([100_000, 500_000, 1_500_000]),
            "size": chance.choice([0.3, 1.0, 3.0, 30.0]),
        }
        if chance.random() < 0.5:
            row.update(
                by=chance.choice(parts),
                aim=chance.choice(["back", "stage", "vote"]),
                offset=chance.choice([0, 300, 5_000, 300_000]),
            )
        say("fault", **row)
        killed = chance.choice([0, 0, 1, 2, 3])
        for part in chance.sample(parts, killed):
            say(
                "kill",
                gateway=int(part[8:]),
                at=at + chance.randrange(300_000),
                back_after=chance.choice([100_000, 1_000_000]),
            )
        if not killed and chance.random() < 0.4:
            say(
                "fault",
                kind="cut",
                at=at,
                length=chance.choice([1_000_000, 3_000_000]),
                on=chance.choice(parts),
                to="yard",
            )
        if agents and chance.random() < 0.4:
            say(
                "fault",
                kind=chance.choice(["lost", "rolled_back"]),
                at=at + chance.randrange(500_000),
                on=chance.choice(hosts),
                length=300_000,
                size=1.0,
            )
        at += chance.randrange(3_000_000, 5_000_000)
        if at > last - 3_000_000:
            break


def trouble(say, chance, at, span, agents, instances) -> None:
    """One of the bench's own troubles."""
    kinds = ["burst", "bad_requests", "give_up"]
    if not agents:
        kinds += [
            "vanish",
            "zone_cut",
            "slow",
            "fast_errors",
            "control_down",
            "discovery_stale",
            "conn_squeeze",
        ]
    kind = chance.choice(kinds)
    size = {
        "burst": 1.5,
        "bad_requests": 0.1,
        "give_up": 0.15,
        "slow": 4.0,
        "fast_errors": 0.7,
        "discovery_stale": 0.8,
        "conn_squeeze": 20,
    }.get(kind, 1.0)
    struck = chance.sample(range(instances), chance.choice([1, 1, 3]))
    say(
        "trouble",
        kind=kind,
        at=at,
        length=max(span, 300_000),
        size=size,
        on=struck,
        which=chance.randrange(2),
        how=chance.choice(["silence", "errors"]) if kind == "control_down" else "",
    )


def fault(say, chance, kind, at, span, agents, parts, hosts) -> None:
    gateway, place = chance.choice(parts), chance.choice(hosts)
    far = f"solo-{place}" if agents else "yard"
    row = {"kind": kind, "at": at, "length": span, "on": gateway}
    if kind == "datagrams":
        others = [one for one in parts if one != gateway] or [gateway]
        row.update(to=chance.choice(others), size=chance.choice([0.3, 1]))
    elif kind in NET:
        row.update(to=chance.choice([far, "desk", "yard"]))
        if kind == "slow":
            row.update(size=chance.choice([5.0, 20.0]))
        if kind in ("refuse", "silent"):
            row.update(on=row["to"], to="")
    elif kind in ("kill", "stall"):
        others = ["desk", f"agent-{place}", f"solo-{place}"] if agents else ["desk"]
        row.update(on=chance.choice([gateway, gateway, *others]))
    elif kind == "drift":
        row.update(size=1 + chance.choice([-1, 1]) * chance.uniform(0.0002, 0.002))
    elif kind == "handles":
        row.update(size=chance.choice([16, 24]))
    elif kind in DISK:
        row.update(on=chance.choice([place, "desk"]) if agents else chance.choice([gateway, "desk"]))
        if kind == "power_cut":
            row.update(length=max(span, 500_000))
    if row["on"] == "desk" and kind in ("kill", "power_cut") and chance.random() < 0.6:
        row.update(
            by=gateway,
            aim=chance.choice(["back", "back", "vote", "stage"]),
            offset=chance.choice([0, 1, 300, 1000, 5000]),
        )
    elif row["on"].startswith("gateway-") and kind in AIMED and chance.random() < 0.5:
        row.update(
            aim=chance.choice([aim for aim in AIMS if aim and not (agents and aim == "window")]),
            offset=chance.choice([-1000, -100, -1, 0, 1, 100, 1000, -50_000]),
        )
    say("fault", **row)
