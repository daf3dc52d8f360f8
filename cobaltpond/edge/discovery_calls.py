"""Calls to discovery that are open at the same time.

Discovery may be slow or silent, and a caller that waits can't tell which. A slow source answers the calls
that it has received, so they have to stay open. A source that was silent never answers the calls of that
time, so new ones have to follow each other closely. Both are done here: a call is given up only once a newer
one has been answered, or for a newer one where the maximum number of calls is open.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from cobaltpond.loop import Deadline, DeadlineExceededError, Queue, Task
from cobaltpond.rpc import CALL_ERRORS, BodyAllowance, BodyShare, call

HOSTS_PATH = "/discovery/hosts"
# Numbers of calls for the whole list that may wait at a silent source: the newest, and those kept for longer.
MAX_BRIEF_CALLS, MAX_KEPT_CALLS = 12, 6
# Number of calls that may wait at a source that is known to be slow: more would only make it slower.
MAX_CALLS_AT_SLOW_SOURCE = 3
MAX_OPEN_CALLS = MAX_BRIEF_CALLS + MAX_KEPT_CALLS + MAX_CALLS_AT_SLOW_SOURCE
# Limit of connecting, of the measured response time, and of the wait for a source that has been slow.
MAX_RESPONSE_TIME_US = 6_000_000


class CallKind(Enum):
    """What a call asks for: the list, its changes since a version now, or once there are some."""

    WHOLE_LIST = "whole list"
    CHANGES = "changes"
    WATCH = "watch"


@dataclass(frozen=True)
class CallTimes:
    """Time limits of the calls to one source, in microseconds.

    `watch`: how long a watch may wait for a change. `response`: after this time without a response that is
    due, the source counts as silent or slow. `hedge`: between two calls to a source that may be silent.
    """

    watch: int
    response: int
    hedge: int


@dataclass(eq=False)
class DiscoveryCall:
    """An open call. Times in microseconds of the loop.

    `after`: the version since which changes are asked for, None for the whole list. `is_kept`: a call for the
    whole list that waits for longer than others.
    """

    kind: CallKind
    after: int | None
    started_at: int
    due_at: int
    is_kept: bool = False
    task: Task | None = None


@dataclass(frozen=True)
class CallResult:
    """How a call ended: with a response (`status`, `body`), or with `error`, which `rpc.call` raised. `share`
    holds the body until it is released.
    """

    call: DiscoveryCall
    share: BodyShare
    status: int = 0
    body: bytes = b""
    error: Exception | None = None


class CallSchedule:
    """Decides when the next call begins and which calls are given up. Does no I/O.

    `open_calls`: in the order of their start. `response_time`: of the last response, in microseconds.
    `given_up_count`: calls that were given up since that response; `calls_ahead`: the same at the last
    response.
    """

    def __init__(self, times: CallTimes, now: int):
        self.times, self.open_calls = times, deque()
        self.response_time, self.last_response_at = 0, now
        self.given_up_count, self.calls_ahead = 0, 0

    @property
    def is_slow(self) -> bool:
        """Whether the last response took longer than a response should."""
        return self.response_time > self.times.response

    def waiting_since(self) -> int:
        """Returns since when a response is due and none has come; may be in the future. A call is open."""
        return max(self.last_response_at, min(call.due_at for call in self.open_calls))

    def silent_from(self) -> int:
        """Returns when the source counts as silent: where a slow one would have answered before it.

        A source that works on one call after the other may first answer those that were given up.
        """
        patience = self.times.response + (1 + self.calls_ahead) * self.response_time
        return self.waiting_since() + min(patience, MAX_RESPONSE_TIME_US)

    def is_silent(self, now: int) -> bool:
        """Returns whether the source counts as silent."""
        return now >= self.silent_from()

    def next_call_at(self) -> int:
        """Returns when the next call begins although one is open."""
        newest = self.open_calls[-1]
        probe_at = max(self.silent_from(), newest.started_at + self.times.hedge)
        if self.response_time > self.times.hedge and len(self.open_calls) >= MAX_CALLS_AT_SLOW_SOURCE:
            return probe_at
        if newest.kind is CallKind.WATCH and not self.is_slow:
            return min(probe_at, newest.due_at + self.times.response)
        return min(probe_at, newest.started_at + max(self.times.hedge, self.response_time // 2))

    def start_watch(self, now: int, after: int) -> DiscoveryCall:
        """Adds a watch for changes."""
        return self.add(DiscoveryCall(CallKind.WATCH, after, now, now + self.times.watch))

    def start_changes(self, now: int, after: int) -> DiscoveryCall:
        """Adds a call for the changes until now."""
        return self.add(DiscoveryCall(CallKind.CHANGES, after, now, now))

    def start_whole_list(self, now: int) -> tuple[DiscoveryCall, list]:
        """Adds a call for the whole list and returns it with the calls that are given up for it."""
        lists = [call for call in self.open_calls if call.kind is CallKind.WHOLE_LIST]
        kept = [call for call in lists if call.is_kept]
        is_kept = not kept or now - kept[-1].started_at >= self.times.response
        same_class = kept if is_kept else [call for call in lists if not call.is_kept]
        excess = len(same_class) + 1 - (MAX_KEPT_CALLS if is_kept else MAX_BRIEF_CALLS)
        given_up = same_class[: max(0, excess)]
        for oldest in given_up:
            self.remove(oldest)
        self.given_up_count += len(given_up)
        return self.add(DiscoveryCall(CallKind.WHOLE_LIST, None, now, now, is_kept)), given_up

    def add(self, started: DiscoveryCall) -> DiscoveryCall:
        """Adds a call."""
        self.open_calls.append(started)
        return started

    def remove(self, ended: DiscoveryCall) -> None:
        """Removes a call that has ended without a response."""
        self.open_calls.remove(ended)

    def record_response(self, now: int, answered: DiscoveryCall) -> list:
        """Removes an answered call and returns the older ones: they are given up, as they tell nothing newer.

        A watch that still waits for its change is kept.
        """
        self.last_response_at = now
        if now >= answered.due_at:  # a watch that a change ends early says nothing about the response time
            self.response_time = min(now - answered.due_at, MAX_RESPONSE_TIME_US)
        given_up = []
        for older in self.open_calls:
            if older is answered:
                break
            if older.kind is not CallKind.WATCH or now >= older.due_at + self.times.response:
                given_up.append(older)
        for ended in (*given_up, answered):
            self.remove(ended)
        self.calls_ahead = self.given_up_count + len(given_up)
        self.given_up_count = 0
        return given_up

    def has_open(self, kind: CallKind) -> bool:
        """Returns whether a call of this kind is open."""
        return any(call.kind is kind for call in self.open_calls)


class DiscoveryCalls:
    """Makes the calls to one source.

    `counts`: counters for the log, shared by all sources. `silent_watches`: watches that were given up after
    a later call was answered. `allowance`: for the bodies of all sources.
    """

    def __init__(self, loop, address, times: CallTimes, counts: dict, allowance: BodyAllowance):
        self.loop, self.address, self.counts, self.allowance = loop, address, counts, allowance
        self.schedule = CallSchedule(times, loop.now())
        self.silent_watches = 0
        self.results = Queue(MAX_OPEN_CALLS)

    def start_watch(self, after: int) -> None:
        """Starts a watch for what is newer than a version; its result comes from `next_result`."""
        self.spawn(self.schedule.start_watch(self.loop.now(), after))

    def start_changes(self, after: int) -> None:
        """Starts a call for what is newer than a version now; its result comes from `next_result`."""
        self.spawn(self.schedule.start_changes(self.loop.now(), after))

    def start_whole_list(self) -> None:
        """Starts a call for the whole list; its result comes from `next_result`."""
        started, given_up = self.schedule.start_whole_list(self.loop.now())
        self.give_up(given_up)
        self.spawn(started)

    def spawn(self, started: DiscoveryCall) -> None:
        """Starts the task of a call."""
        self.counts["calls"] += 1
        started.task = self.loop.spawn(self.run(started), "discovery-call")

    def run(self, started: DiscoveryCall):
        """Makes one call and puts its result into the queue."""
        target = HOSTS_PATH
        if started.after is not None:
            target += f"?after={started.after}&wait_ms={(started.due_at - started.started_at) // 1000}"
        share = self.allowance.share()
        try:
            try:
                status, body = yield from call(
                    self.loop, self.address, "GET", target, b"", MAX_RESPONSE_TIME_US, share
                )
                result = CallResult(started, share, status, body)
            except (*CALL_ERRORS, DeadlineExceededError) as error:
                share.release()
                result = CallResult(started, share, error=error)
            yield from self.results.put(result)
        except BaseException:  # cancelled: nobody gets the result
            share.release()
            raise

    def next_result(self, until: int):
        """Returns the next result of an open call; None where there is none until a time of the loop."""
        timer = Deadline(self.loop, until - self.loop.now())
        try:
            with timer:
                while True:
                    result = yield from self.results.get()
                    if result.call in self.schedule.open_calls:
                        return result
                    result.share.release()
        except DeadlineExceededError:
            if not timer.passed:
                raise
            return None

    def record_result(self, result: CallResult) -> None:
        """Removes a call that has ended, and after a response gives up the older ones."""
        if result.error is not None:
            self.schedule.remove(result.call)
            return
        given_up = self.schedule.record_response(self.loop.now(), result.call)
        self.give_up(given_up)
        self.silent_watches += sum(older.kind is CallKind.WATCH for older in given_up)

    def give_up(self, calls: list) -> None:
        """Ends calls that are no longer waited for."""
        for given_up in calls:
            self.counts["given_up"] += 1
            given_up.task.cancel()

    def close(self) -> None:
        """Ends all calls."""
        for result in self.results.items:
            result.share.release()
        for open_call in self.schedule.open_calls:
            open_call.task.cancel()
