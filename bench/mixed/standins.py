"""What a fleet needs around it: instances, the list of them, the platform, signed builds. All of it is OLD's.

The JSON plans are those of the hidden commands `cobaltpond standin ...`. The program text below imports
modules of OLD by the names that they have there: these names are not renamed along with identifiers of this
checkout.
"""

import json
from dataclasses import dataclass
from pathlib import Path

from mixed.programs import Checkout
from mixed.settings import COLD_TIME, SECOND, FleetPlan

FIRST_BUILD, NEXT_BUILD, LATER_BUILD = 41, 42, 43
BAD_BUILDS = (55, 58)
SIGNED_BY = {
    FIRST_BUILD: "first",
    NEXT_BUILD: "first",
    LATER_BUILD: "second",
}  # key of the first, the next ring
FLAW = {"how": "slow", "strength": 1.0, "group": "", "speed": 1.0}
RULES = {"factor": 2.0, "tip_time": 3 * SECOND // 2}

# Writes the signed builds in the layout of a build server, the first key ring, and one that replaces its key.
BUILDER = r"""
import json, pathlib, sys, time
import base64
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cobaltpond.builds.manifest import Key, Ring, write_ring
from cobaltpond.standins.buildserver import make_build

plan = json.loads(pathlib.Path(sys.argv[1]).read_text())
now, served = int(time.time()), pathlib.Path(plan["served"])
keys = {name: Ed25519PrivateKey.generate() for name in ("first", "second")}

def ring(version, name):
    public = base64.b64encode(keys[name].public_key().public_bytes_raw()).decode()
    return Ring(version, [Key(name, public, 0, 1 << 40)])

for folder in ("builds", "chunks"):
    (served / folder).mkdir(parents=True)
for build, name in plan["builds"]:
    serve = plan["serve"] % build
    files = {"serve": serve.encode(), "data": b"%d " % build * 20_000}
    signed, chunks = make_build(build, files, {name: keys[name]}, now, now + 36_000, 16_384,
                                ["serve", "{port}", "{id}", "{mark}"])
    (served / "builds" / str(build)).write_bytes(signed)
    for digest, chunk in chunks.items():
        (served / "chunks" / digest).write_bytes(chunk)
pathlib.Path(plan["first_ring"]).write_bytes(msgspec.json.encode(ring(1, "first")))
pathlib.Path(plan["next_ring"]).write_bytes(write_ring(ring(2, "second"), {"first": keys["first"]}))
"""
SERVE = """#!/bin/sh
cd {path} && export PYTHONPATH={path} PYTHONPYCACHEPREFIX={compiled} && \\
exec {python} -m cobaltpond standin solo {plan} %d "$1" "$2" "$3"
"""


@dataclass(frozen=True)
class StandIns:
    """Writes the plans of the stand-ins of one fleet."""

    old: Checkout
    plan: FleetPlan

    def write(self, name: str, value: dict) -> Path:
        """Writes a plan as JSON; gives its path."""
        path = self.plan.folder / name
        path.write_text(json.dumps(value))
        return path

    @property
    def next_ring(self) -> Path:
        """The key ring that replaces the first one."""
        return self.plan.folder / "next-ring"

    @property
    def served(self) -> Path:
        """What the build server serves."""
        return self.plan.folder / "served"

    def places(self) -> list[dict]:
        """The places of the fleet, as the plans name them."""
        return [
            {
                "name": self.plan.place_name(place),
                "id": f"i{place}",
                "zone": "north",
                "cell": place,
                "speed": 1.0,
            }
            for place in range(self.plan.places)
        ]

    def instances(self) -> dict:
        """What all instances have in common."""
        kind = {
            "cores": 2,
            "slots": 8,
            "queue": 24,
            "cancel": "queued",
            "cold_share": 0.5,
            "cold_time": COLD_TIME,
            "error_rate": 0.0,
        }
        return {
            "seed": 1,
            "kind": kind,
            "report": {"period": SECOND // 3, "names": ["util", "inflight"]},
            "flaws": {str(build): FLAW for build in BAD_BUILDS},
            "groups": {name: {"scope": "zone", "window": SECOND} for name in ("look", "pay", "hold")},
            "rules": RULES,
        }

    def write_yard(self) -> Path:
        """The plan of list and platform; without agents also of the instances."""
        plan = self.plan
        services = {name: plan.port(name) for name in ("list", "platform", "troubles", "desk")}
        return self.write(
            "yard.json",
            {
                **self.instances(),
                "places": [] if plan.agents else self.places(),
                "build": FIRST_BUILD,
                "boot": SECOND // 2,
                "list": {"notice": SECOND // 10, "spread": 0, "add": SECOND // 10, "silent": 3 * SECOND},
                "home": "north",
                "zone_names": ["north"],
                "zones": ["north"] * plan.gateways,
                "ports": plan.first_port,
                "services": {**services, "relays": {}},
                "tally": {"sample": 0.5 if plan.tallies else 0.0},
            },
        )

    def write_builder(self) -> Path:
        """The plan of the builds, and that of the instances that they start."""
        instances = self.write(
            "instances.json",
            {
                **self.instances(),
                "folder": str(self.plan.folder),
                "places": {place["name"]: place for place in self.places()},
            },
        )
        serve = SERVE.format(
            path=self.old.path,
            python=self.old.python,
            plan=instances,
            compiled=self.plan.folder.parent / "compiled",
        )
        return self.write(
            "builder.json",
            {
                "served": str(self.served),
                "builds": list(SIGNED_BY.items()),
                "serve": serve,
                "first_ring": str(self.plan.first_ring),
                "next_ring": str(self.next_ring),
            },
        )
