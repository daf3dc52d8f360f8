"""Errors of sockets and connections, independent of the kernel that reports them."""

import errno
import os

LOST_CONNECTION_CODES = {
    errno.ECONNRESET,
    errno.EPIPE,
    errno.ENOTCONN,
    errno.ECONNABORTED,
    errno.ETIMEDOUT,
    errno.EBADF,
}
EXHAUSTED_CODES = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
UNUSABLE_ADDRESS_CODES = {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES, errno.EINVAL}


class ConnectionLostError(Exception):
    """The connection has ended: it was reset, broke, or was closed on this side."""


class RefusedError(Exception):
    """The peer refused the connection (nothing listens at the address), or another process holds the file
    lock.
    """


class UnreachableError(Exception):
    """A connection, a listener or a process could not be opened for a reason other than a refusal."""


class HandlesExhaustedError(Exception):
    """The process has reached its file descriptor limit, or the system is out of sockets, buffers or local
    ports.
    """


def translate_os_error(error: OSError) -> Exception:
    """Returns the error of this module that stands for the `errno` of an OSError; UnreachableError for any
    other code.
    """
    if error.errno in LOST_CONNECTION_CODES:
        return ConnectionLostError(os.strerror(error.errno))
    if error.errno == errno.ECONNREFUSED:
        return RefusedError(os.strerror(error.errno))
    if error.errno in EXHAUSTED_CODES:
        return HandlesExhaustedError(os.strerror(error.errno))
    return UnreachableError(str(error))


def translate_open_error(error: OSError, what: str) -> Exception:
    """Returns the error that stands for a socket that could not be opened and bound: UnreachableError where
    its address cannot be used, else HandlesExhaustedError, which may be over in a moment. `what` failed.
    """
    is_final = error.errno in UNUSABLE_ADDRESS_CODES
    return (UnreachableError if is_final else HandlesExhaustedError)(f"{what}: {error}")


def error_name(error: BaseException) -> str:
    """Returns the name under which an error is reported to another process. This is the `outer_name` of
    its class where it has one, so that a class can be renamed without changing what is sent; otherwise
    it is the name of the class.
    """
    return getattr(error, "outer_name", type(error).__name__)
