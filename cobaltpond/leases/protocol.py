"""One allowance shared by all gateways, without a central part: what is each one's own, and what is lent.
Free of I/O.

An allowance is so much a period, for one key (a limit's name and the value that it counts by). A part of it
is everybody's own in equal shares: whoever is alone has that. The rest is a pool, handed out in leases by one
owner: the member with the highest lot for the key among those who are there. Three rules keep all sides
together within it:

1. An owner mints no more than that part of the pool which those it sees, itself counted, are of all declared:
   sides of a split that see nobody of each other mint no more than the pool together.
2. A member that becomes the owner of a key waits for one life of a lease before it mints: what another one
handed
   out has run out by then. So does one that stood still, or has just begun.
3. A holder asks, and takes from, only whom it holds for the owner itself, and has one lease of a key at a
time.

Where views differ for a time D (one believes to be the owner still, another one already), what both hand out
overlaps for no longer than D: the worst overshoot at a change of owner is the pool, once for each owner too
many, for D (`overshoot`).
"""

from dataclasses import dataclass, field

from cobaltpond.decisions.stats import rendezvous_weight

KEYS_MOST = 4096  # of which an owner has leases out; who asks for more gets none


def owner_of(key: str, living) -> int | None:
    """The member with the highest lot; views that differ little choose nearly the same."""
    return max(sorted(living), key=lambda number: rendezvous_weight(key, number), default=None)


def overshoot(pool: int, owners: int) -> int:
    """The most that can be out beyond the allowance at one moment, in units of a period, while so many
    members hold themselves for the owner of a key; nothing where there is one. It lasts for as long as their
    views differ."""
    return pool * max(0, owners - 1)


@dataclass(frozen=True)
class Lease:
    """`amount`: units a period, from the moment it is taken to `until` on the holder's clock.
    `fencing_token`: grows with each lease that this start of the owner hands out."""

    key: str
    owner: int
    fencing_token: tuple[int, int]
    amount: int
    until: int


@dataclass
class Owner:
    """One member's side as an owner. `declared`: members of the sheet; `life`: of a lease, microseconds;
    `start`: of this process, part of every fence; `known_since`: since when what we know has no gap."""

    number: int
    declared: int
    life: int
    start: int
    known_since: int = 0
    views: list = field(default_factory=list)  # (since, who is there), as far back as a life reaches
    out: dict = field(default_factory=dict)  # key -> {holder: [(amount, until)]}, all that may be in use
    claims: dict = field(default_factory=dict)  # key -> {who asked: (how much, until when that counts)}
    count: int = 0
    looked: int | None = None

    def observe_members(self, now: int, living) -> None:
        """Our view of who is there. Called at each change, and often enough to notice that we stood still."""
        if self.looked is None or now - self.looked > self.life // 2:
            self.known_since, self.views = now, []  # what others did meanwhile, we cannot know: rule 2
        self.looked = now
        living = tuple(sorted(living))
        if not self.views or self.views[-1][1] != living:
            self.views.append((now, living))
        while len(self.views) > 1 and self.views[1][0] <= now - self.life:
            del self.views[0]

    def is_owner(self, now: int, key: str) -> bool:
        """Were we the key's owner by every view of the last life of a lease?"""
        return (
            bool(self.views)
            and now - self.known_since >= self.life
            and all(owner_of(key, living) == self.number for _, living in self.views)
        )

    def grant_lease(self, now: int, key: str, holder: int, wanted: int, pool: int) -> Lease | None:
        """A member asks for so much. None: not the owner, not yet, or nothing left. A new lease takes the
        place of the holder's last one, once it has heard of it. Nobody gets more than its fair part of what
        is asked for now: who has more gets less with its next lease, and who came late gets it as that runs
        out."""
        if not self.is_owner(now, key):
            return None
        if key not in self.out and len(self.out) >= KEYS_MOST:
            self.forget(now)
            if len(self.out) >= KEYS_MOST:
                return None
        row = self.out.setdefault(key, {})
        for who in list(row):
            row[who] = [told for told in row[who] if told[1] > now]
            if not row[who]:
                del row[who]
        mine = pool * min(len(self.views[-1][1]), self.declared) // self.declared
        claims = {who: told for who, told in self.claims.get(key, {}).items() if told[1] > now}
        claims[holder] = wanted, now + self.life
        self.claims[key] = claims
        left = mine - sum(self.counted(row[who]) for who in row if who != holder)
        amount = max(0, min(self.fair(claims, mine, holder), left))
        if amount == 0 and holder not in row:
            return None
        self.count += 1
        row.setdefault(holder, []).append((amount, now + self.life))
        return Lease(key, self.number, (self.start, self.count), amount, now + self.life)

    @staticmethod
    def fair(claims: dict, pool: int, holder: int) -> int:
        """Its part of the pool: the smallest claims are met in full, what is left is shared evenly by the
        others."""
        for n, (wanted, _, who) in enumerate(sorted((*told, who) for who, told in claims.items())):
            part = min(wanted, pool // (len(claims) - n))
            if who == holder:
                return part
            pool -= part
        return 0

    @staticmethod
    def counted(leases: list) -> int:
        """Of one holder's: it uses one of them, perhaps an older one, as it may not have heard of the
        last."""
        return max((amount for amount, _ in leases), default=0)

    def forget(self, now: int) -> None:
        """Keys of which no lease is out any more."""
        for key in [
            key
            for key, row in self.out.items()
            if all(until <= now for leases in row.values() for _, until in leases)
        ]:
            del self.out[key]
            self.claims.pop(key, None)


@dataclass
class Holder:
    """One member's side as a holder."""

    number: int
    life: int
    leases: dict = field(default_factory=dict)  # key -> Lease

    def accept_lease(self, now: int, lease: Lease, living, asked_at: int) -> bool:
        """An answer to what we asked at `asked_at`: it counts from then, so that a late one is short. Not
        from one that we do not hold for the owner, nor one older than what we have from the same start of
        it."""
        if owner_of(lease.key, living) != lease.owner:
            return False
        known = self.leases.get(lease.key)
        if (
            known is not None
            and known.until > now
            and (known.owner != lease.owner or known.fencing_token >= lease.fencing_token)
        ):
            return False
        until = asked_at + self.life
        if until <= now:
            return False
        self.leases[lease.key] = Lease(lease.key, lease.owner, lease.fencing_token, lease.amount, until)
        return True

    def amount(self, now: int, key: str) -> int:
        lease = self.leases.get(key)
        return lease.amount if lease is not None and lease.until > now else 0

    def forget(self, now: int) -> None:
        for key in [key for key, lease in self.leases.items() if lease.until <= now]:
            del self.leases[key]
