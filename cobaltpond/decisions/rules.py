"""All decisions of one gateway: which instance gets a hit, what proves a build bad, how the gateway votes.

A host makes one `Gateway(host, now, seed, runsheet)` a start and calls its `on_...` methods, one an event; it
answers by calling the host (`interface.py`). What is kept stands in `records.py`. Times are microseconds.
"""
from collections import Counter, deque
from heapq import nlargest
from itertools import islice
from math import ceil, inf, sqrt
from statistics import NormalDist, fmean, median

from cobaltpond.decisions.figures import bearable, draw_chance, lot, mean_by, rank_z
from cobaltpond.decisions.records import Chance, Fleet, Hit, Instance, Ledgers, PathGroup, Sample, State
from cobaltpond.decisions.told import Told

SECOND = 1_000_000
# The design's figures. Those marked open are found by measuring; docs/design.md says how.
LEVEL, ALIKE = 0.0001, 1 / 3     # by the number of gateways; votes that may err alike from one cause (open)
MARGIN, LEAST = 1.8, 8       # new median over old; outcomes a build and path group before they rank (open)
ALONE = 2.0, 4 * LEAST       # both, once the earlier build is gone (open)
YOUNG, PATIENCE = 2 * SECOND, 16 * SECOND // 5      # no sample of a younger one; "on" so long after a start
HOLD_Z, HOLD_MOST = 2.0, 3 * SECOND    # under a clock: hold above this z, so long a stage
REFERENCE, LEAST_ERRORED = 15, 3       # times LEAST kept of a build that is gone; errors that say anything
LOOK_EVERY, JUDGES = SECOND // 5, 2    # looks at evidence; gateways that judge for all where they may tell
IN_SIGHT, THIN = 18, 10      # instances compared for a hit; gateways past which own counts show little
# Ratios to figures of the runsheet: to the longest warm-up, to the target latency, to what a rule allows.
EVIDENCE_COLD_TIMES, ALIKE_COLD_TIMES = 2.5, 0.5    # how long evidence is kept; a stretch of like samples
BENCH_COLD_TIMES = 0.25      # first time out of the rotation; doubles up to eight times as long
TICK_SHARE, HELD_SHARE = 0.05, 0.15    # how often held hits look for room, and how long
QUIET_SHARE, USEFUL_SHARE = 0.8, 0.9   # silent is who owes an answer so long; no further forward past this
DOUBT_SHARE = 0.5            # where probes are allowed: asked after so long, silent if it says nothing then
COLD_CAUTION = 0.6           # of what a cold instance could be sent, our guess of its capacity being rough
BRISK_SHARE, LIMIT_FIRST, LIMIT_CUT = 0.3, 4, 0.7   # limit in flight: grows by one, cut where slower
ADMIT_STEP, ADMIT_CUT = 0.1, 0.7       # a thin gateway's share of hits let in: grows, is cut
SPARED = 1 / 3               # of late hits, by choosing the better of two (measured: a third to a half)
SHY, BLAMED = 0.3, 0.4       # share of dials or probes that fail; of a customer's hits, against the others'
TRIAL_LEAN, TRUST_LEAN, COLD_LEAN, CONDEMNED_LEAN = 3, 2, 1, 100      # hits: counts as emptier, or fuller

NEVER_RAN, UNANSWERED = ("full", "unreachable", "moot"), ("timeout", "unreachable", "reset", "cancelled")


