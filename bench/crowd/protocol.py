"""The client's side of PostgreSQL's protocol, version 3, as the platform uses it; it shares no code with the
gateway's codec.
"""

import asyncio
import re
import struct

LARGE_VALUE_BYTES = 64 << 10  # the largest value that the platform allows
READY = b"Z\0\0\0\5I"
COMMENT = re.compile(rb"/\* id=([0-9a-f]{16}),c=([^,]*),t=([^,]*),d=(\d+)(?:,k=([0-9a-f]{16}))?")
REFUSAL_CODES = ("53300", "57P03")


def message(kind: bytes, body: bytes) -> bytes:
    """Encodes a message."""
    return kind + struct.pack(">I", len(body) + 4) + body


def startup_message(fields: bytes = b"user\0web\0database\0orders\0") -> bytes:
    """Encodes a startup message with these parameters."""
    body = b"\0\3\0\0" + fields + b"\0"
    return struct.pack(">I", len(body) + 4) + body


def query(text: bytes) -> bytes:
    """Encodes a simple query."""
    return message(b"Q", text + b"\0")


def select(
    request_id: int, time_left_ms: int, group: str = "listing-read", tenant: str = "emajoe-hall"
) -> bytes:
    """Encodes a small request that may be repeated."""
    text = (
        f"SELECT payload FROM entries WHERE ref = '{request_id:016x}' "
        f"/* id={request_id:016x},c={group},t={tenant},d={time_left_ms} */"
    )
    return query(text.encode())


def insert(request_id: int, time_left_ms: int, value: bytes = b"9f03", group: str = "resale-buy") -> bytes:
    """Encodes a request with a value in hex; a key of its own is sent in every class."""
    text = (
        b"INSERT INTO entries (ref, payload) VALUES ('%016x', '\\x%b') RETURNING payload "
        b"/* id=%016x,c=%b,t=emajoe-hall,d=%d,k=%016x */"
    )
    return query(text % (request_id, value, request_id, group.encode(), time_left_ms, request_id))


def response(value: bytes, statement: bytes) -> bytes:
    """Encodes an instance's whole response: one row of one column."""
    tag = b"SELECT 1" if statement.startswith(b"SELECT") else b"INSERT 0 1"
    column = b"payload\0" + struct.pack(">IhIhih", 0, 0, 17, -1, -1, 1)
    return (
        message(b"T", b"\0\1" + column)
        + message(b"D", b"\0\1" + struct.pack(">I", len(value)) + value)
        + message(b"C", tag + b"\0")
        + READY
    )


async def read_messages(reader: asyncio.StreamReader) -> list[tuple[bytes, bytes]]:
    """Reads messages up to ReadyForQuery; the last one is (b"", b"") where the connection ended before it."""
    got = []
    while True:
        try:
            head = await reader.readexactly(5)
            body = await reader.readexactly(struct.unpack(">I", head[1:])[0] - 4)
        except (asyncio.IncompleteReadError, OSError):
            return [*got, (b"", b"")]
        if head[:1] == b"Z":
            return got
        got.append((head[:1], body))


def outcome(messages: list[tuple[bytes, bytes]]) -> tuple[str, bytes]:
    """Returns ("served", value), (SQLSTATE, b""), ("empty", b"") or ("closed", b"")."""
    for kind, body in messages:
        if kind == b"D":
            is_complete = any(other == b"C" for other, _ in messages)
            return ("served", body[6:]) if is_complete else ("closed", b"")
        if kind == b"E":
            fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
            return fields[b"C"], b""
        if kind == b"I":
            return "empty", b""
    return "closed", b""
