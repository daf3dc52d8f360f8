"""The door for clients: PostgreSQL's protocol, one hit at a time on each connection, one final answer a hit.

Clients that make no sense get one FATAL error and a close, and nothing that they sent goes further. All that
a client can make us keep is bounded: a message by its length, commands behind an open one by count, answers
that it does not read by size and time, connections by the configuration's descriptors.
"""

from cobaltpond.gateway.pending_hit import PendingHit
from cobaltpond.loop import Connection, ConnectionLostError, Sleep, Writable, serve
from cobaltpond.wire import pg
from cobaltpond.wire.statement import PLAIN_NAME, PlatformStatement, StatementError

SILENT = 2_200_000  # a client that has asked nothing goes: 3 s are its due
YOUNG = 150_000  # who means to ask has asked by then, when room is short
IDLE_ENOUGH = 2_000_000  # one that has asked may be closed after that,
IDLE_PRESSED = 300_000  # or after this where another would have to wait
WAITING_MOST = 16  # commands behind an open one
UNREAD_MOST = 1 << 20  # bytes of answers that a client does not take
CLOSING, CLOSING_BYTES = 500_000, 256 << 10  # how long and how much is read after our end of file
SWEEP = 200_000
FOREVER = 1 << 60
TOO_MANY = pg.error_response("53300", "too many connections, and nothing was asked", fatal=True)
ENDING = pg.error_response("53300", "this gateway ends", fatal=True)


class ClientConnection:
    """One client's connection."""

    def __init__(self, door: "Frontend", connection: Connection):
        self.frontend, self.loop, self.connection = door, door.loop, connection
        self.asked, self.waiting, self.hit = pg.ClientMessageParser(), [], None
        self.came = self.active = door.loop.now()
        self.began, self.unread, self.writer, self.closing, self.thrown = False, b"", None, None, 0

    @property
    def is_idle(self) -> bool:
        return (
            self.hit is None and self.writer is None and self.closing is None and not self.asked.has_partial
        )

    def receive(self, data: bytes) -> None:
        """Bytes of the client."""
        self.active = self.loop.now()
        for kind, value in self.asked.feed(data):
            self.handle_event(kind, value)
            if self.closing is not None:
                break

    def is_quiet(self) -> bool:
        """Has nothing come that has no answer yet, in whole or in part, read or still unread in the socket?
        What is unread is read now. Guards against a close that crosses a request: one that lies in the socket
        is not lost by it, nor thrown away behind our end of file."""
        if self.hit is not None or self.waiting or self.closing is not None:
            return False
        try:
            data = self.connection.read_now()
        except ConnectionLostError:
            return True
        if data:
            self.receive(data)
        return not data and not self.asked.has_partial

    def send_data(self, data: bytes) -> None:
        """Sends; what the client does not take at once is kept, within a bound, and sent by a task."""
        self.active = self.loop.now()
        if self.writer is not None:  # in order, behind what is on its way
            self.unread += data
        else:
            try:
                sent = self.connection.write_now(data)
            except ConnectionLostError:
                self.connection.close()
                return
            self.unread = data[sent:]
            if self.unread:
                self.writer = self.loop.spawn(self.write_rest(), "door-rest")
        if len(self.unread) > UNREAD_MOST:  # guards against clients that ask and never read
            self.frontend.count("unread")
            self.connection.abort()

    def write_rest(self):
        try:
            while self.unread:
                sent = self.connection.write_now(self.unread)
                if sent:  # a slow reader that reads on is not cut off
                    self.unread, self.active = self.unread[sent:], self.loop.now()
                else:
                    yield Writable(self.connection.handle)
        except ConnectionLostError:
            self.unread = b""
            self.connection.close()
        self.writer = None
        if self.closing is not None:
            self.closing = self.loop.now()
            self.connection.handle.finish()

    def half_close(self) -> None:
        """Our end of file first; closed once the client has sent its own, or little more has come, or time
        has passed: closing at once on bytes that lie unread would reset the answer away."""
        if self.closing is None:
            self.closing = self.loop.now()
            self.waiting.clear()
            if self.writer is None:
                self.connection.handle.finish()

    def refuse(self, code: str, text: str) -> None:
        """One FATAL error, and the end. A hit that is open here gets that for its final answer."""
        self.frontend.count("unfit")
        self.abandon_open_hit()
        if self.closing is None:
            self.send_data(pg.error_response(code, text, fatal=True))
            self.half_close()

    def turn_away(self, data: bytes) -> None:
        """A FATAL refusal and the end: for who has no request open here."""
        self.send_data(data)
        self.half_close()

    def abandon_open_hit(self) -> None:
        hit, self.hit = self.hit, None
        if hit is not None:
            self.frontend.abandon_hit(hit)

    def handle_event(self, kind, value) -> None:
        """One event of the client's bytes."""
        if kind == "query":
            if self.hit is None and not self.waiting:
                self.handle_query(value)
            elif len(self.waiting) < WAITING_MOST:
                self.waiting.append(value)
            else:
                self.refuse("54000", f"more than {WAITING_MOST} commands wait behind an open one")
        elif kind == "startup":
            self.send_data(pg.startup_response())
        elif kind == "tls":
            self.send_data(pg.ENCRYPTION_REFUSED)
        elif kind == "wrong":
            self.refuse(value.code, str(value))
        else:  # Terminate, or a wish to call off: nothing is owed to it
            self.abandon_open_hit()
            self.half_close()

    def handle_query(self, text: bytes) -> None:
        door = self.frontend
        self.began = True
        if not text.strip(b" \t\r\n;"):
            self.send_data(pg.EMPTY_QUERY_RESPONSE)
            return
        try:
            statement = PlatformStatement(text)
            group = door.groups.get(statement.group)
            if group is None:
                raise StatementError("no such path group")
            if statement.customer not in door.customers and not PLAIN_NAME.fullmatch(statement.customer):
                raise StatementError("no such tenant")
            if not 0 < statement.left:
                raise StatementError("no time to answer in")
            if group["kind"] == "tagged" and statement.key is None:
                raise StatementError("this path group needs a key")
            if statement.id in door.open_ids:
                raise StatementError("a hit of that id is open")
        except StatementError as trouble:
            self.refuse("42601", str(trouble))
            return
        left = min(statement.left, group["client_timeout"], door.time_remaining())
        if door.host.is_full() or left <= 0:
            door.count("turned away")
            self.send_data(
                pg.error_response("53300", "no room for a further hit" if left > 0 else "this gateway ends")
                + pg.READY_FOR_QUERY
            )
            return
        self.hit = PgHit(self, statement)
        door.open_ids[statement.id] = self.hit
        customer = statement.customer if statement.customer in door.customers else None
        slack = door.host.slack
        door.host.accept_hit(
            self.hit,
            statement.group,
            customer,
            int(statement.ref, 16) >> 11,
            left,
            None,
            statement.again,
            left - slack // 2,
        )

    def answered(self) -> None:
        """The open hit has its final answer: the next command's turn."""
        self.hit = None
        while self.waiting and self.hit is None and self.closing is None:
            self.handle_query(self.waiting.pop(0))
        if self.frontend.draining and self.is_quiet():
            self.half_close()


