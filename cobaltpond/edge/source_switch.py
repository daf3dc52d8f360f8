"""One address followed after another: those before end once the newest has heard."""


class SourceSwitch:
    def __init__(self, loop, name: str):
        self.loop, self.name, self.tasks = loop, name, []

    def start(self, generator) -> None:
        """A task that follows from now on; it calls `heard` at each sign of life."""
        self.tasks.append(self.loop.spawn(generator, self.name))

    @property
    def is_replaced(self) -> bool:
        """Has a newer one than the task that asks spoken, in this very turn? What this one has heard comes
        too late."""
        return self.loop.current not in self.tasks

    def source_answered(self) -> None:
        """Ends all that were started before the task that calls. Guards against a second change of address
        that comes before the first new one has spoken: the oldest would follow a dead address for ever."""
        while not self.is_replaced and self.tasks[0] is not self.loop.current:
            self.tasks.pop(0).cancel()
