"""Time to full service after most gateways were killed at once, on the virtual kernel.

    .venv/bin/python bench/comeback.py [--sizes 3,30,200] [--shares 0.7,1.0] [--seeds 1,2] [--jobs 8]

Four ways for each size and share, under one traffic and in mid-trial of a bad build with a third of the
instances cold: as before (no `recovery` in the sheet), paced only, paced and warm start, and that with
snapshots. Time to full service is `recovery/measure.py`'s; "settled" is judged where there are phases, else
when every killed gateway has served a hit. The greatest number of new connections at one instance, at the
list and at the desk in any second stands beside what the sheet says that they bear. Figures are of simulated
servers.
"""

import argparse
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cobaltpond.loop import map_in_workers  # noqa: E402
from cobaltpond.recovery.measure import (  # noqa: E402
    FULL_SERVICE_SHARE,
    in_time_share,
    max_in_window,
    time_to_full_service,
)
from cobaltpond.scenario.settings_text import starlark_call  # noqa: E402
from cobaltpond.sim.runner import SimulatedScenario  # noqa: E402
from cobaltpond.sim.scenarios import read_fault_scenario  # noqa: E402

S = 1_000_000
FAULT, LENGTH = 9 * S, 24 * S
WAYS = ("as before", "paced", "warm start", "snapshot")
DIALS, CALLS = 60.0, 100.0


