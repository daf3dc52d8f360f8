"""The time limits of a simulated day's processes, and the error raised where a day cannot be finished."""

READY, CALL_TIME = 15_000_000, 2_000_000  # microseconds


class ScenarioError(Exception):
    """The day could not be played to its end; the text says why."""
