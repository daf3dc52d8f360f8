"""The seam to the operating system. All that the program reads, waits for or changes outside itself goes
through a `Kernel`; another kernel (a virtual clock with seeded faults) can take its place unseen.

Handles are non-blocking: an operation that cannot go on now returns None, one that never will raises one of
the errors below. `poll` reports a handle once each time that it becomes ready (edge-triggered, epoll(7)):
whoever was told None must wait for the next report; whoever has not tried yet must try first.
"""

import errno
import fcntl
import gc
import os
import select
import signal
import socket
import time
from typing import Protocol

from cobaltpond.loop.children import MARK, AdoptedProcess, ChildProcess, has_mark, marked
from cobaltpond.loop.errors import RefusedError, UnreachableError, translate_os_error
from cobaltpond.loop.sockets import Datagrams, Handle, Listener, Stream

READ, WRITE = select.EPOLLIN | select.EPOLLRDHUP, select.EPOLLOUT
BROKEN = select.EPOLLERR | select.EPOLLHUP


class Kernel(Protocol):
    """What the program asks of the world. Times are whole microseconds of a clock that never goes back."""

    def now(self) -> int: ...
    def random_seed(self) -> int: ...
    def poll(self, until: int | None) -> list: ...
    def run_loop(self, loop, main): ...
    def freeze_memory(self) -> None: ...
    def listen(self, address: tuple[str, int], backlog: int): ...
    def dial(self, address: tuple[str, int]): ...
    def open_datagrams(self, address: tuple[str, int]): ...
    def spawn(self, argv: list[str], output: str, mark: str = ""): ...
    def adopt_process(self, mark: str): ...
    def marked_processes(self) -> list[tuple[int, str]]: ...
    def command_lines(self) -> list[tuple[int, list[str]]]: ...
    def kill_process(self, pid: int) -> None: ...
    def on_signals(self, call) -> None: ...
    def read_file(self, path: str) -> bytes | None: ...
    def replace_file(self, path: str, data: bytes, sync: bool = True) -> None: ...
    def append_file(self, path: str): ...
    def write_file(self, path: str, data: bytes, mode: int = 0o644) -> None: ...
    def rename(self, path: str, to: str) -> None: ...
    def sync_folder(self, path: str) -> None: ...
    def make_folder(self, path: str) -> None: ...
    def list_folder(self, path: str) -> list[str]: ...
    def remove(self, path: str) -> None: ...
    def truncate(self, path: str, size: int) -> None: ...
    def file_size(self, path: str) -> int | None: ...
    def file_age(self, path: str) -> int: ...
    def touch(self, path: str) -> None: ...
    def free_space(self, path: str) -> int: ...
    def lock_file(self, path: str): ...
    def wall_clock(self) -> int: ...


class AppendFile:
    """A file that only grows."""

    def __init__(self, path: str):
        self.file = open(path, "ab", buffering=1 << 16)

    def write(self, data: bytes) -> None:
        self.file.write(data)

    def flush(self) -> None:
        self.file.flush()

    def sync(self) -> None:
        self.file.flush()
        os.fsync(self.file.fileno())

    def close(self) -> None:
        self.file.close()


