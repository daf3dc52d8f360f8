"""What the rules keep of a path group, a build, an instance, a hit and a forward. State, no decisions."""
from collections import namedtuple

FOREVER = 1 << 60
# One outcome as evidence; stretch: when it was sent, in stretches; warmth and crowd: as it was sent.
Sample = namedtuple("Sample", "at latency errored instance stretch warmth crowd")


class Chance:
    """A linear congruential generator; only its high bits are used."""

    def __init__(self, seed):
        self.state = seed

    def below(self, most):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 33) * most >> 31


class PathGroup:
    def __init__(self, row):
        self.name, self.kind, self.scope = row["name"], row.get("kind", "mutating"), row.get("scope", "all")
        self.target, self.timeout = row["target_latency"], row["client_timeout"]
        self.repeat_window = row.get("repeat_window") or 0
        self.benefit, self.late_benefit = row.get("benefit", 1), row.get("late_benefit", 0)
        self.usual = 0.0                               # running mean of latencies, all instances
        self.owed = 0                                  # samples of the earlier build still to be told


class Build:
    """One software build: what was sent to it and how its hits went."""

    def __init__(self, number, earlier):
        self.number, self.earlier = number, earlier
        self.sent = {}                                 # exposure ledger name -> times of forwards
        self.counted_from = None                       # when the exposure count last started anew
        self.samples = {}                              # path group name -> recent samples
        self.errored = {}                              # path group name -> [errored, hits] so far
        self.tallied = 0, 0                            # the same as the platform counts it, all path groups
        self.condemned, self.trusted = False, False
        self.places = 0                                # instances listed when the build was first seen


class Instance:
    """All that is known of one instance since its last start."""

    def __init__(self, row, build, limit):
        self.id, self.build, self.zone, self.cell = row["id"], build, row["zone"], row["cell"]
        self.started, self.state = row["started"], row["state"]
        self.out, self.limit, self.cut_at = 0, limit, 0
        self.others = 0.0                              # hits of other gateways that it last reported
        self.pace, self.lag = 1.0, 0.0                 # latency against the usual, and against the target
        self.faults = 0.0                              # share of its late outcomes that failed
        self.heard_at, self.benched_until, self.bench_time = 0, 0, 0
        self.tokens = 0.0                              # what may be sent to it while it is cold

    def age(self, now):
        return now - self.started if self.started is not None else FOREVER


class Hit:
    def __init__(self, id, group, key, again, now, left, state):
        self.id, self.group, self.key, self.again = id, group, key, again
        self.arrived, self.deadline = now, now + left
        self.state, self.forwards, self.open = state, [], 0
        self.asked, self.free = [], []                 # instances probed for it, and those that answered
        self.risky = None                              # the first forward that may have run


class Forward:
    def __init__(self, instance, now):
        self.instance, self.sent, self.settled, self.dropped = instance, now, False, False
        self.crowd = instance.out + instance.others            # hits it found there, as far as we know
