"""Plays a plan: starts yard, desk, gateways and clients as processes of their own, and does to them what the
day says; then has the records checked."""

import json
import os
import sys

from cobaltpond.audit.check import check_rules
from cobaltpond.loop import Deadline, DeadlineExceededError, Sleep, UnreachableError, reserve_ports
from cobaltpond.rpc import CALL_ERRORS, call
from cobaltpond.scenario.events import Events
from cobaltpond.scenario.shutdown import Shutdown
from cobaltpond.scenario.startup import Startup
from cobaltpond.scenario.time_limits import CALL_TIME, READY, ScenarioError


class ScenarioRun(Startup, Events, Shutdown):
    def __init__(self, loop, plan, folder, say, extra=None):
        """`extra`: gateway number -> more words for its command line (gateways broken on purpose, in
        tests)."""
        self.loop, self.plan, self.folder, self.on_progress, self.extra = loop, plan, folder, say, extra or {}
        self.python = sys.executable  # what builds of agents are started with
        self.is_ending = False  # from now on parts are ended, and are not to come back
        self.acts, self.children, self.gateways, self.statuses = [], {}, {}, []
        loop.kernel.make_folder(folder)
        if loop.kernel.file_size(self.path("plan.json")) is not None:
            raise ScenarioError(f"{folder} holds another day's records")

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, value):
        data = value if isinstance(value, str) else json.dumps(value)
        self.loop.kernel.replace_file(self.path(name), data.encode(), sync=False)
        return self.path(name)

    def spawn(self, name, *words):
        argv = [sys.executable, "-m", "cobaltpond", *words]
        child = self.children[name] = self.loop.kernel.spawn(argv, self.path(f"{name}.log"))
        return child

    def ports(self):
        """A run of free ports, held while the day lasts."""
        need = (
            8 * len(self.plan["places"]) + 2 * len(self.plan["gateways"]) + len(self.plan["zone_names"]) + 9
        )
        try:
            self.lock, base = reserve_ports(self.loop.kernel, need)
        except UnreachableError as trouble:
            raise ScenarioError(str(trouble)) from None
        names = iter(range(base + 8 * len(self.plan["places"]), base + need))
        ports = {
            "machines": base,
            "list": next(names),
            "platform": next(names),
            "troubles": next(names),
            "desk": next(names),
            "builds": next(names),
            "relays": {zone: next(names) for zone in self.plan["zone_names"]},
        }
        ports["doors"] = next(names)
        ports["peers"] = ports["doors"] + len(self.plan["gateways"])
        return ports

    def record_act(self, kind, **more):
        self.acts.append({"kind": kind, "at": self.loop.kernel.now(), **more})

    def http_call(self, port, method, target, body=None):
        with Deadline(self.loop, CALL_TIME):
            status, text = yield from call(
                self.loop,
                ("127.0.0.1", port),
                method,
                target,
                json.dumps(body).encode() if body is not None else b"",
                CALL_TIME,
            )
        return status, json.loads(text) if text[:1] in (b"{", b"[") else {}

    def call_until_answered(self, method, target, body=None, at="desk"):
        """As an operator does with a part that may be down: asks again until there is an answer, within a
        bound."""
        end = self.loop.now() + READY
        while True:
            try:
                status, told = yield from self.http_call(self.port[at], method, target, body)
                return told
            except (*CALL_ERRORS, DeadlineExceededError):
                if self.loop.now() > end:
                    raise
            yield Sleep(100_000)

    def wait_until_ready(self, what, ask, good):
        """Asks again and again until the answer is good, within a bound."""
        end = self.loop.now() + READY
        while self.loop.now() < end:
            try:
                status, body = yield from ask()
                if status == 200 and good(body):
                    return body
            except (*CALL_ERRORS, DeadlineExceededError, ValueError):
                pass
            for name, child in self.children.items():
                if child.ended() not in (None, 0, -9):
                    raise ScenarioError(
                        f"{name} has ended with {child.ended()}: see {self.path(name + '.log')}"
                    )
            yield Sleep(30_000)
        raise ScenarioError(f"{what} did not come up: see {self.folder}")

    def run(self):
        """Gives the day's whole result: a plain map."""
        plan, loop = self.plan, self.loop
        self.port = ports = self.ports()
        try:
            yield from self.start_components(ports)
            begin = loop.kernel.now() + 700_000
            crowds = self.start_crowds(ports, begin)
            for generator in self.script(begin):
                loop.spawn(generator, "script")
            yield from self.wait_for_clients(begin, crowds)
            for number in range(len(plan["gateways"])):
                # one that was killed near the end may be starting still
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
        return self.result(begin)

    def wait_for_clients(self, begin, crowds):
        end = begin + self.plan["length"] + 40_000_000
        while any(c.ended() is None for c in crowds):
            if self.loop.kernel.now() > end:
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
        """Told to stop: the day ends where it is, without a verdict."""
        self.loop.stop()

    # --- afterwards -----------------------------------------------------------------------------------------

    def records(self, name):
        lines = (self.loop.kernel.read_file(self.path(name)) or b"").split(b"\n")
        return [json.loads(line) for line in lines[:-1]]  # what is not ended was cut off by a kill

    def result(self, begin):
        crowd = [e for n in range(self.plan["crowds"]) for e in self.records(f"crowd-{n}.records")]
        yard = self.records("yard.records")
        for name in self.loop.kernel.list_folder(self.folder):
            if name.endswith(".solo"):
                yard += self.records(name)
        yard.sort(key=lambda e: e["at"])
        runsheet = {
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
            "found": check_rules(crowd, yard, self.acts, runsheet),
            "crowd": crowd,
            "yard": yard,
            "begin": begin,
            "statuses": self.statuses,
            "desk": self.desk_status,
            "plan": self.plan,
            "final": self.final,
        }
