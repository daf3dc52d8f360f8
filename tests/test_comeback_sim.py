"""Coming back on the virtual kernel: a full disk, a cut in the middle of it, one that falls over again and
again."""

from test_transcripts import BASE, KNOWN

from cobaltpond.sim.runner import SimulatedScenario
from cobaltpond.sim.scenarios import read_fault_scenario


def played(more, gateways=2, length=14, rate=20.0, before=lambda sim: None):
    """The gateways' statuses at the end of a day in which nothing was found."""
    text = BASE % {"length": length, "rate": rate, "gateways": gateways, "agents": False} + KNOWN + more
    sim = SimulatedScenario(read_fault_scenario("comeback", text, 3))
    before(sim)
    verdict = sim.run()
    assert verdict.found == [] and verdict.result, verdict.found
    return verdict.result["statuses"]


def test_a_full_disk_costs_the_snapshot_and_nothing_else():
    def full(sim):
        sim.machine.disk.full["/day/learned-1.new"] = 1

    first, second = (status["recovery"] for status in played("", before=full))
    assert first["counts"]["kept"] >= 3 and first["counts"]["not kept"] == 0
    assert (
        second["counts"]["kept"] == 0 and second["counts"]["not kept"] >= 3 and second["phase"] == "settled"
    )


def test_half_of_the_fleet_comes_back_behind_a_cut_and_settles_without_the_other_half():
    more = "".join(f"kill(gateway = {n}, at = s(3), back_after = ms(300))\n" for n in (2, 3))
    more += "".join(
        f'fault(kind = "cut", at = ms(2900), length = s(4), on = "gateway-{a}", to = "gateway-{b}")\n'
        for a in (2, 3)
        for b in (0, 1)
    )
    statuses = played(more, gateways=4)
    assert [status["recovery"]["phase"] for status in statuses] == ["settled"] * 4
    for status in statuses[2:]:  # nobody on their side was settled: nobody to ask
        assert status["recovery"]["asked"]["answers"] == 0
        settled = next(at for at, phase, _ in status["recovery"]["story"] if phase == "settled")
        assert settled < 6_000_000


def test_one_that_falls_over_every_two_seconds_in_a_bad_trial_breaks_no_rule():
    """Of the auditor's; that its free hits come late is `test_recovery.py`'s matter."""
    more = 'offer(at = s(1), flaw = "errors", strength = 0.6)\n' + "".join(
        f"kill(gateway = 1, at = ms({2_000 + 2_000 * n}), back_after = ms(200))\n" for n in range(5)
    )
    first, second = played(more, length=16)
    assert first["recovery"]["phase"] == "settled"
    assert second["recovery"]["up_us"] < 8_000_000
