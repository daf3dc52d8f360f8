"""Short messages between gateways, one UDP datagram each: late, lost, twice or out of order as it happens."""

import struct

from cobaltpond.loop import Readable

FORM, MAGIC = ">2sHH", b"cp"  # magic, number of the sender, length of what it says
MEMBERS = b"cm"  # the magic of what membership says, where there is any
MOST = 256  # bytes of a datagram, all in all


class Peers:
    def __init__(self, loop, addresses: dict[int, tuple], listen: tuple, number: int, host, everyone=None):
        """`addresses`: of every gateway, by number; `everyone`: one that reaches them all, where there is."""
        self.loop, self.host, self.addresses, self.everyone = loop, host, addresses, everyone
        self.numbers = {address: number for number, address in addresses.items()}
        self.handle = loop.kernel.open_datagrams(listen)
        self.number, self.counts, self.on_membership = (
            number,
            {"heard": 0, "odd": 0},
            None,
        )  # takes (number, data)

    def send_to(self, peer: int | None, data: bytes) -> bool:
        """To one gateway, or to all others (None). False where none was sent."""
        packet = self.packet(MAGIC, data)
        if len(packet) > MOST:
            return False
        if peer is None and self.everyone is not None:
            return self.handle.send(packet, self.everyone)
        to = [peer] if peer is not None else [n for n in self.addresses if n != self.number]
        return any([self.handle.send(packet, self.addresses[n]) for n in to if n in self.addresses])

    def send_membership(self, peer: int, data: bytes) -> bool:
        """One datagram of membership."""
        return peer in self.addresses and self.handle.send(self.packet(MEMBERS, data), self.addresses[peer])

    def packet(self, magic: bytes, data: bytes) -> bytes:
        return struct.pack(FORM, magic, self.number, len(data)) + data

    def listen(self):
        """For ever; what does not come from a gateway of the sheet is counted and dropped."""
        head = struct.calcsize(FORM)
        while True:
            got = self.handle.recv(2048)
            if got is None:
                yield Readable(self.handle)
                continue
            data, sender = got
            if len(data) < head:
                self.counts["odd"] += 1
                continue
            magic, number, length = struct.unpack(FORM, data[:head])
            known = magic == MAGIC or magic == MEMBERS and self.on_membership is not None
            if (
                not known
                or self.numbers.get(sender) != number
                or length != len(data) - head
                or len(data) > MOST
            ):
                self.counts["odd"] += 1
                continue
            self.counts["heard"] += 1
            if magic == MEMBERS:
                self.on_membership(number, data[head:])
            else:
                self.host.post_event("on_peer", number, data[head:])
