"""A real desk and real agents whose journals are lost or put back from a copy, with a release under way."""

import os
import shutil

import pytest
from test_town import Run, first_build

from cobaltpond.loop import Sleep


def journal(town):
    return os.path.join(town.folder, "desk")


def put_back(town, copy):
    """The journal's folder as it was when copied; None: lost."""
    shutil.rmtree(journal(town))
    if copy is not None:
        shutil.copytree(copy, journal(town))


def copied(town, name):
    shutil.copytree(journal(town), os.path.join(town.folder, name))
    return os.path.join(town.folder, name)


def on_trial(town, build):
    town.publish_build(build)
    yield from town.call_until_answered(
        "POST", "/v1/builds", {"build": build}, good=lambda s, a: s in (202, 409)
    )
    yield from town.wait_until(lambda: ("h0", build) in town.listed_up())


def settled(town, bound=15_000_000):
    return (
        yield from town.call_until_answered(
            "GET",
            "/v1/status",
            bound=bound,
            good=lambda s, a: s == 200 and a["returning"]["state"] != "collecting",
        )
    )


@pytest.mark.parametrize("how", ["a copy from before it went back", "lost"])
def test_a_condemned_build_is_not_started_anew_by_a_desk_that_forgot(tmp_path, how):
    run = Run(tmp_path, 3, "beside")
    town = run.town

    def go():
        yield from first_build(town)
        yield from on_trial(town, 2)
        copy = copied(town, "copy")
        yield from town.cast_vote(2, 0, "back")
        yield from town.wait_until(lambda: town.runs_only(1))
        yield Sleep(1_200_000)  # the hosts hear of it with the news' period
        town.kill_process("desk")
        put_back(town, copy if how != "lost" else None)
        before = len(town.registry_log)
        town.start("desk")
        status = yield from settled(town)
        yield Sleep(1_500_000)
        after = [(build, state) for _, _, build, state, _ in town.registry_log[before:]]
        assert status["returning"]["state"] == "resumed", status
        assert 2 in status["condemned"] and (2, "up") not in after and town.runs_only(1)
        refused = yield from town.call_desk("POST", "/v1/builds", {"build": 2})
        assert refused[0] == 409
        yield from on_trial(town, 3)  # and it goes on
        yield from town.promote(3)
        yield from town.wait_until(lambda: town.runs_only(3))

    run.go(go())
    assert not run.task_failures


def test_a_desk_that_lost_all_empties_no_place_and_a_trial_goes_on_no_further_than_it_was(tmp_path):
    run = Run(tmp_path, 3, "beside")
    town = run.town

    def go():
        yield from first_build(town)
        yield from on_trial(town, 2)
        yield Sleep(1_200_000)
        town.kill_process("desk")
        put_back(town, None)
        before = len(town.registry_log)
        town.start("desk")
        status = yield from settled(town)
        assert (status["news"]["build"], status["news"]["stage"], status["news"]["phase"]) == (2, 0, "trial")
        assert status["stable"] == 1 and status["news"]["cap"] <= 0.5
        yield Sleep(800_000)
        assert not [row for row in town.registry_log[before:] if row[3] != "up"], town.registry_log[before:]
        assert {place for place, build in town.listed_up() if build == 1} == set(town.places)
        yield from town.promote(2)
        yield from town.wait_until(lambda: town.runs_only(2))

    run.go(go())
    assert not run.task_failures


def test_an_agent_whose_journal_is_lost_takes_on_what_runs_and_starts_nothing_twice(tmp_path):
    run = Run(tmp_path, 3, "beside")
    town = run.town

    def go():
        yield from first_build(town)
        running = {
            place: pid
            for pid, words in town.loop.kernel.command_lines()
            for place in town.places
            if any(word.startswith(f"{town.folder}/{place}/store") for word in words)
        }
        town.kill_process("h1")
        shutil.rmtree(os.path.join(town.folder, "h1", "journal"))
        town.start("h1")
        yield Sleep(2_500_000)
        now = {
            place: pid
            for pid, words in town.loop.kernel.command_lines()
            for place in town.places
            if any(word.startswith(f"{town.folder}/{place}/store") for word in words)
        }
        assert now == running and town.runs_only(1)
        yield from on_trial(town, 2)
        yield from town.promote(2)
        yield from town.wait_until(lambda: town.runs_only(2))

    run.go(go())
    assert not run.task_failures
