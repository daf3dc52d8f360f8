"""One JSON object a line, as the list and the release desk send them; bounded."""

import json


class BadLine(Exception):
    """A line that is no JSON object, or longer than the limit."""


def one_object(data: bytes) -> dict:
    """Raises BadLine; also on what is nested so deep that reading it would end the task that asked."""
    try:
        one = json.loads(data)
    except (ValueError, RecursionError) as trouble:
        raise BadLine(f"no JSON: {data[:80]!r}") from trouble
    if not isinstance(one, dict):
        raise BadLine(f"no object: {data[:80]!r}")
    return one


class Lines:
    """Cuts a stream of bytes into objects; what is torn waits for its rest."""

    def __init__(self, most: int = 4 << 20):
        self.most, self.rest = most, b""

    def feed(self, data: bytes) -> list[dict]:
        whole, _, rest = (self.rest + data).rpartition(b"\n")
        if len(rest) > self.most:
            raise BadLine(f"a line of more than {self.most} bytes")
        self.rest = rest
        objects = []
        for line in whole.split(b"\n"):
            if line.strip():
                objects.append(one_object(line))
        return objects


def line(one: dict) -> bytes:
    return json.dumps(one, separators=(",", ":")).encode() + b"\n"
