"""Seeded plays of signals and crowds against real gateways: `python -m bench.crowd.soak [SEEDS] [JOBS]`.

SEEDS is a number or a range such as 1..50. Each play draws limits, signals to each gateway and, maybe, a
crowd. Usual clients keep using their connections until the kill, which comes as early as the page allows.
"""

import asyncio
import json
import signal
import subprocess
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from bench.crowd.clients import Interruptions, Traffic
from bench.crowd.crowd import ROOT, start_crowd
from bench.crowd.fleet import CLOSE_ALLOWANCE_S, Fleet, fleet, leave_with_commands_unread
from bench.crowd.gateway_process import GatewayProcess, Limits
from bench.crowd.settings import DEADLINES_S, ONCE_CLASS
from cobaltpond.decisions.records import RandomSource

GATEWAYS = 2
PLAY_S = 9.0
CLIENTS = {"listing-read": 6, "resale-buy": 2, ONCE_CLASS: 2}
# SIGKILL comes no sooner after SIGTERM than the longest deadline (3 s where it is longer) and 0.7 s
KILL_DELAY_S = min(3.0, max(DEADLINES_S.values())) + 0.7
RESTART_DELAY_S = 1.0
FULL_CROWD, SMALL_CROWD = 656, 300
CROWDS = [
    "stop-half-way",
    "write-slowly",
    "many-fields",
    "pipeline",
    "never-read",
    "half-command",
    "silent",
    "empty-queries",
    "unsound-requests",
    "new-names",
]
SINGLE_CROWDS = ("empty-queries", "unsound-requests", "new-names")
LEAVERS = 6
SOAK_TIMEOUT_S = 60
SEED_SPREAD = 2_654_435_761  # neighbouring seeds begin far from each other


@dataclass(frozen=True)
class SignalAt:
    """A signal to one gateway, or its start (None), at seconds from the beginning of the play."""

    at_s: float
    number: signal.Signals | None


@dataclass(frozen=True)
class SoakPlan:
    """What one play does."""

    limits: Limits
    value_bytes: int
    signals: list[list[SignalAt]]  # for each gateway
    crowd: str | None
    crowd_gateway: int
    crowd_size: int


@dataclass
class SoakResult:
    """What one play found; `breaks` is empty where all rules held."""

    seed: int
    breaks: list[str] = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)
    peak_mb: float = 0.0
    slowest_s: float = 0.0


def draw_signals(source: RandomSource) -> list[SignalAt]:
    """Draws the signals of one gateway; at least a second lies before a SIGHUP."""
    start, kind = 1.2 + source.randbelow(1500) / 1000, source.randbelow(5)
    if kind == 0:
        return []
    if kind == 1:  # new configurations in quick succession
        return [SignalAt(start + n * source.randbelow(200) / 1000, signal.SIGHUP) for n in range(3)]
    if kind == 2:  # a planned restart, told twice, and killed as early as allowed
        kill_at = start + KILL_DELAY_S
        return [
            SignalAt(start, signal.SIGTERM),
            SignalAt(start + source.randbelow(500) / 1000, signal.SIGTERM),
            SignalAt(kill_at, signal.SIGKILL),
            SignalAt(kill_at + RESTART_DELAY_S, None),
        ]
    signals, at_s = [], start
    for _ in range(kind - 1):  # killed, and again soon after each start
        signals += [SignalAt(at_s, signal.SIGKILL), SignalAt(at_s + RESTART_DELAY_S, None)]
        at_s += RESTART_DELAY_S + 0.35 + source.randbelow(400) / 1000
    return signals


def draw_plan(seed: int) -> SoakPlan:
    """Draws the play of a seed."""
    source = RandomSource(seed * SEED_SPREAD)
    has_crowd = source.randbelow(2) == 0
    limits = Limits([32, 64][source.randbelow(2)], [256, 1024][source.randbelow(2)])
    crowd = CROWDS[source.randbelow(len(CROWDS))] if has_crowd else None
    size = 1 if crowd in SINGLE_CROWDS else FULL_CROWD if limits.sockets == 1024 else SMALL_CROWD
    return SoakPlan(
        limits,
        [0, 8 << 10, 64 << 10][source.randbelow(3)],
        [draw_signals(source) for _ in range(GATEWAYS)],
        crowd,
        source.randbelow(GATEWAYS),
        size,
    )


async def send_signals(
    gateway: GatewayProcess, signals: list[SignalAt], interruptions: Interruptions
) -> None:
    """Sends the signals of one gateway at their times."""
    began = time.monotonic()
    for event in sorted(signals, key=lambda event: event.at_s):
        await asyncio.sleep(max(0.0, began + event.at_s - time.monotonic()))
        if event.number == signal.SIGKILL:
            interruptions.killed_at.setdefault(gateway.port, []).append(time.monotonic())
        elif event.number == signal.SIGTERM:
            interruptions.stopped_at.setdefault(gateway.port, []).append(time.monotonic())
        if event.number is None:
            gateway.start()
        else:
            gateway.send_signal(event.number)


