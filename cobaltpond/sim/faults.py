"""Carries out the faults of a scenario, at their times or aimed at a moment, on the simulated machine."""

from cobaltpond.sim.links import component_of
from cobaltpond.sim.network import Stream

LOOK = 250_000  # how often parts that a disk fault has ended are started again
COPY_EVERY = 200_000  # between copies of what may be put back


class Faults:
    """`day`: the running DayRun; `met(kind, part)`: told of each fault as it strikes, for the coverage."""

    def __init__(self, machine, day, plan, met=lambda kind, part: None):
        self.machine, self.world, self.network, self.disk = (
            machine,
            machine.world,
            machine.network,
            machine.disk,
        )
        self.day, self.plan, self.met, self.aimed, self.over_at = day, plan, met, [], 0
        self.struck, self.back_at = 0, {}  # part -> when a kill of its own starts it again
        self.copies = {}  # folder -> [(when, name -> bytes)]

    def start(self, begin: int) -> None:
        self.begun = begin
        self.over_at = begin
        for row in self.plan["fault"]:
            if row["aim"]:
                self.aimed.append(row)
            else:
                self.world.at(begin + row["at"], lambda row=row: self.strike(row))
        for on in {row["on"]: True for row in self.plan["fault"] if row["kind"] == "rolled_back"}:
            self.copy(self.journal(on))

    def on_wire_event(self, what, number, at, value) -> None:
        """Something that faults may be aimed at has happened at a gateway."""
        if not self.aimed:
            return
        on = f"gateway-{number}"
        for row in [r for r in self.aimed if (r["by"] or r["on"]) == on and at >= self.begun + r["at"]]:
            moment = self.moment(row["aim"], what, at, value)
            if moment is not None:
                self.aimed.remove(row)
                self.world.at(max(moment + row["offset"], self.world.time), lambda row=row: self.strike(row))

    def moment(self, aim, what, at, value):
        if aim == "drain" and what == "list" and any(r["state"] != "up" for r in value["rows"]):
            return at + self.plan["rules"]["drain_grace"]
        if aim == "stage" and what == "news" and value["phase"] == "trial":
            return at
        if aim == "back" and what == "news" and value["phase"] == "going back":
            return at
        if aim == "vote" and what == "vote":
            return at + self.plan["release"]["vote_wait"]
        if aim == "window" and what == "forward":
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

    # --- striking -------------------------------------------------------------------------------------------

    def strike(self, row) -> None:
        self.struck += 1
        self.world.record_event("fault", row["kind"], row["on"], row["to"])
        self.met(row["kind"], row["on"])
        self.over_at = max(self.over_at, self.world.time + row["length"])
        getattr(self, f"do_{row['kind']}")(row)

    def later(self, row, call) -> None:
        self.world.after(row["length"], call)

    def processes(self, part: str) -> list:
        return [p for p in self.world.alive() if component_of(p.name) == part]

    def links(self, row) -> list:
        return [
            self.network.link(a.name, b.name)
            for a in self.processes(row["on"])
            for b in self.processes(row["to"])
            if a is not b
        ]

    def do_cut(self, row) -> None:
        links = self.links(row)
        for link in links:
            link.cut(True)
        self.later(row, lambda: [link.cut(False) for link in links])

    def do_one_way(self, row) -> None:
        """Nothing that `to` sends comes to `on`."""
        names = [p.name for p in self.processes(row["on"])]
        links = self.links(row)

        def to(begins):
            for link in links:
                for name in names:
                    link.one_way(name, begins)

        to(True)
        self.later(row, lambda: to(False))

    def do_slow(self, row) -> None:
        links = self.links(row)
        for link in links:
            link.slow = row["size"]
        self.later(row, lambda: [setattr(link, "slow", 1.0) for link in links])

    def do_datagrams(self, row) -> None:
        links = self.links(row)

        def to(share):
            for link in links:
                link.lose = link.repeat = link.shuffle = share

        to(min(1.0, row["size"]) / 2)
        self.later(row, lambda: to(0.0))

    def do_reset(self, row) -> None:
        """Something between the two forgets all that goes through it: both ends are told."""
        for process in self.processes(row["on"]):
            for handle in list(process.kernel.handles):
                if (
                    isinstance(handle, Stream)
                    and handle.state == "open"
                    and component_of(handle.peer_name) == row["to"]
                ):
                    handle.flow.pieces.clear()
                    handle.flow.sink.flow.pieces.clear()
                    handle.flow.sink.receive_piece("reset", b"")
                    handle.receive_piece("reset", b"")

    def strike_dials(self, row, table) -> None:
        names = [p.name for p in self.processes(row["on"])]
        for name in names:
            table[name] = table.get(name, 0) + 1

        def over():
            for name in names:
                table[name] -= 1

        self.later(row, over)

    def do_refuse(self, row) -> None:
        self.strike_dials(row, self.network.refusing)

    def do_silent(self, row) -> None:
        self.strike_dials(row, self.network.silent)

    def do_handles(self, row) -> None:
        for process in self.processes(row["on"]):
            kernel = process.kernel
            kernel.most = int(row["size"])
            self.later(row, lambda kernel=kernel: setattr(kernel, "most", 1 << 30))

    def do_drift(self, row) -> None:
        for process in self.processes(row["on"]):
            if process.name.startswith("gateway-"):
                self.day.record_act("drifted", gateway=int(process.name[8:]), rate=row["size"])
            process.kernel.drift(row["size"])

    def do_stall(self, row) -> None:
        for process in self.processes(row["on"]):
            if process.name.startswith("gateway-"):
                self.day.record_act("stalled", gateway=int(process.name[8:]), len=row["length"])
            if process.name.startswith("solo-"):
                self.day.record_act("frozen", part=component_of(process.name)[5:], len=row["length"])
            process.signal("STOP")
            self.later(row, lambda process=process: process.signal("CONT"))

    def do_kill(self, row) -> None:
        """As the day's own kills: they are in its acts, and it starts the part again."""
        what, _, number = row["on"].partition("-")
        kinds = {"gateway": "gateway", "desk": "desk", "agent": "agent", "solo": "instance"}
        which = int(number.rpartition("-")[2] or 0)
        if not self.processes(row["on"]):
            return
        kill = {
            "what": kinds[what],
            "gateway": which,
            "at": self.world.time - self.begun,
            "back_after": row["length"],
        }
        self.back_at[row["on"]] = self.world.time + row["length"] + LOOK
        self.day.loop.spawn(self.day.kill_component(self.begun, kill), "kill")

    def do_restart(self, row) -> None:
        """As for a new version of the gateway: told to stop, and started again once it has."""
        for process in self.processes(row["on"]):
            self.day.record_act("stopping", gateway=int(row["on"][8:]))
            process.signal("TERM")
            self.stand_by(row["on"], self.world.time + 8_000_000)

    # --- disks ----------------------------------------------------------------------------------------------

    def folder(self, on: str) -> str:
        if on == "desk":
            return self.day.path("desk.journal")
        return self.day.path(f"list-{on[8:]}.kept") if on.startswith("gateway-") else self.day.path(on)

    def part(self, on: str) -> str:
        return on if on == "desk" or on.startswith("gateway-") else f"agent-{on}"

    def disk_fault(self, row, table) -> None:
        folder, part = self.folder(row["on"]), self.part(row["on"])
        table[folder] = table.get(folder, 0) + 1
        self.day.record_act("killed", part=part)  # it may end over it, by design; see `stand_by`
        self.world.after(row["length"], lambda: table.update({folder: table[folder] - 1}))
        self.stand_by(part, self.world.time + row["length"] + 5_000_000)

    def do_full(self, row) -> None:
        self.disk_fault(row, self.disk.full)

    def do_sync_fails(self, row) -> None:
        self.disk_fault(row, self.disk.failing)

    def do_power_cut(self, row) -> None:
        """A host loses its power, and what had not reached the disk; it is started again."""
        part = self.part(row["on"])
        number = int(part[8:]) if part.startswith("gateway-") else None
        if number is not None:
            self.day.record_act("killed", gateway=number)
        self.day.record_act("killed", part=part)
        for process in self.processes(part) + self.processes(f"solo-{row['on']}"):
            process.signal("KILL")
        self.disk.power_cut(self.folder(row["on"]))
        self.stand_by(part, self.world.time + row["length"] + LOOK, self.world.time + row["length"])

    # --- state that is lost, or put back from a copy --------------------------------------------------------

    def journal(self, on: str) -> str:
        return self.folder(on) if on == "desk" else f"{self.folder(on)}/journal"

    def copy(self, folder: str) -> None:
        """Again and again, as a backup is taken: what lies in a journal's folder."""
        found = self.disk.lookup(folder)
        if found is not None:
            files = {name: bytes(file.data) for name, file in found.entries.items() if name != "lock"}
            self.copies.setdefault(folder, []).append((self.world.time, files))
        self.world.after(COPY_EVERY, lambda: self.copy(folder))

    def do_lost(self, row) -> None:
        self.put_back(row, {})

    def do_rolled_back(self, row) -> None:
        """To the newest copy that is `size` seconds old, or the oldest there is."""
        copies = self.copies.get(self.journal(row["on"]), [(0, {})])
        old = [files for at, files in copies if at <= self.world.time - row["size"] * 1_000_000]
        self.put_back(row, old[-1] if old else copies[0][1])

    def put_back(self, row, files: dict) -> None:
        """The part is killed, its journal replaced, and it is started again."""
        part, folder = self.part(row["on"]), self.journal(row["on"])
        self.day.record_act("killed", part=part)
        for process in self.processes(part):
            process.signal("KILL")
        self.disk.remove(folder)
        self.disk.make_folder(folder)
        for name, data in files.items():
            self.disk.write(f"{folder}/{name}", data, True)
        self.disk.sync_folder(folder)
        self.stand_by(part, self.world.time + row["length"] + LOOK, self.world.time + row["length"])

    def stand_by(self, part, until, since=0) -> None:
        """What a supervisor does: a part that has ended is started again, unless the day itself is ending
        them."""

        def look():
            child = self.day.children.get(part)
            due = self.world.time >= max(since, self.back_at.get(part, 0))
            if due and child is not None and child.ended() is not None and not self.day.is_ending:
                if part.startswith("gateway-"):
                    self.day.start_gateway(int(part[8:]))
                else:
                    words = (
                        ["desk", self.day.settings_path]
                        if part == "desk"
                        else ["agent", self.day.settings_path, "--place", part.removeprefix("agent-")]
                    )
                    self.day.spawn(part, *words)
            if self.world.time < until:
                self.world.after(LOOK, look)

        look()
