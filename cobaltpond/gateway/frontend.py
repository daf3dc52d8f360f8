"""The door for clients: HTTP/1.1 connections, one hit at a time on each, one final answer a hit."""

import json

from cobaltpond.gateway import responses
from cobaltpond.gateway.body_buffer import Tape
from cobaltpond.gateway.customer_shares import Shares
from cobaltpond.gateway.pending_hit import Owed
from cobaltpond.gateway.routes import Routes
from cobaltpond.loop import Connection, Deadline, Event, PeerLost, Sleep, TimedOut, serve
from cobaltpond.wire import http1

IDLE_ENOUGH = 500_000  # microseconds; younger ones may be about to ask again
OWN = b"/-/"  # the gateway's own pages; never forwarded


class Visit:
    """One client's connection."""

    def __init__(self, door: "Door", connection: Connection):
        self.door, self.loop, self.connection = door, door.loop, connection
        self.hit, self.writing, self.active, self.mid_head = None, None, door.loop.now(), False

    def put(self, data: bytes, close: bool) -> None:
        """Sends an answer; what the client does not take at once is sent by a task with a time limit."""
        self.active = self.loop.now()
        try:
            sent = self.connection.write_now(data)
        except PeerLost:
            self.connection.close()
            return
        if sent < len(data):
            self.writing = self.loop.spawn(self.rest(data[sent:], close), "door-rest")
        elif close:
            self.part()

    def rest(self, data: bytes, close: bool):
        try:
            yield from self.write(data)
        except (PeerLost, TimedOut):
            self.connection.abort()
        if close:
            self.part()

    def write(self, data: bytes):
        """Raises TimedOut where the client takes nothing for `door.write_time`: guards against slow
        readers."""
        view = memoryview(data)
        while view:
            with Deadline(self.loop, self.door.sheet.door.write_time):
                piece = view[: http1.PIECE]
                yield from self.connection.write(piece)
                view = view[len(piece) :]
        self.active = self.loop.now()

    def part(self) -> None:
        """Our end of file first; the reader closes once the client has sent its own, or time has passed.
        Closing at once while bytes of the client lie unread would reset the answer away (RFC 9112, 9.6)."""
        self.door.parting[self] = self.loop.now()
        self.connection.handle.finish()


class Hit(Owed):
    """A hit as the door and the forwards see it: what came, and whether the final answer has begun."""

    def __init__(self, number: int, name: str, visit: Visit, head: http1.Head, asked, tape: Tape):
        super().__init__(number, name, visit.door)
        self.visit, self.head, self.asked, self.tape = visit, head, asked, tape
        self.client_gone, self.answered = False, Event()

    def end(self, outcome: str) -> None:
        super().end(outcome)
        self.answered.set()

    @property
    def keep(self) -> bool:
        """May the connection serve another hit after this one?"""
        return self.head.keep_alive and self.tape.ended and not self.visit.door.draining

    def deliver(self, head: http1.Head, body: bytes, place) -> None:
        fields, keep = self.passed(head, place), self.keep
        if self.head.method == "HEAD":
            data = http1.bare(
                head.status, fields + [(b"content-length", n) for n in head.all(b"content-length")], keep
            )
        elif head.status in (204, 304):
            data = http1.bare(head.status, fields, keep)
        else:
            data = http1.response(head.status, fields, body, keep)
        self.end("delivered")
        self.visit.put(data, not keep)

    def passed(self, head, place) -> list:
        return [
            *http1.passed_on(head.fields, {b"endpoint-load-metrics", b"cobaltpond-hit", b"cobaltpond-via"}),
            (b"cobaltpond-hit", self.name.encode()),
            (b"cobaltpond-via", place.row["id"].encode()),
        ]

    def begin(self, head: http1.Head, place):
        """The point of no return: the first byte of a long answer goes out."""
        self.streaming, length = True, head.get(b"content-length")
        self.chunked = length is None and self.head.version == "1.1"
        fields = self.passed(head, place) + ([(b"content-length", length)] if length is not None else [])
        self.stream_keep = self.keep and (length is not None or self.chunked)
        self.end("delivered")
        yield from self.visit.write(http1.bare(head.status, fields, self.stream_keep, self.chunked))

    def more(self, body: bytes):
        if body:
            yield from self.visit.write(http1.chunk(body) if self.chunked else body)

    def finish(self):
        if self.chunked:
            yield from self.visit.write(http1.chunk(b""))
        if not self.stream_keep:
            self.visit.part()
        self.streaming = False
        self.answered.set()

    def break_off(self, why: str) -> None:
        self.outcome, self.streaming = "cut", False
        self.visit.door.count("cut")
        self.visit.door.log.warning("answer cut", hit=self.name, why=why)
        self.visit.connection.abort()
        self.answered.set()

    def bounce(self, retry_after: int) -> None:
        keep, over_share = self.keep, self.door.shares.over(self.asked.customer)
        self.end("bounced")
        self.visit.put(responses.bounced(self.name, retry_after, over_share, keep), not keep)

    def error(self, late: bool) -> None:
        keep = self.keep
        self.end("errored")
        self.visit.put(responses.errored(self.name, late, keep), not keep)


