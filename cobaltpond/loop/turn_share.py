"""The share of a turn of the loop that one task or peer may use."""


class TurnShare:
    """Counts units of work in the current turn, at most `max_units`.

    A task that may find work without waiting counts each unit, and yields `NextTurn` once it is used up.
    """

    __slots__ = ("loop", "max_units", "turn", "units")

    def __init__(self, loop, max_units: int):
        self.loop, self.max_units = loop, max_units
        self.turn, self.units = -1, 0

    def count(self) -> None:
        """Counts one unit of work."""
        if self.turn != self.loop.turn_count:
            self.turn, self.units = self.loop.turn_count, 0
        self.units += 1

    @property
    def is_used_up(self) -> bool:
        """Whether no more work may be done in this turn."""
        return self.turn == self.loop.turn_count and self.units >= self.max_units
