"""Clients that stop in the middle of a request keep the requests of usual clients unread past their time."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

INSTANCES = 3
BAD_CLIENTS = 260
USUAL_CLIENTS, USUAL_REQUESTS = 10, 4
TIME_LEFT_MS = 1000  # a try is given up after 40 to 100% of the class's deadline of 2.5 s
SLACK_MS = 500  # up to so long after its time a request only earns nothing
SOCKETS_MS = 50  # by which each time limit is longer on sockets


async def case(record, folder):
    """Lets the bad clients in, then usual clients that open a connection for their first request."""

    async def run(instance, text, writer):
        await rig.answer(instance, text, writer)

    instances = [await rig.Instance(record, f"s-{n}", run).start() for n in range(INSTANCES)]
    hosts = [rig.host_entry(instance.name, instance.port) for instance in instances]
    discovery, platform = await rig.Discovery(record, hosts).start(), await rig.Platform(record).start()
    gateway = rig.Gateway(record, folder, discovery.port, platform)
    answered, asked = [], 0

    async def bad(number):
        """Stops in the middle of a request and stays; it reads what it is sent, up to the close."""
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        began = record.now()
        half = rig.query_message(rig.select(number, 2500))[:60]
        writer.write(rig.startup_message() + half)
        try:
            while await reader.read(1 << 16):
                pass
        except ConnectionError:
            pass
        record.add(f"bad client {number:#x} was closed after {record.now() - began:.0f} ms")
        writer.close()

    async def usual(number):
        """Connects, sends its first request with the startup, and further ones over the same connection."""
        nonlocal asked
        client = rig.Client(gateway.port)
        client.reader, client.writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        client.writer.write(rig.startup_message())
        for n in range(USUAL_REQUESTS):
            id = number << 32 | n
            asked += 1
            sent = record.add(f"a usual client sent {id:016x}, d={TIME_LEFT_MS}")
            client.writer.write(rig.query_message(rig.select(id, TIME_LEFT_MS)))
            if n == 0:
                await rig.read_messages(client.reader)  # the welcome
            what, value = rig.outcome(await rig.read_messages(client.reader))
            took = record.now() - sent
            record.add(f"a usual client got for {id:016x} after {took:.0f} ms: {what} {value!r}")
            answered.append((id, what, took))
            if what == "closed":
                return
            await asyncio.sleep(0.1)
        client.close()

    try:
        gateway.start()
        await gateway.ready()
        tasks = []
        if rig.DISRUPTED:
            record.add(f"{BAD_CLIENTS} bad clients connect, send half a request each and stay")
            tasks += [asyncio.create_task(bad(0x1000 + n)) for n in range(BAD_CLIENTS)]
            await asyncio.sleep(0.1)
        usual_clients = []
        for number in range(USUAL_CLIENTS):
            usual_clients.append(asyncio.create_task(usual(number + 1)))
            await asyncio.sleep(0.02)
        await asyncio.wait(usual_clients, timeout=20)
        if tasks:
            await asyncio.wait(tasks, timeout=10)
    finally:
        await gateway.stop()
    lost = [id for id, _, took in answered if took > TIME_LEFT_MS + SLACK_MS + SOCKETS_MS]
    missing = asked - len(answered)
    longest = max((took for _, _, took in answered), default=0)
    attempts = {id for instance in instances for _, id, _ in instance.attempts}
    run_late = sum(f"{id:016x}" in attempts for id in lost)
    record.add(
        f"{len(answered)} answers, the slowest after {longest:.0f} ms of {TIME_LEFT_MS}; lost: {len(lost)} "
        f"answered too late ({run_late} of them sent on to an instance), {missing} never answered"
    )
    print(record.lines[-1])
    if not rig.DISRUPTED and {what for _, what, _ in answered} != {"served"}:
        raise rig.CaseError("not all requests of the quiet run were served")
    return rig.BROKEN if lost or missing else rig.HELD


rig.main(Path(__file__).parent, case)
