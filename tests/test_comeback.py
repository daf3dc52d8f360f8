"""Recovery between real gateway processes: kills, pauses, damaged files and cut links during it."""

import pytest
from rig import MS, SECOND, Rig

from cobaltpond.loop import Sleep
from cobaltpond.recovery.measure import max_in_window

RECOVERY = "recovery(dials = 40.0, calls = 40.0, settle = s(6), snapshot_every = ms(300))"


def rig(tmp_path, count=3, instances=4, extra_settings=RECOVERY, **rest):
    cluster = Rig(tmp_path, count, extra_settings=extra_settings, **rest)
    for n in range(instances):
        cluster.instance(f"old-{n}", 1)
    return cluster


UNLIMITED_DIALS = RECOVERY.replace("dials = 40.0", "dials = 4000.0")  # where each instance has to be dialled


def meet_slow_instance(cluster, numbers, name="old-0"):
    """Has hits of each gateway answered, then one by an instance that has become slow.

    Which instance serves a hit depends on dial turns, so hits are sent until the slow one has served one.
    Before, all instances take 20 ms: otherwise the time of a dial would count as slowness and keep a gateway
    from the instance. On a busy machine a hit may be rejected as harmless to retry; it is sent again.
    """

    def served_by(names):
        return sum(cluster.served[each] for each in names)

    def answered(n, names, more):
        enough, tries = served_by(names) + more, 0
        while served_by(names) < enough:
            status, body = yield from cluster.get(n, "/look")
            assert status == 200 or status == 503 and b'retry_harmless":true' in body, (status, body)
            tries += 1
            assert tries < 200, f"gateway {n}: {cluster.served}"

    cluster.answer_delays = dict.fromkeys(cluster.answer_delays, 20 * MS)
    for n in numbers:
        yield from answered(n, list(cluster.served), 8)
    cluster.answer_delays[name] = SECOND
    for n in numbers:
        yield from answered(n, [name], 1)


def phases(cluster, n, start=-1):
    """The (phase, cause) pairs of one start of a gateway, in order, from its log."""
    starts = [[]]
    for line in cluster.log(n):
        if line["event"] == "phase":
            if line["before"] == "blank":
                starts.append([])
            starts[-1].append((line["phase"], line["cause"]))
    return starts[start]


def test_a_starting_gateway_follows_the_phases_and_asks_settled_donors(tmp_path):
    cluster = rig(tmp_path, extra_settings=UNLIMITED_DIALS)

    def go():
        yield from cluster.start_all()
        yield from cluster.until_phase("settled", range(3))
        yield from meet_slow_instance(cluster, (0, 1))
        cluster.signal("KILL", 2)
        yield from cluster.until_seen("failed", [2], [0, 1])
        cluster.start(2)
        yield from cluster.until_phase("settled", [2])
        statuses = []
        for n in range(3):
            statuses.append((yield from cluster.status(n)))
        return statuses

    first, second, third = (status["recovery"] for status in cluster.run(go()))
    assert [phase for phase, _ in phases(cluster, 2)][-3:] == ["warming", "serving", "settled"]
    assert third["asked"]["answers"] == 2 and first["counts"]["told"] == second["counts"]["told"] == 1
    # The slow instance was reported; the restarted gateway accepted that before its own first hit there.
    assert third["counts"]["recalled"] >= 1


def test_without_settled_donors_hits_are_served_at_once(tmp_path):
    cluster = rig(tmp_path)

    def go():
        yield from cluster.start_all()
        began = cluster.loop.kernel.now()
        cluster.signal("KILL", *range(3))
        cluster.start(*range(3))
        yield from cluster.until(lambda: served(0), 8 * SECOND)
        back = cluster.loop.kernel.now() - began
        yield from cluster.until_phase("settled", range(3))
        return back, (yield from cluster.status(0))["recovery"]

    def served(n):
        return (yield from cluster.get(n, "/look"))[0] == 200

    back, status = cluster.run(go())
    assert back < 5 * SECOND and status["asked"]["answers"] == 0
    assert max(since for since, phase, _ in status["story"] if phase == "serving") < 6 * SECOND


