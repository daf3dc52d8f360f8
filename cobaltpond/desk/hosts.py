"""Desired state of each host and the state that hosts report, free of I/O.

Orders of the release stages become a desired state for each place and build, with a generation number that
increases with every change. A host that was disconnected receives the current desired state only, not the
history of changes. The instances of the release stages come from the hosts' reports.
"""

from dataclasses import dataclass, field

FAILED_RETRY_US = 10_000_000  # a failed build is ordered again, so that no place stays empty for ever
SILENCE_TIMEOUT_US = 2_000_000  # a host without a report for this long is shown as silent
STARTING = ("fetching", "checking", "starting", "resting")
PLATFORM_STATES = {"up": "up", "draining": "draining"}


@dataclass
class HostState:
    """Desired and reported state of one host. Times: microseconds; `last_report_at` None: no report yet."""

    place: str
    generation: int = 0
    desired: dict = field(default_factory=dict)  # build -> "run" or "gone"
    last_report_at: int | None = None
    last_attempt_at: int = 0  # when the desired state last changed, or a failed build was ordered again
    completed_generation: int = 0  # the last generation that the host has completed
    slots: dict = field(default_factory=dict)  # build -> (state, id, why)


class HostOrders:
    """Desired states of all hosts. `max_changing`: maximum number of places that change at once."""

    def __init__(self, places: list, max_changing: int = 1 << 30, epoch: int = 0):
        """`epoch` increases with each start of the desk and is the high part of every generation.

        A desk that lost its state therefore does not assign an already used generation to a different order.
        """
        first = epoch << 20
        self.hosts = {place: HostState(place, first, completed_generation=first) for place in places}
        self.max_changing = max_changing

    def start_epoch(self, epoch: int) -> None:
        """Raises all generations to the recovered epoch; none that a host may have seen is reused."""
        for host in self.hosts.values():
            host.generation = host.completed_generation = max(host.generation, epoch << 20)

    def changing_places(self, now: int) -> list:
        """Places with an order that is not completed, or with a build that should run and is not up."""
        return [
            h.place
            for h in self.hosts.values()
            if any(h.desired.get(b) == "run" and s[0] != "up" for b, s in h.slots.items())
            or h.completed_generation < h.generation
        ]

    def apply_orders(self, now: int, orders: list) -> list:
        """Applies orders of the release stages; gives the places whose desired state has changed.

        Starts beyond `max_changing` changing places wait; removals never wait.
        """
        changed = []
        busy_places = set(self.changing_places(now))
        for action, *arguments in orders:
            if action == "start":
                host, build, desired_state = self.hosts[arguments[0]], arguments[1], "run"
                if len(busy_places | {host.place}) > self.max_changing:
                    continue
                busy_places.add(host.place)
            else:
                place, _, number = arguments[0].rpartition("/")
                host, build, desired_state = self.hosts[place], int(number), "gone"
            failed = desired_state == "run" and host.slots.get(build, ("",))[0] == "failed"
            if (
                host.desired.get(build) != desired_state
                or failed
                and now - host.last_attempt_at >= FAILED_RETRY_US
            ):
                host.desired[build], host.last_attempt_at = desired_state, now
                host.generation += 1
                changed.append(host.place)
        return changed

    def order_for(self, place: str, keep_builds: set) -> dict:
        """The order for a host as JSON; builds in `keep_builds` stay fetched where they do not run."""
        host = self.hosts[place]
        desired = {b: "keep" if w == "gone" and b in keep_builds else w for b, w in host.desired.items()}
        for build in keep_builds:
            desired.setdefault(build, "keep")
        return {
            "place": place,
            "generation": host.generation,
            "wishes": {str(b): w for b, w in sorted(desired.items())},
        }

    def apply_report(self, now: int, report: dict, collecting: bool = False) -> list:
        """Applies a host's report: {place, generation, done, slots: [{build, state, id, why}]}.

        Gives (id, place, build, state) rows for the release stages, one for each instance. `collecting`: the
        desk has restarted and has no desired states yet, so every starting instance counts. A build that runs
        without an order is not in the desired state, and the host is told to remove it. Raises KeyError,
        TypeError or ValueError where the report is malformed.
        """
        host = self.hosts[report["place"]]
        host.last_report_at = now
        if report["generation"] > host.generation:  # an order of an earlier desk process
            host.generation = report["generation"] + 1
        if report["done"]:
            host.completed_generation = max(host.completed_generation, report["generation"])
        host.slots = {int(s["build"]): (s["state"], s["id"], s["why"]) for s in report["slots"]}
        rows = []
        for build, (state, _, _) in host.slots.items():
            is_desired = host.desired.get(build) == "run" or collecting  # no desired states after a restart
            platform_state = PLATFORM_STATES.get(state) or (
                "starting" if state in STARTING and is_desired else None
            )
            if platform_state:
                rows.append((f"{host.place}/{build}", host.place, build, platform_state))
        return rows

    def adopt_running(self, place: str) -> bool:
        """After a restart of the desk: running builds without a desired state become desired.

        True where there were any.
        """
        host = self.hosts[place]
        new = {b: "run" for b, s in host.slots.items() if s[0] in ("up", *STARTING) and b not in host.desired}
        host.desired.update(new)
        return bool(new)

    def missing_places(self, now: int) -> list:
        """(place, build, reason) of each build that should run and is not up."""
        rows = []
        for host in self.hosts.values():
            for build, desired_state in sorted(host.desired.items()):
                state, _, why = host.slots.get(build, ("unheard", "", ""))
                if desired_state == "run" and state != "up":
                    is_silent = host.last_report_at is None or now - host.last_report_at > SILENCE_TIMEOUT_US
                    reason = f"{state}: {why}" if why else state
                    rows.append((host.place, build, "the host is silent" if is_silent else reason))
        return rows
