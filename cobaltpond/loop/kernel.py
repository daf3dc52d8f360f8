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
import struct
import time
from typing import Protocol

READ, WRITE = select.EPOLLIN | select.EPOLLRDHUP, select.EPOLLOUT
BROKEN = select.EPOLLERR | select.EPOLLHUP
MARK = "COBALTPOND_RUN"
LOST = {errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN, errno.ECONNABORTED, errno.ETIMEDOUT, errno.EBADF}
USED_UP = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}


class PeerLost(Exception):
    """The connection is gone: reset, broken, or closed on our side."""


class Refused(Exception):
    """Nobody listens at that address."""


class Unreachable(Exception):
    """No connection, for another reason than a refusal."""


class HandlesUsedUp(Exception):
    """The process may open no more files or sockets now."""


def translated(trouble: OSError) -> Exception:
    if trouble.errno in LOST:
        return PeerLost(os.strerror(trouble.errno))
    if trouble.errno == errno.ECONNREFUSED:
        return Refused(os.strerror(trouble.errno))
    if trouble.errno in USED_UP:
        return HandlesUsedUp(os.strerror(trouble.errno))
    return Unreachable(str(trouble))


class Kernel(Protocol):
    """What the program asks of the world. Times are whole microseconds of a clock that never goes back."""

    def now(self) -> int: ...
    def seed(self) -> int: ...
    def poll(self, until: int | None) -> list: ...
    def drive(self, loop, main): ...
    def settle(self) -> None: ...
    def listen(self, address: tuple[str, int], backlog: int): ...
    def dial(self, address: tuple[str, int]): ...
    def datagrams(self, address: tuple[str, int]): ...
    def spawn(self, argv: list[str], output: str, mark: str = ""): ...
    def adopt(self, mark: str): ...
    def command_lines(self) -> list[tuple[int, list[str]]]: ...
    def kill(self, pid: int) -> None: ...
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
    def size(self, path: str) -> int | None: ...
    def age(self, path: str) -> int: ...
    def touch(self, path: str) -> None: ...
    def free_space(self, path: str) -> int: ...
    def lock(self, path: str): ...
    def wall(self) -> int: ...


class Handle:
    """A socket known to the kernel; `reader` and `writer` are the tasks that wait for it."""

    def __init__(self, kernel: "EpollKernel", sock: socket.socket):
        self.kernel, self.sock, self.reader, self.writer = kernel, sock, None, None
        self.closed = False
        sock.setblocking(False)
        kernel.enter(self)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.kernel.leave(self)
            self.sock.close()
            for task in (self.reader, self.writer):    # they try again, and are told that it is gone
                if task is not None:
                    task.wake()
            self.reader = self.writer = None

    def address(self) -> tuple[str, int]:
        return self.sock.getsockname()[:2]


