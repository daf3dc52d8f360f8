"""One stand-in instance as a process of its own, as an agent starts it; and the server of such builds."""

import base64
import os
from shlex import quote

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from cobaltpond.builds.manifest import KeyRing, SigningKey
from cobaltpond.loop import Sleep, run_component
from cobaltpond.loop.random_source import seeded_random
from cobaltpond.standins.build_server import BuildServer, make_build
from cobaltpond.standins.instance import IdempotencyKeys, Instance
from cobaltpond.standins.instance_model import BuildFlaw, InstanceModel, InstanceProfile
from cobaltpond.standins.record import RecordWriter

CRASH_AFTER = 1_500_000  # a build that crashes has served for so long
SERVE = """#!/bin/sh
exec %s -m cobaltpond standin solo %s %d "$1" "$2" "$3"
"""


class SingleInstance:
    """Stands where a yard does, for one instance."""

    def __init__(self, loop, plan, build, port, name, mark):
        self.loop, self.plan, self.stop_asked = loop, plan, False
        self.record = RecordWriter(loop, os.path.join(plan["folder"], f"{name}-{mark}.solo"))
        self.chance, self.marks = seeded_random(f"{plan['seed']}-{mark}"), {}
        self.report_period, self.report_names = plan["report"]["period"], plan["report"]["names"]
        place, flaw = plan["places"][name.partition(".")[0]], plan["flaws"].get(str(build), {})
        kind = InstanceProfile(**{**plan["kind"], "speed": place["speed"] * flaw.get("speed", 1.0)})
        machine = InstanceModel(
            kind, build, loop.now(), self.chance, False, plan["rules"]["factor"], plan["rules"]["tip_time"]
        )
        self.how, self.crash_at = flaw.get("how"), loop.now() + CRASH_AFTER
        if flaw.get("how"):
            machine.flaw = BuildFlaw(flaw["how"], flaw["strength"], flaw.get("group", ""), self.chance)
        self.instance = Instance(
            self,
            name,
            place["name"],
            place["zone"],
            place["cell"],
            machine,
            loop.kernel.listen(("127.0.0.1", port), 64),
        )
        self.instance.start = mark
        self.instance.silent = self.how == "deaf"
        self.record(
            "up",
            instance=name,
            start=mark,
            began=machine.started,
            build=build,
            warm=False,
            zone=place["zone"],
            cell=place["cell"],
            cores=kind.cores,
            speed=kind.speed,
            cold_share=kind.cold_share,
            cold_time=kind.cold_time,
        )

    def zone_cut(self, one, other):
        return False

    def window(self, group):
        return 0

    def marks_of(self, instance, group):
        return self.marks.setdefault(group, IdempotencyKeys())

    def count(self, build, group, how, now):
        pass

    def fell(self, instance):
        self.record("fell", instance=instance.id, start=instance.start)
        self.stop_asked = True

    def run(self):
        while not self.stop_asked:
            yield Sleep(20_000)
            if self.how == "crash" and self.loop.now() > self.crash_at:
                self.instance.stop_process()
                break
        self.record("stop", instance=self.instance.id, start=self.instance.start)
        self.record.flush()

    def stop(self, name=""):
        self.stop_asked = self.how != "stubborn"


def run_single_instance(kernel, plan, build, port, name, mark, log):
    run_component(kernel, lambda loop: SingleInstance(loop, plan, build, port, name, mark), log, "solo")


class BuildStandin:
    """Serves the builds of a day, and writes the key ring that vouches for them."""

    def __init__(self, loop, plan, port):
        self.loop, self.stop_asked, now = loop, False, loop.kernel.wall_clock() // 1_000_000
        key = Ed25519PrivateKey.generate()
        stranger = Ed25519PrivateKey.generate()
        public = base64.b64encode(key.public_key().public_bytes_raw()).decode()
        ring = KeyRing(1, [SigningKey("day", public, 0, 1 << 40)])
        loop.kernel.replace_file(plan["keys"], msgspec.json.encode(ring), sync=False)
        self.server = BuildServer(loop, loop.kernel.listen(("127.0.0.1", port), 128))
        for build in plan["builds"]:
            how = plan.get("broken", {}).get(str(build), "")
            serve = (
                "#!/bin/sh\nexit 3\n"
                if how == "exit"
                else SERVE % (quote(plan["python"]), quote(plan["solo"]), build)
            )
            files = {"serve": serve.encode(), "data": b"%d " % build * 20_000}
            signed, chunks = make_build(
                build,
                files,
                {"day": stranger if how == "forged" else key},
                now,
                now + 36_000,
                16_384,
                ["serve", "{port}", "{id}", "{mark}"],
            )
            self.server.add(build, signed, chunks)
            if how in ("cut", "corrupt"):
                way = "junk" if how == "corrupt" else "cut 0"
                self.server.faults.update((f"/chunks/{name}", [(way, 1 << 30)]) for name in chunks)

    def run(self):
        while not self.stop_asked:
            yield Sleep(50_000)

    def stop(self, name=""):
        self.stop_asked = True


def run_build_server(kernel, plan, port, log):
    run_component(kernel, lambda loop: BuildStandin(loop, plan, port), log, "builds")
