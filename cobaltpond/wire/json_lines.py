"""JSON lines, one object per line, as the list and the release desk send them; bounded."""

import json

MAX_LINE_BYTES = 4 << 20  # of a line that may hold a whole list
VALUE_SEPARATORS = (b",", b"[", b"{")


class JsonLineError(Exception):
    """A line is no JSON object, or is longer than the limit."""


def parse_object(data: bytes, max_values: int | None = None) -> dict:
    """Parses one JSON object of at most `max_values` values; None: no limit.

    Raises JsonLineError, also on nesting so deep that the recursion limit is hit, which would otherwise end
    the calling task. The values are counted before they are made, since short ones take many times their
    length in memory.
    """
    if max_values is not None and sum(map(data.count, VALUE_SEPARATORS)) > max_values:
        raise JsonLineError(f"more than {max_values} values")
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise JsonLineError(f"no JSON: {data[:80]!r}") from error
    if not isinstance(value, dict):
        raise JsonLineError(f"no object: {data[:80]!r}")
    return value


class JsonLineParser:
    """Splits a stream of bytes into objects; an incomplete line waits for its rest, up to
    `max_line_bytes`."""

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES):
        self.max_line_bytes, self.rest = max_line_bytes, bytearray()

    def feed(self, data: bytes) -> list[dict]:
        """Returns the objects that these bytes complete. Raises JsonLineError."""
        head, separator, rest = data.rpartition(b"\n")
        if len(rest) + (0 if separator else len(self.rest)) > self.max_line_bytes:
            raise JsonLineError(f"a line of more than {self.max_line_bytes} bytes")
        if not separator:
            self.rest += rest
            return []
        lines, self.rest = bytes(self.rest + head).split(b"\n"), bytearray(rest)
        return [parse_object(line) for line in lines if line.strip()]


def encode_line(value: dict) -> bytes:
    """Encodes one object as a line."""
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"
