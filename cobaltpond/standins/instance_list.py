"""Serves the instance list to all gateways: revisions, a pushed stream and delayed answers.

Each gateway learns of a change after its own delay (`notice` plus `extra_delay`); changes keep their order
and none is left out. `is_cut_off(number)` tells whether a gateway is unreachable.
"""

from cobaltpond.loop import Sleep
from cobaltpond.rpc import ResponseStream, RpcError, json_response

MAX_HISTORY = 200


class InstanceListServer:
    """The list with its history; `notice`, `spread` and `extra_delay` are in microseconds."""

    def __init__(self, loop, record, random_source, notice: int, spread: int):
        self.loop, self.record, self.random_source = loop, record, random_source
        self.notice, self.spread, self.extra_delay, self.is_cut_off = notice, spread, 0, lambda number: False
        self.epoch, self.revision, self.rows, self.history = f"e{loop.now()}", 0, {}, []
        self.streams, self.known_revisions, self.delays = (
            [],
            {},
            {},
        )  # gateway -> revision it may know; gateway -> own delay

    def publish(self, rows: list) -> None:
        """Publishes changed rows as a new revision; they have `up_at` in place of an age."""
        base, self.revision = self.revision, self.revision + 1
        for row in rows:
            if row["state"] == "gone":
                self.rows.pop(row["id"], None)
            else:
                self.rows[row["id"]] = row
        self.record(
            "published", rows=[{k: row[k] for k in ("id", "state", "build", "start")} for row in rows]
        )
        self.history.append((self.loop.now(), base, rows, {id: dict(row) for id, row in self.rows.items()}))
        del self.history[:-MAX_HISTORY]

    def known_revision(self, number: int) -> int:
        """The revision that a gateway may know by now."""
        delays = (
            self.delays.setdefault(number, self.notice + self.random_source.randrange(self.spread + 1))
            + self.extra_delay
        )
        revision_due = self.known_revisions.get(number, 0)
        for at, base, _, _ in self.history:
            if at + delays <= self.loop.now() and base + 1 > revision_due:
                revision_due = base + 1
        self.known_revisions[number] = revision_due
        return revision_due

    def render_change(self, number, base, revision, rows) -> dict:
        """The object that takes a gateway from `base` (None: nothing) to `revision`; it is recorded."""
        now = self.loop.now()
        listed_rows = [
            {**{k: v for k, v in row.items() if k != "up_at"}, "age_us": now - row["up_at"]} for row in rows
        ]
        self.record(
            "list",
            gateway=number,
            base=base,
            revision=revision,
            rows=[
                {k: row[k] for k in ("id", "state", "build", "start")} | {"up_at": row["up_at"]}
                for row in rows
            ],
        )
        return {"epoch": self.epoch, "revision": revision, "base": base, "rows": listed_rows}

    def changes_since(self, number: int, after: int | None, revision: int) -> list:
        """The objects that take a gateway from revision `after` (None: nothing) to `revision`."""
        steps = [
            (base, rows)
            for _, base, rows, _ in self.history
            if after is not None and after <= base < revision
        ]
        if (
            after is not None
            and after <= revision
            and (not steps and after == revision or steps and steps[0][0] == after)
        ):
            return [self.render_change(number, base, base + 1, rows) for base, rows in steps]
        full_list = next((rows for _, base, _, rows in self.history if base + 1 == revision), {})
        return [self.render_change(number, None, revision, list(full_list.values()))]

    def handle(self, request):
        """Serves the list calls; a cut-off gateway gets 503 after 5 s."""
        if (request.method, request.path) == ("POST", "/v1/instances"):
            row = request.json_object()  # an agent reports the state of an instance
            listed_rows = {k: v for k, v in row.items() if k != "age_us"}
            self.publish([{**listed_rows, "up_at": self.loop.now() - row["age_us"]}])
            return json_response(200, {})
        if (request.method, request.path) != ("GET", "/v1/list"):
            raise RpcError(404, "no such call")
        number = int(request.query["gateway"])
        after = int(request.query["after"]) if request.query.get("epoch") == self.epoch else None
        if self.is_cut_off(number):
            yield Sleep(5_000_000)
            raise RpcError(503, "out of reach")
        if "watch" not in request.query:
            from cobaltpond.wire.json_lines import encode_line

            lines = [
                encode_line(change)
                for change in self.changes_since(number, after, self.known_revision(number))
            ]
            return 200, [(b"content-type", b"application/x-ndjson")], b"".join(lines)
        stream = ResponseStream()
        self.streams.append([number, after, stream, 0])
        return stream

    def push_updates(self):
        """Sends each stream the changes its gateway may know, or a heartbeat every 2 s; never returns."""
        while True:
            for entry in self.streams:
                number, after, stream, last_beat = entry
                if self.is_cut_off(number) or stream.ended:
                    continue
                revision_due = self.known_revision(number)
                if after != revision_due:
                    for change in self.changes_since(number, after, revision_due):
                        stream.send_object(change)
                    entry[1] = revision_due
                elif self.loop.now() - last_beat > 2_000_000:
                    entry[3] = self.loop.now()
                    stream.send_object({"beat": True})
            self.streams = [entry for entry in self.streams if not entry[2].ended]
            yield Sleep(10_000)
