"""Short messages between gateways, one UDP datagram each: late, lost, twice or out of order as it happens."""
import struct

from cobaltpond.loop import Readable
from cobaltpond.sheet.parts import split_address

FORM, MAGIC, MOST = ">2sHH", b"cp", 256                # magic, number of the sender, its length


class Peers:
    def __init__(self, loop, sheet, place, host):
        self.loop, self.host = loop, host
        self.addresses = {g.number: split_address(g.peers) for g in sheet.gateways if g.peers}
        self.numbers = {address: number for number, address in self.addresses.items()}
        self.handle = loop.kernel.datagrams(self.addresses[place.number])
        self.number, self.counts = place.number, {"heard": 0, "odd": 0}

    def tell(self, peer: int | None, data: bytes) -> bool:
        """To one gateway, or to all others (None). False where none was sent."""
        if len(data) > MOST:
            return False
        packet = struct.pack(FORM, MAGIC, self.number, len(data)) + data
        to = [peer] if peer is not None else [n for n in self.addresses if n != self.number]
        return any([self.handle.send(packet, self.addresses[n]) for n in to if n in self.addresses])

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
            if magic != MAGIC or self.numbers.get(sender) != number or not length == len(data) - head <= MOST:
                self.counts["odd"] += 1
                continue
            self.counts["heard"] += 1
            self.host.post("on_peer", number, data[head:])
