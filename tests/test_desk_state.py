"""State loss of a desk whose journal was lost, truncated or restored: what it resumes from, at generated
moments.
"""

import os
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cobaltpond.desk.stages import GOING_BACK, RELEASED, TRIAL, WITHDRAWN, ReleaseRefusedError, ReleaseStages
from cobaltpond.recovery.desk_state import (
    CARRIED_ON,
    COLLECTING,
    RESUMED,
    WAITING,
    DeskStateRecovery,
    SeenState,
    parse_seen_state,
)
from cobaltpond.settings.sections import ReleaseSettings

EXAMPLES = int(os.environ.get("COBALTPOND_EXAMPLES", "100"))
S = 1_000_000
CAPS = (0.2, 0.6, 1.0)
SEEN = SeenState((5, 7), 43, 1, TRIAL, 0.6, 42, ())


def new_recovery(journal_mark=(5, 3), expected=("g0", "g1", "g2")):
    return DeskStateRecovery(journal_mark, expected, CAPS, 0, 2 * S)


def conclude_reports(reports, journal_mark=(5, 3), running=()):
    recovery = new_recovery(journal_mark)
    for n, seen in enumerate(reports):
        recovery.add_state(f"g{n}", seen)
    return recovery, recovery.conclude(running)


# --- collecting ---------------------------------------------------------------------------------------------


def test_collecting_waits_for_all_expected_members_up_to_its_deadline():
    recovery = new_recovery()
    recovery.add_state("g0", None)
    recovery.add_state("g2", SEEN)
    assert recovery.missing() == ["g1"] and not recovery.is_due(2 * S - 1) and recovery.is_due(2 * S)
    recovery.add_state("g1", None)
    assert recovery.is_due(0) and recovery.state == COLLECTING
    recovery.add_state(
        "g2", replace(SEEN, mark=(5, 6), build=9)
    )  # an older report of the same member, delayed
    assert recovery.states["g2"] == SEEN


def test_a_journal_as_new_as_all_reports_is_carried_on():
    for reports in ([], [None], [replace(SEEN, mark=(5, 3)), replace(SEEN, mark=(5, 1), build=41), None]):
        recovery, state = conclude_reports(reports)
        assert state == CARRIED_ON and recovery.plan is None


# --- concluding ---------------------------------------------------------------------------------------------


def test_an_older_journal_resumes_from_the_reports_at_the_lowest_cap():
    recovery, state = conclude_reports([SEEN, replace(SEEN, mark=(5, 6), stage=0, cap=0.2), None])
    assert state == RESUMED and (
        recovery.plan.build,
        recovery.plan.stage,
        recovery.plan.phase,
        recovery.plan.stable,
    ) == (
        43,
        0,
        TRIAL,
        42,
    )
    recovery, state = conclude_reports([SEEN, SEEN])
    assert (recovery.plan.stage, recovery.plan.cap) == (1, 0.6)
    recovery, state = conclude_reports([SEEN, replace(SEEN, mark=(5, 6), cap=0.1)])
    assert recovery.plan.phase == GOING_BACK  # not even the first stage is within the cap


@pytest.mark.parametrize(
    "other",
    [
        replace(SEEN, mark=(5, 6), phase=GOING_BACK),
        replace(SEEN, mark=(4, 9), build=41, rolled_back_builds=(43,)),
        replace(SEEN, mark=(5, 7), rolled_back_builds=(43, 40)),
    ],
)
def test_a_build_that_any_member_saw_rolled_back_is_rolled_back(other):
    recovery, state = conclude_reports([SEEN, other])
    assert state == RESUMED and recovery.plan.phase == GOING_BACK and 43 in recovery.plan.condemned


