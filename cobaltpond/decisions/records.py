"""What the rules keep of a path group, a build, an instance, a hit and a forward. State, no decisions."""

from bisect import bisect_left, bisect_right
from collections import deque, namedtuple
from itertools import chain

FOREVER = 1 << 60
# One outcome as evidence; stretch: when it was sent, in stretches; warmth and crowd: as it was sent.
Sample = namedtuple("Sample", "at latency errored instance stratum warmth inflight")


class RandomSource:
    """A linear congruential generator; only its high bits are used."""

    def __init__(self, seed):
        self.state = seed

    def randbelow(self, most):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 33) * most >> 31


class SlidingCounts:
    """Sliding counts by name: when something happened, for two windows back."""

    def __init__(self, window):
        self.window, self.times = window, {}

    def add(self, name, now):
        times = self.times.setdefault(name, [])
        times.append(now)
        if times[0] < now - 4 * self.window:  # now and then, by half: an entry costs no copy
            del times[: bisect_left(times, now - 2 * self.window)]

    def count_since(self, name, at):
        times = self.times.get(name, ())
        return len(times) - bisect_left(times, at)


class HitState:
    TAKEN, HELD, OUT = "taken", "held", "out"
    DELIVERED, BOUNCED, ERRORED, GONE = "delivered", "bounced", "errored", "gone"
    NEXT = {
        TAKEN: {HELD, OUT, BOUNCED, ERRORED, GONE},
        HELD: {HELD, OUT, BOUNCED, ERRORED, GONE},
        OUT: {HELD, DELIVERED, BOUNCED, ERRORED, GONE},
        DELIVERED: {DELIVERED},
        BOUNCED: {BOUNCED},
        ERRORED: {ERRORED},
        GONE: {GONE},
    }


class PathGroup:
    def __init__(self, row, runsheet):
        self.name, self.kind, self.scope = row["name"], row.get("kind", "mutating"), row.get("scope", "all")
        self.target, self.timeout = row["target_latency"], row["client_timeout"]
        self.repeat_window = row.get("repeat_window") or 0
        self.benefit, self.late_benefit = row.get("benefit", 1), row.get("late_benefit", 0)
        self.ledger = self.name if runsheet.get("exposure_by") == "path group" else "all"
        self.by_work = runsheet.get("benefit_by") == "work"
        self.mean_latency = 0.0  # running mean of latencies, all instances
        self.reference_samples_due = 0  # samples of the earlier build still to be told

    def benefit_per_work(self):
        """Benefit for the work that a hit makes."""
        return self.benefit / (1 if self.by_work else max(1, self.mean_latency))


class Build:
    """One software build: what was sent to it and how its hits went."""

    def __init__(self, number, earlier, window):
        self.number, self.earlier = number, earlier
        self.sent = SlidingCounts(window)  # forwards to it
        self.counted_from = -FOREVER  # when the exposure count last started anew
        self.samples = {}  # path group name -> recent samples
        self.errored = {}  # path group name -> [errored, hits] so far
        self.platform_counts = 0, 0  # the same as the platform counts it, all path groups
        self.condemned = False
        self.listed_instances = 0  # instances listed when the build was first seen

    def add_sample(self, group, sample):
        self.samples.setdefault(group, deque()).append(sample)
        errored, hits = self.errored.get(group, (0, 0))
        self.errored[group] = errored + sample.errored, hits + 1


class Instance:
    """All that is known of one instance since its last start."""

    def __init__(self, row, fleet, limit, tokens):
        self.id, self.zone, self.cell = row["id"], row["zone"], row["cell"]
        self.fleet, self.build = fleet, fleet.build(row["build"])
        self.started, self.state = row["started"], row["state"]
        self.out, self.limit, self.limit_cut_at = 0, limit, 0
        self.other_inflight = 0.0  # hits of other gateways that it last reported
        self.latency_ratio, self.lateness = 1.0, 0.0  # latency against the usual, and against the target
        self.faults = 0.0  # share of its late outcomes that failed
        self.heard_at, self.ejected_until, self.ejection_time = 0, 0, 0
        self.tokens = tokens  # what may be sent to it while it is cold

    def shares_deduplication(self, other, scope):
        """Do the two drop each other's repeats of a tagged hit?"""
        return scope == "all" or self.zone == other.zone and (scope != "cell" or self.cell == other.cell)

    def age(self, now):
        return now - self.started if self.started is not None else FOREVER

    def warmth(self, now):
        """The least share of its capacity that it has by now; 1 is warm."""
        least, age = self.fleet.cold_share, self.age(now)
        whole = self.fleet.cold_time
        return 1.0 if age >= whole else least + (1 - least) * max(0, age) / whole


