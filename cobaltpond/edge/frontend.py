"""Accepts client connections, closes idle and silent ones, and drains them all when the gateway stops.

The number of connections is bounded by the file descriptors of the configuration, and what they hold by its
memory: see `memory_plan.py`.
"""

from cobaltpond.edge.client_connection import ClientConnection
from cobaltpond.edge.pg_hit import PgHit
from cobaltpond.edge.sent_ids import SentIds
from cobaltpond.gateway.memory_budget import MemoryBudget
from cobaltpond.loop import Sleep, serve
from cobaltpond.wire import pg

SILENT_CLIENT_TIMEOUT_US = 2_200_000  # closes a connection without a command; clients may expect 3 s
# no eviction before this: a client that means to send a command has sent it by then
NEW_CONNECTION_GRACE_US = 150_000
IDLE_TIMEOUT_US = 2_000_000  # an idle connection may be closed after this, above half of the limit
IDLE_TIMEOUT_WHEN_FULL_US = 300_000  # or after this where a new connection would have to wait
CLOSE_TIMEOUT_US = 500_000  # how long bytes are read after our side has ended
CLOSE_TIMEOUT_WHEN_FULL_US = 100_000  # the same where a new connection would have to wait
PIPELINE_TIME_WHEN_FULL_US = 300_000
MAX_EVICTIONS = 32  # at once
ACCEPT_PAUSE_US = 5_000  # until it is tried again to make room
SWEEP_INTERVAL_US = 200_000
# While a message waits for memory: how often and how soon the others are looked at, after which time without
# progress they are ended, how many at once, and how long a message waits before it is refused.
RELIEF_INTERVAL_US, RELIEF_DELAY_US, MAX_RELIEFS = 50_000, 100_000, 16
UNREAD_TIME_WHEN_FULL_US, INCOMPLETE_TIME_WHEN_FULL_US, ROOM_WAIT_TIME_US = 500_000, 300_000, 700_000
UNLIMITED_US = 1 << 60
MEMORY_FULL = pg.error_response("53300", "no memory for a request of this size now", fatal=True)
TOO_MANY_CONNECTIONS = pg.error_response("53300", "too many connections, and nothing was asked", fatal=True)
SHUTTING_DOWN = pg.error_response("53300", "this gateway ends", fatal=True)


