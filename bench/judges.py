"""Measures the time until a bad build is sent back while both of its judges are dead.

    python bench/judges.py --seeds 20

Judges are the gateways that evaluate a build on the samples of all. Each run is a whole simulated scenario on
the virtual kernel: 14 gateways, 12 instances, a build that is slow; both judges of it are killed 1.5 s after
its offer and stay away. Without membership judges are chosen by number, dead or alive; with it, by rendezvous
hashing among the living. Figures are of simulated servers.
"""

import argparse
import sys
from multiprocessing import get_context
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cobaltpond.decisions.stats import rendezvous_weight  # noqa: E402
from cobaltpond.sim.runner import run_text  # noqa: E402

GATEWAYS, BUILD, OFFER, LENGTH = 14, 42, 2_000_000, 24_000_000
SCENARIO = """
day(length = %(length)d, rate = 110.0, seed = %(seed)d)
fleet(instances = 12, zones = ["north", "south"], cold_time = s(2), boot = ms(600))
registry(notice = ms(200), spread = ms(100), add = ms(100), silent = s(2))
path_group(name = "look", kind = "repeatable", target_latency = ms(900), client_timeout = ms(2500))
path_group(name = "pay", kind = "mutating", target_latency = ms(1000), client_timeout = s(3), benefit = 2.0)
traffic(group = "look", share = 0.6, work = ms(60))
traffic(group = "pay", share = 0.4, work = ms(60), method = "POST")
release(gate = "any", layout = "beside", shares = [0.34, 1.0], caps = [0.4, 1.0], exposure_window = s(1), \
on_votes = 14,
        back_votes = 1, vote_life = s(20), vote_wait = ms(800), dwell = s(30), settle = ms(200), \
start_within = s(3),
        drain_time = ms(500), news_period = s(1))
rules(drain_grace = ms(250), cold_time = s(3), cold_share = 0.4, overload_factor = 2.0, tip_time = s(1))
allow(tell = True)
offer(at = %(offer)d, flaw = "slow", strength = %(strength).2f)
"""


def run_scenario(job):
    """Runs one scenario, `job` = (seed, with membership, kill the judges, strength of the flaw). Returns
    (microseconds from the offer until the build goes back, or None, broken rules, forwards to the build)."""
    seed, members, kill, strength = job
    text = SCENARIO % {"length": LENGTH, "seed": seed, "offer": OFFER, "strength": strength}
    text += "".join(f'gateway(zone = "{("north", "south")[n % 2]}")\n' for n in range(GATEWAYS))
    judges = [(BUILD + n) % GATEWAYS for n in range(2)]
    if members:
        text += "members(period = ms(300), wait = ms(90))\n"
        judges = sorted(range(GATEWAYS), key=lambda n: -rendezvous_weight(BUILD, n))[:2]
    if kill:
        text += "".join(
            f"kill(gateway = {n}, at = {OFFER + 1_500_000}, back_after = {LENGTH - 6_000_000 - OFFER})\n"
            for n in judges
        )
    verdict = run_text(text, f"judges {seed}", keep_lines=True)
    begin = verdict.result.get("begin", 0)
    back = [
        at - begin - OFFER
        for at, process, _, event, fields in verdict.lines
        if process == "desk" and event == "release" and fields.get("phase") == "going back"
    ]
    harmed = sum(e["kind"] == "arrive" and e["build"] == BUILD for e in verdict.result.get("yard", ()))
    rules = [text for text in verdict.found if not text.startswith(("liveness", "membership"))]
    return min(back, default=None), len(rules), harmed


def main():
    """Prints a table of the runs with living and dead judges, with and without membership."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--strength", type=float, default=0.6)
    options = parser.parse_args()
    print(
        "| judges | membership | days | sent back | time to back p50, most | forwards to it p50 | findings |"
    )
    with get_context("spawn").Pool() as pool:
        for kill in (False, True):
            for members in (False, True):
                found = pool.map(
                    run_scenario,
                    [(seed, members, kill, options.strength) for seed in range(options.seeds)],
                    1,
                )
                times = [at for at, _, _ in found if at is not None]
                shown = f"{median(times) / 1e6:.1f}, {max(times) / 1e6:.1f} s" if times else "-"
                print(
                    f"| {'killed' if kill else 'alive'} | {'on' if members else 'off'} | {len(found)} | "
                    f"{len(times)} | {shown} | {median(h for _, _, h in found):.0f} | "
                    f"{sum(r for _, r, _ in found)} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
