"""One scenario from its first event to its verdict."""

from dataclasses import dataclass, field

from cobaltpond.audit.check import check_rules
from cobaltpond.loop import run_component
from cobaltpond.scenario.runner import ScenarioRun
from cobaltpond.scenario.time_limits import ScenarioError
from cobaltpond.sim.faults import Faults
from cobaltpond.sim.machine import Machine
from cobaltpond.sim.scenarios import DISK, draw_scenario, read_fault_scenario
from cobaltpond.sim.wire_observer import WireObserver
from cobaltpond.sim.world import SimulationStuckError
from cobaltpond.wal import JournalError

FOLDER = "/day"
OVER = 150_000_000  # beyond its length a day must end within this
BACK_AFTER = 4_000_000  # faults over for so long, hits must be answered well again
BACK_SHARE = 0.8
AGREED_AFTER = 5_000_000  # and gateways that know each other must agree again
EPS = 5_000  # turns and delays; a link slowed 20 times takes up to 1.2 ms


@dataclass
class ScenarioVerdict:
    """What became of a scenario. `found`: every breach, as text; empty: none. `service` by benefit."""

    seed: object
    found: list
    digest: str
    events: int
    simulated: int  # microseconds
    hits: int = 0
    forwards: int = 0
    service: float = 0.0
    checked: int = 0
    struck: int = 0  # faults that came to strike
    met: dict = field(default_factory=dict)
    result: dict = field(default_factory=dict)  # of the day, where it came to its end
    lines: list | None = None


