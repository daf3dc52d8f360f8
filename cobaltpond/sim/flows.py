"""One direction of a simulated TCP stream: segments in order, delayed, held back and retransmitted."""

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cobaltpond.sim.network import Network, Stream

FLOW_BUFFER_BYTES = 128 << 10  # of one flow, in flight or unread


class Flow:
    """One direction of a stream: (kind, data) segments in order.

    `in_flight_bytes` counts the bytes that were sent and that the reader has not read.
    """

    def __init__(self, network: "Network", source: "Stream", sink: "Stream"):
        self.network, self.source, self.sink, self.link = network, source, sink, source.link
        self.segments, self.in_flight_bytes, self.ready_at, self.delivery_scheduled = deque(), 0, 0, False

    def free_bytes(self) -> int:
        """Return how many bytes the sender may add now."""
        return FLOW_BUFFER_BYTES - self.in_flight_bytes

    def send(self, kind: str, data: bytes = b"") -> None:
        """Queue a segment, split at random places."""
        rng = self.network.rng
        self.in_flight_bytes += len(data)
        while len(data) > 1 and rng.random() < 0.08:
            at = rng.randrange(1, len(data))
            self.segments.append((kind, data[:at]))
            data = data[at:]
        self.segments.append((kind, data))
        self.pump()

    def reset(self) -> None:
        """Drop what has not arrived, and reset the peer."""
        self.segments.clear()
        self.send("reset")

    def pump(self) -> None:
        """Schedule the arrival of the next segments."""
        if self.delivery_scheduled or not self.segments:
            return
        self.delivery_scheduled = True
        self.network.world.after(self.network.delay(self.link), self.arrive)

    def arrive(self) -> None:
        """Deliver the first segment, and by chance more, unless a partition holds them back."""
        self.delivery_scheduled = False
        if not self.segments:
            return
        if self.link.is_blocked(self.sink.kernel.process.name):
            if self.segments[0][0] == "reset":  # resets are not retransmitted: the peer stays half-open
                self.segments.popleft()
            else:
                self.link.heal_callbacks.append(self.retransmit)
            return
        count = len(self.segments)
        if count > 1 and self.network.rng.random() < 0.5:
            count = self.network.rng.randrange(1, count + 1)
        for _ in range(count):
            self.sink.receive_segment(*self.segments.popleft())
        self.pump()

    def retransmit(self) -> None:
        """Deliver again after a partition, at a random delay.

        The retransmission timer has grown during the partition.
        """
        if self.segments and not self.delivery_scheduled:
            self.delivery_scheduled = True
            self.network.world.after(self.network.rng.randrange(1_000, 200_000), self.arrive)
