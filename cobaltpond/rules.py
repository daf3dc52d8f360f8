"""All decisions of one gateway: which instance gets a hit, what proves a build bad, how the gateway votes.

A host makes one `Gateway(host, now, seed, runsheet)` a start and calls its `on_...` methods, one an event; it
answers by calling the host: both sides stand in `interface.py`. Times are whole microseconds. What is kept
stands in `records.py`. In order: figures, instances, exposure, judging, votes, hits.
"""
from bisect import bisect_left, bisect_right
from collections import deque
from itertools import chain
from math import comb, exp, factorial, sqrt
from statistics import NormalDist, fmean, median
from struct import calcsize, pack, unpack
from zlib import crc32

from cobaltpond.records import FOREVER, Build, Chance, Forward, Hit, Instance, PathGroup, Sample

SECOND = 1_000_000
# The design's figures. Those marked open are found by measuring; docs/design.md gives the figures.
LEVEL = 0.0001               # divided by the number of gateways (open: far below 0.01, for we look often)
MARGIN = 1.8                 # new median over old median (open)
ALONE_MARGIN, ALONE_LEAST = 2.0, 4     # the margin, and times the least sample, once the earlier one is gone
LOOKS = 3                    # so many times as often does a look err as we look at the same hits again (open)
LEAST = 8                    # outcomes a build in a path group before its latencies are ranked (open); by
#                              the root of the votes that it takes fewer, as no gateway decides alone then
YOUNG = 2 * SECOND           # an instance younger than this gives no sample
PATIENCE = 16 * SECOND // 5  # "on" no sooner than this after the stage's last listed start
HOLD_Z, HOLD_MOST = 2.0, 3 * SECOND    # under a clock: hold above this z, so long a stage
REFERENCE = 15               # times the least outcomes are kept of a build that gets no more hits
LOOK_EVERY = SECOND // 5     # evidence is looked at so often at most
IN_SIGHT = 18                # instances compared for a hit: work must not grow with the fleet
JUDGES, TOLD = 2, ">IBHB"    # gateways that judge what all have seen; a sample on the wire between them
LEAST_ERRORED = 3            # errored hits of the new build before they say anything
# Ratios to figures of the runsheet.
EVIDENCE_COLD_TIMES = 2.5    # evidence is kept this many times the longest warm-up
ALIKE_COLD_TIMES = 0.5       # samples compare only with those sent within the same stretch of time, so long
TICK_SHARE = 0.05            # held hits look for room every so much of the shortest target latency
HELD_SHARE = 0.15            # a hit is held for room at most this share of its target latency
QUIET_SHARE = 0.5            # silent is who owes an answer so long, of the target latency, and says nothing
USEFUL_SHARE = 0.9           # past this share of the target latency another forward is no use
COLD_CAUTION = 0.6           # of what a cold instance could be sent, our guess of its capacity being rough
LIMIT_FIRST, LIMIT_CUT = 4, 0.7        # in flight an instance: grows by one, is cut by a share
BRISK_SHARE = 0.3            # of the target latency: an instance that takes longer has its limit cut
TRIAL_LEAN, CONDEMNED_LEAN = 3, 100    # hits: a build on trial counts as emptier, a condemned one fuller
TRUST_LEAN, TRUST_LEAST = 2, 5         # and more, with so many times the least sample and nothing against it
ADMIT_STEP, ADMIT_CUT = 0.1, 0.8       # the share of hits admitted grows by a step and is cut by a share
THIN = 10                    # more gateways than this: own counts show little of what is out
SPARE_SHARE, SPARE_MOST = 0.1, 30      # repeats of called-off hits: for each delivered one; saved up by all
COLD_LEAN = 1                # hits: a cold instance whose budget allows one counts as emptier
BENCH_COLD_TIMES = 0.25      # first time out of the rotation; doubles up to eight times as long

TAKEN, HELD, OUT = "taken", "held", "out"
DELIVERED, BOUNCED, ERRORED, GONE = "delivered", "bounced", "errored", "gone"
MOVES = {TAKEN: {HELD, OUT, BOUNCED, ERRORED, GONE}, HELD: {HELD, OUT, BOUNCED, ERRORED, GONE},
         OUT: {HELD, DELIVERED, BOUNCED, ERRORED, GONE}, DELIVERED: (), BOUNCED: (), ERRORED: (), GONE: ()}
NEVER_RAN = ("full", "unreachable", "moot")
UNANSWERED = ("timeout", "unreachable", "reset", "cancelled")


def tag(instance):
    """An instance and its build in four bytes."""
    return crc32(f"{instance.id} {instance.build.number}".encode())


