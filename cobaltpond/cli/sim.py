"""Command group `cobaltpond sim`: runs, replays, shrinks and explains simulated scenarios."""

import sys

import click

from cobaltpond.loop import EpollKernel


@click.group()
def sim():
    """Runs whole scenarios on a virtual clock with faults drawn from a seed, and checks the rules in each."""


def parse_seeds(text: str) -> range:
    """Parses `A..B`, both included, or one number. Raises click.BadParameter."""
    first, _, last = text.partition("..")
    if not first.isdigit() or last and not last.isdigit():
        raise click.BadParameter("A..B or one number", param_hint="--seeds")
    return range(int(first), int(last or first) + 1)


def load_scenario(scenario: str, size: str) -> str:
    """Returns the scenario text: drawn at `size` where `scenario` is a seed, else read from that file."""
    from cobaltpond.sim.scenarios import draw_scenario

    if scenario.isdigit():
        return draw_scenario(int(scenario), size)
    with open(scenario, encoding="utf-8") as file:
        return file.read()


SIZE = click.option("--size", type=click.Choice(["small", "known", "lost", "day", "large"]), default="small")


@sim.command("run")
@click.option("--seeds", default="0..99", help="A..B, both included.")
@click.option("--jobs", type=int, default=0, help="Number of worker processes; 0 uses one per core.")
@SIZE
@click.option(
    "--cover",
    type=click.Path(dir_okay=False),
    help="Writes the pairs of fault and state that were covered to this file.",
)
@click.option(
    "--lean", type=click.File(), help="Cover file; the drawing prefers pairs that it does not cover."
)
@click.option("--quiet", is_flag=True, help="Prints no progress, only findings and the summary.")
@click.option("--first", is_flag=True, help="Stops at the first seed with a finding.")
def sim_run(seeds, jobs, size, cover, lean, quiet, first):
    """Draws, runs and checks a scenario for each seed. Exit code 0 only if there are no findings."""
    from cobaltpond.sim.campaign import Coverage, run_seeds

    kernel, coverage, failed, simulated, hits, checked = EpollKernel(), Coverage(), 0, 0, 0, 0
    weights = Coverage.load(lean.read()).fault_weights() if lean else None
    seed_range = parse_seeds(seeds)
    started_at = kernel.now()
    for done, verdict in enumerate(run_seeds(seed_range, size, jobs, weights), 1):
        coverage.add(verdict)
        simulated += verdict.simulated
        hits += verdict.hits
        checked += verdict.checked
        if verdict.found:
            failed += 1
            click.echo(f"seed {verdict.seed}: {len(verdict.found)} found, first: {verdict.found[0]}")
            if first:
                sys.exit(1)
        if not quiet and done % 25 == 0:
            click.echo(f"{done} of {len(seed_range)} seeds, {failed} with findings", err=True)
    elapsed = (kernel.now() - started_at) / 1e6
    click.echo(
        f"{len(seed_range)} seeds of size {size}: {failed} with findings; {hits} hits, {checked} checks; "
        f"{simulated / 1e6:.0f} s simulated in {elapsed:.1f} s ({simulated / 1e6 / elapsed:.0f} a second)"
    )
    never_met = coverage.never_met()
    click.echo(
        f"{len(coverage.met)} pairs of fault and state met, {len(never_met)} never: "
        + ", ".join(f"{kind}/{state}" for kind, state in never_met[:12])
        + (" ..." if len(never_met) > 12 else "")
    )
    if cover:
        kernel.replace_file(cover, coverage.dump().encode(), sync=False)
    sys.exit(1 if failed else 0)


@sim.command()
@click.argument("scenario")
@SIZE
@click.option("--log", is_flag=True, help="Prints every log line of the processes.")
def replay(scenario, size, log):
    """Replays SCENARIO (a seed or a file) event by event and prints its findings."""
    from cobaltpond.scenario.report import format_report
    from cobaltpond.sim.runner import run_text

    text = load_scenario(scenario, size)
    verdict = run_text(text, scenario, keep_lines=log)
    click.echo(text)
    started_at = verdict.result.get("begin", 0)
    for at, process, level, event, fields in verdict.lines or []:
        click.echo(f"{(at - started_at) / 1e6:10.6f}  {process:<18} {level:<8} {event} {fields}")
    if verdict.result:
        click.echo(format_report(verdict.result))
    for finding in verdict.found:
        click.echo(f"found: {finding}")
    click.echo(f"digest {verdict.digest}, {verdict.events} events, {verdict.simulated / 1e6:.1f} s simulated")
    sys.exit(1 if verdict.found else 0)


@sim.command("shrink")
@click.argument("scenario")
@SIZE
def sim_shrink(scenario, size):
    """Prints the smallest scenario that breaks the same rules as SCENARIO (a seed or a file), as a test."""
    from cobaltpond.sim.campaign import regression_test, shrink
    from cobaltpond.sim.runner import run_text

    text = load_scenario(scenario, size)
    try:
        smallest = shrink(text, lambda line: click.echo(line, err=True))
    except ValueError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    click.echo(
        regression_test(
            f"scenario_{scenario}" if scenario.isdigit() else "scenario", run_text(smallest).found, smallest
        )
    )


@sim.command("explain")
@click.argument("scenario")
@SIZE
@click.option("--hit", default="", help="Name of a hit, as findings give it.")
@click.option("--instance", default="", help="Id of an instance.")
def sim_explain(scenario, size, hit, instance):
    """Prints the time line of one hit or one instance of SCENARIO (a seed or a file)."""
    from cobaltpond.sim.campaign import explain
    from cobaltpond.sim.runner import run_text

    if not hit and not instance:
        raise click.UsageError("give --hit or --instance")
    verdict = run_text(load_scenario(scenario, size), scenario, keep_lines=True)
    if not verdict.result:
        click.echo(f"the scenario did not run to its end: {verdict.found[:1]}", err=True)
        sys.exit(1)
    for line in explain(verdict, hit, instance):
        click.echo(line)
