"""Sockets as the real kernel gives them out: streams, listeners, datagrams. Non-blocking; see `kernel.py`."""

import os
import socket
import struct

from cobaltpond.loop.errors import ConnectionLostError, UnreachableError, translate_os_error


class Handle:
    """A socket known to the kernel; `reader` and `writer` are the tasks that wait for it."""

    def __init__(self, kernel, sock: socket.socket):
        self.kernel, self.sock, self.reader, self.writer = kernel, sock, None, None
        self.closed = False
        sock.setblocking(False)
        kernel.register_handle(self)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.kernel.unregister_handle(self)
            self.sock.close()
            for task in (self.reader, self.writer):  # they try again, and are told that it is gone
                if task is not None:
                    task.wake()
            self.reader = self.writer = None

    def address(self) -> tuple[str, int]:
        return self.sock.getsockname()[:2]


class Stream(Handle):
    def connected(self) -> bool:
        """Is the dial through? Raises RefusedError, UnreachableError or HandlesExhaustedError where it has
        failed."""
        trouble = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if trouble:
            wrong = translate_os_error(OSError(trouble, os.strerror(trouble)))
            raise UnreachableError(str(wrong)) if isinstance(wrong, ConnectionLostError) else wrong
        try:
            self.sock.getpeername()
        except OSError:
            return False
        return True

    def recv(self, size: int) -> bytes | None:
        """b"" at the peer's end of file."""
        if self.closed:
            raise ConnectionLostError("closed here")
        try:
            return self.sock.recv(size)
        except BlockingIOError:
            return None
        except OSError as trouble:
            raise ConnectionLostError(str(trouble)) from None

    def send(self, data) -> int | None:
        if self.closed:
            raise ConnectionLostError("closed here")
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return None
        except OSError as trouble:
            raise ConnectionLostError(str(trouble)) from None

    def finish(self) -> None:
        """Our end of file: the peer reads what was sent and then b""."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def abort(self) -> None:
        """Closes with a reset: what is not yet sent is thrown away, and the peer sees it at once."""
        if not self.closed:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass
            self.close()


class Listener(Handle):
    def accept(self) -> Stream | None:
        """Raises HandlesExhaustedError where the process has no descriptor left; the caller stays in the
        backlog."""
        try:
            sock, _ = self.sock.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return None
        except OSError as trouble:
            raise translate_os_error(trouble) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Stream(self.kernel, sock)


class Datagrams(Handle):
    def recv(self, size: int) -> tuple[bytes, tuple[str, int]] | None:
        try:
            return self.sock.recvfrom(size)
        except OSError:  # also the ICMP error of an earlier send
            return None

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        """False where it was not sent: it counts as lost on the way."""
        try:
            self.sock.sendto(data, address)
            return True
        except OSError:
            return False
