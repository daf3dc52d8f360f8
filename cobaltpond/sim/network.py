"""The simulated network: TCP streams, listeners and datagrams as a socket of Linux shows them to a program.

What a program can see of a real socket and of these is compared by one conformance suite
(`tests/test_conform.py`). A flow (one direction of a stream) keeps order; segments are cut anywhere, wait for
the link's delay and for its cuts to end, and are taken by a receive buffer of bounded size. A cut link loses
nothing of a stream: what was sent comes, late, as retransmission (RFC 9293, 3.8) brings it; a dial over it
hangs.
"""

from collections import deque

from cobaltpond.loop.errors import ConnectionLostError, HandlesExhaustedError, RefusedError, UnreachableError
from cobaltpond.sim.links import Link, component_of

BUFFER = 128 << 10  # bytes of one flow that may be on their way or unread
SYN_AGAIN = (1_000_000, 3_000_000, 7_000_000, 15_000_000)  # after the first: RFC 6298, 2 and 5
NO_ANSWER = 31_000_000  # then a dial ends with UnreachableError


class Network:
    def __init__(self, world):
        self.world, self.listeners, self.bound, self.links = world, {}, {}, {}
        self.chance, self.ports = world.chance("network"), 40_000
        self.near, self.far = (15, 60), (300, 900)  # delays within a zone and between zones
        self.zones = {}  # name of a process -> zone, where it has one
        self.refusing, self.silent = {}, {}  # names of processes -> faults that strike their dials
        self.streams, self.last_owner = 0, {}
        self.sniff = None  # called with each piece as it is sent and as it is read
        self.tap = None  # called with (how, from, to, data) of each piece that comes

    def link(self, one: str, other: str) -> Link:
        key = (one, other) if one < other else (other, one)
        if key not in self.links:
            zones = self.zones.get(component_of(one)), self.zones.get(component_of(other))
            self.links[key] = Link(self.far if None not in zones and zones[0] != zones[1] else self.near)
        return self.links[key]

    def delay(self, link: Link) -> int:
        low, high = link.delay
        return int(self.chance.randrange(low, high) * link.slow)

    def free_port(self, taken) -> int:
        while True:
            self.ports = self.ports + 1 if self.ports < 60_000 else 40_000
            if self.ports not in taken:
                return self.ports

    # --- dials ----------------------------------------------------------------------------------------------

    def syn(self, stream, address, attempt=0) -> None:
        """One SYN on its way; lost where the link is cut, the listener's queue is full or a fault says so."""
        owner = self.listeners.get(address)
        there = owner.kernel.process.name if owner is not None else self.last_owner.get(address, "nobody")
        link = stream.link = self.link(stream.kernel.process.name, there)
        stream.peer_name = there
        self.world.after(self.delay(link), lambda: self.syn_there(stream, address, attempt))

    def syn_there(self, stream, address, attempt) -> None:
        if stream.closed or stream.state != "dialling":
            return
        listener = self.listeners.get(address)
        lost = stream.link.blocked(stream.peer_name) or self.silent.get(stream.peer_name)
        if lost or listener is not None and listener.is_backlogged():
            self.syn_lost(stream, address, attempt)
            return
        if listener is None or self.refusing.get(stream.peer_name):
            self.world.after(self.delay(stream.link), stream.refused)
            return
        other = Stream(listener.kernel)
        other.state, other.peer_name, other.link = "open", stream.kernel.process.name, stream.link
        other.local, other.entered = address, False
        stream.flow, other.flow = Flow(self, stream, other), Flow(self, other, stream)
        listener.arrived(other)
        self.world.after(self.delay(stream.link), stream.connected_through)

    def syn_lost(self, stream, address, attempt) -> None:
        if attempt < len(SYN_AGAIN):
            self.world.after(
                SYN_AGAIN[attempt],
                lambda: self.syn(stream, address, attempt + 1)
                if not stream.closed and stream.state == "dialling"
                else None,
            )
        else:
            self.world.after(NO_ANSWER, stream.no_answer)


