"""A small fleet for one play: stand-ins in this process, gateways in processes of their own."""

import asyncio
import tempfile
import time
from contextlib import asynccontextmanager
from pathlib import Path

from bench.crowd.clients import Traffic, is_ready
from bench.crowd.gateway_process import MAX_READY_S, READY_POLL_S, GatewayProcess, Limits
from bench.crowd.hostile import HostileDiscovery, HostileInstance, HostilePlatform
from bench.crowd.protocol import insert, query, startup_message

INSTANCES = 3
# an attempt that begins later than this after its client's close is a break; sockets get 50 ms more
CLOSE_ALLOWANCE_S = 0.15


class Fleet:
    """Stand-ins and gateways of one play."""

    def __init__(self, folder: Path, work_s: float, value_bytes: int, with_peers: bool):
        self.folder, self.with_peers = folder, with_peers
        self.instances = [HostileInstance(f"s-{n}", work_s, value_bytes) for n in range(INSTANCES)]
        self.gateways: list[GatewayProcess] = []

    async def start(self, gateways: int, limits: Limits) -> None:
        """Starts everything and waits until all gateways are ready."""
        for instance in self.instances:
            await instance.start()
        self.discovery = await HostileDiscovery(self.instances).start()
        self.platform = await HostilePlatform().start()
        for number in range(gateways):
            gateway = GatewayProcess(f"n{number}", self.folder, limits, self.discovery.port, self.platform)
            if self.with_peers:
                gateway.add_peer()
            self.gateways.append(gateway)
            gateway.start()
        await asyncio.gather(*(self.until_ready(gateway) for gateway in self.gateways))

    async def until_ready(self, gateway: GatewayProcess) -> None:
        """Waits until a gateway answers; records a crash where that takes longer than the page allows."""
        end = time.monotonic() + MAX_READY_S
        while time.monotonic() < end:
            if gateway.process.poll() is not None or await is_ready(gateway.port):
                return
            await asyncio.sleep(READY_POLL_S)
        gateway.crashes.append(f"{gateway.name} was not ready within {MAX_READY_S:.0f} s")

    def attempts(self) -> list:
        """Returns the attempts of all instances in the order of their time."""
        return sorted((a for i in self.instances for a in i.attempts), key=lambda attempt: attempt.at)

    def crashes(self) -> list[str]:
        """Returns what ended a gateway, or went over its memory."""
        found = [line for gateway in self.gateways for line in gateway.crashes]
        return found + [
            f"{gateway.name} held {gateway.peak_mb:.1f} of {gateway.limits.memory_mb} MB"
            for gateway in self.gateways
            if gateway.peak_mb > gateway.limits.memory_mb
        ]


@asynccontextmanager
async def fleet(
    limits: Limits, gateways: int = 1, work_s: float = 0.02, value_bytes: int = 0, with_peers: bool = False
):
    """Gives a running fleet, and ends its processes."""
    with tempfile.TemporaryDirectory() as folder:
        running = Fleet(Path(folder), work_s, value_bytes, with_peers)
        try:
            await running.start(gateways, limits)
            yield running
        finally:
            for gateway in running.gateways:
                gateway.kill()


async def play_traffic(traffic: list[Traffic], clients: int, seconds: float) -> None:
    """Plays usual clients at all gateways for some seconds."""
    until = time.monotonic() + seconds
    await asyncio.gather(
        *(
            flow.client(1 + index * 1000 + number, until)
            for index, flow in enumerate(traffic)
            for number in range(clients)
        )
    )


async def leave_with_commands_unread(port: int, ids: list[int], group: str, stay_s: float) -> float:
    """Sends one command after another without waiting, and closes with the answers unread.

    Returns when it closed, in monotonic seconds.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(startup_message() + query(b"") + b"".join(insert(i, 2500, group=group) for i in ids))
    await asyncio.sleep(stay_s)
    writer.transport.abort()
    return time.monotonic()
