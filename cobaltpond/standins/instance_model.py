"""Models the capacity of one instance: cores, slots, queue, cold start and overload, without I/O.

Work is time on one core at speed 1, in microseconds. Hits in slots share the cores evenly (processor
sharing): each runs at min(1, cores / occupied slots) of the instance's current rate.
"""

from collections import deque
from dataclasses import dataclass, field

FULLY_WARM = 1.0


@dataclass(eq=False)
class Job:
    """One forward at an instance; `work` and `left` are in microseconds of core time."""

    work: float
    group: str
    mark: str | None = None
    op: str = ""
    left: float = 0.0
    deadline: int | None = None
    on_finish: object = None  # called with "ok", "error", "wrong" or "dropped"
    fault: str | None = None
    request_fields: dict = field(default_factory=dict)


@dataclass
class InstanceProfile:
    """The capacity and behaviour of an instance; the plan's `kind` holds these fields by name."""

    cores: int = 2
    slots: int = 8
    queue: int = 20
    speed: float = 1.0
    cold_share: float = 0.4
    cold_time: int = 3_000_000
    thrash: float = 0.05  # share of the rate lost for each hit in flight beyond the knee
    knee: float = 12.0
    cancel: str = "queued"  # none, queued, all
    drops_expired: bool = True
    error_rate: float = 0.0


class InstanceModel:
    """The load of one instance over time; all times are in microseconds."""

    def __init__(
        self,
        profile: InstanceProfile,
        build: int,
        now: int,
        random_source,
        warm: bool,
        factor: float,
        tip_time: int,
    ):
        """`random_source` is a random.Random; `factor` and `tip_time` limit work on a cold instance."""
        self.profile, self.build, self.started, self.random_source = profile, build, now, random_source
        self.warm_from = now - (profile.cold_time if warm else 0)
        self.factor, self.tip_time = factor, tip_time
        self.active, self.waiting, self.updated_at, self.has_crashed = [], deque(), now, False
        self.shared_slowness = [1.0]  # slowness that all instances share
        self.slowdown, self.cpu_taken, self.error_share, self.flaw = (
            1.0,
            0.0,
            0.0,
            None,
        )  # injected faults; `flaw` is that of a bad build
        self.arrivals, self.busy_time, self.total_latency = deque(), 0.0, 0.0
        self.served = self.served_work = 0

    # --- capacity -------------------------------------------------------------------------------------------

    def warmth(self, now: int) -> float:
        """The share of the full speed: rises linearly from the cold share to 1."""
        age, profile = now - self.warm_from, self.profile
        return (
            FULLY_WARM
            if age >= profile.cold_time
            else profile.cold_share + (1 - profile.cold_share) * age / profile.cold_time
        )

    def capacity(self, now: int) -> float:
        """The work per microsecond when all cores are busy."""
        return self.profile.cores * self.profile.speed * self.warmth(now) * (1 - self.cpu_taken)

    def rate(self, now: int) -> float:
        """The work done per microsecond on each hit in a slot."""
        inflight = len(self.active) + len(self.waiting)
        thrash_factor = 1 + self.profile.thrash * max(0.0, inflight - self.profile.knee)
        core_share = min(1.0, self.profile.cores / max(1, len(self.active)))
        slowdown = (
            self.slowdown * self.shared_slowness[0] * (self.flaw.slowness(self, now) if self.flaw else 1.0)
        )
        return (
            core_share
            * self.profile.speed
            * self.warmth(now)
            * (1 - self.cpu_taken)
            / (slowdown * thrash_factor)
        )

    def util(self) -> float:
        """The share of cores that are busy."""
        return min(1.0, len(self.active) / self.profile.cores)

    # --- events ---------------------------------------------------------------------------------------------

    def advance(self, now: int) -> None:
        """Does the work up to now and calls `on_finish` of finished jobs.

        The steps are short enough to take the warmth as constant in each.
        """
        while self.active and self.updated_at < now:
            rate = self.rate(self.updated_at)
            least_left = min(job.left for job in self.active)
            step = min(now - self.updated_at, 50_000, max(1, int(least_left / rate) + 1))
            self.updated_at += step
            for job in self.active:
                job.left -= rate * step
            for job in [job for job in self.active if job.left <= 0]:
                self.active.remove(job)
                self.finish(job, self.updated_at)
            self.fill_slots(self.updated_at)
        self.updated_at = max(self.updated_at, now)

    def fill_slots(self, now: int) -> None:
        """Moves queued jobs to free slots; expired ones are dropped if the profile says so."""
        while self.waiting and len(self.active) < self.profile.slots:
            job = self.waiting.popleft()
            if self.profile.drops_expired and job.deadline is not None and now >= job.deadline:
                job.on_finish("dropped")
            else:
                self.active.append(job)

    def finish(self, job: Job, now: int) -> None:
        """Calls `on_finish` of a job with its result."""
        self.served += 1
        self.served_work += job.work
        draw = self.random_source.random()
        if draw < self.error_share + self.profile.error_rate:
            job.on_finish("error")
        else:
            job.on_finish(self.flaw.result(self, job, now) if self.flaw else "ok")

    def accept_job(self, now: int, job: Job) -> bool:
        """Accepts a job; False where it is rejected unprocessed. May crash a cold instance."""
        self.advance(now)
        self.arrivals.append((now, job.work))
        while self.arrivals[0][0] < now - self.tip_time:
            self.arrivals.popleft()
        if self.exceeds_cold_budget(now):
            self.has_crashed = True
        if (
            self.has_crashed
            or len(self.active) >= self.profile.slots
            and len(self.waiting) >= self.profile.queue
        ):
            return False
        job.left = job.work * (self.flaw.work_factor(self, job, now) if self.flaw else 1.0)
        self.waiting.append(job)
        self.fill_slots(now)
        return True

    def exceeds_cold_budget(self, now: int) -> bool:
        """Whether the work sent in a window exceeds the multiple of the capacity that the rule allows.

        Two of the largest jobs are not counted, as a margin for random bursts.
        """
        if self.warmth(now) >= FULLY_WARM:
            return False
        sent = [work for _, work in self.arrivals]
        window = min(self.tip_time, max(1, now - self.started))
        return sum(sent) - 2 * max(sent) > self.factor * self.capacity(now) * window

    def cancel(self, job: Job) -> None:
        """Removes a job, as far as the profile supports cancellation."""
        if self.profile.cancel != "none" and job in self.waiting:
            self.waiting.remove(job)
        elif self.profile.cancel == "all" and job in self.active:
            self.active.remove(job)

    def next_finish_time(self) -> int | None:
        """When to advance next: the next end of a job, at most 50 ms ahead; None while idle."""
        if not self.active:
            return None
        return self.updated_at + min(
            50_000, max(1, int(min(job.left for job in self.active) / self.rate(self.updated_at)) + 1)
        )

    def report(self) -> dict:
        """The load report: name -> value."""
        return {
            "util": self.util(),
            "inflight": len(self.active) + len(self.waiting),
            "queue": len(self.waiting),
            "latency_ms": self.served_work / max(1, self.served) / 1000 / self.profile.speed,
        }


