"""Discovery, feed and peer gateways that send too much, beside usual clients, against a real process."""

import asyncio
import time

import pytest

from bench.crowd.clients import LATE_ALLOWANCE_S, Traffic
from bench.crowd.fleet import fleet, play_traffic
from bench.crowd.gateway_process import Limits
from bench.crowd.hostile import flood_peer
from bench.crowd.settings import DEADLINES_S

USUAL_CLIENTS = 6
HEAD_START_S, HOSTILE_S = 0.5, 4.0
LIMITS = Limits(32, 1024)
# the gate: the share that is served is at least half
MIN_SERVED_SHARE = 0.5
MAX_GAP_S = DEADLINES_S["listing-read"] + LATE_ALLOWANCE_S


def play_hostile(make_hostile, with_peers=False, clients=USUAL_CLIENTS, **traffic_settings):
    """Plays usual clients and lets a peer turn hostile; checks memory and that every request is answered."""

    async def play():
        async with fleet(LIMITS, with_peers=with_peers) as running:
            traffic = Traffic(running.gateways[0].port, **traffic_settings)
            until = time.monotonic() + HEAD_START_S + HOSTILE_S
            usual = asyncio.create_task(play_traffic([traffic], clients, HEAD_START_S + HOSTILE_S))
            await asyncio.sleep(HEAD_START_S)
            hostile = make_hostile(running)
            await usual
            if hostile is not None:
                hostile.cancel()
            print(traffic.outcomes(), running.gateways[0].peak_mb, traffic.longest_gap_s(until))
            return traffic, running.crashes(), traffic.longest_gap_s(until)

    traffic, crashes, gap_s = asyncio.run(play())
    assert crashes == []
    assert traffic.lost() == []
    return traffic, gap_s


def check_usual_clients(make_hostile, with_peers=False):
    """Plays usual clients beside a hostile peer, and checks that they are served."""
    traffic, gap_s = play_hostile(make_hostile, with_peers)
    assert traffic.share() >= MIN_SERVED_SHARE, traffic.outcomes()
    assert gap_s <= MAX_GAP_S, traffic.outcomes()


# Guards against lists that take the process over its memory: large, dense, or of ever new entries.
@pytest.mark.parametrize("kind", ["large-lists", "dense-lists", "new-instances", "new-builds"])
def test_discovery_cannot_make_a_gateway_exceed_its_memory(kind):
    check_usual_clients(lambda running: setattr(running.discovery, "kind", kind))


# Guards against a feed that fills the memory or holds the loop: an endless line, or objects at full speed.
@pytest.mark.parametrize("kind", ["endless-line", "heartbeats", "disputes", "new-revisions"])
def test_feed_cannot_fill_the_memory_or_hold_the_loop(kind):
    check_usual_clients(lambda running: setattr(running.platform, "kind", kind))


# Guards against a peer gateway whose datagrams come faster than they are read: nothing else was served.
def test_peer_gateway_at_full_speed_does_not_hold_up_usual_clients():
    def flood(running):
        gateway = running.gateways[0]
        return asyncio.ensure_future(flood_peer(gateway.peer, gateway.peer_address, 1, HOSTILE_S))

    check_usual_clients(flood, with_peers=True)


# Guards against instances that fill the memory: large values slowly, values and notices without end, or
# statements that nobody reads.
@pytest.mark.parametrize("kind", ["slow-values", "endless-value", "endless-notices", "never-reads"])
def test_instances_cannot_make_a_gateway_exceed_its_memory(kind):
    def turn_hostile(running):
        for instance in running.instances:
            instance.kind = kind

    large_value = b"9f" * (64 << 10)
    play_hostile(turn_hostile, clients=200, group="resale-buy", value=large_value)
