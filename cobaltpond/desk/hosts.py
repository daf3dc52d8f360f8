"""What the desk wants of each host, and what hosts have said: free of I/O.

The stages' orders become wishes by place and build, with a generation that grows with each change; a host
that was silent hears the present wishes and nothing of what they were before. What a host reports becomes the
stages' instances.
"""

from dataclasses import dataclass, field

TRY_AGAIN = 10_000_000  # a failed build is ordered anew: no place stays empty for good
SILENT = 2_000_000  # microseconds without a report
STARTING = ("fetching", "checking", "starting", "resting")
SHOWN = {"up": "up", "draining": "draining"}


@dataclass
class HostState:
    place: str
    generation: int = 0
    wishes: dict = field(default_factory=dict)  # build -> run or gone
    heard_at: int | None = None
    tried_at: int = 0  # when a failed build was last ordered again
    done: int = 0  # the last generation carried out
    slots: dict = field(default_factory=dict)  # build -> (state, id, why)


class HostOrders:
    """`most`: places that may be under change at one time."""

    def __init__(self, places: list, most: int = 1 << 30, epoch: int = 0):
        """`epoch` grows with each start of the desk, and generations with it: guards against a desk that has
        forgotten which numbers it gave out, and gives one of them to another order."""
        first = epoch << 20
        self.hosts = {place: HostState(place, first, done=first) for place in places}
        self.most = most

    def start_epoch(self, epoch: int) -> None:
        """The epoch is settled: no generation that anybody may have seen is given out again."""
        for host in self.hosts.values():
            host.generation = host.done = max(host.generation, epoch << 20)

    def changing(self, now: int) -> list:
        return [
            h.place
            for h in self.hosts.values()
            if any(h.wishes.get(b) == "run" and s[0] != "up" for b, s in h.slots.items())
            or h.done < h.generation
        ]

    def apply_orders(self, now: int, orders: list) -> list:
        """Orders of the stages -> the places whose wishes have changed. Starts beyond `most` wait; what is to
        go never waits."""
        changed = []
        busy = set(self.changing(now))
        for what, *rest in orders:
            if what == "start":
                host, build, wish = self.hosts[rest[0]], rest[1], "run"
                if len(busy | {host.place}) > self.most:
                    continue
                busy.add(host.place)
            else:
                place, _, number = rest[0].rpartition("/")
                host, build, wish = self.hosts[place], int(number), "gone"
            failed = wish == "run" and host.slots.get(build, ("",))[0] == "failed"
            if host.wishes.get(build) != wish or failed and now - host.tried_at >= TRY_AGAIN:
                host.wishes[build], host.tried_at = wish, now
                host.generation += 1
                changed.append(host.place)
        return changed

    def order_for(self, place: str, keep: set) -> dict:
        """The wire form of what a host is to do; builds in `keep` stay fetched where they do not run."""
        host = self.hosts[place]
        wishes = {b: "keep" if w == "gone" and b in keep else w for b, w in host.wishes.items()}
        for build in keep:
            wishes.setdefault(build, "keep")
        return {
            "place": place,
            "generation": host.generation,
            "wishes": {str(b): w for b, w in sorted(wishes.items())},
        }

    def apply_report(self, now: int, told: dict, collecting: bool = False) -> list:
        """What a host says: {place, generation, slots: [{build, state, id, why}]}. Gives (id, place, build,
        state) rows for the stages, one for each of its instances. A place that runs a build that nobody
        ordered is told to have it gone."""
        host = self.hosts[told["place"]]
        host.heard_at = now
        if told["generation"] > host.generation:  # an order that this desk knows nothing of
            host.generation = told["generation"] + 1
        if told["done"]:
            host.done = max(host.done, told["generation"])
        host.slots = {int(s["build"]): (s["state"], s["id"], s["why"]) for s in told["slots"]}
        rows = []
        for build, (state, _, _) in host.slots.items():
            wished = host.wishes.get(build) == "run" or collecting  # who has just come back has no wishes yet
            shown = SHOWN.get(state) or ("starting" if state in STARTING and wished else None)
            if shown:
                rows.append((f"{host.place}/{build}", host.place, build, shown))
        return rows

    def adopt_running(self, place: str) -> bool:
        """After the desk's own restart: what runs at a host is what it was told to run. True where that is
        new."""
        host = self.hosts[place]
        new = {b: "run" for b, s in host.slots.items() if s[0] in ("up", *STARTING) and b not in host.wishes}
        host.wishes.update(new)
        return bool(new)

    def missing_places(self, now: int) -> list:
        """(place, why) of each host that keeps a stage from being filled."""
        rows = []
        for host in self.hosts.values():
            for build, wish in sorted(host.wishes.items()):
                state, _, why = host.slots.get(build, ("unheard", "", ""))
                if wish == "run" and state != "up":
                    silent = host.heard_at is None or now - host.heard_at > SILENT
                    said = f"{state}: {why}" if why else state
                    rows.append((host.place, build, "the host is silent" if silent else said))
        return rows
