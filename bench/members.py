"""Benchmarks of membership on the simulated kernel: this program, plain SWIM, all-to-all heartbeats.

    python bench/members.py detect            time until the first and the last member report a killed one
    python bench/members.py false             false failures a member-hour under loss and with slow members
    python bench/members.py traffic           datagrams, bytes and CPU time by cluster size
    python bench/members.py heal              time until all agree after a network partition ends
    python bench/members.py many              time until 21 of 30 members, killed at once, are reported
                                              (protocol period 0.2 s)
    python bench/members.py fuzz --seeds N    the datagram decoder on a million inputs for each of N seeds

The members run the program's own service on a simulated network. Seeds are printed.
"""

import argparse
import sys
import time
from multiprocessing import get_context
from pathlib import Path
from statistics import fmean, quantiles

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cobaltpond.decisions.records import RandomSource  # noqa: E402
from cobaltpond.loop.random_source import seeded_random  # noqa: E402
from cobaltpond.members import wire  # noqa: E402
from cobaltpond.members.reachability import Reachability  # noqa: E402
from cobaltpond.members.states import (  # noqa: E402
    ALIVE,
    FAILED,
    HEARD,
    LEFT,
    STATE_CODES,
    SUSPECTED,
    SUSPICION_EXPIRED,
    Member,
    change_state,
)
from cobaltpond.members.view import ProbeSettings, View  # noqa: E402
from cobaltpond.sim.member_cluster import SECOND, MemberCluster  # noqa: E402

MISSED_HEARTBEATS = 5  # a member fails after so many heartbeat periods of silence


class Heartbeats:
    """Baseline: each member sends a heartbeat to each other one every period; nothing is disseminated."""

    def __init__(self, number, zones, settings, chance, start, now):
        self.number, self.zones, self.probe_settings = number, zones, settings
        self.members = {n: Member(n, zone, now) for n, zone in zones.items() if n != number}
        self.start, self.incarnation, self.state, self.began, self.health = start, 0, ALIVE, now, 0
        self.self_description = {
            "zone": 0,
            "version": 0,
            "settings": 0,
            "revision": 0,
            "build": 0,
            "stage": 0,
            "phase": 0,
            "out": 0,
            "admitted": 255,
            "flags": 0,
        }
        self.news, self.drains, self.on_gossip, self.stamp = None, (), None, 0
        self.outbox, self.changes, self.replaced, self.counts = [], [], False, {}
        self.next_heartbeat = now + chance.randbelow(settings.period) + 1
        self.reachability = Reachability(self)

    def living(self):
        return {n: m.start for n, m in self.members.items() if m.is_present} | {self.number: self.start}

    def alter(self, member, cause, now, start):
        before = change_state(member, cause, now, self.number, start, 0)
        if member.state != before:
            self.changes.append((member, before))

    def receive_datagram(self, now, sender, data):
        _, _, stamp, fields = wire.decode_datagram(sender, self.number, data)
        facts, member = wire.decode_facts(fields), self.members[sender]
        if facts["start"] >= member.start:
            if member.state != ALIVE or facts["start"] != member.start:
                self.alter(member, HEARD, now, facts["start"])
            member.facts, member.stamp, member.heard_at = facts, stamp, now

    def next_at(self):
        return self.next_heartbeat

    def tick(self, now):
        if now < self.next_heartbeat or self.state == LEFT:
            return
        self.next_heartbeat = now + self.probe_settings.period
        self.stamp += 1
        facts = {**self.self_description, "start": self.start, "incarnation": 0, "state": STATE_CODES[ALIVE]}
        for number, member in self.members.items():
            self.outbox.append(
                (
                    number,
                    wire.encode_datagram(
                        wire.PING, self.number, number, 0, self.stamp, wire.encode_facts(facts)
                    ),
                )
            )
            if (
                member.state == ALIVE
                and now - member.heard_at > MISSED_HEARTBEATS * self.probe_settings.period
            ):
                self.alter(member, SUSPECTED, now, member.start)
                self.alter(member, SUSPICION_EXPIRED, now, member.start)

    def leave(self):
        self.state = LEFT


KINDS = {
    "ours": (View, ProbeSettings()),
    "plain SWIM": (View, ProbeSettings(plain_swim=True)),
    "all to all": (Heartbeats, ProbeSettings()),
}


def start_cluster(kind, count, seed, zones=3):
    """A cluster in which all members have seen each other, two seconds later."""
    view, settings = KINDS[kind]
    cluster = MemberCluster(count, seed, zones, settings, view)
    cluster.start_all()
    cluster.run(1_100_000)
    cluster.run_until(cluster.all_agree, 120 * SECOND)
    cluster.run(2 * SECOND)
    return cluster