def rank_z(strata):
    """The design's z over pairs (new, old) of latencies, summed as in a stratified rank test (van Elteren):
    on one pair it is the design's z to the letter. Midranks for ties; each old list is sorted."""
    above = spread = 0.0
    for new, old in strata:
        n, m = len(new), len(old)
        u = sum(bisect_left(old, x) + bisect_right(old, x) for x in new) / 2
        above += (u - n * m / 2) / (n + m + 1)
        spread += n * m / (n + m + 1) / 12
    return above / sqrt(spread)


def errored_chance(new_errored, n, old_errored, m):
    """The same rank test for outcomes that are only errored or not, where ties void the normal point: the
    exact chance that so many of all errored hits, or more, fall to the new build."""
    every = new_errored + old_errored
    ways = sum(comb(n, k) * comb(m, every - k) for k in range(new_errored, min(n, every) + 1))
    return ways / comb(n + m, every)


def base_level(votes):
    """The level before it is divided by the gateways. Where one vote sends a build back it is LEVEL; where it
    takes many, so many may err by themselves that the chance that enough err together is still LEVEL."""
    level = LEVEL
    while 1 - exp(-level * 1.1) * sum((level * 1.1) ** n / factorial(n) for n in range(votes)) < LEVEL:
        level *= 1.1
    return max(LEVEL, level / LOOKS)


