"""Fault scenarios: scenario files with injected faults, written by hand or drawn from a seed."""

from typing import Annotated, Literal

from msgspec import Meta

from cobaltpond.loop.random_source import seeded_random
from cobaltpond.scenario.plan import read_plan
from cobaltpond.scenario.settings_text import starlark_call
from cobaltpond.settings import sections as p
from cobaltpond.settings.reader import ANY_NUMBER

NETWORK_FAULTS = ("cut", "reset", "refuse", "silent", "slow", "datagrams")
PROCESS_FAULTS = ("kill", "restart", "stall", "drift", "handles")
DISK_FAULTS = ("full", "sync_fails", "power_cut")
FAULT_KINDS = (*NETWORK_FAULTS, *PROCESS_FAULTS, *DISK_FAULTS)
JOURNAL_FAULTS = ("lost", "rolled_back")  # a journal is gone, or restored from a backup
AIMABLE_FAULTS = ("cut", "reset", "kill", "restart", "stall")  # may be drawn with an aim
AIM_MOMENTS = ("", "drain", "window", "vote", "stage", "back")


class Fault(p.Section, kw_only=True):
    """One fault of a scenario, declared as `fault(...)`.

    `on` and `to` are components of the scenario (gateway-0, desk, yard, agent-place-00, solo-place-00).
    With `aim` the fault begins `offset` microseconds from the first such moment of the gateway `by` (else
    `on`) after `at`: "drain" is the end of a drain's grace, "window" the end of a tagged hit's repeat
    window, "vote" the end of a vote's wait, "stage" the turn in which the gateway reads of another stage,
    "back" the one in which it reads that a build goes back.
    """

    kind: Literal[*FAULT_KINDS, "one_way", *JOURNAL_FAULTS]
    at: p.Duration
    length: p.Duration = 1_000_000
    on: p.Name
    to: str = ""
    size: Annotated[float, Meta(ge=0)] = 1.0
    aim: Literal[AIM_MOMENTS] = ""
    by: str = ""
    offset: int = 0

    def validation_error(self, settings):
        """Return why the fault makes no sense, or None."""
        if self.kind in ("cut", "reset", "slow", "datagrams", "one_way") and not self.to:
            return f"{self.kind} needs `to`, the other end of the link"
        if self.aim and not (self.by or self.on).startswith("gateway-"):
            return "an aimed fault needs a gateway in `by` or `on`"
        if self.kind == "restart" and not self.on.startswith("gateway-"):
            return "only gateways can be restarted in order"


FAULT_CALLS = {"fault": (Fault, ANY_NUMBER)}
SIZES = {
    # length in seconds, hits per second, gateways, instances
    "small": (18, 24.0, 2, 6),
    "known": (20, 30.0, 5, 6),  # gateways with a membership protocol
    "day": (60, 22.0, 3, 12),
    "lost": (18, 24.0, 3, 6),  # journals lost or rolled back, gateways killed at the same time
    "large": (20, 120.0, 50, 80),
}


def read_fault_scenario(path: str, text: str, seed: int | None = None) -> dict:
    """Return the plan of a scenario text; `path` names it in errors, `seed` replaces its own."""
    return read_plan(path, text, seed, FAULT_CALLS)


