"""The agent process of one host: follows the desk's orders, runs actions of the state machine, reports."""

import base64
import json
import os

import msgspec

from cobaltpond.agent.actions import Actions
from cobaltpond.agent.process import PORTS_PER_HOST, Process
from cobaltpond.agent.process_marks import find_running_processes
from cobaltpond.agent.registration import CALL_TIMEOUT_US, InstanceRegistration
from cobaltpond.agent.states import STARTING, BuildSlot, BuildSlots
from cobaltpond.builds.fetch import Fetcher
from cobaltpond.builds.manifest import KeyRing, ManifestError, apply_ring_chain
from cobaltpond.builds.store import Store
from cobaltpond.loop import DeadlineExceededError, Sleep, run_component
from cobaltpond.loop.errors import error_name
from cobaltpond.loop.random_source import seeded_random
from cobaltpond.rpc import CALL_ERRORS, Backoff, RepeatedCall, follow_stream
from cobaltpond.settings.sections import split_address
from cobaltpond.wal import Journal, JournalError

REPORT_INTERVAL_US = 300_000  # between reports without a change


class Agent(InstanceRegistration, Actions):
    """The agent of one host. Its instances keep running when it ends; the next start adopts them."""

    def __init__(self, loop, settings, host, log):
        self.loop, self.settings, self.host, self.log = loop, settings, host, log
        kernel, builds = loop.kernel, settings.builds
        kernel.make_folder(host.folder)
        self.journal = Journal(kernel, self.path("journal"))
        self.store = Store(kernel, self.path("store"), builds.most)
        self.ring = self.load_key_ring(builds.keys)
        self.fetcher = Fetcher(
            loop,
            self.store,
            [split_address(s) for s in builds.sources],
            seeded_random(kernel.random_seed()).randrange,
            builds.rate,
        )
        self.build_slots, self.processes, self.tasks, self.manifests = BuildSlots(), {}, {}, {}
        self.port_offset, self.stop_asked, self.journal_error = 0, False, None
        self.last_seen_state = None  # the newest release state in an order
        self.backoff = Backoff(50_000, 1_000_000, kernel.random_seed())

    def path(self, *names):
        """The path of a file in the agent's folder."""
        return os.path.join(self.host.folder, *names)

    def stop(self, name=""):
        """Asks `run` to return; instances keep running. `name`: the signal received."""
        self.stop_asked = True

    def run(self):
        """The main task: recovers, then runs until `stop` is called. Raises what a failed task raised."""
        self.recover()
        main_tasks = [
            self.loop.spawn(generator, name)
            for generator, name in (
                (self.follow_orders(), "orders"),
                (self.send_reports(), "report"),
                (self.watch_processes(), "watch"),
            )
        ]
        pruned_at = self.loop.now()
        while not self.stop_asked:
            yield Sleep(20_000)
            # Without this check the agent would run on without orders or reports after its journal failed in
            # one of its tasks, or after a task died.
            died = self.journal_error or next((task.error for task in main_tasks if task.done), None)
            if died is not None:
                raise died
            if self.loop.now() - pruned_at > self.settings.builds.prune_after // 100:
                pruned_at = self.loop.now()
                self.prune()

    # --- keys -----------------------------------------------------------------------------------------------

    def load_key_ring(self, configured_ring_path: str) -> KeyRing:
        """The newest of the ring in the settings and the ring accepted last; an empty one without either."""
        read_file, rings = self.loop.kernel.read_file, []
        for data in (read_file(configured_ring_path), read_file(self.path("keys"))):
            if data:
                rings.append(msgspec.json.decode(data, type=KeyRing))
        return max(rings, key=lambda ring: ring.version, default=KeyRing(0, []))

    def accept_key_rings(self, chain):
        """Verifies key rings from the desk against the current ring, and stores the last valid one.

        `chain`: base64. The desk cannot forge a ring, because each is signed by a key of the ring before.
        """
        try:
            ring, accepted_rings = apply_ring_chain(
                self.ring,
                [base64.b64decode(encoded) for encoded in chain],
                self.loop.kernel.wall_clock() // 1_000_000,
            )
        except ManifestError as error:
            self.log.error("key ring refused", why=f"{error_name(error)}: {error}")
            return
        if accepted_rings:
            self.loop.kernel.replace_file(self.path("keys"), msgspec.json.encode(ring))
            self.ring = ring
            self.log.info("key ring", version=ring.version, keys=[key.id for key in ring.keys])

    # --- recovery -------------------------------------------------------------------------------------------

    def recover(self):
        """Restores the last order and the started processes from the journal.

        A running process that carries a recorded mark is adopted, whatever its process id. Processes of this
        agent that the journal does not know are adopted as well.
        """
        order, rows_by_mark, adopted_builds = None, {}, []
        for record in (
            [self.journal.snapshot_state] if self.journal.snapshot_state else []
        ) + self.journal.records:
            order = record.get("order", order)
            self.last_seen_state = (order or {}).get("seen") or self.last_seen_state
            for row in record.get("processes", []):
                rows_by_mark[row["mark"]] = row
            if "begun" in record:
                rows_by_mark[record["begun"]["mark"]] = record["begun"]
            if record.get("listed") in rows_by_mark:
                rows_by_mark[record["listed"]] = {**rows_by_mark[record["listed"]], "listed": True}
            rows_by_mark.pop(record.get("ended"), None)
        for mark, row in find_running_processes(self.loop.kernel, self.host.folder).items():
            if mark not in rows_by_mark:  # the journal was lost, or restored from an older copy
                self.log.warning("taken on without a journal", build=row["build"], port=row["port"])
                rows_by_mark = {
                    m: known
                    for m, known in rows_by_mark.items()
                    if known["build"] != row["build"] or self.loop.kernel.adopt_process(m)
                } | {mark: row}
                adopted_builds.append(row["build"])
                self.write_record({"begun": row})
        self.build_slots.generation = order["generation"] if order else -1
        desired = {int(b): w for b, w in (order["wishes"] if order else {}).items()}
        for row in rows_by_mark.values():
            child = self.loop.kernel.adopt_process(row["mark"])
            self.port_offset = max(self.port_offset, (row["port"] - self.host.ports + 1) % PORTS_PER_HOST)
            process = Process(row["build"], row["mark"], row["port"], child)
            process.started_at = self.loop.now()
            if child is not None:
                self.processes[row["build"]] = process
                process.listed_state = "up" if row.get("listed") else None
                self.log.info("taken on", build=row["build"], pid=child.pid)
            else:  # it ended while no agent was running: the list may still show it
                process.listed_state = "unknown"
                self.publish_state(row["build"], process, "gone")
                self.write_record({"ended": row["mark"]})
        actions = []
        for build in sorted({*desired, *self.processes}):
            slot = self.build_slots.slots[build] = BuildSlot(build)
            # A process that the journal does not know keeps running until an order says otherwise.
            slot.desired = "run" if build in adopted_builds else desired.get(build, "gone")
            if build in self.processes:
                actions += [
                    (build, action) for action in slot.adopt(self.processes[build].listed_state == "up")
                ]
                if slot.state == STARTING:
                    actions.append((build, "probe"))
            else:
                actions += [(build, action) for action in slot.handle_event(slot.desired)]
        self.build_slots.drop_absent()
        self.run_actions(actions)

    def write_record(self, record):
        """Writes a record to the journal durably, after a snapshot where one is due. Raises JournalError."""
        try:
            if self.journal.needs_snapshot:
                self.journal.snapshot(
                    {
                        "order": self.last_order(),
                        "processes": [
                            {
                                "build": p.build,
                                "mark": p.mark,
                                "port": p.port,
                                "listed": p.listed_state is not None,
                            }
                            for p in self.processes.values()
                        ],
                    }
                )
            self.journal.append(record)
            self.journal.sync()
        except JournalError as error:
            self.journal_error = error
            raise

    def last_order(self):
        """The current order, as the journal's snapshot stores it."""
        return {
            "generation": self.build_slots.generation,
            "seen": self.last_seen_state,
            "wishes": {str(b): s.desired for b, s in self.build_slots.slots.items()},
        }

    # --- orders and reports ---------------------------------------------------------------------------------

    def follow_orders(self):
        """A task: follows the desk's orders for ever. The desk repeats them with each news period."""

        def on_objects(objects):
            for message in objects:
                if "rings" in message:
                    self.accept_key_rings(message["rings"])
                else:
                    self.handle_order(message["order"])

        def on_broken(error):
            self.log.warning("desk unreachable; reconnecting", why=f"{type(error).__name__}: {error}")

        yield from follow_stream(
            self.loop,
            split_address(self.settings.desk.address),
            lambda: f"/v1/orders?place={self.host.place}",
            on_objects,
            3 * self.settings.release.news_period,
            CALL_TIMEOUT_US,
            self.backoff,
            on_broken,
            (KeyError, TypeError, ValueError),
        )

    def handle_order(self, order):
        """Applies an order unless it is old. Raises KeyError, TypeError or ValueError where malformed."""
        desired = {int(build): state for build, state in order["wishes"].items()}
        seen = order.get("seen")
        if seen and (not self.last_seen_state or seen["mark"] >= self.last_seen_state["mark"]):
            self.last_seen_state = seen
        if order["generation"] <= self.build_slots.generation:
            return
        self.write_record({"order": order})  # durable before the order has any effect
        self.log.info("order", generation=order["generation"], wishes=order["wishes"])
        self.run_actions(self.build_slots.apply_order(order["generation"], desired))

    def current_report(self):
        """The report to the desk, as JSON."""
        return {
            "place": self.host.place,
            "generation": max(0, self.build_slots.generation),
            "seen": self.last_seen_state,
            "done": self.build_slots.is_order_complete(),
            "slots": [
                {"build": b, "state": s.state, "id": self.instance_id_of_build(b), "why": s.why}
                for b, s in self.build_slots.slots.items()
            ],
        }

    def send_reports(self):
        """A task: reports every change to the desk, and the unchanged state every REPORT_INTERVAL_US."""
        last_sent, last_report_at = None, 0
        report_call = RepeatedCall(self.loop, split_address(self.settings.desk.address))
        try:
            while True:
                current = json.dumps(self.current_report()).encode()
                if current != last_sent or self.loop.now() - last_report_at > REPORT_INTERVAL_US:
                    try:
                        response = yield from report_call.attempt(
                            "POST", "/v1/reports", current, CALL_TIMEOUT_US
                        )
                        last_sent = response.request_body if response.status == 200 else None
                        last_report_at = self.loop.now()
                    except (*CALL_ERRORS, DeadlineExceededError):
                        last_sent = None
                yield Sleep(20_000)
        finally:
            report_call.close()

    def prune(self):
        """Deletes old builds that neither run nor stand in the order, which names the rollback target too."""
        keep_builds = set(self.build_slots.slots) | {p.build for p in self.processes.values()}
        needed = {
            name
            for build in keep_builds
            for name in (self.manifests[build][0].chunks() if build in self.manifests else ())
        }
        removed = self.store.prune(keep_builds, self.settings.builds.prune_after, needed)
        if removed:
            self.log.info("pruned", builds=removed)


def run_agent(kernel, settings, host, log) -> None:
    """Runs the agent until a signal to stop. Raises RefusedError where another agent holds the folder."""
    run_component(kernel, lambda loop: Agent(loop, settings, host, log), log, "agent")
