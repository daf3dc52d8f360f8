"""A desk whose journal was lost, cut or put back from a copy: what it goes on from, at drawn moments of
releases."""

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


def returning(told=(5, 3), expected=("g0", "g1", "g2")):
    return DeskStateRecovery(told, expected, CAPS, 0, 2 * S)


def concluded(reports, told=(5, 3), running=()):
    one = returning(told)
    for n, seen in enumerate(reports):
        one.add_state(f"g{n}", seen)
    return one, one.conclude(running)


# --- collecting ---------------------------------------------------------------------------------------------


def test_it_waits_for_all_that_it_spoke_to_but_no_longer_than_its_bound():
    one = returning()
    one.add_state("g0", None)
    one.add_state("g2", SEEN)
    assert one.missing() == ["g1"] and not one.is_due(2 * S - 1) and one.is_due(2 * S)
    one.add_state("g1", None)
    assert one.is_due(0) and one.state == COLLECTING
    one.add_state("g2", replace(SEEN, mark=(5, 6), build=9))  # an older word of the same one, come late
    assert one.states["g2"] == SEEN


def test_a_journal_that_told_all_that_was_seen_is_carried_on():
    for reports in ([], [None], [replace(SEEN, mark=(5, 3)), replace(SEEN, mark=(5, 1), build=41), None]):
        one, state = concluded(reports)
        assert state == CARRIED_ON and one.plan is None


# --- concluding ---------------------------------------------------------------------------------------------


def test_an_older_journal_goes_on_from_what_was_seen_at_no_cap_above_the_lowest_heard():
    one, state = concluded([SEEN, replace(SEEN, mark=(5, 6), stage=0, cap=0.2), None])
    assert state == RESUMED and (one.plan.build, one.plan.stage, one.plan.phase, one.plan.stable) == (
        43,
        0,
        TRIAL,
        42,
    )
    one, state = concluded([SEEN, SEEN])
    assert (one.plan.stage, one.plan.cap) == (1, 0.6)
    one, state = concluded([SEEN, replace(SEEN, mark=(5, 6), cap=0.1)])
    assert one.plan.phase == GOING_BACK  # not even the first stage fits


@pytest.mark.parametrize(
    "other",
    [
        replace(SEEN, mark=(5, 6), phase=GOING_BACK),
        replace(SEEN, mark=(4, 9), build=41, gone=(43,)),
        replace(SEEN, mark=(5, 7), gone=(43, 40)),
    ],
)
def test_a_build_that_anybody_saw_go_back_goes_back(other):
    one, state = concluded([SEEN, other])
    assert state == RESUMED and one.plan.phase == GOING_BACK and 43 in one.plan.condemned


@pytest.mark.parametrize(
    "reports, why",
    [
        ([SEEN, replace(SEEN, stage=2)], "g1: build 43 stage 2 trial"),
        ([SEEN, replace(SEEN, phase=RELEASED)], "released"),
        ([SEEN, replace(SEEN, stable=41)], "the one to return to"),
        ([replace(SEEN, mark=(6, 1), build=42, phase=RELEASED), SEEN], "of build 42, but g1: build 43"),
    ],
)
def test_words_that_contradict_are_named_and_wait_for_the_operator(reports, why):
    one, state = concluded(reports)
    assert state == WAITING and why in one.why
    assert one.plan.build == 43 and one.plan.cap <= min(seen.cap for seen in reports)


def test_without_journal_and_words_one_running_build_is_the_released_one_and_two_are_for_the_operator():
    one, state = concluded([None], None, (42, 42))
    assert state == RESUMED and (one.plan.build, one.plan.phase) == (42, RELEASED)
    one, state = concluded([None], None, (43, 42))
    assert state == WAITING and "[42, 43]" in one.why and (one.plan.stable, one.plan.cap) == (42, CAPS[0])
    assert concluded([], None)[1] == CARRIED_ON


