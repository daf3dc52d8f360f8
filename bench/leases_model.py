"""Model checker for leases: explores every interleaving of a small model up to a depth, over the real code.

    .venv/bin/python bench/leases_model.py [--depth 9] [--keys 1] [--apart] [--break NAME|all]

Three members share allowances. A step is one of: time advances by a third of the lease time, a member
requests little or all, a message in flight is delivered or lost, a member crashes or restarts, the network is
partitioned or heals, a member is paused or resumed. After each step, what all members may use of a key
together must be within its pool. Views change at once on both sides of a partition (one owner, for
`protocol.overshoot`); with `--apart` the view of one member may be stale for a step, and the formula gives
the bound. `--break` injects a fault into the code, which the search has to find.
"""

import argparse
import sys
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cobaltpond.leases.protocol import LeaseHolder, LeaseOwner, overshoot, owner_of  # noqa: E402

LIFE, POOL, MEMBERS = 3, 6, 3
MAX_IN_FLIGHT = 2  # messages at one moment; bounds the search
PARTITIONS = ((0, 0, 0), (0, 0, 1), (0, 1, 0), (1, 0, 0))  # the side of each member


class ModelState:
    """One state of the model; `apart` allows stale views."""

    def __init__(self, keys, apart):
        self.now, self.keys, self.apart = 0, keys, apart
        self.owners = [LeaseOwner(n, MEMBERS, LIFE, 0) for n in range(MEMBERS)]
        self.holders = [LeaseHolder(n, LIFE) for n in range(MEMBERS)]
        self.crashed, self.paused, self.partition, self.starts = [False] * 3, [False] * 3, 0, [0] * 3
        self.views = [tuple(range(MEMBERS))] * MEMBERS
        self.messages, self.faults = (), 0  # ("ask" or "grant", from, to, (key, wanted) or lease, at)
        self.update_views()
        for _ in range(LIFE):  # the search starts when owners may lend
            self.advance_time()

    def clone(self):
        """Copies only what a step changes, since a search makes millions of states."""
        new = ModelState.__new__(ModelState)
        new.__dict__.update(self.__dict__)
        new.owners = []
        for owner in self.owners:
            other = LeaseOwner.__new__(LeaseOwner)
            other.__dict__.update(owner.__dict__)
            other.views = list(owner.views)
            other.outstanding = {
                key: {member: list(leases) for member, leases in row.items()}
                for key, row in owner.outstanding.items()
            }
            other.requests = {key: dict(row) for key, row in owner.requests.items()}
            new.owners.append(other)
        new.holders = [
            LeaseHolder(holder.number, holder.lease_time, dict(holder.leases)) for holder in self.holders
        ]
        new.crashed = list(self.crashed)
        new.paused = list(self.paused)
        new.starts = list(self.starts)
        new.views = list(self.views)
        return new

    def reachable(self, n):
        """The members that member n can reach."""
        side = PARTITIONS[self.partition]
        return tuple(
            m
            for m in range(MEMBERS)
            if m == n or side[m] == side[n] and not self.crashed[m] and not self.paused[m]
        )

    def update_views(self, stale_member=None):
        """Updates the view of each running member but `stale_member`."""
        for n in range(MEMBERS):
            if not self.crashed[n] and not self.paused[n]:
                if n != stale_member:
                    self.views[n] = self.reachable(n)
                self.owners[n].observe_members(self.now, self.views[n])

    def key(self):
        """A hashable form of the state, with times relative to now."""
        now = self.now
        owners = tuple(
            (
                tuple((min(LIFE, now - at), view) for at, view in o.views),
                min(LIFE, now - o.known_since),
                tuple(
                    (
                        k,
                        tuple(
                            (h, tuple((a, u - now) for a, u in leases if u > now))
                            for h, leases in sorted(row.items())
                        ),
                    )
                    for k, row in sorted(o.outstanding.items())
                ),
                tuple(
                    (
                        k,
                        tuple(
                            (member, entry[0], entry[1] - now)
                            for member, entry in sorted(row.items())
                            if entry[1] > now
                        ),
                    )
                    for k, row in sorted(o.requests.items())
                ),
                min(LIFE, now - (o.last_observed or 0)),
            )
            for o in self.owners
        )
        holders = tuple(
            tuple(
                (k, lease.owner, lease.amount, lease.until - now)
                for k, lease in sorted(h.leases.items())
                if lease.until > now
            )
            for h in self.holders
        )
        messages = tuple(
            (m[0], m[1], m[2], m[3] if m[0] == "ask" else (m[3].key, m[3].amount), m[4] - now)
            for m in self.messages
        )
        return (
            owners,
            holders,
            tuple(self.crashed),
            tuple(self.paused),
            self.partition,
            tuple(self.views),
            messages,
            self.faults,
        )

    # --- steps ----------------------------------------------------------------------------------------------

    def steps(self):
        """Yields (name, function that applies the step) for each possible step."""
        yield "time", lambda w: w.advance_time()
        for n in range(MEMBERS):
            if self.crashed[n]:
                yield f"{n} begins", lambda w, n=n: w.restart(n)
                continue
            if self.paused[n]:
                yield f"{n} goes on", lambda w, n=n: w.resume(n)
                continue
            for key in self.keys if len(self.messages) < MAX_IN_FLIGHT else ():
                for wanted in (2, POOL):
                    yield (
                        f"{n} asks for {wanted} of {key}",
                        lambda w, n=n, k=key, m=wanted: w.request_lease(n, k, m),
                    )
            if self.faults < 2:
                yield f"{n} dies", lambda w, n=n: w.crash(n)
                yield f"{n} is stopped", lambda w, n=n: w.pause(n)
        for at in range(len(self.messages)):
            yield f"comes: {self.messages[at][:3]}", lambda w, at=at: w.deliver(at)
            yield f"is lost: {self.messages[at][:3]}", lambda w, at=at: w.drop_message(at)
        if self.partition:
            yield "heals", lambda w: w.split(0)
        elif self.faults < 2:
            for side in (1, 2, 3):
                yield f"splits {PARTITIONS[side]}", lambda w, side=side: w.split(side)
                if self.apart:
                    for n in range(MEMBERS):
                        yield (
                            f"splits {PARTITIONS[side]}, {n} sees it late",
                            lambda w, side=side, n=n: w.split(side, n),
                        )

    def advance_time(self):
        self.now += 1
        self.update_views()

    def request_lease(self, n, key, wanted):
        owner = owner_of(key, self.views[n])
        if owner == n:
            lease = self.owners[n].grant_lease(self.now, key, n, wanted, POOL)
            if lease is not None:
                self.holders[n].accept_lease(self.now, lease, self.views[n], self.now)
        else:
            self.messages += (("ask", n, owner, (key, wanted), self.now),)

    def pop_message(self, at):
        messages, self.messages = self.messages[at], self.messages[:at] + self.messages[at + 1 :]
        return messages

    def deliver(self, at):
        what, sender, to, body, asked_at = self.pop_message(at)
        if to not in self.reachable(sender) or self.crashed[to] or self.paused[to]:
            return
        if what == "ask":
            lease = self.owners[to].grant_lease(self.now, body[0], sender, body[1], POOL)
            if lease is not None:
                self.messages += (("grant", to, sender, lease, asked_at),)
        else:
            self.holders[to].accept_lease(self.now, body, self.views[to], asked_at)

    def drop_message(self, at):
        self.pop_message(at)

    def crash(self, n):
        self.faults += 1
        self.crashed[n] = True
        self.holders[n] = LeaseHolder(n, LIFE)
        self.update_views()

    def restart(self, n):
        self.crashed[n], self.starts[n] = False, self.starts[n] + 1
        self.owners[n] = LeaseOwner(n, MEMBERS, LIFE, self.starts[n])
        self.update_views()

    def pause(self, n):
        self.faults += 1
        self.paused[n] = True
        self.update_views()

    def resume(self, n):
        """Until the next update of views the member may still use what it holds; then its clock shows the
        expiry.
        """
        self.paused[n] = False
        self.update_views()

    def split(self, side, stale_member=None):
        self.faults += side > 0
        self.partition = side
        self.update_views(stale_member)

    # --- invariant -----------------------------------------------------------------------------------------

    def find_violation(self):
        """A text if a key is used beyond its bound, else None."""
        for key in self.keys:
            used = sum(h.amount(self.now, key) for n, h in enumerate(self.holders) if not self.crashed[n])
            most = POOL
            if self.apart:
                owners = sum(
                    o.is_owner(self.now, key)
                    or any(u > self.now for leases in o.outstanding.get(key, {}).values() for _, u in leases)
                    for o in self.owners
                )
                most += overshoot(POOL, owners)
            if used > most:
                return f"{key}: {used} in use of {most}"
        return None


