"""HTTP/1.1 (RFC 9110, 9112) over llhttp (httptools): strict, bounded, bytes in and events out.

llhttp was taken over h11 for its price: `bench/parsers.py` has the figures. What it lets through and RFC 9112
or our limits do not is refused here: other versions than 1.0 and 1.1, no or several Host fields, upgrades and
CONNECT, a head or body beyond its limit, too many fields. Two lengths, a length beside chunked, bare LF and
folded lines are refused by llhttp itself; tests hold it to that.
"""

from dataclasses import dataclass, field

import httptools

HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"transfer-encoding",
    b"te",
    b"trailer",
    b"upgrade",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"content-length",
}
REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    414: "URI Too Long",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}
PIECE = 1 << 16


class HttpMessageError(Exception):
    """The peer's bytes are no acceptable message; `status` is what a server answers before it closes."""

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status = status


class TruncatedMessageError(HttpMessageError):
    """The peer closed before its message was whole."""


@dataclass(slots=True)
class MessageHead:
    """Start line and fields, in the order they came, names in lower case."""

    method: str = ""
    target: bytes = b""
    status: int = 0
    version: str = "1.1"
    fields: list[tuple[bytes, bytes]] = field(default_factory=list)
    keep_alive: bool = True

    def get(self, name: bytes) -> bytes | None:
        """The first value of a field; None where it is missing."""
        return next((value for known, value in self.fields if known == name), None)

    def all(self, name: bytes) -> list[bytes]:
        return [value for known, value in self.fields if known == name]


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """Bytes and counts that a peer may make us keep."""

    head: int = 16 << 10
    target: int = 4 << 10
    fields: int = 100
    body: int = 8 << 20


class _Parser:
    """Events are (kind, value): ("head", Head), ("body", bytes), ("end", None)."""

    def __init__(self, limits: MessageLimits):
        self.limits, self.events = limits, []
        self.head, self.in_head, self.head_bytes, self.body_bytes = None, True, 0, 0
        self.trailers, self.wrong, self.begun = False, None, False

    def on_message_begin(self):
        self.head, self.in_head, self.body_bytes = MessageHead(), True, 0
        self.trailers, self.begun = False, True

    def on_header(self, name, value):
        if self.trailers or self.head is None:
            return  # RFC 9110, 6.5.1: trailers may be dropped
        if len(self.head.fields) >= self.limits.fields:
            raise HttpMessageError(431, f"more than {self.limits.fields} fields")
        self.head.fields.append((name.lower(), value))

    def on_body(self, body):
        self.body_bytes += len(body)
        if self.body_bytes > self.limits.body:
            raise HttpMessageError(413, f"a body of more than {self.limits.body} bytes")
        self.events.append(("body", body))

    def on_message_complete(self):
        self.events.append(("end", None))
        self.in_head, self.head_bytes, self.begun = True, 0, False

    def feed(self, data: bytes) -> list:
        """The events of these bytes. Raises HttpMessageError; events before the fault are lost with it."""
        try:
            while data:
                piece = data
                if self.in_head:  # a head may not run past its limit unseen
                    room = self.limits.head - self.head_bytes
                    if room <= 0:
                        raise HttpMessageError(431, f"a head of more than {self.limits.head} bytes")
                    piece = data[:room]
                    self.head_bytes += len(piece)
                data = data[len(piece) :]
                self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            raise HttpMessageError(501, "no upgrades and no CONNECT here") from None
        except httptools.HttpParserCallbackError as trouble:
            wrong = trouble.__context__
            raise (
                wrong if isinstance(wrong, HttpMessageError) else HttpMessageError(400, str(trouble))
            ) from None
        except httptools.HttpParserError as trouble:
            raise HttpMessageError(400, str(trouble)) from None
        events, self.events = self.events, []
        return events


