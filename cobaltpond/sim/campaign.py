"""Campaigns of many seeds: fault coverage, shrinking of failing scenarios, and timelines of single hits."""

import json
import re
from functools import partial

from cobaltpond.decisions.records import HitState
from cobaltpond.loop import map_in_workers
from cobaltpond.sim.runner import ScenarioVerdict, run_seed, run_text
from cobaltpond.sim.scenarios import FAULT_KINDS

# The states that a fault can meet: of a hit, of an instance, of the release.
STATES = (
    *(f"hit {state}" for state in (HitState.TAKEN, HitState.HELD, HitState.FORWARDED)),
    *(f"instance {state} {warmth}" for state in ("up", "draining") for warmth in ("cold", "warm")),
    *(f"release {phase}" for phase in ("trial", "going back", "released", "withdrawn")),
)
MAX_SHRINK_RUNS = 150  # simulation runs for shrinking one scenario
# Calls of a scenario text that shrinking may remove.
REMOVABLE_CALLS = (
    "fault(",
    "trouble(",
    "kill(",
    "offer(",
    "clients(",
    "reports(",
    "allow(",
    "registry(",
    "customer(",
)


def without_records(verdict: ScenarioVerdict) -> ScenarioVerdict:
    """Return the verdict without records and log lines, which a worker process need not send back."""
    verdict.result, verdict.lines = {}, None
    return verdict


def run_one_seed(size, kind_weights, seed) -> ScenarioVerdict:
    """Run the scenario of a seed in a worker."""
    return without_records(run_seed(seed, size, kind_weights))


def run_seeds(seeds, size="small", jobs=0, kind_weights=None):
    """Return the verdicts of many seeds, in their order; `jobs` processes run them (0: one per core)."""
    return map_in_workers(jobs, partial(run_one_seed, size, kind_weights), seeds)


class Coverage:
    """How often each kind of fault has met each state of hits, instances and the release."""

    def __init__(self, fault_state_counts=None):
        self.fault_state_counts = dict(fault_state_counts or {})

    def add(self, verdict: ScenarioVerdict) -> None:
        """Add the counts of a verdict."""
        for pair, times in verdict.fault_state_counts.items():
            self.fault_state_counts[pair] = self.fault_state_counts.get(pair, 0) + times

    def never_met(self) -> list:
        """Return the (fault kind, state) pairs that have never met."""
        return [
            (kind, state)
            for kind in FAULT_KINDS
            for state in STATES
            if (kind, state) not in self.fault_state_counts
        ]

    def fault_weights(self) -> dict:
        """Return a weight for each kind of fault for the next draws, higher the more states it never met."""
        return {
            kind: 1 + 3 * sum(k == kind for k, _ in self.never_met()) / len(STATES) for kind in FAULT_KINDS
        }

    def dump(self) -> str:
        """Return the counts as JSON text."""
        return json.dumps([[*pair, times] for pair, times in sorted(self.fault_state_counts.items())])

    @staticmethod
    def load(text: str) -> "Coverage":
        """Return the coverage in a text of `dump`."""
        return Coverage({(kind, state): times for kind, state, times in json.loads(text)})


def breach_kinds(found: list) -> set:
    """Return the kinds of breach in a verdict's findings: the text before the first colon."""
    return {text.partition(":")[0] for text in found}