class EpollKernel:
    """The real world of one process."""

    def __init__(self):
        self.epoll, self.handles, self.wake_fd = select.epoll(), {}, None
        self.signal_handler, self.pending_signals = None, []

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def random_seed(self) -> int:
        return int.from_bytes(os.urandom(8), "big")

    def register_handle(self, handle: Handle) -> None:
        number = handle.sock.fileno()
        self.handles[number] = handle
        self.epoll.register(number, READ | WRITE | select.EPOLLET)

    def unregister_handle(self, handle: Handle) -> None:
        number = handle.sock.fileno()
        self.handles.pop(number, None)
        try:
            self.epoll.unregister(number)
        except (OSError, ValueError):
            pass

    def poll(self, until: int | None) -> list[tuple[Handle, bool, bool]]:
        """Waits until something is ready or the time has come; None waits without end."""
        wait = -1 if until is None else max(0, until - self.now()) / 1e6
        ready = []
        for number, mask in self.epoll.poll(wait):
            if number == self.wake_fd:
                os.read(number, 4096)
                continue
            handle = self.handles.get(number)
            if handle is not None:
                ready.append((handle, bool(mask & (READ | BROKEN)), bool(mask & (WRITE | BROKEN))))
        while self.pending_signals:
            self.signal_handler(self.pending_signals.pop(0))
        return ready

    def run_loop(self, loop, main):
        """Gives the loop its turns until the main task has ended, then cancels what is left. Gives what it
        gave."""
        try:
            return loop.run(main)
        finally:
            loop.close()

    def freeze_memory(self) -> None:
        """What is in memory now stays: later collections pass it over."""
        gc.collect()
        gc.freeze()

    def listen(self, address, backlog=128) -> Listener:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(tuple(address))
            sock.listen(backlog)
        except OSError as trouble:
            sock.close()
            raise UnreachableError(f"cannot listen at {address[0]}:{address[1]}: {trouble}") from None
        return Listener(self, sock)

    def dial(self, address) -> Stream:
        """A connection that is being made: wait until writable, then ask `connected`."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as trouble:
            raise translate_os_error(trouble) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(tuple(address))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise translate_os_error(OSError(code, os.strerror(code)))
        return Stream(self, sock)

    def open_datagrams(self, address) -> Datagrams:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(tuple(address))
        return Datagrams(self, sock)

    def spawn(self, argv, output, mark="") -> ChildProcess:
        """Starts a process that leads its own session and group; what it prints goes to the end of a file. A
        mark lets a later start of this program find it again, see `adopt_process`. Raises UnreachableError
        where it cannot start."""
        import subprocess  # not on the path of `run`, which may start nothing

        try:
            with open(output, "ab") as sink:
                return ChildProcess(
                    subprocess.Popen(
                        argv,
                        stdin=subprocess.DEVNULL,
                        stdout=sink,
                        stderr=sink,
                        start_new_session=True,
                        env={**os.environ, MARK: mark},
                    )
                )
        except OSError as trouble:
            raise UnreachableError(f"{argv[0]}: {trouble}") from None

    def adopt_process(self, mark) -> AdoptedProcess | None:
        """The living process that was started with this mark."""
        for name in os.listdir("/proc"):
            if name.isdigit() and has_mark(int(name), mark):
                return AdoptedProcess(int(name), mark)
        return None

    def marked_processes(self) -> list[tuple[int, str]]:
        """(pid, mark) of every living process that was started with a mark and leads its group."""
        return marked()

    def command_lines(self) -> list[tuple[int, list[str]]]:
        """(pid, words) of every other process that shows them."""
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
        try:
            os.kill(pid, signal.SIGKILL)
        except ProcessLookupError:
            pass

    def on_signals(self, call) -> None:
        """`call(name)` in the loop's turn after TERM, INT or HUP has come."""
        read, write = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.wake_fd, self.signal_handler = read, call
        self.epoll.register(read, select.EPOLLIN)
        for name in ("TERM", "INT", "HUP"):
            signal.signal(
                getattr(signal, f"SIG{name}"), lambda *_, name=name: self.pending_signals.append(name)
            )
        signal.set_wakeup_fd(write, warn_on_full_buffer=False)

    def environment_variable(self, name) -> str | None:
        """Of the environment that the process was started with."""
        return os.environ.get(name)

    def read_file(self, path) -> bytes | None:
        try:
            with open(path, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def replace_file(self, path, data, sync=True) -> None:
        """All of it or none: write aside, sync, rename, sync of the folder (rename(2))."""
        aside = f"{path}.new"
        if sync:
            self.write_file(aside, data)
            self.rename(aside, path)
            self.sync_folder(os.path.dirname(os.path.abspath(path)))
        else:
            with open(aside, "wb") as file:
                file.write(data)
            os.replace(aside, path)

    def write_file(self, path, data, mode=0o644) -> None:
        """Written and synced; its name is not safe before `sync_folder`."""
        number = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
        with open(number, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def rename(self, path, to) -> None:
        os.replace(path, to)

    def sync_folder(self, path) -> None:
        folder = os.open(path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def make_folder(self, path) -> None:
        os.makedirs(path, exist_ok=True)

    def list_folder(self, path) -> list[str]:
        """Names in order; none where there is no such folder."""
        try:
            return sorted(os.listdir(path))
        except FileNotFoundError:
            return []

    def remove(self, path) -> None:
        """A file, or a folder with all in it; nothing where it is gone already."""
        if os.path.isdir(path) and not os.path.islink(path):
            import shutil  # as above

            shutil.rmtree(path)
        elif os.path.lexists(path):
            os.remove(path)

    def truncate(self, path, size) -> None:
        with open(path, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def file_size(self, path) -> int | None:
        """None where there is no such file."""
        try:
            return os.stat(path).st_size
        except FileNotFoundError:
            return None

    def file_age(self, path) -> int:
        """Microseconds since it was last written or touched."""
        return max(0, self.wall_clock() - os.stat(path).st_mtime_ns // 1000)

    def touch(self, path) -> None:
        os.utime(path)

    def free_space(self, path) -> int:
        """Bytes that an ordinary user may still write there."""
        state = os.statvfs(path)
        return state.f_bavail * state.f_frsize

    def lock_file(self, path):
        """Holds a file for this process alone while the result is kept. Raises RefusedError where another has
        it."""
        file = open(path, "ab")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            raise RefusedError(f"{path} is held by another process") from None
        return file

    def wall_clock(self) -> int:
        """Microseconds since 1970, for expiry and ages of files only: it may jump."""
        return time.time_ns() // 1000

    def append_file(self, path) -> AppendFile:
        return AppendFile(path)
