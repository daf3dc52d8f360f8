"""Decides which chunk is requested from which source, when, and when a fetch fails; free of I/O.

A failure starts an exponential backoff with jitter for its source, up to a maximum; a complete response
resets it. All retries share one budget, so that a fetch without progress ends. A source with a bad response
(wrong digest, wrong length, a redirect loop) is not asked for that chunk again, and after MAX_BAD_RESPONSES
of them for no chunk. Times are microseconds.
"""

from dataclasses import dataclass, field

FIRST_BACKOFF_US, MAX_BACKOFF_US = 100_000, 5_000_000
MAX_BAD_RESPONSES = 3
MIN_RETRIES, RETRIES_PER_CHUNK = 20, 0.5  # retry budget: the larger of both
RETRYABLE_FAILURES = ("refused", "cut", "slow", "status")  # temporary: a retry may succeed
SOURCE_FAULTS = ("digest", "length", "redirect")  # permanent for this source and chunk


@dataclass
class Source:
    """A source and its backoff. `name`: its address; `retry_at`: not asked before; `backoff`: 0 for none."""

    name: object
    retry_at: int = 0
    backoff: int = 0
    bad_responses: int = 0
    active_requests: int = 0

    @property
    def is_trusted(self) -> bool:
        """False after too many bad responses."""
        return self.bad_responses < MAX_BAD_RESPONSES


@dataclass
class Chunk:
    """A chunk to fetch. `name`: its digest; `size`: bytes; `requested_from`: the last source, or None."""

    name: str
    size: int
    received_bytes: int = 0  # received before an interruption
    requested_from: object = None
    excluded_sources: set = field(default_factory=set)  # gave a bad response


class FetchPlan:
    """The plan of one fetch.

    `chunks`: digest -> size in bytes; `random_below(n)`: a random integer below n; `max_in_flight`: maximum
    number of concurrent requests.
    """

    def __init__(self, chunks: dict[str, int], sources: list, random_below, max_in_flight: int = 4):
        self.pending = [Chunk(name, size) for name, size in chunks.items()]
        self.sources = [Source(name) for name in sources]
        self.random_below, self.max_in_flight, self.in_flight = random_below, max_in_flight, {}
        self.retry_budget = max(MIN_RETRIES, int(RETRIES_PER_CHUNK * len(chunks)))
        self.failure = None

    @property
    def is_done(self) -> bool:
        """True where all chunks have been received."""
        return not self.pending and not self.in_flight

    def next_step(self, now: int):
        """("get", chunk, source), ("wait", until), ("done",) or ("failed", why).

        None: nothing to do until a request in flight has finished.
        """
        if self.failure:
            return None if self.in_flight else ("failed", self.failure)
        if self.is_done:
            return ("done",)
        if not self.pending or len(self.in_flight) >= self.max_in_flight:
            return None
        earliest_retry = None
        for chunk in self.pending:
            usable_sources = [
                s for s in self.sources if s.is_trusted and s.name not in chunk.excluded_sources
            ]
            if not usable_sources:
                self.failure = f"no source left for chunk {chunk.name[:12]}"
                return self.next_step(now)
            available_sources = [s for s in usable_sources if s.retry_at <= now]
            if available_sources:
                source = min(
                    available_sources, key=lambda s: (s.backoff, s.active_requests, self.sources.index(s))
                )
                self.pending.remove(chunk)
                chunk.requested_from, self.in_flight[chunk.name] = source, chunk
                source.active_requests += 1
                return ("get", chunk, source.name)
            next_retry = min(s.retry_at for s in usable_sources)
            earliest_retry = next_retry if earliest_retry is None else min(earliest_retry, next_retry)
        return ("wait", earliest_retry) if not self.in_flight else None

    def chunk_received(self, name: str) -> None:
        """Records a chunk as complete and resets the backoff of its source."""
        chunk = self.in_flight.pop(name)
        chunk.requested_from.backoff = 0
        chunk.requested_from.active_requests -= 1

    def chunk_failed(self, now: int, name: str, reason: str, received_bytes: int = 0) -> None:
        """Records a failed request, and queues the chunk again.

        `reason`: one of RETRYABLE_FAILURES or SOURCE_FAULTS; `received_bytes`: bytes from which the chunk can
        be resumed.
        """
        chunk = self.in_flight.pop(name)
        source = chunk.requested_from
        source.active_requests -= 1
        chunk.received_bytes = received_bytes if reason in RETRYABLE_FAILURES else 0
        if reason in SOURCE_FAULTS:
            source.bad_responses += 1
            chunk.excluded_sources.add(source.name)
        else:
            source.backoff = min(MAX_BACKOFF_US, source.backoff * 2 or FIRST_BACKOFF_US)
            source.retry_at = now + source.backoff // 2 + self.random_below(source.backoff // 2 + 1)
        self.retry_budget -= 1
        if self.retry_budget < 0 and not self.failure:
            self.failure = f"too many repeats, the last for chunk {name[:12]}: {reason}"
        self.pending.insert(0, chunk)
