"""Recovers the desk's state after a restart from the states that gateways and hosts have seen.

The decisions are in `recovery/desk_state.py`. While it collects states or waits for an operator, the desk
accepts no vote and gives no order.
"""

import json

from cobaltpond.desk.stages import ReleaseRefusedError
from cobaltpond.loop import Sleep
from cobaltpond.recovery.desk_state import COLLECTING, RESUMED, WAITING, DeskStateRecovery, parse_seen_state
from cobaltpond.rpc import RpcError

COLLECT_TIMEOUT_US = 1_500_000  # gateways make their first attempts to reconnect within this time
POLL_INTERVAL_US = 20_000
MAX_SEEN_BYTES = 2048  # size limit of the seen state that a gateway sends


class StateRecovery:
    """State recovery of a running desk.

    `desk`: the service. `record`: the last record of the journal, or None. Without a journal the desk does
    not know which states it sent, so it waits for the states of all gateways and hosts.
    """

    def __init__(self, desk, record: dict | None):
        self.desk, self.loop, self.log = desk, desk.loop, desk.log
        last_sent_mark = (record or {}).get("told")
        # Gateways that have connected since the journal was created.
        self.known_gateways = list((record or {}).get("known", ()))
        gateways = self.known_gateways if record is not None else range(len(desk.settings.gateways))
        expected = [*(("gateway", n) for n in gateways), *(("host", h.place) for h in desk.settings.hosts)]
        self.recovery = DeskStateRecovery(
            tuple(last_sent_mark) if last_sent_mark else None,
            tuple(expected),
            tuple(desk.settings.release.caps),
            self.loop.now(),
            max(COLLECT_TIMEOUT_US, desk.settings.release.start_within if desk.hosts else 0),
        )
        self.without_journal = record is None

    @property
    def is_collecting(self) -> bool:
        """True while states of gateways and hosts are being collected."""
        return self.recovery.state == COLLECTING

    @property
    def is_waiting(self) -> bool:
        """True while an operator has to decide."""
        return self.recovery.state == WAITING

    @property
    def is_blocked(self) -> bool:
        """True while the desk accepts no vote and gives no order."""
        return self.is_collecting or self.is_waiting

    # --- reported states ------------------------------------------------------------------------------------

    def gateway_asked(self, number: int, seen: str | None) -> None:
        """Records the state that a gateway reports with its request for news, as JSON text; None: no state.

        Raises RpcError (400) where it is too long or malformed.
        """
        if seen is not None and len(seen) > MAX_SEEN_BYTES:
            raise RpcError(400, f"seen: more than {MAX_SEEN_BYTES} bytes")
        try:
            seen_state = parse_seen_state(json.loads(seen) if seen else None)
        except ValueError as error:
            raise RpcError(400, f"seen: {error}") from None
        self.receive_seen_state(("gateway", number), seen_state)
        if number not in self.known_gateways and not self.is_collecting:
            self.known_gateways.append(number)
            self.desk.persist()

    def host_reported(self, place: str, seen) -> None:
        """Records the state in a host's report. Raises ValueError where it is malformed."""
        self.receive_seen_state(("host", place), parse_seen_state(seen))

    def receive_seen_state(self, reporter, seen_state) -> None:
        """Adds a reported state while collecting; afterwards a late one may cause a rollback or a wait.

        `reporter`: ("gateway", number) or ("host", place).
        """
        if self.is_collecting:
            self.recovery.add_state(reporter, seen_state)
            return
        stages = self.desk.stages
        verdict = self.recovery.classify_late_report(reporter, seen_state, stages.build, self.desk.epoch)
        if verdict == "back" and stages.phase in ("trial", "released") and not self.is_waiting:
            self.log.error(
                "late report of a rollback; rolling back",
                who=list(reporter),
                why="it saw this build go back",
                build=stages.build,
            )
            try:
                stages.send_back(self.loop.now(), f"{reporter[0]} {reporter[1]} saw it go back")
            except ReleaseRefusedError as refusal:
                self.log.error("not sent back", why=str(refusal))
        elif verdict == WAITING:
            self.wait_for_operator()

    # --- collection -----------------------------------------------------------------------------------------

    def collect(self, running_builds):
        """Collects states until enough have arrived or the time is up, then resumes or waits for an operator.

        `running_builds()` gives the builds that hosts report as running.
        """
        hosts = self.desk.hosts
        while not self.recovery.is_due(self.loop.now()) and not self.desk.stop_asked:
            if (
                hosts
                and self.without_journal
                and not running_builds()
                and self.recovery.newer_states() == {}
                and not any(reporter[0] == "host" for reporter in self.recovery.missing())
            ):
                break  # all hosts have reported and nothing runs: this is the first start of the fleet
            yield Sleep(POLL_INTERVAL_US)
        state = self.recovery.conclude(tuple(running_builds()))
        self.known_gateways = sorted(
            {
                *self.known_gateways,
                *(reporter[1] for reporter in self.recovery.states if reporter[0] == "gateway"),
            }
        )
        self.desk.epoch = max(self.desk.epoch, self.recovery.highest_epoch() + 1)
        self.log.info(
            "collected",
            state=state,
            why=self.recovery.reason,
            spoke=len(self.recovery.states),
            missing=[list(reporter) for reporter in self.recovery.missing()][:20],
        )
        if state == RESUMED:
            try:
                self.desk.stages.resume(
                    self.loop.now(), self.recovery.plan, f"after a loss: {self.recovery.reason}"
                )
            except ReleaseRefusedError as refusal:
                self.recovery.resolve(WAITING, self.recovery.plan, str(refusal))
        if self.is_waiting:
            self.wait_for_operator()

    def wait_for_operator(self) -> None:
        """Publishes a safe state (a trial at stage 0) and leaves the decision to an operator."""
        self.log.error("waiting for the operator", why=self.recovery.reason)
        plan, stages = self.recovery.plan, self.desk.stages
        if plan is not None and plan.build >= stages.build:
            stages.build, stages.stage, stages.phase, stages.votes = plan.build, 0, "trial", {}
            stages.stable = plan.stable if plan.stable is not None else stages.stable
            stages.turns += 1
        self.desk.epoch = max(self.desk.epoch, self.recovery.highest_epoch() + 1)

    def resolve(self, why: str) -> None:
        """Ends the wait for an operator, who has decided. Does nothing while there is no wait."""
        if self.is_waiting:
            self.recovery.resolve(RESUMED, None, why)
            self.log.info("operator decided; resuming", why=why)

    def limit_news(self, news: dict) -> dict:
        """The news, with no cap above the lowest one reported while the desk waits for an operator."""
        if not self.is_waiting:
            return news
        return {**news, "cap": min(news["cap"], self.recovery.plan.cap if self.recovery.plan else 0.0)}

    def status(self) -> dict:
        """State, reason and missing reporters, as JSON for the status page."""
        recovery = self.recovery
        missing = [list(reporter) for reporter in recovery.missing()] if self.is_collecting else []
        return {"state": recovery.state, "why": recovery.reason, "missing": missing}