class Frontend:
    """Accepts client connections and limits what they may hold."""

    def __init__(
        self,
        loop,
        host,
        policy_settings: dict,
        connection_limit,
        max_connections: int,
        log,
        budget: MemoryBudget,
        sent_ids: SentIds,
    ):
        """Takes the limits on what clients may hold.

        `connection_limit()` returns the current maximum of client connections, `max_connections` is the
        highest one. `budget`: for large messages. `sent_ids`: of requests that must not run again.
        """
        self.loop = loop
        self.host = host
        self.log, self.budget = log, budget
        self.connection_limit = connection_limit
        self.max_connections = max_connections
        self.groups = {row["name"]: row for row in policy_settings["path_groups"]}
        self.customers = {row["name"] for row in policy_settings["customers"]}
        self.may_cancel = bool(policy_settings.get("may_cancel"))
        self.clients, self.open_ids, self.draining, self.counts = {}, {}, False, {}
        self.sent_ids = sent_ids
        self.refusals = {}  # connections that were ended with an error, by SQLSTATE and reason
        # answer_deadline: by when all responses are sent, once the gateway drains
        self.listener, self.answer_deadline = None, None

    def increment(self, name: str) -> None:
        """Increments a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def record_refusal(self, code: str, text: str) -> None:
        """Counts a connection that is ended with an error; `text` never holds what a client sent."""
        reason = f"{code} {text}"
        self.refusals[reason] = self.refusals.get(reason, 0) + 1

    def held_bytes(self) -> int:
        """Returns how many bytes all clients together make the process hold."""
        return sum(client.held_bytes for client in self.clients)

    def time_remaining(self) -> int:
        """Returns the microseconds in which a response can still be sent."""
        return UNLIMITED_US if self.answer_deadline is None else self.answer_deadline - self.loop.now()

    def hit_ended(self, hit: PgHit) -> None:
        """Handles the end of a hit; called once by each hit, when it becomes final."""
        self.increment(hit.outcome)
        self.open_ids.pop(hit.statement.id, None)
        self.host.hit_ended(hit)

    def abandon_hit(self, hit: PgHit) -> None:
        """Ends a hit whose client has disconnected, and cancels its forwards where that is allowed, as nobody
        waits for them.
        """
        if hit.final:
            return
        self.host.abandon_hit(hit)
        if self.may_cancel and self.groups[hit.statement.group]["kind"] != "mutating":
            for forward in hit.forwards:
                if forward is not None:
                    forward.cancel()

    def start_accepting(self, listener) -> None:
        """Accepts connections from this listener from now on."""
        self.listener = listener
        self.accepting = self.loop.spawn(
            serve(
                self.loop,
                listener,
                self.serve_client,
                self.connection_limit,
                "client",
                pause=ACCEPT_PAUSE_US,
                evict=self.evict,
            ),
            "door",
        )
        self.loop.spawn(self.sweep(), "door-sweep")
        self.loop.spawn(self.relieve_memory(), "door-relief")

    def evict(self) -> bool:
        """Makes room for new connections; returns whether there is some now.

        Ends connections, beginning with the one that has been idle longest, that have sent no command for
        NEW_CONNECTION_GRACE_US, have been idle or half-way through a message for IDLE_TIMEOUT_WHEN_FULL_US,
        or have had the next command ready at each answer for PIPELINE_TIME_WHEN_FULL_US; if there is none, an
        idle connection to an instance. Otherwise clients that connect and send nothing, or half a command, or
        hundreds at once, would exhaust the descriptors. Many are ended at once, so that it keeps pace with
        clients that come again.
        """
        has_room, ended = False, 0
        for client in list(self.clients):
            if self.may_evict(client) and not client.connection.closed:
                is_freed = self.evict_client(client)
                has_room, ended = has_room or is_freed, ended + 1
                if ended == MAX_EVICTIONS:
                    break
        if has_room:
            return True
        return len(self.clients) < self.max_connections and self.host.endpoints.evict()

    def may_evict(self, client: ClientConnection) -> bool:
        """Returns whether a connection may be ended to make room for another one."""
        now = self.loop.now()
        if client.closing_since is not None:
            return not client.output.is_busy and now - client.closing_since > CLOSE_TIMEOUT_WHEN_FULL_US
        if not client.has_asked and client.hit is None:
            return now - client.connected_at > NEW_CONNECTION_GRACE_US
        if client.pipelined_since is not None and not client.ends_after_answer:
            return now - client.pipelined_since > PIPELINE_TIME_WHEN_FULL_US
        if client.is_idle:
            return now - client.last_active > IDLE_TIMEOUT_WHEN_FULL_US
        return client.is_half_way and now - client.partial_since > IDLE_TIMEOUT_WHEN_FULL_US

    def evict_client(self, client: ClientConnection) -> bool:
        """Ends a connection; returns whether its descriptor is free.

        A connection without a command gets an error response: a new connection that is closed silently
        counts as a request that was refused or lost.
        """
        if client.closing_since is not None:
            client.discard_unread()
            client.connection.close()
            return True
        if client.pipelined_since is not None:
            self.increment("evicted")
            client.end_after_answer()
            return False
        if client.is_quiet():
            self.increment("evicted")
            if not client.has_asked:
                client.send_data(TOO_MANY_CONNECTIONS)
            client.connection.close()  # no byte is unread, so this ends like a half-close
            return True
        if client.is_half_way and client.last_active < self.loop.now():
            self.increment("evicted")
            # the descriptor is free once the client has closed, or soon after
            client.refuse_connection(TOO_MANY_CONNECTIONS)
        return False

    def serve_client(self, connection):
        """Serves one connection; the body of a task. Its read notices a client that disconnects."""
        client = ClientConnection(self, connection)
        self.clients[client] = True
        try:
            yield from client.run()
        finally:
            self.clients.pop(client, None)
            client.close()

    def note_activity(self, client: ClientConnection) -> None:
        """Moves a client behind all others: the one that has been idle longest comes first."""
        self.clients[client] = self.clients.pop(client)

    def sweep(self):
        """Closes silent, half-sent and lingering connections. Runs until cancelled."""
        while True:
            yield Sleep(SWEEP_INTERVAL_US)
            self.sweep_once()

    def sweep_once(self) -> None:
        """Closes the connections whose time is up."""
        now = self.loop.now()
        for client in list(self.clients):
            if client.output.is_busy:
                if now - client.output.last_progress > SILENT_CLIENT_TIMEOUT_US:
                    self.end_unread(client)
            elif client.closing_since is not None:
                if now - client.closing_since > CLOSE_TIMEOUT_US:
                    client.connection.close()
            elif client.hit is None and (client.input.parser.has_partial or not client.has_asked):
                if (
                    now - (client.last_active if client.has_asked else client.connected_at)
                    > SILENT_CLIENT_TIMEOUT_US
                ):
                    client.refuse("57P05", "nothing was asked")
            elif (
                len(self.clients) * 2 > self.connection_limit()
                and client.is_idle
                and now - client.last_active > IDLE_TIMEOUT_US
            ):
                if client.is_quiet():
                    self.increment("evicted")
                    client.half_close()

    def end_unread(self, client: ClientConnection) -> None:
        """Ends the connection of a client that does not read its answers."""
        self.increment("unread")
        client.connection.abort()

    def relieve_memory(self):
        """Makes room in the memory for those who wait for it. Runs until cancelled."""
        while True:
            if self.budget.waiting_since is None:
                yield self.budget.waiting_began
            yield Sleep(RELIEF_INTERVAL_US)
            if self.budget.waiting_since is not None:
                self.relieve_memory_once()

    def relieve_memory_once(self) -> None:
        """Ends what has held memory for longest without progress, and refuses requests that waited in vain.

        A usual client sends its request and reads its answer at once. One that is refused here had no effect
        yet, and may try again.
        """
        now = self.loop.now()
        if now - self.budget.waiting_since < RELIEF_DELAY_US:
            return
        unread = [
            client
            for client in self.clients
            if client.output.is_busy and now - client.output.last_progress > UNREAD_TIME_WHEN_FULL_US
        ]
        for client in unread[:MAX_RELIEFS]:
            self.end_unread(client)
        incomplete = [
            client
            for client in self.clients
            if client.input.is_reading_large
            and now - client.input.reservation.granted_at > INCOMPLETE_TIME_WHEN_FULL_US
        ]
        incomplete.sort(key=lambda client: client.input.reservation.granted_at)
        in_vain = [
            client
            for client in self.clients
            if client.input.is_waiting and now - client.input.reservation.requested_at > ROOM_WAIT_TIME_US
        ]
        for client in incomplete[:MAX_RELIEFS] + in_vain:
            self.increment("memory full")
            if client.hit is not None:  # a refusal now would pass for that of the open hit
                client.end_after_answer()
            else:
                client.refuse_connection(MEMORY_FULL)

    def half_close_idle(self, idle_time: int) -> None:
        """Closes connections that have had no open request for `idle_time` microseconds.

        Clients reuse an open connection, also one that was accepted from the backlog last, until the process
        ends, so idle ones are closed first; a request in progress may finish.
        """
        now = self.loop.now()
        for client in list(self.clients):
            if now - client.last_active >= idle_time and client.is_quiet():
                if client.has_asked:
                    client.half_close()
                else:  # it may be waiting for a response
                    client.refuse_connection(SHUTTING_DOWN)

    def drain(self, linger: int, longest: int, flush: int = 100_000, started_at: int | None = None):
        """Answers everything that is open and closes all connections. Times in microseconds.

        New connections are accepted for `linger` after `started_at` (None: now), and each one is closed after
        its response. Hits that are open `longest` later get their final response then, and later ones are
        refused at once. Returns once everything is answered and closed, or `flush` later, so that no response
        is lost at the end.
        """
        started_at = self.loop.now() if started_at is None else started_at
        self.draining, self.answer_deadline = True, started_at + linger + longest
        while self.loop.now() < started_at + linger:
            yield Sleep(10_000)
        self.accepting.cancel()
        yield from self.accepting.join()  # it accepts the rest of the backlog
        self.half_close_idle(0)
        while self.loop.now() < self.answer_deadline and any(
            c.closing_since is None or c.output.is_busy for c in self.clients
        ):
            yield Sleep(10_000)
            self.half_close_idle(NEW_CONNECTION_GRACE_US)
        for hit in list(self.open_ids.values()):
            self.host.answer_overdue(hit)
        for client in list(self.clients):
            if client.input.parser.has_partial and client.closing_since is None:
                client.refuse_connection(SHUTTING_DOWN)
        flush_end = self.loop.now() + flush
        while self.clients and self.loop.now() < flush_end:
            self.half_close_idle(0)
            yield Sleep(10_000)
