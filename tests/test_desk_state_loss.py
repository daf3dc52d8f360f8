"""A running desk and agents whose journals are lost, or restored from a copy, during a release."""

import os
import shutil

import pytest
from test_host_cluster import Run, first_build

from cobaltpond.loop import Sleep


def journal_folder(cluster):
    return os.path.join(cluster.folder, "desk")


def restore_journal(cluster, copy):
    """Replaces the desk's journal folder by an earlier copy; None: deletes it."""
    shutil.rmtree(journal_folder(cluster))
    if copy is not None:
        shutil.copytree(copy, journal_folder(cluster))


def copy_journal(cluster, name):
    shutil.copytree(journal_folder(cluster), os.path.join(cluster.folder, name))
    return os.path.join(cluster.folder, name)


def start_trial(cluster, build):
    cluster.publish_build(build)
    yield from cluster.call_until_answered(
        "POST", "/v1/builds", {"build": build}, good=lambda s, a: s in (202, 409)
    )
    yield from cluster.wait_until(lambda: ("h0", build) in cluster.listed_up())


def wait_until_recovered(cluster, timeout_us=15_000_000):
    return (
        yield from cluster.call_until_answered(
            "GET",
            "/v1/status",
            bound=timeout_us,
            good=lambda s, a: s == 200 and a["returning"]["state"] != "collecting",
        )
    )


@pytest.mark.parametrize("journal_loss", ["a copy from before it went back", "lost"])
def test_desk_with_lost_journal_does_not_restart_condemned_build(tmp_path, journal_loss):
    """A stale or lost journal does not know of a rollback; the hosts do, and the build stays condemned."""
    run = Run(tmp_path, 3, "beside")
    cluster = run.town

    def scenario():
        yield from first_build(cluster)
        yield from start_trial(cluster, 2)
        copy = copy_journal(cluster, "copy")
        yield from cluster.cast_vote(2, 0, "back")
        yield from cluster.wait_until(lambda: cluster.runs_only(1))
        yield Sleep(1_200_000)  # hosts receive the new state within one news period
        cluster.kill_process("desk")
        restore_journal(cluster, copy if journal_loss != "lost" else None)
        log_length = len(cluster.registry_log)
        cluster.start("desk")
        status = yield from wait_until_recovered(cluster)
        yield Sleep(1_500_000)
        after = [(build, state) for _, _, build, state, _ in cluster.registry_log[log_length:]]
        assert status["returning"]["state"] == "resumed", status
        assert 2 in status["condemned"] and (2, "up") not in after and cluster.runs_only(1)
        response = yield from cluster.call_desk("POST", "/v1/builds", {"build": 2})
        assert response[0] == 409
        yield from start_trial(cluster, 3)  # later releases still work
        yield from cluster.promote(3)
        yield from cluster.wait_until(lambda: cluster.runs_only(3))

    run.go(scenario())
    assert not run.task_failures


def test_desk_with_lost_journal_keeps_instances_and_trial_stage(tmp_path):
    """A desk without its journal must neither stop running instances nor advance a trial beyond its stage."""
    run = Run(tmp_path, 3, "beside")
    cluster = run.town

    def scenario():
        yield from first_build(cluster)
        yield from start_trial(cluster, 2)
        yield Sleep(1_200_000)
        cluster.kill_process("desk")
        restore_journal(cluster, None)
        log_length = len(cluster.registry_log)
        cluster.start("desk")
        status = yield from wait_until_recovered(cluster)
        assert (status["news"]["build"], status["news"]["stage"], status["news"]["phase"]) == (2, 0, "trial")
        assert status["stable"] == 1 and status["news"]["cap"] <= 0.5
        yield Sleep(800_000)
        assert not [row for row in cluster.registry_log[log_length:] if row[3] != "up"], cluster.registry_log[
            log_length:
        ]
        assert {place for place, build in cluster.listed_up() if build == 1} == set(cluster.places)
        yield from cluster.promote(2)
        yield from cluster.wait_until(lambda: cluster.runs_only(2))

    run.go(scenario())
    assert not run.task_failures


def test_agent_with_lost_journal_adopts_running_instances(tmp_path):
    """An agent without its journal must not start an instance that already runs a second time."""
    run = Run(tmp_path, 3, "beside")
    cluster = run.town

    def scenario():
        yield from first_build(cluster)
        running_before = {
            place: pid
            for pid, words in cluster.loop.kernel.command_lines()
            for place in cluster.places
            if any(word.startswith(f"{cluster.folder}/{place}/store") for word in words)
        }
        cluster.kill_process("h1")
        shutil.rmtree(os.path.join(cluster.folder, "h1", "journal"))
        cluster.start("h1")
        yield Sleep(2_500_000)
        running_after = {
            place: pid
            for pid, words in cluster.loop.kernel.command_lines()
            for place in cluster.places
            if any(word.startswith(f"{cluster.folder}/{place}/store") for word in words)
        }
        assert running_after == running_before and cluster.runs_only(1)
        yield from start_trial(cluster, 2)
        yield from cluster.promote(2)
        yield from cluster.wait_until(lambda: cluster.runs_only(2))

    run.go(scenario())
    assert not run.task_failures
