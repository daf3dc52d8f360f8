"""Fetching: bad sources, cuts at any byte, shared chunks, rates; drawn plans."""

import json

import pytest
from builders import GOOD, RING, build, fixed
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


class Yard:
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
            **{"grace": 300_000, **more},
        )

    def add(self, signed, chunks, servers=None):
        for server in servers or self.servers:
            server.add(42, signed, chunks)
        return read_manifest(signed, RING, 500)

    def run(self, manifest, bound=10_000_000):
        def go():
            with Deadline(self.loop, bound):
                yield from self.fetcher.fetch_chunks(manifest)

        try:
            self.loop.run(self.loop.spawn(go(), "fetch"))
        finally:
            self.loop.close()
            self.store.close()


@pytest.mark.parametrize(
    "way, lost",
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
def test_one_bad_source_beside_a_good_one(tmp_path, way, lost):
    yard = Yard(tmp_path, servers=2)
    manifest = yard.add(*build())
    yard.servers[0].faults["*"] = [(way, 1 << 30)]
    yard.run(manifest)
    assert yard.store.missing_chunks(manifest) == {} and yard.fetcher.lost.get(lost)


def test_a_cut_at_any_byte_goes_on_where_it_stopped(tmp_path):
    yard = Yard(tmp_path)
    signed, chunks = build(files={"serve": bytes(range(250)) * 16})
    manifest, (name,) = yard.add(signed, chunks), chunks
    yard.servers[0].faults[f"/chunks/{name}"] = [(f"cut {n}", 1) for n in (0, 1, 999, 1, 2998)] + [
        ("cut 0", 1)
    ]
    yard.run(manifest)
    assert yard.servers[0].sent == 4000 and yard.store.missing_chunks(manifest) == {}


def test_a_source_without_ranges_begins_anew(tmp_path):
    yard = Yard(tmp_path)
    signed, chunks = build(files={"serve": bytes(range(250)) * 16})
    manifest, (name,) = yard.add(signed, chunks), chunks
    yard.servers[0].faults[f"/chunks/{name}"] = [("cut 1000", 1), ("norange", 9)]
    yard.run(manifest)
    assert yard.servers[0].sent == 5000 and yard.store.missing_chunks(manifest) == {}


def test_a_fetch_that_gets_nowhere_ends(tmp_path):
    yard = Yard(tmp_path)
    manifest = yard.add(*build())
    yard.servers[0].faults["*"] = [("junk", 1 << 30)]
    with pytest.raises(FetchError, match="no source left"):
        yard.run(manifest)
    assert not yard.store.chunks


def test_a_chunk_that_two_builds_share_is_fetched_once(tmp_path):
    yard = Yard(tmp_path)
    body = seeded_random(5).randbytes(400_000)
    first = yard.add(*build(41, files={"serve": body}))
    second = yard.add(*build(42, files={"serve": body[:360_000] + seeded_random(6).randbytes(40_000)}))

    def both():
        yield from yard.fetcher.fetch_chunks(first)
        before = yard.fetcher.bytes
        yield from yard.fetcher.fetch_chunks(second)
        return before, yard.fetcher.bytes - before

    before, after = yard.loop.run(yard.loop.spawn(both(), "both"))
    assert (
        before == 400_000
        and after <= 44_096
        and len(yard.servers[0].asked) == len(set(yard.servers[0].asked))
    )


def test_no_more_than_the_rate_and_no_more_than_the_disk(tmp_path):
    yard = Yard(tmp_path, rate=100_000)
    manifest = yard.add(*build(files={"serve": bytes(50_000)[:1] + seeded_random(3).randbytes(50_000)}))
    began = yard.loop.kernel.now()
    yard.run(manifest)
    assert yard.loop.kernel.now() - began > 350_000
    yard = Yard(tmp_path / "other")
    yard.store.most = 1000
    with pytest.raises(StoreFullError):
        yard.run(yard.add(*build()))
    assert not yard.servers[0].asked


@fixed
@given(
    st.integers(0, 1 << 30),
    st.lists(st.sampled_from(["ok", "cut", "slow", "refused", "digest", "length"]), max_size=60),
)
def test_every_plan_ends_and_asks_nobody_who_lied_about_a_chunk(seed, ends):
    plan = FetchPlan({f"c{n}": 100 for n in range(6)}, ["a", "b", "c"], seeded_random(seed).randrange, most=3)
    now, out, lied, steps = 0, [], set(), 0
    while True:
        steps += 1
        assert steps < 2000
        step = plan.next_step(now)
        if step is None:
            chunk, source = out.pop(0)
            how = ends[steps % len(ends)] if ends else "ok"
            if how == "ok":
                plan.chunk_received(chunk.name)
            else:
                lied |= {(chunk.name, source)} if how in ("digest", "length") else set()
                plan.chunk_failed(now, chunk.name, how, 10)
        elif step[0] == "get":
            assert (step[1].name, step[2]) not in lied
            out.append(step[1:])
        elif step[0] == "wait":
            assert step[1] > now
            now = step[1]
        else:
            assert not out and (step[0] == "failed" or plan.done)
            return


def test_json_of_a_manifest_is_what_the_page_says():
    body = json.loads(GOOD.split(b"\n")[1])
    assert set(body) == {"build", "made", "expires", "chunk", "files", "entry", "health", "earlier"}
