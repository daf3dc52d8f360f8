"""State of the decisions: records of path groups, builds, instances, hits and forwards, without any
policy."""

from bisect import bisect_left, bisect_right
from collections import deque, namedtuple
from itertools import chain

FOREVER = 1 << 60  # microseconds
# The outcome of a forward as evidence: when it ended (at) and the latency, in microseconds; the time stratum
# in which it was sent; the instance's warmth and the hits in flight there, as it was sent.
Sample = namedtuple("Sample", "at latency errored instance stratum warmth inflight")


class RandomSource:
    """A linear congruential generator. Only its high bits are used, as the low ones have short periods."""

    def __init__(self, seed):
        self.state = seed

    def randbelow(self, most):
        """Returns an integer from 0 to `most` - 1; at most 2**31 different ones occur."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 33) * most >> 31


class SlidingCounts:
    """Counts of events by name over a sliding window, kept for two windows at least."""

    def __init__(self, window):
        self.window, self.times = window, {}

    def add(self, name, now):
        """Counts one event; `now` never decreases."""
        times = self.times.setdefault(name, [])
        times.append(now)
        # trimmed seldom and by half, so that not every added entry costs a copy of the list
        if times[0] < now - 4 * self.window:
            del times[: bisect_left(times, now - 2 * self.window)]

    def count_since(self, name, at):
        """Returns the number of events at `at` or later."""
        times = self.times.get(name, ())
        return len(times) - bisect_left(times, at)


class HitState:
    """The states of a hit, and to which others each may go."""

    TAKEN, HELD, FORWARDED = "taken", "held", "out"
    DELIVERED, BOUNCED, ERRORED, GONE = "delivered", "bounced", "errored", "gone"
    NEXT = {
        TAKEN: {HELD, FORWARDED, BOUNCED, ERRORED, GONE},
        HELD: {HELD, FORWARDED, BOUNCED, ERRORED, GONE},
        FORWARDED: {HELD, DELIVERED, BOUNCED, ERRORED, GONE},
        DELIVERED: {DELIVERED},
        BOUNCED: {BOUNCED},
        ERRORED: {ERRORED},
        GONE: {GONE},
    }


class PathGroup:
    """The settings of a path group, and what is known of its hits. Times are microseconds."""

    def __init__(self, row, settings):
        self.name, self.kind, self.scope = row["name"], row.get("kind", "mutating"), row.get("scope", "all")
        self.target, self.timeout = row["target_latency"], row["client_timeout"]
        self.repeat_window = row.get("repeat_window") or 0  # how long instances remember an idempotency key
        self.benefit, self.late_benefit = row.get("benefit", 1), row.get("late_benefit", 0)
        # name under which exposure counts its hits
        self.counter_name = self.name if settings.get("exposure_by") == "path group" else "all"
        self.by_work = settings.get("benefit_by") == "work"
        self.mean_latency = 0.0  # moving average over all instances; 0: none yet
        self.reference_samples_due = 0  # samples of the earlier build still to be sent to the judges

    def benefit_per_work(self):
        """Returns the benefit of a hit, divided by the mean latency unless the benefit is given by work."""
        return self.benefit / (1 if self.by_work else max(1, self.mean_latency))


class Build:
    """One software build: what was sent to it and how its hits went."""

    def __init__(self, number, earlier, window):
        self.number, self.earlier = number, earlier  # earlier: the build before it, None where none is known
        self.sent = SlidingCounts(window)  # forwards to it
        self.counted_from = -FOREVER  # when the exposure count last started anew
        self.samples = {}  # path group name -> recent samples
        self.error_counts = {}  # path group name -> (errored, hits) so far
        self.platform_counts = 0, 0  # the same as the platform counts it, all path groups
        self.condemned = False  # an assessment has failed it
        self.listed_instances = 0  # instances of lower builds that were up when it was first seen

    def add_sample(self, group, sample):
        """Adds a sample of the path group with this name, and counts it."""
        self.samples.setdefault(group, deque()).append(sample)
        errored, hits = self.error_counts.get(group, (0, 0))
        self.error_counts[group] = errored + sample.errored, hits + 1


class Instance:
    """All that is known of one instance since its last start. Times are microseconds."""

    def __init__(self, row, fleet, limit, tokens):
        self.id, self.zone, self.cell = row["id"], row["zone"], row["cell"]
        self.fleet, self.build = fleet, fleet.build(row["build"])
        self.started, self.state = row["started"], row["state"]  # started: None where it is not known
        # own hits in flight, their limit, and when the limit was last cut
        self.own_inflight, self.limit, self.limit_cut_at = 0, limit, 0
        self.other_inflight = 0.0  # hits of other gateways that it last reported
        # moving averages: latency over the mean of the path group, and over the target latency
        self.latency_ratio, self.lateness = 1.0, 0.0
        self.faults = 0.0  # moving average of the share of its outcomes that failed
        # time of the last answer (0: none), end of the ejection, length of the ejection
        self.heard_at, self.ejected_until, self.ejection_time = 0, 0, 0
        self.tokens = tokens  # hits that may be sent to it while it is cold

    def shares_deduplication(self, other, scope):
        """Returns whether the two recognise each other's idempotency keys in a path group of this scope."""
        return scope == "all" or self.zone == other.zone and (scope != "cell" or self.cell == other.cell)

    def age(self, now):
        """Returns microseconds since the start; `FOREVER` where the start is not known."""
        return now - self.started if self.started is not None else FOREVER

    def warmth(self, now):
        """Returns the least share of its capacity that it has by now; 1 is warm."""
        least, age = self.fleet.cold_share, self.age(now)
        whole = self.fleet.cold_time
        return 1.0 if age >= whole else least + (1 - least) * max(0, age) / whole


