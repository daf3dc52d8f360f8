"""Runs one simulated instance as a process that an agent starts, and the server of such builds."""

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

CRASH_AFTER = 1_500_000  # microseconds that a crashing build serves before it crashes
SERVE = """#!/bin/sh
exec %s -m cobaltpond standin solo %s %d "$1" "$2" "$3"
"""


class SingleInstance:
    """The owner of a single instance, with the interface of `InstanceFleet` for instances."""

    def __init__(self, loop, plan, build, port, name, mark):
        self.loop, self.plan, self.stop_asked = loop, plan, False
        self.record = RecordWriter(loop, os.path.join(plan["folder"], f"{name}-{mark}.solo"))
        self.random_source, self.keys_by_group = seeded_random(f"{plan['seed']}-{mark}"), {}
        self.report_period, self.report_names = plan["report"]["period"], plan["report"]["names"]
        place, flaw = plan["places"][name.partition(".")[0]], plan["flaws"].get(str(build), {})
        profile = InstanceProfile(**{**plan["kind"], "speed": place["speed"] * flaw.get("speed", 1.0)})
        model = InstanceModel(
            profile,
            build,
            loop.now(),
            self.random_source,
            False,
            plan["rules"]["factor"],
            plan["rules"]["tip_time"],
        )
        self.flaw_kind, self.crash_at = flaw.get("how"), loop.now() + CRASH_AFTER
        if flaw.get("how"):
            model.flaw = BuildFlaw(flaw["how"], flaw["strength"], flaw.get("group", ""), self.random_source)
        self.instance = Instance(
            self,
            name,
            place["name"],
            place["zone"],
            place["cell"],
            model,
            loop.kernel.listen(("127.0.0.1", port), 64),
        )
        self.instance.start = mark
        self.instance.silent = self.flaw_kind == "deaf"
        self.record(
            "up",
            instance=name,
            start=mark,
            began=model.started,
            build=build,
            warm=False,
            zone=place["zone"],
            cell=place["cell"],
            cores=profile.cores,
            speed=profile.speed,
            cold_share=profile.cold_share,
            cold_time=profile.cold_time,
        )

    def zone_cut(self, one, other):
        """No zone is ever cut off."""
        return False

    def window(self, group):
        """The repeat window: always 0, since instances do not drop each other's repeats."""
        return 0

    def idempotency_keys_of(self, instance, group):
        """The keys of a path group."""
        return self.keys_by_group.setdefault(group, IdempotencyKeys())

    def count_answer(self, build, group, result, now):
        """Counts nothing: there are no tallies here."""
        pass

    def handle_overload(self, instance):
        """Ends the process after too much work on a cold instance."""
        self.record("fell", instance=instance.id, start=instance.start)
        self.stop_asked = True

    def run(self):
        """Runs until told to stop, or until a build with the flaw "crash" crashes."""
        while not self.stop_asked:
            yield Sleep(20_000)
            if self.flaw_kind == "crash" and self.loop.now() > self.crash_at:
                self.instance.stop_process()
                break
        self.record("stop", instance=self.instance.id, start=self.instance.start)
        self.record.flush()

    def stop(self, name=""):
        """Ends `run`, unless the build has the flaw "stubborn"."""
        self.stop_asked = self.flaw_kind != "stubborn"


def run_single_instance(kernel, plan, build, port, name, mark, log):
    """Runs one instance as the component of a process."""
    run_component(kernel, lambda loop: SingleInstance(loop, plan, build, port, name, mark), log, "solo")


class BuildServerProcess:
    """Serves the builds of a scenario and writes the key ring that signs them."""

    def __init__(self, loop, plan, port):
        self.loop, self.stop_asked, now = loop, False, loop.kernel.wall_clock() // 1_000_000
        key = Ed25519PrivateKey.generate()
        unknown_key = Ed25519PrivateKey.generate()
        public = base64.b64encode(key.public_key().public_bytes_raw()).decode()
        ring = KeyRing(1, [SigningKey("day", public, 0, 1 << 40)])
        loop.kernel.replace_file(plan["keys"], msgspec.json.encode(ring), sync=False)
        self.server = BuildServer(loop, loop.kernel.listen(("127.0.0.1", port), 128))
        for build in plan["builds"]:
            flaw_kind = plan.get("broken", {}).get(str(build), "")
            start_script = (
                "#!/bin/sh\nexit 3\n"
                if flaw_kind == "exit"
                else SERVE % (quote(plan["python"]), quote(plan["solo"]), build)
            )
            files = {"serve": start_script.encode(), "data": b"%d " % build * 20_000}
            signed, chunks = make_build(
                build,
                files,
                {"day": unknown_key if flaw_kind == "forged" else key},
                now,
                now + 36_000,
                16_384,
                ["serve", "{port}", "{id}", "{mark}"],
            )
            self.server.add(build, signed, chunks)
            if flaw_kind in ("cut", "corrupt"):
                fault = "junk" if flaw_kind == "corrupt" else "cut 0"
                self.server.faults.update((f"/chunks/{name}", [(fault, 1 << 30)]) for name in chunks)

    def run(self):
        """Serves until told to stop."""
        while not self.stop_asked:
            yield Sleep(50_000)

    def stop(self, name=""):
        """Ends `run`."""
        self.stop_asked = True


def run_build_server(kernel, plan, port, log):
    """Runs the build server as the component of a process."""
    run_component(kernel, lambda loop: BuildServerProcess(loop, plan, port), log, "builds")
