"""The interface between the decisions and their host, the bench adapter or the gateway process.

A host makes one `rules.Gateway(host, now, seed, settings)` for each start of a gateway and feeds it events
through `Decisions`. The gateway acts only through the `DecisionHost` it was given, and only while handling an
event. Types only; times are whole microseconds.
"""

from typing import Any, Literal, Protocol

ForwardResult = Literal["ok", "error", "full", "timeout", "unreachable", "reset", "cancelled", "moot"]
Answer = Literal["ok", "moot", "full", "error", "timeout"]
Verdict = Literal["none", "on", "hold", "back"]
Phase = Literal["trial", "going back", "released", "withdrawn"]
Report = dict[str, float]
PolicySettings = dict[str, Any]
Row = dict[str, Any]


class DecisionHost(Protocol):
    """What the decisions may ask of their host; results come as events."""

    def send_forward(self, hit: int, instance: str, timeout: int, send_within: int | None) -> None:
        """Sends the hit to an instance and reports to `on_outcome`, after `timeout` at the latest. The last
        byte is sent within `send_within`; None: within the timeout."""
        ...

    def cancel_forward(self, hit: int, forward: int) -> None:
        """Cancels forward number `forward` of the hit; its outcome is still reported."""
        ...

    def reject_hit(self, hit: int, retry_after: int) -> None:
        """Answers that the hit is rejected and a retry harmless, with the advised delay; 0: no advice."""
        ...

    def fail_hit(self, hit: int) -> None:
        """Answers that the hit has failed; it may have been executed."""
        ...

    def schedule_wakeup(self, token: int, delay: int) -> None:
        """Calls `on_wake` with the token after the delay."""
        ...

    def probe_instance(self, instance: str) -> None:
        """Sends a probe to an instance and reports to `on_probed`."""
        ...

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Sends a ballot to the release desk; its answer is reported to `on_news`."""
        ...

    def fetch_list(self) -> None:
        """Requests the whole instance list once."""
        ...

    def watch_list(self) -> None:
        """Requests the instance list and the changes that follow."""
        ...

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Sends data to the gateway with this number, or to all others (None); it may be lost."""
        ...

    def log_note(self, text: str) -> None:
        """Writes a line to the operator's log."""
        ...

    def is_reachable(self, instance: str) -> bool:
        """Whether a forward may go to the instance now: an idle connection is kept, or a new one may be
        dialled. Asked only where the settings say "paced"."""
        ...


class Decisions(Protocol):
    """The events that a host reports. Every call carries the time at which it happens."""

    def on_hit(
        self,
        now: int,
        hit: int,
        group: str,
        customer: str | None,
        key: int | None,
        time_left: int,
        cost: int | None,
        is_retry: bool,
    ) -> None:
        """A hit has arrived, with its path group, `time_left` until its deadline and its cost (None:
        unknown); `is_retry`: the client retries."""
        ...

    def on_outcome(
        self,
        now: int,
        hit: int,
        forward: int,
        result: ForwardResult,
        duration: int,
        closed: bool,
        report: Report,
    ) -> None:
        """A forward has ended after `duration`; `closed`: the client has its final answer."""
        ...

    def on_gone(self, now: int, hit: int) -> None:
        """The client has left before its answer."""
        ...

    def on_list(self, now: int, whole: bool, rows: list[Row]) -> None:
        """The instance list has come, or changes to it where `whole` is false."""
        ...

    def on_list_error(self, now: int) -> None:
        """A request for the instance list has failed."""
        ...

    def on_news(
        self,
        now: int,
        build: int,
        stage: int,
        phase: Phase,
        cap: float,
        age: int,
        reply: bool,
        answer: Answer,
    ) -> None:
        """The desk has told the state of the release, whose stage began `age` ago. `reply`: it answers a
        ballot. Where `answer` is not "ok" the state is not to be used."""
        ...

    def on_platform_counts(
        self, now: int, build: int, group: str, count: int, errored: int, mean: int, age: int
    ) -> None:
        """The platform has counted hits of a build and path group; `mean` is their mean latency."""
        ...

    def on_wrong_answer(self, now: int, instance: str, group: str, age: int) -> None:
        """An answer that the instance gave `age` ago is reported as wrong."""
        ...

    def on_probed(
        self, now: int, instance: str, result: ForwardResult, duration: int, report: Report
    ) -> None:
        """A probe has ended after `duration`; `report` is empty where the instance gave none."""
        ...

    def on_peer(self, now: int, peer: int, data: bytes) -> None:
        """Data has come from the gateway with number `peer`."""
        ...

    def on_members(self, now: int, living: dict[int, int]) -> None:
        """The membership has changed: numbers of the live gateways, each with its start."""
        ...

    def on_build_blocked(self, now: int, build: int | None) -> None:
        """Another gateway reports that a build goes back or that its cap falls; None: the own desk has
        answered since."""
        ...

    def on_warm_start(self, now: int, rows: list[tuple], keys: list[tuple]) -> None:
        """Earlier state for a warm start: rows (id, latency ratio, hits in flight, faults, silent) and keys
        (key, build)."""
        ...

    def on_drains(self, now: int, tags: list[int]) -> None:
        """Another gateway's newer list has the instances with these tags draining."""
        ...

    def on_wake(self, now: int, token: int) -> None:
        """A scheduled wake-up has come."""
        ...
