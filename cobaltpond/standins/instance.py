"""A stand-in instance on its socket: HTTP/1.1, load reports, drops of repeats, and ways to misbehave."""

from cobaltpond.loop import Connection, ConnectionLostError, HandlesExhaustedError, Readable, Sleep
from cobaltpond.standins.instance_model import Job
from cobaltpond.wire import http1, orca

LIMITS = http1.MessageLimits(body=64 << 20)
CHEAP = 0.1  # share of its work that a known repeat costs


class IdempotencyKeys:
    """What a group of instances remembers of tagged hits: mark -> (first arrival, effect done)."""

    def __init__(self):
        self.first, self.done = {}, set()

    def repeat(self, now: int, mark: str, window: int) -> bool:
        """Is it a repeat to be dropped, one whose effect has been had?"""
        first = self.first.setdefault(mark, now)
        if now - first > window:
            self.first[mark] = now
            self.done.discard(mark)
            return False
        return mark in self.done


class Instance:
    """`yard` gives loop, record, chance, groups of marks and the troubles that go beyond one instance."""

    def __init__(self, yard, id, place, zone, cell, machine, listener):
        self.owner, self.loop, self.id, self.place, self.zone, self.cell = (
            yard,
            yard.loop,
            id,
            place,
            zone,
            cell,
        )
        self.machine, self.listener, self.start = machine, listener, machine.started
        self.silent, self.most, self.shake, self.lie = False, 100_000, 0, 1.0
        self.connections, self.timer, self.is_ended = {}, None, False
        self.shown, self.coming, self.shown_at = {}, {}, -(1 << 60)
        self.task = self.loop.spawn(self.accept(), f"{id}-accept")

    def accept(self):
        waited = True
        try:
            while True:
                if self.silent or len(self.connections) >= self.most:
                    yield Sleep(20_000)  # the backlog fills, then dials hang
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
        """The process ends: every connection is reset."""
        self.is_ended = True
        self.task.cancel()
        for connection in list(self.connections):
            connection.abort()

    def blocked(self, zone) -> bool:
        return self.silent or self.owner.zone_cut(zone, self.zone)

    def serve(self, connection, since):
        """`since`: nothing of this connection can have come before; 0 where that is not known."""
        parser, head, body, job, zone = http1.RequestParser(LIMITS), None, 0, [None], self.zone
        read_at = self.loop.now()
        if self.shake:
            yield Sleep(self.shake)
            since = 0
        try:
            while True:
                data = connection.read_now()
                if data is None:
                    data = yield from connection.read()
                    since = self.loop.polled_before
                read_at = self.loop.kernel.now()
                if self.blocked(zone):
                    while self.blocked(zone) and not self.is_ended:
                        yield Sleep(10_000)
                    since = 0
                    if connection.read_now() is not None:
                        return  # reset meanwhile: over a real cut it would not have come
                if not data:
                    return
                for kind, value in parser.feed(data):
                    if kind == "head":
                        head, body = value, 0
                        zone = (head.get(b"cobaltpond-from") or b"").decode().partition("/")[0]
                        if self.blocked(zone):
                            while self.blocked(zone) and not self.is_ended:
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
                self.machine.advance(self.loop.now())
            if job[0] is not None:  # its work may just have ended
                self.machine.cancel(job[0])
                self.owner.record("left", instance=self.id, **job[0].about | {"from": read_at})
                self.schedule()
            self.connections.pop(connection, None)
            connection.close()

    # --- hits -----------------------------------------------------------------------------------------------

    def note(self, kind, job, **more):
        self.owner.record(
            kind, instance=self.id, start=self.start, build=self.machine.build, **job.about, **more
        )

    def start_job(self, connection, head, slot, zone, since):
        def text(name):
            value = head.get(name)
            return value.decode("latin-1") if value is not None else None

        now, effect = self.loop.now(), text(b"standin-kind") or "repeatable"
        work = float(text(b"standin-work") or 1000.0)
        timeout = text(b"cobaltpond-timeout-ms")
        about = {
            "gateway": (text(b"cobaltpond-from") or "//").split("/")[1],
            "hit": text(b"cobaltpond-hit"),
            "forward": int(text(b"cobaltpond-forward") or 0),
            "op": text(b"standin-op"),
            "group": text(b"standin-group"),
            "since": since,
            "type": effect,
            "key": text(b"cobaltpond-key"),
        }
        mark = text(b"idempotency-key") if effect == "tagged" else None
        job = Job(
            work,
            about["group"] or "",
            mark,
            about["op"] or "",
            about=about,
            deadline=now + int(timeout) * 1000 if timeout else None,
        )
        if head.get(b"standin-bad"):
            job.bad = "bad request"
        marks = self.owner.marks_of(self, about["group"])
        if mark is not None and marks.repeat(now, mark, self.owner.window(about["group"])):
            job.work, job.bad = work * CHEAP, "repeat"
        job.done = lambda how: self.answer(connection, head, job, slot, marks, how, zone)
        accepted = self.machine.arrive(now, job)
        self.note("arrive", job, work=int(work), mark=mark, warm=round(self.machine.warmth(now), 3))
        if self.machine.fallen:
            self.owner.fell(self)
            return
        if not accepted:
            self.note("refused", job)
            connection.write_now(http1.response(429, [self.report(), (b"cobaltpond-not-run", b"full")], b""))
            return
        slot[0] = job
        self.schedule()

    def answer(self, connection, head, job, slot, marks, how, zone):
        if slot[0] is job:
            slot[0] = None
        if job.bad == "bad request" and how == "ok":
            how = "error"
        effect = job.about["type"] != "repeatable" and how != "dropped"
        if effect and (how != "error" or self.owner.chance.random() < 0.5):
            if job.mark is None:
                self.note("effect", job)
            elif job.bad != "repeat" and job.mark not in marks.done:
                marks.done.add(job.mark)
                self.note("effect", job)
        self.owner.count(self.machine.build, job.group, how, self.loop.now())
        self.note("end", job, how=how)
        if connection.closed:
            return
        status = 504 if how == "dropped" else 500 if how == "error" else 200
        fields = [
            self.report(),
            (b"content-type", b"text/plain"),
            (b"standin-build", b"%d" % self.machine.build),
        ]
        if how == "wrong":
            fields.append((b"standin-wrong", b"1"))
        size = min(int(head.get(b"standin-size") or 64), 32 << 20)
        data = http1.response(status, fields, b"x" * size)
        if self.blocked(zone):
            self.loop.spawn(self.later(connection, data, zone), "held-answer")
            return
        try:
            sent = connection.write_now(data)
        except ConnectionLostError:
            return
        if sent < len(data):
            self.loop.spawn(self.rest(connection, data[sent:]), "long-answer")

    def later(self, connection, data, zone):
        while self.blocked(zone) and not self.is_ended:
            yield Sleep(10_000)
        yield from self.rest(connection, data)

    def rest(self, connection, data):
        try:
            yield from connection.write(data)
        except ConnectionLostError:
            pass

    def schedule(self):
        """One timer, for the next hit that ends."""
        if self.timer is not None:
            self.timer.cancel()
        at = self.machine.next_at()
        self.timer = self.loop.call_at(at, self.on_timer) if at is not None else None

    def on_timer(self):
        self.timer = None
        if not self.is_ended:
            self.machine.advance(self.loop.now())
            self.schedule()

    def report(self):
        """Refreshed now and then, a period late, a little noisy; a lying one says it has less to do than it
        has."""
        yard = self.owner
        if self.loop.now() - self.shown_at > yard.report_period:
            self.shown_at = self.loop.now()
            noise = 1 + yard.chance.uniform(-0.1, 0.1)
            self.shown, self.coming = (
                self.coming,
                {
                    name: value * noise * self.lie
                    for name, value in self.machine.report().items()
                    if name in yard.report_names
                },
            )
        return orca.HEADER, orca.format_load_report(self.shown)