def test_first_calls_and_dials_of_a_mass_restart_stay_within_the_targets_rates(tmp_path):
    """Thundering herd: four calls a second for list and desk, ten dials a second for an instance, with hits
    at every gateway meanwhile.
    """
    cluster = rig(tmp_path, 4, 3, extra_settings="recovery(dials = 10.0, calls = 4.0, settle = s(4))")

    def hitting(n):
        while True:
            yield from cluster.get(n, "/look")
            yield Sleep(5 * MS)

    def go():
        yield from cluster.start_all()
        cluster.signal("KILL", *range(4))
        begin = cluster.loop.kernel.now()
        cluster.start(*range(4))
        for n in range(4):
            for _ in range(4):
                cluster.loop.spawn(hitting(n), f"hits-{n}")
        yield from cluster.until_phase("settled", range(4))
        return begin

    begin = cluster.run(go())
    for what in ("list", "desk"):
        times = [at for at, kind, _ in cluster.request_log if kind == what and at >= begin]
        # Four gateways and four calls a second: spread over a second, not in one burst.
        assert len(times) >= 4 and times[-1] - times[0] > 150 * MS, (what, times)
    for name, times in cluster.connect_times.items():
        times = [at for at in times if at >= begin]
        assert times and max_in_window(times) <= 10 + 3 * 10**0.5, (name, len(times))
    assert all(n > 20 for n in cluster.served.values())


def test_an_intact_snapshot_is_restored_and_a_truncated_or_foreign_one_is_refused(tmp_path):
    cluster = rig(
        tmp_path, 3, extra_settings=UNLIMITED_DIALS.replace("snapshot_every", "warm = False, snapshot_every")
    )
    kernel = cluster.loop.kernel

    def kept(n):
        def is_kept():
            yield Sleep(0)
            return (kernel.file_size(cluster.snapshot(n)) or 0) > 0

        return is_kept

    def damage_snapshot(n):
        data = kernel.read_file(cluster.snapshot(n))
        other = {1: data[:-20], 2: kernel.read_file(cluster.snapshot(0))}
        kernel.replace_file(cluster.snapshot(n), other.get(n, data), sync=False)

    def go():
        yield from cluster.start_all()
        yield from cluster.until_phase("settled", range(3))
        yield from meet_slow_instance(cluster, range(3))
        for n in range(3):
            kernel.remove(cluster.snapshot(n))
            yield from cluster.until(kept(n))
        cluster.signal("KILL", *range(3))
        yield from cluster.until(all_ended)
        results = []
        for n in range(3):
            damage_snapshot(n)
        cluster.start(*range(3))
        yield from cluster.until_phase("settled", range(3))
        for n in range(3):
            results.append((yield from cluster.status(n))["recovery"])
        return results

    def all_ended():
        yield Sleep(0)
        return not cluster.living()

    intact, torn, foreign = cluster.run(go())
    assert intact["snapshot"] == {"refused": None, "taken": True} and intact["counts"]["recalled"] >= 1
    assert "torn" in torn["snapshot"]["refused"] and torn["counts"]["recalled"] == 0
    assert "of gateway 0, not 2" in foreign["snapshot"]["refused"]


def test_a_gateway_that_has_just_started_holds_back_votes_and_samples(tmp_path):
    """The gateway starts in mid-trial, when the time since the stage began has long exceeded the vote's wait.
    It once voted *on* at once.
    """
    cluster = rig(tmp_path, 3, extra_settings="recovery(settle = s(3), hear = s(1))")
    cluster.instance("new-0", 2)

    def voted(n):
        def has():
            yield Sleep(0)
            return any(number == n and vote["verdict"] == "on" for number, vote in cluster.votes)

        return has

    def go():
        yield from cluster.start_all()
        yield from cluster.until_phase("settled", range(3))
        cluster.push_news(range(3), build=2, stage=0, phase="trial", cap=0.5)
        cluster.since -= 60 * SECOND
        yield from cluster.until(voted(1), 10 * SECOND)
        cluster.signal("KILL", 1)
        yield from cluster.until_seen("failed", [1], [0, 2])
        cluster.votes.clear()
        begin = cluster.loop.kernel.now()
        cluster.start(1)
        yield from cluster.until(voted(1), 15 * SECOND)
        after = cluster.loop.kernel.now() - begin
        status = yield from cluster.status(1)
        return after, status["recovery"]

    after, status = cluster.run(go())
    settled = next(at for at, phase, _ in status["story"] if phase == "settled")
    assert status["counts"]["held votes"] >= 1 and after >= settled


