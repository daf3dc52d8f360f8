"""Many seeds, what they covered, the smallest scenario that still fails, and the time line of one hit."""

import json
import re
from functools import partial

from cobaltpond.decisions.records import HitState
from cobaltpond.loop import map_in_workers
from cobaltpond.sim.runner import ScenarioVerdict, run_seed, run_text
from cobaltpond.sim.scenarios import FAULTS

STATES = (
    *(f"hit {state}" for state in (HitState.TAKEN, HitState.HELD, HitState.FORWARDED)),
    *(f"instance {state} {warmth}" for state in ("up", "draining") for warmth in ("cold", "warm")),
    *(f"release {phase}" for phase in ("trial", "going back", "released", "withdrawn")),
)
MOST_RUNS = 150  # of one shrinking
SPARE = ("fault(", "trouble(", "kill(", "offer(", "clients(", "reports(", "allow(", "registry(", "customer(")


def without_records(verdict: ScenarioVerdict) -> ScenarioVerdict:
    """Without records and lines: what a worker sends back."""
    verdict.result, verdict.lines = {}, None
    return verdict


def one_seed(size, lean, seed) -> ScenarioVerdict:
    return without_records(run_seed(seed, size, lean))


def run_seeds(seeds, size="small", jobs=0, lean=None):
    """Verdicts in the order of the seeds."""
    return map_in_workers(jobs, partial(one_seed, size, lean), seeds)


class Coverage:
    """Which kind of fault has met which state, and how often."""

    def __init__(self, met=None):
        self.met = dict(met or {})

    def add(self, verdict: ScenarioVerdict) -> None:
        for pair, times in verdict.met.items():
            self.met[pair] = self.met.get(pair, 0) + times

    def never_met(self) -> list:
        return [(kind, state) for kind in FAULTS for state in STATES if (kind, state) not in self.met]

    def fault_weights(self) -> dict:
        """Weights for the next drawing: a kind counts for more the more states it has never met."""
        return {kind: 1 + 3 * sum(k == kind for k, _ in self.never_met()) / len(STATES) for kind in FAULTS}

    def dump(self) -> str:
        return json.dumps([[*pair, times] for pair, times in sorted(self.met.items())])

    @staticmethod
    def load(text: str) -> "Coverage":
        return Coverage({(kind, state): times for kind, state, times in json.loads(text)})


def breach_kinds(found: list) -> set:
    """The kinds of breach in a verdict: what stands before the first colon."""
    return {text.partition(":")[0] for text in found}


def smaller(lines: list):
    """Scenarios that are one step smaller, the boldest first."""
    spare = [n for n, line in enumerate(lines) if line.startswith(SPARE)]
    for size in (len(spare) // 2, len(spare) // 4, 1):
        for at in range(0, len(spare), max(1, size)):
            out = set(spare[at : at + max(1, size)])
            if out:
                yield [line for n, line in enumerate(lines) if n not in out]
    for n, line in enumerate(lines):
        if line.startswith("day("):
            said = re.search(r"length = (s\()?(\d+)\)?", line)
            length = int(said[2]) * (1_000_000 if said[1] else 1)
            for less in (length // 2, length * 3 // 4, length - 1_000_000):
                if less >= 2_000_000:
                    yield [*lines[:n], line.replace(said[0], f"length = {less}"), *lines[n + 1 :]]
    gateways = [n for n, line in enumerate(lines) if line.startswith("gateway(")]
    if len(gateways) > 1:
        yield [line for n, line in enumerate(lines) if n != gateways[-1]]


def shrink(text: str, say=lambda line: None, most: int = MOST_RUNS, **more) -> str:
    """The smallest scenario found that breaks what this one breaks: fewest faults, shortest day, fewest
    gateways. `more` as for `run_text`. Raises ValueError where it breaks nothing."""
    wrong, runs = breach_kinds(run_text(text, **more).found), 0
    if not wrong:
        raise ValueError("this scenario breaks nothing")
    lines, again = text.splitlines(), True
    while again and runs < most:
        again = False
        for fewer in smaller(lines):
            runs += 1
            if runs > most:
                break
            try:
                found = run_text("\n".join(fewer) + "\n", **more).found
            except Exception:  # a scenario that makes no sense is not a smaller one
                continue
            if wrong & breach_kinds(found):
                lines, again = fewer, True
                say(f"{runs} runs: {len(lines)} lines")
                break
    return "\n".join(lines) + "\n"


def regression_test(name: str, found: list, scenario: str) -> str:
    """A ready regression test."""
    what = sorted(breach_kinds(found))
    return (
        f"def test_{name}():\n    \"\"\"Found by simulation: {', '.join(what)}.\"\"\"\n"
        f"    assert run_text(SCENARIO).found == []\n\n\nSCENARIO = '''\n{scenario}'''\n"
    )


def explain(verdict: ScenarioVerdict, hit: str = "", instance: str = "") -> list[str]:
    """The time line of one hit (its name, or the client's op), or of one instance; seconds into the day."""
    result = verdict.result
    crowd, yard, begin = result["crowd"], result["yard"], result["begin"]
    ops = (
        {
            hit,
            *(e["op"] for e in yard if e["kind"] == "arrive" and e["hit"] == hit),
            *(e["op"] for e in crowd if e["kind"] == "answer" and e.get("hit") == hit),
        }
        if hit
        else set()
    )
    names = {
        hit,
        *(e["hit"] for e in yard if e["kind"] == "arrive" and e["op"] in ops),
        *(e["hit"] for e in crowd if e["kind"] == "answer" and e["op"] in ops),
    } - {None, ""}
    rows = []
    for who, entries in (("client", crowd), ("yard", yard)):
        for e in entries:
            if e["kind"] == "list":
                told = [r for r in e["rows"] if r["id"] == instance]
                if told:
                    rows.append(
                        (e["at"], f"gateway {e['gateway']} reads", f"list {e['revision']}: {told[0]}")
                    )
            elif (
                hit
                and (e.get("op") in ops or e.get("hit") in names)
                or instance
                and e.get("instance") == instance
            ):
                shown = {
                    k: v for k, v in e.items() if k not in ("kind", "at", "from", "about") and v is not None
                }
                rows.append((e["at"], who, f"{e['kind']} {shown}"))
    for at, process, level, event, fields in verdict.lines or []:
        if any(name and name in str(fields) for name in (*names, instance)):
            rows.append((at, process, f"{level} {event} {fields}"))
    return [
        f"{(at - begin) / 1e6:10.6f}  {who:<16} {what}" for at, who, what in sorted(rows, key=lambda r: r[0])
    ]