class Fleet:
    """The instances in the list, found by id, and all known builds, by number."""

    def __init__(self, settings):
        # All instances by id; those that are up, in order of id; those that may still be cold; ids of those
        # that are up; those that are up by message tag (empty: to be built); builds by number.
        self.by_id, self.up, self.cold_instances, self.ids, self.by_tag, self.builds = {}, [], [], [], {}, {}
        # share of its capacity that a started instance has, and the longest warm-up in microseconds
        self.cold_share, self.cold_time = settings.get("cold_share", 1.0), settings.get("cold_time", 0)
        self.exposure_window = settings.get("exposure_window", 0)

    def build(self, number):
        """Returns the record of a build, made where there is none; its earlier build is the highest one below
        it that is not condemned."""
        if number not in self.builds:
            earlier = [b for b in self.builds.values() if b.number < number and not b.condemned]
            new_build = Build(
                number, max(earlier, key=lambda b: b.number, default=None), self.exposure_window
            )
            new_build.listed_instances = sum(i.build.number < number for i in self.up)
            self.builds[number] = new_build
            # a gateway that starts in mid-trial may hear of the trial before it hears of the earlier build
            for later in self.builds.values():
                if later.number > number and (not later.earlier or later.earlier.number < number):
                    later.earlier = new_build
        return self.builds[number]

    def forget_builds(self, in_use):
        """Drops the builds that no listed instance runs and that are not among `in_use`."""
        kept = {instance.build.number: instance.build for instance in self.by_id.values()}
        kept |= {build.number: build for build in in_use}
        self.builds = {number: build for number, build in self.builds.items() if number in kept}
        for build in self.builds.values():
            if build.earlier is not None and build.earlier.number not in self.builds:
                build.earlier = None

    def update(self, whole, rows, create_instance):
        """Applies the list, or changes to it where `whole` is false. `create_instance(row)` makes
        the record of a new or restarted instance or of an id in use again; nothing known under that id is
        kept."""
        if whole:
            listed = {row["id"] for row in rows}
            self.by_id = {id: i for id, i in self.by_id.items() if id in listed}
        for row in rows:
            known = self.by_id.get(row["id"])
            if row["state"] == "gone":
                self.by_id.pop(row["id"], None)
            elif known is None or known.started != row["started"] or known.build.number != row["build"]:
                self.by_id[row["id"]] = create_instance(row)
            else:
                known.state = row["state"]
        self.rebuild_index()

    def drain(self, instances):
        """Marks instances as draining until the next row of the list overrides it."""
        for instance in instances:
            instance.state = "draining"
        self.rebuild_index()

    def rebuild_index(self):
        """Recomputes what follows from the instances' states."""
        self.up = sorted((i for i in self.by_id.values() if i.state == "up"), key=lambda i: i.id)
        self.ids, self.by_tag, self.cold_instances = [i.id for i in self.up], {}, self.up

    def still_cold(self, now):
        """Returns the instances that are not warm yet."""
        self.cold_instances = [i for i in self.cold_instances if i.warmth(now) < 1]
        return self.cold_instances

    def rotation_after(self, last):
        """Returns all instances that are up, in order of id and beginning after the id `last`."""
        after = bisect_right(self.ids, last)
        return chain(self.up[after:], self.up[:after])


class Hit:
    """A client's hit and its forwards. Times are microseconds."""

    def __init__(self, id, group, customer, key, is_retry, now, time_left, state):
        self.id, self.group, self.customer, self.key, self.is_retry = id, group, customer, key, is_retry
        self.arrived, self.deadline = now, now + time_left
        self.state, self.forwards, self.open_forwards = state, [], 0  # open: without an outcome yet
        self.probed, self.probe_replied = [], []  # instances probed for it, and those that replied
        self.first_executed = None  # the first forward that may have been executed

    def add_forward(self, instance, now):
        """Records a new forward to the instance."""
        self.forwards.append(Forward(instance, now))
        self.open_forwards += 1
        instance.own_inflight += 1

    def settle_forward(self, number):
        """Records that a forward has its outcome, and returns the forward."""
        forward = self.forwards[number]
        forward.has_outcome = True
        self.open_forwards -= 1
        forward.instance.own_inflight -= 1
        return forward

    def next_state(self, state):
        """Returns `state`; raises RuntimeError where the hit cannot go there."""
        if state not in HitState.NEXT[self.state]:
            raise RuntimeError(f"a hit cannot go from {self.state} to {state}")
        return state

    @property
    def ended(self):
        """Whether the hit has its final answer, or its client has disconnected."""
        return HitState.NEXT[self.state] == {self.state}


class Forward:
    """One attempt to have a hit served by an instance."""

    def __init__(self, instance, now):
        self.instance, self.sent, self.has_outcome, self.cancelled = instance, now, False, False
        self.probed_at = None  # when the instance was probed, as the answer was overdue; None: not probed
        # hits in flight at the instance, as far as known
        self.inflight_seen = instance.own_inflight + instance.other_inflight
