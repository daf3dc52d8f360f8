"""All decisions of one gateway: which instance gets a hit, what proves a build bad, how the gateway votes.

A host makes one `Gateway(host, now, seed, runsheet)` a start and calls its `on_...` methods, one an event; it
answers by calling the host (`interface.py`). What is kept stands in `records.py`. Times are microseconds.
Here: the list, and a hit from its taking to its final answer; the rest is in choosing, judging and voting.
"""

from collections import Counter, deque
from math import ceil, inf, sqrt
from statistics import NormalDist

from cobaltpond.decisions.choosing import USEFUL_SHARE, Choosing
from cobaltpond.decisions.judging import MIN_SAMPLES, MIN_ERRORS, ASSESS_PERIOD_US, REFERENCE_FACTOR, Judging
from cobaltpond.decisions.records import (
    Fleet,
    Hit,
    HitState,
    Instance,
    PathGroup,
    RandomSource,
    SlidingCounts,
)
from cobaltpond.decisions.stats import SECOND, max_expected_events
from cobaltpond.decisions.voting import Voting

FALSE_ALARM_RATE, CORRELATED_VOTE_SHARE = (
    0.0001,
    1 / 3,
)  # by the number of gateways; votes that may err alike from one cause (open)
LOW_TRAFFIC_GATEWAYS, INITIAL_INFLIGHT_LIMIT = (
    10,
    4,
)  # gateways past which own counts show little; limit in flight at the start
# Ratios to figures of the runsheet: to the longest warm-up, to the target latency.
STRATUM_COLD_TIMES = 0.5  # a stretch of like samples
TICK_SHARE, HOLD_SHARE = 0.05, 0.15  # how often held hits look for room, and how long
SILENCE_SHARE = 0.8  # silent is who owes an answer so long
PROBE_SHARE = 0.5  # where probes are allowed: asked after so long, silent if it says nothing then
LATE_HITS_AVOIDED_SHARE = 1 / 3  # of late hits, by choosing the better of two (measured: a third to a half)

NOT_EXECUTED = ("full", "unreachable", "moot")


