"""The running agent of one host: follows the desk's orders, carries out what `states.py` says, reports."""

import base64
import json
import os

import msgspec

from cobaltpond.agent.actions import Actions
from cobaltpond.agent.process import PORTS_PER_HOST, Process
from cobaltpond.agent.process_marks import find_running_processes
from cobaltpond.agent.registration import CALL_TIME, InstanceRegistration
from cobaltpond.agent.states import STARTING, BuildSlot, BuildSlots
from cobaltpond.builds.fetch import Fetcher
from cobaltpond.builds.manifest import KeyRing, ManifestError, apply_ring_chain
from cobaltpond.builds.store import Store
from cobaltpond.loop import Deadline, DeadlineExceededError, Sleep, run_component
from cobaltpond.loop.errors import error_name
from cobaltpond.loop.random_source import seeded_random
from cobaltpond.rpc import CALL_ERRORS, Backoff, call, follow_stream
from cobaltpond.settings.sections import split_address
from cobaltpond.wal import Journal, JournalError

REPORT = 300_000


class Agent(InstanceRegistration, Actions):
    def __init__(self, loop, sheet, host, log):
        self.loop, self.settings, self.host, self.log = loop, sheet, host, log
        kernel, builds = loop.kernel, sheet.builds
        kernel.make_folder(host.folder)
        self.journal = Journal(kernel, self.path("journal"))
        self.store = Store(kernel, self.path("store"), builds.most)
        self.ring = self.held_ring(builds.keys)
        self.fetcher = Fetcher(
            loop,
            self.store,
            [split_address(s) for s in builds.sources],
            seeded_random(kernel.random_seed()).randrange,
            builds.rate,
        )
        self.place, self.processes, self.tasks, self.manifests = BuildSlots(), {}, {}, {}
        self.port, self.stop_asked, self.broken = 0, False, None
        self.seen = None  # the newest state of the release that an order told of
        self.waits = Backoff(50_000, 1_000_000, kernel.random_seed())

    def path(self, *names):
        return os.path.join(self.host.folder, *names)

    def stop(self, name=""):
        """Instances go on; the next start takes them on."""
        self.stop_asked = True

    def run(self):
        self.recover()
        parts = [
            self.loop.spawn(generator, name)
            for generator, name in (
                (self.follow(), "orders"),
                (self.report(), "report"),
                (self.watch(), "watch"),
            )
        ]
        pruned = self.loop.now()
        while not self.stop_asked:
            yield Sleep(20_000)
            # guards against an agent that lives on deaf: its journal broke under one of its tasks, or a task
            # died
            died = self.broken or next((task.error for task in parts if task.done), None)
            if died is not None:
                raise died
            if self.loop.now() - pruned > self.settings.builds.prune_after // 100:
                pruned = self.loop.now()
                self.prune()

    # --- keys -----------------------------------------------------------------------------------------------

    def held_ring(self, given: str) -> KeyRing:
        """The ring that was taken last, or the sheet's where that is later."""
        read, rings = self.loop.kernel.read_file, []
        for data in (read(given), read(self.path("keys"))):
            if data:
                rings.append(msgspec.json.decode(data, type=KeyRing))
        return max(rings, key=lambda ring: ring.version, default=KeyRing(0, []))

    def take_rings(self, chain):
        """The desk hands on what a key of the ring held here has signed; it cannot make one up."""
        try:
            ring, taken = apply_ring_chain(
                self.ring,
                [base64.b64decode(one) for one in chain],
                self.loop.kernel.wall_clock() // 1_000_000,
            )
        except ManifestError as trouble:
            self.log.error("key ring refused", why=f"{error_name(trouble)}: {trouble}")
            return
        if taken:
            self.loop.kernel.replace_file(self.path("keys"), msgspec.json.encode(ring))
            self.ring = ring
            self.log.info("key ring", version=ring.version, keys=[key.id for key in ring.keys])

    # --- over a restart -------------------------------------------------------------------------------------

    def recover(self):
        """The last order and the marks of processes that were begun come from the journal; a process that
        still carries its mark is taken on, whatever its number."""
        order, marks, unknown = None, {}, []
        for record in (
            [self.journal.snapshot_state] if self.journal.snapshot_state else []
        ) + self.journal.records:
            order = record.get("order", order)
            self.seen = (order or {}).get("seen") or self.seen
            for row in record.get("processes", []):
                marks[row["mark"]] = row
            if "begun" in record:
                marks[record["begun"]["mark"]] = record["begun"]
            if record.get("listed") in marks:
                marks[record["listed"]] = {**marks[record["listed"]], "listed": True}
            marks.pop(record.get("ended"), None)
        for mark, row in find_running_processes(self.loop.kernel, self.host.folder).items():
            if mark not in marks:  # the journal was lost, or an older copy of it was put back
                self.log.warning("taken on without a journal", build=row["build"], port=row["port"])
                marks = {
                    m: known
                    for m, known in marks.items()
                    if known["build"] != row["build"] or self.loop.kernel.adopt_process(m)
                } | {mark: row}
                unknown.append(row["build"])
                self.note({"begun": row})
        self.place.generation = order["generation"] if order else -1
        wishes = {int(b): w for b, w in (order["wishes"] if order else {}).items()}
        for row in marks.values():
            child = self.loop.kernel.adopt_process(row["mark"])
            self.port = max(self.port, (row["port"] - self.host.ports + 1) % PORTS_PER_HOST)
            process = Process(row["build"], row["mark"], row["port"], child)
            process.began = self.loop.now()
            if child is not None:
                self.processes[row["build"]] = process
                process.listed = "up" if row.get("listed") else None
                self.log.info("taken on", build=row["build"], pid=child.pid)
            else:  # it ended while nobody looked: the list may still show it
                process.listed = "unknown"
                self.tell_list(row["build"], process, "gone")
                self.note({"ended": row["mark"]})
        todo = []
        for build in sorted({*wishes, *self.processes}):
            slot = self.place.slots[build] = BuildSlot(build)
            # what the journal knows nothing of stays until an order says otherwise
            slot.desired = "run" if build in unknown else wishes.get(build, "gone")
            if build in self.processes:
                todo += [(build, action) for action in slot.adopt(self.processes[build].listed == "up")]
                if slot.state == STARTING:
                    todo.append((build, "probe"))
            else:
                todo += [(build, action) for action in slot.handle_event(slot.desired)]
        self.place.drop_absent()
        self.act(todo)

    def note(self, record):
        try:
            if self.journal.needs_snapshot:
                self.journal.snapshot(
                    {
                        "order": self.last_order(),
                        "processes": [
                            {"build": p.build, "mark": p.mark, "port": p.port, "listed": p.listed is not None}
                            for p in self.processes.values()
                        ],
                    }
                )
            self.journal.append(record)
            self.journal.sync()
        except JournalError as trouble:
            self.broken = trouble
            raise

    def last_order(self):
        return {
            "generation": self.place.generation,
            "seen": self.seen,
            "wishes": {str(b): s.desired for b, s in self.place.slots.items()},
        }

    # --- orders and reports ---------------------------------------------------------------------------------

    def follow(self):
        """The desk's orders, for ever; it says them again with each period of its news."""

        def take(told):
            for one in told:
                if "rings" in one:
                    self.take_rings(one["rings"])
                else:
                    self.order(one["order"])

        def broken(trouble):
            self.log.warning("desk out of reach", why=f"{type(trouble).__name__}: {trouble}")

        yield from follow_stream(
            self.loop,
            split_address(self.settings.desk.address),
            lambda: f"/v1/orders?place={self.host.place}",
            take,
            3 * self.settings.release.news_period,
            CALL_TIME,
            self.waits,
            broken,
            (KeyError, TypeError, ValueError),
        )

    def order(self, order):
        wishes = {int(build): wish for build, wish in order["wishes"].items()}
        seen = order.get("seen")
        if seen and (not self.seen or seen["mark"] >= self.seen["mark"]):
            self.seen = seen
        if order["generation"] <= self.place.generation:
            return
        self.note({"order": order})  # before anything is done for it
        self.log.info("order", generation=order["generation"], wishes=order["wishes"])
        self.act(self.place.apply_order(order["generation"], wishes))

    def said(self):
        return {
            "place": self.host.place,
            "generation": max(0, self.place.generation),
            "seen": self.seen,
            "done": self.place.is_order_complete(),
            "slots": [
                {"build": b, "state": s.state, "id": self.id_of(b), "why": s.why}
                for b, s in self.place.slots.items()
            ],
        }

    def report(self):
        """At every change, and now and then all the same."""
        last, at = None, 0
        while True:
            said = self.said()
            if said != last or self.loop.now() - at > REPORT:
                try:
                    with Deadline(self.loop, CALL_TIME):
                        status, _ = yield from call(
                            self.loop,
                            split_address(self.settings.desk.address),
                            "POST",
                            "/v1/reports",
                            json.dumps(said).encode(),
                            CALL_TIME,
                        )
                    last, at = (said if status == 200 else None), self.loop.now()
                except (*CALL_ERRORS, DeadlineExceededError):
                    last = None
            yield Sleep(20_000)

    def prune(self):
        """Never what runs or may be returned to: every build that the order names is kept."""
        keep = set(self.place.slots) | {p.build for p in self.processes.values()}
        needed = {
            name
            for build in keep
            for name in (self.manifests[build][0].chunks() if build in self.manifests else ())
        }
        gone = self.store.prune(keep, self.settings.builds.prune_after, needed)
        if gone:
            self.log.info("pruned", builds=gone)


def run_agent(kernel, sheet, host, log) -> None:
    """Until a signal to stop. Raises Refused where another agent has this folder."""
    run_component(kernel, lambda loop: Agent(loop, sheet, host, log), log, "agent")
