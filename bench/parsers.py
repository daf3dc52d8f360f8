"""Compares the parse time of httptools (llhttp) and h11 on one request and one response.

It prints microseconds per message; all figures come from one run.

    .venv/bin/python bench/parsers.py
"""

import time

import h11
import httptools

REQUEST = (
    b"POST /purchases HTTP/1.1\r\nhost: resale\r\nuser-agent: app/1\r\naccept: */*\r\n"
    b"content-type: application/json\r\nidempotency-key: 8f3a\r\n"
    b"cobaltpond-customer: emajoe-hall\r\ncontent-length: 20\r\n\r\n" + b"x" * 20
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    b"endpoint-load-metrics: TEXT named_metrics.inflight=4\r\ncontent-length: 64\r\n\r\n" + b"y" * 64
)


class IgnoreCallbacks:
    """Parser callbacks that discard every event."""

    def __getattr__(self, name):
        """Returns an empty callback for each `on_...` name. Raises AttributeError for others."""
        if name.startswith("on_"):
            return lambda *arguments: None
        raise AttributeError(name)


def parse_with_h11(role, data):
    """Parses the bytes of one message with h11 up to its end, as the given role."""
    connection = h11.Connection(role)
    if role is h11.CLIENT:
        connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        connection.send(h11.EndOfMessage())
    connection.receive_data(data)
    while type(connection.next_event()) is not h11.EndOfMessage:
        pass


def measure_call(name, call, rounds=20000):
    """Prints the mean time of `call` in microseconds over `rounds` calls, after one warm-up call."""
    call()
    started_at = time.perf_counter()
    for _ in range(rounds):
        call()
    print(f"{name:<24}{(time.perf_counter() - started_at) / rounds * 1e6:>8.1f} us")


if __name__ == "__main__":
    measure_call(
        "httptools, request", lambda: httptools.HttpRequestParser(IgnoreCallbacks()).feed_data(REQUEST)
    )
    measure_call(
        "httptools, answer", lambda: httptools.HttpResponseParser(IgnoreCallbacks()).feed_data(RESPONSE)
    )
    measure_call("h11, request", lambda: parse_with_h11(h11.SERVER, REQUEST), 4000)
    measure_call("h11, answer", lambda: parse_with_h11(h11.CLIENT, RESPONSE), 4000)
