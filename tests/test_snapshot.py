"""Snapshots of what a gateway has learned: written, read, and refused where torn or too old."""

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


def file_of(head=HEAD, rows=ROWS, keys=KEYS):
    return b"".join(snapshot.snapshot_lines(head, rows, keys))


def taken(data, **more):
    return snapshot.parse_snapshot(
        data, **{"number": 3, "settings": 77, "wall": 101 * S, "max_age": 10 * S, **more}
    )


def test_a_snapshot_is_read_as_it_was_written_and_weighed_by_its_age():
    told = taken(file_of())
    assert len(told["rows"]) == 60 and told["keys"][-1] == (1199, 2) and told["weight"] == pytest.approx(0.9)
    snapshot.check_list_epoch(told["head"], "e")
    listed = {"i7": (1, 5), "i8": (2, 5), "i9": (1, 6), "i50": (1, 5)}
    about = pytest.approx
    assert snapshot.accepted_rows(told, listed) == [
        ("i7", about(1.63), about(6.3), about(0.063), True),
        ("i50", about(5.5), about(45), about(0.45), False),
    ]


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.integers(0, 1 << 20), st.integers(0, 255))
def test_a_snapshot_torn_or_flipped_anywhere_is_refused_whole(at, byte):
    data = file_of(rows=ROWS[:5], keys=KEYS[:5])
    at %= len(data)
    for bad in (data[:at], data[:at] + bytes([byte]) + data[at + 1 :]):
        if bad == data:
            continue
        with pytest.raises(snapshot.SnapshotError, match="torn"):
            taken(bad)


@pytest.mark.parametrize(
    "data, more, why",
    [
        (None, {}, "no snapshot file"),
        (b"x" * (snapshot.MAX_BYTES + 1), {}, "exceed the size limit"),
        (file_of(), {"number": 4}, "of gateway 3, not 4"),
        (file_of(), {"settings": 78}, "other settings"),
        (file_of(), {"wall": 99 * S}, "1000 ms in the future"),
        (file_of(), {"wall": 110 * S}, "10000 ms old"),
        (file_of({**HEAD, "wall": "x"}), {}, "malformed"),
        (file_of(rows=[["i1", 1, 5]]), {}, "malformed"),
        (file_of({**HEAD, "format": 9}), {}, None),
    ],
)
def test_each_reason_to_refuse_a_snapshot_is_named(data, more, why):
    if why is None:  # the format is the writer's own word, whatever the head says
        assert taken(data)["head"]["format"] == snapshot.FORMAT
        data, why = data.replace(b'"format":1', b'"format":2'), "torn"
    with pytest.raises(snapshot.SnapshotError, match=why):
        taken(data, **more)


def test_a_later_format_and_another_list_are_refused(monkeypatch):
    monkeypatch.setattr(snapshot, "FORMAT", 2)
    data = file_of()
    monkeypatch.undo()
    with pytest.raises(snapshot.SnapshotError, match="of format 2, not 1"):
        taken(data)
    with pytest.raises(snapshot.SnapshotError, match="of list 'e', not 'f'"):
        snapshot.check_list_epoch(taken(file_of())["head"], "f")
