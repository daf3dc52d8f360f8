"""Follows the list of instances: a pushed stream, or a watch that is asked for; keeps a copy on disk.

Each object of the list is `{"epoch", "revision", "base", "rows"}`: `base` null is the whole list, else a
change to revision `base` of the same epoch. A change that does not fit what is held is a gap: the whole list
is asked for. A row's `age_us` says how long the instance had been up when the row was written; its start on
this gateway's own clock is worked out once for each `start` mark, so that a restart, and nothing else, moves
it.
"""

import json
import zlib
from urllib.parse import urlencode

from cobaltpond.decisions.sample_message import SampleMessage
from cobaltpond.loop import Deadline, DeadlineExceededError, Sleep
from cobaltpond.recovery.list_reconciliation import ListReconciler
from cobaltpond.rpc import CALL_ERRORS, Backoff, call, follow_stream
from cobaltpond.settings.sections import split_address
from cobaltpond.wire.json_lines import JsonLineError, JsonLineParser

STATES = ("up", "draining", "gone")
ANSWERS_FOR = 30_000_000  # so long ago an answer speaks for an instance


class ListGapError(Exception):
    """A change to a list that is not the one held."""


class InstanceList:
    """The list as last heard. Free of I/O."""

    def __init__(self):
        self.epoch, self.revision, self.rows, self.starts = None, 0, {}, {}

    def apply(self, now: int, told: dict) -> tuple[bool, list]:
        """(whole, rows for the decisions with their addresses). Raises ListGapError, or JsonLineError on what
        is no list."""
        try:
            whole = told["base"] is None
            if not whole and (told["epoch"], told["base"]) != (self.epoch, self.revision):
                if told["epoch"] == self.epoch and told["revision"] <= self.revision:
                    return False, []  # heard already, over another connection
                raise ListGapError(
                    f"a change to {told['epoch']}/{told['base']}, held is {self.epoch}/{self.revision}"
                )
            if whole and told["epoch"] == self.epoch and told["revision"] < self.revision:
                return False, []  # an answer that was overtaken
            rows = [self.row(now, entry) for entry in told["rows"]]
            self.epoch, self.revision = told["epoch"], int(told["revision"])
        except (KeyError, TypeError, ValueError, AttributeError) as trouble:
            raise JsonLineError(f"no list: {trouble!r}") from trouble
        if whole:
            self.rows = {}
        for entry in told["rows"]:
            if entry["state"] == "gone":
                self.rows.pop(entry["id"], None)
            else:
                self.rows[entry["id"]] = {**entry, "at": now}
        known = {(id, entry["start"]) for id, entry in self.rows.items()}
        self.starts = {mark: at for mark, at in self.starts.items() if mark in known}
        return whole, rows

    def row(self, now: int, entry: dict) -> tuple[dict, tuple]:
        if entry["state"] not in STATES:
            raise ValueError(f"state {entry['state']!r}")
        mark = entry["id"], entry["start"]
        if mark not in self.starts:
            self.starts[mark] = now - int(entry["age_us"])
        address = split_address(entry["address"])
        return {
            "id": str(entry["id"]),
            "build": int(entry["build"]),
            "cell": entry.get("cell", 0),
            "zone": entry["zone"],
            "state": entry["state"],
            "weight": entry.get("weight", 1),
            "started": self.starts[mark],
        }, address

    def to_disk(self, now: int) -> bytes:
        """What goes to disk, with a checksum: a torn file is found out."""
        rows = [
            {**{k: v for k, v in entry.items() if k != "at"}, "age_us": entry["age_us"] + now - entry["at"]}
            for entry in self.rows.values()
        ]
        body = json.dumps(
            {"epoch": self.epoch, "revision": self.revision, "base": None, "rows": rows}
        ).encode()
        return b"%08x %s\n" % (zlib.crc32(body), body)

    def draining_tags(self) -> list[int]:
        """Tags of those that drain by it, as gateways tell each other of instances."""
        return [
            SampleMessage.instance_tag(id, entry["build"])
            for id, entry in self.rows.items()
            if entry["state"] == "draining"
        ]

    @staticmethod
    def from_disk(data: bytes | None) -> dict | None:
        """None where nothing whole is there."""
        mark, _, body = (data or b"").rstrip(b"\n").partition(b" ")
        try:
            return json.loads(body) if int(mark, 16) == zlib.crc32(body) else None
        except ValueError:
            return None


