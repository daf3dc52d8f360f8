"""Limits of the whole fleet between real gateway processes, and limits at one gateway."""

import json

import pytest
from rig import MS, SECOND, Rig
from world import World, answer_ok, outcome_counts

from cobaltpond.loop import Sleep
from cobaltpond.recovery.measure import max_in_window
from cobaltpond.wire import http1

RATE = 30
FLEET_LIMIT = f'limit(name = "house", rate = per_second({RATE}), burst = 3, scope = "fleet")'
OWN_RATE = RATE / 5 / 3  # rate of a gateway without leases


def rig(tmp_path, count=3, **rest):
    cluster = Rig(tmp_path, count, extra_settings="", **rest)
    settings_path = cluster.settings_path
    cluster.let_through = []  # (time, gateway) of each served hit

    def with_limit(n):
        """Appends the limit below the call of `members`, which a limit of the fleet needs."""
        path = settings_path(n)
        text = cluster.loop.kernel.read_file(path).decode()
        cluster.loop.kernel.replace_file(path, (text + "\n" + FLEET_LIMIT).encode(), sync=False)
        return path

    cluster.settings_path = with_limit
    for n in range(2):
        cluster.instance(f"old-{n}", 1)
    return cluster


def send_hits_forever(cluster, n, every):
    """Sends hits to one gateway, whatever their results."""
    while True:
        status, _ = yield from cluster.get(n, "/look")
        if status == 200:
            cluster.let_through.append((cluster.loop.kernel.now(), n))
        yield Sleep(every)


def lent_rate(cluster, n):
    status = yield from cluster.status(n)
    return status["limited"]["leases"]["lent"] / 1000 if status else 0


def wait_until_lent(cluster, n, least, bound=15 * SECOND):
    def enough():
        return (yield from lent_rate(cluster, n)) >= least

    yield from cluster.until(enough, bound)


def served(cluster, begin, end, at=None):
    return sum(begin <= when < end and at in (None, n) for when, n in cluster.let_through)


def test_the_busiest_gateway_is_lent_most_of_a_limit_that_the_fleet_never_exceeds(tmp_path):
    cluster = rig(tmp_path)

    def go():
        yield from cluster.start_all()
        for _ in range(3):
            cluster.loop.spawn(send_hits_forever(cluster, 0, 10 * MS), "hits")
        yield from wait_until_lent(cluster, 0, RATE * 0.6)
        begin = cluster.loop.kernel.now()
        yield Sleep(3 * SECOND)
        hot = served(cluster, begin, begin + 3 * SECOND) / 3
        for n in (1, 2):
            for _ in range(2):
                cluster.loop.spawn(send_hits_forever(cluster, n, 10 * MS), "hits")
        yield Sleep(6 * SECOND)
        begin = cluster.loop.kernel.now()
        yield Sleep(3 * SECOND)
        return hot, [served(cluster, begin, begin + 3 * SECOND, n) / 3 for n in range(3)]

    hot, each = cluster.run(go(), 90 * SECOND)
    assert RATE * 0.6 <= hot <= RATE * 1.1  # a fixed share would give a third
    assert sum(each) <= RATE * 1.1 and min(each) >= OWN_RATE * 0.8, each
    # No second exceeds the allowance plus the burst of each gateway.
    assert max_in_window([when for when, _ in cluster.let_through]) <= RATE * 1.1 + 3 * 3


