"""Clusters of membership processes on the virtual kernel, at any size and with faults.

Each process runs `members/service.py` over `gateway/peers.py`, as a gateway does; nothing else of a gateway
runs.
"""

from cobaltpond.decisions.records import RandomSource
from cobaltpond.gateway.peers import Peers
from cobaltpond.loop import Sleep, run_component
from cobaltpond.members.service import Members
from cobaltpond.members.states import ALIVE, FAILED
from cobaltpond.members.view import ProbeSettings, View
from cobaltpond.sim.machine import Machine

FIRST_PORT = 20_000  # of member 0; each member has the next one
SECOND = 1_000_000  # microseconds


class MemberProcess:
    """The main task of a process that only runs membership.

    `posted_events` holds the last 1000 events for the decisions, as (time, name, arguments).
    """

    def __init__(self, loop, cluster, number, log):
        self.loop, self.cluster, self.stop_requested, self.posted_events = loop, cluster, False, []
        self.peers = Peers(loop, cluster.addresses, cluster.addresses[number], number, self)
        self.members = Members(
            loop,
            cluster.zones,
            number,
            cluster.probe_settings,
            self.peers,
            self.post_event,
            self.describe_self,
            log,
            RandomSource(loop.kernel.random_seed()),
            0,
            cluster.view,
        )

    def post_event(self, name, *arguments):
        """Record an event that a gateway would pass to its decisions."""
        self.posted_events.append((self.loop.now(), name, arguments))
        del self.posted_events[:-1000]

    def describe_self(self):
        """Return constant facts of this member."""
        return {"revision": 1, "out": 0, "admitted": 1.0, "flags": 1}

    def run(self):
        """Run until asked to stop, then leave the cluster. Return 3 if another start replaced it, else 0."""
        self.loop.spawn(self.peers.listen(), "peers")
        self.loop.spawn(self.members.run(), "members")
        while not self.stop_requested and not self.members.replaced:
            yield Sleep(20_000)
        if not self.members.replaced:
            yield from self.members.leave()
        return 3 if self.members.replaced else 0

    def stop(self, name=""):
        """Ask the process to leave and end."""
        self.stop_requested = True


