"""Programs of a checkout, each started as a process of its own and ended by its id; ports on loopback."""

import os
import random
import signal
import socket
import subprocess
from dataclasses import dataclass, field
from pathlib import Path

from mixed.report import until

COMMAND_BOUND = 30.0  # seconds for a command that ends by itself
STOP_BOUND = 15.0
KILL_BOUND = 5.0
FIRST_PORT, LAST_PORT = 12_000, 30_000  # below the ports that the system hands out by itself
PORT_TRIES = 200


@dataclass(frozen=True)
class Checkout:
    """One revision of the project, with its own virtual environment; `name` is OLD or NEW."""

    name: str
    path: Path

    @property
    def python(self) -> Path:
        """The interpreter of its virtual environment."""
        return self.path / ".venv" / "bin" / "python"

    def environment(self, scratch: Path, **more: str) -> dict[str, str]:
        """Compiled files go to `scratch`: a run leaves nothing behind in either checkout."""
        return {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "PYTHONPATH": str(self.path),
            "PYTHONPYCACHEPREFIX": str(scratch / "compiled"),
            **more,
        }

    def run(self, scratch: Path, *words: object) -> subprocess.CompletedProcess:
        """A command of this checkout that ends by itself."""
        return subprocess.run(
            [self.python, *map(str, words)],
            cwd=self.path,
            env=self.environment(scratch),
            capture_output=True,
            text=True,
            timeout=COMMAND_BOUND,
            stdin=subprocess.DEVNULL,
        )

    def command(self, scratch: Path, *words: object) -> subprocess.CompletedProcess:
        """`cobaltpond WORDS...` of this checkout."""
        return self.run(scratch, "-m", "cobaltpond", *words)


@dataclass
class Program:
    """A running process and its log."""

    name: str
    process: subprocess.Popen
    log: Path

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> int:
        """Asks it to stop and gives its exit code. Raises NotInTime."""
        self.signal(signal.SIGTERM)
        until(f"{self.name} ends", lambda: self.process.poll() is not None, STOP_BOUND)
        return self.process.returncode

    def kill(self) -> None:
        """Whatever state it is in."""
        self.signal(signal.SIGKILL)
        self.process.wait(KILL_BOUND)


@dataclass
class Programs:
    """All processes of one scenario; those still running at its end are killed, last started first."""

    folder: Path
    running: dict[str, Program] = field(default_factory=dict)
    starts: int = 0

    def __enter__(self) -> "Programs":
        """Nothing runs yet."""
        return self

    def __exit__(self, *_) -> None:
        """Kills all programs, and the instances that agents have started."""
        for program in reversed(self.running.values()):
            program.kill()
        self.end_instances()

    def start(self, checkout: Checkout, name: str, *words: object, **environment: str) -> Program:
        """Runs `python WORDS...` in the checkout; an earlier program of that name has ended."""
        self.starts += 1
        log = self.folder / f"{name}-{self.starts}.log"
        with open(log, "wb") as sink:
            process = subprocess.Popen(
                [checkout.python, *map(str, words)],
                cwd=checkout.path,
                stdout=sink,
                stderr=sink,
                stdin=subprocess.DEVNULL,
                env=checkout.environment(self.folder.parent, **environment),
            )
        program = self.running[name] = Program(name, process, log)
        return program

    def stop(self, name: str) -> int:
        """The exit code."""
        return self.running.pop(name).stop()

    def instances(self) -> dict[int, str]:
        """Process id -> command line of every instance that agents of this scenario have started: instances
        outlive their agents, and name a file of the scenario's own folder."""
        marks = (str(self.folder / "instances.json"), "/tree/serve")
        found = {}
        for entry in Path("/proc").iterdir():
            if entry.name.isdigit():
                words = command_line(entry)
                if any(word.startswith(str(self.folder)) and word.endswith(marks) for word in words):
                    found[int(entry.name)] = " ".join(words)
        return found

    def end_instances(self) -> None:
        """By their ids; a process that has ended meanwhile is no trouble."""
        for number in self.instances():
            try:
                os.kill(number, signal.SIGKILL)
            except ProcessLookupError:
                continue


def command_line(entry: Path) -> list[str]:
    """Empty where the process has ended or is another user's."""
    try:
        return (entry / "cmdline").read_text(errors="replace").split("\0")
    except OSError:
        return []


@dataclass
class PortRun:
    """`count` consecutive free ports from `first` on; the port before them is held to mark them as taken."""

    count: int
    first: int = 0
    mark: socket.socket | None = None

    def __enter__(self) -> "PortRun":
        """Finds the ports and holds the one before them. Raises OSError where there are none."""
        for _ in range(PORT_TRIES):
            before = random.randrange(FIRST_PORT, LAST_PORT - self.count)
            try:
                self.mark = bound(socket.SOCK_STREAM, before)
            except OSError:
                continue
            self.first = before + 1
            if are_free(range(self.first, self.first + self.count)):
                return self
            self.mark.close()
        raise OSError(f"no {self.count} consecutive free ports")

    def __exit__(self, *_) -> None:
        """Frees the port that was held."""
        if self.mark is not None:
            self.mark.close()


def are_free(ports: range) -> bool:
    """For streams and for datagrams."""
    try:
        for port in ports:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                bound(kind, port).close()
    except OSError:
        return False
    return True


def bound(kind: socket.SocketKind, port: int) -> socket.socket:
    """A socket of that kind at the port. Raises OSError where it is taken."""
    opened = socket.socket(socket.AF_INET, kind)
    try:
        opened.bind(("127.0.0.1", port))
        if kind == socket.SOCK_STREAM:
            opened.listen(1)
    except OSError:
        opened.close()
        raise
    return opened
