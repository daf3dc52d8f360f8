"""Measures the cost of a hit on one core: direct, gateway, gateway with random choice, and aiohttp proxy.

    .venv/bin/python bench/relay.py [--hits 6000] [--clients 32]

Everything runs on loopback in one run. The responder (12 addresses) and the load generator run in their own
processes; the measured process is pinned to one core. The load is a closed loop with a fixed number of
clients, and the CPU time is that of the measured process only.
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
SETTINGS_TEMPLATE = """
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
    """Decisions of negligible cost: each hit goes to a random instance that is up."""

    def __init__(self, host, now, seed, settings):
        from cobaltpond.decisions.records import RandomSource

        self.host, self.random_source, self.up_ids = host, RandomSource(seed), []

    def on_list(self, now, whole, rows):
        """Takes the instances that are up from a whole list and ignores partial changes."""
        self.up_ids = [row["id"] for row in rows if row["state"] == "up"] if whole else self.up_ids

    def on_hit(self, now, hit, group, customer, key, time_left, cost, is_retry):
        """Sends the hit to a random instance with all the time that is left."""
        self.host.send_forward(
            hit, self.up_ids[self.random_source.randbelow(len(self.up_ids))], time_left, None
        )

    def on_outcome(self, now, hit, forward, result, duration, closed, report):
        """Fails the hit where the forward did not answer it."""
        if not closed:
            self.host.fail_hit(hit)

    def __getattr__(self, name):
        """Returns an empty handler for every other event."""
        return lambda *arguments: None


def responder(ports, delay=0.0):
    """Serves a fixed 64-byte response with a load report on many ports, as cheaply as asyncio allows.

    `delay` is the time in seconds before each response. Never returns.
    """
    answer = (
        b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\n"
        b"endpoint-load-metrics: TEXT named_metrics.inflight=1\r\n\r\n"
    )
    answer += b"x" * 64

    class Protocol(asyncio.Protocol):
        def connection_made(self, transport):
            self.transport = transport

        def data_received(self, data):
            responses = answer * data.count(b"\r\n\r\n")
            if delay:
                asyncio.get_running_loop().call_later(delay, self.transport.write, responses)
            else:
                self.transport.write(responses)

    async def serve():
        loop = asyncio.get_running_loop()
        for port in ports:
            await loop.create_server(Protocol, "127.0.0.1", port)
        await asyncio.Event().wait()

    asyncio.run(serve())


