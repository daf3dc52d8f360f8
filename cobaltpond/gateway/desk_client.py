"""Follows the release desk's stream (release states, tallies, wrong answers) and sends this
gateway's votes.
"""

import json
from urllib.parse import urlencode

from cobaltpond.loop import Deadline, DeadlineExceededError
from cobaltpond.rpc import CALL_ERRORS, NOT_SENT_ERRORS, Backoff, call, follow_stream
from cobaltpond.wire.address import split_address

PHASES = ("trial", "going back", "released", "withdrawn")
# phases of a build that is being, or has been, rolled back; how many such builds are remembered
BLOCKED_PHASES, MAX_GONE_BUILDS = ("going back", "withdrawn"), 16
# HTTP status of the desk -> answer that the decisions get
VOTE_ANSWERS = {200: "ok", 409: "moot", 429: "full"}


class DeskClient:
    """This gateway's client of the release desk; posts what it receives as events to `host`."""

    def __init__(self, loop, settings, host, log):
        self.loop, self.settings, self.host, self.log = loop, settings, host, log
        # last: (build, stage, phase, cap) of the newest release state, None before the first
        self.address, self.has_received, self.last = split_address(settings.desk.address), False, None
        self.backoff = Backoff(100_000, 3_000_000, loop.kernel.random_seed())
        self.on_state = lambda *state: None  # called with each state that the desk sends
        # the newest state applied, as it is reported back to the desk; None before the first
        self.last_seen_state = None
        self.counts = {"news": 0, "tallies": 0, "wrong": 0, "errors": 0}

    def parse_state(self, news: dict) -> tuple:
        """Parses a release state. Returns (build, stage, phase, cap, age): cap between 0 and 1, age in
        microseconds.

        Raises KeyError, TypeError or ValueError on a malformed one.
        """
        if news["phase"] not in PHASES:
            raise ValueError(f"phase {news['phase']!r}")
        return (
            int(news["build"]),
            int(news["stage"]),
            news["phase"],
            min(1.0, max(0.0, float(news["cap"]))),
            max(0, int(news["age_us"])),
        )

    def remember_state(self, news: dict, state: tuple) -> None:
        """Remembers the newest state by its mark: a desk that has lost its own recovers it from the gateways.

        A state without a mark is ignored. Raises as `parse_state`.
        """
        if "mark" not in news:
            return
        epoch, turn = news["mark"]
        mark = [int(epoch), int(turn)]
        build = state[0]
        gone = list(self.last_seen_state["gone"]) if self.last_seen_state else []
        if self.last_seen_state and mark < self.last_seen_state["mark"]:
            return
        gone += [int(b) for b in news.get("gone", ()) if b not in gone]
        if state[2] in BLOCKED_PHASES and build not in gone:
            gone.append(build)
        stable = news.get("stable")
        self.last_seen_state = {
            "mark": mark,
            "build": build,
            "stage": state[1],
            "phase": state[2],
            "cap": state[3],
            "stable": None if stable is None else int(stable),
            "gone": gone[-MAX_GONE_BUILDS:],
        }

    def request_target(self) -> str:
        """Returns the request target of the release state stream; it reports the last seen state to
        the desk.
        """
        arguments = {"gateway": self.host.number}
        if self.last_seen_state is not None:
            arguments["seen"] = json.dumps(self.last_seen_state, separators=(",", ":"))
        return "/v1/news?" + urlencode(arguments)

    def handle_message(self, message: dict) -> None:
        """Applies one object of the stream. A malformed one is counted and logged."""
        try:
            if "news" in message:
                state = self.parse_state(message["news"])
                self.remember_state(message["news"], state)
                self.has_received = True
                self.counts["news"] += 1
                if state[:4] != self.last:
                    self.last = state[:4]
                    self.log.info("news", build=state[0], stage=state[1], phase=state[2], cap=state[3])
                self.on_state(*state)
                self.host.post_event_first("on_news", *state, False, "ok")
            elif "tally" in message:
                tally = message["tally"]
                self.counts["tallies"] += 1
                self.host.post_event(
                    "on_platform_counts",
                    int(tally["build"]),
                    tally["group"],
                    int(tally["count"]),
                    int(tally["errored"]),
                    int(tally["mean_us"]),
                    int(tally["age_us"]),
                )
            elif "wrong" in message:
                wrong_answer = message["wrong"]
                self.counts["wrong"] += 1
                self.host.post_event(
                    "on_wrong_answer",
                    wrong_answer["instance"],
                    wrong_answer["group"],
                    int(wrong_answer["age_us"]),
                )
        except (KeyError, TypeError, ValueError) as error:
            self.counts["errors"] += 1
            self.log.warning("malformed message from the desk; ignoring it", why=repr(error))

    def follow_desk(self):
        """Follows the stream until cancelled; reconnects after a delay."""

        def on_messages(messages):
            for message in messages:
                self.handle_message(message)

        def on_broken(error):
            self.counts["errors"] += 1
            self.log.warning("desk stream broken; reconnecting", why=f"{type(error).__name__}: {error}")

        yield from follow_stream(
            self.loop,
            self.address,
            self.request_target,
            on_messages,
            3 * self.settings.release.news_period,
            self.settings.instances.dial_time,
            self.backoff,
            on_broken,
        )

    def cast_vote(self, build, stage, verdict):
        """Sends one vote and posts exactly one answer as `on_news`.

        The answer is ok, moot, full, error (the vote did not count) or timeout (it may count).
        """
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
                state = self.parse_state(news)
                self.remember_state(news, state)
        except NOT_SENT_ERRORS:
            answer = "error"
        except (*CALL_ERRORS, DeadlineExceededError):
            answer = "timeout"
        except (KeyError, TypeError, ValueError):
            answer = "timeout"  # the desk received the vote, but its reply is malformed
        if answer == "ok":
            self.on_state(*state)
        self.log.info("vote answered", build=build, stage=stage, verdict=verdict, answer=answer)
        self.host.post_event_first("on_news", *state, True, answer)
