"""Datagrams between gateways: at most 256 bytes with the six of `gateway/peers.py`. Free of I/O.

version (major << 4 | minor)   1 byte     another major is not read, another minor is
kind                           1          what is asked or answered
checksum                       4          crc32 of sender, receiver and all that follows
receiver                       2          guards against an address that changed hands
sequence                       4          an answer repeats that of its question
stamp                          4          of this start, rising: an old datagram's facts are not taken for new
fields: tag 1, length 1, value            a tag that is not known is skipped, a longer value read as far as
known
"""

from struct import calcsize, pack, unpack, unpack_from
from zlib import crc32

from cobaltpond.members.states import CODES, NAMES, UNHEARD

MAJOR, MINOR = 1, 0
PING, ACK, INDIRECT_PING, NACK, LEAVE, TRIAL_ASK, TRIAL_REPLY, WARM_ASK, WARM_REPLY = (
    1,
    2,
    3,
    4,
    5,
    6,
    7,
    8,
    9,
)
LEASE_ASK, LEASE_REPLY = 10, 11
MAX_BYTES = 250  # of a datagram's 256 bytes, what is left for us
HEAD = ">BBIHII"
HEADER_SIZE = calcsize(HEAD)
SELF, ROWS, ABOUT, NEWS, DRAINS, DIGEST, TRIAL, WARM, LEASES = 1, 2, 3, 4, 5, 6, 7, 8, 9
# start (microseconds of the calendar), incarnation, state, zone, version, settings, list's revision, build,
# stage, phase, hits out, share let in (of 255), flags
FACTS = ">QIBIHIIIBBHBB"
FACT_NAMES = (
    "start",
    "incarnation",
    "state",
    "zone",
    "version",
    "settings",
    "revision",
    "build",
    "stage",
    "phase",
    "out",
    "admitted",
    "flags",
)
READY, DRAINING, ALONE, SETTLED = 1, 2, 4, 8  # settled: others may ask it what it knows
ROW = ">HQIBH"  # number, start, incarnation, state, who says so
ROW_SIZE = calcsize(ROW)
NEWS_FORM = ">IBBHI"  # build, stage, phase, cap of 65535, age in milliseconds
DRAINS_MOST = 6
TRIAL_FORM, TRIAL_MOST = ">IBIIH", 10  # build, place of the path group, hits, errored, age in 10 ms
# mark of an instance's start, pace in twentieths, load, faults of 255, flags, age in tenths of a second
WARM_FORM, WARM_MOST, PACE_PART = ">IBBBBB", 15, 20
LEASES_FORM, LEASES_MOST = ">BQIII", 7  # limit, value, amount, when it was asked, fence


class DatagramError(Exception):
    """A datagram that is not read: the text is one of a few words, fit to be counted."""


def zone_mark(zone: str) -> int:
    return crc32(zone.encode())


def field(tag: int, value: bytes) -> bytes:
    return pack(">BB", tag, len(value)) + value


def encode_datagram(kind: int, sender: int, receiver: int, sequence: int, stamp: int, fields: bytes) -> bytes:
    """A whole datagram. Raises ValueError where it is too long."""
    if HEADER_SIZE + len(fields) > MAX_BYTES:
        raise ValueError(f"{HEADER_SIZE + len(fields)} bytes")
    rest = pack(">HII", receiver, sequence, stamp) + fields
    check = crc32(pack(">HBB", sender, MAJOR << 4 | MINOR, kind) + rest)
    return pack(">BBI", MAJOR << 4 | MINOR, kind, check) + rest


def decode_datagram(sender: int, receiver: int, data: bytes) -> tuple[int, int, int, dict]:
    """(kind, sequence, stamp, {tag: value}). Raises DatagramError."""
    if len(data) < HEADER_SIZE or len(data) > MAX_BYTES:
        raise DatagramError("length")
    version, kind, check, to, sequence, stamp = unpack_from(HEAD, data)
    if version >> 4 != MAJOR:
        raise DatagramError("version")
    if check != crc32(pack(">HBB", sender, version, kind) + data[6:]):
        raise DatagramError("checksum")
    if to != receiver:
        raise DatagramError("receiver")
    fields, at = {}, HEADER_SIZE
    while at < len(data):
        if at + 2 > len(data) or at + 2 + data[at + 1] > len(data):
            raise DatagramError("field")
        fields.setdefault(data[at], data[at + 2 : at + 2 + data[at + 1]])
        at += 2 + data[at + 1]
    return kind, sequence, stamp, fields


def self_field(facts: dict) -> bytes:
    return field(SELF, pack(FACTS, *(facts[name] for name in FACT_NAMES)))


def facts_of(fields: dict) -> dict:
    """Raises DatagramError: who says nothing of itself is nobody."""
    value = fields.get(SELF, b"")
    if len(value) < calcsize(FACTS):
        raise DatagramError("field")
    facts = dict(zip(FACT_NAMES, unpack_from(FACTS, value), strict=True))
    if NAMES.get(facts["state"], UNHEARD) == UNHEARD:
        raise DatagramError("field")
    return facts


