"""What OLD's programs left on disk, taken over by NEW's, and the other way round where that is cheap.

A fleet of OLD plays a release and hands on a key ring; then its programs are stopped one kind after the
other, and NEW's are started on the same files, each observed from outside. Instances run on all the while.
"""

import json
import os
import signal
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler
from threading import Thread

from mixed.fleet import DESK, Fleet
from mixed.programs import Checkout
from mixed.report import expect, expect_equal, until
from mixed.revisions import Revisions
from mixed.settings import FleetPlan
from mixed.standins import FIRST_BUILD, LATER_BUILD, NEXT_BUILD
from mixed.web import Server, ask

NAME = "files of OLD"
KILLED_PLACE = FleetPlan.place_name(0)
KEPT_IN_TIME = 6.0  # seconds until a gateway has written what it keeps


class ReportCatcher:
    """Stands where a desk does: takes the agents' reports and has no orders for them."""

    def __init__(self, port: int):
        self.reports: dict[str, dict] = {}
        catcher = self

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self):  # noqa: N802  (a name that `http.server` prescribes)
                said = json.loads(self.rfile.read(int(self.headers["content-length"])))
                catcher.reports[said["place"]] = said
                self.send_response(200)
                self.send_header("content-length", "2")
                self.end_headers()
                self.wfile.write(b"{}")

            def log_message(self, *_):
                """Nothing is printed."""

        self.server = Server(("127.0.0.1", port), Handler)
        self.thread = Thread(target=self.server.serve_forever, daemon=True)

    def __enter__(self) -> "ReportCatcher":
        """Takes reports from now on."""
        self.thread.start()
        return self

    def __exit__(self, *_) -> None:
        """Frees the port."""
        self.server.shutdown()
        self.server.server_close()

    def until_told(self, places: int) -> dict[str, dict]:
        """A fresh report of each place that says that it has done what it was told. Raises NotInTime."""
        self.reports.clear()
        until(
            "reports of agents",
            lambda: len(self.reports) == places and all(one["done"] for one in self.reports.values()),
        )
        return dict(self.reports)


def without_ids(reports: dict[str, dict], place: str) -> dict[str, dict]:
    """The reports of agents, less the names of the instances of one place."""
    slots = [{**slot, "id": ""} for slot in reports[place]["slots"]]
    return {**reports, place: {**reports[place], "slots": slots}}


@dataclass(frozen=True)
class LeftBehind:
    """What was true when OLD's programs were stopped. `instances`: id and start of each row of the list."""

    history: list[dict]
    news: dict
    stable: int
    instances: set[tuple]
    processes: set[int]


