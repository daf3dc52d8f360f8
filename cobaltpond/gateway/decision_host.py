"""Hosts the decisions: delivers events to them in the order of the loop and carries out what they request.

Events of one turn of the loop are delivered at its end, as one batch with one time. The events from the list
and from the desk come first: after a stall the decisions must not act on a state that has been replaced. All
other events follow in the order in which the loop produced them, so the acceptance of a hit precedes every
other event of that hit. Requests of the decisions are carried out at once, but what results from them is
never delivered in the same batch.
"""

from cobaltpond.decisions.rules import Gateway
from cobaltpond.gateway.pending_hit import PendingHit


class GatewayDecisionHost:
    """The host of one gateway's decisions; implements `decisions.interface.DecisionHost`.

    `policy_settings`: the mapping that the decisions read. `max_open_hits`: hits open at once.
    `answer_slack`: how long before the client's timeout the decisions take it as expired, in microseconds.
    """

    name = "decisions"  # named as tasks are, for the log of a failure

    def __init__(
        self,
        loop,
        policy_settings: dict,
        start: int,
        max_open_hits: int,
        answer_slack: int,
        endpoints,
        forwards,
        log,
    ):
        self.loop = loop
        self.policy_settings = policy_settings
        self.number = policy_settings["number"]
        self.start = start
        self.log = log
        self.max_open_hits = max_open_hits
        self.answer_slack = answer_slack
        self.max_forwards = policy_settings.get("most_forwards", 1)
        self.endpoints, self.forwards = endpoints, forwards
        self.pending_hits, self.priority_inbox, self.inbox, self.open_hits = {}, [], [], 0
        self.accepted_count, self.probes_in_flight, self.decisions = 0, 0, None
        # set by the process that creates the host
        self.instance_source = None
        self.desk_client = None
        self.peers = None
        # whether the gateway's phase permits this vote, or sending samples to peers
        self.is_allowed = lambda what, verdict="": True
        self.counts = {"forwards": 0, "overdue": 0, "probes": 0, "votes": 0, "told": 0, "peer sends lost": 0}
        loop.after_turn.append(self.deliver_events)

    def start_decisions(self, decisions=Gateway, seed: int | None = None) -> None:
        """Creates the decisions, which receive every event from now on. `seed`: None takes a random one."""
        seed = self.loop.kernel.random_seed() if seed is None else seed
        self.decisions = decisions(self, self.loop.now(), seed, self.policy_settings)

    def deliver_events(self) -> None:
        """Delivers the events of this turn; runs at its end."""
        now = self.loop.now()
        batch, self.priority_inbox, self.inbox = self.priority_inbox + self.inbox, [], []
        for name, *arguments in batch:
            try:
                getattr(self.decisions, name)(now, *arguments)
            except Exception as error:  # a fault that one hit meets must not stop all other hits
                self.loop.on_task_failure(self, error)

    def post_event(self, name: str, *arguments) -> None:
        """Queues a call of the decisions' method `name` for the end of this turn."""
        self.inbox.append((name, *arguments))

    def post_event_first(self, name: str, *arguments) -> None:
        """Queues a call as `post_event` does, ahead of all events that were not posted this way."""
        self.priority_inbox.append((name, *arguments))

    # --- calls from the frontend -------------------------------------------------------------------------

    def is_full(self) -> bool:
        """Returns whether the limit of open hits is reached."""
        return self.open_hits >= self.max_open_hits

    def next_number(self) -> int:
        """Returns the number of the next hit; numbers start at 1."""
        self.accepted_count += 1
        return self.accepted_count

    def accept_hit(
        self,
        hit: PendingHit,
        group: str,
        customer: str | None,
        key: int | None,
        time_left: int,
        cost: int | None,
        is_retry: bool,
        answer_within: int | None = None,
    ) -> None:
        """Makes the host responsible for one final answer within `time_left` microseconds.

        `answer_within`: microseconds until `answer_overdue` answers instead of the decisions; None:
        `time_left`. `cost`: expected microseconds of work, None where unknown.
        """
        self.pending_hits[hit.number] = hit
        self.open_hits += 1
        hit.overdue_timer = self.loop.call_in(
            time_left if answer_within is None else answer_within, lambda: self.answer_overdue(hit)
        )
        self.post_event(
            "on_hit", hit.number, group, customer, key, max(1, time_left - self.answer_slack), cost, is_retry
        )

    def hit_ended(self, hit: PendingHit) -> None:
        """Handles the end of a hit; called once, when it becomes final."""
        self.open_hits -= 1
        # not before the decisions have received the event of its end
        self.loop.call_in(0, lambda: self.drop_finished(hit))

    def drop_finished(self, hit: PendingHit) -> None:
        """Forgets the hit once it is final and none of its forwards runs."""
        if hit.final and all(task is None or task.done for task in hit.forwards):
            if self.pending_hits.pop(hit.number, None) is not None:
                hit.release()

    def abandon_hit(self, hit: PendingHit) -> None:
        """Cancels a hit whose client disconnected or sent a malformed body; does nothing where it is
        final.
        """
        if not hit.final:
            hit.finalize("gone")
            self.post_event("on_gone", hit.number)

    def answer_overdue(self, hit: PendingHit) -> None:
        """Fails a hit that the decisions have not answered before the client's timeout.

        The decisions answer every hit in time unless the gateway stalled past it. The client then gets its
        answer at once, and the decisions learn that the hit needs none any more.
        """
        if not hit.final:
            self.counts["overdue"] += 1
            self.log.error("answer overdue", hit=hit.name)
            hit.fail(late=True)
            self.post_event("on_gone", hit.number)

    # --- requests of the decisions: see `decisions.interface.DecisionHost` ---------------------------------

    def send_forward(self, hit, instance, timeout, send_within):
        """Starts a forward; `on_outcome` reports its result exactly once. Times in microseconds.

        `send_within`: how long the request may wait to be written; None: for the whole `timeout`.
        """
        pending_hit, endpoint = self.pending_hits[hit], self.endpoints.by_id.get(instance)
        number = len(pending_hit.forwards)
        # the client has disconnected in this turn, or its close is not read yet
        if not pending_hit.is_wanted():
            pending_hit.forwards.append(None)
            self.loop.call_in(0, lambda: self.post_event("on_outcome", hit, number, "moot", 0, True, {}))
            return

        def on_result(result, duration, hit_final, load_report):
            pending_hit.last_result = result
            self.post_event("on_outcome", hit, number, result, duration, hit_final, load_report)
            self.loop.call_in(0, lambda: self.drop_finished(pending_hit))

        if endpoint is None or number >= self.max_forwards:
            pending_hit.forwards.append(None)
            self.forwards.result_counts["not listed" if endpoint is None else "nothing to send"] += 1
            self.loop.call_in(
                0,
                lambda: on_result("unreachable" if endpoint is None else "moot", 0, pending_hit.final, {}),
            )
            return
        self.counts["forwards"] += 1
        self.endpoints.reserve(endpoint)
        pending_hit.forwards.append(
            self.loop.spawn(
                self.forwards.run_forward(pending_hit, number, endpoint, timeout, send_within, on_result),
                f"forward-{pending_hit.name}-{number}",
            )
        )

    def cancel_forward(self, hit, forward):
        """Cancels a running forward; does nothing once its answer is being streamed to the client."""
        pending_hit = self.pending_hits.get(hit)
        if (
            pending_hit is not None
            and not pending_hit.streaming
            and forward < len(pending_hit.forwards)
            and pending_hit.forwards[forward]
        ):
            pending_hit.forwards[forward].cancel()

    def reject_hit(self, hit, retry_after):
        """Rejects an open hit; `retry_after`: advice to the client in microseconds, 0 for none."""
        pending_hit = self.pending_hits.get(hit)
        if pending_hit is not None and not pending_hit.final:
            pending_hit.reject(retry_after)

    def fail_hit(self, hit):
        """Answers an open hit with an error: late where its last forward timed out."""
        pending_hit = self.pending_hits.get(hit)
        if pending_hit is not None and not pending_hit.final:
            pending_hit.fail(late=pending_hit.last_result == "timeout")

    def schedule_wakeup(self, token, delay):
        """Posts `on_wake(token)` after `delay` microseconds."""
        self.loop.call_in(delay, lambda: self.post_event("on_wake", token))

    def probe_instance(self, instance):
        """Sends a probe to an instance; `on_probed` reports the result."""
        self.counts["probes"] += 1
        endpoint = self.endpoints.by_id.get(instance)
        if endpoint is None:
            self.loop.call_in(0, lambda: self.post_event("on_probed", instance, "unreachable", 0, {}))
            return
        self.endpoints.reserve(endpoint)
        self.loop.spawn(
            self.forwards.run_probe(
                endpoint, lambda *result: self.post_event("on_probed", instance, *result)
            ),
            "probe",
        )

    def is_reachable(self, instance):
        """Returns whether a forward may use an idle connection or dial a new one now.

        True for an unknown instance.
        """
        endpoint = self.endpoints.by_id.get(instance)
        return endpoint is None or self.endpoints.is_reachable(endpoint)

    def cast_vote(self, build, stage, verdict):
        """Sends a vote to the desk; `on_news` reports the answer.

        A vote that the phase forbids answers "full".
        """
        if not self.is_allowed("vote", verdict):  # not counted: it may be cast again later
            self.loop.call_in(
                0, lambda: self.post_event_first("on_news", build, stage, "trial", 0.0, 0, True, "full")
            )
            return
        self.counts["votes"] += 1
        self.log.info("vote", build=build, stage=stage, verdict=verdict)
        self.loop.spawn(self.desk_client.cast_vote(build, stage, verdict), "vote")

    def fetch_list(self):
        """Requests the whole list of instances."""
        self.loop.spawn(self.instance_source.request_list(whole=True), "list-fetch")

    def watch_list(self):
        """Requests what has changed in the list of instances."""
        self.loop.spawn(self.instance_source.request_list(whole=False), "list-watch")

    def send_to_peer(self, peer, data):
        """Sends a message to one gateway, to all others where `peer` is None. Delivery is not assured."""
        if not self.is_allowed("tell"):
            return
        self.counts["told"] += 1
        if self.peers is None or not self.peers.send_to(peer, data):
            self.counts["peer sends lost"] += 1

    def log_note(self, text):
        """Logs a decision as text."""
        self.log.info("decision", text=text)
