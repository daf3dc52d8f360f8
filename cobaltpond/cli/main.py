"""Command group `cobaltpond` and all commands but those of `release` and `sim`.

Exit codes: 0 success, 1 a rule was broken or a component failed, 2 invalid input.
"""

import json
import logging
import sys
import tempfile

import click
import structlog

from cobaltpond.cli.release import release
from cobaltpond.cli.settings_file import load_settings
from cobaltpond.cli.sim import sim
from cobaltpond.loop import EpollKernel, run_component
from cobaltpond.settings import SettingsError


def create_logger(component: str):
    """Configures structlog and returns a logger that writes one JSON object per line to standard error.

    Each line carries the time of day, the level, and `component` as the field `part`.
    """
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
    return structlog.get_logger().bind(part=component)


@click.group()
@click.version_option(package_name=None, version="0.2.0", prog_name="cobaltpond")
def main():
    """A release controller and the router that moves traffic from one build to another."""


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check(file):
    """Validates a settings file and prints a summary of it, or the error and its line."""
    settings = load_settings(file)
    click.echo(
        f"{file}: {len(settings.gateways)} gateways in {len(settings.zones)} zones, "
        f"{len(settings.path_groups)} path groups, {len(settings.routes)} routes, "
        f"{len(settings.release.shares)} stages, {len(settings.limits)} limits"
    )


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--number", type=int, required=True, help="Number of this gateway in the settings file.")
@click.option(
    "--decisions",
    default=None,
    hidden=True,
    help="module:class of the decisions to use in place of the built-in ones",
)
def gateway(file, number, decisions):
    """Runs one gateway until SIGTERM; hits in progress are answered before it exits."""
    from cobaltpond.gateway.main import run_gateway

    settings = load_settings(file)
    if not 0 <= number < len(settings.gateways):
        raise click.BadParameter(
            f"the settings file has gateways 0 to {len(settings.gateways) - 1}", param_hint="--number"
        )
    decisions_class = None
    if decisions is not None:
        import importlib

        module, _, name = decisions.partition(":")
        decisions_class = getattr(importlib.import_module(module), name)
    sys.exit(
        run_gateway(EpollKernel(), settings, number, create_logger(f"gateway-{number}"), decisions_class) or 0
    )


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def desk(file):
    """Runs the release desk, which moves a build through the stages by the votes of the gateways."""
    from cobaltpond.desk.service import run_desk

    settings = load_settings(file)
    if settings.desk.platform is None and not settings.hosts:
        click.echo(f"{file}: the desk needs desk(platform = ...) or host(...) calls to run", err=True)
        sys.exit(2)
    run_desk(EpollKernel(), settings, create_logger("desk"))


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--place", required=True, help="Place of this host in the settings file.")
def agent(file, place):
    """Runs the agent of one host. Its instances keep running when it ends; its next start adopts them."""
    from cobaltpond.agent.main import run_agent

    settings = load_settings(file)
    host = next((h for h in settings.hosts if h.place == place), None)
    if host is None:
        raise click.BadParameter(f"the settings file has no host(place = {place!r})", param_hint="--place")
    run_agent(EpollKernel(), settings, host, create_logger(f"agent-{place}"))


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--at", type=int, default=None, help="Shows the table of this gateway only.")
@click.option("--watch", is_flag=True, help="Keeps running and prints the tables at each change.")
@click.option("--as-json", is_flag=True)
def members(file, at, watch, as_json):
    """Compares the membership tables of the gateways. Exit code 0 only if all answered and agree."""
    from cobaltpond.cli.members import show

    settings = load_settings(file)
    if settings.members is None:
        click.echo(f"{file}: no members(...) call: the gateways run without membership", err=True)
        sys.exit(2)
    if at is not None and not 0 <= at < len(settings.gateways):
        raise click.BadParameter(
            f"the settings file has gateways 0 to {len(settings.gateways) - 1}", param_hint="--at"
        )
    sys.exit(show(EpollKernel(), settings, at, watch, as_json, click.echo))


@main.command()
@click.argument("script", required=False, type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--from", "bench", type=click.Path(exists=True, dir_okay=False), help="A day file of the benchmark."
)
@click.option("--seed", type=int, default=None, help="Seed to use in place of the script's own.")
@click.option(
    "--keep",
    type=click.Path(file_okay=False),
    help="Folder for records and logs (default: a new temporary folder).",
)
@click.option("--as-json", is_flag=True, help="Prints the figures as JSON in place of the table.")
def day(script, bench, seed, keep, as_json):
    """Runs a scenario over real sockets and checks the five rules. Exit code 0 only if all were kept."""
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
    except (SettingsError, BenchFileError, ValueError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    folder = keep or tempfile.mkdtemp(prefix="cobaltpond-day-")
    try:
        result = run_component(
            EpollKernel(),
            lambda loop: ScenarioRun(loop, plan, folder, lambda text: click.echo(text, err=True)),
            create_logger("day"),
            "day",
        )
    except (ScenarioError, SettingsError) as error:
        click.echo(f"the scenario failed: {error}", err=True)
        sys.exit(1)
    if result is None:
        click.echo("stopped", err=True)
        sys.exit(1)
    if as_json:
        findings = result["found"]
        click.echo(
            json.dumps(
                {
                    **compute_figures(result),
                    "rules": {
                        rule: {"checked": findings.checked[rule], "broken": len(findings.broken[rule])}
                        for rule in findings.checked
                    },
                }
            )
        )
    else:
        click.echo(format_report(result))
        click.echo(f"records and logs: {folder}", err=True)
    if result["final"] is not None and not result["final"]["exact"]:
        click.echo(
            f"expected: build {result['final']['meant']} in every place; "
            f"running: {result['final']['running']}",
            err=True,
        )
        sys.exit(1)
    sys.exit(0 if result["found"].all_kept else 1)


main.add_command(release)
main.add_command(sim)


@main.group(hidden=True)
def standin():
    """Simulated clients, instances and build server of a scenario; `cobaltpond day` starts them."""


@standin.command()
@click.argument("plan", type=click.File())
@click.argument("records", type=click.Path())
def yard(plan, records):
    """Runs the simulated instances of PLAN in one process and writes their records to RECORDS."""
    from cobaltpond.standins.instance_fleet import run_instance_fleet

    run_instance_fleet(EpollKernel(), json.load(plan), records, create_logger("yard"))


@standin.command()
@click.argument("plan", type=click.File())
@click.argument("port", type=int)
def builds(plan, port):
    """Serves the builds of PLAN to the agents on PORT."""
    from cobaltpond.standins.single_instance import run_build_server

    run_build_server(EpollKernel(), json.load(plan), port, create_logger("builds"))


@standin.command()
@click.argument("plan", type=click.File())
@click.argument("build", type=int)
@click.argument("port", type=int)
@click.argument("name")
@click.argument("mark")
def solo(plan, build, port, name, mark):
    """Runs one simulated instance NAME of BUILD on PORT, started by an agent with process mark MARK."""
    from cobaltpond.standins.single_instance import run_single_instance

    run_single_instance(
        EpollKernel(), json.load(plan), build, port, name, mark, create_logger(f"solo-{name}")
    )


@standin.command()
@click.argument("plan", type=click.File())
@click.argument("records", type=click.Path())
def crowd(plan, records):
    """Runs the simulated clients of PLAN and writes their records to RECORDS."""
    from cobaltpond.standins.clients import run_clients

    run_clients(EpollKernel(), json.load(plan), records, create_logger("crowd"))
