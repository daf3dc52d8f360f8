"""A desk that comes back: is its journal what it told last, or older? Free of I/O.

Whoever acts by the desk's word keeps the newest mark (epoch, turn) that it acted by, and says so when it
reaches the desk again. The desk's journal holds the mark that it last told. A word with a later mark of that
line, or of a line that the journal knows nothing of, says that the state was lost, cut or put back from a
copy. Until enough have spoken the desk tells no news, takes no vote and gives no order. Then it goes on where
the journal stands; or, where that is older, from the safest state that fits all words; or, where words
contradict, waits for the operator.
"""

from dataclasses import dataclass, field

COLLECTING, CARRIED_ON, RESUMED, WAITING = "collecting", "carried on", "resumed", "waiting"
TRIAL, GOING_BACK, RELEASED, WITHDRAWN = "trial", "going back", "released", "withdrawn"
PHASES = (TRIAL, GOING_BACK, RELEASED, WITHDRAWN)
SHUT = (GOING_BACK, WITHDRAWN)
GONE_MOST = 16  # builds that a word may name as gone back
NOTHING = (0, 0)


@dataclass(frozen=True)
class SeenState:
    """The newest state that somebody acted by. `gone`: builds that it saw on their way back."""

    mark: tuple[int, int]
    build: int = 0
    stage: int = 0
    phase: str = RELEASED
    cap: float = 1.0
    stable: int | None = None
    gone: tuple[int, ...] = ()

    @property
    def state(self) -> tuple:
        return self.build, self.stage, self.phase


def parse_seen_state(told) -> SeenState | None:
    """What a gateway or an agent says it has seen; None where it says nothing. Raises ValueError."""
    if told is None:
        return None
    try:
        epoch, turn = told["mark"]
        stable, gone = told.get("stable"), [int(build) for build in told.get("gone", ())][:GONE_MOST]
        if told["phase"] not in PHASES:
            raise ValueError(f"phase {told['phase']!r}")
        return SeenState(
            (int(epoch), int(turn)),
            int(told["build"]),
            int(told["stage"]),
            told["phase"],
            min(1.0, max(0.0, float(told["cap"]))),
            None if stable is None else int(stable),
            tuple(gone),
        )
    except (KeyError, TypeError, AttributeError) as trouble:
        raise ValueError(f"no word of what was seen: {trouble!r}") from None


@dataclass(frozen=True)
class ResumePlan:
    """The state to go on from. `condemned`: builds never to be started anew."""

    build: int
    stage: int
    phase: str
    stable: int | None
    condemned: tuple[int, ...] = ()
    cap: float = 1.0


