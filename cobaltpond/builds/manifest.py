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
MAX_MANIFEST_BYTES = 8 << 20
Digest = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
Whole = Annotated[int, Meta(ge=0)]


class ManifestError(Exception):
    """A manifest or key ring that is not taken."""

    outer_name = "Unfit"


class OversizedError(ManifestError):
    """Larger than a manifest may be, or a build larger than the host takes."""

    outer_name = "Oversized"


class TruncatedError(ManifestError):
    """Shorter than it says."""

    outer_name = "Truncated"


class MalformedError(ManifestError):
    """Not of this form, or at odds with itself."""

    outer_name = "Malformed"


class UnsignedError(ManifestError):
    """No signature at all."""

    outer_name = "Unsigned"


class UnknownKeyError(ManifestError):
    """Signed, but by nobody known."""

    outer_name = "UnknownKey"


class KeyValidityError(ManifestError):
    """Signed by a known key before or after its time."""

    outer_name = "KeyOutOfTime"


class BadSignatureError(ManifestError):
    """The signature of a known key does not fit these bytes."""

    outer_name = "WronglySigned"


class ExpiredError(ManifestError):
    """Past the time up to which it may be used."""

    outer_name = "Expired"


class DowngradeError(ManifestError):
    """An earlier build, or an earlier key ring, than what is held."""

    outer_name = "Downgraded"


class WrongBuildError(ManifestError):
    """Sound, but not the build that was ordered."""

    outer_name = "WrongBuild"


def content_digest(data: bytes) -> str:
    """BLAKE2b with 32 bytes, in hex: the name of a chunk and of a manifest."""
    return hashlib.blake2b(data, digest_size=32).hexdigest()


class BuildFile(Struct, frozen=True, forbid_unknown_fields=True):
    path: Annotated[str, Meta(min_length=1, max_length=400)]
    size: Whole
    chunks: list[Digest]
    mode: Annotated[int, Meta(ge=0, le=0o777)] = 0o644


class EarlierBuild(Struct, frozen=True, forbid_unknown_fields=True):
    """The build that a host returns to when this one is taken back."""

    build: Whole
    content_digest: Digest


class Manifest(Struct, frozen=True, forbid_unknown_fields=True):
    """`made` and `expires` in seconds since 1970; `chunk`: bytes of each chunk of a file but its last."""

    build: Annotated[int, Meta(ge=1, lt=65536)]
    made: Whole
    expires: Whole
    chunk: Annotated[int, Meta(ge=1024, le=16 << 20)]
    files: list[BuildFile]
    entry: Annotated[list[str], Meta(min_length=1)]
    health: Annotated[str, Meta(pattern="^/")] = "/-/probe"
    earlier: EarlierBuild | None = None

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


