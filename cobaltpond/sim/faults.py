"""Fault injection: carries out the faults of a scenario on the simulated machine.

A fault begins at its own time, or when a gateway reaches the moment that it is aimed at.
"""

from cobaltpond.sim.links import component_of
from cobaltpond.sim.network import Stream

SUPERVISOR_PERIOD_US = 250_000  # time between two checks for components that have ended
BACKUP_PERIOD_US = 200_000  # time between two backups of a journal


class Faults:
    """The faults of one scenario, and the supervisor that restarts what they end.

    `scenario_run` is the running `ScenarioRun`. `on_injected(kind, component)` is called at the begin of
    each fault. `last_fault_end` is the time of the world at which the last fault so far ends.
    `injected_count` counts the faults that have begun. `own_restart_times`: component -> when the restart
    of its kill is due. `backups`: folder -> [(time, name -> bytes)].
    """

    def __init__(self, machine, scenario_run, plan, on_injected=lambda kind, component: None):
        self.machine = machine
        self.world = machine.world
        self.network = machine.network
        self.disk = machine.disk
        self.scenario_run = scenario_run
        self.plan = plan
        self.on_injected = on_injected
        self.pending_aimed = []
        self.last_fault_end = 0
        self.injected_count, self.own_restart_times = 0, {}
        self.backups = {}

    def start(self, begin: int) -> None:
        """Schedule the faults of a scenario that begins at `begin`, and the journal backups they need."""
        self.begin_time = begin
        self.last_fault_end = begin
        for row in self.plan["fault"]:
            if row["aim"]:
                self.pending_aimed.append(row)
            else:
                self.world.at(begin + row["at"], lambda row=row: self.inject(row))
        for target in {row["on"]: True for row in self.plan["fault"] if row["kind"] == "rolled_back"}:
            self.back_up_journal(self.journal_folder(target))

    def on_wire_event(self, event, number, at, value) -> None:
        """Schedule the faults that are aimed at what has just happened at gateway `number`."""
        if not self.pending_aimed:
            return
        target = f"gateway-{number}"
        for row in [
            r
            for r in self.pending_aimed
            if (r["by"] or r["on"]) == target and at >= self.begin_time + r["at"]
        ]:
            aim_time = self.aim_time(row["aim"], event, at, value)
            if aim_time is not None:
                self.pending_aimed.remove(row)
                self.world.at(
                    max(aim_time + row["offset"], self.world.time), lambda row=row: self.inject(row)
                )

    def aim_time(self, aim, event, at, value):
        """Return the time that a fault with this aim is relative to, None where the event is another."""
        if aim == "drain" and event == "list" and any(r["state"] != "up" for r in value["rows"]):
            return at + self.plan["rules"]["drain_grace"]
        if aim == "stage" and event == "news" and value["phase"] == "trial":
            return at
        if aim == "back" and event == "news" and value["phase"] == "going back":
            return at
        if aim == "vote" and event == "vote":
            return at + self.plan["release"]["vote_wait"]
        if aim == "window" and event == "forward":
            group = next(
                (
                    g
                    for g in self.plan["groups"]
                    if g["kind"] == "tagged" and f"standin-group: {g['name']}\r".encode() in value
                ),
                None,
            )
            return None if group is None else at + group["repeat_window"]
        return None

    # --- injection ------------------------------------------------------------------------------------------

    def inject(self, row) -> None:
        """Begin a fault and record it."""
        self.injected_count += 1
        self.world.record_event("fault", row["kind"], row["on"], row["to"])
        self.on_injected(row["kind"], row["on"])
        self.last_fault_end = max(self.last_fault_end, self.world.time + row["length"])
        getattr(self, f"do_{row['kind']}")(row)

    def at_fault_end(self, row, call) -> None:
        """Schedule a callback at the end of a fault."""
        self.world.after(row["length"], call)

    def processes(self, component: str) -> list:
        """Return the running processes of a component."""
        return [p for p in self.world.alive() if component_of(p.name) == component]

    def links(self, row) -> list:
        """Return the links between the components `on` and `to` of a fault."""
        return [
            self.network.link(a.name, b.name)
            for a in self.processes(row["on"])
            for b in self.processes(row["to"])
            if a is not b
        ]

    def do_cut(self, row) -> None:
        """Partition `on` from `to`."""
        links = self.links(row)
        for link in links:
            link.cut(True)
        self.at_fault_end(row, lambda: [link.cut(False) for link in links])

    def do_one_way(self, row) -> None:
        """Let nothing that `to` sends reach `on`."""
        names = [p.name for p in self.processes(row["on"])]
        links = self.links(row)

        def set_one_way(begins):
            for link in links:
                for name in names:
                    link.one_way(name, begins)

        set_one_way(True)
        self.at_fault_end(row, lambda: set_one_way(False))

    def do_slow(self, row) -> None:
        """Multiply the delay between `on` and `to` by `size`."""
        links = self.links(row)
        for link in links:
            link.delay_factor = row["size"]
        self.at_fault_end(row, lambda: [setattr(link, "delay_factor", 1.0) for link in links])

    def do_datagrams(self, row) -> None:
        """Lose, duplicate and reorder datagrams between `on` and `to`, each with probability `size` / 2."""
        links = self.links(row)

        def set_share(share):
            for link in links:
                link.loss_share = link.duplicate_share = link.reorder_share = share

        set_share(min(1.0, row["size"]) / 2)
        self.at_fault_end(row, lambda: set_share(0.0))

    def do_reset(self, row) -> None:
        """Reset the connections of `on` to `to` at both ends, as a middlebox that loses its state."""
        for process in self.processes(row["on"]):
            for handle in list(process.kernel.handles):
                if (
                    isinstance(handle, Stream)
                    and handle.state == "open"
                    and component_of(handle.peer_name) == row["to"]
                ):
                    handle.flow.segments.clear()
                    handle.flow.sink.flow.segments.clear()
                    handle.flow.sink.receive_segment("reset", b"")
                    handle.receive_segment("reset", b"")

    def fail_dials(self, row, active_faults) -> None:
        """Count a fault on dials to `on` in `active_faults` for its length."""
        names = [p.name for p in self.processes(row["on"])]
        for name in names:
            active_faults[name] = active_faults.get(name, 0) + 1

        def end_fault():
            for name in names:
                active_faults[name] -= 1

        self.at_fault_end(row, end_fault)

    def do_refuse(self, row) -> None:
        """Refuse dials to `on`."""
        self.fail_dials(row, self.network.refusing)

    def do_silent(self, row) -> None:
        """Drop the SYNs of dials to `on`."""
        self.fail_dials(row, self.network.silent)

    def do_handles(self, row) -> None:
        """Limit the open sockets of `on` to `size`."""
        for process in self.processes(row["on"]):
            kernel = process.kernel
            kernel.max_handles = int(row["size"])
            self.at_fault_end(row, lambda kernel=kernel: setattr(kernel, "max_handles", 1 << 30))

    def do_drift(self, row) -> None:
        """Let the clock of `on` run at `size` times the world's, to the end of the scenario."""
        for process in self.processes(row["on"]):
            if process.name.startswith("gateway-"):
                self.scenario_run.record_act("drifted", gateway=int(process.name[8:]), rate=row["size"])
            process.kernel.drift(row["size"])

    def do_stall(self, row) -> None:
        """Stop the processes of `on`, and continue them at the end of the fault."""
        for process in self.processes(row["on"]):
            if process.name.startswith("gateway-"):
                self.scenario_run.record_act("stalled", gateway=int(process.name[8:]), len=row["length"])
            if process.name.startswith("solo-"):
                self.scenario_run.record_act("frozen", part=component_of(process.name)[5:], len=row["length"])
            process.signal("STOP")
            self.at_fault_end(row, lambda process=process: process.signal("CONT"))

    def do_kill(self, row) -> None:
        """Kill `on` as the scenario's own kills do: the scenario records it, and restarts it later."""
        component_kind, _, number = row["on"].partition("-")
        kinds = {"gateway": "gateway", "desk": "desk", "agent": "agent", "solo": "instance"}
        which = int(number.rpartition("-")[2] or 0)
        if not self.processes(row["on"]):
            return
        kill = {
            "what": kinds[component_kind],
            "gateway": which,
            "at": self.world.time - self.begin_time,
            "back_after": row["length"],
        }
        self.own_restart_times[row["on"]] = self.world.time + row["length"] + SUPERVISOR_PERIOD_US
        self.scenario_run.loop.spawn(self.scenario_run.kill_component(self.begin_time, kill), "kill")

    def do_restart(self, row) -> None:
        """Restart a gateway in order, as for a new version: TERM, then a start once it has ended."""
        for process in self.processes(row["on"]):
            self.scenario_run.record_act("stopping", gateway=int(row["on"][8:]))
            process.signal("TERM")
            self.supervise(row["on"], self.world.time + 8_000_000)

    # --- disks ----------------------------------------------------------------------------------------------

    def state_folder(self, target: str) -> str:
        """Return the path of the folder, or of the file, in which a component or a host keeps its state."""
        if target == "desk":
            return self.scenario_run.path("desk.journal")
        return (
            self.scenario_run.path(f"list-{target[8:]}.kept")
            if target.startswith("gateway-")
            else self.scenario_run.path(target)
        )

    def component(self, target: str) -> str:
        """Return the component that keeps its state at `target`; for a host that is its agent."""
        return target if target == "desk" or target.startswith("gateway-") else f"agent-{target}"

    def inject_disk_fault(self, row, active_faults) -> None:
        """Count a disk fault in `active_faults` for its length, and supervise the component meanwhile."""
        folder, component = self.state_folder(row["on"]), self.component(row["on"])
        active_faults[folder] = active_faults.get(folder, 0) + 1
        # By design the component may end over a disk fault; `supervise` restarts it.
        self.scenario_run.record_act("killed", part=component)
        self.world.after(row["length"], lambda: active_faults.update({folder: active_faults[folder] - 1}))
        self.supervise(component, self.world.time + row["length"] + 5_000_000)

    def do_full(self, row) -> None:
        """Fill the disk of `on`."""
        self.inject_disk_fault(row, self.disk.full_folders)

    def do_sync_fails(self, row) -> None:
        """Let syncs fail on the disk of `on`."""
        self.inject_disk_fault(row, self.disk.sync_failing_folders)

    def do_power_cut(self, row) -> None:
        """Cut the power of `on`: its processes die, what was not synced may be lost, and it is restarted."""
        component = self.component(row["on"])
        number = int(component[8:]) if component.startswith("gateway-") else None
        if number is not None:
            self.scenario_run.record_act("killed", gateway=number)
        self.scenario_run.record_act("killed", part=component)
        for process in self.processes(component) + self.processes(f"solo-{row['on']}"):
            process.signal("KILL")
        self.disk.power_cut(self.state_folder(row["on"]))
        self.supervise(
            component, self.world.time + row["length"] + SUPERVISOR_PERIOD_US, self.world.time + row["length"]
        )

    # --- lost and rolled back journals ----------------------------------------------------------------------

    def journal_folder(self, target: str) -> str:
        """Return the folder of the journal of the desk, or of a host's agent."""
        return self.state_folder(target) if target == "desk" else f"{self.state_folder(target)}/journal"

    def back_up_journal(self, folder: str) -> None:
        """Copy the files of a journal's folder, and again every BACKUP_PERIOD_US."""
        found = self.disk.lookup(folder)
        if found is not None:
            files = {name: bytes(file.data) for name, file in found.entries.items() if name != "lock"}
            self.backups.setdefault(folder, []).append((self.world.time, files))
        self.world.after(BACKUP_PERIOD_US, lambda: self.back_up_journal(folder))

    def do_lost(self, row) -> None:
        """Restart `on` without its journal."""
        self.restart_with_files(row, {})

    def do_rolled_back(self, row) -> None:
        """Restart `on` with the newest backup that is at least `size` seconds old, or else the oldest."""
        backups = self.backups.get(self.journal_folder(row["on"]), [(0, {})])
        old = [files for at, files in backups if at <= self.world.time - row["size"] * 1_000_000]
        self.restart_with_files(row, old[-1] if old else backups[0][1])

    def restart_with_files(self, row, files: dict) -> None:
        """Kill a component, replace the files of its journal, and restart it at the end of the fault."""
        component, folder = self.component(row["on"]), self.journal_folder(row["on"])
        self.scenario_run.record_act("killed", part=component)
        for process in self.processes(component):
            process.signal("KILL")
        self.disk.remove(folder)
        self.disk.make_folder(folder)
        for name, data in files.items():
            self.disk.write(f"{folder}/{name}", data, True)
        self.disk.sync_folder(folder)
        self.supervise(
            component, self.world.time + row["length"] + SUPERVISOR_PERIOD_US, self.world.time + row["length"]
        )

    def supervise(self, component, until, since=0) -> None:
        """Restart a component that has ended, as a supervisor does, from `since` to `until` (microseconds).

        It restarts nothing while the scenario is ending its components.
        """

        def check_component():
            child = self.scenario_run.children.get(component)
            may_restart = self.world.time >= max(since, self.own_restart_times.get(component, 0))
            if (
                may_restart
                and child is not None
                and child.ended() is not None
                and not self.scenario_run.is_ending
            ):
                if component.startswith("gateway-"):
                    self.scenario_run.start_gateway(int(component[8:]))
                else:
                    command = (
                        ["desk", self.scenario_run.settings_path]
                        if component == "desk"
                        else [
                            "agent",
                            self.scenario_run.settings_path,
                            "--place",
                            component.removeprefix("agent-"),
                        ]
                    )
                    self.scenario_run.spawn(component, *command)
            if self.world.time < until:
                self.world.after(SUPERVISOR_PERIOD_US, check_component)

        check_component()
