"""Runs one forward: acquires a connection, sends the request, reads the response, reports the result.

Commit point: a response is buffered until it is complete or exceeds `door.hold` bytes. Until then nothing has
been sent to the client, and the decisions may forward the hit again. From the first byte sent to the client
on, the hit is committed to this forward: the timeouts of the forward and of the client no longer apply, the
forward can't be cancelled, and if the instance breaks off, the client's connection is aborted, so that the
client sees a truncated response and never takes it for a complete one.

Responses of HTTP/1.1 carry no identifier. An instance can name the request that a response answers in the
field `Cobaltpond-Answers`; a late duplicate that names another one is skipped.
"""

from cobaltpond.gateway.body_buffer import BodyBuffer, BodyDiscardedError, BodyTruncatedError
from cobaltpond.gateway.endpoints import EndpointPool, InstanceEndpoint, NoConnectionError
from cobaltpond.gateway.forward_results import FORWARD_RESULTS, classify_response
from cobaltpond.loop import ConnectionLostError, Deadline, DeadlineExceededError
from cobaltpond.wire import http1, orca

MAX_RESPONSE_HEAD_BYTES = 64 << 10
MAX_SURPLUS_RESPONSES = 4  # skipped in one forward
# response field in which an instance names the request: the value of `Cobaltpond-Hit`, a slash, that of
# `Cobaltpond-Forward`
ANSWERS_FIELD = b"cobaltpond-answers"


class Forwards:
    """Runs the forwards and probes of one gateway.

    `sender`: the value of the field `Cobaltpond-From`. `result_counts`: how often each key of FORWARD_RESULTS
    occurred. `surplus_responses`: how many late duplicates were skipped.
    """

    def __init__(self, loop, endpoints: EndpointPool, settings, sender: str):
        self.loop, self.endpoints, self.settings, self.sender = loop, endpoints, settings, sender
        self.result_counts = dict.fromkeys(FORWARD_RESULTS, 0)
        self.probe_count = self.surplus_responses = 0

    def run_forward(
        self,
        hit,
        number: int,
        endpoint: InstanceEndpoint,
        timeout: int,
        send_within: int | None,
        on_result,
    ):
        """Runs one forward; the body of a task. Times are microseconds.

        `send_within`: nothing is written later than that; None: within `timeout`. `on_result(result,
        duration, hit_final, load_report)` is called exactly once, also on cancellation.
        """
        began, result_key, load_report, hit_final = self.loop.now(), "called off", {}, False
        attempt = ForwardAttempt(self, hit, number, endpoint, timeout, send_within)
        try:
            try:
                with Deadline(self.loop, timeout):
                    result_key = yield from attempt.run_until_commit()
            except DeadlineExceededError:
                result_key = "too late" if attempt.has_written else "dial too slow"
            duration = self.loop.now() - began
            load_report = orca.parse_load_report(attempt.head.get(orca.HEADER)) if attempt.head else {}
            if result_key == "answer":
                hit_final = True
                if attempt.streaming:
                    result_key = yield from attempt.stream()
                elif not hit.final:
                    hit.deliver(attempt.head, b"".join(attempt.body), endpoint)
        finally:
            attempt.close(reuse=result_key in ("answer", "refusal", "server error"))
            self.result_counts[result_key] += 1
            if result_key in ("called off", "too late", "dial too slow") or attempt.head is None:
                duration = self.loop.now() - began
            on_result(FORWARD_RESULTS[result_key][0], duration, hit_final or hit.final, load_report)

    def run_probe(self, endpoint: InstanceEndpoint, on_result):
        """Sends one request for the probe page; the body of a task.

        `on_result(result, duration, load_report)` is called exactly once; duration in microseconds.
        """
        began, result_key, head = self.loop.now(), "called off", None
        self.probe_count += 1
        attempt = ForwardAttempt(
            self,
            Probe(self.settings.instances.probe_path),
            self.probe_count,
            endpoint,
            self.settings.instances.probe_time,
        )
        try:
            with Deadline(self.loop, self.settings.instances.probe_time):
                result_key = yield from attempt.run_until_commit()
            head = attempt.head
        except DeadlineExceededError:
            result_key = "too late" if attempt.has_written else "dial too slow"
        finally:
            attempt.close(reuse=result_key in ("answer", "refusal", "server error"))
            on_result(
                FORWARD_RESULTS[result_key][0],
                self.loop.now() - began,
                orca.parse_load_report(head.get(orca.HEADER)) if head else {},
            )


