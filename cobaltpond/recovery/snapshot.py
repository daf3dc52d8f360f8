"""Format of the snapshot in which a gateway keeps what it learned across a restart. Does no I/O.

A snapshot is written in pieces and read in bounded time. Its lines have the framing of `wal/journal.py`, with
a checksum each: a head, rows, and an end that counts the lines. A file without its end is truncated, and
nothing of it is used. Each reason to refuse a snapshot has a text; a gateway that refuses one starts cold.
"""

from cobaltpond.wal.journal import decode_record, encode_record

FORMAT = 1
MAX_BYTES = 4 << 20
ROWS_PER_LINE, KEYS_PER_LINE, MAX_KEYS = 50, 500, 20_000


class SnapshotError(Exception):
    """The reason why a snapshot is refused."""


def snapshot_lines(head: dict, rows: list, keys: list):
    """Yields the file line by line, so that the writer can let the event loop run after each line.

    Rows and keys are lists that JSON can hold; only the last `MAX_KEYS` keys are written.
    """
    number = 0
    yield encode_record(number, {**head, "format": FORMAT})
    for field, items, per_line in (("rows", rows, ROWS_PER_LINE), ("keys", keys[-MAX_KEYS:], KEYS_PER_LINE)):
        for at in range(0, len(items), per_line):
            number += 1
            yield encode_record(number, {field: items[at : at + per_line]})
    yield encode_record(number + 1, {"end": number + 1})


def parse_snapshot(data: bytes | None, *, number: int, settings: int, wall: int, max_age: int) -> dict:
    """Returns {"head", "rows", "keys", "weight"}, where the weight falls from 1 to 0 as the snapshot ages.

    `settings` is the digest of the settings, `wall` the present calendar time and `max_age` the age from
    which a snapshot is useless, both in microseconds. Raises SnapshotError.
    """
    if data is None:
        raise SnapshotError("no snapshot file")
    if len(data) > MAX_BYTES:
        raise SnapshotError(f"{len(data)} bytes exceed the size limit")
    values = []
    try:
        for line in data.split(b"\n")[:-1]:
            values.append(decode_record(line, len(values)))
        head, end = values[0], values[-1]
        if not isinstance(head, dict) or not isinstance(end, dict) or end.get("end") != len(values) - 1:
            raise ValueError("no end")
    except (ValueError, IndexError, TypeError) as error:
        raise SnapshotError(f"torn: {error}") from None
    if head.get("format") != FORMAT:
        raise SnapshotError(f"of format {head.get('format')!r}, not {FORMAT}")
    if head.get("number") != number:
        raise SnapshotError(f"of gateway {head.get('number')!r}, not {number}")
    if head.get("settings") != settings:
        raise SnapshotError("of other settings")
    try:
        age = wall - int(head["wall"])
        rows = [tuple(row) for value in values[1:-1] for row in value.get("rows", ())]
        keys = [(int(key), int(build)) for value in values[1:-1] for key, build in value.get("keys", ())]
        rows = [
            (
                str(id),
                int(build),
                start,
                float(latency_ratio),
                float(load),
                float(faults),
                bool(silent),
                int(seen_age),
            )
            for id, build, start, latency_ratio, load, faults, silent, seen_age in rows
        ]
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise SnapshotError(f"malformed: {error!r}") from None
    if age < 0:
        raise SnapshotError(f"from {-age // 1000} ms in the future: a clock was changed")
    if age >= max_age:
        raise SnapshotError(f"{age // 1000} ms old, the limit in ms is {max_age // 1000}")
    return {"head": head, "rows": rows, "keys": keys, "weight": 1 - age / max_age}


def check_list_epoch(head: dict, epoch) -> None:
    """Raises SnapshotError if the snapshot belongs to another epoch of the instance list."""
    if head.get("epoch") != epoch:
        raise SnapshotError(f"of list {head.get('epoch')!r}, not {epoch!r}")


def accepted_rows(content: dict, listed: dict) -> list[tuple]:
    """Returns rows (id, latency ratio, load, faults, silent) of instances that still run the same start.

    As in `warm_start.WarmStart.accepted_rows`, values are weighted by age. `listed` maps an instance id to
    (build, the list's value of its start).
    """
    weight, accepted = content["weight"], []
    for id, build, start, latency_ratio, load, faults, silent, _ in content["rows"]:
        if listed.get(id) == (build, start):
            accepted.append(
                (
                    id,
                    1 + (max(1.0, latency_ratio) - 1) * weight,
                    max(0.0, load) * weight,
                    min(1.0, max(0.0, faults)) * weight,
                    silent and weight > 0.5,
                )
            )
    return accepted
