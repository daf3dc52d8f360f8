"""The host of the decisions: feeds events in the order of the loop, carries out what they ask for.

What happens during a turn of the loop is told to the decisions at its end, as one batch at one time: first what
was heard of the list and from the desk (after a stand-still they must not act on what was true before it), then
all else in the order in which the loop delivered it; a hit's taking always precedes whatever else happens to it.
What the decisions ask for happens at once, but nothing that follows from it is told to them in the same batch.
"""
from cobaltpond.decisions.rules import Gateway
from cobaltpond.gateway.door import Hit
from cobaltpond.gateway.shares import Shares


class Host:
    def __init__(self, loop, sheet, number, start, places, forwards, log):
        self.loop, self.sheet, self.number, self.start, self.log = loop, sheet, number, start, log
        self.places, self.forwards = places, forwards
        self.hits, self.first, self.inbox, self.open_hits = {}, [], [], 0
        self.taken, self.probes_out, self.decisions = 0, 0, None
        self.shares = Shares({c.name: c.share for c in sheet.customers}, 2 * sheet.release.exposure_window)
        self.list, self.news, self.peers = None, None, None      # set by whoever puts the gateway together
        self.counts = {"forwards": 0, "overdue": 0, "probes": 0, "votes": 0, "told": 0, "peer sends lost": 0}
        loop.after_turn.append(self.turn)

    def begin(self, decisions=Gateway) -> None:
        """Makes the decisions; from here on they are told everything."""
        self.decisions = decisions(self, self.loop.now(), self.loop.kernel.seed(), self.sheet.runsheet(self.number))

    def turn(self) -> None:
        now = self.loop.now()
        batch, self.first, self.inbox = self.first + self.inbox, [], []
        for name, *arguments in batch:
            getattr(self.decisions, name)(now, *arguments)

    def post(self, name: str, *arguments) -> None:
        """Tells the decisions at the end of this turn."""
        self.inbox.append((name, *arguments))

    def post_first(self, name: str, *arguments) -> None:
        self.first.append((name, *arguments))

    # --- the door ----------------------------------------------------------------------------------------

    def full(self) -> bool:
        return self.open_hits >= self.sheet.door.hits

    def take(self, visit, head, asked, tape) -> Hit:
        self.taken += 1
        hit = Hit(self.taken, f"{self.number}-{self.start:x}-{self.taken}", visit, head, asked, tape)
        self.hits[hit.number] = hit
        self.open_hits += 1
        self.shares.enter(self.loop.now(), asked.customer)
        left = max(1, asked.left - self.sheet.rules.answer_slack)
        hit.overdue = self.loop.call_in(asked.left, lambda: self.too_late(hit))
        self.post("on_hit", hit.number, asked.group.name, asked.customer, asked.key, left, asked.cost, asked.again)
        return hit

    def ended(self, hit: Hit) -> None:
        self.open_hits -= 1
        self.forget(hit)

    def forget(self, hit: Hit) -> None:
        if hit.final and all(task is None or task.done for task in hit.forwards):
            self.hits.pop(hit.number, None)

    def gone(self, hit: Hit) -> None:
        if not hit.final:
            hit.end("gone")
            self.post("on_gone", hit.number)

    def too_late(self, hit: Hit) -> None:
        """The decisions answer every hit before its client timeout. Guards against a gateway that stood still
        over it: the client is told at once, and the decisions that nothing is owed any more."""
        if not hit.final:
            self.counts["overdue"] += 1
            self.log.error("answer overdue", hit=hit.name, group=hit.asked.group.name)
            hit.error(late=True)
            self.post("on_gone", hit.number)

    # --- what the decisions ask for ----------------------------------------------------------------------

    def forward(self, hit, instance, time_out):
        held, place = self.hits.get(hit), self.places.by_id.get(instance)
        if held is None or held.final:                 # its client left in this very turn
            self.loop.call_in(0, lambda: self.post("on_outcome", hit, 0, "moot", 0, True, {}))
            return
        number = len(held.forwards)

        def tell(ending, took, closed, report):
            held.last_ending = ending
            self.post("on_outcome", hit, number, ending, took, closed, report)
            self.loop.call_in(0, lambda: self.forget(held))

        if place is None or number >= self.sheet.allow.most_forwards:
            held.forwards.append(None)
            self.forwards.seen["not listed" if place is None else "nothing to send"] += 1
            self.loop.call_in(0, lambda: tell("unreachable" if place is None else "moot", 0, held.final, {}))
            return
        self.counts["forwards"] += 1
        held.forwards.append(self.loop.spawn(
            self.forwards.carry(held, number, place, time_out, tell), f"forward-{held.name}-{number}"))

    def cancel(self, hit, forward):
        held = self.hits.get(hit)
        # past the point of no return nothing is called off
        if held is not None and not held.streaming and forward < len(held.forwards) and held.forwards[forward]:
            held.forwards[forward].cancel()

    def bounce(self, hit, retry_after):
        held = self.hits.get(hit)
        if held is not None and not held.final:
            held.bounce(retry_after, self.shares.over(held.asked.customer))

    def error(self, hit):
        held = self.hits.get(hit)
        if held is not None and not held.final:
            held.error(late=held.last_ending == "timeout")

    def wake(self, token, delay):
        self.loop.call_in(delay, lambda: self.post("on_wake", token))

    def probe(self, instance):
        self.counts["probes"] += 1
        place = self.places.by_id.get(instance)
        if place is None:
            self.loop.call_in(0, lambda: self.post("on_probed", instance, "unreachable", 0, {}))
            return
        self.loop.spawn(self.forwards.probe(place, lambda *told: self.post("on_probed", instance, *told)), "probe")

    def vote(self, build, stage, verdict):
        self.counts["votes"] += 1
        self.log.info("vote", build=build, stage=stage, verdict=verdict)
        self.loop.spawn(self.news.vote(build, stage, verdict), "vote")

    def fetch_list(self):
        self.loop.spawn(self.list.ask(whole=True), "list-fetch")

    def watch_list(self):
        self.loop.spawn(self.list.ask(whole=False), "list-watch")

    def tell(self, peer, data):
        self.counts["told"] += 1
        if self.peers is None or not self.peers.tell(peer, data):
            self.counts["peer sends lost"] += 1

    def note(self, text):
        self.log.info("decision", text=text)
