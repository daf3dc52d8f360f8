"""Time to full service after most gateways were killed at once, on the virtual kernel.

    .venv/bin/python bench/comeback.py [--sizes 3,30,200] [--shares 0.7,1.0] [--seeds 1,2] [--jobs 8]

Runs four variants for each size and share of killed gateways: without recovery (no `recovery` in the
settings), with rate limits only, with warm start too, and with snapshots too. All have the same traffic, in
the middle of the trial of a bad build, with a third of the instances cold. `recovery/measure.py` defines the
time to full service. A gateway counts as settled by its phase, or without recovery once it has served a hit.
The table shows the most new connections to one instance, the list and the desk in any second, next to the
rates in the settings. All servers are simulated.
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
FAULT_AT_US, LENGTH_US = 9 * S, 24 * S
VARIANTS = ("as before", "paced", "warm start", "snapshot")
DIALS_PER_S, CALLS_PER_S = 60.0, 100.0


def scenario(count: int, share: float, variant: str, seed: int) -> str:
    """The fault scenario as text, for this number of gateways, share of them killed, variant and seed."""
    lines, instances = [], max(6, min(60, count * 2))
    zones = ["north", "south"]

    def declare(name, /, **fields):
        lines.append(starlark_call(name, fields))

    declare("day", length=LENGTH_US, rate=float(min(600, 12 * instances)), seed=seed)
    declare(
        "fleet", instances=instances, zones=zones, cores=2, cold_time=3 * S, cancel="queued", boot=500_000
    )
    declare("registry", notice=200_000, spread=100_000, add=100_000, silent=2 * S)
    declare("path_group", name="look", kind="repeatable", target_latency=900_000, client_timeout=2_500_000)
    declare(
        "path_group",
        name="pay",
        kind="mutating",
        target_latency=1_000_000,
        client_timeout=3_000_000,
        benefit=2.0,
    )
    declare("traffic", group="look", share=0.7, work=60_000)
    declare("traffic", group="pay", share=0.3, work=60_000, method="POST")
    declare("customer", name="emajoe-hall", share=1.0)
    declare("clients", retries=2)
    declare(
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
    declare("rules", drain_grace=250_000, cold_time=3 * S, cold_share=0.4, overload_factor=2.0, tip_time=S)
    declare("allow", most_forwards=3, probe=True, tell=True)
    declare("reports", how="answers", names=["util", "inflight"])
    for n in range(count):
        declare("gateway", zone=zones[n % 2])
    declare("members", period=300_000, wait=90_000)
    if variant != "as before":
        declare(
            "recovery",
            dials=DIALS_PER_S,
            calls=CALLS_PER_S,
            warm=variant != "paced",
            snapshots=variant == "snapshot",
            snapshot_every=S,
        )
    declare("offer", at=6 * S, flaw="slow", strength=1.0)
    for n in range(round(count * share)):
        declare("kill", gateway=n, at=FAULT_AT_US, back_after=S // 2)
    return "\n".join(lines) + "\n"


class ObservedScenario(SimulatedScenario):
    """Checks the phase of every gateway ten times a second, and records dials by port."""

    def __init__(self, plan):
        self.dials, self.settled_at, self.taken = {}, {}, {}
        super().__init__(plan, watch=self.on_world_event)
        self.sample_phases()

    def on_world_event(self, at, what):
        """Records dials of gateways."""
        if what[0] == "dial" and what[1].startswith("gateway-"):
            self.dials.setdefault(what[2], []).append(at)

    def sample_phases(self):
        """Records when each start of a gateway settled; schedules itself again."""
        for process in self.world.alive():
            gateway = self.gateway_of(process)
            if gateway is None:
                continue
            mark = process.name, process.start
            if gateway.recovery is not None:
                if gateway.recovery.phase_machine.phase == "settled":
                    self.settled_at.setdefault(mark, self.world.time)
                else:
                    self.settled_at.pop(mark, None)
            elif gateway.frontend.counts.get("delivered"):
                self.settled_at.setdefault(mark, self.world.time)
        self.world.after(S // 10, self.sample_phases)

    @staticmethod
    def gateway_of(process):
        """The running gateway object of a process, or None."""
        frame = process.main.generator.gi_frame if process.main is not None else None
        gateway = frame.f_locals.get("self") if frame is not None else None
        return gateway if process.name.startswith("gateway-") and hasattr(gateway, "endpoints") else None


def run_scenario(job) -> dict:
    """One row of the table; only `job` and `found` if the run was not completed."""
    count, share, variant, seed = job
    sim = ObservedScenario(read_fault_scenario(f"{count} {share} {variant} {seed}", scenario(*job), seed))
    verdict = sim.run()
    if not verdict.result:
        return {"job": job, "found": verdict.found}
    client_events, instance_events, begin = verdict.result["crowd"], verdict.result["yard"], sim.begin
    answer_events = [e for e in client_events if e["kind"] == "answer"]
    request_events = {e["op"]: e for e in client_events if e["kind"] == "asked"}
    in_time_ops = {
        a["op"]
        for a in answer_events
        if a["seen"] == "delivered"
        and a["status"] < 500
        and a["at"] - request_events[a["op"]]["begun"] <= request_events[a["op"]]["target"]
    }
    hits = sorted((e["begun"], op in in_time_ops) for op, e in request_events.items())
    fault, end = begin + FAULT_AT_US, begin + LENGTH_US
    killed = {f"gateway-{n}" for n in range(round(count * share))}
    settled_times = [at for (name, start), at in sim.settled_at.items() if name in killed and start > 0]
    settled = max(settled_times) if len(settled_times) == len(killed) else None
    bad_build_ends = [e for e in instance_events if e["kind"] == "end" and e["build"] > 41]
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
        "fell": sum(e["kind"] == "fell" for e in instance_events),
        "harmed": len(bad_build_ends),
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
    """Microseconds as text in seconds."""
    return "not reached" if value is None else f"{value / S:.1f}"


def main():
    args = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    args.add_argument("--sizes", default="3,30,200")
    args.add_argument("--shares", default="0.7,1.0")
    args.add_argument("--seeds", default="1,2")
    args.add_argument("--jobs", type=int, default=0)
    args = args.parse_args()
    jobs = [
        (int(size), float(share), variant, int(seed))
        for size in args.sizes.split(",")
        for share in args.shares.split(",")
        for variant in VARIANTS
        for seed in args.seeds.split(",")
    ]
    print(
        f"in time: {FULL_SERVICE_SHARE} of the share before; "
        f"one instance bears {DIALS_PER_S:g} dials a second, list and desk {CALLS_PER_S:g}"
    )
    print(
        "| gateways | killed | way | seed | in time again s | full service s | in time before, 5 s after "
        "| fell | most dials at an instance, list, desk in 1 s | bad build's hits | found |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for row in map_in_workers(args.jobs, run_scenario, jobs, 4):
        count, share, variant, seed = row["job"]
        if "full" not in row:
            print(
                f"| {count} | {share:g} | {variant} | {seed} | - | - | - | - | - | - | {row['found'][:2]} |",
                flush=True,
            )
            continue
        print(
            f"| {count} | {share:g} | {variant} | {seed} | {seconds(row['served'])} | {seconds(row['full'])} "
            f"| {row['before'] or 0:.3f}, {row['after'] or 0:.3f} | {row['fell']} "
            f"| {row['dials']}, {row['list']}, {row['desk']} | {row['harmed']} | {len(row['found'])} "
            f"{row['found'][:1] or ''} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