def draw_scenario(seed: int, size: str = "small", kind_weights: dict | None = None) -> str:
    """Return the text of a scenario drawn from a seed.

    `kind_weights`: kind of fault -> weight. The seed, the size and the weights decide everything.
    """
    length, rate, gateways, instances = SIZES[size]
    rng, lines = seeded_random(f"scenario/{seed}"), [f"# drawn from seed {seed}, size {size}"]
    agents, quiet_end = rng.random() < 0.3 and size != "large", 6_000_000
    last_fault_time = length * 1_000_000 - quiet_end  # the system must have recovered before the end
    zones = ["north", "south"] if rng.random() < 0.8 else ["north", "south", "east"]

    def add_call(name, /, **fields):
        lines.append(starlark_call(name, fields))

    add_call("day", length=length * 1_000_000, rate=rate * rng.uniform(0.8, 1.2), seed=seed)
    add_call(
        "fleet",
        instances=instances,
        zones=zones,
        cores=2,
        cold_time=rng.choice([2_000_000, 3_000_000]),
        cancel=rng.choice(["none", "queued", "all"]),
        agents=agents,
        boot=600_000,
    )
    add_call(
        "registry",
        notice=rng.choice([100_000, 400_000]),
        spread=rng.choice([0, 200_000]),
        add=100_000,
        silent=2_000_000,
        by=rng.choice(["push", "push", "asking"]),
        ask_within=2_000_000,
    )
    add_call("path_group", name="look", kind="repeatable", target_latency=900_000, client_timeout=2_500_000)
    add_call(
        "path_group",
        name="pay",
        kind="mutating",
        target_latency=1_000_000,
        client_timeout=3_000_000,
        benefit=2.0,
    )
    if not agents:
        add_call(
            "path_group",
            name="hold",
            kind="tagged",
            scope=rng.choice(["all", "zone", "cell"]),
            repeat_window=rng.choice([300_000, 600_000, 1_500_000]),
            target_latency=1_000_000,
            client_timeout=2_500_000,
            benefit=3.0,
        )
    work = rng.choice([60_000, 90_000])
    add_call("traffic", group="look", share=0.5, work=work)
    add_call("traffic", group="pay", share=0.25, work=work, method="POST")
    if not agents:
        add_call("traffic", group="hold", share=0.25, work=work, method="POST")
    add_call("customer", name="emajoe-hall", share=0.6)
    add_call("customer", name="vaksali-fest", share=0.4)
    add_call("clients", retries=2, keys=rng.choice([0, 0, 40]))
    gate = rng.choice(["any", "count", "clock"])
    stages = rng.choice([([0.34, 1.0], [0.4, 1.0]), ([0.2, 0.5, 1.0], [0.3, 0.8, 1.0])])
    add_call(
        "release",
        gate=gate,
        layout=rng.choice(["beside", "in place"]),
        shares=stages[0],
        caps=stages[1],
        exposure_window=rng.choice([1_000_000, 2_000_000]),
        exposure_free=2.0,
        exposure_by=rng.choice(["all", "path group"]),
        shielded_stages=rng.choice([0, 0, 1]),
        keys_stay=rng.random() < 0.3,
        on_votes=rng.choice([1, min(2, gateways)]),
        back_votes=1,
        hold_votes=1,
        vote_life=5_000_000,
        vote_wait=800_000,
        dwell=500_000,
        step=1_500_000,
        settle=200_000,
        start_within=3_000_000,
        drain_time=rng.choice([500_000, 1_200_000]),
        news_period=1_000_000,
    )
    add_call(
        "rules",
        drain_grace=250_000,
        cold_time=3_000_000,
        cold_share=0.4,
        overload_factor=2.0,
        tip_time=1_000_000,
    )
    add_call(
        "allow",
        most_forwards=rng.choice([2, 3]),
        probe=rng.random() < 0.7,
        tell=rng.random() < 0.7 or size in ("known", "lost"),
        cancel=rng.random() < 0.8,
    )
    add_call("reports", how="answers", names=["util", "inflight"] if rng.random() < 0.7 else [])
    for n in range(gateways):
        add_call("gateway", zone=zones[n % len(zones)], weight=rng.choice([0.7, 1.0, 1.3]))
    if size in ("known", "lost"):
        add_call("members", period=300_000, wait=90_000)
    if size == "lost":
        add_call(
            "recovery",
            dials=rng.choice([0.0, 30.0]),
            calls=rng.choice([0.0, 20.0]),
            settle=4_000_000,
            snapshots=rng.random() < 0.5,
            snapshot_every=500_000,
        )
    at = rng.randrange(1_000_000, 3_000_000)
    while at < last_fault_time - 3_000_000:
        flaw = rng.choice(["", "", "errors", "slow", "wrong", "load"])
        take_back_after = rng.randrange(2_000_000, 6_000_000) if rng.random() < 0.2 else None
        add_call("offer", at=at, flaw=flaw, strength=rng.uniform(0.5, 1.0), back_after=take_back_after)
        at += rng.randrange(5_000_000, 12_000_000)
    components = [f"gateway-{n}" for n in range(gateways)]
    hosts = [f"place-{n:02d}" for n in range(instances)]
    if size == "lost":
        draw_state_loss(add_call, rng, last_fault_time, agents, components, hosts)
        return "\n".join(lines) + "\n"
    busy_until = 0
    kinds = {kind: 1.0 for kind in FAULT_KINDS if agents or kind not in ("full", "sync_fails")}
    kinds = {kind: weight * (kind_weights or {}).get(kind, 1.0) for kind, weight in kinds.items()}
    while True:
        at = busy_until + rng.randrange(500_000, 3_000_000)
        if at > last_fault_time - 2_000_000:
            break
        duration = min(rng.choice([50_000, 300_000, 1_000_000, 2_500_000]), last_fault_time - at)
        if rng.random() < 0.3:
            draw_bench_fault(add_call, rng, at, duration, agents, instances)
        else:
            draw_fault(
                add_call,
                rng,
                rng.choices(list(kinds), list(kinds.values()))[0],
                at,
                duration,
                agents,
                components,
                hosts,
            )
        busy_until = at + (duration if rng.random() < 0.6 else 0)
    if size == "known":  # partitions between gateways
        for _ in range(rng.randrange(4)):
            one, other = rng.sample(components, 2)
            add_call(
                "fault",
                kind=rng.choice(["one_way", "cut"]),
                at=rng.randrange(1_000_000, last_fault_time - 3_000_000),
                length=rng.choice([300_000, 1_000_000, 3_000_000]),
                on=one,
                to=other,
            )
    return "\n".join(lines) + "\n"


