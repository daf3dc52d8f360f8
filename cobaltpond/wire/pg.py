"""PostgreSQL's frontend/backend protocol, version 3, simple queries only: bytes in, events out, both sides,
no I/O.

Written from chapter "Frontend/Backend Protocol" of PostgreSQL's documentation. Lengths are judged before
anything is kept: a message that could not be acceptable ends the conversation at its fifth byte. psycopg and
its like were weighed and left: they are clients with sockets of their own, and the half that a server needs
they do not have.
"""

import math
import struct

STARTUP_MOST = 10_000  # PostgreSQL's own limit of a startup message
VALUE_MOST = 64 << 10  # bytes of a value as the platform bounds it
QUERY_MOST = 2 * VALUE_MOST + 4096  # a value as hex, and the statement around it
PASSED_OVER_MOST = 32  # notices and parameters that an answer may bring along
TLS, GSS, CANCEL = 80877103, 80877104, 80877102
ENCRYPTION_REFUSED = b"N"  # the answer to a wish for encryption
READY_FOR_QUERY = b"Z\0\0\0\5I"
EMPTY_QUERY_RESPONSE = b"I\0\0\0\4" + READY_FOR_QUERY
_LENGTH, _TWO = struct.Struct(">I"), struct.Struct(">II")


class PgProtocolError(Exception):
    """What the peer sent is no acceptable message; `code` is the SQLSTATE that says so."""

    def __init__(self, code: str, text: str):
        super().__init__(text)
        self.code = code


def message(kind: bytes, body: bytes) -> bytes:
    return kind + _LENGTH.pack(len(body) + 4) + body


def error_response(code: str, text: str, detail: str | None = None, fatal: bool = False) -> bytes:
    """An ErrorResponse; after a fatal one the connection closes, after another `READY_FOR_QUERY` is due."""
    severity = "FATAL" if fatal else "ERROR"
    fields = [("S", severity), ("V", severity), ("C", code), ("M", text)] + (
        [("D", detail)] if detail else []
    )
    return message(b"E", b"".join(f"{name}{value}\0".encode() for name, value in fields) + b"\0")


def startup_response() -> bytes:
    """What follows a startup message: no password, and the few parameters that client libraries look for."""
    known = {
        "server_version": "15.0",
        "server_encoding": "UTF8",
        "client_encoding": "UTF8",
        "standard_conforming_strings": "on",
        "integer_datetimes": "on",
        "DateStyle": "ISO, YMD",
    }
    said = b"".join(message(b"S", f"{name}\0{value}\0".encode()) for name, value in known.items())
    return message(b"R", b"\0\0\0\0") + said + message(b"K", b"\0" * 8) + READY_FOR_QUERY


def startup_message(user: str, database: str) -> bytes:
    body = b"\0\3\0\0" + f"user\0{user}\0database\0{database}\0\0".encode()
    return _LENGTH.pack(len(body) + 4) + body


def query_message(statement: bytes) -> bytes:
    return b"Q" + _LENGTH.pack(len(statement) + 5) + statement + b"\0"


class ClientMessageParser:
    """What a client sends. Events are (kind, value): ("tls", None): answer `ENCRYPTION_REFUSED`; ("cancel",
    None); ("startup", parameters); ("query", statement); ("end", None); and last, once, ("wrong",
    PgProtocolError)."""

    def __init__(self):
        self.rest, self.started, self.wishes, self.over = b"", False, 0, False

    @property
    def has_partial(self) -> bool:
        """Is a message here in part?"""
        return bool(self.rest)

    def feed(self, data: bytes) -> list:
        if self.over:
            return []
        if self.rest:
            data = self.rest + data
        events, at, size = [], 0, len(data)
        try:
            while at < size:
                used, event = (self.command if self.started else self.opening)(data, at, size)
                if not used:
                    break
                at += used
                events.append(event)
        except PgProtocolError as trouble:
            self.over = True
            events.append(("wrong", trouble))
        self.rest = b"" if self.over else data[at:]
        return events

    def command(self, data, at, size):
        kind = data[at]
        if kind not in (0x51, 0x58):  # Q, X
            raise PgProtocolError("08P01", "only simple queries are taken here")
        if size - at < 5:
            return 0, None
        (length,) = _LENGTH.unpack_from(data, at + 1)
        if not (5 <= length <= QUERY_MOST if kind == 0x51 else length == 4):
            raise PgProtocolError("08P01", "a message of an impossible length")
        if size - at < length + 1:
            return 0, None
        if kind == 0x58:
            return 5, ("end", None)
        statement = data[at + 5 : at + length]
        if data[at + length] or b"\0" in statement:
            raise PgProtocolError("08P01", "a statement ends with its one zero byte")
        return length + 1, ("query", statement)

    def opening(self, data, at, size):
        if size - at < 4:
            return 0, None
        (length,) = _LENGTH.unpack_from(data, at)
        if not 8 <= length <= STARTUP_MOST:
            raise PgProtocolError("08P01", "a startup message of an impossible length")
        if size - at < 8:
            return 0, None
        (code,) = _LENGTH.unpack_from(data, at + 4)
        if code in (TLS, GSS):
            self.wishes += 1
            if length != 8 or self.wishes > 2:
                raise PgProtocolError("08P01", "no sense in this wish for encryption")
            return 8, ("tls", None)
        if code == CANCEL and length == 16:
            return (16, ("cancel", None)) if size - at >= 16 else (0, None)
        if code >> 16 != 3:
            raise PgProtocolError("0A000", "version 3 of the protocol is spoken here")
        if size - at < length:
            return 0, None
        words = data[at + 8 : at + length].split(b"\0")
        if len(words) < 4 or len(words) % 2 or words[-1] or words[-2]:
            raise PgProtocolError("08P01", "a startup message names each parameter and its value")
        told = dict(zip(words[:-2:2], words[1:-2:2], strict=True))
        if not told.get(b"user"):
            raise PgProtocolError("28000", "a startup message names its user")
        self.started = True
        return length, ("startup", told)


