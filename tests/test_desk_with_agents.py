"""Decisions of the desk and the agents in one model without I/O, with random orders, faults and crashes.

`COBALTPOND_EXAMPLES=1000 bin/test tests/test_desk_with_agents.py` runs more examples.
"""

import json
import os

from hypothesis import given, settings
from hypothesis import strategies as st

from cobaltpond.agent.states import STARTING, BuildSlot, BuildSlots
from cobaltpond.desk.hosts import HostOrders
from cobaltpond.desk.stages import GOING_BACK, NO_BUILD, ReleaseStages
from cobaltpond.settings.sections import ReleaseSettings

MS, S = 1000, 1_000_000
RELEASE_SETTINGS = {
    "gate": "any",
    "shares": [0.34, 1.0],
    "caps": [0.5, 1.0],
    "exposure_window": 2 * S,
    "vote_life": 60 * S,
    "vote_wait": S,
    "dwell": 300 * MS,
    "settle": 0,
    "start_within": 3 * S,
    "drain_time": 200 * MS,
}
ACTION_TIMES_US = {
    "fetch": 150 * MS,
    "check": 20 * MS,
    "start": 150 * MS,
    "stop": 60 * MS,
    "kill": 20 * MS,
    "wait drained": 200 * MS,
    "wait overdue": 300 * MS,
    "wait rested": 250 * MS,
    "wait steady": 2 * S,
}


class SimulatedAgent:
    """A host: the agent's state machine, processes that survive the agent, and pending events that do not."""

    def __init__(self, name, faults):
        self.name = name
        self.faults = faults
        self.build_slots = BuildSlots()
        self.processes = {}
        self.pending_events = []
        self.down_until, self.double_starts, self.listed = -1, 0, set()

    def schedule(self, now, build, action, event):
        self.pending_events.append((now + ACTION_TIMES_US[action], build, event))

    def act(self, now, actions):
        for build, action in actions:
            fault = self.faults.pop(0) if self.faults and action in ("fetch", "start") else "fine"
            if action == "fetch":
                self.schedule(now, build, action, "unfetched" if fault == "fail" else "fetched")
            elif action == "check":
                self.schedule(now, build, action, "checked")
            elif action == "start":
                self.double_starts += build in self.processes
                self.processes[build] = fault
                self.schedule(now, build, action, {"fine": "ready", "fail": "exited", "hang": "late"}[fault])
            elif action in ("stop", "kill"):
                if action == "kill" or self.processes.get(build) != "hang":
                    self.schedule(now, build, action, "exited")
            elif action == "list up":
                self.listed.add(build)
            elif action.startswith("wait"):
                self.schedule(now, build, action, action.split()[1])

    def step(self, now):
        if now < self.down_until:
            return
        for entry in [e for e in self.pending_events if e[0] <= now]:
            if entry in self.pending_events:
                self.pending_events.remove(entry)
                _, build, event = entry
                if event == "exited":
                    self.listed.discard(build)
                    if self.processes.pop(build, None) is None:
                        continue
                    self.pending_events = [
                        e
                        for e in self.pending_events
                        if (e[1], e[2]) not in [(build, x) for x in ("ready", "late", "exited")]
                    ]
                self.act(now, self.build_slots.handle_event(build, event))

    def crash(self, now):
        """The agent restarts after a while and knows only its last order and the running processes."""
        self.down_until = now + 300 * MS
        old, self.build_slots = self.build_slots, BuildSlots()
        self.pending_events = [
            (max(at, self.down_until), b, e)
            for at, b, e in self.pending_events
            if e == "exited" and b in self.processes
        ]
        self.build_slots.generation = old.generation
        for build in sorted({*old.slots, *self.processes}):
            new = self.build_slots.slots[build] = BuildSlot(build)
            new.desired = old.slots[build].desired if build in old.slots else "gone"
            actions = (
                new.adopt(build in self.listed) if build in self.processes else new.handle_event(new.desired)
            )
            if new.state == STARTING and build in self.processes:
                event = "late" if self.processes[build] == "hang" else "ready"
                self.pending_events.append((self.down_until + ACTION_TIMES_US["start"], build, event))
            self.act(self.down_until, [(build, action) for action in actions])
        self.build_slots.drop_absent()

    def report(self):
        return {
            "place": self.name,
            "generation": max(0, self.build_slots.generation),
            "done": self.build_slots.is_order_complete(),
            "slots": [
                {"build": b, "state": s.state, "id": "", "why": s.why}
                for b, s in self.build_slots.slots.items()
            ],
        }


