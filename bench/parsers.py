"""httptools (llhttp) and h11 on the same request and answer, in one run: microseconds a message.

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
ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    b"endpoint-load-metrics: TEXT named_metrics.inflight=4\r\ncontent-length: 64\r\n\r\n" + b"y" * 64
)


class Sink:
    def __getattr__(self, name):
        if name.startswith("on_"):
            return lambda *arguments: None
        raise AttributeError(name)


def with_h11(role, data):
    connection = h11.Connection(role)
    if role is h11.CLIENT:
        connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        connection.send(h11.EndOfMessage())
    connection.receive_data(data)
    while type(connection.next_event()) is not h11.EndOfMessage:
        pass


def timed(name, call, rounds=20000):
    call()
    began = time.perf_counter()
    for _ in range(rounds):
        call()
    print(f"{name:<24}{(time.perf_counter() - began) / rounds * 1e6:>8.1f} us")


if __name__ == "__main__":
    timed("httptools, request", lambda: httptools.HttpRequestParser(Sink()).feed_data(REQUEST))
    timed("httptools, answer", lambda: httptools.HttpResponseParser(Sink()).feed_data(ANSWER))
    timed("h11, request", lambda: with_h11(h11.SERVER, REQUEST), 4000)
    timed("h11, answer", lambda: with_h11(h11.CLIENT, ANSWER), 4000)
