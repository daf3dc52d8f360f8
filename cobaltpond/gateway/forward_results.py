"""Maps each way in which a forward can end to one `ForwardResult` of the decisions, with the reason.

The mapping depends on whether the hit may have run at the instance. "unreachable", "full" and "moot" state
that it has not run; all other results leave that open, and so does every doubtful case. "moot": the forward
was not sent, since the hit's body is no longer buffered or the hit has its final answer. (The answer "moot"
to a vote is another thing: the vote does not fit the desk's release state.)
"""

from cobaltpond.wire.http1 import MessageHead

# response header field by which an instance states that it has not run the hit
NOT_RUN_FIELD = b"cobaltpond-not-run"

# observation -> (result, reason)
FORWARD_RESULTS = {
    "refused": ("unreachable", "the dial was refused: no byte of the hit was sent"),
    "no route": ("unreachable", "the dial failed: no byte of the hit was sent"),
    "dial too slow": ("unreachable", "no connection in time: no byte of the hit was sent"),
    "no handle": ("unreachable", "this process may open no more sockets: no byte of the hit was sent"),
    "no connection free": (
        "unreachable",
        "the limit of connections to that instance is reached: no byte was sent",
    ),
    "not our turn": (
        "unreachable",
        "its idle connections had closed, and the rate limit of dials that all gateways share "
        "allowed no new one now: no byte was sent",
    ),
    "turned away": ("full", "the instance answered the dial with a refusal: no byte of the hit was sent"),
    "no welcome": (
        "unreachable",
        "the handshake failed with a malformed answer or an error: no byte of the hit was sent",
    ),
    "changed meanwhile": (
        "unreachable",
        "during the dial the list or the desk invalidated what the decision "
        "was based on: no byte of the hit was sent",
    ),
    "window over": (
        "unreachable",
        "the instance no longer remembered its key when it could have been sent again: the last byte "
        "was not sent",
    ),
    "cut while sending": ("unreachable", "the connection broke before the last byte of the hit was written"),
    "closed while idle": (
        "unreachable",
        "an idle connection had closed before the first byte was written, and no new one was available",
    ),
    "not listed": ("unreachable", "the instance is no longer in the list: nothing was dialled"),
    "refusal": ("full", "the instance states that it rejected the hit without running it"),
    "answer": ("ok", "a complete response, or one whose streaming to the client has begun"),
    "server error": ("error", "a 5xx without that statement: it may have run in part"),
    "no sense": (
        "error",
        "the response is not HTTP/1.1 within the limits; the instance has received the hit",
    ),
    "spoilt": (
        "reset",
        "the response turned into malformed bytes: the connection can't be used any more, and the "
        "hit may have run; unlike an error this is not the instance's own result of the hit",
    ),
    "cut before an answer": (
        "reset",
        "the connection broke after the first byte was written; also an idle "
        "connection that closes just then: HTTP/1.1 cannot tell whether it was read",
    ),
    "cut in the answer": ("reset", "the response broke off before its streaming to the client began"),
    "too late": ("timeout", "no complete response within the timeout"),
    "called off": ("cancelled", "the decisions cancelled it; the connection was closed"),
    "nothing to send": (
        "moot",
        "its body was streamed and is no longer buffered, or the hit already has its final answer",
    ),
}


def classify_response(head: MessageHead, refusals: tuple[int, ...]) -> str:
    """Returns the key of FORWARD_RESULTS for a complete response.

    A refusal is a status that the settings list in `refusals`, or a response with the field
    `Cobaltpond-Not-Run`: nothing else promises that the hit did not run.
    """
    if head.status in refusals or head.get(NOT_RUN_FIELD) is not None:
        return "refusal"
    return "server error" if head.status >= 500 else "answer"
