"""Append-only journal in a folder of its own.

`snap-N` is a whole state, `log-N` holds the records since then; N increases with each snapshot. A record is
one line: checksum (crc32c, 8 hex digits), number of the record, JSON. A record is durable only after `sync`.
Recovery stops at the first record that is torn, out of sequence or does not match its checksum, truncates the
log there and reports the position.

After a failed write or sync it is unknown what reached the disk. The journal then refuses further records,
and records that were not synced count as lost: the operating system reports an fsync error only once and
marks the pages as clean.
"""

import json
import os

import google_crc32c


class JournalError(Exception):
    """A write or sync failed; the journal can be used again only after a restart, which reads it anew."""

    outer_name = "Broken"


def encode_record(number: int, value) -> bytes:
    """The line of a record with this number and JSON value."""
    body = b"%d %s" % (number, json.dumps(value, separators=(",", ":")).encode())
    return b"%08x %s\n" % (google_crc32c.value(body), body)


def decode_record(line: bytes, number: int):
    """The value of a record line. Raises ValueError where it is torn or does not have this number."""
    checksum, _, body = line.partition(b" ")
    if int(checksum, 16) != google_crc32c.value(body):
        raise ValueError("checksum")
    record_number, _, text = body.partition(b" ")
    if int(record_number) != number:
        raise ValueError(f"record {int(record_number)} in place of {number}")
    return json.loads(text)


class Journal:
    """A journal that is open for appending.

    `snapshot_state`: value of the last snapshot, or None; `records`: the records since; `truncation`: None,
    or (file, offset, bytes removed, reason); `max_log_bytes`: size of the log at which a snapshot is due.
    Raises RefusedError (of the kernel) where another process holds the folder's lock.
    """

    def __init__(self, kernel, folder: str, max_log_bytes: int = 1 << 20):
        self.kernel, self.folder, self.max_log_bytes = kernel, folder, max_log_bytes
        kernel.make_folder(folder)
        self.lock = kernel.lock_file(self.path("lock"))
        self.snapshot_state, self.records, self.truncation, self.failure = None, [], None, None
        try:
            self.recover()
        except BaseException:
            self.lock.close()
            raise

    def path(self, name: str) -> str:
        """The path of a file in the journal's folder."""
        return os.path.join(self.folder, name)

    def recover(self) -> None:
        """Reads the newest intact snapshot and its log, and truncates the log at the first bad record."""
        names = self.kernel.list_folder(self.folder)
        for name in names:
            if name.endswith(".new"):
                self.kernel.remove(self.path(name))
        snapshot_numbers = sorted(
            (int(n[5:]) for n in names if n.startswith("snap-") and n[5:].isdigit()), reverse=True
        )
        self.number = 0
        for number in snapshot_numbers:
            try:
                self.snapshot_state = decode_record(
                    self.kernel.read_file(self.path(f"snap-{number}")).rstrip(b"\n"), number
                )
                self.number = number
                break
            except ValueError:  # snapshots are renamed only when complete, so this is disk corruption
                continue
        name = self.path(f"log-{self.number}")
        data, offset = self.kernel.read_file(name) or b"", 0
        while offset < len(data):
            end = data.find(b"\n", offset)
            try:
                if end < 0:
                    raise ValueError("no end")
                self.records.append(decode_record(data[offset:end], len(self.records)))
            except ValueError as error:
                self.truncation = name, offset, len(data) - offset, str(error)
                self.kernel.truncate(name, offset)
                break
            offset = end + 1
        self.record_count, self.log_bytes = len(self.records), offset
        self.file = self.kernel.append_file(name)
        self.kernel.sync_folder(self.folder)

    def run_disk_call(self, call):
        """The result of `call`. Raises JournalError where it, or an earlier call, fails with OSError."""
        if self.failure:
            raise JournalError(self.failure)
        try:
            return call()
        except OSError as error:
            self.failure = f"{self.folder}: {error}"
            raise JournalError(self.failure) from error

    def append(self, value) -> None:
        """Writes a record; it is durable once `sync` has returned. Raises JournalError."""
        data = encode_record(self.record_count, value)
        self.run_disk_call(lambda: self.file.write(data))
        self.record_count += 1
        self.log_bytes += len(data)

    def sync(self) -> None:
        """Makes all records appended so far durable. Raises JournalError."""
        self.run_disk_call(self.file.sync)

    @property
    def needs_snapshot(self) -> bool:
        """True where the log has grown beyond its size limit."""
        return self.log_bytes > self.max_log_bytes

    def snapshot(self, state) -> None:
        """Starts a new log from this whole state; the old log is removed once the new snapshot is durable.

        Raises JournalError.
        """

        def write_snapshot():
            number = self.number + 1
            self.kernel.replace_file(self.path(f"snap-{number}"), encode_record(number, state))
            self.file.close()
            old_number, self.number = self.number, number
            self.file = self.kernel.append_file(self.path(f"log-{number}"))
            self.kernel.sync_folder(self.folder)
            for name in (f"log-{old_number}", f"snap-{old_number}"):
                self.kernel.remove(self.path(name))

        self.run_disk_call(write_snapshot)
        self.record_count = self.log_bytes = 0

    def close(self) -> None:
        """Closes the log and releases the folder's lock."""
        self.file.close()
        self.lock.close()