class BuildFlaw:
    """The flaw of a bad build, in one of the bench's forms; `strength` is from 0 to 1."""

    def __init__(self, flaw_kind: str, strength: float, group: str, random_source):
        self.flaw_kind, self.strength, self.group, self.random_source = (
            flaw_kind,
            strength,
            group,
            random_source,
        )
        self.traffic_share = None  # for the shared form: the share of traffic that the build gets

    def scale(self, low: float, high: float) -> float:
        """Interpolates between two values by the strength."""
        return low + (high - low) * self.strength

    def work_factor(self, model, job, now) -> float:
        """The factor on the work of a job."""
        return self.scale(2.3, 3.7) if self.flaw_kind == "slow" else 1.0

    def slowness(self, model, now) -> float:
        """The factor by which the instance is slower now."""
        if self.flaw_kind == "load" and model.util() > 0.45:
            return self.scale(1.8, 3.0)
        if self.flaw_kind == "late" and now - model.started > self.scale(9.0, 5.0) * 1e6:
            return self.scale(1.8, 3.0)
        return 1.0

    def result(self, model, job, now) -> str:
        """The result of a job: ok, error or wrong."""
        share = {
            "errors": self.scale(0.08, 0.36),
            "wrong": self.scale(0.08, 0.36),
            "class": self.scale(0.44, 0.9) if job.group == self.group else 0.0,
            "load": self.scale(0.2, 0.5) if model.util() > 0.45 else 0.0,
            "late": self.scale(0.2, 0.5) if now - model.started > self.scale(9.0, 5.0) * 1e6 else 0.0,
        }.get(self.flaw_kind, 0.0)
        if self.random_source.random() >= share:
            return "ok"
        return "wrong" if self.flaw_kind == "wrong" else "error"
