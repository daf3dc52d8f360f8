"""Determines when each gateway process ran, was suspended or was stopping, from the scenario's actions."""

from bisect import bisect_right
from collections import defaultdict


class ProcessLifetimes:
    """The starts, ends, stop requests and suspensions of each gateway, and the rate of its clock.

    `actions` are the recorded actions of a scenario (maps with `kind` and `at`); times and `tolerance` are in
    microseconds.
    """

    def __init__(self, actions: list, tolerance: int):
        self.tolerance = tolerance
        self.ends, self.starts, self.stalls, self.stops = (defaultdict(list) for _ in range(4))
        self.frozen = [
            (act["part"], act["at"], act["at"] + act["len"] + self.tolerance)
            for act in actions
            if act["kind"] == "frozen"
        ]
        self.rates = {act["gateway"]: act["rate"] for act in actions if act["kind"] == "drifted"}
        for act in actions:
            number, at = act.get("gateway"), act["at"]
            if act["kind"] == "killed":
                self.ends[number].append(at)
            elif act["kind"] == "stopping":
                self.stops[number].append(at)
            elif act["kind"] == "started":
                self.starts[number].append(at)
            elif act["kind"] == "stalled":
                self.stalls[number].append([at, at + act["len"] + self.tolerance])

    def window(self, number, window) -> tuple[int, int]:
        """The shortest and longest time on the common clock for a window on a gateway's own clock."""
        own = window / self.rates.get(number, 1.0)
        return int(min(window, own)), int(max(window, own)) + 1

    def ended_in(self, number, since, until) -> bool:
        """Whether the gateway was killed between the two times."""
        return any(since <= at <= until for at in self.ends[number])

    def stopping_in(self, number, since, until) -> bool:
        """Whether the gateway was stopping between the two times; a stop takes at most 20 s."""
        return any(at - self.tolerance <= until and since <= at + 20_000_000 for at in self.stops[number])

    def stalled_in(self, number, since, until) -> bool:
        """Whether the gateway was suspended at some time between the two times."""
        return any(a <= until and since <= b for a, b in self.stalls[number])

    def frozen_in(self, instance, since, until) -> bool:
        """Whether an instance was suspended between the two times.

        What a suspended instance does late does not show when a gateway gave up on it.
        """
        place = instance.partition(".")[0]
        return any(part == place and a <= until and since <= b for part, a, b in self.frozen)

    def read_time(self, number, at) -> int:
        """When a gateway read what arrived at `at`: at the end of a suspension, if it was suspended."""
        return max([at, *(b for a, b in self.stalls[number] if a <= at <= b)])

    def life(self, number, at) -> int:
        """The number of starts of the gateway up to `at`; it identifies the process that ran then."""
        return bisect_right(self.starts[number], at)
