"""The door for clients: HTTP/1.1 connections, one hit at a time on each, one final answer a hit."""

import json

from cobaltpond.gateway import responses
from cobaltpond.gateway.body_buffer import BodyBuffer
from cobaltpond.gateway.customer_shares import CustomerShares
from cobaltpond.gateway.pending_hit import PendingHit
from cobaltpond.gateway.routes import Routes
from cobaltpond.loop import (
    Connection,
    ConnectionLostError,
    Deadline,
    DeadlineExceededError,
    Event,
    Sleep,
    serve,
)
from cobaltpond.wire import http1

IDLE_ENOUGH = 500_000  # microseconds; younger ones may be about to ask again
OWN = b"/-/"  # the gateway's own pages; never forwarded


class ClientConnection:
    """One client's connection."""

    def __init__(self, door: "Frontend", connection: Connection):
        self.frontend, self.loop, self.connection = door, door.loop, connection
        self.hit, self.writing, self.active, self.mid_head = None, None, door.loop.now(), False

    def send_data(self, data: bytes, close: bool) -> None:
        """Sends an answer; what the client does not take at once is sent by a task with a time limit."""
        self.active = self.loop.now()
        try:
            sent = self.connection.write_now(data)
        except ConnectionLostError:
            self.connection.close()
            return
        if sent < len(data):
            self.writing = self.loop.spawn(self.write_rest(data[sent:], close), "door-rest")
        elif close:
            self.half_close()

    def write_rest(self, data: bytes, close: bool):
        try:
            yield from self.write(data)
        except (ConnectionLostError, DeadlineExceededError):
            self.connection.abort()
        if close:
            self.half_close()

    def write(self, data: bytes):
        """Raises DeadlineExceededError where the client takes nothing for `door.write_time`: guards against
        slow readers."""
        view = memoryview(data)
        while view:
            with Deadline(self.loop, self.frontend.settings.door.write_time):
                piece = view[: http1.PIECE]
                yield from self.connection.write(piece)
                view = view[len(piece) :]
        self.active = self.loop.now()

    def half_close(self) -> None:
        """Our end of file first; the reader closes once the client has sent its own, or time has passed.
        Closing at once while bytes of the client lie unread would reset the answer away (RFC 9112, 9.6)."""
        self.frontend.parting[self] = self.loop.now()
        self.connection.handle.finish()


class HttpHit(PendingHit):
    """A hit as the door and the forwards see it: what came, and whether the final answer has begun."""

    def __init__(
        self,
        number: int,
        name: str,
        visit: ClientConnection,
        head: http1.MessageHead,
        asked,
        tape: BodyBuffer,
    ):
        super().__init__(number, name, visit.frontend)
        self.visit, self.head, self.asked, self.request_body = visit, head, asked, tape
        self.client_gone, self.answered = False, Event()

    def finalize(self, outcome: str) -> None:
        super().finalize(outcome)
        self.answered.set()

    @property
    def may_keep_connection(self) -> bool:
        """May the connection serve another hit after this one?"""
        return self.head.keep_alive and self.request_body.ended and not self.visit.frontend.draining

    def deliver(self, head: http1.MessageHead, body: bytes, place) -> None:
        fields, keep = self.passed(head, place), self.may_keep_connection
        if self.head.method == "HEAD":
            data = http1.response_head(
                head.status, fields + [(b"content-length", n) for n in head.all(b"content-length")], keep
            )
        elif head.status in (204, 304):
            data = http1.response_head(head.status, fields, keep)
        else:
            data = http1.response(head.status, fields, body, keep)
        self.finalize("delivered")
        self.visit.send_data(data, not keep)

    def passed(self, head, place) -> list:
        return [
            *http1.end_to_end_fields(
                head.fields, {b"endpoint-load-metrics", b"cobaltpond-hit", b"cobaltpond-via"}
            ),
            (b"cobaltpond-hit", self.name.encode()),
            (b"cobaltpond-via", place.row["id"].encode()),
        ]

    def start_stream(self, head: http1.MessageHead, place):
        """The point of no return: the first byte of a long answer goes out."""
        self.streaming, length = True, head.get(b"content-length")
        self.chunked = length is None and self.head.version == "1.1"
        fields = self.passed(head, place) + ([(b"content-length", length)] if length is not None else [])
        self.stream_keep = self.may_keep_connection and (length is not None or self.chunked)
        self.finalize("delivered")
        yield from self.visit.write(http1.response_head(head.status, fields, self.stream_keep, self.chunked))

    def send_chunk(self, body: bytes):
        if body:
            yield from self.visit.write(http1.encode_chunk(body) if self.chunked else body)

    def finish_stream(self):
        if self.chunked:
            yield from self.visit.write(http1.encode_chunk(b""))
        if not self.stream_keep:
            self.visit.half_close()
        self.streaming = False
        self.answered.set()

    def break_off(self, why: str) -> None:
        self.outcome, self.streaming = "cut", False
        self.visit.frontend.count("cut")
        self.visit.frontend.log.warning("answer cut", hit=self.name, why=why)
        self.visit.connection.abort()
        self.answered.set()

    def reject(self, retry_after: int) -> None:
        keep, over_share = self.may_keep_connection, self.frontend.shares.is_over_share(self.asked.customer)
        self.finalize("bounced")
        self.visit.send_data(responses.bounced(self.name, retry_after, over_share, keep), not keep)

    def fail(self, late: bool) -> None:
        keep = self.may_keep_connection
        self.finalize("errored")
        self.visit.send_data(responses.errored(self.name, late, keep), not keep)


