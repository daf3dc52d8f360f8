"""What a gateway keeps of what it learned, over its own death: written in pieces, read in bounded time. Free
of I/O.

Lines as `wal/journal.py` frames them: a head, rows, an end that counts them. A file without its end is torn,
and nothing of it is taken. Each reason for which a snapshot is refused has a text; a gateway that refuses one
begins blank.
"""

from cobaltpond.wal.journal import decode_record, encode_record

FORMAT = 1
MOST_BYTES = 4 << 20
ROWS_A_LINE, KEYS_A_LINE, KEYS_MOST = 50, 500, 20_000


class SnapshotError(Exception):
    """Why a snapshot is not taken."""


def snapshot_lines(head: dict, rows: list, keys: list):
    """The file, line by line: whoever writes it lets the loop have a turn after each."""
    number = 0
    yield encode_record(number, {**head, "format": FORMAT})
    for what, every, each in (("rows", rows, ROWS_A_LINE), ("keys", keys[-KEYS_MOST:], KEYS_A_LINE)):
        for at in range(0, len(every), each):
            number += 1
            yield encode_record(number, {what: every[at : at + each]})
    yield encode_record(number + 1, {"end": number + 1})


def parse_snapshot(data: bytes | None, *, number: int, settings: int, wall: int, worth: int) -> dict:
    """{"head", "rows", "keys", "weight"}. Raises SnapshotError. `settings`: the sheet's digest; `wall`: the
    calendar now; `worth`: how old one may be, microseconds."""
    if data is None:
        raise SnapshotError("there is none")
    if len(data) > MOST_BYTES:
        raise SnapshotError(f"{len(data)} bytes are more than one has")
    values = []
    try:
        for line in data.split(b"\n")[:-1]:
            values.append(decode_record(line, len(values)))
        head, end = values[0], values[-1]
        if not isinstance(head, dict) or not isinstance(end, dict) or end.get("end") != len(values) - 1:
            raise ValueError("no end")
    except (ValueError, IndexError, TypeError) as trouble:
        raise SnapshotError(f"torn: {trouble}") from None
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
            (str(id), int(build), start, float(pace), float(load), float(faults), bool(silent), int(heard))
            for id, build, start, pace, load, faults, silent, heard in rows
        ]
    except (KeyError, ValueError, TypeError, AttributeError) as trouble:
        raise SnapshotError(f"makes no sense: {trouble!r}") from None
    if age < 0:
        raise SnapshotError(f"from {-age // 1000} ms in the future: a clock was set")
    if age >= worth:
        raise SnapshotError(f"{age // 1000} ms old, worth something for {worth // 1000}")
    return {"head": head, "rows": rows, "keys": keys, "weight": 1 - age / worth}


def check_list_epoch(head: dict, epoch) -> None:
    """Once the list has been heard. Raises SnapshotError."""
    if head.get("epoch") != epoch:
        raise SnapshotError(f"of list {head.get('epoch')!r}, not {epoch!r}")


def accepted_rows(told: dict, listed: dict) -> list[tuple]:
    """As `warm.WarmStart.believed`: `listed`: id -> (build, the list's mark of its start)."""
    weight, out = told["weight"], []
    for id, build, start, pace, load, faults, silent, _ in told["rows"]:
        if listed.get(id) == (build, start):
            out.append(
                (
                    id,
                    1 + (max(1.0, pace) - 1) * weight,
                    max(0.0, load) * weight,
                    min(1.0, max(0.0, faults)) * weight,
                    silent and weight > 0.5,
                )
            )
    return out
