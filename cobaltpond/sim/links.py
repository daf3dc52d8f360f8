"""How things are between two sites of the simulated network."""


class Link:
    """How things are between two sites: what faults have made of it. Times are microseconds."""

    def __init__(self, delay: tuple[int, int]):
        self.delay, self.cuts, self.slow = delay, 0, 1.0
        self.lose, self.repeat, self.shuffle = 0.0, 0.0, 0.0  # shares of datagrams
        self.deaf = {}  # names of processes that nothing reaches over this link
        self.healed = []  # called when the last cut ends

    def cut(self, begins: bool) -> None:
        self.cuts += 1 if begins else -1
        if not self.cuts:
            self.heal()

    def one_way(self, to: str, begins: bool) -> None:
        """Nothing comes to `to` any more; what it sends itself comes through."""
        if begins:
            self.deaf[to] = True
        else:
            self.deaf.pop(to, None)
            self.heal()

    def heal(self) -> None:
        waiting, self.healed = self.healed, []
        for call in waiting:
            call()

    def blocked(self, to: str) -> bool:
        return self.cuts > 0 or to in self.deaf


def component_of(name: str) -> str:
    """The part of a day that a process belongs to: its name without the number of its instance."""
    return name.partition(".")[0]
