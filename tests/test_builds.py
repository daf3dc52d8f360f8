"""Manifests and key rings; the store and the journal after power loss, corruption and a full disk."""

import errno
import os

import msgspec
import pytest
from builders import FILES, KEYS, RING, VALID_MANIFEST, repeatable, signed_build, signing_key
from hypothesis import given
from hypothesis import strategies as st

from cobaltpond.builds.manifest import (
    MAGIC,
    BadSignatureError,
    DowngradeError,
    EarlierBuild,
    ExpiredError,
    KeyRing,
    KeyValidityError,
    MalformedError,
    ManifestError,
    OversizedError,
    SigningKey,
    TruncatedError,
    UnknownKeyError,
    UnsignedError,
    WrongBuildError,
    read_manifest,
    read_next_ring,
    sign_document,
    write_manifest,
    write_ring,
)
from cobaltpond.builds.store import CorruptChunkError, DigestMismatchError, Store, StoreFullError
from cobaltpond.loop import EpollKernel, RefusedError
from cobaltpond.wal import Journal, JournalError


def replace_once(data, old, new):
    assert old in data
    return data.replace(old, new, 1)


@pytest.mark.parametrize(
    "data, expected_error, more",
    [
        (VALID_MANIFEST, OversizedError, {"max_build_bytes": 1000}),
        (b"x" * (9 << 20), OversizedError, {}),
        (replace_once(VALID_MANIFEST, b"-1 ", b"-1 9999"), OversizedError, {}),
        (VALID_MANIFEST[:15], TruncatedError, {}),
        (VALID_MANIFEST[:300], TruncatedError, {}),
        (VALID_MANIFEST[:-10], TruncatedError, {}),
        (VALID_MANIFEST[: VALID_MANIFEST.index(b"sig ")], UnsignedError, {}),
        (replace_once(VALID_MANIFEST, b"sig one", b"sig who"), UnknownKeyError, {}),
        (signed_build(signers=("old",))[0], KeyValidityError, {}),
        (replace_once(VALID_MANIFEST, b'"build":42', b'"build":43'), BadSignatureError, {}),
        (VALID_MANIFEST[:-60] + b"A" * 59 + b"\n", BadSignatureError, {}),
        (VALID_MANIFEST, ExpiredError, {"now": 950}),
        (VALID_MANIFEST, DowngradeError, {"min_build": 43}),
        (VALID_MANIFEST, WrongBuildError, {"ordered": 41}),
        (b"hello\nworld\n", MalformedError, {}),
        (replace_once(VALID_MANIFEST, b"sig one", b"sog one"), MalformedError, {}),
        (signed_build(files={"../up": b"x"})[0], MalformedError, {}),
        (signed_build(files={"a": b"x", "a/b": b"y"})[0], MalformedError, {}),
        (signed_build(entry=["nope"])[0], MalformedError, {}),
        (signed_build(earlier=(42, "0" * 64))[0], MalformedError, {}),
    ],
)
def test_each_invalid_manifest_raises_its_own_error(data, expected_error, more):
    """A host reports why it rejects a manifest, so each reason has its own error."""
    with pytest.raises(ManifestError) as raised:
        read_manifest(data, RING, **{"now": 500, **more})
    assert type(raised.value) is expected_error, raised.value


def test_valid_manifest_with_one_and_two_signatures():
    assert read_manifest(VALID_MANIFEST, RING, 500, ordered=42, min_build=42).size == sum(
        map(len, FILES.values())
    )
    assert read_manifest(signed_build(signers=("two", "one"))[0], RING, 500).build == 42


MANIFEST_TEXT = (
    '{"build":42,"made":10,"expires":900,"chunk":1024,'
    '"files":[{"path":"serve","size":1,"chunks":["%s"],"mode":493}],'
    '"entry":["serve"],"health":"/-/probe","earlier":{"build":41,"digest":"%s"}}'
) % ("a" * 64, "b" * 64)
RING_TEXT = '{"version":1,"keys":[{"id":"one","public":"AAAA","since":0,"until":1000}]}'


def test_manifest_and_key_ring_keep_their_documented_json_keys():
    """Releases must be able to read the documents that earlier and later ones sign."""
    signers = {"one": KEYS["one"]}
    signed = sign_document(MAGIC, MANIFEST_TEXT.encode(), signers)
    manifest = read_manifest(signed, RING, 500)
    assert manifest.earlier == EarlierBuild(41, "b" * 64)
    assert write_manifest(manifest, signers) == signed
    ring = msgspec.json.decode(RING_TEXT, type=KeyRing)
    assert ring == KeyRing(1, [SigningKey("one", "AAAA", 0, 1000)])
    assert msgspec.json.encode(ring).decode() == RING_TEXT


