"""What proves a build bad: samples of both builds, told to those who judge for all, ranked like with like.

A part of `rules.Gateway`, which has the state. The design's figures; those marked open are found by measuring
(docs/design.md says how).
"""

from collections import Counter, deque
from heapq import nlargest
from math import inf
from statistics import NormalDist, median

from cobaltpond.decisions.records import Sample
from cobaltpond.decisions.sample_message import SampleMessage
from cobaltpond.decisions.stats import SECOND, hypergeometric_tail, mean_by, rank_test_z, rendezvous_weight

MEDIAN_RATIO, MIN_SAMPLES = (
    1.8,
    8,
)  # new median over old; outcomes a build and path group before they rank (open)
UNPAIRED_THRESHOLDS = 2.0, 4 * MIN_SAMPLES  # both, once the earlier build is gone (open)
MIN_INSTANCE_AGE_US, SUSPECT_Z = (
    2 * SECOND,
    2.0,
)  # no sample of a younger one; under a clock: hold above this z
REFERENCE_FACTOR, MIN_ERRORS = (
    15,
    3,
)  # times MIN_SAMPLES kept of a build that is gone; errors that say anything
ASSESS_PERIOD_US, JUDGE_COUNT = (
    SECOND // 5,
    2,
)  # looks at evidence; gateways that judge for all where they may tell
EVIDENCE_COLD_TIMES = 2.5  # longest warm-ups: how long evidence is kept

UNANSWERED = ("timeout", "unreachable", "reset", "cancelled")


