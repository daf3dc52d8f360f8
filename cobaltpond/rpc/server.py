"""Server side of calls and JSON-lines streams over HTTP/1.1; request bodies are buffered whole."""

import json
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

from cobaltpond.loop import (
    ConnectionLostError,
    Deadline,
    DeadlineExceededError,
    Event,
    NextTurn,
    Queue,
    TurnShare,
    serve,
)
from cobaltpond.loop.errors import error_name
from cobaltpond.rpc.body_allowance import BodyAllowance
from cobaltpond.wire import http1
from cobaltpond.wire.json_lines import encode_line

MAX_BODIES_BYTES = 64 << 20  # of the requests of all connections together
MAX_REQUESTS_PER_TURN = 32  # of one connection that are handled in one turn of the loop
REQUEST_LIMITS = http1.MessageLimits(head=16 << 10, body=1 << 20)


class RpcError(Exception):
    """Raised by a handler to reject a request with an HTTP status and a reason."""

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status, self.text = status, text


@dataclass
class Request:
    """A received request. `query`: decoded parameters, the last value of each name."""

    method: str
    path: str
    query: dict
    head: http1.MessageHead
    body: bytes

    def json_object(self) -> dict:
        """The body as a JSON object. Raises RpcError (400) where it is not one."""
        try:
            value = json.loads(self.body)
        except ValueError:
            raise RpcError(400, "the body is no JSON") from None
        if not isinstance(value, dict):
            raise RpcError(400, "the body is no JSON object")
        return value


class ResponseStream:
    """A response that streams JSON lines until it is closed.

    A slow reader is disconnected once `max_pending` objects are queued. `closed` is set when either side has
    ended the stream.
    """

    def __init__(self, max_pending: int = 256):
        self.queue, self.closed, self.ended = Queue(max_pending), Event(), False

    def send_object(self, message: dict) -> bool:
        """Queues an object; False where the stream has ended, or ends now because the queue is full."""
        if not self.ended and not self.queue.put_now(message):
            self.close()
        return not self.ended

    def close(self) -> None:
        """Ends the stream and drops the objects that are queued."""
        self.ended = True
        self.queue.item_added.set()
        self.closed.set()


def json_response(status: int, value) -> tuple:
    """A JSON response as the (status, fields, body) that handlers give."""
    return (
        status,
        [(b"content-type", b"application/json")],
        json.dumps(value, separators=(",", ":")).encode() + b"\n",
    )


def serve_rpc(
    loop, listener, handler, name: str, max_connections: int = 2048, idle_timeout: int = 120_000_000, log=None
):
    """A task that serves requests for ever. `idle_timeout`: microseconds without data on a connection.

    `handler(request)` is a generator-based coroutine or a plain function. It gives (status, fields, body) or
    a ResponseStream, or raises RpcError. ConnectionLostError and DeadlineExceededError become a 502; any
    other exception is logged and becomes a 500.
    """

    allowance = BodyAllowance(MAX_BODIES_BYTES)

    def serve_connection(connection):
        share = allowance.share()
        try:
            yield from serve_requests(connection, share)
        finally:
            share.release()

    def serve_requests(connection, share):
        parser, head, body = http1.RequestParser(REQUEST_LIMITS), None, []
        turn_share = TurnShare(loop, MAX_REQUESTS_PER_TURN)
        while True:
            try:
                with Deadline(loop, idle_timeout):
                    data = yield from connection.read()
                if not data:
                    return
                events = parser.feed(data)
                share.take(sum(len(value) for kind, value in events if kind == "body"))
            except DeadlineExceededError:
                return
            except http1.HttpMessageError as error:
                yield from connection.write(http1.response(error.status, [], str(error).encode(), False))
                return
            for kind, value in events:
                if kind == "head":
                    head, body = value, []
                elif kind == "body":
                    body.append(value)
                else:
                    keep_alive = yield from handle_request(connection, head, b"".join(body))
                    if not keep_alive:
                        return
                    body = []
                    share.release()
                    turn_share.count()
                    if turn_share.is_used_up:
                        yield NextTurn()

    def handle_request(connection, head, body):
        url = urlsplit(head.target.decode("latin-1"))
        request = Request(head.method, url.path, dict(parse_qsl(url.query)), head, body)
        try:
            response = handler(request)
            if hasattr(response, "send"):
                response = yield from response
        except RpcError as refusal:
            response = json_response(refusal.status, {"error": refusal.text})
        except (ConnectionLostError, DeadlineExceededError) as error:
            response = json_response(502, {"error": str(error)})
        except Exception as error:
            if log is not None:
                log.error("handler failed", service=name, path=url.path, exc_info=True)
            response = json_response(500, {"error": error_name(error)})
        if isinstance(response, ResponseStream):
            yield from send_stream(connection, response)
            return False
        status, fields, data = response
        yield from connection.write(http1.response(status, fields, data, head.keep_alive))
        return head.keep_alive

    def send_stream(connection, response_stream):
        def wait_for_close():
            try:
                while (yield from connection.read()):
                    pass
            except ConnectionLostError:
                pass
            response_stream.close()

        watcher = loop.spawn(wait_for_close(), f"{name}-watch")
        try:
            yield from connection.write(
                http1.response_head(200, [(b"content-type", b"application/x-ndjson")], False, True)
            )
            while not response_stream.ended:
                if not response_stream.queue.items:
                    yield response_stream.queue.item_added
                    continue
                message = yield from response_stream.queue.get()
                yield from connection.write(http1.encode_chunk(encode_line(message)))
        finally:
            response_stream.close()
            watcher.cancel()

    yield from serve(loop, listener, serve_connection, max_connections, name)
