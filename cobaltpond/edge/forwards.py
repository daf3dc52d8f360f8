"""Carries out one forward over PostgreSQL's protocol: a connection, the statement out, the answer in, one
`ForwardResult`.

The answer is held back until it is whole, so a forward can always be followed by another. What an ending says
of "may it have run?" hangs on the last byte of the statement: see `gateway/forward_results.py`.
"""

from cobaltpond.gateway.endpoints import InstanceEndpoint, NoConnectionError
from cobaltpond.gateway.forward_results import FORWARD_RESULTS
from cobaltpond.loop import ConnectionLostError, Deadline, DeadlineExceededError, Writable
from cobaltpond.wire import pg

USER, DATABASE = "web", "orders"
REFUSALS = ("53300",)  # the instance promises that the hit did not run
SHOWN = b"SHOW\0"  # how the answer to a probe ends
PROBES = ("57P03",)  # what a probe is told by an instance that drains


def handshake(connection):
    """Startup and welcome, before any hit is written: a machine that accepts and says nothing has then not
    got it."""
    connection.answers = answers = pg.ServerMessageParser()
    try:
        yield from connection.write(pg.startup_message(USER, DATABASE))
        while not answers.ready:
            data = yield from connection.read()
            if not data:
                raise NoConnectionError("no welcome")
            answers.feed(data)
            if answers.error_code is not None:
                raise NoConnectionError("turned away" if answers.error_code in REFUSALS else "no welcome")
    except (ConnectionLostError, pg.PgProtocolError):
        raise NoConnectionError("no welcome") from None


class Forwards:
    """`is_current(place, since)`: does what the decision at `since` was built on hold?"""

    def __init__(self, loop, places, is_current):
        self.loop, self.endpoints, self.is_current = loop, places, is_current
        self.observations = dict.fromkeys(FORWARD_RESULTS, 0)

    def run_forward(
        self, hit, number: int, place: InstanceEndpoint, time_out: int, send_within: int | None, tell
    ):
        """A task. `tell(ending, took, closed, report)` is called exactly once, also when it is cancelled."""
        run = ForwardAttempt(self, place, hit.statement.waiting, hit.statement.tag, time_out, send_within)
        yield from run.run(lambda: not hit.final, hit.deliver, tell)

    def run_probe(self, place: InstanceEndpoint, tell):
        """A task: one cheap question to an instance. `tell(ending, took, report)`."""
        run = ForwardAttempt(self, place, lambda left: b"SHOW gauges", SHOWN, self.endpoints.limits.dial_time)
        yield from run.run(
            lambda: True, None, lambda ending, took, closed, report: tell(ending, took, report)
        )


class ForwardAttempt:
    """One forward under way."""

    def __init__(
        self,
        forwards: Forwards,
        place: InstanceEndpoint,
        statement,
        tag: bytes,
        time_out: int,
        send_within=None,
    ):
        self.forwards, self.loop, self.place, self.statement, self.tag = (
            forwards,
            forwards.loop,
            place,
            statement,
            tag,
        )
        self.began, self.time_out = forwards.loop.now(), time_out
        self.send_by = None if send_within is None else self.began + send_within
        self.connection, self.begun, self.wrote = None, False, False

    def run(self, wanted, deliver, tell):
        """`wanted()`: does anybody still wait for it? `deliver(value)`: the whole answer."""
        seen, closed, report = "called off", False, {}
        try:
            try:
                with Deadline(self.loop, self.time_out):
                    seen = yield from self.exchange(wanted)
            except DeadlineExceededError:
                seen = "too late" if self.wrote else "dial too slow"
            answers = self.connection and self.connection.answers
            if answers is not None and self.wrote:
                # what SHOW asks for is the row itself; the answers to hits bring it beside the row
                report = pg.parse_gauges(answers.shown if self.tag == SHOWN else answers.gauges)
            if seen == "answer" and deliver is not None and wanted():
                closed = True
                deliver(answers.value)
            if seen in ("answer", "refusal", "server error") and not answers.ready and answers.is_clean:
                self.loop.spawn(self.read_to_end(self.place, self.connection), "settle")
                self.connection = None
        finally:
            self.close(seen)  # before the decisions hear of it: no second copy is out
            self.forwards.observations[seen] += 1
            tell(FORWARD_RESULTS[seen][0], self.loop.now() - self.began, closed or not wanted(), report)

    def exchange(self, wanted):
        """A key of SEEN."""
        places = self.forwards.endpoints
        while True:
            if not wanted():
                return "nothing to send"
            try:
                self.connection, kept = yield from places.acquire(self.place)
            except NoConnectionError as trouble:
                return str(trouble)
            answers = self.connection.answers
            answers.expect(self.tag)
            left = max(1, (self.began + self.time_out - self.loop.now()) // 1000)
            try:
                if (
                    why := (yield from self.send(pg.query_message(self.statement(left)), wanted))
                ) is not None:
                    return why
                break
            except ConnectionLostError:
                places.close(self.place, self.connection)
                self.connection = None
                if not kept:
                    return "cut while sending"
        self.wrote = True
        try:
            while not answers.done:
                data = yield from self.connection.read()
                if not data:
                    return "cut in the answer" if answers.has_begun else "cut before an answer"
                answers.feed(data)
        except pg.PgProtocolError:
            return "spoilt"
        except ConnectionLostError:
            return "cut in the answer" if answers.has_begun else "cut before an answer"
        if answers.error_code is None:
            return "answer"
        return "refusal" if answers.error_code in REFUSALS + PROBES else "server error"

    def send(self, data, wanted):
        """None once the last byte is out, else a key of SEEN. A dial takes time, and so does a machine that
        takes no more bytes: guards drains, the exposure cap and the key's window against what was told or
        passed meanwhile."""
        while True:
            if not wanted() or not self.forwards.is_current(self.place, self.began):
                return "changed meanwhile"
            if self.send_by is not None and self.loop.kernel.now() >= self.send_by:
                return "window over"
            data = data[self.connection.write_now(data) :]
            if not data:
                return None
            self.begun = True
            bound = Deadline(
                self.loop, self.time_out if self.send_by is None else self.send_by - self.loop.now()
            )
            try:
                with bound:
                    yield Writable(self.connection.handle)
            except DeadlineExceededError:
                if not bound.passed:
                    raise

    def read_to_end(self, place, connection):
        """What is still to come behind an answer, within the time of a dial; then it is kept or closed."""
        try:
            with Deadline(self.loop, self.forwards.endpoints.limits.dial_time):
                while not connection.answers.ready:
                    data = yield from connection.read()
                    if not data:
                        break
                    connection.answers.feed(data)
        except (DeadlineExceededError, ConnectionLostError, pg.PgProtocolError):
            pass
        finally:
            self.hand_back(place, connection)

    def hand_back(self, place, connection):
        if connection.answers.reusable:
            self.forwards.endpoints.release(place, connection)
        else:
            self.forwards.endpoints.close(place, connection)

    def close(self, seen):
        connection, self.connection = self.connection, None
        if connection is None:
            return
        if seen in ("changed meanwhile", "window over") and not self.begun:
            self.forwards.endpoints.release(self.place, connection)  # nothing was written to it
        elif seen in ("answer", "refusal", "server error"):
            self.hand_back(self.place, connection)
        else:
            # with a reset, what the instance has not got yet is never sent to it: see gateway/forwards.py
            self.forwards.endpoints.close(self.place, connection, reset=True)
