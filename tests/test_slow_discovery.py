"""Tests of the instance list while discovery is slow, crowded or silent, with the real time limits.

They run on the virtual kernel: a response on its way takes its whole time there, whatever the machine does.
"""

import pytest
from pgworld import PgWorld, answer_script, good_answer, statement

from cobaltpond.edge.discovery_calls import MAX_OPEN_CALLS
from cobaltpond.loop import Event, Sleep

MS = 1000
SECOND = 1_000_000
TOLD_AFTER = 6 * SECOND  # whatever discovery has to tell counts as told by then
TOLD_AFTER_SIGHUP = 4 * SECOND
DRAIN_GRACE = 250 * MS


class SlowDiscovery:
    """Answers calls at two addresses of discovery, each `delay` microseconds late.

    The response is composed before the delay, so later changes are not in it. `is_serial`: it works on one
    call at a time, also on those whose caller has gone. `is_silent`: it does not answer; the calls of that
    time are never answered, or at the end of the silence where `answers_pending_calls`.
    """

    def __init__(self, world, delay):
        self.world, self.delay, self.is_serial = world, delay, False
        self.answers_pending_calls = False
        self.is_silent, self.queued, self.served, self.became_free = False, 0, 0, Event()
        self.calls, self.open_calls, self.most_open = [], 0, 0
        for offset in (1, 3):
            world.response_overrides[offset] = self.answer

    def answer(self, request):
        self.calls.append(self.world.loop.now())
        self.open_calls += 1
        self.most_open = max(self.most_open, self.open_calls)
        while self.is_silent:
            yield Sleep(10 * MS if self.answers_pending_calls else 60 * SECOND)
        if "after" in request.query:
            yield from self.wait_for_change(request)
        self.queued += 1
        ticket = self.queued
        while self.is_serial and ticket > self.served + 1:
            yield self.became_free
        response = yield from self.current_response(request)
        yield Sleep(self.delay)
        self.served += 1
        self.became_free.set()
        self.open_calls -= 1
        return response

    def wait_for_change(self, request):
        """Waits as long as the watch may, or until there is a change."""
        yield from self.world.watch(int(request.query["after"]), self.end_of_wait(request))

    def current_response(self, request):
        """Returns what the world has to tell now."""
        if "after" not in request.query:
            return self.world.on_discovery(request)
        return (yield from self.world.watch(int(request.query["after"]), self.world.loop.now()))

    def end_of_wait(self, request):
        return self.world.loop.now() + int(request.query["wait_ms"]) * MS


@pytest.fixture
def make_world(monkeypatch):
    """Returns a function that makes a test bed on the virtual kernel with a slow discovery."""

    def make(delay):
        monkeypatch.setattr(PgWorld, "virtual", True)
        world = PgWorld(answer_script(lambda text, _: good_answer(text)), known_list=True)
        world.discovery = SlowDiscovery(world, delay)
        return world

    return make


def state(world):
    return world.edge.endpoints.by_id["s-0"].row["state"]


def time_until_known(world, health, bound=TOLD_AFTER):
    """Publishes a change of the instance and returns how long the gateway takes to know it."""
    began = world.loop.now()
    world.publish_host(host="s-0", health=health)
    yield from world.until(lambda: state(world) == health, 2 * bound)
    return world.loop.now() - began


def longest_until_known(world, pauses_ms):
    """Publishes changes after these pauses, at different points; returns the longest time."""
    took = []
    for pause in pauses_ms:
        yield Sleep(pause * MS)
        took.append((yield from time_until_known(world, "up" if len(took) % 2 else "draining")))
    return max(took)


def first_known(world, health, began):
    """Returns how long after `began` the gateway knows a state that discovery has already."""
    yield from world.until(lambda: state(world) == health, 2 * TOLD_AFTER)
    return world.loop.now() - began


@pytest.mark.parametrize("delay_ms", [900, 1100, 1500, 2500, 4000, 5000])
def test_drain_is_known_in_time_from_a_slow_discovery(delay_ms, make_world):
    """Guards against a list that is never heard again: each call was given up before its response came."""
    world = make_world(delay=1 * MS)

    def go():
        yield Sleep(3 * SECOND)
        world.discovery.delay = delay_ms * MS
        yield Sleep(6 * SECOND)
        return (yield from longest_until_known(world, (0, 300, 1100, 1900, 700)))

    assert world.run(go(), bound=50 * SECOND) < TOLD_AFTER


@pytest.mark.parametrize("delay_ms", [1500, 4000, 5000])
def test_drain_is_known_in_time_where_discovery_was_slow_from_the_start(delay_ms, make_world):
    """Guards against calls so far apart that a change between two of them is known too late."""
    world = make_world(delay=delay_ms * MS)

    def go():
        yield Sleep(10 * SECOND)
        return (yield from longest_until_known(world, (0, 300, 1100, 1900, 700)))

    assert world.run(go(), bound=55 * SECOND) < TOLD_AFTER


