"""The list of instances: revisions, a pushed stream, calls that are answered late; one service for all.

Each gateway hears of a change after its own lateness (`notice` plus `added`); within that, changes keep their
order, and none is left out. `cut(number)` says whether a gateway is out of reach.
"""

from cobaltpond.loop import Sleep
from cobaltpond.rpc import ResponseStream, RpcError, json_response

HISTORY = 200


class InstanceListServer:
    def __init__(self, loop, record, chance, notice: int, spread: int):
        self.loop, self.record, self.chance = loop, record, chance
        self.notice, self.spread, self.added, self.cut = notice, spread, 0, lambda number: False
        self.epoch, self.revision, self.rows, self.history = f"e{loop.now()}", 0, {}, []
        self.streams, self.heard, self.late = [], {}, {}  # gateway -> revision it may know, own lateness

    def publish(self, rows: list) -> None:
        """`rows` as they are told, with `up_at` in place of an age."""
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
        del self.history[:-HISTORY]

    def known_revision(self, number: int) -> int:
        """The revision that a gateway may hear of by now."""
        late = self.late.setdefault(number, self.notice + self.chance.randrange(self.spread + 1)) + self.added
        known = self.heard.get(number, 0)
        for at, base, _, _ in self.history:
            if at + late <= self.loop.now() and base + 1 > known:
                known = base + 1
        self.heard[number] = known
        return known

    def render_change(self, number, base, revision, rows) -> dict:
        now = self.loop.now()
        shown = [
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
        return {"epoch": self.epoch, "revision": revision, "base": base, "rows": shown}

    def changes_since(self, number: int, after: int | None, revision: int) -> list:
        """Objects that bring a gateway from `after` (None: nothing) to `revision`."""
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
        whole = next((rows for _, base, _, rows in self.history if base + 1 == revision), {})
        return [self.render_change(number, None, revision, list(whole.values()))]

    def handle(self, request):
        if (request.method, request.path) == ("POST", "/v1/instances"):
            row = request.json_object()  # an agent says how one of its instances stands
            shown = {k: v for k, v in row.items() if k != "age_us"}
            self.publish([{**shown, "up_at": self.loop.now() - row["age_us"]}])
            return json_response(200, {})
        if (request.method, request.path) != ("GET", "/v1/list"):
            raise RpcError(404, "no such call")
        number = int(request.query["gateway"])
        after = int(request.query["after"]) if request.query.get("epoch") == self.epoch else None
        if self.cut(number):
            yield Sleep(5_000_000)
            raise RpcError(503, "out of reach")
        if "watch" not in request.query:
            from cobaltpond.wire.json_lines import encode_line

            lines = [
                encode_line(one) for one in self.changes_since(number, after, self.known_revision(number))
            ]
            return 200, [(b"content-type", b"application/x-ndjson")], b"".join(lines)
        stream = ResponseStream()
        self.streams.append([number, after, stream, 0])
        return stream

    def push_updates(self):
        """Brings every stream up to what its gateway may know; a beat now and then. A task without end."""
        while True:
            for entry in self.streams:
                number, after, stream, beat = entry
                if self.cut(number) or stream.ended:
                    continue
                known = self.known_revision(number)
                if after != known:
                    for one in self.changes_since(number, after, known):
                        stream.send_object(one)
                    entry[1] = known
                elif self.loop.now() - beat > 2_000_000:
                    entry[3] = self.loop.now()
                    stream.send_object({"beat": True})
            self.streams = [entry for entry in self.streams if not entry[2].ended]
            yield Sleep(10_000)
