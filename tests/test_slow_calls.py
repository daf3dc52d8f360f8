"""Tests of calls whose peer is slower than the caller's time limit, or silent for a while.

A response is composed before its delay. The virtual kernel makes all times exact.
"""

import json
from types import SimpleNamespace

import pytest
from conform import LOCAL_ANY_PORT, run_on_virtual
from world import Log, World, answer_ok

from cobaltpond.agent.main import Agent
from cobaltpond.agent.registration import CALL_TIMEOUT_US
from cobaltpond.agent.states import DRAINING
from cobaltpond.desk.service import Desk
from cobaltpond.loop import Deadline, DeadlineExceededError, Sleep
from cobaltpond.rpc import CALL_ERRORS, RepeatedCall, json_response, serve_rpc
from cobaltpond.rpc.repeated_call import MAX_LATE_CALLS

MS, SECOND = 1000, 1_000_000
SLOW = CALL_TIMEOUT_US * 3 // 2


class SlowServer:
    """Answers each call `delay` microseconds late with the body of the request; calls that come while it is
    silent are never answered. `bodies`: of all requests. `open_calls`: calls without a response.
    """

    def __init__(self, loop, delay):
        self.loop, self.delay, self.is_silent = loop, delay, False
        self.bodies, self.open_calls, self.most_open = [], 0, 0
        listener = loop.kernel.listen(LOCAL_ANY_PORT, 64)
        self.address = listener.address()
        self.text_address = f"{self.address[0]}:{self.address[1]}"
        self.task = loop.spawn(serve_rpc(loop, listener, self.answer, "slow"), "slow")

    def answer(self, request):
        self.bodies.append(request.body)
        self.open_calls += 1
        self.most_open = max(self.most_open, self.open_calls)
        if self.is_silent:
            yield Sleep(600 * SECOND)
        yield Sleep(self.delay)
        self.open_calls -= 1
        return json_response(200, json.loads(request.body or b"null"))


def run_with_server(play, delay, tmp_path):
    """Runs `play(loop, server)` on the virtual kernel with a slow server; returns its result."""

    def case(loop, _):
        server = SlowServer(loop, delay)
        with Deadline(loop, 40 * SECOND):
            result = yield from play(loop, server)
        loop.cancel_all()
        return result

    return run_on_virtual(case, str(tmp_path))


def first_response(call, body, pause=50 * MS):
    """Repeats a call until it has a response."""
    while True:
        try:
            return (yield from call.attempt("POST", "/", body(), CALL_TIMEOUT_US))
        except (*CALL_ERRORS, DeadlineExceededError):
            yield Sleep(pause)


@pytest.mark.parametrize("delay", [SLOW, 3 * SLOW])
def test_repeated_call_hears_a_peer_slower_than_its_limit(delay, tmp_path):
    """Guards against calls that are given up and made anew for ever; the response names its own request."""

    def play(loop, server):
        call, numbers, began = RepeatedCall(loop, server.address), iter(range(100)), loop.now()
        response = yield from first_response(call, lambda: b"%d" % next(numbers))
        return response.status, response.request_body, json.loads(response.body), loop.now() - began

    status, request_body, answered, took = run_with_server(play, delay, tmp_path)
    assert (status, request_body, answered) == (200, b"0", 0) and took < delay + 100 * MS


def test_repeated_call_does_not_crowd_a_slow_peer(tmp_path):
    """Guards against a retry storm: once a response was late, the next call waits for it."""

    def play(loop, server):
        call = RepeatedCall(loop, server.address)
        for _ in range(8):
            yield from first_response(call, lambda: b"1")
        return len(server.bodies), server.most_open

    assert run_with_server(play, SLOW, tmp_path) == (9, 2)


def test_peer_that_returns_from_silence_is_heard_within_the_time_limit(tmp_path):
    """Guards against waiting for calls of a silent time; their number is bounded."""

    def play(loop, server):
        call, returned_at = RepeatedCall(loop, server.address), loop.now() + 20 * SECOND
        server.is_silent, server.delay = True, 1 * MS
        loop.call_at(returned_at, lambda: setattr(server, "is_silent", False))
        yield from first_response(call, lambda: b"1")
        open_reads = sum(task.name == "late-read" for task in loop.tasks)
        return loop.now() - returned_at, open_reads

    took, open_reads = run_with_server(play, 0, tmp_path)
    assert took < CALL_TIMEOUT_US + 100 * MS and open_reads <= MAX_LATE_CALLS


