"""When each gateway process ran, stood still or was stopping, by the recorded acts of the day."""

from bisect import bisect_right
from collections import defaultdict


class ProcessLifetimes:
    """When each gateway ran: `acts` of the day: started, killed, told to stop, stood still, went on; and how
    fast its clock did."""

    def __init__(self, acts: list, eps: int):
        self.eps = eps
        self.ends, self.starts, self.stalls, self.stops = (defaultdict(list) for _ in range(4))
        self.frozen = [
            (act["part"], act["at"], act["at"] + act["len"] + self.eps)
            for act in acts
            if act["kind"] == "frozen"
        ]
        self.rates = {act["gateway"]: act["rate"] for act in acts if act["kind"] == "drifted"}
        for act in acts:
            number, at = act.get("gateway"), act["at"]
            if act["kind"] == "killed":
                self.ends[number].append(at)
            elif act["kind"] == "stopping":
                self.stops[number].append(at)
            elif act["kind"] == "started":
                self.starts[number].append(at)
            elif act["kind"] == "stalled":
                self.stalls[number].append([at, at + act["len"] + self.eps])

    def window(self, number, window) -> tuple[int, int]:
        """The least and the most that so much time on a gateway's own clock is on ours."""
        own = window / self.rates.get(number, 1.0)
        return int(min(window, own)), int(max(window, own)) + 1

    def ended_in(self, number, since, until) -> bool:
        return any(since <= at <= until for at in self.ends[number])

    def stopping_in(self, number, since, until) -> bool:
        return any(at - self.eps <= until and since <= at + 20_000_000 for at in self.stops[number])

    def stalled_in(self, number, since, until) -> bool:
        return any(a <= until and since <= b for a, b in self.stalls[number])

    def frozen_in(self, instance, since, until) -> bool:
        """Did an instance stand still then? What it did late says nothing of when a gateway gave up on it."""
        place = instance.partition(".")[0]
        return any(part == place and a <= until and since <= b for part, a, b in self.frozen)

    def read_time(self, number, at) -> int:
        """When what came at `at` was read: after a stand-still."""
        return max([at, *(b for a, b in self.stalls[number] if a <= at <= b)])

    def life(self, number, at) -> int:
        """Which start of the gateway this time belongs to."""
        return bisect_right(self.starts[number], at)
