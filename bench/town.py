"""Measures agents and desk as processes: the effect of kills, and how fast a build is rolled back.

    .venv/bin/python bench/town.py kills [--kills 300] [--hosts 6]
    .venv/bin/python bench/town.py back [--hosts 6 40]

kills: builds are released and rolled back while the desk or an agent, drawn by a seed, is killed repeatedly;
after each release exactly one build must run and be listed in every place. back: hits pass through two
gateways; measures the time from the vote "back" to the last answer of the bad build, to the end of its last
process, and to the earlier build being up in every place.
"""

import argparse
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from cobaltpond.loop import (  # noqa: E402
    ConnectionLostError,
    Deadline,
    DeadlineExceededError,
    EpollKernel,
    Loop,
    Sleep,
    dial,
)
from cobaltpond.loop.random_source import seeded_random  # noqa: E402
from cobaltpond.standins.host_cluster import SECOND, HostCluster  # noqa: E402
from cobaltpond.wire import http1  # noqa: E402

ACCEPTED = lambda status, answer: status in (202, 409)  # noqa: E731


def kills(loop, arguments):
    random_source = seeded_random(arguments.seed)
    totals = {"kills": 0, "releases": 0, "back": 0, "repeats": 0, "orphans": 0}
    cluster = HostCluster(
        loop, tempfile.mkdtemp(prefix="cobaltpond-town-"), arguments.hosts, arguments.layout
    )
    is_running = [True]

    def killer():
        while is_running[0]:
            yield Sleep(random_source.randrange(20_000, 500_000))
            name = "desk" if random_source.random() < 0.35 else random_source.choice(cluster.places)
            cluster.kill_process(name)
            totals["kills"] += 1
            yield Sleep(random_source.randrange(0, 150_000))
            cluster.start(name)

    def watch():
        """Counts builds that run twice in one place, which must never happen."""
        while True:
            running = cluster.running_builds()
            totals["repeats"] += len(running) - len(set(running))
            yield Sleep(100_000)

    try:
        cluster.publish_build(1)
        cluster.start_all()
        yield from cluster.call_until_answered("POST", "/v1/builds", {"build": 1}, good=ACCEPTED)
        yield from cluster.wait_until(lambda: cluster.runs_only(1))
        loop.spawn(watch(), "watch")
        earlier, build = 1, 1
        while totals["kills"] < arguments.kills:
            build += 1
            flaw = random_source.choice(["good", "good", "crash", "stubborn", "exit"])
            cluster.publish_build(build, flaw, size=100_000)
            is_running[0] = True
            loop.spawn(killer(), "killer")
            yield from cluster.call_until_answered("POST", "/v1/builds", {"build": build}, good=ACCEPTED)
            yield Sleep(random_source.randrange(0, 2_500_000))
            back = flaw in ("crash", "exit") or random_source.random() < 0.4
            if not back:
                try:
                    yield from cluster.promote(build, 12 * SECOND)
                except TimeoutError:
                    back = True
            if back:
                yield from cluster.cast_vote(build, 0, "back")
            is_running[0] = False
            yield Sleep(900_000)  # the last killed process is up again
            status = yield from cluster.call_until_answered("GET", "/v1/status")
            news = status["news"]
            if news["phase"] == "trial" or back and news["phase"] == "released":
                yield from cluster.cast_vote(build, news["stage"], "back")
                status = yield from cluster.call_until_answered("GET", "/v1/status")
                news = status["news"]
            expected_build = earlier if news["phase"] in ("going back", "withdrawn") else build
            yield from cluster.wait_until(
                lambda expected_build=expected_build: cluster.runs_only(expected_build), 40 * SECOND
            )
            totals["releases" if expected_build == build else "back"] += 1
            earlier = expected_build
        totals["orphans"] = len(cluster.running_builds()) - len(cluster.places)
        print(f"{arguments.hosts} hosts, {arguments.layout}: {totals}", flush=True)
    finally:
        cluster.close()


