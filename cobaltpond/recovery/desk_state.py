"""Detects state loss of a restarted release desk and chooses the state to resume from. Does no I/O.

Each gateway and agent keeps the newest mark (epoch, turn) of the desk state that it acted on, and reports it
when it reaches the desk again. A mark is the position of a state in the desk's history: it rises with each
published state. The desk's journal holds the mark that the desk published last. A reported mark that is later
than the journal's, or that belongs to an epoch the journal does not know, shows that the journal was lost,
truncated or restored from a copy.

Until enough members have reported, the desk publishes no release state, accepts no vote and gives no order.
Then it does one of three things: it carries on from the journal; or, where the journal is older, it resumes
from the safest state that is consistent with all reports; or, where reports contradict each other, it waits
for the operator.
"""

from dataclasses import dataclass, field

COLLECTING, CARRIED_ON, RESUMED, WAITING = "collecting", "carried on", "resumed", "waiting"
TRIAL, GOING_BACK, RELEASED, WITHDRAWN = "trial", "going back", "released", "withdrawn"
PHASES = (TRIAL, GOING_BACK, RELEASED, WITHDRAWN)
ROLLBACK_PHASES = (GOING_BACK, WITHDRAWN)
MAX_GONE_BUILDS = 16  # builds that a report may name as rolled back
NO_MARK = (0, 0)


@dataclass(frozen=True)
class SeenState:
    """The newest desk state that one gateway or agent acted on.

    `mark` is (epoch, turn), `cap` a share from 0 to 1, `stable` the build to roll back to (None: not known),
    and `rolled_back_builds` holds the builds that this member saw being rolled back.
    """

    mark: tuple[int, int]
    build: int = 0
    stage: int = 0
    phase: str = RELEASED
    cap: float = 1.0
    stable: int | None = None
    rolled_back_builds: tuple[int, ...] = ()

    @property
    def state(self) -> tuple:
        """(build, stage, phase): what two members that report the same mark must agree on."""
        return self.build, self.stage, self.phase