class Judging:
    def add_evidence(self, forward, group, ending, took, now):
        """A full instance gives no sample; other failures count as time-outs. One that says nothing at all
        tells of its place, not of its build: guards a good build against silent or cut-off instances."""
        instance = forward.instance
        silent = ending in UNANSWERED and instance.heard_at < forward.sent
        if silent or ending in ("full", "moot") or instance.age(forward.sent) < MIN_INSTANCE_AGE_US:
            return
        sample = Sample(
            now,
            took if ending == "ok" else group.timeout,
            ending == "error",
            instance,
            forward.sent // self.stratum_length,
            instance.warmth(forward.sent),
            forward.inflight_seen,
        )
        self.record_sample(group, sample, now)
        self.send_to_judges(group, sample)

    def send_to_judges(self, group, sample):
        """Each sample of the trial, and one of the earlier build for it, goes to gateways that rank what all
        have seen: guards against evidence too thin at any one. A lost message is but a lost sample. It goes
        on after the release: against a build that fails under a load that it had not met on trial."""
        build, of = self.newest, sample.instance.build
        told = self.settings.get("may_tell") and self.phase in ("trial", "released")
        if not told or not build or not build.earlier or of not in (build, build.earlier):
            return
        owed, group.reference_samples_due = group.reference_samples_due, 1 if of is build else 0
        if owed or of is build:
            heard = {}
            for judge in self.judges(build):
                self.send_sample(judge, group, sample, heard, sample.at)
            if self.alive_members is not None:
                self.own_samples.append((group, sample, heard))

    def judges(self, build):
        """By number; where it is known who is there, of those the ones that draw the highest lots: a dead
        judge gives place to one, and views that differ little choose nearly the same."""
        if self.alive_members is None:
            return [
                (build.number + n) % self.gateway_count for n in range(min(JUDGE_COUNT, self.gateway_count))
            ]
        return nlargest(
            JUDGE_COUNT,
            sorted(self.alive_members),
            key=lambda number: rendezvous_weight(build.number, number),
        )

    def send_sample(self, judge, group, sample, heard, now):
        """Once to each start of a judge: what is told twice would count twice."""
        mark = judge, (self.alive_members or {}).get(judge)
        if judge != self.settings.get("number") and mark not in heard:
            heard[mark] = True
            self.host.send_to_peer(
                judge, SampleMessage.pack(sample, list(self.groups).index(group.name), now - sample.at)
            )

    def on_members(self, now, living):
        """Who is there, and since which start. A new judge is told what we have seen of the trial lately,
        each a part of it: guards against evidence that is lost with the judge who had it."""
        self.alive_members, build = living, self.newest
        if build and self.phase == "trial":
            part = 2 * REFERENCE_FACTOR * MIN_SAMPLES // max(1, len(living)) + 1
            for group, sample, heard in list(self.own_samples)[-part:]:
                for judge in self.judges(build) if sample.instance.build in (build, build.earlier) else ():
                    self.send_sample(judge, group, sample, heard, now)

    def instances_by_tag(self):
        self.fleet.by_tag = self.fleet.by_tag or {SampleMessage.tag_of(i): i for i in self.fleet.up}
        return self.fleet.by_tag

    def on_peer(self, now, peer, data):
        mark, index, errored, latency, crowd, age = SampleMessage.unpack(data)
        instance, at = self.instances_by_tag().get(mark), now - age
        sent = at if errored else at - latency  # an error counts as a time-out and came much sooner
        # the tag is the same over a restart: what tells of its former life is no evidence of this one
        if instance and index < len(self.groups) and instance.age(sent) >= 0:
            self.record_sample(
                list(self.groups.values())[index],
                Sample(
                    at, latency, errored, instance, sent // self.stratum_length, instance.warmth(sent), crowd
                ),
                now,
            )

    def record_sample(self, group, sample, now):
        """Keeps it; one on trial, against the newest build or while that is suspect calls for a look."""
        build = sample.instance.build
        build.add_sample(group.name, sample)
        self.recent_samples(build, group, now)  # trimmed unjudged too: against weeks without a release
        against = (
            sample.errored
            or self.verdict != "fine"
            or self.phase == "trial"
            or (sample.latency > MEDIAN_RATIO * group.mean_latency)
        )
        if build is self.newest and against and not self.evidence_changed:
            self.evidence_changed = True
            self.wake_by(max(now, self.last_assessed + ASSESS_PERIOD_US), now)

    def recent_samples(self, build, group, now):
        samples, least = build.samples.get(group.name, deque()), REFERENCE_FACTOR * MIN_SAMPLES
        oldest = now - (EVIDENCE_COLD_TIMES * self.cold_time or 10 * SECOND)
        while len(samples) > 4 * least or len(samples) > least and samples[0].at < oldest:
            samples.popleft()
        return samples  # the last ones of a build stay as its reference

    def without_worst_instances(self, samples, most=inf):
        """No single instance or place carries the verdict: the worst third is left out, of two the worse."""
        means = mean_by(samples, "instance", "latency")
        left_out = min(len(means) // 3 or len(means) // 2, most)
        worst = sorted(means, key=lambda instance: -means[instance])[:left_out]
        return [s for s in samples if s.instance not in worst]

    def assess(self, build, now):
        """Fail, suspect or fine; a fail in any path group, or in all together, as one may be too thin."""
        self.release_settled = self.phase == "released" and (
            now - self.stage_began >= EVIDENCE_COLD_TIMES * self.cold_time
        )
        cases, says, cells = [], [], Counter((i.zone, i.cell) for i in self.fleet.up if i.build is build)
        place = max(cells.values(), default=1)  # of errors no more: a third of many has all of the few
        for group in self.groups.values():
            every, old = (
                self.recent_samples(build, group, now),
                self.recent_samples(build.earlier, group, now),
            )
            new, most = self.without_worst_instances(every), self.without_worst_instances(every, place)
            record = build.earlier.errored.get(group.name, (0, 0))
            counts = (sum(s.errored for s in most), len(most), *record)
            cases.append((counts, most, [*old], *self.stratify(new, old, now)))
        counts, *lists = zip(*cases, strict=True)
        cases.append(([sum(row) for row in zip(*counts, strict=True)], *(sum(rows, []) for rows in lists)))
        for name, (counts, new, old, pairs, alone) in zip([*self.groups, "all"], cases, strict=True):
            says += [
                self.assess_errors(build, name, counts, self.significance_z, new, old),
                self.assess_latencies(
                    build, name, pairs, MEDIAN_RATIO, self.min_samples, self.significance_z
                ),
                self.assess_latencies(build, name, alone, *UNPAIRED_THRESHOLDS, self.strict_significance_z),
            ]
        if sum(errored for errored, _ in build.errored.values()) >= 2:  # it counts silent and full ones too
            counts = build.platform_counts + build.earlier.platform_counts
            says.append(self.assess_errors(build, "platform", counts, self.strict_significance_z))
        return "fail" if "fail" in says else "suspect" if "suspect" in says else "fine"

    def assess_latencies(self, build, name, strata, margin, least, level):
        """The design's test: the margin on the medians, then z against the level."""
        times = [x / max(1, median(ref)) for some, ref in strata for x in some]
        if min(len(times), sum(len(ref) for _, ref in strata)) < least or median(times) <= margin:
            return "fine"
        return self.classify_z(
            rank_test_z(strata),
            level,
            f"build {build.number} {name}: {median(times):.2f} times "
            f"the earlier median, {len(times)} hits in {len(strata)} strata",
        )

    def classify_z(self, z, level, words):
        if z > level:
            self.host.log_note(f"{words}, z {z:.2f}")
        return "fail" if z > level else "suspect" if z > SUSPECT_Z else "fine"

    def assess_errors(self, build, name, counts, level, new=(), old=()):
        """The exact rank test of errors, against the earlier build's whole record: none ranks as a quick
        success. If that one fails too, failing instances are counted first: against a failing place."""
        errored, hits, old_errored, old_hits = counts
        old_hits = old_hits or (
            hits if self.release_settled and new else 0
        )  # no record: a judge that restarted
        if hits < self.min_samples or errored < MIN_ERRORS or errored * old_hits <= 2 * old_errored * hits:
            return "fine"
        shares = [mean_by(samples, "instance", "errored").values() for samples in (new, old)]
        bad, old_bad = ((sum(x >= errored / hits / 2 for x in row), len(row)) for row in shares)
        alike = old_bad[0] and hypergeometric_tail(*bad, *old_bad) > 1 - NormalDist().cdf(SUSPECT_Z)
        if alike or self.release_settled and new and 2 * bad[0] <= bad[1]:
            return "fine"  # long after a release some instances are not the build
        z = NormalDist().inv_cdf(1 - max(1e-12, hypergeometric_tail(errored, hits, old_errored, old_hits)))
        return self.classify_z(
            z,
            level,
            f"build {build.number} {name}: errored {errored} of {hits}, "
            f"earlier {old_errored} of {old_hits}",
        )

    def stratify(self, new, old, now):
        """Like with like, as pairs (new, old): latencies by stretch of time, less what cold and crowding
        explain: against bursts, shared slowness, a squeeze. Apart, what has no earlier hits of its time: of
        another stretch, or ended when the earlier build got no more. None of it, nor what comes later, counts
        against a build released beside the earlier one: the load of both goes to it, unlike is compared."""
        old = [s for s in old if s.warmth >= 1]
        if not old or not new:
            return [], []
        # both from one moment of ending on: of what was sent long ago, only the long ones ended since, and of
        # the busier build less time is kept
        since = max(old[0].at, new[0].at)
        kept = [s for s in old if s.at >= since], [s for s in new if s.at >= since]
        old, new = kept if min(map(len, kept)) >= MIN_SAMPLES else (old, new)
        usual = median(s.inflight for s in old) + 1
        moved = self.phase == "released" and self.settings.get("layout") == "beside"
        strata, orphans, last = {}, [], max(s.at - s.latency for s in old)
        last = min(last, self.stage_began) if moved else last
        for s in old:
            strata.setdefault(s.stratum, ([], []))[1].append(s.latency * usual / max(usual, s.inflight + 1))
        for s in new:
            side = strata[s.stratum][0] if s.stratum in strata and s.at <= last else orphans
            side.append(s.latency * s.warmth * usual / max(usual, s.inflight + 1))
        pairs = [(some, sorted(ref)) for some, ref in strata.values() if some]
        alone = [(orphans, sorted(x for _, ref in strata.values() for x in ref))] if orphans else []
        if moved:
            return pairs, []
        return ([], pairs + alone) if now - old[-1].at > self.stratum_length else (pairs, alone)

    def on_tally(self, now, build, group, count, errored, mean, age):
        known, self.evidence_changed = self.fleet.build(build), True
        known.platform_counts = known.platform_counts[0] + errored, known.platform_counts[1] + count

    def on_wrong(self, now, id, group, age):
        """A wrong answer passed for a quick success: it counts as an errored hit of its build."""
        instance, group = self.fleet.by_id.get(id), self.groups.get(group)
        if instance and group and instance.age(now - age) >= 0:  # as above: maybe it was another build
            self.record_sample(group, Sample(now, group.timeout, True, instance, -1, 0, 0), now)
