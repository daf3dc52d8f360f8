"""Release stages without I/O: both layouts, all three gates, instances that come and go at any time."""

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


class ReleaseFixture:
    """Release stages with a platform that executes orders after `order_delay` and does nothing else."""

    def __init__(self, places=4, order_delay=0, **more):
        self.stages = ReleaseStages(release(**more), [f"p{n}" for n in range(places)], 1)
        self.now, self.order_delay, self.serial, self.pending_orders = 0, order_delay, 0, []
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
            self.pending_orders += [
                (self.now + self.order_delay, order) for order in self.stages.orders(self.now)
            ]
            for _, (action, *rest) in [w for w in self.pending_orders if w[0] <= self.now]:
                if action == "start":
                    self.up(*rest)
                elif rest[0] in self.stages.instances:
                    instance = self.stages.instances[rest[0]]
                    self.stages.update_instance(
                        self.now,
                        instance.id,
                        instance.place,
                        instance.build,
                        "draining" if action == "drain" else "gone",
                    )
            self.pending_orders = [w for w in self.pending_orders if w[0] > self.now]

    def builds(self):
        return sorted((m.place, m.build) for m in self.stages.instances.values() if m.state == "up")


@pytest.mark.parametrize("layout", ["beside", "in place"])
def test_votes_promote_build_through_all_stages(layout):
    """Each stage needs the configured number of "on" votes; a released build then runs at every place."""
    fixture = ReleaseFixture(layout=layout)
    fixture.stages.offer_build(fixture.now, 2)
    fixture.run(1.5)
    assert fixture.stages.news(fixture.now)["cap"] == 0.3 and (
        fixture.stages.phase,
        fixture.stages.stage,
    ) == (
        TRIAL,
        0,
    )
    assert fixture.builds().count(("p0", 2)) == 1 and (("p0", 1) in fixture.builds()) == (layout == "beside")
    fixture.run(4, {0: "on"})
    assert fixture.stages.stage == 0  # one vote of two
    fixture.run(8, {0: "on", 1: "on"})
    assert fixture.stages.phase == RELEASED and fixture.stages.cap() == 1.0
    fixture.run(4)
    assert fixture.builds() == [(p, 2) for p in fixture.stages.places]


@pytest.mark.parametrize("layout", ["beside", "in place"])
@pytest.mark.parametrize("after", [0.3, 3, 14])
def test_back_votes_restore_stable_build_at_any_time(layout, after):
    """Votes roll a build back while it starts, on trial and after release, and only the stable build runs.

    The cap must never rise on the way: that would send traffic to a build that is being rolled back.
    """
    fixture = ReleaseFixture(layout=layout, order_delay=S // 2)
    fixture.stages.offer_build(fixture.now, 2)
    fixture.run(after, {2: "on", 3: "on"})
    fixture.run(0.2, {0: "back", 1: "back"})
    assert fixture.stages.phase in (GOING_BACK, WITHDRAWN)
    caps = []
    for _ in range(60):
        fixture.run(0.1)
        caps.append(fixture.stages.cap())
    fixture.run(4)
    assert fixture.stages.phase == WITHDRAWN and caps == sorted(caps, reverse=True) and caps[-1] == 0
    assert fixture.builds() == [(p, 1) for p in fixture.stages.places] and len(fixture.stages.instances) == 4


def test_operator_can_roll_back_only_with_a_stable_build():
    """A rollback without a stable build would empty the fleet, and a second one has nothing to roll back."""
    fixture = ReleaseFixture()
    with pytest.raises(ReleaseRefusedError, match="no build before 1"):
        fixture.stages.send_back(0, "try")
    fixture.stages.offer_build(0, 2)
    fixture.run(1)
    fixture.stages.send_back(fixture.now, "looks odd")
    fixture.run(4)
    assert fixture.stages.phase == WITHDRAWN and fixture.builds() == [(p, 1) for p in fixture.stages.places]
    with pytest.raises(ReleaseRefusedError, match="withdrawn"):
        fixture.stages.send_back(fixture.now, "again")
    assert (2, "going back", "looks odd") in [
        (b, phase, why) for _, b, _, phase, why in fixture.stages.transitions
    ]


def test_hold_votes_stop_the_stage_clock():
    """With the clock gate, a stage must not end by time alone while gateways vote to hold it."""
    fixture = ReleaseFixture(gate="clock")
    fixture.stages.offer_build(fixture.now, 2)
    fixture.run(6, {0: "hold"})
    assert fixture.stages.stage == 0
    fixture.run(13)
    assert fixture.stages.phase == RELEASED


def test_invalid_excess_and_expired_votes_do_not_count():
    """A vote counts only for the current build, stage and gate, below the vote rate, and until it expires."""
    fixture = ReleaseFixture(vote_rate=5.0)
    vote = fixture.stages.record_vote
    assert vote(0, 0, 1, 0, "back") == "moot"  # nothing to go back to
    fixture.stages.offer_build(0, 2)
    assert [vote(0, 0, *v) for v in ((1, 0, "on"), (2, 1, "on"), (2, 0, "hold"), (2, 0, "odd"))] == [
        "moot"
    ] * 4
    assert [vote(0, 0, 2, 0, "on") for _ in range(6)] == ["ok"] * 5 + ["full"]
    assert vote(S, 0, 2, 0, "none") == "ok" and fixture.stages.count_votes(S, "on") == 0
    vote(2 * S, 0, 2, 0, "on")
    assert fixture.stages.count_votes(6 * S, "on") == 1 and fixture.stages.count_votes(7 * S, "on") == 0
    with pytest.raises(ReleaseRefusedError):
        fixture.stages.offer_build(3 * S, 2)


def test_new_offer_rolls_back_the_build_on_trial():
    """Two builds must never be on trial at once: the older one ends before the newer one starts."""
    fixture = ReleaseFixture()
    fixture.stages.offer_build(0, 2)
    fixture.run(2)
    fixture.stages.offer_build(fixture.now, 3)
    assert fixture.stages.phase == GOING_BACK
    fixture.run(5)
    assert (fixture.stages.build, fixture.stages.phase, fixture.stages.stable) == (3, TRIAL, 1)
    assert 2 not in {m.build for m in fixture.stages.instances.values() if m.state == "up"}


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.sampled_from(["beside", "in place"]),
    st.lists(
        st.tuples(st.sampled_from(["on", "back", "offer", "lose", "wait"]), st.integers(0, 3)), max_size=14
    ),
)
def test_fleet_converges_to_desired_builds_after_random_actions(layout, actions):
    """Random votes, offers and lost instances must not leave a wrong build running or a rollback unfinished.

    After a quiet period each place runs exactly the builds that the state wants.
    """
    fixture = ReleaseFixture(layout=layout, order_delay=300_000)
    for action, n in actions:
        if action in ("on", "back"):
            fixture.run(0.3, {n: action, n + 1: action})
        elif action == "offer":
            fixture.stages.offer_build(fixture.now, max([fixture.stages.build, *fixture.stages.offered]) + 1)
        elif action == "lose" and fixture.stages.instances:
            ids = sorted(fixture.stages.instances)
            fixture.stages.update_instance(fixture.now, ids[n % len(ids)], "", 0, "gone")
        fixture.run(1.5 if action == "wait" else 0.2)
    fixture.run(15)
    wanted = sorted(
        (place, build) for place, builds in fixture.stages.desired_builds().items() for build in builds
    )
    assert fixture.builds() == wanted and fixture.stages.phase != GOING_BACK
