"""PostgreSQL's frontend/backend protocol, version 3, simple queries only: both sides, bytes in, events out.

The module does no I/O. It is written from chapter "Frontend/Backend Protocol" of PostgreSQL's documentation.
Lengths are checked before anything is buffered: a message that can't be acceptable ends the connection at its
fifth byte. psycopg and similar libraries don't fit: they are clients with their own sockets and lack the
server side.
"""

import math
import struct

MAX_STARTUP_BYTES = 10_000  # PostgreSQL's own limit of a startup message
MAX_VALUE_BYTES = 64 << 10  # largest value that the platform allows
MAX_QUERY_BYTES = 2 * MAX_VALUE_BYTES + 4096  # a value in hex, and the statement around it
MAX_SKIPPED_MESSAGES = 32  # notices and parameter statuses in one response
MAX_BARRIER_MESSAGES = 64  # messages up to the end of the response to a barrier query
TLS_REQUEST, GSS_REQUEST, CANCEL_REQUEST = 80877103, 80877104, 80877102
ENCRYPTION_REFUSED = b"N"  # the answer to a request for encryption
READY_FOR_QUERY = b"Z\0\0\0\5I"
READY_STATES = (b"I", b"T", b"E")  # idle, in a transaction, in a failed transaction
EMPTY_QUERY_RESPONSE = b"I\0\0\0\4" + READY_FOR_QUERY
FATAL_SEVERITIES = ("FATAL", "PANIC")  # after an error of these the server closes the connection
_UINT32, _TWO_UINT32 = struct.Struct(">I"), struct.Struct(">II")


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


# An empty query, written ahead of the statement on a kept connection: see `BarrierResponse`.
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


class BarrierResponse:
    """Recognizes the response to `BARRIER_QUERY` and skips what arrives ahead of it.

    Responses carry no identifier, but they arrive in the order of the queries. A duplicate of an earlier
    response that arrives late, however late, therefore precedes the response to the barrier, and the response
    to the statement written behind the barrier follows it. The response is EmptyQueryResponse and
    ReadyForQuery; some servers send ReadyForQuery alone. Nothing that is skipped is kept.
    """

    def __init__(self):
        self.message_count = 0
        self.surplus_responses = 0
        self.in_surplus_response = False
        self.has_empty_response = False
        self.ended = False

    def handle_message(self, kind: int, body: bytes) -> None:
        """Handles one complete message. Raises PgProtocolError."""
        self.message_count += 1
        if self.message_count > MAX_BARRIER_MESSAGES:
            raise PgProtocolError("08P01", "too many messages ahead of the response to an empty query")
        if kind == 0x5A and body in READY_STATES:  # Z
            if self.in_surplus_response:
                self.surplus_responses += 1
                self.in_surplus_response = False
            else:
                self.ended = True
        elif kind in b"TDCE" and not self.has_empty_response:
            self.in_surplus_response = True
        elif kind == 0x49 and not (self.in_surplus_response or self.has_empty_response):  # I
            self.has_empty_response = True
        elif kind not in b"SN":
            raise PgProtocolError("08P01", f"{chr(kind)} out of turn around an empty query")


