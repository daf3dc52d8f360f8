"""UDP sockets of the simulated network: datagrams are delayed, lost, duplicated or reordered as on a link."""

from collections import deque

from cobaltpond.sim.network import Handle

MAX_UNREAD_DATAGRAMS = 256  # receive queue of one socket


class Datagrams(Handle):
    """A bound UDP socket. `address` is a (host, port) pair that no other socket is bound to."""

    def __init__(self, kernel, address):
        super().__init__(kernel)
        self.local, self.received = address, deque()
        kernel.network.datagram_sockets[address] = self

    def readable(self) -> bool:
        """Return whether a datagram can be received."""
        return bool(self.received)

    def writable(self) -> bool:
        """Return True: a datagram can always be sent."""
        return True

    def recv(self, size: int):
        """Return the oldest datagram, cut to `size` bytes, and its sender; None where there is none."""
        if not self.received or self.closed:
            return None
        data, address = self.received.popleft()
        return data[:size], address

    def send(self, data: bytes, address) -> bool:
        """Send one datagram; return False only where this socket is closed.

        A datagram that is lost, or sent to an address without a socket, counts as sent.
        """
        if self.closed:
            return False
        network, address = self.kernel.network, tuple(address)
        target = network.datagram_sockets.get(address)
        if target is None:
            return True
        link = network.link(self.kernel.process.name, target.kernel.process.name)
        if link.is_blocked(target.kernel.process.name) or network.rng.random() < link.loss_share:
            return True
        for _ in range(2 if network.rng.random() < link.duplicate_share else 1):
            delay = network.delay(link)
            if network.rng.random() < link.reorder_share:
                delay += network.rng.randrange(1_000, 20_000)
            network.world.after(delay, lambda: self.arrive(network, address, bytes(data)))
        return True

    def arrive(self, network, address, data) -> None:
        """Deliver a datagram to the socket at `address`; it is dropped where the receive queue is full."""
        target = network.datagram_sockets.get(address)
        if target is not None and len(target.received) < MAX_UNREAD_DATAGRAMS:
            network.world.record_event("datagram", target.kernel.process.name, len(data))
            if network.tap is not None:
                network.tap("datagram", self.kernel.process.name, target.kernel.process.name, data, self)
            target.received.append((data, self.local))
            target.mark_ready()

    def on_close(self) -> None:
        """Unbind the address."""
        if self.kernel.network.datagram_sockets.get(self.local) is self:
            del self.kernel.network.datagram_sockets[self.local]