class DeskAndAgents:
    def __init__(self, layout, faults, lost_messages):
        self.now, self.layout, self.lost_messages, self.epoch = 0, layout, list(lost_messages), 1
        self.agents = {f"h{n}": SimulatedAgent(f"h{n}", faults) for n in range(3)}
        self.desk_down_until, self.empty_time, self.longest_empty_time = -1, {}, 0
        self.stages = ReleaseStages(
            ReleaseSettings(layout=layout, **RELEASE_SETTINGS), list(self.agents), NO_BUILD, 0
        )
        self.hosts = HostOrders(list(self.agents), epoch=1)
        self.stored_state = json.dumps(self.stages.dump())

    def crash_desk(self):
        """The desk restarts from its stored state and waits for all hosts to report before giving orders."""
        self.epoch += 1
        self.desk_down_until = self.now + 400 * MS
        self.stages = ReleaseStages(
            ReleaseSettings(layout=self.layout, **RELEASE_SETTINGS), list(self.agents), NO_BUILD, self.now
        )
        self.stages.load(json.loads(self.stored_state), self.now)
        self.hosts = HostOrders(list(self.agents), epoch=self.epoch)

    def step(self):
        self.now += 20 * MS
        for agent in self.agents.values():
            agent.step(self.now)
        if self.now >= self.desk_down_until:
            self.step_desk()
        for name, agent in self.agents.items():
            is_serving = any(fault == "fine" for fault in agent.processes.values())
            self.empty_time[name] = 0 if is_serving else self.empty_time.get(name, 0) + 20 * MS
            self.longest_empty_time = max(self.longest_empty_time, self.empty_time[name])

    def step_desk(self):
        is_collecting = any(h.last_report_at is None for h in self.hosts.hosts.values())
        for name, agent in self.agents.items():
            if self.now >= agent.down_until and not (self.lost_messages and self.lost_messages.pop(0)):
                rows = self.hosts.apply_report(self.now, agent.report())
                listed = {row[0] for row in rows}
                for id in [
                    i for i, m in self.stages.instances.items() if m.place == name and i not in listed
                ]:
                    self.stages.update_instance(self.now, id, "", 0, "gone")
                for row in rows:
                    self.stages.update_instance(self.now, *row)
        if is_collecting:
            if all(h.last_report_at is not None for h in self.hosts.hosts.values()):
                for name in self.agents:
                    self.hosts.adopt_running(name)
            return
        self.stages.tick(self.now)
        self.stored_state = json.dumps(self.stages.dump())
        self.hosts.apply_orders(self.now, self.stages.orders(self.now))
        keep = {b for b in (self.stages.stable, self.stages.build, *self.stages.offered) if b}
        for name, agent in self.agents.items():
            if self.now >= agent.down_until and not (self.lost_messages and self.lost_messages.pop(0)):
                order = self.hosts.order_for(name, keep)
                wishes = {int(b): w for b, w in order["wishes"].items()}
                agent.act(self.now, agent.build_slots.apply_order(order["generation"], wishes))

    def run(self, seconds):
        for _ in range(int(seconds * 50)):
            self.step()


ACTIONS = st.tuples(
    st.sampled_from(["offer", "on", "back", "crash desk", "crash h0", "crash h1", "end", "wait"]),
    st.sampled_from([0.04, 0.2, 0.5, 1.5]),
)


@settings(derandomize=True, deadline=None, max_examples=int(os.environ.get("COBALTPOND_EXAMPLES", 100)))
@given(
    st.sampled_from(["beside", "in place"]),
    st.lists(ACTIONS, max_size=16),
    st.lists(st.sampled_from(["fine", "fine", "fail", "hang"]), max_size=10),
    st.lists(st.booleans(), max_size=60),
)
def test_desk_and_agents_converge_to_the_last_order(layout, actions_drawn, faults, lost_messages):
    """Crashes of the desk or agents, lost messages and failing instances leave no wrong build running.

    No build may be started twice, and without faults of instances no place may be without a running one.
    """
    cluster = DeskAndAgents(layout, [], [])
    cluster.stages.offer_build(0, 1)
    cluster.run(2)
    assert all(set(a.processes) == {1} for a in cluster.agents.values())
    cluster.longest_empty_time = 0
    for agent in cluster.agents.values():
        agent.faults = list(faults)
    cluster.lost_messages = list(lost_messages)
    for action, wait in actions_drawn:
        desk_up = (
            cluster.now >= cluster.desk_down_until and cluster.hosts.hosts["h0"].last_report_at is not None
        )
        if action == "offer" and desk_up:
            cluster.stages.offer_build(cluster.now, max([cluster.stages.build, *cluster.stages.offered]) + 1)
            cluster.stored_state = json.dumps(cluster.stages.dump())
        elif action in ("on", "back") and desk_up:
            cluster.stages.record_vote(cluster.now, 0, cluster.stages.build, cluster.stages.stage, action)
            cluster.stored_state = json.dumps(cluster.stages.dump())
        elif action == "crash desk":
            cluster.crash_desk()
        elif action.startswith("crash h"):
            cluster.agents[action[6:]].crash(cluster.now)
        elif (
            action == "end"
            and cluster.agents["h2"].processes
            and cluster.now >= cluster.agents["h2"].down_until
        ):
            build = sorted(cluster.agents["h2"].processes)[0]
            cluster.agents["h2"].pending_events.append((cluster.now, build, "exited"))
        cluster.run(wait)
    for agent in cluster.agents.values():
        agent.faults.clear()
    cluster.lost_messages.clear()
    cluster.run(12)
    if cluster.stages.phase == "trial":
        cluster.stages.record_vote(cluster.now, 0, cluster.stages.build, cluster.stages.stage, "back")
        cluster.run(12)
    if any(s.state == "failed" for a in cluster.agents.values() for s in a.build_slots.slots.values()):
        cluster.run(14)  # the desk retries failed builds every ten seconds
    assert (
        cluster.stages.phase != GOING_BACK and not cluster.stages.offered or cluster.stages.phase == "trial"
    )
    if cluster.stages.phase in ("released", "withdrawn"):
        expected_build = cluster.stages.build if cluster.stages.phase == "released" else cluster.stages.stable
        failed = {
            (n, b)
            for n, a in cluster.agents.items()
            for b, s in a.build_slots.slots.items()
            if s.state == "failed"
        }
        for name, agent in cluster.agents.items():
            assert set(agent.processes) == {expected_build} or (name, expected_build) in failed, (
                cluster.stages.phase,
                expected_build,
                name,
                agent.processes,
                cluster.hosts.order_for(name, set()),
            )
    assert not any(agent.double_starts for agent in cluster.agents.values())
    if "fail" not in faults and "hang" not in faults and "end" not in [action for action, _ in actions_drawn]:
        assert cluster.longest_empty_time == 0  # without faults of instances no place may ever be empty
