"""Plays a plan: starts yard, desk, gateways and clients as processes of their own, and does to them what the
day says; then has the records checked."""

import json
import os
import sys

from cobaltpond.audit.check import check_all
from cobaltpond.calls import FAILED, call
from cobaltpond.day.script import sheet_text
from cobaltpond.loop import Deadline, Sleep, TimedOut, Unreachable, free_run
from cobaltpond.sheet import read_sheet

READY, CALL_TIME = 15_000_000, 2_000_000


class DayFailed(Exception):
    """The day could not be played to its end; the text says why."""


class DayRun:
    def __init__(self, loop, plan, folder, say, extra=None):
        """`extra`: gateway number -> more words for its command line (gateways broken on purpose, in
        tests)."""
        self.loop, self.plan, self.folder, self.say, self.extra = loop, plan, folder, say, extra or {}
        self.python = sys.executable  # what builds of agents are started with
        self.over = False  # from now on parts are ended, and are not to come back
        self.acts, self.children, self.gateways, self.statuses = [], {}, {}, []
        loop.kernel.make_folder(folder)
        if loop.kernel.size(self.path("plan.json")) is not None:
            raise DayFailed(f"{folder} holds another day's records")

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, value):
        data = value if isinstance(value, str) else json.dumps(value)
        self.loop.kernel.replace_file(self.path(name), data.encode(), sync=False)
        return self.path(name)

    def spawn(self, name, *words):
        argv = [sys.executable, "-m", "cobaltpond", *words]
        child = self.children[name] = self.loop.kernel.spawn(argv, self.path(f"{name}.log"))
        return child

    def ports(self):
        """A run of free ports, held while the day lasts."""
        need = (
            8 * len(self.plan["places"]) + 2 * len(self.plan["gateways"]) + len(self.plan["zone_names"]) + 9
        )
        try:
            self.lock, base = free_run(self.loop.kernel, need)
        except Unreachable as trouble:
            raise DayFailed(str(trouble)) from None
        names = iter(range(base + 8 * len(self.plan["places"]), base + need))
        ports = {
            "machines": base,
            "list": next(names),
            "platform": next(names),
            "troubles": next(names),
            "desk": next(names),
            "builds": next(names),
            "relays": {zone: next(names) for zone in self.plan["zone_names"]},
        }
        ports["doors"] = next(names)
        ports["peers"] = ports["doors"] + len(self.plan["gateways"])
        return ports

    def act(self, kind, **more):
        self.acts.append({"kind": kind, "at": self.loop.kernel.now(), **more})

    def get(self, port, method, target, body=None):
        with Deadline(self.loop, CALL_TIME):
            status, text = yield from call(
                self.loop,
                ("127.0.0.1", port),
                method,
                target,
                json.dumps(body).encode() if body is not None else b"",
                CALL_TIME,
            )
        return status, json.loads(text) if text[:1] in (b"{", b"[") else {}

    def insist(self, method, target, body=None, at="desk"):
        """As an operator does with a part that may be down: asks again until there is an answer, within a
        bound."""
        end = self.loop.now() + READY
        while True:
            try:
                status, told = yield from self.get(self.port[at], method, target, body)
                return told
            except (*FAILED, TimedOut):
                if self.loop.now() > end:
                    raise
            yield Sleep(100_000)

    def until(self, what, ask, good):
        """Asks again and again until the answer is good, within a bound."""
        end = self.loop.now() + READY
        while self.loop.now() < end:
            try:
                status, body = yield from ask()
                if status == 200 and good(body):
                    return body
            except (*FAILED, TimedOut, ValueError):
                pass
            for name, child in self.children.items():
                if child.ended() not in (None, 0, -9):
                    raise DayFailed(f"{name} has ended with {child.ended()}: see {self.path(name + '.log')}")
            yield Sleep(30_000)
        raise DayFailed(f"{what} did not come up: see {self.folder}")

    def start_gateway(self, number):
        self.act("started", gateway=number)
        zone = self.plan["gateways"][number]["zone"]
        self.gateways[number] = self.spawn(
            f"gateway-{number}",
            "gateway",
            self.path(f"sheet-{zone}.star"),
            "--number",
            str(number),
            *self.extra.get(number, ()),
        )

    def gateway_ready(self, number):
        def ask():
            return (yield from self.get(self.port["doors"] + number, "GET", "/-/status"))

        yield from self.until(f"gateway {number}", ask, lambda b: b["desk"]["news"] and b["list"]["revision"])

    def run(self):
        """Gives the day's whole result: a plain map."""
        plan, loop = self.plan, self.loop
        self.port = ports = self.ports()
        try:
            yield from self.start(ports)
            begin = loop.kernel.now() + 700_000
            crowds = self.start_crowds(ports, begin)
            for generator in self.script(begin):
                loop.spawn(generator, "script")
            yield from self.play(begin, crowds)
            for number in range(len(plan["gateways"])):
                # one that was killed near the end may be starting still
                self.statuses.append(
                    (
                        yield from self.until(
                            f"gateway {number}",
                            lambda n=number: self.get(ports["doors"] + n, "GET", "/-/status"),
                            lambda body: True,
                        )
                    )
                )
            yield from self.look_at_end()
            self.over = True
            yield from self.stop_all()
        finally:
            for child in self.children.values():
                child.signal("CONT")
                child.signal("KILL")
            self.end_instances()
        return self.result(begin)

    def start(self, ports):
        plan = self.plan
        zones = {n: g["zone"] for n, g in enumerate(plan["gateways"])}
        if plan.get("agents"):
            self.write_builds()
        yard = {
            **{
                k: plan[k]
                for k in (
                    "seed",
                    "places",
                    "kind",
                    "build",
                    "boot",
                    "list",
                    "report",
                    "flaws",
                    "home",
                    "zone_names",
                )
            },
            "zones": [zones[n] for n in sorted(zones)],
            "ports": ports["machines"],
            "services": ports,
            "groups": {
                g["name"]: {"scope": g.get("scope", "all"), "window": g.get("repeat_window", 0)}
                for g in plan["groups"]
            },
            "rules": {"factor": plan["rules"]["overload_factor"], "tip_time": plan["rules"]["tip_time"]},
            "tally": {"sample": plan["release"].get("tally_sample", 0.0)},
        }
        self.write("plan.json", plan)
        for zone in plan["zone_names"]:
            self.write(f"sheet-{zone}.star", sheet_text(plan, zone, ports, self.folder))
        self.sheet_path = self.write("sheet-desk.star", sheet_text(plan, "", ports, self.folder))
        self.sheet = read_sheet(self.sheet_path, sheet_text(plan, "", ports, self.folder))
        if plan.get("agents"):
            yard["places"] = []
            self.spawn("builds", "standin", "builds", self.path("builds.json"), str(ports["builds"]))
        self.spawn("yard", "standin", "yard", self.write("yard.json", yard), self.path("yard.records"))
        yield from self.until(
            "the yard",
            lambda: self.get(ports["platform"], "GET", "/v1/machines"),
            lambda b: len(b["machines"]) == len(yard["places"]),
        )
        # its list starts whole: instances that ran before the day
        yield from self.get(ports["troubles"], "POST", "/v1/trouble", {"kind": "list_begins", "begins": True})
        self.spawn("desk", "desk", self.sheet_path)
        if plan.get("agents"):
            yield from self.start_agents(ports)
        yield from self.until(
            "the desk", lambda: self.get(ports["desk"], "GET", "/v1/status"), lambda b: True
        )
        for number in range(len(plan["gateways"])):
            self.start_gateway(number)
        for number in range(len(plan["gateways"])):
            yield from self.gateway_ready(number)

    def write_builds(self):
        """Every build of the plan as a tree that starts a stand-in instance, signed by the day's own key."""
        plan = self.plan
        solo = {
            **{k: plan[k] for k in ("seed", "kind", "report", "flaws")},
            "folder": self.folder,
            "places": {p["name"]: p for p in plan["places"]},
            "groups": {g["name"]: {} for g in plan["groups"]},
            "rules": {"factor": plan["rules"]["overload_factor"], "tip_time": plan["rules"]["tip_time"]},
        }
        self.write("solo.json", solo)
        self.write(
            "builds.json",
            {
                "python": self.python,
                "solo": self.path("solo.json"),
                "keys": self.path("keys.json"),
                "broken": {b: f["how"] for b, f in plan["flaws"].items()},
                "builds": [plan["build"], *(o["build"] for o in plan["offers"])],
            },
        )

    def start_agents(self, ports):
        """All places up with the first build, and warm, before the day begins."""
        plan = self.plan
        yield from self.until(
            "the desk", lambda: self.get(ports["desk"], "GET", "/v1/status"), lambda b: True
        )
        for place in plan["places"]:
            self.spawn(f"agent-{place['name']}", "agent", self.sheet_path, "--place", place["name"])
        yield from self.get(ports["desk"], "POST", "/v1/builds", {"build": plan["build"]})
        yield from self.until(
            "the fleet",
            lambda: self.get(ports["desk"], "GET", "/v1/status"),
            lambda b: sum(m["state"] == "up" for m in b["machines"]) == len(plan["places"]),
        )
        yield Sleep(plan["kind"]["cold_time"])

    def start_crowds(self, ports, begin):
        plan, crowds = self.plan, []
        for n in range(plan["crowds"]):
            crowd = {
                "seed": plan["seed"],
                "number": n,
                "rate": plan["rate"] / plan["crowds"],
                "length": plan["length"],
                "begin": begin,
                "customers": plan["customers"],
                "gateways": [
                    {**g, "door": f"127.0.0.1:{ports['doors'] + i}"} for i, g in enumerate(plan["gateways"])
                ],
                "groups": [{**g, "path": f"/{g['name']}"} for g in plan["groups"]],
                "keys": plan["keys"],
                "clients": plan["clients"],
                "troubles": plan["troubles"],
                "desk": ["127.0.0.1", ports["desk"]],
                "wrong_reported": plan["release"].get("wrong_reported", 0.0),
            }
            crowds.append(
                self.spawn(
                    f"crowd-{n}",
                    "standin",
                    "crowd",
                    self.write(f"crowd-{n}.json", crowd),
                    self.path(f"crowd-{n}.records"),
                )
            )
        return crowds

    def play(self, begin, crowds):
        end = begin + self.plan["length"] + 40_000_000
        while any(c.ended() is None for c in crowds):
            if self.loop.kernel.now() > end:
                raise DayFailed("the clients did not end")
            for name, child in self.children.items():
                if child.ended() not in (None, 0) and not any(
                    a["kind"] == "killed" and name in (a.get("part"), f"gateway-{a.get('gateway')}")
                    for a in self.acts
                ):
                    raise DayFailed(f"{name} has ended with {child.ended()}: see {self.path(name + '.log')}")
            yield Sleep(50_000)

    # --- the script -----------------------------------------------------------------------------------------

    def script(self, begin):
        plan = self.plan
        for offer in plan["offers"]:
            if offer["at"] < plan["length"]:
                yield self.offer(begin, offer)
        for trouble in plan["troubles"]:
            if trouble["kind"] == "balancer_stall":
                yield self.stall(begin, trouble)
            elif trouble["kind"] not in ("burst", "tenant_burst", "heavy_tail", "bad_requests", "give_up"):
                yield self.trouble(begin, trouble)
        for kill in plan["kills"]:
            yield self.kill(begin, kill)

    def wait(self, at):
        yield Sleep(at - self.loop.kernel.now())

    def offer(self, begin, offer):
        yield from self.wait(begin + offer["at"])
        self.say(
            f"{offer['at'] / 1e6:5.1f} s  build {offer['build']} offered "
            f"({self.plan['flaws'][str(offer['build'])]['how'] or 'good'})"
        )
        yield from self.insist("POST", "/v1/builds", {"build": offer["build"]})
        if offer.get("back_after") is not None or offer.get("back_in") is not None:
            yield from self.send_back(begin, offer)

    def send_back(self, begin, offer):
        """As an operator does: after a time, or when a stage is seen on trial. A build that is back by then,
        by votes or by a later offer, is left alone."""
        build, due = offer["build"], offer.get("back_after")
        if due is not None:
            yield from self.wait(begin + offer["at"] + due)
        while self.loop.kernel.now() < begin + self.plan["length"]:
            status = yield from self.insist("GET", "/v1/status")
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
                self.say(
                    f"{at:5.1f} s  build {build} sent back in stage {news['stage']}; missing: "
                    f"{status['missing'][:1] or 'nobody'}"
                )
                self.act("sent back", build=build, stage=news["stage"], missing=status["missing"])
                yield from self.insist("POST", "/v1/back", {"build": build, "why": "a word"})
                return
            yield Sleep(50_000)

    def trouble(self, begin, trouble):
        for begins, at in ((True, trouble["at"]), (False, trouble["at"] + trouble["len"])):
            yield from self.wait(begin + at)
            self.say(f"{at / 1e6:5.1f} s  {trouble['kind']} {'begins' if begins else 'is over'}")
            yield from self.insist("POST", "/v1/trouble", {**trouble, "begins": begins}, "troubles")

    def stall(self, begin, trouble):
        """A gateway that stands still."""
        number = trouble["which"] % len(self.plan["gateways"])
        yield from self.wait(begin + trouble["at"])
        self.say(
            f"{trouble['at'] / 1e6:5.1f} s  gateway {number} stands still for {trouble['len'] / 1e6:.1f} s"
        )
        self.act("stalled", gateway=number, len=trouble["len"])
        self.gateways[number].signal("STOP")
        yield from self.wait(begin + trouble["at"] + trouble["len"])
        self.gateways[number].signal("CONT")

    def kill(self, begin, kill):
        number = kill["gateway"]
        yield from self.wait(begin + kill["at"])
        if kill.get("what", "gateway") != "gateway":
            yield from self.kill_other(kill)
            return
        self.say(f"{kill['at'] / 1e6:5.1f} s  gateway {number} killed")
        self.act("killed", gateway=number)
        self.gateways[number].signal("KILL")
        yield Sleep(kill["back_after"])
        self.say(f"{(kill['at'] + kill['back_after']) / 1e6:5.1f} s  gateway {number} started again")
        self.start_gateway(number)

    def stop(self, name=""):
        """Told to stop: the day ends where it is, without a verdict."""
        self.loop.stop()

    def kill_other(self, kill):
        what, place = kill["what"], self.plan["places"][kill["gateway"] % len(self.plan["places"])]["name"]
        if what == "instance":
            for pid, where, _ in self.instances_running():
                if where == place:
                    self.say(f"{kill['at'] / 1e6:5.1f} s  an instance of {place} killed")
                    self.loop.kernel.kill(pid)
                    break
            return
        name = "desk" if what == "desk" else f"agent-{place}"
        self.say(f"{kill['at'] / 1e6:5.1f} s  {name} killed")
        self.act("killed", part=name)
        self.children[name].signal("KILL")
        yield Sleep(kill["back_after"])
        self.say(f"{(kill['at'] + kill['back_after']) / 1e6:5.1f} s  {name} started again")
        words = ["desk", self.sheet_path] if what == "desk" else ["agent", self.sheet_path, "--place", place]
        self.spawn(name, *words)

    def look_at_end(self):
        """What the desk says, and with agents: does exactly one instance of the build that is meant run in
        every place, and nothing else anywhere? Processes are looked for in the system, not in anybody's
        report."""
        self.final, end = None, self.loop.kernel.now() + READY
        while True:
            self.desk_status = yield from self.insist("GET", "/v1/status")
            if not self.plan.get("agents"):
                return
            told = yield from self.insist("GET", "/v1/history")
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
            self.act("stopping", gateway=number)
            child.signal("TERM")
        names = [f"gateway-{n}" for n in self.gateways]
        yield from self.ended(names)
        for name in ("desk", "yard"):
            self.children[name].signal("TERM")
        yield from self.ended(["desk", "yard"])
        agents = [name for name in self.children if name.startswith("agent-")]
        for name in agents:
            self.children[name].signal("TERM")
        yield from self.ended(agents)
        self.end_instances()

    def end_instances(self):
        """Instances outlive their agents; the day's own are ended with it."""
        for pid, *_ in self.instances_running():
            self.loop.kernel.kill(pid)

    def ended(self, names):
        end = self.loop.kernel.now() + READY
        while any(self.children[n].ended() is None for n in names):
            if self.loop.kernel.now() > end:
                raise DayFailed(f"{[n for n in names if self.children[n].ended() is None]} did not stop")
            yield Sleep(30_000)
        bad = {n: self.children[n].ended() for n in names if self.children[n].ended()}
        if bad:
            raise DayFailed(f"did not end with 0: {bad}")

    # --- afterwards -----------------------------------------------------------------------------------------

    def records(self, name):
        lines = (self.loop.kernel.read_file(self.path(name)) or b"").split(b"\n")
        return [json.loads(line) for line in lines[:-1]]  # what is not ended was cut off by a kill

    def result(self, begin):
        crowd = [e for n in range(self.plan["crowds"]) for e in self.records(f"crowd-{n}.records")]
        yard = self.records("yard.records")
        for name in self.loop.kernel.list_folder(self.folder):
            if name.endswith(".solo"):
                yard += self.records(name)
        yard.sort(key=lambda e: e["at"])
        runsheet = {
            **self.sheet.runsheet(0),
            "rules": {
                "tip_time": self.sheet.rules.tip_time,
                "overload_factor": self.sheet.rules.overload_factor,
                "answer_slack": self.sheet.rules.answer_slack,
            },
        }
        self.write("acts.json", self.acts)
        self.write("statuses.json", self.statuses)
        return {
            "found": check_all(crowd, yard, self.acts, runsheet),
            "crowd": crowd,
            "yard": yard,
            "begin": begin,
            "statuses": self.statuses,
            "desk": self.desk_status,
            "plan": self.plan,
            "final": self.final,
        }
