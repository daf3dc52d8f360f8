"""Short calls and streams of JSON lines over HTTP/1.1, between the parts of the program."""

from cobaltpond.rpc.client import FAILED, NOT_SENT, Backoff, LineStream, call, follow
from cobaltpond.rpc.server import Refusal, Request, Stream, json_answer, service

__all__ = [
    "Backoff",
    "FAILED",
    "LineStream",
    "NOT_SENT",
    "Refusal",
    "Request",
    "Stream",
    "call",
    "follow",
    "json_answer",
    "service",
]
