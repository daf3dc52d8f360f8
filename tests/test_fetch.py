"""Fetching: bad sources, interrupted chunks, shared chunks, limits; random fetch plans."""

import json

import pytest
from builders import RING, VALID_MANIFEST, repeatable, signed_build
from hypothesis import given
from hypothesis import strategies as st

from cobaltpond.builds.fetch import Fetcher, FetchError
from cobaltpond.builds.manifest import (
    read_manifest,
)
from cobaltpond.builds.plan import FetchPlan
from cobaltpond.builds.store import Store, StoreFullError
from cobaltpond.loop import Deadline, EpollKernel, Loop
from cobaltpond.loop.random_source import seeded_random
from cobaltpond.standins.build_server import BuildServer

# --- fetching -----------------------------------------------------------------------------------------------


class FetchFixture:
    def __init__(self, tmp_path, servers=1, **more):
        self.loop = Loop(EpollKernel())
        self.servers = [
            BuildServer(self.loop, self.loop.kernel.listen(("127.0.0.1", 0), 32)) for _ in range(servers)
        ]
        self.store = Store(self.loop.kernel, str(tmp_path / "store"))
        self.fetcher = Fetcher(
            self.loop,
            self.store,
            [s.address for s in self.servers],
            seeded_random(1).randrange,
            **{"grace_time": 300_000, **more},
        )

    def add(self, signed, chunks, servers=None):
        for server in servers or self.servers:
            server.add(42, signed, chunks)
        return read_manifest(signed, RING, 500)

    def run(self, manifest, timeout_us=10_000_000):
        def go():
            with Deadline(self.loop, timeout_us):
                yield from self.fetcher.fetch_chunks(manifest)

        try:
            self.loop.run(self.loop.spawn(go(), "fetch"))
        finally:
            self.loop.close()
            self.store.close()


@pytest.mark.parametrize(
    "fault, expected_failure",
    [
        ("cut 1000", "cut"),
        ("cut 0", "cut"),
        ("lie", "length"),
        ("junk", "digest"),
        ("slow", "slow"),
        ("redirect", "redirect"),
        ("status", "status"),
        ("redirect http://127.0.0.1:9/x", "redirect"),
    ],
)
def test_fetch_succeeds_with_one_bad_and_one_good_source(tmp_path, fault, expected_failure):
    """A source that fails or sends wrong data must not fail the fetch while another source works."""
    fixture = FetchFixture(tmp_path, servers=2)
    manifest = fixture.add(*signed_build())
    fixture.servers[0].faults["*"] = [(fault, 1 << 30)]
    fixture.run(manifest)
    assert fixture.store.missing_chunks(manifest) == {} and fixture.fetcher.failures.get(expected_failure)


def test_interrupted_chunk_resumes_at_the_last_byte(tmp_path):
    """A chunk that is interrupted again and again is transferred once in total."""
    fixture = FetchFixture(tmp_path)
    signed, chunks = signed_build(files={"serve": bytes(range(250)) * 16})
    manifest, (name,) = fixture.add(signed, chunks), chunks
    fixture.servers[0].faults[f"/chunks/{name}"] = [(f"cut {n}", 1) for n in (0, 1, 999, 1, 2998)] + [
        ("cut 0", 1)
    ]
    fixture.run(manifest)
    assert fixture.servers[0].sent == 4000 and fixture.store.missing_chunks(manifest) == {}


def test_source_without_ranges_restarts_the_chunk(tmp_path):
    """A source that ignores the range must not append a whole body to the part received before."""
    fixture = FetchFixture(tmp_path)
    signed, chunks = signed_build(files={"serve": bytes(range(250)) * 16})
    manifest, (name,) = fixture.add(signed, chunks), chunks
    fixture.servers[0].faults[f"/chunks/{name}"] = [("cut 1000", 1), ("norange", 9)]
    fixture.run(manifest)
    assert fixture.servers[0].sent == 5000 and fixture.store.missing_chunks(manifest) == {}


def test_fetch_without_usable_source_fails(tmp_path):
    """A fetch from bad sources only must end with an error and store nothing."""
    fixture = FetchFixture(tmp_path)
    manifest = fixture.add(*signed_build())
    fixture.servers[0].faults["*"] = [("junk", 1 << 30)]
    with pytest.raises(FetchError, match="no source left"):
        fixture.run(manifest)
    assert not fixture.store.chunks


def test_shared_chunk_is_fetched_once(tmp_path):
    """The second build fetches only the chunks that differ."""
    fixture = FetchFixture(tmp_path)
    body = seeded_random(5).randbytes(400_000)
    first = fixture.add(*signed_build(41, files={"serve": body}))
    second = fixture.add(
        *signed_build(42, files={"serve": body[:360_000] + seeded_random(6).randbytes(40_000)})
    )

    def both():
        yield from fixture.fetcher.fetch_chunks(first)
        before = fixture.fetcher.received_bytes
        yield from fixture.fetcher.fetch_chunks(second)
        return before, fixture.fetcher.received_bytes - before

    before, after = fixture.loop.run(fixture.loop.spawn(both(), "both"))
    assert (
        before == 400_000
        and after <= 44_096
        and len(fixture.servers[0].asked) == len(set(fixture.servers[0].asked))
    )


def test_fetch_respects_bandwidth_and_store_limits(tmp_path):
    """A fetch must not exceed its bandwidth, nor start when the store has no space."""
    fixture = FetchFixture(tmp_path, rate=100_000)
    manifest = fixture.add(
        *signed_build(files={"serve": bytes(50_000)[:1] + seeded_random(3).randbytes(50_000)})
    )
    started_at = fixture.loop.kernel.now()
    fixture.run(manifest)
    assert fixture.loop.kernel.now() - started_at > 350_000
    fixture = FetchFixture(tmp_path / "other")
    fixture.store.max_bytes = 1000
    with pytest.raises(StoreFullError):
        fixture.run(fixture.add(*signed_build()))
    assert not fixture.servers[0].asked


@repeatable
@given(
    st.integers(0, 1 << 30),
    st.lists(st.sampled_from(["ok", "cut", "slow", "refused", "digest", "length"]), max_size=60),
)
def test_plan_terminates_and_excludes_sources_of_bad_chunks(seed, outcomes):
    """Random failures cause no endless fetch, nor a second request to the source of a bad chunk."""
    plan = FetchPlan(
        {f"c{n}": 100 for n in range(6)}, ["a", "b", "c"], seeded_random(seed).randrange, max_in_flight=3
    )
    now, in_flight, bad_pairs, steps = 0, [], set(), 0
    while True:
        steps += 1
        assert steps < 2000
        step = plan.next_step(now)
        if step is None:
            chunk, source = in_flight.pop(0)
            reason = outcomes[steps % len(outcomes)] if outcomes else "ok"
            if reason == "ok":
                plan.chunk_received(chunk.name)
            else:
                bad_pairs |= {(chunk.name, source)} if reason in ("digest", "length") else set()
                plan.chunk_failed(now, chunk.name, reason, 10)
        elif step[0] == "get":
            assert (step[1].name, step[2]) not in bad_pairs
            in_flight.append(step[1:])
        elif step[0] == "wait":
            assert step[1] > now
            now = step[1]
        else:
            assert not in_flight and (step[0] == "failed" or plan.is_done)
            return


def test_manifest_json_has_the_documented_fields():
    body = json.loads(VALID_MANIFEST.split(b"\n")[1])
    assert set(body) == {"build", "made", "expires", "chunk", "files", "entry", "health", "earlier"}
