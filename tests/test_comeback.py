"""Coming back between real gateway processes: kills, stops, torn files and cut links in the middle of it."""

import pytest
from rig import MS, SECOND, Rig

from cobaltpond.loop import Sleep
from cobaltpond.recovery.measure import max_in_window

SETTLE = "recovery(dials = 40.0, calls = 40.0, settle = s(6), snapshot_every = ms(300))"


def rig(tmp_path, count=3, instances=4, more=SETTLE, **rest):
    one = Rig(tmp_path, count, more=more, **rest)
    for n in range(instances):
        one.instance(f"old-{n}", 1)
    return one


FREE = SETTLE.replace("dials = 40.0", "dials = 4000.0")  # for tests in which each instance has to be met


def met_slowly(one, numbers, name="old-0"):
    """Each of these gateways has hits answered, then one by an instance that has become slow. Which instance
    a hit goes to is a matter of turns, so they hit until it has been that one's; all take 20 ms before, or
    the time of a dial would count as slowness and keep a gateway from it. A busy machine may cost a hit its
    place: it is turned away harmlessly, and asked again."""

    def served_by(names):
        return sum(one.served[each] for each in names)

    def answered(n, names, more):
        enough, tries = served_by(names) + more, 0
        while served_by(names) < enough:
            status, body = yield from one.get(n, "/look")
            assert status == 200 or status == 503 and b'retry_harmless":true' in body, (status, body)
            tries += 1
            assert tries < 200, f"gateway {n}: {one.served}"

    one.slow = dict.fromkeys(one.slow, 20 * MS)
    for n in numbers:
        yield from answered(n, list(one.served), 8)
    one.slow[name] = SECOND
    for n in numbers:
        yield from answered(n, [name], 1)


def phases(one, n, start=-1):
    """The phases of one start of a gateway, in order, out of its log."""
    lives = [[]]
    for line in one.log(n):
        if line["event"] == "phase":
            if line["before"] == "blank":
                lives.append([])
            lives[-1].append((line["phase"], line["cause"]))
    return lives[start]


def test_a_gateway_that_begins_goes_by_the_table_and_asks_settled_ones_what_they_know(tmp_path):
    one = rig(tmp_path, more=FREE)

    def go():
        yield from one.gathered()
        yield from one.until_phase("settled", range(3))
        yield from met_slowly(one, (0, 1))
        one.signal("KILL", 2)
        yield from one.until_seen("failed", [2], [0, 1])
        one.start(2)
        yield from one.until_phase("settled", [2])
        statuses = []
        for n in range(3):
            statuses.append((yield from one.status(n)))
        return statuses

    first, second, third = (status["recovery"] for status in one.run(go()))
    assert [phase for phase, _ in phases(one, 2)][-3:] == ["warming", "serving", "settled"]
    assert third["asked"]["answers"] == 2 and first["counts"]["told"] == second["counts"]["told"] == 1
    # the slow instance was worth a word; the restarted gateway believed it before its own first hit there
    assert third["counts"]["recalled"] >= 1


def test_where_nobody_is_settled_nobody_waits_for_a_donor_and_hits_are_served_all_the_same(tmp_path):
    one = rig(tmp_path)

    def go():
        yield from one.gathered()
        began = one.loop.kernel.now()
        one.signal("KILL", *range(3))
        one.start(*range(3))
        yield from one.until(lambda: served(0), 8 * SECOND)
        back = one.loop.kernel.now() - began
        yield from one.until_phase("settled", range(3))
        return back, (yield from one.status(0))["recovery"]

    def served(n):
        return (yield from one.get(n, "/look"))[0] == 200

    back, status = one.run(go())
    assert back < 5 * SECOND and status["asked"]["answers"] == 0
    assert max(since for since, phase, _ in status["story"] if phase == "serving") < 6 * SECOND


def test_first_calls_and_dials_of_all_that_begin_at_once_keep_to_what_the_targets_bear(tmp_path):
    """Ten calls a second for list and desk, ten dials a second for an instance; hits at every door all the
    while."""
    one = rig(tmp_path, 4, 3, more="recovery(dials = 10.0, calls = 4.0, settle = s(4))")

    def hitting(n):
        while True:
            yield from one.get(n, "/look")
            yield Sleep(5 * MS)

    def go():
        yield from one.gathered()
        one.signal("KILL", *range(4))
        begin = one.loop.kernel.now()
        one.start(*range(4))
        for n in range(4):
            for _ in range(4):
                one.loop.spawn(hitting(n), f"hits-{n}")
        yield from one.until_phase("settled", range(4))
        return begin

    begin = one.run(go())
    for what in ("list", "desk"):
        times = [at for at, kind, _ in one.asked if kind == what and at >= begin]
        # four gateways, four calls a second: spread over a second, not in one heap
        assert len(times) >= 4 and times[-1] - times[0] > 150 * MS, (what, times)
    for name, times in one.dials.items():
        times = [at for at in times if at >= begin]
        assert times and max_in_window(times) <= 10 + 3 * 10**0.5, (name, len(times))
    assert all(n > 20 for n in one.served.values())


