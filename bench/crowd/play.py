"""Plays one crowd beside usual clients; `python -m bench.crowd.play [KIND ...]` plays and prints a table."""

import asyncio
import sys
import time
from dataclasses import dataclass

from bench.crowd.clients import Traffic
from bench.crowd.crowd import start_crowd
from bench.crowd.fleet import Fleet, fleet, play_traffic
from bench.crowd.gateway_process import Limits

USUAL_CLIENTS = 6
HEAD_START_S, CROWD_S = 0.5, 4.0
SEED = 1


@dataclass(frozen=True)
class CrowdPlay:
    """What to play: a kind of crowd, its size, the gateway's limits, and the bytes of an instance's value."""

    kind: str
    count: int
    limits: Limits
    value_bytes: int = 0
    one_request_each: bool = False  # usual clients open a connection for each request


PLAYS = [
    *(
        CrowdPlay(kind, 656, Limits(memory_mb, 1024))
        for kind in ("stop-half-way", "write-slowly", "many-fields", "pipeline")
        for memory_mb in (32, 64)
    ),
    CrowdPlay("never-read", 400, Limits(32, 1024), value_bytes=64 << 10),
    CrowdPlay("half-command", 400, Limits(64, 256), one_request_each=True),
    CrowdPlay("silent", 400, Limits(64, 256), one_request_each=True),
    CrowdPlay("pipeline", 400, Limits(64, 256), one_request_each=True),
    CrowdPlay("startup-bytes", 400, Limits(64, 256), one_request_each=True),
    CrowdPlay("empty-queries", 1, Limits(64, 1024)),
    CrowdPlay("empty-queries", 12, Limits(64, 1024)),
    CrowdPlay("empty-queries-unread", 1, Limits(64, 1024)),
    CrowdPlay("unsound-requests", 1, Limits(64, 1024)),
    CrowdPlay("new-names", 1, Limits(64, 1024)),
]


@dataclass(frozen=True)
class PlayResult:
    """The usual clients of a play, its fleet, which has ended, and the longest time without an answer."""

    traffic: Traffic
    fleet: Fleet
    longest_gap_s: float


async def play_crowd(play: CrowdPlay) -> PlayResult:
    """Plays a crowd beside usual clients."""
    async with fleet(play.limits, value_bytes=play.value_bytes) as running:
        traffic = Traffic(running.gateways[0].port, one_request_each=play.one_request_each)
        until = time.monotonic() + HEAD_START_S + CROWD_S
        usual = asyncio.create_task(play_traffic([traffic], USUAL_CLIENTS, HEAD_START_S + CROWD_S))
        await asyncio.sleep(HEAD_START_S)
        crowd = start_crowd(play.kind, traffic.port, play.count, CROWD_S, SEED)
        try:
            await usual
        finally:
            crowd.kill()
            crowd.communicate()
        return PlayResult(traffic, running, traffic.longest_gap_s(until))


def main() -> None:
    """Prints a line for each play."""
    for play in PLAYS:
        if sys.argv[1:] and play.kind not in sys.argv[1:]:
            continue
        result = asyncio.run(play_crowd(play))
        traffic, gateway = result.traffic, result.fleet.gateways[0]
        print(
            f"{play.kind:22} {play.count:4} clients, {play.limits.memory_mb} MB: "
            f"peak {gateway.peak_mb:5.1f} MB, usual {traffic.outcomes()}, "
            f"slowest {traffic.slowest_s():.2f} s, lost {len(traffic.lost())}, "
            f"longest without an answer {result.longest_gap_s:.2f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()
