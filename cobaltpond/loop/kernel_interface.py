"""Access to the operating system.

Everything that the program reads, waits for or changes outside itself goes through a `Kernel`; another kernel
(a virtual clock with seeded faults) can take its place without a change in the program.

Handles are non-blocking: an operation that cannot proceed now returns None, and one that never will raises an
error of `errors.py`. `poll` reports a handle once each time that it becomes ready (edge-triggered, epoll(7)):
after None a caller must wait for the next report, and a caller that has not tried yet must try before it
waits. `peer_finished` of a stream tells that its peer has ended its side, also while bytes are unread.
"""

from typing import Protocol


class Kernel(Protocol):
    """The operating system as the program uses it. Times are whole microseconds of a monotonic clock
    unless stated otherwise.
    """

    def now(self) -> int:
        """Returns the monotonic time in microseconds."""

    def random_seed(self) -> int:
        """Returns an unpredictable 64-bit integer."""

    def poll(self, until: int | None) -> list:
        """Waits until a handle is ready or the time `until` has come (None: without limit) and returns
        (handle, is readable, is writable) for each ready handle.
        """

    def run_loop(self, loop, main):
        """Runs the loop until its main task has ended."""

    def freeze_memory(self) -> None:
        """Excludes what is in memory now from later garbage collections."""

    def memory_used(self) -> int:
        """Returns the bytes of memory that this process alone uses; 0 where it is not known."""

    def listen(self, address: tuple[str, int], backlog: int):
        """Opens a listening TCP socket. Raises UnreachableError where the address cannot be used."""

    def dial(self, address: tuple[str, int]):
        """Starts a TCP connection and returns its stream, which may not be connected yet."""

    def open_datagrams(self, address: tuple[str, int]):
        """Opens a UDP socket that is bound to the address."""

    def spawn(self, argv: list[str], output: str, mark: str = ""):
        """Starts a process and returns its handle; its output is appended to the file `output`. Raises
        UnreachableError where it cannot start.
        """

    def adopt_process(self, mark: str):
        """Returns the running process that was started with this mark, or None."""

    def marked_processes(self) -> list[tuple[int, str]]:
        """Returns (pid, mark) of every running process that was started with a mark and leads its group."""

    def command_lines(self) -> list[tuple[int, list[str]]]:
        """Returns (pid, arguments) of every other process whose command line is readable."""

    def kill_process(self, pid: int) -> None:
        """Sends SIGKILL; does nothing where there is no such process."""

    def on_signals(self, handler) -> None:
        """Registers `handler(name)`, which is called within the loop after SIGTERM, SIGINT or SIGHUP; the
        name has no SIG prefix.
        """

    def read_file(self, path: str) -> bytes | None:
        """Returns the content of a file, or None where there is none."""

    def replace_file(self, path: str, data: bytes, sync: bool = True) -> None:
        """Replaces a file atomically; it survives a crash of the machine only with `sync`."""

    def append_file(self, path: str):
        """Opens a file for appending."""

    def write_file(self, path: str, data: bytes, mode: int = 0o644) -> None:
        """Writes a file and syncs its content; its directory entry is durable only after `sync_folder`."""

    def rename(self, path: str, to: str) -> None:
        """Renames a file or folder; a file or an empty folder at the new path is replaced."""

    def sync_folder(self, path: str) -> None:
        """Makes the entries of a folder durable (fsync)."""

    def make_folder(self, path: str) -> None:
        """Creates a folder and its parents where they are missing."""

    def list_folder(self, path: str) -> list[str]:
        """Returns the sorted names in a folder; an empty list where there is no such folder."""

    def remove(self, path: str) -> None:
        """Removes a file, or a folder with its content; does nothing where there is none."""

    def truncate(self, path: str, size: int) -> None:
        """Cuts a file to `size` bytes and syncs it."""

    def file_size(self, path: str) -> int | None:
        """Returns the size in bytes, or None where there is no such file."""

    def file_age(self, path: str) -> int:
        """Returns the microseconds since the file was last written or touched."""

    def touch(self, path: str) -> None:
        """Sets the modification time of a file to now."""

    def free_space(self, path: str) -> int:
        """Returns the bytes that an unprivileged user may still write to the file system of the path."""

    def lock_file(self, path: str):
        """Locks a file for this process until the returned object is closed. Raises RefusedError where
        another process holds the lock.
        """

    def wall_clock(self) -> int:
        """Returns microseconds since the Unix epoch. The clock may jump: use it only for expiry and file
        ages.
        """