@repeatable
@given(st.integers(0, len(VALID_MANIFEST) - 1), st.integers(0, 255))
def test_manifest_with_a_flipped_byte_is_rejected(at, byte):
    """No single changed byte may alter the signed part of an accepted manifest."""
    data = VALID_MANIFEST[:at] + bytes([byte]) + VALID_MANIFEST[at + 1 :]
    try:
        read_manifest(data, RING, 500)
    except ManifestError:
        return
    # The unused last bits of base64 are ignored (RFC 4648, 3.5); the signed part must be unchanged.
    assert data[: data.index(b"sig ")] == VALID_MANIFEST[: VALID_MANIFEST.index(b"sig ")]


def test_key_ring_rotation_requires_a_trusted_key():
    """A key ring is replaced neither by an untrusted or expired signer nor by an unusable ring."""
    new = KeyRing(2, [signing_key("two", 0, 5000)])
    assert read_next_ring(RING, write_ring(new, {"one": KEYS["one"]}), 500) == new
    for ring, signer, now, error in (
        (new, "two", 500, UnknownKeyError),
        (new, "old", 500, KeyValidityError),
        (KeyRing(1, new.keys), "one", 500, DowngradeError),
        (KeyRing(3, []), "one", 500, KeyValidityError),
    ):
        with pytest.raises(error):
            read_next_ring(RING, write_ring(ring, {signer: KEYS[signer]}), now)
    with pytest.raises(UnknownKeyError):
        read_manifest(VALID_MANIFEST, new, 500)


# --- power loss ---------------------------------------------------------------------------------------------


class PowerLossError(BaseException):
    pass


