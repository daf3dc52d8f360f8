"""Carries out one forward: a connection, the hit's bytes out, the answer in, one `ForwardResult` at the end.

The point of no return: an answer is held back until it is whole, or until `door.hold` bytes of it are here.
Until then nothing has gone to the client, and the hit may still be forwarded again by whatever the decisions
say. From the first byte sent to the client on, the hit belongs to this forward: its time-out and the client's
no longer run, it can't be called off, and if the instance breaks off, so does the client's answer (its
connection is closed, which a client sees as an answer cut short, never as a whole one).
"""

from cobaltpond.gateway.body_buffer import BodyBuffer, BodyDiscardedError, BodyTruncatedError
from cobaltpond.gateway.endpoints import EndpointPool, InstanceEndpoint, NoConnectionError
from cobaltpond.gateway.forward_results import FORWARD_RESULTS, classify_response
from cobaltpond.loop import ConnectionLostError, Deadline, DeadlineExceededError
from cobaltpond.wire import http1, orca

ANSWER_HEAD = 64 << 10


class Forwards:
    def __init__(self, loop, places: EndpointPool, sheet, who: str):
        self.loop, self.endpoints, self.settings, self.who = loop, places, sheet, who
        self.observations = dict.fromkeys(FORWARD_RESULTS, 0)

    def run_forward(
        self, hit, number: int, place: InstanceEndpoint, time_out: int, send_within: int | None, tell
    ):
        """A task. `send_within`: not written later than that. `tell(ending, took, closed, report)` is called
        exactly once, also when it is cancelled."""
        sent, seen, report, closed = self.loop.now(), "called off", {}, False
        run = ForwardAttempt(self, hit, number, place, time_out, send_within)
        try:
            try:
                with Deadline(self.loop, time_out):
                    seen = yield from run.first_part()
            except DeadlineExceededError:
                seen = "too late" if run.wrote else "dial too slow"
            took = self.loop.now() - sent
            report = orca.parse_load_report(run.head.get(orca.HEADER)) if run.head else {}
            if seen == "answer":
                closed = True
                if run.streaming:
                    seen = yield from run.stream()
                elif not hit.final:
                    hit.deliver(run.head, b"".join(run.body), place)
        finally:
            run.close(reuse=seen in ("answer", "refusal", "server error"))
            self.observations[seen] += 1
            if seen in ("called off", "too late", "dial too slow") or run.head is None:
                took = self.loop.now() - sent
            tell(FORWARD_RESULTS[seen][0], took, closed or hit.final, report)

    def run_probe(self, place: InstanceEndpoint, tell):
        """A task: one cheap question to an instance. `tell(ending, took, report)`."""
        sent, seen, head = self.loop.now(), "called off", None
        run = ForwardAttempt(
            self, Probe(self.settings.instances.probe_path), 0, place, self.settings.instances.probe_time
        )
        try:
            with Deadline(self.loop, self.settings.instances.probe_time):
                seen = yield from run.first_part()
            head = run.head
        except DeadlineExceededError:
            seen = "too late" if run.wrote else "dial too slow"
        finally:
            run.close(reuse=seen in ("answer", "refusal", "server error"))
            tell(
                FORWARD_RESULTS[seen][0],
                self.loop.now() - sent,
                orca.parse_load_report(head.get(orca.HEADER)) if head else {},
            )


class Probe:
    """Stands where a hit does."""

    def __init__(self, path):
        self.final, self.name, self.request_body = False, "probe", BodyBuffer(1024)
        self.head = http1.MessageHead("GET", path.encode(), fields=[(b"host", b"probe")])
        self.request_body.finish()


