"""One JSON object a line, as the list and the release desk send them; bounded."""
import json


class BadLine(Exception):
    """A line that is no JSON object, or longer than the limit."""


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
                try:
                    one = json.loads(line)
                except ValueError as trouble:
                    raise BadLine(f"no JSON: {line[:80]!r}") from trouble
                if not isinstance(one, dict):
                    raise BadLine(f"no object: {line[:80]!r}")
                objects.append(one)
        return objects


def line(one: dict) -> bytes:
    return json.dumps(one, separators=(",", ":")).encode() + b"\n"
