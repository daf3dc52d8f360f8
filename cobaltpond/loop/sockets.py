"""Non-blocking sockets of the epoll kernel: streams, listeners and datagram sockets. `kernel_interface.py`
describes the contract.
"""

import os
import socket
import struct

from cobaltpond.loop.errors import ConnectionLostError, UnreachableError, translate_os_error


class Handle:
    """A socket that is registered with the kernel. `reader` and `writer` are the tasks that wait until it
    is readable or writable, or None.
    """

    def __init__(self, kernel, sock: socket.socket):
        self.kernel, self.sock, self.reader, self.writer = kernel, sock, None, None
        self.closed = False
        # set by the kernel: the peer has ended its side, or the connection is lost
        self.peer_finished = False
        sock.setblocking(False)
        kernel.register_handle(self)

    def close(self) -> None:
        """Closes the socket and wakes the tasks that wait for it; calling it again does nothing."""
        if not self.closed:
            self.closed = True
            self.kernel.unregister_handle(self)
            self.sock.close()
            for task in (self.reader, self.writer):  # each tries again and gets ConnectionLostError
                if task is not None:
                    task.wake()
            self.reader = self.writer = None

    def address(self) -> tuple[str, int]:
        """Returns the local (host, port)."""
        return self.sock.getsockname()[:2]


class Stream(Handle):
    """A TCP connection, possibly one that is still being established."""

    def connected(self) -> bool:
        """Tells whether the connection is established. Raises RefusedError, UnreachableError or
        HandlesExhaustedError where the attempt has failed.
        """
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            error = translate_os_error(OSError(code, os.strerror(code)))
            raise UnreachableError(str(error)) if isinstance(error, ConnectionLostError) else error
        try:
            self.sock.getpeername()
        except OSError:
            return False
        return True

    def recv(self, size: int) -> bytes | None:
        """Returns up to `size` bytes, b"" at the peer's end of file, or None if nothing is there yet.
        Raises ConnectionLostError.
        """
        if self.closed:
            raise ConnectionLostError("the connection is closed on this side")
        try:
            return self.sock.recv(size)
        except BlockingIOError:
            return None
        except OSError as error:
            raise ConnectionLostError(str(error)) from None

    def send(self, data) -> int | None:
        """Returns how many bytes the system accepted, or None if its send buffer is full. Raises
        ConnectionLostError.
        """
        if self.closed:
            raise ConnectionLostError("the connection is closed on this side")
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return None
        except OSError as error:
            raise ConnectionLostError(str(error)) from None

    def finish(self) -> None:
        """Shuts down the sending side: the peer reads what was sent and then b"". Reading goes on."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def abort(self) -> None:
        """Closes with a reset: unsent data is discarded, and the peer sees the reset at once."""
        if not self.closed:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass
            self.close()


def set_no_delay(sock: socket.socket) -> None:
    """Lets small writes leave at once. A connection without it is slower, but serves."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        pass


def open_stream(kernel, sock: socket.socket) -> Stream:
    """Returns the stream of a socket. Where the kernel cannot watch it, the socket is closed and an error of
    `errors.py` raised.
    """
    try:
        return Stream(kernel, sock)
    except OSError as error:
        sock.close()
        raise translate_os_error(error) from None


class Listener(Handle):
    """A listening TCP socket."""

    def accept(self) -> Stream | None:
        """Returns the next connection, or None if none waits. Raises HandlesExhaustedError where the
        process has no file descriptor left; the connection then stays in the backlog.
        """
        try:
            sock, _ = self.sock.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return None
        except OSError as error:
            raise translate_os_error(error) from None
        set_no_delay(sock)
        return open_stream(self.kernel, sock)


class Datagrams(Handle):
    """A bound UDP socket."""

    def recv(self, size: int) -> tuple[bytes, tuple[str, int]] | None:
        """Returns (data, sender address), or None if nothing is there. A datagram longer than `size` bytes
        is cut off.
        """
        try:
            return self.sock.recvfrom(size)
        except OSError:  # includes the ICMP error that an earlier send caused
            return None

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        """Sends one datagram. Returns False where the system did not send it; the caller treats it as lost
        on the network.
        """
        try:
            self.sock.sendto(data, address)
            return True
        except OSError:
            return False
