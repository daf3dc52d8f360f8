"""Agents and desk as processes: what kills do, and how fast a build is taken back.

    .venv/bin/python bench/town.py kills [--kills 300] [--hosts 6]
    .venv/bin/python bench/town.py back [--hosts 6 40]

kills: releases go out and back while the desk or an agent, drawn by a seed, is killed again and again; after
each release exactly one build must run and be listed in every place. back: hits flow through two gateways;
from the vote "back" to the last answer of the bad build, to its last process, and to the earlier build up in
every place.
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

FINE = lambda status, answer: status in (202, 409)  # noqa: E731


def kills(loop, words):
    chance = seeded_random(words.seed)
    done = {"kills": 0, "releases": 0, "back": 0, "repeats": 0, "orphans": 0}
    town = HostCluster(loop, tempfile.mkdtemp(prefix="cobaltpond-town-"), words.hosts, words.layout)
    going = [True]

    def killer():
        while going[0]:
            yield Sleep(chance.randrange(20_000, 500_000))
            name = "desk" if chance.random() < 0.35 else chance.choice(town.places)
            town.kill_process(name)
            done["kills"] += 1
            yield Sleep(chance.randrange(0, 150_000))
            town.start(name)

    def watch():
        """No build twice in one place, whatever happens."""
        while True:
            running = town.running_builds()
            done["repeats"] += len(running) - len(set(running))
            yield Sleep(100_000)

    try:
        town.publish_build(1)
        town.start_all()
        yield from town.call_until_answered("POST", "/v1/builds", {"build": 1}, good=FINE)
        yield from town.wait_until(lambda: town.runs_only(1))
        loop.spawn(watch(), "watch")
        earlier, build = 1, 1
        while done["kills"] < words.kills:
            build += 1
            flaw = chance.choice(["good", "good", "crash", "stubborn", "exit"])
            town.publish_build(build, flaw, size=100_000)
            going[0] = True
            loop.spawn(killer(), "killer")
            yield from town.call_until_answered("POST", "/v1/builds", {"build": build}, good=FINE)
            yield Sleep(chance.randrange(0, 2_500_000))
            back = flaw in ("crash", "exit") or chance.random() < 0.4
            if not back:
                try:
                    yield from town.promote(build, 12 * SECOND)
                except TimeoutError:
                    back = True
            if back:
                yield from town.cast_vote(build, 0, "back")
            going[0] = False
            yield Sleep(900_000)  # the last one killed is up again
            status = yield from town.call_until_answered("GET", "/v1/status")
            news = status["news"]
            if news["phase"] == "trial" or back and news["phase"] == "released":
                yield from town.cast_vote(build, news["stage"], "back")
                status = yield from town.call_until_answered("GET", "/v1/status")
                news = status["news"]
            end = earlier if news["phase"] in ("going back", "withdrawn") else build
            yield from town.wait_until(lambda end=end: town.runs_only(end), 40 * SECOND)
            done["releases" if end == build else "back"] += 1
            earlier = end
        done["orphans"] = len(town.running_builds()) - len(town.places)
        print(f"{words.hosts} hosts, {words.layout}: {done}", flush=True)
    finally:
        town.close()


def client(loop, door, answers, going):
    """One hit after the other; (when, build) of each answer by the instance's own word."""
    connection, parser = None, None
    while going[0]:
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
    town = HostCluster(loop, tempfile.mkdtemp(prefix="cobaltpond-town-"), hosts, layout, gateways=2)
    answers, going = [], [True]
    try:
        town.publish_build(1)
        town.start_all()
        yield from town.call_until_answered("POST", "/v1/builds", {"build": 1}, good=FINE)
        first = loop.now()
        whole = yield from town.wait_until(lambda: town.runs_only(1), 90 * SECOND)
        start = whole - first
        for n in range(2):
            town.start(f"gateway-{n}")
        yield Sleep(2 * SECOND)
        for n in range(12):
            loop.spawn(client(loop, town.doors[n % 2], answers, going), "client")
        town.publish_build(2)
        yield from town.call_until_answered("POST", "/v1/builds", {"build": 2}, good=FINE)
        offered = loop.now()
        while True:
            status = yield from town.call_until_answered("GET", "/v1/status")
            if (status["news"]["stage"], status["news"]["phase"]) == (1, "trial"):
                break
            yield from town.cast_vote(2, status["news"]["stage"], "on")
            yield Sleep(30_000)
        yield from town.wait_until(
            lambda: len([b for _, b in town.listed_up() if b == 2]) == hosts, 60 * SECOND
        )
        out = loop.now() - offered
        yield Sleep(SECOND)
        bad = {row["id"] for row in town.listed.values() if row["build"] == 2}
        yield from town.cast_vote(2, 1, "back")
        voted = loop.now()
        gone = yield from town.wait_until(
            lambda: not any(b == 2 for _, b in town.running_builds()), 60 * SECOND
        )
        full = yield from town.wait_until(lambda: town.runs_only(1), 60 * SECOND)
        yield Sleep(SECOND)
        going[0] = False
        last = max([at for at, _, via in answers if via in bad and at >= voted], default=voted)
        refused = sum(status != 200 for _, status, _ in answers)
        print(
            f"| {hosts} | {layout} | {start / 1e6:.2f} | {out / 1e6:.2f} | {(last - voted) / 1e6:.2f} | "
            f"{(gone - voted) / 1e6:.2f} | {(full - voted) / 1e6:.2f} | {len(answers)} | {refused} |",
            flush=True,
        )
    finally:
        town.close()


def main():
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("what", choices=["kills", "back"])
    words.add_argument("--kills", type=int, default=300)
    words.add_argument("--hosts", type=int, nargs="+", default=[6])
    words.add_argument("--layout", default="beside")
    words.add_argument("--seed", type=int, default=1)
    words = words.parse_args()

    def play(generator, loop):
        try:
            loop.run(loop.spawn(generator, "main"))
        finally:
            loop.close()

    def died(task, trouble):
        print(f"{task.name}: {trouble!r}", file=sys.stderr)

    if words.what == "kills":
        words.hosts = words.hosts[0]
        loop = Loop(EpollKernel(), died)
        play(kills(loop, words), loop)
    else:
        print(
            "| hosts | layout | first start of all s | out to the last stage s | "
            "last answer of the bad build s "
            "| its last process s | earlier build whole s | answers | not 200 |"
        )
        for hosts in words.hosts:
            for layout in ("beside", "in place"):
                loop = Loop(EpollKernel(), died)
                play(back(loop, hosts, layout), loop)


if __name__ == "__main__":
    main()
