"""The release desk as the gateway hears it: news, tallies, wrong answers; and the votes it sends there."""

import json
from urllib.parse import urlencode

from cobaltpond.loop import Deadline, DeadlineExceededError
from cobaltpond.rpc import CALL_ERRORS, NOT_SENT_ERRORS, Backoff, call, follow_stream
from cobaltpond.wire.address import split_address

PHASES = ("trial", "going back", "released", "withdrawn")
SHUT, GONE_MOST = ("going back", "withdrawn"), 16
VOTE_ANSWERS = {200: "ok", 409: "moot", 429: "full"}


class DeskClient:
    def __init__(self, loop, sheet, host, log):
        self.loop, self.settings, self.host, self.log = loop, sheet, host, log
        self.address, self.has_heard, self.last = split_address(sheet.desk.address), False, None
        self.waits = Backoff(100_000, 3_000_000, loop.kernel.random_seed())
        self.on_state = lambda *state: None  # called with each word of the desk
        self.last_seen_state = None  # the newest state acted by, as the desk is told of it again
        self.counts = {"news": 0, "tallies": 0, "wrong": 0, "errors": 0}

    def state(self, told: dict) -> tuple:
        """build, stage, phase, cap, age. Raises KeyError, TypeError or ValueError on what is no news."""
        if told["phase"] not in PHASES:
            raise ValueError(f"phase {told['phase']!r}")
        return (
            int(told["build"]),
            int(told["stage"]),
            told["phase"],
            min(1.0, max(0.0, float(told["cap"]))),
            max(0, int(told["age_us"])),
        )

    def remember_state(self, told: dict, state: tuple) -> None:
        """Remembers the newest state by its mark: a desk that has lost its own asks for it. Raises as
        `state`."""
        if "mark" not in told:
            return
        epoch, turn = told["mark"]
        mark, build, gone = (
            [int(epoch), int(turn)],
            state[0],
            list(self.last_seen_state["gone"]) if self.last_seen_state else [],
        )
        if self.last_seen_state and mark < self.last_seen_state["mark"]:
            return
        gone += [int(b) for b in told.get("gone", ()) if b not in gone]
        if state[2] in SHUT and build not in gone:
            gone.append(build)
        stable = told.get("stable")
        self.last_seen_state = {
            "mark": mark,
            "build": build,
            "stage": state[1],
            "phase": state[2],
            "cap": state[3],
            "stable": None if stable is None else int(stable),
            "gone": gone[-GONE_MOST:],
        }

    def target(self) -> str:
        """What the desk is asked for: its news; it is told what was seen last."""
        asked = {"gateway": self.host.number}
        if self.last_seen_state is not None:
            asked["seen"] = json.dumps(self.last_seen_state, separators=(",", ":"))
        return "/v1/news?" + urlencode(asked)

    def handle_message(self, told: dict) -> None:
        try:
            if "news" in told:
                state = self.state(told["news"])
                self.remember_state(told["news"], state)
                self.has_heard = True
                self.counts["news"] += 1
                if state[:4] != self.last:
                    self.last = state[:4]
                    self.log.info("news", build=state[0], stage=state[1], phase=state[2], cap=state[3])
                self.on_state(*state)
                self.host.post_event_first("on_news", *state, False, "ok")
            elif "tally" in told:
                t = told["tally"]
                self.counts["tallies"] += 1
                self.host.post_event(
                    "on_tally",
                    int(t["build"]),
                    t["group"],
                    int(t["count"]),
                    int(t["errored"]),
                    int(t["mean_us"]),
                    int(t["age_us"]),
                )
            elif "wrong" in told:
                w = told["wrong"]
                self.counts["wrong"] += 1
                self.host.post_event("on_wrong", w["instance"], w["group"], int(w["age_us"]))
        except (KeyError, TypeError, ValueError) as trouble:
            self.counts["errors"] += 1
            self.log.warning("no news", why=repr(trouble))

    def follow_desk(self):
        """The stream of news, for ever."""

        def take(told):
            for one in told:
                self.handle_message(one)

        def broken(trouble):
            self.counts["errors"] += 1
            self.log.warning("desk stream broken", why=f"{type(trouble).__name__}: {trouble}")

        yield from follow_stream(
            self.loop,
            self.address,
            self.target,
            take,
            3 * self.settings.release.news_period,
            self.settings.instances.dial_time,
            self.waits,
            broken,
        )

    def cast_vote(self, build, stage, verdict):
        """One vote and exactly one answer: ok, moot, full, error (it did not count), timeout (it may
        count)."""
        answer, state = "timeout", (build, stage, "trial", 0.0, 0)
        body = json.dumps({"gateway": self.host.number, "build": build, "stage": stage, "verdict": verdict})
        try:
            with Deadline(self.loop, self.settings.release.vote_wait):
                status, text = yield from call(
                    self.loop,
                    self.address,
                    "POST",
                    "/v1/votes",
                    body.encode(),
                    self.settings.instances.dial_time,
                )
            answer = VOTE_ANSWERS.get(status, "error")
            if status == 200:
                news = json.loads(text)["news"]
                state = self.state(news)
                self.remember_state(news, state)
        except NOT_SENT_ERRORS:
            answer = "error"
        except (*CALL_ERRORS, DeadlineExceededError):
            answer = "timeout"
        except (KeyError, TypeError, ValueError):
            answer = "timeout"  # it was heard, and what was said makes no sense
        if answer == "ok":
            self.on_state(*state)
        self.log.info("vote answered", build=build, stage=stage, verdict=verdict, answer=answer)
        self.host.post_event_first("on_news", *state, True, answer)
