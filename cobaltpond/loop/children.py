"""Child processes of this process, and processes that an earlier run of this program started."""

import os
import signal

MARK_VARIABLE = "COBALTPOND_RUN"


class ChildProcess:
    """A process that this process started as the leader of its own session and process group."""

    def __init__(self, process):
        self.process, self.pid = process, process.pid

    def ended(self) -> int | None:
        """Returns the exit code, the negative signal number if a signal ended it, or None while it runs."""
        return self.process.poll()

    def signal(self, name: str) -> None:
        """Sends a signal, such as "TERM", to the process alone; does nothing once it has ended."""
        if self.ended() is None:
            self.process.send_signal(getattr(signal, f"SIG{name}"))

    def signal_all(self, name: str) -> None:
        """Sends a signal to the whole process group that the child leads; does nothing once it has ended."""
        if self.ended() is None:
            os.killpg(self.pid, getattr(signal, f"SIG{name}"))


class AdoptedProcess:
    """A process that an earlier run of this program started. It is identified by the mark in its
    environment, because the system may have given its process id to another process since; that process
    does not have the mark.
    """

    def __init__(self, pid: int, mark: str):
        self.pid, self.mark = pid, mark

    def ended(self) -> int | None:
        """Returns None while it runs and -1 once it has ended. Its exit code went to the process that
        started it.
        """
        return None if has_mark(self.pid, self.mark) else -1

    def signal_all(self, name: str) -> None:
        """Sends a signal to the whole process group that the process leads; does nothing once it has
        ended.
        """
        if self.ended() is None:
            try:
                os.killpg(self.pid, getattr(signal, f"SIG{name}"))
            except ProcessLookupError:
                pass


def find_marked_processes() -> list[tuple[int, str]]:
    """Returns (pid, mark) of every running process group leader that was started with a mark, ordered by
    pid.
    """
    found = []
    for name in os.listdir("/proc"):
        if not name.isdigit():
            continue
        try:
            with open(f"/proc/{name}/environ", "rb") as file:
                variables = file.read().split(b"\0")
            is_leader = os.getpgid(int(name)) == int(name)
        except (OSError, ProcessLookupError):
            continue
        prefix = f"{MARK_VARIABLE}=".encode()
        mark = next(
            (
                variable[len(prefix) :].decode("latin-1")
                for variable in variables
                if variable.startswith(prefix)
            ),
            "",
        )
        if mark and is_leader:
            found.append((int(name), mark))
    return sorted(found)


def has_mark(pid: int, mark: str) -> bool:
    """Tells whether the process is a group leader that was started with the mark. The environment of an
    ended process is empty, so it never has one.
    """
    try:
        with open(f"/proc/{pid}/environ", "rb") as file:
            return f"{MARK_VARIABLE}={mark}".encode() in file.read().split(b"\0") and os.getpgid(pid) == pid
    except (OSError, ProcessLookupError):
        return False