class Frontend:
    def __init__(self, loop, sheet, host, log, status, members=None):
        """`members`: this gateway's `members.service.Members`, where it knows the others."""
        self.loop, self.settings, self.host, self.log, self.status = loop, sheet, host, log, status
        self.members, self.admission_limits = (
            members,
            None,
        )  # `gateway.admission_limits.AdmissionLimits`, where the sheet has limits
        self.routes, self.visits, self.parting = Routes(sheet), {}, {}
        self.draining, self.counts = False, {}
        self.shares = CustomerShares(
            {c.name: c.share for c in sheet.customers}, 2 * sheet.release.exposure_window
        )
        door = sheet.door
        self.limits = http1.MessageLimits(
            door.head_limit, door.target_limit, door.field_limit, door.body_limit
        )

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def hit_ended(self, hit: HttpHit) -> None:
        self.count(hit.outcome)
        self.host.hit_ended(hit)

    def start_accepting(self, listener):
        self.listener = listener
        self.accepting = self.loop.spawn(
            serve(
                self.loop,
                listener,
                self.serve_client,
                self.settings.door.connections,
                "visit",
                evict=self.evict,
            ),
            "door",
        )
        self.sweeper = self.loop.spawn(self.sweep(), "door-sweep")

    def evict(self) -> bool:
        """No handle left for who is at the door: the client that has been idle the longest goes, else a kept
        connection to an instance. Guards against hits that wait unseen in the backlog past their client
        timeout."""
        idle = [
            v
            for v in self.visits
            if v not in self.parting
            and not v.mid_head
            and not v.connection.closed
            and (v.hit is None or v.hit.final and not v.hit.streaming)
            and (v.writing is None or v.writing.done)
        ]
        if idle and self.loop.now() - idle[0].active > IDLE_ENOUGH:
            self.count("evicted")
            idle[0].connection.close()  # nothing of it is unread: it sees an end of file
            return True
        return self.host.endpoints.evict()

    def serve_client(self, connection):
        """A task for each connection: reads, and so hears of a client that hangs up."""
        visit, parser = ClientConnection(self, connection), http1.RequestParser(self.limits)
        self.visits[visit] = True
        events = []
        try:
            while True:
                while events:
                    if visit in self.parting:
                        events = []
                        break
                    kind, value = events.pop(0)
                    if kind == "head":
                        yield from self.handle_head(visit, value)
                    elif visit.hit is not None and kind == "body":
                        yield from visit.hit.request_body.write(value)
                    elif visit.hit is not None:
                        visit.hit.request_body.finish()
                        if events:  # the next one is here already: answer in order
                            yield from self.wait_for_answer(visit)
                data = yield from connection.read()
                if not data:
                    return
                visit.active = self.loop.now()
                if visit in self.parting:
                    continue  # read and thrown away until the client closes
                events = parser.feed(data)
                visit.mid_head = parser.in_head and parser.begun
        except http1.HttpMessageError as trouble:
            self.count("unfit")
            if visit.hit is not None and not visit.hit.final:
                self.host.abandon_hit(visit.hit)  # its body makes no sense: this is its final answer
            elif visit.hit is not None:
                yield from self.wait_for_answer(visit)
            visit.send_data(responses.unfit(trouble.status, str(trouble)), True)
            yield from self.linger(visit)
        finally:
            self.visits.pop(visit, None)
            self.parting.pop(visit, None)
            hit = visit.hit
            if hit is not None:
                hit.client_gone = True
                if not hit.request_body.ended:
                    hit.request_body.finish(cut=True)
                if not hit.final:
                    self.host.abandon_hit(hit)
            if visit.writing is not None:
                visit.writing.cancel()

    def linger(self, visit):
        while (yield from visit.connection.read()):
            pass

    def wait_for_answer(self, visit):
        """Until the hit of this connection has its whole answer out."""
        hit = visit.hit
        while not hit.final or hit.streaming:
            yield hit.answered
        if visit.writing is not None and not visit.writing.done:
            yield visit.writing

    def handle_head(self, visit, head: http1.MessageHead):
        if visit.hit is not None:
            yield from self.wait_for_answer(visit)
        if head.target.startswith(OWN):
            self.serve_own_page(visit, head)
            return
        expect = head.get(b"expect")
        if expect is not None and expect.lower() != b"100-continue":
            raise http1.HttpMessageError(417, "only 100-continue can be expected")
        asked = self.routes.read(head)
        tape = BodyBuffer(self.settings.door.hold)
        if self.host.is_full():
            self.count("turned away")
            visit.send_data(responses.bounced("none", 0, False, False), True)
            return
        if self.admission_limits is not None:
            verdict = self.admission_limits.check(asked.group, asked.customer, asked.key, asked.again)
            if verdict.by is not None:
                self.count("limited")
                visit.hit, keep = None, head.keep_alive and expect is None and not self.draining
                visit.send_data(responses.limited(verdict.by, verdict.wait, keep), not keep)
                return
        if expect is not None:
            visit.send_data(b"HTTP/1.1 100 Continue\r\n\r\n", False)
        host, number = self.host, self.host.next_number()
        visit.hit = HttpHit(number, f"{host.number}-{host.start:x}-{number}", visit, head, asked, tape)
        self.shares.record_hit(self.loop.now(), asked.customer)
        host.accept_hit(
            visit.hit, asked.group.name, asked.customer, asked.key, asked.left, asked.cost, asked.again
        )

    def serve_own_page(self, visit, head) -> None:
        what = head.target[len(OWN) :]
        visit.hit = None
        if what == b"status":
            body = json.dumps(self.status(), separators=(",", ":")).encode()
            visit.send_data(http1.response(200, [(b"content-type", b"application/json")], body), False)
        elif what in (b"live", b"ready"):
            good = what == b"live" or not self.draining
            visit.send_data(
                http1.response(200 if good else 503, [], b"ok\n" if good else b"stopping\n"), False
            )
        elif what == b"prefer":
            # for fronts that have a choice. Not `ready`: were all gateways alone, none would be left in
            # service
            alone = self.members is not None and (self.members.is_alone or self.members.is_island)
            text = b"stopping\n" if self.draining else b"cut off from other gateways\n" if alone else b"ok\n"
            visit.send_data(http1.response(503 if alone or self.draining else 200, [], text), False)
        elif what == b"members" and self.members is not None:
            body = json.dumps(self.members.table(), separators=(",", ":")).encode()
            visit.send_data(http1.response(200, [(b"content-type", b"application/json")], body), False)
        else:
            raise http1.HttpMessageError(404, "no such page of the gateway")

    def sweep(self):
        """Closes connections that idle, stay in the middle of a head, or do not part: a task without end."""
        door = self.settings.door
        while True:
            yield Sleep(min(door.idle_time, door.head_time) // 4)
            now = self.loop.now()
            for visit in list(self.visits):
                since = now - visit.active
                waiting = visit.hit is None or visit.hit.final and not visit.hit.streaming
                if visit in self.parting:
                    if now - self.parting[visit] > door.head_time:
                        visit.connection.abort()
                elif waiting and visit.mid_head and since > door.head_time:
                    visit.send_data(responses.unfit(408, "the head took too long"), True)
                elif waiting and since > door.idle_time:
                    visit.connection.close()

    def drain(self, linger=300_000):
        """Takes no new connections; every hit under way is answered, every connection then closed."""
        self.draining = True
        self.accepting.cancel()
        yield Sleep(linger)  # what is on its way still gets its answer
        for visit in list(self.visits):
            if visit not in self.parting and (
                visit.hit is None or visit.hit.final and not visit.hit.streaming
            ):
                visit.half_close()
        longest = max(g.client_timeout for g in self.settings.path_groups)
        end = self.loop.now() + longest + self.settings.door.write_time
        while any(v.hit is not None and (not v.hit.final or v.hit.streaming) for v in self.visits):
            if self.loop.now() > end:
                break
            yield Sleep(10_000)
        end = self.loop.now() + 500_000
        while self.visits and self.loop.now() < end:
            yield Sleep(10_000)
