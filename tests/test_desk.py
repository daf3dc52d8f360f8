"""The release desk's stages, free of I/O: both layouts, three gates, machines that come and go as they
like."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cobaltpond.desk.stages import GOING_BACK, RELEASED, TRIAL, WITHDRAWN, ReleaseRefusedError, ReleaseStages
from cobaltpond.settings.sections import ReleaseSettings

S = 1_000_000


def release(**more):
    return ReleaseSettings(
        **{
            "gate": "count",
            "layout": "beside",
            "shares": [0.25, 1.0],
            "caps": [0.3, 1.0],
            "exposure_window": 2 * S,
            "vote_life": 5 * S,
            "vote_wait": S,
            "dwell": S,
            "step": 2 * S,
            "on_votes": 2,
            "back_votes": 2,
            "hold_votes": 1,
            "vote_rate": 1000.0,
            **more,
        }
    )


class Fleet:
    """A desk and a platform that carries out orders at once, or as late as `lag` says; never by itself."""

    def __init__(self, places=4, lag=0, **more):
        self.stages = ReleaseStages(release(**more), [f"p{n}" for n in range(places)], 1)
        self.now, self.lag, self.serial, self.waiting = 0, lag, 0, []
        for place in self.stages.places:
            self.up(place, 1)

    def up(self, place, build):
        self.serial += 1
        self.stages.update_instance(self.now, f"m{self.serial}", place, build, "up")

    def run(self, seconds, votes=None):
        end = self.now + int(seconds * S)
        while self.now < end:
            self.now += 100_000
            for gateway, verdict in (votes or {}).items():
                self.stages.record_vote(self.now, gateway, self.stages.build, self.stages.stage, verdict)
            self.stages.tick(self.now)
            self.waiting += [(self.now + self.lag, order) for order in self.stages.orders(self.now)]
            for _, (what, *rest) in [w for w in self.waiting if w[0] <= self.now]:
                if what == "start":
                    self.up(*rest)
                elif rest[0] in self.stages.instances:
                    machine = self.stages.instances[rest[0]]
                    self.stages.update_instance(
                        self.now,
                        machine.id,
                        machine.place,
                        machine.build,
                        "draining" if what == "drain" else "gone",
                    )
            self.waiting = [w for w in self.waiting if w[0] > self.now]

    def builds(self):
        return sorted((m.place, m.build) for m in self.stages.instances.values() if m.state == "up")


@pytest.mark.parametrize("layout", ["beside", "in place"])
def test_a_build_goes_out_by_votes(layout):
    fleet = Fleet(layout=layout)
    fleet.stages.offer_build(fleet.now, 2)
    fleet.run(1.5)
    assert fleet.stages.news(fleet.now)["cap"] == 0.3 and (fleet.stages.phase, fleet.stages.stage) == (
        TRIAL,
        0,
    )
    assert fleet.builds().count(("p0", 2)) == 1 and (("p0", 1) in fleet.builds()) == (layout == "beside")
    fleet.run(4, {0: "on"})
    assert fleet.stages.stage == 0  # one vote of two
    fleet.run(8, {0: "on", 1: "on"})
    assert fleet.stages.phase == RELEASED and fleet.stages.cap() == 1.0
    fleet.run(4)
    assert fleet.builds() == [(p, 2) for p in fleet.stages.places]


@pytest.mark.parametrize("layout", ["beside", "in place"])
@pytest.mark.parametrize("after", [0.3, 3, 14])
def test_a_build_goes_back_from_anywhere(layout, after):
    """On trial, starting, and when released: the end is exactly the earlier build."""
    fleet = Fleet(layout=layout, lag=S // 2)
    fleet.stages.offer_build(fleet.now, 2)
    fleet.run(after, {2: "on", 3: "on"})
    fleet.run(0.2, {0: "back", 1: "back"})
    assert fleet.stages.phase in (GOING_BACK, WITHDRAWN)
    caps = []
    for _ in range(60):
        fleet.run(0.1)
        caps.append(fleet.stages.cap())
    fleet.run(4)
    assert fleet.stages.phase == WITHDRAWN and caps == sorted(caps, reverse=True) and caps[-1] == 0
    assert fleet.builds() == [(p, 1) for p in fleet.stages.places] and len(fleet.stages.instances) == 4


def test_an_operators_word_sends_a_build_back_where_that_makes_sense():
    fleet = Fleet()
    with pytest.raises(ReleaseRefusedError, match="no build before 1"):
        fleet.stages.send_back(0, "try")
    fleet.stages.offer_build(0, 2)
    fleet.run(1)
    fleet.stages.send_back(fleet.now, "looks odd")
    fleet.run(4)
    assert fleet.stages.phase == WITHDRAWN and fleet.builds() == [(p, 1) for p in fleet.stages.places]
    with pytest.raises(ReleaseRefusedError, match="withdrawn"):
        fleet.stages.send_back(fleet.now, "again")
    assert (2, "going back", "looks odd") in [
        (b, phase, why) for _, b, _, phase, why in fleet.stages.transitions
    ]


def test_a_clock_stands_still_while_it_is_held():
    fleet = Fleet(gate="clock")
    fleet.stages.offer_build(fleet.now, 2)
    fleet.run(6, {0: "hold"})
    assert fleet.stages.stage == 0
    fleet.run(13)
    assert fleet.stages.phase == RELEASED


def test_votes_that_do_not_count():
    fleet = Fleet(vote_rate=5.0)
    vote = fleet.stages.record_vote
    assert vote(0, 0, 1, 0, "back") == "moot"  # nothing to go back to
    fleet.stages.offer_build(0, 2)
    assert [vote(0, 0, *v) for v in ((1, 0, "on"), (2, 1, "on"), (2, 0, "hold"), (2, 0, "odd"))] == [
        "moot"
    ] * 4
    assert [vote(0, 0, 2, 0, "on") for _ in range(6)] == ["ok"] * 5 + ["full"]
    assert vote(S, 0, 2, 0, "none") == "ok" and fleet.stages.count_votes(S, "on") == 0
    vote(2 * S, 0, 2, 0, "on")
    assert fleet.stages.count_votes(6 * S, "on") == 1 and fleet.stages.count_votes(7 * S, "on") == 0
    with pytest.raises(ReleaseRefusedError):
        fleet.stages.offer_build(3 * S, 2)


def test_what_is_on_trial_when_the_next_is_offered_is_taken_off():
    fleet = Fleet()
    fleet.stages.offer_build(0, 2)
    fleet.run(2)
    fleet.stages.offer_build(fleet.now, 3)
    assert fleet.stages.phase == GOING_BACK
    fleet.run(5)
    assert (fleet.stages.build, fleet.stages.phase, fleet.stages.stable) == (3, TRIAL, 1)
    assert 2 not in {m.build for m in fleet.stages.instances.values() if m.state == "up"}


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.sampled_from(["beside", "in place"]),
    st.lists(
        st.tuples(st.sampled_from(["on", "back", "offer", "lose", "wait"]), st.integers(0, 3)), max_size=14
    ),
)
def test_whatever_happens_the_fleet_ends_as_the_state_says(layout, acts):
    """Votes, offers and lost machines in any order; then quiet: each place has just the builds it should."""
    fleet = Fleet(layout=layout, lag=300_000)
    for what, n in acts:
        if what in ("on", "back"):
            fleet.run(0.3, {n: what, n + 1: what})
        elif what == "offer":
            fleet.stages.offer_build(fleet.now, max([fleet.stages.build, *fleet.stages.offered]) + 1)
        elif what == "lose" and fleet.stages.instances:
            ids = sorted(fleet.stages.instances)
            fleet.stages.update_instance(fleet.now, ids[n % len(ids)], "", 0, "gone")
        fleet.run(1.5 if what == "wait" else 0.2)
    fleet.run(15)
    wanted = sorted((place, build) for place, builds in fleet.stages.wanted().items() for build in builds)
    assert fleet.builds() == wanted and fleet.stages.phase != GOING_BACK