async def leave_again_and_again(port: int, number: int, until: float, closes: dict[int, float]) -> None:
    """Leaves with commands unread, and comes again with the same ids."""
    ids = [number << 32 | count for count in range(1, 6)]
    while time.monotonic() < until:
        try:
            closed_at = await leave_with_commands_unread(port, ids, ONCE_CLASS, 0.03)
        except OSError:
            closed_at = time.monotonic()
        closes.update(dict.fromkeys(ids, closed_at))
        await asyncio.sleep(0.2)


def find_breaks(running: Fleet, traffic: list[Traffic], closes: dict[int, float]) -> list[str]:
    """Checks the rules by what the stand-ins and clients saw."""
    breaks = running.crashes() + [line for flow in traffic for line in flow.lost()]
    attempts = running.attempts()
    runs = Counter(attempt.request_id for attempt in attempts if attempt.group == ONCE_CLASS)
    breaks += [f"{request_id:016x} ran {count} times" for request_id, count in runs.items() if count > 1]
    breaks += [
        f"attempt of {attempt.request_id:016x} {attempt.at - closes[attempt.request_id]:.2f} s after a close"
        for attempt in attempts
        if attempt.at > closes.get(attempt.request_id, attempt.at) + CLOSE_ALLOWANCE_S
    ]
    return breaks


async def play(seed: int) -> SoakResult:
    """Plays one seed."""
    plan, result, closes, interruptions = draw_plan(seed), SoakResult(seed), {}, Interruptions()
    async with fleet(plan.limits, GATEWAYS, value_bytes=plan.value_bytes) as running:
        ports, until = [gateway.port for gateway in running.gateways], time.monotonic() + PLAY_S
        flows = [
            [
                Traffic(
                    port,
                    group,
                    first_client=10_000 * (index + 1) + 1000 * class_index,
                    other_ports=[other for other in ports if other != port],
                    interruptions=interruptions,
                )
                for class_index, group in enumerate(CLIENTS)
            ]
            for index, port in enumerate(ports)
        ]
        traffic = [flow for gateway_flows in flows for flow in gateway_flows]
        tasks = [flow.client(n, until) for flow in traffic for n in range(CLIENTS[flow.group])]
        tasks += [
            send_signals(gateway, plan.signals[index], interruptions)
            for index, gateway in enumerate(running.gateways)
        ]
        quiet = [index for index, signals in enumerate(plan.signals) if not signals]
        tasks += [
            leave_again_and_again(ports[index], 90_000 + 100 * index + n, until, closes)
            for index in quiet
            for n in range(LEAVERS)
        ]
        crowd = None
        if plan.crowd is not None:
            crowd = start_crowd(plan.crowd, ports[plan.crowd_gateway], plan.crowd_size, PLAY_S - 1, seed)
        try:
            await asyncio.gather(*tasks)
        finally:
            if crowd is not None:
                crowd.kill()
                crowd.communicate()
        result.breaks = find_breaks(running, traffic, closes)
        for flow in traffic:
            result.outcomes.update(flow.outcomes())
            result.slowest_s = max(result.slowest_s, flow.slowest_s())
        result.peak_mb = max(gateway.peak_mb for gateway in running.gateways)
    return result


def play_in_process(seed: int) -> SoakResult:
    """Plays one seed in a process of its own, so that plays beside each other share no event loop."""
    done = subprocess.run(
        [sys.executable, "-m", "bench.crowd.soak", "--one", str(seed)],
        cwd=ROOT,
        capture_output=True,
        timeout=SOAK_TIMEOUT_S,
    )
    if done.returncode:
        return SoakResult(seed, [f"the play itself failed: {done.stderr.decode()[-300:]}"])
    document = json.loads(done.stdout)
    return SoakResult(**{**document, "outcomes": Counter(document["outcomes"])})


def play_seeds(seeds: range, jobs: int):
    """Plays seeds, `jobs` at a time, and yields their results in order."""
    with ThreadPoolExecutor(jobs) as executor:
        yield from executor.map(play_in_process, seeds)


def main() -> int:
    """Plays the seeds that the command line names; returns 1 where a rule was broken."""
    if sys.argv[1:2] == ["--one"]:
        print(json.dumps(vars(asyncio.run(play(int(sys.argv[2]))))))
        return 0
    first, _, last = (sys.argv[1] if sys.argv[1:] else "1..50").partition("..")
    broken = 0
    for result in play_seeds(
        range(int(first), int(last or first) + 1), int(sys.argv[2]) if sys.argv[2:] else 3
    ):
        plan = draw_plan(result.seed)
        broken += bool(result.breaks)
        print(
            f"seed {result.seed}: {'BROKEN' if result.breaks else 'held'}, {plan.limits.memory_mb} MB, "
            f"{plan.limits.sockets} descriptors, crowd {plan.crowd}, peak {result.peak_mb:.1f} MB, "
            f"slowest {result.slowest_s:.2f} s, {dict(result.outcomes)}",
            *result.breaks[:5],
            sep="\n    ",
            flush=True,
        )
    print(f"{broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