def smaller_scenarios(lines: list):
    """Yield the scenarios that are one step smaller, the biggest steps first."""
    removable = [n for n, line in enumerate(lines) if line.startswith(REMOVABLE_CALLS)]
    for size in (len(removable) // 2, len(removable) // 4, 1):
        for at in range(0, len(removable), max(1, size)):
            removed = set(removable[at : at + max(1, size)])
            if removed:
                yield [line for n, line in enumerate(lines) if n not in removed]
    for n, line in enumerate(lines):
        if line.startswith("day("):
            length_match = re.search(r"length = (s\()?(\d+)\)?", line)
            length = int(length_match[2]) * (1_000_000 if length_match[1] else 1)
            for shorter in (length // 2, length * 3 // 4, length - 1_000_000):
                if shorter >= 2_000_000:
                    yield [*lines[:n], line.replace(length_match[0], f"length = {shorter}"), *lines[n + 1 :]]
    gateways = [n for n, line in enumerate(lines) if line.startswith("gateway(")]
    if len(gateways) > 1:
        yield [line for n, line in enumerate(lines) if n != gateways[-1]]


def shrink(text: str, on_progress=lambda line: None, max_runs: int = MAX_SHRINK_RUNS, **run_options) -> str:
    """Return the smallest scenario found that breaks a rule which this one breaks.

    Calls are removed, the length is cut and gateways are removed. `run_options` as for `run_text`.
    `on_progress` is called with a line of text after each step. Raises ValueError where the scenario breaks
    no rule.
    """
    target_kinds, runs = breach_kinds(run_text(text, **run_options).found), 0
    if not target_kinds:
        raise ValueError("this scenario breaks no rule")
    lines, improved = text.splitlines(), True
    while improved and runs < max_runs:
        improved = False
        for candidate in smaller_scenarios(lines):
            runs += 1
            if runs > max_runs:
                break
            try:
                found = run_text("\n".join(candidate) + "\n", **run_options).found
            except Exception:  # an invalid scenario is no candidate
                continue
            if target_kinds & breach_kinds(found):
                lines, improved = candidate, True
                on_progress(f"{runs} runs: {len(lines)} lines")
                break
    return "\n".join(lines) + "\n"


def regression_test(name: str, found: list, scenario: str) -> str:
    """Return the source of a regression test for a scenario."""
    kinds = sorted(breach_kinds(found))
    return (
        f"def test_{name}():\n    \"\"\"Found by simulation: {', '.join(kinds)}.\"\"\"\n"
        f"    assert run_text(SCENARIO).found == []\n\n\nSCENARIO = '''\n{scenario}'''\n"
    )


def explain(verdict: ScenarioVerdict, hit: str = "", instance: str = "") -> list[str]:
    """Return the timeline of one hit (its name, or the client's op) or of one instance, as lines.

    Times are in seconds since the begin of the scenario.
    """
    result = verdict.result
    client_records, instance_records, begin = result["crowd"], result["yard"], result["begin"]
    hit_ops = (
        {
            hit,
            *(
                record["op"]
                for record in instance_records
                if record["kind"] == "arrive" and record["hit"] == hit
            ),
            *(
                record["op"]
                for record in client_records
                if record["kind"] == "answer" and record.get("hit") == hit
            ),
        }
        if hit
        else set()
    )
    names = {
        hit,
        *(
            record["hit"]
            for record in instance_records
            if record["kind"] == "arrive" and record["op"] in hit_ops
        ),
        *(
            record["hit"]
            for record in client_records
            if record["kind"] == "answer" and record["op"] in hit_ops
        ),
    } - {None, ""}
    timeline = []
    for source, entries in (("client", client_records), ("yard", instance_records)):
        for record in entries:
            if record["kind"] == "list":
                matching_rows = [row for row in record["rows"] if row["id"] == instance]
                if matching_rows:
                    timeline.append(
                        (
                            record["at"],
                            f"gateway {record['gateway']} reads",
                            f"list {record['revision']}: {matching_rows[0]}",
                        )
                    )
            elif (
                hit
                and (record.get("op") in hit_ops or record.get("hit") in names)
                or instance
                and record.get("instance") == instance
            ):
                shown = {
                    k: v
                    for k, v in record.items()
                    if k not in ("kind", "at", "from", "about") and v is not None
                }
                timeline.append((record["at"], source, f"{record['kind']} {shown}"))
    for at, process, level, event, fields in verdict.lines or []:
        if any(name and name in str(fields) for name in (*names, instance)):
            timeline.append((at, process, f"{level} {event} {fields}"))
    return [
        f"{(at - begin) / 1e6:10.6f}  {source:<16} {description}"
        for at, source, description in sorted(timeline, key=lambda entry: entry[0])
    ]
