"""The yard: stand-in instances of a whole fleet, the list of them, the platform that starts and stops them,
the relays to the release desk, and the troubles of a day, all in one process and told what to do over
HTTP."""

from cobaltpond.loop import Sleep, run_component
from cobaltpond.loop.random_source import seeded_random
from cobaltpond.rpc import RpcError, json_response, serve_rpc
from cobaltpond.standins.instance import IdempotencyKeys, Instance
from cobaltpond.standins.instance_list import InstanceListServer
from cobaltpond.standins.instance_model import BuildFlaw, InstanceModel, InstanceProfile
from cobaltpond.standins.record import RecordWriter
from cobaltpond.standins.relay import Relay

DRAINED = 8


class InstanceFleet:
    """`plan`: a plain map (see `days.py`): seed, places [(name, zone, cell, speed)], kind, build, groups,
    rules, list, report, boot, ports, flaws {build: {how, strength, group, speed}}."""

    def __init__(self, loop, plan, path):
        self.loop, self.plan, self.record = loop, plan, RecordWriter(loop, path)
        self.chance = seeded_random(plan["seed"])
        self.report_period, self.report_names = plan["report"]["period"], plan["report"]["names"]
        self.places = {p["name"]: p for p in plan["places"]}
        self.instances, self.booting, self.marks, self.cuts = {}, {}, {}, set()
        self.serial, self.tallies, self.silent = {}, {}, {}
        self.listing = InstanceListServer(
            loop, self.record, self.chance, plan["list"]["notice"], plan["list"]["spread"]
        )
        self.listing.cut = lambda number: self.zone_cut(plan["zones"][number], plan["home"])
        self.relays, self.shared, self.stop_asked = {}, [1.0], False

    # --- what instances ask of it ---------------------------------------------------------------------------

    def zone_cut(self, one, other) -> bool:
        return one != other and bool(self.cuts & {one, other})

    def window(self, group) -> int:
        return self.plan["groups"].get(group, {}).get("window", 0)

    def marks_of(self, instance, group):
        scope = self.plan["groups"].get(group, {}).get("scope", "all")
        name = {"all": "all", "zone": instance.zone, "cell": (instance.zone, instance.cell)}[scope]
        return self.marks.setdefault((group, name), IdempotencyKeys())

    def count(self, build, group, how, now):
        flaw = self.plan["flaws"].get(str(build), {})
        if self.plan["flaws"]:  # a flaw that slows all, in step with the traffic it gets
            weight = 1 + 2 * flaw["strength"] if flaw.get("how") == "shared" else 0
            self.shared[0] += (1 + weight - self.shared[0]) * 0.01
        if self.chance.random() < self.plan["tally"]["sample"]:
            row = self.tallies.setdefault((build, group), [0, 0])
            row[0] += 1
            row[1] += how not in ("ok", "wrong")

    # --- the platform ---------------------------------------------------------------------------------------

    def boot(self, place, build, warm=False):
        """A machine that starts; it keeps its id from the place, numbered anew so that ids come back."""
        spot = self.places[place]
        number = self.serial[place] = self.serial.get(place, -1) + 1
        id = f"{spot['id']}-{number % DRAINED}"
        port = self.plan["ports"] + list(self.places).index(place) * DRAINED + number % DRAINED
        self.booting[id] = (place, build)
        self.loop.spawn(self.start_instance(id, place, build, port, warm), "boot")
        return id

    def machine(self, spot, build, warm):
        kind, flaw = dict(self.plan["kind"]), self.plan["flaws"].get(str(build), {})
        kind["speed"] = spot["speed"] * flaw.get("speed", 1.0)
        machine = InstanceModel(
            InstanceProfile(**kind),
            build,
            self.loop.now(),
            self.chance,
            warm,
            self.plan["rules"]["factor"],
            self.plan["rules"]["tip_time"],
        )
        if flaw.get("how"):
            machine.flaw = BuildFlaw(flaw["how"], flaw["strength"], flaw.get("group", ""), self.chance)
        machine.shared = self.shared
        return machine

    def start_instance(self, id, place, build, port, warm):
        spot = self.places[place]
        if not warm:
            yield Sleep(self.plan["boot"])
        if self.booting.pop(id, None) is None:
            return  # stopped before it was up
        listener = self.loop.kernel.listen(("127.0.0.1", port), 32)
        instance = Instance(
            self, id, place, spot["zone"], spot["cell"], self.machine(spot, build, warm), listener
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
            speed=instance.machine.kind.speed,
            cold_share=instance.machine.kind.cold_share,
            cold_time=instance.machine.kind.cold_time,
        )
        if warm:
            return  # told when the list begins
        yield Sleep(self.plan["list"]["add"])
        if self.instances.get(id) is instance and instance.state == "up":
            self.listing.publish([self.row(instance)])

    def row(self, instance, state=None):
        return {
            "id": instance.id,
            "address": instance.address,
            "build": instance.machine.build,
            "zone": instance.zone,
            "cell": instance.cell,
            "state": state or instance.state,
            "start": instance.start,
            "up_at": instance.start,
        }

    def drain(self, instance):
        if instance.state == "up":
            instance.state = "draining"
            self.record("drain", instance=instance.id, start=instance.start)
            self.listing.publish([self.row(instance)])

    def end_instance(self, instance):
        self.instances.pop(instance.id, None)
        self.record("stop", instance=instance.id, start=instance.start)
        instance.stop_process()
        self.listing.publish([self.row(instance, "gone")])

    def fell(self, instance):
        """A cold instance was sent too much: its process ends and stays down."""
        if not instance.is_ended:
            self.record("fell", instance=instance.id, start=instance.start)
            instance.stop_process()
            self.loop.spawn(self.seen_gone(instance), "fell")

    def seen_gone(self, instance):
        yield Sleep(self.plan["list"]["silent"])
        if self.instances.get(instance.id) is instance:
            del self.instances[instance.id]
            self.listing.publish([self.row(instance, "gone")])

    def machines(self):
        rows = [
            {"id": i.id, "place": i.place, "build": i.machine.build, "state": i.state}
            for i in self.instances.values()
        ]
        rows += [
            {"id": id, "place": place, "build": build, "state": "starting"}
            for id, (place, build) in self.booting.items()
        ]
        tallies, self.tallies = self.tallies, {}
        told = [
            {"build": build, "group": group, "count": row[0], "errored": row[1], "mean_us": 0, "age_us": 0}
            for (build, group), row in tallies.items()
        ]
        return {"machines": rows, "tallies": told}

    def handle_platform(self, request):
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["v1", "machines"]:
            raise RpcError(404, "no such call")
        if request.method == "GET":
            return json_response(200, self.machines())
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

    # --- troubles -------------------------------------------------------------------------------------------

    def affected_instances(self, trouble):
        """The instances at the places that a trouble strikes."""
        struck = {name for n, name in enumerate(self.places) if n in trouble["on"]}
        return [i for i in self.instances.values() if i.place in struck]

    def handle_trouble(self, request):
        trouble = request.json_object()
        kind, begins = trouble["kind"], trouble["begins"]
        self.record("trouble", what=kind, begins=begins)
        act = getattr(self, f"do_{kind}", None)
        if act is None:
            raise RpcError(404, f"no trouble {kind!r} here")
        act(trouble, begins)
        return json_response(200, {})

    def do_list_begins(self, trouble, begins):
        """All that run are listed at once, and everybody knows: the day begins with a list that is whole."""
        self.listing.publish([self.row(i) for i in self.instances.values()])
        self.listing.heard = dict.fromkeys(range(len(self.plan["zones"])), self.listing.revision)

    def do_slow(self, trouble, begins):
        for instance in self.affected_instances(trouble):
            instance.machine.advance(self.loop.now())
            instance.machine.slow = trouble["size"] if begins else 1.0
            instance.schedule()

    def do_shared_slow(self, trouble, begins):
        self.do_slow({**trouble, "on": range(len(self.places))}, begins)

    def do_neighbour(self, trouble, begins):
        for instance in self.affected_instances(trouble):
            instance.machine.advance(self.loop.now())
            instance.machine.taken = trouble["size"] if begins else 0.0
            instance.schedule()

    def do_fast_errors(self, trouble, begins):
        for instance in self.affected_instances(trouble):
            instance.machine.errors = trouble["size"] if begins else 0.0

    def do_false_reports(self, trouble, begins):
        for instance in self.affected_instances(trouble):
            instance.lie = 0.1 if begins else 1.0

    def do_conn_squeeze(self, trouble, begins):
        for instance in self.instances.values():
            instance.most = max(1, int(trouble["size"])) if begins else 100_000

    def do_handshake_slow(self, trouble, begins):
        for instance in self.instances.values():
            instance.shake = int(trouble["size"] * 1000) if begins else 0

    def do_vanish(self, trouble, begins):
        """Silent, without a word; back later as a new start, cold, under the same id."""
        if begins:
            self.silent[trouble["name"]] = struck = self.affected_instances(trouble)
            for instance in struck:
                instance.silent = True
                self.loop.spawn(self.seen_silent(instance), "vanish")
                self.record("vanish", instance=instance.id, start=instance.start)
            return
        for instance in self.silent.pop(trouble["name"], []):
            if self.instances.get(instance.id) is instance or instance.state == "up":
                self.instances.pop(instance.id, None)
                instance.stop_process()
                self.loop.spawn(self.restart_later(instance), "back")

    def seen_silent(self, instance):
        yield Sleep(self.plan["list"]["silent"])
        if instance.silent and self.instances.get(instance.id) is instance:
            self.listing.publish([self.row(instance, "gone")])
            instance.unlisted = True

    def restart_later(self, old):
        yield Sleep(50_000)  # until its old listener is closed
        host, port = old.address.split(":")
        self.booting[old.id] = (old.place, old.machine.build)
        yield from self.start_instance(old.id, old.place, old.machine.build, int(port), False)

    def do_zone_cut(self, trouble, begins):
        zone = self.plan["zone_names"][trouble["which"] % len(self.plan["zone_names"])]
        (self.cuts.add if begins else self.cuts.discard)(zone)
        for name, relay in self.relays.items():
            relay.mode = "cut" if self.zone_cut(name, self.plan["home"]) else "pass"

    def do_discovery_stale(self, trouble, begins):
        self.listing.added = int(trouble["size"] * 1_000_000) if begins else 0

    def do_control_down(self, trouble, begins):
        for relay in self.relays.values():
            how = trouble.get("how") or "silence"
            relay.late = int(trouble["size"] * 1_000_000) if begins and how == "stale" else 0
            if how != "stale":
                relay.mode = ({"silence": "silent", "errors": "errors"}[how]) if begins else "pass"

    # --- running --------------------------------------------------------------------------------------------

    def run(self):
        kernel, plan = self.loop.kernel, self.plan
        for place in self.places:
            self.boot(place, plan["build"], warm=True)
        for name, handler in (
            ("list", self.listing.handle),
            ("platform", self.handle_platform),
            ("troubles", self.handle_trouble),
        ):
            listener = kernel.listen(("127.0.0.1", plan["services"][name]), 256)
            self.loop.spawn(serve_rpc(self.loop, listener, handler, name), name)
        for zone, port in plan["services"]["relays"].items():
            listener = kernel.listen(("127.0.0.1", port), 256)
            self.relays[zone] = Relay(
                self.loop, listener, ("127.0.0.1", plan["services"]["desk"]), self.chance, self.record
            )
        self.loop.spawn(self.listing.push_updates(), "list-push")
        while not self.stop_asked:
            yield Sleep(20_000)

    def stop(self, name=""):
        self.stop_asked = True


def run_instance_fleet(kernel, plan, path, log):
    run_component(kernel, lambda loop: InstanceFleet(loop, plan, path), log, "yard")
