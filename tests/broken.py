"""Gateways with a planted fault, one for each rule; a scenario starts them with `--decisions broken:NAME`."""

from cobaltpond.decisions.records import FOREVER, HitState
from cobaltpond.decisions.rules import Gateway


class LosesHits(Gateway):
    """Never answers every fortieth hit, with the host's answer to overdue hits turned off."""

    def __init__(self, host, *rest):
        host.answer_overdue = lambda hit: None
        super().__init__(host, *rest)

    def on_hit(self, now, id, *rest):
        if id % 40:
            super().on_hit(now, id, *rest)


class RunsTwice(Gateway):
    """Retries mutating hits that failed or are slow at another instance."""

    def refusal_reason(self, hit, now):
        return None if len(hit.forwards) < 3 and now + 2 * self.tick < hit.deadline else "broken"

    def check_overdue_forwards(self, now):
        for hit in [h for h in self.hits.values() if h.state == HitState.FORWARDED]:
            if now - hit.forwards[-1].sent > 100_000 and not hit.forwards[-1].cancelled:
                hit.forwards[-1].cancelled = True
                self.host.cancel_forward(hit.id, len(hit.forwards) - 1)
        self.wake_by(now + 20_000, now)


class ForgetsDrains(Gateway):
    """Sends hits to instances that are draining."""

    def on_list(self, now, whole, rows):
        super().on_list(
            now,
            whole,
            [{**row, "state": "up" if row["state"] == "draining" else row["state"]} for row in rows],
        )


class CrushesCold(Gateway):
    """Prefers cold instances and ignores their limits."""

    def is_eligible(self, hit, instance, now):
        return self.exposure_allows(instance.build, hit.group, now)

    def queue_cost(self, instance, now):
        return -FOREVER if instance.warmth(now) < 1 else super().queue_cost(instance, now)


class IgnoresCaps(Gateway):
    """Sends hits to the newest build beyond its exposure cap."""

    def is_eligible(self, hit, instance, now):
        return instance.own_inflight < 8

    def exposure_allows(self, build, group, now):
        return True

    def queue_cost(self, instance, now):
        return super().queue_cost(instance, now) - 5 * (instance.build is self.newest)