class Stream(Handle):
    def connected(self) -> bool:
        """Is the dial through? Raises Refused, Unreachable or HandlesUsedUp where it has failed."""
        trouble = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if trouble:
            wrong = translated(OSError(trouble, os.strerror(trouble)))
            raise Unreachable(str(wrong)) if isinstance(wrong, PeerLost) else wrong
        try:
            self.sock.getpeername()
        except OSError:
            return False
        return True

    def recv(self, size: int) -> bytes | None:
        """b"" at the peer's end of file."""
        if self.closed:
            raise PeerLost("closed here")
        try:
            return self.sock.recv(size)
        except BlockingIOError:
            return None
        except OSError as trouble:
            raise PeerLost(str(trouble)) from None

    def send(self, data) -> int | None:
        if self.closed:
            raise PeerLost("closed here")
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return None
        except OSError as trouble:
            raise PeerLost(str(trouble)) from None

    def finish(self) -> None:
        """Our end of file: the peer reads what was sent and then b""."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def abort(self) -> None:
        """Closes with a reset: what is not yet sent is thrown away, and the peer sees it at once."""
        if not self.closed:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass
            self.close()


class Listener(Handle):
    def accept(self) -> Stream | None:
        """Raises HandlesUsedUp where the process has no descriptor left; the caller stays in the backlog."""
        try:
            sock, _ = self.sock.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return None
        except OSError as trouble:
            raise translated(trouble) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Stream(self.kernel, sock)


class Datagrams(Handle):
    def recv(self, size: int) -> tuple[bytes, tuple[str, int]] | None:
        try:
            return self.sock.recvfrom(size)
        except OSError:                                # also the ICMP error of an earlier send
            return None

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        """False where it was not sent: it counts as lost on the way."""
        try:
            self.sock.sendto(data, address)
            return True
        except OSError:
            return False


class Child:
    def __init__(self, process):
        self.process, self.pid = process, process.pid

    def ended(self) -> int | None:
        return self.process.poll()

    def signal(self, name: str) -> None:
        if self.ended() is None:
            self.process.send_signal(getattr(signal, f"SIG{name}"))


    def signal_all(self, name: str) -> None:
        """To the whole group that it leads."""
        if self.ended() is None:
            os.killpg(self.pid, getattr(signal, f"SIG{name}"))


class Adopted:
    """A process that an earlier start of this program began. It is known by the mark in its environment: a number
    that the system has given to another process since does not carry it."""

    def __init__(self, pid: int, mark: str):
        self.pid, self.mark = pid, mark

    def ended(self) -> int | None:
        """-1 once it is gone; its exit code went to whoever began it."""
        return None if carries(self.pid, self.mark) else -1

    def signal_all(self, name: str) -> None:
        if self.ended() is None:
            try:
                os.killpg(self.pid, getattr(signal, f"SIG{name}"))
            except ProcessLookupError:
                pass


def carries(pid: int, mark: str) -> bool:
    """Is this the leader that was started with the mark? A process that has ended has no environment left."""
    try:
        with open(f"/proc/{pid}/environ", "rb") as file:
            return f"{MARK}={mark}".encode() in file.read().split(b"\0") and os.getpgid(pid) == pid
    except (OSError, ProcessLookupError):
        return False


class Appending:
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
        self.signal_call, self.signalled = None, []

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def seed(self) -> int:
        return int.from_bytes(os.urandom(8), "big")

    def enter(self, handle: Handle) -> None:
        number = handle.sock.fileno()
        self.handles[number] = handle
        self.epoll.register(number, READ | WRITE | select.EPOLLET)

    def leave(self, handle: Handle) -> None:
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
        while self.signalled:
            self.signal_call(self.signalled.pop(0))
        return ready

    def drive(self, loop, main):
        """Gives the loop its turns until the main task has ended, then cancels what is left. Gives what it gave."""
        try:
            return loop.run(main)
        finally:
            loop.close()

    def settle(self) -> None:
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
            raise Unreachable(f"cannot listen at {address[0]}:{address[1]}: {trouble}") from None
        return Listener(self, sock)

    def dial(self, address) -> Stream:
        """A connection that is being made: wait until writable, then ask `connected`."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as trouble:
            raise translated(trouble) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(tuple(address))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise translated(OSError(code, os.strerror(code)))
        return Stream(self, sock)

    def datagrams(self, address) -> Datagrams:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(tuple(address))
        return Datagrams(self, sock)

    def spawn(self, argv, output, mark="") -> Child:
        """Starts a process that leads its own session and group; what it prints goes to the end of a file. A mark
        lets a later start of this program find it again, see `adopt`. Raises Unreachable where it cannot start."""
        import subprocess  # not on the path of `run`, which may start nothing

        try:
            with open(output, "ab") as sink:
                return Child(subprocess.Popen(argv, stdin=subprocess.DEVNULL, stdout=sink, stderr=sink,
                                              start_new_session=True, env={**os.environ, MARK: mark}))
        except OSError as trouble:
            raise Unreachable(f"{argv[0]}: {trouble}") from None

    def adopt(self, mark) -> Adopted | None:
        """The living process that was started with this mark."""
        for name in os.listdir("/proc"):
            if name.isdigit() and carries(int(name), mark):
                return Adopted(int(name), mark)
        return None

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

    def kill(self, pid) -> None:
        try:
            os.kill(pid, signal.SIGKILL)
        except ProcessLookupError:
            pass

    def on_signals(self, call) -> None:
        """`call(name)` in the loop's turn after TERM, INT or HUP has come."""
        read, write = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.wake_fd, self.signal_call = read, call
        self.epoll.register(read, select.EPOLLIN)
        for name in ("TERM", "INT", "HUP"):
            signal.signal(getattr(signal, f"SIG{name}"), lambda *_, name=name: self.signalled.append(name))
        signal.set_wakeup_fd(write, warn_on_full_buffer=False)

    def variable(self, name) -> str | None:
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

    def size(self, path) -> int | None:
        """None where there is no such file."""
        try:
            return os.stat(path).st_size
        except FileNotFoundError:
            return None

    def age(self, path) -> int:
        """Microseconds since it was last written or touched."""
        return max(0, self.wall() - os.stat(path).st_mtime_ns // 1000)

    def touch(self, path) -> None:
        os.utime(path)

    def free_space(self, path) -> int:
        """Bytes that an ordinary user may still write there."""
        state = os.statvfs(path)
        return state.f_bavail * state.f_frsize

    def lock(self, path):
        """Holds a file for this process alone while the result is kept. Raises Refused where another has it."""
        file = open(path, "ab")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            raise Refused(f"{path} is held by another process") from None
        return file

    def wall(self) -> int:
        """Microseconds since 1970, for expiry and ages of files only: it may jump."""
        return time.time_ns() // 1000

    def append_file(self, path) -> Appending:
        return Appending(path)
