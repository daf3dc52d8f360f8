"""What really passed on the wire, read off the simulated sockets.

On real sockets the auditor has to allow for what no record can show: when bytes were sent, and when a
gateway read them. Here both are known to the microsecond, even where a link was partitioned for seconds,
and they replace the times in the records.
"""

import json
import re

from cobaltpond.sim.network import Stream

HIT_HEADER = re.compile(rb"cobaltpond-hit: ([^\r]+)\r\n")
FORWARD_HEADER = re.compile(rb"cobaltpond-forward: (\d+)\r\n")
VOTE_REQUEST = re.compile(rb"^POST /v1/votes ")
STREAM_LINE = re.compile(rb'^\{.*"(?:revision|news)":.*\}$')


class WireObserver:
    """Records what gateways send and read.

    `first_sent_at`: (hit, forward) -> when its first byte was sent. `list_reads`: (gateway, revision, base)
    -> the times at which the gateway read that list message. `news`: (time, gateway, news). `on_event` is
    called with (event, gateway, time, value). Times are microseconds of the world.
    """

    def __init__(self, world, on_event):
        self.world, self.on_event, self.partial_lines = world, on_event, {}
        self.first_sent_at, self.list_reads, self.news = {}, {}, []

    def sniff(self, direction: str, stream: Stream, data: bytes) -> None:
        """Take bytes that a process has "sent" or "read" on a stream."""
        name = stream.kernel.process.name
        if not name.startswith("gateway-"):
            return
        number = int(name[8:])
        if direction == "sent":
            hit = HIT_HEADER.search(data)
            if hit and data[:5] != b"HTTP/":
                forward = FORWARD_HEADER.search(data)
                forward_id = hit[1].decode(), int(forward[1]) if forward else 0
                self.first_sent_at.setdefault(forward_id, self.world.time)
                self.on_event("forward", number, self.world.time, data)
            elif VOTE_REQUEST.match(data):
                self.on_event("vote", number, self.world.time, data)
        elif stream.peer_name == "desk" or stream.peer_name == "yard":
            self.read_stream(number, stream, data)

    def read_stream(self, number, stream, data) -> None:
        """Take bytes that a gateway has read from the desk or from the list of instances."""
        pending = self.partial_lines.pop(stream, b"") + data
        *lines, remainder = pending.split(b"\n")
        if remainder and len(remainder) < 1 << 20:
            self.partial_lines[stream] = remainder
        for line in lines:
            if not STREAM_LINE.match(line):
                continue
            message, now = json.loads(line), self.world.time
            if "revision" in message:
                self.list_reads.setdefault((number, message["revision"], message["base"]), []).append(now)
                self.on_event("list", number, now, message)
            elif isinstance(message.get("news"), dict):
                self.news.append((now, number, message["news"]))
                self.on_event("news", number, now, message["news"])

    # --- audit records --------------------------------------------------------------------------------------

    def with_observed_times(self, instance_records: list) -> list:
        """Return the instances' records with the observed times of sent forwards and read messages."""
        rows, remaining_reads = [], {key: list(times) for key, times in self.list_reads.items()}
        for entry in instance_records:
            if entry["kind"] == "arrive" and (entry["hit"], entry["forward"]) in self.first_sent_at:
                first_sent_at = self.first_sent_at[entry["hit"], entry["forward"]]
                entry = {**entry, "since": first_sent_at, "late": entry["at"] - first_sent_at}
            elif entry["kind"] == "list":
                times = remaining_reads.get((int(entry["gateway"]), entry["revision"], entry["base"]))
                at = next((t for t in times or () if t >= entry["at"]), None)
                if at is None:
                    continue  # the gateway never read that message
                times.remove(at)
                entry = {**entry, "at": at, "exact": True}
            elif entry["kind"] == "news":
                continue
            rows.append(entry)
        rows += [
            {"kind": "news", "at": at, "from": at, "gateway": number, "exact": True, **news}
            for at, number, news in self.news
        ]
        rows.sort(key=lambda e: e["at"])
        return rows
