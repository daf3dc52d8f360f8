"""Links between two processes of the simulated network: delay, partitions and datagram loss."""


class Link:
    """The state of the link between two processes, as faults have changed it.

    `delay` is the range of the one-way delay in microseconds, its end excluded. `cuts` counts the
    partitions in force. `delay_factor` multiplies the delay. `unreachable_processes` names those that a
    one-way partition keeps all traffic from. `heal_callbacks` run when the last partition ends. Shares are
    probabilities per datagram.
    """

    def __init__(self, delay: tuple[int, int]):
        self.delay, self.cuts, self.delay_factor = delay, 0, 1.0
        self.loss_share, self.duplicate_share, self.reorder_share = 0.0, 0.0, 0.0
        self.unreachable_processes = {}  # name -> True
        self.heal_callbacks = []

    def cut(self, begins: bool) -> None:
        """Begin or end one partition of the link; traffic resumes when the last one ends."""
        self.cuts += 1 if begins else -1
        if not self.cuts:
            self.heal()

    def one_way(self, receiver: str, begins: bool) -> None:
        """Begin or end a one-way partition: nothing reaches `receiver`, but what it sends arrives."""
        if begins:
            self.unreachable_processes[receiver] = True
        else:
            self.unreachable_processes.pop(receiver, None)
            self.heal()

    def heal(self) -> None:
        """Run the callbacks of the streams that wait for the end of a partition."""
        callbacks, self.heal_callbacks = self.heal_callbacks, []
        for call in callbacks:
            call()

    def is_blocked(self, receiver: str) -> bool:
        """Return whether nothing now reaches the process `receiver` over this link."""
        return self.cuts > 0 or receiver in self.unreachable_processes


def component_of(name: str) -> str:
    """Return the component of the scenario that a process belongs to: its name without its number."""
    return name.partition(".")[0]
