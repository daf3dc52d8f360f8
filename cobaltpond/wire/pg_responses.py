"""Parses what an instance sends over PostgreSQL's protocol: see `pg.py`."""

import math
import struct

from cobaltpond.wire.pg import MAX_VALUE_BYTES, PgProtocolError

MAX_SKIPPED_MESSAGES = 32  # notices and parameter statuses in one response
MAX_BARRIER_MESSAGES = 64  # messages up to the end of the response to a barrier query
MAX_ERROR_TEXT_CHARACTERS = 200  # of an error's message that are kept
MAX_GAUGES = 16  # fields of a load report
READY_STATES = (b"I", b"T", b"E")  # idle, in a transaction, in a failed transaction
FATAL_SEVERITIES = ("FATAL", "PANIC")  # after an error of these the server closes the connection
GAUGES_PREFIX = b"gauges\0"  # begin of the ParameterStatus that carries a load report

# types of messages
AUTHENTICATION = ord("R")
PARAMETER_STATUS = ord("S")
BACKEND_KEY_DATA = ord("K")
READY_FOR_QUERY = ord("Z")
NOTICE = ord("N")
ROW_DESCRIPTION = ord("T")
DATA_ROW = ord("D")
COMMAND_COMPLETE = ord("C")
ERROR = ord("E")
EMPTY_QUERY = ord("I")
SERVER_MESSAGES = b"RSKZNTDCEI"
RESPONSE_MESSAGES = (ROW_DESCRIPTION, DATA_ROW, COMMAND_COMPLETE, ERROR)
ASYNCHRONOUS_MESSAGES = (PARAMETER_STATUS, NOTICE)

AUTHENTICATION_OK = b"\0\0\0\0"
KEY_DATA_BYTES = 8
HEADER_BYTES = 5  # type and length of a message
_UINT32 = struct.Struct(">I")


