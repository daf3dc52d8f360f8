"""Carries out one forward: a connection, the hit's bytes out, the answer in, one `Ending` at the end.

The point of no return: an answer is held back until it is whole, or until `door.hold` bytes of it are here.
Until then nothing has gone to the client, and the hit may still be forwarded again by whatever the decisions
say. From the first byte sent to the client on, the hit belongs to this forward: its time-out and the client's
no longer run, it can't be called off, and if the instance breaks off, so does the client's answer (its
connection is closed, which a client sees as an answer cut short, never as a whole one).
"""

from cobaltpond.gateway.body_buffer import CutShort, Tape, Torn
from cobaltpond.gateway.endpoints import NoConnection, Place, Places
from cobaltpond.gateway.forward_results import SEEN, of_answer
from cobaltpond.loop import Deadline, PeerLost, TimedOut
from cobaltpond.wire import http1, orca

ANSWER_HEAD = 64 << 10


class Forwards:
    def __init__(self, loop, places: Places, sheet, who: str):
        self.loop, self.places, self.sheet, self.who = loop, places, sheet, who
        self.seen = dict.fromkeys(SEEN, 0)

    def carry(self, hit, number: int, place: Place, time_out: int, send_within: int | None, tell):
        """A task. `send_within`: not written later than that. `tell(ending, took, closed, report)` is called
        exactly once, also when it is cancelled."""
        sent, seen, report, closed = self.loop.now(), "called off", {}, False
        run = Run(self, hit, number, place, time_out, send_within)
        try:
            try:
                with Deadline(self.loop, time_out):
                    seen = yield from run.first_part()
            except TimedOut:
                seen = "too late" if run.wrote else "dial too slow"
            took = self.loop.now() - sent
            report = orca.read(run.head.get(orca.HEADER)) if run.head else {}
            if seen == "answer":
                closed = True
                if run.streaming:
                    seen = yield from run.stream()
                elif not hit.final:
                    hit.deliver(run.head, b"".join(run.body), place)
        finally:
            run.close(reuse=seen in ("answer", "refusal", "server error"))
            self.seen[seen] += 1
            if seen in ("called off", "too late", "dial too slow") or run.head is None:
                took = self.loop.now() - sent
            tell(SEEN[seen][0], took, closed or hit.final, report)

    def probe(self, place: Place, tell):
        """A task: one cheap question to an instance. `tell(ending, took, report)`."""
        sent, seen, head = self.loop.now(), "called off", None
        run = Run(self, Probe(self.sheet.instances.probe_path), 0, place, self.sheet.instances.probe_time)
        try:
            with Deadline(self.loop, self.sheet.instances.probe_time):
                seen = yield from run.first_part()
            head = run.head
        except TimedOut:
            seen = "too late" if run.wrote else "dial too slow"
        finally:
            run.close(reuse=seen in ("answer", "refusal", "server error"))
            tell(SEEN[seen][0], self.loop.now() - sent, orca.read(head.get(orca.HEADER)) if head else {})


class Probe:
    """Stands where a hit does."""

    def __init__(self, path):
        self.final, self.name, self.tape = False, "probe", Tape(1024)
        self.head = http1.Head("GET", path.encode(), fields=[(b"host", b"probe")])
        self.tape.end()


