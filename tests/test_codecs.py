"""Codecs, settings and the stored list: input split anywhere, incomplete files, malformed values."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cobaltpond.gateway.customer_shares import CustomerShares
from cobaltpond.gateway.instance_list import InstanceList, ListGapError
from cobaltpond.gateway.routes import Routes
from cobaltpond.settings import SettingsError, read_settings
from cobaltpond.wire import http1, orca
from cobaltpond.wire.json_lines import JsonLineError, JsonLineParser, encode_line

EXAMPLE = open("examples/resale.star").read()
deterministic = settings(derandomize=True, deadline=None, max_examples=150)


def events(parser, pieces):
    """The parser's events, with adjacent parts of a body joined."""
    joined = []
    for piece in pieces:
        for kind, value in parser.feed(piece):
            if kind == "body" and joined and joined[-1][0] == "body":
                joined[-1] = ("body", joined[-1][1] + value)
            else:
                joined.append((kind, value))
    return joined


TOKEN = st.text("abcdefgh-", min_size=1, max_size=8).map(str.encode)
FIELD = st.tuples(TOKEN.map(lambda name: b"x-" + name), TOKEN)
HIT = st.tuples(
    st.sampled_from(["GET", "POST"]), st.lists(FIELD, max_size=4), st.binary(max_size=200), st.booleans()
)


