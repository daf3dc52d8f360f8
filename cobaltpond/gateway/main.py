"""One gateway process: puts the parts together, opens the door when list and news are there, stops in
order."""

from cobaltpond.decisions.records import RandomSource
from cobaltpond.gateway.admission_limits import AdmissionLimits
from cobaltpond.gateway.decision_host import GatewayDecisionHost
from cobaltpond.gateway.desk_client import DeskClient
from cobaltpond.gateway.endpoints import EndpointPool
from cobaltpond.gateway.forwards import Forwards
from cobaltpond.gateway.frontend import Frontend
from cobaltpond.gateway.instance_list import InstanceListFollower
from cobaltpond.gateway.peers import Peers
from cobaltpond.loop import Loop, Sleep, run_component
from cobaltpond.members.service import Members
from cobaltpond.members.view import ProbeSettings
from cobaltpond.members.wire import READY
from cobaltpond.members.wire import SETTLED as SETTLED_FLAG
from cobaltpond.recovery.phases import SETTLED
from cobaltpond.recovery.service import Recovery
from cobaltpond.settings.sections import split_address

REPLACED = 3  # exit code of one whose name a newer start has taken
EVIDENCE = 3  # cold times, a little more than the module keeps its own
START_WAIT = 10  # times the dial time: how long the door waits for news


