"""The simulated network: TCP streams and listeners, as a Linux socket shows them to a program.

One conformance suite (`tests/test_conform.py`) compares what a program can see of real sockets and of
these. A flow (one direction of a stream) keeps order; segments are split at any byte, wait for the link's
delay and for its partitions to end, and fill a receive buffer of bounded size. A partition loses nothing of
a stream: what was sent arrives late, as retransmission (RFC 9293, 3.8) brings it; a dial over a partitioned
link hangs.
"""

from collections import deque

from cobaltpond.loop.errors import ConnectionLostError, HandlesExhaustedError, RefusedError, UnreachableError
from cobaltpond.sim.flows import Flow
from cobaltpond.sim.links import Link, component_of

SYN_RETRY_DELAYS_US = (1_000_000, 3_000_000, 7_000_000, 15_000_000)  # RFC 6298, 2 and 5
DIAL_TIMEOUT_US = 31_000_000  # after the last retry, before UnreachableError


class Network:
    """The listeners, sockets and links of all simulated processes.

    `zones`: component -> zone, where it has one. `refusing`, `silent`: process name -> faults in force that
    refuse or drop the dials to it. `sniff`, where set, is called with ("sent" or "read", stream, data) as
    programs use a stream; `tap` with (kind, sender, receiver, data, handle) of what arrives. Delays are
    ranges in microseconds.
    """

    def __init__(self, world):
        self.world, self.listeners, self.datagram_sockets, self.links = world, {}, {}, {}
        self.rng, self.ports = world.chance("network"), 40_000
        self.intra_zone_delay, self.cross_zone_delay = (15, 60), (300, 900)
        self.zones = {}
        self.refusing, self.silent = {}, {}
        self.stream_count, self.last_listener_names = 0, {}
        self.sniff = None
        self.tap = None

    def link(self, one: str, other: str) -> Link:
        """Return the link between two processes; it is the same in both directions."""
        key = (one, other) if one < other else (other, one)
        if key not in self.links:
            zones = self.zones.get(component_of(one)), self.zones.get(component_of(other))
            self.links[key] = Link(
                self.cross_zone_delay if None not in zones and zones[0] != zones[1] else self.intra_zone_delay
            )
        return self.links[key]

    def delay(self, link: Link) -> int:
        """Draw the delay of one packet over a link, in microseconds."""
        low, high = link.delay
        return int(self.rng.randrange(low, high) * link.delay_factor)

    def free_port(self, taken) -> int:
        """Return an ephemeral port that is not in `taken`."""
        while True:
            self.ports = self.ports + 1 if self.ports < 60_000 else 40_000
            if self.ports not in taken:
                return self.ports

    # --- dials ----------------------------------------------------------------------------------------------

    def send_syn(self, stream, address, attempt=0) -> None:
        """Send one SYN; it is lost where the link is cut, the accept queue is full or a fault drops it."""
        owner = self.listeners.get(address)
        owner_name = (
            owner.kernel.process.name
            if owner is not None
            else self.last_listener_names.get(address, "nobody")
        )
        link = stream.link = self.link(stream.kernel.process.name, owner_name)
        stream.peer_name = owner_name
        self.world.after(self.delay(link), lambda: self.deliver_syn(stream, address, attempt))

    def deliver_syn(self, stream, address, attempt) -> None:
        """Handle the arrival of a SYN: connect, refuse or drop it."""
        if stream.closed or stream.state != "dialling":
            return
        listener = self.listeners.get(address)
        syn_dropped = stream.link.is_blocked(stream.peer_name) or self.silent.get(stream.peer_name)
        if syn_dropped or listener is not None and listener.is_backlogged():
            self.retry_syn(stream, address, attempt)
            return
        if listener is None or self.refusing.get(stream.peer_name):
            self.world.after(self.delay(stream.link), stream.on_refused)
            return
        other = Stream(listener.kernel)
        other.state, other.peer_name, other.link = "open", stream.kernel.process.name, stream.link
        other.local, other.registered = address, False
        stream.flow, other.flow = Flow(self, stream, other), Flow(self, other, stream)
        listener.on_connection(other)
        self.world.after(self.delay(stream.link), stream.on_connected)

    def retry_syn(self, stream, address, attempt) -> None:
        """Send the SYN again after a delay, or let the dial time out after the last retry."""
        if attempt < len(SYN_RETRY_DELAYS_US):
            self.world.after(
                SYN_RETRY_DELAYS_US[attempt],
                lambda: self.send_syn(stream, address, attempt + 1)
                if not stream.closed and stream.state == "dialling"
                else None,
            )
        else:
            self.world.after(DIAL_TIMEOUT_US, stream.on_timeout)


