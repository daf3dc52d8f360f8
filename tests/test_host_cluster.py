"""Real agents and a real desk as processes: deliberately broken builds, killed processes, key rotation."""

import base64

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from cobaltpond.builds.manifest import KeyRing, SigningKey, write_ring
from cobaltpond.loop import EpollKernel, Loop, Sleep
from cobaltpond.standins.host_cluster import HostCluster


class Run:
    """A cluster on an event loop of its own; `task_failures` lists failed tasks."""

    def __init__(self, folder, hosts, layout):
        self.loop = Loop(EpollKernel(), lambda task, error: self.task_failures.append((task.name, error)))
        self.task_failures = []
        self.town = HostCluster(self.loop, folder, hosts, layout)

    def go(self, generator):
        try:
            return self.loop.run(self.loop.spawn(generator, "main"))
        finally:
            self.town.close()
            self.loop.close()


def first_build(town):
    town.publish_build(1)
    town.start_all()
    yield from town.call_until_answered("POST", "/v1/builds", {"build": 1}, good=lambda s, a: s in (202, 409))
    yield from town.wait_until(lambda: town.runs_only(1))


def test_broken_builds_are_rolled_back_and_a_good_one_is_released(tmp_path):
    """After each broken build exactly the earlier build runs in every place, and nothing else."""
    run = Run(tmp_path, 3, "beside")
    town = run.town

    def go():
        yield from first_build(town)
        number, missing_by_flaw = 1, {}
        for flaw in ("exit", "deaf", "crash", "stubborn", "corrupt", "cut", "forged"):
            number += 1
            _, chunks = town.publish_build(
                number,
                flaw if flaw in ("exit", "deaf", "crash", "stubborn") else "good",
                key=Ed25519PrivateKey.generate() if flaw == "forged" else None,
            )
            if flaw in ("corrupt", "cut"):
                for server in town.servers:
                    fault = "junk" if flaw == "corrupt" else "cut 0"
                    server.faults.update((f"/chunks/{name}", [(fault, 1 << 30)]) for name in chunks)
            yield from town.call_until_answered(
                "POST", "/v1/builds", {"build": number}, good=lambda s, a: s in (202, 409)
            )
            if flaw == "stubborn":
                yield from town.wait_until(lambda n=number: any(b == n for _, b in town.listed_up()))
            else:
                yield Sleep(700_000)
            status = yield from town.call_until_answered("GET", "/v1/status")
            missing_by_flaw[flaw] = status["missing"]
            yield from town.cast_vote(number, 0, "back")
            yield from town.wait_until(lambda: town.runs_only(1))
            for server in town.servers:
                server.faults.clear()
        number += 1
        town.publish_build(number)
        yield from town.call_until_answered(
            "POST", "/v1/builds", {"build": number}, good=lambda s, a: s in (202, 409)
        )
        yield from town.promote(number)
        yield from town.wait_until(lambda: town.runs_only(number))
        assert (yield from town.call_desk("POST", "/v1/back", {"build": number - 1}))[0] == 409
        yield from town.call_until_answered("POST", "/v1/back", {"build": number, "why": "a word"})
        yield from town.wait_until(lambda: town.runs_only(1))
        history = yield from town.call_until_answered("GET", "/v1/history")
        assert [number, "going back", "a word"] in [
            [h["build"], h["phase"], h["why"]] for h in history["history"]
        ]
        return missing_by_flaw

    missing_by_flaw = run.go(go())
    assert not run.task_failures
    assert "WronglySigned" in str(missing_by_flaw["forged"]) and "FetchFailed" in str(
        missing_by_flaw["corrupt"]
    )
    assert all(missing_by_flaw[flaw] for flaw in ("exit", "deaf", "cut")), missing_by_flaw


@pytest.mark.parametrize("layout", ["beside", "in place"])
def test_desk_and_agents_killed_during_release_and_rollback(tmp_path, layout):
    run = Run(tmp_path, 3, layout)
    town = run.town

    def go():
        yield from first_build(town)
        town.publish_build(2)
        yield from town.call_until_answered(
            "POST", "/v1/builds", {"build": 2}, good=lambda s, a: s in (202, 409)
        )
        yield Sleep(150_000)
        town.kill_process("h0")  # while it fetches or starts the build
        yield Sleep(100_000)
        town.start("h0")
        town.kill_process("desk")
        town.start("desk")
        yield from town.wait_until(lambda: ("h0", 2) in town.listed_up())
        town.kill_process("desk")
        town.start("desk")
        yield from town.promote(2)
        yield from town.wait_until(lambda: town.runs_only(2))
        town.kill_process("h1")  # its instance keeps running without the agent
        assert ("h1", 2) in town.running_builds()
        yield from town.cast_vote(2, 0, "back")
        town.kill_process("desk")
        town.start("desk")
        town.start("h1")
        yield from town.wait_until(lambda: town.runs_only(1))
        town.kill_process("h2")
        for pid, words in town.loop.kernel.command_lines():
            if any(word.startswith(f"{town.folder}/h2/store") for word in words):
                town.loop.kernel.kill_process(pid)  # the instance ends while its agent is down
        yield from town.wait_until(lambda: ("h2", 1) not in town.running_builds())
        log_length = len(town.registry_log)
        town.start("h2")
        yield from town.wait_until(lambda: town.runs_only(1) and len(town.registry_log) > log_length)
        assert "gone" in [state for _, _, _, state, _ in town.registry_log[log_length:]]

    run.go(go())
    assert not run.task_failures


def test_rollback_to_a_build_of_the_old_key_after_key_rotation(tmp_path):
    """A host that was down applies both rotations; an untrusted or old key ring changes nothing."""
    run = Run(tmp_path, 3, "in place")
    town = run.town
    signers = {n: Ed25519PrivateKey.generate() for n in ("second", "third")}

    def ring(version, *names):
        return KeyRing(
            version,
            [
                SigningKey(
                    n, base64.b64encode(signers[n].public_key().public_bytes_raw()).decode(), 0, 1 << 40
                )
                for n in names
            ],
        )

    def go():
        yield from first_build(town)
        town.kill_process("h2")
        for data, status in (
            (write_ring(ring(3, "third"), signers), 409),
            (write_ring(ring(2, "second"), {"town": town.key}), 202),
            (write_ring(ring(2, "third"), {"town": town.key}), 409),
            (write_ring(ring(3, "third"), {"second": signers["second"]}), 202),
            (b"no ring", 409),
        ):
            assert (yield from town.call_desk("POST", "/v1/keys", data))[0] == status
        town.kill_process("desk")
        town.start("desk")
        town.start("h2")
        town.publish_build(2, key=("third", signers["third"]))
        yield from town.call_until_answered(
            "POST", "/v1/builds", {"build": 2}, good=lambda s, a: s in (202, 409)
        )
        yield from town.promote(2)
        yield from town.wait_until(lambda: town.runs_only(2))
        town.kill_process("h1")
        town.start("h1")
        town.publish_build(3)  # signed by the first key, which is no longer trusted
        yield from town.cast_vote(2, 0, "back")
        yield from town.wait_until(lambda: town.runs_only(1))
        yield from town.call_until_answered(
            "POST", "/v1/builds", {"build": 3}, good=lambda s, a: s in (202, 409)
        )
        yield from town.call_until_answered(
            "GET", "/v1/status", good=lambda s, a: "UnknownKey" in str(a["missing"])
        )

    run.go(go())
    assert not run.task_failures
