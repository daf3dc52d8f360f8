"""Bad clients that send hundreds of commands at once drive the gateway over its memory limit."""

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

INSTANCES = 3
MEMORY_MB = 64
BAD_CLIENTS = 60  # with the usual ones still fewer than a third of the 256 descriptors
COMMANDS = 200  # of each bad client, at once
VALUE = "9f" * (64 << 10)  # 64 KiB, the largest value that the protocol allows
USUAL_CLIENTS, USUAL_REQUESTS, USUAL_PERIOD_S = 6, 40, 0.1
SEND_BUFFER = 32 << 10  # of a bad client: as over a network, its data comes a part at a time
CHECK_PERIOD_S = 0.002


async def case(record, folder):
    """Sends usual traffic, lets the bad clients in, and kills the gateway where it goes over its memory."""

    async def run(instance, text, writer):
        await rig.answer(instance, text, writer, 0.05)

    instances = [await rig.Instance(record, f"s-{n}", run).start() for n in range(INSTANCES)]
    hosts = [rig.host_entry(instance.name, instance.port) for instance in instances]
    discovery, platform = await rig.Discovery(record, hosts).start(), await rig.Platform(record).start()
    gateway = rig.Gateway(record, folder, discovery.port, platform, memory_mb=MEMORY_MB)
    killed, counts, peak = [], {}, 0.0

    async def watch_memory():
        """Does what the platform does: over its limit the gateway is killed."""
        nonlocal peak
        told = 0.0
        while not killed:
            used = gateway.memory_mb()
            peak = max(peak, used)
            if used > MEMORY_MB:
                gateway.process.kill()
                killed.append(record.add(f"the platform kills the gateway: {used:.1f} of {MEMORY_MB} MB"))
            elif used > told + 4:
                told = used
                record.add(f"the gateway holds {used:.1f} MB")
            await asyncio.sleep(CHECK_PERIOD_S)

    async def usual(number):
        """Sends one request after another; the list of outcomes shows what a kill costs."""
        client = await rig.Client(gateway.port).connect()
        for n in range(USUAL_REQUESTS):
            id = number << 32 | n
            what, value = await client.ask(rig.select(id, 2500))
            counts[what] = counts.get(what, 0) + 1
            record.add(f"a usual client got for {id:016x}: {what} {value!r}")
            if what == "closed":
                return
            await asyncio.sleep(USUAL_PERIOD_S)

    async def bad(number):
        """Sends all commands at full speed and reads what it is sent."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", gateway.port))
        reader, writer = await asyncio.open_connection(sock=sock)
        got = {}

        async def read():
            while True:
                messages = await rig.read_messages(reader)
                what, _ = rig.outcome(messages)
                got[what] = got.get(what, 0) + 1
                if messages and messages[-1] == (b"", b""):
                    return

        reading = asyncio.create_task(read())
        try:
            writer.write(rig.startup_message())
            for n in range(COMMANDS):
                writer.write(rig.query_message(rig.insert(number << 32 | n, 5000, VALUE)))
                await writer.drain()
            await asyncio.wait([reading], timeout=3)
        except ConnectionError:
            await reading
        record.add(f"bad client {number:#x} got {got}")
        writer.close()

    try:
        gateway.start()
        await gateway.ready()
        watching = asyncio.create_task(watch_memory())
        usual_clients = [asyncio.create_task(usual(n + 1)) for n in range(USUAL_CLIENTS)]
        await asyncio.sleep(1)
        if rig.DISRUPTED:
            record.add(f"{BAD_CLIENTS} bad clients send {COMMANDS} commands each")
            await asyncio.wait([asyncio.create_task(bad(0x100 + n)) for n in range(BAD_CLIENTS)], timeout=30)
        await asyncio.wait(usual_clients, timeout=20)
        watching.cancel()
    finally:
        await gateway.stop()
    record.add(f"at most {peak:.1f} of {MEMORY_MB} MB; outcomes of usual requests: {counts}")
    print(record.lines[-1])
    if not rig.DISRUPTED and counts != {"served": USUAL_REQUESTS * USUAL_CLIENTS}:
        raise rig.CaseError("not all requests of the quiet run were served")
    return rig.BROKEN if killed else rig.HELD


rig.main(Path(__file__).parent, case)
