"""Follows the platform's list of instances: one whole list, then one long-polling watch after another."""

from dataclasses import dataclass

from cobaltpond.edge.discovery_calls import CallKind, CallResult, CallTimes, DiscoveryCall, DiscoveryCalls
from cobaltpond.edge.source_switch import SourceSwitch
from cobaltpond.loop import DeadlineExceededError
from cobaltpond.rpc import CALL_ERRORS, Backoff, BodyAllowance
from cobaltpond.wire.address import split_address
from cobaltpond.wire.json_lines import JsonLineError, parse_object

INSTANCE_STATES = {"up": "up", "draining": "draining", "removed": "gone"}
WATCH_TIME_US = 2_000_000  # how long a watch may wait for a change
RESPONSE_TIMEOUT_US = 1_000_000  # for a response that doesn't wait for a change; further calls follow then
EMPTY_RESPONSE_PAUSE_US = 50_000  # after an early response without a change
# Both are shorter than the grace period after which a gateway must act on an announced change: whatever a
# silent agent has when it returns counts as announced at once.
HEDGE_INTERVAL_US, MAX_RETRY_DELAY_US = 100_000, 100_000
# A source that reports only old versions for this long has lost its state. Any change that it reported late
# counts as announced by then.
STALE_SOURCE_TIME_US = 6_000_000


class DiscoveredInstances:
    """Converts the responses of discovery to rows for the decisions. Does no I/O.

    `listed`: the ids of all instances that are listed, at most `max_instances`. `left_out`: how many the last
    response named beyond that.
    """

    def __init__(self, max_instances: int):
        self.max_instances = max_instances
        self.seq, self.start_times, self.listed, self.left_out = 0, {}, set(), 0

    def apply(self, now: int, wall_time: int, response: dict) -> tuple[bool, list]:
        """Applies one response and returns (whole, [(row, address)]).

        `whole` says that the rows replace the list. `now` (this process's clock) and `wall_time` (Unix time)
        are the same moment in microseconds. Returns no rows for a version older than the newest one. Raises
        JsonLineError and then keeps nothing of the response.
        """
        try:
            whole, seq = response["whole"], int(response["seq"])
            rows, start_times = [], {}
            for entry in response["hosts"]:
                id, born_ms = str(entry["host"]), int(entry.get("born_ms") or 0)
                # The start time is computed once for each start: after a change of the wall clock a running
                # instance would look restarted.
                started = (
                    self.start_times.get((id, born_ms), now - (wall_time - born_ms * 1000))
                    if born_ms
                    else None
                )
                if born_ms:
                    start_times[id, born_ms] = started
                rows.append(
                    (
                        {
                            "id": id,
                            "build": int(entry.get("revision_no") or 0),
                            "cell": entry.get("block"),
                            "zone": entry.get("site"),
                            "state": INSTANCE_STATES[entry["health"]],
                            "weight": entry.get("share") or 1,
                            "started": started,
                        },
                        split_address(entry["dial"]) if entry["health"] != "removed" else ("", 0),
                    )
                )
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise JsonLineError(f"invalid instance list: {error!r}") from error
        if seq < self.seq:
            return False, []  # another source has reported a newer version; the list never goes back
        rows = self.within_limit(bool(whole), rows)
        self.seq = seq
        earlier = {} if whole else self.start_times
        ids = {row["id"] for row, _ in rows}
        self.start_times = {
            (id, born_ms): started
            for (id, born_ms), started in [
                *((start, at) for start, at in earlier.items() if start[0] not in ids),
                *start_times.items(),
            ]
            if id in self.listed
        }
        return bool(whole), rows

    def within_limit(self, whole: bool, rows: list) -> list:
        """Returns the rows without new instances beyond the limit, and counts these in `left_out`.

        What is said of instances that are listed already is never left out.
        """
        gone = {row["id"] for row, _ in rows if row["state"] == "gone"}
        listed = self.listed & {row["id"] for row, _ in rows} if whole else set(self.listed)
        listed -= gone
        kept = []
        for row, address in rows:
            if row["id"] in listed or row["id"] in gone:
                kept.append((row, address))
            elif len(listed) < self.max_instances:
                listed.add(row["id"])
                kept.append((row, address))
        self.listed, self.left_out = listed, len(rows) - len(kept)
        return kept


