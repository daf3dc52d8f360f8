"""The kernel of one simulated process: the interface of `loop/kernel.py` on top of a simulated machine."""

import errno
import os
import shlex
import sys

from cobaltpond.loop.errors import HandlesExhaustedError, RefusedError, UnreachableError
from cobaltpond.sim.datagrams import Datagrams
from cobaltpond.sim.disk import File, Folder
from cobaltpond.sim.network import Listener, Stream
from cobaltpond.sim.world import Process

WALL_CLOCK_START_US = 1_750_000_000_000_000  # wall clock at the begin of every world, since the epoch
# Range of the time from a spawn to the first line of the program.
MIN_START_DELAY_US, MAX_START_DELAY_US = 5_000, 60_000


class VirtualKernel:
    """The kernel of one process on a `Machine`; `max_handles` limits its open sockets."""

    def __init__(self, machine, process: Process):
        self.machine, self.world, self.process = machine, machine.world, process
        self.network, self.disk = machine.network, machine.disk
        self.handles, self.ready, self.pending_signals, self.signal_handler = {}, {}, [], None
        self.files, self.locks, self.max_handles = [], [], 1 << 30
        # The drift of the clock from the world's: its rate, how far it is ahead (`here`), and since when.
        self.clock_rate, self.here, self.drift_start = 1.0, 0, 0
        process.kernel = self

    # --- time and turns -------------------------------------------------------------------------------------

    def now(self) -> int:
        """Return the process's monotonic clock in microseconds."""
        if self.clock_rate == 1.0:
            return self.world.time + self.here
        return self.drift_start + self.here + int((self.world.time - self.drift_start) * self.clock_rate)

    def world_time(self, at: int) -> int:
        """Return when the process's clock reaches `at`, in microseconds of the world's clock."""
        if self.clock_rate == 1.0:
            return at - self.here
        return self.drift_start + -int(-(at - self.here - self.drift_start) / self.clock_rate // 1)

    def drift(self, clock_rate: float) -> None:
        """Let the process's clock run at `clock_rate` times the world's from now on."""
        self.here, self.drift_start, self.clock_rate = (
            self.now() - self.world.time,
            self.world.time,
            clock_rate,
        )
        self.process.scheduled_turn = None
        self.process.schedule_turn()

    def random_seed(self) -> int:
        """Return 64 random bits from the process's stream."""
        return self.process.rng.getrandbits(64)

    def poll(self, until):
        """Return (handle, readable, writable) of each handle that became ready; handle pending signals."""
        ready, self.ready = self.ready, {}
        ready_events = [
            (handle, handle.readable(), handle.writable()) for handle in ready if not handle.closed
        ]
        while self.pending_signals:
            self.signal_handler(self.pending_signals.pop(0))
        return ready_events

    def run_loop(self, loop, main):
        """Hand the loop over to the process, which runs it turn by turn."""
        return self.process.drive(loop, main)

    def freeze_memory(self) -> None:
        """Do nothing: only a real process has a garbage collector to tune."""
        pass

    def memory_used(self) -> int:
        """Return 0: memory is not simulated."""
        return 0

    def on_signals(self, call) -> None:
        """Set the function that is called with the name of each signal."""
        self.signal_handler = call

    def wall_clock(self) -> int:
        """Return microseconds since the epoch; it starts at the same moment in every world."""
        return WALL_CLOCK_START_US + self.world.time - self.world.begin

    # --- sockets --------------------------------------------------------------------------------------------

    def register_handle(self, handle) -> None:
        """Count a handle as open."""
        self.handles[handle] = True

    def unregister_handle(self, handle) -> None:
        """Forget a closed handle."""
        self.handles.pop(handle, None)
        self.ready.pop(handle, None)

    def has_no_free_handle(self) -> bool:
        """Return whether the limit of open handles is reached."""
        return len(self.handles) >= self.max_handles

    def listen(self, address, backlog=128) -> Listener:
        """Return a listener at (host, port), a free port for 0. Raises UnreachableError where it is taken."""
        host, port = address
        if port == 0:
            port = self.network.free_port({a[1] for a in self.network.listeners})
        if (host, port) in self.network.listeners:
            raise UnreachableError(f"cannot listen at {host}:{port}: [Errno 98] Address already in use")
        self.world.record_event("listen", self.process.name, port)
        return Listener(self, (host, port), backlog)

    def dial(self, address) -> Stream:
        """Return a stream that is connecting. Raises HandlesExhaustedError and UnreachableError."""
        if self.has_no_free_handle():
            raise HandlesExhaustedError("Too many open files")
        if self.process.code is not None:
            raise UnreachableError("the process has ended")
        stream = Stream(self)
        self.world.record_event("dial", self.process.name, address[1])
        self.network.send_syn(stream, tuple(address))
        return stream

    def open_datagrams(self, address) -> Datagrams:
        """Return a datagram socket at (host, port), a free port for 0. Raises OSError where it is taken."""
        host, port = address
        if port == 0:
            port = self.network.free_port({a[1] for a in self.network.datagram_sockets})
        if (host, port) in self.network.datagram_sockets:
            raise OSError(errno.EADDRINUSE, "Address already in use")
        return Datagrams(self, (host, port))

    # --- processes ------------------------------------------------------------------------------------------

    def spawn(self, argv, output, mark="") -> "SimulatedChildProcess":
        """Start a program after a random delay; `mark` identifies the process for a later adoption.

        The process is named after its log file `output`, or after the place of a single instance.
        """
        command = self.resolve_command(argv) if argv[0] != sys.executable else argv
        name = os.path.basename(output).removesuffix(".log")
        if command[3:5] == ["standin", "solo"]:
            name = f"solo-{command[8]}"
        process = Process(self.world, name, command, mark, output)
        VirtualKernel(self.machine, process)
        self.world.record_event("spawn", name, process.pid)
        self.world.after(
            process.rng.randrange(MIN_START_DELAY_US, MAX_START_DELAY_US),
            lambda: self.machine.start_program(process),
        )
        return SimulatedChildProcess(process)

    def resolve_command(self, argv) -> list:
        """Return the arguments of the program that a shell script in the store starts.

        Every build in a simulation is such a script: its second line is `exec` and a command of this
        project, or a command that ends at once. Raises UnreachableError where the file is missing or no
        script.
        """
        file = self.disk.lookup(argv[0])
        if not isinstance(file, File):
            raise UnreachableError(f"{argv[0]}: [Errno 2] No such file or directory")
        lines = bytes(file.data).decode("latin-1").splitlines()
        if not lines or lines[0] != "#!/bin/sh":
            raise UnreachableError(f"{argv[0]}: [Errno 8] Exec format error")
        command = shlex.split(lines[1])
        positional_arguments = {f"${n}": word for n, word in enumerate(argv)}
        return (
            [positional_arguments.get(word, word) for word in command[1:] if word]
            if command[0] == "exec"
            else command
        )

    def adopt_process(self, mark) -> "SimulatedAdoptedProcess | None":
        """Return the running process with a mark, or None."""
        for process in self.world.alive():
            if process.mark == mark and mark:
                return SimulatedAdoptedProcess(process)
        return None

    def marked_processes(self) -> list:
        """Return (pid, mark) of each running process that has a mark."""
        return sorted((p.pid, p.mark) for p in self.world.alive() if p.mark)

    def command_lines(self) -> list:
        """Return (pid, arguments) of each other running process."""
        return [(p.pid, p.argv) for p in self.world.alive() if p is not self.process]

    def kill_process(self, pid) -> None:
        """Kill a process; an unknown pid is ignored."""
        process = self.world.processes.get(pid)
        if process is not None:
            process.signal("KILL")

    def process_ended(self, killed: bool) -> None:
        """Close what the process had open, as an operating system does at its exit."""
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
        """Return whether the process has exited.

        The tasks of a killed process are still unwound; what they do to files then has no effect.
        """
        return self.process.code is not None

    def read_file(self, path) -> bytes | None:
        """Return a file's bytes, or None where there is no such file."""
        found = self.disk.lookup(path)
        return bytes(found.data) if isinstance(found, File) else None

    def replace_file(self, path, data, sync=True) -> None:
        """Replace a file atomically; it is durable on return where `sync`. Raises OSError."""
        temporary_path = f"{path}.new"
        if sync:
            self.write_file(temporary_path, data)
            self.rename(temporary_path, path)
            self.sync_folder(os.path.dirname(path))
        elif not self.is_ended():
            self.disk.write(temporary_path, data, False)
            self.disk.rename(temporary_path, path)

    def write_file(self, path, data, mode=0o644) -> None:
        """Write and sync a file. Raises OSError."""
        if not self.is_ended():
            self.disk.write(path, data, True)

    def rename(self, path, to) -> None:
        """Move a file or folder. Raises OSError."""
        if not self.is_ended():
            self.disk.rename(path, to)

    def sync_folder(self, path) -> None:
        """Make the names in a folder durable. Raises OSError."""
        if not self.is_ended():
            self.disk.sync_folder(path)

    def make_folder(self, path) -> None:
        """Create a folder and the missing ones above it. Raises OSError."""
        if not self.is_ended():
            self.disk.make_folder(path)

    def list_folder(self, path) -> list[str]:
        """Return the sorted names in a folder; none where it does not exist."""
        found = self.disk.lookup(path)
        return sorted(found.entries) if isinstance(found, Folder) else []

    def remove(self, path) -> None:
        """Remove a file or folder; a path that does not exist is ignored."""
        if not self.is_ended():
            self.disk.remove(path)

    def truncate(self, path, size) -> None:
        """Cut or extend a file to a number of bytes and sync it. Raises OSError."""
        if not self.is_ended():
            file = self.disk.file(path)
            del file.data[size:]
            file.data.extend(bytes(size - len(file.data)))
            self.disk.sync(path, file)

    def file_size(self, path) -> int | None:
        """Return the size of a file or folder in bytes, or None where there is none."""
        found = self.disk.lookup(path)
        return len(found.data) if isinstance(found, File) else 4096 if found is not None else None

    def file_age(self, path) -> int:
        """Return microseconds since a file was last written. Raises FileNotFoundError."""
        return max(0, self.world.time - self.disk.file(path).modified_at)

    def touch(self, path) -> None:
        """Set a file's time of modification to now. Raises FileNotFoundError."""
        if not self.is_ended():
            self.disk.file(path).modified_at = self.world.time

    def free_space(self, path) -> int:
        """Return the free bytes at a path; 0 while a fault fills the disk there."""
        return 0 if self.disk.is_faulty(self.disk.full_folders, path) else self.disk.free_bytes

    def lock_file(self, path) -> "FileLock":
        """Lock a file, created where missing. Raises RefusedError where another process holds it."""
        file = self.disk.create(path)
        holder = self.machine.file_locks.get(id(file))
        if holder is not None:
            raise RefusedError(f"{path} is held by another process")
        return FileLock(self, file)

    def append_file(self, path) -> "SimulatedAppendFile":
        """Open a file for appending, created where it does not exist."""
        self.disk.create(path)
        return SimulatedAppendFile(self, path)


class FileLock:
    """An exclusive lock on a file, held until it is closed or its process ends."""

    def __init__(self, kernel, file):
        self.file_locks, self.file = kernel.machine.file_locks, file
        self.file_locks[id(file)] = self
        kernel.locks.append(self)

    def close(self) -> None:
        """Release the lock."""
        if self.file_locks.get(id(self.file)) is self:
            del self.file_locks[id(self.file)]


class SimulatedAppendFile:
    """A file open for appending: a flush passes buffered bytes to the system, a sync to the disk."""

    def __init__(self, kernel, path):
        self.kernel, self.path, self.buffered = kernel, path, []
        self.file, self.size, self.closed = kernel.disk.file(path), 0, False
        kernel.files.append(self)

    def write(self, data: bytes) -> None:
        """Buffer bytes, and flush once there are more than 64 KiB."""
        if self.kernel.is_ended():
            return
        self.buffered.append(data)
        self.size += len(data)
        if self.size > 1 << 16:
            self.flush()

    def flush(self) -> None:
        """Pass the buffered bytes to the system. Raises OSError; on a full disk half of them are written."""
        if self.buffered and not self.kernel.is_ended():
            data = b"".join(self.buffered)
            try:
                self.kernel.disk.check_space(self.path)
            except OSError:
                self.file.data += data[: len(data) // 2]
                raise
            self.file.data += data
            self.file.modified_at = self.kernel.world.time
            self.buffered, self.size = [], 0

    def sync(self) -> None:
        """Flush, and make the bytes durable. Raises OSError."""
        self.flush()
        if not self.kernel.is_ended():
            self.kernel.disk.sync(self.path, self.file)

    def close(self) -> None:
        """Flush and close the file. Raises OSError."""
        if not self.closed:
            self.flush()
            self.closed = True
            if self in self.kernel.files:
                self.kernel.files.remove(self)

    def process_ended(self, killed: bool) -> None:
        """Drop the buffered bytes of a killed process; an exit without a signal flushes them."""
        if not killed and self.buffered:
            self.file.data += b"".join(self.buffered)
        self.buffered, self.closed = [], True


class SimulatedChildProcess:
    """A process that this one has spawned."""

    def __init__(self, process: Process):
        self.process, self.pid = process, process.pid

    def ended(self) -> int | None:
        """Return the exit code, None while it runs."""
        return self.process.code

    def signal(self, name: str) -> None:
        """Send a signal, such as "TERM"."""
        self.process.signal(name)

    signal_all = signal


class SimulatedAdoptedProcess:
    """A running process that an earlier start of this program has spawned."""

    def __init__(self, process: Process):
        self.process, self.pid, self.mark = process, process.pid, process.mark

    def ended(self) -> int | None:
        """Return None while it runs, then -1: only a parent learns the exit code."""
        return None if self.process.code is None else -1

    def signal_all(self, name: str) -> None:
        """Send a signal, such as "TERM"."""
        self.process.signal(name)
