"""What really passed: read off the simulated sockets, where no record of a stand-in could know it.

On real sockets the auditor has to allow for what it cannot see: when bytes were sent, when a gateway read
them. Here both are known to the microsecond, also where a link was cut for seconds, and take the place of the
records' own times.
"""

import json
import re

from cobaltpond.sim.network import Stream

FORWARD = re.compile(rb"cobaltpond-hit: ([^\r]+)\r\n")
NUMBER = re.compile(rb"cobaltpond-forward: (\d+)\r\n")
VOTE = re.compile(rb"^POST /v1/votes ")
LINE = re.compile(rb'^\{.*"(?:revision|news)":.*\}$')


class WireObserver:
    """`sent`: (hit, forward) -> when its first byte went out. `lists`: (gateway, revision, base) -> times at
    which it read that. `news`: (at, gateway, news). `heard`: called with (what, gateway, at, value) as it
    happens."""

    def __init__(self, world, heard):
        self.world, self.on_event, self.tails = world, heard, {}
        self.sent, self.lists, self.news = {}, {}, []

    def sniff(self, what: str, stream: Stream, data: bytes) -> None:
        name = stream.kernel.process.name
        if not name.startswith("gateway-"):
            return
        number = int(name[8:])
        if what == "sent":
            hit = FORWARD.search(data)
            if hit and data[:5] != b"HTTP/":
                forward = NUMBER.search(data)
                mark = hit[1].decode(), int(forward[1]) if forward else 0
                self.sent.setdefault(mark, self.world.time)
                self.on_event("forward", number, self.world.time, data)
            elif VOTE.match(data):
                self.on_event("vote", number, self.world.time, data)
        elif stream.peer_name == "desk" or stream.peer_name == "yard":
            self.read(number, stream, data)

    def read(self, number, stream, data) -> None:
        tail = self.tails.pop(stream, b"") + data
        *lines, rest = tail.split(b"\n")
        if rest and len(rest) < 1 << 20:
            self.tails[stream] = rest
        for line in lines:
            if not LINE.match(line):
                continue
            told, now = json.loads(line), self.world.time
            if "revision" in told:
                self.lists.setdefault((number, told["revision"], told["base"]), []).append(now)
                self.on_event("list", number, now, told)
            elif isinstance(told.get("news"), dict):
                self.news.append((now, number, told["news"]))
                self.on_event("news", number, now, told["news"])

    # --- in place of the records' own times -----------------------------------------------------------------

    def corrected(self, yard: list) -> list:
        """The yard's records with the times at which forwards were sent and gateways read."""
        rows, told = [], {key: list(times) for key, times in self.lists.items()}
        for entry in yard:
            if entry["kind"] == "arrive" and (entry["hit"], entry["forward"]) in self.sent:
                sent = self.sent[entry["hit"], entry["forward"]]
                entry = {**entry, "since": sent, "late": entry["at"] - sent}
            elif entry["kind"] == "list":
                times = told.get((int(entry["gateway"]), entry["revision"], entry["base"]))
                at = next((t for t in times or () if t >= entry["at"]), None)
                if at is None:
                    continue  # it never read that
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