@dataclass(frozen=True)
class ListLimits:
    """Limits on what discovery may send: bytes of all bodies together, values of one, and instances."""

    max_bytes: int
    max_values: int
    max_instances: int


@dataclass
class FollowedSource:
    """What is known of one source. Times in microseconds of the loop.

    `version`: as the source last reported it, None where the whole list is needed. `retry_at`: no call starts
    before it unless one is open. `stale_since`: since when the source has reported only old versions.
    `newest_answered_at`: the latest start of a call that was answered.
    """

    backoff: Backoff
    version: int | None = None
    retry_at: int = 0
    stale_since: int | None = None
    newest_answered_at: int = 0


class Discovery:
    """Keeps the instance list of the gateway up to date."""

    def __init__(self, loop, host, address, log, reports_every_response: bool, limits: ListLimits):
        """Takes the host that receives the list and the address of the source.

        `reports_every_response`: the decisions poll the list, so responses without a change are reported to
        them too.
        """
        self.limits, self.allowance = limits, BodyAllowance(limits.max_bytes)
        self.on_applied = lambda: None  # called after each change of the list
        self.loop = loop
        self.host = host
        self.address = address
        self.log = log
        self.reports_every_response = reports_every_response
        self.instances = DiscoveredInstances(limits.max_instances)
        self.has_received = False
        self.source_switch = SourceSwitch(loop, "discovery")
        self.counts = {"applied": 0, "errors": 0, "calls": 0, "given_up": 0}

    def apply_response(self, response) -> int:
        """Applies a response and returns its version. Raises JsonLineError."""
        whole, rows = self.instances.apply(self.loop.now(), self.loop.kernel.wall_clock(), response)
        if rows or whole:
            self.counts["applied"] += 1
            self.host.endpoints.update(whole, rows)
            self.on_applied()
            if self.instances.left_out:
                self.log.warning("list too long", left_out=self.instances.left_out)
            self.log.info(
                "list",
                seq=self.instances.seq,
                whole=whole,
                rows=[f"{r['id']} {r['state']} build {r['build']}" for r, _ in rows][:20],
            )
        if rows or whole or self.reports_every_response:
            self.host.post_event_first("on_list", whole, [row for row, _ in rows])
        return int(response["seq"])

    def restore(self, known_list: dict | None) -> None:
        """Restores the stored list; None does nothing.

        It may be stale, so its version is not used.
        """
        if known_list:
            try:
                self.apply_response({**known_list, "whole": True})
            except JsonLineError as error:
                self.log.warning("known list unreadable", why=str(error))
            self.instances.seq = 0

    def start(self, address) -> None:
        """Follows this address from now on.

        The task that followed before ends once the new source has answered.
        """
        self.address = address
        self.source_switch.start(self.follow(address))

    def follow(self, address):
        """Follows one source until cancelled.

        After an error, an invalid response or an old version the whole list is fetched again. Each source is
        asked by the version that it reported itself, so that its changes apply on top of every newer version,
        whichever source reported that.
        """
        times = CallTimes(WATCH_TIME_US, RESPONSE_TIMEOUT_US, HEDGE_INTERVAL_US)
        calls = DiscoveryCalls(self.loop, address, times, self.counts, self.allowance)
        source = FollowedSource(Backoff(20_000, MAX_RETRY_DELAY_US, self.loop.kernel.random_seed()))
        try:
            while True:
                wake_at = self.start_due_call(calls, source)
                result = yield from calls.next_result(wake_at)
                if result is not None:
                    try:
                        self.handle_result(calls, source, result)
                    finally:
                        result.share.release()
        finally:
            calls.close()

    def start_due_call(self, calls: DiscoveryCalls, source: FollowedSource) -> int:
        """Starts the call that is due, if any, and returns when the next one is."""
        now, schedule = self.loop.now(), calls.schedule
        needed = CallKind.WHOLE_LIST if source.version is None else CallKind.WATCH
        if not schedule.has_open(needed):
            if now < source.retry_at:
                return source.retry_at
            if needed is CallKind.WATCH:
                calls.start_watch(source.version)
            else:
                calls.start_whole_list()
        elif now >= schedule.next_call_at():
            self.start_further_call(calls, source)
        return schedule.next_call_at()

    def start_further_call(self, calls: DiscoveryCalls, source: FollowedSource) -> None:
        """Starts a call beside open ones. A source that is slow is asked for changes, which costs it less."""
        now, schedule = self.loop.now(), calls.schedule
        is_silent = schedule.is_silent(now)
        if schedule.is_slow and not is_silent and source.version is not None:
            calls.start_changes(source.version)
            return
        calls.start_whole_list()
        if is_silent:
            source.version = None
            if schedule.open_calls[-1].is_kept:
                self.report_error(f"no response for {(now - schedule.last_response_at) // 1000} ms")

    def handle_result(self, calls: DiscoveryCalls, source: FollowedSource, result: CallResult) -> None:
        """Applies the result of a call. An error is logged, and the whole list is fetched after a delay."""
        was_slow, silent_watches = calls.schedule.is_slow, calls.silent_watches
        calls.record_result(result)
        if calls.silent_watches > silent_watches and not was_slow:
            self.report_error("a watch has fallen silent")
        try:
            if result.error is not None:
                raise result.error
            if result.status != 200:
                raise JsonLineError(f"status {result.status}")
            version = self.apply_response(parse_object(result.body, self.limits.max_values))
        except (*CALL_ERRORS, DeadlineExceededError) as error:
            self.report_error(f"{type(error).__name__}: {error}"[:200])
            source.version = None
            source.retry_at = self.loop.now() + source.backoff.next_delay()
            return
        self.has_received = True
        self.source_switch.source_answered()
        if calls.schedule.is_slow and not was_slow:
            self.log.warning("discovery slow", response_ms=calls.schedule.response_time // 1000)
        if result.call.kind is CallKind.WATCH:  # a whole list alone doesn't prove that watches work again
            source.backoff.reset()
        self.record_version(source, result.call, version)

    def record_version(self, source: FollowedSource, call: DiscoveryCall, version: int) -> None:
        """Records the version that a source has reported in its response to a call."""
        now = self.loop.now()
        is_overtaken = call.started_at < source.newest_answered_at
        if is_overtaken and source.version is not None and version < source.version:
            return
        source.newest_answered_at = max(source.newest_answered_at, call.started_at)
        source.version = version
        if version >= self.instances.seq:
            source.stale_since = None
        elif source.stale_since is None:
            source.stale_since = now
        if source.stale_since is not None and now - source.stale_since > STALE_SOURCE_TIME_US:
            # Discovery has lost its versions (a restart without state): its list replaces ours.
            self.instances.seq, source.stale_since, source.version = 0, None, None
        elif (
            call.kind is CallKind.WATCH
            and version <= call.after
            and now - call.started_at < WATCH_TIME_US // 2
        ):
            # There is no change, although the watch had time to wait for one: fetch the whole list after a
            # pause shorter than the gap that is allowed between two calls. Without this a source that repeats
            # an old version is polled in a busy loop, and the stale list is never replaced.
            source.version = None
            source.retry_at = now + EMPTY_RESPONSE_PAUSE_US

    def report_error(self, why: str) -> None:
        """Counts and logs an error; decisions that poll the list get it too."""
        self.counts["errors"] += 1
        self.log.warning("discovery", why=why)
        if self.reports_every_response:
            self.host.post_event_first("on_list_error")

    def request_list(self, whole: bool):
        """Does nothing: a watch is always open, so requests of the decisions need no call."""
        return
        yield
