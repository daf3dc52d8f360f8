"""Limits: what the check costs a hit, and how near an allowance shared by many gateways comes to what was
declared.

    .venv/bin/python bench/limits.py cost
    .venv/bin/python bench/limits.py shared [--sizes 10,50,200] [--seconds 30]

`shared` steps the leases' own code (`leases/protocol.py`, `limits/compiled.py`) over a clock, with messages
that take 1 to 20 ms and are lost once in a hundred times, beside a fixed share a gateway and one central
counter that every hit would have to wait for. Wanted is 1.5 times the allowance unless a shape says
otherwise. "worst" is the most that was let through in any one second, against the allowance. Figures are of
simulated gateways.
"""

import argparse
import sys
import time
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cobaltpond.leases.protocol import Holder, Owner, owner_of  # noqa: E402
from cobaltpond.limits.compiled import CompiledLimits  # noqa: E402
from cobaltpond.limits.rules import HitAttributes, Limit  # noqa: E402
from cobaltpond.loop.random_source import seeded_random  # noqa: E402
from cobaltpond.recovery.measure import max_in_window  # noqa: E402

S, RATE, LIFE, OWN, STEP = 1_000_000, 1000, 2_000_000, 5, 10_000
SHAPES = ("even", "one hot", "a few hot", "moving", "idle then all")


def cost() -> None:
    hit = HitAttributes("buy", "tagged", "ann", 7)
    print(
        "| limits | concerning the hit | ns a hit, let through | over a limit | allocated blocks kept a hit |"
    )
    print("| --- | --- | --- | --- | --- |")
    for count, concern in ((1, 1), (20, 4), (200, 8)):
        limits = [
            Limit(
                f"l{n}",
                "hits",
                "nothing" if n % 2 else "customer",
                1 << 40,
                1 << 20,
                group="buy" if n < concern else f"g{n}",
            )
            for n in range(count)
        ]
        free, tight = (
            CompiledLimits(limits),
            CompiledLimits([*limits[1:], Limit("t", "hits", "nothing", 1, 1, group="buy")]),
        )
        row = []
        for compiled in (free, tight):
            for n in range(20_000):
                compiled.check(n, hit)
            began = time.perf_counter_ns()
            for n in range(100_000):
                compiled.check(20_000 + n, hit)
            row.append((time.perf_counter_ns() - began) // 100_000)
        tracemalloc.start()
        before = tracemalloc.take_snapshot()
        for n in range(10_000):
            free.check(200_000 + n, hit)
        after = sum(
            max(0, one.count_diff) for one in tracemalloc.take_snapshot().compare_to(before, "filename")
        )
        tracemalloc.stop()
        print(f"| {count} | {concern} | {row[0]} | {row[1]} | {after / 10_000:.3f} |")


def weights(shape: str, count: int, at: float, random_source) -> list:
    if shape == "even":
        return [1.0] * count
    if shape == "one hot":
        return [count * 1.0] + [0.5] * (count - 1)
    if shape == "a few hot":
        return [10.0 if n % 10 == 0 else 0.2 for n in range(count)]
    if shape == "moving":
        hot = int(at // 4) * 3 % count
        return [count * 1.0 if n == hot else 0.3 for n in range(count)]
    return [0.02 if at < 10 else 1.0] * count


def play(way: str, shape: str, count: int, seconds: int) -> tuple:
    """(let through of what was allowed, worst second of it, messages a gateway and second)."""
    random_source = seeded_random(f"{way}/{shape}/{count}")
    base = {
        "leases": lambda limit: limit.rate // OWN // count,
        "fixed": lambda limit: limit.rate // count,
        "central": lambda limit: limit.rate,
    }[way]
    limit = Limit("house", "hits", rate=RATE * 1000, burst=RATE // 10, fleet=way != "central")
    sides = [CompiledLimits([limit], base) for _ in range(1 if way == "central" else count)]
    owners, holders = (
        [Owner(n, count, LIFE, 0) for n in range(count)],
        [Holder(n, LIFE) for n in range(count)],
    )
    pool, living, key = RATE * 1000 - count * (RATE * 1000 // OWN // count), list(range(count)), "house"
    owner, mail, messages, wanted, through = owner_of(key, living), [], 0, [0.0] * count, []
    hit = HitAttributes("look", "repeatable")
    for at in range(0, seconds * S, STEP):
        share = weights(shape, count, at / S, random_source)
        whole = sum(share)
        load = 1.5 * RATE if shape != "idle then all" else 1.5 * RATE * min(1.0, share[0])
        for n in range(count):
            for _ in range(int(load * share[n] / whole * STEP / S + random_source.random())):
                if sides[0 if way == "central" else n].check(at, hit).by is None:
                    through.append(at)
        if way != "leases":
            continue
        owners[owner].observe_members(at, living)
        due = [one for one in mail if one[0] <= at]
        mail = [one for one in mail if one[0] > at]
        for _, what, n, body, asked in due:
            if what == "ask":
                lease = owners[owner].grant_lease(at, key, n, body, pool)
                if lease is not None and random_source.random() >= 0.01:
                    mail.append((at + random_source.randrange(1_000, 20_000), "told", n, lease, asked))
                    messages += 1
            elif holders[n].accept_lease(at, body, living, asked):
                sides[n].set_lent_rate(at, "house", None, body.amount)
        if at % (LIFE // 4) == 0:
            for n in range(count):
                seen = sides[n].take_demand().get(("house", None), 0) * 1_000_000_000 // (LIFE // 4)
                wanted[n] = wanted[n] * 0.5 + seen * 0.5
                if holders[n].leases and not holders[n].amount(at, key):
                    sides[n].set_lent_rate(at, "house", None, 0)
                    holders[n].drop_expired(at)
                more = min(int(wanted[n] * 1.25), limit.rate) - base(limit)
                if more > 0 and random_source.random() >= 0.01:
                    mail.append((at + random_source.randrange(1_000, 20_000), "ask", n, more, at))
                    messages += 1
    begin = 6 * S  # a life until the owner lends, and two for the wishes
    allowed = RATE * (seconds - 6) if shape != "idle then all" else RATE * (seconds - 12)
    counted = [at for at in through if at >= (begin if shape != "idle then all" else 12 * S)]
    return len(counted) / allowed, max_in_window(counted) / RATE, messages / count / seconds


def shared(sizes: list, seconds: int) -> None:
    print(f"allowance {RATE} a second; a lease lives {LIFE / S:g} s; a fifth is everybody's own")
    print(
        "| gateways | traffic | way | let through of what is allowed | worst second "
        "| messages a gateway and s |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for count in sizes:
        for shape in SHAPES:
            for way in ("leases", "fixed", "central"):
                mean, worst, messages = play(way, shape, count, seconds)
                print(
                    f"| {count} | {shape} | {way} | {mean:.3f} | {worst:.3f} | {messages:.2f} |", flush=True
                )


def main():
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("what", choices=["cost", "shared"])
    words.add_argument("--sizes", default="10,50,200")
    words.add_argument("--seconds", type=int, default=30)
    words = words.parse_args()
    if words.what == "cost":
        cost()
    else:
        shared([int(size) for size in words.sizes.split(",")], words.seconds)


if __name__ == "__main__":
    main()