class Fleet:
    """The instances as the list tells them, one record each, found by id."""

    def __init__(self, runsheet):
        self.by_id, self.up, self.cold_instances, self.ids, self.by_tag, self.builds = {}, [], [], [], {}, {}
        self.cold_share, self.cold_time = runsheet.get("cold_share", 1.0), runsheet.get("cold_time", 0)
        self.exposure_window = runsheet.get("exposure_window", 0)

    def build(self, number):
        """The record of a build; the earlier one is the highest below it that was not found bad."""
        if number not in self.builds:
            earlier = [b for b in self.builds.values() if b.number < number and not b.condemned]
            made = Build(number, max(earlier, key=lambda b: b.number, default=None), self.exposure_window)
            made.listed_instances = sum(i.build.number < number for i in self.up)
            self.builds[number] = made
            # guards a gateway that starts in mid-trial: it may hear of the trial before what came earlier
            for later in self.builds.values():
                if later.number > number and (not later.earlier or later.earlier.number < number):
                    later.earlier = made
        return self.builds[number]

    def update(self, whole, rows, made):
        """`made(row)`: the record of a new instance, a restarted one or an id used again; nothing known of
        the last one holds."""
        if whole:
            listed = {row["id"] for row in rows}
            self.by_id = {id: i for id, i in self.by_id.items() if id in listed}
        for row in rows:
            known = self.by_id.get(row["id"])
            if row["state"] == "gone":
                self.by_id.pop(row["id"], None)
            elif known is None or known.started != row["started"] or known.build.number != row["build"]:
                self.by_id[row["id"]] = made(row)
            else:
                known.state = row["state"]
        self.rebuild_index()

    def drain(self, instances):
        """Not by the list: the next row of the list puts it right."""
        for instance in instances:
            instance.state = "draining"
        self.rebuild_index()

    def rebuild_index(self):
        self.up = sorted((i for i in self.by_id.values() if i.state == "up"), key=lambda i: i.id)
        self.ids, self.by_tag, self.cold_instances = [i.id for i in self.up], {}, self.up

    def still_cold(self, now):
        self.cold_instances = [i for i in self.cold_instances if i.warmth(now) < 1]
        return self.cold_instances

    def rotation_after(self, last):
        """All that are up, beginning after the last one chosen."""
        after = bisect_right(self.ids, last)
        return chain(self.up[after:], self.up[:after])


class Hit:
    def __init__(self, id, group, customer, key, again, now, left, state):
        self.id, self.group, self.customer, self.key, self.is_repeat = id, group, customer, key, again
        self.arrived, self.deadline = now, now + left
        self.state, self.forwards, self.open_forwards = state, [], 0
        self.probed, self.probe_replied = [], []  # instances probed for it, and those that answered
        self.first_executed = None  # the first forward that may have run

    def add_forward(self, instance, now):
        self.forwards.append(Forward(instance, now))
        self.open_forwards += 1
        instance.out += 1

    def settle_forward(self, number):
        forward = self.forwards[number]
        forward.has_outcome = True
        self.open_forwards -= 1
        forward.instance.out -= 1
        return forward

    def next_state(self, state):
        if state not in HitState.NEXT[self.state]:
            raise RuntimeError(f"a hit cannot go from {self.state} to {state}")
        return state

    @property
    def ended(self):
        return HitState.NEXT[self.state] == {self.state}


class Forward:
    def __init__(self, instance, now):
        self.instance, self.sent, self.has_outcome, self.cancelled = instance, now, False, False
        self.probed_at = None  # when the instance was asked whether it is there
        self.inflight_seen = instance.out + instance.other_inflight  # hits it found there, as far as we know
