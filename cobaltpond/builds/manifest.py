"""The manifest of a build, and the keys that vouch for it. Free of I/O.

    cobaltpond-manifest-1 <bytes of the body>
    <body: one JSON object>
    sig <key id> <base64 of the Ed25519 signature (RFC 8032) over the first two lines>

One good signature of a key that is in its time is enough; others may stand beside it, so that keys can be
rotated. Each way in which a manifest is unfit has its own error: what a host refuses, and why, must be told
apart.
"""

import base64
import binascii
import hashlib
from typing import Annotated

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from msgspec import Meta, Struct

MAGIC = b"cobaltpond-manifest-1"
RING_MAGIC = b"cobaltpond-keys-1"
MOST_BYTES = 8 << 20
Digest = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
Whole = Annotated[int, Meta(ge=0)]


class Unfit(Exception):
    """A manifest or key ring that is not taken."""


class Oversized(Unfit):
    """Larger than a manifest may be, or a build larger than the host takes."""


class Truncated(Unfit):
    """Shorter than it says."""


class Malformed(Unfit):
    """Not of this form, or at odds with itself."""


class Unsigned(Unfit):
    """No signature at all."""


class UnknownKey(Unfit):
    """Signed, but by nobody known."""


class KeyOutOfTime(Unfit):
    """Signed by a known key before or after its time."""


class WronglySigned(Unfit):
    """The signature of a known key does not fit these bytes."""


class Expired(Unfit):
    """Past the time up to which it may be used."""


class Downgraded(Unfit):
    """An earlier build, or an earlier key ring, than what is held."""


class WrongBuild(Unfit):
    """Sound, but not the build that was ordered."""


def digest(data: bytes) -> str:
    """BLAKE2b with 32 bytes, in hex: the name of a chunk and of a manifest."""
    return hashlib.blake2b(data, digest_size=32).hexdigest()


class File(Struct, frozen=True, forbid_unknown_fields=True):
    path: Annotated[str, Meta(min_length=1, max_length=400)]
    size: Whole
    chunks: list[Digest]
    mode: Annotated[int, Meta(ge=0, le=0o777)] = 0o644


class Earlier(Struct, frozen=True, forbid_unknown_fields=True):
    """The build that a host returns to when this one is taken back."""

    build: Whole
    digest: Digest


class Manifest(Struct, frozen=True, forbid_unknown_fields=True):
    """`made` and `expires` in seconds since 1970; `chunk`: bytes of each chunk of a file but its last."""

    build: Annotated[int, Meta(ge=1, lt=65536)]
    made: Whole
    expires: Whole
    chunk: Annotated[int, Meta(ge=1024, le=16 << 20)]
    files: list[File]
    entry: Annotated[list[str], Meta(min_length=1)]
    health: Annotated[str, Meta(pattern="^/")] = "/-/probe"
    earlier: Earlier | None = None

    @property
    def size(self) -> int:
        return sum(file.size for file in self.files)

    def chunks(self) -> dict[str, int]:
        """Digest to size of every distinct chunk, in order."""
        found = {}
        for file in self.files:
            for n, name in enumerate(file.chunks):
                found[name] = min(self.chunk, file.size - n * self.chunk)
        return found