def row(number: int, start: int, incarnation: int, state: str, by: int) -> bytes:
    return pack(ROW, number, start, incarnation, CODES[state], by)


def rows_of(fields: dict) -> list[tuple]:
    """(number, start, incarnation, state, who says so). Raises DatagramError."""
    value = fields.get(ROWS, b"")
    if len(value) % ROW_SIZE:
        raise DatagramError("field")
    rows = [unpack(ROW, value[at : at + ROW_SIZE]) for at in range(0, len(value), ROW_SIZE)]
    if any(NAMES.get(told[3], UNHEARD) == UNHEARD for told in rows):
        raise DatagramError("field")
    return [(*told[:3], NAMES[told[3]], told[4]) for told in rows]


def number_of(fields: dict, tag: int, form: str) -> int | None:
    """The one number of a field, None where there is no such field. Raises DatagramError."""
    value = fields.get(tag)
    if value is None:
        return None
    if len(value) < calcsize(form):
        raise DatagramError("field")
    return unpack_from(form, value)[0]


def news_field(build: int, stage: int, phase: int, cap: float, age: int) -> bytes:
    """`age`: microseconds since the desk began this phase and stage."""
    return field(NEWS, pack(NEWS_FORM, build, stage, phase, round(cap * 65535), min(age // 1000, 0xFFFFFFFF)))


def news_of(fields: dict) -> tuple | None:
    """(build, stage, phase, cap, age). Raises DatagramError."""
    value = fields.get(NEWS)
    if value is None:
        return None
    if len(value) < calcsize(NEWS_FORM):
        raise DatagramError("field")
    build, stage, phase, cap, age = unpack_from(NEWS_FORM, value)
    return build, stage, phase, cap / 65535, age * 1000


def drains_of(fields: dict) -> list[int]:
    """Tags of instances (`decisions/sample_message.py`). Raises DatagramError."""
    value = fields.get(DRAINS, b"")
    if len(value) % 4 or len(value) > 4 * DRAINS_MOST:
        raise DatagramError("field")
    return list(unpack(f">{len(value) // 4}I", value))


def trial_field(rows) -> bytes:
    """`rows`: (build, place of the path group, hits, errored, age in microseconds)."""
    return field(
        TRIAL,
        b"".join(
            pack(
                TRIAL_FORM,
                build,
                group,
                min(hits, 0xFFFFFFFF),
                min(errored, 0xFFFFFFFF),
                min(age // 10_000, 0xFFFF),
            )
            for build, group, hits, errored, age in rows
        ),
    )


def trial_of(fields: dict) -> list[tuple]:
    """Raises DatagramError."""
    value, size = fields.get(TRIAL, b""), calcsize(TRIAL_FORM)
    if len(value) % size or len(value) > size * TRIAL_MOST:
        raise DatagramError("field")
    rows = [unpack(TRIAL_FORM, value[at : at + size]) for at in range(0, len(value), size)]
    return [(*told[:4], told[4] * 10_000) for told in rows]


def warm_field(rows) -> bytes:
    """`rows`: (mark, pace, load, faults, flags, age in microseconds), at most `WARM_MOST`."""
    return field(
        WARM,
        b"".join(
            pack(
                WARM_FORM,
                mark,
                min(255, int(pace * PACE_PART)),
                min(255, int(load)),
                min(255, int(faults * 255)),
                flags & 255,
                min(255, age // 100_000),
            )
            for mark, pace, load, faults, flags, age in rows[:WARM_MOST]
        ),
    )


def warm_of(fields: dict) -> list[tuple]:
    """Raises DatagramError."""
    value, size = fields.get(WARM, b""), calcsize(WARM_FORM)
    if len(value) % size or len(value) > size * WARM_MOST:
        raise DatagramError("field")
    rows = [unpack(WARM_FORM, value[at : at + size]) for at in range(0, len(value), size)]
    return [
        (mark, pace / PACE_PART, load, faults / 255, flags, age * 100_000)
        for mark, pace, load, faults, flags, age in rows
    ]


def leases_field(rows) -> bytes:
    """`rows`: (place of the limit, digest of the value, amount, when it was asked in milliseconds, fence)."""
    return field(
        LEASES,
        b"".join(
            pack(LEASES_FORM, place, digest, min(amount, 0xFFFFFFFF), asked, fence)
            for place, digest, amount, asked, fence in rows[:LEASES_MOST]
        ),
    )


def leases_of(fields: dict) -> list[tuple]:
    """Raises DatagramError."""
    value, size = fields.get(LEASES, b""), calcsize(LEASES_FORM)
    if len(value) % size or len(value) > size * LEASES_MOST:
        raise DatagramError("field")
    return [unpack(LEASES_FORM, value[at : at + size]) for at in range(0, len(value), size)]


def drains_field(tags) -> bytes:
    return field(DRAINS, pack(f">{len(tags)}I", *tags))
