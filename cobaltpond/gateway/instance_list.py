"""Follows the list of instances, by a pushed stream or by polling, and stores it on disk.

Each object of the list is `{"epoch", "revision", "base", "rows"}`. With `base` null it is the whole list,
else a change to revision `base` of the same epoch. A change that does not apply to the received list is a
gap: the whole list is then requested. A row's `age_us` states how long the instance had been up when the row
was written. Its start on this gateway's clock is computed once for each value of `start`, so that only a
restart moves it.
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
ANSWER_VALID_US = 30_000_000  # an instance counts as answering for so long after its last answer


class ListGapError(Exception):
    """A change does not apply to the received revision of the list."""


class InstanceList:
    """The list as last received. Does no I/O.

    `rows`: by instance id, as received, with `at`: the loop time of the receipt. `starts`: (id, start) to the
    time of the start on this gateway's clock, in microseconds.
    """

    def __init__(self):
        self.epoch, self.revision, self.rows, self.starts = None, 0, {}, {}

    def apply(self, now: int, message: dict) -> tuple[bool, list]:
        """Applies one object of the list; returns (whether it is the whole list, [(row, address), ...]).

        The rows are in the form that the decisions get. Raises ListGapError, and JsonLineError on a malformed
        object.
        """
        try:
            whole = message["base"] is None
            if not whole and (message["epoch"], message["base"]) != (self.epoch, self.revision):
                if message["epoch"] == self.epoch and message["revision"] <= self.revision:
                    return False, []  # received already, over another connection
                raise ListGapError(
                    f"change to {message['epoch']}/{message['base']}, list at {self.epoch}/{self.revision}"
                )
            if whole and message["epoch"] == self.epoch and message["revision"] < self.revision:
                return False, []  # a response that a newer one has overtaken
            rows = [self.parse_row(now, entry) for entry in message["rows"]]
            self.epoch, self.revision = message["epoch"], int(message["revision"])
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise JsonLineError(f"malformed list object: {error!r}") from error
        if whole:
            self.rows = {}
        for entry in message["rows"]:
            if entry["state"] == "gone":
                self.rows.pop(entry["id"], None)
            else:
                self.rows[entry["id"]] = {**entry, "at": now}
        known = {(id, entry["start"]) for id, entry in self.rows.items()}
        self.starts = {start_key: at for start_key, at in self.starts.items() if start_key in known}
        return whole, rows

    def parse_row(self, now: int, entry: dict) -> tuple[dict, tuple]:
        """Returns (row for the decisions, address).

        Raises KeyError, TypeError or ValueError on a malformed entry.
        """
        if entry["state"] not in STATES:
            raise ValueError(f"state {entry['state']!r}")
        start_key = entry["id"], entry["start"]
        if start_key not in self.starts:
            self.starts[start_key] = now - int(entry["age_us"])
        address = split_address(entry["address"])
        return {
            "id": str(entry["id"]),
            "build": int(entry["build"]),
            "cell": entry.get("cell", 0),
            "zone": entry["zone"],
            "state": entry["state"],
            "weight": entry.get("weight", 1),
            "started": self.starts[start_key],
        }, address

    def to_disk(self, now: int) -> bytes:
        """Returns the list as file content; its checksum detects a file that was written only in part."""
        rows = [
            {**{k: v for k, v in entry.items() if k != "at"}, "age_us": entry["age_us"] + now - entry["at"]}
            for entry in self.rows.values()
        ]
        body = json.dumps(
            {"epoch": self.epoch, "revision": self.revision, "base": None, "rows": rows}
        ).encode()
        return b"%08x %s\n" % (zlib.crc32(body), body)

    def draining_tags(self) -> list[int]:
        """Returns the tags of the draining instances, as gateways identify instances to each other."""
        return [
            SampleMessage.instance_tag(id, entry["build"])
            for id, entry in self.rows.items()
            if entry["state"] == "draining"
        ]

    @staticmethod
    def from_disk(data: bytes | None) -> dict | None:
        """Parses file content; None where it is absent, incomplete or corrupt."""
        checksum, _, body = (data or b"").rstrip(b"\n").partition(b" ")
        try:
            return json.loads(body) if int(checksum, 16) == zlib.crc32(body) else None
        except ValueError:
            return None


class InstanceListFollower:
    """Receives the list, applies it to the endpoints and the decisions, and keeps the stored list on disk.

    `gateway_settings`: this gateway's section; its `memory` is the path of the stored list, empty for none.
    `has_received`: whether a list has been received since the start.
    """

    def __init__(self, loop, settings, gateway_settings, host, log):
        self.loop, self.settings, self.host, self.log = loop, settings, host, log
        self.address, self.copy_path = split_address(settings.listing.address), gateway_settings.memory
        self.instance_list, self.has_received, self.needs_write = InstanceList(), False, False
        self.on_applied = lambda: None  # called after each object that was applied
        self.reconciler = ListReconciler(self.is_answering)
        self.kept_list = {}  # the list restored from disk, empty once a list has been received
        self.backoff = Backoff(100_000, 3_000_000, loop.kernel.random_seed())
        self.counts = {"applied": 0, "gaps": 0, "errors": 0}

    def restore_kept_list(self) -> None:
        """Applies the stored list. It may be out of date, so no change is applied on top of its revision."""
        stored = (
            InstanceList.from_disk(self.loop.kernel.read_file(self.copy_path)) if self.copy_path else None
        )
        if stored is not None:
            try:
                _, rows = InstanceList().apply(self.loop.now(), stored)
            except JsonLineError as error:
                self.log.warning("kept list unreadable", why=str(error))
                return
            self.kept_list = {
                "epoch": stored["epoch"],
                "rows": {
                    row["id"]: {**row, "at": self.loop.now()}
                    for row in stored["rows"]
                    if row["state"] != "gone"
                },
            }
            self.reconciler.record_rows(stored["rows"])
            self.host.endpoints.update(True, rows)
            self.host.post_event_first("on_list", True, [row for row, _ in rows])
            self.log.info("list restored from disk", revision=stored["revision"], rows=len(rows))

    def apply_object(self, message: dict) -> None:
        """Applies one object of the list; a heartbeat is ignored. Raises as `InstanceList.apply`."""
        if message.get("beat"):
            return
        message = self.reconcile(message)
        whole, rows = self.instance_list.apply(self.loop.now(), message)
        self.reconciler.record_rows(message["rows"])
        self.reconciler.apply_change(() if whole else message["rows"])
        self.has_received, self.needs_write, self.kept_list = True, True, {}
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

    def reconcile(self, message: dict) -> dict:
        """Filters a whole list of another epoch than the current one, or than the stored one.

        Rows that contradict what this gateway knows are replaced, see `ListReconciler`. A malformed object is
        returned unchanged; `InstanceList.apply` rejects it.
        """
        epoch = (
            self.instance_list.epoch if self.instance_list.epoch is not None else self.kept_list.get("epoch")
        )
        rows = (
            self.instance_list.rows
            if self.instance_list.epoch is not None
            else self.kept_list.get("rows", {})
        )
        if epoch is None or message.get("base", 0) is not None or message.get("epoch") == epoch:
            return message
        now = self.loop.now()
        current_rows = {
            id: {k: v for k, v in {**row, "age_us": row["age_us"] + now - row["at"]}.items() if k != "at"}
            for id, row in rows.items()
        }
        try:
            accepted_rows = self.reconciler.filter_whole_list(now, current_rows, message["rows"])
        except (KeyError, TypeError, ValueError):
            return message
        if len(accepted_rows) != len(message["rows"]) or accepted_rows != message["rows"]:
            self.log.warning(
                "list doubted",
                epoch=message.get("epoch"),
                rows=len(message["rows"]),
                **self.reconciler.counts,
            )
        return {**message, "rows": accepted_rows}

    def is_answering(self, id: str, now: int) -> bool:
        """Returns whether the instance still answers, as far as this gateway knows.

        False while it is ejected, failing, or silent for ANSWER_VALID_US; true where it was never contacted.
        One that the decisions do not know counts as answering only until a list has been received.
        """
        fleet = getattr(self.host.decisions, "fleet", None)
        instance = fleet.by_id.get(id) if fleet is not None else None
        if instance is None:
            return not self.has_received
        if now < instance.ejected_until or instance.faults > 0.5:
            return False
        return not instance.heard_at or now - instance.heard_at < ANSWER_VALID_US

    def resolve_doubts(self):
        """Removes instances that a new epoch of the list lost, once they are due; runs until cancelled."""
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

    def request_target(self, whole: bool, stream: bool) -> str:
        """Returns the request target: for the whole list or what has changed, once or as a stream."""
        arguments = {"gateway": self.host.number}
        if stream:
            arguments["watch"] = 1
        if not whole and self.instance_list.epoch is not None:
            arguments.update(epoch=self.instance_list.epoch, after=self.instance_list.revision)
        return "/v1/list?" + urlencode(arguments)

    def follow_pushed(self):
        """Follows the pushed stream until cancelled.

        Reconnects after a delay, with the whole list after a gap.
        """
        needs_whole = [False]

        def target():
            request_target, needs_whole[0] = self.request_target(needs_whole[0], True), False
            return request_target

        def on_messages(messages):
            for message in messages:
                self.apply_object(message)

        def on_broken(error):
            needs_whole[0] = isinstance(error, ListGapError)
            self.counts["gaps" if needs_whole[0] else "errors"] += 1
            self.log.warning(
                "list gap" if needs_whole[0] else "list stream broken; reconnecting",
                why=f"{type(error).__name__}: {error}",
            )

        yield from follow_stream(
            self.loop,
            self.address,
            target,
            on_messages,
            self.settings.listing.silence,
            self.settings.instances.dial_time,
            self.backoff,
            on_broken,
            (ListGapError,),
        )

    def request_list(self, whole: bool):
        """Polls once for what has changed, or for the whole list.

        The decisions always get an event, `on_list` or `on_list_error`. A gap in a change is followed by a
        request for the whole list. A poll that is late is reported as an error, so that the decisions make
        another one, and its response is still applied if it comes within the time for which a list is valid.
        """
        ask_within, has_failed = self.settings.listing.ask_within, [False]

        def report_error(why: str):
            if not has_failed[0]:
                has_failed[0] = True
                self.counts["errors"] += 1
                self.log.warning("list call failed", why=why)
                self.host.post_event_first("on_list_error")

        late_timer = self.loop.call_in(ask_within // 3, lambda: report_error("the response is late"))
        try:
            with Deadline(self.loop, ask_within):
                status, body = yield from call(
                    self.loop,
                    self.address,
                    "GET",
                    self.request_target(whole, False),
                    b"",
                    self.settings.instances.dial_time,
                )
            if status != 200:
                raise JsonLineError(f"status {status}")
            messages = JsonLineParser().feed(body + b"\n")
            applied_before = self.counts["applied"]
            for message in messages:
                self.apply_object(message)
            # the decisions wait for the reply also where nothing has changed
            if applied_before == self.counts["applied"]:
                self.host.post_event_first("on_list", False, [])
        except ListGapError as error:
            self.counts["gaps"] += 1
            self.log.warning("list gap", why=str(error))
            late_timer.cancel()
            if whole:
                self.host.post_event_first("on_list_error")
            else:
                yield from self.request_list(whole=True)
        except (*CALL_ERRORS, DeadlineExceededError) as error:
            report_error(f"{type(error).__name__}: {error}")
        finally:
            late_timer.cancel()

    def persist_list(self):
        """Writes the stored list at most once a second; runs until cancelled.

        The file is not synced, since the stored list is only a hint: its checksum detects a file that was
        written in part.
        """
        while True:
            yield Sleep(1_000_000)
            if self.needs_write and self.copy_path:
                self.needs_write = False
                try:
                    self.loop.kernel.replace_file(
                        self.copy_path, self.instance_list.to_disk(self.loop.now()), sync=False
                    )
                except OSError as error:
                    self.log.warning("list not written to disk; going on without a new copy", why=str(error))