class GatewayProcess:
    def __init__(self, loop: Loop, sheet, number: int, log, decisions=None):
        self.loop, self.settings, self.number, self.log = loop, sheet, number, log
        self.gateway_settings = sheet.gateways[number]
        self.start = loop.kernel.random_seed() >> 40
        self.endpoints = EndpointPool(loop, sheet.instances)
        self.forwards = Forwards(
            loop, self.endpoints, sheet, f"{self.gateway_settings.zone}/{number}/{self.start:x}"
        )
        self.host = GatewayDecisionHost(
            loop,
            sheet.policy_settings(number),
            self.start,
            sheet.door.hits,
            sheet.rules.answer_slack,
            self.endpoints,
            self.forwards,
            log,
        )
        self.list_follower = self.host.instance_source = InstanceListFollower(
            loop, sheet, self.gateway_settings, self.host, log
        )
        self.desk_client = self.host.desk_client = DeskClient(loop, sheet, self.host, log)
        self.members = None
        if (sheet.allow.tell or sheet.members) and self.gateway_settings.peers:
            addresses = {g.number: split_address(g.peers) for g in sheet.gateways if g.peers}
            bound = (
                split_address(self.gateway_settings.bind) if self.gateway_settings.bind else addresses[number]
            )
            self.host.peers = Peers(loop, addresses, bound, number, self.host)
        if sheet.members:
            self.start_membership(sheet)
        self.frontend = Frontend(loop, sheet, self.host, log, self.status, self.members)
        if sheet.limits:
            self.frontend.admission_limits = AdmissionLimits(loop, sheet, number, self.members, log)
        self.recovery = Recovery(self, RandomSource(loop.kernel.random_seed())) if sheet.recovery else None
        self.decisions, self.lag_histogram, self.stop_asked = decisions, LagHistogram(), False
        loop.on_timer_lag = self.lag_histogram.record

    def start_membership(self, sheet) -> None:
        """Membership, and what is heard of the release and of instances on its way."""
        self.members = Members(
            self.loop,
            {g.number: g.zone for g in sheet.gateways},
            self.number,
            ProbeSettings(sheet.members.period, sheet.members.wait),
            self.host.peers,
            self.post_member,
            self.describe_self,
            self.log,
            RandomSource(self.loop.kernel.random_seed()),
            sheet.digest(),
            trial=self.trial_counts,
            groups=[g.name for g in sheet.path_groups],
            window=EVIDENCE * sheet.rules.cold_time,
        )
        self.desk_client.on_state = self.members.desk_news
        self.list_follower.on_applied = lambda: self.members.gossip.set_draining(
            self.loop.now(),
            self.list_follower.instance_list.revision,
            self.list_follower.instance_list.draining_tags(),
        )

    def trial_counts(self) -> list[tuple]:
        """Counts of the newest build and the one before it, by path group, with how long ago the last hit
        ended."""
        decisions, now = self.host.decisions, self.loop.now()
        newest = getattr(decisions, "newest", None)
        if newest is None:
            return []
        rows = []
        for build in (newest, newest.earlier):
            for place, group in enumerate(self.settings.path_groups):
                samples = build.samples.get(group.name) if build is not None else None
                errored, hits = build.errored.get(group.name, (0, 0)) if build is not None else (0, 0)
                if samples and hits:
                    rows.append((build.number, place, hits, errored, max(0, now - samples[-1].at)))
        return rows

    def post_member(self, name: str, *arguments) -> None:
        if name != "on_members" or self.settings.members.judges:
            self.host.post_event(name, *arguments)

    def describe_self(self) -> dict:
        """What this gateway says of itself to the others."""
        ready = hasattr(self.frontend, "listener") and not self.frontend.draining
        settled = self.recovery is not None and self.recovery.phase_machine.phase == SETTLED and ready
        return {
            "revision": self.list_follower.instance_list.revision,
            "out": self.host.open_hits,
            "admitted": getattr(self.host.decisions, "admitted", 1.0),
            "flags": (READY if ready else 0) | (SETTLED_FLAG if settled else 0),
        }

    def status(self) -> dict:
        heard = self.desk_client.last
        return {
            "gateway": self.number,
            "start": f"{self.start:x}",
            "zone": self.gateway_settings.zone,
            "hits": {
                "open": self.host.open_hits,
                "taken": self.host.taken,
                **self.frontend.counts,
                "given up": getattr(self.host.decisions, "given_up", {}),
            },
            "host": self.host.counts,
            "endings": {k: v for k, v in self.forwards.observations.items() if v},
            "list": {"revision": self.list_follower.instance_list.revision, **self.list_follower.counts},
            "desk": {
                **self.desk_client.counts,
                "seen": self.desk_client.last_seen_state and self.desk_client.last_seen_state["mark"],
                "news": heard and dict(zip(("build", "stage", "phase", "cap"), heard, strict=True)),
            },
            "peers": self.host.peers.counts if self.host.peers else None,
            "members": self.members.status() if self.members else None,
            "recovery": self.recovery.status() if self.recovery else None,
            "limited": self.frontend.admission_limits.status() if self.frontend.admission_limits else None,
            "connections": len(self.frontend.visits),
            "tasks": len(self.loop.tasks),
            "lag_us": self.lag_histogram.summary(),
            "instances": self.endpoints.counts(),
        }

    def run(self):
        """The main task."""
        loop, push = self.loop, self.settings.listing.by == "push"
        if self.decisions is None:
            self.host.start_decisions()
        else:
            self.host.start_decisions(self.decisions)
        self.list_follower.restore_kept_list()
        spaced = self.recovery.jittered if self.recovery else lambda generator: generator
        names = [
            (spaced(self.desk_client.follow_desk()), "news"),
            (self.list_follower.persist_list(), "list-keep"),
            (self.endpoints.sweep(), "sweep"),
            (self.list_follower.resolve_doubts(), "list-doubts"),
        ]
        if push:
            names.append((spaced(self.list_follower.follow_pushed()), "list"))
        if self.frontend.admission_limits and self.frontend.admission_limits.leases:
            names.append((self.frontend.admission_limits.leases.run(), "leases"))
        if self.recovery:
            names.append((self.recovery.run(), "recovery"))
        if self.host.peers:
            names.append((self.host.peers.listen(), "peers"))
        if self.members:
            names.append((self.members.run(), "members"))
        for generator, name in names:
            loop.spawn(generator, name)
        end = loop.now() + START_WAIT * self.settings.instances.dial_time
        while (
            loop.now() < end
            and not (self.list_follower.has_heard and self.desk_client.has_heard)
            and not self.stop_asked
        ):
            yield Sleep(5_000)
        # without news everything counts as on trial; without a list nothing can be sent: hits are bounced
        self.log.info(
            "door open",
            door=self.gateway_settings.door,
            list=self.list_follower.has_heard,
            news=self.desk_client.has_heard,
        )
        # not before: guards against hits that wait unread in the backlog of a gateway that is still starting,
        # past their client timeout, while another gateway could have had them
        self.frontend.start_accepting(
            loop.kernel.listen(split_address(self.gateway_settings.door), self.settings.door.backlog)
        )
        loop.kernel.freeze_memory()
        while not self.stop_asked and not (self.members and self.members.replaced):
            yield Sleep(20_000)
        self.log.info("stopping", open=self.host.open_hits)
        replaced = self.members is not None and self.members.replaced
        if self.members and not replaced:
            loop.spawn(self.members.leave(), "leave")
        yield from self.frontend.drain()
        self.log.info("stopped", **self.frontend.counts)
        return REPLACED if replaced else 0

    def stop(self, name: str = "") -> None:
        self.stop_asked = True


class LagHistogram:
    """How late due timers were run: what the loop itself adds to every wait."""

    def __init__(self):
        from hdrh.histogram import HdrHistogram

        self.histogram = HdrHistogram(1, 60_000_000, 2)

    def record(self, late: int) -> None:
        self.histogram.record_value(max(1, late))

    def summary(self) -> dict:
        return {f"p{p:g}": self.histogram.get_value_at_percentile(p) for p in (50, 99, 99.9, 100)}


def run_gateway(kernel, sheet, number: int, log, decisions=None) -> int:
    """Until a signal to stop. Gives the exit code."""
    return run_component(
        kernel, lambda loop: GatewayProcess(loop, sheet, number, log, decisions), log, "gateway"
    )