@deterministic
@given(st.lists(HIT, min_size=1, max_size=4), st.lists(st.integers(0, 2000), max_size=12))
def test_requests_parse_the_same_however_they_are_split(hits, cuts):
    """Guards against state that is lost where a read ends in the middle of a head, a body or a chunk."""
    data = b""
    for method, fields, body, chunked in hits:
        fields = [(b"host", b"h"), *fields]
        if chunked and method == "POST":
            data += http1.request(method, "/p", fields, None)
            data += b"".join(http1.encode_chunk(p) for p in (body[:50], body[50:]) if p) + http1.encode_chunk(
                b""
            )
        else:
            data += http1.request(method, "/p", fields, body if method == "POST" else b"")
    cuts = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    pieces = [data[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]
    whole = events(http1.RequestParser(http1.MessageLimits()), [data])
    assert events(http1.RequestParser(http1.MessageLimits()), pieces) == whole
    assert sum(kind == "end" for kind, _ in whole) == len(hits)
    bodies = b"".join(value for kind, value in whole if kind == "body")
    assert bodies == b"".join(body for method, _, body, _ in hits if method == "POST")


def test_deeply_nested_line_is_a_json_line_error():
    """Guards against a recursion error that would stop the reader."""
    with pytest.raises(JsonLineError):
        JsonLineParser().feed(b"[" * 200_000 + b"\n")


@deterministic
@given(st.binary(max_size=400))
def test_any_bytes_are_parsed_or_rejected(data):
    """Guards against any other exception than HttpMessageError on arbitrary input."""
    for parser in (
        http1.RequestParser(http1.MessageLimits(head=200)),
        http1.ResponseParser(http1.MessageLimits(head=200)),
    ):
        try:
            parser.feed(data)
        except http1.HttpMessageError as error:
            assert 400 <= error.status <= 505


def test_responses_that_end_with_the_connection_and_truncated_responses():
    """A response without a length ends with the connection; any other one that ends so is truncated."""
    parser = http1.ResponseParser(http1.MessageLimits())
    assert [k for k, _ in parser.feed(b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n\r\nab")] == [
        "head",
        "body",
    ]
    assert parser.closed() == [("end", None)]
    for cut in (
        b"",
        b"HTTP/1.1 200 O",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
    ):
        parser = http1.ResponseParser(http1.MessageLimits())
        parser.feed(cut)
        with pytest.raises(http1.TruncatedMessageError):
            parser.closed()


def test_load_reports_in_both_formats_and_malformed():
    """A malformed report is empty: it must not fail the response that carries it."""
    report = {"util": 0.5, "inflight": 7.0, "latency_ms": 12.0}
    assert orca.parse_load_report(orca.format_load_report(report)) == report
    assert orca.parse_load_report(b'JSON {"cpu_utilization": 0.3, "named_metrics": {"inflight": 4}}') == {
        "util": 0.3,
        "inflight": 4,
    }
    for malformed in (
        None,
        b"",
        b"TEXT a=b,=,x",
        b"JSON [1]",
        b"JSON {",
        b"BIN abc",
        b"TEXT inflight=-1, util=nan",
    ):
        assert orca.parse_load_report(malformed) == {}


def test_json_lines_are_split_and_bounded():
    """Guards against a peer that sends a line without end."""
    lines = JsonLineParser(max_line_bytes=100)
    assert lines.feed(encode_line({"a": 1}) + b'{"b"') == [{"a": 1}] and lines.feed(b":2}\n") == [{"b": 2}]
    for malformed in (b"[1]\n", b"{x\n", b"x" * 101):
        with pytest.raises(JsonLineError):
            JsonLineParser(max_line_bytes=100).feed(malformed)


ROW = {
    "id": "i1",
    "address": "127.0.0.1:1",
    "build": 4,
    "zone": "a",
    "cell": 0,
    "state": "up",
    "start": 7,
    "age_us": 50,
}


def list_object(revision, base, *rows, epoch="e"):
    """An object of the list; `rows` are changes to ROW."""
    return {"epoch": epoch, "revision": revision, "base": base, "rows": [{**ROW, **row} for row in rows]}


def test_only_a_restart_changes_the_start_time():
    """Guards against an instance that counts as restarted because its row arrived with another delay."""
    instance_list = InstanceList()
    ((row, address),) = instance_list.apply(1000, list_object(1, None, {}))[1]
    assert (row["started"], address) == (950, ("127.0.0.1", 1))
    # received with another delay
    ((row, _),) = instance_list.apply(5000, list_object(2, 1, {"age_us": 4060}))[1]
    assert row["started"] == 950
    ((row, _),) = instance_list.apply(6000, list_object(3, 2, {"start": 8, "age_us": 10}))[1]
    assert row["started"] == 5990


def test_list_gaps_repeats_and_overtaken_lists():
    """A gap or a malformed object leaves the list as it is; a repeated or overtaken one is ignored."""
    instance_list = InstanceList()
    instance_list.apply(0, list_object(5, None, {}))
    assert instance_list.apply(0, list_object(5, 4, {})) == (False, []) and instance_list.apply(
        0, list_object(4, None, {})
    ) == (False, [])
    for gap in (list_object(7, 6, {}), list_object(6, 5, {}, epoch="other")):
        with pytest.raises(ListGapError):
            instance_list.apply(0, gap)
    assert instance_list.revision == 5
    for malformed in (
        {},
        {"base": None},
        list_object(6, 5, {"state": "odd"}),
        list_object(6, 5, {"address": "x"}),
    ):
        with pytest.raises(JsonLineError):
            instance_list.apply(0, malformed)
    assert instance_list.revision == 5 and instance_list.rows["i1"]["state"] == "up"


@deterministic
@given(st.integers(0, 400), st.integers(0, 255))
def test_stored_list_is_read_completely_or_not_at_all(at, byte):
    """Guards against a file that was written in part or has a corrupt byte."""
    instance_list = InstanceList()
    instance_list.apply(100, list_object(3, None, {}, {"id": "i2", "start": 9}))
    data = instance_list.to_disk(600)
    restored = InstanceList.from_disk(data)
    assert restored["rows"][0]["age_us"] == 550
    assert InstanceList.from_disk(data[:at]) is None or at >= len(data) - 1
    if at < len(data) - 1 and data[at] != byte:
        corrupt = InstanceList.from_disk(data[:at] + bytes([byte]) + data[at + 1 :])
        assert corrupt is None or corrupt == restored  # the checksum in upper-case digits is the same one


def test_routes_use_the_first_match_and_read_the_attributes():
    """An unknown customer is ignored, the timeout is capped, a tagged path group needs a key."""
    routes = Routes(read_settings("x", EXAMPLE))

    def head(method, target, *fields):
        return http1.MessageHead(method, target, fields=list(fields))

    route = routes.read(
        head(
            "GET",
            b"/listings/4?x=1",
            (b"cobaltpond-key", b"k"),
            (b"cobaltpond-customer", b"who"),
            (b"cobaltpond-timeout-ms", b"99999"),
            (b"cobaltpond-try", b"1"),
        )
    )
    assert (route.group.name, route.customer, route.time_left, route.is_retry) == (
        "listing-read",
        None,
        2_500_000,
        True,
    )
    assert 0 <= route.key < 1 << 53
    with pytest.raises(http1.HttpMessageError):
        routes.read(head("POST", b"/purchases"))
    assert routes.read(head("POST", b"/purchases", (b"idempotency-key", b"m"))).group.kind == "tagged"


def test_customer_shares_tell_who_is_over():
    """The counts follow the window, so a customer is over its share only while its hits are in it."""
    shares = CustomerShares({"a": 0.5, "b": 0.5}, 1000)
    for n in range(20):
        shares.record_hit(n * 10, "a" if n % 4 else "b")
    assert shares.is_over_share("a") and not shares.is_over_share("b") and not shares.is_over_share(None)
    shares.record_hit(5000, "b")
    assert not shares.is_over_share("a")


@pytest.mark.parametrize(
    "old, new, message",
    [
        ("ms(2500))", "2500)", "f.star:2: path_group: target_latency is longer"),
        ("s(3),", "0,", "f.star:3: path_group: a tagged path group needs repeat_window"),
        ('"repeatable"', '"safe"', "f.star:2: path_group: kind"),
        ("share = share", "part = share", "f.star:12: customer"),
        ('group = "transfer"', 'group = "x"', "f.star:9: route: no path group 'x'"),
        ("caps = [0.2, 0.7, 1.0]", "caps = [0.2, 0.7]", "f.star:14: release: shares and caps"),
        (
            "drain_grace = ms(250)",
            "drain_grace = 250",
            "rules: drain_grace: Expected int >= 1000, a time: write ms",
        ),
        ("rules(", "#rules(", "f.star: no call of rules"),
        ("number = n", "number = n + 1", "numbered in order"),
        ("customer(name", "customer((name", "f.star:12"),
        ('"127.0.0.1:17100"', '"here"', "listing: address"),
    ],
)
def test_invalid_settings_report_place_and_reason(old, new, message):
    """Each error names the file, the line or section, and what is invalid."""
    assert old in EXAMPLE
    with pytest.raises(SettingsError) as error:
        read_settings("f.star", EXAMPLE.replace(old, new, 1))
    assert message in str(error.value)


def test_policy_settings_have_every_key_that_the_decisions_read():
    """Guards against a key that the decisions look up and the settings never provide."""
    import re

    text = "".join(
        open(f"cobaltpond/decisions/{name}.py").read()
        for name in ("rules", "choosing", "judging", "voting", "records")
    )
    keys_read = set(re.findall(r'(?:sheet|settings)(?:\.get\(|\[)"([a-z_]+)"', text)) - {"customers"}
    assert keys_read and not keys_read - set(read_settings("x", EXAMPLE).policy_settings(1)), keys_read