class Handle:
    """A socket of a process; `reader` and `writer` are the tasks that wait for it."""

    def __init__(self, kernel):
        self.kernel, self.reader, self.writer, self.closed = kernel, None, None, False
        self.local = ("127.0.0.1", 0)
        kernel.register_handle(self)

    def mark_ready(self) -> None:
        """Let the next poll report this handle (edge-triggered, epoll(7))."""
        if not self.closed:
            self.kernel.ready[self] = True
            self.kernel.process.schedule_turn()

    def close(self) -> None:
        """Close the socket and wake the tasks that wait for it."""
        if not self.closed:
            self.closed = True
            self.kernel.unregister_handle(self)
            self.on_close()
            for task in (self.reader, self.writer):
                if task is not None:
                    task.wake()
            self.reader = self.writer = None
            self.kernel.process.schedule_turn()

    def address(self):
        """Return the local (host, port)."""
        return self.local


class Stream(Handle):
    """A TCP connection.

    `state` is "dialling", "failed" or "open". `pending_error` is raised by the next call, once. `received`
    holds `unread_bytes` bytes that the program has not read.
    """

    def __init__(self, kernel):
        super().__init__(kernel)
        self.state, self.peer_name, self.link, self.flow = "dialling", "", None, None
        self.received, self.unread_bytes, self.peer_finished, self.pending_error = deque(), 0, False, None
        self.write_finished = self.connection_lost = False
        self.network = kernel.network
        self.network.stream_count += 1

    # --- events from the network ----------------------------------------------------------------------------

    def on_refused(self) -> None:
        """Fail the dial: no listener, or a fault refuses it."""
        if not self.closed and self.state == "dialling":
            self.state, self.pending_error = "failed", RefusedError("Connection refused")
            self.mark_ready()

    def on_timeout(self) -> None:
        """Fail the dial: no SYN was answered."""
        if not self.closed and self.state == "dialling":
            self.state, self.pending_error = "failed", UnreachableError("Connection timed out")
            self.mark_ready()

    def on_connected(self) -> None:
        """Open the stream, or reset it where the program has closed it meanwhile."""
        if self.state == "dialling":
            self.state = "open"
            if self.closed:
                self.flow.reset()
            else:
                self.mark_ready()

    def receive_segment(self, kind: str, data: bytes) -> None:
        """Take a segment that has arrived: "data", "end" or "reset"."""
        self.kernel.world.record_event(kind, self.peer_name, self.kernel.process.name, len(data))
        if self.network.tap is not None:
            self.network.tap(kind, self.peer_name, self.kernel.process.name, data, self)
        if kind == "reset":
            self.connection_lost = True
            self.peer_finished = True
            self.pending_error = ConnectionLostError("Connection reset by peer")
            if self.state == "dialling":
                self.state = "open"
            self.mark_ready()
        elif self.closed:
            if kind == "data":  # data for a closed socket is reset: RFC 9293, 3.10.7.1
                self.connection_lost = True
                self.flow.reset()
        elif not self.connection_lost:
            if kind == "end":
                self.peer_finished = True
            else:
                self.received.append(data)
                self.unread_bytes += len(data)
            self.mark_ready()

    # --- system calls ---------------------------------------------------------------------------------------

    def readable(self) -> bool:
        """Return whether a read returns at once."""
        return bool(self.received) or self.peer_finished or self.pending_error is not None

    def writable(self) -> bool:
        """Return whether a write returns at once."""
        return (
            self.pending_error is not None
            or self.connection_lost
            or self.write_finished
            or (self.state == "open" and self.flow.free_bytes() > 0)
        )

    def connected(self) -> bool:
        """Return whether the dial has succeeded. Raises RefusedError and UnreachableError."""
        pending_error, self.pending_error = self.pending_error, None
        if pending_error is not None:
            raise (
                UnreachableError(str(pending_error))
                if isinstance(pending_error, ConnectionLostError)
                else pending_error
            )
        return self.state == "open"

    def recv(self, size: int) -> bytes | None:
        """Return up to `size` bytes, b"" at the end, None if none arrived. Raises ConnectionLostError."""
        if self.closed:
            raise ConnectionLostError("closed here")
        if self.received:
            parts, taken_bytes = [], 0
            while self.received and taken_bytes < size:
                data = self.received.popleft()
                if taken_bytes + len(data) > size:
                    self.received.appendleft(data[size - taken_bytes :])
                    data = data[: size - taken_bytes]
                parts.append(data)
                taken_bytes += len(data)
            self.unread_bytes -= taken_bytes
            self.release_buffer(taken_bytes)
            data = b"".join(parts)
            if self.network.sniff is not None:
                self.network.sniff("read", self, data)
            return data
        if self.pending_error is not None:
            pending_error, self.pending_error = self.pending_error, None
            raise (
                pending_error
                if isinstance(pending_error, ConnectionLostError)
                else ConnectionLostError(str(pending_error))
            )
        if self.state == "failed":
            raise ConnectionLostError("Transport endpoint is not connected")
        return b"" if self.peer_finished else None

    def release_buffer(self, size: int) -> None:
        """Free bytes of the peer's flow; the peer can send more a link delay later."""
        flow = self.peer_flow()
        if flow is None:
            return
        was_full = flow.free_bytes() <= 0
        flow.in_flight_bytes -= size
        if was_full and flow.free_bytes() > 0:
            source = flow.source
            self.kernel.world.after(self.network.delay(self.link), source.mark_ready)

    def peer_flow(self):
        """Return the flow that this stream reads from, None before it is connected."""
        return self.flow.sink.flow if self.flow is not None else None

    def send(self, data) -> int | None:
        """Send what fits; return the byte count, None if none does. Raises ConnectionLostError."""
        if self.closed:
            raise ConnectionLostError("closed here")
        if self.pending_error is not None and self.state == "open":
            pending_error, self.pending_error = self.pending_error, None
            raise pending_error
        if self.connection_lost or self.write_finished or self.state == "failed":
            raise ConnectionLostError("Broken pipe")
        if self.state != "open":
            return None
        free_bytes = self.flow.free_bytes()
        if free_bytes <= 0:
            return None
        data = bytes(data[:free_bytes])
        if self.network.sniff is not None:
            self.network.sniff("sent", self, data)
        self.flow.send("data", data)
        return len(data)

    def finish(self) -> None:
        """Send the end of the stream; reading goes on (half-close)."""
        if self.state == "open" and not self.write_finished and not self.connection_lost and not self.closed:
            self.write_finished = True
            self.flow.send("end")

    def on_close(self) -> None:
        """Send the end of the stream, or a reset where received bytes are unread, as close(2) does."""
        if self.state != "open" or self.connection_lost or self.flow is None:
            return
        if self.received:
            self.connection_lost = True
            self.flow.reset()
        elif not self.write_finished:
            self.write_finished = True
            self.flow.send("end")

    def abort(self) -> None:
        """Reset the connection and close."""
        if not self.closed:
            if self.state == "open" and not self.connection_lost:
                self.connection_lost = True
                self.flow.reset()
            self.close()