class PgHit(PendingHit):
    def __init__(self, client: ClientConnection, statement: PlatformStatement):
        super().__init__(client.frontend.host.next_number(), statement.id.decode(), client.frontend)
        self.client, self.statement = client, statement

    def answer(self, outcome: str, data: bytes) -> None:
        self.finalize(outcome)
        self.client.send_data(data)
        self.client.answered()

    def deliver(self, value: bytes) -> None:
        self.answer("delivered", value + pg.READY_FOR_QUERY)

    def reject(self, retry_after: int) -> None:
        detail = str(-(-retry_after // 1000)) if retry_after else None
        self.answer("bounced", pg.error_response("53300", "not taken on now", detail) + pg.READY_FOR_QUERY)

    def fail(self, late: bool) -> None:
        self.answer(
            "errored",
            pg.error_response(
                "57014" if late else "58000",
                "no answer in time; it may have run" if late else "it failed; it may have run",
            )
            + pg.READY_FOR_QUERY,
        )


class Frontend:
    """`groups`: path group -> its row of the runsheet; `room()`: how many connections of clients may be
    now, `most`: ever."""

    def __init__(self, loop, host, runsheet: dict, room, most: int, log):
        self.loop, self.host, self.log, self.room, self.most = loop, host, log, room, most
        self.groups = {row["name"]: row for row in runsheet["path_groups"]}
        self.customers = {row["name"] for row in runsheet["customers"]}
        self.may_cancel = bool(runsheet.get("may_cancel"))
        self.clients, self.open_ids, self.draining, self.counts = {}, {}, False, {}
        self.listener, self.ends_at = None, None  # when all answers are out, once it drains

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def time_remaining(self) -> int:
        """Microseconds in which an answer can still be given."""
        return FOREVER if self.ends_at is None else self.ends_at - self.loop.now()

    def hit_ended(self, hit: PgHit) -> None:
        self.count(hit.outcome)
        self.open_ids.pop(hit.statement.id, None)
        self.host.hit_ended(hit)

    def abandon_hit(self, hit: PgHit) -> None:
        """Its client has left: nobody waits for what is under way, so where that may be called off, it is."""
        if hit.final:
            return
        self.host.abandon_hit(hit)
        if self.may_cancel and self.groups[hit.statement.group]["kind"] != "mutating":
            for forward in hit.forwards:
                if forward is not None:
                    forward.cancel()

    def start_accepting(self, listener) -> None:
        self.listener = listener
        self.accepting = self.loop.spawn(
            serve(
                self.loop, listener, self.serve_client, self.room, "client", pause=20_000, evict=self.evict
            ),
            "door",
        )
        self.loop.spawn(self.sweep(), "door-sweep")

    def evict(self) -> bool:
        """Room for who is at the door: first who came and asked nothing, then the longest idle. Guards
        against crowds that connect and say nothing, and clients that ask once and stay for good. Who asked
        nothing is told so: a new connection that ends without a word counts as a request turned away, or
        lost."""
        now, turned_away = self.loop.now(), False
        for client in list(self.clients):
            spare = (
                not client.began
                and now - client.came > YOUNG
                or client.is_idle
                and now - client.active > IDLE_PRESSED
            )
            if spare and not client.connection.closed:
                if client.is_quiet():
                    self.count("evicted")
                    if not client.began:
                        client.send_data(TOO_MANY)
                    client.connection.close()  # nothing lies unread: it ends as a half-close does
                    return True
                if client.asked.has_partial and client.active < now and not turned_away:
                    self.count("evicted")
                    turned_away = True
                    client.turn_away(TOO_MANY)  # its room is free when it has closed, or soon
        return len(self.clients) < self.most and self.host.endpoints.evict()

    def serve_client(self, connection):
        """A task for each connection: reads, and so hears of a client that hangs up."""
        client = ClientConnection(self, connection)
        self.clients[client] = True
        try:
            while True:
                data = yield from connection.read()
                if not data:
                    return
                if client.closing is not None:
                    client.thrown += len(data)
                    if client.thrown > CLOSING_BYTES:
                        connection.abort()
                        return
                    continue
                client.receive(data)
                self.clients[client] = self.clients.pop(client)  # the longest idle come first
        finally:
            self.clients.pop(client, None)
            client.abandon_open_hit()
            if client.writer is not None:
                client.writer.cancel()

    def sweep(self):
        """Closes who says nothing, stays in the middle of a message, or does not close: a task without
        end."""
        while True:
            yield Sleep(SWEEP)
            self.sweep_once()

    def sweep_once(self) -> None:
        now = self.loop.now()
        for client in list(self.clients):
            if client.writer is not None:
                if now - client.active > SILENT:
                    client.connection.abort()
            elif client.closing is not None:
                if now - client.closing > CLOSING:
                    client.connection.close()
            elif client.hit is None and (client.asked.has_partial or not client.began):
                if now - (client.active if client.began else client.came) > SILENT:
                    client.refuse("57P05", "nothing was asked")
            elif len(self.clients) * 2 > self.room() and client.is_idle and now - client.active > IDLE_ENOUGH:
                if client.is_quiet():
                    self.count("evicted")
                    client.half_close()

    def half_close_idle(self, since: int) -> None:
        """Ends what is open without a request, and has been so for this long. Guards against clients that go
        on sending on every connection that stays open: also on one that was taken out of the backlog last, up
        to our very end. Who is in the middle of a request may end it."""
        now = self.loop.now()
        for client in list(self.clients):
            if now - client.active >= since and client.is_quiet():
                if client.began:
                    client.half_close()
                else:  # it waits for an answer, as far as we know
                    client.turn_away(ENDING)

    def drain(self, linger: int, longest: int, flush: int = 100_000, began: int | None = None):
        """New connections go on being taken for `linger` after `began` (now, where it is None); each one goes
        after its answer. What is open `longest` later gets its final answer then, and what comes later still
        is turned away at once. Ends when all is answered and closed, or `flush` later: none is lost by the
        end."""
        began = self.loop.now() if began is None else began
        self.draining, self.ends_at = True, began + linger + longest
        while self.loop.now() < began + linger:
            yield Sleep(10_000)
        self.accepting.cancel()
        yield from self.accepting.join()  # it takes what waits in the backlog
        self.half_close_idle(0)
        while self.loop.now() < self.ends_at and any(c.closing is None or c.writer for c in self.clients):
            yield Sleep(10_000)
            self.half_close_idle(YOUNG)
        for hit in list(self.open_ids.values()):
            self.host.answer_overdue(hit)
        for client in list(self.clients):
            if client.asked.has_partial and client.closing is None:
                client.turn_away(ENDING)
        end = self.loop.now() + flush
        while self.clients and self.loop.now() < end:
            self.half_close_idle(0)
            yield Sleep(10_000)
