"""Datagrams between gateways over UDP: they may be late, lost, duplicated or reordered."""

import struct

from cobaltpond.loop import NextTurn, Readable, TurnShare

# `HEADER_FORMAT`: struct format of the header (magic, number of the sender, length of the payload). `MAGIC`:
# the magic of a message of the decisions.
HEADER_FORMAT, MAGIC = ">2sHH", b"cp"
MEMBERSHIP_MAGIC = b"cm"  # the magic of membership datagrams, which are accepted only where membership runs
MAX_DATAGRAM_BYTES = 256  # header included
MAX_DATAGRAMS_PER_TURN = 64  # that are read in one turn of the loop; the others wait in the socket


class Peers:
    """The socket for messages to and from the other gateways.

    `addresses`: the address of every gateway, by number. `broadcast`: an address that reaches all of them,
    None where there is none. `host` receives the messages as `on_peer` events.
    """

    def __init__(self, loop, addresses: dict[int, tuple], listen: tuple, number: int, host, broadcast=None):
        self.loop, self.host, self.addresses, self.broadcast = loop, host, addresses, broadcast
        self.numbers = {address: number for number, address in addresses.items()}
        self.handle = loop.kernel.open_datagrams(listen)
        self.number = number
        self.counts = {"heard": 0, "odd": 0}
        self.on_membership = None  # called with (number of the sender, payload)

    def send_to(self, peer: int | None, data: bytes) -> bool:
        """Sends to one gateway, or to all others where `peer` is None. Returns False where nothing
        was sent.
        """
        packet = self.encode(MAGIC, data)
        if len(packet) > MAX_DATAGRAM_BYTES:
            return False
        if peer is None and self.broadcast is not None:
            return self.handle.send(packet, self.broadcast)
        recipients = [peer] if peer is not None else [n for n in self.addresses if n != self.number]
        return any([self.handle.send(packet, self.addresses[n]) for n in recipients if n in self.addresses])

    def send_membership(self, peer: int, data: bytes) -> bool:
        """Sends one membership datagram. Returns False where the peer is unknown or nothing was sent."""
        return peer in self.addresses and self.handle.send(
            self.encode(MEMBERSHIP_MAGIC, data), self.addresses[peer]
        )

    def encode(self, magic: bytes, data: bytes) -> bytes:
        """Encodes a datagram with this gateway as its sender."""
        return struct.pack(HEADER_FORMAT, magic, self.number, len(data)) + data

    def listen(self):
        """Receives datagrams until cancelled.

        One that is malformed, or not from a configured gateway, is counted and dropped.
        """
        turn_share = TurnShare(self.loop, MAX_DATAGRAMS_PER_TURN)
        while True:
            if turn_share.is_used_up:
                yield NextTurn()
            received = self.handle.recv(2048)
            if received is None:
                yield Readable(self.handle)
                continue
            self.receive(*received)
            turn_share.count()

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handles one datagram."""
        header_size = struct.calcsize(HEADER_FORMAT)
        if not header_size <= len(data) <= MAX_DATAGRAM_BYTES:
            self.counts["odd"] += 1
            return
        magic, number, length = struct.unpack(HEADER_FORMAT, data[:header_size])
        known = magic == MAGIC or magic == MEMBERSHIP_MAGIC and self.on_membership is not None
        if not known or self.numbers.get(sender) != number or length != len(data) - header_size:
            self.counts["odd"] += 1
            return
        self.counts["heard"] += 1
        if magic == MEMBERSHIP_MAGIC:
            self.on_membership(number, data[header_size:])
        else:
            self.host.post_event("on_peer", number, data[header_size:])