@pytest.mark.parametrize("delay_ms", [1100, 1500, 4000])
def test_first_list_of_a_new_process_comes_from_a_slow_discovery(delay_ms, make_world):
    """Guards against a restarted gateway that goes by its old list for as long as discovery is slow."""
    world = make_world(delay=delay_ms * MS)
    world.publish_host(host="s-0", health="draining")
    began = world.loop.now()
    assert world.run(first_known(world, "draining", began), bound=20 * SECOND) < TOLD_AFTER


def test_slow_new_source_is_followed_in_time(make_world):
    """Guards against a change of address after which nothing is heard, as the new source is slow."""
    world = make_world(delay=1500 * MS)

    def go():
        yield from world.until(lambda: world.edge.discovery.has_received)
        began = world.loop.now()
        world.edge.discovery.start(("127.0.0.1", world.base + 3))
        world.publish_host(host="s-0", health="draining")
        yield from world.until(lambda: len(world.edge.discovery.source_switch.tasks) == 1)
        yield from world.until(lambda: state(world) == "draining")
        return world.loop.now() - began, world.requests[-1][0]

    took, offset = world.run(go(), bound=20 * SECOND)
    assert took < TOLD_AFTER_SIGHUP and offset == 3


def test_discovery_that_is_nearly_too_late_is_heard(make_world):
    """Guards against giving up calls whose response is still of use: up to the platform's 6 s."""
    world = make_world(delay=5_500 * MS)
    world.publish_host(host="s-0", health="draining")
    began = world.loop.now()

    def go():
        first = yield from first_known(world, "draining", began)
        yield Sleep(6 * SECOND)
        return first, (yield from time_until_known(world, "up"))

    first, later = world.run(go(), bound=40 * SECOND)
    assert first < TOLD_AFTER and later < 2 * TOLD_AFTER


@pytest.mark.parametrize("delay_ms", [1500, 4000])
def test_slow_discovery_is_not_crowded_by_more_calls(delay_ms, make_world):
    """Guards against a retry storm: the slower discovery is, the fewer calls it gets, for changes alone."""
    world = make_world(delay=delay_ms * MS)

    def go():
        yield Sleep(10 * SECOND)
        world.discovery.calls.clear()
        world.requests.clear()
        world.discovery.most_open = world.discovery.open_calls
        yield Sleep(20 * SECOND)
        whole_lists = sum(path.endswith("/hosts") and not is_watch for _, path, is_watch in world.requests)
        return len(world.discovery.calls), world.discovery.most_open, whole_lists

    calls, most_open, whole_lists = world.run(go(), bound=40 * SECOND)
    assert calls <= 20 * 2 and most_open <= 4 and whole_lists == 0


@pytest.mark.parametrize("service_ms", [300, 600, 900, 1500, 2000])
def test_drain_is_known_in_time_from_a_crowded_discovery(service_ms, make_world):
    """Guards against calls that queue behind those given up before, so that each is given up as well."""
    world = make_world(delay=service_ms * MS)
    world.discovery.is_serial = True

    def go():
        return (yield from longest_until_known(world, (8_000, 300, 1_100)))

    assert world.run(go(), bound=50 * SECOND) < TOLD_AFTER


@pytest.mark.parametrize("delay_before_ms", [1, 1500])
def test_agent_that_returns_from_silence_is_heard_at_once(delay_before_ms, make_world):
    """Guards against waiting for calls that a silent agent never answers; what it has at its return counts
    at once, also where it was slow before.
    """
    world = make_world(delay=delay_before_ms * MS)

    def go():
        yield Sleep(8 * SECOND)
        world.discovery.is_silent, world.discovery.delay = True, 1 * MS
        yield Sleep(12 * SECOND)
        world.discovery.is_silent = False
        return (yield from time_until_known(world, "draining"))

    assert world.run(go(), bound=40 * SECOND) < DRAIN_GRACE


def test_list_is_known_in_time_after_two_outages(make_world):
    """Guards against taking the length of an outage for a response time, and then waiting as long again."""
    world = make_world(delay=1 * MS)
    world.discovery.answers_pending_calls = True

    def go():
        yield Sleep(3 * SECOND)
        for outage_s, pause_ms in ((8, 20), (4, 0)):
            world.discovery.is_silent = True
            yield Sleep(outage_s * SECOND)
            world.discovery.is_silent = False
            yield Sleep(pause_ms * MS)
        return (yield from time_until_known(world, "draining"))

    assert world.run(go(), bound=40 * SECOND) < DRAIN_GRACE


def test_calls_to_a_silent_agent_are_bounded(make_world):
    """Guards against one more open connection with each call during a long outage."""
    world = make_world(delay=1 * MS)

    def go():
        yield Sleep(3 * SECOND)
        world.discovery.is_silent = True
        most = 0
        for _ in range(300):
            yield Sleep(100 * MS)
            most = max(most, sum(task.name == "discovery-call" for task in world.loop.tasks))
        world.discovery.is_silent = False
        yield from time_until_known(world, "draining")
        return most, (yield from world.query(statement(1)))

    most, ((code, _),) = world.run(go(), bound=50 * SECOND)
    assert most <= MAX_OPEN_CALLS and code == "53300"