class Door:
    def __init__(self, loop, sheet, host, log, status, members=None):
        """`members`: this gateway's `members.service.Members`, where it knows the others."""
        self.loop, self.sheet, self.host, self.log, self.status = loop, sheet, host, log, status
        self.members, self.limited = (
            members,
            None,
        )  # `gateway.admission_limits.Limited`, where the sheet has limits
        self.routes, self.visits, self.parting = Routes(sheet), {}, {}
        self.draining, self.counts = False, {}
        self.shares = Shares({c.name: c.share for c in sheet.customers}, 2 * sheet.release.exposure_window)
        door = sheet.door
        self.limits = http1.Limits(door.head_limit, door.target_limit, door.field_limit, door.body_limit)

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def ended(self, hit: Hit) -> None:
        self.count(hit.outcome)
        self.host.ended(hit)

    def open(self, listener):
        self.listener = listener
        self.accepting = self.loop.spawn(
            serve(self.loop, listener, self.visit, self.sheet.door.connections, "visit", evict=self.evict),
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
        return self.host.places.evict()

    def visit(self, connection):
        """A task for each connection: reads, and so hears of a client that hangs up."""
        visit, parser = Visit(self, connection), http1.RequestParser(self.limits)
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
                        yield from self.head(visit, value)
                    elif visit.hit is not None and kind == "body":
                        yield from visit.hit.tape.put(value)
                    elif visit.hit is not None:
                        visit.hit.tape.end()
                        if events:  # the next one is here already: answer in order
                            yield from self.settle(visit)
                data = yield from connection.read()
                if not data:
                    return
                visit.active = self.loop.now()
                if visit in self.parting:
                    continue  # read and thrown away until the client closes
                events = parser.feed(data)
                visit.mid_head = parser.in_head and parser.begun
        except http1.BadMessage as trouble:
            self.count("unfit")
            if visit.hit is not None and not visit.hit.final:
                self.host.gone(visit.hit)  # its body makes no sense: this is its final answer
            elif visit.hit is not None:
                yield from self.settle(visit)
            visit.put(responses.unfit(trouble.status, str(trouble)), True)
            yield from self.linger(visit)
        finally:
            self.visits.pop(visit, None)
            self.parting.pop(visit, None)
            hit = visit.hit
            if hit is not None:
                hit.client_gone = True
                if not hit.tape.ended:
                    hit.tape.end(cut=True)
                if not hit.final:
                    self.host.gone(hit)
            if visit.writing is not None:
                visit.writing.cancel()

    def linger(self, visit):
        while (yield from visit.connection.read()):
            pass

    def settle(self, visit):
        """Until the hit of this connection has its whole answer out."""
        hit = visit.hit
        while not hit.final or hit.streaming:
            yield hit.answered
        if visit.writing is not None and not visit.writing.done:
            yield visit.writing

    def head(self, visit, head: http1.Head):
        if visit.hit is not None:
            yield from self.settle(visit)
        if head.target.startswith(OWN):
            self.own(visit, head)
            return
        expect = head.get(b"expect")
        if expect is not None and expect.lower() != b"100-continue":
            raise http1.BadMessage(417, "only 100-continue can be expected")
        asked = self.routes.read(head)
        tape = Tape(self.sheet.door.hold)
        if self.host.full():
            self.count("turned away")
            visit.put(responses.bounced("none", 0, False, False), True)
            return
        if self.limited is not None:
            verdict = self.limited.ask(asked.group, asked.customer, asked.key, asked.again)
            if verdict.by is not None:
                self.count("limited")
                visit.hit, keep = None, head.keep_alive and expect is None and not self.draining
                visit.put(responses.limited(verdict.by, verdict.wait, keep), not keep)
                return
        if expect is not None:
            visit.put(b"HTTP/1.1 100 Continue\r\n\r\n", False)
        host, number = self.host, self.host.next_number()
        visit.hit = Hit(number, f"{host.number}-{host.start:x}-{number}", visit, head, asked, tape)
        self.shares.enter(self.loop.now(), asked.customer)
        host.take(visit.hit, asked.group.name, asked.customer, asked.key, asked.left, asked.cost, asked.again)

    def own(self, visit, head) -> None:
        what = head.target[len(OWN) :]
        visit.hit = None
        if what == b"status":
            body = json.dumps(self.status(), separators=(",", ":")).encode()
            visit.put(http1.response(200, [(b"content-type", b"application/json")], body), False)
        elif what in (b"live", b"ready"):
            good = what == b"live" or not self.draining
            visit.put(http1.response(200 if good else 503, [], b"ok\n" if good else b"stopping\n"), False)
        elif what == b"prefer":
            # for fronts that have a choice. Not `ready`: were all gateways alone, none would be left in
            # service
            alone = self.members is not None and (self.members.alone or self.members.island)
            text = b"stopping\n" if self.draining else b"cut off from other gateways\n" if alone else b"ok\n"
            visit.put(http1.response(503 if alone or self.draining else 200, [], text), False)
        elif what == b"members" and self.members is not None:
            body = json.dumps(self.members.table(), separators=(",", ":")).encode()
            visit.put(http1.response(200, [(b"content-type", b"application/json")], body), False)
        else:
            raise http1.BadMessage(404, "no such page of the gateway")

    def sweep(self):
        """Closes connections that idle, stay in the middle of a head, or do not part: a task without end."""
        door = self.sheet.door
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
                    visit.put(responses.unfit(408, "the head took too long"), True)
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
                visit.part()
        longest = max(g.client_timeout for g in self.sheet.path_groups)
        end = self.loop.now() + longest + self.sheet.door.write_time
        while any(v.hit is not None and (not v.hit.final or v.hit.streaming) for v in self.visits):
            if self.loop.now() > end:
                break
            yield Sleep(10_000)
        end = self.loop.now() + 500_000
        while self.visits and self.loop.now() < end:
            yield Sleep(10_000)
