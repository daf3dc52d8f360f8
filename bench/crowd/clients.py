"""Usual clients: they hold on to their connections and send one request after another, each of which is owed
a final answer.
"""

import asyncio
import time
from dataclasses import dataclass, field

from bench.crowd.protocol import REFUSAL_CODES, insert, outcome, query, read_messages, select, startup_message
from bench.crowd.settings import DEADLINES_S

# up to half a second after its time a request only earns nothing; each time limit is 50 ms longer on sockets
LATE_ALLOWANCE_S = 0.55
# SIGKILL loses what it finds unanswered if the request came later than this after SIGTERM
STOP_GRACE_S = 0.7
NEW_CONNECTIONS_S = 0.4  # for which new connections keep coming after SIGTERM
MAX_STOP_S = 6.0  # SIGKILL follows SIGTERM within this; later it belongs to another start
# The kernel lets connections to a killed process come up until it has taken the process down.
DYING_TIME_S = 0.01
RECONNECT_PAUSE_S = 0.02


@dataclass
class Request:
    """One request of a usual client. Times: monotonic seconds; `ended_at` is None while it is open."""

    request_id: int
    group: str
    sent_at: float
    time_left_s: float
    on_new_connection: bool
    port: int
    connected_at: float
    outcome: str = ""
    ended_at: float | None = None

    @property
    def seconds(self) -> float:
        """Returns how long the answer took."""
        return (self.ended_at or time.monotonic()) - self.sent_at

    @property
    def is_late(self) -> bool:
        """Whether the answer came so late that the request counts as lost."""
        return self.seconds > self.time_left_s + LATE_ALLOWANCE_S


