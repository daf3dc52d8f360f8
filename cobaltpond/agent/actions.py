"""Actions of an agent on its builds: fetch, check, start, probe, stop and the timers between them."""

import os

from cobaltpond.agent.process import PORTS_PER_HOST, Process
from cobaltpond.agent.process_marks import process_mark
from cobaltpond.agent.registration import CALL_TIMEOUT_US
from cobaltpond.builds.fetch import FetchError
from cobaltpond.builds.manifest import MAX_MANIFEST_BYTES, ManifestError, read_manifest, read_stored_manifest
from cobaltpond.builds.store import CorruptChunkError, StoreFullError
from cobaltpond.loop import DeadlineExceededError, Sleep, UnreachableError
from cobaltpond.loop.errors import error_name
from cobaltpond.rpc import CALL_ERRORS, RepeatedCall

POLL_INTERVAL_US = 40_000  # interval between checks of a process
MAX_OUTPUT_BYTES = 1 << 20  # the output file of an instance is truncated beyond this size
LIST_UPDATE_TIMEOUT_US = 5_000_000  # a drain waits at most this long for the instance list
STEADY_AFTER_US = 10_000_000  # the crash count is reset after this time up


class Actions:
    """Mixin of `main.Agent`, which holds the state; `states.py` decides which action is due.

    An action named "list up" is the method `do_list_up`. All take the number of the build.
    """

    def apply_event(self, build, event, why=""):
        """Passes an event of a build to its state machine and runs the resulting actions."""
        slot = self.build_slots.slots.get(build)
        before = slot.state if slot else "none"
        actions = self.build_slots.handle_event(build, event, why)
        after = self.build_slots.slots[build].state if build in self.build_slots.slots else "absent"
        if after != before:
            self.log.info("build", build=build, after=event, state=after, why=why)
        self.run_actions(actions)

    def run_actions(self, actions):
        """Runs (build, action) pairs in order."""
        for build, action in actions:
            getattr(self, "do_" + action.replace(" ", "_"))(build)

    def start_task(self, build, name, generator):
        """Starts the only task of this name for the build; an earlier one is cancelled."""
        self.cancel_task(build, name)
        self.tasks[build, name] = self.loop.spawn(generator, f"{name}-{build}")

    def cancel_task(self, build, name):
        """Cancels the task of this name for the build, where there is one."""
        task = self.tasks.pop((build, name), None)
        if task is not None:
            task.cancel()

    def schedule_event(self, build, delay, event):
        """Applies an event after `delay` microseconds; replaces an earlier timer of the same event."""

        def wait():
            yield Sleep(delay)
            self.apply_event(build, event)

        self.start_task(build, event, wait())

    def do_fetch(self, build):
        """Starts to fetch the build."""
        self.start_task(build, "fetch", self.fetch_build(build))

    def do_leave_fetch(self, build):
        """Cancels the fetch of the build."""
        self.cancel_task(build, "fetch")

    def fetch_build(self, build):
        """A task: fetches the build, or uses the copy in the store, so that a rollback needs no source."""
        try:
            if build in self.store.builds():
                self.load_manifest(build)
            else:
                signed = yield from self.fetcher.fetch_manifest(build, MAX_MANIFEST_BYTES)
                now = self.loop.kernel.wall_clock() // 1_000_000
                manifest = read_manifest(
                    signed, self.ring, now, ordered=build, max_build_bytes=self.settings.builds.most
                )
                self.manifests[build] = manifest, signed
                yield from self.fetcher.fetch_chunks(manifest)
        except Exception as error:  # any failure means that the build is missing, and is reported
            if not isinstance(error, FetchError | ManifestError | StoreFullError):
                self.log.error("fetch failed", build=build, exc_info=True)
            self.apply_event(build, "unfetched", f"{error_name(error)}: {error}")
            return
        self.apply_event(build, "fetched")

    def do_check(self, build):
        """Assembles and verifies the build, in a task, so that its event follows the change of state."""

        def check():
            manifest, signed = self.manifests[build]
            try:
                self.store.assemble(manifest, signed)
                if not self.store.is_intact(manifest):
                    self.store.discard(build)
                    raise CorruptChunkError("its tree does not hold what the manifest says")
            except (CorruptChunkError, StoreFullError) as error:
                self.apply_event(build, "unsound", f"{error_name(error)}: {error}")
                return
            self.apply_event(build, "checked")
            yield from ()

        self.start_task(build, "check", check())

    def do_start(self, build):
        """Starts an instance of the build on a free port, and probes it.

        Its mark is written to the journal before the process starts, so that a crash in between leaves only
        an unused mark and never an unknown process.
        """
        manifest, _ = self.manifests.get(build) or self.load_manifest(build)
        used_ports = {p.port for p in self.processes.values()}
        for _ in range(PORTS_PER_HOST):
            self.port_offset = (self.port_offset + 1) % PORTS_PER_HOST
            if self.host.ports + self.port_offset not in used_ports:
                break
        port = self.host.ports + self.port_offset
        process = Process(
            build, process_mark(self.loop.kernel.random_seed(), self.host.folder, build, port), port
        )
        self.write_record({"begun": {"build": build, "mark": process.mark, "port": process.port}})
        substitutions = {
            "{port}": str(process.port),
            "{id}": self.instance_id(process),
            "{mark}": process.mark,
        }
        command = [substitutions.get(word, word) for word in manifest.entry]
        argv = [os.path.join(self.store.tree(build), command[0]), *command[1:]]
        try:
            process.child = self.loop.kernel.spawn(argv, self.path(f"output-{build}"), process.mark)
        except UnreachableError as error:
            self.schedule_event(build, 0, "exited")
            self.log.warning("instance could not be started", build=build, why=str(error))
            return
        process.started_at = self.loop.now()
        self.processes[build] = process
        self.do_probe(build)

    def load_manifest(self, build):
        """The stored (manifest, signed bytes) of a build that is in the store."""
        signed = self.store.manifest(build)
        self.manifests[build] = read_stored_manifest(signed), signed
        return self.manifests[build]

    def do_probe(self, build):
        """Probes the health path of the instance until it answers 200 or its time to start is over."""
        process = self.processes[build]
        manifest, _ = self.manifests.get(build) or self.load_manifest(build)

        def probe():
            deadline = self.loop.now() + self.settings.builds.ready_time
            health_call = RepeatedCall(self.loop, (self.host.address, process.port))
            try:
                while self.loop.now() < deadline:
                    try:
                        response = yield from health_call.attempt(
                            "GET", manifest.health, b"", CALL_TIMEOUT_US
                        )
                        if response.status == 200:
                            return self.apply_event(build, "ready")
                    except (*CALL_ERRORS, DeadlineExceededError):
                        pass
                    yield Sleep(POLL_INTERVAL_US)
            finally:
                health_call.close()
            self.apply_event(build, "late", "not ready in time")

        self.start_task(build, "probe", probe())

    def watch_processes(self):
        """A task: notices processes that have ended, and truncates output files that are too large."""
        while True:
            yield Sleep(POLL_INTERVAL_US)
            for build, process in list(self.processes.items()):
                if process.child.ended() is not None:
                    code = process.child.ended()
                    del self.processes[build]
                    self.cancel_task(build, "probe")
                    self.write_record({"ended": process.mark})
                    self.publish_state(build, process, "gone")
                    self.apply_event(build, "exited", f"ended with {code}")
                path = self.path(f"output-{build}")
                if (self.loop.kernel.file_size(path) or 0) > MAX_OUTPUT_BYTES:
                    self.loop.kernel.truncate(path, 0)

    def signal_process(self, build, name):
        """Signals all processes of the instance; where there is none, it counts as exited."""
        process = self.processes.get(build)
        if process is None:
            self.schedule_event(build, 0, "exited")
        else:
            process.child.signal_all(name)

    def do_stop(self, build):
        """Asks the instance to end."""
        self.signal_process(build, "TERM")

    def do_kill(self, build):
        """Kills the instance and ends its probe."""
        self.cancel_task(build, "probe")
        self.signal_process(build, "KILL")

    def do_wait_drained(self, build):
        """Bounds the drain. The drain time itself starts when the instance list accepts the state.

        See `publish_state`: otherwise the instance could end before any gateway knows, and requests would
        fail. An unreachable list does not delay a rollback for ever.
        """
        self.schedule_event(build, self.settings.release.drain_time + LIST_UPDATE_TIMEOUT_US, "drained")

    def do_wait_overdue(self, build):
        """Starts the timer after which an instance that does not end is killed."""
        self.schedule_event(build, self.settings.builds.stop_time, "overdue")

    def do_wait_steady(self, build):
        """Starts the timer after which earlier crashes no longer count."""
        self.schedule_event(build, STEADY_AFTER_US, "steady")

    def do_wait_rested(self, build):
        """Starts the timer of the backoff before a restart."""
        self.schedule_event(build, self.build_slots.slots[build].restart_delay(), "rested")
