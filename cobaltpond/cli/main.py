"""Exit codes: 0 fine, 1 a rule was broken or a part failed, 2 the input is wrong."""

import json
import logging
import sys
import tempfile

import click
import structlog

from cobaltpond.cli.sim import sim
from cobaltpond.loop import Deadline, DeadlineExceededError, EpollKernel, Loop, Sleep, run_component
from cobaltpond.loop.clock import format_utc
from cobaltpond.settings import SettingsError, read_settings
from cobaltpond.settings.sections import split_address


def logger(part: str):
    """One JSON object a line on standard error, with the time of day and what part says it."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
    )
    return structlog.get_logger().bind(part=part)


def sheet_of(path: str):
    try:
        with open(path, encoding="utf-8") as file:
            return read_settings(path, file.read())
    except SettingsError as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)


@click.group()
@click.version_option(package_name=None, version="0.2.0", prog_name="cobaltpond")
def main():
    """A release controller and the router that moves traffic from one build to another."""


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check(file):
    """Reads a sheet and says what it holds, or what is wrong with it and where."""
    sheet = sheet_of(file)
    click.echo(
        f"{file}: {len(sheet.gateways)} gateways in {len(sheet.zones)} zones, {len(sheet.path_groups)} path "
        f"groups, {len(sheet.routes)} routes, {len(sheet.release.shares)} stages, {len(sheet.limits)} limits"
    )


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--number", type=int, required=True, help="Which gateway of the sheet this one is.")
@click.option(
    "--decisions", default=None, hidden=True, help="module:class to decide in place of the project's own"
)
def gateway(file, number, decisions):
    """Runs one gateway until it is told to stop (TERM): then hits under way are answered first."""
    from cobaltpond.gateway.main import run_gateway

    sheet = sheet_of(file)
    if not 0 <= number < len(sheet.gateways):
        raise click.BadParameter(
            f"the sheet has gateways 0 to {len(sheet.gateways) - 1}", param_hint="--number"
        )
    kind = None
    if decisions is not None:
        import importlib

        module, _, name = decisions.partition(":")
        kind = getattr(importlib.import_module(module), name)
    sys.exit(run_gateway(EpollKernel(), sheet, number, logger(f"gateway-{number}"), kind) or 0)


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def desk(file):
    """Runs the release desk."""
    from cobaltpond.desk.service import run_desk

    sheet = sheet_of(file)
    if sheet.desk.platform is None and not sheet.hosts:
        click.echo(f"{file}: desk(...): a platform, or host(...) calls, are needed to run a desk", err=True)
        sys.exit(2)
    run_desk(EpollKernel(), sheet, logger("desk"))


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--place", required=True, help="Which place of the sheet this host is.")
def agent(file, place):
    """Runs the agent of one host. Its instances go on when it ends, and are taken on by the next start."""
    from cobaltpond.agent.main import run_agent

    sheet = sheet_of(file)
    host = next((h for h in sheet.hosts if h.place == place), None)
    if host is None:
        raise click.BadParameter(f"the sheet has no host(place = {place!r})", param_hint="--place")
    run_agent(EpollKernel(), sheet, host, logger(f"agent-{place}"))


def ask(file, method, target, body=None, raw=b""):
    """One call to the desk of a sheet; `body` goes as JSON, `raw` as it is."""
    from cobaltpond.rpc import CALL_ERRORS, call

    sheet, loop = sheet_of(file), Loop(EpollKernel())

    def go():
        with Deadline(loop, 3_000_000):
            return (
                yield from call(
                    loop,
                    split_address(sheet.desk.address),
                    method,
                    target,
                    json.dumps(body).encode() if body else raw,
                    1_000_000,
                )
            )

    try:
        status, text = loop.run(loop.spawn(go(), "ask"))
    except (*CALL_ERRORS, DeadlineExceededError) as trouble:
        click.echo(f"no answer from the desk at {sheet.desk.address}: {trouble}", err=True)
        sys.exit(1)
    answer = json.loads(text)
    if status >= 300:
        click.echo(f"the desk says no: {answer.get('error', status)}", err=True)
        sys.exit(1)
    return answer


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--at", type=int, default=None, help="The table of this gateway only.")
@click.option("--watch", is_flag=True, help="Goes on, and says what has changed.")
@click.option("--as-json", is_flag=True)
def members(file, at, watch, as_json):
    """Which gateways are there, in whose eyes. Exit code 0 only if all answered and agree."""
    from cobaltpond.cli.members import show

    sheet = sheet_of(file)
    if sheet.members is None:
        click.echo(f"{file}: no call of members(...): its gateways do not know each other", err=True)
        sys.exit(2)
    if at is not None and not 0 <= at < len(sheet.gateways):
        raise click.BadParameter(f"the sheet has gateways 0 to {len(sheet.gateways) - 1}", param_hint="--at")
    sys.exit(show(EpollKernel(), sheet, at, watch, as_json, click.echo))


@main.group()
def release():
    """Speaks to the release desk."""


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.argument("build", type=int)
def offer(file, build):
    """Offers a build: it goes out in stages."""
    click.echo(json.dumps(ask(file, "POST", "/v1/builds", {"build": build})["news"]))


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def status(file):
    """Where the newest build stands, as JSON."""
    click.echo(json.dumps(ask(file, "GET", "/v1/status"), indent=2))


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.argument("build", type=int)
@click.option("--why", default="", help="Kept in the history.")
def back(file, build, why):
    """Sends a build back, on trial or released: the earlier one takes its place."""
    click.echo(json.dumps(ask(file, "POST", "/v1/back", {"build": build, "why": why})["news"]))


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.argument("ring", type=click.File("rb"))
def keys(file, ring):
    """Hands a signed key ring to the desk, which keeps it and hands it to every host."""
    click.echo(json.dumps(ask(file, "POST", "/v1/keys", raw=ring.read())))


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--as-json", is_flag=True)
def history(file, as_json):
    """What became of the last builds, and why."""
    rows = ask(file, "GET", "/v1/history")["history"]
    for row in rows:
        click.echo(
            json.dumps(row)
            if as_json
            else f"{format_utc(row['at'])}  build {row['build']} stage {row['stage']}: "
            f"{row['phase']} ({row['why']})"
        )


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--as-json", is_flag=True, help="One JSON object at each change.")
@click.option("--seconds", type=int, default=600, help="Give up watching after so long.")
def watch(file, as_json, seconds):
    """Follows the newest build until it is released or withdrawn. Exit code 0 only if it was released."""
    loop, last, news = Loop(EpollKernel()), None, {}

    def pause():
        yield Sleep(300_000)

    end = loop.kernel.now() + seconds * 1_000_000
    while loop.kernel.now() < end:
        state = ask(file, "GET", "/v1/status")
        news = state["news"]
        up = sum(m["build"] == news["build"] and m["state"] == "up" for m in state["machines"])
        shown = {
            "build": news["build"],
            "stage": news["stage"],
            "phase": news["phase"],
            "cap": round(news["cap"], 3),
            "up": up,
            "places": len({m["place"] for m in state["machines"]}),
            "votes": state["votes"],
            "missing": state["missing"],
        }
        if shown != last:
            last = shown
            if as_json:
                click.echo(json.dumps(shown))
            else:
                bar = "#" * up + "." * (shown["places"] - up)
                click.echo(
                    f"build {news['build']} stage {news['stage']} {news['phase']:<11} [{bar}] "
                    f"cap {news['cap']:.2f}  votes {state['votes']}"
                )
                for place, build, why in state["missing"]:
                    click.echo(f"    {place}: build {build}: {why}")
        if news["phase"] in ("released", "withdrawn") and not state["offered"]:
            break
        loop.run(loop.spawn(pause(), "pause"))
    sys.exit(0 if news.get("phase") == "released" else 1)


@main.command()
@click.argument("script", required=False, type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--from", "bench", type=click.Path(exists=True, dir_okay=False), help="A day file of the bench."
)
@click.option("--seed", type=int, default=None, help="Another seed than the script's.")
@click.option(
    "--keep", type=click.Path(file_okay=False), help="Folder for records and logs (default: a new one)."
)
@click.option("--as-json", is_flag=True, help="Figures as JSON in place of the table.")
def day(script, bench, seed, keep, as_json):
    """Plays a day over real sockets and checks the five rules. Exit code 0 only if all held."""
    from cobaltpond.scenario.bench_import import BenchFileError, import_bench_file
    from cobaltpond.scenario.plan import read_plan
    from cobaltpond.scenario.report import compute_figures, format_report
    from cobaltpond.scenario.runner import ScenarioRun
    from cobaltpond.scenario.time_limits import ScenarioError

    if (script is None) == (bench is None):
        raise click.UsageError("give either a SCRIPT or --from DAY.json")
    try:
        with open(script or bench, encoding="utf-8") as file:
            plan = (
                read_plan(script, file.read(), seed) if script else import_bench_file(json.load(file), bench)
            )
    except (SettingsError, BenchFileError, ValueError) as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    folder = keep or tempfile.mkdtemp(prefix="cobaltpond-day-")
    try:
        result = run_component(
            EpollKernel(),
            lambda loop: ScenarioRun(loop, plan, folder, lambda text: click.echo(text, err=True)),
            logger("day"),
            "day",
        )
    except (ScenarioError, SettingsError) as trouble:
        click.echo(f"the day failed: {trouble}", err=True)
        sys.exit(1)
    if result is None:
        click.echo("stopped", err=True)
        sys.exit(1)
    if as_json:
        found = result["found"]
        click.echo(
            json.dumps(
                {
                    **compute_figures(result),
                    "rules": {
                        rule: {"checked": found.checked[rule], "broken": len(found.broken[rule])}
                        for rule in found.checked
                    },
                }
            )
        )
    else:
        click.echo(format_report(result))
        click.echo(f"records and logs: {folder}", err=True)
    if result["final"] is not None and not result["final"]["exact"]:
        click.echo(
            f"meant: build {result['final']['meant']} in every place; running: {result['final']['running']}",
            err=True,
        )
        sys.exit(1)
    sys.exit(0 if result["found"].all_kept else 1)


main.add_command(sim)


@main.group(hidden=True)
def standin():
    """Stand-ins of a day; started by `cobaltpond day`."""


@standin.command()
@click.argument("plan", type=click.File())
@click.argument("records", type=click.Path())
def yard(plan, records):
    from cobaltpond.standins.instance_fleet import run_instance_fleet

    run_instance_fleet(EpollKernel(), json.load(plan), records, logger("yard"))


@standin.command()
@click.argument("plan", type=click.File())
@click.argument("port", type=int)
def builds(plan, port):
    from cobaltpond.standins.single_instance import run_build_server

    run_build_server(EpollKernel(), json.load(plan), port, logger("builds"))


@standin.command()
@click.argument("plan", type=click.File())
@click.argument("build", type=int)
@click.argument("port", type=int)
@click.argument("name")
@click.argument("mark")
def solo(plan, build, port, name, mark):
    from cobaltpond.standins.single_instance import run_single_instance

    run_single_instance(EpollKernel(), json.load(plan), build, port, name, mark, logger(f"solo-{name}"))


@standin.command()
@click.argument("plan", type=click.File())
@click.argument("records", type=click.Path())
def crowd(plan, records):
    from cobaltpond.standins.clients import run_clients

    run_clients(EpollKernel(), json.load(plan), records, logger("crowd"))
