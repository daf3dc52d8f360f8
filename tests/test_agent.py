"""The agent's state machine and the desk's host orders, free of I/O: both converge to the last order."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cobaltpond.agent.states import DESIRED_STATES, EVENTS, MAX_CRASHES, STATES, TABLE, BuildSlot, BuildSlots
from cobaltpond.desk.hosts import HostOrders

# The events that each state ignores; with those of the table they must be all events.
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
def test_every_state_handles_every_event(state):
    """An event without an entry leaves the slot as it is, so a late result cannot change its state."""
    assert sorted([*TABLE[state], *IGNORED[state].split()]) == sorted(EVENTS)
    for event in IGNORED[state].split():
        slot = BuildSlot(1)
        slot.state, slot.desired = state, "run"
        before = slot.crashes
        assert slot.handle_event(event) == [] and (slot.state, slot.crashes) == (state, before)


class HostModel:
    """Model of a host that executes actions: each takes some ticks, and may fail or hang."""

    def __init__(self, faults):
        self.build_slots = BuildSlots()
        self.pending_events = []
        self.now = 0
        self.processes = {}
        self.faults = list(faults)
        self.listed, self.most_at_once = {}, 0

    def fault(self):
        return self.faults.pop(0) if self.faults else "fine"

    def schedule(self, ticks, build, event):
        self.pending_events.append((self.now + ticks, build, event))

    def act(self, actions):
        for build, action in actions:
            if action == "fetch":
                self.schedule(2, build, "unfetched" if self.fault() == "fail" else "fetched")
            elif action == "check":
                self.schedule(1, build, "unsound" if self.fault() == "fail" else "checked")
            elif action == "start":
                assert build not in self.processes, "a build started twice"
                self.processes[build] = fault = self.fault()
                self.schedule(2, build, {"fine": "ready", "fail": "exited", "hang": "late"}[fault])
            elif action == "stop":
                if self.processes.get(build) != "hang":
                    self.schedule(1, build, "exited")
            elif action == "kill":
                self.schedule(1, build, "exited")
            elif action.startswith("wait"):
                self.schedule(3, build, action.split()[1])
            elif action.startswith("list"):
                self.listed[build] = action.split()[1]

    def run(self, ticks):
        for _ in range(ticks):
            self.now += 1
            for entry in [e for e in self.pending_events if e[0] <= self.now]:
                if entry not in self.pending_events:
                    continue
                self.pending_events.remove(entry)
                _, build, event = entry
                if event == "exited":
                    if build not in self.processes:
                        continue
                    del self.processes[build]
                    stale_events = [(build, e) for e in ("ready", "late", "exited")]
                    self.pending_events = [e for e in self.pending_events if e[1:] not in stale_events]
                self.act(self.build_slots.handle_event(build, event))

    def restart(self):
        """Restarts the agent, which then knows only its order and the processes that still run."""
        old, self.build_slots = self.build_slots, BuildSlots()
        self.pending_events = [e for e in self.pending_events if e[2] == "exited" and e[1] in self.processes]
        self.build_slots.generation = old.generation
        for build, slot in old.slots.items():
            new = self.build_slots.slots[build] = BuildSlot(build)
            new.desired = slot.desired
            if build in self.processes:
                actions = new.adopt(self.listed.get(build) in ("up", "draining"))
                if new.state == "starting":
                    self.schedule(1, build, "ready" if self.processes[build] != "hang" else "late")
            else:
                actions = new.handle_event(slot.desired)
            self.act([(build, action) for action in actions])
        self.build_slots.drop_absent()


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
def test_host_converges_to_the_last_order_after_faults_and_crashes(steps, faults, last_order):
    """Random orders, faults and restarts must leave no wrong build running, listed or started twice."""
    host, generation = HostModel(faults), 0
    for action, value in steps:
        if action == "order":
            generation += 1
            host.act(host.build_slots.apply_order(generation, value))
        elif action == "old order":
            assert host.build_slots.apply_order(min(generation, host.build_slots.generation), value) == []
        elif action == "restart":
            host.restart()
        else:
            host.run(value)
    host.faults = []  # no faults from here on
    host.act(host.build_slots.apply_order(generation + 1, last_order))
    host.run(60)
    host.act(
        host.build_slots.apply_order(generation + 2, last_order)
    )  # a new order also retries failed builds
    host.run(60)
    running = {build for build, desired_state in last_order.items() if desired_state == "run"}
    assert set(host.processes) == running, (host.build_slots.slots, host.processes)
    assert {b for b, state in host.listed.items() if state == "up"} == running
    assert host.build_slots.is_order_complete()


def test_repeated_crashes_back_off_and_then_fail():
    """Without backoff and a limit, a build that crashes at its start would restart in a tight loop."""
    host = HostModel(["fine", "fine", *["fail"] * 20])
    host.act(host.build_slots.apply_order(1, {1: "run"}))
    slot = host.build_slots.slots[1]
    host.run(60)
    assert (slot.state, slot.crashes) == ("failed", MAX_CRASHES)
    assert [BuildSlot.restart_delay(type("S", (), {"crashes": n})) for n in (1, 2, 3, 9)] == [
        250_000,
        500_000,
        1_000_000,
        4_000_000,
    ]


def test_crashes_long_apart_do_not_add_up():
    """A build that is up for a long time between crashes must not reach the limit of consecutive crashes."""
    host = HostModel([])
    host.act(host.build_slots.apply_order(1, {1: "run"}))
    for _ in range(3 * MAX_CRASHES):
        host.run(20)
        assert host.build_slots.slots[1].state == "up"
        host.schedule(0, 1, "exited")


@pytest.mark.parametrize("ticks", range(0, 9))
def test_rollback_at_any_moment_needs_only_drain_and_exit(ticks):
    """A rollback must not wait for a step in progress: it takes at most the time of a drain and an exit."""
    host = HostModel([])
    host.act(host.build_slots.apply_order(1, {1: "run"}))
    host.run(20)
    host.act(host.build_slots.apply_order(2, {1: "run", 2: "run"}))
    host.run(ticks)
    host.act(host.build_slots.apply_order(3, {1: "run"}))
    host.run(6)
    assert (
        set(host.processes) == {1}
        and host.listed.get(2) in (None, "gone")
        and host.build_slots.is_order_complete()
    )


def host_report(place, generation, done=True, **slots):
    return {
        "place": place,
        "generation": generation,
        "done": done,
        "slots": [
            {"build": int(b[1:]), "state": s, "id": f"{place}-{b}", "why": "w" if s == "failed" else ""}
            for b, s in slots.items()
        ],
    }


def test_host_orders_with_slow_silent_and_unordered_hosts():
    """Hosts that are slow, silent, failed or run an unordered build, and a desk that has restarted."""
    hosts = HostOrders(["p", "q", "r"], max_changing=2)
    assert hosts.apply_orders(0, [("start", p, 2) for p in ("p", "q", "r")]) == [
        "p",
        "q",
    ]  # at most two places change at once
    assert hosts.order_for("p", {1}) == {"place": "p", "generation": 1, "wishes": {"1": "keep", "2": "run"}}
    assert hosts.apply_report(1, host_report("p", 1, b2="up")) == [("p/2", "p", 2, "up")]
    assert hosts.apply_report(1, host_report("q", 1, False, b2="fetching")) == [("q/2", "q", 2, "starting")]
    assert hosts.apply_report(1, host_report("q", 1, b2="failed")) == []
    assert hosts.missing_places(2) == [("q", 2, "failed: w")]
    assert hosts.apply_orders(9_000_000, [("start", "q", 2)]) == []
    assert hosts.apply_orders(11_000_000, [("start", "q", 2)]) == ["q"]  # retried: the sources may work now
    assert hosts.apply_orders(2, [("start", "r", 2)]) == ["r"]
    assert ("r", 2, "the host is silent") in hosts.missing_places(2)
    assert hosts.apply_orders(3, [("stop", "p/2"), ("drain", "q/2")]) == ["p", "q"]  # removals never wait
    assert hosts.apply_orders(3, [("stop", "p/2")]) == [] and hosts.hosts["p"].generation == 2
    restarted = HostOrders(["p"])
    restarted.apply_report(5, host_report("p", 7, b3="up"))
    assert restarted.adopt_running("p") and not restarted.adopt_running("p")
    restarted.apply_orders(6, [("stop", "p/3")])
    assert (
        restarted.order_for("p", set())["generation"] > 7
    )  # must exceed the generation that the host reported
    assert (
        HostOrders(["p"], epoch=2).order_for("p", set())["generation"]
        > HostOrders(["p"], epoch=1).order_for("p", set())["generation"]
    )
