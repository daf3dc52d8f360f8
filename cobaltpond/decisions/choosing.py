"""Load balancing: which instance gets a hit, with outlier ejection, slow start, admission and exposure caps.

A mixin of `rules.Gateway`, whose constructor sets and documents the state.
"""

from itertools import islice
from math import inf
from statistics import fmean

from cobaltpond.decisions.stats import SECOND, rendezvous_weight

MAX_COMPARED = 18  # instances compared for a hit
# Ratios to figures of the settings: to the longest warm-up, to the target latency, to what a rule allows.
EJECTION_COLD_TIMES = 0.25  # length of a first ejection; later ones double, up to eight times this length
USEFUL_SHARE = 0.9  # no further forward past this share of the target latency
COLD_RATE_FACTOR = 0.6  # share of the hits that a cold instance could be sent; its capacity is a rough guess
# An instance's limit of hits in flight grows by one while its smoothed lateness is below `FAST_SHARE` of the
# target latency, and is multiplied by `LIMIT_DECREASE` above it.
FAST_SHARE, LIMIT_DECREASE = 0.3, 0.7
# A low-traffic gateway's admitted share of hits grows by the first for an answer in time, and is multiplied
# by the second for a late one.
ADMISSION_INCREASE, ADMISSION_DECREASE = 0.1, 0.7
# `UNREACHABLE_THRESHOLD`: share of dials or probes that fail. `CUSTOMER_ERROR_THRESHOLD`: share of a
# customer's hits that fail, which must also exceed twice that of the others.
UNREACHABLE_THRESHOLD, CUSTOMER_ERROR_THRESHOLD = 0.3, 0.4
# Hits by which an instance counts as less loaded (bias), or as more loaded (penalty).
TRIAL_BIAS, TRUST_BIAS, COLD_BIAS, CONDEMNED_PENALTY = 3, 2, 1, 100


