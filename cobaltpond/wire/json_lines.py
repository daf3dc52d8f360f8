"""JSON lines, one object per line, as the list and the release desk send them; bounded."""

import json


class JsonLineError(Exception):
    """A line is no JSON object, or is longer than the limit."""


def parse_object(data: bytes) -> dict:
    """Parses one JSON object.

    Raises JsonLineError, also on nesting so deep that the recursion limit is hit, which would otherwise end
    the calling task.
    """
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

    def __init__(self, max_line_bytes: int = 4 << 20):
        self.max_line_bytes, self.rest = max_line_bytes, b""

    def feed(self, data: bytes) -> list[dict]:
        """Returns the objects that these bytes complete. Raises JsonLineError."""
        complete_lines, _, rest = (self.rest + data).rpartition(b"\n")
        if len(rest) > self.max_line_bytes:
            raise JsonLineError(f"a line of more than {self.max_line_bytes} bytes")
        self.rest = rest
        objects = []
        for line in complete_lines.split(b"\n"):
            if line.strip():
                objects.append(parse_object(line))
        return objects


def encode_line(value: dict) -> bytes:
    """Encodes one object as a line."""
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"
