"""Bounds the bytes of response bodies that several calls hold together."""

from cobaltpond.wire.http1 import HttpMessageError

PAYLOAD_TOO_LARGE = 413


class BodyAllowance:
    """`total` bytes for the bodies of all calls that share it, each through its own `BodyShare`."""

    def __init__(self, total: int):
        self.total, self.used = total, 0

    def share(self) -> "BodyShare":
        """Returns the share of one call, which is empty at first."""
        return BodyShare(self)


class BodyShare:
    """What one call holds of a `BodyAllowance`."""

    def __init__(self, allowance: BodyAllowance):
        self.allowance, self.held = allowance, 0

    def take(self, size: int) -> None:
        """Takes bytes. Raises HttpMessageError where all calls together would hold too much."""
        allowance = self.allowance
        if allowance.used + size > allowance.total:
            raise HttpMessageError(PAYLOAD_TOO_LARGE, f"bodies of more than {allowance.total} bytes")
        allowance.used += size
        self.held += size

    def release(self) -> None:
        """Gives everything back; calling it again does nothing."""
        self.allowance.used -= self.held
        self.held = 0
