"""Which chunk is asked of which source, when, and when to give up: the decisions of a fetch, free of I/O.

Each source waits after a failure, twice as long each time, with jitter, up to a bound; one answer that is
whole ends that. All repeats come out of one shared budget, so that a fetch that gets nowhere ends. A source
that lies (wrong digest, wrong length, a redirect loop) is not asked for that chunk again, and after `LIES` of
them for nothing. Times are microseconds.
"""

from dataclasses import dataclass, field

FIRST_WAIT, MOST_WAIT = 100_000, 5_000_000
LIES = 3
BUDGET_LEAST, BUDGET_SHARE = 20, 0.5  # repeats: at least so many, and so many a chunk
FAILED = ("refused", "cut", "slow", "status")  # may be better next time
LIED = ("digest", "length", "redirect")  # will not be better from this source


@dataclass
class Source:
    name: object
    wait_until: int = 0
    wait: int = 0
    lies: int = 0
    busy: int = 0

    @property
    def trusted(self) -> bool:
        return self.lies < LIES


@dataclass
class Chunk:
    name: str
    size: int
    have: int = 0  # bytes that came before a cut
    asked_of: object = None
    denied: set = field(default_factory=set)  # sources that lied about it


class FetchPlan:
    """`chance(n)`: a whole number below n; `most`: chunks asked for at one time."""

    def __init__(self, chunks: dict[str, int], sources: list, chance, most: int = 4):
        self.todo = [Chunk(name, size) for name, size in chunks.items()]
        self.sources = [Source(name) for name in sources]
        self.chance, self.most, self.out = chance, most, {}
        self.budget = max(BUDGET_LEAST, int(BUDGET_SHARE * len(chunks)))
        self.failed = None

    @property
    def done(self) -> bool:
        return not self.todo and not self.out

    def next_step(self, now: int):
        """("get", chunk, source), ("wait", until), ("done",) or ("failed", why). None: wait for what is
        out."""
        if self.failed:
            return None if self.out else ("failed", self.failed)
        if self.done:
            return ("done",)
        if not self.todo or len(self.out) >= self.most:
            return None
        soonest = None
        for chunk in self.todo:
            able = [s for s in self.sources if s.trusted and s.name not in chunk.denied]
            if not able:
                self.failed = f"no source left for chunk {chunk.name[:12]}"
                return self.next_step(now)
            ready = [s for s in able if s.wait_until <= now]
            if ready:
                source = min(ready, key=lambda s: (s.wait, s.busy, self.sources.index(s)))
                self.todo.remove(chunk)
                chunk.asked_of, self.out[chunk.name] = source, chunk
                source.busy += 1
                return ("get", chunk, source.name)
            first = min(s.wait_until for s in able)
            soonest = first if soonest is None else min(soonest, first)
        return ("wait", soonest) if not self.out else None

    def chunk_received(self, name: str) -> None:
        chunk = self.out.pop(name)
        chunk.asked_of.wait = 0
        chunk.asked_of.busy -= 1

    def chunk_failed(self, now: int, name: str, how: str, have: int = 0) -> None:
        """`how`: one of FAILED or LIED; `have`: bytes of the chunk that are here and can be gone on from."""
        chunk = self.out.pop(name)
        source = chunk.asked_of
        source.busy -= 1
        chunk.have = have if how in FAILED else 0
        if how in LIED:
            source.lies += 1
            chunk.denied.add(source.name)
        else:
            source.wait = min(MOST_WAIT, source.wait * 2 or FIRST_WAIT)
            source.wait_until = now + source.wait // 2 + self.chance(source.wait // 2 + 1)
        self.budget -= 1
        if self.budget < 0 and not self.failed:
            self.failed = f"too many repeats, the last for chunk {name[:12]}: {how}"
        self.todo.insert(0, chunk)
