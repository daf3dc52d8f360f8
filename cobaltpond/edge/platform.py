"""The platform's release desk: votes, and the feed of what it tells without being asked."""

import json

from cobaltpond.edge.source_switch import SourceSwitch
from cobaltpond.gateway.desk_client import VOTE_ANSWERS
from cobaltpond.loop import Deadline, DeadlineExceededError
from cobaltpond.rpc import CALL_ERRORS, NOT_SENT_ERRORS, Backoff, call, follow_stream
from cobaltpond.wire.json_lines import JsonLineError, parse_object

PHASES = {"canary": "trial", "reverting": "going back", "stable": "released", "reverted": "withdrawn"}
DECISIONS = {"none": "abstain", "on": "promote", "hold": "pause", "back": "abort"}
BALLOTS, FEED = "/v2/projects/main/ballots", "/v2/projects/main/feed"
SILENCE = 3_000_000  # a sign of life is due every second
COURSE = ("trial", "released", "going back", "withdrawn")
LOWERED = 7  # builds whose cap fell last: an attempt dials for a second or so
NO_NEWS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def state_of(told: dict) -> tuple:
    """build, stage, phase, cap, age in microseconds. Raises one of NO_NEWS."""
    return (
        int(told["Revision"]),
        int(told["Wave"]),
        PHASES[told["State"]],
        min(1.0, max(0.0, float(told["MaxShare"]))),
        max(0, int(told["AgeMs"] * 1000)),
    )


def course(state: tuple) -> tuple:
    """How far a release has come: build, phase, stage."""
    return state[0], COURSE.index(state[2]), state[1]


class PlatformDesk:
    def __init__(self, loop, host, address, vote_wait: int, dial_time: int, log):
        self.loop, self.host, self.address, self.log = loop, host, address, log
        self.vote_wait, self.dial_time, self.following = vote_wait, dial_time, SourceSwitch(loop, "feed")
        self.has_heard, self.last, self.began, self.lowered = False, None, 0, {}
        self.counts = {"news": 0, "wrong": 0, "errors": 0}

    def news(self, told: dict, reply: bool = False) -> None:
        """Raises one of NO_NEWS. Guards against the answer to a vote that was on its way while the feed told
        of what came after it: what comes before in a release's course, and began before, opens nothing
        again."""
        state, now = state_of(told), self.loop.now()
        self.counts["news"] += 1
        if self.last is not None and course(state) < course(self.last) and now - state[4] < self.began:
            if reply:  # the vote counts all the same
                self.host.post_event_first("on_news", *self.last, max(0, now - self.began), True, "ok")
            return
        self.began = now - state[4]
        if state[:4] != self.last:
            before = self.last
            self.last = state[:4]
            self.log.info("news", build=state[0], stage=state[1], phase=state[2], cap=state[3], age=state[4])
            # forwards decided on a higher cap, and not yet written, are not written any more
            if before is not None and (
                before[0] != state[0] or state[3] < before[3] or state[2] != before[2]
            ):
                self.lowered = {**dict(list(self.lowered.items())[-LOWERED:]), state[0]: now}
        self.host.post_event_first("on_news", *state, reply, "ok")

    def apply_objects(self, objects: list) -> None:
        """Raises JsonLineError: guards against a feed that came spoilt, whose next lines may be lost; a new
        one begins with the state."""
        for told in objects:
            try:
                if told.get("type") == "ROLLOUT":
                    self.news(told["object"])
                    self.has_heard = True
                elif told.get("type") == "DISPUTE":
                    one = told["object"]
                    instance, group, age = str(one["InstanceId"]), str(one["Lane"]), int(one["AgeMs"] * 1000)
                    self.counts["wrong"] += 1
                    self.host.post_event("on_wrong", instance, group, age)
                elif told:  # an empty object is a sign of life
                    raise JsonLineError(f"no news: {str(told)[:80]}")
            except NO_NEWS as trouble:
                raise JsonLineError(f"no news: {trouble!r}"[:200]) from trouble

    def restore(self, told: dict | None) -> None:
        """What the configuration holds of the newest build."""
        if told:
            try:
                self.news(told)
            except NO_NEWS as trouble:
                self.log.warning("news of the configuration unreadable", why=repr(trouble)[:200])

    def start(self, address) -> None:
        """Follows and votes at this address from now on; the feed before ends once this one stands."""
        self.address = address
        self.following.start(self.follow(address))

    def follow(self, address):
        """The feed, for ever."""

        def take(objects):
            if not self.following.is_replaced:  # what two feeds tell must not count twice
                self.following.source_answered()
                self.apply_objects(objects)

        def broken(trouble):
            self.counts["errors"] += 1
            self.log.warning("feed broken", why=f"{type(trouble).__name__}: {trouble}"[:200])

        yield from follow_stream(
            self.loop,
            address,
            lambda: FEED,
            take,
            SILENCE,
            self.dial_time,
            Backoff(50_000, 1_000_000, self.loop.kernel.random_seed()),
            broken,
        )

    def cast_vote(self, build, stage, verdict):
        """One vote and exactly one answer: ok, moot, full, error (it did not count), timeout (it may
        count)."""
        answer = "timeout"
        body = json.dumps(
            {"Revision": build, "Wave": stage, "Decision": DECISIONS[verdict]}, separators=(",", ":")
        )
        try:
            with Deadline(self.loop, self.vote_wait):
                status, text = yield from call(
                    self.loop, self.address, "POST", BALLOTS, body.encode(), self.dial_time
                )
            answer = VOTE_ANSWERS.get(status, "error" if status in (400, 500) else "timeout")
            if status == 200:
                self.news(parse_object(text), True)
        except NOT_SENT_ERRORS:
            answer = "error"
        except (*CALL_ERRORS, DeadlineExceededError, *NO_NEWS):
            answer = "timeout"  # it may have been heard, and what was said makes no sense
        self.log.info("vote answered", build=build, stage=stage, verdict=verdict, answer=answer)
        if answer != "ok":
            self.host.post_event_first("on_news", build, stage, "trial", 0.0, 0, True, answer)
