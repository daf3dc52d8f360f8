"""Calls and streams of JSON lines over HTTP/1.1 between the components."""

from cobaltpond.rpc.body_allowance import BodyAllowance, BodyShare
from cobaltpond.rpc.client import CALL_ERRORS, NOT_SENT_ERRORS, Backoff, call
from cobaltpond.rpc.repeated_call import RepeatedCall
from cobaltpond.rpc.server import Request, ResponseStream, RpcError, json_response, serve_rpc
from cobaltpond.rpc.streams import LineStream, follow_stream

__all__ = [
    "Backoff",
    "BodyAllowance",
    "BodyShare",
    "CALL_ERRORS",
    "LineStream",
    "NOT_SENT_ERRORS",
    "RepeatedCall",
    "RpcError",
    "Request",
    "ResponseStream",
    "call",
    "follow_stream",
    "json_response",
    "serve_rpc",
]
