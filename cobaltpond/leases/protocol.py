"""Lease protocol for an allowance that all gateways share without a central component. Does no I/O.

An allowance is an amount per period for one key (a limit's name and the value that it counts by). A part of
it belongs to all members in equal shares, which an isolated member can use too. The rest is a pool, which one
owner hands out in leases: the member with the highest rendezvous weight for the key among those present.
Three rules keep the sum of all sides within the allowance:

1. An owner lends at most the fraction of the pool that the members it sees, itself included, are of all
   declared members. Sides of a network partition that do not see each other at all lend no more than the pool
   together.
2. A member that becomes the owner of a key waits for one lease time before it lends: leases of an earlier
   owner have expired by then. So does an owner that was paused or has just started.
3. A holder requests and accepts leases only from the member that it considers the owner, and has one lease of
   a key at a time.

While views differ for a time D (one member believes that it is still the owner, another one already is), the
leases of both overlap for at most D. The worst overshoot at a change of owner is therefore the pool, once for
each surplus owner, for the time D (`overshoot`).
"""

from dataclasses import dataclass, field

from cobaltpond.decisions.stats import rendezvous_weight

MAX_KEYS = 4096  # keys with leases of one owner; requests beyond them are refused


def owner_of(key: str, living) -> int | None:
    """Returns the member with the highest rendezvous weight; None without members.

    Members whose views differ a little choose the same owner for nearly all keys.
    """
    return max(sorted(living), key=lambda number: rendezvous_weight(key, number), default=None)


def overshoot(pool: int, owners: int) -> int:
    """Returns the most that can be lent beyond the allowance at one moment, in units a period.

    `owners` counts the members that consider themselves the owner of a key: with one of them the result is 0.
    The overshoot lasts for as long as their views differ.
    """
    return pool * max(0, owners - 1)


@dataclass(frozen=True)
class Lease:
    """A part of the pool of one key that a holder may use for a limited time.

    `amount` is in units a period, `until` the moment of expiry in microseconds of the clock of the member
    that keeps this record. `fencing_token` is (start of the owner, number) and grows with each lease that
    this start of the owner grants.
    """

    key: str
    owner: int
    fencing_token: tuple[int, int]
    amount: int
    until: int


