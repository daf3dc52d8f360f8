"""All decisions of one gateway: which instance gets a hit, what proves a build bad, how the gateway votes.

A host makes one `Gateway(host, now, seed, runsheet)` a start and calls its `on_...` methods, one an event; it
answers by calling the host (`interface.py`). What is kept stands in `records.py`. Times are microseconds.
Here: the list, and a hit from its taking to its final answer; the rest is in choosing, judging and voting.
"""

from collections import Counter, deque
from math import ceil, inf, sqrt
from statistics import NormalDist

from cobaltpond.decisions.choosing import USEFUL_SHARE, Choosing
from cobaltpond.decisions.judging import LEAST, LEAST_ERRORED, LOOK_EVERY, REFERENCE, Judging
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

LEVEL, ALIKE = 0.0001, 1 / 3  # by the number of gateways; votes that may err alike from one cause (open)
THIN, LIMIT_FIRST = 10, 4  # gateways past which own counts show little; limit in flight at the start
# Ratios to figures of the runsheet: to the longest warm-up, to the target latency.
ALIKE_COLD_TIMES = 0.5  # a stretch of like samples
TICK_SHARE, HELD_SHARE = 0.05, 0.15  # how often held hits look for room, and how long
QUIET_SHARE = 0.8  # silent is who owes an answer so long
DOUBT_SHARE = 0.5  # where probes are allowed: asked after so long, silent if it says nothing then
SPARED = 1 / 3  # of late hits, by choosing the better of two (measured: a third to a half)

NEVER_RAN = ("full", "unreachable", "moot")


