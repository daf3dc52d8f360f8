"""The agent's states and the desk's hosts, free of I/O: whatever happens, it ends where the last order
says."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cobaltpond.agent.states import DESIRED_STATES, EVENTS, MAX_CRASHES, STATES, TABLE, BuildSlot, BuildSlots
from cobaltpond.desk.hosts import HostOrders

# for each state the events that change nothing; with the table's they must be all there are
IGNORED = {
    "absent": "gone fetched unfetched checked unsound ready late exited drained overdue rested steady",
    "fetching": "run keep checked unsound ready late exited drained overdue rested steady",
    "checking": "run keep fetched unfetched ready late exited drained overdue rested steady",
    "held": "keep fetched unfetched checked unsound ready late exited drained overdue rested steady",
    "starting": "run fetched unfetched checked unsound drained overdue rested steady",
    "up": "run fetched unfetched checked unsound ready late drained overdue rested",
    "draining": "keep gone fetched unfetched checked unsound ready late overdue rested steady",
    "stopping": "run keep gone fetched unfetched checked unsound ready late drained rested steady",
    "resting": "run fetched unfetched checked unsound ready late exited drained overdue steady",
    "failed": "fetched unfetched checked unsound ready late exited drained overdue rested steady",
}


@pytest.mark.parametrize("state", STATES)
def test_every_pair_of_state_and_event_is_defined(state):
    assert sorted([*TABLE[state], *IGNORED[state].split()]) == sorted(EVENTS)
    for event in IGNORED[state].split():
        slot = BuildSlot(1)
        slot.state, slot.desired = state, "run"
        before = slot.crashes
        assert slot.handle_event(event) == [] and (slot.state, slot.crashes) == (state, before)


class World:
    """Carries out actions as a host would: each step takes some ticks, may fail, or never come to an end."""

    def __init__(self, faults):
        self.place, self.due, self.now, self.processes, self.faults = BuildSlots(), [], 0, {}, list(faults)
        self.listed, self.most_at_once = {}, 0

    def fault(self):
        return self.faults.pop(0) if self.faults else "fine"

    def later(self, ticks, build, event):
        self.due.append((self.now + ticks, build, event))

    def act(self, actions):
        for build, action in actions:
            if action == "fetch":
                self.later(2, build, "unfetched" if self.fault() == "fail" else "fetched")
            elif action == "check":
                self.later(1, build, "unsound" if self.fault() == "fail" else "checked")
            elif action == "start":
                assert build not in self.processes, "a build started twice"
                self.processes[build] = fault = self.fault()
                self.later(2, build, {"fine": "ready", "fail": "exited", "hang": "late"}[fault])
            elif action == "stop":
                if self.processes.get(build) != "hang":
                    self.later(1, build, "exited")
            elif action == "kill":
                self.later(1, build, "exited")
            elif action.startswith("wait"):
                self.later(3, build, action.split()[1])
            elif action.startswith("list"):
                self.listed[build] = action.split()[1]

    def run(self, ticks):
        for _ in range(ticks):
            self.now += 1
            for entry in [e for e in self.due if e[0] <= self.now]:
                if entry not in self.due:
                    continue
                self.due.remove(entry)
                _, build, event = entry
                if event == "exited":
                    if build not in self.processes:
                        continue
                    del self.processes[build]
                    over = [(build, e) for e in ("ready", "late", "exited")]
                    self.due = [e for e in self.due if e[1:] not in over]
                self.act(self.place.handle_event(build, event))

    def restart(self):
        """The agent dies and comes back: it knows the order and which of its processes live, nothing else."""
        old, self.place = self.place, BuildSlots()
        self.due = [e for e in self.due if e[2] == "exited" and e[1] in self.processes]
        self.place.generation = old.generation
        for build, slot in old.slots.items():
            new = self.place.slots[build] = BuildSlot(build)
            new.desired = slot.desired
            if build in self.processes:
                actions = new.adopt(self.listed.get(build) in ("up", "draining"))
                if new.state == "starting":
                    self.later(1, build, "ready" if self.processes[build] != "hang" else "late")
            else:
                actions = new.handle_event(slot.desired)
            self.act([(build, action) for action in actions])
        self.place.drop_absent()


ORDER = st.dictionaries(st.sampled_from([1, 2]), st.sampled_from(DESIRED_STATES), max_size=2)
STEP = st.one_of(
    st.tuples(st.just("order"), ORDER),
    st.tuples(st.just("old order"), st.just({1: "run", 2: "run"})),
    st.tuples(st.just("restart"), st.just({})),
    st.tuples(st.just("wait"), st.integers(1, 9)),
)


@settings(derandomize=True, deadline=None, max_examples=1000)
@given(
    st.lists(STEP, max_size=14),
    st.lists(st.sampled_from(["fine", "fine", "fail", "hang"]), max_size=8),
    st.sampled_from([{1: "run"}, {1: "run", 2: "keep"}, {2: "run"}, {}, {1: "gone", 2: "run"}]),
)
def test_orders_faults_and_crashes_end_where_the_last_order_says(steps, faults, last):
    world, generation = World(faults), 0
    for what, value in steps:
        if what == "order":
            generation += 1
            world.act(world.place.apply_order(generation, value))
        elif what == "old order":
            assert world.place.apply_order(min(generation, world.place.generation), value) == []
        elif what == "restart":
            world.restart()
        else:
            world.run(value)
    world.faults = []  # from here on nothing fails any more
    world.act(world.place.apply_order(generation + 1, last))
    world.run(60)
    world.act(
        world.place.apply_order(generation + 2, last)
    )  # and what had failed for good is ordered once more
    world.run(60)
    running = {build for build, wish in last.items() if wish == "run"}
    assert set(world.processes) == running, (world.place.slots, world.processes)
    assert {b for b, state in world.listed.items() if state == "up"} == running
    assert world.place.is_order_complete()


def test_a_build_that_crashes_again_and_again_rests_longer_and_then_fails():
    world = World(["fine", "fine", *["fail"] * 20])
    world.act(world.place.apply_order(1, {1: "run"}))
    slot = world.place.slots[1]
    world.run(60)
    assert (slot.state, slot.crashes) == ("failed", MAX_CRASHES)
    assert [BuildSlot.restart_delay(type("S", (), {"crashes": n})) for n in (1, 2, 3, 9)] == [
        250_000,
        500_000,
        1_000_000,
        4_000_000,
    ]


def test_crashes_with_long_times_between_them_are_no_row():
    world = World([])
    world.act(world.place.apply_order(1, {1: "run"}))
    for _ in range(3 * MAX_CRASHES):
        world.run(20)
        assert world.place.slots[1].state == "up"
        world.later(0, 1, "exited")


@pytest.mark.parametrize("ticks", range(0, 9))
def test_taken_back_at_any_moment_without_waiting(ticks):
    """From the order to the last process: at most a drain and an exit, whatever was under way."""
    world = World([])
    world.act(world.place.apply_order(1, {1: "run"}))
    world.run(20)
    world.act(world.place.apply_order(2, {1: "run", 2: "run"}))
    world.run(ticks)
    world.act(world.place.apply_order(3, {1: "run"}))
    world.run(6)
    assert (
        set(world.processes) == {1}
        and world.listed.get(2) in (None, "gone")
        and world.place.is_order_complete()
    )


def told(place, generation, done=True, **slots):
    return {
        "place": place,
        "generation": generation,
        "done": done,
        "slots": [
            {"build": int(b[1:]), "state": s, "id": f"{place}-{b}", "why": "w" if s == "failed" else ""}
            for b, s in slots.items()
        ],
    }


def test_hosts_that_are_slow_silent_or_run_something_else():
    hosts = HostOrders(["p", "q", "r"], max_changing=2)
    assert hosts.apply_orders(0, [("start", p, 2) for p in ("p", "q", "r")]) == [
        "p",
        "q",
    ]  # no more than two at once
    assert hosts.order_for("p", {1}) == {"place": "p", "generation": 1, "wishes": {"1": "keep", "2": "run"}}
    assert hosts.apply_report(1, told("p", 1, b2="up")) == [("p/2", "p", 2, "up")]
    assert hosts.apply_report(1, told("q", 1, False, b2="fetching")) == [("q/2", "q", 2, "starting")]
    assert hosts.apply_report(1, told("q", 1, b2="failed")) == []
    assert hosts.missing_places(2) == [("q", 2, "failed: w")]
    assert hosts.apply_orders(9_000_000, [("start", "q", 2)]) == []
    assert hosts.apply_orders(11_000_000, [("start", "q", 2)]) == [
        "q"
    ]  # tried again: it may have been the sources
    assert hosts.apply_orders(2, [("start", "r", 2)]) == ["r"]
    assert ("r", 2, "the host is silent") in hosts.missing_places(2)
    assert hosts.apply_orders(3, [("stop", "p/2"), ("drain", "q/2")]) == ["p", "q"]  # going never waits
    assert hosts.apply_orders(3, [("stop", "p/2")]) == [] and hosts.hosts["p"].generation == 2
    again = HostOrders(["p"])
    again.apply_report(5, told("p", 7, b3="up"))
    assert again.adopt_running("p") and not again.adopt_running("p")
    again.apply_orders(6, [("stop", "p/3")])
    assert again.order_for("p", set())["generation"] > 7  # never one that the host has heard
    assert (
        HostOrders(["p"], epoch=2).order_for("p", set())["generation"]
        > HostOrders(["p"], epoch=1).order_for("p", set())["generation"]
    )
