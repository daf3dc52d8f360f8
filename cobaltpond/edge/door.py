"""The door for clients: PostgreSQL's protocol, one hit at a time on each connection, one final answer a hit.

Clients that make no sense get one FATAL error and a close, and nothing that they sent goes further. All that a
client can make us keep is bounded: a message by its length, commands behind an open one by count, answers that it
does not read by size and time, connections by the configuration's descriptors.
"""
from cobaltpond.gateway.hits import Owed
from cobaltpond.loop import Connection, PeerLost, Sleep, serve
from cobaltpond.wire import pg
from cobaltpond.wire.statement import NoStatement, Statement

SILENT = 2_200_000                                     # a client that has asked nothing goes: 3 s are its due
YOUNG = 150_000                                        # who means to ask has asked by then, when room is short
IDLE_ENOUGH = 2_000_000                                # one that has asked may be closed after that,
IDLE_PRESSED = 300_000                                 # or after this where another would have to wait
WAITING_MOST = 16                                      # commands behind an open one
UNREAD_MOST = 1 << 20                                  # bytes of answers that a client does not take
CLOSING, CLOSING_BYTES = 500_000, 256 << 10            # how long and how much is read after our end of file
SWEEP = 200_000


class ClientConnection:
    """One client's connection."""

    def __init__(self, door: "Door", connection: Connection):
        self.door, self.loop, self.connection = door, door.loop, connection
        self.asked, self.waiting, self.hit = pg.Asked(), [], None
        self.came = self.active = door.loop.now()
        self.began, self.unread, self.writer, self.closing, self.thrown = False, b"", None, None, 0

    @property
    def idle(self) -> bool:
        return self.hit is None and self.writer is None and self.closing is None and not self.asked.torn

    def put(self, data: bytes) -> None:
        """Sends; what the client does not take at once is kept, within a bound, and sent by a task."""
        self.active = self.loop.now()
        if self.writer is not None:                    # in order, behind what is on its way
            self.unread += data
        else:
            try:
                sent = self.connection.write_now(data)
            except PeerLost:
                self.connection.close()
                return
            self.unread = data[sent:]
            if self.unread:
                self.writer = self.loop.spawn(self.rest(), "door-rest")
        if len(self.unread) > UNREAD_MOST:             # guards against clients that ask and never read
            self.door.count("unread")
            self.connection.abort()

    def rest(self):
        try:
            while self.unread:
                piece, self.unread = self.unread, b""
                yield from self.connection.write(piece)
        except PeerLost:
            self.connection.close()
        self.writer = None
        if self.closing is not None:
            self.connection.handle.finish()

    def half_close(self) -> None:
        """Our end of file first; closed once the client has sent its own, or little more has come, or time has
        passed: closing at once on bytes that lie unread would reset the answer away."""
        if self.closing is None:
            self.closing = self.loop.now()
            self.waiting.clear()
            if self.writer is None:
                self.connection.handle.finish()

    def refuse(self, code: str, text: str) -> None:
        """One FATAL error, and the end. A hit that is open here gets that for its final answer."""
        self.door.count("unfit")
        self.leave()
        if self.closing is None:
            self.put(pg.error(code, text, fatal=True))
            self.half_close()

    def leave(self) -> None:
        hit, self.hit = self.hit, None
        if hit is not None:
            self.door.gone(hit)

    def take(self, kind, value) -> None:
        """One event of the client's bytes."""
        if kind == "query":
            if self.hit is None and not self.waiting:
                self.ask(value)
            elif len(self.waiting) < WAITING_MOST:
                self.waiting.append(value)
            else:
                self.refuse("54000", f"more than {WAITING_MOST} commands wait behind an open one")
        elif kind == "startup":
            self.put(pg.welcome())
        elif kind == "tls":
            self.put(pg.PLAIN_ONLY)
        elif kind == "wrong":
            self.refuse(value.code, str(value))
        else:                                          # Terminate, or a wish to call off: nothing is owed to it
            self.leave()
            self.half_close()

    def ask(self, text: bytes) -> None:
        door = self.door
        self.began = True
        if not text.strip(b" \t\r\n;"):
            self.put(pg.EMPTY)
            return
        try:
            statement = Statement(text)
            group = door.groups.get(statement.group)
            if group is None:
                raise NoStatement("no such path group")
            if not 0 < statement.left:
                raise NoStatement("no time to answer in")
            if group["kind"] == "tagged" and statement.key is None:
                raise NoStatement("this path group needs a key")
            if statement.id in door.open_ids:
                raise NoStatement("a hit of that id is open")
        except NoStatement as trouble:
            self.refuse("42601", str(trouble))
            return
        if door.host.full():
            door.count("turned away")
            self.put(pg.error("53300", "no room for a further hit") + pg.READY)
            return
        self.hit = Hit(self, statement)
        door.open_ids[statement.id] = self.hit
        customer = statement.customer if statement.customer in door.customers else None
        left = min(statement.left, group["client_timeout"])
        slack = door.host.slack
        door.host.take(self.hit, statement.group, customer, int(statement.ref, 16) >> 11, left, None,
                       statement.again, left - slack // 2)

    def answered(self) -> None:
        """The open hit has its final answer: the next command's turn."""
        self.hit = None
        if self.door.draining and not self.waiting:
            self.half_close()
        while self.waiting and self.hit is None and self.closing is None:
            self.ask(self.waiting.pop(0))


class Hit(Owed):
    def __init__(self, client: ClientConnection, statement: Statement):
        super().__init__(client.door.host.next_number(), statement.id.decode(), client.door)
        self.client, self.statement = client, statement

    def answer(self, outcome: str, data: bytes) -> None:
        self.end(outcome)
        self.client.put(data)
        self.client.answered()

    def deliver(self, value: bytes) -> None:
        self.answer("delivered", value + pg.READY)

    def bounce(self, retry_after: int) -> None:
        detail = str(-(-retry_after // 1000)) if retry_after else None
        self.answer("bounced", pg.error("53300", "not taken on now", detail) + pg.READY)

    def error(self, late: bool) -> None:
        self.answer("errored", pg.error("57014" if late else "58000", "no answer in time; it may have run" if late
                                        else "it failed; it may have run") + pg.READY)


class Door:
    """`groups`: path group -> its row of the runsheet; `room()`: how many connections of clients may be
        now, `most`: ever."""

    def __init__(self, loop, host, runsheet: dict, room, most: int, log):
        self.loop, self.host, self.log, self.room, self.most = loop, host, log, room, most
        self.groups = {row["name"]: row for row in runsheet["path_groups"]}
        self.customers = {row["name"] for row in runsheet["customers"]}
        self.may_cancel = bool(runsheet.get("may_cancel"))
        self.clients, self.open_ids, self.draining, self.counts = {}, {}, False, {}
        self.listener = None

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def ended(self, hit: Hit) -> None:
        self.count(hit.outcome)
        self.open_ids.pop(hit.statement.id, None)
        self.host.ended(hit)

    def gone(self, hit: Hit) -> None:
        """Its client has left: nobody waits for what is under way, so where that may be called off, it is."""
        if hit.final:
            return
        self.host.gone(hit)
        if self.may_cancel and self.groups[hit.statement.group]["kind"] != "mutating":
            for forward in hit.forwards:
                if forward is not None:
                    forward.cancel()

    def open(self, listener) -> None:
        self.listener = listener
        self.accepting = self.loop.spawn(
            serve(self.loop, listener, self.client, self.room, "client", pause=20_000, evict=self.evict), "door")
        self.loop.spawn(self.sweep(), "door-sweep")

    def evict(self) -> bool:
        """Room for who is at the door: first who came and asked nothing, then the longest idle. Guards against
        crowds that connect and say nothing, and clients that ask once and stay for good."""
        now = self.loop.now()
        for client in self.clients:
            spare = not client.began and now - client.came > YOUNG or client.idle and now - client.active > IDLE_PRESSED
            if spare and not client.connection.closed:
                self.count("evicted")
                client.connection.close()
                return True
        return len(self.clients) < self.most and self.host.places.evict()

    def client(self, connection):
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
                client.active = self.loop.now()
                for kind, value in client.asked.feed(data):
                    client.take(kind, value)
                    if client.closing is not None:
                        break
                self.clients[client] = self.clients.pop(client)        # the longest idle come first
        finally:
            self.clients.pop(client, None)
            client.leave()
            if client.writer is not None:
                client.writer.cancel()

    def sweep(self):
        """Closes who says nothing, stays in the middle of a message, or does not part: a task without end."""
        while True:
            yield Sleep(SWEEP)
            now = self.loop.now()
            for client in list(self.clients):
                if client.closing is not None:
                    if now - client.closing > CLOSING:
                        client.connection.abort()
                elif client.hit is None and (client.asked.torn or not client.began):
                    if now - (client.active if client.began else client.came) > SILENT:
                        client.refuse("57P05", "nothing was asked")
                elif client.writer is not None and now - client.active > SILENT:
                    client.connection.abort()
                elif len(self.clients) * 2 > self.room() and client.idle and now - client.active > IDLE_ENOUGH:
                    self.count("evicted")
                    client.connection.close()

    def half_close_idle(self, since: int) -> None:
        """Ends what is open without a hit, and has been so for this long. Guards against clients that go on sending on
        every connection that stays open: also on one that was taken out of the backlog last, up to our very end."""
        now = self.loop.now()
        for client in list(self.clients):
            if client.hit is None and client.closing is None and now - client.active >= since:
                client.half_close()

    def drain(self, linger: int, longest: int):
        """New connections go on being taken for `linger`; each one goes after its answer. Ends once no hit is open;
        one that still is after `longest` more gets its final answer then: none is lost by the end."""
        self.draining = True
        end = self.loop.now() + linger
        while self.loop.now() < end:
            yield Sleep(10_000)
        self.accepting.cancel()
        self.half_close_idle(0)
        end = self.loop.now() + longest
        while self.loop.now() < end and any(v.hit is not None or v.writer is not None for v in self.clients):
            yield Sleep(10_000)
            self.half_close_idle(YOUNG)
        for hit in list(self.open_ids.values()):
            self.host.too_late(hit)
        self.half_close_idle(0)
        end = self.loop.now() + 100_000
        while self.clients and self.loop.now() < end:
            yield Sleep(10_000)
