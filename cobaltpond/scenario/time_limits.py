"""Time limits for the processes of a scenario, and the error raised when a scenario cannot finish."""

READY_TIME_US, CALL_TIME_US = 15_000_000, 2_000_000  # microseconds


class ScenarioError(Exception):
    """The scenario could not be run to its end; the text says why."""
