"""An append-only journal in a folder of its own.

`snap-N` is a whole state, `log-N` the records since; N grows with each snapshot. A record is one line:
checksum (crc32c, 8 hex digits), number of the record, JSON. What is appended counts only after `sync`. A
reader stops at the first record that is torn, out of turn or does not match its checksum, cuts it off and
says where.

After a failed write or sync nothing is known of what reached the disk: the journal is broken and takes no
more, and what was not yet synced must be taken as lost (fsync errors are reported once, and the pages are
then clean).
"""

import json
import os

import google_crc32c


class JournalError(Exception):
    """A write or sync failed; only a new start, which reads what is there, can go on."""

    outer_name = "Broken"


def encode_record(number: int, value) -> bytes:
    body = b"%d %s" % (number, json.dumps(value, separators=(",", ":")).encode())
    return b"%08x %s\n" % (google_crc32c.value(body), body)


def decode_record(line: bytes, number: int):
    """The value of a record. Raises ValueError on one that is torn or out of turn."""
    mark, _, body = line.partition(b" ")
    if int(mark, 16) != google_crc32c.value(body):
        raise ValueError("checksum")
    own, _, text = body.partition(b" ")
    if int(own) != number:
        raise ValueError(f"record {int(own)} in place of {number}")
    return json.loads(text)


class Journal:
    """`snapshot_state`: the last snapshot's value or None; `records`: those since; `truncation`: None, or
    (file, offset, bytes cut off, why). Raises Refused (of the kernel) where another process has the
    folder."""

    def __init__(self, kernel, folder: str, most: int = 1 << 20):
        self.kernel, self.folder, self.most = kernel, folder, most
        kernel.make_folder(folder)
        self.lock = kernel.lock_file(self.path("lock"))
        self.snapshot_state, self.records, self.truncation, self.broken = None, [], None, None
        try:
            self.recover()
        except BaseException:
            self.lock.close()
            raise

    def path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def recover(self) -> None:
        names = self.kernel.list_folder(self.folder)
        for name in names:
            if name.endswith(".new"):
                self.kernel.remove(self.path(name))
        snaps = sorted((int(n[5:]) for n in names if n.startswith("snap-") and n[5:].isdigit()), reverse=True)
        self.number = 0
        for number in snaps:
            try:
                self.snapshot_state = decode_record(
                    self.kernel.read_file(self.path(f"snap-{number}")).rstrip(b"\n"), number
                )
                self.number = number
                break
            except ValueError:  # a snapshot is renamed when whole: only a bad disk does this
                continue
        name = self.path(f"log-{self.number}")
        data, offset = self.kernel.read_file(name) or b"", 0
        while offset < len(data):
            end = data.find(b"\n", offset)
            try:
                if end < 0:
                    raise ValueError("no end")
                self.records.append(decode_record(data[offset:end], len(self.records)))
            except ValueError as trouble:
                self.truncation = name, offset, len(data) - offset, str(trouble)
                self.kernel.truncate(name, offset)
                break
            offset = end + 1
        self.count, self.bytes = len(self.records), offset
        self.file = self.kernel.append_file(name)
        self.kernel.sync_folder(self.folder)

    def guarded(self, call):
        if self.broken:
            raise JournalError(self.broken)
        try:
            return call()
        except OSError as trouble:
            self.broken = f"{self.folder}: {trouble}"
            raise JournalError(self.broken) from trouble

    def append(self, value) -> None:
        """Takes a record in; it counts once `sync` has returned. Raises JournalError."""
        data = encode_record(self.count, value)
        self.guarded(lambda: self.file.write(data))
        self.count += 1
        self.bytes += len(data)

    def sync(self) -> None:
        """Raises JournalError."""
        self.guarded(self.file.sync)

    @property
    def needs_snapshot(self) -> bool:
        return self.bytes > self.most

    def snapshot(self, state) -> None:
        """Begins anew from this whole state; the old log goes once the new snapshot is safe. Raises
        Broken."""

        def write():
            number = self.number + 1
            self.kernel.replace_file(self.path(f"snap-{number}"), encode_record(number, state))
            self.file.close()
            old, self.number = self.number, number
            self.file = self.kernel.append_file(self.path(f"log-{number}"))
            self.kernel.sync_folder(self.folder)
            for name in (f"log-{old}", f"snap-{old}"):
                self.kernel.remove(self.path(name))

        self.guarded(write)
        self.count = self.bytes = 0

    def close(self) -> None:
        self.file.close()
        self.lock.close()
