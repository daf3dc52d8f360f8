"""How the gateway votes, and what it holds of the release: news of the desk, and words that shut a build.

A part of `rules.Gateway`, which has the state.
"""

from cobaltpond.decisions.judging import MIN_SAMPLES, ASSESS_PERIOD_US
from cobaltpond.decisions.stats import SECOND

READY_DELAY_US, MAX_HOLD_US = (
    16 * SECOND // 5,
    3 * SECOND,
)  # "on" so long after a start; so long a stage is held


class Voting:
    def on_news(self, now, build, stage, phase, cap, age, reply, answer):
        self.cast_answer = answer if reply else self.cast_answer
        if answer != "ok":
            return
        told = self.fleet.build(build)
        before = self.cap_of(told)
        if (told, stage) != (self.newest, self.stage):
            self.vote_hold_time, self.evidence_changed = 0, True
            self.kept_keys = {key: b for key, b in self.kept_keys.items() if b in (told, self.newest)}
        self.newest, self.stage, self.phase, self.cap, self.stage_began = told, stage, phase, cap, now - age
        if phase != "released" and (before is None or cap < before):
            told.counted_from = now + self.settings.get("drain_grace", 0)
        self.wake_by(now + self.random_source.randbelow(ASSESS_PERIOD_US), now)
        self.dispatch_held(now)

    def on_shut(self, now, build):
        """Another gateway has heard that this build goes back, or gets less: nothing more is sent there until
        our own desk has spoken (None). No such word ever opens what is shut."""
        self.blocked_build = None if build is None else self.fleet.build(build)
        self.dispatch_held(now)

    def is_ready_to_advance(self, now):
        """The design's patience after the stage's last listed start, or the latest it can have been."""
        starts = [i.started or 0 for i in self.fleet.up if i.build is self.newest]
        due = int(
            self.newest.listed_instances * (self.settings.get("stage_shares") or [1.0])[self.stage] + 0.5
        )
        since = max(starts, default=0) if len(starts) >= max(1, due) else self.stage_began + 8 * SECOND
        return now - max(since, self.stage_began) >= READY_DELAY_US

    def vote(self, now):
        """Back on any fail; else on after patience; a suspect build waits, or is held under a clock."""
        build, passed, self.last_assessed, fresh = (
            self.newest,
            now - self.last_assessed,
            now,
            self.evidence_changed,
        )
        self.evidence_changed = False
        if build is None or self.phase not in ("trial", "released") or build.earlier is None:
            return
        self.verdict = self.assess(build, now) if fresh else self.verdict
        build.condemned = build.condemned or self.verdict == "fail"
        seen, beside = sum(map(len, build.samples.values())), self.settings.get("layout") == "beside"
        self.build_trusted = (
            beside and self.verdict == "fine" and seen >= 5 * MIN_SAMPLES
        )  # in place, no room to gain
        clock, want = self.settings.get("gate") == "clock", "none"
        if build.condemned:
            want = "back"
        elif self.phase == "trial" and (clock or self.is_ready_to_advance(now)):
            if self.verdict == "suspect" and self.vote_hold_time < MAX_HOLD_US:
                self.vote_hold_time += passed
                want = "hold" if clock else "none"
            elif not clock:
                want = "on"
        self.cast_ballot(build, want, now)

    def cast_ballot(self, build, want, now):
        """Cast once; again well before it runs out, or when a lost answer cannot come any more."""
        ballot = (build, self.stage if want in ("on", "hold") else 0, want)
        if want == "none" and (
            not self.last_ballot or self.last_ballot[0] is not build or self.last_ballot[2] != "hold"
        ):
            return
        waits = {
            "ok": self.settings.get("vote_life", SECOND) // 2,
            None: self.settings.get("vote_wait", SECOND),
        }
        late = now - self.last_ballot_at >= waits.get(self.cast_answer, SECOND // 2)
        if late or ballot != self.last_ballot and self.cast_answer is not None:
            self.last_ballot, self.last_ballot_at, self.cast_answer = ballot, now, None
            self.host.cast_vote(build.number, self.stage, want)