class SimulatedScenario:
    """A machine with one scenario on it."""

    def __init__(self, plan: dict, keep_lines=False, decisions=None, watch=None):
        self.plan, self.machine, self.met = plan, Machine(plan["seed"], keep_lines), {}
        world = self.world = self.machine.world
        world.watch = watch
        self.machine.decisions = decisions
        disks = any(row["kind"] in DISK for row in plan["fault"])
        self.machine.expected = (ScenarioError, JournalError, OSError) if disks else (ScenarioError,)
        for n, gateway in enumerate(plan["gateways"]):
            self.machine.network.zones[f"gateway-{n}"] = gateway["zone"]
        for place in plan["places"]:
            self.machine.network.zones[f"solo-{place['name']}"] = place["zone"]
        self.kernel = self.machine.process("day", ["day"])
        self.said = []

    def make(self, loop):
        self.day = ScenarioRun(loop, self.plan, FOLDER, self.said.append)
        self.day.python = "python3"  # the same bytes wherever this is played
        self.faults = Faults(self.machine, self.day, self.plan, self.record_coverage)
        self.wire_observer = WireObserver(self.world, self.faults.on_wire_event)
        self.machine.network.sniff = self.wire_observer.sniff
        script = self.day.script

        def begun(begin):
            self.begin = begin
            self.faults.start(begin)
            return script(begin)

        self.day.script = begun
        return self.day

    def record_coverage(self, kind, part) -> None:
        """Which states a fault has met: hits of the gateways, the release, the parts."""
        for process in self.world.alive():
            if process.main is None or not process.name.startswith("gateway-"):
                continue
            gateway = (
                process.main.generator.gi_frame.f_locals.get("self")
                if process.main.generator.gi_frame
                else None
            )
            decisions = getattr(getattr(gateway, "host", None), "decisions", None)
            for hit in getattr(decisions, "hits", {}).values():
                self.count(kind, f"hit {hit.state}")
            for instance in getattr(getattr(decisions, "fleet", None), "by_id", {}).values():
                cold = "cold" if instance.warmth(process.kernel.now()) < 1 else "warm"
                self.count(kind, f"instance {instance.state} {cold}")
            heard = gateway.desk_client.last if gateway is not None else None
            if heard:
                self.count(kind, f"release {heard[2]}")

    def count(self, kind, state) -> None:
        self.met[kind, state] = self.met.get((kind, state), 0) + 1

    def run(self) -> ScenarioVerdict:
        world, process, found = self.world, self.kernel.process, []
        run_component(self.kernel, self.make, process.log, "day")
        try:
            world.run(lambda: process.code is not None, world.begin + self.plan["length"] + OVER)
        except SimulationStuckError as trouble:
            found.append(f"liveness: {trouble}")
        finally:
            # what is left of them goes now, not in the midst of another run
            for left in world.alive():
                left.exit(-9)
        verdict = ScenarioVerdict(
            self.plan["seed"],
            found,
            world.digest.hexdigest(),
            world.events,
            world.time - world.begin,
            met=self.met,
            lines=self.machine.lines,
        )
        found += [f"trouble: {text}" for text in world.troubles]
        failure = getattr(process, "failure", None)
        if failure is not None:
            found.append(f"the day failed: {type(failure).__name__}: {failure}")
        elif process.result is not None:
            self.judge(verdict, process.result)
        return verdict

    def judge(self, verdict: ScenarioVerdict, result: dict) -> None:
        yard, crowd = self.wire_observer.corrected(result["yard"]), result["crowd"]
        rules = check_rules(crowd, yard, self.day.acts, self.rule_settings(), EPS)
        verdict.checked = sum(rules.checked.values())
        verdict.found += [f"{rule}: {text}" for rule, rows in rules.broken.items() for text in rows]
        answers = [e for e in crowd if e["kind"] == "answer"]
        asked = {e["op"]: e for e in crowd if e["kind"] == "asked"}
        good = {
            a["op"]
            for a in answers
            if a["seen"] == "delivered"
            and a["status"] < 500
            and a["at"] - asked[a["op"]]["begun"] <= asked[a["op"]]["target"]
        }
        whole = sum(e["benefit"] for e in asked.values()) or 1.0
        verdict.struck = self.faults.struck
        verdict.hits, verdict.service = len(asked), sum(asked[op]["benefit"] for op in good) / whole
        verdict.forwards = sum(e["kind"] == "arrive" and e["hit"] not in (None, "", "probe") for e in yard)
        late = [e["op"] for e in asked.values() if e["begun"] > self.calm_from(yard) + BACK_AFTER]
        news = result["desk"]["news"]
        bad_out = news["phase"] == "released" and self.plan["flaws"].get(str(news["build"]), {}).get("how")
        if len(late) >= 20 and not bad_out:  # a bad build that a clock has let out is the judging's matter
            share = sum(op in good for op in late) / len(late)
            if share < BACK_SHARE:
                verdict.found.append(
                    f"liveness: of {len(late)} hits {BACK_AFTER} us after the last fault "
                    f"{share:.2f} were delivered in time"
                )
        if result["final"] is not None and result["final"]["settled"] and not result["final"]["exact"]:
            verdict.found.append(
                f"final state: build {result['final']['meant']} is meant, running: "
                f"{result['final']['running']}"
            )
        self.kept_promises(verdict, result, yard)
        for status in result["statuses"]:
            if status["hits"]["open"] > 20:
                verdict.found.append(
                    f"leak: gateway {status['gateway']} has {status['hits']['open']} hits open"
                )
            members, quiet = status.get("members"), self.begin + self.plan["length"] - self.faults.over_at
            if (
                members
                and quiet > AGREED_AFTER
                and (members["alive"] < len(self.plan["gateways"]) or members["alone"])
            ):
                verdict.found.append(
                    f"membership: gateway {status['gateway']} sees {members['alive']} alive, suspect "
                    f"{members['suspect']}, failed {members['failed']}, at a quiet end"
                )
        verdict.result = {**result, "yard": yard, "found": rules}

    def kept_promises(self, verdict, result, yard) -> None:
        """What no client's record shows: a take-back that was forgotten, answers that only the host's guard
        gave, an instance that was ended without a drain."""
        struck = {row["on"] for row in self.plan["fault"]} | {
            self.plan["places"][kill["gateway"] % len(self.plan["places"])]["name"]
            for kill in self.plan["kills"]
            if kill.get("what") == "instance"
        }
        news = result["desk"]["news"]
        for act in self.day.acts:
            if (
                act["kind"] == "sent back"
                and act["build"] == news["build"]
                and news["phase"] in ("trial", "released")
            ):
                verdict.found.append(f"take-back forgotten: build {news['build']} is {news['phase']}")
        self.one_word(verdict)
        stalled = any(row["kind"] in ("stall", "drift") for row in self.plan["fault"])
        if self.machine.counts.get("answer overdue") and not stalled:
            verdict.found.append(
                f"overdue: {self.machine.counts['answer overdue']} hits were answered by the guard"
            )
        if not self.plan["agents"]:
            return
        rough = {
            place["name"]
            for place in self.plan["places"]
            if {place["name"], f"solo-{place['name']}"} & struck
        }
        states = {}
        for row in (row for e in yard if e["kind"] == "list" for row in e["rows"]):
            mark = row["id"], row["start"]
            if (
                row["state"] == "gone"
                and states.get(mark) == "up"
                and row["id"].partition(".")[0] not in rough
            ):
                verdict.found.append(f"no drain: {row['id']} was up and then gone")
            states[mark] = row["state"]

    def one_word(self, verdict) -> None:
        """What the desk said to gateways, over all its starts: one state at each mark, and no build that went
        back is on trial or released at a later one."""
        states, gone = {}, {}
        for _, number, news in self.wire_observer.news:
            if "mark" in news:
                mark, state = tuple(news["mark"]), (news["build"], news["stage"], news["phase"])
                if states.setdefault(mark, state) != state:
                    verdict.found.append(
                        f"one mark, two states: {list(mark)}: {states[mark]} and {state} "
                        f"(gateway {number})"
                    )
        for mark, (build, _, phase) in sorted(states.items()):
            if phase in ("going back", "withdrawn"):
                gone.setdefault(build, mark)
            elif build in gone:
                verdict.found.append(
                    f"condemned build anew: {build} went back at {list(gone[build])}, is {phase} at "
                    f"{list(mark)}"
                )

    def calm_from(self, yard) -> int:
        """When the last fault and trouble were over, and the last instance that had come up was warm."""
        ends = [
            self.faults.over_at,
            *(self.begin + t["at"] + t["len"] for t in self.plan["troubles"]),
            *(e["at"] + e["cold_time"] for e in yard if e["kind"] == "up" and not e["warm"]),
            *(at for at, _, news in self.wire_observer.news if news["age_us"] < 100_000),
        ]
        return max(ends)

    def rule_settings(self) -> dict:
        sheet = self.day.settings
        return {
            **sheet.policy_settings(0),
            "rules": {
                "tip_time": sheet.rules.tip_time,
                "overload_factor": sheet.rules.overload_factor,
                "answer_slack": sheet.rules.answer_slack,
            },
        }


def run_text(text: str, path: str = "scenario", seed=None, **more) -> ScenarioVerdict:
    return SimulatedScenario(read_fault_scenario(path, text, seed), **more).run()


def run_seed(seed: int, size: str = "small", lean: dict | None = None, **more) -> ScenarioVerdict:
    """Draws, plays and judges a scenario."""
    return run_text(draw_scenario(seed, size, lean), f"seed {seed}", **more)