class Upgrade:
    """OLD's programs are stopped one kind after the other, and NEW's take over their files."""

    def __init__(self, revisions: Revisions, fleet: Fleet):
        self.fleet, self.report = fleet, revisions.report
        self.old, self.new = revisions.old, revisions.new

    def run(self) -> None:
        """The whole scenario."""
        left = self.play_with_old()
        self.check_gateways()
        self.check_agents(left)
        self.check_desk(left)
        self.check_store()
        self.check_key_ring()
        self.check_way_back()

    def check(self, what: str):
        """One check of this scenario, as a context."""
        return self.report.check(f"{NAME}: {what}")

    # --- what OLD leaves behind ----------------------------------------------------------------------------

    def play_with_old(self) -> LeftBehind:
        """A release and a new key ring, with programs of OLD alone."""
        fleet = self.fleet
        with self.check("played by OLD alone: two builds, a key ring"):
            fleet.start_with_agents(self.old, self.old)
            with fleet.traffic():
                fleet.command_json(self.old, "release", "offer", NEXT_BUILD)
                fleet.until_released(NEXT_BUILD)
                self.until_listed(NEXT_BUILD)
                fleet.command_json(self.old, "release", "keys", fleet.stand_ins.next_ring)
                for number in range(fleet.plan.gateways):
                    self.until_kept(number)
            status = fleet.desk()
            return LeftBehind(
                self.history(),
                status["news"],
                status["stable"],
                fleet.listed_starts(),
                set(fleet.programs.instances()),
            )

    def until_kept(self, number: int) -> None:
        """The gateway has written its list, with the newest build alone, and what it has learned."""

        def kept() -> bool:
            _, _, text = self.fleet.plan.cached_list(number).read_text().partition(" ")
            return {row["build"] for row in json.loads(text)["rows"]} == {NEXT_BUILD}

        until(f"list kept by gateway {number}", kept, KEPT_IN_TIME)
        until(f"snapshot of gateway {number}", self.fleet.plan.snapshot(number).exists, KEPT_IN_TIME)

    def history(self) -> list[dict]:
        """The history of releases, by the command of OLD."""
        done = self.fleet.command(self.old, "release", "history", "--as-json")
        return [json.loads(line) for line in done.stdout.splitlines()]

    # --- gateways ------------------------------------------------------------------------------------------

    def check_gateways(self) -> None:
        """Gateway 0 is started as it was; gateway 1 cannot reach the list and has only its own copy."""
        fleet = self.fleet
        with self.check("OLD gateways stopped"):
            expect_equal({fleet.stop_gateway(0), fleet.stop_gateway(1)}, {0}, "exit codes")
        fleet.start_gateway(self.new, 0)
        fleet.start_gateway(self.new, 1, fleet.settings_without_list)
        with self.check("snapshot of learned state taken over by NEW"):
            self.expect_snapshot_taken(0)
        with self.check("cached list of instances used by NEW while there is no list"):
            self.expect_served_without_list(1)
        with self.check("snapshot of NEW taken over by OLD"):
            self.refresh_snapshot(0)
            expect_equal(fleet.stop_gateway(0), 0, "exit code")
            fleet.start_gateway(self.old, 0)
            self.expect_snapshot_taken(0)
        with self.check("cached list of NEW used by OLD while there is no list"):
            expect_equal({fleet.stop_gateway(0), fleet.stop_gateway(1)}, {0}, "exit codes")
            self.refresh_cached_list(1)
            fleet.start_gateway(self.old, 1, fleet.settings_without_list)
            self.expect_served_without_list(1)
            fleet.stop_gateway(1)

    def expect_snapshot_taken(self, number: int) -> None:
        """Raises NotInTime or CheckFailed."""
        status = self.fleet.until_ready(number)
        expect_equal(status["recovery"]["snapshot"], {"refused": None, "taken": True}, "snapshot")
        expect(status["recovery"]["counts"]["recalled"] > 0, "nothing of the snapshot fits the list")

    def expect_served_without_list(self, number: int) -> None:
        """Raises NotInTime or CheckFailed."""
        fleet = self.fleet
        until("door", lambda: fleet.gateway(number))
        status = fleet.gateway(number)
        expect_equal(status["list"]["revision"], 0, "revision heard of the list")
        expect_equal(set(status["instances"]), {row["id"] for row in fleet.listed()}, "instances")
        with fleet.traffic(number) as traffic:
            until("hits", lambda: traffic.tally.delivered >= 10 or traffic.tally.failures)
        expect(not traffic.tally.failures, "; ".join(traffic.tally.failures))

    def refresh_snapshot(self, number: int) -> None:
        """The running gateway writes it anew, with what it has learned from some hits."""
        path = self.fleet.plan.snapshot(number)
        with self.fleet.traffic(number) as traffic:
            until("hits", lambda: traffic.tally.delivered >= 10)
            written = path.stat().st_mtime_ns
            until("snapshot", lambda: path.stat().st_mtime_ns > written)

    def refresh_cached_list(self, number: int) -> None:
        """NEW writes the file anew."""
        self.fleet.plan.cached_list(number).unlink()
        self.fleet.start_gateway(self.new, number)
        self.until_kept(number)
        self.fleet.stop_gateway(number)

    # --- agents --------------------------------------------------------------------------------------------

    def check_agents(self, left: LeftBehind) -> None:
        """While the desk is down an agent reports what its journal says and what it finds running. One
        instance is killed while no agent runs: only the journal knows that it was in the list."""
        fleet = self.fleet
        of_killed = {row for row in left.instances if row[0].startswith(f"{KILLED_PLACE}.")}
        with self.check("OLD desk stopped"):
            expect_equal(fleet.programs.stop(DESK), 0, "exit code")
        with ReportCatcher(fleet.plan.port(DESK)) as catcher:
            with self.check("OLD agents started again on their journals"):
                of_old = self.told_by_agents(catcher, self.old)
                expect(all(one["generation"] > 0 for one in of_old.values()), f"{of_old}")
            with self.check("instance that ended while no agent ran is replaced, and off the list, by NEW"):
                expect_equal(set(fleet.stop_agents()), {0}, "exit codes")
                killed = self.kill_instance(KILLED_PLACE)
                fleet.start_agents(self.new)
                until("it is off the list", lambda: not of_killed & fleet.listed_starts())
                self.until_listed(NEXT_BUILD)
            with self.check("agents' journals say the same to NEW as to OLD"):
                of_new = catcher.until_told(fleet.plan.places)
                expect_equal(without_ids(of_new, KILLED_PLACE), without_ids(of_old, KILLED_PLACE), "reports")
            with self.check("agents' journals say the same to OLD after NEW has written them"):
                expect_equal(self.told_by_agents(catcher, self.old), of_new, "reports")
            with self.check("NEW agents started again"):
                self.told_by_agents(catcher, self.new)
        with self.check("instances that OLD agents started run on under NEW agents"):
            expect(left.processes - {killed} <= set(fleet.programs.instances()), "a process has ended")
            listed = fleet.listed_starts()
            expect(
                left.instances - of_killed <= listed, f"list: {listed}, wanted {left.instances - of_killed}"
            )

    def kill_instance(self, place: str) -> int:
        """Its process id; ended when this returns. Raises NotInTime."""
        programs = self.fleet.programs
        number = next(id for id, words in programs.instances().items() if f" {place}." in words)
        os.kill(number, signal.SIGKILL)
        until(f"instance of {place} ends", lambda: number not in programs.instances())
        return number

    def told_by_agents(self, catcher: ReportCatcher, checkout: Checkout) -> dict[str, dict]:
        """What agents of this revision report who take the place of those that run."""
        expect_equal(set(self.fleet.stop_agents()), {0}, "exit codes")
        self.fleet.start_agents(checkout)
        return catcher.until_told(self.fleet.plan.places)

    # --- desk ----------------------------------------------------------------------------------------------

    def check_desk(self, left: LeftBehind) -> None:
        """NEW's desk carries on with OLD's journal, and gateways settle with it."""
        fleet = self.fleet
        with self.check("desk's journal taken over by NEW"):
            fleet.start_desk(self.new)
            for number in range(fleet.plan.gateways):
                fleet.start_gateway(self.new, number)
            until(
                "desk carries on",
                lambda: fleet.command_json(self.new, "release", "status")["returning"]["state"]
                == "carried on",
            )
            fleet.until_released(NEXT_BUILD)
            self.expect_as_left(left)
        with self.check("NEW gateways settle with it"):
            for number in range(fleet.plan.gateways):
                fleet.until_ready(number)

    def expect_as_left(self, left: LeftBehind) -> None:
        """Raises CheckFailed."""
        status = self.fleet.desk()
        expect_equal(self.history()[: len(left.history)], left.history, "history")
        expect_equal(status["stable"], left.stable, "the build to return to")
        expect(
            status["news"]["mark"] > left.news["mark"],
            f"mark {status['news']['mark']} after {left.news['mark']}",
        )
        expect_equal(
            {name: status["news"][name] for name in ("build", "stage", "phase", "cap", "gone")},
            {name: left.news[name] for name in ("build", "stage", "phase", "cap", "gone")},
            "news",
        )

    # --- builds and keys -----------------------------------------------------------------------------------

    def check_store(self) -> None:
        """An earlier build starts from the store while the build server is down."""
        fleet = self.fleet
        with self.check("build store of OLD used by NEW: an earlier build starts while no source is there"):
            fleet.programs.stop("builds")
            fleet.command_json(self.new, "release", "back", NEXT_BUILD)
            self.until_listed(FIRST_BUILD)
            until("withdrawn", lambda: fleet.desk()["news"]["phase"] == "withdrawn")
        with self.check("hits answered by the build from the store"):
            with fleet.traffic() as traffic:
                until("hits", lambda: traffic.tally.delivered >= 10)
            expect_equal(set(traffic.tally.by_build), {FIRST_BUILD}, "builds")

    def check_key_ring(self) -> None:
        """The later build is signed with a key that only the second ring has, which OLD's desk handed on."""
        fleet = self.fleet
        with self.check("signed manifest and key ring of OLD used by NEW"):
            fleet.start_build_server()
            with fleet.traffic() as traffic:
                fleet.command_json(self.new, "release", "offer", LATER_BUILD)
                fleet.until_released(LATER_BUILD)
                self.until_listed(LATER_BUILD)
            expect(not traffic.tally.failures, "; ".join(traffic.tally.failures))
        with self.check("key ring that OLD's desk took is held by NEW's"):
            ring = fleet.stand_ins.next_ring.read_bytes()
            expect_equal(
                ask(fleet.plan.port(DESK), "POST", "/v1/keys", ring).status, 409, "status for the same ring"
            )

    def until_listed(self, build: int) -> None:
        """In every place, and nothing else; what was there before has ended. Raises NotInTime."""
        self.fleet.until_only_listed(build)
        until("one process a place", lambda: len(self.fleet.programs.instances()) == self.fleet.plan.places)

    # --- back to OLD ---------------------------------------------------------------------------------------

    def check_way_back(self) -> None:
        """Desk and agents of OLD on what NEW's wrote."""
        fleet, news = self.fleet, self.fleet.desk()
        with self.check("files of NEW taken over by OLD desk and agents"):
            left = LeftBehind(
                self.history(), news["news"], news["stable"], set(), set(fleet.programs.instances())
            )
            self.replace_control(self.old)
            until("desk carries on", lambda: fleet.desk()["returning"]["state"] == "carried on")
            fleet.until_released(LATER_BUILD)
            self.expect_as_left(left)
            expect_equal(set(fleet.programs.instances()), left.processes, "processes")

    def replace_control(self, checkout: Checkout) -> None:
        """Stops desk and agents, and starts those of this revision."""
        fleet = self.fleet
        expect_equal({fleet.programs.stop(DESK), *fleet.stop_agents()}, {0}, "exit codes")
        fleet.start_desk(checkout)
        fleet.start_agents(checkout)


def check_upgrade(revisions: Revisions) -> None:
    """All that programs keep on disk."""
    with (
        revisions.report.scenario(NAME),
        revisions.fleet("upgrade", gateways=2, places=2, agents=True) as fleet,
    ):
        Upgrade(revisions, fleet).run()
