"""Short scenarios over sockets: invariants kept, deliberately faulty gateways detected, bench files read."""

import json

import pytest

from cobaltpond.audit.findings import RULES
from cobaltpond.cli.main import main
from cobaltpond.loop import EpollKernel, Loop
from cobaltpond.scenario.bench_import import BenchFileError, import_bench_file
from cobaltpond.scenario.plan import read_plan
from cobaltpond.scenario.report import compute_figures, format_report
from cobaltpond.scenario.runner import ScenarioRun

SCRIPT = """
day(length = s(%(length)d), rate = %(rate)s, seed = 3)
fleet(instances = 6, zones = ["north", "south"], boot = ms(600), cold_time = s(3), cores = %(cores)d,
      agents = %(agents)s)
registry(notice = ms(200), spread = ms(100), add = ms(100), silent = s(3))
path_group(name = "look", kind = "repeatable", target_latency = ms(800), client_timeout = ms(2000))
path_group(name = "pay", kind = "mutating", target_latency = ms(800), client_timeout = ms(2000), \
benefit = 2.0)
traffic(group = "look", share = 0.6, work = ms(80))
traffic(group = "pay", share = 0.4, work = ms(80), method = "POST")
release(gate = "clock", layout = "%(layout)s", shares = [0.34, 1.0], caps = [0.3, 1.0], \
exposure_window = s(2),
        vote_life = s(5), vote_wait = ms(800), dwell = ms(500), step = ms(1200), settle = ms(300), \
news_period = s(1),
        drain_time = s(1))
rules(drain_grace = ms(250), cold_time = s(3), cold_share = 0.4, overload_factor = 2.0, tip_time = ms(1000))
reports(names = ["inflight"])
gateway(zone = "north")
gateway(zone = "south")
offer(at = ms(1500))
%(extra_script)s
"""


def run_scenarios(plans, tmp_path, extra_arguments=None):
    """Runs all plans at once on one event loop; returns their results by name."""
    failed_tasks = []
    loop = Loop(EpollKernel(), lambda task, error: failed_tasks.append((task.name, error)))
    runs = {
        name: ScenarioRun(
            loop, plan, str(tmp_path / name), lambda text: None, (extra_arguments or {}).get(name)
        )
        for name, plan in plans.items()
    }
    tasks = {name: loop.spawn(run.run(), name) for name, run in runs.items()}

    def join_all():
        results = {}
        for name, task in tasks.items():
            results[name] = yield from task.join()
        return results

    try:
        return loop.run(loop.spawn(join_all(), "days"))
    finally:
        loop.close()


def read_test_plan(layout="beside", length=7, rate=40.0, extra_script="", cores=2, agents=False):
    return read_plan(
        "test.star",
        SCRIPT
        % {
            "layout": layout,
            "length": length,
            "rate": rate,
            "extra_script": extra_script,
            "cores": cores,
            "agents": agents,
        },
    )


def plan_for_faulty_gateway(rule):
    slow_instances = 'trouble(kind = "slow", at = s(1), length = s(5), size = 4.0, on = [0, 1, 2, 3])'
    return {
        "cold instances": read_test_plan("in place", rate=70.0, cores=1),
        "no effect twice": read_test_plan(extra_script=slow_instances),
        "drains kept": read_test_plan("in place", length=9),
    }.get(rule, read_test_plan())


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """The results of the five faulty gateways and of the correct ones."""
    import os

    os.environ["PYTHONPATH"] = os.pathsep.join(["tests", os.environ.get("PYTHONPATH", "")])
    faulty_decisions = dict(
        zip(RULES, ("LosesHits", "RunsTwice", "ForgetsDrains", "CrushesCold", "IgnoresCaps"), strict=True)
    )
    plans = {rule: plan_for_faulty_gateway(rule) for rule in RULES}
    extra_arguments = {
        rule: {n: ("--decisions", f"broken:{name}") for n in range(2)}
        for rule, name in faulty_decisions.items()
    }
    plans["correct"] = read_test_plan(
        extra_script="kill(gateway = 1, at = s(3), back_after = s(1))\n"
        'trouble(kind = "balancer_stall", which = 0, at = s(5), length = ms(400))'
    )
    plans["correct, in place"] = read_test_plan(
        "in place", extra_script='trouble(kind = "vanish", at = s(4), length = s(2), on = [5])'
    )
    plans["correct, with agents"] = read_test_plan(
        length=8,
        agents=True,
        extra_script="""
kill(what = "agent", gateway = 0, at = ms(1700), back_after = s(1))
kill(what = "desk", at = s(3), back_after = ms(500))
kill(what = "instance", gateway = 3, at = s(4))""",
    )
    # A machine that starts a dozen processes at once delays everything else on it: correct gateways were
    # stalled for half a second and answered late. The two scenarios with limits in milliseconds therefore run
    # on their own.
    plans_run_alone = {name: plans.pop(name) for name in ("correct", "correct, in place")}
    return run_scenarios(plans, tmp_path_factory.mktemp("days"), extra_arguments) | run_scenarios(
        plans_run_alone, tmp_path_factory.mktemp("alone"), extra_arguments
    )


@pytest.mark.parametrize("rule", RULES)
def test_a_faulty_gateway_is_detected(results, rule):
    violations = results[rule]["found"].broken
    assert violations[rule], (rule, {r: len(b) for r, b in violations.items()})


@pytest.mark.parametrize("name", ["correct", "correct, in place", "correct, with agents"])
def test_a_correct_gateway_keeps_all_rules(results, name):
    findings = results[name]["found"]
    assert findings.all_kept, "\n".join(
        f"{rule}: {text}" for rule, rows in findings.broken.items() for text in rows
    )
    assert all(findings.checked[rule] > 0 for rule in RULES), findings.checked
    outcome = compute_figures(results[name])
    assert outcome["service"] > 0.8 and outcome["hits"] > 150 and "exposure" in format_report(results[name])


def test_a_release_completes_over_sockets(results):
    assert results["correct, in place"]["desk"]["news"]["phase"] == "released"
    assert {m["build"] for m in results["correct, in place"]["desk"]["machines"] if m["state"] == "up"} == {
        42
    }


def test_every_hit_of_a_killed_gateway_is_accounted_for(results):
    seen = compute_figures(results["correct"])["answers"]
    assert seen["delivered"] > 150 and seen["lost"] + seen["not sent"] > 0


def test_a_file_that_is_no_bench_day_file_is_rejected():
    with pytest.raises(BenchFileError, match="no day file"):
        import_bench_file({"fam": {}}, "x.json")


def test_command_line_errors_name_file_and_line(tmp_path):
    from click.testing import CliRunner

    bad = tmp_path / "bad.star"
    bad.write_text("path_group(name = 'x', target_latency = 5, client_timeout = ms(9))\n")
    outcome = CliRunner().invoke(main, ["check", str(bad)])
    assert outcome.exit_code == 2 and "bad.star:1: path_group: target_latency" in outcome.output
    good = CliRunner().invoke(main, ["check", "examples/resale.star"])
    assert good.exit_code == 0 and "3 gateways" in good.output
    assert CliRunner().invoke(main, ["day"]).exit_code == 2
    plan = tmp_path / "plan.json"
    plan.write_text(json.dumps({"no": "day"}))
    assert CliRunner().invoke(main, ["day", "--from", str(plan)]).exit_code == 2