class BarrierResponse:
    """Recognizes the response to `pg.BARRIER_QUERY` and skips what arrives ahead of it.

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
        if kind == READY_FOR_QUERY and body in READY_STATES:
            if self.in_surplus_response:
                self.surplus_responses += 1
                self.in_surplus_response = False
            else:
                self.ended = True
        elif kind in RESPONSE_MESSAGES and not self.has_empty_response:
            self.in_surplus_response = True
        elif kind == EMPTY_QUERY and not (self.in_surplus_response or self.has_empty_response):
            self.has_empty_response = True
        elif kind not in ASYNCHRONOUS_MESSAGES:
            raise PgProtocolError("08P01", f"{chr(kind)} out of turn around an empty query")


class ServerMessageParser:
    """Parses what an instance sends on one connection: the startup response, then one response after each
    `expect`.

    `feed` raises PgProtocolError on bytes that can't be a complete response; the connection is unusable then.
    Bytes after a complete response that don't belong to it leave that response valid, but `is_clean` becomes
    False: the connection must not be used again. The same holds after a surplus response ahead of a barrier.
    """

    def __init__(self):
        self.pending, self.ready, self.is_clean, self.started = bytearray(), False, True, False
        self.surplus_responses = 0
        self.expect(None)

    def expect(self, tag: bytes | None, behind_barrier: bool = False) -> None:
        """Prepares for the next response.

        `tag`: the command tag of its CommandComplete; None for the startup response. `behind_barrier`:
        `pg.BARRIER_QUERY` is written ahead of the query.
        """
        self.tag, self.ready = tag, False
        self.barrier = BarrierResponse() if behind_barrier else None
        self.has_description = self.has_row = self.is_complete = False
        self.error_code = None
        self.error_text = ""
        self.gauges = None
        self.skipped_messages = 0
        self.parts = []

    def forget_response(self) -> None:
        """Frees what is kept of the response, once it has been used."""
        self.parts = []
        self.gauges = None

    @property
    def value(self) -> bytes:
        """RowDescription, DataRow and CommandComplete as they were received."""
        return b"".join(self.parts)

    @property
    def held_bytes(self) -> int:
        """How many bytes of the response are kept."""
        return len(self.pending) + sum(map(len, self.parts))

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
            self.pending += data
            if self.missing_bytes() > 0:  # copied once it is complete, not with each piece
                return
            data = bytes(self.pending)
        try:
            consumed = self.handle_messages(data)
        except PgProtocolError:
            self.pending.clear()
            if not self.done:
                raise
            self.is_clean = False  # the response was complete before the fault
            return
        self.pending = bytearray(data[consumed:])
        if self.ready and self.pending:
            self.is_clean = False

    def handle_messages(self, data: bytes) -> int:
        """Handles the messages that have arrived whole, up to the end of the response, and returns their
        bytes. Raises PgProtocolError.
        """
        offset, size = 0, len(data)
        while offset < size and not self.ready:
            length = message_length(data, offset)
            if length is None or size - offset <= length:
                break
            self.handle_message(data[offset : offset + 1 + length])
            offset += 1 + length
        return offset

    def missing_bytes(self) -> int:
        """Returns how many bytes of the message that has begun are still to come; 0 where it is not known."""
        length = message_length(self.pending, 0) if self.pending and not self.ready else None
        return 0 if length is None else length + 1 - len(self.pending)

    def handle_message_before_barrier(self, kind: int, body: bytes) -> None:
        """Handles a message up to the end of the response to the barrier. Raises PgProtocolError."""
        barrier = self.barrier
        barrier.handle_message(kind, body)
        if barrier.surplus_responses:
            self.is_clean = False
        if barrier.ended:
            self.surplus_responses += barrier.surplus_responses
            self.barrier = None

    def handle_message(self, message: bytes) -> None:
        """Handles a complete message. Raises PgProtocolError."""
        kind, body = message[0], message[HEADER_BYTES:]
        if self.barrier is not None:
            if not (kind == ERROR and is_fatal_error(body)):
                self.handle_message_before_barrier(kind, body)
                return
            self.barrier = None  # the session has ended, so neither the barrier nor the query has run
        if kind == DATA_ROW and self.has_description and not self.has_row and not self.done:
            check_row(body)
            self.has_row = True
            self.parts.append(message)
        elif kind == ROW_DESCRIPTION and self.tag is not None and not self.has_description and not self.done:
            check_description(body)
            self.has_description = True
            self.parts.append(message)
        elif kind == COMMAND_COMPLETE and self.has_row and not self.done:
            if body != self.tag:
                raise PgProtocolError("08P01", f"the command ended as {body[:40]!r}")
            self.is_complete = True
            self.parts.append(message)
        elif kind == READY_FOR_QUERY:
            if body not in READY_STATES or not (self.done or self.tag is None):
                raise PgProtocolError("08P01", "ready before an answer")
            self.ready = self.started = True
        elif kind == ERROR and not self.done:
            self.error_code, self.error_text = parse_error(body)
            if is_fatal_error(body):
                self.is_clean = False  # the session has ended
        elif kind in ASYNCHRONOUS_MESSAGES and self.skipped_messages < MAX_SKIPPED_MESSAGES:
            self.skipped_messages += 1
            if kind == PARAMETER_STATUS and body.startswith(GAUGES_PREFIX):
                self.gauges = body[len(GAUGES_PREFIX) : -1]
        elif not self.is_startup_message(kind, body):
            raise PgProtocolError("08P01", f"{chr(kind)} out of turn")

    def is_startup_message(self, kind: int, body: bytes) -> bool:
        """Returns whether a message belongs to the startup response and may come now."""
        if self.started:
            return False
        if kind == AUTHENTICATION:
            return body == AUTHENTICATION_OK
        return kind == BACKEND_KEY_DATA and len(body) == KEY_DATA_BYTES


def message_length(data: bytes | bytearray, offset: int) -> int | None:
    """Returns the length of the message at `offset`, its own four bytes included; None while it is unknown.

    The length is checked before the rest has arrived. Raises PgProtocolError.
    """
    if data[offset] not in SERVER_MESSAGES:
        raise PgProtocolError("08P01", f"no message begins with {data[offset]:#x}")
    if len(data) - offset < HEADER_BYTES:
        return None
    (length,) = _UINT32.unpack_from(data, offset + 1)
    if not 4 <= length <= MAX_VALUE_BYTES + 64:
        raise PgProtocolError("08P01", f"a message of {length} bytes")
    return length


def check_row(body: bytes) -> None:
    """Checks that a DataRow holds one value of an allowed size. Raises PgProtocolError."""
    count = int.from_bytes(body[:2], "big")
    size = int.from_bytes(body[2:6], "big")
    if count != 1 or size != len(body) - 6 or size > MAX_VALUE_BYTES:
        raise PgProtocolError("08P01", "no row of one value")


def check_description(body: bytes) -> None:
    """Checks that a RowDescription describes one column. Raises PgProtocolError."""
    name_end = body.find(b"\0", 2)
    if body[:2] != b"\0\1" or name_end < 0 or len(body) != name_end + 19:
        raise PgProtocolError("08P01", "no description of one column")


def error_fields(body: bytes) -> dict[bytes, str]:
    """Splits the body of an ErrorResponse into its fields by their type."""
    return {part[:1]: part[1:].decode("latin-1") for part in body.split(b"\0") if part}


def is_fatal_error(body: bytes) -> bool:
    """Returns whether the body of an ErrorResponse says that the session has ended."""
    fields = error_fields(body)
    return fields.get(b"V", fields.get(b"S")) in FATAL_SEVERITIES


def parse_error(body: bytes) -> tuple[str, str]:
    """Parses an ErrorResponse. Returns (SQLSTATE, first MAX_ERROR_TEXT_CHARACTERS of the message).

    Raises PgProtocolError without a SQLSTATE.
    """
    fields = error_fields(body)
    code = fields.get(b"C", "")
    if len(code) != 5 or body[-2:] != b"\0\0":
        raise PgProtocolError("08P01", "an error without a code")
    return code, fields.get(b"M", "")[:MAX_ERROR_TEXT_CHARACTERS]


def parse_gauges(gauges: bytes | None) -> dict[str, float]:
    """Parses gauges such as `inflight=7,util=0.61`.

    Returns an empty map for None, or where any of them is unreadable, negative or not finite.
    """
    values = {}
    for part in (gauges or b"").split(b","):
        name, separator, value = part.partition(b"=")
        try:
            number = float(value)
            if (
                not separator
                or not name
                or not math.isfinite(number)
                or number < 0
                or len(values) >= MAX_GAUGES
            ):
                return {}
            values[name.decode("ascii")] = number
        except ValueError:  # includes UnicodeDecodeError
            return {}
    return values
