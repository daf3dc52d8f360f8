"""Decisions of one gateway: routing, retries, admission control, evaluation of releases, and votes.

A host makes one `Gateway` for each start of the process, calls one `on_...` method for each event, and
carries out the calls that the gateway makes on it (`interface.py`). The state lives in `records.py`. All
times are microseconds. This module follows the instance list and takes each hit from its arrival to its final
answer; load balancing, evaluation and voting are in `choosing`, `judging` and `voting`.
"""

from collections import Counter, deque
from math import ceil, inf, sqrt
from statistics import NormalDist

from cobaltpond.decisions.choosing import USEFUL_SHARE, Choosing
from cobaltpond.decisions.judging import ASSESS_PERIOD_US, MIN_ERRORS, MIN_SAMPLES, REFERENCE_FACTOR, Judging
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

# `FALSE_ALARM_RATE`: probability of a false alarm, which is divided by the number of gateways.
# `CORRELATED_VOTE_SHARE`: share of the votes that one common cause may make err alike.
FALSE_ALARM_RATE, CORRELATED_VOTE_SHARE = 0.0001, 1 / 3
# `LOW_TRAFFIC_GATEWAYS`: above this number of gateways each one is a low-traffic gateway, whose own counts
# show little. `INITIAL_INFLIGHT_LIMIT`: first limit of hits in flight at an instance.
LOW_TRAFFIC_GATEWAYS, INITIAL_INFLIGHT_LIMIT = 10, 4
# Ratios to figures of the settings: longest warm-up (`..._COLD_TIMES`) or target latency (`..._SHARE`)
STRATUM_COLD_TIMES = 0.5  # length of the time strata in which samples are compared
TICK_SHARE, HOLD_SHARE = 0.05, 0.15  # interval at which held hits are tried again; longest time held
SILENCE_SHARE = 0.8  # an instance is silent if an answer has been outstanding for so long
# Where probes are allowed, an instance is probed after this, and silent if the probe gets no answer either.
PROBE_SHARE = 0.5
LATE_HITS_AVOIDED_SHARE = 1 / 3  # choosing the better of two avoids a third to a half of the late hits

NOT_EXECUTED = ("full", "unreachable", "moot")


