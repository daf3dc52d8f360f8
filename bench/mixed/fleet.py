"""One fleet of mixed revisions: starts and stops its programs, and asks them how they stand."""

import json
from dataclasses import dataclass
from pathlib import Path

from mixed.programs import Checkout, Program, Programs
from mixed.report import Blocked, until
from mixed.settings import FleetPlan
from mixed.standins import BUILDER, FIRST_BUILD, StandIns
from mixed.traffic import Traffic
from mixed.web import ask, get_json, post_json

DESK = "desk"
RELEASE_BOUND = 45.0  # seconds for all stages of a release


@dataclass
class Fleet:
    """`old`: the checkout whose stand-ins are used. `settings` and `settings_without_list`: files."""

    old: Checkout
    plan: FleetPlan
    programs: Programs

    def __post_init__(self):
        """Writes the settings files."""
        self.stand_ins = StandIns(self.old, self.plan)
        self.settings = self.write_settings("settings.star", "list")
        self.settings_without_list = self.write_settings("settings-without-list.star", "nobody")

    def write_settings(self, name: str, list_service: str) -> Path:
        """Writes a settings file; `list_service` is that of `FleetPlan.settings`."""
        path = self.plan.folder / name
        path.write_text(self.plan.settings(list_service))
        return path

    # --- programs ------------------------------------------------------------------------------------------

    def start_surroundings(self) -> None:
        """Instances or builds, and the list. Raises Blocked."""
        if self.plan.agents:
            built = self.old.run(self.plan.folder.parent, "-c", BUILDER, self.stand_ins.write_builder())
            if built.returncode:
                raise Blocked(f"builder: {built.stderr[-300:]}")
            self.start_build_server()
        self.programs.start(
            self.old,
            "yard",
            "-m",
            "cobaltpond",
            "standin",
            "yard",
            self.stand_ins.write_yard(),
            self.plan.folder / "yard.records",
        )
        expected = 0 if self.plan.agents else self.plan.places
        until(
            "instances and list",
            lambda: len(get_json(self.plan.port("platform"), "/v1/machines")["machines"]) == expected,
        )
        post_json(self.plan.port("troubles"), "/v1/trouble", {"kind": "list_begins", "begins": True})

    def start_build_server(self) -> None:
        """Plain files are enough for agents."""
        self.programs.start(
            self.old,
            "builds",
            "-m",
            "http.server",
            self.plan.port("builds"),
            "--bind",
            "127.0.0.1",
            "--protocol",
            "HTTP/1.1",
            "--directory",
            self.stand_ins.served,
        )
        until("build server", lambda: ask(self.plan.port("builds"), "GET", "/builds/").status == 200)

    def start_desk(self, checkout: Checkout) -> Program:
        """Starts the release desk."""
        return self.programs.start(checkout, DESK, "-m", "cobaltpond", "desk", self.settings)

    def start_agents(self, checkout: Checkout) -> None:
        """Starts one agent a place."""
        for place in range(self.plan.places):
            name = self.plan.place_name(place)
            self.programs.start(
                checkout, f"agent-{name}", "-m", "cobaltpond", "agent", self.settings, "--place", name
            )

    def stop_agents(self) -> list[int]:
        """Their exit codes; what they have started runs on."""
        return [
            self.programs.stop(f"agent-{self.plan.place_name(place)}") for place in range(self.plan.places)
        ]

    def start_gateway(self, checkout: Checkout, number: int, settings: Path | None = None) -> None:
        """Starts a gateway with the fleet's settings, or with those of another file."""
        self.programs.start(
            checkout,
            f"gateway-{number}",
            "-m",
            "cobaltpond",
            "gateway",
            settings or self.settings,
            "--number",
            number,
        )

    def stop_gateway(self, number: int) -> int:
        """Stops a gateway; gives its exit code."""
        return self.programs.stop(f"gateway-{number}")

    def command(self, checkout: Checkout, *words: object):
        """`cobaltpond WORDS...` with the fleet's settings after the command's name."""
        at = 2 if words[0] == "release" else 1
        return checkout.command(self.plan.folder.parent, *words[:at], self.settings, *words[at:])

    def command_json(self, checkout: Checkout, *words: object):
        """What a command of an operator prints. Raises Blocked."""
        done = self.command(checkout, *words)
        if done.returncode:
            raise Blocked(f"{' '.join(map(str, words))}: exit code {done.returncode}: {done.stderr[-300:]}")
        return json.loads(done.stdout)

    def start_with_agents(self, desk: Checkout, others: Checkout) -> None:
        """All of it, up with the first build, and warm. Raises Blocked."""
        self.start_surroundings()
        self.start_desk(desk)
        self.start_agents(others)
        self.until_desk_open()
        self.command_json(others, "release", "offer", FIRST_BUILD)
        self.until_released(FIRST_BUILD)
        self.start_gateways(dict.fromkeys(range(self.plan.gateways), others))

    def start_gateways(self, checkouts: dict[int, Checkout]) -> None:
        """All at one time; up when this returns. Raises NotInTime."""
        for number, checkout in checkouts.items():
            self.start_gateway(checkout, number)
        for number in checkouts:
            self.until_ready(number)

    # --- how they stand ------------------------------------------------------------------------------------

    def gateway(self, number: int) -> dict:
        """A gateway's `/-/status`. Raises what `get_json` raises; so do the others here."""
        return get_json(self.plan.door(number), "/-/status")

    def members(self, number: int) -> dict[int, dict]:
        """Number -> what one gateway knows of each."""
        table = get_json(self.plan.door(number), "/-/members")
        return {row["number"]: row for row in table["members"]}

    def member_states(self, number: int) -> dict[int, str]:
        """Number -> state of each gateway in the eyes of one."""
        return {about: row["state"] for about, row in self.members(number).items()}

    def desk(self) -> dict:
        """What `release status` shows."""
        return get_json(self.plan.port(DESK), "/v1/status")

    def until_desk_open(self) -> None:
        """It has heard those that it asks after its start, and takes orders. Raises NotInTime."""
        until("desk open", lambda: self.desk()["returning"]["state"] != "collecting")

    def listed(self) -> list[dict]:
        """The rows of the list that are in service."""
        answer = ask(self.plan.port("list"), "GET", "/v1/list?gateway=0")
        rows = [row for line in answer.body.splitlines() for row in json.loads(line)["rows"]]
        return [row for row in rows if row["state"] == "up"]

    def listed_starts(self) -> set[tuple[str, str]]:
        """Id and start of each instance in service."""
        return {(row["id"], row["start"]) for row in self.listed()}

    def until_only_listed(self, build: int) -> None:
        """One instance of it is in service in every place, and no other instance. Raises NotInTime."""
        until(
            f"build {build} listed alone",
            lambda: [row["build"] for row in self.listed()] == [build] * self.plan.places,
        )

    def is_released(self, build: int) -> bool:
        """Released, and an instance of it up in every place."""
        status = self.desk()
        news = status["news"]
        up = [one["place"] for one in status["machines"] if one["build"] == build and one["state"] == "up"]
        return (news["build"], news["phase"]) == (build, "released") and len(set(up)) == self.plan.places

    def until_released(self, build: int) -> None:
        """Raises NotInTime."""
        until(f"build {build} released", lambda: self.is_released(build), RELEASE_BOUND)

    def until_all_alive(self, numbers: list[int]) -> None:
        """Each of these gateways sees all of them alive. Raises NotInTime."""
        wanted = dict.fromkeys(numbers, "alive")
        until(
            f"gateways {numbers} alive in all eyes",
            lambda: all(wanted.items() <= self.member_states(number).items() for number in numbers),
        )

    def until_ready(self, number: int, phase: str = "settled") -> dict:
        """The status of a gateway that has heard of list and release and is in that phase. Raises
        NotInTime."""

        def ready():
            status = self.gateway(number)
            heard = status["desk"]["news"] and status["list"]["revision"]
            return status if heard and status["recovery"]["phase"] == phase else None

        return until(f"gateway {number} {phase}", ready)

    def traffic(self, *numbers: int, key_prefix: str = "key") -> Traffic:
        """Hits at these gateways, or at all."""
        return Traffic(self.plan, list(numbers or range(self.plan.gateways)), key_prefix)
