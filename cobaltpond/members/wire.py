"""The datagrams between gateways: at most 256 bytes, six of them the header of `gateway/peers.py`.

version (major << 4 | minor)   1 byte     another major version is rejected, another minor one is read
kind                           1          PING, ACK, ... below
checksum                       4          crc32 of the sender's number, version, kind and all that follows
receiver                       2          rejects datagrams to an address that another gateway had before
sequence                       4          a reply repeats the number of its request
stamp                          4          rises within a start: older facts never replace newer ones
fields: tag 1, length 1, value            an unknown tag is skipped; of a value that is longer than known
                                          and holds no rows, the known part is read

The module does no I/O.
"""

from struct import calcsize, pack, unpack, unpack_from
from zlib import crc32

from cobaltpond.members.states import STATE_CODES, STATE_NAMES, UNHEARD

MAJOR, MINOR = 1, 0
PING = 1
ACK = 2
INDIRECT_PING = 3
NACK = 4
LEAVE = 5
TRIAL_REQUEST = 6
TRIAL_REPLY = 7
WARM_REQUEST = 8
WARM_REPLY = 9
LEASE_REQUEST, LEASE_REPLY = 10, 11
MAX_BYTES = 250  # of the 256 of a datagram, without the header of gateway/peers.py
HEADER_FORMAT = ">BBIHII"
HEADER_SIZE = calcsize(HEADER_FORMAT)
SELF, ROWS, SUBJECT, NEWS, DRAINS, DIGEST, TRIAL, WARM, LEASES = 1, 2, 3, 4, 5, 6, 7, 8, 9
# start (microseconds since 1970), incarnation, state, zone digest, program version, settings digest,
# revision of the instance list, build, stage, phase, hits in flight, share of hits admitted in 1/255, flags
FACTS_FORMAT = ">QIBIHIIIBBHBB"
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
READY, DRAINING, ALONE, SETTLED = 1, 2, 4, 8  # SETTLED: other gateways may request warm start rows
ROW_FORMAT = ">HQIBH"  # number, start, incarnation, state, reporter
ROW_SIZE = calcsize(ROW_FORMAT)
NEWS_FORMAT = ">IBBHI"  # build, stage, phase, cap in units of 1/65535, age in milliseconds
MAX_DRAINS = 6
TRIAL_FORMAT, MAX_TRIAL_ROWS = ">IBIIH", 10  # build, index of the path group, hits, errored, age in 10 ms
# digest of an instance's start, latency ratio in 1/20, load, faults in 1/255, flags, age in units of 100 ms
WARM_FORMAT, MAX_WARM_ROWS, LATENCY_RATIO_UNITS = ">IBBBBB", 15, 20
# index of the limit, digest of the value, amount, request time in ms, fencing token
LEASES_FORMAT, MAX_LEASE_ROWS = ">BQIII", 7


class DatagramError(Exception):
    """A datagram that cannot be read. The text is a counter key."""


def zone_digest(zone: str) -> int:
    """Returns the crc32 of the zone's name."""
    return crc32(zone.encode())


def encode_field(tag: int, value: bytes) -> bytes:
    """Encodes one field with its tag and length. The value is at most 255 bytes."""
    return pack(">BB", tag, len(value)) + value


def encode_datagram(kind: int, sender: int, receiver: int, sequence: int, stamp: int, fields: bytes) -> bytes:
    """Encodes a whole datagram. Raises ValueError if it is longer than MAX_BYTES."""
    if HEADER_SIZE + len(fields) > MAX_BYTES:
        raise ValueError(f"{HEADER_SIZE + len(fields)} bytes")
    body = pack(">HII", receiver, sequence, stamp) + fields
    check = crc32(pack(">HBB", sender, MAJOR << 4 | MINOR, kind) + body)
    return pack(">BBI", MAJOR << 4 | MINOR, kind, check) + body


