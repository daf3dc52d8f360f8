"""A model of one instance: cores, slots, a waiting room, cold start, overload; free of I/O.

Work is time on one core at speed 1, in microseconds. Hits in slots share the cores evenly (processor
sharing): each runs at min(1, cores / in slots) of the instance's present rate.
"""

from collections import deque
from dataclasses import dataclass, field

WARM = 1.0


@dataclass(eq=False)
class Job:
    """One forward at an instance."""

    work: float
    group: str
    mark: str | None = None
    op: str = ""
    left: float = 0.0
    deadline: int | None = None
    done: object = None  # called with "ok", "error", "wrong" or "dropped"
    bad: str | None = None
    about: dict = field(default_factory=dict)


@dataclass
class InstanceProfile:
    """What a machine is made of."""

    cores: int = 2
    slots: int = 8
    queue: int = 20
    speed: float = 1.0
    cold_share: float = 0.4
    cold_time: int = 3_000_000
    thrash: float = 0.05  # share of the rate lost for each hit held beyond the knee
    knee: float = 12.0
    cancel: str = "queued"  # none, queued, all
    drops_expired: bool = True
    error_rate: float = 0.0


class InstanceModel:
    def __init__(
        self, kind: InstanceProfile, build: int, now: int, chance, warm: bool, factor: float, tip_time: int
    ):
        """`chance`: a random.Random; `factor` and `tip_time`: the rule on cold instances."""
        self.kind, self.build, self.started, self.chance = kind, build, now, chance
        self.warm_from = now - (kind.cold_time if warm else 0)
        self.factor, self.tip_time = factor, tip_time
        self.active, self.waiting, self.at, self.fallen = [], deque(), now, False
        self.shared = [1.0]  # slowness that all machines share
        self.slow, self.taken, self.errors, self.flaw = 1.0, 0.0, 0.0, None  # troubles; flaw: a bad build's
        self.arrivals, self.busy, self.took = deque(), 0.0, 0.0
        self.served = self.served_work = 0

    # --- capacity -------------------------------------------------------------------------------------------

    def warmth(self, now: int) -> float:
        """Rises evenly with time from the cold share to 1."""
        age, kind = now - self.warm_from, self.kind
        return (
            WARM if age >= kind.cold_time else kind.cold_share + (1 - kind.cold_share) * age / kind.cold_time
        )

    def capacity(self, now: int) -> float:
        """Work it can do in a microsecond when all cores run."""
        return self.kind.cores * self.kind.speed * self.warmth(now) * (1 - self.taken)

    def rate(self, now: int) -> float:
        """Work done on each hit in slots, per microsecond."""
        held = len(self.active) + len(self.waiting)
        lost = 1 + self.kind.thrash * max(0.0, held - self.kind.knee)
        each = min(1.0, self.kind.cores / max(1, len(self.active)))
        slow = self.slow * self.shared[0] * (self.flaw.slowness(self, now) if self.flaw else 1.0)
        return each * self.kind.speed * self.warmth(now) * (1 - self.taken) / (slow * lost)

    def util(self) -> float:
        return min(1.0, len(self.active) / self.kind.cores)

    # --- what happens ---------------------------------------------------------------------------------------

    def advance(self, now: int) -> None:
        """Work done since the last call; finished jobs are told. Steps are short enough for the warmth to be
        taken as constant in each."""
        while self.active and self.at < now:
            rate = self.rate(self.at)
            least = min(job.left for job in self.active)
            step = min(now - self.at, 50_000, max(1, int(least / rate) + 1))
            self.at += step
            for job in self.active:
                job.left -= rate * step
            for job in [job for job in self.active if job.left <= 0]:
                self.active.remove(job)
                self.finish(job, self.at)
            self.fill(self.at)
        self.at = max(self.at, now)

    def fill(self, now: int) -> None:
        while self.waiting and len(self.active) < self.kind.slots:
            job = self.waiting.popleft()
            if self.kind.drops_expired and job.deadline is not None and now >= job.deadline:
                job.done("dropped")
            else:
                self.active.append(job)

    def finish(self, job: Job, now: int) -> None:
        self.served += 1
        self.served_work += job.work
        chance = self.chance.random()
        if chance < self.errors + self.kind.error_rate:
            job.done("error")
        else:
            job.done(self.flaw.result(self, job, now) if self.flaw else "ok")

    def arrive(self, now: int, job: Job) -> bool:
        """False where it is sent away without a look. May make a cold instance fall over."""
        self.advance(now)
        self.arrivals.append((now, job.work))
        while self.arrivals[0][0] < now - self.tip_time:
            self.arrivals.popleft()
        if self.overloaded(now):
            self.fallen = True
        if self.fallen or len(self.active) >= self.kind.slots and len(self.waiting) >= self.kind.queue:
            return False
        job.left = job.work * (self.flaw.more_work(self, job, now) if self.flaw else 1.0)
        self.waiting.append(job)
        self.fill(now)
        return True

    def overloaded(self, now: int) -> bool:
        """The rule's budget: work sent in a window against the multiple of what it can do then. The slack for
        chance is two of the largest pieces."""
        if self.warmth(now) >= WARM:
            return False
        sent = [work for _, work in self.arrivals]
        window = min(self.tip_time, max(1, now - self.started))
        return sum(sent) - 2 * max(sent) > self.factor * self.capacity(now) * window

    def cancel(self, job: Job) -> None:
        if self.kind.cancel != "none" and job in self.waiting:
            self.waiting.remove(job)
        elif self.kind.cancel == "all" and job in self.active:
            self.active.remove(job)

    def next_at(self) -> int | None:
        """When something will finish if nothing else happens."""
        if not self.active:
            return None
        return self.at + min(
            50_000, max(1, int(min(job.left for job in self.active) / self.rate(self.at)) + 1)
        )

    def report(self) -> dict:
        return {
            "util": self.util(),
            "inflight": len(self.active) + len(self.waiting),
            "queue": len(self.waiting),
            "latency_ms": self.served_work / max(1, self.served) / 1000 / self.kind.speed,
        }


class BuildFlaw:
    """What is wrong with a bad build, in one of the bench's forms; `strength` 0 to 1."""

    def __init__(self, how: str, strength: float, group: str, chance):
        self.how, self.strength, self.group, self.chance = how, strength, group, chance
        self.crowd = None  # for the shared form: the share of traffic it gets

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self.strength

    def more_work(self, machine, job, now) -> float:
        return self.between(2.3, 3.7) if self.how == "slow" else 1.0

    def slowness(self, machine, now) -> float:
        if self.how == "load" and machine.util() > 0.45:
            return self.between(1.8, 3.0)
        if self.how == "late" and now - machine.started > self.between(9.0, 5.0) * 1e6:
            return self.between(1.8, 3.0)
        return 1.0

    def result(self, machine, job, now) -> str:
        share = {
            "errors": self.between(0.08, 0.36),
            "wrong": self.between(0.08, 0.36),
            "class": self.between(0.44, 0.9) if job.group == self.group else 0.0,
            "load": self.between(0.2, 0.5) if machine.util() > 0.45 else 0.0,
            "late": self.between(0.2, 0.5) if now - machine.started > self.between(9.0, 5.0) * 1e6 else 0.0,
        }.get(self.how, 0.0)
        if self.chance.random() >= share:
            return "ok"
        return "wrong" if self.how == "wrong" else "error"