def test_a_long_stall_restarts_the_recovery_and_a_second_kill_during_it_is_harmless(
    tmp_path,
):
    cluster = rig(tmp_path)

    def go():
        yield from cluster.start_all()
        yield from cluster.until_phase("settled", range(3))
        cluster.signal("STOP", 1)
        yield from cluster.until_seen("failed", [1], [0, 2])
        yield Sleep(4_500 * MS)  # longer than a cold time: all knowledge is outdated
        cluster.signal("CONT", 1)
        yield from cluster.until_seen("alive", [1], [0, 2])
        yield from cluster.until(lambda: stood_still(1), 5 * SECOND)
        cluster.signal("KILL", 0, 2)
        cluster.start(0, 2)
        yield Sleep(300 * MS)
        cluster.signal("KILL", 0)
        cluster.start(0)
        yield from cluster.until_phase("settled", range(3))
        return (yield from cluster.hits(0, 5))

    def stood_still(n):
        yield Sleep(0)
        return any(cause == "stood still" for _, cause in phases(cluster, n))

    assert None not in cluster.run(go())


@pytest.mark.parametrize("how", ["empty", "older"])
def test_a_restarted_list_empty_or_stale_removes_and_restores_nothing(tmp_path, how):
    cluster = rig(tmp_path, 2)

    def go():
        yield from cluster.start_all()
        for n in range(2):
            yield from cluster.hits(n, 8)
        older, revision = list(cluster.rows), cluster.revision
        cluster.push_list({**cluster.rows[0], "state": "draining"}, range(2))
        yield Sleep(300 * MS)
        cluster.epoch = "later"
        cluster.rows = older if how == "older" else []
        cluster.revision = revision if how == "older" else 1
        for n in range(2):
            cluster.streams[n]["list"].close()  # the list service restarts without its state

        def doubted():
            yield Sleep(0)
            return how == "older" or all(
                any(line["event"] == "list doubted" for line in cluster.log(n)) for n in range(2)
            )

        yield from cluster.until(doubted)
        yield Sleep(500 * MS)
        results = []
        for n in range(2):
            results += yield from cluster.hits(n, 12)
        while (
            len(set(results)) < 3 and len(results) < 500
        ):  # which instance serves a hit depends on dial turns
            results += yield from cluster.hits(0, 4)
        return results

    results = cluster.run(go())
    assert None not in results and set(results) == {"old-1", "old-2", "old-3"}


def test_a_restarted_desk_receives_the_last_seen_state(tmp_path):
    cluster = rig(tmp_path, 2)

    def go():
        yield from cluster.start_all()
        cluster.push_news(range(2), build=2, stage=0, phase="trial", cap=0.5, mark=[5, 7], stable=1, gone=[])
        yield from cluster.until(lambda: heard("trial"))
        cluster.push_news(
            range(2), build=2, stage=0, phase="going back", cap=0.0, mark=[5, 8], stable=1, gone=[2]
        )
        yield from cluster.until(lambda: heard("going back"))
        cluster.reported_states.clear()
        for n in range(2):
            cluster.streams[n]["desk"].close()
        yield from cluster.until(asked_again)

    def heard(phase):
        for n in range(2):
            status = yield from cluster.status(n)
            if not status["desk"]["news"] or status["desk"]["news"]["phase"] != phase:
                return False
        return True

    def asked_again():
        yield Sleep(0)
        return len(cluster.reported_states) == 2

    cluster.run(go())
    word = {
        "mark": [5, 8],
        "build": 2,
        "stage": 0,
        "phase": "going back",
        "cap": 0.0,
        "stable": 1,
        "gone": [2],
    }
    assert [cluster.reported_states[n] for n in range(2)] == [word, word]
