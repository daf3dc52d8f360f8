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
    Life,
    Step,
)
from cobaltpond.recovery.rate_limiter import Answers, Fresh, Spread, Turns
from cobaltpond.recovery.warm_start import SILENT, WarmStart, mark_of, remarkable

LOOK, SLOW_LOOK = 20_000, 100_000  # between looks; once settled
COLD_TIMES = 3  # so old a word or a snapshot is worth nothing
EAR = 100_000  # how long members are listened to before the first calls


class Recovery:
    """`gateway`: the running `gateway.main.GatewayProcess`; its sheet has a `recovery`. `chance`: as
    `Chance`."""

    def __init__(self, gateway, chance):
        self.gateway, self.loop, self.log, self.chance = gateway, gateway.loop, gateway.log, chance
        sheet, self.sheet = gateway.sheet, gateway.sheet.recovery
        self.window, self.began = COLD_TIMES * sheet.rules.cold_time, self.loop.now()
        self.settings, self.step = sheet.digest(), Step()
        self.life = Life(
            self.began,
            {
                BLANK: self.sheet.hear,
                HEARING: self.sheet.hear,
                WARMING: self.sheet.warming,
                SERVING: self.sheet.settle,
            },
            self.moved,
        )
        self.fresh, self.answers = Fresh(len(sheet.gateways)), Answers(self.sheet.asks)
        self.spread = Spread(self.sheet.calls, chance) if self.sheet.calls else None
        if self.sheet.dials:
            gateway.places.turns = Turns(self.sheet.dials, self.fresh.there, chance)
        self.warm, self.snapshot, self.refused, self.written, self.looked = None, None, None, None, self.began
        self.counts = {"told": 0, "held votes": 0, "held samples": 0, "recalled": 0, "kept": 0, "not kept": 0}
        gateway.host.may = self.may
        if gateway.members is not None:
            gateway.members.view.warm = self.spoken

    def moved(self, before: str, cause: str) -> None:
        self.log.info(
            "phase",
            phase=self.life.phase,
            before=before,
            cause=cause,
            up_ms=(self.loop.now() - self.began) // 1000,
        )

    def may(self, what: str, verdict: str = "") -> bool:
        """Asked by the host before it carries out a vote or tells a sample."""
        if what == "vote":
            held = not self.life.may(VOTE_ON if verdict in ("on", "hold") else VOTE_BACK)
            self.counts["held votes"] += held
            return not held
        held = not self.life.may(TELL)
        self.counts["held samples"] += held
        return not held

    # --- the first calls ------------------------------------------------------------------------------------

    def spaced(self, generator):
        """The first call to the list, or to the desk, at a drawn moment; what follows goes its own way."""
        if self.spread is not None:
            if self.gateway.members is not None:
                yield Sleep(EAR)
            yield Sleep(self.spread.wait(self.fresh.count(self.loop.kernel.wall())))
        yield from generator

    # --- time -----------------------------------------------------------------------------------------------

    def run(self):
        """For ever; begun before the door opens."""
        self.read_snapshot()
        last = 0
        while True:
            yield Sleep(SLOW_LOOK if self.life.phase == SETTLED else LOOK)
            now = self.loop.now()
            self.hear(now)
            self.ask(now)
            if now - last >= SLOW_LOOK:
                last = now
                counts = self.gateway.door.counts
                delivered = counts.get("delivered", 0)
                self.step.enter(
                    now, delivered + counts.get("bounced", 0) + counts.get("errored", 0), delivered
                )
                if (
                    self.life.phase == SERVING
                    and now - self.life.since >= self.window // COLD_TIMES
                    and (self.step.fine())
                ):
                    self.life.on(now, IN_STEP)
            self.life.tick(now)
            yield from self.keep(now)

    def hear(self, now: int) -> None:
        """What has been heard of, and whether we stood still meanwhile."""
        gateway = self.gateway
        if gateway.members is not None:
            self.fresh.heard(
                {n: start for n, start in gateway.members.view.living().items() if n != gateway.number}
            )
        if now - self.looked > self.window // COLD_TIMES:
            self.life.on(now, STOOD_STILL)  # all that we know is as old as that: as good as begun anew
        self.looked = now
        heard = gateway.follower.heard, gateway.news.heard
        if all(heard):
            self.life.on(now, ALL_HEARD)
        elif any(heard):
            self.life.on(now, HEARD)
        if gateway.places.turns is not None:
            gateway.places.turns.keep(gateway.places.by_id)

    # --- warm start -----------------------------------------------------------------------------------------

    def donors(self) -> list[int]:
        """Those that say of themselves that they are settled."""
        view = self.gateway.members.view
        return [
            n
            for n, member in view.members.items()
            if member.there and member.facts.get("flags", 0) & wire.SETTLED
        ]

    def ask(self, now: int) -> None:
        if not self.life.may(ASK):
            return
        if self.warm is None:
            self.warm = WarmStart(self.window, self.chance, now, self.sheet.warming)
            self.take_snapshot()
        members = self.gateway.members
        if members is None or not self.sheet.warm:
            self.life.on(now, WARMED)
            return
        for number in self.warm.due(now, self.donors()):
            members.view.send(wire.WARM_ASK, number, 0)
        members.flush()
        if self.warm.over(now):
            self.life.on(now, WARMED)

    def spoken(self, kind: int, sender: int, sequence: int, rows: list) -> None:
        """A question about instances, or an answer to ours."""
        now = self.loop.now()
        if kind == wire.WARM_ASK:
            if self.life.may(ANSWER) and self.answers.allows(now, sender):
                told = remarkable(
                    [(mark_of(id, build, start), *rest) for id, build, start, *rest in self.rows(now)]
                )
                for at in range(0, max(1, len(told)), wire.WARM_MOST):
                    self.gateway.members.view.send(
                        wire.WARM_TOLD, sender, sequence, more=wire.warm_field(told[at : at + wire.WARM_MOST])
                    )
                self.counts["told"] += 1
        elif self.warm is not None:
            self.warm.answered(sender, rows)
            held = self.gateway.follower.held
            marks = {mark_of(id, row["build"], row["start"]): id for id, row in held.rows.items()}
            self.recall(self.warm.believed(marks), [])

    def rows(self, now: int) -> list[tuple]:
        """(id, build, the list's mark of its start, pace, load, faults, flags, age) of what we know of
        ourselves."""
        fleet, held = self.gateway.host.decisions.fleet, self.gateway.follower.held.rows
        out = []
        for instance in fleet.up:
            row = held.get(instance.id)
            silent = now < instance.benched_until
            if row is None or not instance.heard_at and not silent:
                continue
            age = now - instance.heard_at if instance.heard_at and not silent else 0
            out.append(
                (
                    instance.id,
                    instance.build.number,
                    row["start"],
                    instance.pace,
                    instance.others,
                    instance.faults,
                    SILENT if silent else 0,
                    age,
                )
            )
        return out

    def recall(self, rows: list, keys: list) -> None:
        if rows or keys:
            self.counts["recalled"] += len(rows)
            self.gateway.host.post("on_recalled", rows, keys)

    # --- the snapshot ---------------------------------------------------------------------------------------

    def read_snapshot(self) -> None:
        path, kernel = self.gateway.place.snapshot, self.loop.kernel
        if path is None:
            return
        try:
            size = kernel.size(path)
            if size is not None and size > snapshot.MOST_BYTES:
                raise snapshot.Unfit(f"{size} bytes are more than one has")
            self.snapshot = snapshot.read(
                kernel.read_file(path),
                number=self.gateway.number,
                settings=self.settings,
                wall=kernel.wall(),
                worth=self.window,
            )
            self.gateway.news.seen = self.snapshot["head"].get("seen") or self.gateway.news.seen
        except (snapshot.Unfit, OSError) as why:
            self.refuse(why)

    def refuse(self, why) -> None:
        self.refused, self.snapshot = str(why), None
        self.log.info("snapshot refused", why=str(why))

    def take_snapshot(self) -> None:
        """Once the list has been heard."""
        told, held = self.snapshot, self.gateway.follower.held
        if told is None:
            return
        try:
            snapshot.fits_list(told["head"], held.epoch)
        except snapshot.Unfit as why:
            self.refuse(why)
            return
        rows = snapshot.believed(told, {id: (row["build"], row["start"]) for id, row in held.rows.items()})
        self.log.info(
            "snapshot taken", rows=len(rows), keys=len(told["keys"]), weight=round(told["weight"], 3)
        )
        self.recall(rows, told["keys"])

    def keep(self, now: int):
        """Writes it now and then, line by line with a turn of the loop between: no sync, the end of the file
        tells whether it is whole. A disk that is full or fails costs the snapshot, nothing else."""
        path, kernel = self.gateway.place.snapshot, self.loop.kernel
        due = self.written is None or now - self.written >= self.sheet.snapshot_every
        if path is None or not due or not self.life.may(KEEP):
            return
        self.written = now
        held, decisions = self.gateway.follower.held, self.gateway.host.decisions
        head = {
            "number": self.gateway.number,
            "settings": self.settings,
            "wall": kernel.wall(),
            "epoch": held.epoch,
            "seen": self.gateway.news.seen,
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
            for line in snapshot.lines(head, rows, keys):
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
        now, turns = self.loop.now(), self.gateway.places.turns
        return {
            **self.life.status(now),
            "fresh": self.fresh.count(self.loop.kernel.wall()),
            "counts": self.counts,
            "asked": self.warm.counts if self.warm else None,
            "snapshot": {"refused": self.refused, "taken": self.snapshot is not None},
            "turns": {**turns.counts, "period_us": turns.period} if turns else None,
        }
