"""Clients with hundreds of commands outstanding hold up the whole gateway."""

import asyncio
import selectors
import socket
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

INSTANCES = 3
PROCESSES, CONNECTIONS = 3, 4  # of the bad clients
OUTSTANDING = 900  # commands of one bad client without an answer, at most
BATCH = 100  # so many more are sent as soon as there is room for them
FLOOD_S = 8.0
USUAL_CLIENTS, USUAL_REQUESTS, USUAL_PERIOD_S = 5, 40, 0.1
TIME_LEFT_MS = 1000  # a try is given up after 40 to 100% of the class's deadline of 2.5 s
SLACK_MS = 500  # up to so long after its time a request only earns nothing
SOCKETS_MS = 50  # by which each time limit is longer on sockets
COMMAND = rig.query_message(b"")
ANSWER_BYTES = len(rig.message(b"I", b"") + rig.READY)


class BadClient:
    """One connection that always has hundreds of commands without an answer."""

    def __init__(self, port: int):
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.sendall(rig.startup_message())
        welcome = b""
        while not welcome.endswith(rig.READY):
            welcome += self.sock.recv(1 << 16)
        self.sent = self.got_bytes = self.most = 0

    def send(self) -> None:
        """Sends as many commands as there is room for."""
        while self.sent + BATCH - self.got_bytes // ANSWER_BYTES <= OUTSTANDING:
            self.sock.sendall(COMMAND * BATCH)
            self.sent += BATCH
            self.most = max(self.most, self.sent - self.got_bytes // ANSWER_BYTES)

    def read(self) -> bool:
        """Reads what has come and returns whether the connection still stands."""
        data = self.sock.recv(1 << 16)
        self.got_bytes += len(data)
        return bool(data)


def flood(port: int) -> None:
    """Plays the bad clients of one process: they send at full speed and read what they are sent."""
    clients = [BadClient(port) for _ in range(CONNECTIONS)]
    selector = selectors.DefaultSelector()
    for client in clients:
        selector.register(client.sock, selectors.EVENT_READ, client)
        client.send()
    end = time.monotonic() + FLOOD_S
    while time.monotonic() < end and selector.get_map():
        for key, _ in selector.select(0.1):
            try:
                if key.data.read():
                    key.data.send()
                    continue
            except ConnectionError:
                pass
            selector.unregister(key.data.sock)
    for n, client in enumerate(clients):
        answers = client.got_bytes // ANSWER_BYTES
        print(f"{n}: sent {client.sent}, {client.most} without an answer at most, got {answers} answers")
        client.sock.close()


async def case(record, folder):
    """Sends usual traffic over connections that stand, and lets the bad clients in."""

    async def run(instance, text, writer):
        await rig.answer(instance, text, writer)

    instances = [await rig.Instance(record, f"s-{n}", run).start() for n in range(INSTANCES)]
    hosts = [rig.host_entry(instance.name, instance.port) for instance in instances]
    discovery, platform = await rig.Discovery(record, hosts).start(), await rig.Platform(record).start()
    gateway = rig.Gateway(record, folder, discovery.port, platform)
    answered, asked = [], 0

    async def usual(number):
        """Sends one request after another over one connection."""
        nonlocal asked
        client = await rig.Client(gateway.port).connect()
        for n in range(USUAL_REQUESTS):
            id = number << 32 | n
            asked += 1
            sent = record.add(f"a usual client sent {id:016x}, d={TIME_LEFT_MS}")
            what, value = await client.ask(rig.select(id, TIME_LEFT_MS))
            took = record.now() - sent
            record.add(f"a usual client got for {id:016x} after {took:.0f} ms: {what} {value!r}")
            answered.append((id, what, took))
            if what == "closed":
                return
            await asyncio.sleep(USUAL_PERIOD_S)

    bad_clients = []
    try:
        gateway.start()
        await gateway.ready()
        usual_clients = [asyncio.create_task(usual(n + 1)) for n in range(USUAL_CLIENTS)]
        await asyncio.sleep(1)
        for _ in range(PROCESSES if rig.DISRUPTED else 0):
            command = [sys.executable, __file__, "flood", str(gateway.port)]
            bad_clients.append(await asyncio.create_subprocess_exec(*command, stdout=subprocess.PIPE))
            record.add(f"{CONNECTIONS} bad clients begin, for {FLOOD_S:.0f} s")
        await asyncio.wait(usual_clients, timeout=30)
        for bad_client in bad_clients:
            output, _ = await asyncio.wait_for(bad_client.communicate(), 10)
            for line in output.decode().splitlines():
                record.add(f"bad client {line}")
    finally:
        for bad_client in bad_clients:
            if bad_client.returncode is None:
                bad_client.kill()
                await bad_client.wait()
        await gateway.stop()
    lost = [id for id, _, took in answered if took > TIME_LEFT_MS + SLACK_MS + SOCKETS_MS]
    missing = asked - len(answered)
    longest = max((took for _, _, took in answered), default=0)
    record.add(
        f"{len(answered)} answers, the slowest after {longest:.0f} ms of {TIME_LEFT_MS}; lost: {len(lost)} "
        f"answered too late, {missing} never answered"
    )
    print(record.lines[-1])
    if not rig.DISRUPTED and {what for _, what, _ in answered} != {"served"}:
        raise rig.CaseError("not all requests of the quiet run were served")
    return rig.BROKEN if lost or missing else rig.HELD


if sys.argv[1:2] == ["flood"]:
    flood(int(sys.argv[2]))
else:
    rig.main(Path(__file__).parent, case)
