"""One instance process of a host, as the agent knows it."""

PORTS_PER_HOST = 8


class Process:
    """One instance of this place, alive or about to be: what the journal knows of it, and its child."""

    def __init__(self, build, mark, port, child=None):
        self.build, self.mark, self.port, self.child = build, mark, port, child
        self.began, self.listed = None, None
