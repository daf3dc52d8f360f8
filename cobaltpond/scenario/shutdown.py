"""Inspects the processes at the end of a scenario and stops them."""

from cobaltpond.loop import Sleep
from cobaltpond.scenario.time_limits import READY_TIME_US, ScenarioError


class Shutdown:
    """Mixin of `runner.ScenarioRun`, which holds the state."""

    def inspect_end(self):
        """Reads the desk's status and, with agents, compares the running instances with it.

        Exactly one instance of the expected build has to run in every place, and nothing else anywhere.
        Processes are looked up in the system, not in a component's report.
        """
        self.final, give_up_at = None, self.loop.kernel.now() + READY_TIME_US
        while True:
            self.desk_status = yield from self.call_until_answered("GET", "/v1/status")
            if not self.plan.get("agents"):
                return
            answer = yield from self.call_until_answered("GET", "/v1/history")
            expected_build = self.desk_status["news"]["build"]
            is_settled = self.desk_status["news"]["phase"] != "trial"
            if self.desk_status["news"]["phase"] in ("withdrawn", "going back"):
                expected_build = self.desk_status["stable"]
            running = sorted((place, build) for _, place, build in self.instances_running())
            self.final = {
                "meant": expected_build,
                "settled": is_settled,
                "running": running,
                "history": answer["history"],
                "exact": running == sorted((p["name"], expected_build) for p in self.plan["places"]),
            }
            if self.final["exact"] or not is_settled or self.loop.kernel.now() > give_up_at:
                return
            yield Sleep(100_000)

    def instances_running(self):
        """(pid, place, build) of every instance that the agents of this scenario have started."""
        for pid, arguments in self.loop.kernel.command_lines():
            if self.path("solo.json") in arguments:
                build, _, name = arguments[arguments.index(self.path("solo.json")) + 1 :][:3]
                yield pid, name.partition(".")[0], int(build)

    def stop_all(self):
        """Stops gateways first, then the rest; raises ScenarioError if one does not exit with status 0."""
        for number, child in self.gateways.items():
            self.record_act("stopping", gateway=number)
            child.signal("TERM")
        names = [f"gateway-{n}" for n in self.gateways]
        yield from self.wait_until_ended(names)
        for name in ("desk", "yard"):
            self.children[name].signal("TERM")
        yield from self.wait_until_ended(["desk", "yard"])
        agents = [name for name in self.children if name.startswith("agent-")]
        for name in agents:
            self.children[name].signal("TERM")
        yield from self.wait_until_ended(agents)
        self.end_instances()

    def end_instances(self):
        """Kills the instances of this scenario, which outlive their agents."""
        for pid, *_ in self.instances_running():
            self.loop.kernel.kill_process(pid)

    def wait_until_ended(self, names):
        """Waits for processes to exit with status 0; raises ScenarioError otherwise."""
        give_up_at = self.loop.kernel.now() + READY_TIME_US
        while any(self.children[n].ended() is None for n in names):
            if self.loop.kernel.now() > give_up_at:
                raise ScenarioError(f"{[n for n in names if self.children[n].ended() is None]} did not stop")
            yield Sleep(30_000)
        failures = {n: self.children[n].ended() for n in names if self.children[n].ended()}
        if failures:
            raise ScenarioError(f"did not end with 0: {failures}")
