"""A hit as the host and its forwards see it, whatever protocol it came by."""


class PendingHit:
    """A final answer is owed until `finalize`. A door's own kind adds what came and how the answer is worded:
    `deliver`, `bounce(retry_after)` and `error(late)`, each of which ends it and sends the answer."""

    def __init__(self, number: int, name: str, door):
        self.number, self.name, self.frontend = number, name, door
        self.final = self.streaming = False
        self.outcome, self.overdue = None, None  # delivered, bounced, errored, gone or cut; timer
        self.forwards, self.last_ending = [], None  # tasks, None where nothing was sent

    def finalize(self, outcome: str) -> None:
        """The one place where a hit becomes final."""
        self.final, self.outcome = True, outcome
        if self.overdue is not None:
            self.overdue.cancel()
        self.frontend.hit_ended(self)