class RequestParser(_Parser):
    def __init__(self, limits: MessageLimits):
        super().__init__(limits)
        self.parser, self.url = httptools.HttpRequestParser(self), b""

    def on_message_begin(self):
        super().on_message_begin()
        self.url = b""

    def on_url(self, url):
        self.url += url
        if len(self.url) > self.limits.target:
            raise HttpMessageError(414, f"a target of more than {self.limits.target} bytes")

    def on_headers_complete(self):
        head, self.in_head, self.trailers = self.head, False, True
        head.method, head.target = self.parser.get_method().decode(), self.url
        head.version, head.keep_alive = self.parser.get_http_version(), self.parser.should_keep_alive()
        if head.version not in ("1.0", "1.1"):
            raise HttpMessageError(505, f"HTTP/{head.version}")
        if not head.target.startswith(b"/"):
            raise HttpMessageError(400, "the target is no path")
        hosts = head.all(b"host")
        if len(hosts) > 1 or not hosts and head.version == "1.1":
            raise HttpMessageError(400, f"{len(hosts)} Host fields")  # RFC 9112, 3.2
        length = head.get(b"content-length")
        if length is not None and int(length) > self.limits.body:
            raise HttpMessageError(413, f"a body of more than {self.limits.body} bytes")
        self.events.append(("head", head))


class ResponseParser(_Parser):
    """`closed` tells it of the peer's end of file, which may end a body without a length."""

    def __init__(self, limits: MessageLimits, no_body: bool = False):
        super().__init__(limits)
        self.parser, self.no_body, self.until_close = httptools.HttpResponseParser(self), no_body, False

    def on_headers_complete(self):
        head, self.in_head, self.trailers = self.head, False, True
        head.status, head.version = self.parser.get_status_code(), self.parser.get_http_version()
        head.keep_alive = self.parser.should_keep_alive()
        self.until_close = (
            head.status >= 200
            and head.status not in (204, 304)
            and head.get(b"content-length") is None
            and not head.all(b"transfer-encoding")
        )
        if head.status >= 200:  # interim answers (100, 103) are passed over
            self.events.append(("head", head))
            if self.no_body:  # an answer to HEAD ends with its head
                super().on_message_complete()

    def on_message_complete(self):
        if self.no_body and self.head.status >= 200:
            return
        if self.head.status >= 200:
            super().on_message_complete()
        else:
            self.in_head, self.head_bytes, self.begun = True, 0, False

    def closed(self) -> list:
        """Raises HttpMessageError where the answer was cut."""
        if self.begun and not self.in_head and self.until_close:
            self.begun = False
            return [("end", None)]
        raise TruncatedMessageError(502, "the answer was cut" if self.begun else "no answer")


def request_head(method: str, target: bytes, fields: list) -> bytes:
    """A request's head as it is given: the caller has put in how long its body is."""
    lines = [
        method.encode() + b" " + target + b" HTTP/1.1",
        *(name + b": " + value for name, value in fields),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def request(method: str, target: str | bytes, fields: list, body: bytes | None = b"") -> bytes:
    """A request with a length; `body` None: the caller sends a chunked body after it."""
    target = target if isinstance(target, bytes) else target.encode()
    lines = [method.encode() + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in fields]
    if body is None:
        lines.append(b"transfer-encoding: chunked")
    elif body or method in ("POST", "PUT", "PATCH"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")


def response(status: int, fields: list, body: bytes | None = b"", keep: bool = True) -> bytes:
    """An answer with a length; `body` None: the caller sends a chunked body after it."""
    if body is None:
        return response_head(status, fields, keep, chunked=True)
    return response_head(status, [*fields, (b"content-length", b"%d" % len(body))], keep) + body


def response_head(status: int, fields: list, keep: bool = True, chunked: bool = False) -> bytes:
    """The head of an answer as it is given: the caller has put in how long its body is."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status").encode())]
    lines += [name + b": " + value for name, value in fields]
    lines += [b"transfer-encoding: chunked"] * chunked + [b"connection: close"] * (not keep)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """One chunk of a chunked body; b"" ends it (RFC 9112, 7.1)."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def end_to_end_fields(fields: list, also: frozenset | set = frozenset()) -> list:
    """Fields without those of this one connection (RFC 9110, 7.6.1) and without `also`."""
    named = {
        name.strip().lower()
        for known, value in fields
        if known == b"connection"
        for name in value.split(b",")
    }
    drop = HOP_BY_HOP | named | set(also)
    return [(name, value) for name, value in fields if name not in drop]
