"""A duplicate response that arrives late on a kept connection must not answer a later query."""

from types import SimpleNamespace

import pytest
from pgcrossings import MS, policy_limits
from pgworld import PgWorld, answer_script, command_tag, outcome_of, query_script, row, statement

from cobaltpond.loop import Sleep
from cobaltpond.wire import pg
from cobaltpond.wire.statement import PlatformStatement

CUT_TIME_US = 300 * MS  # longer than the time for which a connection rests after a response
HOLD_UP_TIME_US = 150 * MS  # how long a gateway may be held up between a check and its write
EJECTION_TIME_US = 1500 * MS  # longer than an instance that refused gets no request
ATTEMPT_TIMEOUT_US = 1000 * MS
LARGE_VALUE_BYTES = pg.MAX_VALUE_BYTES - 16


def statement_number(text):
    """The last digits of the statement's id."""
    return text[text.find(b"id=") + 15 :][:4]


def own_answer(text):
    """A response whose value is the statement's own number."""
    return row(statement_number(text), command_tag(text)) + pg.READY_FOR_QUERY


def large_answer(text):
    """A response with the largest value that fits, which begins with the statement's own number."""
    value = statement_number(text) + b"x" * LARGE_VALUE_BYTES
    return row(value, command_tag(text)) + pg.READY_FOR_QUERY


def refusal_answer(text):
    """A refusal, which promises that the statement has not run."""
    return pg.error_response("53300", "full") + pg.READY_FOR_QUERY


def error_answer(text):
    """An error of the instance."""
    return pg.error_response("XX000", "no") + pg.READY_FOR_QUERY


class CutLink:
    """The network between a gateway and an instance that sends a duplicate of its first response.

    The connection is cut between the response and its duplicate. The duplicate, and what the gateway writes
    meanwhile, arrive in their order when it is back. `keeps_others`: the instance keeps its other connections
    open after a response.
    """

    def __init__(
        self, first_answer, answer=own_answer, empty_answer=pg.EMPTY_QUERY_RESPONSE, keeps_others=True
    ):
        self.first_answer, self.answer, self.empty_answer = first_answer, answer, empty_answer
        self.keeps_others = keeps_others
        self.duplicate, self.cut_connection = None, None
        self.statements, self.connection_count = [], 0

    def restore(self):
        """Ends the cut: the duplicate arrives."""
        connection, self.cut_connection = self.cut_connection, None
        yield from connection.write(self.duplicate)

    def script(self, world, connection):
        """Script of the instance, seen through the link."""
        self.connection_count += 1
        is_first = self.connection_count == 1
        parser = pg.ClientMessageParser()
        while data := (yield from connection.read()):
            if connection is self.cut_connection:
                yield Sleep(CUT_TIME_US)
                yield from self.restore()
            for kind, value in parser.feed(data):
                if kind == "startup":
                    yield from connection.write(pg.startup_response())
                elif not value:
                    yield from connection.write(self.empty_answer)
                else:
                    yield from self.run_statement(connection, value)
                    if not (is_first or self.keeps_others):
                        return

    def run_statement(self, connection, text):
        """Answers a statement, the first one with a duplicate that is still on its way."""
        self.statements.append(text)
        if len(self.statements) > 1:
            yield from connection.write(self.answer(text))
            return
        answer = self.first_answer(text)
        yield from connection.write(answer)
        self.duplicate, self.cut_connection = answer, connection


def rest(world):
    """Waits until the kept connection may be used again."""
    yield Sleep(world.edge.endpoints.limits.rest_time + 30 * MS)


@pytest.mark.parametrize("first_answer", [own_answer, large_answer])
@pytest.mark.parametrize("empty_answer", [pg.EMPTY_QUERY_RESPONSE, pg.READY_FOR_QUERY])
def test_duplicate_held_up_by_a_cut_is_not_served_to_the_next_client(first_answer, empty_answer, each_kernel):
    """Guards against serving a client the value of another request."""
    link = CutLink(first_answer, empty_answer=empty_answer)
    world = PgWorld(link.script)

    def go():
        yield from world.query(statement(1))
        yield from rest(world)
        return (yield from world.query(statement(2), statement(3)))

    assert world.run(go()) == [("delivered", b"0002"), ("delivered", b"0003")]
    assert link.connection_count == 2  # the connection with the surplus response is not kept
    assert world.edge.forwards.surplus_responses == 1


def test_duplicate_refusal_does_not_make_a_mutating_request_run_twice(each_kernel):
    """Guards against a retry of a request that ran, because an earlier refusal was taken for its response."""
    link = CutLink(refusal_answer, keeps_others=False)
    world = PgWorld(link.script)

    def go():
        yield from world.query(statement(1, "pay"))
        yield Sleep(EJECTION_TIME_US)
        return (yield from world.query(statement(2, "pay")))

    (outcome,) = world.run(go())
    runs_of_second = [text for text in link.statements if statement_number(text) == b"0002"]
    assert outcome == ("delivered", b"0002") and len(runs_of_second) == 1


