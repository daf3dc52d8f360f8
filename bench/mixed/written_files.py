"""Files that people write: settings, day scripts, scenarios. Both revisions must say the same of each."""

import re
import subprocess
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from mixed.programs import Checkout
from mixed.report import expect, expect_equal
from mixed.revisions import Revisions

NAME = "written files"
WORKERS = 4  # processes at one time
WRONG_INPUT = 2  # exit code
# No call of any script: a script whose last line it is was read up to that line without a fault.
WRONG_LINE = "no_such_call()\n"
NUMBER = re.compile(r"-?\d+(?:\.\d+)?")


@dataclass(frozen=True)
class Outcome:
    """What a command said of a file: its exit code, and the part of its output that must be the same."""

    code: int
    said: tuple[str, ...]


@dataclass(frozen=True)
class FileCheck:
    """`look` is done for both revisions; `code` is the exit code that is expected."""

    name: str
    look: Callable[[Checkout], Outcome]
    code: int


class WrittenFiles:
    """The files of OLD's checkout, each given to the commands of both revisions."""

    def __init__(self, revisions: Revisions):
        self.revisions, self.scratch, self.root = revisions, revisions.scratch, revisions.old.path
        self.copies = revisions.scratch / "scripts"
        self.copies.mkdir()

    def run(self) -> None:
        """All checks, some at one time."""
        checks = self.checks()
        with ThreadPoolExecutor(WORKERS) as pool:
            looks = [
                [pool.submit(check.look, checkout) for checkout in (self.revisions.old, self.revisions.new)]
                for check in checks
            ]
            for check, (of_old, of_new) in zip(checks, looks, strict=True):
                with self.revisions.report.check(f"{NAME}: {check.name}"):
                    old, new = of_old.result(), of_new.result()
                    expect_equal(new, old, "NEW says other than OLD")
                    expect(old.code == check.code, f"exit code {old.code}")

    def checks(self) -> list[FileCheck]:
        """The files of OLD's checkout."""
        examples = sorted((self.root / "examples").glob("*.star"))
        days = sorted((self.root / "days").glob("*.star"))
        drawn = sorted((self.root / "tests" / "drawn").glob("*.star"))
        found = [
            FileCheck(f"`check` of {path.relative_to(self.root)}", self.reader("check", path), 0)
            for path in examples
        ]
        found += [
            FileCheck(
                f"`check` refuses {path.relative_to(self.root)} in the same line",
                self.fault_reader("check", path),
                WRONG_INPUT,
            )
            for path in (*days, *drawn)
        ]
        found += [
            FileCheck(
                f"parser of days reads {path.relative_to(self.root)} to its end",
                self.fault_reader("day", self.with_wrong_line(path)),
                WRONG_INPUT,
            )
            for path in days
        ]
        found += [
            FileCheck(
                f"{path.relative_to(self.root)} is played alike on the virtual clock", self.replayer(path), 0
            )
            for path in drawn
        ]
        return found

    def with_wrong_line(self, path: Path) -> Path:
        """A copy of a script, with a line at its end that is wrong."""
        copy = self.copies / path.name
        copy.write_text(path.read_text() + WRONG_LINE)
        return copy

    # --- what a revision says of a file --------------------------------------------------------------------

    def command(self, checkout: Checkout, *words: object) -> subprocess.CompletedProcess:
        """Runs a command of a checkout."""
        return checkout.command(self.scratch, *words)

    def reader(self, command: str, path: Path) -> Callable[[Checkout], Outcome]:
        """All that the command prints."""

        def look(checkout: Checkout) -> Outcome:
            done = self.command(checkout, command, path)
            return Outcome(done.returncode, (done.stdout, done.stderr))

        return look

    def fault_reader(self, command: str, path: Path) -> Callable[[Checkout], Outcome]:
        """Where the fault is; the words may differ."""

        def look(checkout: Checkout) -> Outcome:
            done = self.command(checkout, command, path)
            where = re.match(re.escape(str(path)) + r":\d+:", done.stderr)
            return Outcome(done.returncode, (where[0] if where else done.stderr,))

        return look

    def replayer(self, path: Path) -> Callable[[Checkout], Outcome]:
        """Every figure of the day's table; the words may differ, and so may the digest, which covers logs."""

        def look(checkout: Checkout) -> Outcome:
            done = self.command(checkout, "sim", "replay", path)
            lines = [line for line in done.stdout.splitlines() if not line.startswith("digest")]
            return Outcome(done.returncode, tuple(NUMBER.findall("\n".join(lines))))

        return look


def check_written_files(revisions: Revisions) -> None:
    """Settings and scripts."""
    with revisions.report.scenario(NAME):
        WrittenFiles(revisions).run()
