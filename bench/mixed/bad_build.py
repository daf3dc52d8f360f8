"""A bad build goes back on samples that one revision tells the other."""

from dataclasses import dataclass

from mixed.fleet import Fleet
from mixed.programs import Checkout
from mixed.report import expect_equal, until
from mixed.revisions import Revisions
from mixed.standins import BAD_BUILDS

NAME = "a bad build"
WITHDRAWN_BOUND = 30.0  # seconds


@dataclass(frozen=True)
class Trial:
    """`tellers` get all the hits, `judges` none: whatever these know of the build they were told. Gateways
    choose the judges of a build by its number."""

    build: int
    tellers: tuple[int, ...]
    judges: tuple[int, ...]


OLD_ONES, NEW_ONES = (0, 2), (1, 3)
TRIALS = (Trial(BAD_BUILDS[0], OLD_ONES, NEW_ONES), Trial(BAD_BUILDS[1], NEW_ONES, OLD_ONES))
BACK_VOTES = len(OLD_ONES) + 1  # more than there are tellers: one judge at least has to vote so
EVERYBODY = range(len(OLD_ONES) + len(NEW_ONES))


class BadBuild:
    """Gateways of both revisions, and a desk that sends a build back when three of them vote so. The platform
    tells no counts of its own."""

    def __init__(self, revisions: Revisions, fleet: Fleet):
        self.revisions, self.report, self.fleet = revisions, revisions.report, fleet

    def checkout(self, number: int) -> Checkout:
        """The revision that a gateway runs."""
        return self.revisions.old if number in OLD_ONES else self.revisions.new

    def run(self) -> None:
        """The whole scenario: both trials, one after the other."""
        with self.report.check(f"{NAME}: fleet starts"):
            self.start()
        for trial in TRIALS:
            told = f"{self.checkout(trial.tellers[0]).name} tells {self.checkout(trial.judges[0]).name}"
            with self.report.check(f"{NAME}: goes back on what {told}"):
                self.play(trial)

    def start(self) -> None:
        """Raises Blocked."""
        fleet = self.fleet
        fleet.start_surroundings()
        fleet.start_desk(self.revisions.old)
        fleet.until_desk_open()
        fleet.start_gateways({number: self.checkout(number) for number in EVERYBODY})
        fleet.until_all_alive(list(EVERYBODY))

    def play(self, trial: Trial) -> None:
        """Raises Blocked or CheckFailed."""
        before = self.hits_taken(trial.judges)
        self.fleet.command_json(self.revisions.new, "release", "offer", trial.build)
        with self.fleet.traffic(*trial.tellers):
            until("withdrawn", lambda: self.is_withdrawn(trial.build), WITHDRAWN_BOUND)
        expect_equal(self.hits_taken(trial.judges), before, "hits that the judges took themselves")

    def hits_taken(self, numbers: tuple[int, ...]) -> int:
        """The hits that these gateways have taken from clients so far."""
        return sum(self.fleet.gateway(number)["hits"]["taken"] for number in numbers)

    def is_withdrawn(self, build: int) -> bool:
        """The desk has withdrawn this build."""
        news = self.fleet.desk()["news"]
        return (news["build"], news["phase"]) == (build, "withdrawn")


def check_bad_build(revisions: Revisions) -> None:
    """Samples of a trial, from one revision to the other."""
    with (
        revisions.report.scenario(NAME),
        revisions.fleet(
            "bad-build", gateways=4, places=4, agents=False, back_votes=BACK_VOTES, tallies=False
        ) as fleet,
    ):
        BadBuild(revisions, fleet).run()
