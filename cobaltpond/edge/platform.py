"""Client of the platform's release desk: sends votes and follows the feed of release states and disputes."""

import json

from cobaltpond.edge.source_switch import SourceSwitch
from cobaltpond.gateway.desk_client import VOTE_ANSWERS
from cobaltpond.loop import Deadline, DeadlineExceededError
from cobaltpond.rpc import CALL_ERRORS, NOT_SENT_ERRORS, Backoff, BodyAllowance, call, follow_stream
from cobaltpond.wire.json_lines import JsonLineError, parse_object

PHASES = {"canary": "trial", "reverting": "going back", "stable": "released", "reverted": "withdrawn"}
BALLOT_DECISIONS = {"none": "abstain", "on": "promote", "hold": "pause", "back": "abort"}
BALLOTS_PATH, FEED_PATH = "/v2/projects/main/ballots", "/v2/projects/main/feed"
FEED_SILENCE_TIMEOUT_US = 3_000_000  # the feed sends at least an empty object each second
MAX_FEED_LINE_BYTES = 64 << 10  # of one object of the feed
MAX_VOTE_ANSWER_BYTES = 64 << 10
PHASE_ORDER = ("trial", "released", "going back", "withdrawn")
# Number of builds, beside the latest, whose last drop of the cap is remembered; a forward dials for about a
# second.
MAX_LOWERED_BUILDS = 7
STATE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def parse_state(document: dict) -> tuple:
    """Converts a release state to (build, stage, phase, cap, age in microseconds).

    Raises one of STATE_ERRORS.
    """
    return (
        int(document["Revision"]),
        int(document["Wave"]),
        PHASES[document["State"]],
        min(1.0, max(0.0, float(document["MaxShare"]))),
        max(0, int(document["AgeMs"] * 1000)),
    )


def release_progress(state: tuple) -> tuple:
    """Returns the sort key of a release's progress: build, phase, stage."""
    return state[0], PHASE_ORDER.index(state[2]), state[1]


class PlatformDesk:
    """Keeps the decisions informed of the newest release state, and sends their votes."""

    def __init__(self, loop, host, address, vote_wait: int, dial_time: int, log):
        self.loop, self.host, self.address, self.log = loop, host, address, log
        self.vote_wait, self.dial_time, self.source_switch = vote_wait, dial_time, SourceSwitch(loop, "feed")
        self.has_received, self.last_state, self.state_began, self.cap_lowered_at = False, None, 0, {}
        self.counts = {"news": 0, "wrong": 0, "errors": 0}

    def apply_state(self, document: dict, is_reply: bool = False) -> None:
        """Applies a state from the feed, or from the reply to a vote. Raises one of STATE_ERRORS.

        The reply to a vote may arrive after newer states of the feed. A state that comes earlier in the
        release's progress and began earlier is stale, and must not raise the cap again.
        """
        state, now = parse_state(document), self.loop.now()
        self.counts["news"] += 1
        if (
            self.last_state is not None
            and release_progress(state) < release_progress(self.last_state)
            and now - state[4] < self.state_began
        ):
            if is_reply:  # the vote was counted although the state is stale
                self.host.post_event_first(
                    "on_news", *self.last_state, max(0, now - self.state_began), True, "ok"
                )
            return
        self.state_began = now - state[4]
        if state[:4] != self.last_state:
            previous = self.last_state
            self.last_state = state[:4]
            self.log.info("news", build=state[0], stage=state[1], phase=state[2], cap=state[3], age=state[4])
            # Forwards that were decided under a higher cap and are not written yet are no longer sent.
            if previous is not None and (
                previous[0] != state[0] or state[3] < previous[3] or state[2] != previous[2]
            ):
                self.cap_lowered_at = {
                    **dict(list(self.cap_lowered_at.items())[-MAX_LOWERED_BUILDS:]),
                    state[0]: now,
                }
        self.host.post_event_first("on_news", *state, is_reply, "ok")

    def apply_objects(self, objects: list) -> None:
        """Applies objects of the feed. Raises JsonLineError on an invalid one.

        The lines after a corrupt one may be lost, so the feed is opened again; a new feed begins with the
        state.
        """
        for document in objects:
            try:
                if document.get("type") == "ROLLOUT":
                    self.apply_state(document["object"])
                    self.has_received = True
                elif document.get("type") == "DISPUTE":
                    dispute = document["object"]
                    instance = str(dispute["InstanceId"])
                    group = str(dispute["Lane"])
                    age = int(dispute["AgeMs"] * 1000)
                    self.counts["wrong"] += 1
                    self.host.post_event("on_wrong_answer", instance, group, age)
                elif document:  # an empty object is a heartbeat
                    raise JsonLineError(f"invalid feed object: {str(document)[:80]}")
            except STATE_ERRORS as error:
                raise JsonLineError(f"invalid feed object: {error!r}"[:200]) from error

    def restore(self, document: dict | None) -> None:
        """Restores the state of the newest build from the configuration; None does nothing."""
        if document:
            try:
                self.apply_state(document)
            except STATE_ERRORS as error:
                self.log.warning("release state of the configuration unreadable", why=repr(error)[:200])

    def start(self, address) -> None:
        """Uses this address for feed and votes from now on.

        The previous feed ends once the new one has sent something.
        """
        self.address = address
        self.source_switch.start(self.follow(address))

    def follow(self, address):
        """Follows the feed until cancelled."""

        def on_objects(objects):
            if not self.source_switch.is_replaced:  # reports that come from two feeds must not count twice
                self.source_switch.source_answered()
                self.apply_objects(objects)

        def on_error(error):
            self.counts["errors"] += 1
            self.log.warning("feed broken", why=f"{type(error).__name__}: {error}"[:200])

        yield from follow_stream(
            self.loop,
            address,
            lambda: FEED_PATH,
            on_objects,
            FEED_SILENCE_TIMEOUT_US,
            self.dial_time,
            Backoff(50_000, 1_000_000, self.loop.kernel.random_seed()),
            on_error,
            max_line_bytes=MAX_FEED_LINE_BYTES,
        )

    def cast_vote(self, build, stage, verdict):
        """Sends one vote and reports exactly one result to the decisions.

        The result is ok, moot, full, error (the vote did not count) or timeout (it may have counted).
        """
        answer = "timeout"
        body = json.dumps(
            {"Revision": build, "Wave": stage, "Decision": BALLOT_DECISIONS[verdict]}, separators=(",", ":")
        )
        try:
            with Deadline(self.loop, self.vote_wait):
                status, text = yield from call(
                    self.loop,
                    self.address,
                    "POST",
                    BALLOTS_PATH,
                    body.encode(),
                    self.dial_time,
                    BodyAllowance(MAX_VOTE_ANSWER_BYTES).share(),
                )
            answer = VOTE_ANSWERS.get(status, "error" if status in (400, 500) else "timeout")
            if status == 200:
                self.apply_state(parse_object(text), True)
        except NOT_SENT_ERRORS:
            answer = "error"
        except (*CALL_ERRORS, DeadlineExceededError, *STATE_ERRORS):
            answer = "timeout"  # the desk may have counted it, but its response is invalid
        self.log.info("vote answered", build=build, stage=stage, verdict=verdict, answer=answer)
        if answer != "ok":
            self.host.post_event_first("on_news", build, stage, "trial", 0.0, 0, True, answer)