def coherent(manifest: Manifest) -> None:
    """Raises Malformed where the parts do not fit together, or a path would lead out of the build's
    folder."""
    seen, sizes = set(), {}
    for file in manifest.files:
        parts = file.path.split("/")
        if file.path in seen or any(p in ("", ".", "..") or "\0" in p for p in parts):
            raise Malformed(f"path {file.path!r}")
        seen.add(file.path)
        if any("/".join(parts[:n]) in seen for n in range(1, len(parts))):
            raise Malformed(f"path {file.path!r} lies under a file")
        if len(file.chunks) != -(-file.size // manifest.chunk):
            raise Malformed(f"{file.path}: {len(file.chunks)} chunks for {file.size} bytes")
        for n, name in enumerate(file.chunks):
            size = min(manifest.chunk, file.size - n * manifest.chunk)
            if sizes.setdefault(name, size) != size:
                raise Malformed(f"chunk {name[:12]} in two sizes")
    if any(path.startswith(file.path + "/") for file in manifest.files for path in seen):
        raise Malformed("a path that is both file and folder")
    if manifest.entry[0] not in seen:
        raise Malformed(f"entry {manifest.entry[0]!r} is no file of the build")
    if manifest.earlier and manifest.earlier.build >= manifest.build:
        raise Malformed("the earlier build is not earlier")


class Key(Struct, frozen=True, forbid_unknown_fields=True):
    """`public`: 32 bytes as base64; in its time from `since` up to `until`, seconds since 1970."""

    id: Annotated[str, Meta(pattern="^[A-Za-z0-9_.-]{1,40}$")]
    public: str
    since: Whole
    until: Whole


class Ring(Struct, frozen=True, forbid_unknown_fields=True):
    """The keys that a host trusts. A new ring comes signed by a key of the old one and has a higher
    version."""

    version: Whole
    keys: list[Key]

    def check(self, now: int, signed: bytes, signatures: list[tuple[str, bytes]]) -> str:
        """The id of a key whose signature holds. Raises the error that comes nearest to one that does."""
        if not signatures:
            raise Unsigned("no signature")
        known, wrong = {key.id: key for key in self.keys}, UnknownKey("signed by nobody known")
        for id, signature in signatures:
            key = known.get(id)
            if key is None:
                continue
            try:
                Ed25519PublicKey.from_public_bytes(base64.b64decode(key.public, validate=True)).verify(
                    signature, signed
                )
            except (InvalidSignature, ValueError):
                wrong = WronglySigned(f"the signature of {id} does not fit")
                continue
            if key.since <= now < key.until:
                return id
            wrong = KeyOutOfTime(f"key {id} is in its time from {key.since} to {key.until}")
        raise wrong


def seal(magic: bytes, body: bytes, signers: dict[str, Ed25519PrivateKey]) -> bytes:
    signed = b"%s %d\n%s\n" % (magic, len(body), body)
    return signed + b"".join(
        b"sig %s %s\n" % (id.encode(), base64.b64encode(key.sign(signed))) for id, key in signers.items()
    )


def opened(magic: bytes, data: bytes, most: int) -> tuple[bytes, bytes, list]:
    """(what is signed, body, signatures)."""
    if len(data) > most:
        raise Oversized(f"{len(data)} bytes, {most} are allowed")
    head, found, rest = data.partition(b"\n")
    name, _, length = head.partition(b" ")
    if name != magic or not length.isdigit() or len(length) > 9:
        if not found and (magic + b" ").startswith(head[: len(magic) + 1]):
            raise Truncated("it ends in its first line")
        raise Malformed("no such first line")
    if int(length) > most:
        raise Oversized(f"a body of {int(length)} bytes, {most} are allowed")
    body, tail = rest[: int(length)], rest[int(length) :]
    if (
        len(body) < int(length)
        or not tail.startswith(b"\n")
        and not tail
        or tail
        and not tail.endswith(b"\n")
    ):
        raise Truncated(f"{len(data)} bytes, more were announced")
    signatures = []
    for line in tail[1:].splitlines():
        words = line.split(b" ")
        try:
            if len(words) != 3 or words[0] != b"sig":
                raise ValueError
            signatures.append((words[1].decode(), base64.b64decode(words[2], validate=True)))
        except (ValueError, binascii.Error):
            raise Malformed("a line that is no signature") from None
    return data[: len(head) + 1 + int(length) + 1], body, signatures


def read_manifest(
    data: bytes, ring: Ring, now: int, ordered: int | None = None, least: int = 0, most_size: int = 4 << 30
) -> Manifest:
    """A manifest that holds. `now`: seconds since 1970; `ordered`: the build that is meant; `least`: no
    earlier one is taken. Signatures are checked before the body is read. Raises a subclass of Unfit."""
    signed, body, signatures = opened(MAGIC, data, MOST_BYTES)
    ring.check(now, signed, signatures)
    try:
        manifest = msgspec.json.decode(body, type=Manifest)
    except msgspec.DecodeError as trouble:
        raise Malformed(str(trouble)) from None
    coherent(manifest)
    if manifest.size > most_size:
        raise Oversized(f"a build of {manifest.size} bytes, {most_size} are allowed")
    if now >= manifest.expires:
        raise Expired(f"build {manifest.build} could be used up to {manifest.expires}")
    if manifest.build < least:
        raise Downgraded(f"build {manifest.build}, {least} is held")
    if ordered is not None and manifest.build != ordered:
        raise WrongBuild(f"build {manifest.build} in place of {ordered}")
    return manifest


def held_manifest(data: bytes) -> Manifest:
    """One that was checked when it came and has been in the store since: neither keys nor times are asked
    again. Guards against an earlier build that nobody can go back to, because its key was rotated out, or its
    time passed, while it ran. What its tree holds is still checked. Raises Malformed, Truncated or
    Oversized."""
    _, body, _ = opened(MAGIC, data, MOST_BYTES)
    try:
        manifest = msgspec.json.decode(body, type=Manifest)
    except msgspec.DecodeError as trouble:
        raise Malformed(str(trouble)) from None
    coherent(manifest)
    return manifest


def write_manifest(manifest: Manifest, signers: dict[str, Ed25519PrivateKey]) -> bytes:
    return seal(MAGIC, msgspec.json.encode(manifest), signers)


def next_ring(held: Ring, data: bytes, now: int) -> Ring:
    """The ring that takes the place of the held one. Raises a subclass of Unfit."""
    signed, body, signatures = opened(RING_MAGIC, data, 1 << 16)
    try:
        ring = msgspec.json.decode(body, type=Ring)
    except msgspec.DecodeError as trouble:
        raise Malformed(str(trouble)) from None
    if ring.version <= held.version:  # first: whoever signed an old one may be out of the ring by now
        raise Downgraded(f"key ring {ring.version}, {held.version} is held")
    held.check(now, signed, signatures)
    if not any(key.since <= now < key.until for key in ring.keys):
        raise KeyOutOfTime("a ring with no key in its time would lock the host out")
    return ring


def rings_after(held: Ring, chain: list[bytes], now: int) -> tuple[Ring, list[bytes]]:
    """(the ring that a chain of signed rings leads to, those of the chain that were taken). Each one is
    signed by a key of the one before; those that are held already are passed over, so that a host that was
    away for several rotations follows each of them. Raises a subclass of Unfit at the first one that does not
    hold."""
    taken = []
    for data in chain:
        try:
            held = next_ring(held, data, now)
        except Downgraded:
            continue
        taken.append(data)
    return held, taken


def write_ring(ring: Ring, signers: dict[str, Ed25519PrivateKey]) -> bytes:
    return seal(RING_MAGIC, msgspec.json.encode(ring), signers)


def cut(data: bytes, size: int) -> list[bytes]:
    """The chunks of a file."""
    return [data[n : n + size] for n in range(0, len(data), size)]
