"""Implements `cobaltpond members`: fetches the membership tables of the gateways and compares them."""

import json

from cobaltpond.loop import Deadline, DeadlineExceededError, Loop, Sleep
from cobaltpond.members.compare import compare_tables, format_comparison
from cobaltpond.rpc import CALL_ERRORS, call
from cobaltpond.wire.address import split_address

GATEWAY_TIMEOUT_US = 1_000_000
MAX_CONCURRENT_CALLS = 16


def fetch_tables(kernel, settings, numbers: list[int]) -> dict[int, dict | None]:
    """Returns gateway number -> its decoded `/-/members` page.

    None stands for a gateway that gave no valid answer within GATEWAY_TIMEOUT_US.
    """
    loop, tables, pending = Loop(kernel), {}, list(numbers)

    def fetch_table(number):
        try:
            with Deadline(loop, GATEWAY_TIMEOUT_US):
                status, body = yield from call(
                    loop,
                    split_address(settings.gateways[number].door),
                    "GET",
                    "/-/members",
                    b"",
                    GATEWAY_TIMEOUT_US,
                )
            tables[number] = json.loads(body) if status == 200 else None
        except (*CALL_ERRORS, DeadlineExceededError, ValueError):
            tables[number] = None

    def worker():
        while pending:
            yield from fetch_table(pending.pop(0))

    def run_workers():
        for task in [loop.spawn(worker(), "ask") for _ in range(min(MAX_CONCURRENT_CALLS, len(pending)))]:
            yield from task.join()

    loop.run(loop.spawn(run_workers(), "all"))
    return tables


def show(kernel, settings, at: int | None, watch: bool, as_json: bool, write) -> int:
    """Prints the comparison of the tables and returns the exit code.

    `at` is the only gateway to call; None calls all. `write` receives each text to print. With `watch` the
    function polls twice a GATEWAY_TIMEOUT_US and never returns. The exit code is 0 where all gateways that
    were called answered and agree, else 1.
    """
    numbers, previous = [at] if at is not None else list(range(len(settings.gateways))), None
    while True:
        comparison = compare_tables(fetch_tables(kernel, settings, numbers))
        text = json.dumps(comparison) if as_json else "\n".join(format_comparison(comparison))
        state = (
            [(row["number"], row["state"], sorted(row["otherwise"])) for row in comparison["members"]],
            comparison["silent"],
        )
        if state != previous:  # with --watch each change is printed once, not every poll
            previous = state
            write(text)
        if not watch:
            disagree = (
                comparison["silent"]
                or comparison["apart"]
                or any(row["otherwise"] for row in comparison["members"])
            )
            return 1 if disagree else 0
        loop = Loop(kernel)

        def pause():
            yield Sleep(GATEWAY_TIMEOUT_US // 2)

        loop.run(loop.spawn(pause(), "pause"))