class Flow:
    """One direction of a stream: pieces in order, (kind, data). `held`: bytes sent that the reader has not
    taken."""

    def __init__(self, network: Network, source: "Stream", sink: "Stream"):
        self.network, self.source, self.sink, self.link = network, source, sink, source.link
        self.pieces, self.held, self.ready_at, self.busy = deque(), 0, 0, False

    def room(self) -> int:
        return BUFFER - self.held

    def send(self, kind: str, data: bytes = b"") -> None:
        chance = self.network.chance
        self.held += len(data)
        while len(data) > 1 and chance.random() < 0.08:
            at = chance.randrange(1, len(data))
            self.pieces.append((kind, data[:at]))
            data = data[at:]
        self.pieces.append((kind, data))
        self.pump()

    def reset(self) -> None:
        """What has not yet come there is thrown away."""
        self.pieces.clear()
        self.send("reset")

    def pump(self) -> None:
        if self.busy or not self.pieces:
            return
        self.busy = True
        self.network.world.after(self.network.delay(self.link), self.arrive)

    def arrive(self) -> None:
        self.busy = False
        if not self.pieces:
            return
        if self.link.blocked(self.sink.kernel.process.name):
            if self.pieces[0][0] == "reset":  # nobody sends a reset again: the peer stays half-open
                self.pieces.popleft()
            else:
                self.link.healed.append(self.again)
            return
        count = len(self.pieces)
        if count > 1 and self.network.chance.random() < 0.5:
            count = self.network.chance.randrange(1, count + 1)
        for _ in range(count):
            self.sink.receive_piece(*self.pieces.popleft())
        self.pump()

    def again(self) -> None:
        """The next retransmission after a cut: its timer has grown meanwhile."""
        if self.pieces and not self.busy:
            self.busy = True
            self.network.world.after(self.network.chance.randrange(1_000, 200_000), self.arrive)


class Handle:
    def __init__(self, kernel):
        self.kernel, self.reader, self.writer, self.closed = kernel, None, None, False
        self.local = ("127.0.0.1", 0)
        kernel.register_handle(self)

    def mark_ready(self) -> None:
        """Something has become ready: the next poll tells all that is (epoll(7), edge-triggered)."""
        if not self.closed:
            self.kernel.ready[self] = True
            self.kernel.process.schedule_turn()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.kernel.unregister_handle(self)
            self.released()
            for task in (self.reader, self.writer):
                if task is not None:
                    task.wake()
            self.reader = self.writer = None
            self.kernel.process.schedule_turn()

    def address(self):
        return self.local


