"""A second answer that is cut off on its way reaches the next client of the connection."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

INSTANCES = 3
CUT_S = 6.0  # how long the zone of the instances is partitioned from the gateway's
LATE_S = 0.01  # how long after an answer its second copy is written
BEFORE_END_S = 0.4  # how long before the end of the cut the later requests are sent


class Link:
    """The network between the gateway and one instance: while it is cut, open connections are silent."""

    def __init__(self, record, instance):
        self.record, self.instance, self.open = record, instance, asyncio.Event()
        self.open.set()

    async def start(self):
        """Listens at a free port, which discovery tells as the address of the instance."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        """Carries one connection; one that begins while the link is cut is reset when it is back."""
        if not self.open.is_set():
            await self.open.wait()
            writer.transport.abort()
            return
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.instance.port)
        await asyncio.gather(self.carry(reader, far_writer), self.carry(far_reader, writer))

    async def carry(self, reader, writer):
        """Carries one direction in order; what comes while the link is cut waits for its end."""
        try:
            while data := await reader.read(1 << 16):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except rig.ENDED:
            pass
        finally:
            writer.close()


async def case(record, folder):
    """Sends one request to each instance, cuts the zone off, and sends as many again before its end."""
    marked = set()  # requests whose answer brings a second copy

    async def run(instance, text, writer):
        await rig.answer(instance, text, writer)
        id = rig.COMMENT.search(text)[1].decode()
        if id in marked:
            asyncio.get_running_loop().call_later(LATE_S, again, instance, text, writer, id)

    def again(instance, text, writer, id):
        if instance.attempts[-1][1] != id:  # something else waits on the connection
            record.add(f"{instance.name} gives no second copy for {id}")
        elif not writer.is_closing():
            writer.write(rig.row(rig.made_value(instance, text), text))
            record.add(f"{instance.name} wrote the second copy for {id}; nothing else has come")

    instances = [await rig.Instance(record, f"s-{n}", run).start() for n in range(INSTANCES)]
    links = [await Link(record, instance).start() for instance in instances]
    hosts = [rig.host_entry(i.name, link.port, "tartu-dc") for i, link in zip(instances, links, strict=True)]
    discovery, platform = await rig.Discovery(record, hosts).start(), await rig.Platform(record).start()
    gateway = rig.Gateway(record, folder, discovery.port, platform)
    foreign, served = [], 0

    async def ask(client, id, time_left):
        nonlocal served
        text = rig.select(id, time_left)
        record.add(f"a client asked {id:016x}, d={time_left}")
        what, value = await client.ask(text)
        record.add(f"a client got for {id:016x}: {what} {value!r}")
        if what == "served":
            served += 1
            if not value.startswith(b"made for %016x " % id):
                foreign.append(id)

    async def wave(clients, first, time_left):
        await asyncio.gather(*(ask(client, first + n, time_left) for n, client in enumerate(clients)))

    try:
        gateway.start()
        await gateway.ready()
        clients = [await rig.Client(gateway.port).connect() for _ in range(INSTANCES)]
        for round in range(5):
            await wave(clients, 0x100 * (round + 1), 2500)
            await asyncio.sleep(0.2)
        if rig.DISRUPTED:
            marked.update(f"{0x1000 + n:016x}" for n in range(INSTANCES))
        await wave(clients, 0x1000, 2500)
        if rig.DISRUPTED:
            for link in links:
                link.open.clear()
            record.add("the zone of the instances is cut off")
        await asyncio.sleep(CUT_S - BEFORE_END_S)
        later = asyncio.create_task(wave(clients, 0x2000, 2500))
        await asyncio.sleep(BEFORE_END_S)
        for link in links:
            link.open.set()
        record.add("the zone of the instances is back")
        await later
        for round in range(3):
            await asyncio.sleep(0.3)
            await wave(clients, 0x3000 + 0x100 * round, 2500)
    finally:
        await gateway.stop()
    record.add(f"served {served}, of them with the value of another request: {[f'{id:x}' for id in foreign]}")
    if not rig.DISRUPTED and served < 9 * INSTANCES:
        raise rig.CaseError("not all requests of the quiet run were served")
    return rig.BROKEN if foreign else rig.HELD


rig.main(Path(__file__).parent, case)
