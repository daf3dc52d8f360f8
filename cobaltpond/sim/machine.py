"""One machine: a world, a network, a disk and the programs of this project, as the command line would start
them."""

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

read_settings_cached = lru_cache(maxsize=64)(
    read_settings
)  # a sheet is frozen: all that read the same text may share it


class Log:
    """Lines of a process, kept where somebody asked for them; what must not happen becomes a trouble of the
    world. `expected`: types of exceptions that faults on disks bring about by design."""

    def __init__(self, process: Process, machine: "Machine"):
        self.process, self.machine = process, machine

    def line(self, level, event, **fields) -> None:
        wrong = fields.pop("exc_info", None)
        if wrong not in (None, True):
            fields["trouble"] = f"{wrong[0].__name__}: {wrong[1]}"
        if self.machine.lines is not None:
            self.machine.lines.append((self.machine.world.time, self.process.name, level, event, fields))
        if level == "error":
            self.machine.counts[event] = self.machine.counts.get(event, 0) + 1
        if wrong not in (None, True) and not isinstance(wrong[1], self.machine.expected):
            text = "".join(traceback.format_exception(*wrong)[-4:])
            self.machine.world.troubles.append(f"{self.process.name}: {event}: {text}")

    def info(self, event, **fields):
        self.line("info", event, **fields)

    def warning(self, event, **fields):
        self.line("warning", event, **fields)

    def error(self, event, **fields):
        self.line("error", event, **fields)


class Machine:
    def __init__(self, seed, keep_lines: bool = False):
        self.world = World(seed)
        self.network, self.disk = Network(self.world), Disk(self.world)
        self.held, self.lines, self.counts = {}, [] if keep_lines else None, {}
        self.expected, self.decisions, self.started = (), None, []

    def process(self, name: str, argv: list, mark: str = "") -> VirtualKernel:
        """A process that nobody spawned: the first one of a world."""
        process = Process(self.world, name, argv, mark)
        process.log = Log(process, self)
        return VirtualKernel(self, process)

    def start_program(self, process: Process) -> None:
        """The first lines of a program; an exception in them ends it, as it would end the interpreter."""
        if process.code is not None:
            return
        if process.frozen:  # stopped before it began: looked at again when it goes on
            self.world.after(1_000, lambda: self.start_program(process))
            return
        process.log = Log(process, self)
        self.world.record_event("begin", process.name, process.start)
        for call in self.started:
            call(process)
        try:
            self.run(process.kernel, process.argv, process.log)
        except Exception as trouble:
            process.fail(trouble)

    def read_settings(self, kernel, path):
        return read_settings_cached(path, (kernel.read_file(path) or b"").decode())

    def plan(self, kernel, path):
        return json.loads(kernel.read_file(path) or b"null")

    def run(self, kernel, argv, log) -> None:
        """The commands of `cli/main.py`, with this kernel."""
        if argv[0] == "exit":
            kernel.process.exit(int(argv[1]))
            return
        if argv[1:3] != ["-m", "cobaltpond"]:
            raise FileNotFoundError(f"no program {argv[:3]}")
        what, *words = argv[3:]
        if what == "gateway":
            decisions = self.decisions(kernel.process) if self.decisions is not None else None
            run_gateway(kernel, self.read_settings(kernel, words[0]), int(words[2]), log, decisions)
        elif what == "desk":
            run_desk(kernel, self.read_settings(kernel, words[0]), log)
        elif what == "agent":
            sheet = self.read_settings(kernel, words[0])
            run_agent(kernel, sheet, next(h for h in sheet.hosts if h.place == words[2]), log)
        elif words[0] == "yard":
            run_instance_fleet(kernel, self.plan(kernel, words[1]), words[2], log)
        elif words[0] == "crowd":
            run_clients(kernel, self.plan(kernel, words[1]), words[2], log)
        elif words[0] == "builds":
            run_build_server(kernel, self.plan(kernel, words[1]), int(words[2]), log)
        elif words[0] == "solo":
            run_single_instance(
                kernel, self.plan(kernel, words[1]), int(words[2]), int(words[3]), words[4], words[5], log
            )
        else:
            raise FileNotFoundError(f"no program {argv}")
