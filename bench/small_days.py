"""Runs the benchmark on small fleets for many seeds and prints a table with one line per run.

    python bench/small_days.py LBREAL SITE --days roll+mass split+mass join+mass --seeds 1..10 --out
    found/small

The JSON and text output of each run stay in the folder; a run whose JSON exists is not repeated. There is no
score over all runs. The acceptance checks are those that a single run allows: rules, fault, the served shares
of the day, of its classes and of its tenants, restarts within 10 s, and forwards sent for clients that had
gone. The run does not report what the baseline policy with delayed knowledge serves in each third of the day;
0.3 of what it serves in the whole day stands for that. The benchmark's current rule asks for a fifth of the
third; the earlier rule that is used here is stricter. A run that takes too long is killed by its own process
id. The figures are of simulated servers.
"""

import argparse
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

HEAD = (
    "| day | seed | gate | rule or fault | served, wanted | worst class, wanted | worst third, wanted | "
    "ready in 10 s | gone, then sent | score |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)
# Seconds of real time that a run may take.
RUN_TIMEOUT_S = 25 * 60
# Restart time limit in seconds; least share of restarts within it; largest share of the hits of gone clients
# that may be sent on; count of such hits from which that is checked; least served share of a third, relative
# to what the baseline policy serves in the whole day.
READY_S, READY_SHARE, GONE_SHARE, GONE_MIN_COUNT, THIRD_SHARE = 10, 0.9, 0.25, 5, 0.3


def worst_third(windows: list) -> float:
    """Returns the smallest share of the offered worth that was served in a third of the day."""
    size = -(-len(windows) // 3)
    parts = [windows[at : at + size] for at in range(0, len(windows), size)]
    return min(
        sum(w["worth_served"] for w in part) / max(1e-9, sum(w["worth_offered"] for w in part))
        for part in parts
    )


def table_row(record: dict) -> tuple[bool, str]:
    """Returns whether a run passes the checks that one run allows, and its row of the table."""
    row, observed = record["row"], record["real"]["seen"]
    broken = [f"{name} {count}" for name, count in row["rules"].items() if count] + [row["fault"]] * bool(
        row["fault"]
    )
    restarts, (gone, sent) = observed["restart_s"], observed["gone_waiting"]
    ready = sum(took <= READY_S for took in restarts) / len(restarts) if restarts else 1.0
    missed = [name for name, served, wanted in row["by_class"] + row["by_tenant"] if served < wanted]
    missed += ["day"] * (row["served"] < row["served_least"]) + ["restarts"] * (ready < READY_SHARE)
    third_served, third_wanted = worst_third(record["windows"]), THIRD_SHARE * row["served_late"]
    missed += ["a third of the day"] * (third_served < third_wanted)
    missed += ["gone"] * (sent >= GONE_MIN_COUNT and sent > GONE_SHARE * gone) + ["starved"] * any(
        row["starved"]
    )
    name, served, wanted = min(row["by_class"], key=lambda entry: entry[1] - entry[2])
    passed = not broken and not missed
    cells = (
        row["name"],
        row["seed"],
        "passed" if passed else "failed: " + ", ".join(missed or ["rules"]),
        ", ".join(broken) or "kept",
        f"{row['served']:.3f}, {row['served_least']:.3f}",
        f"{name} {served:.3f}, {wanted:.3f}",
        f"{third_served:.3f}, {third_wanted:.3f}",
        f"{ready:.2f} of {len(restarts)}",
        f"{gone}, {sent}",
        f"{row['score']:.2f}",
    )
    return passed, f"| {' | '.join(map(str, cells))} |"


def run_day(options, day: str, seed: int) -> tuple[bool, str]:
    """Runs one day on one seed unless its result exists; returns whether it passes, and its row."""
    output = options.out / f"{day}-{seed}"
    if not output.with_suffix(".json").exists():
        with open(output.with_suffix(".txt"), "wb") as text:
            process = subprocess.Popen(
                [
                    options.lbreal,
                    options.site,
                    "--rough",
                    day,
                    "--nodes",
                    str(options.nodes),
                    "--seed",
                    str(seed),
                    "--no-build",
                    "--json",
                    output.with_suffix(".json"),
                    "--why",
                    options.why,
                ],
                stdout=text,
                stderr=text,
            )
            try:
                process.wait(RUN_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                return False, f"| {day} | {seed} | failed: not over after {RUN_TIMEOUT_S} s |" + " |" * 7
    try:
        return table_row(json.loads(output.with_suffix(".json").read_text()))
    except (OSError, ValueError, KeyError) as error:
        return False, f"| {day} | {seed} | failed: no result, {error!r} |" + " |" * 7


def main() -> int:
    """Runs every day on every seed and returns the exit code: 1 where a run failed, else 0."""
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("lbreal")
    options.add_argument("site")
    options.add_argument("--days", nargs="+", default=["roll+mass", "split+mass", "join+mass"])
    options.add_argument("--seeds", default="1..10")
    options.add_argument("--nodes", type=int, default=30)
    options.add_argument("--jobs", type=int, default=3)
    options.add_argument("--out", type=Path, default=Path("found/small"))
    options.add_argument("--why", default="A look at a smaller fleet day on many seeds")
    options = options.parse_args()
    options.out.mkdir(parents=True, exist_ok=True)
    first, _, last = options.seeds.partition("..")
    runs = [(day, seed) for day in options.days for seed in range(int(first), int(last or first) + 1)]
    failed = 0
    print(HEAD)
    with ThreadPoolExecutor(options.jobs) as workers:
        for passed, text in workers.map(lambda run: run_day(options, *run), runs):
            failed += not passed
            print(text, flush=True)
    print(f"\n{len(runs)} runs, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
