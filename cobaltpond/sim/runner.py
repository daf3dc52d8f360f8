"""Runs one fault scenario and checks the result against the rules."""

from dataclasses import dataclass, field

from cobaltpond.audit.check import check_rules
from cobaltpond.loop import run_component
from cobaltpond.scenario.runner import ScenarioRun
from cobaltpond.scenario.time_limits import ScenarioError
from cobaltpond.sim.faults import Faults
from cobaltpond.sim.machine import Machine
from cobaltpond.sim.scenarios import DISK_FAULTS, draw_scenario, read_fault_scenario
from cobaltpond.sim.wire_observer import WireObserver
from cobaltpond.sim.world import SimulationStuckError
from cobaltpond.wal import JournalError

SCENARIO_FOLDER = "/day"
MAX_OVERTIME_US = 150_000_000  # a scenario must end within this time beyond its length
RECOVERY_TIME_US = 4_000_000  # hits that begin so long after the last fault must be served well again
MIN_RECOVERED_SHARE = 0.8  # of those hits, the share that must be delivered in time
MEMBERSHIP_AGREEMENT_TIME_US = 5_000_000  # after the last fault, gateways must agree on membership again
AUDIT_TOLERANCE_US = 5_000  # turns and delays; a link slowed 20 times takes up to 1.2 ms


@dataclass
class ScenarioVerdict:
    """The result of a scenario. `found`: every rule breach, as text; empty where there is none.

    `digest` identifies the sequence of events. `simulated` is the simulated time in microseconds. `service`
    is the share of the benefit that was delivered in time. `checked` counts the rule checks,
    `injected_count` the faults that took place. `fault_state_counts`: (fault kind, state) -> how often the
    fault met that state. `result` is that of the scenario, empty where it did not end. `lines` are log
    lines, None where not kept.
    """

    seed: object
    found: list
    digest: str
    events: int
    simulated: int
    hits: int = 0
    forwards: int = 0
    service: float = 0.0
    checked: int = 0
    injected_count: int = 0
    fault_state_counts: dict = field(default_factory=dict)
    result: dict = field(default_factory=dict)
    lines: list | None = None


