"""Limits of the whole fleet between real gateway processes, and limits at one door."""

import json

import pytest
from rig import MS, SECOND, Rig
from world import World, good, hits

from cobaltpond.loop import Sleep
from cobaltpond.recovery.measure import max_in_window
from cobaltpond.wire import http1

RATE = 30
MORE = f'limit(name = "house", rate = per_second({RATE}), burst = 3, scope = "fleet")'
OWN = RATE / 5 / 3  # of a gateway that has nothing lent


def rig(tmp_path, count=3, **rest):
    one = Rig(tmp_path, count, more="", **rest)
    sheet = one.settings_path
    one.let_through = []  # when a hit was served, and where

    def with_limit(n):
        """Below the call of members, which a limit of the fleet needs."""
        path = sheet(n)
        text = one.loop.kernel.read_file(path).decode()
        one.loop.kernel.replace_file(path, (text + "\n" + MORE).encode(), sync=False)
        return path

    one.settings_path = with_limit
    for n in range(2):
        one.instance(f"old-{n}", 1)
    return one


def knocking(one, n, every):
    """Hits at one door, whatever becomes of them."""
    while True:
        status, _ = yield from one.get(n, "/look")
        if status == 200:
            one.let_through.append((one.loop.kernel.now(), n))
        yield Sleep(every)


def lent(one, n):
    status = yield from one.status(n)
    return status["limited"]["leases"]["lent"] / 1000 if status else 0


def until_lent(one, n, least, bound=15 * SECOND):
    def enough():
        return (yield from lent(one, n)) >= least

    yield from one.until(enough, bound)


def served(one, begin, end, at=None):
    return sum(begin <= when < end and at in (None, n) for when, n in one.let_through)


def test_the_gateway_with_all_the_traffic_is_lent_most_of_it_and_the_fleet_never_has_more(tmp_path):
    one = rig(tmp_path)

    def go():
        yield from one.gathered()
        for _ in range(3):
            one.loop.spawn(knocking(one, 0, 10 * MS), "knocking")
        yield from until_lent(one, 0, RATE * 0.6)
        begin = one.loop.kernel.now()
        yield Sleep(3 * SECOND)
        hot = served(one, begin, begin + 3 * SECOND) / 3
        for n in (1, 2):
            for _ in range(2):
                one.loop.spawn(knocking(one, n, 10 * MS), "knocking")
        yield Sleep(6 * SECOND)
        begin = one.loop.kernel.now()
        yield Sleep(3 * SECOND)
        return hot, [served(one, begin, begin + 3 * SECOND, n) / 3 for n in range(3)]

    hot, each = one.run(go(), 90 * SECOND)
    assert RATE * 0.6 <= hot <= RATE * 1.1  # a fixed share would be a third
    assert sum(each) <= RATE * 1.1 and min(each) >= OWN * 0.8, each
    # in no second more than the allowance, and each gateway's burst
    assert max_in_window([when for when, _ in one.let_through]) <= RATE * 1.1 + 3 * 3


@pytest.mark.parametrize("how", ["KILL", "STOP", "cut"])
def test_an_owner_that_dies_stops_or_is_cut_off_is_followed_by_another_and_nothing_is_lent_twice(
    tmp_path, how
):
    one = rig(tmp_path)

    def owner():
        for n in range(3):
            status = yield from one.status(n)
            if status["limited"]["leases"]["out"]:
                return n
        raise AssertionError("nobody owns it")

    def go():
        yield from one.gathered()
        for n in range(3):
            one.loop.spawn(knocking(one, n, 10 * MS), "knocking")
        for n in range(3):
            yield from until_lent(one, n, 1)
        first = yield from owner()
        others = [n for n in range(3) if n != first]
        begin = one.loop.kernel.now()
        if how == "cut":
            one.between([first], others, cut=True)
        else:
            one.signal(how, first)
        yield from one.until_seen("failed", [first], others)
        for n in others:
            yield from until_lent(one, n, 1)  # another one has taken it up
        if how == "cut":
            one.between([first], others, cut=False)
        elif how == "STOP":
            one.signal("CONT", first)
        yield Sleep(4 * SECOND)
        return begin

    begin = one.run(go(), 90 * SECOND)
    times = [when for when, _ in one.let_through if when >= begin]
    assert max_in_window(times) <= RATE * 1.1 + 3 * 3
    assert max_in_window(times, 4 * SECOND) <= 4 * RATE * 1.1 + 3 * 3


# --- at one door --------------------------------------------------------------------------------------------

ONE = """limit(name = "buys", where = where(group = "pay"), by = "customer", rate = per_second(2), burst = 2)
limit(name = "repeats", counts = "repeats", share_of = "tries", most = 0.5, over = bounce(advice = False))
limit(name = "looks", where = where(group = "look"), rate = per_second(1), trial = True)
"""
ANN, BOB = [(b"cobaltpond-customer", b"ann")], [(b"cobaltpond-customer", b"bob")]


def test_a_hit_over_a_limit_is_bounced_before_the_decisions_hear_of_it_and_its_connection_goes_on():
    world = World(good, more=ONE)

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
    told = json.loads(body)
    assert told["limit"] == "buys" and 0 < told["retry_after_ms"] <= 500 and told["retry_harmless"]
    assert head.get(b"cobaltpond-retry") == b"harmless" and head.get(b"retry-after") == b"1"
    assert len(world.got) == 4 and world.process.host.taken == 4 and hits(world)["limited"] == 1


def test_repeats_are_a_share_of_first_tries_and_a_limit_on_trial_bounces_nobody():
    world = World(good, more=ONE)
    again = [(b"cobaltpond-try", b"1")]

    def go():
        got = []
        for fields in ([], [], again, again, again):
            got.append((yield from world.ask("GET", "/look", fields)))
        return got

    got = world.run(go())
    assert [status for status, _, _ in got] == [200, 200, 200, 429, 429]
    assert "retry_after_ms" not in json.loads(got[3][2])  # nothing that waiting would bring
    counts = world.process.frontend.admission_limits.status()["limits"]
    assert counts["repeats"] == {"let_through": 1, "over": 2} and counts["looks"]["over"] >= 2
    assert any(
        event == "over a limit" and more["limit"] == "looks" and not more["bounced"]
        for _, event, more in world.log.lines
    )


def test_who_expects_a_go_ahead_gets_the_bounce_in_its_place_and_a_close():
    world = World(good, more=ONE)

    def go():
        for _ in range(2):
            yield from world.ask("POST", "/pay", ANN, b"x")
        return (
            yield from world.raw(
                http1.request("POST", "/pay", [(b"host", b"t"), *ANN, (b"expect", b"100-continue")], b"12345")
            )
        )

    got = world.run(go())
    assert got.startswith(b"HTTP/1.1 429") and b"100 Continue" not in got and len(world.got) == 2
