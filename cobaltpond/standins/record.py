"""Writes the events on a simulated peer's sockets as JSON lines, with monotonic times in microseconds.

`at` is the time of the read or write. `from` is the start of the previous loop iteration: data read in this
iteration had not arrived then, so the true time of arrival lies between the two.
"""

import json


class RecordWriter:
    """Appends records to a file, flushed after each loop iteration."""

    def __init__(self, loop, path: str):
        self.loop, self.file = loop, loop.kernel.append_file(path)
        loop.after_turn.append(self.flush)
        self.has_unflushed = False

    def __call__(self, kind: str, **fields) -> None:
        """Writes one record; the fields become JSON keys."""
        entry = {"kind": kind, "at": self.loop.kernel.now(), "from": self.loop.polled_before, **fields}
        self.file.write(json.dumps(entry, separators=(",", ":")).encode() + b"\n")
        self.has_unflushed = True

    def flush(self) -> None:
        """Flushes the file if records were written since the last flush."""
        if self.has_unflushed:
            self.has_unflushed = False
            self.file.flush()