class Stream(Handle):
    """`state`: dialling, failed, open; `trouble`: an error that the next call tells, once."""

    def __init__(self, kernel):
        super().__init__(kernel)
        self.state, self.peer_name, self.link, self.flow = "dialling", "", None, None
        self.inbox, self.unread, self.ended, self.trouble = deque(), 0, False, None
        self.finished = self.lost = False
        self.network = kernel.network
        self.network.streams += 1

    # --- what the network tells it --------------------------------------------------------------------------

    def refused(self) -> None:
        if not self.closed and self.state == "dialling":
            self.state, self.trouble = "failed", RefusedError("Connection refused")
            self.mark_ready()

    def no_answer(self) -> None:
        if not self.closed and self.state == "dialling":
            self.state, self.trouble = "failed", UnreachableError("Connection timed out")
            self.mark_ready()

    def connected_through(self) -> None:
        if self.state == "dialling":
            self.state = "open"
            if self.closed:
                self.flow.reset()
            else:
                self.mark_ready()

    def receive_piece(self, kind: str, data: bytes) -> None:
        """A piece that has come: data, the end, or a reset."""
        self.kernel.world.record_event(kind, self.peer_name, self.kernel.process.name, len(data))
        if self.network.tap is not None:
            self.network.tap(kind, self.peer_name, self.kernel.process.name, data, self)
        if kind == "reset":
            self.lost, self.ended, self.trouble = True, True, ConnectionLostError("Connection reset by peer")
            if self.state == "dialling":
                self.state = "open"
            self.mark_ready()
        elif self.closed:
            if kind == "data":  # nobody is there to read it: RFC 9293, 3.10.7.1
                self.lost = True
                self.flow.reset()
        elif not self.lost:
            if kind == "end":
                self.ended = True
            else:
                self.inbox.append(data)
                self.unread += len(data)
            self.mark_ready()

    # --- what a program asks --------------------------------------------------------------------------------

    def readable(self) -> bool:
        return bool(self.inbox) or self.ended or self.trouble is not None

    def writable(self) -> bool:
        return (
            self.trouble is not None
            or self.lost
            or self.finished
            or (self.state == "open" and self.flow.room() > 0)
        )

    def connected(self) -> bool:
        trouble, self.trouble = self.trouble, None
        if trouble is not None:
            raise UnreachableError(str(trouble)) if isinstance(trouble, ConnectionLostError) else trouble
        return self.state == "open"

    def recv(self, size: int) -> bytes | None:
        if self.closed:
            raise ConnectionLostError("closed here")
        if self.inbox:
            parts, got = [], 0
            while self.inbox and got < size:
                data = self.inbox.popleft()
                if got + len(data) > size:
                    self.inbox.appendleft(data[size - got :])
                    data = data[: size - got]
                parts.append(data)
                got += len(data)
            self.unread -= got
            self.bytes_taken(got)
            data = b"".join(parts)
            if self.network.sniff is not None:
                self.network.sniff("read", self, data)
            return data
        if self.trouble is not None:
            trouble, self.trouble = self.trouble, None
            raise trouble if isinstance(trouble, ConnectionLostError) else ConnectionLostError(str(trouble))
        if self.state == "failed":
            raise ConnectionLostError("Transport endpoint is not connected")
        return b"" if self.ended else None

    def bytes_taken(self, size: int) -> None:
        """Room in the peer's flow again; it hears of it a delay later."""
        flow = self.peer_flow()
        if flow is None:
            return
        full = flow.room() <= 0
        flow.held -= size
        if full and flow.room() > 0:
            source = flow.source
            self.kernel.world.after(self.network.delay(self.link), source.mark_ready)

    def peer_flow(self):
        return self.flow.sink.flow if self.flow is not None else None

    def send(self, data) -> int | None:
        if self.closed:
            raise ConnectionLostError("closed here")
        if self.trouble is not None and self.state == "open":
            trouble, self.trouble = self.trouble, None
            raise trouble
        if self.lost or self.finished or self.state == "failed":
            raise ConnectionLostError("Broken pipe")
        if self.state != "open":
            return None
        room = self.flow.room()
        if room <= 0:
            return None
        data = bytes(data[:room])
        if self.network.sniff is not None:
            self.network.sniff("sent", self, data)
        self.flow.send("data", data)
        return len(data)

    def finish(self) -> None:
        if self.state == "open" and not self.finished and not self.lost and not self.closed:
            self.finished = True
            self.flow.send("end")

    def released(self) -> None:
        """close(2): an end of file, or a reset where bytes of the peer lie unread."""
        if self.state != "open" or self.lost or self.flow is None:
            return
        if self.inbox:
            self.lost = True
            self.flow.reset()
        elif not self.finished:
            self.finished = True
            self.flow.send("end")

    def abort(self) -> None:
        if not self.closed:
            if self.state == "open" and not self.lost:
                self.lost = True
                self.flow.reset()
            self.close()


class Listener(Handle):
    def __init__(self, kernel, address, backlog):
        super().__init__(kernel)
        self.local, self.backlog, self.queue = address, backlog, deque()
        kernel.network.listeners[address] = self
        kernel.network.last_owner[address] = kernel.process.name

    def is_backlogged(self) -> bool:
        return len(self.queue) > self.backlog  # the queue holds one more than asked for, as Linux has it

    def arrived(self, stream: Stream) -> None:
        self.queue.append(stream)
        self.mark_ready()

    def readable(self) -> bool:
        return bool(self.queue)

    def writable(self) -> bool:
        return False

    def accept(self) -> Stream | None:
        if self.closed:
            return None
        if not self.queue:
            return None
        if self.kernel.used_up():
            raise HandlesExhaustedError("Too many open files")
        stream = self.queue.popleft()
        stream.entered = True
        self.kernel.register_handle(stream)
        if stream.readable() or stream.writable():
            stream.mark_ready()
        return stream

    def released(self) -> None:
        if self.kernel.network.listeners.get(self.local) is self:
            del self.kernel.network.listeners[self.local]
        for stream in self.queue:
            stream.lost = True
            stream.flow.reset()
            stream.closed = True