class Gateway(Choosing, Judging, Voting):
    def __init__(self, host, now, seed, runsheet):
        self.host, self.settings, self.random_source = host, runsheet, RandomSource(seed)
        self.groups = {row["name"]: PathGroup(row, runsheet) for row in runsheet["path_groups"]}
        self.fleet, self.hits, self.held_hits = Fleet(runsheet), {}, {}
        self.accepted_counts = SlidingCounts(runsheet.get("exposure_window", SECOND))
        self.newest, self.stage, self.phase, self.cap, self.stage_began = None, 0, "released", 1.0, now
        self.last_ballot, self.last_ballot_at, self.cast_answer, self.vote_hold_time, self.last_assessed = (
            None,
            0,
            "ok",
            0,
            now,
        )
        self.started_at, self.given_up, self.zone_load = (
            now,
            Counter(),
            {},
        )  # hits given up, by why; load, by zone
        self.verdict, self.evidence_changed, self.build_trusted, self.release_settled = (
            "fine",
            False,
            False,
            False,
        )  # last verdict
        self.last_chosen_id, self.next_wakeup, self.kept_keys = (
            "",
            inf,
            {},
        )  # last id chosen; next wake-up; key -> build
        self.alive_members, self.own_samples, self.blocked_build = (
            None,
            deque(maxlen=REFERENCE_FACTOR * MIN_SAMPLES),
            None,
        )  # by membership
        self.admitted, self.unreachable_share, self.customer_error_rates = (
            1.0,
            0.0,
            {},
        )  # shares: hits let in; no answers; errors
        self.last_admission_cut, self.late_share = now, 0.0  # when last cut; share of answers that came late
        self.last_list_at, self.list_requested_at, self.list_retry_delay = now, now - 1, 1  # ask at once
        self.cold_time = runsheet.get("cold_time", 0)
        self.shortest_target = min(g.target for g in self.groups.values())
        self.tick = max(int(TICK_SHARE * self.shortest_target), runsheet.get("tick", 1))
        votes, self.gateway_count = (
            max(1, runsheet.get("back_votes") or 1),
            max(1, runsheet.get("gateways", 1)),
        )
        self.low_traffic = self.gateway_count > LOW_TRAFFIC_GATEWAYS
        self.probing_enabled = self.low_traffic and runsheet.get("may_probe")
        self.silence_share = PROBE_SHARE if self.probing_enabled else SILENCE_SHARE
        self.stratum_length = (2 if self.low_traffic else 1) * int(
            STRATUM_COLD_TIMES * self.cold_time
        ) or SECOND  # few hits
        self.significance_z = NormalDist().inv_cdf(
            1
            - max_expected_events(ceil(votes * (1 - CORRELATED_VOTE_SHARE)), FALSE_ALARM_RATE)
            / self.gateway_count
        )
        self.strict_significance_z = NormalDist().inv_cdf(
            1 - FALSE_ALARM_RATE / self.gateway_count
        )  # where all gateways would err alike
        self.min_samples = max(MIN_ERRORS, round(MIN_SAMPLES / sqrt(votes)))  # no gateway decides alone
        self.wake_by(
            now + 1 + self.random_source.randbelow(ASSESS_PERIOD_US), now
        )  # not all gateways at once
        self.follow_list(now)

    def wake_by(self, at, now):
        if at < self.next_wakeup:
            self.next_wakeup = max(at, now + 1)
            self.host.schedule_wakeup(0, self.next_wakeup - now)

    def follow_list(self, now):
        if self.settings.get("list_by") != "asking":
            return
        heard = (
            self.list_requested_at
            if self.list_retry_delay
            else max(self.list_requested_at, self.last_list_at)
        )
        wait = self.list_retry_delay or self.settings.get("ask_within", 10 * SECOND) // 3
        if now - heard >= wait:
            self.list_requested_at = heard = now  # well before we count as told
            self.host.watch_list()
        self.wake_by(heard + wait, now)

    def on_list_error(self, now):
        most = self.settings.get("ask_within", 10 * SECOND) // 3
        self.list_retry_delay = min(
            max(SECOND // 2, self.list_retry_delay * 2), most
        ) + self.random_source.randbelow(SECOND // 4)

    def on_list(self, now, whole, rows):
        self.last_list_at, self.list_retry_delay = now, 0
        self.fleet.update(
            whole,
            rows,
            lambda row: Instance(
                row, self.fleet, INITIAL_INFLIGHT_LIMIT, self.random_source.randbelow(SECOND) / SECOND
            ),
        )
        if not self.last_chosen_id and self.fleet.ids:  # gateways must not go round in step
            self.last_chosen_id = self.fleet.ids[self.random_source.randbelow(len(self.fleet.ids))]
        self.dispatch_held(now)

    def on_drains(self, now, tags):
        """Another gateway's newer list says that these drain: no more hits, until our own list has them."""
        self.fleet.drain([self.instances_by_tag()[tag] for tag in tags if tag in self.instances_by_tag()])

    # --- hits ----------------------------------------------------------------------------------------------

    def change_state(self, hit, state):
        """The one place where a hit changes state."""
        hit.state = hit.next_state(state)
        self.held_hits.pop(hit.id, None)
        if state == HitState.HELD:
            self.held_hits[hit.id] = hit
        if hit.ended and not hit.open_forwards:
            del self.hits[hit.id]

    def on_hit(self, now, id, group, customer, key, left, cost, again):
        hit = self.hits[id] = Hit(id, self.groups[group], customer, key, again, now, left, HitState.TAKEN)
        self.accepted_counts.add(hit.group.ledger, now)
        self.dispatch(hit, now)

    def waits_for_probes(self, hit, now):
        """A thin gateway probes the next one or two in turn; one that answers, or with less load, gets the
        hit: against silent, crowded and slow instances. Harm: reports that lie, and the price: no probe where
        it costs more than the hits it may spare, those unanswered and a part of the late ones."""
        if hit.forwards or not self.probing_enabled:
            return False
        price = self.settings.get("probe_price", 0)
        most = (
            min(2, int(max(self.unreachable_share, LATE_HITS_AVOIDED_SHARE * self.late_share) / price))
            if price
            else 2
        )
        while (
            hit.state == HitState.TAKEN
            and len(hit.probed) < most
            and (instance := self.pick_instance(hit, now))
        ):
            hit.probed.append(instance)
            self.host.probe_instance(instance.id)
        patience = self.tick * (1 if hit.probe_replied else 2)
        waits = len(hit.probe_replied) < len(hit.probed) and now - hit.arrived < patience
        if waits:
            self.change_state(hit, HitState.HELD)
            self.wake_by(hit.arrived + patience, now)
        return waits

    def on_probed(self, now, id, ending, took, report):
        instance, late = self.fleet.by_id.get(id), ending != "ok" or took > 2 * self.tick
        self.unreachable_share += (late - self.unreachable_share) * 0.1
        if instance is None or ending != "ok":
            return
        instance.heard_at = now
        self.record_load_report(instance, report.get("inflight", instance.other_inflight + instance.out))
        for hit in [
            h for h in self.held_hits.values() if instance in h.probed and instance not in h.probe_replied
        ]:
            hit.probe_replied.append(instance)
            self.dispatch(hit, now)

    def refusal_reason(self, hit, now):
        """Why no further forward may go out; None where one may."""
        # two ticks early: one held past that could not be answered before its client has left
        if len(hit.forwards) >= self.settings.get("most_forwards", 1) or now + 2 * self.tick >= hit.deadline:
            return "no time" if now + 2 * self.tick >= hit.deadline else "forwards used up"
        if now - hit.arrived > (USEFUL_SHARE if hit.forwards else HOLD_SHARE) * hit.group.target:
            return "late after a forward" if hit.forwards else "no place that fits"
        may = (
            not hit.first_executed
            or hit.group.kind == "repeatable"
            or (self.repeat_time_left(hit, now) or 0) > 0
        )
        return None if may else "may not be repeated"

    def repeat_time_left(self, hit, now):
        """So long its key is remembered: a repeat has to be out by then, dial and all. None: no bound."""
        bound = hit.first_executed and hit.group.kind == "tagged"
        return hit.first_executed.sent + hit.group.repeat_window - self.tick - now if bound else None

    def is_admitted(self, hit):
        """A thin gateway's limit in flight: a share of its hits is bounced at once, clients' repeats and the
        least benefit first. Guards against a jam that hundreds of gateways keep up together."""
        power = (
            1.5
            if hit.is_repeat or hit.group is min(self.groups.values(), key=PathGroup.benefit_per_work)
            else 0.75
        )
        return not self.low_traffic or self.random_source.randbelow(1000) < 1000 * self.admitted**power

    def dispatch(self, hit, now):
        why = self.refusal_reason(hit, now)
        if why is None and hit.state == HitState.TAKEN and not self.is_admitted(hit):
            why = "not let in"
        if why:
            return self.give_up(hit, why)
        if self.waits_for_probes(hit, now):
            return
        free, hit.probed, hit.probe_replied = (
            [i for i in hit.probe_replied if self.is_eligible(hit, i, now)],
            [],
            [],
        )
        free += [self.pick_instance(hit, now)] if len(free) < 2 else []  # two to compare
        instance = min(filter(None, free), key=lambda i: self.queue_cost(i, now), default=None)
        self.change_state(hit, HitState.HELD)
        if instance is None:
            return self.wake_by(now + self.tick, now)
        hit.add_forward(instance, now)
        instance.tokens -= 1
        instance.build.sent.add(hit.group.ledger, now)
        self.change_state(hit, HitState.OUT)
        self.wake_by(now + int(self.silence_share * hit.group.target) + 1, now)
        self.host.send_forward(hit.id, instance.id, hit.deadline - now, self.repeat_time_left(hit, now))

    def dispatch_held(self, now):
        """First tries before repeats, most benefit for the work first, then the newest, the least late."""
        for hit in sorted(
            self.held_hits.values(), key=lambda h: (h.is_repeat, -h.group.benefit_per_work(), -h.arrived)
        ):
            self.dispatch(hit, now)

    def give_up(self, hit, why):
        """The final answer, at once: a bounce where a repeat is harmless, else errored."""
        self.given_up[why] += 1
        kind, scope = hit.group.kind, hit.group.scope
        harmless = hit.first_executed is None or kind == "repeatable" or kind == "tagged" and scope == "all"
        self.change_state(hit, HitState.BOUNCED if harmless else HitState.ERRORED)
        if harmless:
            self.host.reject_hit(
                hit.id,
                min(
                    self.settings.get("may_advise") and self.settings.get("most_advice") or 0,
                    hit.group.target,
                ),
            )
        else:
            self.host.fail_hit(hit.id)

    def on_outcome(self, now, id, number, ending, took, closed, report):
        hit = self.hits.get(id)
        if hit is None or number >= len(hit.forwards) or hit.forwards[number].has_outcome:
            return
        forward, ran = hit.settle_forward(number), ending not in NOT_EXECUTED
        # not the instance's doing: a client with little time left, a gateway that stood still
        spared = ending == "timeout" and took < hit.group.target or now - self.next_wakeup > self.tick
        if self.is_customer_fault(hit.customer, ending):
            ending, spared = "moot", True
        if not spared:
            self.add_evidence(forward, hit.group, ending, took, now)
        self.record_outcome(forward.instance, hit.group, "moot" if spared else ending, took, report, now)
        if ending == "ok" and self.settings.get("keys_stay") and hit.key is not None:
            # never lowered: a forward to the earlier build that was out meanwhile may be answered last
            self.kept_keys[hit.key] = max(
                self.kept_keys.get(hit.key, forward.instance.build),
                forward.instance.build,
                key=lambda build: build.number,
            )
        if ran and hit.first_executed is None:
            hit.first_executed = forward
        if hit.ended:
            self.change_state(hit, hit.state)
        elif closed:
            self.change_state(hit, HitState.DELIVERED if ending == "ok" else HitState.ERRORED)
        elif ending == "moot":
            self.give_up(hit, "moot")
        else:
            self.dispatch(hit, now)
        self.dispatch_held(now)

    def on_gone(self, now, id):
        if id in self.hits and not self.hits[id].ended:
            self.change_state(self.hits[id], HitState.GONE)

    def check_overdue_forwards(self, now):
        """Calls off what a silent instance owes, if it may be repeated: against vanished, cut-off ones. To a
        thin gateway busy looks like silent: it asks first, and repeats nothing while answers are late, or the
        fleet drowns."""
        for hit in [h for h in self.hits.values() if h.state == HitState.OUT]:
            last, instance = hit.forwards[-1], hit.forwards[-1].instance
            due = last.sent + int(self.silence_share * hit.group.target) + 1
            if now >= due and self.probing_enabled and instance.heard_at < last.sent:
                if last.probed_at is None:
                    last.probed_at = now
                    self.host.probe_instance(instance.id)
                due = last.probed_at + 2 * self.tick
            if now < due:
                self.wake_by(due, now)
            elif instance.heard_at >= last.sent:  # it lives and is slow: no need to wait for the answer
                late = last.sent + int(USEFUL_SHARE * hit.group.target) + 1
                self.cut_admission(last.sent, now) if now >= late else self.wake_by(late, now)
            else:
                self.eject(instance, now)
                self.wake_by(max(now + self.tick, instance.ejected_until), now)
                may = self.settings.get("may_cancel") and hit.group.kind != "mutating" and not last.cancelled
                if may and (self.admitted >= 1 or not self.low_traffic):
                    last.cancelled = True
                    self.host.cancel_forward(hit.id, len(hit.forwards) - 1)

    def on_wake(self, now, token):
        if now < self.next_wakeup:
            return  # a timer that an earlier one has replaced
        stood_still, self.next_wakeup = now - self.next_wakeup > self.tick, inf
        self.wake_by(now + self.tick, now) if stood_still else self.check_overdue_forwards(
            now
        )  # no sign of silence
        self.dispatch_held(now)
        self.follow_list(now)
        if now - self.last_assessed >= ASSESS_PERIOD_US:
            self.vote(now)
        again = self.phase == "released" and self.newest and self.newest.condemned
        if again or self.phase == "trial" or self.cast_answer is None or self.evidence_changed:
            self.wake_by(self.last_assessed + ASSESS_PERIOD_US, now)