def check_coherence(manifest: Manifest) -> None:
    """Raises MalformedError where the parts do not fit together, or a path would lead out of the build's
    folder."""
    seen, sizes = set(), {}
    for file in manifest.files:
        parts = file.path.split("/")
        if file.path in seen or any(p in ("", ".", "..") or "\0" in p for p in parts):
            raise MalformedError(f"path {file.path!r}")
        seen.add(file.path)
        if any("/".join(parts[:n]) in seen for n in range(1, len(parts))):
            raise MalformedError(f"path {file.path!r} lies under a file")
        if len(file.chunks) != -(-file.size // manifest.chunk):
            raise MalformedError(f"{file.path}: {len(file.chunks)} chunks for {file.size} bytes")
        for n, name in enumerate(file.chunks):
            size = min(manifest.chunk, file.size - n * manifest.chunk)
            if sizes.setdefault(name, size) != size:
                raise MalformedError(f"chunk {name[:12]} in two sizes")
    if any(path.startswith(file.path + "/") for file in manifest.files for path in seen):
        raise MalformedError("a path that is both file and folder")
    if manifest.entry[0] not in seen:
        raise MalformedError(f"entry {manifest.entry[0]!r} is no file of the build")
    if manifest.earlier and manifest.earlier.build >= manifest.build:
        raise MalformedError("the earlier build is not earlier")


class SigningKey(Struct, frozen=True, forbid_unknown_fields=True):
    """`public`: 32 bytes as base64; in its time from `since` up to `until`, seconds since 1970."""

    id: Annotated[str, Meta(pattern="^[A-Za-z0-9_.-]{1,40}$")]
    public: str
    since: Whole
    until: Whole


class KeyRing(Struct, frozen=True, forbid_unknown_fields=True):
    """The keys that a host trusts. A new ring comes signed by a key of the old one and has a higher
    version."""

    version: Whole
    keys: list[SigningKey]

    def verify_signatures(self, now: int, signed: bytes, signatures: list[tuple[str, bytes]]) -> str:
        """The id of a key whose signature holds. Raises the error that comes nearest to one that does."""
        if not signatures:
            raise UnsignedError("no signature")
        known, wrong = {key.id: key for key in self.keys}, UnknownKeyError("signed by nobody known")
        for id, signature in signatures:
            key = known.get(id)
            if key is None:
                continue
            try:
                Ed25519PublicKey.from_public_bytes(base64.b64decode(key.public, validate=True)).verify(
                    signature, signed
                )
            except (InvalidSignature, ValueError):
                wrong = BadSignatureError(f"the signature of {id} does not fit")
                continue
            if key.since <= now < key.until:
                return id
            wrong = KeyValidityError(f"key {id} is in its time from {key.since} to {key.until}")
        raise wrong


def sign_document(magic: bytes, body: bytes, signers: dict[str, Ed25519PrivateKey]) -> bytes:
    signed = b"%s %d\n%s\n" % (magic, len(body), body)
    return signed + b"".join(
        b"sig %s %s\n" % (id.encode(), base64.b64encode(key.sign(signed))) for id, key in signers.items()
    )


def parse_signed_document(magic: bytes, data: bytes, most: int) -> tuple[bytes, bytes, list]:
    """(what is signed, body, signatures)."""
    if len(data) > most:
        raise OversizedError(f"{len(data)} bytes, {most} are allowed")
    head, found, rest = data.partition(b"\n")
    name, _, length = head.partition(b" ")
    if name != magic or not length.isdigit() or len(length) > 9:
        if not found and (magic + b" ").startswith(head[: len(magic) + 1]):
            raise TruncatedError("it ends in its first line")
        raise MalformedError("no such first line")
    if int(length) > most:
        raise OversizedError(f"a body of {int(length)} bytes, {most} are allowed")
    body, tail = rest[: int(length)], rest[int(length) :]
    if (
        len(body) < int(length)
        or not tail.startswith(b"\n")
        and not tail
        or tail
        and not tail.endswith(b"\n")
    ):
        raise TruncatedError(f"{len(data)} bytes, more were announced")
    signatures = []
    for line in tail[1:].splitlines():
        words = line.split(b" ")
        try:
            if len(words) != 3 or words[0] != b"sig":
                raise ValueError
            signatures.append((words[1].decode(), base64.b64decode(words[2], validate=True)))
        except (ValueError, binascii.Error):
            raise MalformedError("a line that is no signature") from None
    return data[: len(head) + 1 + int(length) + 1], body, signatures


def read_manifest(
    data: bytes, ring: KeyRing, now: int, ordered: int | None = None, least: int = 0, most_size: int = 4 << 30
) -> Manifest:
    """A manifest that holds. `now`: seconds since 1970; `ordered`: the build that is meant; `least`: no
    earlier one is taken. Signatures are checked before the body is read. Raises a subclass of
    ManifestError."""
    signed, body, signatures = parse_signed_document(MAGIC, data, MAX_MANIFEST_BYTES)
    ring.verify_signatures(now, signed, signatures)
    try:
        manifest = msgspec.json.decode(body, type=Manifest)
    except msgspec.DecodeError as trouble:
        raise MalformedError(str(trouble)) from None
    check_coherence(manifest)
    if manifest.size > most_size:
        raise OversizedError(f"a build of {manifest.size} bytes, {most_size} are allowed")
    if now >= manifest.expires:
        raise ExpiredError(f"build {manifest.build} could be used up to {manifest.expires}")
    if manifest.build < least:
        raise DowngradeError(f"build {manifest.build}, {least} is held")
    if ordered is not None and manifest.build != ordered:
        raise WrongBuildError(f"build {manifest.build} in place of {ordered}")
    return manifest


def read_stored_manifest(data: bytes) -> Manifest:
    """One that was checked when it came and has been in the store since: neither keys nor times are asked
    again. Guards against an earlier build that nobody can go back to, because its key was rotated out, or its
    time passed, while it ran. What its tree holds is still checked. Raises MalformedError, TruncatedError or
    Oversized."""
    _, body, _ = parse_signed_document(MAGIC, data, MAX_MANIFEST_BYTES)
    try:
        manifest = msgspec.json.decode(body, type=Manifest)
    except msgspec.DecodeError as trouble:
        raise MalformedError(str(trouble)) from None
    check_coherence(manifest)
    return manifest


def write_manifest(manifest: Manifest, signers: dict[str, Ed25519PrivateKey]) -> bytes:
    return sign_document(MAGIC, msgspec.json.encode(manifest), signers)


def read_next_ring(held: KeyRing, data: bytes, now: int) -> KeyRing:
    """The ring that takes the place of the held one. Raises a subclass of ManifestError."""
    signed, body, signatures = parse_signed_document(RING_MAGIC, data, 1 << 16)
    try:
        ring = msgspec.json.decode(body, type=KeyRing)
    except msgspec.DecodeError as trouble:
        raise MalformedError(str(trouble)) from None
    if ring.version <= held.version:  # first: whoever signed an old one may be out of the ring by now
        raise DowngradeError(f"key ring {ring.version}, {held.version} is held")
    held.verify_signatures(now, signed, signatures)
    if not any(key.since <= now < key.until for key in ring.keys):
        raise KeyValidityError("a ring with no key in its time would lock the host out")
    return ring


def apply_ring_chain(held: KeyRing, chain: list[bytes], now: int) -> tuple[KeyRing, list[bytes]]:
    """(the ring that a chain of signed rings leads to, those of the chain that were taken). Each one is
    signed by a key of the one before; those that are held already are passed over, so that a host that was
    away for several rotations follows each of them. Raises a subclass of ManifestError at the first one that
    does not hold."""
    taken = []
    for data in chain:
        try:
            held = read_next_ring(held, data, now)
        except DowngradeError:
            continue
        taken.append(data)
    return held, taken


def write_ring(ring: KeyRing, signers: dict[str, Ed25519PrivateKey]) -> bytes:
    return sign_document(RING_MAGIC, msgspec.json.encode(ring), signers)


def split_chunks(data: bytes, size: int) -> list[bytes]:
    """The chunks of a file."""
    return [data[n : n + size] for n in range(0, len(data), size)]