class ServerMessageParser:
    """What an instance sends on one connection: first its welcome, then one answer after each `expect`.

    `feed` says whether the state has moved on. Raises PgProtocolError on what can't be a whole answer; the
    connection is of no further use then. What comes behind a whole answer and does not belong to it is no
    reason to doubt that answer: `is_clean` then says that the connection may not be used again.
    """

    def __init__(self):
        self.rest, self.ready, self.is_clean, self.started = b"", False, True, False
        self.expect(None)

    def expect(self, tag: bytes | None) -> None:
        """`tag`: how the answer's CommandComplete must read."""
        self.tag, self.ready = tag, False
        self.described = self.row = self.whole = False
        self.error_code, self.text, self.gauges, self.passed, self.parts = None, "", None, 0, []

    @property
    def value(self) -> bytes:
        """RowDescription, DataRow and CommandComplete as they came."""
        return b"".join(self.parts)

    @property
    def shown(self) -> bytes | None:
        """The one column of the row, by itself."""
        return self.parts[1][11:] if self.row else None

    @property
    def done(self) -> bool:
        return self.whole or self.error_code is not None

    @property
    def has_begun(self) -> bool:
        return self.described or bool(self.rest)

    @property
    def reusable(self) -> bool:
        return self.ready and self.is_clean and not self.rest

    def feed(self, data: bytes) -> None:
        if self.ready:  # nothing was asked for
            self.is_clean = False
            return
        if self.rest:
            data = self.rest + data
        at, size = 0, len(data)
        try:
            while at < size and not self.ready:
                length = self.length(data, at, size)
                if length is None or size - at <= length:
                    break
                self.handle_message(data[at], data, at, at + 1 + length)
                at += 1 + length
        except PgProtocolError:
            if not self.done:
                raise
            self.is_clean = False  # the answer was whole before it
            self.rest = b""
            return
        self.rest = data[at:]
        if self.ready and self.rest:
            self.is_clean = False

    def length(self, data, at, size) -> int | None:
        """Of the message that begins there, its own four bytes included; judged before the rest has come."""
        if data[at] not in b"RSKZNTDCEI":
            raise PgProtocolError("08P01", f"no message begins with {data[at]:#x}")
        if size - at < 5:
            return None
        (length,) = _LENGTH.unpack_from(data, at + 1)
        if not 4 <= length <= VALUE_MOST + 64:
            raise PgProtocolError("08P01", f"a message of {length} bytes")
        return length

    def handle_message(self, kind, data, at, end) -> None:
        body = data[at + 5 : end]
        if kind == 0x44 and self.described and not self.row and not self.done:  # D
            count = int.from_bytes(body[:2], "big")
            size = int.from_bytes(body[2:6], "big")
            if count != 1 or size != len(body) - 6 or size > VALUE_MOST:
                raise PgProtocolError("08P01", "no row of one value")
            self.row = True
            self.parts.append(data[at:end])
        elif kind == 0x54 and self.tag is not None and not self.described and not self.done:  # T
            name = body.find(b"\0", 2)
            if body[:2] != b"\0\1" or name < 0 or len(body) != name + 19:
                raise PgProtocolError("08P01", "no description of one column")
            self.described = True
            self.parts.append(data[at:end])
        elif kind == 0x43 and self.row and not self.done:  # C
            if body != self.tag:
                raise PgProtocolError("08P01", f"the command ended as {body[:40]!r}")
            self.whole = True
            self.parts.append(data[at:end])
        elif kind == 0x5A:  # Z
            if body not in (b"I", b"T", b"E") or not (self.done or self.tag is None):
                raise PgProtocolError("08P01", "ready before an answer")
            self.ready = self.started = True
        elif kind == 0x45 and not self.done:  # E
            self.error_code, self.text = error_fields(body)
        elif kind in (0x53, 0x4E) and self.passed < PASSED_OVER_MOST:  # S, N
            self.passed += 1
            if kind == 0x53 and body.startswith(b"gauges\0"):
                self.gauges = body[7:-1]
        elif kind == 0x52 and not self.started and body == b"\0\0\0\0":  # R
            pass
        elif kind == 0x4B and not self.started and len(body) == 8:  # K
            pass
        else:
            raise PgProtocolError("08P01", f"{chr(kind)} out of turn")


def error_fields(body: bytes) -> tuple[str, str]:
    """SQLSTATE and message of an ErrorResponse."""
    fields = {}
    for part in body.split(b"\0"):
        if part:
            fields[part[:1]] = part[1:].decode("latin-1")
    code = fields.get(b"C", "")
    if len(code) != 5 or body[-2:] != b"\0\0":
        raise PgProtocolError("08P01", "an error without a code")
    return code, fields.get(b"M", "")[:200]


def parse_gauges(gauges: bytes | None) -> dict[str, float]:
    """`inflight=7,util=0.61` as numbers; empty where any of it can't be read, is negative or not finite."""
    told = {}
    for part in (gauges or b"").split(b","):
        name, mark, value = part.partition(b"=")
        try:
            number = float(value)
            if not mark or not name or not math.isfinite(number) or number < 0 or len(told) >= 16:
                return {}
            told[name.decode("ascii")] = number
        except ValueError:  # UnicodeDecodeError is one
            return {}
    return told
