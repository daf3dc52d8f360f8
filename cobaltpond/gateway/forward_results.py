"""How each way in which a forward can end maps onto one `ForwardResult` of the decisions, and why.

The rules hang on one question: may the hit have run? "unreachable", "full" and "moot" say that it has not;
all others leave it open. When in doubt it is open.
"""

from cobaltpond.wire.http1 import MessageHead

NOT_RUN_FIELD = b"cobaltpond-not-run"

# what was seen -> (ending, reason)
FORWARD_RESULTS = {
    "refused": ("unreachable", "the dial was refused: no byte of the hit has left"),
    "no route": ("unreachable", "the dial failed: no byte of the hit has left"),
    "dial too slow": ("unreachable", "no connection in time: no byte of the hit has left"),
    "no handle": ("unreachable", "this process may open no more sockets: no byte of the hit has left"),
    "no connection free": ("unreachable", "the limit of connections to that instance: no byte has left"),
    "not our turn": (
        "unreachable",
        "its kept connections had ended, and of the new ones that an instance bears from "
        "all gateways none was ours now: no byte has left",
    ),
    "turned away": ("full", "the instance answered the dial with a refusal: no byte of the hit has left"),
    "no welcome": (
        "unreachable",
        "the dial was answered with no sense or an error: no byte of the hit has left",
    ),
    "changed meanwhile": (
        "unreachable",
        "while the dial lasted, the list or the desk took back what the decision "
        "was built on: no byte of the hit has left",
    ),
    "window over": (
        "unreachable",
        "its key was no longer remembered when it could have been sent again: the last byte " "has not left",
    ),
    "cut while sending": ("unreachable", "the connection broke before the last byte of the hit was written"),
    "closed while idle": (
        "unreachable",
        "a kept connection had ended before the first byte was written, " "and no new one was to be had",
    ),
    "not listed": ("unreachable", "the list no longer knows that instance: nothing was dialled"),
    "refusal": ("full", "the instance says that it sent the hit away without a look"),
    "answer": ("ok", "a whole answer, or one beyond the point of no return"),
    "server error": ("error", "a 5xx without that promise: it may have run half"),
    "no sense": ("error", "the answer is no HTTP/1.1 within the limits; the instance has seen the hit"),
    "spoilt": (
        "reset",
        "the answer broke into bytes that make no sense: the connection is of no further use, and the "
        "hit may have run; unlike an error it is not the instance's word on the hit",
    ),
    "cut before an answer": (
        "reset",
        "the connection broke after the first byte was written; also a kept "
        "connection that ends just then: HTTP/1.1 cannot tell whether it was read",
    ),
    "cut in the answer": ("reset", "the answer broke off before the point of no return"),
    "too late": ("timeout", "no whole answer in the time given"),
    "called off": ("cancelled", "the decisions called it off; the connection was closed"),
    "nothing to send": ("moot", "its body has passed and was not kept, or the hit has its final answer"),
}


def classify_response(head: MessageHead, refusals: tuple[int, ...]) -> str:
    """The key in SEEN for a whole answer. A refusal is a status that the sheet names as one, or an answer
    that carries `Cobaltpond-Not-Run`: nothing else promises that the hit did not run."""
    if head.status in refusals or head.get(NOT_RUN_FIELD) is not None:
        return "refusal"
    return "server error" if head.status >= 500 else "answer"