class MemberCluster:
    """`count` members in `zones` zones; `view` is the class that each of them runs.

    `parts` and `processes` hold the last start of each member. `changes` holds every change of a view as
    (time, observer, member, state before, state). `sent` and `bytes` count the datagrams.
    """

    def __init__(
        self,
        count: int,
        seed=1,
        zones: int = 1,
        settings: ProbeSettings | None = None,
        view=View,
        lines: bool = False,
    ):
        self.machine = Machine(f"society/{seed}", lines)
        self.probe_settings = settings or ProbeSettings()
        self.view = view
        self.world, self.network = self.machine.world, self.machine.network
        self.zones = {n: f"zone-{n % zones}" for n in range(count)}
        self.addresses = {n: ("127.0.0.1", FIRST_PORT + n) for n in range(count)}
        self.parts, self.processes, self.sent, self.bytes = {}, {}, 0, 0
        self.changes = []
        for n in self.zones:
            self.network.zones[self.name(n)] = self.zones[n]

    def name(self, number: int) -> str:
        """Return the process name of a member."""
        return f"gateway-{number}"

    def start(self, number: int) -> None:
        """Start a member, even while its earlier start still runs."""
        kernel = self.machine.process(self.name(number), ["only", str(number)])

        def make(loop):
            member_process = MemberProcess(loop, self, number, kernel.process.log)
            self.watch(number, member_process)
            self.parts[number] = member_process
            return member_process

        self.processes[number] = kernel.process
        run_component(kernel, make, kernel.process.log, self.name(number))

    def watch(self, number: int, member_process: MemberProcess) -> None:
        """Count the datagrams of a member, and record each change of its view."""
        send, flush = member_process.peers.send_membership, member_process.members.flush

        def count_and_send(receiver, data):
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data) + 6
            return send(receiver, data)

        def record_changes():
            for member, before in member_process.members.view.changes:
                self.changes.append((self.world.time, number, member.number, before, member.state))
            flush()

        member_process.peers.send_membership, member_process.members.flush = count_and_send, record_changes

    def start_all(self, within: int = SECOND) -> None:
        """Start every member at a random moment within so many microseconds."""
        rng = self.world.chance("starts")
        for number in self.zones:
            self.world.after(rng.randrange(within), lambda number=number: self.start(number))

    def run(self, duration: int) -> None:
        """Run for a number of microseconds."""
        end = self.world.time + duration
        self.world.after(duration, lambda: None)
        self.world.run(lambda: self.world.time >= end, end)

    def run_until(self, condition, max_duration: int) -> int:
        """Run until `condition()`; return how long that took in microseconds.

        Raises AssertionError where it takes more than `max_duration` microseconds.
        """
        begin = self.world.time
        while not condition():
            if self.world.time - begin > max_duration:
                raise AssertionError(f"not so within {max_duration} us")
            self.run(20_000)
        return self.world.time - begin

    # --- faults ---------------------------------------------------------------------------------------------

    def signal(self, name: str, *numbers: int) -> None:
        """Send a signal to members."""
        for number in numbers:
            self.processes[number].signal(name)

    def link(self, one: int, other: int):
        """Return the link between two members."""
        return self.network.link(self.name(one), self.name(other))

    def links(self, ones, others):
        """Return the links between two groups of members."""
        return [self.link(a, b) for a in ones for b in others if a != b]

    def cut(self, ones, others, begins: bool) -> None:
        """Begin or end a partition between two groups of members."""
        for link in self.links(ones, others):
            link.cut(begins)

    def set_loss(
        self, loss_share: float = 0.0, duplicate_share: float = 0.0, reorder_share: float = 0.0, delay=None
    ) -> None:
        """Set the probabilities of datagram faults, and the delay range in microseconds, on all links."""
        for a in self.zones:
            for b in range(a):
                link = self.link(a, b)
                link.loss_share = loss_share
                link.duplicate_share = duplicate_share
                link.reorder_share = reorder_share
                link.delay = delay or link.delay

    def slow_down(self, numbers, until: int, runs=(50_000, 150_000), stands=(SECOND, 4 * SECOND)) -> None:
        """Let members stand still most of the time until a moment of the world.

        They run for a random time in the range `runs`, and stop for one in the range `stands`
        (microseconds): with the default ranges a member runs for about a twentieth of the time.
        """
        rng = self.world.chance("slow")

        def pause(number):
            if self.world.time < until and self.processes[number].code is None:
                self.processes[number].signal("STOP")
                self.world.after(rng.randrange(*stands), lambda: resume(number))

        def resume(number):
            self.processes[number].signal("CONT")
            self.world.after(rng.randrange(*runs), lambda: pause(number))

        for number in numbers:
            self.world.after(rng.randrange(*stands), lambda number=number: pause(number))

    # --- inspection -----------------------------------------------------------------------------------------

    def living(self) -> list[int]:
        """Return the members whose processes run."""
        return sorted(n for n, process in self.processes.items() if process.code is None)

    def state(self, at: int, number: int) -> str:
        """Return the state of member `number` in the view of member `at`."""
        return self.parts[at].members.view.members[number].state

    def all_agree(self, state: str = ALIVE, numbers=None, observers=None) -> bool:
        """Return whether all `observers` see all `numbers` in a state; both default to the running ones."""
        observers = self.living() if observers is None else observers
        numbers = self.living() if numbers is None else numbers
        return all(n in self.parts and at in self.parts for n in numbers for at in observers) and all(
            self.state(at, n) == state for at in observers for n in numbers if at != n
        )

    def failure_reports(self, since: int = 0, observers=None) -> list[tuple]:
        """Return (time, observer, member) of each change to failed since a moment."""
        return [
            (at, by, number)
            for at, by, number, _, state in self.changes
            if state == FAILED and at >= since and (observers is None or by in observers)
        ]

    def false_failure_times(self, since: int = 0) -> list[int]:
        """Return for how many microseconds each running member was seen as failed by another, sorted."""
        failed_since, durations, living = {}, [], self.living()
        for at, by, number, _, state in self.changes:
            if by not in living or number not in living or at < since:
                continue
            if state == FAILED:
                failed_since.setdefault((by, number), at)
            elif (by, number) in failed_since:
                durations.append(at - failed_since.pop((by, number)))
        return sorted(durations + [self.world.time - at for at in failed_since.values()])