class Run:
    """One forward under way."""

    def __init__(self, forwards, hit, number, place, time_out, send_within=None):
        self.of, self.loop, self.hit, self.number, self.place = forwards, forwards.loop, hit, number, place
        self.end_at = self.loop.now() + time_out
        self.send_by = None if send_within is None else self.loop.now() + send_within
        self.connection, self.writer, self.wrote = None, None, False
        self.head, self.body, self.size = None, [], 0
        self.ended = self.streaming = self.begun = False
        limits = http1.Limits(head=ANSWER_HEAD, body=forwards.sheet.instances.answer_limit)
        self.parser = http1.ResponseParser(limits, hit.head.method == "HEAD")

    def first_part(self):
        """Up to the whole answer or the point of no return; gives a key of SEEN."""
        if self.hit.final:
            return "nothing to send"
        while True:
            try:
                self.hit.tape.open()
                self.connection, kept = yield from self.of.places.take(self.place)
            except Torn:
                return "nothing to send"
            except NoConnection as trouble:
                return str(trouble)
            if self.send_by is not None and self.loop.kernel.now() >= self.send_by:
                self.close(reuse=True)  # nothing was written to it
                return "window over"
            try:
                yield from self.send()
                break
            except Torn:
                return "nothing to send"
            except PeerLost:
                if self.wrote:
                    break  # the answer may have come before the end: read on
                self.close(reuse=False)  # an idle connection that ended: nothing left on it
                if not kept:
                    return "closed while idle"
        try:
            return (yield from self.receive())
        except http1.BadMessage as trouble:
            if not isinstance(trouble, http1.Cut):
                return "no sense"
            return "cut in the answer" if self.parser.begun else "cut before an answer"
        except PeerLost:
            return "cut in the answer" if self.head else "cut before an answer"

    def send(self):
        head, whole = self.hit.head, self.hit.tape.whole
        timeout = self.of.sheet.door.timeout_field.encode()
        fields = http1.passed_on(head.fields, {b"expect", b"cobaltpond-hit", b"cobaltpond-from", timeout})
        left = max(1, (self.end_at - self.loop.now()) // 1000)
        fields += [
            (timeout, b"%d" % left),  # what is past it the instance need not begin
            (b"cobaltpond-hit", self.hit.name.encode()),
            (b"cobaltpond-from", self.of.who.encode()),
            (b"cobaltpond-forward", b"%d" % self.number),
        ]
        length = head.get(b"content-length")
        if whole is None and length is not None:  # streamed, but of a stated length
            fields.append((b"content-length", length))
            data = http1.start(head.method, head.target, fields)
        else:
            data = http1.request(head.method, head.target, fields, whole)
        sent = self.connection.write_now(data)
        self.wrote = sent > 0
        if whole is None or sent < len(data):
            self.writer = self.loop.spawn(
                self.rest(data[sent:], whole is None, length is None), "forward-body"
            )
        return
        yield

    def rest(self, data, streamed, chunked):
        """The rest of the hit; an answer may come before all of it is sent."""
        try:
            yield from self.connection.write(data)
            while streamed:
                piece = yield from self.hit.tape.read()
                if piece or chunked:
                    yield from self.connection.write(http1.chunk(piece) if chunked else piece)
                if not piece:
                    return
        except PeerLost:
            pass  # the reading side finds out what that means
        except CutShort:
            self.connection.abort()

    def receive(self):
        hold = self.of.sheet.door.hold
        while not self.ended:
            self.take(*(yield from self.some()))
            if self.head and not self.ended and self.size > hold:
                seen = of_answer(self.head, self.of.sheet.instances.refusals)
                if seen != "answer" or self.hit.final:
                    self.connection.abort()  # not worth reading to its end
                    return seen
                self.streaming = True
                return seen
        return of_answer(self.head, self.of.sheet.instances.refusals)

    def some(self):
        data = yield from self.connection.read()
        return self.parser.feed(data) if data else self.parser.closed(), data == b""

    def take(self, events, closed):
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
            yield from self.hit.begin(self.head, self.place)
            while True:
                body, self.body = b"".join(self.body), []
                yield from self.hit.more(body)
                if self.ended:
                    break
                self.take(*(yield from self.some()))
            yield from self.hit.finish()
            return "answer"
        except (PeerLost, http1.BadMessage, TimedOut) as trouble:
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
            self.of.places.give_back(self.place, connection)
        else:
            # With a reset, what the instance has not got yet is never sent to it. An orderly close goes on
            # sending over a cut until it heals: a tagged hit then ran seconds after its repeat, past the time
            # that repeats are dropped, and took effect twice (found by the bad day, seed 2).
            self.of.places.close(self.place, connection, reset=not self.ended)
