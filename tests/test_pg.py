"""Tests of the PostgreSQL codec and the platform's statements: split input, bad lengths, noise, refused
forms.
"""

import struct
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pgworld import row, statement

from cobaltpond.wire import pg, pg_responses
from cobaltpond.wire.statement import INSERT_TAG, SELECT_TAG, PlatformStatement, StatementError

deterministic = settings(derandomize=True, deadline=None, max_examples=150)


def split_at(data, cuts):
    """Splits bytes at these positions."""
    cuts = sorted({0, len(data), *(c % (len(data) + 1) for c in cuts)})
    return [data[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]


def feed_all(client_parser, parts):
    """All events of a sequence of pieces."""
    return [event for part in parts for event in client_parser.feed(part)]


@deterministic
@given(
    st.lists(st.binary(min_size=1, max_size=60).map(lambda b: b.replace(b"\0", b"x")), max_size=4),
    st.lists(st.integers(0, 400), max_size=12),
)
def test_client_messages_parse_the_same_however_they_are_split(queries, cuts):
    data = (
        struct.pack(">II", 8, pg.TLS_REQUEST)
        + pg.startup_message("web", "orders")
        + b"".join(map(pg.query_message, queries))
    )
    data += pg.message(b"X", b"")
    whole = pg.ClientMessageParser().feed(data)
    assert feed_all(pg.ClientMessageParser(), split_at(data, cuts)) == whole
    assert [value for kind, value in whole if kind == "query"] == queries and whole[-1] == ("end", None)
    assert whole[1][1][b"user"] == b"web"


def test_response_parses_the_same_split_at_every_byte():
    data = pg.message(b"S", b"gauges\0inflight=7,util=0.5\0") + row(b"value") + pg.READY_FOR_QUERY
    for cut in range(len(data) + 1):
        server_parser = pg_responses.ServerMessageParser()
        server_parser.feed(pg.startup_response())
        server_parser.expect(SELECT_TAG)
        for part in (data[:cut], data[cut:]):
            if part:
                server_parser.feed(part)
        assert server_parser.reusable and server_parser.is_complete and server_parser.value == row(b"value")
        assert pg_responses.parse_gauges(server_parser.gauges) == {"inflight": 7.0, "util": 0.5}


def test_show_response_is_read_from_the_row():
    server_parser = pg_responses.ServerMessageParser()
    server_parser.feed(pg.startup_response())
    server_parser.expect(b"SHOW\0")
    assert server_parser.shown_value is None
    server_parser.feed(row(b"util=0.5,inflight=3", b"SHOW") + pg.READY_FOR_QUERY)
    assert server_parser.is_complete and pg_responses.parse_gauges(server_parser.shown_value) == {
        "util": 0.5,
        "inflight": 3.0,
    }


@deterministic
@given(st.binary(max_size=300), st.booleans())
def test_arbitrary_bytes_are_parsed_or_refused(data, started):
    client_parser = pg.ClientMessageParser()
    client_parser.started = started
    events = client_parser.feed(data)
    assert all(kind != "wrong" for kind, _ in events[:-1]) and client_parser.feed(b"") == []
    server_parser = pg_responses.ServerMessageParser()
    server_parser.feed(pg.startup_response())
    server_parser.expect(SELECT_TAG)
    try:
        server_parser.feed(data)
    except pg.PgProtocolError:
        pass
    assert not server_parser.is_complete


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0\0",
        b"\xff\xff\xff\xff",
        b"\0\0\0\7",
        b"\0\1\0\0",
        b"GET / HTTP/1.1\r\n",
        b"a" * 8,
        struct.pack(">II", 8, 2 << 16),
        struct.pack(">II", 9, pg.TLS_REQUEST),
        struct.pack(">II", 8, pg.TLS_REQUEST) * 3,
        struct.pack(">II", 14, 3 << 16) + b"user\0\0",
        struct.pack(">II", 15, 3 << 16) + b"user\0\0\0",
    ],
)
def test_bad_startup_is_refused_at_once(data):
    ((kind, error),) = pg.ClientMessageParser().feed(data)[-1:]
    assert kind == "wrong" and len(error.code) == 5


@pytest.mark.parametrize(
    "data",
    [
        b"Q\xff\xff\xff\xff",
        b"Q\0\0\0\4",
        b"Q\0\0\0\0",
        b"Q\x7f\xff\xff\xff",
        b"X\0\0\0\5",
        b"P\0\0\0\x10",
        b"\0",
        b"Q" + struct.pack(">I", pg.MAX_QUERY_BYTES + 1),
        b"Q\0\0\0\6ab",
        b"Q\0\0\0\7a\0\0",
    ],
)
def test_length_is_checked_before_anything_is_buffered(data):
    client_parser = pg.ClientMessageParser()
    client_parser.feed(pg.startup_message("web", "orders"))
    assert [kind for kind, _ in client_parser.feed(data)] == ["wrong"] and client_parser.pending_bytes == 0
    assert client_parser.feed(b"x" * 100_000) == [] and client_parser.pending_bytes == 0


