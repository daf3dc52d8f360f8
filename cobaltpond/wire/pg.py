"""PostgreSQL's frontend/backend protocol, version 3, simple queries only: encoders, and what clients send.

`pg_responses.py` parses what instances send. Both modules take bytes, give events and do no I/O. They are
written from chapter "Frontend/Backend Protocol" of PostgreSQL's documentation. Lengths are checked before
anything is buffered: a message that can't be acceptable ends the connection at its fifth byte. psycopg and
similar libraries don't fit: they are clients with their own sockets and lack the server side.
"""

import struct

MAX_STARTUP_BYTES = 10_000  # PostgreSQL's own limit of a startup message
MAX_VALUE_BYTES = 64 << 10  # largest value that the platform allows
MAX_QUERY_BYTES = 2 * MAX_VALUE_BYTES + 4096  # a value in hex, and the statement around it
TLS_REQUEST, GSS_REQUEST, CANCEL_REQUEST = 80877103, 80877104, 80877102
ENCRYPTION_REFUSED = b"N"  # the answer to a request for encryption
READY_FOR_QUERY = b"Z\0\0\0\5I"
EMPTY_QUERY_RESPONSE = b"I\0\0\0\4" + READY_FOR_QUERY
_UINT32 = struct.Struct(">I")


class PgProtocolError(Exception):
    """The peer's bytes are no acceptable message; `code` is the SQLSTATE that reports it."""

    def __init__(self, code: str, text: str):
        super().__init__(text)
        self.code = code


def message(kind: bytes, body: bytes) -> bytes:
    """Encodes a message of the type `kind`."""
    return kind + _UINT32.pack(len(body) + 4) + body


def error_response(code: str, text: str, detail: str | None = None, fatal: bool = False) -> bytes:
    """Encodes an ErrorResponse; after a fatal one the connection closes, after another one `READY_FOR_QUERY`
    must follow.
    """
    severity = "FATAL" if fatal else "ERROR"
    fields = [("S", severity), ("V", severity), ("C", code), ("M", text)] + (
        [("D", detail)] if detail else []
    )
    return message(b"E", b"".join(f"{name}{value}\0".encode() for name, value in fields) + b"\0")


def startup_response() -> bytes:
    """Encodes the answer to a startup message: no password, and the parameters that client libraries look
    for.
    """
    parameters = {
        "server_version": "15.0",
        "server_encoding": "UTF8",
        "client_encoding": "UTF8",
        "standard_conforming_strings": "on",
        "integer_datetimes": "on",
        "DateStyle": "ISO, YMD",
    }
    statuses = b"".join(message(b"S", f"{name}\0{value}\0".encode()) for name, value in parameters.items())
    return message(b"R", b"\0\0\0\0") + statuses + message(b"K", b"\0" * 8) + READY_FOR_QUERY


def startup_message(user: str, database: str) -> bytes:
    """Encodes a client's startup message."""
    body = b"\0\3\0\0" + f"user\0{user}\0database\0{database}\0\0".encode()
    return _UINT32.pack(len(body) + 4) + body


def query_message(statement: bytes) -> bytes:
    """Encodes a simple query."""
    return b"Q" + _UINT32.pack(len(statement) + 5) + statement + b"\0"


# An empty query, written ahead of the statement on a kept connection: see `pg_responses.BarrierResponse`.
BARRIER_QUERY = query_message(b"")


class ClientMessageParser:
    """Parses what a client sends.

    Events are (kind, value): ("tls", None), to be answered with `ENCRYPTION_REFUSED`; ("cancel", None);
    ("startup", parameters); ("query", statement); ("end", None) for Terminate; and last, once, ("wrong",
    PgProtocolError).
    """

    def __init__(self):
        self.pending, self.started, self.encryption_requests, self.failed = b"", False, 0, False

    @property
    def has_partial(self) -> bool:
        """Whether a message has arrived in part."""
        return bool(self.pending)

    def feed(self, data: bytes) -> list:
        """Parses bytes and returns their events; after ("wrong", ...) always none."""
        if self.failed:
            return []
        if self.pending:
            data = self.pending + data
        events, offset, size = [], 0, len(data)
        try:
            while offset < size:
                consumed, event = (self.parse_command if self.started else self.parse_startup)(
                    data, offset, size
                )
                if not consumed:
                    break
                offset += consumed
                events.append(event)
        except PgProtocolError as error:
            self.failed = True
            events.append(("wrong", error))
        self.pending = b"" if self.failed else data[offset:]
        return events

    def parse_command(self, data, offset, size):
        """Parses a message after the startup; returns (bytes consumed, event), or (0, None) on an incomplete
        message.
        """
        kind = data[offset]
        if kind not in (0x51, 0x58):  # Q, X
            raise PgProtocolError("08P01", "only simple queries are taken here")
        if size - offset < 5:
            return 0, None
        (length,) = _UINT32.unpack_from(data, offset + 1)
        if not (5 <= length <= MAX_QUERY_BYTES if kind == 0x51 else length == 4):
            raise PgProtocolError("08P01", "a message of an impossible length")
        if size - offset < length + 1:
            return 0, None
        if kind == 0x58:
            return 5, ("end", None)
        statement = data[offset + 5 : offset + length]
        if data[offset + length] or b"\0" in statement:
            raise PgProtocolError("08P01", "a statement ends with its one zero byte")
        return length + 1, ("query", statement)

    def parse_startup(self, data, offset, size):
        """Parses a message up to the startup; returns (bytes consumed, event), or (0, None) on an incomplete
        message.
        """
        if size - offset < 4:
            return 0, None
        (length,) = _UINT32.unpack_from(data, offset)
        if not 8 <= length <= MAX_STARTUP_BYTES:
            raise PgProtocolError("08P01", "a startup message of an impossible length")
        if size - offset < 8:
            return 0, None
        (code,) = _UINT32.unpack_from(data, offset + 4)
        if code in (TLS_REQUEST, GSS_REQUEST):
            self.encryption_requests += 1
            if length != 8 or self.encryption_requests > 2:
                raise PgProtocolError("08P01", "no sense in this wish for encryption")
            return 8, ("tls", None)
        if code == CANCEL_REQUEST and length == 16:
            return (16, ("cancel", None)) if size - offset >= 16 else (0, None)
        if code >> 16 != 3:
            raise PgProtocolError("0A000", "version 3 of the protocol is spoken here")
        if size - offset < length:
            return 0, None
        strings = data[offset + 8 : offset + length].split(b"\0")
        if len(strings) < 4 or len(strings) % 2 or strings[-1] or strings[-2]:
            raise PgProtocolError("08P01", "a startup message names each parameter and its value")
        values = dict(zip(strings[:-2:2], strings[1:-2:2], strict=True))
        if not values.get(b"user"):
            raise PgProtocolError("28000", "a startup message names its user")
        self.started = True
        return length, ("startup", values)
