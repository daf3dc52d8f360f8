"""All that passes between the parts of a simulated day, as text: one line a message, in the order in which it
came.

What a reader does not need is left out by rules that stand here: a day's own looking at its parts (`LOOKS`),
calls that are asked again and again while the answer is the same (`POLLED`), and what goes beyond `WIDTH`.
Times are those of the world's clock since its begin, in seconds. Bytes of a stream are put together again,
whatever pieces they came in, and shown once a message is whole.
"""

import json
from urllib.parse import unquote

from cobaltpond.members import wire
from cobaltpond.wire import http1

WIDTH = 400
LOOKS = ("day",)  # who only looks
POLLED = ("GET /v1/machines",)
KINDS = {
    wire.PING: "ping",
    wire.ACK: "ack",
    wire.INDIRECT_PING: "ask for",
    wire.NACK: "nack",
    wire.LEAVE: "leave",
    wire.TRIAL_REQUEST: "what of the trial?",
    wire.TRIAL_REPLY: "of the trial",
    wire.WARM_REQUEST: "what of instances?",
    wire.WARM_REPLY: "of instances",
    wire.LEASE_REQUEST: "lend me",
    wire.LEASE_REPLY: "lent",
}
LIMITS = http1.MessageLimits(head=64 << 10, body=1 << 30)
SHOWN = (
    "cobaltpond-hit",
    "cobaltpond-forward",
    "cobaltpond-timeout-ms",
    "cobaltpond-try",
    "cobaltpond-via",
    "retry-after",
    "cobaltpond-retry",
    "idempotency-key",
)


class MessageDecoder:
    """One direction of a stream: bytes to messages."""

    def __init__(self):
        self.parser, self.head, self.body = None, None, b""

    def feed(self, data: bytes) -> list[str]:
        if self.parser is None:
            self.parser = (
                http1.ResponseParser(LIMITS) if data.startswith(b"HTTP/") else http1.RequestParser(LIMITS)
            )
        out = []
        try:
            for kind, value in self.parser.feed(data):
                if kind == "head":
                    self.head, self.body = value, b""
                    if self.streamed(value):
                        out.append(self.first(value) + " ...")
                elif kind == "body" and self.streamed(self.head):
                    self.body += value
                    *lines, self.body = self.body.split(b"\n")
                    out += [text(line) for line in lines if line and line != b"{}"]
                elif kind == "body":
                    self.body += value
                elif not self.streamed(self.head):
                    out.append(self.first(self.head) + (f" {text(self.body)}" if self.body else ""))
        except http1.HttpMessageError as trouble:
            out.append(f"no sense: {trouble}")
        return out

    @staticmethod
    def streamed(head) -> bool:
        return (head.get(b"content-type") or b"") == b"application/x-ndjson"

    @staticmethod
    def first(head) -> str:
        begin = str(head.status)
        if getattr(head, "method", None):
            begin = f"{head.method} {unquote(head.target.decode('latin-1'))}"
        more = [
            f"{name}: {value.decode('latin-1')}"
            for name, value in ((name, head.get(name.encode())) for name in SHOWN)
            if value is not None
        ]
        return " ".join([begin, *([f"[{', '.join(more)}]"] if more else [])])


def text(data: bytes) -> str:
    """One line of a body; JSON without its spaces, what is no text as its length."""
    try:
        shown = json.dumps(json.loads(data), separators=(",", ":"))
    except ValueError:
        shown = data.decode("ascii", "replace")
        if not shown.isprintable() or set(shown) == {"x"}:
            shown = f"({len(data)} bytes)"
    return shown if len(shown) <= WIDTH else f"{shown[:WIDTH]}... ({len(shown)} characters)"


def datagram(sender: int, receiver: int, data: bytes) -> str:
    """What one of `gateway/peers.py` says."""
    magic, body = data[:2], data[6:]
    if magic != b"cm":
        return f"sample ({len(body)} bytes)"
    try:
        kind, sequence, _, fields = wire.decode_datagram(sender, receiver, body)
        facts, rows = wire.decode_facts(fields), wire.decode_rows(fields)
        flags = [
            name
            for bit, name in ((1, "ready"), (2, "draining"), (4, "alone"), (8, "settled"))
            if facts["flags"] & bit
        ]
        parts = [KINDS.get(kind, f"kind {kind}"), f"#{sequence}"]
        about = wire.decode_number(fields, wire.SUBJECT, ">H")
        parts += [f"about {about}"] if about is not None else []
        parts.append(
            f"I am {wire.STATE_NAMES[facts['state']]} {facts['incarnation']} {' '.join(flags)}".rstrip()
        )
        parts += [
            f"{number} is {state} {incarnation} says {by}" for number, _, incarnation, state, by in rows
        ]
        news = wire.decode_news(fields)
        if news is not None:
            build, stage, phase, cap, _ = news
            parts.append(
                f"build {build} stage {stage} {('trial', 'released', 'going back', 'withdrawn')[phase]} "
                f"cap {cap:.2f}"
            )
        parts += [f"drains {len(wire.decode_drains(fields))}"] if wire.decode_drains(fields) else []
        parts += [
            f"build {build} group {group}: {errored} of {hits} errored"
            for build, group, hits, errored, _ in wire.decode_trial(fields)
        ]
        parts += [
            f"{mark:08x} pace {pace:.2f} load {load} faults {faults:.2f}{' silent' if quiet else ''}"
            for mark, pace, load, faults, quiet, _ in wire.decode_warm(fields)
        ]
        parts += [
            f"limit {place} value {digest:016x} {amount / 1000:g} a second"
            for place, digest, amount, _, _ in wire.decode_leases(fields)
        ]
        return "; ".join(parts)
    except wire.DatagramError as why:
        return f"odd: {why}"


class Transcript:
    """Listens on a machine's network. `lines`: (time, from, to, what)."""

    def __init__(self, machine, leave_out=lambda sender, receiver, what: False):
        self.world, self.lines, self.halves, self.leave_out = machine.world, [], {}, leave_out
        self.polled, self.answers = {}, {}  # (who asks, whom) -> call; the last answer to it
        machine.network.tap = self.on_data

    def on_data(self, how: str, sender: str, receiver: str, data: bytes, handle) -> None:
        if sender.partition(".")[0] in LOOKS or receiver.partition(".")[0] in LOOKS:
            return
        if how == "datagram":
            said = [datagram(int(sender.rpartition("-")[2]), int(receiver.rpartition("-")[2]), data)]
        elif how == "data":
            said = self.halves.setdefault((handle, sender), MessageDecoder()).feed(data)
        elif how == "reset":
            said = ["(reset)"]
        else:
            said = []  # an end of file says nothing that the next line does not show
        for what in said:
            if not self.leave_out(sender, receiver, what) and not self.again(sender, receiver, what):
                self.lines.append((self.world.time, sender, receiver, what))

    def again(self, sender: str, receiver: str, what: str) -> bool:
        """A call of those that are asked again and again, or the answer to one where it is as before."""
        if what in POLLED:
            self.polled[sender, receiver] = what
            return True
        call = self.polled.pop((receiver, sender), None)
        if call is None:
            return False
        same, self.answers[receiver, sender, call] = self.answers.get((receiver, sender, call)) == what, what
        return same

    def text(self, begin: int = 0, end: int = 1 << 62) -> str:
        """What came in a stretch of the world's time."""
        since = self.world.begin
        return (
            "\n".join(
                f"{(at - since) / 1e6:11.6f}  {sender} > {receiver}  {what}"
                for at, sender, receiver, what in self.lines
                if begin <= at < end
            )
            + "\n"
        )
