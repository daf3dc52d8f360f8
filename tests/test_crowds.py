"""Crowds of clients against a real gateway process, beside usual clients (issue 55)."""

import asyncio
from collections import Counter

import pytest

from bench.crowd.clients import LATE_ALLOWANCE_S
from bench.crowd.crowd import start_crowd
from bench.crowd.fleet import CLOSE_ALLOWANCE_S, fleet, leave_with_commands_unread
from bench.crowd.gateway_process import Limits
from bench.crowd.play import CrowdPlay, play_crowd
from bench.crowd.settings import DEADLINES_S, ONCE_CLASS

# the gate: the share that is served is at least half
MIN_SERVED_SHARE = 0.5
# a usual client that is not let in has got no answer after this either
MAX_GAP_S = DEADLINES_S["listing-read"] + LATE_ALLOWANCE_S


def check_play(play: CrowdPlay) -> None:
    """Plays a crowd; checks that no process ended or held too much, and that usual clients were answered in
    time.
    """
    result = asyncio.run(play_crowd(play))
    assert result.fleet.crashes() == []
    assert result.traffic.lost() == []
    assert result.traffic.share() >= MIN_SERVED_SHARE, result.traffic.outcomes()
    assert result.longest_gap_s <= MAX_GAP_S, result.traffic.outcomes()


@pytest.mark.parametrize("memory_mb", [32, 64])
@pytest.mark.parametrize("kind", ["stop-half-way", "write-slowly", "many-fields", "pipeline"])
# Guards against clients by hundreds whose requests together exceed the memory of the process (a).
def test_crowd_of_large_requests_stays_within_memory_and_usual_clients_are_served(kind, memory_mb):
    check_play(CrowdPlay(kind, 656, Limits(memory_mb, 1024)))


# Guards against responses by hundreds that are not read and together exceed the memory of the process (a).
def test_crowd_that_never_reads_stays_within_memory_and_usual_clients_are_served():
    check_play(CrowdPlay("never-read", 400, Limits(32, 1024), value_bytes=64 << 10))


# Guards against clients by hundreds that stop half way and come again, or send hundreds of commands at once:
# others waited in the listener's queue.
@pytest.mark.parametrize("kind", ["half-command", "silent", "startup-bytes", "pipeline"])
def test_crowd_does_not_keep_new_connections_waiting(kind):
    check_play(CrowdPlay(kind, 400, Limits(64, 256), one_request_each=True))


@pytest.mark.parametrize("kind", ["empty-queries", "empty-queries-unread", "unsound-requests", "new-names"])
# Guards against one client at full speed that holds up all others (b).
def test_one_client_at_full_speed_does_not_hold_up_usual_clients(kind):
    check_play(CrowdPlay(kind, 1, Limits(64, 1024)))


# Guards against requests of a client that has closed being sent on, and against an id that runs twice because
# its client left before it came again (c).
def test_requests_of_a_client_that_left_are_not_sent_on_and_no_id_runs_twice():
    async def leave_and_come_again(port, number, closes):
        ids = [number << 32 | n for n in range(1, 11)]
        for stay_s in (0.03, 0.06):
            closed_at = await leave_with_commands_unread(port, ids, ONCE_CLASS, stay_s)
            closes.append((ids, closed_at))
            await asyncio.sleep(0.01 * (number % 7))

    async def play():
        async with fleet(Limits(64, 1024), work_s=0.05) as running:
            closes = []
            for round_number in range(6):
                first = 1 + 40 * round_number
                await asyncio.gather(
                    *(leave_and_come_again(running.gateways[0].port, first + n, closes) for n in range(40))
                )
            await asyncio.sleep(1)
            return running, closes

    running, closes = asyncio.run(play())
    last_close = {request_id: closed_at for ids, closed_at in closes for request_id in ids}
    attempts = running.attempts()
    late = [a for a in attempts if a.at > last_close[a.request_id] + CLOSE_ALLOWANCE_S]
    twice = {i: n for i, n in Counter(a.request_id for a in attempts).items() if n > 1}
    assert running.crashes() == []
    assert len(attempts) > 100
    assert late == []
    assert twice == {}


# Guards against a crowd process that outlives its play and disturbs the next one.
def test_crowd_process_ends_by_itself():
    crowd = start_crowd("silent", 1, 2, 0.2, seed=1)
    assert crowd.wait(timeout=10) == 0 and b"connections" in crowd.stdout.read()