class Probe:
    """The request of a probe, in the place of a hit."""

    def __init__(self, path):
        self.final, self.name, self.request_body = False, "probe", BodyBuffer(1024)
        self.head = http1.MessageHead("GET", path.encode(), fields=[(b"host", b"probe")])
        self.request_body.finish()


class ForwardAttempt:
    """One forward while it runs.

    `number`: of this forward among those of its hit, or of this probe among all. `timeout` and `send_within`
    in microseconds from now.
    `head`, `body` and `body_size`: the response as far as it is read. `streaming`: the hit is committed.
    """

    def __init__(self, forwards, hit, number, endpoint, timeout, send_within=None):
        self.forwards = forwards
        self.loop = forwards.loop
        self.hit = hit
        self.number = number
        self.endpoint = endpoint
        self.deadline = self.loop.now() + timeout
        self.send_deadline = None if send_within is None else self.loop.now() + send_within
        self.connection, self.writer, self.has_written = None, None, False
        self.head, self.body, self.body_size = None, [], 0
        self.response_ended = self.streaming = False
        self.surplus_count, self.in_surplus_response = 0, False
        limits = http1.MessageLimits(
            head=MAX_RESPONSE_HEAD_BYTES, body=forwards.settings.instances.answer_limit
        )
        self.parser = http1.ResponseParser(limits, hit.head.method == "HEAD")

    def run_until_commit(self):
        """Runs the forward up to the complete response or the commit point.

        Returns the key of FORWARD_RESULTS. It is "answer" with `streaming` set at the commit point.
        """
        if self.hit.final:
            return "nothing to send"
        while True:
            try:
                self.hit.request_body.rewind()
                self.connection, reused = yield from self.forwards.endpoints.acquire(self.endpoint)
            except BodyDiscardedError:
                return "nothing to send"
            except NoConnectionError as error:
                return str(error)
            if self.send_deadline is not None and self.loop.kernel.now() >= self.send_deadline:
                self.close(reuse=True)  # nothing was written to it
                return "window over"
            try:
                yield from self.send()
                break
            except BodyDiscardedError:
                return "nothing to send"
            except ConnectionLostError:
                if self.has_written:
                    break  # the response may have arrived before the connection broke
                self.close(reuse=False)  # a reused connection that had closed: nothing was sent on it
                if not reused:
                    return "closed while idle"
        try:
            return (yield from self.receive())
        except http1.HttpMessageError as error:
            if not isinstance(error, http1.TruncatedMessageError):
                return "no sense"
            return "cut in the answer" if self.parser.message_begun else "cut before an answer"
        except ConnectionLostError:
            return "cut in the answer" if self.head else "cut before an answer"

    def send(self):
        """Writes the request as far as the socket accepts it at once; `writer` sends the rest.

        Raises BodyDiscardedError and ConnectionLostError.
        """
        head, body = self.hit.head, self.hit.request_body.complete_body
        timeout = self.forwards.settings.door.timeout_field.encode()
        fields = http1.end_to_end_fields(
            head.fields, {b"expect", b"cobaltpond-hit", b"cobaltpond-from", timeout}
        )
        remaining_ms = max(1, (self.deadline - self.loop.now()) // 1000)
        fields += [
            (timeout, b"%d" % remaining_ms),  # the instance need not begin the work after that time
            (b"cobaltpond-hit", self.hit.name.encode()),
            (b"cobaltpond-from", self.forwards.sender.encode()),
            (b"cobaltpond-forward", b"%d" % self.number),
        ]
        length = head.get(b"content-length")
        if body is None and length is not None:  # streamed, with a known length
            fields.append((b"content-length", length))
            data = http1.request_head(head.method, head.target, fields)
        else:
            data = http1.request(head.method, head.target, fields, body)
        written = self.connection.write_now(data)
        self.has_written = written > 0
        if body is None or written < len(data):
            self.writer = self.loop.spawn(
                self.send_rest(data[written:], body is None, length is None), "forward-body"
            )
        return
        yield

    def send_rest(self, data, streamed, chunked):
        """Sends the rest of the request; the response may arrive before all of it is sent.

        `streamed`: the body follows from the buffer after `data`. `chunked`: in the chunked transfer coding.
        """
        connection = self.connection  # `close` ends it before this task ends
        try:
            yield from connection.write(data)
            while streamed:
                chunk = yield from self.hit.request_body.read()
                if chunk or chunked:
                    yield from connection.write(http1.encode_chunk(chunk) if chunked else chunk)
                if not chunk:
                    return
        except ConnectionLostError:
            pass  # `receive` reads what has arrived and classifies the failure
        except BodyTruncatedError:
            connection.abort()

    def receive(self):
        """Reads the response up to its end or the commit point; returns the key of FORWARD_RESULTS."""
        stream_above = self.forwards.settings.door.hold
        while not self.response_ended:
            self.apply_events(*(yield from self.read_events()))
            if self.head and not self.response_ended and self.body_size > stream_above:
                result_key = classify_response(self.head, self.forwards.settings.instances.refusals)
                if result_key != "answer" or self.hit.final:
                    self.connection.abort()  # the rest of this response has no use
                    return result_key
                self.streaming = True
                return result_key
        return classify_response(self.head, self.forwards.settings.instances.refusals)

    def read_events(self):
        """Waits for data; returns (events of the parser, whether the connection has ended)."""
        data = yield from self.connection.read()
        return self.parser.feed(data) if data else self.parser.closed(), data == b""

    def answers_other_request(self, head) -> bool:
        """Returns whether a response names another request than this forward's."""
        answered = head.get(ANSWERS_FIELD)
        return answered is not None and answered != f"{self.hit.name}/{self.number}".encode()

    def begin_response(self, head):
        """Takes a response's head, or begins to skip a response to an earlier request.

        Raises HttpMessageError where the instance sends too many of those.
        """
        if not self.answers_other_request(head):
            self.head = head
            head.keep_alive = head.keep_alive and not self.surplus_count
            return
        self.in_surplus_response = True
        self.surplus_count += 1
        self.forwards.surplus_responses += 1
        if self.surplus_count > MAX_SURPLUS_RESPONSES:
            raise http1.HttpMessageError(502, "too many responses to earlier requests")

    def apply_events(self, events, closed):
        """Applies parser events to the response. A connection with surplus data is not reused."""
        for kind, value in events:
            if self.response_ended:  # a second response on the connection is ignored
                self.head.keep_alive = False
                return
            if kind == "head":
                self.begin_response(value)
            elif self.in_surplus_response:
                self.in_surplus_response = kind != "end"
            elif kind == "body":
                self.body.append(value)
                self.body_size += len(value)
            else:
                self.response_ended = True
        if closed and self.head is not None:
            self.head.keep_alive = False

    def stream(self):
        """Streams the committed response, reading only as fast as the client accepts it.

        Returns the key of FORWARD_RESULTS. Where either side breaks off, the client's connection is aborted.
        """
        try:
            yield from self.hit.start_stream(self.head, self.endpoint)
            while True:
                data, self.body = b"".join(self.body), []
                yield from self.hit.send_chunk(data)
                if self.response_ended:
                    break
                self.apply_events(*(yield from self.read_events()))
            yield from self.hit.finish_stream()
            return "answer"
        except (ConnectionLostError, http1.HttpMessageError, DeadlineExceededError) as error:
            self.hit.break_off(str(error))
            return "cut in the answer" if not self.hit.client_gone else "answer"

    def close(self, reuse):
        """Stops the writer and returns or closes the connection; only a complete exchange is reused."""
        if self.writer is not None and not self.writer.done:
            reuse = False
            self.writer.cancel()
        connection, self.connection = self.connection, None
        if connection is None:
            return
        if (
            reuse
            and self.response_ended
            and self.head.keep_alive
            and not self.parser.no_body
            and not connection.closed
        ):
            self.forwards.endpoints.release(self.endpoint, connection)
        else:
            # A reset discards what the instance has not received yet. After an orderly close the kernel goes
            # on retransmitting through a network partition until it heals: a tagged hit then ran seconds
            # after its retry, past the window in which duplicates are dropped, and took effect twice (found
            # by the scenario `bad day`, seed 2).
            self.forwards.endpoints.close(self.endpoint, connection, reset=not self.response_ended)
