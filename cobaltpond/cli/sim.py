"""`cobaltpond sim`: runs, replays, shrinks and explains simulated days."""

import sys

import click

from cobaltpond.loop import EpollKernel


@click.group()
def sim():
    """Whole days on a virtual clock, with faults drawn from a seed; the rules are checked in each."""


def seeds_of(text: str) -> range:
    first, _, last = text.partition("..")
    if not first.isdigit() or last and not last.isdigit():
        raise click.BadParameter("A..B or one number", param_hint="--seeds")
    return range(int(first), int(last or first) + 1)


def scenario_of(what: str, size: str) -> str:
    """The text of a written scenario, or of a seed's."""
    from cobaltpond.sim.scenarios import draw_scenario

    if what.isdigit():
        return draw_scenario(int(what), size)
    with open(what, encoding="utf-8") as file:
        return file.read()


SIZE = click.option("--size", type=click.Choice(["small", "known", "lost", "day", "large"]), default="small")


@sim.command("run")
@click.option("--seeds", default="0..99", help="A..B, both included.")
@click.option("--jobs", type=int, default=0, help="Processes at work; 0: one a core.")
@SIZE
@click.option("--cover", type=click.Path(dir_okay=False), help="Writes which fault met which state.")
@click.option("--lean", type=click.File(), help="Such a file: the drawing leans to what it has never met.")
@click.option("--quiet", is_flag=True, help="No progress, only what fails and the end.")
@click.option("--first", is_flag=True, help="Ends at the first seed that finds something.")
def sim_run(seeds, jobs, size, cover, lean, quiet, first):
    """Draws, plays and checks a scenario for each seed. Exit code 0 only if nothing was found."""
    from cobaltpond.sim.campaign import Coverage, run_seeds

    kernel, coverage, bad, simulated, hits, checked = EpollKernel(), Coverage(), 0, 0, 0, 0
    weights, wanted, began = (
        Coverage.load(lean.read()).fault_weights() if lean else None,
        seeds_of(seeds),
        kernel.now(),
    )
    for n, verdict in enumerate(run_seeds(wanted, size, jobs, weights), 1):
        coverage.add(verdict)
        simulated, hits, checked = (
            simulated + verdict.simulated,
            hits + verdict.hits,
            checked + verdict.checked,
        )
        if verdict.found:
            bad += 1
            click.echo(f"seed {verdict.seed}: {len(verdict.found)} found, first: {verdict.found[0]}")
            if first:
                sys.exit(1)
        if not quiet and n % 25 == 0:
            click.echo(f"{n} of {len(wanted)} seeds, {bad} with findings", err=True)
    took = (kernel.now() - began) / 1e6
    click.echo(
        f"{len(wanted)} seeds of size {size}: {bad} with findings; {hits} hits, {checked} checks; "
        f"{simulated / 1e6:.0f} s simulated in {took:.1f} s ({simulated / 1e6 / took:.0f} a second)"
    )
    never = coverage.never_met()
    click.echo(
        f"{len(coverage.met)} pairs of fault and state met, {len(never)} never: "
        + ", ".join(f"{kind}/{state}" for kind, state in never[:12])
        + (" ..." if len(never) > 12 else "")
    )
    if cover:
        kernel.replace_file(cover, coverage.dump().encode(), sync=False)
    sys.exit(1 if bad else 0)


@sim.command()
@click.argument("scenario")
@SIZE
@click.option("--log", is_flag=True, help="All that the processes logged.")
def replay(scenario, size, log):
    """Plays SCENARIO (a seed, or a file) again, event for event, and says what it finds."""
    from cobaltpond.scenario.report import format_report
    from cobaltpond.sim.runner import run_text

    text = scenario_of(scenario, size)
    verdict = run_text(text, scenario, keep_lines=log)
    click.echo(text)
    begin = verdict.result.get("begin", 0)
    for at, process, level, event, fields in verdict.lines or []:
        click.echo(f"{(at - begin) / 1e6:10.6f}  {process:<18} {level:<8} {event} {fields}")
    if verdict.result:
        click.echo(format_report(verdict.result))
    for text in verdict.found:
        click.echo(f"found: {text}")
    click.echo(f"digest {verdict.digest}, {verdict.events} events, {verdict.simulated / 1e6:.1f} s simulated")
    sys.exit(1 if verdict.found else 0)


@sim.command("shrink")
@click.argument("scenario")
@SIZE
def sim_shrink(scenario, size):
    """The smallest scenario that still breaks what SCENARIO (a seed, or a file) breaks, as a ready test."""
    from cobaltpond.sim.campaign import regression_test, shrink
    from cobaltpond.sim.runner import run_text

    text = scenario_of(scenario, size)
    try:
        least = shrink(text, lambda line: click.echo(line, err=True))
    except ValueError as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    click.echo(
        regression_test(
            f"scenario_{scenario}" if scenario.isdigit() else "scenario", run_text(least).found, least
        )
    )


@sim.command("explain")
@click.argument("scenario")
@SIZE
@click.option("--hit", default="", help="The name of a hit, as findings give it.")
@click.option("--instance", default="", help="The id of an instance.")
def sim_explain(scenario, size, hit, instance):
    """The time line of one hit or one instance of SCENARIO (a seed, or a file)."""
    from cobaltpond.sim.campaign import explain
    from cobaltpond.sim.runner import run_text

    if not hit and not instance:
        raise click.UsageError("give --hit or --instance")
    verdict = run_text(scenario_of(scenario, size), scenario, keep_lines=True)
    if not verdict.result:
        click.echo(f"the day did not come to its end: {verdict.found[:1]}", err=True)
        sys.exit(1)
    for line in explain(verdict, hit, instance):
        click.echo(line)
