"""What can be wrong with a socket, in the room's own words."""

import errno
import os

LOST = {errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN, errno.ECONNABORTED, errno.ETIMEDOUT, errno.EBADF}
USED_UP = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}


class ConnectionLostError(Exception):
    """The connection is gone: reset, broken, or closed on our side."""


class RefusedError(Exception):
    """Nobody listens at that address."""


class UnreachableError(Exception):
    """No connection, for another reason than a refusal."""


class HandlesExhaustedError(Exception):
    """The process may open no more files or sockets now."""


def translate_os_error(trouble: OSError) -> Exception:
    if trouble.errno in LOST:
        return ConnectionLostError(os.strerror(trouble.errno))
    if trouble.errno == errno.ECONNREFUSED:
        return RefusedError(os.strerror(trouble.errno))
    if trouble.errno in USED_UP:
        return HandlesExhaustedError(os.strerror(trouble.errno))
    return UnreachableError(str(trouble))


def error_name(error: BaseException) -> str:
    """The name under which an error is reported to another process: the `outer_name` of its class where it
    has one, so that a class can be renamed without a change of what is sent, else the name of the class."""
    return getattr(error, "outer_name", type(error).__name__)
