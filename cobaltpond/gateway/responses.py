"""The bytes of the final answers that the gateway gives itself (problem bodies: RFC 9457).

A bounce promises that trying again is harmless: member `retry_harmless` and field `Cobaltpond-Retry:
harmless`. An error page promises nothing, whatever is sent again.
"""

import json

from cobaltpond.wire.http1 import response

PROMISE = (b"cobaltpond-retry", b"harmless")


def problem(
    status: int, kind: str, title: str, hit: str | None, more: dict, fields: list, keep: bool
) -> bytes:
    body = {"type": f"urn:cobaltpond:{kind}", "title": title, "status": status, **more}
    if hit is not None:
        body["instance"] = f"urn:cobaltpond:hit:{hit}"
        fields = [(b"cobaltpond-hit", hit.encode()), *fields]
    fields = [(b"content-type", b"application/problem+json"), (b"cache-control", b"no-store"), *fields]
    return response(status, fields, json.dumps(body, separators=(",", ":")).encode(), keep)


def harmless(retry_after: int) -> tuple[list, dict]:
    """Fields and members that promise it, with advice when to come back where there is any."""
    fields, more = [PROMISE], {"retry_harmless": True}
    if retry_after:
        fields.append((b"retry-after", b"%d" % -(-retry_after // 1_000_000)))
        fields.append((b"cobaltpond-retry-after-ms", b"%d" % -(-retry_after // 1000)))
        more["retry_after_ms"] = -(-retry_after // 1000)
    return fields, more


def bounced(hit: str, retry_after: int, over_share: bool, keep: bool) -> bytes:
    """`retry_after` in microseconds; Retry-After itself counts whole seconds (RFC 9110, 10.2.3)."""
    fields, more = harmless(retry_after)
    if over_share:
        return problem(429, "over-share", "More than the customer's share", hit, more, fields, keep)
    return problem(503, "bounced", "Not taken on now", hit, more, fields, keep)


def limited(limit: str, retry_after: int, keep: bool) -> bytes:
    """A hit that a limit of the sheet bounced, before anything was done for it."""
    fields, more = harmless(retry_after)
    return problem(
        429, "over-limit", f"Over the limit: {limit}", None, {**more, "limit": limit}, fields, keep
    )


def errored(hit: str, late: bool, keep: bool) -> bytes:
    if late:
        return problem(504, "late", "No answer in time; it may have run", hit, {}, [], keep)
    return problem(502, "errored", "It failed; it may have run", hit, {}, [], keep)


def unfit(status: int, text: str) -> bytes:
    """For what never became a hit; the connection closes."""
    return problem(status, "unfit", text, None, {}, [], False)
