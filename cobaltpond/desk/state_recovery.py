"""The running desk's part of coming back: collects what gateways and hosts have seen, then lets the desk go
on.

What is decided stands in `recovery/desk_state.py`. While it collects or waits the desk takes no vote and
gives no order.
"""

import json

from cobaltpond.desk.stages import ReleaseRefusedError
from cobaltpond.loop import Sleep
from cobaltpond.recovery.desk_state import COLLECTING, RESUMED, WAITING, DeskStateRecovery, parse_seen_state
from cobaltpond.rpc import RpcError

BOUND = 1_500_000  # so long gateways are waited for; their first tries come sooner
LOOK = 20_000
SEEN_MOST = 2048  # bytes of a gateway's word


class StateRecovery:
    """`desk`: the service. `kept`: the journal's last record, or None. Without a journal nothing is known of
    what was told: all that can be heard is asked for."""

    def __init__(self, desk, kept: dict | None):
        self.desk, self.loop, self.log = desk, desk.loop, desk.log
        told = (kept or {}).get("told")
        self.known = list(
            (kept or {}).get("known", ())
        )  # gateways that this line of the journal has spoken to
        gateways = self.known if kept is not None else range(len(desk.settings.gateways))
        expected = [*(("gateway", n) for n in gateways), *(("host", h.place) for h in desk.settings.hosts)]
        self.returning = DeskStateRecovery(
            tuple(told) if told else None,
            tuple(expected),
            tuple(desk.settings.release.caps),
            self.loop.now(),
            max(BOUND, desk.settings.release.start_within if desk.hosts else 0),
        )
        self.bare = kept is None

    @property
    def is_collecting(self) -> bool:
        return self.returning.state == COLLECTING

    @property
    def is_waiting(self) -> bool:
        return self.returning.state == WAITING

    @property
    def is_blocked(self) -> bool:
        """No vote, no order."""
        return self.is_collecting or self.is_waiting

    # --- what is heard --------------------------------------------------------------------------------------

    def gateway_asked(self, number: int, seen: str | None) -> None:
        """A gateway asks for news, and says what it has seen. Raises RpcError."""
        if seen is not None and len(seen) > SEEN_MOST:
            raise RpcError(400, f"seen: more than {SEEN_MOST} bytes")
        try:
            word = parse_seen_state(json.loads(seen) if seen else None)
        except ValueError as trouble:
            raise RpcError(400, f"seen: {trouble}") from None
        self.receive_seen_state(("gateway", number), word)
        if number not in self.known and not self.is_collecting:
            self.known.append(number)
            self.desk.persist()

    def host_reported(self, place: str, seen) -> None:
        """Raises ValueError."""
        self.receive_seen_state(("host", place), parse_seen_state(seen))

    def receive_seen_state(self, who, word) -> None:
        if self.is_collecting:
            self.returning.add_state(who, word)
            return
        stages = self.desk.stages
        said = self.returning.classify_late_report(who, word, stages.build, self.desk.epoch)
        if said == "back" and stages.phase in ("trial", "released") and not self.is_waiting:
            self.log.error("late word", who=list(who), why="it saw this build go back", build=stages.build)
            try:
                stages.send_back(self.loop.now(), f"{who[0]} {who[1]} saw it go back")
            except ReleaseRefusedError as no:
                self.log.error("not sent back", why=str(no))
        elif said == WAITING:
            self.wait_for_operator()

    # --- collecting -----------------------------------------------------------------------------------------

    def collect(self, running):
        """A task: until enough have spoken. `running()`: builds that hosts say they run."""
        hosts = self.desk.hosts
        while not self.returning.is_due(self.loop.now()) and not self.desk.stop_asked:
            if (
                hosts
                and self.bare
                and not running()
                and self.returning.newer_states() == {}
                and not any(who[0] == "host" for who in self.returning.missing())
            ):
                break  # all hosts have spoken, nothing runs: a fleet that begins
            yield Sleep(LOOK)
        state = self.returning.conclude(tuple(running()))
        self.known = sorted({*self.known, *(who[1] for who in self.returning.states if who[0] == "gateway")})
        self.desk.epoch = max(self.desk.epoch, self.returning.highest_epoch() + 1)
        self.log.info(
            "collected",
            state=state,
            why=self.returning.reason,
            spoke=len(self.returning.states),
            missing=[list(who) for who in self.returning.missing()][:20],
        )
        if state == RESUMED:
            try:
                self.desk.stages.resume(
                    self.loop.now(), self.returning.plan, f"after a loss: {self.returning.reason}"
                )
            except ReleaseRefusedError as no:
                self.returning.resolve(WAITING, self.returning.plan, str(no))
        if self.is_waiting:
            self.wait_for_operator()

    def wait_for_operator(self) -> None:
        """Tells what is safe, decides nothing."""
        self.log.error("waiting for the operator", why=self.returning.reason)
        plan, stages = self.returning.plan, self.desk.stages
        if plan is not None and plan.build >= stages.build:
            stages.build, stages.stage, stages.phase, stages.votes = plan.build, 0, "trial", {}
            stages.stable = plan.stable if plan.stable is not None else stages.stable
            stages.turns += 1
        self.desk.epoch = max(self.desk.epoch, self.returning.highest_epoch() + 1)

    def resolve(self, why: str) -> None:
        """The operator has spoken."""
        if self.is_waiting:
            self.returning.resolve(RESUMED, None, why)
            self.log.info("goes on", why=why)

    def limit_news(self, news: dict) -> dict:
        """News as they are told while the operator is waited for: no cap above the lowest one heard."""
        if not self.is_waiting:
            return news
        return {**news, "cap": min(news["cap"], self.returning.plan.cap if self.returning.plan else 0.0)}

    def status(self) -> dict:
        returning = self.returning
        missing = [list(who) for who in returning.missing()] if self.is_collecting else []
        return {"state": returning.state, "why": returning.reason, "missing": missing}