def test_desk_hears_a_slow_platform(tmp_path):
    """Guards against a desk that never learns of its instances: each poll was given up after a second."""
    replies = []

    def play(loop, server):
        desk = SimpleNamespace(
            loop=loop, platform=server.address, log=Log(), apply_instance_list=replies.append
        )
        poll = loop.spawn(Desk.poll_platform(desk), "poll")
        yield Sleep(10 * SECOND)
        poll.cancel()
        return len(server.bodies)

    calls = run_with_server(play, SLOW, tmp_path)
    assert len(replies) >= 5 and calls <= len(replies) + 2


def agent_for(loop, server):
    """The parts of an agent that its calls use, all directed to the server."""
    return SimpleNamespace(
        loop=loop,
        log=Log(),
        settings=SimpleNamespace(
            desk=SimpleNamespace(address=server.text_address),
            listing=SimpleNamespace(address=server.text_address),
            release=SimpleNamespace(drain_time=0),
            builds=SimpleNamespace(ready_time=4 * SECOND),
        ),
        host=SimpleNamespace(address=server.address[0], zone="a", cell=0, place="p"),
    )


def test_agent_report_to_a_slow_desk_is_made_once(tmp_path):
    """Guards against a report that is made again and again as none of its responses is heard."""

    def play(loop, server):
        agent = agent_for(loop, server)
        agent.current_report = lambda: {"done": True}
        task = loop.spawn(Agent.send_reports(agent), "report")
        yield Sleep(18 * SECOND)
        task.cancel()
        return len(server.bodies), server.most_open

    calls, most_open = run_with_server(play, SLOW, tmp_path)
    assert calls <= 12 and most_open <= 2


def test_agent_registers_with_a_slow_list(tmp_path):
    """Guards against an instance whose drain never ends, as no response of the list is heard."""
    events = []

    def play(loop, server):
        agent = agent_for(loop, server)
        agent.instance_id = lambda process: "i"
        agent.build_slots = SimpleNamespace(slots={7: SimpleNamespace(state=DRAINING)})
        agent.schedule_event = lambda *event: events.append(event)
        agent.start_task = lambda key, name, task: loop.spawn(task, name)
        process = SimpleNamespace(port=9, mark="m", started_at=0, listed_state="up")
        Agent.publish_state(agent, 7, process, "draining")
        yield Sleep(5 * SECOND)
        return len(server.bodies)

    assert run_with_server(play, SLOW, tmp_path) == 2 and events == [(7, 0, "drained")]


def test_instance_with_a_slow_health_check_becomes_ready(tmp_path):
    """Guards against a build that counts as not ready in time although it answers, later than the limit."""
    events = []

    def play(loop, server):
        agent = agent_for(loop, server)
        agent.processes = {7: SimpleNamespace(port=server.address[1])}
        agent.manifests = {7: (SimpleNamespace(health="/health"), b"")}
        agent.apply_event = lambda *event: events.append(event)
        agent.start_task = lambda key, name, task: loop.spawn(task, name)
        Agent.do_probe(agent, 7)
        yield Sleep(6 * SECOND)

    run_with_server(play, SLOW, tmp_path)
    assert events == [(7, "ready")]


def test_list_slower_than_a_third_of_its_validity_is_known():
    """Guards against a gateway that polls the list for ever and gives up each poll before its response."""
    world = World(answer_ok, by="asking")
    serve_list, slow = world.on_list, world.settings.listing.ask_within // 2

    def answer_late(request):
        response = serve_list(request)
        yield Sleep(slow)
        return response

    listener = world.loop.kernel.listen(LOCAL_ANY_PORT, 64)
    world.loop.spawn(serve_rpc(world.loop, listener, answer_late, "slow-list"), "slow-list")
    world.process.list_follower.address = listener.address()

    def go():
        yield from world.until(lambda: world.process.list_follower.has_received)
        return (yield from world.ask())[0]

    assert world.run(go()) == 200