def client(loop, door, answers, is_running):
    """Sends one hit after the other; appends (time, status, id of the answering instance) to `answers`."""
    connection, parser = None, None
    while is_running[0]:
        try:
            with Deadline(loop, 3 * SECOND):
                if connection is None:
                    connection = yield from dial(loop, door, SECOND)
                yield from connection.write(b"GET /x HTTP/1.1\r\nhost: t\r\n\r\n")
                parser, head = http1.ResponseParser(http1.MessageLimits()), None
                while head is None:
                    data = yield from connection.read()
                    for kind, value in parser.feed(data) if data else parser.closed():
                        head = value if kind == "head" else head
                answers.append(
                    (loop.kernel.now(), head.status, (head.get(b"cobaltpond-via") or b"").decode())
                )
                if not head.keep_alive:
                    connection.close()
                    connection = None
        except (ConnectionLostError, DeadlineExceededError, http1.HttpMessageError, Exception):
            if connection is not None:
                connection.close()
            connection = None
        yield Sleep(20_000)


def back(loop, hosts, layout):
    cluster = HostCluster(loop, tempfile.mkdtemp(prefix="cobaltpond-town-"), hosts, layout, gateways=2)
    answers, is_running = [], [True]
    try:
        cluster.publish_build(1)
        cluster.start_all()
        yield from cluster.call_until_answered("POST", "/v1/builds", {"build": 1}, good=ACCEPTED)
        started_at = loop.now()
        all_up_at = yield from cluster.wait_until(lambda: cluster.runs_only(1), 90 * SECOND)
        startup_time = all_up_at - started_at
        for n in range(2):
            cluster.start(f"gateway-{n}")
        yield Sleep(2 * SECOND)
        for n in range(12):
            loop.spawn(client(loop, cluster.doors[n % 2], answers, is_running), "client")
        cluster.publish_build(2)
        yield from cluster.call_until_answered("POST", "/v1/builds", {"build": 2}, good=ACCEPTED)
        offered = loop.now()
        while True:
            status = yield from cluster.call_until_answered("GET", "/v1/status")
            if (status["news"]["stage"], status["news"]["phase"]) == (1, "trial"):
                break
            yield from cluster.cast_vote(2, status["news"]["stage"], "on")
            yield Sleep(30_000)
        yield from cluster.wait_until(
            lambda: len([b for _, b in cluster.listed_up() if b == 2]) == hosts, 60 * SECOND
        )
        rollout_time = loop.now() - offered
        yield Sleep(SECOND)
        bad_instances = {row["id"] for row in cluster.listed.values() if row["build"] == 2}
        yield from cluster.cast_vote(2, 1, "back")
        voted = loop.now()
        processes_ended_at = yield from cluster.wait_until(
            lambda: not any(b == 2 for _, b in cluster.running_builds()), 60 * SECOND
        )
        earlier_build_up_at = yield from cluster.wait_until(lambda: cluster.runs_only(1), 60 * SECOND)
        yield Sleep(SECOND)
        is_running[0] = False
        last_bad_answer_at = max(
            [at for at, _, via in answers if via in bad_instances and at >= voted], default=voted
        )
        refused = sum(status != 200 for _, status, _ in answers)
        print(
            f"| {hosts} | {layout} | {startup_time / 1e6:.2f} | {rollout_time / 1e6:.2f} | "
            f"{(last_bad_answer_at - voted) / 1e6:.2f} | "
            f"{(processes_ended_at - voted) / 1e6:.2f} | {(earlier_build_up_at - voted) / 1e6:.2f} | "
            f"{len(answers)} | {refused} |",
            flush=True,
        )
    finally:
        cluster.close()


def main():
    arguments = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    arguments.add_argument("what", choices=["kills", "back"])
    arguments.add_argument("--kills", type=int, default=300)
    arguments.add_argument("--hosts", type=int, nargs="+", default=[6])
    arguments.add_argument("--layout", default="beside")
    arguments.add_argument("--seed", type=int, default=1)
    arguments = arguments.parse_args()

    def run_task(generator, loop):
        try:
            loop.run(loop.spawn(generator, "main"))
        finally:
            loop.close()

    def report_failure(task, error):
        print(f"{task.name}: {error!r}", file=sys.stderr)

    if arguments.what == "kills":
        arguments.hosts = arguments.hosts[0]
        loop = Loop(EpollKernel(), report_failure)
        run_task(kills(loop, arguments), loop)
    else:
        print(
            "| hosts | layout | first start of all s | out to the last stage s | "
            "last answer of the bad build s "
            "| its last process s | earlier build whole s | answers | not 200 |"
        )
        for hosts in arguments.hosts:
            for layout in ("beside", "in place"):
                loop = Loop(EpollKernel(), report_failure)
                run_task(back(loop, hosts, layout), loop)


if __name__ == "__main__":
    main()