@dataclass
class DeskStateRecovery:
    """`journal_mark`: the mark that the journal told last, None without a journal's record. `expected`: who
    is asked after, any hashable names. `caps`: of the stages. `bound`: collecting ends after so long, whoever
    is missing."""

    journal_mark: tuple[int, int] | None
    expected: tuple
    caps: tuple[float, ...]
    now: int
    bound: int
    state: str = COLLECTING
    states: dict = field(default_factory=dict)
    plan: ResumePlan | None = None
    why: str = ""
    until: int = 0

    def __post_init__(self):
        self.until = self.now + self.bound

    # --- collecting -----------------------------------------------------------------------------------------

    def add_state(self, who, word: SeenState | None) -> None:
        """The newest word of each; who has seen nothing has spoken too."""
        known = self.states.get(who)
        if known is None or word is not None and word.mark >= known.mark:
            self.states[who] = word

    def missing(self) -> list:
        return [who for who in self.expected if who not in self.states]

    def is_due(self, now: int) -> bool:
        return self.state == COLLECTING and (now >= self.until or not self.missing())

    def newer_states(self) -> dict:
        """Words that the journal cannot have told."""
        last = self.journal_mark or NOTHING
        return {who: word for who, word in self.states.items() if word is not None and word.mark > last}

    def highest_epoch(self) -> int:
        """No epoch that anybody has seen, or before, may be used again."""
        return max([word.mark[0] for word in self.states.values() if word is not None], default=0)

    # --- concluding -----------------------------------------------------------------------------------------

    def conclude(self, running: tuple[int, ...] = ()) -> str:
        """Ends the collecting. `running`: builds that hosts say they run, for a desk that knows nothing and
        hears of no mark: a single one is taken for released, as it stands."""
        newer = self.newer_states()
        if newer:
            return self.judge(newer)
        builds = sorted(set(running))
        if self.journal_mark is None and len(builds) == 1:
            return self.resolve(
                RESUMED, ResumePlan(builds[0], 0, RELEASED, None), "nobody knows of a release; one build runs"
            )
        if self.journal_mark is None and builds:
            return self.resolve(
                WAITING,
                ResumePlan(builds[-1], 0, TRIAL, builds[0], (), self.caps[0]),
                f"nobody knows of a release, and builds {builds} run",
            )
        return self.resolve(CARRIED_ON, None, "nobody has seen more than the journal holds")

    def judge(self, newer: dict) -> str:
        top = max(word.mark for word in newer.values())
        at_top = {who: word for who, word in newer.items() if word.mark == top}
        gone = sorted(
            {
                build
                for word in self.states.values()
                if word is not None
                for build in (*word.gone, *([word.build] if word.phase in SHUT else []))
            }
        )
        states = sorted({word.state for word in at_top.values()})
        if len(states) > 1:
            return self.resolve(
                WAITING, self.doubted(newer), f"at one mark {list(top)} {self.describe(at_top)}"
            )
        first = next(iter(at_top.values()))
        later = {
            who: word for who, word in newer.items() if word.build > first.build and word.build not in gone
        }
        if later:
            return self.resolve(
                WAITING,
                self.doubted(newer),
                f"the newest mark is of build {first.build}, but {self.describe(later)}",
            )
        stables = sorted({word.stable for word in at_top.values() if word.stable is not None})
        if len(stables) > 1:
            return self.resolve(
                WAITING, self.doubted(newer), f"builds {stables} are called the one to return to"
            )
        return self.resolve(
            RESUMED,
            self.safest(first, stables[0] if stables else None, gone, newer),
            f"{len(newer)} have seen more than the journal holds, up to {list(top)}",
        )

    def safest(self, first: SeenState, stable: int | None, gone: list, newer: dict) -> ResumePlan:
        """No cap above the lowest one heard of that build, no stage above what that cap allows; a build that
        anybody saw go back goes back."""
        lowest = min([word.cap for word in newer.values() if word.build == first.build], default=first.cap)
        phase, stage = first.phase, min(first.stage, len(self.caps) - 1)
        if first.build in gone and phase not in SHUT:
            phase = GOING_BACK
        if phase == TRIAL:
            fits = [n for n in range(stage + 1) if self.caps[n] <= lowest + 1e-6]
            stage = fits[-1] if fits else 0
            phase = TRIAL if fits else GOING_BACK
        return ResumePlan(first.build, stage, phase, stable, tuple(gone), lowest if phase == TRIAL else 1.0)

    def doubted(self, newer: dict) -> ResumePlan:
        """What is told while the operator is waited for: the newest build on trial, at the lowest cap heard
        of any."""
        build = max(word.build for word in newer.values())
        shut = any(word.phase in SHUT or build in word.gone for word in newer.values())
        stables = [word.stable for word in newer.values() if word.stable is not None and word.stable < build]
        return ResumePlan(
            build,
            0,
            TRIAL,
            min(stables, default=None),
            (),
            0.0 if shut else min(word.cap for word in newer.values()),
        )

    def resolve(self, state: str, plan: ResumePlan | None, why: str) -> str:
        self.state, self.plan, self.why = state, plan, why
        return state

    def describe(self, words: dict) -> str:
        rows = [
            f"{who}: build {w.build} stage {w.stage} {w.phase}" for who, w in sorted(words.items(), key=str)
        ]
        return "; ".join(rows[:8]) + (f"; and {len(rows) - 8} more" if len(rows) > 8 else "")

    # --- afterwards -----------------------------------------------------------------------------------------

    def late_state(self, who, word: SeenState | None, build: int, epoch: int) -> str:
        """A word that comes after the end of the collecting, from somebody who was cut off. "": nothing new
        in it, or this very desk's own (`epoch`: since it has come back); "back": it saw the build that is out
        now go back; "waiting": it saw what nobody told of."""
        if (
            word is None
            or self.state == COLLECTING
            or word.mark <= (self.journal_mark or NOTHING)
            or word.mark[0] >= epoch
        ):
            return ""
        before = max([w.mark for w in self.states.values() if w is not None], default=NOTHING)
        self.add_state(who, word)
        if build in word.gone or word.build == build and word.phase in SHUT:
            return "back"
        if word.mark <= before or word.build < build:
            return ""
        if self.plan is not None and word.state == (self.plan.build, self.plan.stage, self.plan.phase):
            return ""
        self.resolve(
            WAITING,
            self.doubted({who: word}),
            f"late, with mark {list(word.mark)}, {self.describe({who: word})}",
        )
        return WAITING