class ForwardAttempt:
    """One forward under way."""

    def __init__(self, forwards, hit, number, place, time_out, send_within=None):
        self.forwards, self.loop, self.hit, self.number, self.place = (
            forwards,
            forwards.loop,
            hit,
            number,
            place,
        )
        self.end_at = self.loop.now() + time_out
        self.send_by = None if send_within is None else self.loop.now() + send_within
        self.connection, self.writer, self.wrote = None, None, False
        self.head, self.body, self.size = None, [], 0
        self.ended = self.streaming = self.begun = False
        limits = http1.MessageLimits(head=ANSWER_HEAD, body=forwards.settings.instances.answer_limit)
        self.parser = http1.ResponseParser(limits, hit.head.method == "HEAD")

    def first_part(self):
        """Up to the whole answer or the point of no return; gives a key of SEEN."""
        if self.hit.final:
            return "nothing to send"
        while True:
            try:
                self.hit.request_body.rewind()
                self.connection, kept = yield from self.forwards.endpoints.acquire(self.place)
            except BodyDiscardedError:
                return "nothing to send"
            except NoConnectionError as trouble:
                return str(trouble)
            if self.send_by is not None and self.loop.kernel.now() >= self.send_by:
                self.close(reuse=True)  # nothing was written to it
                return "window over"
            try:
                yield from self.send()
                break
            except BodyDiscardedError:
                return "nothing to send"
            except ConnectionLostError:
                if self.wrote:
                    break  # the answer may have come before the end: read on
                self.close(reuse=False)  # an idle connection that ended: nothing left on it
                if not kept:
                    return "closed while idle"
        try:
            return (yield from self.receive())
        except http1.HttpMessageError as trouble:
            if not isinstance(trouble, http1.TruncatedMessageError):
                return "no sense"
            return "cut in the answer" if self.parser.begun else "cut before an answer"
        except ConnectionLostError:
            return "cut in the answer" if self.head else "cut before an answer"

    def send(self):
        head, whole = self.hit.head, self.hit.request_body.complete_body
        timeout = self.forwards.settings.door.timeout_field.encode()
        fields = http1.end_to_end_fields(
            head.fields, {b"expect", b"cobaltpond-hit", b"cobaltpond-from", timeout}
        )
        left = max(1, (self.end_at - self.loop.now()) // 1000)
        fields += [
            (timeout, b"%d" % left),  # what is past it the instance need not begin
            (b"cobaltpond-hit", self.hit.name.encode()),
            (b"cobaltpond-from", self.forwards.who.encode()),
            (b"cobaltpond-forward", b"%d" % self.number),
        ]
        length = head.get(b"content-length")
        if whole is None and length is not None:  # streamed, but of a stated length
            fields.append((b"content-length", length))
            data = http1.request_head(head.method, head.target, fields)
        else:
            data = http1.request(head.method, head.target, fields, whole)
        sent = self.connection.write_now(data)
        self.wrote = sent > 0
        if whole is None or sent < len(data):
            self.writer = self.loop.spawn(
                self.send_rest(data[sent:], whole is None, length is None), "forward-body"
            )
        return
        yield

    def send_rest(self, data, streamed, chunked):
        """The rest of the hit; an answer may come before all of it is sent."""
        try:
            yield from self.connection.write(data)
            while streamed:
                piece = yield from self.hit.request_body.read()
                if piece or chunked:
                    yield from self.connection.write(http1.encode_chunk(piece) if chunked else piece)
                if not piece:
                    return
        except ConnectionLostError:
            pass  # the reading side finds out what that means
        except BodyTruncatedError:
            self.connection.abort()

    def receive(self):
        hold = self.forwards.settings.door.hold
        while not self.ended:
            self.apply_events(*(yield from self.read_events()))
            if self.head and not self.ended and self.size > hold:
                seen = classify_response(self.head, self.forwards.settings.instances.refusals)
                if seen != "answer" or self.hit.final:
                    self.connection.abort()  # not worth reading to its end
                    return seen
                self.streaming = True
                return seen
        return classify_response(self.head, self.forwards.settings.instances.refusals)

    def read_events(self):
        data = yield from self.connection.read()
        return self.parser.feed(data) if data else self.parser.closed(), data == b""

    def apply_events(self, events, closed):
        for kind, value in events:
            if self.ended:  # an instance that answers twice is heard once
                self.head.keep_alive = False
                return
            if kind == "head":
                self.head = value
            elif kind == "body":
                self.body.append(value)
                self.size += len(value)
            else:
                self.ended = True
        if closed:
            self.head.keep_alive = False

    def stream(self):
        """Beyond the point of no return: reads only as fast as the client takes it."""
        try:
            yield from self.hit.start_stream(self.head, self.place)
            while True:
                body, self.body = b"".join(self.body), []
                yield from self.hit.send_chunk(body)
                if self.ended:
                    break
                self.apply_events(*(yield from self.read_events()))
            yield from self.hit.finish_stream()
            return "answer"
        except (ConnectionLostError, http1.HttpMessageError, DeadlineExceededError) as trouble:
            self.hit.break_off(str(trouble))
            return "cut in the answer" if not self.hit.client_gone else "answer"

    def close(self, reuse):
        if self.writer is not None and not self.writer.done:
            reuse = False
            self.writer.cancel()
        connection, self.connection = self.connection, None
        if connection is None:
            return
        if (
            reuse
            and self.ended
            and self.head.keep_alive
            and not self.parser.no_body
            and not connection.closed
        ):
            self.forwards.endpoints.release(self.place, connection)
        else:
            # With a reset, what the instance has not got yet is never sent to it. An orderly close goes on
            # sending over a cut until it heals: a tagged hit then ran seconds after its repeat, past the time
            # that repeats are dropped, and took effect twice (found by the bad day, seed 2).
            self.forwards.endpoints.close(self.place, connection, reset=not self.ended)
