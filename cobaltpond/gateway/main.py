"""The gateway process: wires its components, accepts clients once the list and a release state have arrived
or a time limit has passed, and stops in order.
"""

from cobaltpond.decisions.records import RandomSource
from cobaltpond.gateway.admission_limits import AdmissionLimits
from cobaltpond.gateway.decision_host import GatewayDecisionHost
from cobaltpond.gateway.desk_client import DeskClient
from cobaltpond.gateway.endpoints import EndpointPool
from cobaltpond.gateway.forwards import Forwards
from cobaltpond.gateway.frontend import Frontend
from cobaltpond.gateway.instance_list import InstanceListFollower
from cobaltpond.gateway.peers import Peers
from cobaltpond.loop import Loop, Sleep, open_when_possible, run_component
from cobaltpond.members.service import Members
from cobaltpond.members.view import ProbeSettings
from cobaltpond.members.wire import READY
from cobaltpond.members.wire import SETTLED as SETTLED_FLAG
from cobaltpond.recovery.phases import SETTLED
from cobaltpond.recovery.service import Recovery
from cobaltpond.settings.sections import split_address

EXIT_CODE_REPLACED = 3  # exit code of a gateway that a newer process with the same number has replaced
# the window of the shared trial counts, in multiples of `cold_time`; a little more than that in which the
# decisions keep their own evidence
EVIDENCE_COLD_TIMES = 3
# how long the start waits for the list and a release state before clients are accepted anyway, in multiples
# of the dial time
START_WAIT_DIAL_TIMES = 10


