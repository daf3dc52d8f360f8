"""Recovery of gateways on the virtual kernel: with a full disk, behind a partition, and in a crash loop."""

from test_transcripts import BASE, MEMBERSHIP

from cobaltpond.sim.runner import SimulatedScenario
from cobaltpond.sim.scenarios import read_fault_scenario


def final_statuses(more_calls, gateways=2, length=14, rate=20.0, prepare=lambda sim: None):
    """Return the gateways' statuses at the end of a scenario that must break no rule."""
    text = (
        BASE % {"length": length, "rate": rate, "gateways": gateways, "agents": False}
        + MEMBERSHIP
        + more_calls
    )
    sim = SimulatedScenario(read_fault_scenario("comeback", text, 3))
    prepare(sim)
    verdict = sim.run()
    assert verdict.found == [] and verdict.result, verdict.found
    return verdict.result["statuses"]


def test_full_disk_loses_only_the_snapshot():
    def fill_disk(sim):
        sim.machine.disk.full_folders["/day/learned-1.new"] = 1

    first, second = (status["recovery"] for status in final_statuses("", prepare=fill_disk))
    assert first["counts"]["kept"] >= 3 and first["counts"]["not kept"] == 0
    assert (
        second["counts"]["kept"] == 0 and second["counts"]["not kept"] >= 3 and second["phase"] == "settled"
    )


def test_half_of_the_gateways_settle_behind_a_partition():
    more_calls = "".join(f"kill(gateway = {n}, at = s(3), back_after = ms(300))\n" for n in (2, 3))
    more_calls += "".join(
        f'fault(kind = "cut", at = ms(2900), length = s(4), on = "gateway-{a}", to = "gateway-{b}")\n'
        for a in (2, 3)
        for b in (0, 1)
    )
    statuses = final_statuses(more_calls, gateways=4)
    assert [status["recovery"]["phase"] for status in statuses] == ["settled"] * 4
    for status in statuses[2:]:  # no gateway on their side was settled, so none could answer
        assert status["recovery"]["asked"]["answers"] == 0
        settled = next(at for at, phase, _ in status["recovery"]["story"] if phase == "settled")
        assert settled < 6_000_000


def test_gateway_killed_every_two_seconds_in_a_bad_trial_breaks_no_rule():
    """Checks the auditor's rules; `test_recovery.py` tests that its exposure-free hits come late."""
    more_calls = 'offer(at = s(1), flaw = "errors", strength = 0.6)\n' + "".join(
        f"kill(gateway = 1, at = ms({2_000 + 2_000 * n}), back_after = ms(200))\n" for n in range(5)
    )
    first, second = final_statuses(more_calls, length=16)
    assert first["recovery"]["phase"] == "settled"
    assert second["recovery"]["up_us"] < 8_000_000
