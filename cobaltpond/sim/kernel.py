"""The kernel of one simulated process: the same questions as `loop/kernel.py` answers, asked of a `World`."""

import errno
import os
import shlex
import sys

from cobaltpond.loop.errors import HandlesUsedUp, Refused, Unreachable
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
        self.handles, self.ready, self.signalled, self.signal_call = {}, {}, [], None
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
        self.process.poke()

    def seed(self) -> int:
        return self.process.chance.getrandbits(64)

    def poll(self, until):
        ready, self.ready = self.ready, {}
        told = [(handle, handle.readable(), handle.writable()) for handle in ready if not handle.closed]
        while self.signalled:
            self.signal_call(self.signalled.pop(0))
        return told

    def drive(self, loop, main):
        return self.process.drive(loop, main)

    def settle(self) -> None:
        pass

    def on_signals(self, call) -> None:
        self.signal_call = call

    def wall(self) -> int:
        return WALL + self.world.time - self.world.begin

    # --- sockets --------------------------------------------------------------------------------------------

    def enter(self, handle) -> None:
        self.handles[handle] = True

    def leave(self, handle) -> None:
        self.handles.pop(handle, None)
        self.ready.pop(handle, None)

    def used_up(self) -> bool:
        return len(self.handles) >= self.most

    def listen(self, address, backlog=128) -> Listener:
        host, port = address
        if port == 0:
            port = self.network.free_port({a[1] for a in self.network.listeners})
        if (host, port) in self.network.listeners:
            raise Unreachable(f"cannot listen at {host}:{port}: [Errno 98] Address already in use")
        self.world.note("listen", self.process.name, port)
        return Listener(self, (host, port), backlog)

    def dial(self, address) -> Stream:
        if self.used_up():
            raise HandlesUsedUp("Too many open files")
        if self.process.code is not None:
            raise Unreachable("the process has ended")
        stream = Stream(self)
        self.world.note("dial", self.process.name, address[1])
        self.network.syn(stream, tuple(address))
        return stream

    def datagrams(self, address) -> Datagrams:
        host, port = address
        if port == 0:
            port = self.network.free_port({a[1] for a in self.network.bound})
        if (host, port) in self.network.bound:
            raise OSError(errno.EADDRINUSE, "Address already in use")
        return Datagrams(self, (host, port))

    # --- processes ------------------------------------------------------------------------------------------

    def spawn(self, argv, output, mark="") -> "Child":
        words = self.script(argv) if argv[0] != sys.executable else argv
        name = os.path.basename(output).removesuffix(".log")
        if words[3:5] == ["standin", "solo"]:
            name = f"solo-{words[8]}"
        process = Process(self.world, name, words, mark, output)
        VirtualKernel(self.machine, process)
        self.world.note("spawn", name, process.pid)
        self.world.after(
            process.chance.randrange(START_LEAST, START_MOST), lambda: self.machine.begin(process)
        )
        return Child(process)

    def script(self, argv) -> list:
        """A program of ours that a shell script in the store starts, or ends at once: all that builds here
        are."""
        file = self.disk.find(argv[0])
        if not isinstance(file, File):
            raise Unreachable(f"{argv[0]}: [Errno 2] No such file or directory")
        lines = bytes(file.data).decode("latin-1").splitlines()
        if not lines or lines[0] != "#!/bin/sh":
            raise Unreachable(f"{argv[0]}: [Errno 8] Exec format error")
        words = shlex.split(lines[1])
        given = {f"${n}": word for n, word in enumerate(argv)}
        return [given.get(word, word) for word in words[1:] if word] if words[0] == "exec" else words

    def adopt(self, mark) -> "Adopted | None":
        for process in self.world.alive():
            if process.mark == mark and mark:
                return Adopted(process)
        return None

    def marked(self) -> list:
        return sorted((p.pid, p.mark) for p in self.world.alive() if p.mark)

    def command_lines(self) -> list:
        return [(p.pid, p.argv) for p in self.world.alive() if p is not self.process]

    def kill(self, pid) -> None:
        process = self.world.processes.get(pid)
        if process is not None:
            process.signal("KILL")

    def end(self, killed: bool) -> None:
        """The process is gone: the system closes what it had open."""
        for file in self.files:
            file.gone(killed)
        for lock in self.locks:
            lock.close()
        for handle in list(self.handles):
            handle.reader = handle.writer = None
            handle.close()
        self.ready = {}

    # --- files ----------------------------------------------------------------------------------------------

    def dead(self) -> bool:
        """A task of a process that was killed, unwound: it has no effect any more."""
        return self.process.code is not None

    def read_file(self, path) -> bytes | None:
        found = self.disk.find(path)
        return bytes(found.data) if isinstance(found, File) else None

    def replace_file(self, path, data, sync=True) -> None:
        aside = f"{path}.new"
        if sync:
            self.write_file(aside, data)
            self.rename(aside, path)
            self.sync_folder(os.path.dirname(path))
        elif not self.dead():
            self.disk.write(aside, data, False)
            self.disk.rename(aside, path)

    def write_file(self, path, data, mode=0o644) -> None:
        if not self.dead():
            self.disk.write(path, data, True)

    def rename(self, path, to) -> None:
        if not self.dead():
            self.disk.rename(path, to)

    def sync_folder(self, path) -> None:
        if not self.dead():
            self.disk.sync_folder(path)

    def make_folder(self, path) -> None:
        if not self.dead():
            self.disk.make_folder(path)

    def list_folder(self, path) -> list[str]:
        found = self.disk.find(path)
        return sorted(found.entries) if isinstance(found, Folder) else []

    def remove(self, path) -> None:
        if not self.dead():
            self.disk.remove(path)

    def truncate(self, path, size) -> None:
        if not self.dead():
            file = self.disk.file(path)
            del file.data[size:]
            file.data.extend(bytes(size - len(file.data)))
            self.disk.sync(path, file)

    def size(self, path) -> int | None:
        found = self.disk.find(path)
        return len(found.data) if isinstance(found, File) else 4096 if found is not None else None

    def age(self, path) -> int:
        return max(0, self.world.time - self.disk.file(path).at)

    def touch(self, path) -> None:
        if not self.dead():
            self.disk.file(path).at = self.world.time

    def free_space(self, path) -> int:
        return 0 if self.disk.struck(self.disk.full, path) else self.disk.space

    def lock(self, path) -> "Lock":
        file = self.disk.create(path)
        holder = self.machine.held.get(id(file))
        if holder is not None:
            raise Refused(f"{path} is held by another process")
        return Lock(self, file)

    def append_file(self, path) -> "Appending":
        self.disk.create(path)
        return Appending(self, path)


