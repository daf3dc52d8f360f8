"""Cost of the limit check per hit, and the accuracy of an allowance that many gateways share.

    .venv/bin/python bench/limits.py cost
    .venv/bin/python bench/limits.py shared [--sizes 10,50,200] [--seconds 30]

`shared` steps the code of the leases (`leases/protocol.py`, `limits/compiled.py`) over a simulated clock,
with messages that take 1 to 20 ms, of which one in a hundred is lost. It compares them with a fixed share per
gateway and with one central counter, for which every hit would have to wait. Demand is 1.5 times the
allowance unless a traffic shape says otherwise. "worst" is the most that passed in any one second, relative
to the allowance. All gateways are simulated.
"""

import argparse
import sys
import time
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cobaltpond.leases.protocol import LeaseHolder, LeaseOwner, owner_of  # noqa: E402
from cobaltpond.limits.compiled import CompiledLimits  # noqa: E402
from cobaltpond.limits.rules import HitAttributes, Limit  # noqa: E402
from cobaltpond.loop.random_source import seeded_random  # noqa: E402
from cobaltpond.recovery.measure import max_in_window  # noqa: E402

S, RATE_PER_S, LEASE_TIME_US, OWN_DIVISOR, STEP_US = 1_000_000, 1000, 2_000_000, 5, 10_000
SHAPES = ("even", "one hot", "a few hot", "moving", "idle then all")


def measure_cost() -> None:
    """Prints time and kept allocations per hit, for growing numbers of limits."""
    hit = HitAttributes("buy", "tagged", "ann", 7)
    print(
        "| limits | concerning the hit | ns a hit, let through | over a limit | allocated blocks kept a hit |"
    )
    print("| --- | --- | --- | --- | --- |")
    for count, applicable_count in ((1, 1), (20, 4), (200, 8)):
        limits = [
            Limit(
                f"l{n}",
                "hits",
                "nothing" if n % 2 else "customer",
                1 << 40,
                1 << 20,
                group="buy" if n < applicable_count else f"g{n}",
            )
            for n in range(count)
        ]
        passing = CompiledLimits(limits)
        exhausted = CompiledLimits([*limits[1:], Limit("t", "hits", "nothing", 1, 1, group="buy")])
        row = []
        for compiled in (passing, exhausted):
            for n in range(20_000):
                compiled.check(n, hit)
            began = time.perf_counter_ns()
            for n in range(100_000):
                compiled.check(20_000 + n, hit)
            row.append((time.perf_counter_ns() - began) // 100_000)
        tracemalloc.start()
        before = tracemalloc.take_snapshot()
        for n in range(10_000):
            passing.check(200_000 + n, hit)
        after = sum(
            max(0, one.count_diff) for one in tracemalloc.take_snapshot().compare_to(before, "filename")
        )
        tracemalloc.stop()
        print(f"| {count} | {applicable_count} | {row[0]} | {row[1]} | {after / 10_000:.3f} |")


def weights(shape: str, count: int, at: float, random_source) -> list:
    """The relative demand of each gateway at this time, in seconds."""
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


def simulate(variant: str, shape: str, count: int, seconds: int) -> tuple:
    """(passed share of the allowance, worst second relative to it, messages per gateway and second)."""
    random_source = seeded_random(f"{variant}/{shape}/{count}")
    own_rate = {
        "leases": lambda limit: limit.rate // OWN_DIVISOR // count,
        "fixed": lambda limit: limit.rate // count,
        "central": lambda limit: limit.rate,
    }[variant]
    limit = Limit("house", "hits", rate=RATE_PER_S * 1000, burst=RATE_PER_S // 10, fleet=variant != "central")
    evaluators = [CompiledLimits([limit], own_rate) for _ in range(1 if variant == "central" else count)]
    owners = [LeaseOwner(n, count, LEASE_TIME_US, 0) for n in range(count)]
    holders = [LeaseHolder(n, LEASE_TIME_US) for n in range(count)]
    pool = RATE_PER_S * 1000 - count * (RATE_PER_S * 1000 // OWN_DIVISOR // count)
    living = list(range(count))
    key = "house"
    owner, in_flight, messages, wanted, passed_at = owner_of(key, living), [], 0, [0.0] * count, []
    hit = HitAttributes("look", "repeatable")
    for at in range(0, seconds * S, STEP_US):
        share = weights(shape, count, at / S, random_source)
        total_weight = sum(share)
        load = 1.5 * RATE_PER_S if shape != "idle then all" else 1.5 * RATE_PER_S * min(1.0, share[0])
        for n in range(count):
            for _ in range(int(load * share[n] / total_weight * STEP_US / S + random_source.random())):
                if evaluators[0 if variant == "central" else n].check(at, hit).rejected_by is None:
                    passed_at.append(at)
        if variant != "leases":
            continue
        owners[owner].observe_members(at, living)
        due = [one for one in in_flight if one[0] <= at]
        in_flight = [one for one in in_flight if one[0] > at]
        for _, what, n, body, asked in due:
            if what == "ask":
                lease = owners[owner].grant_lease(at, key, n, body, pool)
                if lease is not None and random_source.random() >= 0.01:
                    in_flight.append((at + random_source.randrange(1_000, 20_000), "told", n, lease, asked))
                    messages += 1
            elif holders[n].accept_lease(at, body, living, asked):
                evaluators[n].set_lent_rate(at, "house", None, body.amount)
        if at % (LEASE_TIME_US // 4) == 0:
            for n in range(count):
                seen = (
                    evaluators[n].take_demand().get(("house", None), 0)
                    * 1_000_000_000
                    // (LEASE_TIME_US // 4)
                )
                wanted[n] = wanted[n] * 0.5 + seen * 0.5
                if holders[n].leases and not holders[n].amount(at, key):
                    evaluators[n].set_lent_rate(at, "house", None, 0)
                    holders[n].drop_expired(at)
                more = min(int(wanted[n] * 1.25), limit.rate) - own_rate(limit)
                if more > 0 and random_source.random() >= 0.01:
                    in_flight.append((at + random_source.randrange(1_000, 20_000), "ask", n, more, at))
                    messages += 1
    begin = 6 * S  # one lease time until the owner lends, and two until the demand is smoothed
    allowed = RATE_PER_S * (seconds - 6) if shape != "idle then all" else RATE_PER_S * (seconds - 12)
    counted = [at for at in passed_at if at >= (begin if shape != "idle then all" else 12 * S)]
    return len(counted) / allowed, max_in_window(counted) / RATE_PER_S, messages / count / seconds


def measure_shared(sizes: list, seconds: int) -> None:
    """Prints the table of all sizes, traffic shapes and variants."""
    print(
        f"allowance {RATE_PER_S} a second; a lease lives {LEASE_TIME_US / S:g} s; a fifth is everybody's own"
    )
    print(
        "| gateways | traffic | way | let through of what is allowed | worst second "
        "| messages a gateway and s |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for count in sizes:
        for shape in SHAPES:
            for variant in ("leases", "fixed", "central"):
                mean, worst, messages = simulate(variant, shape, count, seconds)
                print(
                    f"| {count} | {shape} | {variant} | {mean:.3f} | {worst:.3f} | {messages:.2f} |",
                    flush=True,
                )


def main():
    args = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    args.add_argument("what", choices=["cost", "shared"])
    args.add_argument("--sizes", default="10,50,200")
    args.add_argument("--seconds", type=int, default=30)
    args = args.parse_args()
    if args.what == "cost":
        measure_cost()
    else:
        measure_shared([int(size) for size in args.sizes.split(",")], args.seconds)


if __name__ == "__main__":
    main()