class ServerMessageParser:
    """Parses what an instance sends on one connection: the startup response, then one response after each
    `expect`.

    `feed` raises PgProtocolError on bytes that can't be a complete response; the connection is unusable then.
    Bytes after a complete response that don't belong to it leave that response valid, but `is_clean` becomes
    False: the connection must not be used again. The same holds after a surplus response ahead of a barrier.
    """

    def __init__(self):
        self.pending, self.ready, self.is_clean, self.started = b"", False, True, False
        self.surplus_responses = 0
        self.expect(None)

    def expect(self, tag: bytes | None, behind_barrier: bool = False) -> None:
        """Prepares for the next response.

        `tag`: the command tag of its CommandComplete; None for the startup response. `behind_barrier`:
        `BARRIER_QUERY` is written ahead of the query.
        """
        self.tag, self.ready = tag, False
        self.barrier = BarrierResponse() if behind_barrier else None
        self.has_description = self.has_row = self.is_complete = False
        self.error_code = None
        self.error_text = ""
        self.gauges = None
        self.skipped_messages = 0
        self.parts = []

    @property
    def value(self) -> bytes:
        """RowDescription, DataRow and CommandComplete as they were received."""
        return b"".join(self.parts)

    @property
    def shown_value(self) -> bytes | None:
        """The row's only column; None before the row."""
        return self.parts[1][11:] if self.has_row else None

    @property
    def done(self) -> bool:
        """Whether the response is complete, as a row or as an error."""
        return self.is_complete or self.error_code is not None

    @property
    def has_begun(self) -> bool:
        """Whether part of a response has arrived."""
        return self.barrier is None and (self.has_description or bool(self.pending))

    @property
    def reusable(self) -> bool:
        """Whether the connection may be used for another query."""
        return self.ready and self.is_clean and not self.pending

    def feed(self, data: bytes) -> None:
        """Parses bytes; the results are in the attributes. Raises PgProtocolError."""
        if self.ready:  # these bytes follow no query
            self.is_clean = False
            return
        if self.pending:
            data = self.pending + data
        offset, size = 0, len(data)
        try:
            while offset < size and not self.ready:
                length = self.message_length(data, offset, size)
                if length is None or size - offset <= length:
                    break
                self.handle_message(data[offset], data, offset, offset + 1 + length)
                offset += 1 + length
        except PgProtocolError:
            if not self.done:
                raise
            self.is_clean = False  # the response was complete before the fault
            self.pending = b""
            return
        self.pending = data[offset:]
        if self.ready and self.pending:
            self.is_clean = False

    def message_length(self, data, offset, size) -> int | None:
        """Returns the length of the message at `offset`, its own four bytes included; None while it is
        unknown.

        The length is checked before the rest has arrived. Raises PgProtocolError.
        """
        if data[offset] not in b"RSKZNTDCEI":
            raise PgProtocolError("08P01", f"no message begins with {data[offset]:#x}")
        if size - offset < 5:
            return None
        (length,) = _UINT32.unpack_from(data, offset + 1)
        if not 4 <= length <= MAX_VALUE_BYTES + 64:
            raise PgProtocolError("08P01", f"a message of {length} bytes")
        return length

    def handle_message_before_barrier(self, kind: int, body: bytes) -> None:
        """Handles a message up to the end of the response to the barrier. Raises PgProtocolError."""
        barrier = self.barrier
        barrier.handle_message(kind, body)
        if barrier.surplus_responses:
            self.is_clean = False
        if barrier.ended:
            self.surplus_responses += barrier.surplus_responses
            self.barrier = None

    def handle_message(self, kind, data, offset, end) -> None:
        """Handles the complete message in data[offset:end]. Raises PgProtocolError."""
        body = data[offset + 5 : end]
        if self.barrier is not None:
            if not (kind == 0x45 and is_fatal_error(body)):
                self.handle_message_before_barrier(kind, body)
                return
            self.barrier = None  # the session has ended, so neither the barrier nor the query has run
        if kind == 0x44 and self.has_description and not self.has_row and not self.done:  # D
            count = int.from_bytes(body[:2], "big")
            size = int.from_bytes(body[2:6], "big")
            if count != 1 or size != len(body) - 6 or size > MAX_VALUE_BYTES:
                raise PgProtocolError("08P01", "no row of one value")
            self.has_row = True
            self.parts.append(data[offset:end])
        elif kind == 0x54 and self.tag is not None and not self.has_description and not self.done:  # T
            name = body.find(b"\0", 2)
            if body[:2] != b"\0\1" or name < 0 or len(body) != name + 19:
                raise PgProtocolError("08P01", "no description of one column")
            self.has_description = True
            self.parts.append(data[offset:end])
        elif kind == 0x43 and self.has_row and not self.done:  # C
            if body != self.tag:
                raise PgProtocolError("08P01", f"the command ended as {body[:40]!r}")
            self.is_complete = True
            self.parts.append(data[offset:end])
        elif kind == 0x5A:  # Z
            if body not in READY_STATES or not (self.done or self.tag is None):
                raise PgProtocolError("08P01", "ready before an answer")
            self.ready = self.started = True
        elif kind == 0x45 and not self.done:  # E
            self.error_code, self.error_text = parse_error(body)
        elif kind in (0x53, 0x4E) and self.skipped_messages < MAX_SKIPPED_MESSAGES:  # S, N
            self.skipped_messages += 1
            if kind == 0x53 and body.startswith(b"gauges\0"):
                self.gauges = body[7:-1]
        elif kind == 0x52 and not self.started and body == b"\0\0\0\0":  # R
            pass
        elif kind == 0x4B and not self.started and len(body) == 8:  # K
            pass
        else:
            raise PgProtocolError("08P01", f"{chr(kind)} out of turn")


def error_fields(body: bytes) -> dict[bytes, str]:
    """Splits the body of an ErrorResponse into its fields by their type."""
    return {part[:1]: part[1:].decode("latin-1") for part in body.split(b"\0") if part}


def is_fatal_error(body: bytes) -> bool:
    """Returns whether the body of an ErrorResponse says that the session has ended."""
    fields = error_fields(body)
    return fields.get(b"V", fields.get(b"S")) in FATAL_SEVERITIES


def parse_error(body: bytes) -> tuple[str, str]:
    """Parses an ErrorResponse. Returns (SQLSTATE, message of at most 200 characters).

    Raises PgProtocolError without a SQLSTATE.
    """
    fields = error_fields(body)
    code = fields.get(b"C", "")
    if len(code) != 5 or body[-2:] != b"\0\0":
        raise PgProtocolError("08P01", "an error without a code")
    return code, fields.get(b"M", "")[:200]


def parse_gauges(gauges: bytes | None) -> dict[str, float]:
    """Parses gauges such as `inflight=7,util=0.61`.

    Returns an empty map for None, or where any of them is unreadable, negative or not finite.
    """
    values = {}
    for part in (gauges or b"").split(b","):
        name, separator, value = part.partition(b"=")
        try:
            number = float(value)
            if not separator or not name or not math.isfinite(number) or number < 0 or len(values) >= 16:
                return {}
            values[name.decode("ascii")] = number
        except ValueError:  # includes UnicodeDecodeError
            return {}
    return values
