"""A search through every interleaving of a small world of leases, to a stated depth, over the real transition
code.

    .venv/bin/python bench/leases_model.py [--depth 9] [--keys 1] [--apart] [--break NAME|all]

Three members share allowances. A step is one of: time passes (a third of a lease's life), a member asks for
little or all, a message that is under way comes or is lost, a member dies or comes back, the three split or
heal, a member is stopped or goes on. What must hold after each: what all members may use of a key together is
within its pool. Views change at once on both sides of a split (one owner, for `shares.overshoot`); with
`--apart` a member's view may stay behind for a step, and the bound is the formula's. `--break` plants a fault
in the code, which the search has to find.
"""

import argparse
import sys
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cobaltpond.leases.protocol import Holder, Owner, overshoot, owner_of  # noqa: E402

LIFE, POOL, MEMBERS = 3, 6, 3
UNDER_WAY = 2  # messages at one moment
SIDES = ((0, 0, 0), (0, 0, 1), (0, 1, 0), (1, 0, 0))  # who is on which side


class World:
    def __init__(self, keys, apart):
        self.now, self.keys, self.apart = 0, keys, apart
        self.owners = [Owner(n, MEMBERS, LIFE, 0) for n in range(MEMBERS)]
        self.holders = [Holder(n, LIFE) for n in range(MEMBERS)]
        self.dead, self.stopped, self.sides, self.starts = [False] * 3, [False] * 3, 0, [0] * 3
        self.views = [tuple(range(MEMBERS))] * MEMBERS
        self.mail, self.faults = (), 0  # ("ask" or "grant", from, to, (key, wanted) or lease, at)
        self.look()
        for _ in range(LIFE):  # until owners may mint: the search begins where it matters
            self.passes()

    def clone(self):
        """What a step changes is copied, all else is shared: a search makes millions."""
        new = World.__new__(World)
        new.__dict__.update(self.__dict__)
        new.owners = []
        for owner in self.owners:
            other = Owner.__new__(Owner)
            other.__dict__.update(owner.__dict__)
            other.views = list(owner.views)
            other.outstanding = {
                key: {member: list(leases) for member, leases in row.items()}
                for key, row in owner.outstanding.items()
            }
            other.requests = {key: dict(row) for key, row in owner.requests.items()}
            new.owners.append(other)
        new.holders = [
            Holder(holder.number, holder.lease_time, dict(holder.leases)) for holder in self.holders
        ]
        new.dead, new.stopped, new.starts, new.views = (
            list(self.dead),
            list(self.stopped),
            list(self.starts),
            list(self.views),
        )
        return new

    def truth(self, n):
        """Whom member n can reach."""
        side = SIDES[self.sides]
        return tuple(
            m
            for m in range(MEMBERS)
            if m == n or side[m] == side[n] and not self.dead[m] and not self.stopped[m]
        )

    def look(self, behind=None):
        for n in range(MEMBERS):
            if not self.dead[n] and not self.stopped[n]:
                if n != behind:
                    self.views[n] = self.truth(n)
                self.owners[n].observe_members(self.now, self.views[n])

    def key(self):
        """Time only counts relative to now."""
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
        mail = tuple(
            (m[0], m[1], m[2], m[3] if m[0] == "ask" else (m[3].key, m[3].amount), m[4] - now)
            for m in self.mail
        )
        return (
            owners,
            holders,
            tuple(self.dead),
            tuple(self.stopped),
            self.sides,
            tuple(self.views),
            mail,
            self.faults,
        )

    # --- steps ----------------------------------------------------------------------------------------------

    def steps(self):
        yield "time", lambda w: w.passes()
        for n in range(MEMBERS):
            if self.dead[n]:
                yield f"{n} begins", lambda w, n=n: w.begins(n)
                continue
            if self.stopped[n]:
                yield f"{n} goes on", lambda w, n=n: w.goes_on(n)
                continue
            for key in self.keys if len(self.mail) < UNDER_WAY else ():
                for wanted in (2, POOL):
                    yield f"{n} asks for {wanted} of {key}", lambda w, n=n, k=key, m=wanted: w.asks(n, k, m)
            if self.faults < 2:
                yield f"{n} dies", lambda w, n=n: w.dies(n)
                yield f"{n} is stopped", lambda w, n=n: w.stops(n)
        for at in range(len(self.mail)):
            yield f"comes: {self.mail[at][:3]}", lambda w, at=at: w.comes(at)
            yield f"is lost: {self.mail[at][:3]}", lambda w, at=at: w.loses(at)
        if self.sides:
            yield "heals", lambda w: w.split(0)
        elif self.faults < 2:
            for side in (1, 2, 3):
                yield f"splits {SIDES[side]}", lambda w, side=side: w.split(side)
                if self.apart:
                    for n in range(MEMBERS):
                        yield (
                            f"splits {SIDES[side]}, {n} sees it late",
                            lambda w, side=side, n=n: w.split(side, n),
                        )

    def passes(self):
        self.now += 1
        self.look()

    def asks(self, n, key, wanted):
        owner = owner_of(key, self.views[n])
        if owner == n:
            lease = self.owners[n].grant_lease(self.now, key, n, wanted, POOL)
            if lease is not None:
                self.holders[n].accept_lease(self.now, lease, self.views[n], self.now)
        else:
            self.mail += (("ask", n, owner, (key, wanted), self.now),)

    def taken(self, at):
        mail, self.mail = self.mail[at], self.mail[:at] + self.mail[at + 1 :]
        return mail

    def comes(self, at):
        what, sender, to, body, asked_at = self.taken(at)
        if to not in self.truth(sender) or self.dead[to] or self.stopped[to]:
            return
        if what == "ask":
            lease = self.owners[to].grant_lease(self.now, body[0], sender, body[1], POOL)
            if lease is not None:
                self.mail += (("grant", to, sender, lease, asked_at),)
        else:
            self.holders[to].accept_lease(self.now, body, self.views[to], asked_at)

    def loses(self, at):
        self.taken(at)

    def dies(self, n):
        self.faults += 1
        self.dead[n] = True
        self.holders[n] = Holder(n, LIFE)
        self.look()

    def begins(self, n):
        self.dead[n], self.starts[n] = False, self.starts[n] + 1
        self.owners[n] = Owner(n, MEMBERS, LIFE, self.starts[n])
        self.look()

    def stops(self, n):
        self.faults += 1
        self.stopped[n] = True
        self.look()

    def goes_on(self, n):
        """What it holds it may still use for the moment in which it goes on: its clock tells it at the next
        look."""
        self.stopped[n] = False
        self.look()

    def split(self, side, behind=None):
        self.faults += side > 0
        self.sides = side
        self.look(behind)

    # --- what must hold -------------------------------------------------------------------------------------

    def wrong(self):
        for key in self.keys:
            used = sum(h.amount(self.now, key) for n, h in enumerate(self.holders) if not self.dead[n])
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
    """(worlds visited, None) or (worlds, the steps to the first breach and what it is). Breadth first: the
    first breach is one of the shortest. `without`: words of steps that are left out, `first`: steps taken
    before, to look further down."""
    begin = World(keys, apart)
    for name in first:
        dict(begin.steps())[name](begin)
    seen, queue = {begin.key(): True}, deque([(begin, tuple(first))])
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
            trouble = after.wrong()
            if trouble is not None:
                return len(seen), (*path, name, trouble)
            if len(seen) >= most:
                return len(seen), None
            queue.append((after, (*path, name)))
    return len(seen), None


