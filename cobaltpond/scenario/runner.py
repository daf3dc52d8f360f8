"""Runs a scenario plan and checks the records afterwards.

Simulated instances, desk, gateways and clients run as processes of their own; faults are injected as planned.
"""

import json
import os
import sys

from cobaltpond.audit.check import check_rules
from cobaltpond.loop import Deadline, DeadlineExceededError, Sleep, UnreachableError, reserve_ports
from cobaltpond.rpc import CALL_ERRORS, call
from cobaltpond.scenario.events import Events
from cobaltpond.scenario.shutdown import Shutdown
from cobaltpond.scenario.startup import Startup
from cobaltpond.scenario.time_limits import CALL_TIME_US, READY_TIME_US, ScenarioError


class ScenarioRun(Startup, Events, Shutdown):
    """One run of a plan; `run()` is its task. All its files are in `folder`."""

    def __init__(self, loop, plan, folder, on_progress, extra_arguments=None):
        """`extra_arguments`: gateway number -> more command line arguments (in tests, for faulty gateways).

        Raises ScenarioError if the folder holds the records of another run.
        """
        self.loop = loop
        self.plan = plan
        self.folder = folder
        self.on_progress = on_progress
        self.extra_arguments = extra_arguments or {}
        self.python = sys.executable  # interpreter that the builds of agents are started with
        self.is_ending = False  # processes are being stopped and must not be started again
        self.acts, self.children, self.gateways, self.statuses = [], {}, {}, []
        loop.kernel.make_folder(folder)
        if loop.kernel.file_size(self.path("plan.json")) is not None:
            raise ScenarioError(f"{folder} holds another day's records")

    def path(self, name):
        """The path of a file of this run."""
        return os.path.join(self.folder, name)

    def write(self, name, value):
        """Writes text, or any other value as JSON, to a file of this run; returns its path."""
        data = value if isinstance(value, str) else json.dumps(value)
        self.loop.kernel.replace_file(self.path(name), data.encode(), sync=False)
        return self.path(name)

    def spawn(self, name, *arguments):
        """Starts `python -m cobaltpond` with these arguments, logging to `name`.log; returns the child."""
        argv = [sys.executable, "-m", "cobaltpond", *arguments]
        child = self.children[name] = self.loop.kernel.spawn(argv, self.path(f"{name}.log"))
        return child

    def assign_ports(self):
        """Reserves consecutive free ports for the whole run and assigns them; raises ScenarioError."""
        port_count = (
            8 * len(self.plan["places"]) + 2 * len(self.plan["gateways"]) + len(self.plan["zone_names"]) + 9
        )
        try:
            self.lock, base = reserve_ports(self.loop.kernel, port_count)
        except UnreachableError as error:
            raise ScenarioError(str(error)) from None
        free_ports = iter(range(base + 8 * len(self.plan["places"]), base + port_count))
        ports = {
            "machines": base,
            "list": next(free_ports),
            "platform": next(free_ports),
            "troubles": next(free_ports),
            "desk": next(free_ports),
            "builds": next(free_ports),
            "relays": {zone: next(free_ports) for zone in self.plan["zone_names"]},
        }
        ports["doors"] = next(free_ports)
        ports["peers"] = ports["doors"] + len(self.plan["gateways"])
        return ports

    def record_act(self, kind, **fields):
        """Records an action of the scenario, with the time, for the audit."""
        self.acts.append({"kind": kind, "at": self.loop.kernel.now(), **fields})

    def http_call(self, port, method, target, body=None):
        """One call: (status, parsed JSON answer, {} where it is not JSON)."""
        with Deadline(self.loop, CALL_TIME_US):
            status, text = yield from call(
                self.loop,
                ("127.0.0.1", port),
                method,
                target,
                json.dumps(body).encode() if body is not None else b"",
                CALL_TIME_US,
            )
        return status, json.loads(text) if text[:1] in (b"{", b"[") else {}

    def call_until_answered(self, method, target, body=None, at="desk"):
        """Repeats a call until there is an answer, as an operator does with a process that may be down.

        Raises the last error after `READY_TIME_US`.
        """
        give_up_at = self.loop.now() + READY_TIME_US
        while True:
            try:
                status, answer = yield from self.http_call(self.port[at], method, target, body)
                return answer
            except (*CALL_ERRORS, DeadlineExceededError):
                if self.loop.now() > give_up_at:
                    raise
            yield Sleep(100_000)

    def wait_until_ready(self, description, send_request, is_ready):
        """Repeats a request until its answer is accepted; raises ScenarioError after `READY_TIME_US`."""
        give_up_at = self.loop.now() + READY_TIME_US
        while self.loop.now() < give_up_at:
            try:
                status, body = yield from send_request()
                if status == 200 and is_ready(body):
                    return body
            except (*CALL_ERRORS, DeadlineExceededError, ValueError):
                pass
            for name, child in self.children.items():
                if child.ended() not in (None, 0, -9):
                    raise ScenarioError(
                        f"{name} has ended with {child.ended()}: see {self.path(name + '.log')}"
                    )
            yield Sleep(30_000)
        raise ScenarioError(f"{description} did not come up: see {self.folder}")

    def run(self):
        """Runs the scenario and returns its result, a plain map."""
        plan, loop = self.plan, self.loop
        self.port = ports = self.assign_ports()
        try:
            yield from self.start_components(ports)
            begin = loop.kernel.now() + 700_000
            client_processes = self.start_clients(ports, begin)
            for generator in self.script(begin):
                loop.spawn(generator, "script")
            yield from self.wait_for_clients(begin, client_processes)
            for number in range(len(plan["gateways"])):
                # a gateway that was killed near the end may still be starting
                self.statuses.append(
                    (
                        yield from self.wait_until_ready(
                            f"gateway {number}",
                            lambda n=number: self.http_call(ports["doors"] + n, "GET", "/-/status"),
                            lambda body: True,
                        )
                    )
                )
            yield from self.inspect_end()
            self.is_ending = True
            yield from self.stop_all()
        finally:
            for child in self.children.values():
                child.signal("CONT")
                child.signal("KILL")
            self.end_instances()
        return self.build_result(begin)

    def wait_for_clients(self, begin, client_processes):
        """Waits for the clients to end; raises ScenarioError if they do not, or if a process has failed."""
        give_up_at = begin + self.plan["length"] + 40_000_000
        while any(c.ended() is None for c in client_processes):
            if self.loop.kernel.now() > give_up_at:
                raise ScenarioError("the clients did not end")
            for name, child in self.children.items():
                if child.ended() not in (None, 0) and not any(
                    a["kind"] == "killed" and name in (a.get("part"), f"gateway-{a.get('gateway')}")
                    for a in self.acts
                ):
                    raise ScenarioError(
                        f"{name} has ended with {child.ended()}: see {self.path(name + '.log')}"
                    )
            yield Sleep(50_000)

    def stop(self, name=""):
        """Ends the scenario at once, without a result."""
        self.loop.stop()

    # --- results -------------------------------------------------------------------------------------------

    def read_records(self, name):
        """The records of a file of this run."""
        lines = (self.loop.kernel.read_file(self.path(name)) or b"").split(b"\n")
        return [json.loads(line) for line in lines[:-1]]  # a last line without newline was cut off by a kill

    def build_result(self, begin):
        """Reads all records, checks the rules and returns the result."""
        client_records = [
            e for n in range(self.plan["crowds"]) for e in self.read_records(f"crowd-{n}.records")
        ]
        instance_records = self.read_records("yard.records")
        for name in self.loop.kernel.list_folder(self.folder):
            if name.endswith(".solo"):
                instance_records += self.read_records(name)
        instance_records.sort(key=lambda e: e["at"])
        rule_settings = {
            **self.settings.policy_settings(0),
            "rules": {
                "tip_time": self.settings.rules.tip_time,
                "overload_factor": self.settings.rules.overload_factor,
                "answer_slack": self.settings.rules.answer_slack,
            },
        }
        self.write("acts.json", self.acts)
        self.write("statuses.json", self.statuses)
        return {
            "found": check_rules(client_records, instance_records, self.acts, rule_settings),
            "crowd": client_records,
            "yard": instance_records,
            "begin": begin,
            "statuses": self.statuses,
            "desk": self.desk_status,
            "plan": self.plan,
            "final": self.final,
        }