class GatewayProcess:
    """One gateway with all its components.

    `number`: of the gateway in the settings. `decisions`: the class of the decisions, None for the regular
    one.
    """

    def __init__(self, loop: Loop, settings, number: int, log, decisions=None):
        self.loop, self.settings, self.number, self.log = loop, settings, number, log
        self.gateway_settings = settings.gateways[number]
        self.start = loop.kernel.random_seed() >> 40
        self.endpoints = EndpointPool(loop, settings.instances)
        self.forwards = Forwards(
            loop, self.endpoints, settings, f"{self.gateway_settings.zone}/{number}/{self.start:x}"
        )
        self.host = GatewayDecisionHost(
            loop,
            settings.policy_settings(number),
            self.start,
            settings.door.hits,
            settings.rules.answer_slack,
            self.endpoints,
            self.forwards,
            log,
        )
        self.list_follower = self.host.instance_source = InstanceListFollower(
            loop, settings, self.gateway_settings, self.host, log
        )
        self.desk_client = self.host.desk_client = DeskClient(loop, settings, self.host, log)
        self.members = None
        if (settings.allow.tell or settings.members) and self.gateway_settings.peers:
            addresses = {g.number: split_address(g.peers) for g in settings.gateways if g.peers}
            bind_address = (
                split_address(self.gateway_settings.bind) if self.gateway_settings.bind else addresses[number]
            )
            self.host.peers = Peers(loop, addresses, bind_address, number, self.host)
        if settings.members:
            self.start_membership(settings)
        self.frontend = Frontend(loop, settings, self.host, log, self.status, self.members)
        if settings.limits:
            self.frontend.admission_limits = AdmissionLimits(loop, settings, number, self.members, log)
        self.recovery = Recovery(self, RandomSource(loop.kernel.random_seed())) if settings.recovery else None
        self.decisions, self.lag_histogram, self.stop_asked = decisions, LagHistogram(), False
        loop.on_timer_lag = self.lag_histogram.record

    def start_membership(self, settings) -> None:
        """Creates the membership service and feeds it the release state and the draining instances."""
        self.members = Members(
            self.loop,
            {g.number: g.zone for g in settings.gateways},
            self.number,
            ProbeSettings(settings.members.period, settings.members.wait),
            self.host.peers,
            self.post_membership_event,
            self.describe_self,
            self.log,
            RandomSource(self.loop.kernel.random_seed()),
            settings.digest(),
            trial_counts=self.trial_counts,
            groups=[g.name for g in settings.path_groups],
            max_evidence_age=EVIDENCE_COLD_TIMES * settings.rules.cold_time,
        )
        self.desk_client.on_state = self.members.on_release_state
        self.list_follower.on_applied = lambda: self.members.gossip.set_draining(
            self.loop.now(),
            self.list_follower.instance_list.revision,
            self.list_follower.instance_list.draining_tags(),
        )

    def trial_counts(self) -> list[tuple]:
        """Returns counts of the newest build and the one before it.

        One tuple per build and path group with hits: (build, index of the path group, hits, errored hits,
        microseconds since the last hit ended).
        """
        decisions, now = self.host.decisions, self.loop.now()
        newest = getattr(decisions, "newest", None)
        if newest is None:
            return []
        rows = []
        for build in (newest, newest.earlier):
            for group_index, group in enumerate(self.settings.path_groups):
                samples = build.samples.get(group.name) if build is not None else None
                errored, hits = build.error_counts.get(group.name, (0, 0)) if build is not None else (0, 0)
                if samples and hits:
                    rows.append((build.number, group_index, hits, errored, max(0, now - samples[-1].at)))
        return rows

    def post_membership_event(self, name: str, *arguments) -> None:
        """Posts an event to the decisions.

        Drops `on_members` where the settings let membership judge nothing.
        """
        if name != "on_members" or self.settings.members.judges:
            self.host.post_event(name, *arguments)

    def describe_self(self) -> dict:
        """Returns the facts that this gateway sends to the others about itself."""
        ready = hasattr(self.frontend, "listener") and not self.frontend.draining
        settled = self.recovery is not None and self.recovery.phase_machine.phase == SETTLED and ready
        return {
            "revision": self.list_follower.instance_list.revision,
            "out": self.host.open_hits,
            "admitted": getattr(self.host.decisions, "admitted_share", 1.0),
            "flags": (READY if ready else 0) | (SETTLED_FLAG if settled else 0),
        }

    def status(self) -> dict:
        """Returns the content of `/-/status`."""
        last_news = self.desk_client.last
        return {
            "gateway": self.number,
            "start": f"{self.start:x}",
            "zone": self.gateway_settings.zone,
            "hits": {
                "open": self.host.open_hits,
                "taken": self.host.accepted_count,
                **self.frontend.counts,
                "given up": getattr(self.host.decisions, "given_up", {}),
            },
            "host": self.host.counts,
            "endings": {k: v for k, v in self.forwards.result_counts.items() if v},
            "surplus": {
                "idle": self.endpoints.surplus_closes,
                "skipped": self.forwards.surplus_responses,
            },
            "list": {"revision": self.list_follower.instance_list.revision, **self.list_follower.counts},
            "desk": {
                **self.desk_client.counts,
                "seen": self.desk_client.last_seen_state and self.desk_client.last_seen_state["mark"],
                "news": last_news and dict(zip(("build", "stage", "phase", "cap"), last_news, strict=True)),
            },
            "peers": self.host.peers.counts if self.host.peers else None,
            "members": self.members.status() if self.members else None,
            "recovery": self.recovery.status() if self.recovery else None,
            "limited": self.frontend.admission_limits.status() if self.frontend.admission_limits else None,
            "connections": len(self.frontend.clients),
            "tasks": len(self.loop.tasks),
            "lag_us": self.lag_histogram.summary(),
            "instances": self.endpoints.counts(),
        }

    def run(self):
        """Runs the main task: starts all others, serves until asked to stop, returns the exit code."""
        loop, push = self.loop, self.settings.listing.by == "push"
        if self.decisions is None:
            self.host.start_decisions()
        else:
            self.host.start_decisions(self.decisions)
        self.list_follower.restore_kept_list()
        jittered = self.recovery.jittered if self.recovery else lambda generator: generator
        named_tasks = [
            (jittered(self.desk_client.follow_desk()), "news"),
            (self.list_follower.persist_list(), "list-keep"),
            (self.endpoints.sweep(), "sweep"),
            (self.list_follower.resolve_doubts(), "list-doubts"),
        ]
        if push:
            named_tasks.append((jittered(self.list_follower.follow_pushed()), "list"))
        if self.frontend.admission_limits and self.frontend.admission_limits.leases:
            named_tasks.append((self.frontend.admission_limits.leases.run(), "leases"))
        if self.recovery:
            named_tasks.append((self.recovery.run(), "recovery"))
        if self.host.peers:
            named_tasks.append((self.host.peers.listen(), "peers"))
        if self.members:
            named_tasks.append((self.members.run(), "members"))
        for generator, name in named_tasks:
            loop.spawn(generator, name)
        wait_until = loop.now() + START_WAIT_DIAL_TIMES * self.settings.instances.dial_time
        while (
            loop.now() < wait_until
            and not (self.list_follower.has_received and self.desk_client.has_received)
            and not self.stop_asked
        ):
            yield Sleep(5_000)
        # Without a release state every build counts as on trial. Without a list no hit can be forwarded: hits
        # are rejected.
        self.log.info(
            "door open",
            door=self.gateway_settings.door,
            list=self.list_follower.has_received,
            news=self.desk_client.has_received,
        )
        # The listener opens only now. Otherwise hits would wait in the backlog of a gateway that is still
        # starting until past their client timeout, while another gateway could have served them.
        address, backlog = split_address(self.gateway_settings.door), self.settings.door.backlog
        listener = yield from open_when_possible(lambda: loop.kernel.listen(address, backlog))
        self.frontend.start_accepting(listener)
        loop.kernel.freeze_memory()
        while not self.stop_asked and not (self.members and self.members.replaced):
            yield Sleep(20_000)
        self.log.info("stopping", open=self.host.open_hits)
        replaced = self.members is not None and self.members.replaced
        if self.members and not replaced:
            loop.spawn(self.members.leave(), "leave")
        yield from self.frontend.drain()
        self.log.info("stopped", **self.frontend.counts)
        return EXIT_CODE_REPLACED if replaced else 0

    def stop(self, name: str = "") -> None:
        """Asks the main task to stop; `name`: the signal, unused."""
        self.stop_asked = True


class LagHistogram:
    """A histogram of how late the loop runs due timers, in microseconds."""

    def __init__(self):
        from hdrh.histogram import HdrHistogram

        self.histogram = HdrHistogram(1, 60_000_000, 2)

    def record(self, late: int) -> None:
        """Records one timer that ran `late` microseconds after its time."""
        self.histogram.record_value(max(1, late))

    def summary(self) -> dict:
        """Percentiles in microseconds; `p100` is the maximum."""
        return {f"p{p:g}": self.histogram.get_value_at_percentile(p) for p in (50, 99, 99.9, 100)}


def run_gateway(kernel, settings, number: int, log, decisions=None) -> int:
    """Runs a gateway until a signal to stop; returns the exit code."""
    return run_component(
        kernel, lambda loop: GatewayProcess(loop, settings, number, log, decisions), log, "gateway"
    )
