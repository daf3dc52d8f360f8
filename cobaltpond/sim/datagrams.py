"""Datagrams of the simulated network: late, lost, twice or out of order, as the link between two has it."""

from collections import deque

from cobaltpond.sim.network import Handle

DATAGRAMS = 256  # of a socket, unread


class Datagrams(Handle):
    def __init__(self, kernel, address):
        super().__init__(kernel)
        self.local, self.inbox = address, deque()
        kernel.network.bound[address] = self

    def readable(self) -> bool:
        return bool(self.inbox)

    def writable(self) -> bool:
        return True

    def recv(self, size: int):
        if not self.inbox or self.closed:
            return None
        data, address = self.inbox.popleft()
        return data[:size], address

    def send(self, data: bytes, address) -> bool:
        if self.closed:
            return False
        network, address = self.kernel.network, tuple(address)
        target = network.bound.get(address)
        if target is None:
            return True
        link = network.link(self.kernel.process.name, target.kernel.process.name)
        if link.blocked(target.kernel.process.name) or network.chance.random() < link.lose:
            return True
        for _ in range(2 if network.chance.random() < link.repeat else 1):
            delay = network.delay(link)
            if network.chance.random() < link.shuffle:
                delay += network.chance.randrange(1_000, 20_000)
            network.world.after(delay, lambda: self.arrive(network, address, bytes(data)))
        return True

    def arrive(self, network, address, data) -> None:
        target = network.bound.get(address)
        if target is not None and len(target.inbox) < DATAGRAMS:
            network.world.record_event("datagram", target.kernel.process.name, len(data))
            if network.tap is not None:
                network.tap("datagram", self.kernel.process.name, target.kernel.process.name, data, self)
            target.inbox.append((data, self.local))
            target.mark_ready()

    def released(self) -> None:
        if self.kernel.network.bound.get(self.local) is self:
            del self.kernel.network.bound[self.local]
