"""Structured log: one JSON object per line.

It uses the standard library only, because the platform gives the process little memory and a fraction of a
core.
"""

import json
import traceback

MAX_LINES_PER_SECOND = 50  # lines beyond it are counted, not written


class Log:
    """Writes `log.info("event", name=value, ...)`, also warning and error.

    Lines above MAX_LINES_PER_SECOND are dropped: a fault met by every hit would otherwise spend on logging
    the core that the hits need.
    """

    def __init__(self, sink, component: str, wall_clock):
        """Takes a text file as `sink`; `wall_clock()` returns microseconds since 1970."""
        self.sink, self.component, self.wall_clock = sink, component, wall_clock
        self.current_second, self.lines_this_second, self.dropped_lines = 0, 0, 0

    def write_line(self, level: str, event: str, fields: dict) -> None:
        """Writes one line, or drops it above the rate limit. `exc_info` in `fields` becomes a stack trace."""
        now = self.wall_clock()
        if now // 1_000_000 != self.current_second:
            self.current_second, self.lines_this_second = now // 1_000_000, 0
            if self.dropped_lines:
                fields["left_out"], self.dropped_lines = self.dropped_lines, 0
        self.lines_this_second += 1
        if self.lines_this_second > MAX_LINES_PER_SECOND:
            self.dropped_lines += 1
            return
        error = fields.pop("exc_info", None)
        if error is not None:
            fields["stack"] = "".join(traceback.format_exception(*error))[-4000:]
        record = {"at": now / 1e6, "part": self.component, "level": level, "event": event, **fields}
        try:
            self.sink.write(json.dumps(record, default=str) + "\n")
            self.sink.flush()
        except OSError:  # a log without a reader is no reason to stop serving
            pass

    def info(self, event, **fields):
        """Writes an event of level info."""
        self.write_line("info", event, fields)

    def warning(self, event, **fields):
        """Writes an event of level warning."""
        self.write_line("warning", event, fields)

    def error(self, event, **fields):
        """Writes an event of level error."""
        self.write_line("error", event, fields)
