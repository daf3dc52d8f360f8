"""The platform's two statements and the comment behind them: matched byte for byte, or not at all."""

import re

_HEX = rb"[0-9a-f]{16}"
_SELECT = rb"SELECT payload FROM entries WHERE ref = '(" + _HEX + rb")'"
_INSERT = (
    rb"INSERT INTO entries \(ref, payload\) VALUES \('(" + _HEX + rb")', '\\x(?:[0-9a-f]{2}){0,65536}'\)"
    rb" RETURNING payload"
)
_NAME = rb"[^,*'\x00-\x1f\x7f]"  # of a class or tenant: the settings have them as they like
_COMMENT = (
    rb" /\* id=(" + _HEX + rb"),c=(" + _NAME + rb"{1,80}),t=(" + _NAME + rb"{0,80}),d=([0-9]{1,9})"
    rb"(?:,k=(" + _HEX + rb"))?(,r=1)? \*/"
)
STATEMENT = re.compile(rb"(?:" + _SELECT + rb"|" + _INSERT + rb")" + _COMMENT)
SELECTED, INSERTED = b"SELECT 1\0", b"INSERT 0 1\0"  # how their answers end
SHOWN = b"SHOW\0"
PLAIN_NAME = re.compile(r"[A-Za-z0-9_.-]*")  # of a tenant that the settings don't name


class StatementError(Exception):
    """Nothing an instance should see."""


class PlatformStatement:
    """`id`, `ref` and `key` (None without one) as sent, `group` and `customer` in text, `left` in
    microseconds, `again`: marked as a client's repeat; `tag`: how its answer must end."""

    __slots__ = ("head", "tail", "id", "ref", "group", "customer", "left", "key", "again", "tag")

    def __init__(self, text: bytes):
        found = STATEMENT.fullmatch(text)
        if found is None:
            raise StatementError("no statement of the two that are taken here")
        selected, inserted, self.id, group, customer, left, self.key, again = found.groups()
        self.ref, self.tag = selected or inserted, SELECTED if selected else INSERTED
        try:
            self.group, self.customer = group.decode(), customer.decode()
        except UnicodeDecodeError:
            raise StatementError("a name that is no text") from None
        self.left, self.again = int(left) * 1000, again is not None
        self.head, self.tail = text[: found.start(6)], text[found.end(6) :]

    def waiting(self, milliseconds: int) -> bytes:
        """The statement with how long the gateway itself will wait in place of the client's time."""
        return b"%b%d%b" % (self.head, milliseconds, self.tail)