class Listener(Handle):
    """A listening socket with its accept queue."""

    def __init__(self, kernel, address, backlog):
        super().__init__(kernel)
        self.local, self.backlog, self.accept_queue = address, backlog, deque()
        kernel.network.listeners[address] = self
        kernel.network.last_listener_names[address] = kernel.process.name

    def is_backlogged(self) -> bool:
        """Return whether the accept queue is full."""
        return len(self.accept_queue) > self.backlog  # Linux queues one more than asked for

    def on_connection(self, stream: Stream) -> None:
        """Queue a new connection."""
        self.accept_queue.append(stream)
        self.mark_ready()

    def readable(self) -> bool:
        """Return whether a connection can be accepted."""
        return bool(self.accept_queue)

    def writable(self) -> bool:
        """Return False."""
        return False

    def accept(self) -> Stream | None:
        """Return the next connection, or None. Raises HandlesExhaustedError."""
        if self.closed:
            return None
        if not self.accept_queue:
            return None
        if self.kernel.has_no_free_handle():
            raise HandlesExhaustedError("Too many open files")
        stream = self.accept_queue.popleft()
        stream.registered = True
        self.kernel.register_handle(stream)
        if stream.readable() or stream.writable():
            stream.mark_ready()
        return stream

    def on_close(self) -> None:
        """Stop listening and reset the connections that were not accepted."""
        if self.kernel.network.listeners.get(self.local) is self:
            del self.kernel.network.listeners[self.local]
        for stream in self.accept_queue:
            stream.connection_lost = True
            stream.flow.reset()
            stream.closed = True
