"""The running gateway's part of coming back: its phase, its turns to dial, what it asks and tells, its
snapshot."""

from cobaltpond.loop import Sleep
from cobaltpond.members import wire
from cobaltpond.recovery import snapshot
from cobaltpond.recovery.phases import (
    ALL_HEARD,
    ANSWER,
    ASK,
    BLANK,
    HEARD,
    HEARING,
    IN_STEP,
    KEEP,
    SERVING,
    SETTLED,
    STOOD_STILL,
    TELL,
    VOTE_BACK,
    VOTE_ON,
    WARMED,
    WARMING,
    PhaseMachine,
    ServiceWindow,
)
from cobaltpond.recovery.rate_limiter import AnswerRateLimiter, DialRateLimiter, RecentStarts, StartJitter
from cobaltpond.recovery.warm_start import SILENT, WarmStart, notable_rows, start_mark

LOOK, SLOW_LOOK = 20_000, 100_000  # between looks; once settled
COLD_TIMES = 3  # so old a word or a snapshot is worth nothing
EAR = 100_000  # how long members are listened to before the first calls


class Recovery:
    """`gateway`: the running `gateway.main.GatewayProcess`; its sheet has a `recovery`. `chance`: as
    `RandomSource`."""

    def __init__(self, gateway, chance):
        self.gateway, self.loop, self.log, self.chance = gateway, gateway.loop, gateway.log, chance
        sheet, self.recovery_settings = gateway.settings, gateway.settings.recovery
        self.window, self.began = COLD_TIMES * sheet.rules.cold_time, self.loop.now()
        self.settings_digest, self.service_window = sheet.digest(), ServiceWindow()
        self.phase_machine = PhaseMachine(
            self.began,
            {
                BLANK: self.recovery_settings.hear,
                HEARING: self.recovery_settings.hear,
                WARMING: self.recovery_settings.warming,
                SERVING: self.recovery_settings.settle,
            },
            self.phase_changed,
        )
        self.recent_starts, self.answer_limiter = (
            RecentStarts(len(sheet.gateways)),
            AnswerRateLimiter(self.recovery_settings.asks),
        )
        self.start_jitter = (
            StartJitter(self.recovery_settings.calls, chance) if self.recovery_settings.calls else None
        )
        if self.recovery_settings.dials:
            gateway.endpoints.dial_limiter = DialRateLimiter(
                self.recovery_settings.dials, self.recent_starts.member_count, chance
            )
        self.warm_start, self.loaded_snapshot, self.snapshot_refusal, self.written, self.looked = (
            None,
            None,
            None,
            None,
            self.began,
        )
        self.counts = {"told": 0, "held votes": 0, "held samples": 0, "recalled": 0, "kept": 0, "not kept": 0}
        gateway.host.is_allowed = self.is_allowed
        if gateway.members is not None:
            gateway.members.view.on_warm_start_message = self.handle_message

    def phase_changed(self, before: str, cause: str) -> None:
        self.log.info(
            "phase",
            phase=self.phase_machine.phase,
            before=before,
            cause=cause,
            up_ms=(self.loop.now() - self.began) // 1000,
        )

    def is_allowed(self, what: str, verdict: str = "") -> bool:
        """Asked by the host before it carries out a vote or tells a sample."""
        if what == "vote":
            held = not self.phase_machine.is_allowed(VOTE_ON if verdict in ("on", "hold") else VOTE_BACK)
            self.counts["held votes"] += held
            return not held
        held = not self.phase_machine.is_allowed(TELL)
        self.counts["held samples"] += held
        return not held

    # --- the first calls ------------------------------------------------------------------------------------

    def jittered(self, generator):
        """The first call to the list, or to the desk, at a drawn moment; what follows goes its own way."""
        if self.start_jitter is not None:
            if self.gateway.members is not None:
                yield Sleep(EAR)
            yield Sleep(self.start_jitter.draw_delay(self.recent_starts.count(self.loop.kernel.wall_clock())))
        yield from generator

    # --- time -----------------------------------------------------------------------------------------------

    def run(self):
        """For ever; begun before the door opens."""
        self.read_snapshot()
        last = 0
        while True:
            yield Sleep(SLOW_LOOK if self.phase_machine.phase == SETTLED else LOOK)
            now = self.loop.now()
            self.observe(now)
            self.request_warm_start(now)
            if now - last >= SLOW_LOOK:
                last = now
                counts = self.gateway.frontend.counts
                delivered = counts.get("delivered", 0)
                self.service_window.record(
                    now, delivered + counts.get("bounced", 0) + counts.get("errored", 0), delivered
                )
                if (
                    self.phase_machine.phase == SERVING
                    and now - self.phase_machine.since >= self.window // COLD_TIMES
                    and (self.service_window.is_in_step())
                ):
                    self.phase_machine.apply_cause(now, IN_STEP)
            self.phase_machine.tick(now)
            yield from self.write_snapshot(now)

    def observe(self, now: int) -> None:
        """What has been heard of, and whether we stood still meanwhile."""
        gateway = self.gateway
        if gateway.members is not None:
            self.recent_starts.update(
                {n: start for n, start in gateway.members.view.living().items() if n != gateway.number}
            )
        if now - self.looked > self.window // COLD_TIMES:
            self.phase_machine.apply_cause(
                now, STOOD_STILL
            )  # all that we know is as old as that: as good as begun anew
        self.looked = now
        heard = gateway.list_follower.has_heard, gateway.desk_client.has_heard
        if all(heard):
            self.phase_machine.apply_cause(now, ALL_HEARD)
        elif any(heard):
            self.phase_machine.apply_cause(now, HEARD)
        if gateway.endpoints.dial_limiter is not None:
            gateway.endpoints.dial_limiter.retain(gateway.endpoints.by_id)

    # --- warm start -----------------------------------------------------------------------------------------

    def donors(self) -> list[int]:
        """Those that say of themselves that they are settled."""
        view = self.gateway.members.view
        return [
            n
            for n, member in view.members.items()
            if member.is_present and member.facts.get("flags", 0) & wire.SETTLED
        ]

    def request_warm_start(self, now: int) -> None:
        if not self.phase_machine.is_allowed(ASK):
            return
        if self.warm_start is None:
            self.warm_start = WarmStart(self.window, self.chance, now, self.recovery_settings.warming)
            self.take_snapshot()
        members = self.gateway.members
        if members is None or not self.recovery_settings.warm:
            self.phase_machine.apply_cause(now, WARMED)
            return
        for number in self.warm_start.due_requests(now, self.donors()):
            members.view.send(wire.WARM_ASK, number, 0)
        members.flush()
        if self.warm_start.is_over(now):
            self.phase_machine.apply_cause(now, WARMED)

    def handle_message(self, kind: int, sender: int, sequence: int, rows: list) -> None:
        """A question about instances, or an answer to ours."""
        now = self.loop.now()
        if kind == wire.WARM_ASK:
            if self.phase_machine.is_allowed(ANSWER) and self.answer_limiter.try_acquire(now, sender):
                told = notable_rows(
                    [(start_mark(id, build, start), *rest) for id, build, start, *rest in self.rows(now)]
                )
                for at in range(0, max(1, len(told)), wire.WARM_MOST):
                    self.gateway.members.view.send(
                        wire.WARM_REPLY,
                        sender,
                        sequence,
                        more=wire.warm_field(told[at : at + wire.WARM_MOST]),
                    )
                self.counts["told"] += 1
        elif self.warm_start is not None:
            self.warm_start.apply_answer(sender, rows)
            held = self.gateway.list_follower.instance_list
            marks = {start_mark(id, row["build"], row["start"]): id for id, row in held.rows.items()}
            self.restore(self.warm_start.accepted_rows(marks), [])

    def rows(self, now: int) -> list[tuple]:
        """(id, build, the list's mark of its start, pace, load, faults, flags, age) of what we know of
        ourselves."""
        fleet, held = self.gateway.host.decisions.fleet, self.gateway.list_follower.instance_list.rows
        out = []
        for instance in fleet.up:
            row = held.get(instance.id)
            silent = now < instance.ejected_until
            if row is None or not instance.heard_at and not silent:
                continue
            age = now - instance.heard_at if instance.heard_at and not silent else 0
            out.append(
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
        return out

    def restore(self, rows: list, keys: list) -> None:
        if rows or keys:
            self.counts["recalled"] += len(rows)
            self.gateway.host.post_event("on_recalled", rows, keys)

    # --- the snapshot ---------------------------------------------------------------------------------------

    def read_snapshot(self) -> None:
        path, kernel = self.gateway.gateway_settings.snapshot, self.loop.kernel
        if path is None:
            return
        try:
            size = kernel.file_size(path)
            if size is not None and size > snapshot.MOST_BYTES:
                raise snapshot.SnapshotError(f"{size} bytes are more than one has")
            self.loaded_snapshot = snapshot.parse_snapshot(
                kernel.read_file(path),
                number=self.gateway.number,
                settings=self.settings_digest,
                wall=kernel.wall_clock(),
                worth=self.window,
            )
            self.gateway.desk_client.last_seen_state = (
                self.loaded_snapshot["head"].get("seen") or self.gateway.desk_client.last_seen_state
            )
        except (snapshot.SnapshotError, OSError) as why:
            self.refuse_snapshot(why)

    def refuse_snapshot(self, why) -> None:
        self.snapshot_refusal, self.loaded_snapshot = str(why), None
        self.log.info("snapshot refused", why=str(why))

    def take_snapshot(self) -> None:
        """Once the list has been heard."""
        told, held = self.loaded_snapshot, self.gateway.list_follower.instance_list
        if told is None:
            return
        try:
            snapshot.check_list_epoch(told["head"], held.epoch)
        except snapshot.SnapshotError as why:
            self.refuse_snapshot(why)
            return
        rows = snapshot.accepted_rows(
            told, {id: (row["build"], row["start"]) for id, row in held.rows.items()}
        )
        self.log.info(
            "snapshot taken", rows=len(rows), keys=len(told["keys"]), weight=round(told["weight"], 3)
        )
        self.restore(rows, told["keys"])

    def write_snapshot(self, now: int):
        """Writes it now and then, line by line with a turn of the loop between: no sync, the end of the file
        tells whether it is whole. A disk that is full or fails costs the snapshot, nothing else."""
        path, kernel = self.gateway.gateway_settings.snapshot, self.loop.kernel
        due = self.written is None or now - self.written >= self.recovery_settings.snapshot_every
        if path is None or not due or not self.phase_machine.is_allowed(KEEP):
            return
        self.written = now
        held, decisions = self.gateway.list_follower.instance_list, self.gateway.host.decisions
        head = {
            "number": self.gateway.number,
            "settings": self.settings_digest,
            "wall": kernel.wall_clock(),
            "epoch": held.epoch,
            "seen": self.gateway.desk_client.last_seen_state,
        }
        rows = [
            [id, build, start, round(pace, 3), round(load, 2), round(faults, 3), bool(flags), age]
            for id, build, start, pace, load, faults, flags, age in self.rows(now)
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
        except OSError as trouble:
            self.counts["not kept"] += 1
            self.log.warning("snapshot not kept", why=str(trouble))
            self.let_go(file, f"{path}.new")

    def let_go(self, file, path: str) -> None:
        """What is left of a write that failed; a second failure changes nothing."""
        for call in (file.close if file is not None else lambda: None, lambda: self.loop.kernel.remove(path)):
            try:
                call()
            except OSError:
                continue

    # --- what is shown --------------------------------------------------------------------------------------

    def status(self) -> dict:
        now, turns = self.loop.now(), self.gateway.endpoints.dial_limiter
        return {
            **self.phase_machine.status(now),
            "fresh": self.recent_starts.count(self.loop.kernel.wall_clock()),
            "counts": self.counts,
            "asked": self.warm_start.counts if self.warm_start else None,
            "snapshot": {"refused": self.snapshot_refusal, "taken": self.loaded_snapshot is not None},
            "turns": {**turns.counts, "period_us": turns.period} if turns else None,
        }
