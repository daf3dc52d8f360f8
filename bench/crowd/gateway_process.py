"""One gateway process, started by the `run` line of the deploy file, and what the platform watches of it."""

import json
import os
import re
import resource
import signal
import socket
import subprocess
import threading
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

from bench.crowd.settings import SETTINGS

ROOT = Path(__file__).resolve().parent.parent.parent
MEMORY_CHECK_INTERVAL_S = 0.004
READY_POLL_S = 0.02
MAX_READY_S = 30.0


@dataclass(frozen=True)
class Limits:
    """Limits of one gateway as its configuration states them."""

    memory_mb: int = 64
    sockets: int = 1024
    cores: float = 1.0


def free_port() -> int:
    """Returns a port of loopback that nobody uses now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def anonymous_memory_mb(pid: int) -> float:
    """Returns the anonymous memory of a process in MB; 0 once it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    found = re.search(r"RssAnon:\s*(\d+) kB", status)
    return int(found[1]) / 1024 if found else 0.0


class GatewayProcess:
    """One gateway that can be started again under its address. `peak_mb`: most memory of any of its lives."""

    def __init__(self, name: str, folder: Path, limits: Limits, discovery_port: int, platform):
        self.name, self.folder, self.limits = name, folder, limits
        self.port = free_port()
        self.process, self.peak_mb, self.is_watched = None, 0.0, False
        self.crashes: list[str] = []  # ends that nobody asked for, and starts that took too long
        self.stop_expected = False
        self.configuration = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": os.urandom(8).hex(),
            "limits": {
                "cores": limits.cores,
                "memory_mb": limits.memory_mb,
                "sockets": limits.sockets,
            },
            "rollouts": {"address": f"127.0.0.1:{platform.port}", "news": platform.state()},
            "settings": SETTINGS,
        }

    def add_peer(self) -> None:
        """Gives the gateway a peer at a socket of this process: `peer`."""
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind(("127.0.0.1", 0))
        self.peer.setblocking(False)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            self.peer_address = probe.getsockname()
        own, other = (f"127.0.0.1:{port}" for port in (self.peer_address[1], self.peer.getsockname()[1]))
        limits = {**SETTINGS["policyLimits"], "peers": True}
        self.configuration.update(
            peer_listen=own,
            peers=[own, other],
            settings={**SETTINGS, "balancers": 2, "policyLimits": limits},
        )

    @property
    def log_path(self) -> Path:
        """Where the log of all lives is written."""
        return self.folder / f"{self.name}.log"

    def start(self) -> None:
        """Starts the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.configuration))
        sockets = self.limits.sockets
        environment = {
            **os.environ,
            "TMPDIR": str(self.folder),
            "EDGE_NAME": self.name,
            "EDGE_CONFIG": str(path),
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )
        self.stop_expected = False
        threading.Thread(target=self.watch, args=(self.process,), daemon=True).start()

    def watch(self, process: subprocess.Popen) -> None:
        """Records the peak of the memory, and an end that nobody asked for; the body of a thread."""
        while process.poll() is None:
            self.peak_mb = max(self.peak_mb, anonymous_memory_mb(process.pid))
            time.sleep(MEMORY_CHECK_INTERVAL_S)
        if not self.stop_expected:
            self.crashes.append(f"{self.name} ended by itself with {process.returncode}")

    def wait_until_ready(self, is_ready) -> None:
        """Waits until `is_ready()` holds; records a crash where that takes longer than the page allows."""
        end = time.monotonic() + MAX_READY_S
        while time.monotonic() < end:
            if is_ready() or self.process.poll() is not None:
                return
            time.sleep(READY_POLL_S)
        self.crashes.append(f"{self.name} was not ready within {MAX_READY_S:.0f} s")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it is running."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.stop_expected = True
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def figures(self) -> list[dict]:
        """Returns the lines of figures in the log."""
        lines = self.log_path.read_text().splitlines() if self.log_path.exists() else []
        records = [json.loads(line) for line in lines if line.startswith("{")]
        return [record for record in records if record.get("event") == "figures"]
