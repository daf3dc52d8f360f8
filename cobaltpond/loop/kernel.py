"""The kernel of a real process, on epoll; `kernel_interface.py` describes the contract of all kernels."""

import errno
import fcntl
import gc
import os
import select
import signal
import socket
import time

from cobaltpond.loop.children import (
    MARK_VARIABLE,
    AdoptedProcess,
    ChildProcess,
    find_marked_processes,
    has_mark,
)
from cobaltpond.loop.errors import RefusedError, UnreachableError, translate_open_error, translate_os_error
from cobaltpond.loop.sockets import Datagrams, Handle, Listener, Stream, open_stream, set_no_delay

READ_EVENTS, WRITE_EVENTS = select.EPOLLIN | select.EPOLLRDHUP, select.EPOLLOUT
ERROR_EVENTS = select.EPOLLERR | select.EPOLLHUP
PEER_FINISHED_EVENTS = select.EPOLLRDHUP | ERROR_EVENTS


class AppendFile:
    """A file that is only appended to, buffered in this process."""

    def __init__(self, path: str):
        self.file = open(path, "ab", buffering=1 << 16)

    def write(self, data: bytes) -> None:
        """Appends to the buffer, which is written out when it is full."""
        self.file.write(data)

    def flush(self) -> None:
        """Writes the buffer to the operating system; the data may not be on disk yet."""
        self.file.flush()

    def sync(self) -> None:
        """Writes the buffer out and waits until the data is on disk (fsync)."""
        self.file.flush()
        os.fsync(self.file.fileno())

    def close(self) -> None:
        """Writes the buffer out and closes the file; calling it again does nothing."""
        self.file.close()