class Gateway(Choosing, Judging, Voting):
    """The decisions of one gateway process, driven by events and free of I/O.

    `host` is a `DecisionHost`, `now` is in microseconds, `seed` seeds the random source, and `settings` is
    the policy map (`interface.PolicySettings`). Each public `on_...` method handles one event of `Decisions`.
    The attributes are described in `__init__`; all times and durations among them are in microseconds.
    """

    def __init__(self, host, now, seed, settings):
        self.host, self.settings, self.random_source = host, settings, RandomSource(seed)
        self.groups = {row["name"]: PathGroup(row, settings) for row in settings["path_groups"]}
        self.fleet = Fleet(settings)  # instances and builds
        self.hits = {}  # hits without final answer or with open forwards, by id
        self.held_hits = {}  # by id
        # arrivals of hits by `PathGroup.counter_name`, of which the exposure caps are a share
        self.accepted_counts = SlidingCounts(settings.get("exposure_window", SECOND))
        # the release as the desk last reported it: build, stage index, phase, cap (share of hits), and the
        # time at which the stage began
        self.newest, self.stage, self.phase, self.cap, self.stage_started_at = None, 0, "released", 1.0, now
        self.last_vote = None  # the last vote as (build, stage, verdict)
        self.last_vote_at = 0  # when the last vote was sent
        self.last_vote_answer = "ok"  # the answer to the last vote; None if outstanding
        self.vote_hold_time = 0  # how long this stage has been held
        self.last_assessed = now  # time of the last assessment
        self.started_at = now  # start of this process
        self.given_up = Counter()  # hits given up, by reason
        self.zone_load = {}  # mean load of other gateways on an instance, by zone
        self.verdict = "fine"  # of the last assessment: "fine", "suspect" or "fail"
        self.evidence_changed = False  # whether that verdict is out of date
        self.build_trusted = False  # whether the newest build may draw more traffic
        self.release_settled = False  # whether the release is older than evidence is kept
        self.last_chosen_id = ""  # last instance of the rotation
        self.next_wakeup = inf  # time of the next wake-up; infinite: none
        self.kept_keys = {}  # idempotency key -> build
        self.alive_members = None  # number -> start; None without membership
        self.own_samples = deque(maxlen=REFERENCE_FACTOR * MIN_SAMPLES)  # sent to a new judge
        # a build that another gateway reports as rolled back or with a lower cap; None: no such report
        self.blocked_build = None
        self.admitted_share = 1.0  # share of hits that admission control lets in
        self.unreachable_share = 0.0  # smoothed share of dials or probes without an answer
        self.customer_error_rates = {}  # smoothed error rate by customer
        self.last_admission_cut = now  # when the admitted share was last reduced
        self.late_share = 0.0  # smoothed share of answers that came late
        self.last_list_at = now  # last answer of the list
        self.list_requested_at = now - 1  # last request for the list
        self.list_retry_delay = 1  # 0 while the list answers; 1: the first request is sent at once
        self.cold_time = settings.get("cold_time", 0)  # longest warm-up of an instance
        self.shortest_target = min(g.target for g in self.groups.values())  # shortest target of a path group
        # interval at which held hits are tried again
        self.tick = max(int(TICK_SHARE * self.shortest_target), settings.get("tick", 1))
        votes = max(1, settings.get("back_votes") or 1)  # votes needed to roll a build back, at least one
        self.gateway_count = max(1, settings.get("gateways", 1))  # number of gateways
        # whether there are so many gateways that each sees few hits
        self.low_traffic = self.gateway_count > LOW_TRAFFIC_GATEWAYS
        # whether it may probe instances
        self.probing_enabled = self.low_traffic and settings.get("may_probe")
        # share of the target latency after which an unanswered forward is looked into
        self.silence_share = PROBE_SHARE if self.probing_enabled else SILENCE_SHARE
        # low-traffic gateways get few hits and need longer strata
        self.stratum_length = (2 if self.low_traffic else 1) * int(
            STRATUM_COLD_TIMES * self.cold_time
        ) or SECOND
        # z above which a rank test fails a build: some gateways may err before the votes do harm
        self.significance_z = NormalDist().inv_cdf(
            1
            - max_expected_events(ceil(votes * (1 - CORRELATED_VOTE_SHARE)), FALSE_ALARM_RATE)
            / self.gateway_count
        )
        # the same for evidence on which all gateways would err alike
        self.strict_significance_z = NormalDist().inv_cdf(1 - FALSE_ALARM_RATE / self.gateway_count)
        # fewer samples suffice where several votes are needed: no gateway decides alone
        self.min_samples = max(MIN_ERRORS, round(MIN_SAMPLES / sqrt(votes)))
        # a random first assessment spreads the gateways' votes: avoids a thundering herd
        self.wake_by(now + 1 + self.random_source.randbelow(ASSESS_PERIOD_US), now)
        self.follow_list(now)

    def wake_by(self, at, now):
        """Asks the host for a wake-up at `at` or earlier, unless an earlier one is scheduled."""
        if at < self.next_wakeup:
            self.next_wakeup = max(at, now + 1)
            self.host.schedule_wakeup(0, self.next_wakeup - now)

    def follow_list(self, now):
        """Asks for the instance list when the last answer is old or the retry delay has passed."""
        if self.settings.get("list_by") != "asking":
            return
        heard = (
            self.list_requested_at
            if self.list_retry_delay
            else max(self.list_requested_at, self.last_list_at)
        )
        wait = self.list_retry_delay or self.settings.get("ask_within", 10 * SECOND) // 3
        if now - heard >= wait:
            self.list_requested_at = heard = now  # well before the required interval has passed
            self.host.watch_list()
        self.wake_by(heard + wait, now)

    def on_list_error(self, now):
        """Doubles the retry delay (exponential backoff), up to a third of the required interval, and adds
        jitter of up to a quarter of a second."""
        longest = self.settings.get("ask_within", 10 * SECOND) // 3
        self.list_retry_delay = min(
            max(SECOND // 2, self.list_retry_delay * 2), longest
        ) + self.random_source.randbelow(SECOND // 4)

    def on_list(self, now, whole, rows):
        """Applies the instance list, or changes to it where `whole` is false, and retries held hits."""
        self.last_list_at, self.list_retry_delay = now, 0
        self.fleet.update(
            whole,
            rows,
            lambda row: Instance(
                row, self.fleet, INITIAL_INFLIGHT_LIMIT, self.random_source.randbelow(SECOND) / SECOND
            ),
        )
        self.limit_builds()
        # a random start keeps the gateways from going round the instances in step
        if not self.last_chosen_id and self.fleet.ids:
            self.last_chosen_id = self.fleet.ids[self.random_source.randbelow(len(self.fleet.ids))]
        self.dispatch_held(now)

    def on_drains(self, now, tags):
        """Stops sending hits to the instances with these message tags, which drain according to another
        gateway's newer list, until this gateway's own list has them. Unknown tags are ignored."""
        self.fleet.drain([self.instances_by_tag()[tag] for tag in tags if tag in self.instances_by_tag()])

    # --- hits ----------------------------------------------------------------------------------------------

    def change_state(self, hit, state):
        """Moves the hit to `state`, the only place that does so, and drops it once nothing is outstanding.
        Raises RuntimeError for a transition that `HitState.NEXT` does not have."""
        hit.state = hit.next_state(state)
        self.held_hits.pop(hit.id, None)
        if state == HitState.HELD:
            self.held_hits[hit.id] = hit
        if hit.ended and not hit.open_forwards:
            del self.hits[hit.id]

    def on_hit(self, now, id, group, customer, key, time_left, cost, is_retry):
        """Accepts a hit that has arrived. `time_left` is its time to the deadline, and `is_retry` marks a
        client's retry."""
        hit = self.hits[id] = Hit(
            id, self.groups[group], customer, key, is_retry, now, time_left, HitState.TAKEN
        )
        self.accepted_counts.add(hit.group.counter_name, now)
        self.dispatch(hit, now)

    def waits_for_probes(self, hit, now):
        """Probes one or two instances for a first forward, and returns whether the hit waits for their
        replies.

        Power of two choices: a low-traffic gateway knows little of the load and probes the next two of the
        rotation. The hit goes to the one that replies, or to the less loaded one, which avoids silent,
        overloaded and slow instances. Instances that misreport their load attract hits, and probes have a
        price: none is sent where it costs more than the hits it may save, which are the unanswered ones and a
        part of the late ones."""
        if hit.forwards or not self.probing_enabled:
            return False
        price = self.settings.get("probe_price", 0)
        count = (
            min(2, int(max(self.unreachable_share, LATE_HITS_AVOIDED_SHARE * self.late_share) / price))
            if price
            else 2
        )
        while (
            hit.state == HitState.TAKEN
            and len(hit.probed) < count
            and (instance := self.pick_instance(hit, now))
        ):
            hit.probed.append(instance)
            self.host.probe_instance(instance.id)
        longest_wait = self.tick * (1 if hit.probe_replied else 2)
        waits = len(hit.probe_replied) < len(hit.probed) and now - hit.arrived < longest_wait
        if waits:
            self.change_state(hit, HitState.HELD)
            self.wake_by(hit.arrived + longest_wait, now)
        return waits

    def on_probed(self, now, id, result, duration, report):
        """Handles the end of a probe after `duration`; `report`: the load report, empty where there
        is none."""
        instance, late = self.fleet.by_id.get(id), result != "ok" or duration > 2 * self.tick
        self.unreachable_share += (late - self.unreachable_share) * 0.1
        if instance is None or result != "ok":
            return
        instance.heard_at = now
        self.record_load_report(
            instance, report.get("inflight", instance.other_inflight + instance.own_inflight)
        )
        for hit in [
            h for h in self.held_hits.values() if instance in h.probed and instance not in h.probe_replied
        ]:
            hit.probe_replied.append(instance)
            self.dispatch(hit, now)

    def refusal_reason(self, hit, now):
        """Returns why no further forward may be sent for the hit; None where one may."""
        # two ticks early: a hit held past that could not be answered before its client disconnects
        if len(hit.forwards) >= self.settings.get("most_forwards", 1) or now + 2 * self.tick >= hit.deadline:
            return "no time" if now + 2 * self.tick >= hit.deadline else "forwards used up"
        if now - hit.arrived > (USEFUL_SHARE if hit.forwards else HOLD_SHARE) * hit.group.target:
            return "late after a forward" if hit.forwards else "no place that fits"
        retryable = (
            not hit.first_executed
            or hit.group.kind == "repeatable"
            or (self.repeat_time_left(hit, now) or 0) > 0
        )
        return None if retryable else "may not be repeated"

    def repeat_time_left(self, hit, now):
        """Returns how long the instances still remember the hit's idempotency key: a retry has to be sent by
        then, dialling included. None where there is no bound."""
        bounded = hit.first_executed and hit.group.kind == "tagged"
        return hit.first_executed.sent + hit.group.repeat_window - self.tick - now if bounded else None

    def is_admitted(self, hit):
        """Returns whether admission control lets the hit in. While answers are late, a low-traffic gateway
        rejects a share of its hits at once (load shedding), clients' retries and the path group of least
        benefit first. It prevents congestion that hundreds of gateways would keep up together, each with few
        hits."""
        power = (
            1.5
            if hit.is_retry or hit.group is min(self.groups.values(), key=PathGroup.benefit_per_work)
            else 0.75
        )
        return not self.low_traffic or self.random_source.randbelow(1000) < 1000 * self.admitted_share**power

    def dispatch(self, hit, now):
        """Sends a forward for the hit, holds it in the gateway, or gives it its final answer."""
        reason = self.refusal_reason(hit, now)
        if reason is None and hit.state == HitState.TAKEN and not self.is_admitted(hit):
            reason = "not let in"
        if reason:
            return self.reject_or_fail(hit, reason)
        if self.waits_for_probes(hit, now):
            return
        candidates = [i for i in hit.probe_replied if self.is_eligible(hit, i, now)]
        hit.probed = []
        hit.probe_replied = []
        candidates += [self.pick_instance(hit, now)] if len(candidates) < 2 else []  # two to compare
        instance = min(filter(None, candidates), key=lambda i: self.queue_cost(i, now), default=None)
        self.change_state(hit, HitState.HELD)
        if instance is None:
            return self.wake_by(now + self.tick, now)
        hit.add_forward(instance, now)
        instance.tokens -= 1
        instance.build.sent.add(hit.group.counter_name, now)
        self.change_state(hit, HitState.FORWARDED)
        self.wake_by(now + int(self.silence_share * hit.group.target) + 1, now)
        self.host.send_forward(hit.id, instance.id, hit.deadline - now, self.repeat_time_left(hit, now))

    def dispatch_held(self, now):
        """Dispatches all held hits: first tries before retries, then by benefit for the work, then the
        newest, which are the least late."""
        for hit in sorted(
            self.held_hits.values(), key=lambda h: (h.is_retry, -h.group.benefit_per_work(), -h.arrived)
        ):
            self.dispatch(hit, now)

    def reject_or_fail(self, hit, why):
        """Answers the hit at once and finally: it is rejected where a retry is harmless, else it fails."""
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

    def on_outcome(self, now, id, number, result, duration, hit_final, report):
        """Handles the end of forward `number` of the hit after `duration`; `hit_final`: the hit has its final
        answer. An unknown or repeated outcome is ignored."""
        hit = self.hits.get(id)
        if hit is None or number >= len(hit.forwards) or hit.forwards[number].has_outcome:
            return
        forward, executed = hit.settle_forward(number), result not in NOT_EXECUTED
        # not the instance's fault: a client with little time left, or a gateway process that was stalled
        excused = result == "timeout" and duration < hit.group.target or now - self.next_wakeup > self.tick
        if self.is_customer_fault(hit.customer, result):
            result, excused = "moot", True
        if not excused:
            self.add_evidence(forward, hit.group, result, duration, now)
        self.record_outcome(forward.instance, hit.group, "moot" if excused else result, duration, report, now)
        if result == "ok" and self.settings.get("keys_stay") and hit.key is not None:
            self.keep_key(hit.key, forward.instance.build)
        if executed and hit.first_executed is None:
            hit.first_executed = forward
        if hit.ended:
            self.change_state(hit, hit.state)
        elif hit_final:
            self.change_state(hit, HitState.DELIVERED if result == "ok" else HitState.ERRORED)
        elif result == "moot":
            self.reject_or_fail(hit, "moot")
        else:
            self.dispatch(hit, now)
        self.dispatch_held(now)

    def on_gone(self, now, id):
        """Ends a hit whose client has disconnected; its open forwards still report their outcome."""
        if id in self.hits and not self.hits[id].ended:
            self.change_state(self.hits[id], HitState.GONE)

    def check_overdue_forwards(self, now):
        """Ejects silent instances and cancels their forwards where these may be retried, in case an instance
        has vanished or is cut off. To a low-traffic gateway a busy instance looks silent: it probes first,
        and retries nothing while answers are late, which would become a retry storm."""
        for hit in [h for h in self.hits.values() if h.state == HitState.FORWARDED]:
            last, instance = hit.forwards[-1], hit.forwards[-1].instance
            due = last.sent + int(self.silence_share * hit.group.target) + 1
            if now >= due and self.probing_enabled and instance.heard_at < last.sent:
                if last.probed_at is None:
                    last.probed_at = now
                    self.host.probe_instance(instance.id)
                due = last.probed_at + 2 * self.tick
            if now < due:
                self.wake_by(due, now)
            elif instance.heard_at >= last.sent:  # it is alive but slow: congestion shows before the answer
                late = last.sent + int(USEFUL_SHARE * hit.group.target) + 1
                self.cut_admission(last.sent, now) if now >= late else self.wake_by(late, now)
            else:
                self.eject(instance, now)
                self.wake_by(max(now + self.tick, instance.ejected_until), now)
                may_cancel = (
                    self.settings.get("may_cancel") and hit.group.kind != "mutating" and not last.cancelled
                )
                if may_cancel and (self.admitted_share >= 1 or not self.low_traffic):
                    last.cancelled = True
                    self.host.cancel_forward(hit.id, len(hit.forwards) - 1)

    def on_wake(self, now, token):
        """Handles a wake-up; one that an earlier one has replaced is ignored."""
        if now < self.next_wakeup:
            return
        stalled, self.next_wakeup = now - self.next_wakeup > self.tick, inf
        # after a stall of this process, missing answers are no sign of silent instances
        self.wake_by(now + self.tick, now) if stalled else self.check_overdue_forwards(now)
        self.dispatch_held(now)
        self.follow_list(now)
        if now - self.last_assessed >= ASSESS_PERIOD_US:
            self.vote(now)
        awaits_return = self.phase == "released" and self.newest and self.newest.condemned
        if awaits_return or self.phase == "trial" or self.last_vote_answer is None or self.evidence_changed:
            self.wake_by(self.last_assessed + ASSESS_PERIOD_US, now)
