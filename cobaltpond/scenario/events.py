"""The scheduled events of a scenario: builds offered and sent back, injected faults, killed processes."""

from cobaltpond.loop import Sleep


class Events:
    """Mixin of `runner.ScenarioRun`, which holds the state; `begin` is the start of the scenario."""

    def script(self, begin):
        """Generates one generator for each scheduled event, to be run as a task."""
        plan = self.plan
        for offer in plan["offers"]:
            if offer["at"] < plan["length"]:
                yield self.offer_build(begin, offer)
        for fault in plan["troubles"]:
            if fault["kind"] == "balancer_stall":
                yield self.stall_gateway(begin, fault)
            elif fault["kind"] not in ("burst", "tenant_burst", "heavy_tail", "bad_requests", "give_up"):
                yield self.inject_fault(begin, fault)
        for kill in plan["kills"]:
            yield self.kill_component(begin, kill)

    def sleep_until(self, at):
        """Sleeps until `at` on the common clock, in microseconds."""
        yield Sleep(at - self.loop.kernel.now())

    def offer_build(self, begin, offer):
        """Offers a build to the desk at its time and sends it back if the offer says so."""
        yield from self.sleep_until(begin + offer["at"])
        self.on_progress(
            f"{offer['at'] / 1e6:5.1f} s  build {offer['build']} offered "
            f"({self.plan['flaws'][str(offer['build'])]['how'] or 'good'})"
        )
        yield from self.call_until_answered("POST", "/v1/builds", {"build": offer["build"]})
        if offer.get("back_after") is not None or offer.get("back_in") is not None:
            yield from self.send_back(begin, offer)

    def send_back(self, begin, offer):
        """Sends a build back as an operator does: after a time, or when a stage is on trial.

        Does nothing where the build has already gone back, by votes or because of a later offer.
        """
        build, back_after = offer["build"], offer.get("back_after")
        if back_after is not None:
            yield from self.sleep_until(begin + offer["at"] + back_after)
        while self.loop.kernel.now() < begin + self.plan["length"]:
            status = yield from self.call_until_answered("GET", "/v1/status")
            news = status["news"]
            if (
                news["build"] > build
                or news["build"] == build
                and news["phase"] in ("going back", "withdrawn")
            ):
                return
            on_trial = news["phase"] == "trial" and news["stage"] == offer.get("back_in")
            if news["build"] == build and (back_after is not None or on_trial):
                at = (self.loop.kernel.now() - begin) / 1e6
                self.on_progress(
                    f"{at:5.1f} s  build {build} sent back in stage {news['stage']}; missing: "
                    f"{status['missing'][:1] or 'nobody'}"
                )
                self.record_act("sent back", build=build, stage=news["stage"], missing=status["missing"])
                yield from self.call_until_answered("POST", "/v1/back", {"build": build, "why": "a word"})
                return
            yield Sleep(50_000)

    def inject_fault(self, begin, fault):
        """Starts and ends a fault in the process of the simulated instances."""
        for begins, at in ((True, fault["at"]), (False, fault["at"] + fault["len"])):
            yield from self.sleep_until(begin + at)
            self.on_progress(f"{at / 1e6:5.1f} s  {fault['kind']} {'begins' if begins else 'is over'}")
            yield from self.call_until_answered(
                "POST", "/v1/trouble", {**fault, "begins": begins}, "troubles"
            )

    def stall_gateway(self, begin, fault):
        """Suspends a gateway process for the length of the fault."""
        number = fault["which"] % len(self.plan["gateways"])
        yield from self.sleep_until(begin + fault["at"])
        self.on_progress(
            f"{fault['at'] / 1e6:5.1f} s  gateway {number} is suspended for {fault['len'] / 1e6:.1f} s"
        )
        self.record_act("stalled", gateway=number, len=fault["len"])
        self.gateways[number].signal("STOP")
        yield from self.sleep_until(begin + fault["at"] + fault["len"])
        self.gateways[number].signal("CONT")

    def kill_component(self, begin, kill):
        """Kills a process at its time and starts it again, except for a killed instance."""
        number = kill["gateway"]
        yield from self.sleep_until(begin + kill["at"])
        if kill.get("what", "gateway") != "gateway":
            yield from self.kill_other_component(kill)
            return
        self.on_progress(f"{kill['at'] / 1e6:5.1f} s  gateway {number} killed")
        self.record_act("killed", gateway=number)
        self.gateways[number].signal("KILL")
        yield Sleep(kill["back_after"])
        self.on_progress(f"{(kill['at'] + kill['back_after']) / 1e6:5.1f} s  gateway {number} started again")
        self.start_gateway(number)

    def kill_other_component(self, kill):
        """Kills an instance, agent or desk now; agent and desk are started again."""
        component = kill["what"]
        place = self.plan["places"][kill["gateway"] % len(self.plan["places"])]["name"]
        if component == "instance":
            for pid, instance_place, _ in self.instances_running():
                if instance_place == place:
                    self.on_progress(f"{kill['at'] / 1e6:5.1f} s  an instance of {place} killed")
                    self.loop.kernel.kill_process(pid)
                    break
            return
        name = "desk" if component == "desk" else f"agent-{place}"
        self.on_progress(f"{kill['at'] / 1e6:5.1f} s  {name} killed")
        self.record_act("killed", part=name)
        self.children[name].signal("KILL")
        yield Sleep(kill["back_after"])
        self.on_progress(f"{(kill['at'] + kill['back_after']) / 1e6:5.1f} s  {name} started again")
        arguments = (
            ["desk", self.settings_path]
            if component == "desk"
            else ["agent", self.settings_path, "--place", place]
        )
        self.spawn(name, *arguments)
