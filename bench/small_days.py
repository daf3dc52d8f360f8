"""Plays smaller fleet days on many seeds with the users' bench: a table, one line a play, no score.

    python bench/small_days.py LBREAL SITE --days roll+mass split+mass join+mass --seeds 1..10 --out
    found/small

Each play's JSON and text stay in the folder; one that is there already is not played again. Of the gate it
holds what a single play tells: rules, fault, the shares of the day, its classes and tenants, restarts within
10 s, what was sent on for clients that had gone. What the late-seeing policy serves in each third is not
told; three tenths of what it serves in the whole day stand for it (the page asks a fifth of the third since
it was renewed; what it asked before is the stricter). A play is ended by its own process id if it takes too
long. Figures are of simulated servers.
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
LONGEST = 25 * 60  # seconds of real time that a day may take
READY, READY_SHARE, GONE_SHARE, GONE_LEAST, THIRD = 10, 0.9, 0.25, 5, 0.3


def thirds(windows: list) -> float:
    """The least share of worth that was served in a third of the day."""
    size = -(-len(windows) // 3)
    parts = [windows[at : at + size] for at in range(0, len(windows), size)]
    return min(
        sum(w["worth_served"] for w in part) / max(1e-9, sum(w["worth_offered"] for w in part))
        for part in parts
    )


def line(record: dict) -> tuple[bool, str]:
    """Does it pass, as far as one play tells; its line of the table."""
    row, seen = record["row"], record["real"]["seen"]
    broken = [f"{name} {count}" for name, count in row["rules"].items() if count] + [row["fault"]] * bool(
        row["fault"]
    )
    restarts, (gone, sent) = seen["restart_s"], seen["gone_waiting"]
    ready = sum(took <= READY for took in restarts) / len(restarts) if restarts else 1.0
    under = [name for name, got, wanted in row["by_class"] + row["by_tenant"] if got < wanted]
    under += ["day"] * (row["served"] < row["served_least"]) + ["restarts"] * (ready < READY_SHARE)
    third, third_wanted = thirds(record["windows"]), THIRD * row["served_late"]
    under += ["a third of the day"] * (third < third_wanted)
    under += ["gone"] * (sent >= GONE_LEAST and sent > GONE_SHARE * gone) + ["starved"] * any(row["starved"])
    name, got, wanted = min(row["by_class"], key=lambda one: one[1] - one[2])
    passed = not broken and not under
    cells = (
        row["name"],
        row["seed"],
        "passed" if passed else "failed: " + ", ".join(under or ["rules"]),
        ", ".join(broken) or "kept",
        f"{row['served']:.3f}, {row['served_least']:.3f}",
        f"{name} {got:.3f}, {wanted:.3f}",
        f"{third:.3f}, {third_wanted:.3f}",
        f"{ready:.2f} of {len(restarts)}",
        f"{gone}, {sent}",
        f"{row['score']:.2f}",
    )
    return passed, f"| {' | '.join(map(str, cells))} |"


def play(options, day: str, seed: int) -> tuple[bool, str]:
    kept = options.out / f"{day}-{seed}"
    if not kept.with_suffix(".json").exists():
        with open(kept.with_suffix(".txt"), "wb") as text:
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
                    kept.with_suffix(".json"),
                    "--why",
                    options.why,
                ],
                stdout=text,
                stderr=text,
            )
            try:
                process.wait(LONGEST)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                return False, f"| {day} | {seed} | failed: not over after {LONGEST} s |" + " |" * 7
    try:
        return line(json.loads(kept.with_suffix(".json").read_text()))
    except (OSError, ValueError, KeyError) as trouble:
        return False, f"| {day} | {seed} | failed: no result, {trouble!r} |" + " |" * 7


def main() -> int:
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
    plays = [(day, seed) for day in options.days for seed in range(int(first), int(last or first) + 1)]
    failed = 0
    print(HEAD)
    with ThreadPoolExecutor(options.jobs) as workers:
        for passed, text in workers.map(lambda one: play(options, *one), plays):
            failed += not passed
            print(text, flush=True)
    print(f"\n{len(plays)} plays, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
