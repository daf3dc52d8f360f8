"""Runs the recovery of a gateway: its phase, dial turns, warm-start messages and snapshot."""

from cobaltpond.loop import Sleep
from cobaltpond.members import wire
from cobaltpond.recovery import snapshot
from cobaltpond.recovery.phases import (
    ALL_SOURCES_KNOWN,
    ANSWER_WARM_START,
    BLANK,
    CAUGHT_UP,
    HEARING,
    PROCESS_STALLED,
    REQUEST_WARM_START,
    SEND_SAMPLES,
    SERVING,
    SETTLED,
    SOURCE_KNOWN,
    VOTE_BACK,
    VOTE_ON,
    WARM_START_DONE,
    WARMING,
    WRITE_SNAPSHOT,
    PhaseMachine,
    ServiceWindow,
)
from cobaltpond.recovery.rate_limiter import AnswerRateLimiter, DialRateLimiter, RecentStarts, StartJitter
from cobaltpond.recovery.warm_start import SILENT, WarmStart, notable_rows, start_mark

TICK_US, SETTLED_TICK_US = 20_000, 100_000  # the interval between checks, before and after settling
VALIDITY_COLD_TIMES = 3  # observations and snapshots older than this many cold times are useless
LISTEN_US = 100_000  # time to hear of other members before the first calls


