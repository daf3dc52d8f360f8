"""What an agent tells the list of its instances. A part of `main.Agent`, which has the state."""

import json

from cobaltpond.agent.states import DRAINING
from cobaltpond.loop import Deadline, DeadlineExceededError, Sleep
from cobaltpond.rpc import CALL_ERRORS, Backoff, call
from cobaltpond.settings.sections import split_address

CALL_TIME = 1_000_000


class InstanceRegistration:
    def name_of(self, process):
        """The id under which the list shows it."""
        return f"{self.host.place}.{process.port - self.host.ports}"

    def id_of(self, build):
        process = self.processes.get(build)
        return self.name_of(process) if process else ""

    def do_list_up(self, build):
        self.leave(build, "drained")
        if self.processes[build].listed is None:
            self.note({"listed": self.processes[build].mark})
        self.tell_list(build, self.processes[build], "up")

    def do_list_draining(self, build):
        if build in self.processes:
            self.tell_list(build, self.processes[build], "draining")

    def do_list_gone(self, build):
        pass  # told when its end was seen

    def tell_list(self, build, process, state):
        if state == "gone" and process.listed is None:
            return
        process.listed = state
        row = {
            "id": self.name_of(process),
            "zone": self.host.zone,
            "cell": self.host.cell,
            "address": f"{self.host.address}:{process.port}",
            "build": build,
            "state": state,
            "start": process.mark,
            "age_us": self.loop.now() - process.began,
        }

        def tell():
            """Until it is heard: what the list says must come true."""
            waits = Backoff(50_000, 1_000_000, self.loop.kernel.random_seed())
            while True:
                try:
                    with Deadline(self.loop, CALL_TIME):
                        status, _ = yield from call(
                            self.loop,
                            split_address(self.settings.listing.address),
                            "POST",
                            "/v1/instances",
                            json.dumps(row).encode(),
                            CALL_TIME,
                        )
                    if status == 200:
                        slot = self.place.slots.get(build)
                        if state == "draining" and slot is not None and slot.state == DRAINING:
                            self.after(build, self.settings.release.drain_time, "drained")
                        return
                except (*CALL_ERRORS, DeadlineExceededError):
                    pass
                yield Sleep(waits.next_delay())

        self.task(process.mark, "list", tell())
