"""Transcripts of a simulated scenario: every message between components as one line, in order of arrival.

Left out by fixed rules: the traffic of HIDDEN_COMPONENTS, POLLING_CALLS whose answer has not changed, and
text beyond MAX_TEXT_CHARACTERS. Times are seconds of the world's clock since its begin. Stream segments are
reassembled, and a message is shown once it is complete.
"""

import json
from urllib.parse import unquote

from cobaltpond.members import wire
from cobaltpond.wire import http1

MAX_TEXT_CHARACTERS = 400  # of one body or JSON line
HIDDEN_COMPONENTS = ("day",)  # the scenario itself, which only polls the components
POLLING_CALLS = ("GET /v1/machines",)
MESSAGE_NAMES = {
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
PARSER_LIMITS = http1.MessageLimits(head=64 << 10, body=1 << 30)
SHOWN_HEADERS = (
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
    """Decodes the HTTP messages of one direction of a stream."""

    def __init__(self):
        self.parser, self.head, self.body = None, None, b""

    def feed(self, data: bytes) -> list[str]:
        """Take bytes; return the texts of the messages that are complete now."""
        if self.parser is None:
            self.parser = (
                http1.ResponseParser(PARSER_LIMITS)
                if data.startswith(b"HTTP/")
                else http1.RequestParser(PARSER_LIMITS)
            )
        messages = []
        try:
            for kind, value in self.parser.feed(data):
                if kind == "head":
                    self.head, self.body = value, b""
                    if self.is_streamed(value):
                        messages.append(self.start_line(value) + " ...")
                elif kind == "body" and self.is_streamed(self.head):
                    self.body += value
                    *lines, self.body = self.body.split(b"\n")
                    messages += [format_body(line) for line in lines if line and line != b"{}"]
                elif kind == "body":
                    self.body += value
                elif not self.is_streamed(self.head):
                    messages.append(
                        self.start_line(self.head) + (f" {format_body(self.body)}" if self.body else "")
                    )
        except http1.HttpMessageError as parse_error:
            messages.append(f"no sense: {parse_error}")
        return messages

    @staticmethod
    def is_streamed(head) -> bool:
        """Return whether a message has a body of JSON lines, which are shown one by one."""
        return (head.get(b"content-type") or b"") == b"application/x-ndjson"

    @staticmethod
    def start_line(head) -> str:
        """Return the method and target, or the status, and the header fields that are shown."""
        begin = str(head.status)
        if getattr(head, "method", None):
            begin = f"{head.method} {unquote(head.target.decode('latin-1'))}"
        more = [
            f"{name}: {value.decode('latin-1')}"
            for name, value in ((name, head.get(name.encode())) for name in SHOWN_HEADERS)
            if value is not None
        ]
        return " ".join([begin, *([f"[{', '.join(more)}]"] if more else [])])


def format_body(data: bytes) -> str:
    """Return one line of a body: compact JSON, and the length of what is not printable."""
    try:
        shown = json.dumps(json.loads(data), separators=(",", ":"))
    except ValueError:
        shown = data.decode("ascii", "replace")
        if not shown.isprintable() or set(shown) == {"x"}:
            shown = f"({len(data)} bytes)"
    return (
        shown
        if len(shown) <= MAX_TEXT_CHARACTERS
        else f"{shown[:MAX_TEXT_CHARACTERS]}... ({len(shown)} characters)"
    )


def format_datagram(sender: int, receiver: int, data: bytes) -> str:
    """Return what a datagram of `gateway/peers.py` says."""
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
        parts = [MESSAGE_NAMES.get(kind, f"kind {kind}"), f"#{sequence}"]
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
            f"{start_id:08x} pace {pace:.2f} load {load} faults {faults:.2f}{' silent' if is_silent else ''}"
            for start_id, pace, load, faults, is_silent, _ in wire.decode_warm(fields)
        ]
        parts += [
            f"limit {place} value {digest:016x} {amount / 1000:g} a second"
            for place, digest, amount, _, _ in wire.decode_leases(fields)
        ]
        return "; ".join(parts)
    except wire.DatagramError as decode_error:
        return f"odd: {decode_error}"


class Transcript:
    """Records what arrives on a machine's network.

    `lines`: (time, sender, receiver, message). `is_hidden(sender, receiver, message)` leaves out a message.
    `pending_polls`: (caller, callee) -> polling call; `last_answers`: (caller, callee, call) -> last
    answer.
    """

    def __init__(self, machine, is_hidden=lambda sender, receiver, message: False):
        self.world, self.lines, self.decoders, self.is_hidden = machine.world, [], {}, is_hidden
        self.pending_polls, self.last_answers = {}, {}
        machine.network.tap = self.on_data

    def on_data(self, event: str, sender: str, receiver: str, data: bytes, handle) -> None:
        """Take a segment or datagram that has arrived."""
        if sender.partition(".")[0] in HIDDEN_COMPONENTS or receiver.partition(".")[0] in HIDDEN_COMPONENTS:
            return
        if event == "datagram":
            messages = [
                format_datagram(int(sender.rpartition("-")[2]), int(receiver.rpartition("-")[2]), data)
            ]
        elif event == "data":
            messages = self.decoders.setdefault((handle, sender), MessageDecoder()).feed(data)
        elif event == "reset":
            messages = ["(reset)"]
        else:
            messages = []  # the next line shows all that an end of stream would
        for message in messages:
            if not self.is_hidden(sender, receiver, message) and not self.is_repeated_poll(
                sender, receiver, message
            ):
                self.lines.append((self.world.time, sender, receiver, message))

    def is_repeated_poll(self, sender: str, receiver: str, message: str) -> bool:
        """Return whether a message is a polling call, or its answer where that has not changed."""
        if message in POLLING_CALLS:
            self.pending_polls[sender, receiver] = message
            return True
        call = self.pending_polls.pop((receiver, sender), None)
        if call is None:
            return False
        same = self.last_answers.get((receiver, sender, call)) == message
        self.last_answers[receiver, sender, call] = message
        return same

    def text(self, begin: int = 0, end: int = 1 << 62) -> str:
        """Return the lines from `begin` until `end`, in microseconds of the world."""
        since = self.world.begin
        return (
            "\n".join(
                f"{(at - since) / 1e6:11.6f}  {sender} > {receiver}  {message}"
                for at, sender, receiver, message in self.lines
                if begin <= at < end
            )
            + "\n"
        )
