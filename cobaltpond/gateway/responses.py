"""Encodes the responses that the gateway itself originates (problem bodies: RFC 9457).

A rejection states that a retry is harmless: member `retry_harmless` and field `Cobaltpond-Retry: harmless`.
An error response makes no such promise.
"""

import json

from cobaltpond.wire.http1 import response

HARMLESS_RETRY_FIELD = (b"cobaltpond-retry", b"harmless")


def problem_response(
    status: int, kind: str, title: str, hit: str | None, more: dict, fields: list, keep_alive: bool
) -> bytes:
    """Encodes a response with a problem body. `hit` is None where no hit was accepted.

    `more`: further body members.
    """
    body = {"type": f"urn:cobaltpond:{kind}", "title": title, "status": status, **more}
    if hit is not None:
        body["instance"] = f"urn:cobaltpond:hit:{hit}"
        fields = [(b"cobaltpond-hit", hit.encode()), *fields]
    fields = [(b"content-type", b"application/problem+json"), (b"cache-control", b"no-store"), *fields]
    return response(status, fields, json.dumps(body, separators=(",", ":")).encode(), keep_alive)


def harmless_retry(retry_after: int) -> tuple[list, dict]:
    """Returns header fields and body members that promise a harmless retry.

    `retry_after` in microseconds; 0 leaves the advice out.
    """
    fields, more = [HARMLESS_RETRY_FIELD], {"retry_harmless": True}
    if retry_after:
        fields.append((b"retry-after", b"%d" % -(-retry_after // 1_000_000)))
        fields.append((b"cobaltpond-retry-after-ms", b"%d" % -(-retry_after // 1000)))
        more["retry_after_ms"] = -(-retry_after // 1000)
    return fields, more


def bounce_response(hit: str, retry_after: int, over_share: bool, keep_alive: bool) -> bytes:
    """Encodes a rejection: 429 where the customer exceeds its share, else 503.

    `retry_after` in microseconds; the Retry-After field itself counts whole seconds (RFC 9110, 10.2.3).
    """
    fields, more = harmless_retry(retry_after)
    if over_share:
        return problem_response(
            429, "over-share", "More than the customer's share", hit, more, fields, keep_alive
        )
    return problem_response(503, "bounced", "Not taken on now", hit, more, fields, keep_alive)


def over_limit_response(limit: str, retry_after: int, keep_alive: bool) -> bytes:
    """Encodes the 429 for a request that a configured limit rejects before a hit exists.

    `retry_after` in microseconds.
    """
    fields, more = harmless_retry(retry_after)
    return problem_response(
        429, "over-limit", f"Over the limit: {limit}", None, {**more, "limit": limit}, fields, keep_alive
    )


def failure_response(hit: str, late: bool, keep_alive: bool) -> bytes:
    """Encodes a 504 where the hit is `late`, else a 502. The hit may have run."""
    if late:
        return problem_response(504, "late", "No answer in time; it may have run", hit, {}, [], keep_alive)
    return problem_response(502, "errored", "It failed; it may have run", hit, {}, [], keep_alive)


def invalid_request_response(status: int, text: str) -> bytes:
    """Encodes the answer to a malformed or unroutable request, which never becomes a hit; the connection
    closes.
    """
    return problem_response(status, "unfit", text, None, {}, [], False)
