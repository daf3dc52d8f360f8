"""The desk's and the agents' decisions together, free of I/O: orders, faults and crashes drawn by a seed.

`COBALTPOND_EXAMPLES=1000 bin/test tests/test_together.py` draws more.
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
RELEASE = {
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
TAKES = {
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


class Agent:
    """A host: its state machine, processes that outlive it, and what is under way and dies with it."""

    def __init__(self, name, faults):
        self.name, self.faults, self.place, self.processes, self.due = name, faults, BuildSlots(), {}, []
        self.down_until, self.twice, self.listed = -1, 0, set()

    def later(self, now, build, action, event):
        self.due.append((now + TAKES[action], build, event))

    def act(self, now, actions):
        for build, action in actions:
            fault = self.faults.pop(0) if self.faults and action in ("fetch", "start") else "fine"
            if action == "fetch":
                self.later(now, build, action, "unfetched" if fault == "fail" else "fetched")
            elif action == "check":
                self.later(now, build, action, "checked")
            elif action == "start":
                self.twice += build in self.processes
                self.processes[build] = fault
                self.later(now, build, action, {"fine": "ready", "fail": "exited", "hang": "late"}[fault])
            elif action in ("stop", "kill"):
                if action == "kill" or self.processes.get(build) != "hang":
                    self.later(now, build, action, "exited")
            elif action == "list up":
                self.listed.add(build)
            elif action.startswith("wait"):
                self.later(now, build, action, action.split()[1])

    def step(self, now):
        if now < self.down_until:
            return
        for entry in [e for e in self.due if e[0] <= now]:
            if entry in self.due:
                self.due.remove(entry)
                _, build, event = entry
                if event == "exited":
                    self.listed.discard(build)
                    if self.processes.pop(build, None) is None:
                        continue
                    self.due = [
                        e
                        for e in self.due
                        if (e[1], e[2]) not in [(build, x) for x in ("ready", "late", "exited")]
                    ]
                self.act(now, self.place.handle_event(build, event))

    def crash(self, now):
        """It comes back a while later: the order and its living processes are all it knows."""
        self.down_until = now + 300 * MS
        old, self.place = self.place, BuildSlots()
        self.due = [
            (max(at, self.down_until), b, e) for at, b, e in self.due if e == "exited" and b in self.processes
        ]
        self.place.generation = old.generation
        for build in sorted({*old.slots, *self.processes}):
            new = self.place.slots[build] = BuildSlot(build)
            new.desired = old.slots[build].desired if build in old.slots else "gone"
            actions = (
                new.adopt(build in self.listed) if build in self.processes else new.handle_event(new.desired)
            )
            if new.state == STARTING and build in self.processes:
                event = "late" if self.processes[build] == "hang" else "ready"
                self.due.append((self.down_until + TAKES["start"], build, event))
            self.act(self.down_until, [(build, action) for action in actions])
        self.place.drop_absent()

    def said(self):
        return {
            "place": self.name,
            "generation": max(0, self.place.generation),
            "done": self.place.is_order_complete(),
            "slots": [
                {"build": b, "state": s.state, "id": "", "why": s.why} for b, s in self.place.slots.items()
            ],
        }


class Together:
    def __init__(self, layout, faults, lost):
        self.now, self.layout, self.lost, self.epoch = 0, layout, list(lost), 1
        self.agents = {f"h{n}": Agent(f"h{n}", faults) for n in range(3)}
        self.desk_down_until, self.empty, self.emptiest = -1, {}, 0
        self.stages = ReleaseStages(ReleaseSettings(layout=layout, **RELEASE), list(self.agents), NO_BUILD, 0)
        self.hosts = HostOrders(list(self.agents), epoch=1)
        self.kept = json.dumps(self.stages.dump())

    def crash_desk(self):
        """What was not yet written is lost; what was is carried on from. Hosts are heard before orders go
        out."""
        self.epoch += 1
        self.desk_down_until = self.now + 400 * MS
        self.stages = ReleaseStages(
            ReleaseSettings(layout=self.layout, **RELEASE), list(self.agents), NO_BUILD, self.now
        )
        self.stages.load(json.loads(self.kept), self.now)
        self.hosts = HostOrders(list(self.agents), epoch=self.epoch)

    def step(self):
        self.now += 20 * MS
        for agent in self.agents.values():
            agent.step(self.now)
        if self.now >= self.desk_down_until:
            self.desk()
        for name, agent in self.agents.items():
            serves = any(fault == "fine" for fault in agent.processes.values())
            self.empty[name] = 0 if serves else self.empty.get(name, 0) + 20 * MS
            self.emptiest = max(self.emptiest, self.empty[name])

    def desk(self):
        unheard = any(h.heard_at is None for h in self.hosts.hosts.values())
        for name, agent in self.agents.items():
            if self.now >= agent.down_until and not (self.lost and self.lost.pop(0)):
                rows = self.hosts.apply_report(self.now, agent.said())
                listed = {row[0] for row in rows}
                for id in [
                    i for i, m in self.stages.instances.items() if m.place == name and i not in listed
                ]:
                    self.stages.update_instance(self.now, id, "", 0, "gone")
                for row in rows:
                    self.stages.update_instance(self.now, *row)
        if unheard:
            if all(h.heard_at is not None for h in self.hosts.hosts.values()):
                for name in self.agents:
                    self.hosts.adopt_running(name)
            return
        self.stages.tick(self.now)
        self.kept = json.dumps(self.stages.dump())
        self.hosts.apply_orders(self.now, self.stages.orders(self.now))
        keep = {b for b in (self.stages.stable, self.stages.build, *self.stages.offered) if b}
        for name, agent in self.agents.items():
            if self.now >= agent.down_until and not (self.lost and self.lost.pop(0)):
                order = self.hosts.order_for(name, keep)
                wishes = {int(b): w for b, w in order["wishes"].items()}
                agent.act(self.now, agent.place.apply_order(order["generation"], wishes))

    def run(self, seconds):
        for _ in range(int(seconds * 50)):
            self.step()


ACTS = st.tuples(
    st.sampled_from(["offer", "on", "back", "crash desk", "crash h0", "crash h1", "end", "wait"]),
    st.sampled_from([0.04, 0.2, 0.5, 1.5]),
)


@settings(derandomize=True, deadline=None, max_examples=int(os.environ.get("COBALTPOND_EXAMPLES", 100)))
@given(
    st.sampled_from(["beside", "in place"]),
    st.lists(ACTS, max_size=16),
    st.lists(st.sampled_from(["fine", "fine", "fail", "hang"]), max_size=10),
    st.lists(st.booleans(), max_size=60),
)
def test_desk_and_agents_end_where_the_last_order_says(layout, acts, faults, lost):
    world = Together(layout, [], [])
    world.stages.offer_build(0, 1)
    world.run(2)
    assert all(set(a.processes) == {1} for a in world.agents.values())
    world.emptiest = 0
    for agent in world.agents.values():
        agent.faults = list(faults)
    world.lost = list(lost)
    for what, wait in acts:
        desk_up = world.now >= world.desk_down_until and world.hosts.hosts["h0"].heard_at is not None
        if what == "offer" and desk_up:
            world.stages.offer_build(world.now, max([world.stages.build, *world.stages.offered]) + 1)
            world.kept = json.dumps(world.stages.dump())
        elif what in ("on", "back") and desk_up:
            world.stages.record_vote(world.now, 0, world.stages.build, world.stages.stage, what)
            world.kept = json.dumps(world.stages.dump())
        elif what == "crash desk":
            world.crash_desk()
        elif what.startswith("crash h"):
            world.agents[what[6:]].crash(world.now)
        elif what == "end" and world.agents["h2"].processes and world.now >= world.agents["h2"].down_until:
            build = sorted(world.agents["h2"].processes)[0]
            world.agents["h2"].due.append((world.now, build, "exited"))
        world.run(wait)
    for agent in world.agents.values():
        agent.faults.clear()
    world.lost.clear()
    world.run(12)
    if world.stages.phase == "trial":
        world.stages.record_vote(world.now, 0, world.stages.build, world.stages.stage, "back")
        world.run(12)
    if any(s.state == "failed" for a in world.agents.values() for s in a.place.slots.values()):
        world.run(14)  # what failed for good is tried again every ten seconds
    assert world.stages.phase != GOING_BACK and not world.stages.offered or world.stages.phase == "trial"
    if world.stages.phase in ("released", "withdrawn"):
        right = world.stages.build if world.stages.phase == "released" else world.stages.stable
        failed = {
            (n, b) for n, a in world.agents.items() for b, s in a.place.slots.items() if s.state == "failed"
        }
        for name, agent in world.agents.items():
            assert set(agent.processes) == {right} or (name, right) in failed, (
                world.stages.phase,
                right,
                name,
                agent.processes,
                world.hosts.order_for(name, set()),
            )
    assert not any(agent.twice for agent in world.agents.values())
    if "fail" not in faults and "hang" not in faults and "end" not in [what for what, _ in acts]:
        assert world.emptiest == 0  # crashes of desk and agents alone leave no place empty