def search(depth: int, keys=("a",), apart=False, most: int = 2_000_000, without=(), first=()):
    """Returns (states visited, None) or (states visited, steps to the first violation and its text).

    Breadth first: the path is a shortest one. Steps whose name contains a word of `without` are left out; the
    steps `first` are taken before the search, which then looks further from there.
    """
    initial_state = ModelState(keys, apart)
    for name in first:
        dict(initial_state.steps())[name](initial_state)
    seen, queue = {initial_state.key(): True}, deque([(initial_state, tuple(first))])
    while queue:
        world, path = queue.popleft()
        if len(path) >= depth + len(first):
            continue
        for name, step in world.steps():
            if any(word in name for word in without):
                continue
            after = world.clone()
            step(after)
            mark = after.key()
            if mark in seen:
                continue
            seen[mark] = True
            violation = after.find_violation()
            if violation is not None:
                return len(seen), (*path, name, violation)
            if len(seen) >= most:
                return len(seen), None
            queue.append((after, (*path, name)))
    return len(seen), None


# --- injected faults ----------------------------------------------------------------------------------------


def lend_without_waiting(self, now, key):
    """A new owner lends at once."""
    return owner_of(key, self.views[-1][1]) == self.number


def ignore_pause(self, now, living):
    """An owner that was paused continues as if it had not been."""
    self.last_observed = now if self.last_observed is not None else None
    ORIGINAL_METHODS["observe_members"](self, now, living)