def corrupt(at, by):
    """A response whose bytes at `at` are replaced by `by`."""
    data = row(b"value") + pg.READY_FOR_QUERY
    return data[:at] + by + data[at + len(by) :]


@pytest.mark.parametrize(
    "data",
    [
        corrupt(0, b"\x13"),
        corrupt(1, b"\xff\xff\xff\xff"),
        corrupt(1, b"\0\0\0\0"),
        corrupt(5, b"\0\2"),
        row(tag=b"SELECT 2"),
        row(tag=b"INSERT 0 1"),
        row(b"x" * (pg.MAX_VALUE_BYTES + 100)),
        pg.message(b"D", b"\0\1\0\0\0\1x"),
        pg.READY_FOR_QUERY,
        row()[:40] + row(),
        pg.message(b"T", b"\0\1"),
        row().replace(b"\0\0\0\x04fine", b"\0\0\0\x09fine"),
        row().replace(b"\0\0\0\x04fine", b"\xff\xff\xff\xfffine"),
        pg.message(b"E", b"no code"),
        pg.message(b"R", b"\0" * 4),
        b"D" + struct.pack(">I", 3 << 30),
        pg.message(b"N", b"x") * 40,
    ],
)
def test_corrupt_response_is_never_complete(data):
    server_parser = pg_responses.ServerMessageParser()
    server_parser.feed(pg.startup_response())
    server_parser.expect(SELECT_TAG)
    with pytest.raises(pg.PgProtocolError):
        server_parser.feed(data)
    assert not server_parser.is_complete and len(server_parser.pending) < 1000


@pytest.mark.parametrize(
    "more",
    [
        row(),
        b"\xde\xad\xbe\xef noise",
        pg.READY_FOR_QUERY + b"x",
        pg.READY_FOR_QUERY + row(),
        b"D" + struct.pack(">I", 3 << 30),
        pg.message(b"Z", b"?"),
    ],
)
def test_response_with_trailing_bytes_is_valid_but_its_connection_is_not_reusable(more):
    server_parser = pg_responses.ServerMessageParser()
    server_parser.feed(pg.startup_response())
    server_parser.expect(SELECT_TAG)
    server_parser.feed(row(b"value") + more)
    assert server_parser.is_complete and server_parser.value == row(b"value") and not server_parser.reusable


def parser_behind_barrier():
    """The parser of a kept connection on which a barrier and a SELECT have been written."""
    server_parser = pg_responses.ServerMessageParser()
    server_parser.feed(pg.startup_response())
    server_parser.expect(SELECT_TAG, behind_barrier=True)
    return server_parser


@pytest.mark.parametrize("barrier_response", [pg.EMPTY_QUERY_RESPONSE, pg.READY_FOR_QUERY])
@pytest.mark.parametrize(
    "surplus",
    [
        b"",
        row(b"earlier") + pg.READY_FOR_QUERY,
        pg.message(b"S", b"gauges\0util=0.1\0") + row(b"earlier") + pg.READY_FOR_QUERY,
        pg.error_response("53300", "full") + pg.READY_FOR_QUERY,
    ],
)
def test_response_behind_a_barrier_is_the_one_to_its_own_query_split_at_every_byte(surplus, barrier_response):
    """Guards against taking any part of a late duplicate for the response, or for its load report."""
    own = pg.message(b"S", b"gauges\0util=0.9\0") + row(b"own") + pg.READY_FOR_QUERY
    data = surplus + barrier_response + own
    for cut in range(1, len(data)):
        server_parser = parser_behind_barrier()
        for part in (data[:cut], data[cut:]):
            server_parser.feed(part)
        assert server_parser.is_complete and server_parser.value == row(b"own")
        assert pg_responses.parse_gauges(server_parser.gauges) == {"util": 0.9}
        assert server_parser.reusable == (not surplus)
        assert server_parser.surplus_responses == bool(surplus)


@pytest.mark.parametrize(
    "data",
    [
        row(b"earlier"),  # its end, and the response to the barrier, are still to come
        row(b"earlier") + pg.READY_FOR_QUERY,
        row(b"earlier")[:-3],
        pg.EMPTY_QUERY_RESPONSE,
    ],
)
def test_connection_that_ends_ahead_of_the_response_has_no_response(data):
    server_parser = parser_behind_barrier()
    server_parser.feed(data)
    assert not server_parser.done and not server_parser.has_begun and not server_parser.value


