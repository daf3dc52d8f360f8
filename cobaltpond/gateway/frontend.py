"""Serves clients over HTTP/1.1: one hit at a time per connection, one final answer per hit."""

import json
from collections import deque

from cobaltpond.gateway import responses
from cobaltpond.gateway.body_buffer import BodyBuffer
from cobaltpond.gateway.client_connection import ClientConnection, HttpHit
from cobaltpond.gateway.customer_shares import CustomerShares
from cobaltpond.gateway.routes import Routes
from cobaltpond.loop import NextTurn, Sleep, TurnShare, serve
from cobaltpond.wire import http1

MIN_EVICTION_IDLE_US = 500_000  # a client that has been idle for less may be about to send its next request
MAX_EVENTS_PER_TURN = 32  # of one connection that are handled in one turn of the loop
OWN_PAGES = b"/-/"  # path prefix of the gateway's own pages, which are never forwarded


class Frontend:
    """Accepts the clients' connections and turns their requests into hits.

    `host`: the `GatewayDecisionHost`. `status()`: the content of `/-/status`. `members`: this gateway's
    `members.service.Members`, None without membership. `half_closed`: connections that wait for the client's
    close, with the time since when.
    """

    def __init__(self, loop, settings, host, log, status, members=None):
        self.loop, self.settings, self.host, self.log, self.status = loop, settings, host, log, status
        self.members = members
        # `gateway.admission_limits.AdmissionLimits`, None where the settings have no limits
        self.admission_limits = None
        self.routes, self.clients, self.half_closed = Routes(settings), {}, {}
        self.draining, self.counts = False, {}
        self.shares = CustomerShares(
            {c.name: c.share for c in settings.customers}, 2 * settings.release.exposure_window
        )
        section = settings.door
        self.limits = http1.MessageLimits(
            section.head_limit, section.target_limit, section.field_limit, section.body_limit
        )

    def increment(self, name: str) -> None:
        """Adds one to a counter of `/-/status`."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def hit_ended(self, hit: HttpHit) -> None:
        """Counts the outcome of a hit that has become final and reports it to the host."""
        self.increment(hit.outcome)
        self.host.hit_ended(hit)

    def start_accepting(self, listener):
        """Starts to accept connections from a listening socket."""
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
        """Frees a file handle for a client that waits in the backlog; returns False where none can be freed.

        Closes the first idle client connection in the order in which they were accepted, if it has been idle
        for more than MIN_EVICTION_IDLE_US, else an idle connection to an instance. Without this, hits would
        wait in the backlog past their client timeout.
        """
        idle = [
            client
            for client in self.clients
            if client not in self.half_closed
            and not client.reading_head
            and not client.connection.closed
            and (client.hit is None or client.hit.final and not client.hit.streaming)
            and (client.writer is None or client.writer.done)
        ]
        if idle and self.loop.now() - idle[0].last_active > MIN_EVICTION_IDLE_US:
            self.increment("evicted")
            idle[0].connection.close()  # nothing from it is unread, so it sees an end of file and no reset
            return True
        return self.host.endpoints.evict()

    def serve_client(self, connection):
        """Serves one connection; the body of a task.

        It reads all the time, also while a hit is open, and so notices a client that disconnects.
        """
        client, parser = ClientConnection(self, connection), http1.RequestParser(self.limits)
        self.clients[client] = True
        events, turn_share = deque(), TurnShare(self.loop, MAX_EVENTS_PER_TURN)
        try:
            while True:
                while events:
                    if client in self.half_closed:
                        events.clear()
                        break
                    if client.has_left:
                        return
                    if turn_share.is_used_up:
                        yield NextTurn()
                    turn_share.count()
                    kind, value = events.popleft()
                    if kind == "head":
                        yield from self.handle_head(client, value)
                    elif client.hit is not None and kind == "body":
                        yield from client.hit.request_body.write(value)
                    elif client.hit is not None:
                        client.hit.request_body.finish()
                        if events:  # the next request is here already: answer in order
                            yield from self.wait_for_answer(client)
                data = yield from connection.read()
                if not data:
                    return
                client.last_active = self.loop.now()
                if client in self.half_closed:
                    continue  # discarded until the client closes
                events.extend(parser.feed(data))
                client.reading_head = parser.in_head and parser.message_begun
        except http1.HttpMessageError as error:
            self.increment("unfit")
            if client.hit is not None and not client.hit.final:
                # its body is malformed: the error response below is its final answer
                self.host.abandon_hit(client.hit)
            elif client.hit is not None:
                yield from self.wait_for_answer(client)
            client.send_data(responses.invalid_request_response(error.status, str(error)), True)
            yield from self.linger(client)
        finally:
            self.clients.pop(client, None)
            self.half_closed.pop(client, None)
            hit = client.hit
            if hit is not None:
                hit.client_gone = True
                if not hit.request_body.ended:
                    hit.request_body.finish(truncated=True)
                if not hit.final:
                    self.host.abandon_hit(hit)
            if client.writer is not None:
                client.writer.cancel()

    def linger(self, client):
        """Reads and discards until the client closes."""
        while (yield from client.connection.read()):
            pass

    def wait_for_answer(self, client):
        """Waits until the answer of the connection's hit is sent completely."""
        hit = client.hit
        while not hit.final or hit.streaming:
            yield hit.answered
        yield from self.wait_until_written(client)

    def wait_until_written(self, client):
        """Waits until the client has been sent everything: one that does not read is not served further."""
        if client.writer is not None and not client.writer.done:
            yield client.writer

    def handle_head(self, client, head: http1.MessageHead):
        """Serves an own page, rejects the request, or makes it a hit.

        Raises HttpMessageError on an invalid head.
        """
        if client.hit is not None:
            yield from self.wait_for_answer(client)
        yield from self.wait_until_written(client)
        if client.has_left:
            return
        if head.target.startswith(OWN_PAGES):
            self.serve_own_page(client, head)
            return
        expect = head.get(b"expect")
        if expect is not None and expect.lower() != b"100-continue":
            raise http1.HttpMessageError(417, "only 100-continue can be expected")
        route = self.routes.read(head)
        request_body = BodyBuffer(self.settings.door.hold)
        if self.host.is_full():
            self.increment("turned away")
            client.send_data(responses.bounce_response("none", 0, False, False), True)
            return
        if self.admission_limits is not None:
            verdict = self.admission_limits.check(route.group, route.customer, route.key, route.is_retry)
            if verdict.rejected_by is not None:
                self.increment("limited")
                client.hit, keep_alive = None, head.keep_alive and expect is None and not self.draining
                client.send_data(
                    responses.over_limit_response(verdict.rejected_by, verdict.wait_us, keep_alive),
                    not keep_alive,
                )
                return
        if expect is not None:
            client.send_data(b"HTTP/1.1 100 Continue\r\n\r\n", False)
        host, number = self.host, self.host.next_number()
        client.hit = HttpHit(
            number, f"{host.number}-{host.start:x}-{number}", client, head, route, request_body
        )
        self.shares.record_hit(self.loop.now(), route.customer)
        host.accept_hit(
            client.hit,
            route.group.name,
            route.customer,
            route.key,
            route.time_left,
            route.cost,
            route.is_retry,
        )

    def serve_own_page(self, client, head) -> None:
        """Answers a request for a page under `/-/`. Raises HttpMessageError (404) for an unknown page."""
        page = head.target[len(OWN_PAGES) :]
        client.hit = None
        if page == b"status":
            body = json.dumps(self.status(), separators=(",", ":")).encode()
            client.send_data(http1.response(200, [(b"content-type", b"application/json")], body), False)
        elif page in (b"live", b"ready"):
            healthy = page == b"live" or not self.draining
            client.send_data(
                http1.response(200 if healthy else 503, [], b"ok\n" if healthy else b"stopping\n"), False
            )
        elif page == b"prefer":
            # For load balancers that can choose among gateways. `ready` does not depend on this: if all
            # gateways were isolated, none would stay in service.
            isolated = self.members is not None and (
                self.members.is_isolated or self.members.is_on_minority_side
            )
            text = (
                b"stopping\n" if self.draining else b"cut off from other gateways\n" if isolated else b"ok\n"
            )
            client.send_data(http1.response(503 if isolated or self.draining else 200, [], text), False)
        elif page == b"members" and self.members is not None:
            body = json.dumps(self.members.table(), separators=(",", ":")).encode()
            client.send_data(http1.response(200, [(b"content-type", b"application/json")], body), False)
        else:
            raise http1.HttpMessageError(404, "no such page of the gateway")

    def sweep(self):
        """Closes connections that are idle, slow to send a head, or half-closed for too long.

        Runs until cancelled.
        """
        section = self.settings.door
        while True:
            yield Sleep(min(section.idle_time, section.head_time) // 4)
            now = self.loop.now()
            for client in list(self.clients):
                idle_for = now - client.last_active
                has_no_open_hit = client.hit is None or client.hit.final and not client.hit.streaming
                if client in self.half_closed:
                    if now - self.half_closed[client] > section.head_time:
                        client.connection.abort()
                elif has_no_open_hit and client.reading_head and idle_for > section.head_time:
                    client.send_data(responses.invalid_request_response(408, "the head took too long"), True)
                elif has_no_open_hit and idle_for > section.idle_time:
                    client.connection.close()

    def drain(self, linger=300_000):
        """Stops accepting, lets every open hit be answered, then closes every connection.

        `linger`: microseconds in which requests that are already on their way are still served.
        """
        self.draining = True
        self.accepting.cancel()
        yield Sleep(linger)  # requests that are already on their way still get their answers
        for client in list(self.clients):
            if client not in self.half_closed and (
                client.hit is None or client.hit.final and not client.hit.streaming
            ):
                client.half_close()
        longest = max(g.client_timeout for g in self.settings.path_groups)
        end = self.loop.now() + longest + self.settings.door.write_time
        while any(v.hit is not None and (not v.hit.final or v.hit.streaming) for v in self.clients):
            if self.loop.now() > end:
                break
            yield Sleep(10_000)
        end = self.loop.now() + 500_000
        while self.clients and self.loop.now() < end:
            yield Sleep(10_000)
