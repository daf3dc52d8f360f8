"""The actions of an agent on its builds: fetch, check, start, probe, stop and the timers between them."""

import os

from cobaltpond.agent.process import PORTS_PER_HOST, Process
from cobaltpond.agent.process_marks import process_mark
from cobaltpond.agent.registration import CALL_TIME
from cobaltpond.builds.fetch import FetchError
from cobaltpond.builds.manifest import MAX_MANIFEST_BYTES, ManifestError, read_manifest, read_stored_manifest
from cobaltpond.builds.store import CorruptChunkError, StoreFullError
from cobaltpond.loop import Deadline, DeadlineExceededError, Sleep, UnreachableError
from cobaltpond.loop.errors import error_name
from cobaltpond.rpc import CALL_ERRORS, call

LOOK = 40_000  # how often processes are looked at
OUTPUT = 1 << 20  # bytes kept of what an instance prints
LIST_PATIENCE = 5_000_000  # how long a drain waits for the list to hear of it
STEADY = 10_000_000  # up for so long, crashes before are forgiven


class Actions:
    """A part of `main.Agent`, which has the state; `states.py` says which action is due."""

    def event(self, build, event, why=""):
        slot = self.place.slots.get(build)
        before = slot.state if slot else "none"
        actions = self.place.handle_event(build, event, why)
        after = self.place.slots[build].state if build in self.place.slots else "absent"
        if after != before:
            self.log.info("build", build=build, after=event, state=after, why=why)
        self.act(actions)

    def act(self, actions):
        for build, action in actions:
            getattr(self, "do_" + action.replace(" ", "_"))(build)

    def task(self, build, name, generator):
        """One task of a kind for each build; a new one takes the place of the old."""
        self.leave(build, name)
        self.tasks[build, name] = self.loop.spawn(generator, f"{name}-{build}")

    def leave(self, build, name):
        task = self.tasks.pop((build, name), None)
        if task is not None:
            task.cancel()

    def after(self, build, delay, event):
        def wait():
            yield Sleep(delay)
            self.event(build, event)

        self.task(build, event, wait())

    def do_fetch(self, build):
        self.task(build, "fetch", self.fetch(build))

    def do_leave_fetch(self, build):
        self.leave(build, "fetch")

    def fetch(self, build):
        """What is here whole is not fetched again: a take-back needs no source."""
        try:
            if build in self.store.builds():
                self.remember(build)
            else:
                signed = yield from self.fetcher.fetch_manifest(build, MAX_MANIFEST_BYTES)
                now = self.loop.kernel.wall_clock() // 1_000_000
                manifest = read_manifest(
                    signed, self.ring, now, ordered=build, most_size=self.settings.builds.most
                )
                self.manifests[build] = manifest, signed
                yield from self.fetcher.fetch_chunks(manifest)
        except Exception as trouble:  # whatever it is, the build is not here, and that must show
            if not isinstance(trouble, FetchError | ManifestError | StoreFullError):
                self.log.error("fetch failed", build=build, exc_info=True)
            self.event(build, "unfetched", f"{error_name(trouble)}: {trouble}")
            return
        self.event(build, "fetched")

    def do_check(self, build):
        """In a task of its own, so that the event comes after the state has changed."""

        def check():
            manifest, signed = self.manifests[build]
            try:
                self.store.assemble(manifest, signed)
                if not self.store.is_intact(manifest):
                    self.store.discard(build)
                    raise CorruptChunkError("its tree does not hold what the manifest says")
            except (CorruptChunkError, StoreFullError) as trouble:
                self.event(build, "unsound", f"{error_name(trouble)}: {trouble}")
                return
            self.event(build, "checked")
            yield from ()

        self.task(build, "check", check())

    def do_start(self, build):
        """The mark is on disk before the process is: a crash between the two leaves a mark that nobody
        carries."""
        manifest, _ = self.manifests.get(build) or self.remember(build)
        taken = {p.port for p in self.processes.values()}
        for _ in range(PORTS_PER_HOST):
            self.port = (self.port + 1) % PORTS_PER_HOST
            if self.host.ports + self.port not in taken:
                break
        port = self.host.ports + self.port
        process = Process(
            build, process_mark(self.loop.kernel.random_seed(), self.host.folder, build, port), port
        )
        self.note({"begun": {"build": build, "mark": process.mark, "port": process.port}})
        told = {"{port}": str(process.port), "{id}": self.name_of(process), "{mark}": process.mark}
        words = [told.get(word, word) for word in manifest.entry]
        argv = [os.path.join(self.store.tree(build), words[0]), *words[1:]]
        try:
            process.child = self.loop.kernel.spawn(argv, self.path(f"output-{build}"), process.mark)
        except UnreachableError as trouble:
            self.after(build, 0, "exited")
            self.log.warning("not started", build=build, why=str(trouble))
            return
        process.began = self.loop.now()
        self.processes[build] = process
        self.do_probe(build)

    def remember(self, build):
        signed = self.store.manifest(build)
        self.manifests[build] = read_stored_manifest(signed), signed
        return self.manifests[build]

    def do_probe(self, build):
        process = self.processes[build]
        manifest, _ = self.manifests.get(build) or self.remember(build)

        def probe():
            end = self.loop.now() + self.settings.builds.ready_time
            while self.loop.now() < end:
                try:
                    with Deadline(self.loop, CALL_TIME):
                        status, _ = yield from call(
                            self.loop,
                            (self.host.address, process.port),
                            "GET",
                            manifest.health,
                            b"",
                            CALL_TIME,
                        )
                    if status == 200:
                        return self.event(build, "ready")
                except (*CALL_ERRORS, DeadlineExceededError):
                    pass
                yield Sleep(LOOK)
            self.event(build, "late", "not ready in time")

        self.task(build, "probe", probe())

    def watch(self):
        """Looks after processes: their ends, and how much they print."""
        while True:
            yield Sleep(LOOK)
            for build, process in list(self.processes.items()):
                if process.child.ended() is not None:
                    code = process.child.ended()
                    del self.processes[build]
                    self.leave(build, "probe")
                    self.note({"ended": process.mark})
                    self.tell_list(build, process, "gone")
                    self.event(build, "exited", f"ended with {code}")
                path = self.path(f"output-{build}")
                if (self.loop.kernel.file_size(path) or 0) > OUTPUT:
                    self.loop.kernel.truncate(path, 0)

    def signal(self, build, name):
        process = self.processes.get(build)
        if process is None:
            self.after(build, 0, "exited")
        else:
            process.child.signal_all(name)

    def do_stop(self, build):
        self.signal(build, "TERM")

    def do_kill(self, build):
        self.leave(build, "probe")
        self.signal(build, "KILL")

    def do_wait_drained(self, build):
        """The drain begins when the list has heard of it, see `tell_list`: guards against an instance that is
        ended before any gateway can know. A list that stays out of reach does not hold a take-back for
        ever."""
        self.after(build, self.settings.release.drain_time + LIST_PATIENCE, "drained")

    def do_wait_overdue(self, build):
        self.after(build, self.settings.builds.stop_time, "overdue")

    def do_wait_steady(self, build):
        self.after(build, STEADY, "steady")

    def do_wait_rested(self, build):
        self.after(build, self.place.slots[build].restart_delay(), "rested")
