"""A call that is made again and again until its peer answers."""

from dataclasses import dataclass

from cobaltpond.loop import DeadlineExceededError
from cobaltpond.rpc.client import PendingCall
from cobaltpond.rpc.late_reads import LateReads

MAX_LATE_CALLS = 4  # that stay open beside the newest one


@dataclass(frozen=True)
class CallResponse:
    """A response, and the body of the request that it answers."""

    status: int
    body: bytes
    request_body: bytes


class SentCall(PendingCall):
    """A pending call that keeps the body and the time of its request."""

    def __init__(self, loop, address, request_body: bytes):
        super().__init__(loop, address)
        self.request_body, self.started_at = request_body, loop.now()


class RepeatedCall:
    """Calls of one kind to one peer, of which the caller needs one response, whichever call it answers.

    A call that exceeds its time limit stays open while the next one is made, so that a peer that is slower
    than the limit is heard. The peer has to bear the same request twice. After a late response the next call
    gets twice that time, so that a slow peer does not get more calls than another.
    """

    def __init__(self, loop, address):
        self.loop, self.address, self.late = loop, address, LateReads(loop, MAX_LATE_CALLS)
        self.response_time = 0  # of the last call, 0 where it had no response

    def attempt(self, method: str, target: str, body: bytes, time_limit: int):
        """Makes one call; returns the response to it or to an earlier one. `time_limit`: microseconds.

        Raises what CALL_ERRORS names, or DeadlineExceededError; earlier calls stay open then.
        """
        time_limit = max(time_limit, min(2 * self.response_time, MAX_LATE_CALLS * time_limit))
        pending, is_sent, result = SentCall(self.loop, self.address, body), False, None
        try:
            if self.late.first is None:
                with self.late.deadline(time_limit):
                    yield from pending.send(method, target, body, time_limit)
                    is_sent = True
                    result = yield from pending.read_response()
                self.late.close()
        except DeadlineExceededError:
            if self.late.first is None:
                self.response_time = 0
                if is_sent:
                    self.late.add(pending, pending.read_response())
                    pending = None
                raise
        finally:
            if pending is not None:
                pending.close()
        if result is None:
            pending, result = self.late.take_first()
            pending.close()
        self.response_time = self.loop.now() - pending.started_at
        return CallResponse(*result, pending.request_body)

    def close(self) -> None:
        """Closes all calls."""
        self.late.close()
