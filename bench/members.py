"""Membership measured on the virtual kernel: ours, plain SWIM, heartbeats from all to all.

    python bench/members.py detect            time until a killed member is known, first and all, by size
    python bench/members.py false             false failures a member-hour under loss and with slow members
    python bench/members.py traffic           datagrams, bytes and time of work by size
    python bench/members.py heal              convergence after a split is healed
    python bench/members.py many              time until 21 of 30 that were killed at once are known, period
    0.2 s python bench/members.py fuzz --seeds N    the datagram reader on a million inputs for each N

Figures are of simulated members: the program's own service on a simulated network. Seeds are printed.
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

MISSED = 5  # heartbeats in a row, and a member counts as failed


class Heartbeats:
    """Every member tells every other one that it is there, once a period; nobody tells of anybody else."""

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
        self.out, self.changes, self.replaced, self.counts = [], [], False, {}
        self.next_beat, self.reachability = now + chance.randbelow(settings.period) + 1, Reachability(self)

    def living(self):
        return {n: m.start for n, m in self.members.items() if m.is_present} | {self.number: self.start}

    def alter(self, member, cause, now, start):
        before = change_state(member, cause, now, self.number, start, 0)
        if member.state != before:
            self.changes.append((member, before))

    def receive_datagram(self, now, sender, data):
        _, _, stamp, fields = wire.decode_datagram(sender, self.number, data)
        facts, member = wire.facts_of(fields), self.members[sender]
        if facts["start"] >= member.start:
            if member.state != ALIVE or facts["start"] != member.start:
                self.alter(member, HEARD, now, facts["start"])
            member.facts, member.stamp, member.heard_at = facts, stamp, now

    def next_at(self):
        return self.next_beat

    def tick(self, now):
        if now < self.next_beat or self.state == LEFT:
            return
        self.next_beat = now + self.probe_settings.period
        self.stamp += 1
        facts = {**self.self_description, "start": self.start, "incarnation": 0, "state": STATE_CODES[ALIVE]}
        for number, member in self.members.items():
            self.out.append(
                (
                    number,
                    wire.encode_datagram(
                        wire.PING, self.number, number, 0, self.stamp, wire.self_field(facts)
                    ),
                )
            )
            if member.state == ALIVE and now - member.heard_at > MISSED * self.probe_settings.period:
                self.alter(member, SUSPECTED, now, member.start)
                self.alter(member, SUSPICION_EXPIRED, now, member.start)

    def leave(self):
        self.state = LEFT


KINDS = {
    "ours": (View, ProbeSettings()),
    "plain SWIM": (View, ProbeSettings(plain_swim=True)),
    "all to all": (Heartbeats, ProbeSettings()),
}


def gathered(kind, count, seed, zones=3):
    view, settings = KINDS[kind]
    one = MemberCluster(count, seed, zones, settings, view)
    one.start_all()
    one.run(1_100_000)
    one.run_until(one.all_agree, 120 * SECOND)
    one.run(2 * SECOND)
    return one


def detect(job):
    """(microseconds until the first knew, until all knew, others declared by the way)"""
    kind, count, seed = job
    one = gathered(kind, count, seed)
    victim = one.world.chance("victim").randrange(count)
    one.run(one.world.chance("moment").randrange(SECOND))
    one.signal("KILL", victim)
    at = one.world.time
    everybody = one.run_until(lambda: one.all_agree(FAILED, [victim]), 300 * SECOND)
    first = min(t for t, _, number in one.failure_reports(at) if number == victim) - at
    return first, everybody, sum(number != victim for _, _, number in one.failure_reports(at))


def false_ones(job):
    """(false failures as declared, pairs of eyes and members so held, member-seconds watched, longest
    held)"""
    kind, count, seed, lose, slow, length = job
    one = gathered(kind, count, seed)
    at = one.world.time
    one.set_loss(lose)
    numbers = one.world.chance("slow ones").sample(range(count), round(slow * count))
    one.slow_down(numbers, at + length * SECOND)
    one.run(length * SECOND)
    # a slow one that is called failed may be so rightly as the eye sees it: counted apart
    fine = [d for d in one.failure_reports(at) if d[2] not in numbers and d[1] not in numbers]
    on_slow = [d for d in one.failure_reports(at) if d[2] in numbers]
    by_slow = [d for d in one.failure_reports(at) if d[1] in numbers and d[2] not in numbers]
    return (
        len({(n, t // (10 * SECOND)) for t, _, n in fine}),
        len(fine),
        len(on_slow),
        len(by_slow),
        count * length,
    )


def traffic(job):
    kind, count, seed = job
    one = gathered(kind, count, seed)
    if kind != "all to all":  # what the joining had to tell has been told
        one.run_until(
            lambda: not any(part.members.view.pending_updates for part in one.parts.values()), 900 * SECOND
        )
    one.sent = one.bytes = 0
    began, length = time.process_time(), 20
    one.run(length * SECOND)
    return (
        one.sent / count / length,
        one.bytes / count / length,
        (time.process_time() - began) / count / length,
    )


def heal(job):
    kind, count, seed = job
    one = gathered(kind, count, seed, zones=2)
    sides = [[n for n in range(count) if n % 2 == side] for side in range(2)]
    one.cut(*sides, True)
    one.run_until(
        lambda: one.all_agree(FAILED, sides[0], sides[1]) and one.all_agree(FAILED, sides[1], sides[0]),
        600 * SECOND,
    )
    one.cut(*sides, False)
    return one.run_until(one.all_agree, 600 * SECOND)


def many(job):
    plain_swim, seed = job
    one = MemberCluster(30, seed, 3, ProbeSettings(200_000, 60_000, plain_swim))
    one.start_all()
    one.run(1_100_000)
    one.run_until(one.all_agree, 20 * SECOND)
    one.signal("KILL", *range(21))
    return one.run_until(lambda: one.all_agree(FAILED, range(21)), 200 * SECOND)


def fuzz(seed):
    """How many of a million spoilt or random datagrams were read, and how many said why not."""
    chance, zones = seeded_random(seed), {n: "ab"[n % 2] for n in range(9)}
    one, two = (View(n, zones, ProbeSettings(), RandomSource(n + 1), 1000 + n, 0) for n in range(2))
    read = odd = 0
    for n in range(1_000_000):
        if n % 50 == 0:
            one.send(
                chance.choice((wire.PING, wire.INDIRECT_PING, wire.TRIAL_REPLY)),
                1,
                n,
                about=3,
                more=wire.trial_field([(1, 0, 5, 1, 0)] * chance.randrange(4)),
            )
            whole = one.out.pop()[1]
        data = bytearray(whole)
        for _ in range(chance.randrange(1, 6)):
            data[chance.randrange(len(data))] = chance.randrange(256)
        data = bytes(data[: chance.randrange(len(data) + 1)]) if chance.random() < 0.3 else bytes(data)
        if chance.random() < 0.5 and len(data) > 6:  # with a checksum that fits, so that the fields are met
            data = (
                data[:2]
                + wire.pack(">I", wire.crc32(wire.pack(">HBB", 0, data[0], data[1]) + data[6:]))
                + data[6:]
            )
        try:
            two.receive_datagram(n * 100_000, 0, data)
            read += 1
        except wire.DatagramError:
            odd += 1
        two.out.clear()
        two.changes.clear()
    return read, odd


def row(*cells):
    print("| " + " | ".join(str(cell) for cell in cells) + " |", flush=True)


def p(values, share):
    return (
        quantiles(sorted(values), n=100, method="inclusive")[share - 1] / 1e6
        if len(values) > 1
        else values[0] / 1e6
    )


def main():
    reader = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    reader.add_argument("what", choices=["detect", "false", "traffic", "heal", "many", "fuzz"])
    reader.add_argument("--sizes", default="10,50,200")
    reader.add_argument("--seeds", type=int, default=20)
    reader.add_argument(
        "--length", type=int, default=120, help="seconds of a run that looks for false failures"
    )
    reader.add_argument("--jobs", type=int, default=0)
    reader.add_argument("--kinds", default=",".join(KINDS))
    asked = reader.parse_args()
    kinds = asked.kinds.split(",")
    sizes = [int(size) for size in asked.sizes.split(",")]
    with get_context("spawn").Pool(asked.jobs or None) as pool:
        if asked.what == "detect":
            row("members", "kind", "runs", "first p50", "first p99", "all p50", "all p99", "others declared")
            for size in sizes:
                for kind in kinds:
                    found = pool.map(detect, [(kind, size, seed) for seed in range(asked.seeds)], 1)
                    row(
                        size,
                        kind,
                        len(found),
                        *(f"{p([f[n] for f in found], share):.1f} s" for n in (0, 1) for share in (50, 99)),
                        sum(f[2] for f in found),
                    )
        elif asked.what == "false":
            row(
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
                        found = pool.map(
                            false_ones,
                            [(kind, size, seed, lose, slow, asked.length) for seed in range(asked.seeds)],
                            1,
                        )
                        hours = sum(f[4] for f in found) / 3600
                        row(
                            size,
                            kind,
                            lose,
                            slow,
                            f"{hours:.0f}",
                            sum(f[0] for f in found),
                            f"{sum(f[0] for f in found) / hours:.3f}",
                            *(sum(f[n] for f in found) for n in (1, 2, 3)),
                        )
        elif asked.what == "many":
            for plain_swim in (False, True):
                found = pool.map(many, [(plain_swim, seed) for seed in range(asked.seeds)], 1)
                row(
                    "plain SWIM" if plain_swim else "ours",
                    f"{p(found, 50):.1f} s",
                    f"{max(found) / 1e6:.1f} s",
                )
        elif asked.what == "fuzz":
            for seed, (read, odd) in enumerate(pool.map(fuzz, range(asked.seeds), 1)):
                row(seed, f"{read} read", f"{odd} said why not", "nothing else raised")
        elif asked.what == "traffic":
            row("members", "kind", "datagrams a second", "bytes a second", "microseconds of work a second")
            for size in sizes:
                for kind in kinds:
                    found = pool.map(traffic, [(kind, size, seed) for seed in range(min(2, asked.seeds))], 1)
                    row(size, kind, *(f"{fmean(f[n] for f in found) * (1, 1, 1e6)[n]:.1f}" for n in range(3)))
        else:
            row("members", "kind", "runs", "p50", "most")
            for size in sizes:
                for kind in kinds:
                    found = pool.map(heal, [(kind, size, seed) for seed in range(min(8, asked.seeds))], 1)
                    row(size, kind, len(found), f"{p(found, 50):.1f} s", f"{max(found) / 1e6:.1f} s")


if __name__ == "__main__":
    main()