def serve_list_and_desk(list_port, desk_port, ports):
    """Serves an instance list of `ports` and a release desk that never changes state. Never returns."""
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

    def handler_for(message):
        def handle(request):
            stream = ResponseStream()
            stream.send_object(message)
            return stream

        return handle

    instance_list = {"epoch": "e", "revision": 1, "base": None, "rows": rows}
    news = {"news": {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age_us": 0}}
    for port, message in ((list_port, instance_list), (desk_port, news)):
        loop.spawn(serve_rpc(loop, loop.kernel.listen(("127.0.0.1", port)), handler_for(message), "x"), "x")

    def forever():
        while True:
            yield Sleep(1_000_000)

    loop.run(loop.spawn(forever(), "main"))


def aiohttp_proxy(listen_port, ports):
    """Runs a minimal round-robin proxy on aiohttp, the baseline of the comparison. Never returns."""
    import itertools

    import aiohttp
    from aiohttp import web

    next_port = itertools.cycle(ports)

    async def handle(request):
        async with request.app["client"].request(
            request.method,
            f"http://127.0.0.1:{next(next_port)}{request.path_qs}",
            data=await request.read() or None,
        ) as answer:
            return web.Response(status=answer.status, body=await answer.read())

    async def open_client(app):
        app["client"] = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    app = web.Application()
    app.on_startup.append(open_client)
    app.router.add_route("*", "/{rest:.*}", handle)
    web.run_app(app, host="127.0.0.1", port=listen_port, print=None, access_log=None)


def load(ports, hits, clients):
    """Runs a closed loop of clients over raw sockets until `hits` responses have come.

    Prints one JSON line: the duration in seconds, the count of responses other than 200, and the 50th and
    99th percentile of the latency in milliseconds.
    """
    import select

    request = b"GET /look HTTP/1.1\r\nhost: t\r\nuser-agent: bench\r\naccept: */*\r\n\r\n"
    poll, connections, latencies, failed = select.epoll(), {}, [], 0
    for n in range(clients):
        sock = socket.create_connection(("127.0.0.1", ports[n % len(ports)]))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        poll.register(sock.fileno(), select.EPOLLIN)
        # Socket, time at which the open request was sent, bytes of its response so far.
        connections[sock.fileno()] = [sock, 0.0, b""]
    begin = time.perf_counter()
    sent = 0
    for entry in connections.values():
        entry[1] = time.perf_counter()
        entry[0].send(request)
        sent += 1
    while len(latencies) + failed < hits:
        for number, _ in poll.poll(5):
            entry = connections[number]
            entry[2] += entry[0].recv(65536)
            head, found, body = entry[2].partition(b"\r\n\r\n")
            if not found or len(body) < 64:
                if not found or b"200 OK" in head:
                    continue
            now = time.perf_counter()
            latencies.append(now - entry[1]) if b" 200 " in head[:16] else None
            failed += b" 200 " not in head[:16]
            entry[1], entry[2] = now, b""
            if sent < hits + clients:
                sent += 1
                entry[0].send(request)
    seconds = time.perf_counter() - begin
    latencies.sort()
    print(
        json.dumps(
            {
                "seconds": seconds,
                "failed": failed,
                "p50": latencies[len(latencies) // 2] * 1000,
                "p99": latencies[int(len(latencies) * 0.99)] * 1000,
            }
        )
    )


def free_ports(count):
    """Returns `count` free TCP ports. Another process may take one before it is used."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def start(*arguments, core=None):
    """Starts this file with the given arguments and returns the process, pinned to CPU `core` unless None."""
    argv = [sys.executable, os.path.abspath(__file__), *map(str, arguments)]
    child = subprocess.Popen(argv, cwd=ROOT)
    if core is not None:
        os.sched_setaffinity(child.pid, {core})
    return child


def cpu_seconds(pid):
    """Returns the user and system CPU time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def wait_for(port):
    """Waits until a TCP port accepts connections. Raises SystemExit after 400 attempts, 8 s or more."""
    for _ in range(400):
        try:
            socket.create_connection(("127.0.0.1", port), 0.2).close()
            return
        except OSError:
            time.sleep(0.02)
    raise SystemExit(f"no process accepts connections on port {port}")


def measure(name, ports, hits, clients, child):
    """Runs the load twice, the first a warm-up of a tenth of the hits, and prints the second as a table row.

    `child` is the measured process; None leaves its CPU time out.
    """
    for count in (hits // 10, hits):
        before = cpu_seconds(child.pid) if child else 0.0
        output = subprocess.run(
            [sys.executable, os.path.abspath(__file__), "load", str(count), str(clients), *map(str, ports)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        spent = cpu_seconds(child.pid) - before if child else 0.0
    result = json.loads(output)
    cpu_cell = f"{spent / hits * 1e6:>10.0f}" if child else f"{'-':>10}"
    print(
        f"{name:<28}{hits / result['seconds']:>9.0f}{result['p50']:>9.2f}{result['p99']:>9.2f}"
        f"{cpu_cell}{result['failed']:>8}"
    )


def main():
    """Runs the comparison, or one of its processes where the first argument names one."""
    if len(sys.argv) > 1 and sys.argv[1] == "responder":
        return responder([int(p) for p in sys.argv[3:]], float(sys.argv[2]))
    if len(sys.argv) > 1 and sys.argv[1] == "peers":
        return serve_list_and_desk(int(sys.argv[2]), int(sys.argv[3]), [int(p) for p in sys.argv[4:]])
    if len(sys.argv) > 1 and sys.argv[1] == "aiohttp":
        return aiohttp_proxy(int(sys.argv[2]), [int(p) for p in sys.argv[3:]])
    if len(sys.argv) > 1 and sys.argv[1] == "load":
        return load([int(p) for p in sys.argv[4:]], int(sys.argv[2]), int(sys.argv[3]))
    if len(sys.argv) > 1 and sys.argv[1] == "gateway":
        from cobaltpond.cli.main import create_logger
        from cobaltpond.gateway.main import run_gateway
        from cobaltpond.loop import EpollKernel
        from cobaltpond.settings import read_settings

        settings = read_settings(sys.argv[2], open(sys.argv[2]).read())
        return run_gateway(
            EpollKernel(),
            settings,
            0,
            create_logger("bench"),
            RandomChoice if sys.argv[3] == "random" else None,
        )
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hits", type=int, default=6000)
    parser.add_argument("--clients", type=int, default=32)
    options = parser.parse_args()
    core = max(os.sched_getaffinity(0))
    ports, children = free_ports(INSTANCES), []
    try:
        children.append(start("responder", 0, *ports))
        wait_for(ports[-1])
        print(f"{'':<28}{'hits/s':>9}{'p50 ms':>9}{'p99 ms':>9}{'CPU us':>10}{'failed':>8}")
        measure("direct", ports, options.hits, options.clients, None)
        for name, decisions in (("gateway", "own"), ("gateway, random choice", "random")):
            list_port, desk_port, gateway_port = free_ports(3)
            with tempfile.NamedTemporaryFile("w", suffix=".star", delete=False) as file:
                file.write(SETTINGS_TEMPLATE % (list_port, desk_port, gateway_port))
            children.append(start("peers", list_port, desk_port, *ports))
            wait_for(desk_port)
            children.append(start("gateway", file.name, decisions, core=core))
            wait_for(gateway_port)
            time.sleep(0.5)
            measure(name, [gateway_port], options.hits, options.clients, children[-1])
            children.pop().kill()
            children.pop().kill()
        (proxy_port,) = free_ports(1)
        children.append(start("aiohttp", proxy_port, *ports, core=core))
        wait_for(proxy_port)
        measure("aiohttp proxy", [proxy_port], options.hits, options.clients, children[-1])
    finally:
        for child in children:
            child.kill()


if __name__ == "__main__":
    main()
