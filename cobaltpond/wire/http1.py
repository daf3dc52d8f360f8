"""HTTP/1.1 (RFC 9110, 9112) on top of llhttp (httptools): strict, bounded, bytes in and events out.

llhttp is used instead of h11 for its speed: `bench/parsers.py` measures both. What llhttp accepts but RFC
9112 or our limits forbid is refused here: versions other than 1.0 and 1.1, no or several Host fields,
upgrades and CONNECT, a head or body above its limit, too many fields. llhttp itself refuses two lengths, a
length beside chunked, bare LF and folded lines; tests check that it does.
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
MAX_WRITE_BYTES = 1 << 16


class HttpMessageError(Exception):
    """The peer's bytes are no acceptable message; `status` is what a server answers before it closes."""

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status = status


class TruncatedMessageError(HttpMessageError):
    """The peer closed before its message was complete."""


@dataclass(slots=True)
class MessageHead:
    """Start line and fields; the fields in the order of arrival, with names in lower case."""

    method: str = ""
    target: bytes = b""
    status: int = 0
    version: str = "1.1"
    fields: list[tuple[bytes, bytes]] = field(default_factory=list)
    keep_alive: bool = True

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a field; None where it is missing."""
        return next((value for known, value in self.fields if known == name), None)

    def all(self, name: bytes) -> list[bytes]:
        """Returns all values of a field in order; empty where it is missing."""
        return [value for known, value in self.fields if known == name]


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """Limits on what a peer may make us buffer: `fields` is a count, the others are bytes."""

    head: int = 16 << 10
    target: int = 4 << 10
    fields: int = 100
    body: int = 8 << 20


class _Parser:
    """Common part of both parsers.

    Events are (kind, value): ("head", MessageHead), ("body", bytes), ("end", None).
    """

    def __init__(self, limits: MessageLimits):
        self.limits, self.events = limits, []
        self.head, self.in_head, self.head_bytes, self.body_bytes = None, True, 0, 0
        self.trailers, self.cause, self.message_begun = False, None, False

    def on_message_begin(self):
        self.head, self.in_head, self.body_bytes = MessageHead(), True, 0
        self.trailers, self.message_begun = False, True

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
        self.in_head, self.head_bytes, self.message_begun = True, 0, False

    def feed(self, data: bytes) -> list:
        """Parses bytes and returns their events.

        Raises HttpMessageError; events before the fault are lost with it.
        """
        try:
            while data:
                piece = data
                if self.in_head:  # bounds the head even where it comes in one large piece
                    remaining = self.limits.head - self.head_bytes
                    if remaining <= 0:
                        raise HttpMessageError(431, f"a head of more than {self.limits.head} bytes")
                    piece = data[:remaining]
                    self.head_bytes += len(piece)
                data = data[len(piece) :]
                self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            raise HttpMessageError(501, "no upgrades and no CONNECT here") from None
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise (
                cause if isinstance(cause, HttpMessageError) else HttpMessageError(400, str(error))
            ) from None
        except httptools.HttpParserError as error:
            raise HttpMessageError(400, str(error)) from None
        events, self.events = self.events, []
        return events


class RequestParser(_Parser):
    """Parses the requests of one connection."""

    def __init__(self, limits: MessageLimits):
        super().__init__(limits)
        self.parser, self.url = httptools.HttpRequestParser(self), b""

    def on_message_begin(self):
        """Starts a new head and clears the target; called by llhttp."""
        super().on_message_begin()
        self.url = b""

    def on_url(self, url):
        """Appends a piece of the target, up to the limit; called by llhttp."""
        self.url += url
        if len(self.url) > self.limits.target:
            raise HttpMessageError(414, f"a target of more than {self.limits.target} bytes")

    def on_headers_complete(self):
        """Stores method, target and version in the head, checks it and adds the "head" event; called by
        llhttp.

        Raises HttpMessageError on what the RFC or the limits forbid.
        """
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
    """Parses the responses of one connection.

    `no_body`: the request was HEAD. `closed` is called at the peer's end of file, which may end a body
    without a length.
    """

    def __init__(self, limits: MessageLimits, no_body: bool = False):
        super().__init__(limits)
        self.parser, self.no_body, self.until_close = httptools.HttpResponseParser(self), no_body, False

    def on_headers_complete(self):
        """Stores status and version in the head and adds the "head" event, except for interim responses;
        called by llhttp.
        """
        head, self.in_head, self.trailers = self.head, False, True
        head.status, head.version = self.parser.get_status_code(), self.parser.get_http_version()
        head.keep_alive = self.parser.should_keep_alive()
        self.until_close = (
            head.status >= 200
            and head.status not in (204, 304)
            and head.get(b"content-length") is None
            and not head.all(b"transfer-encoding")
        )
        if head.status >= 200:  # interim responses (100, 103) are skipped
            self.events.append(("head", head))
            if self.no_body:  # a response to HEAD ends with its head
                super().on_message_complete()

    def on_message_complete(self):
        """Adds the "end" event, except after an interim response; called by llhttp.

        For a response to HEAD the event was added with its head.
        """
        if self.no_body and self.head.status >= 200:
            return
        if self.head.status >= 200:
            super().on_message_complete()
        else:
            self.in_head, self.head_bytes, self.message_begun = True, 0, False

    def closed(self) -> list:
        """Handles the peer's end of file and returns the last events.

        Raises TruncatedMessageError on an incomplete response.
        """
        if self.message_begun and not self.in_head and self.until_close:
            self.message_begun = False
            return [("end", None)]
        raise TruncatedMessageError(502, "the answer was cut" if self.message_begun else "no answer")


def request_head(method: str, target: bytes, fields: list) -> bytes:
    """Encodes a request's head. The caller's `fields` state the length of the body."""
    lines = [
        method.encode() + b" " + target + b" HTTP/1.1",
        *(name + b": " + value for name, value in fields),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def request(method: str, target: str | bytes, fields: list, body: bytes | None = b"") -> bytes:
    """Encodes a request with its length. `body` None: the caller sends a chunked body after it."""
    target = target if isinstance(target, bytes) else target.encode()
    lines = [method.encode() + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in fields]
    if body is None:
        lines.append(b"transfer-encoding: chunked")
    elif body or method in ("POST", "PUT", "PATCH"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")


def response(status: int, fields: list, body: bytes | None = b"", keep: bool = True) -> bytes:
    """Encodes a response with its length. `body` None: the caller sends a chunked body after it.

    `keep` False adds `connection: close`.
    """
    if body is None:
        return response_head(status, fields, keep, chunked=True)
    return response_head(status, [*fields, (b"content-length", b"%d" % len(body))], keep) + body


def response_head(status: int, fields: list, keep: bool = True, chunked: bool = False) -> bytes:
    """Encodes a response's head.

    The caller's `fields` state the length of the body, unless it is `chunked`.
    """
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status").encode())]
    lines += [name + b": " + value for name, value in fields]
    lines += [b"transfer-encoding: chunked"] * chunked + [b"connection: close"] * (not keep)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body; b"" ends the body (RFC 9112, 7.1)."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def end_to_end_fields(fields: list, also: frozenset | set = frozenset()) -> list:
    """Returns the fields without the hop-by-hop ones (RFC 9110, 7.6.1) and without those named in `also`."""
    named = {
        name.strip().lower()
        for known, value in fields
        if known == b"connection"
        for name in value.split(b",")
    }
    drop = HOP_BY_HOP | named | set(also)
    return [(name, value) for name, value in fields if name not in drop]
