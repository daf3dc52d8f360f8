"""The interface between the decisions and their host.

The host is the program around the decisions, either the bench adapter or the gateway process, and not a
machine. It makes one `rules.Gateway(host, now, seed, settings)` for each start of a gateway and feeds it
events through `Decisions`. The gateway acts only through the `DecisionHost` it was given, and only while
handling an event. The module holds types only; times are whole microseconds.
"""

from typing import Any, Literal, Protocol

# The result "moot" means that a forward was not sent, since its hit cannot be sent again or has its answer.
# The vote answer "moot" means that the release state for which the vote was cast is no longer current.
ForwardResult = Literal["ok", "error", "full", "timeout", "unreachable", "reset", "cancelled", "moot"]
Answer = Literal["ok", "moot", "full", "error", "timeout"]
Verdict = Literal["none", "on", "hold", "back"]
# "going back": a rollback is in progress; "withdrawn": the build is rolled back.
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
        """Rejects the hit, so that a retry is harmless, with the advised delay; 0: no advice."""
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
        """Sends a vote to the release desk; its answer is reported to `on_news`."""
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
        """Returns whether a forward may go to the instance now: an idle connection is kept, or a new one may
        be dialled. Called only where the settings say "paced"."""
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
        """Called when a hit arrives, with its path group, `time_left` until its deadline and its cost (None:
        unknown); `is_retry`: the client retries."""
        ...

    def on_outcome(
        self,
        now: int,
        hit: int,
        forward: int,
        result: ForwardResult,
        duration: int,
        hit_final: bool,
        report: Report,
    ) -> None:
        """Called when a forward has ended after `duration`; `hit_final`: the hit has its final answer."""
        ...

    def on_gone(self, now: int, hit: int) -> None:
        """Called when a client disconnects before its answer, or no longer needs one from the decisions."""
        ...

    def on_list(self, now: int, whole: bool, rows: list[Row]) -> None:
        """Called with the instance list, or with changes to it where `whole` is false."""
        ...

    def on_list_error(self, now: int) -> None:
        """Called when a request for the instance list has failed."""
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
        """Called when the desk reports the release state, whose stage began `age` ago. `reply`: it answers a
        vote. Where `answer` is not "ok" the state is not to be used."""
        ...

    def on_platform_counts(
        self, now: int, build: int, group: str, count: int, errored: int, mean: int, age: int
    ) -> None:
        """Called with counts of hits of a build and path group, from the platform or from another gateway
        that was asked for them; `mean` is the mean latency."""
        ...

    def on_wrong_answer(self, now: int, instance: str, group: str, age: int) -> None:
        """Called when an answer that the instance gave `age` ago is reported as wrong."""
        ...

    def on_probed(
        self, now: int, instance: str, result: ForwardResult, duration: int, report: Report
    ) -> None:
        """Called when a probe has ended after `duration`; `report` is empty where the instance gave none."""
        ...

    def on_peer(self, now: int, peer: int, data: bytes) -> None:
        """Called with data from the gateway with number `peer`."""
        ...

    def on_members(self, now: int, living: dict[int, int]) -> None:
        """Called when the membership changes, with the numbers and the starts of the present gateways."""
        ...

    def on_build_blocked(self, now: int, build: int | None) -> None:
        """Called when another gateway reports that a build is rolled back or that its cap falls; None: this
        gateway's own desk connection has reported a state since."""
        ...

    def on_warm_start(self, now: int, rows: list[tuple], keys: list[tuple]) -> None:
        """Called with earlier state for a warm start: rows (id, latency ratio, hits in flight, faults,
        silent) and keys (key, build)."""
        ...

    def on_drains(self, now: int, tags: list[int]) -> None:
        """Called when another gateway's newer list shows the instances with these tags as draining."""
        ...

    def on_wake(self, now: int, token: int) -> None:
        """Called at the time of a scheduled wake-up."""
        ...