class InstanceListFollower:
    def __init__(self, loop, sheet, place, host, log):
        self.loop, self.settings, self.host, self.log = loop, sheet, host, log
        self.address, self.memory = split_address(sheet.listing.address), place.memory
        self.instance_list, self.has_heard, self.dirty = InstanceList(), False, False
        self.on_applied = lambda: None  # called whenever the list has been applied
        self.reconciler, self.kept_list = (
            ListReconciler(self.is_answering),
            {},
        )  # rows of the kept list, until one has been heard
        self.waits = Backoff(100_000, 3_000_000, loop.kernel.random_seed())
        self.counts = {"applied": 0, "gaps": 0, "errors": 0}

    def restore_kept_list(self) -> None:
        """The list as it was kept: it may be out of date, and its revision is not built upon."""
        told = InstanceList.from_disk(self.loop.kernel.read_file(self.memory)) if self.memory else None
        if told is not None:
            try:
                _, rows = InstanceList().apply(self.loop.now(), told)
            except JsonLineError as trouble:
                self.log.warning("kept list unreadable", why=str(trouble))
                return
            self.kept_list = {
                "epoch": told["epoch"],
                "rows": {
                    row["id"]: {**row, "at": self.loop.now()}
                    for row in told["rows"]
                    if row["state"] != "gone"
                },
            }
            self.reconciler.record_rows(told["rows"])
            self.host.endpoints.update(True, rows)
            self.host.post_event_first("on_list", True, [row for row, _ in rows])
            self.log.info("list recalled", revision=told["revision"], rows=len(rows))

    def apply_object(self, told: dict) -> None:
        if told.get("beat"):
            return
        told = self.reconcile(told)
        whole, rows = self.instance_list.apply(self.loop.now(), told)
        self.reconciler.record_rows(told["rows"])
        self.reconciler.apply_change(() if whole else told["rows"])
        self.has_heard, self.dirty, self.kept_list = True, True, {}
        self.on_applied()
        if rows or whole:
            self.counts["applied"] += 1
            self.host.endpoints.update(whole, rows)
            self.host.post_event_first("on_list", whole, [row for row, _ in rows])
            self.log.info(
                "list",
                revision=self.instance_list.revision,
                whole=whole,
                rows=[f"{r['id']} {r['state']} build {r['build']}" for r, _ in rows][:20],
            )

    def reconcile(self, told: dict) -> dict:
        """A whole list of another epoch than the one held, or kept, is looked at before it is obeyed. What is
        no list at all is left to `InstanceList.apply`."""
        epoch = (
            self.instance_list.epoch if self.instance_list.epoch is not None else self.kept_list.get("epoch")
        )
        rows = (
            self.instance_list.rows
            if self.instance_list.epoch is not None
            else self.kept_list.get("rows", {})
        )
        if epoch is None or told.get("base", 0) is not None or told.get("epoch") == epoch:
            return told
        now = self.loop.now()
        held = {
            id: {k: v for k, v in {**row, "age_us": row["age_us"] + now - row["at"]}.items() if k != "at"}
            for id, row in rows.items()
        }
        try:
            obeyed = self.reconciler.filter_whole_list(now, held, told["rows"])
        except (KeyError, TypeError, ValueError):
            return told
        if len(obeyed) != len(told["rows"]) or obeyed != told["rows"]:
            self.log.warning(
                "list doubted", epoch=told.get("epoch"), rows=len(told["rows"]), **self.reconciler.counts
            )
        return {**told, "rows": obeyed}

    def is_answering(self, id: str, now: int) -> bool:
        """For all that this gateway knows, does the instance still answer? One not asked yet is not held for
        gone."""
        fleet = getattr(self.host.decisions, "fleet", None)
        instance = fleet.by_id.get(id) if fleet is not None else None
        if instance is None:
            return not self.has_heard
        if now < instance.ejected_until or instance.faults > 0.5:
            return False
        return not instance.heard_at or now - instance.heard_at < ANSWERS_FOR

    def resolve_doubts(self):
        """Ends the doubt about instances that a new epoch of the list has lost: for ever."""
        while True:
            yield Sleep(1_000_000)
            rows = self.reconciler.due_rows(self.loop.now())
            if rows:
                self.log.warning("gone after all", rows=[row["id"] for row in rows][:20])
                self.apply_object(
                    {
                        "epoch": self.instance_list.epoch,
                        "revision": self.instance_list.revision,
                        "base": self.instance_list.revision,
                        "rows": rows,
                    }
                )

    def query(self, whole: bool, stream: bool) -> str:
        asked = {"gateway": self.host.number}
        if stream:
            asked["watch"] = 1
        if not whole and self.instance_list.epoch is not None:
            asked.update(epoch=self.instance_list.epoch, after=self.instance_list.revision)
        return "/v1/list?" + urlencode(asked)

    def follow_pushed(self):
        """The pushed stream, for ever."""
        whole = [False]

        def target():
            asked, whole[0] = self.query(whole[0], True), False
            return asked

        def take(told):
            for one in told:
                self.apply_object(one)

        def broken(trouble):
            whole[0] = isinstance(trouble, ListGapError)
            self.counts["gaps" if whole[0] else "errors"] += 1
            self.log.warning(
                "list gap" if whole[0] else "list broken", why=f"{type(trouble).__name__}: {trouble}"
            )

        yield from follow_stream(
            self.loop,
            self.address,
            target,
            take,
            self.settings.listing.silence,
            self.settings.instances.dial_time,
            self.waits,
            broken,
            (ListGapError,),
        )

    def request_list(self, whole: bool):
        """One call: what has changed since, or all. The decisions hear of it either way."""
        try:
            with Deadline(self.loop, self.settings.listing.ask_within // 3):
                status, body = yield from call(
                    self.loop,
                    self.address,
                    "GET",
                    self.query(whole, False),
                    b"",
                    self.settings.instances.dial_time,
                )
            if status != 200:
                raise JsonLineError(f"status {status}")
            told = JsonLineParser().feed(body + b"\n")
            before = self.counts["applied"]
            for one in told:
                self.apply_object(one)
            if before == self.counts["applied"]:  # nothing new is an answer too
                self.host.post_event_first("on_list", False, [])
        except ListGapError as trouble:
            self.counts["gaps"] += 1
            self.log.warning("list gap", why=str(trouble))
            if whole:
                self.host.post_event_first("on_list_error")
            else:
                yield from self.request_list(whole=True)
        except (*CALL_ERRORS, DeadlineExceededError) as trouble:
            self.counts["errors"] += 1
            self.log.warning("list call failed", why=f"{type(trouble).__name__}: {trouble}")
            self.host.post_event_first("on_list_error")

    def persist_list(self):
        """Writes the copy at most once a second; without a sync, since it is a hint: the checksum tells."""
        while True:
            yield Sleep(1_000_000)
            if self.dirty and self.memory:
                self.dirty = False
                try:
                    self.loop.kernel.replace_file(
                        self.memory, self.instance_list.to_disk(self.loop.now()), sync=False
                    )
                except OSError as trouble:
                    self.log.warning("list not kept", why=str(trouble))
