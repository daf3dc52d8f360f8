"""Votes on a release, and the state of the release as the desk and other gateways report it.

A mixin of `rules.Gateway`, whose constructor sets and documents the state.
"""

from cobaltpond.decisions.judging import ASSESS_PERIOD_US, MIN_SAMPLES
from cobaltpond.decisions.stats import SECOND

MAX_BUILDS = 64  # that are remembered, beside those in use
# `READY_DELAY_US`: "on" is voted this long after a stage's instances have started. `MAX_HOLD_US`: longest
# time for which a suspect build's stage is held or waits.
READY_DELAY_US, MAX_HOLD_US = 16 * SECOND // 5, 3 * SECOND


class Voting:
    """The voting part of `rules.Gateway`. The attributes that it uses are those of that class; it is never
    instantiated by itself."""

    def on_news(self, now, build, stage, phase, cap, age, reply, answer):
        """Applies the release state that the desk reports, whose stage began `age` microseconds ago. `reply`
        marks the answer to a vote; where `answer` is not "ok" it carries no state."""
        self.last_vote_answer = answer if reply else self.last_vote_answer
        if answer != "ok":
            return
        desk_build = self.fleet.build(build)
        before = self.cap_of(desk_build)
        if (desk_build, stage) != (self.newest, self.stage):
            self.vote_hold_time, self.evidence_changed = 0, True
            self.kept_keys = {key: b for key, b in self.kept_keys.items() if b in (desk_build, self.newest)}
        self.newest = desk_build
        self.stage = stage
        self.phase = phase
        self.cap = cap
        self.stage_started_at = now - age
        self.limit_builds()
        if phase != "released" and (before is None or cap < before):
            desk_build.counted_from = now + self.settings.get("drain_grace", 0)
        self.wake_by(now + self.random_source.randbelow(ASSESS_PERIOD_US), now)
        self.dispatch_held(now)

    def on_build_blocked(self, now, build):
        """Blocks a build that another gateway reports as rolled back or with a lower cap: it gets no hits
        until this gateway's own desk connection reports a state, which the host signals by None. Such a
        report never lifts a restriction."""
        self.blocked_build = None if build is None else self.fleet.build(build)
        self.dispatch_held(now)

    def limit_builds(self):
        """Forgets builds where lists and news have named very many: memory must not grow with them."""
        if len(self.fleet.builds) <= MAX_BUILDS:
            return
        voted = self.last_vote[0] if self.last_vote else None
        earlier = self.newest.earlier if self.newest else None
        in_use = [self.newest, earlier, self.blocked_build, voted, *self.kept_keys.values()]
        self.fleet.forget_builds([build for build in in_use if build is not None])

    def is_ready_to_advance(self, now):
        """Returns whether the stage has had its delay since the last listed start of its instances, or since
        the latest time at which they can have started."""
        starts = [i.started or 0 for i in self.fleet.up if i.build is self.newest]
        expected = int(
            self.newest.listed_instances * (self.settings.get("stage_shares") or [1.0])[self.stage] + 0.5
        )
        since = (
            max(starts, default=0) if len(starts) >= max(1, expected) else self.stage_started_at + 8 * SECOND
        )
        return now - max(since, self.stage_started_at) >= READY_DELAY_US

    def vote(self, now):
        """Assesses the newest build and votes: "back" if it has ever failed, else "on" after the delay. For a
        suspect build it waits, for `MAX_HOLD_US` in a stage at most. Where the gate is a clock, it votes
        "hold" meanwhile and never "on"."""
        build = self.newest
        passed = now - self.last_assessed
        self.last_assessed = now
        changed = self.evidence_changed
        self.evidence_changed = False
        if build is None or self.phase not in ("trial", "released") or build.earlier is None:
            return
        self.verdict = self.assess(build, now) if changed else self.verdict
        build.condemned = build.condemned or self.verdict == "fail"
        seen, beside = sum(map(len, build.samples.values())), self.settings.get("layout") == "beside"
        # where a release replaces instances in place, it adds no capacity that traffic could move to
        self.build_trusted = beside and self.verdict == "fine" and seen >= 5 * MIN_SAMPLES
        clock, verdict = self.settings.get("gate") == "clock", "none"
        if build.condemned:
            verdict = "back"
        elif self.phase == "trial" and (clock or self.is_ready_to_advance(now)):
            if self.verdict == "suspect" and self.vote_hold_time < MAX_HOLD_US:
                self.vote_hold_time += passed
                verdict = "hold" if clock else "none"
            elif not clock:
                verdict = "on"
        self.submit_vote(build, verdict, now)

    def submit_vote(self, build, verdict, now):
        """Sends a vote once, and again well before it expires or when a lost answer cannot come any more.
        "none" is sent only to withdraw a "hold"."""
        new_vote = (build, self.stage if verdict in ("on", "hold") else 0, verdict)
        if verdict == "none" and (
            not self.last_vote or self.last_vote[0] is not build or self.last_vote[2] != "hold"
        ):
            return
        waits = {
            "ok": self.settings.get("vote_life", SECOND) // 2,
            None: self.settings.get("vote_wait", SECOND),
        }
        overdue = now - self.last_vote_at >= waits.get(self.last_vote_answer, SECOND // 2)
        if overdue or new_vote != self.last_vote and self.last_vote_answer is not None:
            self.last_vote, self.last_vote_at, self.last_vote_answer = new_vote, now, None
            self.host.cast_vote(build.number, self.stage, verdict)
