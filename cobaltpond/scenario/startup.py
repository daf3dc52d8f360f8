"""Starts the processes of a scenario: simulated instances, desk, agents, gateways and clients."""

from cobaltpond.loop import Sleep
from cobaltpond.scenario.settings_text import settings_text
from cobaltpond.settings import read_settings


class Startup:
    """Mixin of `runner.ScenarioRun`, which holds the state."""

    def start_gateway(self, number):
        """Starts a gateway process with the settings of its zone."""
        self.record_act("started", gateway=number)
        zone = self.plan["gateways"][number]["zone"]
        self.gateways[number] = self.spawn(
            f"gateway-{number}",
            "gateway",
            self.path(f"sheet-{zone}.star"),
            "--number",
            str(number),
            *self.extra_arguments.get(number, ()),
        )

    def wait_for_gateway(self, number):
        """Waits until a gateway has the release state and an instance list; raises ScenarioError."""

        def send_request():
            return (yield from self.http_call(self.port["doors"] + number, "GET", "/-/status"))

        yield from self.wait_until_ready(
            f"gateway {number}", send_request, lambda b: b["desk"]["news"] and b["list"]["revision"]
        )

    def start_components(self, ports):
        """Starts all processes but the clients and waits until they are ready."""
        plan = self.plan
        zones = {n: g["zone"] for n, g in enumerate(plan["gateways"])}
        if plan.get("agents"):
            self.write_builds()
        fleet_plan = {
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
            self.write(f"sheet-{zone}.star", settings_text(plan, zone, ports, self.folder))
        self.settings_path = self.write("sheet-desk.star", settings_text(plan, "", ports, self.folder))
        self.settings = read_settings(self.settings_path, settings_text(plan, "", ports, self.folder))
        if plan.get("agents"):
            fleet_plan["places"] = []
            self.spawn("builds", "standin", "builds", self.path("builds.json"), str(ports["builds"]))
        self.spawn("yard", "standin", "yard", self.write("yard.json", fleet_plan), self.path("yard.records"))
        yield from self.wait_until_ready(
            "the yard",
            lambda: self.http_call(ports["platform"], "GET", "/v1/machines"),
            lambda b: len(b["machines"]) == len(fleet_plan["places"]),
        )
        # the instance list starts complete: the instances ran before the scenario
        yield from self.http_call(
            ports["troubles"], "POST", "/v1/trouble", {"kind": "list_begins", "begins": True}
        )
        self.spawn("desk", "desk", self.settings_path)
        if plan.get("agents"):
            yield from self.start_agents(ports)
        yield from self.wait_until_ready(
            "the desk", lambda: self.http_call(ports["desk"], "GET", "/v1/status"), lambda b: True
        )
        for number in range(len(plan["gateways"])):
            self.start_gateway(number)
        for number in range(len(plan["gateways"])):
            yield from self.wait_for_gateway(number)

    def write_builds(self):
        """Describes every build of the plan: a signed file tree that starts a simulated instance."""
        plan = self.plan
        instance_plan = {
            **{k: plan[k] for k in ("seed", "kind", "report", "flaws")},
            "folder": self.folder,
            "places": {p["name"]: p for p in plan["places"]},
            "groups": {g["name"]: {} for g in plan["groups"]},
            "rules": {"factor": plan["rules"]["overload_factor"], "tip_time": plan["rules"]["tip_time"]},
        }
        self.write("solo.json", instance_plan)
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
        """Starts the agents and waits until all places run the first build and are warm."""
        plan = self.plan
        yield from self.wait_until_ready(
            "the desk", lambda: self.http_call(ports["desk"], "GET", "/v1/status"), lambda b: True
        )
        for place in plan["places"]:
            self.spawn(f"agent-{place['name']}", "agent", self.settings_path, "--place", place["name"])
        yield from self.http_call(ports["desk"], "POST", "/v1/builds", {"build": plan["build"]})
        yield from self.wait_until_ready(
            "the fleet",
            lambda: self.http_call(ports["desk"], "GET", "/v1/status"),
            lambda b: sum(m["state"] == "up" for m in b["machines"]) == len(plan["places"]),
        )
        yield Sleep(plan["kind"]["cold_time"])

    def start_clients(self, ports, begin):
        """Starts the client processes, which begin at `begin`; returns them."""
        plan, client_processes = self.plan, []
        for n in range(plan["crowds"]):
            client_plan = {
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
            client_processes.append(
                self.spawn(
                    f"crowd-{n}",
                    "standin",
                    "crowd",
                    self.write(f"crowd-{n}.json", client_plan),
                    self.path(f"crowd-{n}.records"),
                )
            )
        return client_processes
