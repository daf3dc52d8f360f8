"""A small HTTP/1.1 service: one handler a request, whole bodies, JSON answers, streams of JSON lines."""

import json
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

from cobaltpond.loop import ConnectionLostError, Deadline, DeadlineExceededError, Event, Queue, serve
from cobaltpond.loop.errors import error_name
from cobaltpond.wire import http1
from cobaltpond.wire.json_lines import encode_line

LIMITS = http1.MessageLimits(head=16 << 10, body=1 << 20)


class RpcError(Exception):
    """A handler's way to say no: a status and a reason."""

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status, self.text = status, text


@dataclass
class Request:
    method: str
    path: str
    query: dict
    head: http1.MessageHead
    body: bytes

    def json_object(self) -> dict:
        """Raises RpcError (400) where the body is no JSON object."""
        try:
            value = json.loads(self.body)
        except ValueError:
            raise RpcError(400, "the body is no JSON") from None
        if not isinstance(value, dict):
            raise RpcError(400, "the body is no JSON object")
        return value


class ResponseStream:
    """An answer without end: lines are put, a reader that falls too far behind is cut off. `closed` is set
    when either side has ended it."""

    def __init__(self, most: int = 256):
        self.queue, self.closed, self.ended = Queue(most), Event(), False

    def send_object(self, one: dict) -> bool:
        if not self.ended and not self.queue.put_now(one):
            self.close()
        return not self.ended

    def close(self) -> None:
        self.ended = True
        self.queue.item_added.set()
        self.closed.set()


def json_response(status: int, value) -> tuple:
    return (
        status,
        [(b"content-type", b"application/json")],
        json.dumps(value, separators=(",", ":")).encode() + b"\n",
    )


def serve_rpc(loop, listener, handler, name: str, most: int = 2048, idle: int = 120_000_000, log=None):
    """A task without end. `handler(request)` is a generator-coroutine or a plain function; it gives (status,
    fields, body) or a ResponseStream, or raises RpcError. Whatever else it raises is a 500, and is logged."""

    def answer(connection):
        parser, head, body = http1.RequestParser(LIMITS), None, []
        while True:
            try:
                with Deadline(loop, idle):
                    data = yield from connection.read()
                if not data:
                    return
                events = parser.feed(data)
            except DeadlineExceededError:
                return
            except http1.HttpMessageError as trouble:
                yield from connection.write(http1.response(trouble.status, [], str(trouble).encode(), False))
                return
            for kind, value in events:
                if kind == "head":
                    head, body = value, []
                elif kind == "body":
                    body.append(value)
                else:
                    keep = yield from one(connection, head, b"".join(body))
                    if not keep:
                        return

    def one(connection, head, body):
        url = urlsplit(head.target.decode("latin-1"))
        request = Request(head.method, url.path, dict(parse_qsl(url.query)), head, body)
        try:
            got = handler(request)
            if hasattr(got, "send"):
                got = yield from got
        except RpcError as no:
            got = json_response(no.status, {"error": no.text})
        except (ConnectionLostError, DeadlineExceededError) as trouble:
            got = json_response(502, {"error": str(trouble)})
        except Exception as trouble:
            if log is not None:
                log.error("handler failed", service=name, path=url.path, exc_info=True)
            got = json_response(500, {"error": error_name(trouble)})
        if isinstance(got, ResponseStream):
            yield from stream(connection, got)
            return False
        status, fields, data = got
        yield from connection.write(http1.response(status, fields, data, head.keep_alive))
        return head.keep_alive

    def stream(connection, lines):
        def watch():
            try:
                while (yield from connection.read()):
                    pass
            except ConnectionLostError:
                pass
            lines.close()

        watcher = loop.spawn(watch(), f"{name}-watch")
        try:
            yield from connection.write(
                http1.response_head(200, [(b"content-type", b"application/x-ndjson")], False, True)
            )
            while not lines.ended:
                if not lines.queue.items:
                    yield lines.queue.item_added
                    continue
                one = yield from lines.queue.get()
                yield from connection.write(http1.encode_chunk(encode_line(one)))
        finally:
            lines.close()
            watcher.cancel()

    yield from serve(loop, listener, answer, most, name)
