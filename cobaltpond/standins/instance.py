"""A simulated instance on a socket: HTTP/1.1, load reports, dropped repeats and injected faults."""

from cobaltpond.loop import Connection, ConnectionLostError, HandlesExhaustedError, Readable, Sleep
from cobaltpond.standins.instance_model import Job
from cobaltpond.wire import http1, orca

LIMITS = http1.MessageLimits(body=64 << 20)
REPEAT_WORK_SHARE = 0.1  # share of its work that a dropped repeat costs


class IdempotencyKeys:
    """The idempotency keys of tagged hits that a group of instances shares.

    `first_arrivals` maps a key to its first arrival; `completed` has the keys whose effect is applied.
    """

    def __init__(self):
        self.first_arrivals, self.completed = {}, set()

    def is_completed_repeat(self, now: int, key: str, window: int) -> bool:
        """Whether this is a repeat within the window, in microseconds, whose effect has been applied."""
        first = self.first_arrivals.setdefault(key, now)
        if now - first > window:
            self.first_arrivals[key] = now
            self.completed.discard(key)
            return False
        return key in self.completed


class Instance:
    """One simulated instance.

    `owner` has the loop, the record writer, the random source, the shared idempotency keys and the faults
    that affect more than one instance.
    """

    def __init__(self, owner, id, place, zone, cell, model, listener):
        self.owner = owner
        self.loop = owner.loop
        self.id = id
        self.place = place
        self.zone = zone
        self.cell = cell
        self.model, self.listener, self.start = model, listener, model.started
        self.silent, self.max_connections, self.handshake_delay, self.report_factor = False, 100_000, 0, 1.0
        self.connections, self.timer, self.is_ended = {}, None, False
        self.shown_load, self.next_load, self.shown_at = {}, {}, -(1 << 60)
        self.task = self.loop.spawn(self.accept(), f"{id}-accept")

    def accept(self):
        """Accepts connections up to the limit while the instance is not silent."""
        waited = True
        try:
            while True:
                if self.silent or len(self.connections) >= self.max_connections:
                    yield Sleep(20_000)  # the backlog fills, then new connections hang
                    waited = False
                    continue
                try:
                    handle = self.listener.accept()
                except HandlesExhaustedError:
                    handle = None
                    yield Sleep(50_000)
                if handle is None:
                    yield Readable(self.listener)
                    waited = True
                    continue
                connection = Connection(self.loop, handle)
                self.connections[connection] = True
                since = self.loop.polled_before if waited else 0
                self.loop.spawn(self.serve(connection, since), f"{self.id}-connection")
        finally:
            self.listener.close()

    def stop_process(self):
        """Ends as a process does: every connection is reset."""
        self.is_ended = True
        self.task.cancel()
        for connection in list(self.connections):
            connection.abort()

    def is_blocked(self, zone) -> bool:
        """Whether no traffic passes between this instance and a zone."""
        return self.silent or self.owner.zone_cut(zone, self.zone)

    def serve(self, connection, since):
        """Serves one connection; nothing can have arrived on it before `since` (0 where that is unknown)."""
        parser, head, body, job, zone = http1.RequestParser(LIMITS), None, 0, [None], self.zone
        read_at = self.loop.now()
        if self.handshake_delay:
            yield Sleep(self.handshake_delay)
            since = 0
        try:
            while True:
                data = connection.read_now()
                if data is None:
                    data = yield from connection.read()
                    since = self.loop.polled_before
                read_at = self.loop.kernel.now()
                if self.is_blocked(zone):
                    while self.is_blocked(zone) and not self.is_ended:
                        yield Sleep(10_000)
                    since = 0
                    if connection.read_now() is not None:
                        return  # reset meanwhile; over a real partition the data would not have arrived
                if not data:
                    return
                for kind, value in parser.feed(data):
                    if kind == "head":
                        head, body = value, 0
                        zone = (head.get(b"cobaltpond-from") or b"").decode().partition("/")[0]
                        if self.is_blocked(zone):
                            while self.is_blocked(zone) and not self.is_ended:
                                yield Sleep(10_000)
                            since = 0
                            if connection.read_now() is not None:
                                return
                    elif kind == "body":
                        body += len(value)
                    elif head.target.startswith(b"/-/"):
                        connection.write_now(http1.response(200, [self.report()], b"ok\n"))
                    else:
                        self.start_job(connection, head, job, zone, since)
                since = read_at
        except (ConnectionLostError, http1.HttpMessageError):
            pass
        finally:
            if job[0] is not None:
                self.model.advance(self.loop.now())
            if job[0] is not None:  # its work may have ended just now
                self.model.cancel(job[0])
                self.owner.record("left", instance=self.id, **job[0].request_fields | {"from": read_at})
                self.schedule()
            self.connections.pop(connection, None)
            connection.close()

    # --- hits -----------------------------------------------------------------------------------------------

    def record_event(self, kind, job, **more):
        """Records an event of a job with the fields of its request."""
        self.owner.record(
            kind, instance=self.id, start=self.start, build=self.model.build, **job.request_fields, **more
        )

    def start_job(self, connection, head, job_slot, zone, since):
        """Gives a request to the model, or rejects it with 429 where the instance is full."""

        def text(name):
            value = head.get(name)
            return value.decode("latin-1") if value is not None else None

        now, group_kind = self.loop.now(), text(b"standin-kind") or "repeatable"
        work = float(text(b"standin-work") or 1000.0)
        timeout = text(b"cobaltpond-timeout-ms")
        request_fields = {
            "gateway": (text(b"cobaltpond-from") or "//").split("/")[1],
            "hit": text(b"cobaltpond-hit"),
            "forward": int(text(b"cobaltpond-forward") or 0),
            "op": text(b"standin-op"),
            "group": text(b"standin-group"),
            "since": since,
            "type": group_kind,
            "key": text(b"cobaltpond-key"),
        }
        mark = text(b"idempotency-key") if group_kind == "tagged" else None
        job = Job(
            work,
            request_fields["group"] or "",
            mark,
            request_fields["op"] or "",
            request_fields=request_fields,
            deadline=now + int(timeout) * 1000 if timeout else None,
        )
        if head.get(b"standin-bad"):
            job.fault = "bad request"
        seen_keys = self.owner.idempotency_keys_of(self, request_fields["group"])
        if mark is not None and seen_keys.is_completed_repeat(
            now, mark, self.owner.window(request_fields["group"])
        ):
            job.work, job.fault = work * REPEAT_WORK_SHARE, "repeat"
        job.on_finish = lambda result: self.answer(connection, head, job, job_slot, seen_keys, result, zone)
        accepted = self.model.accept_job(now, job)
        self.record_event("arrive", job, work=int(work), mark=mark, warm=round(self.model.warmth(now), 3))
        if self.model.has_crashed:
            self.owner.handle_overload(self)
            return
        if not accepted:
            self.record_event("refused", job)
            connection.write_now(http1.response(429, [self.report(), (b"cobaltpond-not-run", b"full")], b""))
            return
        job_slot[0] = job
        self.schedule()

    def answer(self, connection, head, job, job_slot, seen_keys, result, zone):
        """Answers a finished job and records its effect; `result` is ok, error, wrong or dropped."""
        if job_slot[0] is job:
            job_slot[0] = None
        if job.fault == "bad request" and result == "ok":
            result = "error"
        has_effect = job.request_fields["type"] != "repeatable" and result != "dropped"
        if has_effect and (result != "error" or self.owner.random_source.random() < 0.5):
            if job.mark is None:
                self.record_event("effect", job)
            elif job.fault != "repeat" and job.mark not in seen_keys.completed:
                seen_keys.completed.add(job.mark)
                self.record_event("effect", job)
        self.owner.count_answer(self.model.build, job.group, result, self.loop.now())
        self.record_event("end", job, how=result)
        if connection.closed:
            return
        status = 504 if result == "dropped" else 500 if result == "error" else 200
        fields = [
            self.report(),
            (b"content-type", b"text/plain"),
            (b"standin-build", b"%d" % self.model.build),
        ]
        if result == "wrong":
            fields.append((b"standin-wrong", b"1"))
        size = min(int(head.get(b"standin-size") or 64), 32 << 20)
        data = http1.response(status, fields, b"x" * size)
        if self.is_blocked(zone):
            self.loop.spawn(self.answer_when_reachable(connection, data, zone), "held-answer")
            return
        try:
            sent = connection.write_now(data)
        except ConnectionLostError:
            return
        if sent < len(data):
            self.loop.spawn(self.write_rest(connection, data[sent:]), "long-answer")

    def answer_when_reachable(self, connection, data, zone):
        """Writes an answer once the zone is no longer cut off."""
        while self.is_blocked(zone) and not self.is_ended:
            yield Sleep(10_000)
        yield from self.write_rest(connection, data)

    def write_rest(self, connection, data):
        """Writes what did not fit into the socket buffer."""
        try:
            yield from connection.write(data)
        except ConnectionLostError:
            pass

    def schedule(self):
        """Sets the only timer to the next end of a job."""
        if self.timer is not None:
            self.timer.cancel()
        at = self.model.next_finish_time()
        self.timer = self.loop.call_at(at, self.on_timer) if at is not None else None

    def on_timer(self):
        """Advances the model to now."""
        self.timer = None
        if not self.is_ended:
            self.model.advance(self.loop.now())
            self.schedule()

    def report(self):
        """The load report as a header (name, value).

        It is refreshed once a period, shows the load of a period before, with up to 10 % noise, and less load
        than there is while the fault "false_reports" is active.
        """
        owner = self.owner
        if self.loop.now() - self.shown_at > owner.report_period:
            self.shown_at = self.loop.now()
            noise = 1 + owner.random_source.uniform(-0.1, 0.1)
            self.shown_load = self.next_load
            self.next_load = {
                name: value * noise * self.report_factor
                for name, value in self.model.report().items()
                if name in owner.report_names
            }
        return orca.HEADER, orca.format_load_report(self.shown_load)
