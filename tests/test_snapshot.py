"""Snapshots of what a gateway has learned: written, read, and refused if truncated, corrupt or too old."""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cobaltpond.recovery import snapshot

EXAMPLES = int(os.environ.get("COBALTPOND_EXAMPLES", "60"))
S = 1_000_000
HEAD = {"number": 3, "settings": 77, "wall": 100 * S, "epoch": "e", "seen": None}
ROWS = [[f"i{n}", 1, 5, 1.0 + n / 10, n, n / 100, n == 7, 1000] for n in range(60)]
KEYS = [[n, 2] for n in range(1200)]


def snapshot_bytes(head=HEAD, rows=ROWS, keys=KEYS):
    return b"".join(snapshot.snapshot_lines(head, rows, keys))


def parse(data, **overrides):
    return snapshot.parse_snapshot(
        data, **{"number": 3, "settings": 77, "wall": 101 * S, "max_age": 10 * S, **overrides}
    )


def test_a_snapshot_is_read_as_written_and_weighted_by_its_age():
    content = parse(snapshot_bytes())
    assert (
        len(content["rows"]) == 60
        and content["keys"][-1] == (1199, 2)
        and content["weight"] == pytest.approx(0.9)
    )
    snapshot.check_list_epoch(content["head"], "e")
    listed = {"i7": (1, 5), "i8": (2, 5), "i9": (1, 6), "i50": (1, 5)}
    approx = pytest.approx
    assert snapshot.accepted_rows(content, listed) == [
        ("i7", approx(1.63), approx(6.3), approx(0.063), True),
        ("i50", approx(5.5), approx(45), approx(0.45), False),
    ]


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.integers(0, 1 << 20), st.integers(0, 255))
def test_a_truncated_or_corrupted_snapshot_is_refused_completely(at, byte):
    data = snapshot_bytes(rows=ROWS[:5], keys=KEYS[:5])
    at %= len(data)
    for bad in (data[:at], data[:at] + bytes([byte]) + data[at + 1 :]):
        if bad == data:
            continue
        with pytest.raises(snapshot.SnapshotError, match="torn"):
            parse(bad)


@pytest.mark.parametrize(
    "data, overrides, reason",
    [
        (None, {}, "no snapshot file"),
        (b"x" * (snapshot.MAX_BYTES + 1), {}, "exceed the size limit"),
        (snapshot_bytes(), {"number": 4}, "of gateway 3, not 4"),
        (snapshot_bytes(), {"settings": 78}, "other settings"),
        (snapshot_bytes(), {"wall": 99 * S}, "1000 ms in the future"),
        (snapshot_bytes(), {"wall": 110 * S}, "10000 ms old"),
        (snapshot_bytes({**HEAD, "wall": "x"}), {}, "malformed"),
        (snapshot_bytes(rows=[["i1", 1, 5]]), {}, "malformed"),
        (snapshot_bytes({**HEAD, "format": 9}), {}, None),
    ],
)
def test_each_reason_to_refuse_a_snapshot_is_reported(data, overrides, reason):
    if reason is None:  # the writer sets the format, whatever the head holds
        assert parse(data)["head"]["format"] == snapshot.FORMAT
        data, reason = data.replace(b'"format":1', b'"format":2'), "torn"
    with pytest.raises(snapshot.SnapshotError, match=reason):
        parse(data, **overrides)


def test_a_later_format_and_another_list_epoch_are_refused(monkeypatch):
    monkeypatch.setattr(snapshot, "FORMAT", 2)
    data = snapshot_bytes()
    monkeypatch.undo()
    with pytest.raises(snapshot.SnapshotError, match="of format 2, not 1"):
        parse(data)
    with pytest.raises(snapshot.SnapshotError, match="of list 'e', not 'f'"):
        snapshot.check_list_epoch(parse(snapshot_bytes())["head"], "f")