def test_duplicate_error_is_not_taken_for_the_response_to_a_later_request(each_kernel):
    """Guards against failing a request, which still runs, by the error of an earlier one."""
    link = CutLink(error_answer)
    world = PgWorld(link.script)

    def go():
        yield from world.query(statement(1, "pay"))
        yield from rest(world)
        return (yield from world.query(statement(2, "pay")))

    assert world.run(go()) == [("delivered", b"0002")]
    assert world.forward_results() == {"server error": 1, "answer": 1}


def test_duplicate_refusal_is_not_taken_for_the_response_to_a_repeated_attempt(each_kernel):
    """Guards against a second attempt of one request that runs and is reported as refused."""
    link, results, values = CutLink(refusal_answer), [], []
    world = PgWorld(link.script, known_list=True)
    hit = SimpleNamespace(
        statement=PlatformStatement(statement(1, "pay")),
        final=False,
        deliver=values.append,
        is_wanted=lambda: True,
        note_sent=lambda: None,
    )

    def go():
        endpoint = world.edge.endpoints.by_id["s-0"]
        for number in range(2):
            yield from world.edge.forwards.run_forward(
                hit, number, endpoint, ATTEMPT_TIMEOUT_US, None, lambda *result: results.append(result[0])
            )
            yield from rest(world)

    world.run(go())
    assert results == ["full", "ok"] and values == [row(b"0001", b"INSERT 0 1")]
    assert len(link.statements) == 2 and link.connection_count == 1


def test_duplicate_load_report_is_not_taken_for_the_response_to_a_probe(each_kernel):
    """Guards against a probe that reports the load of an earlier time, or of another query."""
    reports = iter([b"util=0.1", b"util=0.9"])

    def report_answer(text):
        return row(next(reports), b"SHOW") + pg.READY_FOR_QUERY

    link, results = CutLink(report_answer, report_answer), []
    world = PgWorld(link.script, known_list=True, settings=policy_limits(dialTimeout=600.0))

    def go():
        endpoint = world.edge.endpoints.by_id["s-0"]
        for _ in range(2):
            yield from world.edge.forwards.run_probe(endpoint, lambda *result: results.append(result))
            yield from rest(world)

    world.run(go())
    assert [report for _, _, report in results] == [{"util": 0.1}, {"util": 0.9}]


def test_duplicate_that_arrives_while_the_gateway_is_held_up_before_its_write_is_skipped():
    """Guards against a duplicate that arrives between the check of a kept connection and the write to it."""
    link = CutLink(own_answer)
    world = PgWorld(link.script)

    def go():
        yield from world.query(statement(1))
        yield from rest(world)
        acquire = world.edge.endpoints.acquire

        def acquire_and_be_held_up(endpoint):
            connection, is_reused = yield from acquire(endpoint)
            assert is_reused
            yield from link.restore()
            yield Sleep(HOLD_UP_TIME_US)
            return connection, is_reused

        world.edge.endpoints.acquire = acquire_and_be_held_up
        return (yield from world.query(statement(2)))

    assert world.run(go()) == [("delivered", b"0002")]


def test_session_that_ends_ahead_of_the_statement_is_a_refusal(each_kernel):
    """An instance that shuts down ends the session of a kept connection before it has read the statement."""
    end_of_session = pg.error_response("57P03", "shutting down", fatal=True)

    def on_query(world, connection, text):
        yield from connection.write(own_answer(text))

    def script(world, connection):
        parser = pg.ClientMessageParser()
        while data := (yield from connection.read()):
            for kind, value in parser.feed(data):
                if kind == "startup":
                    yield from connection.write(pg.startup_response())
                elif value:
                    world.received.append(value)
                    yield from on_query(world, connection, value)
                else:
                    yield from connection.write(end_of_session)
                    connection.close()
                    return

    world = PgWorld(script, query_script(on_query))

    def go():
        client = yield from world.connect()
        yield from client.send(start=True)
        yield from client.read()
        outcomes = []
        for number in range(1, 9):
            yield from client.send(statement(number, "pay"))
            outcomes.append(outcome_of((yield from client.read())))
            yield from rest(world)
        return outcomes

    outcomes = world.run(go())
    assert outcomes == [("delivered", b"%04x" % number) for number in range(1, 9)]
    assert world.forward_results().get("refusal", 0) > 0 and len(world.received) == 8


def test_kept_connection_holds_nothing_of_its_last_response(each_kernel):
    """Guards against hundreds of kept connections that each hold the largest response."""
    world = PgWorld(answer_script(lambda text, _: row(b"x" * 60_000, command_tag(text)) + pg.READY_FOR_QUERY))

    def go():
        (outcome,) = yield from world.query(statement(1))
        yield from world.until(lambda: any(endpoint.idle for endpoint in world.edge.endpoints.by_id.values()))
        return outcome[0]

    assert world.run(go()) == "delivered"
    ((connection, _),) = world.edge.endpoints.by_id["s-0"].idle
    assert connection.parser.held_bytes == 0
