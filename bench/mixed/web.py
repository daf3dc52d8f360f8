"""HTTP on loopback: one request to a program, and a server that plays one."""

import http.client
import json
import sys
from dataclasses import dataclass
from http.server import ThreadingHTTPServer

ANSWER_BOUND = 4.0  # seconds


@dataclass(frozen=True)
class Answer:
    """`headers` with names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self):
        """Raises ValueError."""
        return json.loads(self.body)


def ask(
    port: int, method: str, target: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> Answer:
    """Raises OSError, or HTTPException of `http.client`."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=ANSWER_BOUND)
    try:
        connection.request(method, target, body or None, {"connection": "close", **(headers or {})})
        got = connection.getresponse()
        fields = {name.lower(): value for name, value in got.getheaders()}
        return Answer(got.status, fields, got.read())
    finally:
        connection.close()


def get_json(port: int, target: str):
    """Raises ValueError where the answer is not a good one, and what `ask` raises."""
    answer = ask(port, "GET", target)
    if answer.status != 200:
        raise ValueError(f"{target}: status {answer.status}")
    return answer.json


def post_json(port: int, target: str, value) -> Answer:
    """Raises what `ask` raises."""
    return ask(port, "POST", target, json.dumps(value).encode(), {"content-type": "application/json"})


class Server(ThreadingHTTPServer):
    """Programs that are stopped leave their connections in mid-answer: that is not reported."""

    def handle_error(self, request, client_address) -> None:
        """Reports what is no OSError."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)