class Choosing:
    """The load-balancing part of `rules.Gateway`. The attributes that it uses are those of that class; it is
    never instantiated by itself."""

    def refill_cold_tokens(self, now):
        """Refills the tokens of cold instances (slow start): each delivered hit gives every cold instance a
        fraction of a token, and the fractions sum to what the instance can bear. A low-traffic gateway keeps
        no unused whole tokens, or hundreds of gateways would all send a burst to one instance at the same
        time (thundering herd)."""
        part = self.settings.get("overload_factor", 1) * COLD_RATE_FACTOR / max(1, len(self.fleet.up))
        for instance in self.fleet.still_cold(now):
            saved = instance.tokens % 1 if self.low_traffic else min(1.0, instance.tokens)
            instance.tokens = saved + part * instance.warmth(now)

    def record_load_report(self, instance, inflight):
        """Takes over an instance's report of its hits in flight, and updates the mean load of its zone.
        `inflight` counts the hits of all gateways."""
        instance.other_inflight = max(0.0, inflight - instance.own_inflight)
        mean = self.zone_load.get(instance.zone, instance.other_inflight)
        self.zone_load[instance.zone] = mean + (instance.other_inflight - mean) * 0.1

    def record_outcome(self, instance, group, result, duration, report, now):
        """Updates latencies, limits, admission and ejection after a forward of `duration` microseconds."""
        if result in ("ok", "error", "full"):
            instance.heard_at = now
        if "inflight" in report:
            self.record_load_report(instance, report["inflight"] - 1)
        if result == "ok":
            self.refill_cold_tokens(now)
            group.mean_latency += (duration - group.mean_latency) * (0.05 if group.mean_latency else 1)
            instance.latency_ratio += (duration / max(1, group.mean_latency) - instance.latency_ratio) * 0.2
        if result in ("cancelled", "moot"):
            return
        lateness = duration / group.target if result == "ok" else max(1.0, duration / group.target)
        instance.lateness += (min(2.0, lateness) - instance.lateness) * 0.2
        if instance.lateness > FAST_SHARE and now - instance.limit_cut_at > FAST_SHARE * self.shortest_target:
            instance.limit, instance.limit_cut_at = max(1, int(instance.limit * LIMIT_DECREASE)), now
        elif instance.lateness <= FAST_SHARE and instance.own_inflight + 1 >= instance.limit:
            instance.limit += 1
        self.late_share += ((lateness >= USEFUL_SHARE) - self.late_share) * 0.05
        if lateness < USEFUL_SHARE:
            self.admitted_share = min(1.0, self.admitted_share + ADMISSION_INCREASE)
        elif result in ("ok", "timeout", "full"):  # a failing instance or a failed dial is no congestion
            self.cut_admission(now - duration, now)
        # a full instance counts as failing, as it may be draining
        instance.faults += ((result not in ("ok", "timeout")) - instance.faults) * 0.3
        if result == "ok" and instance.faults < 0.3:
            instance.ejection_time = 0
        self.unreachable_share += ((result == "unreachable") - self.unreachable_share) * 0.1
        if result == "unreachable" or instance.faults > 0.5:
            self.eject(instance, now)

    def cut_admission(self, sent, now):
        """Reduces the admitted share, as a forward sent at `sent` is late. A forward that was sent before the
        last cut shows nothing of its effect and is ignored."""
        if sent >= self.last_admission_cut:
            self.admitted_share = max(ADMISSION_INCREASE, self.admitted_share * ADMISSION_DECREASE)
            self.last_admission_cut = now

    def is_customer_fault(self, customer, result):
        """Returns whether an error is due to the customer's request, which fails at every instance, rather
        than to the instance. This may hide a fault of a build that one customer meets more often than others.
        """
        rate = 0.2 if self.low_traffic else 0.05
        share = self.customer_error_rates[customer] = self.customer_error_rates.get(customer, 0.0) * (
            1 - rate
        ) + rate * (result == "error")
        others = [x for name, x in self.customer_error_rates.items() if name != customer]
        return result == "error" and bool(others) and share > max(CUSTOMER_ERROR_THRESHOLD, 2 * fmean(others))

    def eject(self, instance, now):
        """Ejects an outlier, a silent, cut-off or quickly failing instance: it leaves the rotation for a time
        that doubles with each ejection, up to eight times the first, until a hit succeeds again. It returns
        with a limit of one hit in flight."""
        if now >= instance.ejected_until:
            first = int(EJECTION_COLD_TIMES * self.cold_time) or SECOND
            instance.ejection_time = min(8 * first, instance.ejection_time * 2 or first)
            instance.ejected_until, instance.limit, instance.faults = now + instance.ejection_time, 1, 0.4

    def cap_of(self, build):
        """Returns the exposure cap that binds this build now, a share of hits; None where no cap does."""
        if build is self.blocked_build:
            return 0.0
        if self.newest is None or build.number > self.newest.number:
            return (self.settings.get("stage_caps") or [0.0])[0]
        return self.cap if build is self.newest and self.phase != "released" else None

    def exposure_allows(self, build, group, now):
        """Returns whether the build's exposure cap leaves room for one more forward of the path group."""
        cap = self.cap_of(build)
        if cap is None:
            return True
        shielded = (self.stage if build is self.newest else 0) < self.settings.get("shielded_stages", 0)
        if cap <= 0 or shielded and group.kind != "repeatable":
            return False
        since, name = now - self.settings["exposure_window"], group.counter_name
        since = max(since, build.counted_from) if now >= build.counted_from else since
        sent = build.sent.count_since(name, since)
        accepted = self.accepted_counts.count_since(name, since + 1)
        # no free forwards in the first window: hundreds of gateways that restart at once, or one that
        # restarts every second, would exceed the cap with them
        free = (
            self.settings.get("exposure_free", 0)
            if now - self.started_at >= self.settings["exposure_window"]
            else 0
        )
        return sent + 1 <= free + cap * accepted

    def is_eligible(self, hit, instance, now):
        """Returns whether the instance may get the hit now."""
        unavailable = now < instance.ejected_until or instance.own_inflight >= instance.limit
        if unavailable or instance.tokens < 1 and instance.warmth(now) < 1:
            return False
        group, first = hit.group, hit.first_executed and hit.first_executed.instance
        if first and group.kind == "tagged" and not first.shares_deduplication(instance, group.scope):
            return False
        kept = self.kept_keys.get(hit.key)
        in_use = kept and kept is self.newest and self.phase in ("trial", "released")
        downgrade = in_use and instance.build.number < kept.number
        if kept is not instance.build and not self.may_bind_key(hit.key, instance.build):
            return False
        if downgrade or not self.exposure_allows(instance.build, group, now):
            return False
        return not self.settings.get("paced") or self.host.is_reachable(instance.id)

    def may_bind_key(self, key, build):
        """Returns whether a key that stays with a build may be bound to this one. A build on trial gets as
        large a share of the keys as its cap, the same keys at all gateways: otherwise all keys would be
        bound, one by one, to a build that may serve only a part of them."""
        cap = self.cap_of(build) if self.settings.get("keys_stay") and key is not None else None
        return cap is None or rendezvous_weight(build.number, key) < cap * 2**48

    def queue_cost(self, instance, now):
        """Returns how long a hit would wait at the instance, in hits; an instance of another zone counts as
        fuller by the price of crossing. A load report older than the shortest target latency is stale, as the
        hits that it counts have ended: the mean of the zone stands for it."""
        bias = self.settings.get("crossing_price", 0) * 25 * (instance.zone != self.settings.get("zone"))
        stale = now - instance.heard_at > self.shortest_target
        load = self.zone_load.get(instance.zone, 0) if stale else instance.other_inflight
        slowness = min(10.0, instance.latency_ratio) if instance.latency_ratio > 1.5 else 1.0
        if instance.build.condemned:
            bias += CONDEMNED_PENALTY
        elif self.cap_of(instance.build) is not None:
            slowness = 1.0  # a slow build must not escape its evaluation by getting no hits
            bias -= (TRIAL_BIAS + TRIAL_BIAS * TRUST_BIAS * self.build_trusted) / max(
                TRIAL_BIAS, self.gateway_count
            )
        warmth = instance.warmth(now)
        bias, slowness = (
            (bias - COLD_BIAS * (warmth < 1), slowness) if self.low_traffic else (bias, slowness / warmth)
        )
        return (instance.own_inflight + load + 1) * slowness + bias

    def on_warm_start(self, now, rows, keys):
        """Applies what settled gateways, or an earlier start of this one, knew of the instances (warm start).

        `rows` are (id, latency ratio, inflight, faults, silent), `keys` are (key, build number). No instance
        looks better by it than an unknown one, and one that was heard from already is left as it is."""
        for id, latency_ratio, load, faults, silent in rows:
            instance = self.fleet.by_id.get(id)
            if instance and not instance.heard_at:
                instance.latency_ratio = max(instance.latency_ratio, latency_ratio)
                instance.other_inflight = max(instance.other_inflight, load)
                instance.faults = max(instance.faults, faults)
                if silent:
                    self.eject(instance, now)
        newest = self.newest and self.newest.number
        self.kept_keys.update({key: self.newest for key, build in keys if build == newest})

    def keep_key(self, key, build):
        """Records the build that served a key. It is never lowered: a forward to the earlier build may be
        answered after one to the newer build. Beyond the limit the key that was recorded first is dropped."""
        earlier = self.kept_keys.get(key, build)
        self.kept_keys[key] = max(earlier, build, key=lambda served: served.number)
        if len(self.kept_keys) > self.settings.get("most_kept_keys", inf):
            del self.kept_keys[next(iter(self.kept_keys))]

    def pick_instance(self, hit, now):
        """Returns the next instance in turn (round robin) of the eligible ones with nearly the least queue
        cost; None where there is none. A low-traffic gateway whose dials or probes fail keeps to instances
        that it heard from lately, in case new connections are blocked or slow."""
        rotation = list(self.fleet.rotation_after(self.last_chosen_id))
        if self.low_traffic and self.unreachable_share > UNREACHABLE_THRESHOLD:
            rotation = [
                i for i in rotation if now - i.heard_at < self.cold_time and self.is_eligible(hit, i, now)
            ] or rotation
        all_eligible = (i for i in rotation if self.is_eligible(hit, i, now))
        eligible = list(islice(all_eligible, MAX_COMPARED))
        tried = [f.instance for f in hit.forwards] + hit.probed
        eligible = [i for i in eligible if i not in tried] or eligible
        costs = [self.queue_cost(i, now) for i in eligible]
        chosen = next((i for i, c in zip(eligible, costs, strict=True) if c <= min(costs) + 0.5), None)
        self.last_chosen_id = chosen.id if chosen else self.last_chosen_id
        return chosen