@pytest.mark.parametrize(
    "reports, why",
    [
        ([SEEN, replace(SEEN, stage=2)], "g1: build 43 stage 2 trial"),
        ([SEEN, replace(SEEN, phase=RELEASED)], "released"),
        ([SEEN, replace(SEEN, stable=41)], "[41, 42] are each reported as the stable one"),
        ([replace(SEEN, mark=(6, 1), build=42, phase=RELEASED), SEEN], "of build 42, but g1: build 43"),
    ],
)
def test_contradicting_reports_are_named_and_wait_for_the_operator(reports, why):
    recovery, state = conclude_reports(reports)
    assert state == WAITING and why in recovery.reason
    assert recovery.plan.build == 43 and recovery.plan.cap <= min(seen.cap for seen in reports)


def test_without_journal_and_reports_a_single_running_build_is_released_and_two_wait_for_the_operator():
    recovery, state = conclude_reports([None], None, (42, 42))
    assert state == RESUMED and (recovery.plan.build, recovery.plan.phase) == (42, RELEASED)
    recovery, state = conclude_reports([None], None, (43, 42))
    assert (
        state == WAITING
        and "[42, 43]" in recovery.reason
        and (recovery.plan.stable, recovery.plan.cap) == (42, CAPS[0])
    )
    assert conclude_reports([], None)[1] == CARRIED_ON


def test_a_late_report_of_a_member_that_was_unreachable():
    recovery, _ = conclude_reports([SEEN])
    assert (
        recovery.classify_late_report("g2", None, 43, 6)
        == recovery.classify_late_report("g2", replace(SEEN, mark=(5, 2)), 43, 6)
        == ""
    )
    assert (
        recovery.classify_late_report("g2", replace(SEEN, mark=(6, 9), build=44), 43, 6) == ""
    )  # published by this desk since its restart
    assert (
        recovery.classify_late_report(
            "g2", replace(SEEN, mark=(5, 6), build=42, phase=RELEASED, rolled_back_builds=(43,)), 43, 6
        )
        == "back"
    )
    recovery, _ = conclude_reports([SEEN])
    assert recovery.classify_late_report("g2", SEEN, 43, 6) == ""
    assert (
        recovery.classify_late_report("g2", replace(SEEN, mark=(5, 9), build=44), 43, 6) == "waiting"
        and "build 44" in recovery.reason
    )


@pytest.mark.parametrize(
    "bad",
    [
        7,
        {},
        {"mark": [1]},
        {"mark": ["x", 1], "build": 1, "stage": 0, "phase": TRIAL, "cap": 1},
        {"mark": [1, 1], "build": 1, "stage": 0, "phase": "no", "cap": 1},
        {"mark": [1, 1], "build": 1, "stage": 0, "phase": TRIAL, "cap": None},
    ],
)
def test_a_malformed_report_is_refused(bad):
    with pytest.raises(ValueError):
        parse_seen_state(bad)
    assert parse_seen_state(None) is None


# --- whole releases, cut at random moments ------------------------------------------------------------------

RELEASE = ReleaseSettings(
    gate="any",
    layout="beside",
    shares=[0.25, 0.5, 1.0],
    caps=list(CAPS),
    exposure_window=2 * S,
    vote_life=60 * S,
    vote_wait=S,
    dwell=0,
    settle=0,
    step=S,
    start_within=S,
    drain_time=0,
)
ACTS = st.lists(st.sampled_from(["offer", "on", "on", "on", "back", "wait"]), min_size=1, max_size=25)


