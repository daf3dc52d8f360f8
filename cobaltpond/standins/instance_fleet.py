"""Simulates a fleet in one process: instances, instance list, platform, relays to the release desk, faults.

The platform starts and stops instances. The process is controlled over HTTP.
"""

from cobaltpond.loop import Sleep, run_component
from cobaltpond.loop.random_source import seeded_random
from cobaltpond.rpc import RpcError, json_response, serve_rpc
from cobaltpond.standins.instance import IdempotencyKeys, Instance
from cobaltpond.standins.instance_list import InstanceListServer
from cobaltpond.standins.instance_model import BuildFlaw, InstanceModel, InstanceProfile
from cobaltpond.standins.record import RecordWriter
from cobaltpond.standins.relay import Relay

IDS_PER_PLACE = 8


class InstanceFleet:
    """The fleet of a plan; all times are in microseconds.

    `plan` is a plain map (see `scenario/startup.py`): seed, places [{name, id, zone, cell, speed}], kind,
    build, groups, rules, list, report, boot, ports, flaws {build: {how, strength, group, speed}}.
    """

    def __init__(self, loop, plan, path):
        self.loop, self.plan, self.record = loop, plan, RecordWriter(loop, path)
        self.random_source = seeded_random(plan["seed"])
        self.report_period, self.report_names = plan["report"]["period"], plan["report"]["names"]
        self.places = {p["name"]: p for p in plan["places"]}
        self.instances, self.booting, self.keys_by_scope, self.cut_zones = {}, {}, {}, set()
        self.starts_by_place, self.tallies, self.silent = {}, {}, {}
        self.instance_list = InstanceListServer(
            loop, self.record, self.random_source, plan["list"]["notice"], plan["list"]["spread"]
        )
        self.instance_list.is_cut_off = lambda number: self.zone_cut(plan["zones"][number], plan["home"])
        self.relays, self.shared_slowness, self.stop_asked = {}, [1.0], False

    # --- interface for instances ----------------------------------------------------------------------------

    def zone_cut(self, one, other) -> bool:
        """Whether two zones are cut off from each other."""
        return one != other and bool(self.cut_zones & {one, other})

    def window(self, group) -> int:
        """The repeat window of a path group; 0 for none."""
        return self.plan["groups"].get(group, {}).get("window", 0)

    def idempotency_keys_of(self, instance, group):
        """The keys that an instance shares with others in the scope of a path group."""
        scope = self.plan["groups"].get(group, {}).get("scope", "all")
        name = {"all": "all", "zone": instance.zone, "cell": (instance.zone, instance.cell)}[scope]
        return self.keys_by_scope.setdefault((group, name), IdempotencyKeys())

    def count_answer(self, build, group, result, now):
        """Counts an answer for the sampled tallies and for the shared slowness."""
        flaw = self.plan["flaws"].get(str(build), {})
        if self.plan["flaws"]:  # a flaw that slows all instances in proportion to its traffic
            weight = 1 + 2 * flaw["strength"] if flaw.get("how") == "shared" else 0
            self.shared_slowness[0] += (1 + weight - self.shared_slowness[0]) * 0.01
        if self.random_source.random() < self.plan["tally"]["sample"]:
            row = self.tallies.setdefault((build, group), [0, 0])
            row[0] += 1
            row[1] += result not in ("ok", "wrong")

    # --- the platform ---------------------------------------------------------------------------------------

    def boot(self, place, build, warm=False):
        """Starts an instance at a place and returns its id.

        The ids of a place end in a number that cycles, so that ids come back.
        """
        placement = self.places[place]
        number = self.starts_by_place[place] = self.starts_by_place.get(place, -1) + 1
        id = f"{placement['id']}-{number % IDS_PER_PLACE}"
        port = self.plan["ports"] + list(self.places).index(place) * IDS_PER_PLACE + number % IDS_PER_PLACE
        self.booting[id] = (place, build)
        self.loop.spawn(self.start_instance(id, place, build, port, warm), "boot")
        return id

    def create_model(self, placement, build, warm):
        """The model of an instance, with the flaw of its build."""
        kind, flaw = dict(self.plan["kind"]), self.plan["flaws"].get(str(build), {})
        kind["speed"] = placement["speed"] * flaw.get("speed", 1.0)
        model = InstanceModel(
            InstanceProfile(**kind),
            build,
            self.loop.now(),
            self.random_source,
            warm,
            self.plan["rules"]["factor"],
            self.plan["rules"]["tip_time"],
        )
        if flaw.get("how"):
            model.flaw = BuildFlaw(flaw["how"], flaw["strength"], flaw.get("group", ""), self.random_source)
        model.shared_slowness = self.shared_slowness
        return model

    def start_instance(self, id, place, build, port, warm):
        """Boots an instance and lists it; a warm one is up at once and listed when the list begins."""
        placement = self.places[place]
        if not warm:
            yield Sleep(self.plan["boot"])
        if self.booting.pop(id, None) is None:
            return  # stopped before it was up
        listener = self.loop.kernel.listen(("127.0.0.1", port), 32)
        instance = Instance(
            self,
            id,
            place,
            placement["zone"],
            placement["cell"],
            self.create_model(placement, build, warm),
            listener,
        )
        instance.address, instance.state = f"127.0.0.1:{port}", "up"
        if warm:
            instance.start -= 60_000_000
        self.instances[id] = instance
        self.record(
            "up",
            instance=id,
            start=instance.start,
            build=build,
            warm=warm,
            zone=instance.zone,
            cell=instance.cell,
            cores=self.plan["kind"]["cores"],
            speed=instance.model.profile.speed,
            cold_share=instance.model.profile.cold_share,
            cold_time=instance.model.profile.cold_time,
        )
        if warm:
            return  # published by do_list_begins
        yield Sleep(self.plan["list"]["add"])
        if self.instances.get(id) is instance and instance.state == "up":
            self.instance_list.publish([self.row(instance)])

    def row(self, instance, state=None):
        """The row of an instance in the list."""
        return {
            "id": instance.id,
            "address": instance.address,
            "build": instance.model.build,
            "zone": instance.zone,
            "cell": instance.cell,
            "state": state or instance.state,
            "start": instance.start,
            "up_at": instance.start,
        }

    def drain(self, instance):
        """Lists an instance as draining."""
        if instance.state == "up":
            instance.state = "draining"
            self.record("drain", instance=instance.id, start=instance.start)
            self.instance_list.publish([self.row(instance)])

    def end_instance(self, instance):
        """Stops an instance and lists it as gone."""
        self.instances.pop(instance.id, None)
        self.record("stop", instance=instance.id, start=instance.start)
        instance.stop_process()
        self.instance_list.publish([self.row(instance, "gone")])

    def handle_overload(self, instance):
        """Ends the process of a cold instance that was sent too much work; it stays down."""
        if not instance.is_ended:
            self.record("fell", instance=instance.id, start=instance.start)
            instance.stop_process()
            self.loop.spawn(self.list_crashed_as_gone(instance), "fell")

    def list_crashed_as_gone(self, instance):
        """Lists a crashed instance as gone after the notice time for silent ones."""
        yield Sleep(self.plan["list"]["silent"])
        if self.instances.get(instance.id) is instance:
            del self.instances[instance.id]
            self.instance_list.publish([self.row(instance, "gone")])

    def platform_state(self):
        """The platform's instances and the tallies since the last call."""
        rows = [
            {"id": i.id, "place": i.place, "build": i.model.build, "state": i.state}
            for i in self.instances.values()
        ]
        rows += [
            {"id": id, "place": place, "build": build, "state": "starting"}
            for id, (place, build) in self.booting.items()
        ]
        tallies, self.tallies = self.tallies, {}
        tally_rows = [
            {"build": build, "group": group, "count": row[0], "errored": row[1], "mean_us": 0, "age_us": 0}
            for (build, group), row in tallies.items()
        ]
        return {"machines": rows, "tallies": tally_rows}

    def handle_platform(self, request):
        """Serves the platform's calls: list, start, drain and stop instances."""
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["v1", "machines"]:
            raise RpcError(404, "no such call")
        if request.method == "GET":
            return json_response(200, self.platform_state())
        if len(parts) == 2:
            body = request.json_object()
            if body["place"] not in self.places:
                raise RpcError(404, "no such place")
            return json_response(201, {"id": self.boot(body["place"], body["build"])})
        id, what = parts[2], parts[3]
        if what == "stop" and self.booting.pop(id, None):
            return json_response(200, {})
        if id not in self.instances:
            raise RpcError(404, "no such machine")
        (self.drain if what == "drain" else self.end_instance)(self.instances[id])
        return json_response(200, {})

    # --- faults ---------------------------------------------------------------------------------------------

    def affected_instances(self, fault):
        """The instances at the places that a fault affects."""
        affected = {name for n, name in enumerate(self.places) if n in fault["on"]}
        return [i for i in self.instances.values() if i.place in affected]

    def handle_fault(self, request):
        """Starts or ends a fault by the method `do_` + kind."""
        fault = request.json_object()
        kind, begins = fault["kind"], fault["begins"]
        self.record("trouble", what=kind, begins=begins)
        handler = getattr(self, f"do_{kind}", None)
        if handler is None:
            raise RpcError(404, f"no trouble {kind!r} here")
        handler(fault, begins)
        return json_response(200, {})

    def do_list_begins(self, fault, begins):
        """Lists all running instances and makes all gateways know it, so that a scenario starts complete."""
        self.instance_list.publish([self.row(i) for i in self.instances.values()])
        self.instance_list.known_revisions = dict.fromkeys(
            range(len(self.plan["zones"])), self.instance_list.revision
        )

    def do_slow(self, fault, begins):
        """Slows the work of the affected instances."""
        for instance in self.affected_instances(fault):
            instance.model.advance(self.loop.now())
            instance.model.slowdown = fault["size"] if begins else 1.0
            instance.schedule()

    def do_shared_slow(self, fault, begins):
        """Slows all instances."""
        self.do_slow({**fault, "on": range(len(self.places))}, begins)

    def do_neighbour(self, fault, begins):
        """Takes a share of the CPU from the affected instances."""
        for instance in self.affected_instances(fault):
            instance.model.advance(self.loop.now())
            instance.model.cpu_taken = fault["size"] if begins else 0.0
            instance.schedule()

    def do_fast_errors(self, fault, begins):
        """Makes a share of the hits of the affected instances fail."""
        for instance in self.affected_instances(fault):
            instance.model.error_share = fault["size"] if begins else 0.0

    def do_false_reports(self, fault, begins):
        """Makes the affected instances report a tenth of their load."""
        for instance in self.affected_instances(fault):
            instance.report_factor = 0.1 if begins else 1.0

    def do_conn_squeeze(self, fault, begins):
        """Limits the connections of every instance."""
        for instance in self.instances.values():
            instance.max_connections = max(1, int(fault["size"])) if begins else 100_000

    def do_handshake_slow(self, fault, begins):
        """Delays the start of every new connection."""
        for instance in self.instances.values():
            instance.handshake_delay = int(fault["size"] * 1000) if begins else 0

    def do_vanish(self, fault, begins):
        """Silences the affected instances; at the end they start anew, cold, under the same ids."""
        if begins:
            self.silent[fault["name"]] = affected = self.affected_instances(fault)
            for instance in affected:
                instance.silent = True
                self.loop.spawn(self.list_silent_as_gone(instance), "vanish")
                self.record("vanish", instance=instance.id, start=instance.start)
            return
        for instance in self.silent.pop(fault["name"], []):
            if self.instances.get(instance.id) is instance or instance.state == "up":
                self.instances.pop(instance.id, None)
                instance.stop_process()
                self.loop.spawn(self.restart_later(instance), "back")

    def list_silent_as_gone(self, instance):
        """Lists a silent instance as gone after the notice time."""
        yield Sleep(self.plan["list"]["silent"])
        if instance.silent and self.instances.get(instance.id) is instance:
            self.instance_list.publish([self.row(instance, "gone")])
            instance.unlisted = True

    def restart_later(self, old):
        """Starts an instance anew at the address of an old one."""
        yield Sleep(50_000)  # waits for the old listener to close
        host, port = old.address.split(":")
        self.booting[old.id] = (old.place, old.model.build)
        yield from self.start_instance(old.id, old.place, old.model.build, int(port), False)

    def do_zone_cut(self, fault, begins):
        """Cuts a zone off from all others."""
        zone = self.plan["zone_names"][fault["which"] % len(self.plan["zone_names"])]
        (self.cut_zones.add if begins else self.cut_zones.discard)(zone)
        for name, relay in self.relays.items():
            relay.mode = "cut" if self.zone_cut(name, self.plan["home"]) else "pass"

    def do_discovery_stale(self, fault, begins):
        """Delays the instance list."""
        self.instance_list.extra_delay = int(fault["size"] * 1_000_000) if begins else 0

    def do_control_down(self, fault, begins):
        """Makes the relays to the desk silent, fail, or deliver late."""
        for relay in self.relays.values():
            how = fault.get("how") or "silence"
            relay.delay = int(fault["size"] * 1_000_000) if begins and how == "stale" else 0
            if how != "stale":
                relay.mode = ({"silence": "silent", "errors": "errors"}[how]) if begins else "pass"

    # --- running --------------------------------------------------------------------------------------------

    def run(self):
        """Serves all interfaces until the process is told to stop."""
        kernel, plan = self.loop.kernel, self.plan
        for place in self.places:
            self.boot(place, plan["build"], warm=True)
        for name, handler in (
            ("list", self.instance_list.handle),
            ("platform", self.handle_platform),
            ("troubles", self.handle_fault),
        ):
            listener = kernel.listen(("127.0.0.1", plan["services"][name]), 256)
            self.loop.spawn(serve_rpc(self.loop, listener, handler, name), name)
        for zone, port in plan["services"]["relays"].items():
            listener = kernel.listen(("127.0.0.1", port), 256)
            self.relays[zone] = Relay(
                self.loop, listener, ("127.0.0.1", plan["services"]["desk"]), self.random_source, self.record
            )
        self.loop.spawn(self.instance_list.push_updates(), "list-push")
        while not self.stop_asked:
            yield Sleep(20_000)

    def stop(self, name=""):
        """Ends `run`."""
        self.stop_asked = True


def run_instance_fleet(kernel, plan, path, log):
    """Runs the fleet as the component of a process; records go to `path`."""
    run_component(kernel, lambda loop: InstanceFleet(loop, plan, path), log, "yard")