def test_a_snapshot_is_taken_back_and_a_torn_a_foreign_and_a_future_one_are_refused(tmp_path):
    one = rig(tmp_path, 3, more=FREE.replace("snapshot_every", "warm = False, snapshot_every"))
    kernel = one.loop.kernel

    def kept(n):
        def is_kept():
            yield Sleep(0)
            return (kernel.file_size(one.snapshot(n)) or 0) > 0

        return is_kept

    def spoil(n):
        data = kernel.read_file(one.snapshot(n))
        other = {1: data[:-20], 2: kernel.read_file(one.snapshot(0))}
        kernel.replace_file(one.snapshot(n), other.get(n, data), sync=False)

    def go():
        yield from one.gathered()
        yield from one.until_phase("settled", range(3))
        yield from met_slowly(one, range(3))
        for n in range(3):
            kernel.remove(one.snapshot(n))
            yield from one.until(kept(n))
        one.signal("KILL", *range(3))
        yield from one.until(all_ended)
        got = []
        for n in range(3):
            spoil(n)
        one.start(*range(3))
        yield from one.until_phase("settled", range(3))
        for n in range(3):
            got.append((yield from one.status(n))["recovery"])
        return got

    def all_ended():
        yield Sleep(0)
        return not one.living()

    fine, torn, foreign = one.run(go())
    assert fine["snapshot"] == {"refused": None, "taken": True} and fine["counts"]["recalled"] >= 1
    assert "torn" in torn["snapshot"]["refused"] and torn["counts"]["recalled"] == 0
    assert "of gateway 0, not 2" in foreign["snapshot"]["refused"]


def test_no_vote_and_no_word_on_a_trial_from_one_that_has_only_just_begun(tmp_path):
    """It is started in mid-trial, patience counted from the stage long past: before, it said *on* at once."""
    one = rig(tmp_path, 3, more="recovery(settle = s(3), hear = s(1))")
    one.instance("new-0", 2)

    def voted(n):
        def has():
            yield Sleep(0)
            return any(number == n and vote["verdict"] == "on" for number, vote in one.votes)

        return has

    def go():
        yield from one.gathered()
        yield from one.until_phase("settled", range(3))
        one.tell_news(range(3), build=2, stage=0, phase="trial", cap=0.5)
        one.since -= 60 * SECOND
        yield from one.until(voted(1), 10 * SECOND)
        one.signal("KILL", 1)
        yield from one.until_seen("failed", [1], [0, 2])
        one.votes.clear()
        begin = one.loop.kernel.now()
        one.start(1)
        yield from one.until(voted(1), 15 * SECOND)
        after = one.loop.kernel.now() - begin
        status = yield from one.status(1)
        return after, status["recovery"]

    after, status = one.run(go())
    settled = next(at for at, phase, _ in status["story"] if phase == "settled")
    assert status["counts"]["held votes"] >= 1 and after >= settled


def test_one_that_stood_still_for_long_begins_anew_and_a_second_kill_in_mid_comeback_changes_nothing(
    tmp_path,
):
    one = rig(tmp_path)

    def go():
        yield from one.gathered()
        yield from one.until_phase("settled", range(3))
        one.signal("STOP", 1)
        yield from one.until_seen("failed", [1], [0, 2])
        yield Sleep(4_500 * MS)  # longer than a cold time: what it knows is as good as nothing
        one.signal("CONT", 1)
        yield from one.until_seen("alive", [1], [0, 2])
        yield from one.until(lambda: stood_still(1), 5 * SECOND)
        one.signal("KILL", 0, 2)
        one.start(0, 2)
        yield Sleep(300 * MS)
        one.signal("KILL", 0)
        one.start(0)
        yield from one.until_phase("settled", range(3))
        return (yield from one.hits(0, 5))

    def stood_still(n):
        yield Sleep(0)
        return any(cause == "stood still" for _, cause in phases(one, n))

    assert None not in one.run(go())


@pytest.mark.parametrize("how", ["empty", "older"])
def test_a_list_that_comes_back_empty_or_older_empties_nothing_and_brings_nothing_back(tmp_path, how):
    one = rig(tmp_path, 2)

    def go():
        yield from one.gathered()
        for n in range(2):
            yield from one.hits(n, 8)
        older, revision = list(one.rows), one.revision
        one.tell_list({**one.rows[0], "state": "draining"}, range(2))
        yield Sleep(300 * MS)
        one.epoch, one.rows, one.revision = (
            "later",
            older if how == "older" else [],
            revision if how == "older" else 1,
        )
        for n in range(2):
            one.streams[n]["list"].close()  # the list is back, and knows nothing of what it was

        def doubted():
            yield Sleep(0)
            return how == "older" or all(
                any(line["event"] == "list doubted" for line in one.log(n)) for n in range(2)
            )

        yield from one.until(doubted)
        yield Sleep(500 * MS)
        got = []
        for n in range(2):
            got += yield from one.hits(n, 12)
        while len(set(got)) < 3 and len(got) < 500:  # which of them is a matter of turns
            got += yield from one.hits(0, 4)
        return got

    got = one.run(go())
    assert None not in got and set(got) == {"old-1", "old-2", "old-3"}


def test_a_desk_that_comes_back_is_told_what_was_seen_last(tmp_path):
    one = rig(tmp_path, 2)

    def go():
        yield from one.gathered()
        one.tell_news(range(2), build=2, stage=0, phase="trial", cap=0.5, mark=[5, 7], stable=1, gone=[])
        yield from one.until(lambda: heard("trial"))
        one.tell_news(
            range(2), build=2, stage=0, phase="going back", cap=0.0, mark=[5, 8], stable=1, gone=[2]
        )
        yield from one.until(lambda: heard("going back"))
        one.seen.clear()
        for n in range(2):
            one.streams[n]["desk"].close()
        yield from one.until(asked_again)

    def heard(phase):
        for n in range(2):
            status = yield from one.status(n)
            if not status["desk"]["news"] or status["desk"]["news"]["phase"] != phase:
                return False
        return True

    def asked_again():
        yield Sleep(0)
        return len(one.seen) == 2

    one.run(go())
    word = {
        "mark": [5, 8],
        "build": 2,
        "stage": 0,
        "phase": "going back",
        "cap": 0.0,
        "stable": 1,
        "gone": [2],
    }
    assert [one.seen[n] for n in range(2)] == [word, word]
