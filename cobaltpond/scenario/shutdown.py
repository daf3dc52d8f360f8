"""Inspects the processes at the end of a day and stops them."""

from cobaltpond.loop import Sleep
from cobaltpond.scenario.time_limits import READY, ScenarioError


class Shutdown:
    """A part of `runner.ScenarioRun`, which has the state."""

    def inspect_end(self):
        """What the desk says, and with agents: does exactly one instance of the build that is meant run in
        every place, and nothing else anywhere? Processes are looked for in the system, not in anybody's
        report."""
        self.final, end = None, self.loop.kernel.now() + READY
        while True:
            self.desk_status = yield from self.call_until_answered("GET", "/v1/status")
            if not self.plan.get("agents"):
                return
            told = yield from self.call_until_answered("GET", "/v1/history")
            meant, settled = self.desk_status["news"]["build"], self.desk_status["news"]["phase"] != "trial"
            if self.desk_status["news"]["phase"] in ("withdrawn", "going back"):
                meant = self.desk_status["stable"]
            running = sorted((place, build) for _, place, build in self.instances_running())
            self.final = {
                "meant": meant,
                "settled": settled,
                "running": running,
                "history": told["history"],
                "exact": running == sorted((p["name"], meant) for p in self.plan["places"]),
            }
            if self.final["exact"] or not settled or self.loop.kernel.now() > end:
                return
            yield Sleep(100_000)

    def instances_running(self):
        """(pid, place, build) of every instance that this day's agents have started."""
        for pid, words in self.loop.kernel.command_lines():
            if self.path("solo.json") in words:
                build, _, name = words[words.index(self.path("solo.json")) + 1 :][:3]
                yield pid, name.partition(".")[0], int(build)

    def stop_all(self):
        """Gateways first, in order; each has to end by itself with 0."""
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
        """Instances outlive their agents; the day's own are ended with it."""
        for pid, *_ in self.instances_running():
            self.loop.kernel.kill_process(pid)

    def wait_until_ended(self, names):
        end = self.loop.kernel.now() + READY
        while any(self.children[n].ended() is None for n in names):
            if self.loop.kernel.now() > end:
                raise ScenarioError(f"{[n for n in names if self.children[n].ended() is None]} did not stop")
            yield Sleep(30_000)
        bad = {n: self.children[n].ended() for n in names if self.children[n].ended()}
        if bad:
            raise ScenarioError(f"did not end with 0: {bad}")