@pytest.mark.parametrize(
    "data",
    [
        b"\xde\xad\xbe\xef noise",
        row(b"earlier") + pg.EMPTY_QUERY_RESPONSE,
        pg.message(b"I", b"") + row(b"earlier"),
        pg.message(b"Z", b"?"),
        pg.message(b"K", b"\0" * 8),
        pg.message(b"N", b"notice\0") * (pg_responses.MAX_BARRIER_MESSAGES + 1),
        (row(b"earlier") + pg.READY_FOR_QUERY) * pg_responses.MAX_BARRIER_MESSAGES,
    ],
)
def test_bytes_ahead_of_a_barrier_that_make_no_sense_end_the_connection(data):
    """Guards against an instance that keeps a gateway reading for ever, or desynchronizes a connection."""
    server_parser = parser_behind_barrier()
    with pytest.raises(pg.PgProtocolError):
        server_parser.feed(data)
    assert not server_parser.done and len(server_parser.pending) < 1000


def test_fatal_error_ahead_of_the_barrier_ends_the_session():
    """The statement behind the barrier has not been read, so the error is its result."""
    server_parser = parser_behind_barrier()
    server_parser.feed(pg.error_response("57P03", "shutting down", fatal=True))
    assert server_parser.done and server_parser.error_code == "57P03" and not server_parser.reusable


def test_connection_is_not_reusable_after_a_fatal_error():
    """Guards against taking a duplicate of that error for the result of a later statement."""
    server_parser = pg_responses.ServerMessageParser()
    server_parser.feed(pg.startup_response())
    server_parser.expect(SELECT_TAG)
    server_parser.feed(pg.error_response("53300", "full", fatal=True) + pg.READY_FOR_QUERY)
    assert server_parser.done and server_parser.ready and not server_parser.reusable


@pytest.mark.parametrize(
    "gauges",
    [
        b"inflight",
        b"inflight=",
        b"inflight=nan",
        b"inflight=-1",
        b"util=inf",
        b"=3",
        b"\xff=1",
        b"a=1,,b=2",
        b",".join(b"f%d=1" % n for n in range(40)),
        b"",
        None,
    ],
)
def test_unreadable_gauges_give_an_empty_report(gauges):
    assert pg_responses.parse_gauges(gauges) == {}


def test_statements_pass_with_only_the_time_limit_changed():
    for group, tag in (("look", SELECT_TAG), ("hold", INSERT_TAG)):
        text = statement(7, group, 480)
        read = PlatformStatement(text)
        assert (read.group, read.customer, read.time_left, read.id, read.tag, read.is_retry) == (
            group,
            "ann",
            480_000,
            b"%016x" % 7,
            tag,
            False,
        )
        assert read.with_time_left(33) == text.replace(b"d=480", b"d=33")
    assert read.key == b"00000000000000aa"
    assert PlatformStatement(statement(7).replace(b" */", b",r=1 */")).is_retry


@pytest.mark.parametrize(
    "old, new",
    [
        (b"id=", b"ID="),
        (b"0000000000000007,", b"7,"),
        (b"d=480", b"d=soon"),
        (b"d=480", b"d=-1"),
        (b"d=480", b"d=4.8"),
        (b"d=480", b"d="),
        (b"d=480", b"d=9999999999"),
        (b" */", b""),
        (b" */", b" */ "),
        (b"SELECT", b"select"),
        (b"FROM", b" FROM"),
        (b"/* id", b"/*id"),
        (b"t=ann", b"t=a'n"),
        (b"t=ann", b"t=a*/n"),
        (b"payload", b"*"),
        (b"id=0000000000000007,", b""),
        (b" */", b",x=1 */"),
        (b"'0", b"'G"),
        (b"d=480", b"d=480;d=481"),
        (b"SELECT", b"SELECT 1; SELECT"),
        (b"c=look", b"c="),
        (b"c=look,", b""),
    ],
)
def test_other_statements_are_refused(old, new):
    text = statement(7, "look", 480)
    assert old in text
    with pytest.raises(StatementError):
        PlatformStatement(text.replace(old, new, 1))


# Guards against a large value whose check alone takes a hundred times its size in memory.
def test_largest_statement_is_checked_with_little_memory():
    text = statement(7, "hold").replace(b"\\x9f03", b"\\x" + b"9f" * pg.MAX_VALUE_BYTES)
    tracemalloc.start()
    try:
        PlatformStatement(text)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 4 * len(text)
    for value in (b"9f0", b"9f" * pg.MAX_VALUE_BYTES + b"00", b"9F"):
        with pytest.raises(StatementError):
            PlatformStatement(statement(7, "hold").replace(b"\\x9f03", b"\\x" + value))