class Gateway:
    def __init__(self, host, now, seed, runsheet):
        self.host, self.sheet, self.chance = host, runsheet, Chance(seed)
        self.groups = {row["name"]: PathGroup(row) for row in runsheet["path_groups"]}
        self.instances, self.order, self.ids, self.tags, self.cold = {}, [], [], {}, []
        self.builds, self.hits, self.held = {}, {}, {}
        self.taken = {}                                # exposure ledger name -> times of hits taken
        self.newest, self.stage, self.phase, self.cap, self.stage_began = None, 0, "released", 1.0, now
        self.cast, self.cast_at, self.cast_answer, self.held_time, self.looked = None, 0, "ok", 0, now
        self.turn, self.kept_keys = "", {}             # last id chosen; key -> build that keeps it
        self.thin = runsheet.get("gateways", 1) > THIN
        self.spare = self.chance.below(SECOND) / SECOND            # repeats that may be sent
        self.admitted = 1.0                            # share of the hits that are not bounced at once
        self.lag, self.later = 0.0, {}                 # mean latency of the target; a zone's above that
        self.due, self.fresh, self.said = FOREVER, False, "fine"    # next wake-up; evidence not yet looked at
        self.list_heard, self.list_asked, self.list_wait = now, now - FOREVER, 1    # ask at once
        self.cold_time = runsheet.get("cold_time", 0)
        self.shortest = min(g.target for g in self.groups.values())
        self.tick = max(int(TICK_SHARE * self.shortest), runsheet.get("tick", 1))
        votes, gateways = max(1, runsheet.get("back_votes") or 1), max(1, runsheet.get("gateways", 1))
        self.level = NormalDist().inv_cdf(1 - base_level(votes) / gateways)
        self.strict = NormalDist().inv_cdf(1 - LEVEL / gateways)       # where all gateways would err alike
        self.least = max(LEAST_ERRORED, round(LEAST / sqrt(votes)))
        self.wake_by(now + 1 + self.chance.below(LOOK_EVERY), now)    # not all gateways at once
        self.follow_list(now)

    def wake_by(self, at, now):
        """One timer, for whatever is due first: a gateway with nothing to do sleeps."""
        if at < self.due:
            self.due = max(at, now + 1)
            self.host.wake(0, self.due - now)

    # --- the list of instances -----------------------------------------------------------------------------

    def follow_list(self, now):
        """Ask anew when the watch has been quiet, or after a failed call, well before we count as told."""
        heard = self.list_asked if self.list_wait else self.list_heard
        wait = self.list_wait or self.sheet.get("ask_within", 10 * SECOND) // 3
        if self.sheet.get("list_by") == "asking" and now - max(self.list_asked, heard) >= wait:
            self.list_asked = heard = now
            self.host.watch_list()
        if self.sheet.get("list_by") == "asking":
            self.wake_by(max(self.list_asked, heard) + wait, now)

    def on_list_error(self, now):
        most = self.sheet.get("ask_within", 10 * SECOND) // 3
        self.list_wait = min(max(SECOND // 2, self.list_wait * 2), most) + self.chance.below(SECOND // 4)

    def on_list(self, now, whole, rows):
        self.list_heard, self.list_wait = now, 0
        if whole:
            listed = {row["id"] for row in rows}
            self.instances = {id: i for id, i in self.instances.items() if id in listed}
        for row in rows:
            known = self.instances.get(row["id"])
            if row["state"] == "gone":
                self.instances.pop(row["id"], None)
            elif known is None or known.started != row["started"] or known.build.number != row["build"]:
                # a new instance, a restart, or an id used again: nothing known of the last one holds
                made = self.instances[row["id"]] = Instance(row, self.build(row["build"]), LIMIT_FIRST)
                made.tokens = self.chance.below(SECOND) / SECOND
            else:
                known.state = row["state"]
        self.order = sorted((i for i in self.instances.values() if i.state == "up"), key=lambda i: i.id)
        self.cold = [i for i in self.order if i.age(now) < self.cold_time]
        self.ids, self.tags = [i.id for i in self.order], {}
        if not self.turn and self.ids:
            self.turn = self.ids[self.chance.below(len(self.ids))]
        self.place_held(now)

    def build(self, number):
        if number not in self.builds:
            earlier = [b for b in self.builds.values() if b.number < number and not b.condemned]
            made = self.builds[number] = Build(number, max(earlier, key=lambda b: b.number, default=None))
            made.places = sum(i.build.number < number for i in self.order)
        return self.builds[number]

    def warmth(self, instance, now):
        """The least share of its capacity that an instance has by now; 1 is warm."""
        least, age = self.sheet.get("cold_share", 1.0), instance.age(now)
        return 1.0 if age >= self.cold_time else least + (1 - least) * max(0, age) / self.cold_time

    def fill_cold_budget(self, now):
        """Each hit delivered allows a cold instance a part of one, from a point drawn by chance on; all parts
        sum to what it can bear. One not used by the next is lost: guards against hundreds of gateways that
        save them up to spend them together and, as it counts delivered hits, against bursts and retries."""
        part = self.sheet.get("overload_factor", 1) * COLD_CAUTION / max(1, len(self.order))
        self.cold = [i for i in self.cold if i.age(now) < self.cold_time]
        for instance in self.cold:
            saved = instance.tokens % 1 if self.thin else min(1.0, instance.tokens)
            instance.tokens = saved + part * self.warmth(instance, now)

    def learn(self, instance, forward, group, ending, took, report, now):
        """Limits in flight, pace, and who leaves the rotation."""
        if ending in ("ok", "error", "full"):
            instance.heard_at = now
        if "inflight" in report:
            instance.others = max(0.0, report["inflight"] - instance.out - 1)
        if ending == "ok":
            most = 1 + SPARE_MOST / self.sheet.get("gateways", 1)
            self.spare = min(most, self.spare + SPARE_SHARE)
            self.fill_cold_budget(now)
            group.usual += (took - group.usual) * (0.05 if group.usual else 1)
            instance.pace += (took / max(1, group.usual) - instance.pace) * 0.2
        if ending in ("cancelled", "moot"):
            return
        lag = took / group.target if ending == "ok" else max(1.0, took / group.target)
        instance.lag += (min(2.0, lag) - instance.lag) * 0.2
        self.lag += (min(2.0, lag) - self.lag) * 0.05
        grown = min(1.0, self.admitted + ADMIT_STEP)
        if ending != "error":                          # a failing instance is no jam
            self.admitted = grown if lag < USEFUL_SHARE else max(ADMIT_STEP, self.admitted * ADMIT_CUT)
        self.later = {zone: x * 0.99 for zone, x in self.later.items()}
        later = self.later.get(instance.zone, 0.0)
        self.later[instance.zone] = later + (min(2.0, lag) - self.lag - later) * 0.05
        if instance.lag > BRISK_SHARE and now - instance.cut_at > BRISK_SHARE * self.shortest:
            instance.limit, instance.cut_at = max(1, int(instance.limit * LIMIT_CUT)), now
        elif instance.lag <= BRISK_SHARE and instance.out + 1 >= instance.limit:
            instance.limit += 1
        fault = ending not in ("ok", "timeout")        # a full one may be draining unknown to our list
        instance.faults += (fault - instance.faults) * 0.3
        if ending == "ok" and instance.faults < 0.3:
            instance.bench_time = 0
        if ending == "unreachable" or instance.faults > 0.5:
            self.bench(instance, now)

    def bench(self, instance, now):
        """Out of the rotation for a while, then back with one hit at a time: guards against silent, cut-off
        and fast-failing instances. Harm: a whole build that errors is benched too and gives less evidence."""
        if now >= instance.benched_until:
            first = int(BENCH_COLD_TIMES * self.cold_time) or SECOND
            instance.bench_time = min(8 * first, instance.bench_time * 2 or first)
            instance.benched_until, instance.limit, instance.faults = now + instance.bench_time, 1, 0.4

    # --- exposure ------------------------------------------------------------------------------------------

    def cap_of(self, build):
        """The cap that binds this build now; None where it is not on trial."""
        if self.newest is None or build.number > self.newest.number:
            return (self.sheet.get("stage_caps") or [0.0])[0]
        return self.cap if build is self.newest and self.phase != "released" else None

    def ledger(self, group):
        return group.name if self.sheet.get("exposure_by") == "path group" else "all"

    def exposure_allows(self, build, group, now):
        """The sliding count: forwards to a build on trial against the told share of the hits taken."""
        cap = self.cap_of(build)
        if cap is None:
            return True
        shielded = (self.stage if build is self.newest else 0) < self.sheet.get("shielded_stages", 0)
        if cap <= 0 or shielded and group.kind != "repeatable":
            return False
        since = now - self.sheet["exposure_window"]
        if build.counted_from is not None and now >= build.counted_from:
            since = max(since, build.counted_from)
        sent = sum(at >= since for at in build.sent.get(self.ledger(group), ()))
        taken = sum(at > since for at in self.taken.get(self.ledger(group), ()))
        return sent + 1 <= self.sheet.get("exposure_free", 0) + cap * taken

    def enter(self, ledgers, group, now):
        times = ledgers.setdefault(self.ledger(group), deque())
        times.append(now)
        while times[0] < now - 2 * self.sheet["exposure_window"]:
            times.popleft()

    # --- judging -------------------------------------------------------------------------------------------

    def add_evidence(self, forward, group, ending, took, now):
        """A full instance gives no sample; other failures count as time-outs. One that says nothing at all
        tells of its place, not of its build: guards a good build against silent or cut-off instances."""
        instance = forward.instance
        if ending in ("full", "moot") or instance.age(forward.sent) < YOUNG:
            return
        if ending in UNANSWERED and instance.heard_at < forward.sent:
            return
        stretch = int(ALIKE_COLD_TIMES * self.cold_time) or SECOND
        latency = took if ending == "ok" else group.timeout
        sample = Sample(now, latency, ending == "error", instance, forward.sent // stretch,
                        self.warmth(instance, forward.sent), forward.crowd)
        self.enter_sample(group, sample)
        self.tell_judges(group, sample)

    def tell_judges(self, group, sample):
        """Where gateways may tell each other, every sample of the trial, and one of the earlier build for it,
        goes to a few of them that rank what all have seen: guards against evidence too thin at any one. A
        lost message is a lost sample; every gateway goes on judging what it has seen itself."""
        build, of, count = self.newest, sample.instance.build, self.sheet.get("gateways", 1)
        if not self.sheet.get("may_tell") or build is None or of not in (build, build.earlier):
            return
        recent = sample.at - self.stage_began < EVIDENCE_COLD_TIMES * self.cold_time
        if not (self.phase == "trial" or self.phase == "released" and recent):
            return
        group.owed = min(JUDGES, group.owed + 1) if of is build else group.owed - 1
        if group.owed < 0:
            group.owed = 0
            return
        data = pack(TOLD, tag(sample.instance), list(self.groups).index(group.name) << 1 | sample.errored,
                    min(65535, sample.latency // 1000), min(255, int(sample.crowd)))
        for judge in {(build.number + n) % count: 0 for n in range(JUDGES)}:
            if judge != self.sheet.get("number"):
                self.host.tell(judge, data)

    def enter_sample(self, group, sample):
        build = sample.instance.build
        build.samples.setdefault(group.name, deque()).append(sample)
        errored, hits = build.errored.get(group.name, (0, 0))
        build.errored[group.name] = errored + sample.errored, hits + 1
        against = sample.errored or sample.latency > MARGIN * group.usual or self.said != "fine"
        if build is self.newest and against and not self.fresh:
            self.fresh = True
            self.wake_by(max(sample.at, self.looked + LOOK_EVERY), sample.at)

    def window(self, build, group, now):
        """Recent samples; where no new ones come, the last that a build gave stay as its reference."""
        samples, least = build.samples.get(group.name, deque()), REFERENCE * LEAST
        oldest = now - (EVIDENCE_COLD_TIMES * self.cold_time or 10 * SECOND)
        while len(samples) > 4 * least or len(samples) > least and samples[0].at < oldest:
            samples.popleft()
        return samples

    def means(self, samples, value):
        """The mean of some value of the samples, instance by instance."""
        rows = {}
        for sample in samples:
            rows.setdefault(sample.instance, []).append(getattr(sample, value))
        return {instance: fmean(row) for instance, row in rows.items()}

    def without_worst(self, samples):
        """No single instance or place carries the verdict: of three or more the worst third is left out."""
        means = self.means(samples, "latency")
        worst = sorted(means, key=lambda instance: -means[instance])[:len(means) // 3]
        return [s for s in samples if s.instance not in worst]

    def look(self, build, now):
        """What the evidence says of a build: fail, suspect or fine. A fail in any path group is a fail."""
        cases, says = [], []
        for group in self.groups.values():
            new = self.without_worst(self.window(build, group, now))
            old = self.window(build.earlier, group, now)
            record = build.earlier.errored.get(group.name, (0, 0))
            counts = (sum(s.errored for s in new), len(new), *record)
            cases.append((counts, new, [*old], *self.alike(new, old, now)))
        # the path groups together as well: a thin gateway sees too little of any one
        counts, *lists = zip(*cases, strict=True)
        cases.append(([sum(row) for row in zip(*counts, strict=True)], *(sum(rows, []) for rows in lists)))
        for name, (counts, new, old, pairs, alone) in zip([*self.groups, "all"], cases, strict=True):
            says += [self.errors_say(build, name, counts, new, old),
                     self.latencies_say(build, name, pairs, MARGIN, self.least, self.level),
                     self.latencies_say(build, name, alone, ALONE_MARGIN, ALONE_LEAST * LEAST, self.strict)]
        if sum(errored for errored, _ in build.errored.values()) >= 2:    # it counts silent and full ones too
            says.append(self.errors_say(build, "platform", build.tallied + build.earlier.tallied))
        return "fail" if "fail" in says else "suspect" if "suspect" in says else "fine"

    def latencies_say(self, build, name, strata, margin, least, level):
        """The design's test: the margin on the medians, then z against the level."""
        times = [x / max(1, median(ref)) for some, ref in strata for x in some]
        if min(len(times), sum(len(ref) for _, ref in strata)) < least or median(times) <= margin:
            return "fine"
        return self.weigh(rank_z(strata), level, f"build {build.number} {name}: {median(times):.2f} times "
                          f"the earlier median, {len(times)} hits in {len(strata)} strata")

    def weigh(self, z, level, words):
        if z > level:
            self.host.note(f"{words}, z {z:.2f}")
        return "fail" if z > level else "suspect" if z > HOLD_Z else "fine"

    def errors_say(self, build, name, counts, new=(), old=()):
        """Errors against the earlier build's whole record: quick errors must not rank as quick successes, and
        a few never move a median. Where instances of the earlier build fail as well, failing instances are
        counted first: guards against a failing place, where errors come in heaps."""
        errored, hits, old_errored, old_hits = counts
        if errored < LEAST_ERRORED or errored * old_hits <= 2 * old_errored * hits:
            return "fine"
        shares = [self.means(samples, "errored").values() for samples in (new, old)]
        bad, old_bad = ((sum(x >= errored / hits / 2 for x in row), len(row)) for row in shares)
        if old_bad[0] and errored_chance(*bad, *old_bad) > 1 - NormalDist().cdf(HOLD_Z):
            return "fine"
        z = NormalDist().inv_cdf(1 - max(1e-12, errored_chance(errored, hits, old_errored, old_hits)))
        level = self.strict if name == "platform" else self.level
        return self.weigh(z, level, f"build {build.number} {name}: errored {errored} of {hits}, "
                                    f"earlier {old_errored} of {old_hits}")

    def alike(self, new, old, now):
        """Like with like, as pairs (new, old): latencies by stretch of time, less what cold and crowding
        explain. Guards against bursts, shared slowness, the squeeze while instances are replaced. Apart
        stands what has no earlier hits of its time: the last ones serve."""
        old = [s for s in old if s.warmth >= 1]
        if not old:
            return [], []
        usual = median(s.crowd for s in old) + 1
        strata, orphans = {}, []
        for s in old:
            strata.setdefault(s.stretch, ([], []))[1].append(s.latency * usual / max(usual, s.crowd + 1))
        for s in new:
            side = strata[s.stretch][0] if s.stretch in strata else orphans
            side.append(s.latency * s.warmth * usual / max(usual, s.crowd + 1))
        pairs = [(some, sorted(ref)) for some, ref in strata.values() if some]
        alone = [(orphans, sorted(x for _, ref in strata.values() for x in ref))] if orphans else []
        gone = now - old[-1].at > ALIKE_COLD_TIMES * self.cold_time
        return ([], pairs + alone) if gone else (pairs, alone)

    # --- votes ---------------------------------------------------------------------------------------------

    def on_news(self, now, build, stage, phase, cap, age, reply, answer):
        if reply:
            self.cast_answer = answer
        if answer != "ok":
            return
        told = self.build(build)
        before = self.cap_of(told)
        if (told, stage) != (self.newest, self.stage):
            self.held_time, self.fresh = 0, True
        self.wake_by(now + self.chance.below(LOOK_EVERY), now)
        self.newest, self.stage, self.phase, self.cap, self.stage_began = told, stage, phase, cap, now - age
        if phase != "released" and (before is None or cap < before):
            told.counted_from = now + self.sheet.get("drain_grace", 0)
        self.place_held(now)

    def ready(self, now):
        """The design's patience after the stage's last listed start, or the latest it can have been."""
        build = self.newest
        starts = [i.started or 0 for i in self.order if i.build is build]
        due = int(build.places * (self.sheet.get("stage_shares") or [1.0])[self.stage] + 0.5)
        if len(starts) < max(1, due):
            return now - self.stage_began >= 8 * SECOND + PATIENCE
        return now - max(max(starts), self.stage_began) >= PATIENCE

    def vote(self, now):
        """Back on any fail; else on after patience; a suspect build waits, or is held under a clock."""
        build, passed, self.looked = self.newest, now - self.looked, now
        if build is None or self.phase not in ("trial", "released") or build.earlier is None:
            return
        if self.fresh:
            self.said, self.fresh = self.look(build, now), False
        says = "fail" if build.condemned else self.said
        build.condemned = says == "fail"
        seen = sum(len(samples) for samples in build.samples.values())
        beside = self.sheet.get("layout") == "beside"  # in place there is no room to gain
        build.trusted = beside and says == "fine" and seen >= TRUST_LEAST * LEAST
        clock, want = self.sheet.get("gate") == "clock", "none"
        if build.condemned:
            want = "back"
        elif self.phase == "trial" and (clock or self.ready(now)):
            if says == "suspect" and self.held_time < HOLD_MOST:
                self.held_time += passed
                want = "hold" if clock else "none"
            elif not clock:
                want = "on"
        self.say(build, want, now)

    def say(self, build, want, now):
        """Cast once; again well before it runs out, or when a lost answer cannot come any more."""
        ballot = (build, self.stage if want in ("on", "hold") else 0, want)
        if want == "none" and (not self.cast or self.cast[0] is not build or self.cast[2] != "hold"):
            return
        waits = {"ok": self.sheet.get("vote_life", SECOND) // 2, None: self.sheet.get("vote_wait", SECOND)}
        early = now - self.cast_at < waits.get(self.cast_answer, SECOND // 2)
        if early and (ballot == self.cast or self.cast_answer is None):
            return
        self.cast, self.cast_at, self.cast_answer = ballot, now, None
        self.host.vote(build.number, self.stage, want)

    # --- hits ----------------------------------------------------------------------------------------------

    def move(self, hit, state):
        """The one place where a hit changes state."""
        if state not in MOVES[hit.state]:
            raise RuntimeError(f"a hit cannot go from {hit.state} to {state}")
        hit.state = state
        self.held.pop(hit.id, None)
        if state == HELD:
            self.held[hit.id] = hit
        if not MOVES[state] and not hit.open:
            del self.hits[hit.id]

    def on_hit(self, now, id, group, customer, key, left, cost, again):
        hit = self.hits[id] = Hit(id, self.groups[group], key, again, now, left, TAKEN)
        self.enter(self.taken, hit.group, now)
        self.place(hit, now)

    def fits(self, hit, instance, now):
        """May this hit go to this instance now, by every rule and by its place in the rotation?"""
        if now < instance.benched_until or instance.out >= instance.limit:
            return False
        if instance.age(now) < self.cold_time and instance.tokens < 1:
            return False
        group, first = hit.group, hit.risky and hit.risky.instance
        if first and group.kind == "tagged" and group.scope != "all":
            if instance.zone != first.zone or group.scope == "cell" and instance.cell != first.cell:
                return False
        kept = self.kept_keys.get(hit.key)
        lives = kept and kept is self.newest and self.phase in ("trial", "released")
        return not lives or instance.build.number >= kept.number

    def crowding(self, instance, now):
        """How long a hit would wait there, in hits; another zone counts as fuller by what crossing costs,
        less how much later the own one answers: guards against a zone loaded more than the others, which a
        gateway with a hit now and then cannot see by its own counts."""
        lean, own = 0, self.sheet.get("zone")
        if instance.zone != own:
            later = self.thin and self.later.get(own, 0) - self.later.get(instance.zone, 0)
            lean = max(0, self.sheet.get("crossing_price", 0) * 25 - later * 2 / BRISK_SHARE)
        pace = min(10.0, instance.pace) if instance.pace > 1.5 else 1.0
        if instance.build.condemned:
            lean += CONDEMNED_LEAN
        elif self.cap_of(instance.build) is not None:
            pace = 1.0                                 # a slow build must not hide by getting no hits
            lean -= TRIAL_LEAN / max(TRIAL_LEAN, self.sheet.get("gateways", 1))
            lean -= TRUST_LEAN * instance.build.trusted
        if not self.thin:
            pace /= self.warmth(instance, now)
        elif instance.age(now) < self.cold_time:
            lean -= COLD_LEAN                          # its budget bounds it; what that allows is used first
        return (instance.out + instance.others + 1) * pace + lean

    def pick(self, hit, now):
        """The rotation: of the instances that fit and are about as free as the freest, the next in turn."""
        tried = [f.instance for f in hit.forwards] + hit.asked
        open_to, fit, after = {}, [], bisect_right(self.ids, self.turn)
        for i in chain(self.order[after:], self.order[:after]):
            if i.build not in open_to:
                open_to[i.build] = self.exposure_allows(i.build, hit.group, now)
            if open_to[i.build] and self.fits(hit, i, now):
                fit.append(i)
                if len(fit) == IN_SIGHT:
                    break
        fit = [i for i in fit if i not in tried] or fit
        crowd = [self.crowding(i, now) for i in fit]
        chosen = next((i for i, c in zip(fit, crowd, strict=True) if c <= min(crowd) + 0.5), None)
        self.turn = chosen.id if chosen else self.turn
        return chosen

    def may_forward(self, hit, now):
        # two ticks early: a hit held past that could not be answered before its client has left
        if len(hit.forwards) >= self.sheet.get("most_forwards", 1) or now + 2 * self.tick >= hit.deadline:
            return False
        if now - hit.arrived > USEFUL_SHARE * hit.group.target:
            return False
        remembered = hit.risky and now - hit.risky.sent < hit.group.repeat_window - self.tick
        return not hit.risky or hit.group.kind == "repeatable" or hit.group.kind == "tagged" and remembered

    def admits(self, hit):
        """The limit in flight of a gateway with a hit now and then: a share of them is bounced at once, the
        clients' repeats and the least benefit first. It grows by a step for an answer in time and is cut by
        a share for a late or full one. Guards against a jam that hundreds of gateways keep up together."""
        least = min(g.benefit / max(1, g.usual) for g in self.groups.values())
        low = hit.again or hit.group.benefit / max(1, hit.group.usual) <= least
        return not self.thin or self.chance.below(1000) < 1000 * self.admitted ** (1.5 if low else 0.75)

    def place(self, hit, now):
        """Forward the hit, hold it for room, or give it up at once."""
        late = not hit.forwards and now - hit.arrived > HELD_SHARE * hit.group.target
        if late or not self.may_forward(hit, now) or hit.state == TAKEN and not self.admits(hit):
            return self.give_up(hit, now)
        if self.asks(hit, now):
            return
        instance = self.answered(hit, now) or self.pick(hit, now)
        self.move(hit, HELD)
        if instance is None:
            return self.wake_by(now + self.tick, now)
        hit.forwards.append(Forward(instance, now))
        hit.open += 1
        instance.out += 1
        instance.tokens -= 1
        self.enter(instance.build.sent, hit.group, now)
        self.move(hit, OUT)
        self.wake_by(now + int(QUIET_SHARE * hit.group.target) + 1, now)
        self.host.forward(hit.id, instance.id, hit.deadline - now)

    def asks(self, hit, now):
        """A thin gateway knows nothing of the load: it probes the next two in turn; the one that answers, or
        answers with less load, gets the hit, and with no answer in time the rotation goes on. Guards against
        crowded, slow and silent instances. Harm: a probe's price, and reports that lie, as far as they go."""
        if hit.forwards or not (self.thin and self.sheet.get("may_probe")):
            return False
        if hit.state == TAKEN:
            while len(hit.asked) < 2 and (instance := self.pick(hit, now)):
                hit.asked.append(instance)
                self.host.probe(instance.id)
            if hit.asked:
                self.move(hit, HELD)
        patience = self.tick * (1 if hit.free else 2)
        waits = len(hit.free) < len(hit.asked) and now - hit.arrived < patience
        if waits:
            self.wake_by(hit.arrived + patience, now)
        return waits

    def answered(self, hit, now):
        """Of the probed instances that answered and still fit, the freest."""
        free = [i for i in hit.free
                if self.fits(hit, i, now) and self.exposure_allows(i.build, hit.group, now)]
        hit.asked, hit.free = [], []
        return min(free, key=lambda i: self.crowding(i, now), default=None)

    def urgency(self, hit):
        """First tries before repeats, most benefit for the work first, then the newest: in an overload the
        oldest are the ones that will be late anyway."""
        work = 1 if self.sheet.get("benefit_by") == "work" else max(1, hit.group.usual)
        return hit.again, -hit.group.benefit / work, -hit.arrived

    def place_held(self, now, all_of_them=False):
        """Most urgent first. Where one finds no room, the rest of its path group tries at the next tick."""
        stuck = set()
        for hit in sorted(self.held.values(), key=self.urgency):
            if hit.group not in stuck or all_of_them:
                self.place(hit, now)
                if hit.state == HELD:
                    stuck.add(hit.group)

    def give_up(self, hit, now):
        """The final answer, at once: a bounce where a repeat is harmless, else errored."""
        harmless = hit.risky is None or hit.group.kind == "repeatable" or (
            hit.group.kind == "tagged" and hit.group.scope == "all")
        self.move(hit, BOUNCED if harmless else ERRORED)
        if harmless:
            advice = self.sheet.get("may_advise") and self.sheet.get("most_advice") or 0
            self.host.bounce(hit.id, min(advice, hit.group.target))
        else:
            self.host.error(hit.id)

    def on_outcome(self, now, id, number, ending, took, closed, report):
        hit = self.hits.get(id)
        if hit is None or number >= len(hit.forwards) or hit.forwards[number].settled:
            return
        forward = hit.forwards[number]
        forward.settled, instance, group = True, forward.instance, hit.group
        hit.open -= 1
        instance.out -= 1
        self.add_evidence(forward, group, ending, took, now)
        self.learn(instance, forward, group, ending, took, report, now)
        if ending == "ok" and self.sheet.get("keys_stay") and hit.key is not None:
            self.kept_keys[hit.key] = instance.build
        if ending not in NEVER_RAN and hit.risky is None:
            hit.risky = forward
        if not MOVES[hit.state]:
            if not hit.open:
                del self.hits[id]
        elif closed:
            self.move(hit, DELIVERED if ending == "ok" else ERRORED)
        elif ending == "moot":
            self.give_up(hit, now)
        else:
            self.place(hit, now)
        self.place_held(now)

    def on_gone(self, now, id):
        hit = self.hits.get(id)
        if hit and MOVES[hit.state]:
            self.move(hit, GONE)

    def watch_silent(self, now):
        """Calls off what a silent instance owes, if it may be repeated: against vanished, cut-off ones. To a
        gateway with one hit there busy looks like silent, and the work goes on, so such repeats are rationed:
        against a fleet that drowns in its own repeats. Harm: many silent at once are waited for."""
        for hit in list(self.hits.values()):
            last = hit.forwards[-1] if hit.state == OUT else None
            overdue = last and now - last.sent > QUIET_SHARE * hit.group.target
            if last and not overdue:
                self.wake_by(last.sent + int(QUIET_SHARE * hit.group.target) + 1, now)
            if overdue and last.instance.heard_at < last.sent:
                self.bench(last.instance, now)
                self.wake_by(max(now + self.tick, last.instance.benched_until), now)
                if (self.spare >= 1 or not self.thin) and not last.dropped and self.sheet.get("may_cancel") \
                        and hit.group.kind != "mutating":
                    last.dropped = True
                    self.spare -= 1
                    self.host.cancel(hit.id, len(hit.forwards) - 1)

    def on_wake(self, now, token):
        if now < self.due:
            return                                     # a timer that an earlier one has replaced
        self.due = FOREVER
        self.watch_silent(now)
        self.place_held(now, all_of_them=True)
        self.follow_list(now)
        if now - self.looked >= LOOK_EVERY:
            self.vote(now)
        voting = self.phase in ("trial", "released") and self.newest and self.newest.condemned
        if voting or self.phase == "trial" or self.cast_answer is None or self.fresh:
            self.wake_by(self.looked + LOOK_EVERY, now)

    def on_probed(self, now, id, ending, took, report):
        instance = self.instances.get(id)
        if instance is None or ending != "ok":
            return
        instance.heard_at = now
        if "inflight" in report:
            instance.others = max(0.0, report["inflight"] - instance.out)
        for hit in [h for h in self.held.values() if instance in h.asked and instance not in h.free]:
            hit.free.append(instance)
            self.place(hit, now)

    def on_tally(self, now, build, group, count, errored, mean, age):
        """The platform's count, in a sample of all gateways' forwards."""
        known = self.build(build)
        self.fresh = True
        known.tallied = known.tallied[0] + errored, known.tallied[1] + count

    def on_wrong(self, now, id, group, age):
        """A wrong answer passed for a quick success: it counts as an errored hit of its build."""
        if id in self.instances and group in self.groups:
            timeout = self.groups[group].timeout
            self.enter_sample(self.groups[group], Sample(now, timeout, True, self.instances[id], -1, 0, 0))

    def on_peer(self, now, peer, data):
        """A sample that another gateway has seen; nothing in it but evidence, and what is no such thing is
        passed over."""
        if len(data) != calcsize(TOLD):
            return
        mark, bits, latency, crowd = unpack(TOLD, data)
        self.tags = self.tags or {tag(i): i for i in self.order}
        instance, latency = self.tags.get(mark), latency * 1000
        if instance is None or bits >> 1 >= len(self.groups):
            return
        sent, stretch = now - latency, int(ALIKE_COLD_TIMES * self.cold_time) or SECOND
        self.enter_sample(list(self.groups.values())[bits >> 1], Sample(
            now, latency, bool(bits & 1), instance, sent // stretch, self.warmth(instance, sent), crowd))

