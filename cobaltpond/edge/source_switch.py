"""Replaces one followed source by another without a gap."""


class SourceSwitch:
    """Tasks that follow one address each; older ones end once the newest has answered."""

    def __init__(self, loop, name: str):
        self.loop, self.name, self.tasks = loop, name, []

    def start(self, generator) -> None:
        """Starts a task that follows a source; it calls `source_answered` at each response."""
        self.tasks.append(self.loop.spawn(generator, self.name))

    @property
    def is_replaced(self) -> bool:
        """Whether the calling task has been replaced, as a newer source has answered. What the task received
        in this turn of the loop comes too late then.
        """
        return self.loop.current not in self.tasks

    def source_answered(self) -> None:
        """Ends all tasks that were started before the calling one.

        This holds also where the address changes a second time before the first new source has answered:
        otherwise the oldest task would go on following a dead address.
        """
        while not self.is_replaced and self.tasks[0] is not self.loop.current:
            self.tasks.pop(0).cancel()
