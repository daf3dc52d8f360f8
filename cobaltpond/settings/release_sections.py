"""The sections of a settings file on releases: stages and votes, the audited rules, and permissions.

Times are whole microseconds, shares are fractions between 0 and 1.
"""

from typing import Annotated, Literal

from msgspec import Meta

from cobaltpond.settings.values import (
    Duration,
    NonNegativeCount,
    NonNegativeDuration,
    NonNegativeNumber,
    PositiveCount,
    Section,
    Share,
)


class ReleaseSettings(Section, kw_only=True):
    """How a build is released, and the terms between the release desk and the gateways: `release(...)`.

    Attributes:
        gate: what promotes a build to the next stage: one vote ("any"), on_votes votes ("count"), or time
            without enough hold votes ("clock").
        layout: whether instances of a new build run beside those of the old one or replace them in place.
        shares: share of the places that run the build, for each stage; the last is 1.
        caps: share of the hits that may reach the build, for each stage.
        exposure_window: sliding window over which the cap is measured, in microseconds.
        exposure_free: forwards within the window that are allowed on top of the cap.
        exposure_by: whether the cap holds for all hits together or for each path group.
        shielded_stages: number of first stages in which only repeatable hits reach the build.
        keys_stay: whether a key that a build has answered is not sent to an earlier build any more.
        on_votes: votes that promote a build with the gate "count".
        hold_votes: votes that stop the clock with the gate "clock"; 0: no vote stops it.
        back_votes: votes that roll a build back; 1 with the gate "any".
        vote_life: how long a vote counts, in microseconds.
        vote_wait: how long a gateway waits for the answer to a vote, in microseconds.
        vote_rate: votes per second that the desk accepts from all gateways.
        dwell: shortest time in a stage with the gates "any" and "count", in microseconds.
        step: time in a stage with the gate "clock", in microseconds.
        settle: time after the start of a stage's instances before the stage is timed, in microseconds.
        start_within: longest wait for a stage's instances before the stage is timed anyway, in microseconds.
        drain_time: how long a draining instance runs on before it is stopped, in microseconds.
        news_period: longest time between two messages of the desk; after three of them without a message a
            gateway or an agent reconnects. In microseconds.
        tally_period: time between two tallies, in microseconds; 0: none.
        tally_sample: sampling rate of the tallies.
        wrong_reported: share of the wrong answers that clients report.
        warm_keys: passed to the decisions unchanged.
        delay_price: price of a delayed release, for the decisions.
        harm_price: price of harm by a bad build, for the decisions.
    """

    gate: Literal["any", "count", "clock"]
    layout: Literal["beside", "in place"]
    shares: list[Share]
    caps: list[Share]
    exposure_window: Duration
    exposure_free: NonNegativeNumber = 2.0
    exposure_by: Literal["all", "path group"] = "all"
    shielded_stages: NonNegativeCount = 0
    keys_stay: bool = False
    on_votes: NonNegativeCount = 1
    hold_votes: NonNegativeCount = 1
    back_votes: PositiveCount = 1
    vote_life: Duration
    vote_wait: Duration
    vote_rate: Annotated[float, Meta(gt=0)] = 50.0
    dwell: NonNegativeDuration
    step: NonNegativeDuration = 4_000_000
    settle: NonNegativeDuration = 1_000_000
    start_within: Duration = 8_000_000
    drain_time: Duration = 1_500_000
    news_period: Duration = 4_000_000
    tally_period: NonNegativeDuration = 0
    tally_sample: Share = 0.0
    wrong_reported: Share = 0.0
    warm_keys: bool = False
    delay_price: NonNegativeNumber = 0.0
    harm_price: NonNegativeNumber = 0.0

    def validation_error(self, declared):
        """Returns what is wrong with this call, or None; see `Section.validation_error`."""
        if not self.shares or len(self.shares) != len(self.caps):
            return "shares and caps need one figure a stage each"
        if self.shares != sorted(self.shares) or self.caps != sorted(self.caps):
            return "shares and caps may not fall from stage to stage"
        if self.shares[-1] != 1.0:
            return "the last stage's share must be 1.0: it releases the build"


class RuleSettings(Section, kw_only=True):
    """The parameters of the five rules that the audit checks: `rules(...)`.

    Attributes:
        drain_grace: how long forwards may still go to an instance after it began to drain, in microseconds.
        cold_time: how long an instance is cold after its start, in microseconds.
        cold_share: share of its capacity that a cold instance has at its start; it grows linearly until
            cold_time.
        overload_factor: load that a cold instance bears, as a multiple of its capacity at that moment.
        tip_time: window over which the load of a cold instance is measured, in microseconds.
        answer_slack: tolerance around the client's timeout, in microseconds: a gateway plans to answer that
            much earlier, and the audit accepts an answer that much later.
    """

    drain_grace: Duration
    cold_time: Duration
    cold_share: Share
    overload_factor: NonNegativeNumber
    tip_time: Duration
    answer_slack: Duration = 20_000


class PermissionSettings(Section, kw_only=True):
    """What the decisions may do: `allow(...)`.

    Attributes:
        most_forwards: largest number of forwards for one hit.
        cancel: whether a forward may be cancelled.
        probe: whether instances may be probed.
        tell: whether gateways may send messages to each other.
        advise: whether a rejected client may be told when to retry.
        most_advice: longest retry delay that a client may be given, in microseconds.
    """

    most_forwards: PositiveCount = 3
    cancel: bool = True
    probe: bool = False
    tell: bool = False
    advise: bool = True
    most_advice: Duration = 2_000_000
