"""One simulated machine: a world, a network, a disk, and the programs that the command line would start."""

import json
import traceback
from functools import lru_cache

from cobaltpond.agent.main import run_agent
from cobaltpond.desk.service import run_desk
from cobaltpond.gateway.main import run_gateway
from cobaltpond.settings import read_settings
from cobaltpond.sim.disk import Disk
from cobaltpond.sim.kernel import VirtualKernel
from cobaltpond.sim.network import Network
from cobaltpond.sim.world import Process, World
from cobaltpond.standins.clients import run_clients
from cobaltpond.standins.instance_fleet import run_instance_fleet
from cobaltpond.standins.single_instance import run_build_server, run_single_instance

# Settings are immutable, so all processes that read the same text can share one object.
read_settings_cached = lru_cache(maxsize=64)(read_settings)


class ProcessLog:
    """The log of one process.

    Lines are kept where the machine keeps them. Exceptions that are logged become troubles of the world,
    except those of the machine's `expected_exceptions`, which disk faults cause by design.
    """

    def __init__(self, process: Process, machine: "Machine"):
        self.process, self.machine = process, machine

    def line(self, level, event, **fields) -> None:
        """Log an event with its fields; `exc_info` is an exception triple, True or None."""
        exception_info = fields.pop("exc_info", None)
        if exception_info not in (None, True):
            fields["trouble"] = f"{exception_info[0].__name__}: {exception_info[1]}"
        if self.machine.lines is not None:
            self.machine.lines.append((self.machine.world.time, self.process.name, level, event, fields))
        if level == "error":
            self.machine.error_counts[event] = self.machine.error_counts.get(event, 0) + 1
        if exception_info not in (None, True) and not isinstance(
            exception_info[1], self.machine.expected_exceptions
        ):
            text = "".join(traceback.format_exception(*exception_info)[-4:])
            self.machine.world.troubles.append(f"{self.process.name}: {event}: {text}")

    def info(self, event, **fields):
        """Log at level info."""
        self.line("info", event, **fields)

    def warning(self, event, **fields):
        """Log at level warning."""
        self.line("warning", event, **fields)

    def error(self, event, **fields):
        """Log at level error."""
        self.line("error", event, **fields)


class Machine:
    """What the simulated processes share.

    `file_locks`: id of a File -> its lock. `lines`: log lines (time, process, level, event, fields), None
    where they are not kept. `error_counts`: event -> number of error lines. `decisions`: called with a
    gateway's process for the decisions that it runs, None for its own. `start_callbacks`: called with each
    process that starts.
    """

    def __init__(self, seed, keep_lines: bool = False):
        self.world = World(seed)
        self.network, self.disk = Network(self.world), Disk(self.world)
        self.file_locks, self.lines, self.error_counts = {}, [] if keep_lines else None, {}
        self.expected_exceptions, self.decisions, self.start_callbacks = (), None, []

    def process(self, name: str, argv: list, mark: str = "") -> VirtualKernel:
        """Return the kernel of a new process that no other process spawned, such as the first one."""
        process = Process(self.world, name, argv, mark)
        process.log = ProcessLog(process, self)
        return VirtualKernel(self, process)

    def start_program(self, process: Process) -> None:
        """Start the program of a process; an exception in it ends the process with exit code 1."""
        if process.code is not None:
            return
        if process.stopped:  # stopped before its start: checked again until it is continued
            self.world.after(1_000, lambda: self.start_program(process))
            return
        process.log = ProcessLog(process, self)
        self.world.record_event("begin", process.name, process.start)
        for call in self.start_callbacks:
            call(process)
        try:
            self.run(process.kernel, process.argv, process.log)
        except Exception as exception:
            process.fail(exception)

    def read_settings(self, kernel, path):
        """Return the settings in a file, as a program reads them from this machine's disk."""
        return read_settings_cached(path, (kernel.read_file(path) or b"").decode())

    def plan(self, kernel, path):
        """Return the parsed JSON of a plan file, None where the file is missing or empty."""
        return json.loads(kernel.read_file(path) or b"null")

    def run(self, kernel, argv, log) -> None:
        """Start a command of `cli/main.py` on this kernel. Raises FileNotFoundError for an unknown one."""
        if argv[0] == "exit":
            kernel.process.exit(int(argv[1]))
            return
        if argv[1:3] != ["-m", "cobaltpond"]:
            raise FileNotFoundError(f"no program {argv[:3]}")
        program, *arguments = argv[3:]
        if program == "gateway":
            decisions = self.decisions(kernel.process) if self.decisions is not None else None
            run_gateway(kernel, self.read_settings(kernel, arguments[0]), int(arguments[2]), log, decisions)
        elif program == "desk":
            run_desk(kernel, self.read_settings(kernel, arguments[0]), log)
        elif program == "agent":
            settings = self.read_settings(kernel, arguments[0])
            run_agent(kernel, settings, next(h for h in settings.hosts if h.place == arguments[2]), log)
        elif arguments[0] == "yard":
            run_instance_fleet(kernel, self.plan(kernel, arguments[1]), arguments[2], log)
        elif arguments[0] == "crowd":
            run_clients(kernel, self.plan(kernel, arguments[1]), arguments[2], log)
        elif arguments[0] == "builds":
            run_build_server(kernel, self.plan(kernel, arguments[1]), int(arguments[2]), log)
        elif arguments[0] == "solo":
            run_single_instance(
                kernel,
                self.plan(kernel, arguments[1]),
                int(arguments[2]),
                int(arguments[3]),
                arguments[4],
                arguments[5],
                log,
            )
        else:
            raise FileNotFoundError(f"no program {argv}")
