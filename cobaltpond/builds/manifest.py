"""Signed manifests of builds and the key rings that verify them, free of I/O.

    cobaltpond-manifest-1 <bytes of the body>
    <body: one JSON object>
    sig <key id> <base64 of the Ed25519 signature (RFC 8032) over the first two lines>

One valid signature of a key within its validity period is enough; more signatures may be present, so that
keys can be rotated. Each reason to reject a manifest has its own error, so that a host's report shows why it
refused one.
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
    """A manifest or key ring is rejected."""

    outer_name = "Unfit"


class OversizedError(ManifestError):
    """The manifest is larger than allowed, or the build larger than the host accepts."""

    outer_name = "Oversized"


class TruncatedError(ManifestError):
    """The document is shorter than its first line announces."""

    outer_name = "Truncated"


class MalformedError(ManifestError):
    """The document does not have the expected format, or is inconsistent."""

    outer_name = "Malformed"


class UnsignedError(ManifestError):
    """The document has no signature."""

    outer_name = "Unsigned"


class UnknownKeyError(ManifestError):
    """All signatures are of unknown keys."""

    outer_name = "UnknownKey"


class KeyValidityError(ManifestError):
    """The document is signed by a known key outside its validity period."""

    outer_name = "KeyOutOfTime"


class BadSignatureError(ManifestError):
    """The signature of a known key does not match the document."""

    outer_name = "WronglySigned"


class ExpiredError(ManifestError):
    """The manifest has passed its expiry time."""

    outer_name = "Expired"


class DowngradeError(ManifestError):
    """The build or key ring is older than the current one."""

    outer_name = "Downgraded"


class WrongBuildError(ManifestError):
    """The manifest is valid, but of another build than the ordered one."""

    outer_name = "WrongBuild"


def content_digest(data: bytes) -> str:
    """BLAKE2b digest of 32 bytes in hex: the name of a chunk and of a manifest."""
    return hashlib.blake2b(data, digest_size=32).hexdigest()


class BuildFile(Struct, frozen=True, forbid_unknown_fields=True):
    """A file of a build. `size`: bytes; `chunks`: digests in order; `mode`: permission bits."""

    path: Annotated[str, Meta(min_length=1, max_length=400)]
    size: Whole
    chunks: list[Digest]
    mode: Annotated[int, Meta(ge=0, le=0o777)] = 0o644


class EarlierBuild(Struct, frozen=True, forbid_unknown_fields=True):
    """The build that a host returns to when this one is rolled back."""

    build: Whole
    content_digest: Digest = msgspec.field(name="digest")


class Manifest(Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of a build and how to run it.

    `made`, `expires`: seconds since 1970; `chunk`: size in bytes of each chunk of a file but its last;
    `entry`: command line, the first word is a file of the build; `health`: path of the health probe.
    """

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
        """Bytes of all files."""
        return sum(file.size for file in self.files)

    def chunks(self) -> dict[str, int]:
        """Maps the digest of every distinct chunk to its size in bytes, in order."""
        found = {}
        for file in self.files:
            for n, name in enumerate(file.chunks):
                found[name] = min(self.chunk, file.size - n * self.chunk)
        return found


def check_coherence(manifest: Manifest) -> None:
    """Raises MalformedError where the fields are inconsistent, or a path leads out of the build's folder."""
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
    """A trusted key. `public`: 32 bytes as base64; valid in [`since`, `until`), seconds since 1970."""

    id: Annotated[str, Meta(pattern="^[A-Za-z0-9_.-]{1,40}$")]
    public: str
    since: Whole
    until: Whole


class KeyRing(Struct, frozen=True, forbid_unknown_fields=True):
    """The keys that a host trusts. A new ring is signed by a key of the old one and has a higher version."""

    version: Whole
    keys: list[SigningKey]

    def verify_signatures(self, now: int, signed: bytes, signatures: list[tuple[str, bytes]]) -> str:
        """The id of a key with a valid signature. `now`: seconds since 1970.

        Raises the subclass of ManifestError that is closest to a valid signature.
        """
        if not signatures:
            raise UnsignedError("no signature")
        known, nearest_error = {key.id: key for key in self.keys}, UnknownKeyError("signed by nobody known")
        for id, signature in signatures:
            key = known.get(id)
            if key is None:
                continue
            try:
                Ed25519PublicKey.from_public_bytes(base64.b64decode(key.public, validate=True)).verify(
                    signature, signed
                )
            except (InvalidSignature, ValueError):
                nearest_error = BadSignatureError(f"the signature of {id} does not fit")
                continue
            if key.since <= now < key.until:
                return id
            nearest_error = KeyValidityError(f"key {id} is in its time from {key.since} to {key.until}")
        raise nearest_error


def sign_document(magic: bytes, body: bytes, signers: dict[str, Ed25519PrivateKey]) -> bytes:
    """The signed document of a body, with a signature line for each signer (key id -> key)."""
    signed = b"%s %d\n%s\n" % (magic, len(body), body)
    return signed + b"".join(
        b"sig %s %s\n" % (id.encode(), base64.b64encode(key.sign(signed))) for id, key in signers.items()
    )


