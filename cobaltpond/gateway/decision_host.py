"""The host of the decisions: feeds events in the order of the loop, carries out what they ask for.

What happens during a turn of the loop is told to the decisions at its end, as one batch at one time: first
what was heard of the list and from the desk (after a stand-still they must not act on what was true before
it), then all else in the order in which the loop delivered it; a hit's taking always precedes whatever else
happens to it. What the decisions ask for happens at once, but nothing that follows from it is told to them in
the same batch.
"""

from cobaltpond.decisions.rules import Gateway
from cobaltpond.gateway.pending_hit import PendingHit


class GatewayDecisionHost:
    """`runsheet`: what the decisions get; `most_hits` open at once; `slack`: how long before the client's own
    time is up the decisions believe it to be up, in microseconds."""

    name = "decisions"  # as tasks have one, for the log

    def __init__(self, loop, runsheet: dict, start: int, most_hits: int, slack: int, places, forwards, log):
        self.loop, self.policy_settings, self.number, self.start, self.log = (
            loop,
            runsheet,
            runsheet["number"],
            start,
            log,
        )
        self.most_hits, self.slack, self.most_forwards = most_hits, slack, runsheet.get("most_forwards", 1)
        self.endpoints, self.forwards = places, forwards
        self.hits, self.first, self.inbox, self.open_hits = {}, [], [], 0
        self.taken, self.probes_out, self.decisions = 0, 0, None
        self.instance_source, self.desk_client, self.peers = (
            None,
            None,
            None,
        )  # set by whoever puts the gateway together
        self.is_allowed = (
            lambda what, verdict="": True
        )  # may this phase of the gateway vote so, or tell a sample?
        self.counts = {"forwards": 0, "overdue": 0, "probes": 0, "votes": 0, "told": 0, "peer sends lost": 0}
        loop.after_turn.append(self.deliver_events)

    def start_decisions(self, decisions=Gateway, seed: int | None = None) -> None:
        """Makes the decisions; from here on they are told everything."""
        seed = self.loop.kernel.random_seed() if seed is None else seed
        self.decisions = decisions(self, self.loop.now(), seed, self.policy_settings)

    def deliver_events(self) -> None:
        now = self.loop.now()
        batch, self.first, self.inbox = self.first + self.inbox, [], []
        for name, *arguments in batch:
            try:
                getattr(self.decisions, name)(now, *arguments)
            except Exception as trouble:  # guards all other hits against a fault met by one
                self.loop.on_task_failure(self, trouble)

    def post_event(self, name: str, *arguments) -> None:
        """Tells the decisions at the end of this turn."""
        self.inbox.append((name, *arguments))

    def post_event_first(self, name: str, *arguments) -> None:
        self.first.append((name, *arguments))

    # --- the door ----------------------------------------------------------------------------------------

    def is_full(self) -> bool:
        return self.open_hits >= self.most_hits

    def next_number(self) -> int:
        self.taken += 1
        return self.taken

    def accept_hit(
        self,
        hit: PendingHit,
        group: str,
        customer: str | None,
        key: int | None,
        left: int,
        cost: int | None,
        again: bool,
        net: int | None = None,
    ) -> None:
        """From here on a final answer is owed within `left` microseconds; the safety net answers after
        `net`."""
        self.hits[hit.number] = hit
        self.open_hits += 1
        hit.overdue = self.loop.call_in(left if net is None else net, lambda: self.answer_overdue(hit))
        self.post_event("on_hit", hit.number, group, customer, key, max(1, left - self.slack), cost, again)

    def hit_ended(self, hit: PendingHit) -> None:
        self.open_hits -= 1
        self.loop.call_in(
            0, lambda: self.drop_finished(hit)
        )  # not before the decisions have heard of its end

    def drop_finished(self, hit: PendingHit) -> None:
        if hit.final and all(task is None or task.done for task in hit.forwards):
            self.hits.pop(hit.number, None)

    def abandon_hit(self, hit: PendingHit) -> None:
        if not hit.final:
            hit.finalize("gone")
            self.post_event("on_gone", hit.number)

    def answer_overdue(self, hit: PendingHit) -> None:
        """The decisions answer every hit before its client timeout. Guards against a gateway that stood still
        over it: the client is told at once, and the decisions that nothing is owed any more."""
        if not hit.final:
            self.counts["overdue"] += 1
            self.log.error("answer overdue", hit=hit.name)
            hit.fail(late=True)
            self.post_event("on_gone", hit.number)

    # --- what the decisions ask for ----------------------------------------------------------------------

    def send_forward(self, hit, instance, time_out, send_within):
        held, place = self.hits[hit], self.endpoints.by_id.get(instance)
        number = len(held.forwards)
        if held.final:  # its client left in this very turn
            held.forwards.append(None)
            self.loop.call_in(0, lambda: self.post_event("on_outcome", hit, number, "moot", 0, True, {}))
            return

        def tell(ending, took, closed, report):
            held.last_ending = ending
            self.post_event("on_outcome", hit, number, ending, took, closed, report)
            self.loop.call_in(0, lambda: self.drop_finished(held))

        if place is None or number >= self.most_forwards:
            held.forwards.append(None)
            self.forwards.observations["not listed" if place is None else "nothing to send"] += 1
            self.loop.call_in(0, lambda: tell("unreachable" if place is None else "moot", 0, held.final, {}))
            return
        self.counts["forwards"] += 1
        self.endpoints.reserve(place)
        held.forwards.append(
            self.loop.spawn(
                self.forwards.run_forward(held, number, place, time_out, send_within, tell),
                f"forward-{held.name}-{number}",
            )
        )

    def cancel_forward(self, hit, forward):
        held = self.hits.get(hit)
        # past the point of no return nothing is called off
        if (
            held is not None
            and not held.streaming
            and forward < len(held.forwards)
            and held.forwards[forward]
        ):
            held.forwards[forward].cancel()

    def reject_hit(self, hit, retry_after):
        held = self.hits.get(hit)
        if held is not None and not held.final:
            held.reject(retry_after)

    def fail_hit(self, hit):
        held = self.hits.get(hit)
        if held is not None and not held.final:
            held.fail(late=held.last_ending == "timeout")

    def schedule_wakeup(self, token, delay):
        self.loop.call_in(delay, lambda: self.post_event("on_wake", token))

    def probe_instance(self, instance):
        self.counts["probes"] += 1
        place = self.endpoints.by_id.get(instance)
        if place is None:
            self.loop.call_in(0, lambda: self.post_event("on_probed", instance, "unreachable", 0, {}))
            return
        self.endpoints.reserve(place)
        self.loop.spawn(
            self.forwards.run_probe(place, lambda *told: self.post_event("on_probed", instance, *told)),
            "probe",
        )

    def is_reachable(self, instance):
        """May a forward go there now: is a kept connection idle, or a new one our turn?"""
        place = self.endpoints.by_id.get(instance)
        return place is None or self.endpoints.is_reachable(place)

    def cast_vote(self, build, stage, verdict):
        if not self.is_allowed("vote", verdict):  # not counted: it may be cast again later
            self.loop.call_in(
                0, lambda: self.post_event_first("on_news", build, stage, "trial", 0.0, 0, True, "full")
            )
            return
        self.counts["votes"] += 1
        self.log.info("vote", build=build, stage=stage, verdict=verdict)
        self.loop.spawn(self.desk_client.cast_vote(build, stage, verdict), "vote")

    def fetch_list(self):
        self.loop.spawn(self.instance_source.request_list(whole=True), "list-fetch")

    def watch_list(self):
        self.loop.spawn(self.instance_source.request_list(whole=False), "list-watch")

    def send_to_peer(self, peer, data):
        if not self.is_allowed("tell"):
            return
        self.counts["told"] += 1
        if self.peers is None or not self.peers.send_to(peer, data):
            self.counts["peer sends lost"] += 1

    def log_note(self, text):
        self.log.info("decision", text=text)
