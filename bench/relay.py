"""What a hit costs on one core: direct, this gateway, the gateway with random choice, and a plain aiohttp
proxy.

    .venv/bin/python bench/relay.py [--hits 6000] [--clients 32]

All in one run on loopback: the responder (12 addresses) and the load in processes of their own, the measured
process pinned to one core. Closed loop with a fixed number of clients; CPU is the measured process's own.
"""

import argparse
import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, ROOT)
INSTANCES = 12
SHEET = """
path_group(name = "look", kind = "repeatable", target_latency = ms(1000), client_timeout = ms(3000))
route(path = "/*", group = "look")
release(gate = "count", layout = "beside", shares = [0.5, 1.0], caps = [0.5, 1.0], exposure_window = s(2),
        vote_life = s(5), vote_wait = ms(500), dwell = ms(500))
rules(drain_grace = ms(250), cold_time = s(2), cold_share = 0.5, overload_factor = 2.0, tip_time = ms(1500))
listing(address = "127.0.0.1:%d")
desk(address = "127.0.0.1:%d")
gateway(number = 0, zone = "a", door = "127.0.0.1:%d")
"""


class RandomChoice:
    """Decisions that cost next to nothing: any instance that is up."""

    def __init__(self, host, now, seed, sheet):
        from cobaltpond.decisions.records import RandomSource

        self.host, self.chance, self.up = host, RandomSource(seed), []

    def on_list(self, now, whole, rows):
        self.up = [row["id"] for row in rows if row["state"] == "up"] if whole else self.up

    def on_hit(self, now, hit, group, customer, key, left, cost, again):
        self.host.send_forward(hit, self.up[self.chance.randbelow(len(self.up))], left, None)

    def on_outcome(self, now, hit, forward, ending, took, closed, report):
        if not closed:
            self.host.fail_hit(hit)

    def __getattr__(self, name):
        return lambda *arguments: None


def responder(ports, delay=0.0):
    """Bare answers on many ports, with a load report, as cheap as asyncio makes it; `delay` in seconds."""
    answer = (
        b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\n"
        b"endpoint-load-metrics: TEXT named_metrics.inflight=1\r\n\r\n"
    )
    answer += b"x" * 64

    class Protocol(asyncio.Protocol):
        def connection_made(self, transport):
            self.transport = transport

        def data_received(self, data):
            whole = answer * data.count(b"\r\n\r\n")
            if delay:
                asyncio.get_running_loop().call_later(delay, self.transport.write, whole)
            else:
                self.transport.write(whole)

    async def go():
        loop = asyncio.get_running_loop()
        for port in ports:
            await loop.create_server(Protocol, "127.0.0.1", port)
        await asyncio.Event().wait()

    asyncio.run(go())


