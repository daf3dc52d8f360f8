"""What can be wrong with a socket, in the room's own words."""

import errno
import os

LOST = {errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN, errno.ECONNABORTED, errno.ETIMEDOUT, errno.EBADF}
USED_UP = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}


class PeerLost(Exception):
    """The connection is gone: reset, broken, or closed on our side."""


class Refused(Exception):
    """Nobody listens at that address."""


class Unreachable(Exception):
    """No connection, for another reason than a refusal."""


class HandlesUsedUp(Exception):
    """The process may open no more files or sockets now."""


def translated(trouble: OSError) -> Exception:
    if trouble.errno in LOST:
        return PeerLost(os.strerror(trouble.errno))
    if trouble.errno == errno.ECONNREFUSED:
        return Refused(os.strerror(trouble.errno))
    if trouble.errno in USED_UP:
        return HandlesUsedUp(os.strerror(trouble.errno))
    return Unreachable(str(trouble))