class Recovery:
    """Recovery of a running `gateway.main.GatewayProcess`, whose settings have a `recovery` section.

    `random_source` is a `decisions.records.RandomSource`. Times are in microseconds.
    """

    def __init__(self, gateway, random_source):
        self.gateway = gateway
        self.loop = gateway.loop
        self.log = gateway.log
        self.random_source = random_source
        deployment, self.recovery_settings = gateway.settings, gateway.settings.recovery
        self.validity_us, self.started_at = VALIDITY_COLD_TIMES * deployment.rules.cold_time, self.loop.now()
        self.settings_digest, self.service_window = deployment.digest(), ServiceWindow()
        self.phase_machine = PhaseMachine(
            self.started_at,
            {
                BLANK: self.recovery_settings.hear,
                HEARING: self.recovery_settings.hear,
                WARMING: self.recovery_settings.warming,
                SERVING: self.recovery_settings.settle,
            },
            self.phase_changed,
        )
        self.recent_starts = RecentStarts(len(deployment.gateways))
        self.answer_limiter = AnswerRateLimiter(self.recovery_settings.asks)
        self.start_jitter = (
            StartJitter(self.recovery_settings.calls, random_source) if self.recovery_settings.calls else None
        )
        if self.recovery_settings.dials:
            gateway.endpoints.dial_limiter = DialRateLimiter(
                self.recovery_settings.dials, self.recent_starts.member_count, random_source
            )
        self.warm_start = None
        self.loaded_snapshot = None
        self.snapshot_refusal = None
        self.written_at = None
        self.last_tick_at = self.started_at
        self.counts = {"told": 0, "held votes": 0, "held samples": 0, "recalled": 0, "kept": 0, "not kept": 0}
        gateway.host.is_allowed = self.is_allowed
        if gateway.members is not None:
            gateway.members.view.on_warm_start_message = self.handle_message

    def phase_changed(self, before: str, cause: str) -> None:
        """Logs a change of the phase."""
        self.log.info(
            "phase",
            phase=self.phase_machine.phase,
            before=before,
            cause=cause,
            up_ms=(self.loop.now() - self.started_at) // 1000,
        )

    def is_allowed(self, action: str, verdict: str = "") -> bool:
        """Returns whether the phase permits an action, and counts what it denies.

        `action` is "vote", for a vote with this `verdict`, or "tell", for a sample to other gateways. The
        decision host asks before it sends either.
        """
        if action == "vote":
            is_held = not self.phase_machine.is_allowed(VOTE_ON if verdict in ("on", "hold") else VOTE_BACK)
            self.counts["held votes"] += is_held
            return not is_held
        is_held = not self.phase_machine.is_allowed(SEND_SAMPLES)
        self.counts["held samples"] += is_held
        return not is_held

    # --- start jitter ---------------------------------------------------------------------------------------

    def jittered(self, generator):
        """Runs `generator`, which calls the list or the desk, after a random delay; its retries have none."""
        if self.start_jitter is not None:
            if self.gateway.members is not None:
                yield Sleep(LISTEN_US)
            yield Sleep(self.start_jitter.draw_delay(self.recent_starts.count(self.loop.kernel.wall_clock())))
        yield from generator

    # --- main loop ------------------------------------------------------------------------------------------

    def run(self):
        """Runs until cancelled; must be started before the gateway accepts connections."""
        self.read_snapshot()
        last_sampled_at = 0
        while True:
            yield Sleep(SETTLED_TICK_US if self.phase_machine.phase == SETTLED else TICK_US)
            now = self.loop.now()
            self.observe(now)
            self.request_warm_start(now)
            if now - last_sampled_at >= SETTLED_TICK_US:
                last_sampled_at = now
                counts = self.gateway.frontend.counts
                delivered = counts.get("delivered", 0)
                self.service_window.record(
                    now, delivered + counts.get("bounced", 0) + counts.get("errored", 0), delivered
                )
                if (
                    self.phase_machine.phase == SERVING
                    and now - self.phase_machine.since >= self.validity_us // VALIDITY_COLD_TIMES
                    and (self.service_window.is_caught_up())
                ):
                    self.phase_machine.apply_cause(now, CAUGHT_UP)
            self.phase_machine.tick(now)
            yield from self.write_snapshot(now)

    def observe(self, now: int) -> None:
        """Updates the phase by which sources have answered, and detects a process that was paused
        meanwhile.
        """
        gateway = self.gateway
        if gateway.members is not None:
            self.recent_starts.update(
                {n: start for n, start in gateway.members.view.living().items() if n != gateway.number}
            )
        if now - self.last_tick_at > self.validity_us // VALIDITY_COLD_TIMES:
            # All knowledge is as old as the pause, which equals a restart.
            self.phase_machine.apply_cause(now, PROCESS_STALLED)
        self.last_tick_at = now
        sources_known = gateway.list_follower.has_received, gateway.desk_client.has_received
        if all(sources_known):
            self.phase_machine.apply_cause(now, ALL_SOURCES_KNOWN)
        elif any(sources_known):
            self.phase_machine.apply_cause(now, SOURCE_KNOWN)
        if gateway.endpoints.dial_limiter is not None:
            gateway.endpoints.dial_limiter.retain(gateway.endpoints.by_id)

    # --- warm start -----------------------------------------------------------------------------------------

    def donors(self) -> list[int]:
        """Returns the numbers of the present members that report themselves as settled."""
        view = self.gateway.members.view
        return [
            n
            for n, member in view.members.items()
            if member.is_present and member.facts.get("flags", 0) & wire.SETTLED
        ]

    def request_warm_start(self, now: int) -> None:
        """Asks donors while the phase permits it; ends the phase without members or with warm start off."""
        if not self.phase_machine.is_allowed(REQUEST_WARM_START):
            return
        if self.warm_start is None:
            self.warm_start = WarmStart(
                self.validity_us, self.random_source, now, self.recovery_settings.warming
            )
            self.apply_snapshot()
        members = self.gateway.members
        if members is None or not self.recovery_settings.warm:
            self.phase_machine.apply_cause(now, WARM_START_DONE)
            return
        for number in self.warm_start.due_requests(now, self.donors()):
            members.view.send(wire.WARM_REQUEST, number, 0)
        members.flush()
        if self.warm_start.is_over(now):
            self.phase_machine.apply_cause(now, WARM_START_DONE)

    def handle_message(self, kind: int, sender: int, sequence: int, rows: list) -> None:
        """Answers a warm-start request, or applies an answer to this gateway's own request."""
        now = self.loop.now()
        if kind == wire.WARM_REQUEST:
            if self.phase_machine.is_allowed(ANSWER_WARM_START) and self.answer_limiter.try_acquire(
                now, sender
            ):
                rows_to_send = notable_rows(
                    [
                        (start_mark(id, build, start), *rest)
                        for id, build, start, *rest in self.instance_rows(now)
                    ]
                )
                for at in range(0, max(1, len(rows_to_send)), wire.MAX_WARM_ROWS):
                    self.gateway.members.view.send(
                        wire.WARM_REPLY,
                        sender,
                        sequence,
                        extra_fields=wire.encode_warm(rows_to_send[at : at + wire.MAX_WARM_ROWS]),
                    )
                self.counts["told"] += 1
        elif self.warm_start is not None:
            self.warm_start.apply_response(sender, rows)
            instance_list = self.gateway.list_follower.instance_list
            marks = {start_mark(id, row["build"], row["start"]): id for id, row in instance_list.rows.items()}
            self.restore(self.warm_start.accepted_rows(marks), [])

    def instance_rows(self, now: int) -> list[tuple]:
        """Returns what this gateway itself has observed of each instance.

        Each row is (id, build, the list's value of its start, latency ratio, load, faults, flags, age in
        microseconds).
        """
        fleet, listed_rows = self.gateway.host.decisions.fleet, self.gateway.list_follower.instance_list.rows
        observed = []
        for instance in fleet.up:
            row = listed_rows.get(instance.id)
            silent = now < instance.ejected_until
            if row is None or not instance.heard_at and not silent:
                continue
            age = now - instance.heard_at if instance.heard_at and not silent else 0
            observed.append(
                (
                    instance.id,
                    instance.build.number,
                    row["start"],
                    instance.latency_ratio,
                    instance.other_inflight,
                    instance.faults,
                    SILENT if silent else 0,
                    age,
                )
            )
        return observed

    def restore(self, rows: list, keys: list) -> None:
        """Hands accepted rows and sticky keys to the decisions, if there are any."""
        if rows or keys:
            self.counts["recalled"] += len(rows)
            self.gateway.host.post_event("on_warm_start", rows, keys)

    # --- snapshot -------------------------------------------------------------------------------------------

    def read_snapshot(self) -> None:
        """Reads the snapshot at the start, and refuses it if it is unusable."""
        path, kernel = self.gateway.gateway_settings.snapshot, self.loop.kernel
        if path is None:
            return
        try:
            size = kernel.file_size(path)
            if size is not None and size > snapshot.MAX_BYTES:
                raise snapshot.SnapshotError(f"{size} bytes exceed the size limit")
            self.loaded_snapshot = snapshot.parse_snapshot(
                kernel.read_file(path),
                number=self.gateway.number,
                settings=self.settings_digest,
                wall=kernel.wall_clock(),
                max_age=self.validity_us,
            )
            self.gateway.desk_client.last_seen_state = (
                self.loaded_snapshot["head"].get("seen") or self.gateway.desk_client.last_seen_state
            )
        except (snapshot.SnapshotError, OSError) as why:
            self.refuse_snapshot(why)

    def refuse_snapshot(self, why) -> None:
        """Drops the snapshot and keeps the reason for the status page."""
        self.snapshot_refusal, self.loaded_snapshot = str(why), None
        self.log.info("snapshot refused", why=str(why))

    def apply_snapshot(self) -> None:
        """Applies the loaded snapshot. The list must be known by then, since its epoch must match."""
        content, instance_list = self.loaded_snapshot, self.gateway.list_follower.instance_list
        if content is None:
            return
        try:
            snapshot.check_list_epoch(content["head"], instance_list.epoch)
        except snapshot.SnapshotError as why:
            self.refuse_snapshot(why)
            return
        rows = snapshot.accepted_rows(
            content, {id: (row["build"], row["start"]) for id, row in instance_list.rows.items()}
        )
        self.log.info(
            "snapshot taken", rows=len(rows), keys=len(content["keys"]), weight=round(content["weight"], 3)
        )
        self.restore(rows, content["keys"])

    def write_snapshot(self, now: int):
        """Writes the snapshot when it is due, line by line with a turn of the event loop after each.

        The file is not synced: a reader finds out by the last line whether it is complete. A full or failing
        disk costs the snapshot, nothing else.
        """
        path, kernel = self.gateway.gateway_settings.snapshot, self.loop.kernel
        is_due = self.written_at is None or now - self.written_at >= self.recovery_settings.snapshot_every
        if path is None or not is_due or not self.phase_machine.is_allowed(WRITE_SNAPSHOT):
            return
        self.written_at = now
        instance_list, decisions = self.gateway.list_follower.instance_list, self.gateway.host.decisions
        head = {
            "number": self.gateway.number,
            "settings": self.settings_digest,
            "wall": kernel.wall_clock(),
            "epoch": instance_list.epoch,
            "seen": self.gateway.desk_client.last_seen_state,
        }
        rows = [
            [id, build, start, round(latency_ratio, 3), round(load, 2), round(faults, 3), bool(flags), age]
            for id, build, start, latency_ratio, load, faults, flags, age in self.instance_rows(now)
        ]
        keys = [[key, build.number] for key, build in decisions.kept_keys.items()]
        file = None
        try:
            kernel.remove(f"{path}.new")
            file = kernel.append_file(f"{path}.new")
            for line in snapshot.snapshot_lines(head, rows, keys):
                file.write(line)
                yield Sleep(0)
            file.close()
            kernel.rename(f"{path}.new", path)
            self.counts["kept"] += 1
        except OSError as error:
            self.counts["not kept"] += 1
            self.log.warning("snapshot not kept", why=str(error))
            self.discard_partial_file(file, f"{path}.new")

    def discard_partial_file(self, file, path: str) -> None:
        """Closes and removes what a failed write has left; a second failure is ignored."""
        for call in (file.close if file is not None else lambda: None, lambda: self.loop.kernel.remove(path)):
            try:
                call()
            except OSError:
                continue

    # --- status ---------------------------------------------------------------------------------------------

    def status(self) -> dict:
        """Returns the fields of the status page."""
        now, turns = self.loop.now(), self.gateway.endpoints.dial_limiter
        return {
            **self.phase_machine.status(now),
            "fresh": self.recent_starts.count(self.loop.kernel.wall_clock()),
            "counts": self.counts,
            "asked": self.warm_start.counts if self.warm_start else None,
            "snapshot": {"refused": self.snapshot_refusal, "taken": self.loaded_snapshot is not None},
            "turns": {**turns.counts, "period_us": turns.period} if turns else None,
        }