def list_and_desk(list_port, desk_port, ports):
    from cobaltpond.loop import EpollKernel, Loop, Sleep
    from cobaltpond.rpc import ResponseStream, serve_rpc

    loop = Loop(EpollKernel())
    rows = [
        {
            "id": f"i{p}",
            "address": f"127.0.0.1:{p}",
            "build": 1,
            "zone": "a",
            "cell": 0,
            "state": "up",
            "start": 1,
            "age_us": 60_000_000,
        }
        for p in ports
    ]

    def answer(one):
        def handle(request):
            stream = ResponseStream()
            stream.send_object(one)
            return stream

        return handle

    told = {"epoch": "e", "revision": 1, "base": None, "rows": rows}
    news = {"news": {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age_us": 0}}
    for port, one in ((list_port, told), (desk_port, news)):
        loop.spawn(serve_rpc(loop, loop.kernel.listen(("127.0.0.1", port)), answer(one), "x"), "x")

    def forever():
        while True:
            yield Sleep(1_000_000)

    loop.run(loop.spawn(forever(), "main"))


def aiohttp_proxy(door, ports):
    import itertools

    import aiohttp
    from aiohttp import web

    turn = itertools.cycle(ports)

    async def handle(request):
        async with request.app["client"].request(
            request.method,
            f"http://127.0.0.1:{next(turn)}{request.path_qs}",
            data=await request.read() or None,
        ) as answer:
            return web.Response(status=answer.status, body=await answer.read())

    async def begin(app):
        app["client"] = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    app = web.Application()
    app.on_startup.append(begin)
    app.router.add_route("*", "/{rest:.*}", handle)
    web.run_app(app, host="127.0.0.1", port=door, print=None, access_log=None)


def load(ports, hits, clients):
    """Closed loop over raw sockets; prints one JSON line: seconds, sorted latencies' percentiles,
    failures."""
    import select

    request = b"GET /look HTTP/1.1\r\nhost: t\r\nuser-agent: bench\r\naccept: */*\r\n\r\n"
    poll, open_now, took, failed = select.epoll(), {}, [], 0
    for n in range(clients):
        sock = socket.create_connection(("127.0.0.1", ports[n % len(ports)]))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        poll.register(sock.fileno(), select.EPOLLIN)
        open_now[sock.fileno()] = [sock, 0.0, b""]
    begin = time.perf_counter()
    sent = 0
    for entry in open_now.values():
        entry[1] = time.perf_counter()
        entry[0].send(request)
        sent += 1
    while len(took) + failed < hits:
        for number, _ in poll.poll(5):
            entry = open_now[number]
            entry[2] += entry[0].recv(65536)
            head, found, body = entry[2].partition(b"\r\n\r\n")
            if not found or len(body) < 64:
                if not found or b"200 OK" in head:
                    continue
            now = time.perf_counter()
            took.append(now - entry[1]) if b" 200 " in head[:16] else None
            failed += b" 200 " not in head[:16]
            entry[1], entry[2] = now, b""
            if sent < hits + clients:
                sent += 1
                entry[0].send(request)
    seconds = time.perf_counter() - begin
    took.sort()
    print(
        json.dumps(
            {
                "seconds": seconds,
                "failed": failed,
                "p50": took[len(took) // 2] * 1000,
                "p99": took[int(len(took) * 0.99)] * 1000,
            }
        )
    )


def free(count):
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


def start(*words, core=None):
    argv = [sys.executable, os.path.abspath(__file__), *map(str, words)]
    child = subprocess.Popen(argv, cwd=ROOT)
    if core is not None:
        os.sched_setaffinity(child.pid, {core})
    return child


def cpu(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def wait_for(port):
    for _ in range(400):
        try:
            socket.create_connection(("127.0.0.1", port), 0.2).close()
            return
        except OSError:
            time.sleep(0.02)
    raise SystemExit(f"nothing at port {port}")


def measure(name, ports, hits, clients, child):
    for warm in (hits // 10, hits):
        before = cpu(child.pid) if child else 0.0
        out = subprocess.run(
            [sys.executable, os.path.abspath(__file__), "load", str(warm), str(clients), *map(str, ports)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        spent = cpu(child.pid) - before if child else 0.0
    got = json.loads(out)
    used = f"{spent / hits * 1e6:>10.0f}" if child else f"{'-':>10}"
    print(
        f"{name:<28}{hits / got['seconds']:>9.0f}{got['p50']:>9.2f}{got['p99']:>9.2f}{used}{got['failed']:>8}"
    )


def main():
    if len(sys.argv) > 1 and sys.argv[1] == "responder":
        return responder([int(p) for p in sys.argv[3:]], float(sys.argv[2]))
    if len(sys.argv) > 1 and sys.argv[1] == "peers":
        return list_and_desk(int(sys.argv[2]), int(sys.argv[3]), [int(p) for p in sys.argv[4:]])
    if len(sys.argv) > 1 and sys.argv[1] == "aiohttp":
        return aiohttp_proxy(int(sys.argv[2]), [int(p) for p in sys.argv[3:]])
    if len(sys.argv) > 1 and sys.argv[1] == "load":
        return load([int(p) for p in sys.argv[4:]], int(sys.argv[2]), int(sys.argv[3]))
    if len(sys.argv) > 1 and sys.argv[1] == "gateway":
        from cobaltpond.cli.main import logger
        from cobaltpond.gateway.main import run_gateway
        from cobaltpond.loop import EpollKernel
        from cobaltpond.settings import read_settings

        sheet = read_settings(sys.argv[2], open(sys.argv[2]).read())
        return run_gateway(
            EpollKernel(), sheet, 0, logger("bench"), RandomChoice if sys.argv[3] == "random" else None
        )
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--hits", type=int, default=6000)
    words.add_argument("--clients", type=int, default=32)
    words = words.parse_args()
    core = max(os.sched_getaffinity(0))
    ports, children = free(INSTANCES), []
    try:
        children.append(start("responder", 0, *ports))
        wait_for(ports[-1])
        print(f"{'':<28}{'hits/s':>9}{'p50 ms':>9}{'p99 ms':>9}{'CPU us':>10}{'failed':>8}")
        measure("direct", ports, words.hits, words.clients, None)
        for name, how in (("gateway", "own"), ("gateway, random choice", "random")):
            listing, desk, door = free(3)
            with tempfile.NamedTemporaryFile("w", suffix=".star", delete=False) as file:
                file.write(SHEET % (listing, desk, door))
            children.append(start("peers", listing, desk, *ports))
            wait_for(desk)
            children.append(start("gateway", file.name, how, core=core))
            wait_for(door)
            time.sleep(0.5)
            measure(name, [door], words.hits, words.clients, children[-1])
            children.pop().kill()
            children.pop().kill()
        (door,) = free(1)
        children.append(start("aiohttp", door, *ports, core=core))
        wait_for(door)
        measure("aiohttp proxy", [door], words.hits, words.clients, children[-1])
    finally:
        for child in children:
            child.kill()


if __name__ == "__main__":
    main()