def draw_state_loss(add_call, rng, last_fault_time, agents, components, hosts) -> None:
    """Draw one or two losses of the desk's state, at a random moment or close to one that matters.

    Gateways, and with agents one of those, may be killed at the same time or be cut off from the list.
    """
    at = rng.randrange(1_500_000, last_fault_time // 2)
    for _ in range(rng.choice([1, 1, 2])):
        row = {
            "kind": rng.choice(["lost", "rolled_back", "rolled_back"]),
            "at": at,
            "on": "desk",
            "length": rng.choice([100_000, 500_000, 1_500_000]),
            "size": rng.choice([0.3, 1.0, 3.0, 30.0]),
        }
        if rng.random() < 0.5:
            row.update(
                by=rng.choice(components),
                aim=rng.choice(["back", "stage", "vote"]),
                offset=rng.choice([0, 300, 5_000, 300_000]),
            )
        add_call("fault", **row)
        killed_count = rng.choice([0, 0, 1, 2, 3])
        for component in rng.sample(components, killed_count):
            add_call(
                "kill",
                gateway=int(component[8:]),
                at=at + rng.randrange(300_000),
                back_after=rng.choice([100_000, 1_000_000]),
            )
        if not killed_count and rng.random() < 0.4:
            add_call(
                "fault",
                kind="cut",
                at=at,
                length=rng.choice([1_000_000, 3_000_000]),
                on=rng.choice(components),
                to="yard",
            )
        if agents and rng.random() < 0.4:
            add_call(
                "fault",
                kind=rng.choice(["lost", "rolled_back"]),
                at=at + rng.randrange(500_000),
                on=rng.choice(hosts),
                length=300_000,
                size=1.0,
            )
        at += rng.randrange(3_000_000, 5_000_000)
        if at > last_fault_time - 3_000_000:
            break


def draw_bench_fault(add_call, rng, at, duration, agents, instances) -> None:
    """Draw one of the faults that the scenario's own components inject."""
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
    kind = rng.choice(kinds)
    size = {
        "burst": 1.5,
        "bad_requests": 0.1,
        "give_up": 0.15,
        "slow": 4.0,
        "fast_errors": 0.7,
        "discovery_stale": 0.8,
        "conn_squeeze": 20,
    }.get(kind, 1.0)
    affected = rng.sample(range(instances), rng.choice([1, 1, 3]))
    add_call(
        "trouble",
        kind=kind,
        at=at,
        length=max(duration, 300_000),
        size=size,
        on=affected,
        which=rng.randrange(2),
        how=rng.choice(["silence", "errors"]) if kind == "control_down" else "",
    )


def draw_fault(add_call, rng, kind, at, duration, agents, components, hosts) -> None:
    """Draw a fault of a kind."""
    gateway, place = rng.choice(components), rng.choice(hosts)
    far_side = f"solo-{place}" if agents else "yard"
    row = {"kind": kind, "at": at, "length": duration, "on": gateway}
    if kind == "datagrams":
        others = [one for one in components if one != gateway] or [gateway]
        row.update(to=rng.choice(others), size=rng.choice([0.3, 1]))
    elif kind in NETWORK_FAULTS:
        row.update(to=rng.choice([far_side, "desk", "yard"]))
        if kind == "slow":
            row.update(size=rng.choice([5.0, 20.0]))
        if kind in ("refuse", "silent"):
            row.update(on=row["to"], to="")
    elif kind in ("kill", "stall"):
        others = ["desk", f"agent-{place}", f"solo-{place}"] if agents else ["desk"]
        row.update(on=rng.choice([gateway, gateway, *others]))
    elif kind == "drift":
        row.update(size=1 + rng.choice([-1, 1]) * rng.uniform(0.0002, 0.002))
    elif kind == "handles":
        row.update(size=rng.choice([16, 24]))
    elif kind in DISK_FAULTS:
        row.update(on=rng.choice([place, "desk"]) if agents else rng.choice([gateway, "desk"]))
        if kind == "power_cut":
            row.update(length=max(duration, 500_000))
    if row["on"] == "desk" and kind in ("kill", "power_cut") and rng.random() < 0.6:
        row.update(
            by=gateway,
            aim=rng.choice(["back", "back", "vote", "stage"]),
            offset=rng.choice([0, 1, 300, 1000, 5000]),
        )
    elif row["on"].startswith("gateway-") and kind in AIMABLE_FAULTS and rng.random() < 0.5:
        row.update(
            aim=rng.choice([aim for aim in AIM_MOMENTS if aim and not (agents and aim == "window")]),
            offset=rng.choice([-1000, -100, -1, 0, 1, 100, 1000, -50_000]),
        )
    add_call("fault", **row)
