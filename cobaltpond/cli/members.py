"""`cobaltpond members`: asks the gateways of a sheet for their tables and lays them side by side."""

import json

from cobaltpond.loop import Deadline, DeadlineExceededError, Loop, Sleep
from cobaltpond.members.compare import compare_tables, format_comparison
from cobaltpond.rpc import CALL_ERRORS, call
from cobaltpond.wire.address import split_address

WAIT = 1_000_000  # for one gateway's answer
AT_ONCE = 16


def asked(kernel, sheet, numbers: list[int]) -> dict[int, dict | None]:
    """Their tables; None from whoever gave none within the wait."""
    loop, tables, left = Loop(kernel), {}, list(numbers)

    def one(number):
        try:
            with Deadline(loop, WAIT):
                status, body = yield from call(
                    loop, split_address(sheet.gateways[number].door), "GET", "/-/members", b"", WAIT
                )
            tables[number] = json.loads(body) if status == 200 else None
        except (*CALL_ERRORS, DeadlineExceededError, ValueError):
            tables[number] = None

    def worker():
        while left:
            yield from one(left.pop(0))

    def everybody():
        for task in [loop.spawn(worker(), "ask") for _ in range(min(AT_ONCE, len(left)))]:
            yield from task.join()

    loop.run(loop.spawn(everybody(), "all"))
    return tables


def show(kernel, sheet, at: int | None, watch: bool, as_json: bool, say) -> int:
    """Exit code: 0 where all that were asked answered and agree, else 1."""
    numbers, last = [at] if at is not None else list(range(len(sheet.gateways))), None
    while True:
        told = compare_tables(asked(kernel, sheet, numbers))
        text = json.dumps(told) if as_json else "\n".join(format_comparison(told))
        marks = (
            [(row["number"], row["state"], sorted(row["otherwise"])) for row in told["members"]],
            told["silent"],
        )
        if marks != last:  # with --watch: once at each change, not at each look
            last = marks
            say(text)
        if not watch:
            differ = told["silent"] or told["apart"] or any(row["otherwise"] for row in told["members"])
            return 1 if differ else 0
        loop = Loop(kernel)

        def pause():
            yield Sleep(WAIT // 2)

        loop.run(loop.spawn(pause(), "pause"))