def parse_signed_document(magic: bytes, data: bytes, max_bytes: int) -> tuple[bytes, bytes, list]:
    """(signed bytes, body, [(key id, signature)]) of a signed document; signatures are not verified.

    Raises OversizedError, TruncatedError or MalformedError.
    """
    if len(data) > max_bytes:
        raise OversizedError(f"{len(data)} bytes, {max_bytes} are allowed")
    first_line, found, rest = data.partition(b"\n")
    name, _, length = first_line.partition(b" ")
    if name != magic or not length.isdigit() or len(length) > 9:
        if not found and (magic + b" ").startswith(first_line[: len(magic) + 1]):
            raise TruncatedError("it ends in its first line")
        raise MalformedError("no such first line")
    if int(length) > max_bytes:
        raise OversizedError(f"a body of {int(length)} bytes, {max_bytes} are allowed")
    body, signature_lines = rest[: int(length)], rest[int(length) :]
    if (
        len(body) < int(length)
        or not signature_lines.startswith(b"\n")
        and not signature_lines
        or signature_lines
        and not signature_lines.endswith(b"\n")
    ):
        raise TruncatedError(f"{len(data)} bytes, more were announced")
    signatures = []
    for line in signature_lines[1:].splitlines():
        words = line.split(b" ")
        try:
            if len(words) != 3 or words[0] != b"sig":
                raise ValueError
            signatures.append((words[1].decode(), base64.b64decode(words[2], validate=True)))
        except (ValueError, binascii.Error):
            raise MalformedError("a line that is no signature") from None
    return data[: len(first_line) + 1 + int(length) + 1], body, signatures


def read_manifest(
    data: bytes,
    ring: KeyRing,
    now: int,
    ordered: int | None = None,
    min_build: int = 0,
    max_build_bytes: int = 4 << 30,
) -> Manifest:
    """The verified manifest in `data`. Signatures are verified before the body is parsed.

    `now`: seconds since 1970; `ordered`: the expected build, None for any; `min_build`: the lowest build
    accepted; `max_build_bytes`: maximum size of the build in bytes. Raises a subclass of ManifestError.
    """
    signed, body, signatures = parse_signed_document(MAGIC, data, MAX_MANIFEST_BYTES)
    ring.verify_signatures(now, signed, signatures)
    try:
        manifest = msgspec.json.decode(body, type=Manifest)
    except msgspec.DecodeError as error:
        raise MalformedError(str(error)) from None
    check_coherence(manifest)
    if manifest.size > max_build_bytes:
        raise OversizedError(f"a build of {manifest.size} bytes, {max_build_bytes} are allowed")
    if now >= manifest.expires:
        raise ExpiredError(f"build {manifest.build} could be used up to {manifest.expires}")
    if manifest.build < min_build:
        raise DowngradeError(f"build {manifest.build}, {min_build} is held")
    if ordered is not None and manifest.build != ordered:
        raise WrongBuildError(f"build {manifest.build} in place of {ordered}")
    return manifest


def read_stored_manifest(data: bytes) -> Manifest:
    """The manifest in `data`, which was verified before it was stored; keys and expiry are not checked again.

    Otherwise a rollback could fail because the earlier build's key was rotated out, or its manifest expired,
    while it ran. Its files are still verified. Raises MalformedError, TruncatedError or OversizedError.
    """
    _, body, _ = parse_signed_document(MAGIC, data, MAX_MANIFEST_BYTES)
    try:
        manifest = msgspec.json.decode(body, type=Manifest)
    except msgspec.DecodeError as error:
        raise MalformedError(str(error)) from None
    check_coherence(manifest)
    return manifest


def write_manifest(manifest: Manifest, signers: dict[str, Ed25519PrivateKey]) -> bytes:
    """The signed document of a manifest."""
    return sign_document(MAGIC, msgspec.json.encode(manifest), signers)


def read_next_ring(current_ring: KeyRing, data: bytes, now: int) -> KeyRing:
    """The verified ring that replaces the current one. Raises a subclass of ManifestError."""
    signed, body, signatures = parse_signed_document(RING_MAGIC, data, 1 << 16)
    try:
        ring = msgspec.json.decode(body, type=KeyRing)
    except msgspec.DecodeError as error:
        raise MalformedError(str(error)) from None
    if ring.version <= current_ring.version:  # checked first: the signer of an old ring may have been removed
        raise DowngradeError(f"key ring {ring.version}, {current_ring.version} is held")
    current_ring.verify_signatures(now, signed, signatures)
    if not any(key.since <= now < key.until for key in ring.keys):
        raise KeyValidityError("a ring with no key in its time would lock the host out")
    return ring


def apply_ring_chain(current_ring: KeyRing, chain: list[bytes], now: int) -> tuple[KeyRing, list[bytes]]:
    """(last ring of a chain of signed rings, the accepted documents of the chain).

    Each ring is signed by a key of the one before. Rings that are not newer are skipped, so that a host that
    missed several rotations follows each of them. Raises a subclass of ManifestError at the first ring that
    is not valid.
    """
    accepted = []
    for data in chain:
        try:
            current_ring = read_next_ring(current_ring, data, now)
        except DowngradeError:
            continue
        accepted.append(data)
    return current_ring, accepted


def write_ring(ring: KeyRing, signers: dict[str, Ed25519PrivateKey]) -> bytes:
    """The signed document of a key ring."""
    return sign_document(RING_MAGIC, msgspec.json.encode(ring), signers)


def split_chunks(data: bytes, size: int) -> list[bytes]:
    """The chunks of a file, `size` bytes each but the last."""
    return [data[n : n + size] for n in range(0, len(data), size)]