@dataclass
class LeaseOwner:
    """The owner's side of one member.

    `declared` is the number of members in the settings, `lease_time` is in microseconds, and `start`
    identifies this process and is part of each fencing token. Since `known_since` this member has observed
    the members without a gap.
    """

    number: int
    declared: int
    lease_time: int
    start: int
    known_since: int = 0
    views: list = field(default_factory=list)  # (since, members), of the last lease time
    # key -> {holder: [(amount, until)]}, all leases that may be in use
    outstanding: dict = field(default_factory=dict)
    requests: dict = field(default_factory=dict)  # key -> {holder: (amount, until)}, valid requests
    grant_count: int = 0
    last_observed: int | None = None

    def observe_members(self, now: int, living) -> None:
        """Records which members this one sees as present.

        It must be called at least every half lease time: a longer gap counts as a pause of the process. A
        change takes effect with the call that reports it.
        """
        if self.last_observed is None or now - self.last_observed > self.lease_time // 2:
            self.known_since, self.views = now, []  # rule 2: other owners may have lent meanwhile
        self.last_observed = now
        living = tuple(sorted(living))
        if not self.views or self.views[-1][1] != living:
            self.views.append((now, living))
        while len(self.views) > 1 and self.views[1][0] <= now - self.lease_time:
            del self.views[0]

    def is_owner(self, now: int, key: str) -> bool:
        """Returns whether this member owned the key in every view of the last lease time, without a gap in
        them.
        """
        return (
            bool(self.views)
            and now - self.known_since >= self.lease_time
            and all(owner_of(key, living) == self.number for _, living in self.views)
        )

    def grant_lease(self, now: int, key: str, holder: int, wanted: int, pool: int) -> Lease | None:
        """Grants a lease to a member that asks for `wanted` units a period.

        Returns None if this member is not the owner, may not lend yet, or has nothing left. A new lease
        replaces the holder's last one as soon as the holder receives it. No holder gets more than its fair
        share of the present requests: one that has more gets less with its next lease, and a newcomer gets
        the difference as the older lease expires.
        """
        if not self.is_owner(now, key):
            return None
        if key not in self.outstanding and len(self.outstanding) >= MAX_KEYS:
            self.drop_expired(now)
            if len(self.outstanding) >= MAX_KEYS:
                return None
        by_holder = self.outstanding.setdefault(key, {})
        for member in list(by_holder):
            by_holder[member] = [entry for entry in by_holder[member] if entry[1] > now]
            if not by_holder[member]:
                del by_holder[member]
        own_pool = pool * min(len(self.views[-1][1]), self.declared) // self.declared
        requests = {member: entry for member, entry in self.requests.get(key, {}).items() if entry[1] > now}
        requests[holder] = wanted, now + self.lease_time
        self.requests[key] = requests
        remaining = own_pool - sum(
            self.usable_amount(by_holder[member]) for member in by_holder if member != holder
        )
        amount = max(0, min(self.fair_share(requests, own_pool, holder), remaining))
        if amount == 0 and holder not in by_holder:
            return None
        self.grant_count += 1
        by_holder.setdefault(holder, []).append((amount, now + self.lease_time))
        return Lease(key, self.number, (self.start, self.grant_count), amount, now + self.lease_time)

    @staticmethod
    def fair_share(requests: dict, pool: int, holder: int) -> int:
        """Returns the holder's max-min fair share of the pool: small requests are met in full, others share
        the rest.
        """
        for n, (wanted, _, member) in enumerate(
            sorted((*entry, member) for member, entry in requests.items())
        ):
            granted = min(wanted, pool // (len(requests) - n))
            if member == holder:
                return granted
            pool -= granted
        return 0

    @staticmethod
    def usable_amount(leases: list) -> int:
        """Returns the most that one holder can use of its leases.

        It uses one of them, perhaps an older one, since it may not have received the last.
        """
        return max((amount for amount, _ in leases), default=0)

    def drop_expired(self, now: int) -> None:
        """Forgets keys whose leases have all expired."""
        for key in [
            key
            for key, by_holder in self.outstanding.items()
            if all(until <= now for leases in by_holder.values() for _, until in leases)
        ]:
            del self.outstanding[key]
            self.requests.pop(key, None)


@dataclass
class LeaseHolder:
    """The holder's side of one member; `lease_time` is in microseconds."""

    number: int
    lease_time: int
    leases: dict = field(default_factory=dict)  # key -> Lease

    def accept_lease(self, now: int, lease: Lease, living, asked_at: int) -> bool:
        """Stores a lease that answers a request of time `asked_at`; returns False if it is refused.

        The lease time counts from the request, so that a delayed answer gives a shorter lease. A lease is
        refused if its sender is not the owner in the present view, if it has expired already, if another
        owner's lease is still valid, or if its fencing token is not newer than that of the valid lease.
        """
        if owner_of(lease.key, living) != lease.owner:
            return False
        known = self.leases.get(lease.key)
        if (
            known is not None
            and known.until > now
            and (known.owner != lease.owner or known.fencing_token >= lease.fencing_token)
        ):
            return False
        until = asked_at + self.lease_time
        if until <= now:
            return False
        self.leases[lease.key] = Lease(lease.key, lease.owner, lease.fencing_token, lease.amount, until)
        return True

    def amount(self, now: int, key: str) -> int:
        """Returns the units a period that the key's lease gives now; 0 without a valid one."""
        lease = self.leases.get(key)
        return lease.amount if lease is not None and lease.until > now else 0

    def drop_expired(self, now: int) -> None:
        """Forgets expired leases."""
        for key in [key for key, lease in self.leases.items() if lease.until <= now]:
            del self.leases[key]