@dataclass
class Connection:
    """One connection of a client, to `port`; `is_new` until its first answer is awaited."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    port: int
    opened_at: float
    is_new: bool = True


@dataclass
class Interruptions:
    """When gateways were sent SIGTERM and SIGKILL, by port, in monotonic seconds."""

    stopped_at: dict[int, list[float]] = field(default_factory=dict)
    killed_at: dict[int, list[float]] = field(default_factory=dict)

    def is_out(self, port: int, now: float) -> bool:
        """Whether the front hands out no new connections to a gateway, as it was told to stop."""
        stopped_at = max(self.stopped_at.get(port, ()), default=None)
        if stopped_at is None or now - stopped_at <= NEW_CONNECTIONS_S:
            return False
        return not any(killed_at > stopped_at for killed_at in self.killed_at.get(port, ()))

    def frees(self, request: "Request") -> bool:
        """Whether a kill, while the request was open, frees its gateway of the answer."""
        for killed_at in self.killed_at.get(request.port, ()):
            if request.connected_at - DYING_TIME_S <= killed_at <= request.sent_at:
                return True  # written to a connection whose process was killed already
            due_at = request.sent_at + request.time_left_s + LATE_ALLOWANCE_S
            if request.sent_at <= killed_at <= min(due_at, request.ended_at or killed_at):
                stops = [
                    at for at in self.stopped_at.get(request.port, ()) if 0 <= killed_at - at < MAX_STOP_S
                ]
                return not stops or request.sent_at - max(stops) <= STOP_GRACE_S
        return False


@dataclass
class Traffic:
    """The usual clients of one gateway.

    `other_ports`: of the gateways that take a client in while its own one refuses connections.
    """

    port: int
    group: str = "listing-read"
    period_s: float = 0.05
    one_request_each: bool = False  # each connection is used for one request
    value: bytes = b"9f03"
    first_client: int = 1
    other_ports: list[int] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    interruptions: Interruptions = field(default_factory=Interruptions)

    def encode(self, request: Request) -> bytes:
        """Encodes a request."""
        time_left_ms = int(request.time_left_s * 1000)
        if request.group == "listing-read":
            return select(request.request_id, time_left_ms)
        return insert(request.request_id, time_left_ms, self.value, request.group)

    async def connect(self, until: float) -> Connection | None:
        """Opens a connection and sends the startup message; None where nobody listens until a time."""
        while time.monotonic() < until:
            for port in (self.port, *self.other_ports):
                opened_at = time.monotonic()
                if self.interruptions.is_out(port, opened_at):
                    continue
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                except OSError:
                    continue
                writer.write(startup_message())
                return Connection(reader, writer, port, opened_at)
            await asyncio.sleep(RECONNECT_PAUSE_S)
        return None

    async def client(self, number: int, until: float) -> None:
        """Sends requests one after another until a time; a request that crosses a close is sent once more."""
        connection, count = None, 0
        while time.monotonic() < until:
            connection = connection or await self.connect(until)
            if connection is None:
                return
            count += 1
            request = Request(
                (self.first_client + number) << 32 | count,
                self.group,
                time.monotonic(),
                DEADLINES_S[self.group],
                connection.is_new,
                connection.port,
                connection.opened_at,
            )
            self.requests.append(request)
            answered = await self.ask(connection, request)
            if not answered and not request.on_new_connection and not self.interruptions.frees(request):
                connection.writer.close()
                connection = await self.connect(until)
                if connection is None:
                    self.requests.remove(request)
                    return
                request.sent_at, request.on_new_connection = time.monotonic(), True
                request.port, request.connected_at = connection.port, connection.opened_at
                answered = await self.ask(connection, request)
            if not answered or self.one_request_each:
                connection.writer.close()
                connection = None
            await asyncio.sleep(self.period_s)
        if connection is not None:
            connection.writer.close()

    async def ask(self, connection: Connection, request: Request) -> bool:
        """Sends a request and waits for its answer; returns whether there was one."""
        reader = connection.reader
        try:
            connection.writer.write(self.encode(request))
            got = "closed"
            async with asyncio.timeout(request.time_left_s + 2 * LATE_ALLOWANCE_S):
                if connection.is_new:
                    connection.is_new = False
                    welcome = await read_messages(reader)
                    if outcome(welcome)[0] not in ("closed", "empty"):  # refused in place of the welcome
                        got = outcome(welcome)[0]
                if got == "closed":
                    got, value = outcome(await read_messages(reader))
                    if got == "served" and b"%016x" % request.request_id not in value:
                        got = "foreign value"
        except TimeoutError:
            got = "never"
        except OSError:
            got = "closed"
        request.outcome, request.ended_at = got, time.monotonic()
        return got not in ("closed", "never")

    def lost(self) -> list[str]:
        """Describes the requests that were lost: answered too late, never, wrongly, or closed away."""
        return [
            f"{request.request_id:016x} ({request.group}) {request.outcome} after {request.seconds:.2f} s"
            for request in self.requests
            if request.ended_at is not None
            and (request.outcome in ("closed", "never", "foreign value") or request.is_late)
            and not self.interruptions.frees(request)
        ]

    def share(self, outcomes=("served",)) -> float:
        """Returns the share of the ended requests with one of these outcomes."""
        ended = [request for request in self.requests if request.ended_at is not None]
        return sum(request.outcome in outcomes for request in ended) / max(1, len(ended))

    def longest_gap_s(self, until: float) -> float:
        """Returns the longest time in which one client got no answer, up to a time in monotonic seconds."""
        last_answers, longest = {}, 0.0
        for request in sorted(self.requests, key=lambda request: request.sent_at):
            client = request.request_id >> 32
            answered_at = request.ended_at if request.outcome not in ("closed", "never") else None
            if answered_at is not None:
                longest = max(longest, answered_at - last_answers.get(client, request.sent_at))
                last_answers[client] = answered_at
        return max([longest, *(until - answered_at for answered_at in last_answers.values())])

    def slowest_s(self) -> float:
        """Returns how long the slowest answer took."""
        return max((request.seconds for request in self.requests), default=0.0)

    def outcomes(self) -> dict[str, int]:
        """Returns the number of requests by outcome."""
        counts: dict[str, int] = {}
        for request in self.requests:
            counts[request.outcome] = counts.get(request.outcome, 0) + 1
        return counts


async def is_ready(port: int) -> bool:
    """Returns whether a gateway answers an empty query."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    try:
        writer.write(startup_message() + query(b""))
        async with asyncio.timeout(1):
            await read_messages(reader)
            return outcome(await read_messages(reader))[0] == "empty"
    except (TimeoutError, OSError):
        return False
    finally:
        writer.close()


__all__ = ["LATE_ALLOWANCE_S", "REFUSAL_CODES", "Request", "Traffic", "is_ready"]