class EpollKernel:
    """The kernel of a real process: epoll, sockets, the file system and child processes."""

    def __init__(self):
        self.epoll, self.handles, self.wake_fd = select.epoll(), {}, None
        self.signal_handler, self.pending_signals = None, []

    def now(self) -> int:
        """Returns the monotonic time in microseconds."""
        return time.monotonic_ns() // 1000

    def random_seed(self) -> int:
        """Returns 64 random bits of the operating system as an integer."""
        return int.from_bytes(os.urandom(8), "big")

    def register_handle(self, handle: Handle) -> None:
        """Adds a handle to the epoll set, edge-triggered for reading and writing."""
        descriptor = handle.sock.fileno()
        self.handles[descriptor] = handle
        self.epoll.register(descriptor, READ_EVENTS | WRITE_EVENTS | select.EPOLLET)

    def unregister_handle(self, handle: Handle) -> None:
        """Removes a handle from the epoll set; does nothing if it is not in it."""
        descriptor = handle.sock.fileno()
        self.handles.pop(descriptor, None)
        try:
            self.epoll.unregister(descriptor)
        except (OSError, ValueError):
            pass

    def poll(self, until: int | None) -> list[tuple[Handle, bool, bool]]:
        """Waits until a handle is ready or the time has come (None: without limit), and calls the signal
        handler for the signals that have arrived. Errors and hang-ups are reported as readable and
        writable.
        """
        timeout_s = -1 if until is None else max(0, until - self.now()) / 1e6
        ready = []
        for descriptor, mask in self.epoll.poll(timeout_s):
            if descriptor == self.wake_fd:
                os.read(descriptor, 4096)
                continue
            handle = self.handles.get(descriptor)
            if handle is not None:
                handle.peer_finished = handle.peer_finished or bool(mask & PEER_FINISHED_EVENTS)
                ready.append(
                    (
                        handle,
                        bool(mask & (READ_EVENTS | ERROR_EVENTS)),
                        bool(mask & (WRITE_EVENTS | ERROR_EVENTS)),
                    )
                )
        while self.pending_signals:
            self.signal_handler(self.pending_signals.pop(0))
        return ready

    def run_loop(self, loop, main):
        """Runs the loop until the main task has ended, then cancels the remaining tasks. Returns the
        result of the main task or raises its error.
        """
        try:
            return loop.run(main)
        finally:
            loop.close()

    def freeze_memory(self) -> None:
        """Collects garbage once and excludes the objects that remain from later collections."""
        gc.collect()
        gc.freeze()

    def memory_used(self) -> int:
        """Returns the bytes of anonymous memory of this process; 0 where the system does not tell
        (proc(5), statm).
        """
        try:
            with open("/proc/self/statm", "rb") as file:
                resident, shared = file.read().split()[1:3]
        except (OSError, ValueError):
            return 0
        return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE")

    def listen(self, address, backlog=128) -> Listener:
        """Opens a listening TCP socket. Raises UnreachableError where the address cannot be used, and
        HandlesExhaustedError where the system refuses for the moment.
        """
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(tuple(address))
            sock.listen(backlog)
            return Listener(self, sock)
        except OSError as error:
            if sock is not None:
                sock.close()
            raise translate_open_error(error, f"cannot listen at {address[0]}:{address[1]}") from None

    def dial(self, address) -> Stream:
        """Starts a TCP connection: wait until the stream is writable, then call `connected`. Raises an
        error of `errors.py` where it fails at once.
        """
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as error:
            raise translate_os_error(error) from None
        set_no_delay(sock)
        code = sock.connect_ex(tuple(address))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise translate_os_error(OSError(code, os.strerror(code)))
        return open_stream(self, sock)

    def open_datagrams(self, address) -> Datagrams:
        """Opens a UDP socket that is bound to the address. Raises UnreachableError where the address cannot
        be used, and HandlesExhaustedError where the system refuses for the moment.
        """
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(tuple(address))
            return Datagrams(self, sock)
        except OSError as error:
            if sock is not None:
                sock.close()
            raise translate_open_error(error, f"cannot bind {address[0]}:{address[1]}") from None

    def spawn(self, argv, output, mark="") -> ChildProcess:
        """Starts a process that leads its own session and process group; its output is appended to a file.
        A mark lets a later run of this program find it again, see `adopt_process`. Raises
        UnreachableError where it cannot start.
        """
        import subprocess  # imported here: the `run` command loads this module and may start no process

        try:
            with open(output, "ab") as output_file:
                return ChildProcess(
                    subprocess.Popen(
                        argv,
                        stdin=subprocess.DEVNULL,
                        stdout=output_file,
                        stderr=output_file,
                        start_new_session=True,
                        env={**os.environ, MARK_VARIABLE: mark},
                    )
                )
        except OSError as error:
            raise UnreachableError(f"{argv[0]}: {error}") from None

    def adopt_process(self, mark) -> AdoptedProcess | None:
        """Returns the running process that was started with this mark, or None."""
        for name in os.listdir("/proc"):
            if name.isdigit() and has_mark(int(name), mark):
                return AdoptedProcess(int(name), mark)
        return None

    def marked_processes(self) -> list[tuple[int, str]]:
        """Returns (pid, mark) of every running process that was started with a mark and leads its group."""
        return find_marked_processes()

    def command_lines(self) -> list[tuple[int, list[str]]]:
        """Returns (pid, arguments) of every other process whose command line is readable."""
        found = []
        for name in os.listdir("/proc"):
            if name.isdigit() and int(name) != os.getpid():
                try:
                    with open(f"/proc/{name}/cmdline", "rb") as file:
                        found.append((int(name), file.read().decode("latin-1").split("\0")))
                except OSError:
                    continue
        return found

    def kill_process(self, pid) -> None:
        """Sends SIGKILL; does nothing where there is no such process."""
        try:
            os.kill(pid, signal.SIGKILL)
        except ProcessLookupError:
            pass

    def on_signals(self, handler) -> None:
        """Registers `handler(name)`, which `poll` calls after SIGTERM, SIGINT or SIGHUP has arrived; a
        pipe in the epoll set wakes the loop.
        """
        read, write = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.wake_fd, self.signal_handler = read, handler
        self.epoll.register(read, select.EPOLLIN)
        for name in ("TERM", "INT", "HUP"):
            signal.signal(
                getattr(signal, f"SIG{name}"), lambda *_, name=name: self.pending_signals.append(name)
            )
        signal.set_wakeup_fd(write, warn_on_full_buffer=False)

    def environment_variable(self, name) -> str | None:
        """Returns a variable of the environment that the process was started with, or None."""
        return os.environ.get(name)

    def read_file(self, path) -> bytes | None:
        """Returns the content of a file, or None where there is none."""
        try:
            with open(path, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def replace_file(self, path, data, sync=True) -> None:
        """Replaces a file atomically: writes a temporary file beside it, syncs it, renames it over the old
        one and syncs the folder (rename(2)). Without `sync` the two syncs are left out.
        """
        temporary_path = f"{path}.new"
        if sync:
            self.write_file(temporary_path, data)
            self.rename(temporary_path, path)
            self.sync_folder(os.path.dirname(os.path.abspath(path)))
        else:
            with open(temporary_path, "wb") as file:
                file.write(data)
            os.replace(temporary_path, path)

    def write_file(self, path, data, mode=0o644) -> None:
        """Writes a file and syncs its content; its directory entry is durable only after `sync_folder`."""
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
        with open(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def rename(self, path, to) -> None:
        """Renames a file or folder; a file or an empty folder at the new path is replaced."""
        os.replace(path, to)

    def sync_folder(self, path) -> None:
        """Makes the entries of a folder durable (fsync)."""
        folder = os.open(path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def make_folder(self, path) -> None:
        """Creates a folder and its parents where they are missing."""
        os.makedirs(path, exist_ok=True)

    def list_folder(self, path) -> list[str]:
        """Returns the sorted names in a folder; an empty list where there is no such folder."""
        try:
            return sorted(os.listdir(path))
        except FileNotFoundError:
            return []

    def remove(self, path) -> None:
        """Removes a file, or a folder with its content; does nothing where there is none."""
        if os.path.isdir(path) and not os.path.islink(path):
            import shutil  # imported here for the same reason as subprocess in `spawn`

            shutil.rmtree(path)
        elif os.path.lexists(path):
            os.remove(path)

    def truncate(self, path, size) -> None:
        """Cuts a file to `size` bytes and syncs it."""
        with open(path, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def file_size(self, path) -> int | None:
        """Returns the size in bytes, or None where there is no such file."""
        try:
            return os.stat(path).st_size
        except FileNotFoundError:
            return None

    def file_age(self, path) -> int:
        """Returns the microseconds since the file was last written or touched."""
        return max(0, self.wall_clock() - os.stat(path).st_mtime_ns // 1000)

    def touch(self, path) -> None:
        """Sets the modification time of a file to now."""
        os.utime(path)

    def free_space(self, path) -> int:
        """Returns the bytes that an unprivileged user may still write to the file system of the path."""
        stats = os.statvfs(path)
        return stats.f_bavail * stats.f_frsize

    def lock_file(self, path):
        """Locks a file for this process until the returned object is closed. Raises RefusedError where
        another process holds the lock.
        """
        file = open(path, "ab")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            raise RefusedError(f"{path} is held by another process") from None
        return file

    def wall_clock(self) -> int:
        """Returns microseconds since the Unix epoch. The clock may jump: it serves only for expiry and
        file ages.
        """
        return time.time_ns() // 1000

    def append_file(self, path) -> AppendFile:
        """Opens a file for appending."""
        return AppendFile(path)
