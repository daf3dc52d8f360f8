"""Commands of `cobaltpond release`, which call the release desk of a settings file."""

import json
import sys

import click

from cobaltpond.cli.settings_file import load_settings
from cobaltpond.loop import Deadline, DeadlineExceededError, EpollKernel, Loop, Sleep
from cobaltpond.loop.clock import format_utc
from cobaltpond.rpc import CALL_ERRORS, call
from cobaltpond.settings.sections import split_address

DESK_TIMEOUT_US, DESK_DIAL_TIME_US = 3_000_000, 1_000_000
STATUS_INTERVAL_US = 300_000


def call_desk(file, method, target, body=None, raw=b""):
    """Sends one HTTP call to the desk of a settings file and returns the decoded JSON response.

    `body` is sent as JSON, `raw` unchanged where there is no `body`. The time limit is DESK_TIMEOUT_US.
    Prints the error and exits with code 1 where the desk does not answer or refuses the call.
    """
    settings, loop = load_settings(file), Loop(EpollKernel())

    def request():
        with Deadline(loop, DESK_TIMEOUT_US):
            return (
                yield from call(
                    loop,
                    split_address(settings.desk.address),
                    method,
                    target,
                    json.dumps(body).encode() if body else raw,
                    DESK_DIAL_TIME_US,
                )
            )

    try:
        status, text = loop.run(loop.spawn(request(), "ask"))
    except (*CALL_ERRORS, DeadlineExceededError) as error:
        click.echo(f"no answer from the desk at {settings.desk.address}: {error}", err=True)
        sys.exit(1)
    answer = json.loads(text)
    if status >= 300:
        click.echo(f"the desk refused the call: {answer.get('error', status)}", err=True)
        sys.exit(1)
    return answer


@click.group()
def release():
    """Sends commands to the release desk."""


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.argument("build", type=int)
def offer(file, build):
    """Offers a build to the desk, which releases it in stages."""
    click.echo(json.dumps(call_desk(file, "POST", "/v1/builds", {"build": build})["news"]))


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def status(file):
    """Prints the state of the newest build as JSON."""
    click.echo(json.dumps(call_desk(file, "GET", "/v1/status"), indent=2))


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.argument("build", type=int)
@click.option("--why", default="", help="Reason that the history keeps.")
def back(file, build, why):
    """Rolls a build back, on trial or released, to the one before it."""
    click.echo(json.dumps(call_desk(file, "POST", "/v1/back", {"build": build, "why": why})["news"]))


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.argument("ring", type=click.File("rb"))
def keys(file, ring):
    """Uploads a signed key ring to the desk, which stores it and distributes it to every host."""
    click.echo(json.dumps(call_desk(file, "POST", "/v1/keys", raw=ring.read())))


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--as-json", is_flag=True)
def history(file, as_json):
    """Lists the phase changes of the last builds with their reasons."""
    rows = call_desk(file, "GET", "/v1/history")["history"]
    for row in rows:
        click.echo(
            json.dumps(row)
            if as_json
            else f"{format_utc(row['at'])}  build {row['build']} stage {row['stage']}: "
            f"{row['phase']} ({row['why']})"
        )


@release.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--as-json", is_flag=True, help="Prints one JSON object at each change.")
@click.option("--seconds", type=int, default=600, help="Stops watching after this many seconds.")
def watch(file, as_json, seconds):
    """Watches the newest build until it is released or withdrawn. Exit code 0 only if it was released."""
    loop, previous, news = Loop(EpollKernel()), None, {}
    deadline = loop.kernel.now() + seconds * 1_000_000
    while loop.kernel.now() < deadline:
        state = call_desk(file, "GET", "/v1/status")
        news, summary = state["news"], summarize(state)
        if summary != previous:
            previous = summary
            click.echo(json.dumps(summary) if as_json else format_summary(summary, news["cap"]))
        if news["phase"] in ("released", "withdrawn") and not state["offered"]:
            break
        loop.run(loop.spawn(pause(), "pause"))
    sys.exit(0 if news.get("phase") == "released" else 1)


def pause():
    """Waits until the desk is asked again."""
    yield Sleep(STATUS_INTERVAL_US)


def summarize(state: dict) -> dict:
    """Returns what `watch` shows of the desk's status."""
    news = state["news"]
    return {
        "build": news["build"],
        "stage": news["stage"],
        "phase": news["phase"],
        "cap": round(news["cap"], 3),
        "up": sum(m["build"] == news["build"] and m["state"] == "up" for m in state["machines"]),
        "places": len({m["place"] for m in state["machines"]}),
        "votes": state["votes"],
        "missing": state["missing"],
    }


def format_summary(summary: dict, cap: float) -> str:
    """Returns the summary as text: a line for the build, and one for each place where it is missing."""
    bar = "#" * summary["up"] + "." * (summary["places"] - summary["up"])
    lines = [
        f"build {summary['build']} stage {summary['stage']} {summary['phase']:<11} [{bar}] "
        f"cap {cap:.2f}  votes {summary['votes']}"
    ]
    lines += [f"    {place}: build {build}: {why}" for place, build, why in summary["missing"]]
    return "\n".join(lines)
