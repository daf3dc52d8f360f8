"""Follows the platform's list of instances: one whole list, then one long-polling watch after another."""

from cobaltpond.edge.source_switch import SourceSwitch
from cobaltpond.loop import Deadline, DeadlineExceededError, Queue, Sleep
from cobaltpond.rpc import CALL_ERRORS, Backoff, call
from cobaltpond.wire.address import split_address
from cobaltpond.wire.json_lines import JsonLineError, parse_object

INSTANCE_STATES = {"up": "up", "draining": "draining", "removed": "gone"}
WATCH_TIME_US = 2_000_000  # how long a watch may wait for a change
RESPONSE_TIMEOUT_US = 1_000_000  # for a response that doesn't wait for a change
EMPTY_RESPONSE_PAUSE_US = 50_000  # after an early response without a change
# Both are shorter than the grace period after which a gateway must act on an announced change. While the
# whole list is requested, a further request is sent every HEDGE_INTERVAL_US until one ends. A working agent
# runs on this machine and answers at once. An agent that was silent never answers the requests of that time,
# and whatever it has when it returns counts as announced at once, so waiting for an old request would leave a
# stale list.
HEDGE_INTERVAL_US, MAX_RETRY_DELAY_US = 100_000, 100_000
HOSTS_PATH = "/discovery/hosts"
# A source that reports only old versions for this long has lost its state. Any change that it reported late
# counts as announced by then.
STALE_SOURCE_TIME_US = 6_000_000


class DiscoveredInstances:
    """Converts the responses of discovery to rows for the decisions. Does no I/O."""

    def __init__(self):
        self.seq, self.start_times = 0, {}

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
        self.seq = seq
        if whole:
            self.start_times = start_times
        else:
            ids = {row["id"] for row, _ in rows}
            self.start_times = {
                instance_start: at
                for instance_start, at in self.start_times.items()
                if instance_start[0] not in ids
            } | start_times
        return bool(whole), rows


class Discovery:
    """Keeps the instance list of the gateway up to date."""

    def __init__(self, loop, host, address, log, reports_every_response: bool):
        """Takes the host that receives the list and the address of the source.

        `reports_every_response`: the decisions poll the list, so responses without a change are reported to
        them too.
        """
        self.loop = loop
        self.host = host
        self.address = address
        self.log = log
        self.reports_every_response = reports_every_response
        self.instances = DiscoveredInstances()
        self.has_received = False
        self.source_switch = SourceSwitch(loop, "discovery")
        self.counts = {"applied": 0, "errors": 0}

    def apply_response(self, response) -> int:
        """Applies a response and returns its version. Raises JsonLineError."""
        whole, rows = self.instances.apply(self.loop.now(), self.loop.kernel.wall_clock(), response)
        if rows or whole:
            self.counts["applied"] += 1
            self.host.endpoints.update(whole, rows)
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
        asked by the version that it reported itself (None: for the whole list), so that its changes apply on
        top of every newer version, whichever source reported that.
        """
        backoff = Backoff(20_000, MAX_RETRY_DELAY_US, self.loop.kernel.random_seed())
        version = None
        stale_since = None
        while True:
            requested_at = self.loop.now()
            target = f"{HOSTS_PATH}?after={version}&wait_ms={WATCH_TIME_US // 1000}"
            try:
                if version is None:
                    status, body = yield from self.whole_list(address)
                else:
                    with Deadline(self.loop, WATCH_TIME_US + RESPONSE_TIMEOUT_US):
                        status, body = yield from call(
                            self.loop, address, "GET", target, b"", RESPONSE_TIMEOUT_US
                        )
                if status != 200:
                    raise JsonLineError(f"status {status}")
                previous, version = version, self.apply_response(parse_object(body))
                self.has_received = True
                self.source_switch.source_answered()
                stale_since = (
                    (self.loop.now() if stale_since is None else stale_since)
                    if version < self.instances.seq
                    else None
                )
                if stale_since is not None and self.loop.now() - stale_since > STALE_SOURCE_TIME_US:
                    # Discovery has lost its versions (a restart without state): its list replaces ours.
                    self.instances.seq, stale_since, version = 0, None, None
                elif (
                    previous is not None
                    and version <= previous
                    and self.loop.now() - requested_at < WATCH_TIME_US // 2
                ):
                    # There is no change, although the watch had time to wait for one: fetch the whole list
                    # after a pause shorter than the gap that is allowed between two calls. Without this a
                    # source that repeats an old version is polled in a busy loop, and the stale list is
                    # never replaced.
                    version = None
                    yield Sleep(EMPTY_RESPONSE_PAUSE_US)
                if previous is not None:  # a whole list alone doesn't prove that watches work again
                    backoff.reset()
            except (*CALL_ERRORS, DeadlineExceededError) as error:
                self.counts["errors"] += 1
                self.log.warning("discovery", why=f"{type(error).__name__}: {error}"[:200])
                version = None
                if self.reports_every_response:
                    self.host.post_event_first("on_list_error")
                yield Sleep(backoff.next_delay())

    def whole_list(self, address):
        """Fetches the whole list with hedged requests and returns (status, body).

        The first request to end decides, and its error is raised.
        """
        responses, tasks = Queue(2 * RESPONSE_TIMEOUT_US // HEDGE_INTERVAL_US), []

        def send_request():
            try:
                with Deadline(self.loop, RESPONSE_TIMEOUT_US):
                    response = yield from call(
                        self.loop, address, "GET", HOSTS_PATH, b"", RESPONSE_TIMEOUT_US
                    )
                responses.put_now((response, None))
            except (*CALL_ERRORS, DeadlineExceededError) as error:
                responses.put_now((None, error))

        try:
            while True:
                tasks.append(self.loop.spawn(send_request(), "discovery-ask"))
                hedge_timer = Deadline(self.loop, HEDGE_INTERVAL_US)
                try:
                    with hedge_timer:
                        response, error = yield from responses.get()
                except DeadlineExceededError:
                    if not hedge_timer.passed:
                        raise
                    continue
                if error is not None:
                    raise error
                return response
        finally:
            for task in tasks:
                task.cancel()

    def request_list(self, whole: bool):
        """Does nothing: a watch is always open, so requests of the decisions need no call."""
        return
        yield
