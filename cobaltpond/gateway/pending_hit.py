"""The state of one hit that awaits its final answer, independent of the client's protocol."""


class PendingHit:
    """A hit from its acceptance to its final answer.

    States: `open` while `final` is false, then exactly one final `outcome`, which `finalize` sets:

        open -> delivered   a forward's answer is sent, or the first byte of a streamed answer is about to be
        open -> bounced     rejected without effect; a retry is harmless
        open -> errored     failed or late; it may have run
        open -> gone        the client disconnected, or its body is malformed
        delivered -> cut    a streamed answer broke off; the client's connection is aborted

    `streaming` is true while a streamed answer is being sent. The last transition does not end the hit again:
    it is final since `delivered`.

    A protocol's subclass adds the request and the form of the answers: `deliver`, `reject(retry_after)` and
    `fail(late)`. Each of them calls `finalize` and sends the answer.
    """

    def __init__(self, number: int, name: str, frontend):
        self.number, self.name, self.frontend = number, name, frontend
        self.final = self.streaming = False
        # `overdue_timer` is the timer that answers the hit where the decisions have not answered it in time
        self.outcome, self.overdue_timer = None, None
        # tasks of the forwards, None where nothing was sent; the `ForwardResult` of the last that ended
        self.forwards, self.last_result = [], None

    def is_wanted(self) -> bool:
        """Returns whether the hit may still be sent to an instance: not once its client has left."""
        if not self.final and self.client_has_left():
            self.abandon()
        return not self.final

    def client_has_left(self) -> bool:
        """Returns whether the client has ended its side, also while bytes of it are unread."""
        return False

    def abandon(self) -> None:
        """Ends the hit, whose client has left."""
        self.frontend.host.abandon_hit(self)

    def release(self) -> None:
        """Frees what the hit holds; called once it is final and none of its forwards runs."""

    def finalize(self, outcome: str) -> None:
        """Changes the state from open to the final `outcome`: the only place where a hit becomes final.

        Cancels the overdue timer and reports the end to the frontend. It is called once per hit.
        """
        self.final, self.outcome = True, outcome
        if self.overdue_timer is not None:
            self.overdue_timer.cancel()
        self.frontend.hit_ended(self)
