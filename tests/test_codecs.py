"""Codecs, the sheet, the kept list: bytes cut anywhere, torn files, figures that make no sense."""

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
fixed = settings(derandomize=True, deadline=None, max_examples=150)


def events(parser, pieces):
    got = []
    for piece in pieces:
        for kind, value in parser.feed(piece):
            if kind == "body" and got and got[-1][0] == "body":
                got[-1] = ("body", got[-1][1] + value)
            else:
                got.append((kind, value))
    return got


TOKEN = st.text("abcdefgh-", min_size=1, max_size=8).map(str.encode)
FIELD = st.tuples(TOKEN.map(lambda name: b"x-" + name), TOKEN)
HIT = st.tuples(
    st.sampled_from(["GET", "POST"]), st.lists(FIELD, max_size=4), st.binary(max_size=200), st.booleans()
)


@fixed
@given(st.lists(HIT, min_size=1, max_size=4), st.lists(st.integers(0, 2000), max_size=12))
def test_requests_read_the_same_however_they_are_cut(hits, cuts):
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


def test_a_line_nested_without_end_is_a_bad_line():
    with pytest.raises(JsonLineError):
        JsonLineParser().feed(b"[" * 200_000 + b"\n")


@fixed
@given(st.binary(max_size=400))
def test_any_bytes_are_read_or_refused(data):
    for parser in (
        http1.RequestParser(http1.MessageLimits(head=200)),
        http1.ResponseParser(http1.MessageLimits(head=200)),
    ):
        try:
            parser.feed(data)
        except http1.HttpMessageError as trouble:
            assert 400 <= trouble.status <= 505


def test_answers_that_end_with_the_connection_and_answers_cut():
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


def test_load_reports_in_both_forms_and_junk():
    report = {"util": 0.5, "inflight": 7.0, "latency_ms": 12.0}
    assert orca.parse_load_report(orca.format_load_report(report)) == report
    assert orca.parse_load_report(b'JSON {"cpu_utilization": 0.3, "named_metrics": {"inflight": 4}}') == {
        "util": 0.3,
        "inflight": 4,
    }
    for junk in (
        None,
        b"",
        b"TEXT a=b,=,x",
        b"JSON [1]",
        b"JSON {",
        b"BIN abc",
        b"TEXT inflight=-1, util=nan",
    ):
        assert orca.parse_load_report(junk) == {}


def test_lines_are_cut_and_bounded():
    lines = JsonLineParser(most=100)
    assert lines.feed(encode_line({"a": 1}) + b'{"b"') == [{"a": 1}] and lines.feed(b":2}\n") == [{"b": 2}]
    for junk in (b"[1]\n", b"{x\n", b"x" * 101):
        with pytest.raises(JsonLineError):
            JsonLineParser(most=100).feed(junk)


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


def told(revision, base, *rows, epoch="e"):
    return {"epoch": epoch, "revision": revision, "base": base, "rows": [{**ROW, **row} for row in rows]}


def test_a_restart_moves_the_start_and_nothing_else_does():
    held = InstanceList()
    ((row, address),) = held.apply(1000, told(1, None, {}))[1]
    assert (row["started"], address) == (950, ("127.0.0.1", 1))
    ((row, _),) = held.apply(5000, told(2, 1, {"age_us": 4060}))[1]  # told with another lateness
    assert row["started"] == 950
    ((row, _),) = held.apply(6000, told(3, 2, {"start": 8, "age_us": 10}))[1]
    assert row["started"] == 5990


def test_gaps_repeats_and_lists_overtaken():
    held = InstanceList()
    held.apply(0, told(5, None, {}))
    assert held.apply(0, told(5, 4, {})) == (False, []) and held.apply(0, told(4, None, {})) == (False, [])
    for gap in (told(7, 6, {}), told(6, 5, {}, epoch="other")):
        with pytest.raises(ListGapError):
            held.apply(0, gap)
    assert held.revision == 5
    for junk in ({}, {"base": None}, told(6, 5, {"state": "odd"}), told(6, 5, {"address": "x"})):
        with pytest.raises(JsonLineError):
            held.apply(0, junk)
    assert held.revision == 5 and held.rows["i1"]["state"] == "up"


@fixed
@given(st.integers(0, 400), st.integers(0, 255))
def test_a_kept_list_is_read_whole_or_not_at_all(at, byte):
    held = InstanceList()
    held.apply(100, told(3, None, {}, {"id": "i2", "start": 9}))
    data = held.to_disk(600)
    back = InstanceList.from_disk(data)
    assert back["rows"][0]["age_us"] == 550
    assert InstanceList.from_disk(data[:at]) is None or at >= len(data) - 1
    if at < len(data) - 1 and data[at] != byte:
        torn = InstanceList.from_disk(data[:at] + bytes([byte]) + data[at + 1 :])
        assert torn is None or torn == back  # a checksum in capitals is the same checksum


def test_routes_first_fit_and_keys():
    routes = Routes(read_settings("x", EXAMPLE))

    def head(method, target, *fields):
        return http1.MessageHead(method, target, fields=list(fields))

    asked = routes.read(
        head(
            "GET",
            b"/listings/4?x=1",
            (b"cobaltpond-key", b"k"),
            (b"cobaltpond-customer", b"who"),
            (b"cobaltpond-timeout-ms", b"99999"),
            (b"cobaltpond-try", b"1"),
        )
    )
    assert (asked.group.name, asked.customer, asked.time_left, asked.is_retry) == (
        "listing-read",
        None,
        2_500_000,
        True,
    )
    assert 0 <= asked.key < 1 << 53
    with pytest.raises(http1.HttpMessageError):
        routes.read(head("POST", b"/purchases"))
    assert routes.read(head("POST", b"/purchases", (b"idempotency-key", b"m"))).group.kind == "tagged"


def test_shares_name_who_is_over():
    shares = CustomerShares({"a": 0.5, "b": 0.5}, 1000)
    for n in range(20):
        shares.record_hit(n * 10, "a" if n % 4 else "b")
    assert shares.is_over_share("a") and not shares.is_over_share("b") and not shares.is_over_share(None)
    shares.record_hit(5000, "b")
    assert not shares.is_over_share("a")


@pytest.mark.parametrize(
    "old, new, said",
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
def test_a_bad_sheet_says_where_and_what(old, new, said):
    assert old in EXAMPLE
    with pytest.raises(SettingsError) as trouble:
        read_settings("f.star", EXAMPLE.replace(old, new, 1))
    assert said in str(trouble.value)


def test_the_runsheet_has_what_the_decisions_pick():
    import re

    text = "".join(
        open(f"cobaltpond/decisions/{name}.py").read()
        for name in ("rules", "choosing", "judging", "voting", "records")
    )
    picked = set(re.findall(r'(?:sheet|settings)(?:\.get\(|\[)"([a-z_]+)"', text)) - {"customers"}
    assert picked and not picked - set(read_settings("x", EXAMPLE).policy_settings(1)), picked