def scenario(count: int, share: float, way: str, seed: int) -> str:
    lines, instances = [], max(6, min(60, count * 2))
    zones = ["north", "south"]

    def say(name, /, **fields):
        lines.append(starlark_call(name, fields))

    say("day", length=LENGTH, rate=float(min(600, 12 * instances)), seed=seed)
    say("fleet", instances=instances, zones=zones, cores=2, cold_time=3 * S, cancel="queued", boot=500_000)
    say("registry", notice=200_000, spread=100_000, add=100_000, silent=2 * S)
    say("path_group", name="look", kind="repeatable", target_latency=900_000, client_timeout=2_500_000)
    say(
        "path_group",
        name="pay",
        kind="mutating",
        target_latency=1_000_000,
        client_timeout=3_000_000,
        benefit=2.0,
    )
    say("traffic", group="look", share=0.7, work=60_000)
    say("traffic", group="pay", share=0.3, work=60_000, method="POST")
    say("customer", name="emajoe-hall", share=1.0)
    say("clients", retries=2)
    say(
        "release",
        gate="count",
        layout="in place",
        shares=[0.34, 1.0],
        caps=[0.4, 1.0],
        exposure_window=2 * S,
        on_votes=max(1, count // 2),
        back_votes=1,
        vote_life=8 * S,
        vote_wait=800_000,
        vote_rate=500.0,
        dwell=S,
        settle=200_000,
        start_within=3 * S,
        drain_time=500_000,
        news_period=S,
    )
    say("rules", drain_grace=250_000, cold_time=3 * S, cold_share=0.4, overload_factor=2.0, tip_time=S)
    say("allow", most_forwards=3, probe=True, tell=True)
    say("reports", how="answers", names=["util", "inflight"])
    for n in range(count):
        say("gateway", zone=zones[n % 2])
    say("members", period=300_000, wait=90_000)
    if way != "as before":
        say(
            "recovery",
            dials=DIALS,
            calls=CALLS,
            warm=way != "paced",
            snapshots=way == "snapshot",
            snapshot_every=S,
        )
    say("offer", at=6 * S, flaw="slow", strength=1.0)
    for n in range(round(count * share)):
        say("kill", gateway=n, at=FAULT, back_after=S // 2)
    return "\n".join(lines) + "\n"


class Watched(SimulatedScenario):
    """Looks at every gateway ten times a second; counts dials by port."""

    def __init__(self, plan):
        self.dials, self.phases, self.taken = {}, {}, {}
        super().__init__(plan, watch=self.seen)
        self.look()

    def seen(self, at, what):
        if what[0] == "dial" and what[1].startswith("gateway-"):
            self.dials.setdefault(what[2], []).append(at)

    def look(self):
        for process in self.world.alive():
            gateway = self.part_of(process)
            if gateway is None:
                continue
            mark = process.name, process.start
            if gateway.recovery is not None:
                if gateway.recovery.phase_machine.phase == "settled":
                    self.phases.setdefault(mark, self.world.time)
                else:
                    self.phases.pop(mark, None)
            elif gateway.frontend.counts.get("delivered"):
                self.phases.setdefault(mark, self.world.time)
        self.world.after(S // 10, self.look)

    @staticmethod
    def part_of(process):
        frame = process.main.generator.gi_frame if process.main is not None else None
        gateway = frame.f_locals.get("self") if frame is not None else None
        return gateway if process.name.startswith("gateway-") and hasattr(gateway, "endpoints") else None


def play(job) -> dict:
    count, share, way, seed = job
    sim = Watched(read_fault_scenario(f"{count} {share} {way} {seed}", scenario(*job), seed))
    verdict = sim.run()
    if not verdict.result:
        return {"job": job, "found": verdict.found}
    crowd, yard, begin = verdict.result["crowd"], verdict.result["yard"], sim.begin
    answers = [e for e in crowd if e["kind"] == "answer"]
    asked = {e["op"]: e for e in crowd if e["kind"] == "asked"}
    good = {
        a["op"]
        for a in answers
        if a["seen"] == "delivered"
        and a["status"] < 500
        and a["at"] - asked[a["op"]]["begun"] <= asked[a["op"]]["target"]
    }
    hits = sorted((e["begun"], op in good) for op, e in asked.items())
    fault, end = begin + FAULT, begin + LENGTH
    killed = {f"gateway-{n}" for n in range(round(count * share))}
    lives = [at for (name, start), at in sim.phases.items() if name in killed and start > 0]
    settled = max(lives) if len(lives) == len(killed) else None
    bad = [e for e in yard if e["kind"] == "end" and e["build"] > 41]
    ports = sim.day.port
    instances = range(ports["machines"], ports["machines"] + 8 * len(sim.plan["places"]))
    return {
        "job": job,
        "found": verdict.found,
        "settled": settled and settled - fault,
        "full": time_to_full_service(hits, fault, end, settled),
        "served": time_to_full_service(hits, fault, end, fault),
        "before": in_time_share(hits, fault - 5 * S, fault),
        "after": in_time_share(hits, fault, fault + 5 * S),
        "fell": sum(e["kind"] == "fell" for e in yard),
        "harmed": len(bad),
        "dials": max(
            (max_in_window([at for at in sim.dials.get(port, ()) if at >= fault]) for port in instances),
            default=0,
        ),
        "list": max_in_window([at for at in sim.dials.get(ports["list"], ()) if at >= fault]),
        "desk": max(
            max_in_window([at for at in sim.dials.get(port, ()) if at >= fault])
            for port in ports["relays"].values()
        ),
    }


def seconds(value):
    return "not reached" if value is None else f"{value / S:.1f}"


def main():
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--sizes", default="3,30,200")
    words.add_argument("--shares", default="0.7,1.0")
    words.add_argument("--seeds", default="1,2")
    words.add_argument("--jobs", type=int, default=0)
    words = words.parse_args()
    jobs = [
        (int(size), float(share), way, int(seed))
        for size in words.sizes.split(",")
        for share in words.shares.split(",")
        for way in WAYS
        for seed in words.seeds.split(",")
    ]
    print(
        f"in time: {FULL_SERVICE_SHARE} of the share before; "
        f"one instance bears {DIALS:g} dials a second, list and desk {CALLS:g}"
    )
    print(
        "| gateways | killed | way | seed | in time again s | full service s | in time before, 5 s after "
        "| fell | most dials at an instance, list, desk in 1 s | bad build's hits | found |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for row in map_in_workers(words.jobs, play, jobs, 4):
        count, share, way, seed = row["job"]
        if "full" not in row:
            print(
                f"| {count} | {share:g} | {way} | {seed} | - | - | - | - | - | - | {row['found'][:2]} |",
                flush=True,
            )
            continue
        print(
            f"| {count} | {share:g} | {way} | {seed} | {seconds(row['served'])} | {seconds(row['full'])} "
            f"| {row['before'] or 0:.3f}, {row['after'] or 0:.3f} | {row['fell']} "
            f"| {row['dials']}, {row['list']}, {row['desk']} | {row['harmed']} | {len(row['found'])} "
            f"{row['found'][:1] or ''} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
