"""Processes that were started here, or by an earlier start of this program."""

import os
import signal

MARK = "COBALTPOND_RUN"


class ChildProcess:
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


class AdoptedProcess:
    """A process that an earlier start of this program began. It is known by the mark in its environment: a
    number that the system has given to another process since does not carry it."""

    def __init__(self, pid: int, mark: str):
        self.pid, self.mark = pid, mark

    def ended(self) -> int | None:
        """-1 once it is gone; its exit code went to whoever began it."""
        return None if has_mark(self.pid, self.mark) else -1

    def signal_all(self, name: str) -> None:
        if self.ended() is None:
            try:
                os.killpg(self.pid, getattr(signal, f"SIG{name}"))
            except ProcessLookupError:
                pass


def marked() -> list[tuple[int, str]]:
    """(pid, mark) of every living leader that was started with one, by number."""
    found = []
    for name in os.listdir("/proc"):
        if not name.isdigit():
            continue
        try:
            with open(f"/proc/{name}/environ", "rb") as file:
                words = file.read().split(b"\0")
            leads = os.getpgid(int(name)) == int(name)
        except (OSError, ProcessLookupError):
            continue
        begin = f"{MARK}=".encode()
        mark = next((word[len(begin) :].decode("latin-1") for word in words if word.startswith(begin)), "")
        if mark and leads:
            found.append((int(name), mark))
    return sorted(found)


def has_mark(pid: int, mark: str) -> bool:
    """Is this the leader that was started with the mark? A process that has ended has no environment left."""
    try:
        with open(f"/proc/{pid}/environ", "rb") as file:
            return f"{MARK}={mark}".encode() in file.read().split(b"\0") and os.getpgid(pid) == pid
    except (OSError, ProcessLookupError):
        return False