def parse_seen_state(document) -> SeenState | None:
    """Reads the state that a gateway or an agent reports; None if it has seen nothing.

    Raises ValueError if a field is missing or malformed. A cap outside 0 to 1 is clamped, and builds in
    `gone` beyond `MAX_GONE_BUILDS` are ignored.
    """
    if document is None:
        return None
    try:
        epoch, turn = document["mark"]
        stable = document.get("stable")
        rolled_back_builds = [int(build) for build in document.get("gone", ())][:MAX_GONE_BUILDS]
        if document["phase"] not in PHASES:
            raise ValueError(f"phase {document['phase']!r}")
        return SeenState(
            (int(epoch), int(turn)),
            int(document["build"]),
            int(document["stage"]),
            document["phase"],
            min(1.0, max(0.0, float(document["cap"]))),
            None if stable is None else int(stable),
            tuple(rolled_back_builds),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed seen state: {error!r}") from None


@dataclass(frozen=True)
class ResumePlan:
    """The release state to resume from.

    `stable` is the build to roll back to (None: not known), `condemned` holds builds that must never be
    started again, and `cap` is the highest share of traffic that may be published.
    """

    build: int
    stage: int
    phase: str
    stable: int | None
    condemned: tuple[int, ...] = ()
    cap: float = 1.0


@dataclass
class DeskStateRecovery:
    """Collects the reported states after a restart of the desk and decides how it resumes.

    `journal_mark` is the mark that the journal published last, None without a journal record. `expected`
    names the members to wait for (any hashable values), `caps` are the caps of the stages, and `now` and
    `max_collect_time` are in microseconds: collecting ends after `max_collect_time` even if members are
    missing.
    """

    journal_mark: tuple[int, int] | None
    expected: tuple
    caps: tuple[float, ...]
    now: int
    max_collect_time: int
    state: str = COLLECTING
    states: dict = field(default_factory=dict)
    plan: ResumePlan | None = None
    reason: str = ""
    collect_deadline: int = 0

    def __post_init__(self):
        """Sets the deadline of the collecting."""
        self.collect_deadline = self.now + self.max_collect_time

    # --- collecting -----------------------------------------------------------------------------------------

    def add_state(self, reporter, seen: SeenState | None) -> None:
        """Keeps the newest report of each member; None, from one that has seen nothing, is a report too."""
        known = self.states.get(reporter)
        if known is None or seen is not None and seen.mark >= known.mark:
            self.states[reporter] = seen

    def missing(self) -> list:
        """Returns the expected members that have not reported yet."""
        return [reporter for reporter in self.expected if reporter not in self.states]

    def is_due(self, now: int) -> bool:
        """Returns whether collecting can end: all members have reported, or the deadline has passed."""
        return self.state == COLLECTING and (now >= self.collect_deadline or not self.missing())

    def newer_states(self) -> dict:
        """Returns the reports, by member, with a later mark than the journal published last."""
        journal_last = self.journal_mark or NO_MARK
        return {
            reporter: seen
            for reporter, seen in self.states.items()
            if seen is not None and seen.mark > journal_last
        }

    def highest_epoch(self) -> int:
        """Returns the highest epoch in any report, 0 without one. It and all lower epochs must never be
        reused.
        """
        return max([seen.mark[0] for seen in self.states.values() if seen is not None], default=0)

    # --- concluding -----------------------------------------------------------------------------------------

    def conclude(self, running: tuple[int, ...] = ()) -> str:
        """Ends the collecting and returns the new state.

        `running` holds the builds that hosts report as running. They count only if there is neither a journal
        nor a reported mark: a single build is then taken as released, several wait for the operator.
        """
        newer_reports = self.newer_states()
        if newer_reports:
            return self.evaluate_newer(newer_reports)
        builds = sorted(set(running))
        if self.journal_mark is None and len(builds) == 1:
            return self.resolve(
                RESUMED,
                ResumePlan(builds[0], 0, RELEASED, None),
                "no member knows of a release; one build runs",
            )
        if self.journal_mark is None and builds:
            return self.resolve(
                WAITING,
                ResumePlan(builds[-1], 0, TRIAL, builds[0], (), self.caps[0]),
                f"no member knows of a release, and builds {builds} run",
            )
        return self.resolve(CARRIED_ON, None, "no report is newer than the journal")

    def evaluate_newer(self, newer_reports: dict) -> str:
        """Resumes from the reports at the newest mark, or waits for the operator if reports contradict."""
        newest_mark = max(seen.mark for seen in newer_reports.values())
        newest_reports = {
            reporter: seen for reporter, seen in newer_reports.items() if seen.mark == newest_mark
        }
        rolled_back_builds = sorted(
            {
                build
                for seen in self.states.values()
                if seen is not None
                for build in (
                    *seen.rolled_back_builds,
                    *([seen.build] if seen.phase in ROLLBACK_PHASES else []),
                )
            }
        )
        states = sorted({seen.state for seen in newest_reports.values()})
        if len(states) > 1:
            return self.resolve(
                WAITING,
                self.contested_plan(newer_reports),
                f"reports contradict at mark {list(newest_mark)}: {self.describe(newest_reports)}",
            )
        newest_state = next(iter(newest_reports.values()))
        later_builds = {
            reporter: seen
            for reporter, seen in newer_reports.items()
            if seen.build > newest_state.build and seen.build not in rolled_back_builds
        }
        if later_builds:
            return self.resolve(
                WAITING,
                self.contested_plan(newer_reports),
                f"the newest mark is of build {newest_state.build}, but {self.describe(later_builds)}",
            )
        stable_builds = sorted({seen.stable for seen in newest_reports.values() if seen.stable is not None})
        if len(stable_builds) > 1:
            return self.resolve(
                WAITING,
                self.contested_plan(newer_reports),
                f"builds {stable_builds} are each reported as the stable one",
            )
        return self.resolve(
            RESUMED,
            self.safest_plan(
                newest_state, stable_builds[0] if stable_builds else None, rolled_back_builds, newer_reports
            ),
            f"{len(newer_reports)} reports are newer than the journal, up to mark {list(newest_mark)}",
        )

    def safest_plan(
        self, newest_state: SeenState, stable: int | None, rolled_back_builds: list, newer_reports: dict
    ) -> ResumePlan:
        """Returns the plan with no cap above the lowest reported one for that build.

        Its stage is not above what this cap allows. A build that any member saw being rolled back is rolled
        back.
        """
        lowest_cap = min(
            [seen.cap for seen in newer_reports.values() if seen.build == newest_state.build],
            default=newest_state.cap,
        )
        phase, stage = newest_state.phase, min(newest_state.stage, len(self.caps) - 1)
        if newest_state.build in rolled_back_builds and phase not in ROLLBACK_PHASES:
            phase = GOING_BACK
        if phase == TRIAL:
            allowed_stages = [n for n in range(stage + 1) if self.caps[n] <= lowest_cap + 1e-6]
            stage = allowed_stages[-1] if allowed_stages else 0
            phase = TRIAL if allowed_stages else GOING_BACK
        return ResumePlan(
            newest_state.build,
            stage,
            phase,
            stable,
            tuple(rolled_back_builds),
            lowest_cap if phase == TRIAL else 1.0,
        )

    def contested_plan(self, newer_reports: dict) -> ResumePlan:
        """Returns what is published while the desk waits for the operator: the newest build on trial.

        Its cap is the lowest that was reported for any build, or 0 if a report is of a rollback or saw this
        build being rolled back.
        """
        build = max(seen.build for seen in newer_reports.values())
        rolled_back = any(
            seen.phase in ROLLBACK_PHASES or build in seen.rolled_back_builds
            for seen in newer_reports.values()
        )
        stable_builds = [
            seen.stable for seen in newer_reports.values() if seen.stable is not None and seen.stable < build
        ]
        return ResumePlan(
            build,
            0,
            TRIAL,
            min(stable_builds, default=None),
            (),
            0.0 if rolled_back else min(seen.cap for seen in newer_reports.values()),
        )

    def resolve(self, state: str, plan: ResumePlan | None, reason: str) -> str:
        """Sets the outcome and its reason, which the operator reads; returns `state`."""
        self.state, self.plan, self.reason = state, plan, reason
        return state

    def describe(self, reports: dict) -> str:
        """Formats at most eight reports as one line of text for the operator."""
        rows = [
            f"{reporter}: build {w.build} stage {w.stage} {w.phase}"
            for reporter, w in sorted(reports.items(), key=str)
        ]
        return "; ".join(rows[:8]) + (f"; and {len(rows) - 8} more" if len(rows) > 8 else "")

    # --- afterwards -----------------------------------------------------------------------------------------

    def classify_late_report(self, reporter, seen: SeenState | None, build: int, epoch: int) -> str:
        """Evaluates a report that arrives after collecting has ended, from a member that was unreachable.

        Returns "" if it holds nothing new or comes from this desk itself (`epoch`: the desk's epoch since its
        restart), "back" if the member saw the current `build` being rolled back, and "waiting" if it saw a
        state that nobody else reported.
        """
        if (
            seen is None
            or self.state == COLLECTING
            or seen.mark <= (self.journal_mark or NO_MARK)
            or seen.mark[0] >= epoch
        ):
            return ""
        newest_before = max([w.mark for w in self.states.values() if w is not None], default=NO_MARK)
        self.add_state(reporter, seen)
        if build in seen.rolled_back_builds or seen.build == build and seen.phase in ROLLBACK_PHASES:
            return "back"
        if seen.mark <= newest_before or seen.build < build:
            return ""
        if self.plan is not None and seen.state == (self.plan.build, self.plan.stage, self.plan.phase):
            return ""
        self.resolve(
            WAITING,
            self.contested_plan({reporter: seen}),
            f"late report with mark {list(seen.mark)}: {self.describe({reporter: seen})}",
        )
        return WAITING
