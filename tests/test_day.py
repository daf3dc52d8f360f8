"""Whole days over sockets, short ones: kept rules, gateways broken on purpose, a day file of the bench."""

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
%(more)s
"""


def play(days, tmp_path, extra=None):
    """All days at once, one loop; their results by name."""
    task_failures = []
    loop = Loop(EpollKernel(), lambda task, trouble: task_failures.append((task.name, trouble)))
    runs = {
        name: ScenarioRun(loop, plan, str(tmp_path / name), lambda text: None, (extra or {}).get(name))
        for name, plan in days.items()
    }
    tasks = {name: loop.spawn(run.run(), name) for name, run in runs.items()}

    def all_of_them():
        results = {}
        for name, task in tasks.items():
            results[name] = yield from task.join()
        return results

    try:
        return loop.run(loop.spawn(all_of_them(), "days"))
    finally:
        loop.close()


def day(layout="beside", length=7, rate=40.0, more="", cores=2, agents=False):
    return read_plan(
        "test.star",
        SCRIPT
        % {"layout": layout, "length": length, "rate": rate, "more": more, "cores": cores, "agents": agents},
    )


def broken_day(rule):
    slow = 'trouble(kind = "slow", at = s(1), length = s(5), size = 4.0, on = [0, 1, 2, 3])'
    return {
        "cold instances": day("in place", rate=70.0, cores=1),
        "no effect twice": day(more=slow),
        "drains kept": day("in place", length=9),
    }.get(rule, day())


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """The five broken gateways and the sound days."""
    import os

    os.environ["PYTHONPATH"] = os.pathsep.join(["tests", os.environ.get("PYTHONPATH", "")])
    names = dict(
        zip(RULES, ("LosesHits", "RunsTwice", "ForgetsDrains", "CrushesCold", "IgnoresCaps"), strict=True)
    )
    days = {rule: broken_day(rule) for rule in RULES}
    extra = {rule: {n: ("--decisions", f"broken:{name}") for n in range(2)} for rule, name in names.items()}
    days["sound"] = day(
        more="kill(gateway = 1, at = s(3), back_after = s(1))\n"
        'trouble(kind = "balancer_stall", which = 0, at = s(5), length = ms(400))'
    )
    days["sound, in place"] = day(
        "in place", more='trouble(kind = "vanish", at = s(4), length = s(2), on = [5])'
    )
    days["sound, with agents"] = day(
        length=8,
        agents=True,
        more="""
kill(what = "agent", gateway = 0, at = ms(1700), back_after = s(1))
kill(what = "desk", at = s(3), back_after = ms(500))
kill(what = "instance", gateway = 3, at = s(4))""",
    )
    # hosts that start a dozen programs at once hold up whatever runs beside them: sound gateways stood still
    # for half a second and answered late. So the two that are timed to the millisecond are played by
    # themselves.
    alone = {name: days.pop(name) for name in ("sound", "sound, in place")}
    return play(days, tmp_path_factory.mktemp("days"), extra) | play(
        alone, tmp_path_factory.mktemp("alone"), extra
    )


@pytest.mark.parametrize("rule", RULES)
def test_a_gateway_broken_on_purpose_is_caught(results, rule):
    broken = results[rule]["found"].broken
    assert broken[rule], (rule, {r: len(b) for r, b in broken.items()})


@pytest.mark.parametrize("name", ["sound", "sound, in place", "sound, with agents"])
def test_a_sound_gateway_keeps_all_rules(results, name):
    found = results[name]["found"]
    assert found.all_kept, "\n".join(
        f"{rule}: {text}" for rule, rows in found.broken.items() for text in rows
    )
    assert all(found.checked[rule] > 0 for rule in RULES), found.checked
    got = compute_figures(results[name])
    assert got["service"] > 0.8 and got["hits"] > 150 and "exposure" in format_report(results[name])


def test_the_release_went_out_over_sockets(results):
    assert results["sound, in place"]["desk"]["news"]["phase"] == "released"
    assert {m["build"] for m in results["sound, in place"]["desk"]["machines"] if m["state"] == "up"} == {42}


def test_every_hit_of_a_killed_gateway_is_accounted_for(results):
    seen = compute_figures(results["sound"])["answers"]
    assert seen["delivered"] > 150 and seen["lost"] + seen["not sent"] > 0


def test_what_is_no_day_of_the_bench_says_so():
    with pytest.raises(BenchFileError, match="no day file"):
        import_bench_file({"fam": {}}, "x.json")


def test_the_command_line_names_file_and_line(tmp_path):
    from click.testing import CliRunner

    bad = tmp_path / "bad.star"
    bad.write_text("path_group(name = 'x', target_latency = 5, client_timeout = ms(9))\n")
    got = CliRunner().invoke(main, ["check", str(bad)])
    assert got.exit_code == 2 and "bad.star:1: path_group: target_latency" in got.output
    good = CliRunner().invoke(main, ["check", "examples/resale.star"])
    assert good.exit_code == 0 and "3 gateways" in good.output
    assert CliRunner().invoke(main, ["day"]).exit_code == 2
    plan = tmp_path / "plan.json"
    plan.write_text(json.dumps({"no": "day"}))
    assert CliRunner().invoke(main, ["day", "--from", str(plan)]).exit_code == 2
