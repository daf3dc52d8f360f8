"""The two SQL statements that the platform's clients send, with their comment; matched byte for byte."""

import re

_HEX = rb"[0-9a-f]{16}"
_SELECT = rb"SELECT payload FROM entries WHERE ref = '(" + _HEX + rb")'"
# A repeated group would hold memory for each repetition; that the digits come in pairs is checked apart.
_INSERT = (
    rb"INSERT INTO entries \(ref, payload\) VALUES \('("
    + _HEX
    + rb")', '\\x(?P<value>[0-9a-f]{0,131072}+)'\)"
    rb" RETURNING payload"
)
_NAME = rb"[^,*'\x00-\x1f\x7f]"  # name of a path group or customer, which the settings may choose freely
_COMMENT = (
    rb" /\* id=(" + _HEX + rb"),c=(" + _NAME + rb"{1,80}),t=(" + _NAME + rb"{0,80}),d=([0-9]{1,9})"
    rb"(?:,k=(" + _HEX + rb"))?(,r=1)? \*/"
)
STATEMENT_PATTERN = re.compile(rb"(?:" + _SELECT + rb"|" + _INSERT + rb")" + _COMMENT)
SELECT_TAG, INSERT_TAG = b"SELECT 1\0", b"INSERT 0 1\0"  # command tags of their responses
SHOW_TAG = b"SHOW\0"
PLAIN_NAME = re.compile(r"[A-Za-z0-9_.-]*")  # name of a customer that the settings don't list


class StatementError(Exception):
    """A statement that must not reach an instance."""


class PlatformStatement:
    """One parsed statement.

    `id`, `ref` and `key` (None without one) are bytes as sent, `group` and `customer` text, `time_left`
    microseconds; `is_retry` says that the client marked it as a repeat; `tag` is the command tag of its
    response.
    """

    __slots__ = ("head", "tail", "id", "ref", "group", "customer", "time_left", "key", "is_retry", "tag")

    def __init__(self, text: bytes):
        """Raises StatementError where the text is none of the two statements."""
        match = STATEMENT_PATTERN.fullmatch(text)
        value_begin, value_end = match.span("value") if match is not None else (0, 0)
        if match is None or (value_end - value_begin) % 2:
            raise StatementError("no statement of the two that are taken here")
        selected, inserted, self.id, group, customer, time_left, self.key, is_retry = match.group(
            1, 2, 4, 5, 6, 7, 8, 9
        )
        self.ref, self.tag = selected or inserted, SELECT_TAG if selected else INSERT_TAG
        try:
            self.group, self.customer = group.decode(), customer.decode()
        except UnicodeDecodeError:
            raise StatementError("a name that is no text") from None
        self.time_left, self.is_retry = int(time_left) * 1000, is_retry is not None
        self.head, self.tail = text[: match.start(7)], text[match.end(7) :]

    def with_time_left(self, milliseconds: int) -> bytes:
        """Returns the statement with the client's time limit replaced by `milliseconds`, for which this
        gateway waits.
        """
        return b"%b%d%b" % (self.head, milliseconds, self.tail)
