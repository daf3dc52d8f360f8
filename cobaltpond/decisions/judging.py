"""Evaluation of a release: rank tests of its latencies and error rates against the earlier build.

A mixin of `rules.Gateway`, whose constructor sets and documents the state. Low-traffic gateways see too
little each, so they send their samples to a few judges, gateways that evaluate the build for all. Latencies
are compared within strata of like conditions. docs/design.md gives the method behind the figures.
"""

from collections import Counter, deque
from heapq import nlargest
from math import inf
from statistics import NormalDist, median

from cobaltpond.decisions.records import Sample
from cobaltpond.decisions.sample_message import SampleMessage
from cobaltpond.decisions.stats import SECOND, hypergeometric_tail, mean_by, rank_test_z, rendezvous_weight

# `MEDIAN_RATIO`: new median latency over the earlier one from which latencies are ranked. `MIN_SAMPLES`:
# samples that a build and path group need before they are ranked.
MEDIAN_RATIO, MIN_SAMPLES = 1.8, 8
# The same two for samples that have no earlier ones of the same time, and once the earlier build is gone.
UNPAIRED_THRESHOLDS = 2.0, 4 * MIN_SAMPLES
# `MIN_INSTANCE_AGE_US`: younger instances give no sample. `SUSPECT_Z`: z above which a build is suspect, and
# held where the gate is a clock.
MIN_INSTANCE_AGE_US, SUSPECT_Z = 2 * SECOND, 2.0
# `REFERENCE_FACTOR`: samples kept as reference of a build that is gone, in multiples of `MIN_SAMPLES`.
# `MIN_ERRORS`: fewer errors are no evidence.
REFERENCE_FACTOR, MIN_ERRORS = 15, 3
# `ASSESS_PERIOD_US`: shortest time between two assessments. `JUDGE_COUNT`: judges of a build, where gateways
# may send samples.
ASSESS_PERIOD_US, JUDGE_COUNT = SECOND // 5, 2
EVIDENCE_COLD_TIMES = 2.5  # how long evidence is kept, in multiples of the longest warm-up

UNANSWERED = ("timeout", "unreachable", "reset", "cancelled")


