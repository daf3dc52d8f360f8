"""One client's HTTP/1.1 connection, and a hit that came over it."""

from typing import TYPE_CHECKING

from cobaltpond.gateway import responses
from cobaltpond.gateway.body_buffer import BodyBuffer
from cobaltpond.gateway.pending_hit import PendingHit
from cobaltpond.loop import Connection, ConnectionLostError, Deadline, DeadlineExceededError, Event
from cobaltpond.wire import http1

if TYPE_CHECKING:
    from cobaltpond.gateway.frontend import Frontend

# response fields that instances send to the gateway, or that the gateway sets itself
INSTANCE_FIELDS = frozenset(
    (b"endpoint-load-metrics", b"cobaltpond-answers", b"cobaltpond-hit", b"cobaltpond-via")
)


class ClientConnection:
    """One client's connection.

    `hit`: the current or last hit, None before the first and after a response without a hit. `writer`: the
    task that sends the rest of a response. `last_active`: loop time of the last traffic. `reading_head`: a
    head is incomplete.
    """

    def __init__(self, frontend: "Frontend", connection: Connection):
        self.frontend, self.loop, self.connection = frontend, frontend.loop, connection
        self.hit, self.writer, self.last_active, self.reading_head = None, None, frontend.loop.now(), False

    @property
    def has_left(self) -> bool:
        """Whether the client has ended its side; what it sent before is not served any more."""
        return self.connection.handle.peer_finished

    def send_data(self, data: bytes, close: bool) -> None:
        """Sends a response; what the socket does not accept at once is sent by a task with a time limit.

        `close`: half-close the connection after it.
        """
        self.last_active = self.loop.now()
        try:
            sent = self.connection.write_now(data)
        except ConnectionLostError:
            self.connection.close()
            return
        if sent < len(data):
            self.writer = self.loop.spawn(self.write_rest(data[sent:], close), "door-rest")
        elif close:
            self.half_close()

    def write_rest(self, data: bytes, close: bool):
        """Sends the rest of a response; aborts the connection where the client fails to read it."""
        try:
            yield from self.write(data)
        except (ConnectionLostError, DeadlineExceededError):
            self.connection.abort()
        if close:
            self.half_close()

    def write(self, data: bytes):
        """Writes data at the client's pace.

        Raises DeadlineExceededError where the client reads nothing for `door.write_time`: a slow reader must
        not hold a connection and its buffers without limit.
        """
        view = memoryview(data)
        while view:
            with Deadline(self.loop, self.frontend.settings.door.write_time):
                piece = view[: http1.MAX_WRITE_BYTES]
                yield from self.connection.write(piece)
                view = view[len(piece) :]
        self.last_active = self.loop.now()

    def half_close(self) -> None:
        """Sends the end of file; the connection closes after the client's own, or after a time limit.

        A full close while data of the client is unread would send a reset, and the client could lose the
        response (RFC 9112, 9.6).
        """
        self.frontend.half_closed[self] = self.loop.now()
        self.connection.handle.finish()


class HttpHit(PendingHit):
    """A hit that came over HTTP: its request, and how its answer is sent.

    `route`: the `routes.RoutedRequest`. `answered`: set when the final answer has ended or is being sent.
    """

    def __init__(
        self,
        number: int,
        name: str,
        client: ClientConnection,
        head: http1.MessageHead,
        route,
        request_body: BodyBuffer,
    ):
        super().__init__(number, name, client.frontend)
        self.client, self.head, self.route, self.request_body = client, head, route, request_body
        self.client_gone, self.answered = False, Event()

    def finalize(self, outcome: str) -> None:
        """Makes the hit final, see `PendingHit`, and wakes what waits for the answer."""
        super().finalize(outcome)
        self.answered.set()

    def client_has_left(self) -> bool:
        """Returns whether the client has ended its side, also while bytes of it are unread."""
        return self.client.has_left

    @property
    def may_keep_connection(self) -> bool:
        """Whether the connection may serve another hit after this one."""
        return self.head.keep_alive and self.request_body.ended and not self.client.frontend.draining

    def deliver(self, head: http1.MessageHead, body: bytes, endpoint) -> None:
        """Sends a complete response of an instance as the final answer."""
        fields, keep_alive = self.response_fields(head, endpoint), self.may_keep_connection
        if self.head.method == "HEAD":
            data = http1.response_head(
                head.status,
                fields + [(b"content-length", n) for n in head.all(b"content-length")],
                keep_alive,
            )
        elif head.status in (204, 304):
            data = http1.response_head(head.status, fields, keep_alive)
        else:
            data = http1.response(head.status, fields, body, keep_alive)
        self.finalize("delivered")
        self.client.send_data(data, not keep_alive)

    def response_fields(self, head, endpoint) -> list:
        """Returns the header fields of an instance's response for the client, with the hit and the
        instance.
        """
        return [
            *http1.end_to_end_fields(head.fields, INSTANCE_FIELDS),
            (b"cobaltpond-hit", self.name.encode()),
            (b"cobaltpond-via", endpoint.row["id"].encode()),
        ]

    def start_stream(self, head: http1.MessageHead, endpoint):
        """Makes the hit final and sends the head of a long response (the commit point).

        The body is chunked where its length is unknown and the client speaks HTTP/1.1.
        """
        self.streaming, length = True, head.get(b"content-length")
        self.chunked = length is None and self.head.version == "1.1"
        fields = self.response_fields(head, endpoint) + (
            [(b"content-length", length)] if length is not None else []
        )
        self.keep_after_stream = self.may_keep_connection and (length is not None or self.chunked)
        self.finalize("delivered")
        yield from self.client.write(
            http1.response_head(head.status, fields, self.keep_after_stream, self.chunked)
        )

    def send_chunk(self, body: bytes):
        """Sends a part of a streamed body at the client's pace; raises as `ClientConnection.write`."""
        if body:
            yield from self.client.write(http1.encode_chunk(body) if self.chunked else body)

    def finish_stream(self):
        """Ends a streamed response."""
        if self.chunked:
            yield from self.client.write(http1.encode_chunk(b""))
        if not self.keep_after_stream:
            self.client.half_close()
        self.streaming = False
        self.answered.set()

    def break_off(self, reason: str) -> None:
        """Aborts the client's connection in a streamed response, so that the client sees it as truncated."""
        self.outcome, self.streaming = "cut", False
        self.client.frontend.increment("cut")
        self.client.frontend.log.warning("answer cut", hit=self.name, why=reason)
        self.client.connection.abort()
        self.answered.set()

    def reject(self, retry_after: int) -> None:
        """Rejects the hit; `retry_after`: advice in microseconds, 0 for none."""
        keep_alive = self.may_keep_connection
        over_share = self.frontend.shares.is_over_share(self.route.customer)
        self.finalize("bounced")
        self.client.send_data(
            responses.bounce_response(self.name, retry_after, over_share, keep_alive), not keep_alive
        )

    def fail(self, late: bool) -> None:
        """Answers with an error: 504 where `late`, else 502."""
        keep_alive = self.may_keep_connection
        self.finalize("errored")
        self.client.send_data(responses.failure_response(self.name, late, keep_alive), not keep_alive)