def test_a_late_word_of_somebody_who_was_cut_off():
    one, _ = concluded([SEEN])
    assert one.late_state("g2", None, 43, 6) == one.late_state("g2", replace(SEEN, mark=(5, 2)), 43, 6) == ""
    assert (
        one.late_state("g2", replace(SEEN, mark=(6, 9), build=44), 43, 6) == ""
    )  # its own word, since it is back
    assert (
        one.late_state("g2", replace(SEEN, mark=(5, 6), build=42, phase=RELEASED, gone=(43,)), 43, 6)
        == "back"
    )
    one, _ = concluded([SEEN])
    assert one.late_state("g2", SEEN, 43, 6) == ""
    assert (
        one.late_state("g2", replace(SEEN, mark=(5, 9), build=44), 43, 6) == "waiting"
        and "build 44" in one.why
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
def test_a_word_that_makes_no_sense_is_none(bad):
    with pytest.raises(ValueError):
        parse_seen_state(bad)
    assert parse_seen_state(None) is None


# --- whole releases, cut at drawn moments -------------------------------------------------------------------

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


class Told:
    """A desk's stages with a platform that obeys at once; after each act, what is told, and who hears of
    it."""

    def __init__(self):
        self.stages, self.now, self.serial = ReleaseStages(RELEASE, [f"p{n}" for n in range(4)], 41), 0, 0
        self.platform()
        self.journal = [self.record(1)]
        self.told = []  # every word ever told, in order

    def record(self, epoch):
        return {**self.stages.dump(), "told": [epoch, self.stages.turns]}

    def platform(self):
        for place in self.stages.places:
            for build in self.stages.wanted()[place]:
                self.stages.update_instance(self.now, f"{place}/{build}", place, build, "up")
            for id in [
                m.id
                for m in self.stages.instances.values()
                if m.place == place and m.build not in self.stages.wanted()[place]
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
            self.platform()
        self.journal.append(self.record(epoch))
        news = stages.news(self.now)
        self.told.append(
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
def test_state_lost_at_any_moment_passes_no_cap_and_starts_no_condemned_build(acts, cut, behind, how, after):
    """Three gateways: one heard all, one is `behind`, one has begun anew. What goes on from there offers
    nothing above what was heard, brings nothing back that went back, and uses no mark twice."""
    world = Told()
    for what in acts:
        world.act(what, 1)
    reports = world.told
    last = reports[-1]
    older = reports[max(0, len(reports) - 1 - behind % 3)]
    kept = None if how == "lost" else world.journal[cut % len(world.journal)]
    stages = ReleaseStages(
        RELEASE, [f"p{n}" for n in range(4)], max(m.build for m in world.stages.instances.values())
    )
    if kept is not None:
        stages.load(kept, world.now)
    one = DeskStateRecovery(tuple(kept["told"]) if kept else None, ("g0", "g1", "g2"), CAPS, world.now, S)
    for name, seen in (("g0", last), ("g1", older), ("g2", None)):
        one.add_state(name, seen)
    state = one.conclude()
    assert state in (CARRIED_ON, RESUMED), one.why
    if state == RESUMED:
        stages.resume(world.now, one.plan, "after a loss")
    else:
        assert tuple(kept["told"]) >= last.mark
    epoch = max(2, one.highest_epoch() + 1)
    lowest = min(
        [w.cap for w in (last, older) if w.build == last.build and w.mark > (one.journal_mark or (0, 0))],
        default=last.cap,
    )
    assert stages.build == last.build and (stages.phase == RELEASED) == (last.phase == RELEASED)
    if stages.phase == TRIAL:
        assert stages.cap() <= lowest + 1e-9 and stages.build not in last.gone
    if last.phase in (GOING_BACK, WITHDRAWN):
        assert stages.phase in (GOING_BACK, WITHDRAWN) and stages.stable == last.stable
    world.stages, gone = stages, set(last.gone)
    world.platform()
    began = len(world.told)
    for what in after:
        world.act(what, epoch)
    marks = [seen.mark for seen in world.told]
    assert marks == sorted(marks) and all(seen.mark > last.mark for seen in world.told[began:])
    for seen in world.told[began:]:
        assert seen.build not in gone or seen.phase in (GOING_BACK, WITHDRAWN)
        gone |= set(seen.gone)


def test_a_journal_of_the_version_before_is_read():
    stages = ReleaseStages(RELEASE, ["p0"], 41)
    old = {name: value for name, value in stages.dump().items() if name not in ReleaseStages.ALSO_KEPT}
    stages.load(old, S)
    assert (stages.turns, stages.condemned) == (0, [])


def test_what_makes_room_for_a_later_build_is_not_condemned():
    world = Told()
    for what in ("offer", "offer"):
        world.act(what, 1)
    assert world.stages.condemned == [] and world.stages.build == 43
    world.act("back", 1)
    assert world.stages.condemned == [43]
