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
    """Parses what a client sends: `add` takes bytes, `next_event` gives one event after another.

    Events are (kind, value): ("tls", None), to be answered with `ENCRYPTION_REFUSED`; ("cancel", None);
    ("startup", parameters); ("query", statement); ("end", None) for Terminate; and last, once, ("wrong",
    PgProtocolError).
    """

    def __init__(self):
        # The bytes of the buffer from `offset` on are not parsed; it is empty once all are.
        self.buffer, self.offset = bytearray(), 0
        self.started, self.encryption_requests, self.failed = False, 0, False

    @property
    def pending_bytes(self) -> int:
        """How many bytes are not parsed yet."""
        return len(self.buffer) - self.offset

    @property
    def has_partial(self) -> bool:
        """Whether bytes are there that are not parsed yet, such as a part of a message."""
        return bool(self.buffer)

    def add(self, data: bytes) -> None:
        """Adds bytes that the client has sent; after ("wrong", ...) they are dropped."""
        if not self.failed:
            self.discard_parsed()
            self.buffer += data

    def discard_parsed(self) -> None:
        """Frees what has been parsed."""
        if self.offset:
            del self.buffer[: self.offset]
            self.offset = 0

    def discard_all(self) -> None:
        """Frees all bytes; nothing is parsed any more."""
        self.failed, self.buffer, self.offset = True, bytearray(), 0

    def feed(self, data: bytes) -> list:
        """Adds bytes and returns the events that they complete."""
        self.add(data)
        events = []
        while (event := self.next_event()) is not None:
            events.append(event)
        return events

    def next_event(self) -> tuple | None:
        """Returns the next event; None until more bytes are added."""
        if self.failed or not self.buffer:
            return None
        try:
            consumed, event = self.parse_command() if self.started else self.parse_startup()
        except PgProtocolError as error:
            self.discard_all()
            return "wrong", error
        self.offset += consumed
        if self.offset == len(self.buffer):
            self.discard_parsed()
        return event

    def message_length(self) -> int:
        """Returns the length of the message that has begun, as far as its first bytes tell; 0 where they do
        not.
        """
        type_bytes = 1 if self.started else 0
        if self.failed or self.pending_bytes < type_bytes + 4:
            return 0
        (length,) = _UINT32.unpack_from(self.buffer, self.offset + type_bytes)
        return length + type_bytes

    def bytes_at(self, start: int, end: int) -> bytes:
        """Returns a copy of bytes that are not parsed yet, counted from the first of them."""
        with memoryview(self.buffer) as view:
            return bytes(view[self.offset + start : self.offset + end])

    def parse_command(self) -> tuple:
        """Parses a message after the startup; returns (bytes consumed, event), or (0, None) on an incomplete
        message.
        """
        size, kind = len(self.buffer) - self.offset, self.buffer[self.offset]
        if kind not in (0x51, 0x58):  # Q, X
            raise PgProtocolError("08P01", "only simple queries are taken here")
        if size < 5:
            return 0, None
        (length,) = _UINT32.unpack_from(self.buffer, self.offset + 1)
        if not (5 <= length <= MAX_QUERY_BYTES if kind == 0x51 else length == 4):
            raise PgProtocolError("08P01", "a message of an impossible length")
        if size < length + 1:
            return 0, None
        if kind == 0x58:
            return 5, ("end", None)
        statement = self.bytes_at(5, length)
        if self.buffer[self.offset + length] or b"\0" in statement:
            raise PgProtocolError("08P01", "a statement ends with its one zero byte")
        return length + 1, ("query", statement)

    def parse_startup(self) -> tuple:
        """Parses a message up to the startup; returns (bytes consumed, event), or (0, None) on an incomplete
        message.
        """
        size = self.pending_bytes
        if size < 4:
            return 0, None
        (length,) = _UINT32.unpack_from(self.buffer, self.offset)
        if not 8 <= length <= MAX_STARTUP_BYTES:
            raise PgProtocolError("08P01", "a startup message of an impossible length")
        if size < 8:
            return 0, None
        (code,) = _UINT32.unpack_from(self.buffer, self.offset + 4)
        if code in (TLS_REQUEST, GSS_REQUEST):
            self.encryption_requests += 1
            if length != 8 or self.encryption_requests > 2:
                raise PgProtocolError("08P01", "no sense in this wish for encryption")
            return 8, ("tls", None)
        if code == CANCEL_REQUEST and length == 16:
            return (16, ("cancel", None)) if size >= 16 else (0, None)
        if code >> 16 != 3:
            raise PgProtocolError("0A000", "version 3 of the protocol is spoken here")
        if size < length:
            return 0, None
        strings = self.bytes_at(8, length).split(b"\0")
        if len(strings) < 4 or len(strings) % 2 or strings[-1] or strings[-2]:
            raise PgProtocolError("08P01", "a startup message names each parameter and its value")
        values = dict(zip(strings[:-2:2], strings[1:-2:2], strict=True))
        if not values.get(b"user"):
            raise PgProtocolError("28000", "a startup message names its user")
        self.started = True
        return length, ("startup", values)