class Gateway:
    def __init__(self, host, now, seed, runsheet):
        self.host, self.sheet, self.chance = host, runsheet, Chance(seed)
        self.groups = {row["name"]: PathGroup(row, runsheet) for row in runsheet["path_groups"]}
        self.fleet, self.hits, self.held = Fleet(runsheet), {}, {}
        self.taken = Ledgers(runsheet.get("exposure_window", SECOND))
        self.newest, self.stage, self.phase, self.cap, self.stage_began = None, 0, "released", 1.0, now
        self.cast, self.cast_at, self.cast_answer, self.held_time, self.looked = None, 0, "ok", 0, now
        self.said, self.fresh, self.trusted = "fine", False, False     # last verdict; evidence to look at
        self.turn, self.due, self.kept_keys = "", inf, {}    # last id chosen; next wake-up; key -> build
        self.living, self.own, self.shut = None, deque(maxlen=REFERENCE * LEAST), None   # by membership
        self.admitted, self.shy, self.blame = 1.0, 0.0, {}       # shares: hits let in; no answers; errors
        self.admitted_cut, self.late = now, 0.0        # when last cut; share of answers that came late
        self.list_heard, self.list_asked, self.list_wait = now, now - 1, 1    # ask at once
        self.cold_time = runsheet.get("cold_time", 0)
        self.shortest = min(g.target for g in self.groups.values())
        self.tick = max(int(TICK_SHARE * self.shortest), runsheet.get("tick", 1))
        votes, self.gateways = max(1, runsheet.get("back_votes") or 1), max(1, runsheet.get("gateways", 1))
        self.thin = self.gateways > THIN
        self.probes = self.thin and runsheet.get("may_probe")
        self.patience = DOUBT_SHARE if self.probes else QUIET_SHARE
        self.stretch = (2 if self.thin else 1) * int(ALIKE_COLD_TIMES * self.cold_time) or SECOND   # few hits
        self.level = NormalDist().inv_cdf(1 - bearable(ceil(votes * (1 - ALIKE)), LEVEL) / self.gateways)
        self.strict = NormalDist().inv_cdf(1 - LEVEL / self.gateways)    # where all gateways would err alike
        self.least = max(LEAST_ERRORED, round(LEAST / sqrt(votes)))      # no gateway decides alone
        self.wake_by(now + 1 + self.chance.below(LOOK_EVERY), now)       # not all gateways at once
        self.follow_list(now)

    def wake_by(self, at, now):
        if at < self.due:
            self.due = max(at, now + 1)
            self.host.wake(0, self.due - now)

    def follow_list(self, now):
        if self.sheet.get("list_by") != "asking":
            return
        heard = self.list_asked if self.list_wait else max(self.list_asked, self.list_heard)
        wait = self.list_wait or self.sheet.get("ask_within", 10 * SECOND) // 3
        if now - heard >= wait:
            self.list_asked = heard = now              # well before we count as told
            self.host.watch_list()
        self.wake_by(heard + wait, now)

    def on_list_error(self, now):
        most = self.sheet.get("ask_within", 10 * SECOND) // 3
        self.list_wait = min(max(SECOND // 2, self.list_wait * 2), most) + self.chance.below(SECOND // 4)

    def on_list(self, now, whole, rows):
        self.list_heard, self.list_wait = now, 0
        self.fleet.update(whole, rows, lambda row: Instance(
            row, self.fleet, LIMIT_FIRST, self.chance.below(SECOND) / SECOND))
        if not self.turn and self.fleet.ids:           # gateways must not go round in step
            self.turn = self.fleet.ids[self.chance.below(len(self.fleet.ids))]
        self.place_held(now)

    def fill_cold_budget(self, now):
        """Each hit delivered allows a cold instance a part of one; all parts sum to what it can bear. What is
        not used at once is lost: guards against hundreds of gateways that spend theirs together."""
        part = self.sheet.get("overload_factor", 1) * COLD_CAUTION / max(1, len(self.fleet.up))
        for instance in self.fleet.still_cold(now):
            saved = instance.tokens % 1 if self.thin else min(1.0, instance.tokens)
            instance.tokens = saved + part * instance.warmth(now)

    def learn(self, instance, group, ending, took, report, now):
        if ending in ("ok", "error", "full"):
            instance.heard_at = now
        if "inflight" in report:
            instance.others = max(0.0, report["inflight"] - instance.out - 1)
        if ending == "ok":
            self.fill_cold_budget(now)
            group.usual += (took - group.usual) * (0.05 if group.usual else 1)
            instance.pace += (took / max(1, group.usual) - instance.pace) * 0.2
        if ending in ("cancelled", "moot"):
            return
        lag = took / group.target if ending == "ok" else max(1.0, took / group.target)
        instance.lag += (min(2.0, lag) - instance.lag) * 0.2
        if instance.lag > BRISK_SHARE and now - instance.cut_at > BRISK_SHARE * self.shortest:
            instance.limit, instance.cut_at = max(1, int(instance.limit * LIMIT_CUT)), now
        elif instance.lag <= BRISK_SHARE and instance.out + 1 >= instance.limit:
            instance.limit += 1
        self.late += ((lag >= USEFUL_SHARE) - self.late) * 0.05
        if lag < USEFUL_SHARE:
            self.admitted = min(1.0, self.admitted + ADMIT_STEP)
        elif ending in ("ok", "timeout", "full"):      # a failing instance or a lost dial is no jam
            self.jammed(now - took, now)
        fault = ending not in ("ok", "timeout")        # a full one may be draining unknown to our list
        instance.faults += (fault - instance.faults) * 0.3
        if ending == "ok" and instance.faults < 0.3:
            instance.bench_time = 0
        self.shy += ((ending == "unreachable") - self.shy) * 0.1
        if ending == "unreachable" or instance.faults > 0.5:
            self.bench(instance, now)

    def jammed(self, sent, now):
        """Something is late. What went out before the last cut says nothing of that cut."""
        if sent >= self.admitted_cut:
            self.admitted, self.admitted_cut = max(ADMIT_STEP, self.admitted * ADMIT_CUT), now

    def blames(self, customer, ending):
        """Is an error its customer's doing? Against hits that any instance errors; may hide a fault."""
        rate = 0.2 if self.thin else 0.05
        share = self.blame[customer] = self.blame.get(customer, 0.0) * (1 - rate) + rate * (ending == "error")
        others = [x for name, x in self.blame.items() if name != customer]
        return ending == "error" and bool(others) and share > max(BLAMED, 2 * fmean(others))

    def bench(self, instance, now):
        """Out for a while, then one hit at a time: against silent, cut-off and quickly failing instances."""
        if now >= instance.benched_until:
            first = int(BENCH_COLD_TIMES * self.cold_time) or SECOND
            instance.bench_time = min(8 * first, instance.bench_time * 2 or first)
            instance.benched_until, instance.limit, instance.faults = now + instance.bench_time, 1, 0.4

    def cap_of(self, build):
        """The cap that binds this build now; None where it is not on trial."""
        if build is self.shut:
            return 0.0
        if self.newest is None or build.number > self.newest.number:
            return (self.sheet.get("stage_caps") or [0.0])[0]
        return self.cap if build is self.newest and self.phase != "released" else None

    def exposure_allows(self, build, group, now):
        cap = self.cap_of(build)
        if cap is None:
            return True
        shielded = (self.stage if build is self.newest else 0) < self.sheet.get("shielded_stages", 0)
        if cap <= 0 or shielded and group.kind != "repeatable":
            return False
        since, name = now - self.sheet["exposure_window"], group.ledger
        since = max(since, build.counted_from) if now >= build.counted_from else since
        sent, taken = build.sent.since(name, since), self.taken.since(name, since + 1)
        return sent + 1 <= self.sheet.get("exposure_free", 0) + cap * taken

    # --- judging -------------------------------------------------------------------------------------------

    def add_evidence(self, forward, group, ending, took, now):
        """A full instance gives no sample; other failures count as time-outs. One that says nothing at all
        tells of its place, not of its build: guards a good build against silent or cut-off instances."""
        instance = forward.instance
        silent = ending in UNANSWERED and instance.heard_at < forward.sent
        if silent or ending in ("full", "moot") or instance.age(forward.sent) < YOUNG:
            return
        sample = Sample(now, took if ending == "ok" else group.timeout, ending == "error", instance,
                        forward.sent // self.stretch, instance.warmth(forward.sent), forward.crowd)
        self.enter_sample(group, sample, now)
        self.tell_judges(group, sample)

    def tell_judges(self, group, sample):
        """Each sample of the trial, and one of the earlier build for it, goes to gateways that rank what all
        have seen: guards against evidence too thin at any one. A lost message is but a lost sample."""
        build, of = self.newest, sample.instance.build
        recent = sample.at - self.stage_began < EVIDENCE_COLD_TIMES * self.cold_time
        told = self.sheet.get("may_tell") and (self.phase == "trial" or recent)
        if not build or not told or of not in (build, build.earlier):
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
        return nlargest(JUDGES, sorted(self.living), key=lambda number: lot(build.number, number))

    def tell(self, judge, group, sample, heard, now):
        """Once to each start of a judge: what is told twice would count twice."""
        mark = judge, (self.living or {}).get(judge)
        if judge != self.sheet.get("number") and mark not in heard:
            heard[mark] = True
            self.host.tell(judge, Told.pack(sample, list(self.groups).index(group.name), now - sample.at))

    def on_members(self, now, living):
        """Who is there, and since which start. A new judge is told what we have seen of the trial lately,
        each a part of it: guards against evidence that is lost with the judge who had it."""
        self.living, build = living, self.newest
        if build and self.phase == "trial":
            part = 2 * REFERENCE * LEAST // max(1, len(living)) + 1
            for group, sample, heard in list(self.own)[-part:]:
                for judge in self.judges(build) if sample.instance.build in (build, build.earlier) else ():
                    self.tell(judge, group, sample, heard, now)

    def on_shut(self, now, build):
        """Another gateway has heard that this build goes back, or gets less: nothing more is sent there until
        our own desk has spoken (None). No such word ever opens what is shut."""
        self.shut = None if build is None else self.fleet.build(build)
        self.place_held(now)

    def on_drains(self, now, tags):
        """Another gateway's newer list says that these drain: no more hits, until our own list has them."""
        self.fleet.drain([self.tagged()[tag] for tag in tags if tag in self.tagged()])

    def tagged(self):
        self.fleet.tags = self.fleet.tags or {Told.tag(i): i for i in self.fleet.up}
        return self.fleet.tags

    def on_peer(self, now, peer, data):
        mark, index, errored, latency, crowd, age = Told.unpack(data)
        instance, at = self.tagged().get(mark), now - age
        sent = at if errored else at - latency         # an error counts as a time-out and came much sooner
        if instance and index < len(self.groups):
            self.enter_sample(list(self.groups.values())[index], Sample(
                at, latency, errored, instance, sent // self.stretch, instance.warmth(sent), crowd), now)

    def enter_sample(self, group, sample, now):
        """Keeps it; one on trial, against the newest build or while that is suspect calls for a look."""
        build = sample.instance.build
        build.enter(group.name, sample)
        self.window(build, group, now)                 # trimmed unjudged too: against weeks without a release
        against = sample.errored or self.said != "fine" or self.phase == "trial" or (
            sample.latency > MARGIN * group.usual)
        if build is self.newest and against and not self.fresh:
            self.fresh = True
            self.wake_by(max(now, self.looked + LOOK_EVERY), now)

    def window(self, build, group, now):
        samples, least = build.samples.get(group.name, deque()), REFERENCE * LEAST
        oldest = now - (EVIDENCE_COLD_TIMES * self.cold_time or 10 * SECOND)
        while len(samples) > 4 * least or len(samples) > least and samples[0].at < oldest:
            samples.popleft()
        return samples                                 # the last ones of a build stay as its reference

    def without_worst(self, samples, most=inf):
        """No single instance or place carries the verdict: the worst third is left out, of two the worse."""
        means = mean_by(samples, "instance", "latency")
        left_out = min(len(means) // 3 or len(means) // 2, most)
        worst = sorted(means, key=lambda instance: -means[instance])[:left_out]
        return [s for s in samples if s.instance not in worst]

    def look(self, build, now):
        """Fail, suspect or fine; a fail in any path group, or in all together, as one may be too thin."""
        cases, says, cells = [], [], Counter((i.zone, i.cell) for i in self.fleet.up if i.build is build)
        place = max(cells.values(), default=1)         # of errors no more: a third of many has all of the few
        for group in self.groups.values():
            every, old = self.window(build, group, now), self.window(build.earlier, group, now)
            new, most = self.without_worst(every), self.without_worst(every, place)
            record = build.earlier.errored.get(group.name, (0, 0))
            counts = (sum(s.errored for s in most), len(most), *record)
            cases.append((counts, most, [*old], *self.alike(new, old, now)))
        counts, *lists = zip(*cases, strict=True)
        cases.append(([sum(row) for row in zip(*counts, strict=True)], *(sum(rows, []) for rows in lists)))
        for name, (counts, new, old, pairs, alone) in zip([*self.groups, "all"], cases, strict=True):
            says += [self.errors_say(build, name, counts, self.level, new, old),
                     self.latencies_say(build, name, pairs, MARGIN, self.least, self.level),
                     self.latencies_say(build, name, alone, *ALONE, self.strict)]
        if sum(errored for errored, _ in build.errored.values()) >= 2:    # it counts silent and full ones too
            counts = build.tallied + build.earlier.tallied
            says.append(self.errors_say(build, "platform", counts, self.strict))
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

    def errors_say(self, build, name, counts, level, new=(), old=()):
        """The exact rank test of errors, against the earlier build's whole record: none ranks as a quick
        success. If that one fails too, failing instances are counted first: against a failing place."""
        errored, hits, old_errored, old_hits = counts
        if hits < self.least or errored < LEAST_ERRORED or errored * old_hits <= 2 * old_errored * hits:
            return "fine"
        shares = [mean_by(samples, "instance", "errored").values() for samples in (new, old)]
        bad, old_bad = ((sum(x >= errored / hits / 2 for x in row), len(row)) for row in shares)
        if old_bad[0] and draw_chance(*bad, *old_bad) > 1 - NormalDist().cdf(HOLD_Z):
            return "fine"
        z = NormalDist().inv_cdf(1 - max(1e-12, draw_chance(errored, hits, old_errored, old_hits)))
        return self.weigh(z, level, f"build {build.number} {name}: errored {errored} of {hits}, "
                                    f"earlier {old_errored} of {old_hits}")

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
        moved = self.phase == "released" and self.sheet.get("layout") == "beside"
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
        if instance and group:
            self.enter_sample(group, Sample(now, group.timeout, True, instance, -1, 0, 0), now)

    # --- votes ---------------------------------------------------------------------------------------------

    def on_news(self, now, build, stage, phase, cap, age, reply, answer):
        self.cast_answer = answer if reply else self.cast_answer
        if answer != "ok":
            return
        told = self.fleet.build(build)
        before = self.cap_of(told)
        if (told, stage) != (self.newest, self.stage):
            self.held_time, self.fresh = 0, True
            self.kept_keys = {key: b for key, b in self.kept_keys.items() if b in (told, self.newest)}
        self.newest, self.stage, self.phase, self.cap, self.stage_began = told, stage, phase, cap, now - age
        if phase != "released" and (before is None or cap < before):
            told.counted_from = now + self.sheet.get("drain_grace", 0)
        self.wake_by(now + self.chance.below(LOOK_EVERY), now)
        self.place_held(now)

    def ready(self, now):
        """The design's patience after the stage's last listed start, or the latest it can have been."""
        starts = [i.started or 0 for i in self.fleet.up if i.build is self.newest]
        due = int(self.newest.places * (self.sheet.get("stage_shares") or [1.0])[self.stage] + 0.5)
        since = max(starts, default=0) if len(starts) >= max(1, due) else self.stage_began + 8 * SECOND
        return now - max(since, self.stage_began) >= PATIENCE

    def vote(self, now):
        """Back on any fail; else on after patience; a suspect build waits, or is held under a clock."""
        build, passed, self.looked, fresh = self.newest, now - self.looked, now, self.fresh
        self.fresh = False
        if build is None or self.phase not in ("trial", "released") or build.earlier is None:
            return
        self.said = self.look(build, now) if fresh else self.said
        build.condemned = build.condemned or self.said == "fail"
        seen, beside = sum(map(len, build.samples.values())), self.sheet.get("layout") == "beside"
        self.trusted = beside and self.said == "fine" and seen >= 5 * LEAST    # in place, no room to gain
        clock, want = self.sheet.get("gate") == "clock", "none"
        if build.condemned:
            want = "back"
        elif self.phase == "trial" and (clock or self.ready(now)):
            if self.said == "suspect" and self.held_time < HOLD_MOST:
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
        late = now - self.cast_at >= waits.get(self.cast_answer, SECOND // 2)
        if late or ballot != self.cast and self.cast_answer is not None:
            self.cast, self.cast_at, self.cast_answer = ballot, now, None
            self.host.vote(build.number, self.stage, want)

    # --- hits ----------------------------------------------------------------------------------------------

    def move(self, hit, state):
        """The one place where a hit changes state."""
        hit.state = hit.next_state(state)
        self.held.pop(hit.id, None)
        if state == State.HELD:
            self.held[hit.id] = hit
        if hit.ended and not hit.open:
            del self.hits[hit.id]

    def on_hit(self, now, id, group, customer, key, left, cost, again):
        hit = self.hits[id] = Hit(id, self.groups[group], customer, key, again, now, left, State.TAKEN)
        self.taken.enter(hit.group.ledger, now)
        self.place(hit, now)

    def fits(self, hit, instance, now):
        shut = now < instance.benched_until or instance.out >= instance.limit
        if shut or instance.tokens < 1 and instance.warmth(now) < 1:
            return False
        group, first = hit.group, hit.risky and hit.risky.instance
        if first and group.kind == "tagged" and not first.drops_with(instance, group.scope):
            return False
        kept = self.kept_keys.get(hit.key)
        lives = kept and kept is self.newest and self.phase in ("trial", "released")
        if kept is not instance.build and not self.spares(hit.key, instance.build):
            return False
        return (not lives or instance.build.number >= kept.number) and self.exposure_allows(
            instance.build, group, now)

    def spares(self, key, build):
        """Where keys stay: may this key be bound to a build on trial? As large a part of them as its cap is,
        the same at all gateways: guards against keys all bound, one by one, to what may serve but a part."""
        cap = self.cap_of(build) if self.sheet.get("keys_stay") and key is not None else None
        return cap is None or lot(build.number, key) < cap * 2**48

    def crowding(self, instance, now):
        """How long a hit would wait there, in hits; another zone counts as fuller by what crossing costs."""
        lean = self.sheet.get("crossing_price", 0) * 25 if instance.zone != self.sheet.get("zone") else 0
        pace = min(10.0, instance.pace) if instance.pace > 1.5 else 1.0
        if instance.build.condemned:
            lean += CONDEMNED_LEAN
        elif self.cap_of(instance.build) is not None:
            pace = 1.0                                 # a slow build must not hide by getting no hits
            lean -= (TRIAL_LEAN + TRIAL_LEAN * TRUST_LEAN * self.trusted) / max(TRIAL_LEAN, self.gateways)
        warmth = instance.warmth(now)
        lean, pace = (lean - COLD_LEAN * (warmth < 1), pace) if self.thin else (lean, pace / warmth)
        return (instance.out + instance.others + 1) * pace + lean

    def pick(self, hit, now):
        """The rotation: of the instances that fit and are about as free as the freest, the next in turn; only
        those heard of late while dials or probes fail: against squeezed or slow new connections."""
        turn = list(self.fleet.from_turn(self.turn))
        if self.thin and self.shy > SHY:
            turn = [i for i in turn if now - i.heard_at < self.cold_time and self.fits(hit, i, now)] or turn
        fits = (i for i in turn if self.fits(hit, i, now))
        fit, tried = list(islice(fits, IN_SIGHT)), [f.instance for f in hit.forwards] + hit.asked
        fit = [i for i in fit if i not in tried] or fit
        crowd = [self.crowding(i, now) for i in fit]
        chosen = next((i for i, c in zip(fit, crowd, strict=True) if c <= min(crowd) + 0.5), None)
        self.turn = chosen.id if chosen else self.turn
        return chosen

    def asks(self, hit, now):
        """A thin gateway probes the next one or two in turn; one that answers, or with less load, gets the
        hit: against silent, crowded and slow instances. Harm: reports that lie, and the price: no probe where
        it costs more than the hits it may spare, those unanswered and a part of the late ones."""
        if hit.forwards or not self.probes:
            return False
        price = self.sheet.get("probe_price", 0)
        most = min(2, int(max(self.shy, SPARED * self.late) / price)) if price else 2
        while hit.state == State.TAKEN and len(hit.asked) < most and (instance := self.pick(hit, now)):
            hit.asked.append(instance)
            self.host.probe(instance.id)
        patience = self.tick * (1 if hit.free else 2)
        waits = len(hit.free) < len(hit.asked) and now - hit.arrived < patience
        if waits:
            self.move(hit, State.HELD)
            self.wake_by(hit.arrived + patience, now)
        return waits

    def on_probed(self, now, id, ending, took, report):
        instance, late = self.fleet.by_id.get(id), ending != "ok" or took > 2 * self.tick
        self.shy += (late - self.shy) * 0.1
        if instance is None or ending != "ok":
            return
        instance.heard_at = now
        instance.others = max(0.0, report.get("inflight", instance.others + instance.out) - instance.out)
        for hit in [h for h in self.held.values() if instance in h.asked and instance not in h.free]:
            hit.free.append(instance)
            self.place(hit, now)

    def may_forward(self, hit, now):
        # two ticks early: one held past that could not be answered before its client has left
        if len(hit.forwards) >= self.sheet.get("most_forwards", 1) or now + 2 * self.tick >= hit.deadline:
            return False
        if now - hit.arrived > (USEFUL_SHARE if hit.forwards else HELD_SHARE) * hit.group.target:
            return False
        remembered = hit.risky and now - hit.risky.sent < hit.group.repeat_window - self.tick
        return not hit.risky or hit.group.kind == "repeatable" or hit.group.kind == "tagged" and remembered

    def admits(self, hit):
        """A thin gateway's limit in flight: a share of its hits is bounced at once, clients' repeats and the
        least benefit first. Guards against a jam that hundreds of gateways keep up together."""
        power = 1.5 if hit.again or hit.group is min(self.groups.values(), key=PathGroup.worth) else 0.75
        return not self.thin or self.chance.below(1000) < 1000 * self.admitted ** power

    def place(self, hit, now):
        if not self.may_forward(hit, now) or hit.state == State.TAKEN and not self.admits(hit):
            return self.give_up(hit, now)
        if self.asks(hit, now):
            return
        free, hit.asked, hit.free = [i for i in hit.free if self.fits(hit, i, now)], [], []
        instance = min(free, key=lambda i: self.crowding(i, now)) if free else self.pick(hit, now)
        self.move(hit, State.HELD)
        if instance is None:
            return self.wake_by(now + self.tick, now)
        hit.send(instance, now)
        instance.tokens -= 1
        instance.build.sent.enter(hit.group.ledger, now)
        self.move(hit, State.OUT)
        self.wake_by(now + int(self.patience * hit.group.target) + 1, now)
        self.host.forward(hit.id, instance.id, hit.deadline - now)

    def place_held(self, now):
        """First tries before repeats, most benefit for the work first, then the newest, the least late."""
        for hit in sorted(self.held.values(), key=lambda h: (h.again, -h.group.worth(), -h.arrived)):
            self.place(hit, now)

    def give_up(self, hit, now):
        """The final answer, at once: a bounce where a repeat is harmless, else errored."""
        kind, scope = hit.group.kind, hit.group.scope
        harmless = hit.risky is None or kind == "repeatable" or kind == "tagged" and scope == "all"
        self.move(hit, State.BOUNCED if harmless else State.ERRORED)
        if harmless:
            self.host.bounce(hit.id, min(self.sheet.get("may_advise") and self.sheet.get("most_advice") or 0,
                                         hit.group.target))
        else:
            self.host.error(hit.id)

    def on_outcome(self, now, id, number, ending, took, closed, report):
        hit = self.hits.get(id)
        if hit is None or number >= len(hit.forwards) or hit.forwards[number].settled:
            return
        forward, ran = hit.settle(number), ending not in NEVER_RAN
        # not the instance's doing: a client with little time left, a gateway that stood still
        spared = ending == "timeout" and took < hit.group.target or now - self.due > self.tick
        if self.blames(hit.customer, ending):
            ending, spared = "moot", True
        if not spared:
            self.add_evidence(forward, hit.group, ending, took, now)
        self.learn(forward.instance, hit.group, "moot" if spared else ending, took, report, now)
        if ending == "ok" and self.sheet.get("keys_stay") and hit.key is not None:
            # never lowered: a forward to the earlier build that was out meanwhile may be answered last
            self.kept_keys[hit.key] = max(self.kept_keys.get(hit.key, forward.instance.build),
                                          forward.instance.build, key=lambda build: build.number)
        if ran and hit.risky is None:
            hit.risky = forward
        if hit.ended:
            self.move(hit, hit.state)
        elif closed:
            self.move(hit, State.DELIVERED if ending == "ok" else State.ERRORED)
        elif ending == "moot":
            self.give_up(hit, now)
        else:
            self.place(hit, now)
        self.place_held(now)

    def on_gone(self, now, id):
        if id in self.hits and not self.hits[id].ended:
            self.move(self.hits[id], State.GONE)

    def watch_silent(self, now):
        """Calls off what a silent instance owes, if it may be repeated: against vanished, cut-off ones. To a
        thin gateway busy looks like silent: it asks first, and repeats nothing while answers are late, or the
        fleet drowns."""
        for hit in [h for h in self.hits.values() if h.state == State.OUT]:
            last, instance = hit.forwards[-1], hit.forwards[-1].instance
            due = last.sent + int(self.patience * hit.group.target) + 1
            if now >= due and self.probes and instance.heard_at < last.sent:
                if last.asked is None:
                    last.asked = now
                    self.host.probe(instance.id)
                due = last.asked + 2 * self.tick
            if now < due:
                self.wake_by(due, now)
            elif instance.heard_at >= last.sent:       # it lives and is slow: no need to wait for the answer
                late = last.sent + int(USEFUL_SHARE * hit.group.target) + 1
                self.jammed(last.sent, now) if now >= late else self.wake_by(late, now)
            else:
                self.bench(instance, now)
                self.wake_by(max(now + self.tick, instance.benched_until), now)
                may = self.sheet.get("may_cancel") and hit.group.kind != "mutating" and not last.dropped
                if may and (self.admitted >= 1 or not self.thin):
                    last.dropped = True
                    self.host.cancel(hit.id, len(hit.forwards) - 1)

    def on_wake(self, now, token):
        if now < self.due:
            return                                     # a timer that an earlier one has replaced
        stood_still, self.due = now - self.due > self.tick, inf
        self.wake_by(now + self.tick, now) if stood_still else self.watch_silent(now)   # no sign of silence
        self.place_held(now)
        self.follow_list(now)
        if now - self.looked >= LOOK_EVERY:
            self.vote(now)
        again = self.phase == "released" and self.newest and self.newest.condemned
        if again or self.phase == "trial" or self.cast_answer is None or self.fresh:
            self.wake_by(self.looked + LOOK_EVERY, now)
