"""One JSON object a line, nothing imported for it: `run` has little memory and a part of a core."""

import json
import traceback

MOST = 50  # lines a second; what is beyond is counted


class Log:
    """`log.info("what", name=value, ...)`; also warning and error. Guards against a fault met by every hit:
    more than `MOST` lines a second would cost the core that the hits need."""

    def __init__(self, sink, part: str, wall):
        """`wall()`: microseconds since 1970."""
        self.sink, self.part, self.wall = sink, part, wall
        self.second, self.lines, self.left_out = 0, 0, 0

    def write_line(self, level: str, event: str, more: dict) -> None:
        now = self.wall()
        if now // 1_000_000 != self.second:
            self.second, self.lines = now // 1_000_000, 0
            if self.left_out:
                more["left_out"], self.left_out = self.left_out, 0
        self.lines += 1
        if self.lines > MOST:
            self.left_out += 1
            return
        trouble = more.pop("exc_info", None)
        if trouble is not None:
            more["stack"] = "".join(traceback.format_exception(*trouble))[-4000:]
        line = {"at": now / 1e6, "part": self.part, "level": level, "event": event, **more}
        try:
            self.sink.write(json.dumps(line, default=str) + "\n")
            self.sink.flush()
        except OSError:  # nobody reads it: no reason to stop serving
            pass

    def info(self, event, **more):
        self.write_line("info", event, more)

    def warning(self, event, **more):
        self.write_line("warning", event, more)

    def error(self, event, **more):
        self.write_line("error", event, more)
