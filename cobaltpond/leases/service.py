"""Requests and grants leases between running gateways, in datagrams, ahead of the demand."""

from hashlib import blake2b

from cobaltpond.leases.protocol import Lease, LeaseHolder, LeaseOwner, owner_of
from cobaltpond.loop import Sleep
from cobaltpond.members import wire

ROUNDS_PER_LEASE = 4  # rounds of requests in a lease time
MAX_REQUESTS_PER_ROUND = 64  # values requested in a round: those with the highest demand
# `SMOOTHING`: weight of the latest demand in the smoothed one. `HEADROOM`: factor between the smoothed demand
# and the rate that is requested.
SMOOTHING, HEADROOM = 0.5, 1.25


class Leases:
    """The lease service of one gateway.

    `limits` is a `limits.compiled.CompiledLimits`, `names` are the fleet-wide limits in the order of
    the settings, which is the same at all gateways, and `pools` maps each to the part that is lent, in
    thousandths a second. `members` is a `members.service.Members`, `lease_time` is in microseconds.
    """

    def __init__(
        self, loop, number: int, declared: int, members, limits, names: list, pools: dict, lease_time: int
    ):
        self.loop, self.number, self.members, self.limits = loop, number, members, limits
        self.names, self.pools, self.lease_time = names, pools, lease_time
        self.owner = LeaseOwner(number, declared, lease_time, members.view.start & 0xFFFFFFFF)
        self.holder, self.demand, self.values = LeaseHolder(number, lease_time), {}, {}
        self.counts = {"asked": 0, "granted": 0, "taken": 0, "refused": 0, "rows": 0}
        members.view.on_lease_message = self.handle_message

    def key(self, name: str, value) -> tuple[int, int]:
        """Returns (index of the limit, digest of the value), which fits a datagram and is the same at all
        gateways.

        It remembers the value of the digest.
        """
        digest = int.from_bytes(blake2b(repr(value).encode(), digest_size=8).digest(), "big")
        self.values[self.names.index(name), digest] = value
        return self.names.index(name), digest

    def living(self) -> list[int]:
        """Returns the numbers of the present members, sorted."""
        return sorted(self.members.view.living())

    def run(self):
        """Requests and expires leases, `ROUNDS_PER_LEASE` times in a lease time. Runs until cancelled."""
        while True:
            yield Sleep(self.lease_time // ROUNDS_PER_LEASE)
            now = self.loop.now()
            self.owner.observe_members(now, self.living())
            self.owner.drop_expired(now)
            self.update_demand()
            self.request_leases(now)
            self.expire_leases(now)

    def update_demand(self) -> None:
        """Smooths the demand for each value, in thousandths a second, and drops values below 10 of them."""
        hit_counts, period = self.limits.take_demand(), self.lease_time // ROUNDS_PER_LEASE
        for counter in {**dict.fromkeys(self.demand), **dict.fromkeys(hit_counts)}:
            rate = hit_counts.get(counter, 0) * 1_000_000_000 // period
            self.demand[counter] = int(self.demand.get(counter, rate) * (1 - SMOOTHING) + rate * SMOOTHING)
            if self.demand[counter] < 10:
                del self.demand[counter]

    def request_leases(self, now: int) -> None:
        """Requests the rate that exceeds this gateway's own part, for the values with the highest demand."""
        rows = {}
        for (name, value), rate in sorted(self.demand.items(), key=lambda one: -one[1])[
            :MAX_REQUESTS_PER_ROUND
        ]:
            limit = self.limits.by_name[name]
            extra_rate = min(int(rate * HEADROOM), limit.rate) - self.limits.own_rate(limit)
            if extra_rate <= 0:
                continue
            limit_index, digest = self.key(name, value)
            key, living = f"{limit_index}/{digest}", self.living()
            owner = owner_of(key, living)
            self.counts["asked"] += 1
            if owner == self.number:
                lease = self.owner.grant_lease(now, key, self.number, extra_rate, self.pools[name])
                if lease is not None and self.holder.accept_lease(now, lease, living, now):
                    self.apply_lease(now, lease)
            elif owner is not None:
                rows.setdefault(owner, []).append(
                    (limit_index, digest, extra_rate, now // 1000 & 0xFFFFFFFF, 0)
                )
        for owner, requests in rows.items():
            for at in range(0, len(requests), wire.MAX_LEASE_ROWS):
                payload = wire.encode_leases(requests[at : at + wire.MAX_LEASE_ROWS])
                self.members.view.send(wire.LEASE_REQUEST, owner, 0, extra_fields=payload)
        self.members.flush()

    def apply_lease(self, now: int, lease: Lease) -> None:
        """Adds the amount of an accepted lease to this gateway's own rate of the limit.

        It replaces the amount of an earlier lease.
        """
        limit_index, _, digest = lease.key.partition("/")
        value = self.values.get((int(limit_index), int(digest)))
        self.counts["taken"] += 1
        self.limits.set_lent_rate(now, self.names[int(limit_index)], value, lease.amount)

    def handle_message(self, kind: int, sender: int, sequence: int, rows: list) -> None:
        """Answers lease requests as an owner, or accepts the leases of an owner's answer."""
        now, replies = self.loop.now(), []
        for limit_index, digest, amount, asked_ms, count in rows:
            if limit_index >= len(self.names):
                continue
            key = f"{limit_index}/{digest}"
            self.counts["rows"] += 1
            if kind == wire.LEASE_REQUEST:
                lease = self.owner.grant_lease(now, key, sender, amount, self.pools[self.names[limit_index]])
                if lease is None:
                    self.counts["refused"] += 1
                else:
                    self.counts["granted"] += 1
                    replies.append((limit_index, digest, lease.amount, asked_ms, lease.fencing_token[1]))
            elif (limit_index, digest) in self.values:
                start = self.members.view.members[sender].start & 0xFFFFFFFF
                # The answer repeats the time of the request, by this gateway's own clock.
                request_age = (now // 1000 - asked_ms & 0xFFFFFFFF) * 1000
                lease = Lease(key, sender, (start, count), amount, 0)
                if request_age < self.lease_time and self.holder.accept_lease(
                    now, lease, self.living(), now - request_age
                ):
                    self.apply_lease(now, lease)
        if replies:
            self.members.view.send(
                wire.LEASE_REPLY, sender, sequence, extra_fields=wire.encode_leases(replies)
            )

    def expire_leases(self, now: int) -> None:
        """Takes the amounts of expired leases back from the limits."""
        for key, lease in list(self.holder.leases.items()):
            if lease.until <= now:
                limit_index, _, digest = key.partition("/")
                self.limits.set_lent_rate(
                    now,
                    self.names[int(limit_index)],
                    self.values.pop((int(limit_index), int(digest)), None),
                    0,
                )
        self.holder.drop_expired(now)

    def status(self) -> dict:
        """Returns the fields of the status page; `lent` in thousandths a second."""
        now = self.loop.now()
        return {
            **self.counts,
            "held": len(self.holder.leases),
            "lent": sum(self.holder.amount(now, key) for key in self.holder.leases),
            "out": len(self.owner.outstanding),
        }
