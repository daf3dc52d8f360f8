"""One gateway process: puts the parts together, opens the door when list and news are there, stops in order."""
from cobaltpond.gateway.door import Door
from cobaltpond.gateway.follow import Follower
from cobaltpond.gateway.forwards import Forwards
from cobaltpond.gateway.host import Host
from cobaltpond.gateway.instances import Places
from cobaltpond.gateway.news import News
from cobaltpond.gateway.peers import Peers
from cobaltpond.loop import Loop, Sleep, run_part
from cobaltpond.sheet.parts import split_address

START_WAIT = 10                                        # times the dial time: how long the door waits for news


class GatewayProcess:
    def __init__(self, loop: Loop, sheet, number: int, log, decisions=None):
        self.loop, self.sheet, self.number, self.log = loop, sheet, number, log
        self.place = sheet.gateways[number]
        self.start = loop.kernel.seed() >> 40
        self.places = Places(loop, sheet.instances)
        self.forwards = Forwards(loop, self.places, sheet, f"{self.place.zone}/{number}/{self.start:x}")
        self.host = Host(loop, sheet.runsheet(number), self.start, sheet.door.hits, sheet.rules.answer_slack,
                         self.places, self.forwards, log)
        self.follower = self.host.list = Follower(loop, sheet, self.place, self.host, log)
        self.news = self.host.news = News(loop, sheet, self.host, log)
        if sheet.allow.tell and self.place.peers:
            addresses = {g.number: split_address(g.peers) for g in sheet.gateways if g.peers}
            self.host.peers = Peers(loop, addresses, addresses[number], number, self.host)
        self.door = Door(loop, sheet, self.host, log, self.status)
        self.decisions, self.lag, self.stop_asked = decisions, Lag(), False
        loop.lag = self.lag.enter

    def status(self) -> dict:
        heard = self.news.last
        return {"gateway": self.number, "start": f"{self.start:x}", "zone": self.place.zone,
                "hits": {"open": self.host.open_hits, "taken": self.host.taken, **self.door.counts},
                "host": self.host.counts, "endings": {k: v for k, v in self.forwards.seen.items() if v},
                "list": {"revision": self.follower.held.revision, **self.follower.counts},
                "desk": {"news": heard and dict(zip(("build", "stage", "phase", "cap"), heard, strict=True)),
                         **self.news.counts},
                "peers": self.host.peers.counts if self.host.peers else None,
                "connections": len(self.door.visits), "tasks": len(self.loop.tasks),
                "lag_us": self.lag.summary(), "instances": self.places.counts()}

    def run(self):
        """The main task."""
        loop, push = self.loop, self.sheet.listing.by == "push"
        if self.decisions is None:
            self.host.begin()
        else:
            self.host.begin(self.decisions)
        self.follower.recall()
        names = [(self.news.follow(), "news"), (self.follower.keep(), "list-keep"), (self.places.sweep(), "sweep")]
        if push:
            names.append((self.follower.push(), "list"))
        if self.host.peers:
            names.append((self.host.peers.listen(), "peers"))
        for generator, name in names:
            loop.spawn(generator, name)
        end = loop.now() + START_WAIT * self.sheet.instances.dial_time
        while loop.now() < end and not (self.follower.heard and self.news.heard) and not self.stop_asked:
            yield Sleep(5_000)
        # without news everything counts as on trial; without a list nothing can be sent: hits are bounced
        self.log.info("door open", door=self.place.door, list=self.follower.heard, news=self.news.heard)
        # not before: guards against hits that wait unread in the backlog of a gateway that is still starting, past
        # their client timeout, while another gateway could have had them
        self.door.open(loop.kernel.listen(split_address(self.place.door), self.sheet.door.backlog))
        loop.kernel.settle()
        while not self.stop_asked:
            yield Sleep(20_000)
        self.log.info("stopping", open=self.host.open_hits)
        yield from self.door.drain()
        self.log.info("stopped", **self.door.counts)

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


def run_gateway(kernel, sheet, number: int, log, decisions=None) -> None:
    """Until a signal to stop."""
    run_part(kernel, lambda loop: GatewayProcess(loop, sheet, number, log, decisions), log, "gateway")
