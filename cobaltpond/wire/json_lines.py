"""One JSON object a line, as the list and the release desk send them; bounded."""

import json


class JsonLineError(Exception):
    """A line that is no JSON object, or longer than the limit."""


def parse_object(data: bytes) -> dict:
    """Raises JsonLineError; also on what is nested so deep that reading it would end the task that asked."""
    try:
        one = json.loads(data)
    except (ValueError, RecursionError) as trouble:
        raise JsonLineError(f"no JSON: {data[:80]!r}") from trouble
    if not isinstance(one, dict):
        raise JsonLineError(f"no object: {data[:80]!r}")
    return one


class JsonLineParser:
    """Cuts a stream of bytes into objects; what is torn waits for its rest."""

    def __init__(self, most: int = 4 << 20):
        self.most, self.rest = most, b""

    def feed(self, data: bytes) -> list[dict]:
        whole, _, rest = (self.rest + data).rpartition(b"\n")
        if len(rest) > self.most:
            raise JsonLineError(f"a line of more than {self.most} bytes")
        self.rest = rest
        objects = []
        for line in whole.split(b"\n"):
            if line.strip():
                objects.append(parse_object(line))
        return objects


def encode_line(one: dict) -> bytes:
    return json.dumps(one, separators=(",", ":")).encode() + b"\n"
