"""Leases between running gateways: asks owners ahead by what is wanted here, answers as an owner, in
datagrams."""

from hashlib import blake2b

from cobaltpond.leases.protocol import Holder, Lease, Owner, owner_of
from cobaltpond.loop import Sleep
from cobaltpond.members import wire

ROUNDS = 4  # looks in a life
ASKED_MOST = 64  # values asked for in a round: those most wanted
SMOOTH, AHEAD = 0.5, 1.25  # of what was wanted lately; asked for so much more


class Leases:
    """`limits`: the compiled ones; `names`: of those of the whole fleet, in the sheet's order, the same
    everywhere; `pools`: thousandths a second that are lent of each. `members`: `members.service.Members`."""

    def __init__(
        self, loop, number: int, declared: int, members, limits, names: list, pools: dict, life: int
    ):
        self.loop, self.number, self.members, self.limits = loop, number, members, limits
        self.names, self.pools, self.life = names, pools, life
        self.owner = Owner(number, declared, life, members.view.start & 0xFFFFFFFF)
        self.holder, self.wanted, self.values = Holder(number, life), {}, {}
        self.counts = {"asked": 0, "granted": 0, "taken": 0, "refused": 0, "rows": 0}
        members.view.on_lease_message = self.handle_message

    def key(self, name: str, value) -> tuple[int, int]:
        """(place of the limit, digest of the value): as short as a datagram needs it, the same at all
        gateways."""
        digest = int.from_bytes(blake2b(repr(value).encode(), digest_size=8).digest(), "big")
        self.values[self.names.index(name), digest] = value
        return self.names.index(name), digest

    def living(self) -> list[int]:
        return sorted(self.members.view.living())

    def run(self):
        """For ever."""
        while True:
            yield Sleep(self.life // ROUNDS)
            now = self.loop.now()
            self.owner.observe_members(now, self.living())
            self.owner.forget(now)
            self.update_demand()
            self.request_leases(now)
            self.expire_leases(now)

    def update_demand(self) -> None:
        """What is wanted of each value, thousandths a second, smoothed; forgotten once nothing is."""
        seen, period = self.limits.take_demand(), self.life // ROUNDS
        for mark in {**dict.fromkeys(self.wanted), **dict.fromkeys(seen)}:
            rate = seen.get(mark, 0) * 1_000_000_000 // period
            self.wanted[mark] = int(self.wanted.get(mark, rate) * (1 - SMOOTH) + rate * SMOOTH)
            if self.wanted[mark] < 10:
                del self.wanted[mark]

    def request_leases(self, now: int) -> None:
        rows = {}
        for (name, value), rate in sorted(self.wanted.items(), key=lambda one: -one[1])[:ASKED_MOST]:
            limit = self.limits.by_name[name]
            more = min(int(rate * AHEAD), limit.rate) - self.limits.own_rate(limit)
            if more <= 0:
                continue
            place, digest = self.key(name, value)
            key, living = f"{place}/{digest}", self.living()
            owner = owner_of(key, living)
            self.counts["asked"] += 1
            if owner == self.number:
                lease = self.owner.grant_lease(now, key, self.number, more, self.pools[name])
                if lease is not None and self.holder.accept_lease(now, lease, living, now):
                    self.apply_lease(now, lease)
            elif owner is not None:
                rows.setdefault(owner, []).append((place, digest, more, now // 1000 & 0xFFFFFFFF, 0))
        for owner, asked in rows.items():
            for at in range(0, len(asked), wire.LEASES_MOST):
                some = wire.leases_field(asked[at : at + wire.LEASES_MOST])
                self.members.view.send(wire.LEASE_ASK, owner, 0, more=some)
        self.members.flush()

    def apply_lease(self, now: int, lease: Lease) -> None:
        place, _, digest = lease.key.partition("/")
        value = self.values.get((int(place), int(digest)))
        self.counts["taken"] += 1
        self.limits.set_lent_rate(now, self.names[int(place)], value, lease.amount)

    def handle_message(self, kind: int, sender: int, sequence: int, rows: list) -> None:
        """Questions to us as an owner, or answers of one."""
        now, told = self.loop.now(), []
        for place, digest, amount, asked, count in rows:
            if place >= len(self.names):
                continue
            key = f"{place}/{digest}"
            self.counts["rows"] += 1
            if kind == wire.LEASE_ASK:
                lease = self.owner.grant_lease(now, key, sender, amount, self.pools[self.names[place]])
                if lease is None:
                    self.counts["refused"] += 1
                else:
                    self.counts["granted"] += 1
                    told.append((place, digest, lease.amount, asked, lease.fencing_token[1]))
            elif (place, digest) in self.values:
                start = self.members.view.members[sender].start & 0xFFFFFFFF
                ago = (now // 1000 - asked & 0xFFFFFFFF) * 1000  # our own question's time comes back to us
                lease = Lease(key, sender, (start, count), amount, 0)
                if ago < self.life and self.holder.accept_lease(now, lease, self.living(), now - ago):
                    self.apply_lease(now, lease)
        if told:
            self.members.view.send(wire.LEASE_REPLY, sender, sequence, more=wire.leases_field(told))

    def expire_leases(self, now: int) -> None:
        """What has run out is given back to the limits."""
        for key, lease in list(self.holder.leases.items()):
            if lease.until <= now:
                place, _, digest = key.partition("/")
                self.limits.set_lent_rate(
                    now, self.names[int(place)], self.values.pop((int(place), int(digest)), None), 0
                )
        self.holder.forget(now)

    def status(self) -> dict:
        now = self.loop.now()
        return {
            **self.counts,
            "held": len(self.holder.leases),
            "lent": sum(self.holder.amount(now, key) for key in self.holder.leases),
            "out": len(self.owner.out),
        }