class PowerLossKernel(EpollKernel):
    """Loses power at the n-th disk operation.

    A write is then half done, and half of the unsynced bytes of each append file are lost.
    """

    def __init__(self, at):
        super().__init__()
        self.remaining, self.growing = at, []

    def step(self):
        self.remaining -= 1
        if self.remaining < 0:
            for file, synced in [row for row in self.growing if not row[0].file.closed]:
                file.file.flush()
                os.truncate(file.file.name, synced[0] + (os.path.getsize(file.file.name) - synced[0]) // 2)
            raise PowerLossError

    def write_file(self, path, data, mode=0o644):
        if self.remaining == 0:
            with open(path, "wb") as file:
                file.write(data[: len(data) // 2])
        self.step()
        super().write_file(path, data, mode)

    def rename(self, path, to):
        self.step()
        super().rename(path, to)

    def remove(self, path):
        self.step()
        super().remove(path)

    def sync_folder(self, path):
        self.step()
        super().sync_folder(path)

    def append_file(self, path):
        file, synced, real = super().append_file(path), [os.path.getsize(path)], None
        real = file.sync

        def sync():
            self.step()
            real()
            synced[0] = os.path.getsize(path)

        file.sync = sync
        self.growing.append((file, synced))
        return file


def run_with_power_loss(work, check, folder_of):
    """Runs `work` with a power loss at its first, second, ... disk operation, and `check` afterwards.

    Gives the number of operations of a complete run.
    """
    at = 0
    while True:
        folder, kernel, log = folder_of(at), PowerLossKernel(at), []
        try:
            work(kernel, folder, log)
            check(EpollKernel(), folder, log, True)
            return at
        except PowerLossError:
            check(EpollKernel(), folder, log, False)
        at += 1


def test_store_is_consistent_after_power_loss_at_any_write(tmp_path):
    """After a power loss the store must hold complete chunks and builds only, and all that it confirmed."""
    signed, chunks = signed_build(chunk=8192)
    manifest = read_manifest(signed, RING, 500)

    def work(kernel, folder, log):
        store = Store(kernel, folder)
        try:
            for name, data in chunks.items():
                store.put_chunk(name, data)
                log.append(name)
            store.assemble(manifest, signed)
            log.append("built")
            store.prune(set(), 0, set())
            log.append("pruned")
        finally:
            store.close()

    def check(kernel, folder, log, whole):
        store = Store(kernel, folder)
        if "built" not in log:
            assert set(log) <= set(store.chunks)
        for name in store.chunks:
            assert store.read_chunk(name) == chunks[name]
        if store.builds():
            assert store.is_intact(manifest) and store.manifest(42) == signed
        remaining = [n for _, _, names in os.walk(folder) for n in names if n.endswith(".new")]
        assert not remaining
        store.close()

    assert run_with_power_loss(work, check, lambda n: str(tmp_path / str(n))) > 20


def test_journal_keeps_synced_records_after_power_loss(tmp_path):
    """A power loss may cost at most the record that was being written."""

    def work(kernel, folder, log):
        journal = Journal(kernel, folder)
        try:
            for n in range(12):
                if n in (4, 9):
                    journal.snapshot({"upto": n})
                else:
                    journal.append(n)
                    journal.sync()
                log.append(n)
        finally:
            journal.lock.close()

    def check(kernel, folder, log, whole):
        journal = Journal(kernel, folder)
        start = journal.snapshot_state["upto"] + 1 if journal.snapshot_state else 0
        recovered_values = [*range(start), *journal.records]
        assert recovered_values[: len(log)] == log and len(recovered_values) <= len(log) + 1, (
            recovered_values,
            log,
        )
        journal.append("more")
        journal.sync()
        journal.close()
        assert Journal(kernel, folder).records[-1] == "more"

    assert run_with_power_loss(work, check, lambda n: str(tmp_path / str(n))) > 15


@repeatable
@given(st.integers(0, 400), st.one_of(st.none(), st.integers(0, 255)))
def test_journal_recovers_up_to_a_torn_or_corrupt_record(tmp_path_factory, at, byte):
    """Records before a torn or corrupt one must be recovered, and none after it."""
    folder = str(tmp_path_factory.mktemp("journal"))
    journal = Journal(EpollKernel(), folder)
    for n in range(20):
        journal.append({"n": n, "text": "x" * n})
    journal.sync()
    journal.close()
    path = os.path.join(folder, "log-0")
    data = open(path, "rb").read()
    at = min(at, len(data) - 1)
    broken = data[:at] if byte is None else data[:at] + bytes([byte]) + data[at + 1 :]
    open(path, "wb").write(broken)
    recovered = Journal(EpollKernel(), folder)
    whole = data[:at].count(b"\n")
    assert [r["n"] for r in recovered.records] == list(range(len(recovered.records))) and len(
        recovered.records
    ) >= whole
    assert recovered.truncation is None or recovered.truncation[1] <= at
    recovered.close()


def test_journal_refuses_second_owner_and_writes_after_failed_sync(tmp_path):
    """Two writers would corrupt the log; after a failed sync the state on disk is unknown."""
    journal = Journal(EpollKernel(), str(tmp_path))
    with pytest.raises(RefusedError):
        Journal(EpollKernel(), str(tmp_path))

    def fails():
        raise OSError(5, "input/output error")

    journal.append(1)
    journal.file.sync = fails
    with pytest.raises(JournalError):
        journal.sync()
    with pytest.raises(JournalError):
        journal.append(2)


def test_store_detects_corruption_and_enforces_its_size_limit(tmp_path):
    """A corrupt chunk must not enter a build, and the store must not grow beyond its limit."""
    signed, chunks = signed_build()
    store, manifest = Store(EpollKernel(), str(tmp_path), max_bytes=40_000), read_manifest(signed, RING, 500)
    name = next(iter(chunks))
    with pytest.raises(DigestMismatchError):
        store.put_chunk(name, b"other")
    for each, data in chunks.items():
        store.put_chunk(each, data)
    with open(store.chunk_path(name), "r+b") as file:
        file.write(b"!")
    with pytest.raises(CorruptChunkError):
        store.assemble(manifest, signed)
    assert name in store.missing_chunks(manifest) and store.builds() == []
    with pytest.raises(StoreFullError):
        for n in range(20):
            data = bytes([n]) * 4000
            from cobaltpond.builds.manifest import content_digest

            store.put_chunk(content_digest(data), data)
    assert store.used_bytes <= 40_000


class FullDiskKernel(EpollKernel):
    """The disk is full in the middle of the n-th write; later writes succeed."""

    def __init__(self, remaining):
        super().__init__()
        self.remaining = remaining

    def write_file(self, path, data, mode=0o644):
        self.remaining -= 1
        if self.remaining == 0:
            super().write_file(path, data[: len(data) // 2], mode)
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write_file(path, data, mode)


@pytest.mark.parametrize("at", range(1, 11))
def test_store_is_consistent_after_disk_full_at_any_write(tmp_path, at):
    """A disk that is full at any write of a build must not leave partial files.

    The store raises StoreFullError, keeps the chunks stored before, and completes the build once there is
    space.
    """
    signed, chunks = signed_build()
    kernel = FullDiskKernel(at)
    store, manifest, stored_chunks = Store(kernel, str(tmp_path)), read_manifest(signed, RING, 500), []
    try:
        for name, data in chunks.items():
            store.put_chunk(name, data)
            stored_chunks.append(name)
        store.assemble(manifest, signed)
        assert kernel.remaining > 0
    except StoreFullError:
        assert kernel.remaining == 0
    remaining = [name for _, _, files in os.walk(tmp_path) for name in files]
    assert not [name for name in remaining if name.endswith(".new")] and set(stored_chunks) == set(
        store.chunks
    )
    assert store.used_bytes == sum(len(chunks[name]) for name in stored_chunks) and not os.path.exists(
        tmp_path / "builds/42.new"
    )
    for name in store.missing_chunks(manifest):
        store.put_chunk(name, chunks[name])
    store.assemble(manifest, signed)
    assert store.is_intact(manifest) and store.builds() == [42]
