"""One client's connection: reads its commands, opens a hit for each, and writes the responses.

An invalid message gets one FATAL error and a close, and nothing that the client sent is forwarded. Whatever a
client can make the gateway buffer or do is bounded: a message by its length, commands behind an open one by
count, responses by one that is not read, and the work in one turn of the loop by reads and commands.
"""

from cobaltpond.edge.client_input import ClientCommand, ClientInput
from cobaltpond.edge.client_output import ClientOutput
from cobaltpond.edge.pg_hit import PgHit
from cobaltpond.loop import Connection, ConnectionLostError, NextTurn, Readable, TurnShare
from cobaltpond.loop.streams import CHUNK
from cobaltpond.wire import pg
from cobaltpond.wire.statement import PLAIN_NAME, PlatformStatement, StatementError

MAX_QUEUED_COMMANDS = 16  # commands that wait behind an open one
MAX_LARGE_QUEUED = 1  # of them, those that need a reservation: usual clients send one after another
MAX_COMMANDS_PER_TURN = 32  # that are handled in one turn of the loop
MAX_DISCARDED_BYTES = 256 << 10  # that are read and dropped after our side has ended


class ClientConnection:
    """One client's connection, accepted by `frontend`, a `Frontend`."""

    def __init__(self, frontend, connection: Connection):
        self.frontend, self.loop, self.connection = frontend, frontend.loop, connection
        self.task = frontend.loop.current  # reads and handles commands: `run`
        self.input = ClientInput(frontend.budget, self.task.resume)
        self.output = ClientOutput(self.loop, connection, frontend.budget, self.on_written)
        self.hit = None
        self.connected_at = self.last_active = self.partial_since = frontend.loop.now()
        self.has_asked = False
        self.closing_since = None
        # since when a further command has lain there at each answer; None where none did at the last one
        self.pipelined_since = None
        self.ends_after_answer = False
        self.discarded_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in progress, neither a hit nor a read or write."""
        return (
            self.hit is None
            and not self.output.is_busy
            and self.closing_since is None
            and not self.input.parser.has_partial
            and not self.input.queued
        )

    @property
    def is_half_way(self) -> bool:
        """Whether nothing but a part of a message is there, since `partial_since`."""
        return (
            self.hit is None
            and not self.output.is_busy
            and self.closing_since is None
            and self.input.parser.has_partial
            and not self.input.queued
        )

    @property
    def held_bytes(self) -> int:
        """How many bytes this connection makes the process hold: half a message, commands that wait, the open
        request, and what the client has not read.
        """
        statement = self.hit.statement if self.hit is not None else None
        return (
            self.input.held_bytes
            + (len(statement.head) + len(statement.tail) if statement is not None else 0)
            + len(self.output.unsent)
        )

    @property
    def has_left(self) -> bool:
        """Whether the client has ended its side; what it sent before is not served any more."""
        return self.connection.handle.peer_finished

    def run(self):
        """Reads and handles commands until the connection ends; the body of a task."""
        handle, commands = self.connection.handle, TurnShare(self.loop, MAX_COMMANDS_PER_TURN)
        while not (handle.closed or handle.peer_finished and self.closing_since is None):
            is_used_up = False
            while not is_used_up and self.handle_next_command():
                commands.count()
                is_used_up = commands.is_used_up
            if is_used_up or self.connection.turn_share.is_used_up:
                yield NextTurn()
                continue
            size = self.read_size()
            data = self.connection.read_now(size) if size else None
            if data is None:
                yield Readable(handle)
            elif not data or not self.receive(data):
                return

    def read_size(self) -> int:
        """Returns how many bytes may be read now; 0 while answers wait or there is no room."""
        if self.closing_since is not None:
            return CHUNK
        return 0 if self.output.writer is not None else self.input.read_size()

    def receive(self, data: bytes) -> bool:
        """Takes bytes of the client; returns False where it has sent too much after our side has ended."""
        if self.closing_since is not None:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.connection.abort()
                return False
            return True
        self.last_active = self.loop.now()
        if not self.input.parser.has_partial:
            self.partial_since = self.last_active
        self.input.parser.add(data)
        self.frontend.note_activity(self)
        return True

    def handle_next_command(self) -> bool:
        """Handles the next command that has arrived whole; returns False where none may be handled now."""
        if self.closing_since is not None or self.output.writer is not None:
            return False
        if self.input.queued and self.hit is None:
            self.handle_query(self.input.queued.popleft())
            return True
        event = self.input.next_event()
        if event is None:
            if self.hit is not None and self.input.large_messages > MAX_LARGE_QUEUED:
                self.refuse("54000", f"more than {MAX_LARGE_QUEUED} large command waits behind an open one")
            return False
        self.partial_since = self.loop.now()
        self.handle_event(*event)
        return True

    def is_quiet(self) -> bool:
        """Returns whether every byte of the client has been answered, including bytes still unread in the
        socket.

        Unread bytes are read now, and the connection's task handles them. Otherwise a close could cross a
        request in flight, which would be lost or discarded after we have closed our side.
        """
        if not self.is_idle:
            return False
        try:
            data = self.connection.read_now(self.input.read_size())
        except ConnectionLostError:
            return True
        if data:
            self.receive(data)
            self.task.resume()
        return not data

    def discard_unread(self) -> None:
        """Drops what lies in the socket: closing with unread bytes could lose what was sent to the client."""
        try:
            self.connection.read_now()
        except ConnectionLostError:
            pass

    def send_data(self, data: bytes) -> None:
        """Sends bytes. What the socket doesn't accept waits, and so do the client's next commands."""
        self.last_active = self.loop.now()
        self.output.send(data)

    def on_written(self) -> None:
        """Goes on after bytes that had to wait are written."""
        if self.closing_since is not None:
            self.closing_since = self.loop.now()
            self.connection.handle.finish()
        self.task.resume()  # for the commands that waited

    def close(self) -> None:
        """Ends what the connection has in progress; the connection itself is closed by its task."""
        self.abandon_open_hit()
        self.output.close()
        self.input.close()
        # Without these references the connection is freed at once; the garbage collector would free it late.
        self.task = self.output.on_written = self.input.on_room = None

    def half_close(self) -> None:
        """Closes our side first; the connection is closed once the client has closed its side, has sent too
        much, or time is up.

        Closing at once with unread bytes would reset the connection and lose the response.
        """
        if self.closing_since is None:
            self.closing_since = self.loop.now()
            self.input.close()
            if not self.output.is_busy:
                self.connection.handle.finish()

    def refuse(self, code: str, text: str) -> None:
        """Sends one FATAL error and closes. A hit that is open here gets it as its final response."""
        self.frontend.increment("unfit")
        self.frontend.record_refusal(code, text)
        self.abandon_open_hit()
        if self.closing_since is None:
            self.send_data(pg.error_response(code, text, fatal=True))
            self.half_close()

    def refuse_connection(self, data: bytes) -> None:
        """Sends a FATAL refusal and closes, for a connection without an open hit."""
        self.send_data(data)
        self.half_close()

    def end_after_answer(self) -> None:
        """Ends the connection once its open hit has its final response; what waits behind it is refused."""
        self.ends_after_answer = True
        if self.hit is None:
            self.refuse_rest()

    def refuse_rest(self) -> None:
        """Refuses each command that has arrived, and closes."""
        refusal = pg.error_response("53300", "too many connections") + pg.READY_FOR_QUERY
        for _ in self.input.queued:
            self.send_data(refusal)
        if self.input.parser.has_partial:
            self.send_data(pg.error_response("53300", "too many connections", fatal=True))
        self.half_close()

    def abandon_open_hit(self) -> None:
        """Cancels the open hit, if there is one: its client disconnected or is being refused."""
        hit, self.hit = self.hit, None
        if hit is not None:
            self.frontend.abandon_hit(hit)

    def handle_event(self, kind, value) -> None:
        """Handles one event of `ClientMessageParser`."""
        if kind == "query":
            if self.hit is None and not self.input.queued:
                self.handle_query(value)
            elif len(self.input.queued) < MAX_QUEUED_COMMANDS:
                self.input.queued.append(value)
            else:
                value.release()
                self.refuse("54000", f"more than {MAX_QUEUED_COMMANDS} commands wait behind an open one")
        elif kind == "startup":
            self.send_data(pg.startup_response())
        elif kind == "tls":
            self.send_data(pg.ENCRYPTION_REFUSED)
        elif kind == "wrong":
            self.refuse(value.code, str(value))
        else:  # Terminate or a cancel request: neither gets a response
            self.abandon_open_hit()
            self.half_close()

    def handle_query(self, command: ClientCommand) -> None:
        """Handles one simple query: answers it, rejects it, or opens a hit for it."""
        self.has_asked = True
        if not command.text.strip(b" \t\r\n;"):
            self.send_data(pg.EMPTY_QUERY_RESPONSE)
        else:
            try:
                self.open_hit(self.read_statement(command.text), command)
            except StatementError as error:
                self.refuse("42601", str(error))
        if self.hit is None or self.hit.command is not command:
            command.release()

    def read_statement(self, text: bytes) -> PlatformStatement:
        """Parses a statement. Raises StatementError where it must not reach an instance."""
        frontend, statement = self.frontend, PlatformStatement(text)
        group = frontend.groups.get(statement.group)
        if group is None:
            raise StatementError("no such path group")
        if statement.customer not in frontend.customers and not PLAIN_NAME.fullmatch(statement.customer):
            raise StatementError("no such tenant")
        if not 0 < statement.time_left:
            raise StatementError("no time to answer in")
        if group["kind"] == "tagged" and statement.key is None:
            raise StatementError("this path group needs a key")
        if statement.id in frontend.open_ids:
            raise StatementError("a hit of that id is open")
        if statement.id in frontend.sent_ids:
            raise StatementError("a hit of that id may have run")
        return statement

    def open_hit(self, statement: PlatformStatement, command: ClientCommand) -> None:
        """Opens a hit for a statement, or turns it away where there is no room or no time for it."""
        frontend = self.frontend
        group = frontend.groups[statement.group]
        time_left = min(statement.time_left, group["client_timeout"], frontend.time_remaining())
        if frontend.host.is_full() or time_left <= 0:
            frontend.increment("turned away")
            text = "no room for a further hit" if time_left > 0 else "this gateway ends"
            self.send_data(pg.error_response("53300", text) + pg.READY_FOR_QUERY)
            return
        command.text = b""  # the statement has it
        self.hit = PgHit(self, statement, command)
        frontend.open_ids[statement.id] = self.hit
        customer = statement.customer if statement.customer in frontend.customers else None
        answer_slack = frontend.host.answer_slack
        frontend.host.accept_hit(
            self.hit,
            statement.group,
            customer,
            int(statement.ref, 16) >> 11,
            time_left,
            None,
            statement.is_retry,
            time_left - answer_slack // 2,
        )

    def finish_query(self) -> None:
        """Lets the connection go on with the next command, after the open hit has got its final response."""
        self.hit = None
        if self.ends_after_answer:
            self.refuse_rest()
        elif self.input.queued or self.input.parser.has_partial:
            self.pipelined_since = self.pipelined_since or self.loop.now()
            self.task.resume()
        else:
            self.pipelined_since = None
            if self.frontend.draining and self.is_quiet():
                self.half_close()