class SimulatedScenario:
    """A simulated machine that runs one scenario, described by a plan.

    `decisions` is called with a gateway's process for the decisions it runs instead of its own; `watch`
    with each event of the world.
    """

    def __init__(self, plan: dict, keep_lines=False, decisions=None, watch=None):
        self.plan, self.machine, self.fault_state_counts = plan, Machine(plan["seed"], keep_lines), {}
        world = self.world = self.machine.world
        world.watch = watch
        self.machine.decisions = decisions
        has_disk_faults = any(row["kind"] in DISK_FAULTS for row in plan["fault"])
        self.machine.expected_exceptions = (
            (ScenarioError, JournalError, OSError) if has_disk_faults else (ScenarioError,)
        )
        for n, gateway in enumerate(plan["gateways"]):
            self.machine.network.zones[f"gateway-{n}"] = gateway["zone"]
        for place in plan["places"]:
            self.machine.network.zones[f"solo-{place['name']}"] = place["zone"]
        self.kernel = self.machine.process("day", ["day"])
        self.progress_lines = []

    def create_run(self, loop):
        """Return the main task of the scenario, with its faults and observers."""
        self.day = ScenarioRun(loop, self.plan, SCENARIO_FOLDER, self.progress_lines.append)
        self.day.python = "python3"  # a fixed name keeps the recorded bytes the same on every machine
        self.faults = Faults(self.machine, self.day, self.plan, self.record_coverage)
        self.wire_observer = WireObserver(self.world, self.faults.on_wire_event)
        self.machine.network.sniff = self.wire_observer.sniff
        script = self.day.script

        def start_script(begin):
            self.begin = begin
            self.faults.start(begin)
            return script(begin)

        self.day.script = start_script
        return self.day

    def record_coverage(self, kind, component) -> None:
        """Count the states of hits, instances and the release that a fault meets in the gateways."""
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
                self.count_state(kind, f"hit {hit.state}")
            for instance in getattr(getattr(decisions, "fleet", None), "by_id", {}).values():
                warmth = "cold" if instance.warmth(process.kernel.now()) < 1 else "warm"
                self.count_state(kind, f"instance {instance.state} {warmth}")
            last_news = gateway.desk_client.last if gateway is not None else None
            if last_news:
                self.count_state(kind, f"release {last_news[2]}")

    def count_state(self, kind, state) -> None:
        """Count one meeting of a kind of fault and a state."""
        self.fault_state_counts[kind, state] = self.fault_state_counts.get((kind, state), 0) + 1

    def run(self) -> ScenarioVerdict:
        """Run the scenario to its end and return the verdict."""
        world, process, found = self.world, self.kernel.process, []
        run_component(self.kernel, self.create_run, process.log, "day")
        try:
            world.run(lambda: process.code is not None, world.begin + self.plan["length"] + MAX_OVERTIME_US)
        except SimulationStuckError as exception:
            found.append(f"liveness: {exception}")
        finally:
            # Ends the remaining processes now, so that their tasks do not unwind during another run.
            for survivor in world.alive():
                survivor.exit(-9)
        verdict = ScenarioVerdict(
            self.plan["seed"],
            found,
            world.digest.hexdigest(),
            world.events,
            world.time - world.begin,
            fault_state_counts=self.fault_state_counts,
            lines=self.machine.lines,
        )
        found += [f"trouble: {text}" for text in world.troubles]
        failure = getattr(process, "failure", None)
        if failure is not None:
            found.append(f"the day failed: {type(failure).__name__}: {failure}")
        elif process.result is not None:
            self.check_result(verdict, process.result)
        return verdict

    def check_result(self, verdict: ScenarioVerdict, result: dict) -> None:
        """Check the records of a scenario that came to its end, and add breaches to the verdict."""
        instance_records = self.wire_observer.with_observed_times(result["yard"])
        client_records = result["crowd"]
        rules = check_rules(
            client_records, instance_records, self.day.acts, self.rule_settings(), AUDIT_TOLERANCE_US
        )
        verdict.checked = sum(rules.checked.values())
        verdict.found += [f"{rule}: {text}" for rule, rows in rules.broken.items() for text in rows]
        answers = [record for record in client_records if record["kind"] == "answer"]
        requests = {record["op"]: record for record in client_records if record["kind"] == "asked"}
        good_ops = {
            a["op"]
            for a in answers
            if a["seen"] == "delivered"
            and a["status"] < 500
            and a["at"] - requests[a["op"]]["begun"] <= requests[a["op"]]["target"]
        }
        total_benefit = sum(record["benefit"] for record in requests.values()) or 1.0
        verdict.injected_count = self.faults.injected_count
        verdict.hits = len(requests)
        verdict.service = sum(requests[op]["benefit"] for op in good_ops) / total_benefit
        verdict.forwards = sum(
            record["kind"] == "arrive" and record["hit"] not in (None, "", "probe")
            for record in instance_records
        )
        calm_ops = [
            record["op"]
            for record in requests.values()
            if record["begun"] > self.last_disturbance_end(instance_records) + RECOVERY_TIME_US
        ]
        news = result["desk"]["news"]
        bad_build_released = news["phase"] == "released" and self.plan["flaws"].get(
            str(news["build"]), {}
        ).get("how")
        if len(calm_ops) >= 20 and not bad_build_released:  # a bad build released by a clock is left to votes
            share = sum(op in good_ops for op in calm_ops) / len(calm_ops)
            if share < MIN_RECOVERED_SHARE:
                verdict.found.append(
                    f"liveness: of {len(calm_ops)} hits {RECOVERY_TIME_US} us after the last fault "
                    f"{share:.2f} were delivered in time"
                )
        if result["final"] is not None and result["final"]["settled"] and not result["final"]["exact"]:
            verdict.found.append(
                f"final state: build {result['final']['meant']} is meant, running: "
                f"{result['final']['running']}"
            )
        self.check_guarantees(verdict, result, instance_records)
        for status in result["statuses"]:
            if status["hits"]["open"] > 20:
                verdict.found.append(
                    f"leak: gateway {status['gateway']} has {status['hits']['open']} hits open"
                )
            members = status.get("members")
            quiet_time = self.begin + self.plan["length"] - self.faults.last_fault_end
            if (
                members
                and quiet_time > MEMBERSHIP_AGREEMENT_TIME_US
                and (members["alive"] < len(self.plan["gateways"]) or members["alone"])
            ):
                verdict.found.append(
                    f"membership: gateway {status['gateway']} sees {members['alive']} alive, suspect "
                    f"{members['suspect']}, failed {members['failed']}, at a quiet end"
                )
        verdict.result = {**result, "yard": instance_records, "found": rules}

    def check_guarantees(self, verdict, result, instance_records) -> None:
        """Check what no client's record shows.

        A take-back must not be forgotten, hits must not be answered only by the host's overdue timer, and
        no instance may end without a drain.
        """
        faulted_components = {row["on"] for row in self.plan["fault"]} | {
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
        self.check_release_marks(verdict)
        stalled = any(row["kind"] in ("stall", "drift") for row in self.plan["fault"])
        if self.machine.error_counts.get("answer overdue") and not stalled:
            verdict.found.append(
                f"overdue: {self.machine.error_counts['answer overdue']} hits had an overdue answer"
            )
        if not self.plan["agents"]:
            return
        faulted_places = {
            place["name"]
            for place in self.plan["places"]
            if {place["name"], f"solo-{place['name']}"} & faulted_components
        }
        states = {}
        for row in (row for record in instance_records if record["kind"] == "list" for row in record["rows"]):
            mark = row["id"], row["start"]
            if (
                row["state"] == "gone"
                and states.get(mark) == "up"
                and row["id"].partition(".")[0] not in faulted_places
            ):
                verdict.found.append(f"no drain: {row['id']} was up and then gone")
            states[mark] = row["state"]

    def check_release_marks(self, verdict) -> None:
        """Check the release states that the desk sent to gateways, over all its starts.

        Each mark has one state, and a build that went back is neither on trial nor released at a later
        mark.
        """
        states, withdrawn_at = {}, {}
        for _, number, news in self.wire_observer.news:
            if "mark" in news:
                mark, state = tuple(news["mark"]), (news["build"], news["stage"], news["phase"])
                if states.setdefault(mark, state) != state:
                    verdict.found.append(
                        f"conflicting release states: {list(mark)}: {states[mark]} and {state} "
                        f"(gateway {number})"
                    )
        for mark, (build, _, phase) in sorted(states.items()):
            if phase in ("going back", "withdrawn"):
                withdrawn_at.setdefault(build, mark)
            elif build in withdrawn_at:
                verdict.found.append(
                    f"condemned build in use again: {build} went back at {list(withdrawn_at[build])}, "
                    f"is {phase} at {list(mark)}"
                )

    def last_disturbance_end(self, instance_records) -> int:
        """Return when the last fault was over and the last instance that came up was warm, in us."""
        ends = [
            self.faults.last_fault_end,
            *(self.begin + t["at"] + t["len"] for t in self.plan["troubles"]),
            *(
                record["at"] + record["cold_time"]
                for record in instance_records
                if record["kind"] == "up" and not record["warm"]
            ),
            *(at for at, _, news in self.wire_observer.news if news["age_us"] < 100_000),
        ]
        return max(ends)

    def rule_settings(self) -> dict:
        """Return the settings that the auditor checks against."""
        deployment = self.day.settings
        return {
            **deployment.policy_settings(0),
            "rules": {
                "tip_time": deployment.rules.tip_time,
                "overload_factor": deployment.rules.overload_factor,
                "answer_slack": deployment.rules.answer_slack,
            },
        }


def run_text(text: str, path: str = "scenario", seed=None, **options) -> ScenarioVerdict:
    """Run the scenario in a text; `path` names it in errors, `seed` replaces its own.

    `options` are those of `SimulatedScenario`. Raises SettingsError for a text that is no scenario.
    """
    return SimulatedScenario(read_fault_scenario(path, text, seed), **options).run()


def run_seed(seed: int, size: str = "small", kind_weights: dict | None = None, **options) -> ScenarioVerdict:
    """Draw the scenario of a seed, run it and check it. `kind_weights` as for `draw_scenario`."""
    return run_text(draw_scenario(seed, size, kind_weights), f"seed {seed}", **options)