class Gateway(Choosing, Judging, Voting):
    def __init__(self, host, now, seed, runsheet):
        self.host, self.settings, self.chance = host, runsheet, RandomSource(seed)
        self.groups = {row["name"]: PathGroup(row, runsheet) for row in runsheet["path_groups"]}
        self.fleet, self.hits, self.held = Fleet(runsheet), {}, {}
        self.taken = SlidingCounts(runsheet.get("exposure_window", SECOND))
        self.newest, self.stage, self.phase, self.cap, self.stage_began = None, 0, "released", 1.0, now
        self.cast, self.cast_at, self.cast_answer, self.held_time, self.looked = None, 0, "ok", 0, now
        self.began, self.given_up, self.load = now, Counter(), {}  # hits given up, by why; load, by zone
        self.verdict, self.fresh, self.trusted, self.settled = "fine", False, False, False  # last verdict
        self.turn, self.due, self.kept_keys = "", inf, {}  # last id chosen; next wake-up; key -> build
        self.living, self.own, self.shut = None, deque(maxlen=REFERENCE * LEAST), None  # by membership
        self.admitted, self.shy, self.blame = 1.0, 0.0, {}  # shares: hits let in; no answers; errors
        self.admitted_cut, self.late = now, 0.0  # when last cut; share of answers that came late
        self.list_heard, self.list_asked, self.list_wait = now, now - 1, 1  # ask at once
        self.cold_time = runsheet.get("cold_time", 0)
        self.shortest = min(g.target for g in self.groups.values())
        self.tick = max(int(TICK_SHARE * self.shortest), runsheet.get("tick", 1))
        votes, self.gateways = max(1, runsheet.get("back_votes") or 1), max(1, runsheet.get("gateways", 1))
        self.thin = self.gateways > THIN
        self.probes = self.thin and runsheet.get("may_probe")
        self.patience = DOUBT_SHARE if self.probes else QUIET_SHARE
        self.stretch = (2 if self.thin else 1) * int(ALIKE_COLD_TIMES * self.cold_time) or SECOND  # few hits
        self.level = NormalDist().inv_cdf(
            1 - max_expected_events(ceil(votes * (1 - ALIKE)), LEVEL) / self.gateways
        )
        self.strict = NormalDist().inv_cdf(1 - LEVEL / self.gateways)  # where all gateways would err alike
        self.least = max(LEAST_ERRORED, round(LEAST / sqrt(votes)))  # no gateway decides alone
        self.wake_by(now + 1 + self.chance.randbelow(LOOK_EVERY), now)  # not all gateways at once
        self.follow_list(now)

    def wake_by(self, at, now):
        if at < self.due:
            self.due = max(at, now + 1)
            self.host.schedule_wakeup(0, self.due - now)

    def follow_list(self, now):
        if self.settings.get("list_by") != "asking":
            return
        heard = self.list_asked if self.list_wait else max(self.list_asked, self.list_heard)
        wait = self.list_wait or self.settings.get("ask_within", 10 * SECOND) // 3
        if now - heard >= wait:
            self.list_asked = heard = now  # well before we count as told
            self.host.watch_list()
        self.wake_by(heard + wait, now)

    def on_list_error(self, now):
        most = self.settings.get("ask_within", 10 * SECOND) // 3
        self.list_wait = min(max(SECOND // 2, self.list_wait * 2), most) + self.chance.randbelow(SECOND // 4)

    def on_list(self, now, whole, rows):
        self.list_heard, self.list_wait = now, 0
        self.fleet.update(
            whole,
            rows,
            lambda row: Instance(row, self.fleet, LIMIT_FIRST, self.chance.randbelow(SECOND) / SECOND),
        )
        if not self.turn and self.fleet.ids:  # gateways must not go round in step
            self.turn = self.fleet.ids[self.chance.randbelow(len(self.fleet.ids))]
        self.place_held(now)

    def on_drains(self, now, tags):
        """Another gateway's newer list says that these drain: no more hits, until our own list has them."""
        self.fleet.drain([self.tagged()[tag] for tag in tags if tag in self.tagged()])

    # --- hits ----------------------------------------------------------------------------------------------

    def move(self, hit, state):
        """The one place where a hit changes state."""
        hit.state = hit.next_state(state)
        self.held.pop(hit.id, None)
        if state == HitState.HELD:
            self.held[hit.id] = hit
        if hit.ended and not hit.open:
            del self.hits[hit.id]

    def on_hit(self, now, id, group, customer, key, left, cost, again):
        hit = self.hits[id] = Hit(id, self.groups[group], customer, key, again, now, left, HitState.TAKEN)
        self.taken.add(hit.group.ledger, now)
        self.place(hit, now)

    def asks(self, hit, now):
        """A thin gateway probes the next one or two in turn; one that answers, or with less load, gets the
        hit: against silent, crowded and slow instances. Harm: reports that lie, and the price: no probe where
        it costs more than the hits it may spare, those unanswered and a part of the late ones."""
        if hit.forwards or not self.probes:
            return False
        price = self.settings.get("probe_price", 0)
        most = min(2, int(max(self.shy, SPARED * self.late) / price)) if price else 2
        while hit.state == HitState.TAKEN and len(hit.asked) < most and (instance := self.pick(hit, now)):
            hit.asked.append(instance)
            self.host.probe_instance(instance.id)
        patience = self.tick * (1 if hit.free else 2)
        waits = len(hit.free) < len(hit.asked) and now - hit.arrived < patience
        if waits:
            self.move(hit, HitState.HELD)
            self.wake_by(hit.arrived + patience, now)
        return waits

    def on_probed(self, now, id, ending, took, report):
        instance, late = self.fleet.by_id.get(id), ending != "ok" or took > 2 * self.tick
        self.shy += (late - self.shy) * 0.1
        if instance is None or ending != "ok":
            return
        instance.heard_at = now
        self.reported(instance, report.get("inflight", instance.other_inflight + instance.out))
        for hit in [h for h in self.held.values() if instance in h.asked and instance not in h.free]:
            hit.free.append(instance)
            self.place(hit, now)

    def barred(self, hit, now):
        """Why no further forward may go out; None where one may."""
        # two ticks early: one held past that could not be answered before its client has left
        if len(hit.forwards) >= self.settings.get("most_forwards", 1) or now + 2 * self.tick >= hit.deadline:
            return "no time" if now + 2 * self.tick >= hit.deadline else "forwards used up"
        if now - hit.arrived > (USEFUL_SHARE if hit.forwards else HELD_SHARE) * hit.group.target:
            return "late after a forward" if hit.forwards else "no place that fits"
        may = not hit.risky or hit.group.kind == "repeatable" or (self.window_left(hit, now) or 0) > 0
        return None if may else "may not be repeated"

    def window_left(self, hit, now):
        """So long its key is remembered: a repeat has to be out by then, dial and all. None: no bound."""
        bound = hit.risky and hit.group.kind == "tagged"
        return hit.risky.sent + hit.group.repeat_window - self.tick - now if bound else None

    def admits(self, hit):
        """A thin gateway's limit in flight: a share of its hits is bounced at once, clients' repeats and the
        least benefit first. Guards against a jam that hundreds of gateways keep up together."""
        power = 1.5 if hit.again or hit.group is min(self.groups.values(), key=PathGroup.worth) else 0.75
        return not self.thin or self.chance.randbelow(1000) < 1000 * self.admitted**power

    def place(self, hit, now):
        why = self.barred(hit, now)
        if why is None and hit.state == HitState.TAKEN and not self.admits(hit):
            why = "not let in"
        if why:
            return self.give_up(hit, why)
        if self.asks(hit, now):
            return
        free, hit.asked, hit.free = [i for i in hit.free if self.fits(hit, i, now)], [], []
        free += [self.pick(hit, now)] if len(free) < 2 else []  # two to compare
        instance = min(filter(None, free), key=lambda i: self.crowding(i, now), default=None)
        self.move(hit, HitState.HELD)
        if instance is None:
            return self.wake_by(now + self.tick, now)
        hit.add_forward(instance, now)
        instance.tokens -= 1
        instance.build.sent.add(hit.group.ledger, now)
        self.move(hit, HitState.OUT)
        self.wake_by(now + int(self.patience * hit.group.target) + 1, now)
        self.host.send_forward(hit.id, instance.id, hit.deadline - now, self.window_left(hit, now))

    def place_held(self, now):
        """First tries before repeats, most benefit for the work first, then the newest, the least late."""
        for hit in sorted(self.held.values(), key=lambda h: (h.again, -h.group.worth(), -h.arrived)):
            self.place(hit, now)

    def give_up(self, hit, why):
        """The final answer, at once: a bounce where a repeat is harmless, else errored."""
        self.given_up[why] += 1
        kind, scope = hit.group.kind, hit.group.scope
        harmless = hit.risky is None or kind == "repeatable" or kind == "tagged" and scope == "all"
        self.move(hit, HitState.BOUNCED if harmless else HitState.ERRORED)
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
        if hit is None or number >= len(hit.forwards) or hit.forwards[number].settled:
            return
        forward, ran = hit.settle_forward(number), ending not in NEVER_RAN
        # not the instance's doing: a client with little time left, a gateway that stood still
        spared = ending == "timeout" and took < hit.group.target or now - self.due > self.tick
        if self.blames(hit.customer, ending):
            ending, spared = "moot", True
        if not spared:
            self.add_evidence(forward, hit.group, ending, took, now)
        self.learn(forward.instance, hit.group, "moot" if spared else ending, took, report, now)
        if ending == "ok" and self.settings.get("keys_stay") and hit.key is not None:
            # never lowered: a forward to the earlier build that was out meanwhile may be answered last
            self.kept_keys[hit.key] = max(
                self.kept_keys.get(hit.key, forward.instance.build),
                forward.instance.build,
                key=lambda build: build.number,
            )
        if ran and hit.risky is None:
            hit.risky = forward
        if hit.ended:
            self.move(hit, hit.state)
        elif closed:
            self.move(hit, HitState.DELIVERED if ending == "ok" else HitState.ERRORED)
        elif ending == "moot":
            self.give_up(hit, "moot")
        else:
            self.place(hit, now)
        self.place_held(now)

    def on_gone(self, now, id):
        if id in self.hits and not self.hits[id].ended:
            self.move(self.hits[id], HitState.GONE)

    def watch_silent(self, now):
        """Calls off what a silent instance owes, if it may be repeated: against vanished, cut-off ones. To a
        thin gateway busy looks like silent: it asks first, and repeats nothing while answers are late, or the
        fleet drowns."""
        for hit in [h for h in self.hits.values() if h.state == HitState.OUT]:
            last, instance = hit.forwards[-1], hit.forwards[-1].instance
            due = last.sent + int(self.patience * hit.group.target) + 1
            if now >= due and self.probes and instance.heard_at < last.sent:
                if last.asked is None:
                    last.asked = now
                    self.host.probe_instance(instance.id)
                due = last.asked + 2 * self.tick
            if now < due:
                self.wake_by(due, now)
            elif instance.heard_at >= last.sent:  # it lives and is slow: no need to wait for the answer
                late = last.sent + int(USEFUL_SHARE * hit.group.target) + 1
                self.jammed(last.sent, now) if now >= late else self.wake_by(late, now)
            else:
                self.eject(instance, now)
                self.wake_by(max(now + self.tick, instance.ejected_until), now)
                may = self.settings.get("may_cancel") and hit.group.kind != "mutating" and not last.dropped
                if may and (self.admitted >= 1 or not self.thin):
                    last.dropped = True
                    self.host.cancel_forward(hit.id, len(hit.forwards) - 1)

    def on_wake(self, now, token):
        if now < self.due:
            return  # a timer that an earlier one has replaced
        stood_still, self.due = now - self.due > self.tick, inf
        self.wake_by(now + self.tick, now) if stood_still else self.watch_silent(now)  # no sign of silence
        self.place_held(now)
        self.follow_list(now)
        if now - self.looked >= LOOK_EVERY:
            self.vote(now)
        again = self.phase == "released" and self.newest and self.newest.condemned
        if again or self.phase == "trial" or self.cast_answer is None or self.fresh:
            self.wake_by(self.looked + LOOK_EVERY, now)
