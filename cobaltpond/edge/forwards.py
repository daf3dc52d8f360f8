"""Runs one forward over PostgreSQL's protocol: connect, send the statement, read the response, report the
result.

The response is buffered until it is complete, so another forward can always follow a failed one. Whether a
failed forward may have run depends on whether the last byte of its statement was written: see
`gateway/forward_results.py`.

On a kept connection an empty query is written ahead of the statement. What arrives before its response is a
late duplicate of an earlier response and is skipped: see `wire/pg_responses.py`, `BarrierResponse`.
"""

from cobaltpond.gateway.endpoints import InstanceEndpoint, NoConnectionError
from cobaltpond.gateway.forward_results import FORWARD_RESULTS
from cobaltpond.gateway.memory_budget import MemoryBudget
from cobaltpond.loop import ConnectionLostError, Deadline, DeadlineExceededError, Writable
from cobaltpond.loop.streams import CHUNK
from cobaltpond.wire import pg, pg_responses

USER, DATABASE = "web", "orders"
REFUSAL_CODES = ("53300",)  # SQLSTATEs by which an instance promises that the hit did not run
SHOW_TAG = b"SHOW\0"  # command tag of the response to a probe
SMALL_READ_BYTES = 4 << 10  # that are read of a response without a reservation
# A large message is held once as it arrives, and once more as the response that is made of it.
COPIES_OF_A_RESPONSE = 2
DRAINING_CODES = ("57P03",)  # SQLSTATEs by which a draining instance answers; the hit did not run either


def handshake(connection):
    """Sends the startup message and waits for ReadyForQuery, before any hit is written.

    An instance that accepts the connection and stays silent thereby fails before it has got the hit. Raises
    NoConnectionError.
    """
    connection.parser = parser = pg_responses.ServerMessageParser()
    try:
        yield from connection.write(pg.startup_message(USER, DATABASE))
        while not parser.ready:
            data = yield from connection.read(SMALL_READ_BYTES)
            if not data or parser.missing_bytes() > SMALL_READ_BYTES:
                raise NoConnectionError("no welcome")
            parser.feed(data)
            if parser.error_code is not None:
                raise NoConnectionError("turned away" if parser.error_code in REFUSAL_CODES else "no welcome")
    except (ConnectionLostError, pg.PgProtocolError):
        raise NoConnectionError("no welcome") from None


class Forwards:
    """Starts forwards and probes, and counts their results.

    `is_current(endpoint, since)` says whether the state on which a decision at `since` was based still holds.
    `budget`: for large responses.
    """

    def __init__(self, loop, endpoints, is_current, budget: MemoryBudget):
        self.loop, self.endpoints, self.is_current = loop, endpoints, is_current
        self.budget = budget
        self.result_counts = dict.fromkeys(FORWARD_RESULTS, 0)
        self.surplus_responses = 0  # skipped ahead of the response to a later query

    def run_forward(
        self, hit, number: int, endpoint: InstanceEndpoint, timeout: int, send_within: int | None, on_result
    ):
        """Runs one forward; the body of a task. Times in microseconds; `send_within` None: no limit on when
        the statement is written.

        `on_result(result, duration, hit_final, report)` is called exactly once, also where the task is
        cancelled.
        """
        attempt = ForwardAttempt(
            self, endpoint, hit.statement.with_time_left, hit.statement.tag, timeout, send_within
        )
        attempt.on_write = hit.note_sent
        yield from attempt.run(hit.is_wanted, hit.deliver, on_result)

    def run_probe(self, endpoint: InstanceEndpoint, on_result):
        """Runs one probe, a cheap query to an instance; the body of a task.

        Calls `on_result(result, duration, report)` once.
        """
        attempt = ForwardAttempt(
            self, endpoint, lambda time_left_ms: b"SHOW gauges", SHOW_TAG, self.endpoints.limits.dial_time
        )
        yield from attempt.run(
            lambda: True,
            None,
            lambda result, duration, hit_final, report: on_result(result, duration, report),
        )


