"""The list of instances as the platform's discovery tells it: all of it once, then watches one after
another."""

from cobaltpond.edge.source_switch import SourceSwitch
from cobaltpond.loop import Deadline, DeadlineExceededError, Queue, Sleep
from cobaltpond.rpc import CALL_ERRORS, Backoff, call
from cobaltpond.wire.address import split_address
from cobaltpond.wire.json_lines import JsonLineError, parse_object

STATES = {"up": "up", "draining": "draining", "removed": "gone"}
WATCH = 2_000_000  # how long a watch may wait for something new
ANSWER = 1_000_000  # how late an answer that need not wait may come
PAUSE = 50_000  # after an answer that came early and told nothing
ASK_AGAIN, LONGEST_PAUSE = 100_000, 100_000  # less than the grace that rules give what was told
HOSTS = "/discovery/hosts"
OLDER = 6_000_000  # a source that tells only of older versions for so long has lost
# them: whatever it was late with counts as told by then


class DiscoveredInstances:
    """What discovery said, as rows for the decisions. Free of I/O."""

    def __init__(self):
        self.seq, self.starts = 0, {}

    def apply(self, now: int, wall: int, told: dict) -> tuple[bool, list]:
        """(whole, [(row, address)]). `now` and `wall` are one moment on our clock and in Unix time,
        microseconds. Raises JsonLineError, and then nothing of it is kept."""
        try:
            whole, seq = told["whole"], int(told["seq"])
            rows, starts = [], {}
            for entry in told["hosts"]:
                id, born = str(entry["host"]), int(entry.get("born_ms") or 0)
                # once for each start: a clock that is set must not make a restart of what did not restart
                started = self.starts.get((id, born), now - (wall - born * 1000)) if born else None
                if born:
                    starts[id, born] = started
                rows.append(
                    (
                        {
                            "id": id,
                            "build": int(entry.get("revision_no") or 0),
                            "cell": entry.get("block"),
                            "zone": entry.get("site"),
                            "state": STATES[entry["health"]],
                            "weight": entry.get("share") or 1,
                            "started": started,
                        },
                        split_address(entry["dial"]) if entry["health"] != "removed" else ("", 0),
                    )
                )
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as trouble:
            raise JsonLineError(f"no list: {trouble!r}") from trouble
        if seq < self.seq:
            return False, []  # another source has told more: nothing goes back to before that
        self.seq = seq
        if whole:
            self.starts = starts
        else:
            ids = {row["id"] for row, _ in rows}
            self.starts = {mark: at for mark, at in self.starts.items() if mark[0] not in ids} | starts
        return bool(whole), rows


class Discovery:
    def __init__(self, loop, host, address, log, asking: bool):
        """`asking`: the decisions wait for answers, and so hear of those that bring nothing new."""
        self.loop, self.host, self.address, self.log, self.asking = loop, host, address, log, asking
        self.instances, self.has_heard, self.following = (
            DiscoveredInstances(),
            False,
            SourceSwitch(loop, "discovery"),
        )
        self.counts = {"applied": 0, "errors": 0}

    def apply_answer(self, told) -> int:
        """The version that was told. Raises JsonLineError."""
        whole, rows = self.instances.apply(self.loop.now(), self.loop.kernel.wall_clock(), told)
        if rows or whole:
            self.counts["applied"] += 1
            self.host.endpoints.update(whole, rows)
            self.log.info(
                "list",
                seq=self.instances.seq,
                whole=whole,
                rows=[f"{r['id']} {r['state']} build {r['build']}" for r, _ in rows][:20],
            )
        if rows or whole or self.asking:
            self.host.post_event_first("on_list", whole, [row for row, _ in rows])
        return int(told["seq"])

    def restore(self, known: dict | None) -> None:
        """The list as this gateway last held it; it may be old, and nothing is built upon its version."""
        if known:
            try:
                self.apply_answer({**known, "whole": True})
            except JsonLineError as trouble:
                self.log.warning("known list unreadable", why=str(trouble))
            self.instances.seq = 0

    def start(self, address) -> None:
        """Follows at this address from now on; the task that followed before ends once this one has heard."""
        self.address = address
        self.following.start(self.follow(address))

    def follow(self, address):
        """For ever. An agent that says nothing, nonsense or only what is old is asked for the whole list
        again. Each source is asked by the version that it told itself (None: for the whole list): what it
        tells then fits on all that is newer than that, whoever told it."""
        backoff, version, doubted = Backoff(20_000, LONGEST_PAUSE, self.loop.kernel.random_seed()), None, None
        while True:
            asked, target = self.loop.now(), f"{HOSTS}?after={version}&wait_ms={WATCH // 1000}"
            try:
                if version is None:
                    status, body = yield from self.whole_list(address)
                else:
                    with Deadline(self.loop, WATCH + ANSWER):
                        status, body = yield from call(self.loop, address, "GET", target, b"", ANSWER)
                if status != 200:
                    raise JsonLineError(f"status {status}")
                before, version = version, self.apply_answer(parse_object(body))
                self.has_heard = True
                self.following.source_answered()
                doubted = (
                    (self.loop.now() if doubted is None else doubted)
                    if version < self.instances.seq
                    else None
                )
                if doubted is not None and self.loop.now() - doubted > OLDER:
                    # guards against a discovery that has lost its versions: what it says is all there is now
                    self.instances.seq, doubted, version = 0, None, None
                elif before is not None and version <= before and self.loop.now() - asked < WATCH // 2:
                    # nothing new, though it need not have answered yet: the whole list, after a pause shorter
                    # than what may lie between two calls. Guards against old versions for ever, and a loop
                    # without pauses
                    version = None
                    yield Sleep(PAUSE)
                if before is not None:  # a whole list alone is no sign that watches come whole again
                    backoff.reset()
            except (*CALL_ERRORS, DeadlineExceededError) as trouble:
                self.counts["errors"] += 1
                self.log.warning("discovery", why=f"{type(trouble).__name__}: {trouble}"[:200])
                version = None
                if self.asking:
                    self.host.post_event_first("on_list_error")
                yield Sleep(backoff.next_delay())

    def whole_list(self, address):
        """(status, body) of whichever call answers first; asked again every `ASK_AGAIN`, as the agent is on
        this machine and answers at once. Guards against one that was silent: it does not answer what it was
        asked meanwhile, and what it has at its return counts as told at once."""
        answers, calls = Queue(2 * ANSWER // ASK_AGAIN), []

        def one():
            try:
                with Deadline(self.loop, ANSWER):
                    told = yield from call(self.loop, address, "GET", HOSTS, b"", ANSWER)
                answers.put_now((told, None))
            except (*CALL_ERRORS, DeadlineExceededError) as trouble:
                answers.put_now((None, trouble))

        try:
            while True:
                calls.append(self.loop.spawn(one(), "discovery-ask"))
                again = Deadline(self.loop, ASK_AGAIN)
                try:
                    with again:
                        told, trouble = yield from answers.get()
                except DeadlineExceededError:
                    if not again.passed:
                        raise
                    continue
                if trouble is not None:
                    raise trouble
                return told
        finally:
            for task in calls:
                task.cancel()

    def request_list(self, whole: bool):
        """The decisions may ask where the settings say so; a watch stands here at all times."""
        return
        yield
