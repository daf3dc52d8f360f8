"""A slow discovery: the gateway gives up each call after a second, asks anew and never hears of a drain."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import TROUBLE, World, run
from settings2 import PILETIRING, PILETIRING_MIX, PILETIRING_READS

SLOW_S = 1.5  # each answer comes so late; the pages wait up to 2 s past the end of a watch, and 6 s in all
TOLD_S, GRACE_S = 6.0, 0.25 + 0.05
DRAINING_S = 5.0  # an instance drains for so long before it is removed


async def play(world):
    """Returns the attempts at instances that the gateway has long been told to leave."""
    world.mix = PILETIRING_MIX
    await world.start([(41, 12)], (41, 3, "stable", 1.0))
    began, drained = time.monotonic(), {}

    async def trouble():
        await asyncio.sleep(3)
        if TROUBLE:
            for gateway in world.gateways:
                gateway.discovery.slow = SLOW_S
            world.record.add(f"discovery slow: each answer {SLOW_S} s late")
        await asyncio.sleep(6)
        leaving = world.instances[:2]
        for health in ("draining", "removed"):
            for instance in leaving:
                instance.health = health
                drained.setdefault(instance.id, time.monotonic())
                world.record.add(f"discovery has {instance.id} as {health}")
            for gateway in world.gateways:
                gateway.discovery.publish(*leaving)
            await asyncio.sleep(DRAINING_S)

    await asyncio.gather(trouble(), world.traffic(30, began + 26))
    breaks = []
    for at, instance, id, _, _ in world.attempts:
        if instance.id in drained and at > drained[instance.id] + TOLD_S + GRACE_S:
            late = at - drained[instance.id]
            breaks.append(f"attempt {id} at {instance.id}, {late:.2f} s after discovery had its drain")
    return breaks


limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
run(lambda: World(__file__, PILETIRING, PILETIRING_READS, limits, 3, seed=8), play)