@pytest.mark.parametrize("how", ["KILL", "STOP", "cut"])
def test_a_failed_owner_is_replaced_and_nothing_is_lent_twice(tmp_path, how):
    cluster = rig(tmp_path)

    def owner():
        for n in range(3):
            status = yield from cluster.status(n)
            if status["limited"]["leases"]["out"]:
                return n
        raise AssertionError("no owner has granted a lease")

    def go():
        yield from cluster.start_all()
        for n in range(3):
            cluster.loop.spawn(send_hits_forever(cluster, n, 10 * MS), "hits")
        for n in range(3):
            yield from wait_until_lent(cluster, n, 1)
        first = yield from owner()
        others = [n for n in range(3) if n != first]
        begin = cluster.loop.kernel.now()
        if how == "cut":
            cluster.between([first], others, cut=True)
        else:
            cluster.signal(how, first)
        yield from cluster.until_seen("failed", [first], others)
        for n in others:
            yield from wait_until_lent(cluster, n, 1)  # another owner lends
        if how == "cut":
            cluster.between([first], others, cut=False)
        elif how == "STOP":
            cluster.signal("CONT", first)
        yield Sleep(4 * SECOND)
        return begin

    begin = cluster.run(go(), 90 * SECOND)
    times = [when for when, _ in cluster.let_through if when >= begin]
    assert max_in_window(times) <= RATE * 1.1 + 3 * 3
    assert max_in_window(times, 4 * SECOND) <= 4 * RATE * 1.1 + 3 * 3


# --- at one gateway -----------------------------------------------------------------------------------------

GATEWAY_LIMITS = """\
limit(name = "buys", where = where(group = "pay"), by = "customer", rate = per_second(2), burst = 2)
limit(name = "repeats", counts = "repeats", share_of = "tries", most = 0.5, over = bounce(advice = False))
limit(name = "looks", where = where(group = "look"), rate = per_second(1), trial = True)
"""
ANN, BOB = [(b"cobaltpond-customer", b"ann")], [(b"cobaltpond-customer", b"bob")]


def test_a_hit_over_a_limit_is_rejected_before_the_decisions_and_keeps_its_connection():
    world = World(answer_ok, extra_settings=GATEWAY_LIMITS)

    def go():
        connection = yield from world.connect()
        got = []
        for fields in (ANN, ANN, ANN, BOB):
            got.append((yield from world.ask("POST", "/pay", fields, b"x" * 2000, connection)))
        got.append((yield from world.ask("GET", "/look", ANN, b"", connection)))
        return got

    got = world.run(go())
    assert [status for status, _, _ in got] == [200, 200, 429, 200, 200]
    _, head, body = got[2]
    problem = json.loads(body)
    assert problem["limit"] == "buys" and 0 < problem["retry_after_ms"] <= 500 and problem["retry_harmless"]
    assert head.get(b"cobaltpond-retry") == b"harmless" and head.get(b"retry-after") == b"1"
    assert (
        len(world.received_requests) == 4
        and world.process.host.accepted_count == 4
        and outcome_counts(world)["limited"] == 1
    )


def test_retries_over_their_share_are_rejected_and_a_limit_on_trial_rejects_nothing():
    world = World(answer_ok, extra_settings=GATEWAY_LIMITS)
    again = [(b"cobaltpond-try", b"1")]

    def go():
        got = []
        for fields in ([], [], again, again, again):
            got.append((yield from world.ask("GET", "/look", fields)))
        return got

    got = world.run(go())
    assert [status for status, _, _ in got] == [200, 200, 200, 429, 429]
    assert "retry_after_ms" not in json.loads(got[3][2])  # waiting would not help
    counts = world.process.frontend.admission_limits.status()["limits"]
    assert counts["repeats"] == {"let_through": 1, "over": 2} and counts["looks"]["over"] >= 2
    assert any(
        event == "over a limit" and more["limit"] == "looks" and not more["bounced"]
        for _, event, more in world.log.lines
    )


def test_a_client_that_expects_100_continue_gets_the_rejection_and_a_close():
    world = World(answer_ok, extra_settings=GATEWAY_LIMITS)

    def go():
        for _ in range(2):
            yield from world.ask("POST", "/pay", ANN, b"x")
        return (
            yield from world.raw(
                http1.request("POST", "/pay", [(b"host", b"t"), *ANN, (b"expect", b"100-continue")], b"12345")
            )
        )

    got = world.run(go())
    assert (
        got.startswith(b"HTTP/1.1 429") and b"100 Continue" not in got and len(world.received_requests) == 2
    )
