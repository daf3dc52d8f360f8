"""Record of one instance process of a host."""

PORTS_PER_HOST = 8


class Process:
    """An instance of this place, running or about to start: its fields in the journal, and its child process.

    `started_at`: microseconds, None before the start; `listed_state`: the state last published to the
    instance list, None where it was never published.
    """

    def __init__(self, build, mark, port, child=None):
        self.build, self.mark, self.port, self.child = build, mark, port, child
        self.started_at, self.listed_state = None, None
