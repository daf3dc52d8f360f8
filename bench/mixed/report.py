"""Checks and their results, one line each; conditions that are waited for within a bound."""

import http.client
import subprocess
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from threading import Lock

LOOK_EVERY = 0.05  # seconds between two looks at a condition
DEFAULT_BOUND = 20.0  # seconds
DETAIL_LENGTH = 400
NO_ANSWER = (OSError, http.client.HTTPException, ValueError, KeyError, TypeError)


class CheckFailed(Exception):
    """What was observed is not what is wanted; the scenario goes on."""


class Blocked(CheckFailed):
    """What follows in the scenario makes no sense after this."""


class NotInTime(Blocked):
    """A condition did not come true within its bound."""


class ScenarioEnded(Exception):
    """A scenario could not be carried through; the reason has been reported."""


def expect(condition: bool, detail: str) -> None:
    """Raises CheckFailed."""
    if not condition:
        raise CheckFailed(detail)


def expect_equal(found, wanted, what: str) -> None:
    """Raises CheckFailed."""
    expect(found == wanted, f"{what}: {found!r}, wanted {wanted!r}")


def until(what: str, condition: Callable[[], object], bound: float = DEFAULT_BOUND):
    """Evaluates `condition` until it gives something true, and returns that. Whatever a program that is not
    up yet causes (no connection, an incomplete answer) counts as not true yet. Raises NotInTime."""
    end, last = time.monotonic() + bound, "not looked at"
    while time.monotonic() < end:
        try:
            if result := condition():
                return result
            last = "answered, but not so"
        except (*NO_ANSWER, CheckFailed) as error:
            last = f"{type(error).__name__}: {error}"
        time.sleep(LOOK_EVERY)
    raise NotInTime(f"{what}: not within {bound:.0f} s ({last})")


@dataclass
class Report:
    """Collects the results of all scenarios, which may run at the same time."""

    passed: int = 0
    failed: list[str] = field(default_factory=list)
    lock: Lock = field(default_factory=Lock)

    def add(self, name: str, failure: str | None) -> None:
        """Prints one line; `failure` is None for a check that passed."""
        with self.lock:
            if failure is None:
                self.passed += 1
                print(f"ok      {name}", flush=True)
            else:
                self.failed.append(name)
                print(f"FAILED  {name}: {failure[:DETAIL_LENGTH]}", flush=True)

    @contextmanager
    def check(self, name: str) -> Iterator[None]:
        """The body is one check: it fails by raising. Blocked, and a program that does not answer, end the
        scenario."""
        try:
            yield
        except Blocked as error:
            self.add(name, str(error))
            raise ScenarioEnded(name) from None
        except CheckFailed as error:
            self.add(name, str(error))
        except (*NO_ANSWER, subprocess.SubprocessError) as error:
            self.add(name, f"{type(error).__name__}: {error}")
            raise ScenarioEnded(name) from None
        else:
            self.add(name, None)

    @contextmanager
    def scenario(self, name: str) -> Iterator[None]:
        """Ends with a line of its own where a part outside of any check failed."""
        try:
            yield
        except ScenarioEnded as ended:
            self.add(f"{name}: carried through to its end", f"ended at: {ended}")
        except Exception as error:  # the other scenarios are run all the same
            self.add(f"{name}: carried through to its end", f"{type(error).__name__}: {error}")