def lend_whole_pool(self, now, key, holder, wanted, pool):
    """One side of a partition lends the whole pool."""
    return ORIGINAL_METHODS["grant_lease"](
        self, now, key, holder, wanted, pool * self.declared // max(1, len(self.views[-1][1]))
    )


def forget_outstanding(self, now, key, holder, wanted, pool):
    """Outstanding leases are not counted."""
    self.outstanding.pop(key, None)
    return ORIGINAL_METHODS["grant_lease"](self, now, key, holder, wanted, pool)


def forget_older_lease(self, now, key, holder, wanted, pool):
    """A smaller lease counts at once, though its holder may not have received it."""
    lease = ORIGINAL_METHODS["grant_lease"](self, now, key, holder, wanted, pool)
    if lease is not None:
        self.outstanding[key][holder] = self.outstanding[key][holder][-1:]
    return lease


def count_from_arrival(self, now, lease, living, asked_at):
    """The lease time counts from the arrival of the lease."""
    return ORIGINAL_METHODS["accept_lease"](self, now, lease, living, now)


ORIGINAL_METHODS = {
    "observe_members": LeaseOwner.observe_members,
    "grant_lease": LeaseOwner.grant_lease,
    "accept_lease": LeaseHolder.accept_lease,
    "is_owner": LeaseOwner.is_owner,
}
IRRELEVANT_STEPS = ("is lost", "dies", "begins", "splits", "asks for 2")
INJECTED_FAULTS = {  # name: class, method, replacement, steps to leave out
    "no wait": (LeaseOwner, "is_owner", lend_without_waiting, ()),
    "stands still unnoticed": (LeaseOwner, "observe_members", ignore_pause, IRRELEVANT_STEPS),
    "whole pool in a split": (
        LeaseOwner,
        "grant_lease",
        lend_whole_pool,
        ("is lost", "dies", "stopped", "asks for 2"),
    ),
    "forgets what is out": (LeaseOwner, "grant_lease", forget_outstanding, ()),
    "forgets an older lease": (LeaseOwner, "grant_lease", forget_older_lease, ("dies", "stopped", "splits")),
    "counts from its coming": (
        LeaseHolder,
        "accept_lease",
        count_from_arrival,
        (*IRRELEVANT_STEPS, "stopped"),
    ),
}


def search_with_fault(name: str, depth: int, **more):
    """Runs the search with an injected fault."""
    kind, method, fault, without = INJECTED_FAULTS[name]
    first = ("2 is stopped", "time", "time", "time") if fault is ignore_pause else ()
    setattr(kind, method, fault)
    try:
        return search(depth, without=without, first=first, **more)
    finally:
        setattr(kind, method, ORIGINAL_METHODS[method])


def main():
    args = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    args.add_argument("--depth", type=int, default=9)
    args.add_argument("--keys", type=int, default=1)
    args.add_argument("--apart", action="store_true")
    args.add_argument("--most", type=int, default=2_000_000)
    args.add_argument("--break", dest="fault", choices=[*INJECTED_FAULTS, "all"])
    args = args.parse_args()
    keys = tuple("ab"[: args.keys])
    for name in [None] if not args.fault else INJECTED_FAULTS if args.fault == "all" else [args.fault]:
        more = {"keys": keys, "apart": args.apart, "most": args.most}
        worlds, path = search_with_fault(name, args.depth, **more) if name else search(args.depth, **more)
        print(
            f"{name or 'as it is'}: {worlds} worlds, depth {args.depth}: "
            + ("nothing found" if path is None else " -> ".join(path)),
            flush=True,
        )


if __name__ == "__main__":
    main()
