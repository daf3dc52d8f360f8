"""What every scenario gets: the two checkouts, a folder for its files, and where results go."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from pathlib import Path

from mixed.fleet import Fleet
from mixed.programs import Checkout, PortRun, Programs
from mixed.report import Report
from mixed.settings import FleetPlan


@dataclass(frozen=True)
class Revisions:
    """The two checkouts, the folder for files of a run, and where results go."""

    old: Checkout
    new: Checkout
    scratch: Path
    report: Report

    @contextmanager
    def fleet(self, name: str, gateways: int, places: int, agents: bool, **more) -> Iterator[Fleet]:
        """A fleet in a folder and on ports of its own; nothing of it runs yet. `more`: of the FleetPlan."""
        plan = FleetPlan(self.scratch / name, gateways, places, agents, **more)
        plan.folder.mkdir()
        with PortRun(plan.port_count) as ports, Programs(plan.folder) as programs:
            yield Fleet(self.old, replace(plan, first_port=ports.first), programs)