class Lock:
    def __init__(self, kernel, file):
        self.held, self.file = kernel.machine.held, file
        self.held[id(file)] = self
        kernel.locks.append(self)

    def close(self) -> None:
        if self.held.get(id(self.file)) is self:
            del self.held[id(self.file)]


class Appending:
    """Written bytes wait in the process; a flush gives them to the system, a sync to the disk."""

    def __init__(self, kernel, path):
        self.kernel, self.path, self.waiting = kernel, path, []
        self.file, self.size, self.closed = kernel.disk.file(path), 0, False
        kernel.files.append(self)

    def write(self, data: bytes) -> None:
        if self.kernel.dead():
            return
        self.waiting.append(data)
        self.size += len(data)
        if self.size > 1 << 16:
            self.flush()

    def flush(self) -> None:
        if self.waiting and not self.kernel.dead():
            data = b"".join(self.waiting)
            try:
                self.kernel.disk.room(self.path)
            except OSError:
                self.file.data += data[: len(data) // 2]
                raise
            self.file.data += data
            self.file.at = self.kernel.world.time
            self.waiting, self.size = [], 0

    def sync(self) -> None:
        self.flush()
        if not self.kernel.dead():
            self.kernel.disk.sync(self.path, self.file)

    def close(self) -> None:
        if not self.closed:
            self.flush()
            self.closed = True
            if self in self.kernel.files:
                self.kernel.files.remove(self)

    def gone(self, killed: bool) -> None:
        """What a process that ends by itself has written is flushed as its files are closed."""
        if not killed and self.waiting:
            self.file.data += b"".join(self.waiting)
        self.waiting, self.closed = [], True


class Child:
    def __init__(self, process: Process):
        self.process, self.pid = process, process.pid

    def ended(self) -> int | None:
        return self.process.code

    def signal(self, name: str) -> None:
        self.process.signal(name)

    signal_all = signal


class Adopted:
    def __init__(self, process: Process):
        self.process, self.pid, self.mark = process, process.pid, process.mark

    def ended(self) -> int | None:
        return None if self.process.code is None else -1

    def signal_all(self, name: str) -> None:
        self.process.signal(name)
