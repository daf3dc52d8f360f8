"""Which instance gets a hit: what is known of each, what a cap or a cold start allows, who is next in turn.

A part of `rules.Gateway`, which has the state.
"""

from itertools import islice
from statistics import fmean

from cobaltpond.decisions.stats import SECOND, rendezvous_weight

MAX_COMPARED = 18  # instances compared for a hit
# Ratios to figures of the runsheet: to the longest warm-up, to the target latency, to what a rule allows.
EJECTION_COLD_TIMES = 0.25  # first time out of the rotation; doubles up to eight times as long
USEFUL_SHARE = 0.9  # no further forward past this
COLD_RATE_FACTOR = 0.6  # of what a cold instance could be sent, our guess of its capacity being rough
FAST_SHARE, LIMIT_DECREASE = 0.3, 0.7  # limit in flight: grows by one, cut where slower
ADMISSION_INCREASE, ADMISSION_DECREASE = 0.1, 0.7  # a thin gateway's share of hits let in: grows, is cut
UNREACHABLE_THRESHOLD, CUSTOMER_ERROR_THRESHOLD = (
    0.3,
    0.4,
)  # share of dials or probes that fail; of a customer's hits, against the others'
TRIAL_BIAS, TRUST_BIAS, COLD_BIAS, CONDEMNED_PENALTY = 3, 2, 1, 100  # hits: counts as emptier, or fuller


