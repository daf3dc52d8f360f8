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

MARGIN, LEAST = 1.8, 8  # new median over old; outcomes a build and path group before they rank (open)
ALONE = 2.0, 4 * LEAST  # both, once the earlier build is gone (open)
YOUNG, HOLD_Z = 2 * SECOND, 2.0  # no sample of a younger one; under a clock: hold above this z
REFERENCE, LEAST_ERRORED = 15, 3  # times LEAST kept of a build that is gone; errors that say anything
LOOK_EVERY, JUDGES = SECOND // 5, 2  # looks at evidence; gateways that judge for all where they may tell
EVIDENCE_COLD_TIMES = 2.5  # longest warm-ups: how long evidence is kept

UNANSWERED = ("timeout", "unreachable", "reset", "cancelled")


class Judging:
    def add_evidence(self, forward, group, ending, took, now):
        """A full instance gives no sample; other failures count as time-outs. One that says nothing at all
        tells of its place, not of its build: guards a good build against silent or cut-off instances."""
        instance = forward.instance
        silent = ending in UNANSWERED and instance.heard_at < forward.sent
        if silent or ending in ("full", "moot") or instance.age(forward.sent) < YOUNG:
            return
        sample = Sample(
            now,
            took if ending == "ok" else group.timeout,
            ending == "error",
            instance,
            forward.sent // self.stretch,
            instance.warmth(forward.sent),
            forward.crowd,
        )
        self.enter_sample(group, sample, now)
        self.tell_judges(group, sample)

    def tell_judges(self, group, sample):
        """Each sample of the trial, and one of the earlier build for it, goes to gateways that rank what all
        have seen: guards against evidence too thin at any one. A lost message is but a lost sample. It goes
        on after the release: against a build that fails under a load that it had not met on trial."""
        build, of = self.newest, sample.instance.build
        told = self.settings.get("may_tell") and self.phase in ("trial", "released")
        if not told or not build or not build.earlier or of not in (build, build.earlier):
            return
        owed, group.owed = group.owed, 1 if of is build else 0
        if owed or of is build:
            heard = {}
            for judge in self.judges(build):
                self.tell(judge, group, sample, heard, sample.at)
            if self.living is not None:
                self.own.append((group, sample, heard))

    def judges(self, build):
        """By number; where it is known who is there, of those the ones that draw the highest lots: a dead
        judge gives place to one, and views that differ little choose nearly the same."""
        if self.living is None:
            return [(build.number + n) % self.gateways for n in range(min(JUDGES, self.gateways))]
        return nlargest(
            JUDGES, sorted(self.living), key=lambda number: rendezvous_weight(build.number, number)
        )

    def tell(self, judge, group, sample, heard, now):
        """Once to each start of a judge: what is told twice would count twice."""
        mark = judge, (self.living or {}).get(judge)
        if judge != self.settings.get("number") and mark not in heard:
            heard[mark] = True
            self.host.send_to_peer(
                judge, SampleMessage.pack(sample, list(self.groups).index(group.name), now - sample.at)
            )

    def on_members(self, now, living):
        """Who is there, and since which start. A new judge is told what we have seen of the trial lately,
        each a part of it: guards against evidence that is lost with the judge who had it."""
        self.living, build = living, self.newest
        if build and self.phase == "trial":
            part = 2 * REFERENCE * LEAST // max(1, len(living)) + 1
            for group, sample, heard in list(self.own)[-part:]:
                for judge in self.judges(build) if sample.instance.build in (build, build.earlier) else ():
                    self.tell(judge, group, sample, heard, now)

    def tagged(self):
        self.fleet.tags = self.fleet.tags or {SampleMessage.tag_of(i): i for i in self.fleet.up}
        return self.fleet.tags

    def on_peer(self, now, peer, data):
        mark, index, errored, latency, crowd, age = SampleMessage.unpack(data)
        instance, at = self.tagged().get(mark), now - age
        sent = at if errored else at - latency  # an error counts as a time-out and came much sooner
        # the tag is the same over a restart: what tells of its former life is no evidence of this one
        if instance and index < len(self.groups) and instance.age(sent) >= 0:
            self.enter_sample(
                list(self.groups.values())[index],
                Sample(at, latency, errored, instance, sent // self.stretch, instance.warmth(sent), crowd),
                now,
            )

    def enter_sample(self, group, sample, now):
        """Keeps it; one on trial, against the newest build or while that is suspect calls for a look."""
        build = sample.instance.build
        build.add_sample(group.name, sample)
        self.window(build, group, now)  # trimmed unjudged too: against weeks without a release
        against = (
            sample.errored
            or self.verdict != "fine"
            or self.phase == "trial"
            or (sample.latency > MARGIN * group.usual)
        )
        if build is self.newest and against and not self.fresh:
            self.fresh = True
            self.wake_by(max(now, self.looked + LOOK_EVERY), now)

    def window(self, build, group, now):
        samples, least = build.samples.get(group.name, deque()), REFERENCE * LEAST
        oldest = now - (EVIDENCE_COLD_TIMES * self.cold_time or 10 * SECOND)
        while len(samples) > 4 * least or len(samples) > least and samples[0].at < oldest:
            samples.popleft()
        return samples  # the last ones of a build stay as its reference

    def without_worst(self, samples, most=inf):
        """No single instance or place carries the verdict: the worst third is left out, of two the worse."""
        means = mean_by(samples, "instance", "latency")
        left_out = min(len(means) // 3 or len(means) // 2, most)
        worst = sorted(means, key=lambda instance: -means[instance])[:left_out]
        return [s for s in samples if s.instance not in worst]

    def assess(self, build, now):
        """Fail, suspect or fine; a fail in any path group, or in all together, as one may be too thin."""
        self.settled = self.phase == "released" and (
            now - self.stage_began >= EVIDENCE_COLD_TIMES * self.cold_time
        )
        cases, says, cells = [], [], Counter((i.zone, i.cell) for i in self.fleet.up if i.build is build)
        place = max(cells.values(), default=1)  # of errors no more: a third of many has all of the few
        for group in self.groups.values():
            every, old = self.window(build, group, now), self.window(build.earlier, group, now)
            new, most = self.without_worst(every), self.without_worst(every, place)
            record = build.earlier.errored.get(group.name, (0, 0))
            counts = (sum(s.errored for s in most), len(most), *record)
            cases.append((counts, most, [*old], *self.alike(new, old, now)))
        counts, *lists = zip(*cases, strict=True)
        cases.append(([sum(row) for row in zip(*counts, strict=True)], *(sum(rows, []) for rows in lists)))
        for name, (counts, new, old, pairs, alone) in zip([*self.groups, "all"], cases, strict=True):
            says += [
                self.errors_say(build, name, counts, self.level, new, old),
                self.latencies_say(build, name, pairs, MARGIN, self.least, self.level),
                self.latencies_say(build, name, alone, *ALONE, self.strict),
            ]
        if sum(errored for errored, _ in build.errored.values()) >= 2:  # it counts silent and full ones too
            counts = build.tallied + build.earlier.tallied
            says.append(self.errors_say(build, "platform", counts, self.strict))
        return "fail" if "fail" in says else "suspect" if "suspect" in says else "fine"

    def latencies_say(self, build, name, strata, margin, least, level):
        """The design's test: the margin on the medians, then z against the level."""
        times = [x / max(1, median(ref)) for some, ref in strata for x in some]
        if min(len(times), sum(len(ref) for _, ref in strata)) < least or median(times) <= margin:
            return "fine"
        return self.weigh(
            rank_test_z(strata),
            level,
            f"build {build.number} {name}: {median(times):.2f} times "
            f"the earlier median, {len(times)} hits in {len(strata)} strata",
        )

    def weigh(self, z, level, words):
        if z > level:
            self.host.log_note(f"{words}, z {z:.2f}")
        return "fail" if z > level else "suspect" if z > HOLD_Z else "fine"

    def errors_say(self, build, name, counts, level, new=(), old=()):
        """The exact rank test of errors, against the earlier build's whole record: none ranks as a quick
        success. If that one fails too, failing instances are counted first: against a failing place."""
        errored, hits, old_errored, old_hits = counts
        old_hits = old_hits or (hits if self.settled and new else 0)  # no record: a judge that restarted
        if hits < self.least or errored < LEAST_ERRORED or errored * old_hits <= 2 * old_errored * hits:
            return "fine"
        shares = [mean_by(samples, "instance", "errored").values() for samples in (new, old)]
        bad, old_bad = ((sum(x >= errored / hits / 2 for x in row), len(row)) for row in shares)
        alike = old_bad[0] and hypergeometric_tail(*bad, *old_bad) > 1 - NormalDist().cdf(HOLD_Z)
        if alike or self.settled and new and 2 * bad[0] <= bad[1]:
            return "fine"  # long after a release some instances are not the build
        z = NormalDist().inv_cdf(1 - max(1e-12, hypergeometric_tail(errored, hits, old_errored, old_hits)))
        return self.weigh(
            z,
            level,
            f"build {build.number} {name}: errored {errored} of {hits}, "
            f"earlier {old_errored} of {old_hits}",
        )

    def alike(self, new, old, now):
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
        old, new = kept if min(map(len, kept)) >= LEAST else (old, new)
        usual = median(s.crowd for s in old) + 1
        moved = self.phase == "released" and self.settings.get("layout") == "beside"
        strata, orphans, last = {}, [], max(s.at - s.latency for s in old)
        last = min(last, self.stage_began) if moved else last
        for s in old:
            strata.setdefault(s.stretch, ([], []))[1].append(s.latency * usual / max(usual, s.crowd + 1))
        for s in new:
            side = strata[s.stretch][0] if s.stretch in strata and s.at <= last else orphans
            side.append(s.latency * s.warmth * usual / max(usual, s.crowd + 1))
        pairs = [(some, sorted(ref)) for some, ref in strata.values() if some]
        alone = [(orphans, sorted(x for _, ref in strata.values() for x in ref))] if orphans else []
        if moved:
            return pairs, []
        return ([], pairs + alone) if now - old[-1].at > self.stretch else (pairs, alone)

    def on_tally(self, now, build, group, count, errored, mean, age):
        known, self.fresh = self.fleet.build(build), True
        known.tallied = known.tallied[0] + errored, known.tallied[1] + count

    def on_wrong(self, now, id, group, age):
        """A wrong answer passed for a quick success: it counts as an errored hit of its build."""
        instance, group = self.fleet.by_id.get(id), self.groups.get(group)
        if instance and group and instance.age(now - age) >= 0:  # as above: maybe it was another build
            self.enter_sample(group, Sample(now, group.timeout, True, instance, -1, 0, 0), now)