class Judging:
    """The evaluation part of `rules.Gateway`. The attributes that it uses are those of that class; it is
    never instantiated by itself."""

    def add_evidence(self, forward, group, result, duration, now):
        """Turns the outcome of a forward into a sample, which the judges get too.

        A full instance, a hit that was not sent ("moot") and an instance that has just started give none;
        other failures count as timeouts. An instance that was not heard from at all since the forward was
        sent gives none either: that is a fault of its machine or network, and must not fail a good build."""
        instance = forward.instance
        silent = result in UNANSWERED and instance.heard_at < forward.sent
        if silent or result in ("full", "moot") or instance.age(forward.sent) < MIN_INSTANCE_AGE_US:
            return
        sample = Sample(
            now,
            duration if result == "ok" else group.timeout,
            result == "error",
            instance,
            forward.sent // self.stratum_length,
            instance.warmth(forward.sent),
            forward.inflight_seen,
        )
        self.record_sample(group, sample, now)
        self.send_to_judges(group, sample)

    def send_to_judges(self, group, sample):
        """Sends the judges each sample of the newest build, and one of the earlier build for it as reference,
        as no low-traffic gateway has enough samples of its own. A lost message costs one sample. It goes on
        after the release, as a build may fail under a load that it did not meet on trial."""
        build, sample_build = self.newest, sample.instance.build
        enabled = self.settings.get("may_tell") and self.phase in ("trial", "released")
        if not enabled or not build or not build.earlier or sample_build not in (build, build.earlier):
            return
        reference_due = group.reference_samples_due
        group.reference_samples_due = 1 if sample_build is build else 0
        if reference_due or sample_build is build:
            recipients = {}
            for judge in self.judges(build):
                self.send_sample(judge, group, sample, recipients, sample.at)
            if self.alive_members is not None:
                self.own_samples.append((group, sample, recipients))

    def judges(self, build):
        """Returns the numbers of the gateways that evaluate the build for all. With membership they are
        chosen among the present ones by rendezvous hashing: an absent judge is replaced, and gateways whose
        views differ a little choose nearly the same. Without it they follow from the build number."""
        if self.alive_members is None:
            return [
                (build.number + n) % self.gateway_count for n in range(min(JUDGE_COUNT, self.gateway_count))
            ]
        return nlargest(
            JUDGE_COUNT,
            sorted(self.alive_members),
            key=lambda number: rendezvous_weight(build.number, number),
        )

    def send_sample(self, judge, group, sample, recipients, now):
        """Sends the sample to a judge unless this start of it has it: a duplicate would count twice.
        `recipients` has the (judge, start) pairs that got it, and is added to."""
        recipient = judge, (self.alive_members or {}).get(judge)
        if judge != self.settings.get("number") and recipient not in recipients:
            recipients[recipient] = True
            self.host.send_to_peer(
                judge, SampleMessage.pack(sample, list(self.groups).index(group.name), now - sample.at)
            )

    def on_members(self, now, living):
        """Handles a change of the membership; `living` maps the numbers of the present gateways to their
        starts. A new judge gets the latest own samples of the trial, a part of all from each gateway, so that
        evidence is not lost with the judge that had it."""
        self.alive_members, build = living, self.newest
        if build and self.phase == "trial":
            part = 2 * REFERENCE_FACTOR * MIN_SAMPLES // max(1, len(living)) + 1
            for group, sample, recipients in list(self.own_samples)[-part:]:
                for judge in self.judges(build) if sample.instance.build in (build, build.earlier) else ():
                    self.send_sample(judge, group, sample, recipients, now)

    def instances_by_tag(self):
        """Returns the instances that are up, by their tag in messages."""
        self.fleet.by_tag = self.fleet.by_tag or {SampleMessage.tag_of(i): i for i in self.fleet.up}
        return self.fleet.by_tag

    def on_peer(self, now, peer, data):
        """Records a sample that another gateway sent. Data that is no sample, or is of an unknown instance,
        is ignored."""
        tag, index, errored, latency, inflight, age = SampleMessage.unpack(data)
        instance, at = self.instances_by_tag().get(tag), now - age
        sent = at if errored else at - latency  # an error counts as a timeout, but came much sooner
        # the tag stays the same over a restart: a sample of the process before it is no evidence of this one
        if instance and index < len(self.groups) and instance.age(sent) >= 0:
            self.record_sample(
                list(self.groups.values())[index],
                Sample(
                    at,
                    latency,
                    errored,
                    instance,
                    sent // self.stratum_length,
                    instance.warmth(sent),
                    inflight,
                ),
                now,
            )

    def record_sample(self, group, sample, now):
        """Keeps the sample. One of the newest build calls for an assessment if that build is on trial or
        suspect, or if the sample counts against it."""
        build = sample.instance.build
        build.add_sample(group.name, sample)
        # trimmed here too, as a build may go unassessed for weeks: memory would grow without bound
        self.recent_samples(build, group, now)
        relevant = (
            sample.errored
            or self.verdict != "fine"
            or self.phase == "trial"
            or (sample.latency > MEDIAN_RATIO * group.mean_latency)
        )
        if build is self.newest and relevant and not self.evidence_changed:
            self.evidence_changed = True
            self.wake_by(max(now, self.last_assessed + ASSESS_PERIOD_US), now)

    def recent_samples(self, build, group, now):
        """Drops old samples of a build and path group and returns the rest; the last ones of a build stay, as
        the reference for the next."""
        samples, reference = build.samples.get(group.name, deque()), REFERENCE_FACTOR * MIN_SAMPLES
        oldest = now - (EVIDENCE_COLD_TIMES * self.cold_time or 10 * SECOND)
        while len(samples) > 4 * reference or len(samples) > reference and samples[0].at < oldest:
            samples.popleft()
        return samples

    def without_worst_instances(self, samples, most=inf):
        """Returns the samples without those of the slowest third of the instances (of two, the slower one),
        but leaves out no more than `most` instances: no single instance or machine decides on the build."""
        means = mean_by(samples, "instance", "latency")
        left_out = min(len(means) // 3 or len(means) // 2, most)
        worst = sorted(means, key=lambda instance: -means[instance])[:left_out]
        return [s for s in samples if s.instance not in worst]

    def assess(self, build, now):
        """Assesses the build as "fail", "suspect" or "fine". It fails if one path group fails, or all of them
        taken together, as each may have too few samples."""
        self.release_settled = self.phase == "released" and (
            now - self.stage_started_at >= EVIDENCE_COLD_TIMES * self.cold_time
        )
        cases, verdicts, cells = [], [], Counter((i.zone, i.cell) for i in self.fleet.up if i.build is build)
        # For errors, no more instances are left out than one cell has: with many instances, the few errors
        # of a build may all be in the worst third.
        cell_size = max(cells.values(), default=1)
        for group in self.groups.values():
            every = self.recent_samples(build, group, now)
            old = self.recent_samples(build.earlier, group, now)
            new = self.without_worst_instances(every)
            counted = self.without_worst_instances(every, cell_size)
            record = build.earlier.error_counts.get(group.name, (0, 0))
            counts = (sum(s.errored for s in counted), len(counted), *record)
            cases.append((counts, counted, [*old], *self.stratify(new, old, now)))
        counts, *lists = zip(*cases, strict=True)
        cases.append(([sum(row) for row in zip(*counts, strict=True)], *(sum(rows, []) for rows in lists)))
        for name, (counts, new, old, pairs, unpaired) in zip([*self.groups, "all"], cases, strict=True):
            verdicts += [
                self.assess_errors(build, name, counts, self.significance_z, new, old),
                self.assess_latencies(
                    build, name, pairs, MEDIAN_RATIO, self.min_samples, self.significance_z
                ),
                self.assess_latencies(
                    build, name, unpaired, *UNPAIRED_THRESHOLDS, self.strict_significance_z
                ),
            ]
        # The platform's counts include silent and full instances: they are used only if this gateway has
        # recorded errors of the build too.
        if sum(errored for errored, _ in build.error_counts.values()) >= 2:
            counts = build.platform_counts + build.earlier.platform_counts
            verdicts.append(self.assess_errors(build, "platform", counts, self.strict_significance_z))
        return "fail" if "fail" in verdicts else "suspect" if "suspect" in verdicts else "fine"

    def assess_latencies(self, build, name, strata, median_ratio, min_samples, threshold):
        """Returns the verdict on latencies, as pairs (new, earlier) by stratum: they are ranked only where
        the median of the new ones exceeds the earlier median `median_ratio` times."""
        ratios = [x / max(1, median(reference)) for new, reference in strata for x in new]
        if (
            min(len(ratios), sum(len(reference) for _, reference in strata)) < min_samples
            or median(ratios) <= median_ratio
        ):
            return "fine"
        return self.classify_z(
            rank_test_z(strata),
            threshold,
            f"build {build.number} {name}: {median(ratios):.2f} times "
            f"the earlier median, {len(ratios)} hits in {len(strata)} strata",
        )

    def classify_z(self, z, threshold, text):
        """Returns the verdict for a z value; a fail is logged with `text`."""
        if z > threshold:
            self.host.log_note(f"{text}, z {z:.2f}")
        return "fail" if z > threshold else "suspect" if z > SUSPECT_Z else "fine"

    def assess_errors(self, build, name, counts, threshold, new=(), old=()):
        """Returns the verdict on the error rate: the exact rank test of (errored, hits, earlier errored,
        earlier hits), so that errors are not ranked as quick successes. The earlier counts are that build's
        whole record. If the earlier build fails too, failing instances are compared first: the cause may be a
        machine or zone."""
        errored, hits, old_errored, old_hits = counts
        # a judge that has restarted since the release has no record of the earlier build
        old_hits = old_hits or (hits if self.release_settled and new else 0)
        if hits < self.min_samples or errored < MIN_ERRORS or errored * old_hits <= 2 * old_errored * hits:
            return "fine"
        rates = [mean_by(samples, "instance", "errored").values() for samples in (new, old)]
        failing, old_failing = ((sum(x >= errored / hits / 2 for x in row), len(row)) for row in rates)
        shared_cause = old_failing[0] and hypergeometric_tail(*failing, *old_failing) > 1 - NormalDist().cdf(
            SUSPECT_Z
        )
        # long after a release, errors of a minority of the instances are no fault of the build
        if shared_cause or self.release_settled and new and 2 * failing[0] <= failing[1]:
            return "fine"
        z = NormalDist().inv_cdf(1 - max(1e-12, hypergeometric_tail(errored, hits, old_errored, old_hits)))
        return self.classify_z(
            z,
            threshold,
            f"build {build.number} {name}: errored {errored} of {hits}, "
            f"earlier {old_errored} of {old_hits}",
        )

    def stratify(self, new, old, now):
        """Returns pairs (new, earlier) of latencies in strata of time, and apart from them pairs of new
        samples that have no earlier ones of the same time.

        Latencies are corrected for cold instances and queueing, so that bursts, shared slowness and a lack of
        capacity are not taken for a slow build. Samples without earlier ones of their time are of another
        stratum, or ended when the earlier build got no more hits. Neither these nor anything later than the
        release counts against a build released beside the earlier one, as it takes over the load of both."""
        old = [s for s in old if s.warmth >= 1]
        if not old or not new:
            return [], []
        # Both sides begin at the same end time: of the hits sent long before it only slow ones have ended
        # since, and the samples of the busier build reach less far back.
        since = max(old[0].at, new[0].at)
        kept = [s for s in old if s.at >= since], [s for s in new if s.at >= since]
        old, new = kept if min(map(len, kept)) >= MIN_SAMPLES else (old, new)
        usual_inflight = median(s.inflight for s in old) + 1
        load_moves = self.phase == "released" and self.settings.get("layout") == "beside"
        strata, unpaired, last = {}, [], max(s.at - s.latency for s in old)
        last = min(last, self.stage_started_at) if load_moves else last
        for s in old:
            strata.setdefault(s.stratum, ([], []))[1].append(
                s.latency * usual_inflight / max(usual_inflight, s.inflight + 1)
            )
        for s in new:
            target = strata[s.stratum][0] if s.stratum in strata and s.at <= last else unpaired
            target.append(s.latency * s.warmth * usual_inflight / max(usual_inflight, s.inflight + 1))
        pairs = [(latencies, sorted(reference)) for latencies, reference in strata.values() if latencies]
        unpaired_strata = (
            [(unpaired, sorted(x for _, reference in strata.values() for x in reference))] if unpaired else []
        )
        if load_moves:
            return pairs, []
        return (
            ([], pairs + unpaired_strata)
            if now - old[-1].at > self.stratum_length
            else (pairs, unpaired_strata)
        )

    def on_platform_counts(self, now, build, group, count, errored, mean, age):
        """Adds `errored` of `count` hits of a build to its platform counts. They come from the platform, or
        from another gateway that this one asked because it started in mid-trial."""
        record, self.evidence_changed = self.fleet.build(build), True
        record.platform_counts = record.platform_counts[0] + errored, record.platform_counts[1] + count

    def on_wrong_answer(self, now, id, group, age):
        """Records that an answer given `age` microseconds ago, taken for a quick success, was wrong: it
        counts as an error of its build. A report from before the instance's last start is ignored, as that
        process may have run another build."""
        instance, group = self.fleet.by_id.get(id), self.groups.get(group)
        if instance and group and instance.age(now - age) >= 0:
            self.record_sample(group, Sample(now, group.timeout, True, instance, -1, 0, 0), now)
