"""Gateways that do nothing but know each other, on the virtual kernel: membership's service at any size, with
faults.

What runs is `members/service.py` over `gateway/peers.py`, as in a gateway; only the parts around them are
left out.
"""

from cobaltpond.decisions.records import RandomSource
from cobaltpond.gateway.peers import Peers
from cobaltpond.loop import Sleep, run_component
from cobaltpond.members.service import Members
from cobaltpond.members.states import ALIVE, FAILED
from cobaltpond.members.view import ProbeSettings, View
from cobaltpond.sim.machine import Machine

PORT = 20_000
SECOND = 1_000_000


class MemberProcess:
    """The main part of such a process. `posted`: names and arguments of what the module would hear."""

    def __init__(self, loop, society, number, log):
        self.loop, self.society, self.stop_asked, self.posted = loop, society, False, []
        self.peers = Peers(loop, society.addresses, society.addresses[number], number, self)
        self.members = Members(
            loop,
            society.zones,
            number,
            society.probe_settings,
            self.peers,
            self.post_event,
            self.describe_self,
            log,
            RandomSource(loop.kernel.random_seed()),
            0,
            society.view,
        )

    def post_event(self, name, *arguments):
        self.posted.append((self.loop.now(), name, arguments))
        del self.posted[:-1000]

    def describe_self(self):
        return {"revision": 1, "out": 0, "admitted": 1.0, "flags": 1}

    def run(self):
        self.loop.spawn(self.peers.listen(), "peers")
        self.loop.spawn(self.members.run(), "members")
        while not self.stop_asked and not self.members.replaced:
            yield Sleep(20_000)
        if not self.members.replaced:
            yield from self.members.leave()
        return 3 if self.members.replaced else 0

    def stop(self, name=""):
        self.stop_asked = True


class MemberCluster:
    """`count` members in `zones` zones; `view`: what each of them runs."""

    def __init__(
        self,
        count: int,
        seed=1,
        zones: int = 1,
        settings: ProbeSettings | None = None,
        view=View,
        lines: bool = False,
    ):
        self.machine, self.probe_settings, self.view = (
            Machine(f"society/{seed}", lines),
            settings or ProbeSettings(),
            view,
        )
        self.world, self.network = self.machine.world, self.machine.network
        self.zones = {n: f"zone-{n % zones}" for n in range(count)}
        self.addresses = {n: ("127.0.0.1", PORT + n) for n in range(count)}
        self.parts, self.processes, self.sent, self.bytes = {}, {}, 0, 0
        self.changes = []  # (at, in whose eyes, member, state before, state)
        for n in self.zones:
            self.network.zones[self.name(n)] = self.zones[n]

    def name(self, number: int) -> str:
        return f"gateway-{number}"

    def start(self, number: int) -> None:
        """A new start, also beside one that lives at another address."""
        kernel = self.machine.process(self.name(number), ["only", str(number)])

        def make(loop):
            part = MemberProcess(loop, self, number, kernel.process.log)
            self.watch(number, part)
            self.parts[number] = part
            return part

        self.processes[number] = kernel.process
        run_component(kernel, make, kernel.process.log, self.name(number))

    def watch(self, number: int, part: MemberProcess) -> None:
        """Counts what it sends, and notes each change of its view."""
        send, flush = part.peers.send_membership, part.members.flush

        def counted(receiver, data):
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data) + 6
            return send(receiver, data)

        def noted():
            for member, before in part.members.view.changes:
                self.changes.append((self.world.time, number, member.number, before, member.state))
            flush()

        part.peers.send_membership, part.members.flush = counted, noted

    def start_all(self, within: int = SECOND) -> None:
        chance = self.world.chance("starts")
        for number in self.zones:
            self.world.after(chance.randrange(within), lambda number=number: self.start(number))

    def run(self, duration: int) -> None:
        end = self.world.time + duration
        self.world.after(duration, lambda: None)
        self.world.run(lambda: self.world.time >= end, end)

    def run_until(self, what, bound: int) -> int:
        """Runs until it is so; gives how long that took, in microseconds. Raises AssertionError past the
        bound."""
        begin = self.world.time
        while not what():
            if self.world.time - begin > bound:
                raise AssertionError(f"not so within {bound} us")
            self.run(20_000)
        return self.world.time - begin

    # --- faults ---------------------------------------------------------------------------------------------

    def signal(self, name: str, *numbers: int) -> None:
        for number in numbers:
            self.processes[number].signal(name)

    def link(self, one: int, other: int):
        return self.network.link(self.name(one), self.name(other))

    def links(self, ones, others):
        return [self.link(a, b) for a in ones for b in others if a != b]

    def cut(self, ones, others, begins: bool) -> None:
        for link in self.links(ones, others):
            link.cut(begins)

    def set_loss(self, lose: float = 0.0, repeat: float = 0.0, shuffle: float = 0.0, delay=None) -> None:
        """All links."""
        for a in self.zones:
            for b in range(a):
                link = self.link(a, b)
                link.lose, link.repeat, link.shuffle = lose, repeat, shuffle
                link.delay = delay or link.delay

    def slow_down(self, numbers, until: int, runs=(50_000, 150_000), stands=(SECOND, 4 * SECOND)) -> None:
        """They stand still most of the time: about one part in twenty is theirs, in pieces."""
        chance = self.world.chance("slow")

        def stop(number):
            if self.world.time < until and self.processes[number].code is None:
                self.processes[number].signal("STOP")
                self.world.after(chance.randrange(*stands), lambda: go(number))

        def go(number):
            self.processes[number].signal("CONT")
            self.world.after(chance.randrange(*runs), lambda: stop(number))

        for number in numbers:
            self.world.after(chance.randrange(*stands), lambda number=number: stop(number))

    # --- what is so -----------------------------------------------------------------------------------------

    def living(self) -> list[int]:
        return sorted(n for n, process in self.processes.items() if process.code is None)

    def state(self, at: int, number: int) -> str:
        return self.parts[at].members.view.members[number].state

    def all_agree(self, state: str = ALIVE, numbers=None, eyes=None) -> bool:
        """Do all that live (or `eyes`) see these so?"""
        eyes = self.living() if eyes is None else eyes
        numbers = self.living() if numbers is None else numbers
        return all(n in self.parts and at in self.parts for n in numbers for at in eyes) and all(
            self.state(at, n) == state for at in eyes for n in numbers if at != n
        )

    def failure_reports(self, since: int = 0, eyes=None) -> list[tuple]:
        """Who was called failed, by whom, when."""
        return [
            (at, by, number)
            for at, by, number, _, state in self.changes
            if state == FAILED and at >= since and (eyes is None or by in eyes)
        ]

    def false_failure_times(self, since: int = 0) -> list[int]:
        """For how long each living one was held for failed by another living one, from `since` on,
        microseconds."""
        began, lengths, living = {}, [], self.living()
        for at, by, number, _, state in self.changes:
            if by not in living or number not in living or at < since:
                continue
            if state == FAILED:
                began.setdefault((by, number), at)
            elif (by, number) in began:
                lengths.append(at - began.pop((by, number)))
        return sorted(lengths + [self.world.time - at for at in began.values()])
