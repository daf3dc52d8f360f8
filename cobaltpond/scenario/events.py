"""The scheduled events of a day: builds offered and sent back, injected faults, killed processes."""

from cobaltpond.loop import Sleep


class Events:
    """A part of `runner.ScenarioRun`, which has the state."""

    def script(self, begin):
        plan = self.plan
        for offer in plan["offers"]:
            if offer["at"] < plan["length"]:
                yield self.offer_build(begin, offer)
        for trouble in plan["troubles"]:
            if trouble["kind"] == "balancer_stall":
                yield self.stall_gateway(begin, trouble)
            elif trouble["kind"] not in ("burst", "tenant_burst", "heavy_tail", "bad_requests", "give_up"):
                yield self.inject_fault(begin, trouble)
        for kill in plan["kills"]:
            yield self.kill_component(begin, kill)

    def sleep_until(self, at):
        yield Sleep(at - self.loop.kernel.now())

    def offer_build(self, begin, offer):
        yield from self.sleep_until(begin + offer["at"])
        self.on_progress(
            f"{offer['at'] / 1e6:5.1f} s  build {offer['build']} offered "
            f"({self.plan['flaws'][str(offer['build'])]['how'] or 'good'})"
        )
        yield from self.call_until_answered("POST", "/v1/builds", {"build": offer["build"]})
        if offer.get("back_after") is not None or offer.get("back_in") is not None:
            yield from self.send_back(begin, offer)

    def send_back(self, begin, offer):
        """As an operator does: after a time, or when a stage is seen on trial. A build that is back by then,
        by votes or by a later offer, is left alone."""
        build, due = offer["build"], offer.get("back_after")
        if due is not None:
            yield from self.sleep_until(begin + offer["at"] + due)
        while self.loop.kernel.now() < begin + self.plan["length"]:
            status = yield from self.call_until_answered("GET", "/v1/status")
            news = status["news"]
            if (
                news["build"] > build
                or news["build"] == build
                and news["phase"] in ("going back", "withdrawn")
            ):
                return
            trial = news["phase"] == "trial" and news["stage"] == offer.get("back_in")
            if news["build"] == build and (due is not None or trial):
                at = (self.loop.kernel.now() - begin) / 1e6
                self.on_progress(
                    f"{at:5.1f} s  build {build} sent back in stage {news['stage']}; missing: "
                    f"{status['missing'][:1] or 'nobody'}"
                )
                self.record_act("sent back", build=build, stage=news["stage"], missing=status["missing"])
                yield from self.call_until_answered("POST", "/v1/back", {"build": build, "why": "a word"})
                return
            yield Sleep(50_000)

    def inject_fault(self, begin, trouble):
        for begins, at in ((True, trouble["at"]), (False, trouble["at"] + trouble["len"])):
            yield from self.sleep_until(begin + at)
            self.on_progress(f"{at / 1e6:5.1f} s  {trouble['kind']} {'begins' if begins else 'is over'}")
            yield from self.call_until_answered(
                "POST", "/v1/trouble", {**trouble, "begins": begins}, "troubles"
            )

    def stall_gateway(self, begin, trouble):
        """A gateway that stands still."""
        number = trouble["which"] % len(self.plan["gateways"])
        yield from self.sleep_until(begin + trouble["at"])
        self.on_progress(
            f"{trouble['at'] / 1e6:5.1f} s  gateway {number} stands still for {trouble['len'] / 1e6:.1f} s"
        )
        self.record_act("stalled", gateway=number, len=trouble["len"])
        self.gateways[number].signal("STOP")
        yield from self.sleep_until(begin + trouble["at"] + trouble["len"])
        self.gateways[number].signal("CONT")

    def kill_component(self, begin, kill):
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
        what, place = kill["what"], self.plan["places"][kill["gateway"] % len(self.plan["places"])]["name"]
        if what == "instance":
            for pid, where, _ in self.instances_running():
                if where == place:
                    self.on_progress(f"{kill['at'] / 1e6:5.1f} s  an instance of {place} killed")
                    self.loop.kernel.kill_process(pid)
                    break
            return
        name = "desk" if what == "desk" else f"agent-{place}"
        self.on_progress(f"{kill['at'] / 1e6:5.1f} s  {name} killed")
        self.record_act("killed", part=name)
        self.children[name].signal("KILL")
        yield Sleep(kill["back_after"])
        self.on_progress(f"{(kill['at'] + kill['back_after']) / 1e6:5.1f} s  {name} started again")
        words = (
            ["desk", self.settings_path]
            if what == "desk"
            else ["agent", self.settings_path, "--place", place]
        )
        self.spawn(name, *words)
