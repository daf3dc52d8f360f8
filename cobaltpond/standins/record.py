"""What passed over a stand-in's sockets, one JSON line each, with monotonic times in microseconds.

`at` is when it was read or written. `from` is when the turn before began: what is read in this turn had not
been there then, so that the true time of arrival lies between the two.
"""

import json


class RecordWriter:
    def __init__(self, loop, path: str):
        self.loop, self.file = loop, loop.kernel.append_file(path)
        loop.after_turn.append(self.flush)
        self.dirty = False

    def __call__(self, kind: str, **fields) -> None:
        entry = {"kind": kind, "at": self.loop.kernel.now(), "from": self.loop.polled_before, **fields}
        self.file.write(json.dumps(entry, separators=(",", ":")).encode() + b"\n")
        self.dirty = True

    def flush(self) -> None:
        if self.dirty:
            self.dirty = False
            self.file.flush()