class ForwardAttempt:
    """One forward in progress, from the connection to its result."""

    def __init__(
        self,
        forwards: Forwards,
        endpoint: InstanceEndpoint,
        statement,
        tag: bytes,
        timeout: int,
        send_within=None,
    ):
        self.forwards = forwards
        self.loop = forwards.loop
        self.endpoint = endpoint
        self.statement = statement
        self.tag = tag
        self.started_at, self.timeout = forwards.loop.now(), timeout
        self.send_by = None if send_within is None else self.started_at + send_within
        self.connection = None
        self.on_write = None  # called before the first byte of the statement is written; None: not called
        self.partly_written = False
        self.fully_written = False
        self.reserved_bytes, self.reservations = 0, []  # for the large messages of the response

    def run(self, is_wanted, deliver, on_result):
        """Runs the forward to its result.

        `is_wanted()` says whether the hit is still open. `deliver(value)` gets the complete response; None
        for a probe.
        """
        result_key, hit_final, report = "called off", False, {}
        try:
            try:
                with Deadline(self.loop, self.timeout):
                    result_key = yield from self.exchange(is_wanted)
            except DeadlineExceededError:
                result_key = "too late" if self.fully_written else "dial too slow"
            parser = self.connection and self.connection.parser
            if parser is not None and self.fully_written:
                # A response to SHOW carries the gauges in its row; responses to hits carry them beside the
                # row.
                self.forwards.surplus_responses += parser.surplus_responses
                report = pg_responses.parse_gauges(
                    parser.shown_value if self.tag == SHOW_TAG else parser.gauges
                )
            if result_key == "answer" and deliver is not None and is_wanted():
                hit_final = True
                deliver(parser.value)
            if result_key in ("answer", "refusal", "server error") and not parser.ready and parser.is_clean:
                self.loop.spawn(self.read_to_end(self.endpoint, self.connection), "settle")
                self.connection = None
        finally:
            # closed before the decisions hear of it, so no second copy of the hit is in progress
            self.close(result_key)
            self.forwards.result_counts[result_key] += 1
            on_result(
                FORWARD_RESULTS[result_key][0],
                self.loop.now() - self.started_at,
                hit_final or not is_wanted(),
                report,
            )

    def exchange(self, is_wanted):
        """Sends the statement and reads the response. Returns a key of FORWARD_RESULTS.

        A kept connection that breaks before the last byte is written is replaced by another one.
        """
        endpoints = self.forwards.endpoints
        while True:
            if not is_wanted():
                return "nothing to send"
            try:
                self.connection, is_reused = yield from endpoints.acquire(self.endpoint)
            except NoConnectionError as error:
                return str(error)
            self.connection.parser.expect(self.tag, behind_barrier=is_reused)
            try:
                failure_key = yield from self.send(self.query_bytes(is_reused), is_wanted)
            except ConnectionLostError:
                endpoints.close(self.endpoint, self.connection)
                self.connection = None
                if is_reused:
                    continue
                return "cut while sending"
            if failure_key is not None:
                return failure_key
            self.fully_written = True
            return (yield from self.read_response())

    def query_bytes(self, is_reused: bool) -> bytes:
        """Returns the statement with the time that is left, behind a barrier on a reused connection."""
        time_left_ms = max(1, (self.started_at + self.timeout - self.loop.now()) // 1000)
        query = pg.query_message(self.statement(time_left_ms))
        return pg.BARRIER_QUERY + query if is_reused else query

    def read_response(self):
        """Reads the response to the statement. Returns a key of FORWARD_RESULTS."""
        parser = self.connection.parser
        try:
            while not parser.done:
                size = (yield from self.read_size(parser)) if parser.pending else SMALL_READ_BYTES
                data = yield from self.connection.read(size)
                if not data:
                    return "cut in the answer" if parser.has_begun else "cut before an answer"
                parser.feed(data)
        except pg.PgProtocolError:
            return "spoilt"
        except ConnectionLostError:
            return "cut in the answer" if parser.has_begun else "cut before an answer"
        if parser.error_code is None:
            return "answer"
        return "refusal" if parser.error_code in REFUSAL_CODES + DRAINING_CODES else "server error"

    def read_size(self, parser):
        """Returns how many bytes may be read; waits where a large message has no room yet."""
        missing = parser.missing_bytes()
        if missing <= SMALL_READ_BYTES:
            return SMALL_READ_BYTES
        wanted = COPIES_OF_A_RESPONSE * (missing + parser.held_bytes)
        if wanted > self.reserved_bytes:
            size = wanted - self.reserved_bytes
            self.reservations.append((yield from self.forwards.budget.reserve_response(size)))
            self.reserved_bytes = wanted
        return min(missing, CHUNK)

    def send(self, data, is_wanted):
        """Writes the statement. Returns None once the last byte is written, else a key of FORWARD_RESULTS.

        Connecting takes time, and so does an instance that accepts no more bytes. Drains, the exposure cap
        and the key's window are therefore checked again before each write, so that no hit is sent on outdated
        state. After a short write it tries again: only a socket that accepts nothing reports when it does
        (edge-triggered).
        """
        data = memoryview(data)
        while True:
            if not is_wanted() or not self.forwards.is_current(self.endpoint, self.started_at):
                return "changed meanwhile"
            if self.send_by is not None and self.loop.kernel.now() >= self.send_by:
                return "window over"
            if self.on_write is not None:
                self.on_write()
            sent = self.connection.write_now(data)
            self.partly_written = self.partly_written or sent > 0
            data = data[sent:]
            if not data:
                return None
            if sent:
                continue
            write_deadline = Deadline(
                self.loop, self.timeout if self.send_by is None else self.send_by - self.loop.now()
            )
            try:
                with write_deadline:
                    yield Writable(self.connection.handle)
            except DeadlineExceededError:
                if not write_deadline.passed:
                    raise

    def read_to_end(self, endpoint, connection):
        """Reads what follows a response up to ReadyForQuery, within the dial time; then keeps or closes the
        connection.
        """
        try:
            with Deadline(self.loop, self.forwards.endpoints.limits.dial_time):
                while not connection.parser.ready:
                    data = yield from connection.read(SMALL_READ_BYTES)
                    if not data or connection.parser.missing_bytes() > SMALL_READ_BYTES:
                        break
                    connection.parser.feed(data)
        except (DeadlineExceededError, ConnectionLostError, pg.PgProtocolError):
            pass
        finally:
            self.return_connection(endpoint, connection)

    def return_connection(self, endpoint, connection):
        """Returns a connection to the pool, or closes it where unread or invalid bytes make it unusable."""
        connection.parser.forget_response()
        if connection.parser.reusable:
            self.forwards.endpoints.release(endpoint, connection)
        else:
            self.forwards.endpoints.close(endpoint, connection)

    def close(self, result_key):
        """Frees what the response holds, and releases the connection, if there is one, as the result
        requires.
        """
        for reservation in self.reservations:
            reservation.release()
        self.reservations.clear()
        connection, self.connection = self.connection, None
        if connection is None:
            return
        if result_key in ("changed meanwhile", "window over") and not self.partly_written:
            self.forwards.endpoints.release(self.endpoint, connection)  # nothing was written to it
        elif result_key in ("answer", "refusal", "server error"):
            self.return_connection(self.endpoint, connection)
        else:
            # After a reset the kernel drops the bytes that the instance has not received yet: see
            # gateway/forwards.py.
            self.forwards.endpoints.close(self.endpoint, connection, reset=True)
