"""The running desk's part of coming back: collects what gateways and hosts have seen, then lets the desk go
on.

What is decided stands in `recovery/desk_state.py`. While it collects or waits the desk takes no vote and
gives no order.
"""

import json

from cobaltpond.desk.stages import Refused
from cobaltpond.loop import Sleep
from cobaltpond.recovery.desk_state import COLLECTING, RESUMED, WAITING, Returning, word_of
from cobaltpond.rpc import Refusal

BOUND = 1_500_000  # so long gateways are waited for; their first tries come sooner
LOOK = 20_000
SEEN_MOST = 2048  # bytes of a gateway's word


class Comeback:
    """`desk`: the service. `kept`: the journal's last record, or None. Without a journal nothing is known of
    what was told: all that can be heard is asked for."""

    def __init__(self, desk, kept: dict | None):
        self.desk, self.loop, self.log = desk, desk.loop, desk.log
        told = (kept or {}).get("told")
        self.known = list(
            (kept or {}).get("known", ())
        )  # gateways that this line of the journal has spoken to
        gateways = self.known if kept is not None else range(len(desk.sheet.gateways))
        expected = [*(("gateway", n) for n in gateways), *(("host", h.place) for h in desk.sheet.hosts)]
        self.returning = Returning(
            tuple(told) if told else None,
            tuple(expected),
            tuple(desk.sheet.release.caps),
            self.loop.now(),
            max(BOUND, desk.sheet.release.start_within if desk.hosts else 0),
        )
        self.bare = kept is None

    @property
    def collecting(self) -> bool:
        return self.returning.state == COLLECTING

    @property
    def waiting(self) -> bool:
        return self.returning.state == WAITING

    @property
    def shut(self) -> bool:
        """No vote, no order."""
        return self.collecting or self.waiting

    # --- what is heard --------------------------------------------------------------------------------------

    def gateway(self, number: int, seen: str | None) -> None:
        """A gateway asks for news, and says what it has seen. Raises Refusal."""
        if seen is not None and len(seen) > SEEN_MOST:
            raise Refusal(400, f"seen: more than {SEEN_MOST} bytes")
        try:
            word = word_of(json.loads(seen) if seen else None)
        except ValueError as trouble:
            raise Refusal(400, f"seen: {trouble}") from None
        self.take(("gateway", number), word)
        if number not in self.known and not self.collecting:
            self.known.append(number)
            self.desk.keep()

    def host(self, place: str, seen) -> None:
        """Raises ValueError."""
        self.take(("host", place), word_of(seen))

    def take(self, who, word) -> None:
        if self.collecting:
            self.returning.heard(who, word)
            return
        stages = self.desk.stages
        said = self.returning.late(who, word, stages.build, self.desk.epoch)
        if said == "back" and stages.phase in ("trial", "released") and not self.waiting:
            self.log.error("late word", who=list(who), why="it saw this build go back", build=stages.build)
            try:
                stages.send_back(self.loop.now(), f"{who[0]} {who[1]} saw it go back")
            except Refused as no:
                self.log.error("not sent back", why=str(no))
        elif said == WAITING:
            self.wait_for_operator()

    # --- collecting -----------------------------------------------------------------------------------------

    def collect(self, running):
        """A task: until enough have spoken. `running()`: builds that hosts say they run."""
        hosts = self.desk.hosts
        while not self.returning.due(self.loop.now()) and not self.desk.stop_asked:
            if (
                hosts
                and self.bare
                and not running()
                and self.returning.newer() == {}
                and not any(who[0] == "host" for who in self.returning.missing())
            ):
                break  # all hosts have spoken, nothing runs: a fleet that begins
            yield Sleep(LOOK)
        state = self.returning.conclude(tuple(running()))
        self.known = sorted({*self.known, *(who[1] for who in self.returning.words if who[0] == "gateway")})
        self.desk.epoch = max(self.desk.epoch, self.returning.floor() + 1)
        self.log.info(
            "collected",
            state=state,
            why=self.returning.why,
            spoke=len(self.returning.words),
            missing=[list(who) for who in self.returning.missing()][:20],
        )
        if state == RESUMED:
            try:
                self.desk.stages.resume(
                    self.loop.now(), self.returning.plan, f"after a loss: {self.returning.why}"
                )
            except Refused as no:
                self.returning.settle(WAITING, self.returning.plan, str(no))
        if self.waiting:
            self.wait_for_operator()

    def wait_for_operator(self) -> None:
        """Tells what is safe, decides nothing."""
        self.log.error("waiting for the operator", why=self.returning.why)
        plan, stages = self.returning.plan, self.desk.stages
        if plan is not None and plan.build >= stages.build:
            stages.build, stages.stage, stages.phase, stages.votes = plan.build, 0, "trial", {}
            stages.stable = plan.stable if plan.stable is not None else stages.stable
            stages.turns += 1
        self.desk.epoch = max(self.desk.epoch, self.returning.floor() + 1)

    def settle(self, why: str) -> None:
        """The operator has spoken."""
        if self.waiting:
            self.returning.settle(RESUMED, None, why)
            self.log.info("goes on", why=why)

    def limited(self, news: dict) -> dict:
        """News as they are told while the operator is waited for: no cap above the lowest one heard."""
        if not self.waiting:
            return news
        return {**news, "cap": min(news["cap"], self.returning.plan.cap if self.returning.plan else 0.0)}

    def status(self) -> dict:
        returning = self.returning
        missing = [list(who) for who in returning.missing()] if self.collecting else []
        return {"state": returning.state, "why": returning.why, "missing": missing}
