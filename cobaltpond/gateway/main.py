"""One gateway process: puts the parts together, opens the door when list and news are there, stops in
order."""

from cobaltpond.decisions.records import Chance
from cobaltpond.gateway.admission_limits import Limited
from cobaltpond.gateway.decision_host import Host
from cobaltpond.gateway.desk_client import News
from cobaltpond.gateway.endpoints import Places
from cobaltpond.gateway.forwards import Forwards
from cobaltpond.gateway.frontend import Door
from cobaltpond.gateway.instance_list import Follower
from cobaltpond.gateway.peers import Peers
from cobaltpond.loop import Loop, Sleep, run_part
from cobaltpond.members.service import Members
from cobaltpond.members.view import Settings
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
        self.loop, self.sheet, self.number, self.log = loop, sheet, number, log
        self.place = sheet.gateways[number]
        self.start = loop.kernel.seed() >> 40
        self.places = Places(loop, sheet.instances)
        self.forwards = Forwards(loop, self.places, sheet, f"{self.place.zone}/{number}/{self.start:x}")
        self.host = Host(
            loop,
            sheet.runsheet(number),
            self.start,
            sheet.door.hits,
            sheet.rules.answer_slack,
            self.places,
            self.forwards,
            log,
        )
        self.follower = self.host.list = Follower(loop, sheet, self.place, self.host, log)
        self.news = self.host.news = News(loop, sheet, self.host, log)
        self.members = None
        if (sheet.allow.tell or sheet.members) and self.place.peers:
            addresses = {g.number: split_address(g.peers) for g in sheet.gateways if g.peers}
            bound = split_address(self.place.bind) if self.place.bind else addresses[number]
            self.host.peers = Peers(loop, addresses, bound, number, self.host)
        if sheet.members:
            self.know_each_other(sheet)
        self.door = Door(loop, sheet, self.host, log, self.status, self.members)
        if sheet.limits:
            self.door.limited = Limited(loop, sheet, number, self.members, log)
        self.recovery = Recovery(self, Chance(loop.kernel.seed())) if sheet.recovery else None
        self.decisions, self.lag, self.stop_asked = decisions, Lag(), False
        loop.lag = self.lag.enter

    def know_each_other(self, sheet) -> None:
        """Membership, and what is heard of the release and of instances on its way."""
        self.members = Members(
            self.loop,
            {g.number: g.zone for g in sheet.gateways},
            self.number,
            Settings(sheet.members.period, sheet.members.wait),
            self.host.peers,
            self.post_member,
            self.about,
            self.log,
            Chance(self.loop.kernel.seed()),
            sheet.digest(),
            trial=self.trial,
            groups=[g.name for g in sheet.path_groups],
            window=EVIDENCE * sheet.rules.cold_time,
        )
        self.news.said = self.members.news
        self.follower.said = lambda: self.members.hearsay.listed(
            self.loop.now(), self.follower.held.revision, self.follower.held.draining()
        )

    def trial(self) -> list[tuple]:
        """Counts of the newest build and the one before it, by path group, with how long ago the last hit
        ended."""
        decisions, now = self.host.decisions, self.loop.now()
        newest = getattr(decisions, "newest", None)
        if newest is None:
            return []
        rows = []
        for build in (newest, newest.earlier):
            for place, group in enumerate(self.sheet.path_groups):
                samples = build.samples.get(group.name) if build is not None else None
                errored, hits = build.errored.get(group.name, (0, 0)) if build is not None else (0, 0)
                if samples and hits:
                    rows.append((build.number, place, hits, errored, max(0, now - samples[-1].at)))
        return rows

    def post_member(self, name: str, *arguments) -> None:
        if name != "on_members" or self.sheet.members.judges:
            self.host.post(name, *arguments)

    def about(self) -> dict:
        """What this gateway says of itself to the others."""
        ready = hasattr(self.door, "listener") and not self.door.draining
        settled = self.recovery is not None and self.recovery.life.phase == SETTLED and ready
        return {
            "revision": self.follower.held.revision,
            "out": self.host.open_hits,
            "admitted": getattr(self.host.decisions, "admitted", 1.0),
            "flags": (READY if ready else 0) | (SETTLED_FLAG if settled else 0),
        }

    def status(self) -> dict:
        heard = self.news.last
        return {
            "gateway": self.number,
            "start": f"{self.start:x}",
            "zone": self.place.zone,
            "hits": {
                "open": self.host.open_hits,
                "taken": self.host.taken,
                **self.door.counts,
                "given up": getattr(self.host.decisions, "given_up", {}),
            },
            "host": self.host.counts,
            "endings": {k: v for k, v in self.forwards.seen.items() if v},
            "list": {"revision": self.follower.held.revision, **self.follower.counts},
            "desk": {
                **self.news.counts,
                "seen": self.news.seen and self.news.seen["mark"],
                "news": heard and dict(zip(("build", "stage", "phase", "cap"), heard, strict=True)),
            },
            "peers": self.host.peers.counts if self.host.peers else None,
            "members": self.members.status() if self.members else None,
            "recovery": self.recovery.status() if self.recovery else None,
            "limited": self.door.limited.status() if self.door.limited else None,
            "connections": len(self.door.visits),
            "tasks": len(self.loop.tasks),
            "lag_us": self.lag.summary(),
            "instances": self.places.counts(),
        }

    def run(self):
        """The main task."""
        loop, push = self.loop, self.sheet.listing.by == "push"
        if self.decisions is None:
            self.host.begin()
        else:
            self.host.begin(self.decisions)
        self.follower.recall()
        spaced = self.recovery.spaced if self.recovery else lambda generator: generator
        names = [
            (spaced(self.news.follow()), "news"),
            (self.follower.keep(), "list-keep"),
            (self.places.sweep(), "sweep"),
            (self.follower.doubts(), "list-doubts"),
        ]
        if push:
            names.append((spaced(self.follower.push()), "list"))
        if self.door.limited and self.door.limited.leases:
            names.append((self.door.limited.leases.run(), "leases"))
        if self.recovery:
            names.append((self.recovery.run(), "recovery"))
        if self.host.peers:
            names.append((self.host.peers.listen(), "peers"))
        if self.members:
            names.append((self.members.run(), "members"))
        for generator, name in names:
            loop.spawn(generator, name)
        end = loop.now() + START_WAIT * self.sheet.instances.dial_time
        while loop.now() < end and not (self.follower.heard and self.news.heard) and not self.stop_asked:
            yield Sleep(5_000)
        # without news everything counts as on trial; without a list nothing can be sent: hits are bounced
        self.log.info("door open", door=self.place.door, list=self.follower.heard, news=self.news.heard)
        # not before: guards against hits that wait unread in the backlog of a gateway that is still starting,
        # past their client timeout, while another gateway could have had them
        self.door.open(loop.kernel.listen(split_address(self.place.door), self.sheet.door.backlog))
        loop.kernel.settle()
        while not self.stop_asked and not (self.members and self.members.replaced):
            yield Sleep(20_000)
        self.log.info("stopping", open=self.host.open_hits)
        replaced = self.members is not None and self.members.replaced
        if self.members and not replaced:
            loop.spawn(self.members.leave(), "leave")
        yield from self.door.drain()
        self.log.info("stopped", **self.door.counts)
        return REPLACED if replaced else 0

    def stop(self, name: str = "") -> None:
        self.stop_asked = True


class Lag:
    """How late due timers were run: what the loop itself adds to every wait."""

    def __init__(self):
        from hdrh.histogram import HdrHistogram

        self.histogram = HdrHistogram(1, 60_000_000, 2)

    def enter(self, late: int) -> None:
        self.histogram.record_value(max(1, late))

    def summary(self) -> dict:
        return {f"p{p:g}": self.histogram.get_value_at_percentile(p) for p in (50, 99, 99.9, 100)}


def run_gateway(kernel, sheet, number: int, log, decisions=None) -> int:
    """Until a signal to stop. Gives the exit code."""
    return run_part(kernel, lambda loop: GatewayProcess(loop, sheet, number, log, decisions), log, "gateway")
