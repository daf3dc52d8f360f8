"""One address followed after another: those before end once the newest has heard."""


class SourceSwitch:
    def __init__(self, loop, name: str):
        self.loop, self.name, self.tasks = loop, name, []

    def start(self, generator) -> None:
        """A task that follows from now on; it calls `heard` at each sign of life."""
        self.tasks.append(self.loop.spawn(generator, self.name))

    def heard(self) -> None:
        """Ends all that were started before the task that calls. Guards against a second change of address that
        comes before the first new one has spoken: the oldest would follow a dead address for ever."""
        if self.loop.current in self.tasks:            # one that is being ended may speak once more
            while self.tasks[0] is not self.loop.current:
                self.tasks.pop(0).cancel()