def decode_datagram(sender: int, receiver: int, data: bytes) -> tuple[int, int, int, dict]:
    """Decodes a datagram. Returns (kind, sequence, stamp, {tag: value}). Raises DatagramError.

    Of a repeated tag the first value counts."""
    if len(data) < HEADER_SIZE or len(data) > MAX_BYTES:
        raise DatagramError("length")
    version, kind, check, addressee, sequence, stamp = unpack_from(HEADER_FORMAT, data)
    if version >> 4 != MAJOR:
        raise DatagramError("version")
    if check != crc32(pack(">HBB", sender, version, kind) + data[6:]):
        raise DatagramError("checksum")
    if addressee != receiver:
        raise DatagramError("receiver")
    fields, at = {}, HEADER_SIZE
    while at < len(data):
        if at + 2 > len(data) or at + 2 + data[at + 1] > len(data):
            raise DatagramError("field")
        fields.setdefault(data[at], data[at + 2 : at + 2 + data[at + 1]])
        at += 2 + data[at + 1]
    return kind, sequence, stamp, fields


def encode_facts(facts: dict) -> bytes:
    """Encodes the sender's description of itself; `facts` has the keys of FACT_NAMES."""
    return encode_field(SELF, pack(FACTS_FORMAT, *(facts[name] for name in FACT_NAMES)))


def decode_facts(fields: dict) -> dict:
    """Decodes the sender's facts. Returns them by FACT_NAMES.

    Raises DatagramError, also where the field is missing or its state is unknown."""
    value = fields.get(SELF, b"")
    if len(value) < calcsize(FACTS_FORMAT):
        raise DatagramError("field")
    facts = dict(zip(FACT_NAMES, unpack_from(FACTS_FORMAT, value), strict=True))
    if STATE_NAMES.get(facts["state"], UNHEARD) == UNHEARD:
        raise DatagramError("field")
    return facts


def encode_row(number: int, start: int, incarnation: int, state: str, reporter: int) -> bytes:
    """Encodes one row of the membership table."""
    return pack(ROW_FORMAT, number, start, incarnation, STATE_CODES[state], reporter)


def decode_rows(fields: dict) -> list[tuple]:
    """Decodes table rows. Returns [(number, start, incarnation, state, reporter)]. Raises DatagramError."""
    value = fields.get(ROWS, b"")
    if len(value) % ROW_SIZE:
        raise DatagramError("field")
    rows = [unpack(ROW_FORMAT, value[at : at + ROW_SIZE]) for at in range(0, len(value), ROW_SIZE)]
    if any(STATE_NAMES.get(row[3], UNHEARD) == UNHEARD for row in rows):
        raise DatagramError("field")
    return [(*row[:3], STATE_NAMES[row[3]], row[4]) for row in rows]


def decode_number(fields: dict, tag: int, form: str) -> int | None:
    """Decodes the number in a field of the struct format `form`.

    Returns None if there is no such field. Raises DatagramError."""
    value = fields.get(tag)
    if value is None:
        return None
    if len(value) < calcsize(form):
        raise DatagramError("field")
    return unpack_from(form, value)[0]