class SimulatedDesk:
    """The stages of a desk with a platform that executes orders at once; keeps all that was published."""

    def __init__(self):
        self.stages, self.now, self.serial = ReleaseStages(RELEASE, [f"p{n}" for n in range(4)], 41), 0, 0
        self.obey_orders()
        self.journal = [self.journal_record(1)]
        self.published = []  # every published state, in order

    def journal_record(self, epoch):
        return {**self.stages.dump(), "told": [epoch, self.stages.turns]}

    def obey_orders(self):
        for place in self.stages.places:
            for build in self.stages.desired_builds()[place]:
                self.stages.update_instance(self.now, f"{place}/{build}", place, build, "up")
            for id in [
                m.id
                for m in self.stages.instances.values()
                if m.place == place and m.build not in self.stages.desired_builds()[place]
            ]:
                self.stages.update_instance(self.now, id, place, 0, "gone")

    def act(self, what, epoch):
        self.now += S
        stages = self.stages
        try:
            if what == "offer":
                stages.offer_build(self.now, max([stages.build, *stages.offered]) + 1)
            elif what != "wait":
                stages.record_vote(self.now, 0, stages.build, stages.stage, what)
        except ReleaseRefusedError:
            pass
        for _ in range(3):
            stages.tick(self.now)
            self.obey_orders()
        self.journal.append(self.journal_record(epoch))
        news = stages.news(self.now)
        self.published.append(
            SeenState(
                (epoch, stages.turns),
                news["build"],
                news["stage"],
                news["phase"],
                news["cap"],
                stages.stable,
                tuple(stages.condemned),
            )
        )


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(
    ACTS, st.integers(0, 1000), st.integers(0, 1000), st.sampled_from(["lost", "cut", "rolled back"]), ACTS
)
def test_state_loss_at_any_moment_exceeds_no_cap_and_starts_no_condemned_build(acts, cut, behind, how, after):
    """Three gateways: one has received everything, one is `behind`, one has just started.

    The resumed desk publishes no cap above the reported ones, starts no build that was rolled back, and uses
    no mark twice.
    """
    desk = SimulatedDesk()
    for what in acts:
        desk.act(what, 1)
    reports = desk.published
    last = reports[-1]
    older = reports[max(0, len(reports) - 1 - behind % 3)]
    kept = None if how == "lost" else desk.journal[cut % len(desk.journal)]
    stages = ReleaseStages(
        RELEASE, [f"p{n}" for n in range(4)], max(m.build for m in desk.stages.instances.values())
    )
    if kept is not None:
        stages.load(kept, desk.now)
    recovery = DeskStateRecovery(tuple(kept["told"]) if kept else None, ("g0", "g1", "g2"), CAPS, desk.now, S)
    for name, seen in (("g0", last), ("g1", older), ("g2", None)):
        recovery.add_state(name, seen)
    state = recovery.conclude()
    assert state in (CARRIED_ON, RESUMED), recovery.reason
    if state == RESUMED:
        stages.resume(desk.now, recovery.plan, "after a loss")
    else:
        assert tuple(kept["told"]) >= last.mark
    epoch = max(2, recovery.highest_epoch() + 1)
    lowest = min(
        [
            w.cap
            for w in (last, older)
            if w.build == last.build and w.mark > (recovery.journal_mark or (0, 0))
        ],
        default=last.cap,
    )
    assert stages.build == last.build and (stages.phase == RELEASED) == (last.phase == RELEASED)
    if stages.phase == TRIAL:
        assert stages.cap() <= lowest + 1e-9 and stages.build not in last.rolled_back_builds
    if last.phase in (GOING_BACK, WITHDRAWN):
        assert stages.phase in (GOING_BACK, WITHDRAWN) and stages.stable == last.stable
    desk.stages, rolled_back_builds = stages, set(last.rolled_back_builds)
    desk.obey_orders()
    began = len(desk.published)
    for what in after:
        desk.act(what, epoch)
    marks = [seen.mark for seen in desk.published]
    assert marks == sorted(marks) and all(seen.mark > last.mark for seen in desk.published[began:])
    for seen in desk.published[began:]:
        assert seen.build not in rolled_back_builds or seen.phase in (GOING_BACK, WITHDRAWN)
        rolled_back_builds |= set(seen.rolled_back_builds)


def test_a_journal_of_the_previous_version_is_read():
    stages = ReleaseStages(RELEASE, ["p0"], 41)
    old = {
        name: value
        for name, value in stages.dump().items()
        if name not in ReleaseStages.OPTIONAL_STORED_FIELDS
    }
    stages.load(old, S)
    assert (stages.turns, stages.condemned) == (0, [])


def test_a_build_superseded_by_a_later_one_is_not_condemned():
    desk = SimulatedDesk()
    for what in ("offer", "offer"):
        desk.act(what, 1)
    assert desk.stages.condemned == [] and desk.stages.build == 43
    desk.act("back", 1)
    assert desk.stages.condemned == [43]
