"""Registration of an agent's instances with the instance list."""

import json

from cobaltpond.agent.states import DRAINING
from cobaltpond.loop import DeadlineExceededError, Sleep
from cobaltpond.rpc import CALL_ERRORS, Backoff, RepeatedCall
from cobaltpond.settings.sections import split_address

CALL_TIMEOUT_US = 1_000_000  # microseconds


class InstanceRegistration:
    """Mixin of `main.Agent`, which holds the state."""

    def instance_id(self, process):
        """The id of a process in the instance list: place and port offset."""
        return f"{self.host.place}.{process.port - self.host.ports}"

    def instance_id_of_build(self, build):
        """The id of the instance of a build; empty where none runs."""
        process = self.processes.get(build)
        return self.instance_id(process) if process else ""

    def do_list_up(self, build):
        """Publishes the instance as up; the journal records first that it is listed."""
        self.cancel_task(build, "drained")
        if self.processes[build].listed_state is None:
            self.write_record({"listed": self.processes[build].mark})
        self.publish_state(build, self.processes[build], "up")

    def do_list_draining(self, build):
        """Publishes the instance as draining, where it still runs."""
        if build in self.processes:
            self.publish_state(build, self.processes[build], "draining")

    def do_list_gone(self, build):
        """Does nothing: `watch_processes` publishes the end of a process."""
        pass

    def publish_state(self, build, process, state):
        """Starts to publish the state of an instance; replaces an earlier publication that is under way."""
        if state == "gone" and process.listed_state is None:
            return
        process.listed_state = state
        row = {
            "id": self.instance_id(process),
            "zone": self.host.zone,
            "cell": self.host.cell,
            "address": f"{self.host.address}:{process.port}",
            "build": build,
            "state": state,
            "start": process.mark,
            "age_us": self.loop.now() - process.started_at,
        }

        def publish_until_accepted():
            """Retries until the list accepts the state, so that the list converges to it."""
            backoff = Backoff(50_000, 1_000_000, self.loop.kernel.random_seed())
            publication = RepeatedCall(self.loop, split_address(self.settings.listing.address))
            body = json.dumps(row).encode()
            try:
                while True:
                    try:
                        response = yield from publication.attempt(
                            "POST", "/v1/instances", body, CALL_TIMEOUT_US
                        )
                        if response.status == 200:
                            break
                    except (*CALL_ERRORS, DeadlineExceededError):
                        pass
                    yield Sleep(backoff.next_delay())
            finally:
                publication.close()
            slot = self.build_slots.slots.get(build)
            if state == "draining" and slot is not None and slot.state == DRAINING:
                self.schedule_event(build, self.settings.release.drain_time, "drained")

        self.start_task(process.mark, "list", publish_until_accepted())
