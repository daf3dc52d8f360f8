"""Real agents and a real desk as processes, with builds that are broken on purpose, and kills."""

import base64

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from cobaltpond.builds.manifest import Key, Ring, write_ring
from cobaltpond.loop import EpollKernel, Loop, Sleep
from cobaltpond.standins.host_cluster import Town


class Run:
    def __init__(self, folder, hosts, layout):
        self.loop = Loop(EpollKernel(), lambda task, trouble: self.deaths.append((task.name, trouble)))
        self.deaths = []
        self.town = Town(self.loop, folder, hosts, layout)

    def go(self, generator):
        try:
            return self.loop.run(self.loop.spawn(generator, "main"))
        finally:
            self.town.close()
            self.loop.close()


def first_build(town):
    town.add_build(1)
    town.start_all()
    yield from town.insist("POST", "/v1/builds", {"build": 1}, good=lambda s, a: s in (202, 409))
    yield from town.until(lambda: town.exactly(1))


def test_builds_that_are_broken_go_back_and_a_good_one_goes_out(tmp_path):
    """Each of them ends with exactly the earlier build up in every place, and nothing else running."""
    run = Run(tmp_path, 3, "beside")
    town = run.town

    def go():
        yield from first_build(town)
        number, seen = 1, {}
        for flaw in ("exit", "deaf", "crash", "stubborn", "corrupt", "cut", "forged"):
            number += 1
            _, chunks = town.add_build(
                number,
                flaw if flaw in ("exit", "deaf", "crash", "stubborn") else "good",
                key=Ed25519PrivateKey.generate() if flaw == "forged" else None,
            )
            if flaw in ("corrupt", "cut"):
                for server in town.servers:
                    way = "junk" if flaw == "corrupt" else "cut 0"
                    server.ways.update((f"/chunks/{name}", [(way, 1 << 30)]) for name in chunks)
            yield from town.insist("POST", "/v1/builds", {"build": number}, good=lambda s, a: s in (202, 409))
            if flaw == "stubborn":
                yield from town.until(lambda n=number: any(b == n for _, b in town.up()))
            else:
                yield Sleep(700_000)
            status = yield from town.insist("GET", "/v1/status")
            seen[flaw] = status["missing"]
            yield from town.vote(number, 0, "back")
            yield from town.until(lambda: town.exactly(1))
            for server in town.servers:
                server.ways.clear()
        number += 1
        town.add_build(number)
        yield from town.insist("POST", "/v1/builds", {"build": number}, good=lambda s, a: s in (202, 409))
        yield from town.push(number)
        yield from town.until(lambda: town.exactly(number))
        assert (yield from town.ask("POST", "/v1/back", {"build": number - 1}))[0] == 409
        yield from town.insist("POST", "/v1/back", {"build": number, "why": "a word"})
        yield from town.until(lambda: town.exactly(1))
        history = yield from town.insist("GET", "/v1/history")
        assert [number, "going back", "a word"] in [
            [h["build"], h["phase"], h["why"]] for h in history["history"]
        ]
        return seen

    seen = run.go(go())
    assert not run.deaths
    assert "WronglySigned" in str(seen["forged"]) and "FetchFailed" in str(seen["corrupt"])
    assert all(seen[flaw] for flaw in ("exit", "deaf", "cut")), seen


@pytest.mark.parametrize("layout", ["beside", "in place"])
def test_kills_of_desk_and_agents_while_a_release_goes_out_and_back(tmp_path, layout):
    run = Run(tmp_path, 3, layout)
    town = run.town

    def go():
        yield from first_build(town)
        town.add_build(2)
        yield from town.insist("POST", "/v1/builds", {"build": 2}, good=lambda s, a: s in (202, 409))
        yield Sleep(150_000)
        town.kill("h0")  # in the midst of fetching or starting
        yield Sleep(100_000)
        town.start("h0")
        town.kill("desk")
        town.start("desk")
        yield from town.until(lambda: ("h0", 2) in town.up())
        town.kill("desk")
        town.start("desk")
        yield from town.push(2)
        yield from town.until(lambda: town.exactly(2))
        town.kill("h1")  # its instance goes on without it
        assert ("h1", 2) in town.running()
        yield from town.vote(2, 0, "back")
        town.kill("desk")
        town.start("desk")
        town.start("h1")
        yield from town.until(lambda: town.exactly(1))
        town.kill("h2")
        for pid, words in town.loop.kernel.command_lines():
            if any(word.startswith(f"{town.folder}/h2/store") for word in words):
                town.loop.kernel.kill(pid)  # it ends while nobody looks
        yield from town.until(lambda: ("h2", 1) not in town.running())
        gone = len(town.record)
        town.start("h2")
        yield from town.until(lambda: town.exactly(1) and len(town.record) > gone)
        assert "gone" in [state for _, _, _, state, _ in town.record[gone:]]

    run.go(go())
    assert not run.deaths


def test_keys_are_rotated_and_the_build_of_the_old_key_can_still_be_gone_back_to(tmp_path):
    """A host that was away takes up both rotations; a ring that nobody vouches for, or an old one, changes
    nothing."""
    run = Run(tmp_path, 3, "in place")
    town = run.town
    signers = {n: Ed25519PrivateKey.generate() for n in ("second", "third")}

    def ring(version, *names):
        return Ring(
            version,
            [
                Key(n, base64.b64encode(signers[n].public_key().public_bytes_raw()).decode(), 0, 1 << 40)
                for n in names
            ],
        )

    def go():
        yield from first_build(town)
        town.kill("h2")
        for data, status in (
            (write_ring(ring(3, "third"), signers), 409),
            (write_ring(ring(2, "second"), {"town": town.key}), 202),
            (write_ring(ring(2, "third"), {"town": town.key}), 409),
            (write_ring(ring(3, "third"), {"second": signers["second"]}), 202),
            (b"no ring", 409),
        ):
            assert (yield from town.ask("POST", "/v1/keys", data))[0] == status
        town.kill("desk")
        town.start("desk")
        town.start("h2")
        town.add_build(2, key=("third", signers["third"]))
        yield from town.insist("POST", "/v1/builds", {"build": 2}, good=lambda s, a: s in (202, 409))
        yield from town.push(2)
        yield from town.until(lambda: town.exactly(2))
        town.kill("h1")
        town.start("h1")
        town.add_build(3)  # signed by the first key, which is trusted no more
        yield from town.vote(2, 0, "back")
        yield from town.until(lambda: town.exactly(1))
        yield from town.insist("POST", "/v1/builds", {"build": 3}, good=lambda s, a: s in (202, 409))
        yield from town.insist("GET", "/v1/status", good=lambda s, a: "UnknownKey" in str(a["missing"]))

    run.go(go())
    assert not run.deaths