def detect(job):
    """(microseconds until the first and until all members reported the failure, false failures meanwhile)"""
    kind, count, seed = job
    cluster = start_cluster(kind, count, seed)
    victim = cluster.world.chance("victim").randrange(count)
    cluster.run(cluster.world.chance("moment").randrange(SECOND))
    cluster.signal("KILL", victim)
    killed_at = cluster.world.time
    until_all = cluster.run_until(lambda: cluster.all_agree(FAILED, [victim]), 300 * SECOND)
    until_first = (
        min(t for t, _, number in cluster.failure_reports(killed_at) if number == victim) - killed_at
    )
    return (
        until_first,
        until_all,
        sum(number != victim for _, _, number in cluster.failure_reports(killed_at)),
    )


def false_failures(job):
    """(false failures, counted once for each member and 10 s; false failure reports; reports on slow members;
    reports of slow members on others; member-seconds of the run). The first two leave slow members out."""
    kind, count, seed, lose, slow, length = job
    cluster = start_cluster(kind, count, seed)
    began = cluster.world.time
    cluster.set_loss(lose)
    slow_members = cluster.world.chance("slow ones").sample(range(count), round(slow * count))
    cluster.slow_down(slow_members, began + length * SECOND)
    cluster.run(length * SECOND)
    # A slow member may rightly seem failed, so reports on and by slow members are counted apart.
    unfounded = [
        d for d in cluster.failure_reports(began) if d[2] not in slow_members and d[1] not in slow_members
    ]
    on_slow = [d for d in cluster.failure_reports(began) if d[2] in slow_members]
    by_slow = [d for d in cluster.failure_reports(began) if d[1] in slow_members and d[2] not in slow_members]
    return (
        len({(n, t // (10 * SECOND)) for t, _, n in unfounded}),
        len(unfounded),
        len(on_slow),
        len(by_slow),
        count * length,
    )


def traffic(job):
    """(datagrams, bytes, seconds of CPU time) per member and second."""
    kind, count, seed = job
    cluster = start_cluster(kind, count, seed)
    if kind != "all to all":  # Wait until the updates of the start are disseminated.
        cluster.run_until(
            lambda: not any(part.members.view.pending_updates for part in cluster.parts.values()),
            900 * SECOND,
        )
    cluster.sent = cluster.bytes = 0
    began, length = time.process_time(), 20
    cluster.run(length * SECOND)
    return (
        cluster.sent / count / length,
        cluster.bytes / count / length,
        (time.process_time() - began) / count / length,
    )


def heal(job):
    """Microseconds from the end of a partition into two halves until all members agree."""
    kind, count, seed = job
    cluster = start_cluster(kind, count, seed, zones=2)
    sides = [[n for n in range(count) if n % 2 == side] for side in range(2)]
    cluster.cut(*sides, True)
    cluster.run_until(
        lambda: cluster.all_agree(FAILED, sides[0], sides[1])
        and cluster.all_agree(FAILED, sides[1], sides[0]),
        600 * SECOND,
    )
    cluster.cut(*sides, False)
    return cluster.run_until(cluster.all_agree, 600 * SECOND)


def many(job):
    """Microseconds until all survivors report 21 of 30 members that were killed at once."""
    plain_swim, seed = job
    cluster = MemberCluster(30, seed, 3, ProbeSettings(200_000, 60_000, plain_swim))
    cluster.start_all()
    cluster.run(1_100_000)
    cluster.run_until(cluster.all_agree, 20 * SECOND)
    cluster.signal("KILL", *range(21))
    return cluster.run_until(lambda: cluster.all_agree(FAILED, range(21)), 200 * SECOND)


def fuzz(seed):
    """(datagrams decoded, datagrams rejected) of a million damaged ones. Any other exception ends the run."""
    random_source, zones = seeded_random(seed), {n: "ab"[n % 2] for n in range(9)}
    sender, receiver = (View(n, zones, ProbeSettings(), RandomSource(n + 1), 1000 + n, 0) for n in range(2))
    read = rejected = 0
    for n in range(1_000_000):
        if n % 50 == 0:
            sender.send(
                random_source.choice((wire.PING, wire.INDIRECT_PING, wire.TRIAL_REPLY)),
                1,
                n,
                subject=3,
                extra_fields=wire.encode_trial([(1, 0, 5, 1, 0)] * random_source.randrange(4)),
            )
            valid = sender.outbox.pop()[1]
        data = bytearray(valid)
        for _ in range(random_source.randrange(1, 6)):
            data[random_source.randrange(len(data))] = random_source.randrange(256)
        data = (
            bytes(data[: random_source.randrange(len(data) + 1)])
            if random_source.random() < 0.3
            else bytes(data)
        )
        # Half of them get a valid checksum, so that the decoder reaches the fields.
        if random_source.random() < 0.5 and len(data) > 6:
            data = (
                data[:2]
                + wire.pack(">I", wire.crc32(wire.pack(">HBB", 0, data[0], data[1]) + data[6:]))
                + data[6:]
            )
        try:
            receiver.receive_datagram(n * 100_000, 0, data)
            read += 1
        except wire.DatagramError:
            rejected += 1
        receiver.outbox.clear()
        receiver.changes.clear()
    return read, rejected


def print_row(*cells):
    print("| " + " | ".join(str(cell) for cell in cells) + " |", flush=True)


def percentile(values, share):
    """The percentile `share` (1 to 99) of times in microseconds, in seconds."""
    return (
        quantiles(sorted(values), n=100, method="inclusive")[share - 1] / 1e6
        if len(values) > 1
        else values[0] / 1e6
    )


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["detect", "false", "traffic", "heal", "many", "fuzz"])
    parser.add_argument("--sizes", default="10,50,200")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument(
        "--length", type=int, default=120, help="seconds of a run that looks for false failures"
    )
    parser.add_argument("--jobs", type=int, default=0)
    parser.add_argument("--kinds", default=",".join(KINDS))
    arguments = parser.parse_args()
    kinds = arguments.kinds.split(",")
    sizes = [int(size) for size in arguments.sizes.split(",")]
    with get_context("spawn").Pool(arguments.jobs or None) as pool:
        if arguments.what == "detect":
            print_row(
                "members", "kind", "runs", "first p50", "first p99", "all p50", "all p99", "others declared"
            )
            for size in sizes:
                for kind in kinds:
                    results = pool.map(detect, [(kind, size, seed) for seed in range(arguments.seeds)], 1)
                    print_row(
                        size,
                        kind,
                        len(results),
                        *(
                            f"{percentile([result[n] for result in results], share):.1f} s"
                            for n in (0, 1)
                            for share in (50, 99)
                        ),
                        sum(result[2] for result in results),
                    )
        elif arguments.what == "false":
            print_row(
                "members",
                "kind",
                "loss",
                "slow",
                "member-hours",
                "false (fine eyes on fine members)",
                "a member-hour",
                "pairs",
                "slow ones called failed",
                "called so by slow ones",
            )
            for size in sizes:
                for lose, slow in ((0, 0), (0.1, 0), (0.3, 0), (0, 0.05), (0, 0.2)):
                    for kind in kinds:
                        results = pool.map(
                            false_failures,
                            [
                                (kind, size, seed, lose, slow, arguments.length)
                                for seed in range(arguments.seeds)
                            ],
                            1,
                        )
                        hours = sum(result[4] for result in results) / 3600
                        print_row(
                            size,
                            kind,
                            lose,
                            slow,
                            f"{hours:.0f}",
                            sum(result[0] for result in results),
                            f"{sum(result[0] for result in results) / hours:.3f}",
                            *(sum(result[n] for result in results) for n in (1, 2, 3)),
                        )
        elif arguments.what == "many":
            for plain_swim in (False, True):
                results = pool.map(many, [(plain_swim, seed) for seed in range(arguments.seeds)], 1)
                print_row(
                    "plain SWIM" if plain_swim else "ours",
                    f"{percentile(results, 50):.1f} s",
                    f"{max(results) / 1e6:.1f} s",
                )
        elif arguments.what == "fuzz":
            for seed, (read, rejected) in enumerate(pool.map(fuzz, range(arguments.seeds), 1)):
                print_row(seed, f"{read} read", f"{rejected} said why not", "nothing else raised")
        elif arguments.what == "traffic":
            print_row(
                "members", "kind", "datagrams a second", "bytes a second", "microseconds of work a second"
            )
            for size in sizes:
                for kind in kinds:
                    results = pool.map(
                        traffic, [(kind, size, seed) for seed in range(min(2, arguments.seeds))], 1
                    )
                    print_row(
                        size,
                        kind,
                        *(f"{fmean(result[n] for result in results) * (1, 1, 1e6)[n]:.1f}" for n in range(3)),
                    )
        else:
            print_row("members", "kind", "runs", "p50", "most")
            for size in sizes:
                for kind in kinds:
                    results = pool.map(
                        heal, [(kind, size, seed) for seed in range(min(8, arguments.seeds))], 1
                    )
                    print_row(
                        size,
                        kind,
                        len(results),
                        f"{percentile(results, 50):.1f} s",
                        f"{max(results) / 1e6:.1f} s",
                    )


if __name__ == "__main__":
    main()
