"""The kernel of one simulated process: the same questions as `loop/kernel.py` answers, asked of a `World`."""

import errno
import os
import shlex
import sys

from cobaltpond.loop.errors import HandlesExhaustedError, RefusedError, UnreachableError
from cobaltpond.sim.datagrams import Datagrams
from cobaltpond.sim.disk import File, Folder
from cobaltpond.sim.network import Listener, Stream
from cobaltpond.sim.world import Process

WALL = 1_750_000_000_000_000  # what the calendar shows when a world begins, microseconds
START_LEAST, START_MOST = 5_000, 60_000  # from spawn to the first line of a program


class VirtualKernel:
    """`machine`: what processes share: world, network, disk, programs."""

    def __init__(self, machine, process: Process):
        self.machine, self.world, self.process = machine, machine.world, process
        self.network, self.disk = machine.network, machine.disk
        self.handles, self.ready, self.pending_signals, self.signal_handler = {}, {}, [], None
        self.files, self.locks, self.most = [], [], 1 << 30
        self.rate, self.here, self.there = 1.0, 0, 0  # its clock drifts from the world's: ahead by, since
        process.kernel = self

    # --- time and turns -------------------------------------------------------------------------------------

    def now(self) -> int:
        if self.rate == 1.0:
            return self.world.time + self.here
        return self.there + self.here + int((self.world.time - self.there) * self.rate)

    def world_time(self, at: int) -> int:
        if self.rate == 1.0:
            return at - self.here
        return self.there + -int(-(at - self.here - self.there) / self.rate // 1)

    def drift(self, rate: float) -> None:
        """From now on its clock runs so much faster or slower."""
        self.here, self.there, self.rate = self.now() - self.world.time, self.world.time, rate
        self.process.due = None
        self.process.schedule_turn()

    def random_seed(self) -> int:
        return self.process.chance.getrandbits(64)

    def poll(self, until):
        ready, self.ready = self.ready, {}
        told = [(handle, handle.readable(), handle.writable()) for handle in ready if not handle.closed]
        while self.pending_signals:
            self.signal_handler(self.pending_signals.pop(0))
        return told

    def run_loop(self, loop, main):
        return self.process.drive(loop, main)

    def freeze_memory(self) -> None:
        pass

    def on_signals(self, call) -> None:
        self.signal_handler = call

    def wall_clock(self) -> int:
        return WALL + self.world.time - self.world.begin

    # --- sockets --------------------------------------------------------------------------------------------

    def register_handle(self, handle) -> None:
        self.handles[handle] = True

    def unregister_handle(self, handle) -> None:
        self.handles.pop(handle, None)
        self.ready.pop(handle, None)

    def used_up(self) -> bool:
        return len(self.handles) >= self.most

    def listen(self, address, backlog=128) -> Listener:
        host, port = address
        if port == 0:
            port = self.network.free_port({a[1] for a in self.network.listeners})
        if (host, port) in self.network.listeners:
            raise UnreachableError(f"cannot listen at {host}:{port}: [Errno 98] Address already in use")
        self.world.record_event("listen", self.process.name, port)
        return Listener(self, (host, port), backlog)

    def dial(self, address) -> Stream:
        if self.used_up():
            raise HandlesExhaustedError("Too many open files")
        if self.process.code is not None:
            raise UnreachableError("the process has ended")
        stream = Stream(self)
        self.world.record_event("dial", self.process.name, address[1])
        self.network.syn(stream, tuple(address))
        return stream

    def open_datagrams(self, address) -> Datagrams:
        host, port = address
        if port == 0:
            port = self.network.free_port({a[1] for a in self.network.bound})
        if (host, port) in self.network.bound:
            raise OSError(errno.EADDRINUSE, "Address already in use")
        return Datagrams(self, (host, port))

    # --- processes ------------------------------------------------------------------------------------------

    def spawn(self, argv, output, mark="") -> "SimulatedChildProcess":
        words = self.script(argv) if argv[0] != sys.executable else argv
        name = os.path.basename(output).removesuffix(".log")
        if words[3:5] == ["standin", "solo"]:
            name = f"solo-{words[8]}"
        process = Process(self.world, name, words, mark, output)
        VirtualKernel(self.machine, process)
        self.world.record_event("spawn", name, process.pid)
        self.world.after(
            process.chance.randrange(START_LEAST, START_MOST), lambda: self.machine.start_program(process)
        )
        return SimulatedChildProcess(process)

    def script(self, argv) -> list:
        """A program of ours that a shell script in the store starts, or ends at once: all that builds here
        are."""
        file = self.disk.lookup(argv[0])
        if not isinstance(file, File):
            raise UnreachableError(f"{argv[0]}: [Errno 2] No such file or directory")
        lines = bytes(file.data).decode("latin-1").splitlines()
        if not lines or lines[0] != "#!/bin/sh":
            raise UnreachableError(f"{argv[0]}: [Errno 8] Exec format error")
        words = shlex.split(lines[1])
        given = {f"${n}": word for n, word in enumerate(argv)}
        return [given.get(word, word) for word in words[1:] if word] if words[0] == "exec" else words

    def adopt_process(self, mark) -> "SimulatedAdoptedProcess | None":
        for process in self.world.alive():
            if process.mark == mark and mark:
                return SimulatedAdoptedProcess(process)
        return None

    def marked_processes(self) -> list:
        return sorted((p.pid, p.mark) for p in self.world.alive() if p.mark)

    def command_lines(self) -> list:
        return [(p.pid, p.argv) for p in self.world.alive() if p is not self.process]

    def kill_process(self, pid) -> None:
        process = self.world.processes.get(pid)
        if process is not None:
            process.signal("KILL")

    def process_ended(self, killed: bool) -> None:
        """The process is gone: the system closes what it had open."""
        for file in self.files:
            file.process_ended(killed)
        for lock in self.locks:
            lock.close()
        for handle in list(self.handles):
            handle.reader = handle.writer = None
            handle.close()
        self.ready = {}

    # --- files ----------------------------------------------------------------------------------------------

    def is_ended(self) -> bool:
        """A task of a process that was killed, unwound: it has no effect any more."""
        return self.process.code is not None

    def read_file(self, path) -> bytes | None:
        found = self.disk.lookup(path)
        return bytes(found.data) if isinstance(found, File) else None

    def replace_file(self, path, data, sync=True) -> None:
        aside = f"{path}.new"
        if sync:
            self.write_file(aside, data)
            self.rename(aside, path)
            self.sync_folder(os.path.dirname(path))
        elif not self.is_ended():
            self.disk.write(aside, data, False)
            self.disk.rename(aside, path)

    def write_file(self, path, data, mode=0o644) -> None:
        if not self.is_ended():
            self.disk.write(path, data, True)

    def rename(self, path, to) -> None:
        if not self.is_ended():
            self.disk.rename(path, to)

    def sync_folder(self, path) -> None:
        if not self.is_ended():
            self.disk.sync_folder(path)

    def make_folder(self, path) -> None:
        if not self.is_ended():
            self.disk.make_folder(path)

    def list_folder(self, path) -> list[str]:
        found = self.disk.lookup(path)
        return sorted(found.entries) if isinstance(found, Folder) else []

    def remove(self, path) -> None:
        if not self.is_ended():
            self.disk.remove(path)

    def truncate(self, path, size) -> None:
        if not self.is_ended():
            file = self.disk.file(path)
            del file.data[size:]
            file.data.extend(bytes(size - len(file.data)))
            self.disk.sync(path, file)

    def file_size(self, path) -> int | None:
        found = self.disk.lookup(path)
        return len(found.data) if isinstance(found, File) else 4096 if found is not None else None

    def file_age(self, path) -> int:
        return max(0, self.world.time - self.disk.file(path).at)

    def touch(self, path) -> None:
        if not self.is_ended():
            self.disk.file(path).at = self.world.time

    def free_space(self, path) -> int:
        return 0 if self.disk.is_faulty(self.disk.full, path) else self.disk.space

    def lock_file(self, path) -> "FileLock":
        file = self.disk.create(path)
        holder = self.machine.held.get(id(file))
        if holder is not None:
            raise RefusedError(f"{path} is held by another process")
        return FileLock(self, file)

    def append_file(self, path) -> "SimulatedAppendFile":
        self.disk.create(path)
        return SimulatedAppendFile(self, path)


class FileLock:
    def __init__(self, kernel, file):
        self.held, self.file = kernel.machine.held, file
        self.held[id(file)] = self
        kernel.locks.append(self)

    def close(self) -> None:
        if self.held.get(id(self.file)) is self:
            del self.held[id(self.file)]


class SimulatedAppendFile:
    """Written bytes wait in the process; a flush gives them to the system, a sync to the disk."""

    def __init__(self, kernel, path):
        self.kernel, self.path, self.waiting = kernel, path, []
        self.file, self.size, self.closed = kernel.disk.file(path), 0, False
        kernel.files.append(self)

    def write(self, data: bytes) -> None:
        if self.kernel.is_ended():
            return
        self.waiting.append(data)
        self.size += len(data)
        if self.size > 1 << 16:
            self.flush()

    def flush(self) -> None:
        if self.waiting and not self.kernel.is_ended():
            data = b"".join(self.waiting)
            try:
                self.kernel.disk.check_space(self.path)
            except OSError:
                self.file.data += data[: len(data) // 2]
                raise
            self.file.data += data
            self.file.at = self.kernel.world.time
            self.waiting, self.size = [], 0

    def sync(self) -> None:
        self.flush()
        if not self.kernel.is_ended():
            self.kernel.disk.sync(self.path, self.file)

    def close(self) -> None:
        if not self.closed:
            self.flush()
            self.closed = True
            if self in self.kernel.files:
                self.kernel.files.remove(self)

    def process_ended(self, killed: bool) -> None:
        """What a process that ends by itself has written is flushed as its files are closed."""
        if not killed and self.waiting:
            self.file.data += b"".join(self.waiting)
        self.waiting, self.closed = [], True


class SimulatedChildProcess:
    def __init__(self, process: Process):
        self.process, self.pid = process, process.pid

    def ended(self) -> int | None:
        return self.process.code

    def signal(self, name: str) -> None:
        self.process.signal(name)

    signal_all = signal


class SimulatedAdoptedProcess:
    def __init__(self, process: Process):
        self.process, self.pid, self.mark = process, process.pid, process.mark

    def ended(self) -> int | None:
        return None if self.process.code is None else -1

    def signal_all(self, name: str) -> None:
        self.process.signal(name)