class Choosing:
    def refill_cold_tokens(self, now):
        """Each hit delivered allows a cold instance a part of one; all parts sum to what it can bear. What is
        not used at once is lost: guards against hundreds of gateways that spend theirs together."""
        part = self.settings.get("overload_factor", 1) * COLD_RATE_FACTOR / max(1, len(self.fleet.up))
        for instance in self.fleet.still_cold(now):
            saved = instance.tokens % 1 if self.low_traffic else min(1.0, instance.tokens)
            instance.tokens = saved + part * instance.warmth(now)

    def record_load_report(self, instance, inflight):
        instance.other_inflight = max(0.0, inflight - instance.out)  # of other gateways; its mean by zone
        mean = self.zone_load.get(instance.zone, instance.other_inflight)
        self.zone_load[instance.zone] = mean + (instance.other_inflight - mean) * 0.1

    def record_outcome(self, instance, group, ending, took, report, now):
        if ending in ("ok", "error", "full"):
            instance.heard_at = now
        if "inflight" in report:
            self.record_load_report(instance, report["inflight"] - 1)
        if ending == "ok":
            self.refill_cold_tokens(now)
            group.mean_latency += (took - group.mean_latency) * (0.05 if group.mean_latency else 1)
            instance.latency_ratio += (took / max(1, group.mean_latency) - instance.latency_ratio) * 0.2
        if ending in ("cancelled", "moot"):
            return
        lag = took / group.target if ending == "ok" else max(1.0, took / group.target)
        instance.lateness += (min(2.0, lag) - instance.lateness) * 0.2
        if instance.lateness > FAST_SHARE and now - instance.limit_cut_at > FAST_SHARE * self.shortest_target:
            instance.limit, instance.limit_cut_at = max(1, int(instance.limit * LIMIT_DECREASE)), now
        elif instance.lateness <= FAST_SHARE and instance.out + 1 >= instance.limit:
            instance.limit += 1
        self.late_share += ((lag >= USEFUL_SHARE) - self.late_share) * 0.05
        if lag < USEFUL_SHARE:
            self.admitted = min(1.0, self.admitted + ADMISSION_INCREASE)
        elif ending in ("ok", "timeout", "full"):  # a failing instance or a lost dial is no jam
            self.cut_admission(now - took, now)
        instance.faults += ((ending not in ("ok", "timeout")) - instance.faults) * 0.3  # full: it may drain
        if ending == "ok" and instance.faults < 0.3:
            instance.ejection_time = 0
        self.unreachable_share += ((ending == "unreachable") - self.unreachable_share) * 0.1
        if ending == "unreachable" or instance.faults > 0.5:
            self.eject(instance, now)

    def cut_admission(self, sent, now):
        """Something is late. What went out before the last cut says nothing of that cut."""
        if sent >= self.last_admission_cut:
            self.admitted, self.last_admission_cut = (
                max(ADMISSION_INCREASE, self.admitted * ADMISSION_DECREASE),
                now,
            )

    def is_customer_fault(self, customer, ending):
        """Is an error its customer's doing? Against hits that any instance errors; may hide a fault."""
        rate = 0.2 if self.low_traffic else 0.05
        share = self.customer_error_rates[customer] = self.customer_error_rates.get(customer, 0.0) * (
            1 - rate
        ) + rate * (ending == "error")
        others = [x for name, x in self.customer_error_rates.items() if name != customer]
        return ending == "error" and bool(others) and share > max(CUSTOMER_ERROR_THRESHOLD, 2 * fmean(others))

    def eject(self, instance, now):
        """Out for a while, then one hit at a time: against silent, cut-off and quickly failing instances."""
        if now >= instance.ejected_until:
            first = int(EJECTION_COLD_TIMES * self.cold_time) or SECOND
            instance.ejection_time = min(8 * first, instance.ejection_time * 2 or first)
            instance.ejected_until, instance.limit, instance.faults = now + instance.ejection_time, 1, 0.4

    def cap_of(self, build):
        """The cap that binds this build now; None where it is not on trial."""
        if build is self.blocked_build:
            return 0.0
        if self.newest is None or build.number > self.newest.number:
            return (self.settings.get("stage_caps") or [0.0])[0]
        return self.cap if build is self.newest and self.phase != "released" else None

    def exposure_allows(self, build, group, now):
        cap = self.cap_of(build)
        if cap is None:
            return True
        shielded = (self.stage if build is self.newest else 0) < self.settings.get("shielded_stages", 0)
        if cap <= 0 or shielded and group.kind != "repeatable":
            return False
        since, name = now - self.settings["exposure_window"], group.ledger
        since = max(since, build.counted_from) if now >= build.counted_from else since
        sent, taken = build.sent.count_since(name, since), self.accepted_counts.count_since(name, since + 1)
        # nothing is free at first: against hundreds that begin anew, or one that does so every second
        free = (
            self.settings.get("exposure_free", 0)
            if now - self.started_at >= self.settings["exposure_window"]
            else 0
        )
        return sent + 1 <= free + cap * taken

    def is_eligible(self, hit, instance, now):
        shut = now < instance.ejected_until or instance.out >= instance.limit
        if shut or instance.tokens < 1 and instance.warmth(now) < 1:
            return False
        group, first = hit.group, hit.first_executed and hit.first_executed.instance
        if first and group.kind == "tagged" and not first.shares_deduplication(instance, group.scope):
            return False
        kept = self.kept_keys.get(hit.key)
        lives = kept and kept is self.newest and self.phase in ("trial", "released")
        barred = lives and instance.build.number < kept.number
        if kept is not instance.build and not self.may_bind_key(hit.key, instance.build):
            return False
        if barred or not self.exposure_allows(instance.build, group, now):
            return False
        return not self.settings.get("paced") or self.host.is_reachable(instance.id)

    def may_bind_key(self, key, build):
        """Where keys stay: may this key be bound to a build on trial? As large a part of them as its cap is,
        the same at all gateways: guards against keys all bound, one by one, to what may serve but a part."""
        cap = self.cap_of(build) if self.settings.get("keys_stay") and key is not None else None
        return cap is None or rendezvous_weight(build.number, key) < cap * 2**48

    def queue_cost(self, instance, now):
        """How long a hit would wait there, in hits; another zone counts as fuller by what crossing costs.
        What a report older than the shortest target tells of has ended: the zone's mean stands for it."""
        lean = self.settings.get("crossing_price", 0) * 25 * (instance.zone != self.settings.get("zone"))
        old = now - instance.heard_at > self.shortest_target
        load = self.zone_load.get(instance.zone, 0) if old else instance.other_inflight
        pace = min(10.0, instance.latency_ratio) if instance.latency_ratio > 1.5 else 1.0
        if instance.build.condemned:
            lean += CONDEMNED_PENALTY
        elif self.cap_of(instance.build) is not None:
            pace = 1.0  # a slow build must not hide by getting no hits
            lean -= (TRIAL_BIAS + TRIAL_BIAS * TRUST_BIAS * self.build_trusted) / max(
                TRIAL_BIAS, self.gateway_count
            )
        warmth = instance.warmth(now)
        lean, pace = (lean - COLD_BIAS * (warmth < 1), pace) if self.low_traffic else (lean, pace / warmth)
        return (instance.out + load + 1) * pace + lean

    def on_recalled(self, now, rows, keys):
        """What settled gateways, or our own former life, knew of instances: none looks better by it than
        unknown, and none that we have heard from ourselves is touched."""
        for id, pace, load, faults, silent in rows:
            instance = self.fleet.by_id.get(id)
            if instance and not instance.heard_at:
                instance.latency_ratio, instance.other_inflight = (
                    max(instance.latency_ratio, pace),
                    max(instance.other_inflight, load),
                )
                instance.faults = max(instance.faults, faults)
                if silent:
                    self.eject(instance, now)
        newest = self.newest and self.newest.number
        self.kept_keys.update({key: self.newest for key, build in keys if build == newest})

    def pick_instance(self, hit, now):
        """The rotation: of the instances that fit and are about as free as the freest, the next in turn; only
        those heard of late while dials or probes fail: against squeezed or slow new connections."""
        turn = list(self.fleet.rotation_after(self.last_chosen_id))
        if self.low_traffic and self.unreachable_share > UNREACHABLE_THRESHOLD:
            turn = [
                i for i in turn if now - i.heard_at < self.cold_time and self.is_eligible(hit, i, now)
            ] or turn
        fits = (i for i in turn if self.is_eligible(hit, i, now))
        fit, tried = list(islice(fits, MAX_COMPARED)), [f.instance for f in hit.forwards] + hit.probed
        fit = [i for i in fit if i not in tried] or fit
        crowd = [self.queue_cost(i, now) for i in fit]
        chosen = next((i for i, c in zip(fit, crowd, strict=True) if c <= min(crowd) + 0.5), None)
        self.last_chosen_id = chosen.id if chosen else self.last_chosen_id
        return chosen