# --- breaks planted on purpose ------------------------------------------------------------------------------


def no_wait(self, now, key):
    """A new owner mints at once."""
    return owner_of(key, self.views[-1][1]) == self.number


def no_standing_still(self, now, living):
    """One that stood still goes on as if it had not."""
    self.last_observed = now if self.last_observed is not None else None
    REAL["observe_members"](self, now, living)


def whole_pool(self, now, key, holder, wanted, pool):
    """A side of a split mints all of it."""
    return REAL["grant_lease"](
        self, now, key, holder, wanted, pool * self.declared // max(1, len(self.views[-1][1]))
    )


def forgets(self, now, key, holder, wanted, pool):
    """What is lent already is not counted."""
    self.outstanding.pop(key, None)
    return REAL["grant_lease"](self, now, key, holder, wanted, pool)


def forgets_the_older(self, now, key, holder, wanted, pool):
    """A smaller lease counts at once, though its holder may not have heard of it."""
    lease = REAL["grant_lease"](self, now, key, holder, wanted, pool)
    if lease is not None:
        self.outstanding[key][holder] = self.outstanding[key][holder][-1:]
    return lease


def late_counts(self, now, lease, living, asked_at):
    """A lease counts from when it comes."""
    return REAL["accept_lease"](self, now, lease, living, now)


REAL = {
    "observe_members": Owner.observe_members,
    "grant_lease": Owner.grant_lease,
    "accept_lease": Holder.accept_lease,
    "is_owner": Owner.is_owner,
}
CALM = ("is lost", "dies", "begins", "splits", "asks for 2")
BREAKS = {  # class, method, the fault; what the search leaves out
    "no wait": (Owner, "is_owner", no_wait, ()),
    "stands still unnoticed": (Owner, "observe_members", no_standing_still, CALM),
    "whole pool in a split": (Owner, "grant_lease", whole_pool, ("is lost", "dies", "stopped", "asks for 2")),
    "forgets what is out": (Owner, "grant_lease", forgets, ()),
    "forgets an older lease": (Owner, "grant_lease", forgets_the_older, ("dies", "stopped", "splits")),
    "counts from its coming": (Holder, "accept_lease", late_counts, (*CALM, "stopped")),
}


def broken(name: str, depth: int, **more):
    kind, method, fault, without = BREAKS[name]
    first = ("2 is stopped", "time", "time", "time") if fault is no_standing_still else ()
    setattr(kind, method, fault)
    try:
        return search(depth, without=without, first=first, **more)
    finally:
        setattr(kind, method, REAL[method])


def main():
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--depth", type=int, default=9)
    words.add_argument("--keys", type=int, default=1)
    words.add_argument("--apart", action="store_true")
    words.add_argument("--most", type=int, default=2_000_000)
    words.add_argument("--break", dest="fault", choices=[*BREAKS, "all"])
    words = words.parse_args()
    keys = tuple("ab"[: words.keys])
    for name in [None] if not words.fault else BREAKS if words.fault == "all" else [words.fault]:
        more = {"keys": keys, "apart": words.apart, "most": words.most}
        worlds, path = broken(name, words.depth, **more) if name else search(words.depth, **more)
        print(
            f"{name or 'as it is'}: {worlds} worlds, depth {words.depth}: "
            + ("nothing found" if path is None else " -> ".join(path)),
            flush=True,
        )


if __name__ == "__main__":
    main()