def encode_news(build: int, stage: int, phase: int, cap: float, age: int) -> bytes:
    """Encodes a release state.

    `cap` is a share of 1; `age`: microseconds since the desk began this phase and stage."""
    return encode_field(
        NEWS, pack(NEWS_FORMAT, build, stage, phase, round(cap * 65535), min(age // 1000, 0xFFFFFFFF))
    )


def decode_news(fields: dict) -> tuple | None:
    """Decodes a release state. Returns (build, stage, phase, cap, age in microseconds).

    Returns None if the field is missing. Raises DatagramError."""
    value = fields.get(NEWS)
    if value is None:
        return None
    if len(value) < calcsize(NEWS_FORMAT):
        raise DatagramError("field")
    build, stage, phase, cap, age = unpack_from(NEWS_FORMAT, value)
    return build, stage, phase, cap / 65535, age * 1000


def decode_drains(fields: dict) -> list[int]:
    """Decodes the tags of draining instances (`decisions/sample_message.py`). Raises DatagramError."""
    value = fields.get(DRAINS, b"")
    if len(value) % 4 or len(value) > 4 * MAX_DRAINS:
        raise DatagramError("field")
    return list(unpack(f">{len(value) // 4}I", value))


def encode_trial(rows) -> bytes:
    """Encodes counts of a trial.

    `rows`: (build, index of the path group, hits, errored, age in microseconds)."""
    return encode_field(
        TRIAL,
        b"".join(
            pack(
                TRIAL_FORMAT,
                build,
                group,
                min(hits, 0xFFFFFFFF),
                min(errored, 0xFFFFFFFF),
                min(age // 10_000, 0xFFFF),
            )
            for build, group, hits, errored, age in rows
        ),
    )


def decode_trial(fields: dict) -> list[tuple]:
    """Decodes rows as `encode_trial` takes them. Raises DatagramError."""
    value, size = fields.get(TRIAL, b""), calcsize(TRIAL_FORMAT)
    if len(value) % size or len(value) > size * MAX_TRIAL_ROWS:
        raise DatagramError("field")
    rows = [unpack(TRIAL_FORMAT, value[at : at + size]) for at in range(0, len(value), size)]
    return [(*row[:4], row[4] * 10_000) for row in rows]


def encode_warm(rows) -> bytes:
    """Encodes what is known of instances, for a gateway that warms up.

    `rows`: (digest of the instance's start, latency ratio, load, share of faults, flags, age in
    microseconds); those beyond MAX_WARM_ROWS are left out."""
    return encode_field(
        WARM,
        b"".join(
            pack(
                WARM_FORMAT,
                start_digest,
                min(255, int(latency_ratio * LATENCY_RATIO_UNITS)),
                min(255, int(load)),
                min(255, int(faults * 255)),
                flags & 255,
                min(255, age // 100_000),
            )
            for start_digest, latency_ratio, load, faults, flags, age in rows[:MAX_WARM_ROWS]
        ),
    )


def decode_warm(fields: dict) -> list[tuple]:
    """Decodes rows as `encode_warm` takes them. Raises DatagramError."""
    value, size = fields.get(WARM, b""), calcsize(WARM_FORMAT)
    if len(value) % size or len(value) > size * MAX_WARM_ROWS:
        raise DatagramError("field")
    rows = [unpack(WARM_FORMAT, value[at : at + size]) for at in range(0, len(value), size)]
    return [
        (start_digest, latency_ratio / LATENCY_RATIO_UNITS, load, faults / 255, flags, age * 100_000)
        for start_digest, latency_ratio, load, faults, flags, age in rows
    ]


def encode_leases(rows) -> bytes:
    """Encodes lease requests or replies.

    `rows`: (index of the limit, digest of the value, amount, request time in milliseconds, fencing token);
    those beyond MAX_LEASE_ROWS are left out."""
    return encode_field(
        LEASES,
        b"".join(
            pack(LEASES_FORMAT, limit_index, digest, min(amount, 0xFFFFFFFF), requested_at, fencing_token)
            for limit_index, digest, amount, requested_at, fencing_token in rows[:MAX_LEASE_ROWS]
        ),
    )


def decode_leases(fields: dict) -> list[tuple]:
    """Decodes rows as `encode_leases` takes them. Raises DatagramError."""
    value, size = fields.get(LEASES, b""), calcsize(LEASES_FORMAT)
    if len(value) % size or len(value) > size * MAX_LEASE_ROWS:
        raise DatagramError("field")
    return [unpack(LEASES_FORMAT, value[at : at + size]) for at in range(0, len(value), size)]


def encode_drains(tags) -> bytes:
    """Encodes the tags of draining instances, at most MAX_DRAINS."""
    return encode_field(DRAINS, pack(f">{len(tags)}I", *tags))
