"""Clients of a fleet: hits at a bounded rate, one after the other, over all doors that are open to them."""

import http.client
import itertools
import time
from collections import Counter
from dataclasses import dataclass, field
from threading import Event, Thread

from mixed.settings import FleetPlan
from mixed.web import Answer, ask

RATE = 40  # hits a second
TRIES = 4
RETRY_AFTER = 0.1  # seconds, after an answer that promises that it does no harm
WORK = 10_000  # microseconds that a hit costs an instance
PAY_EVERY = 4  # of so many hits one is a payment
KEYS = 12
FAILURES_KEPT = 5


@dataclass(frozen=True)
class Hit:
    """What a client sends. `key` and `customer` are what limits count by."""

    number: int
    key: str
    customer: str

    @property
    def pays(self) -> bool:
        """The hit is a payment."""
        return self.number % PAY_EVERY == 0

    def send(self, port: int) -> Answer:
        """Raises what `ask` raises."""
        headers = {
            "cobaltpond-key": self.key,
            "cobaltpond-customer": self.customer,
            "standin-group": "pay" if self.pays else "look",
            "standin-kind": "mutating" if self.pays else "repeatable",
            "standin-work": str(WORK),
        }
        if self.pays:
            return ask(port, "POST", "/pay", b"{}", headers)
        return ask(port, "GET", "/look", b"", headers)


@dataclass
class Tally:
    """What became of the hits. `by_door` and `by_build` count the delivered ones."""

    delivered: int = 0
    bounced: int = 0
    by_door: Counter = field(default_factory=Counter)
    by_build: Counter = field(default_factory=Counter)
    failures: list[str] = field(default_factory=list)


class Traffic:
    """Runs inside `with`. `doors`: numbers of the gateways that get hits now; may be replaced at any time."""

    def __init__(self, plan: FleetPlan, doors: list[int], key_prefix: str = "key"):
        self.plan, self.doors, self.key_prefix = plan, list(doors), key_prefix
        self.tally, self.ended, self.turns = Tally(), Event(), itertools.count()
        self.thread = Thread(target=self.run, name="traffic", daemon=True)

    def __enter__(self) -> "Traffic":
        """Starts to send hits."""
        self.thread.start()
        return self

    def __exit__(self, *_) -> None:
        """Sends no more hits, and waits for the last one."""
        self.ended.set()
        self.thread.join()

    def run(self) -> None:
        """Sends hits at the rate until the end; one that is due late is sent at once."""
        began = time.monotonic()
        for number in itertools.count():
            due = began + number / RATE
            if self.ended.wait(max(0.0, due - time.monotonic())):
                return
            self.hit(
                Hit(number, f"{self.key_prefix}-{number % KEYS}", ("emajoe-hall", "vaksali-fest")[number % 2])
            )

    def hit(self, hit: Hit) -> None:
        """Tried again only after a bounce, which promises that the hit was not begun."""
        why = ""
        for _ in range(TRIES):
            doors = self.doors
            door = doors[next(self.turns) % len(doors)]
            try:
                answer = hit.send(self.plan.door(door))
            except (OSError, http.client.HTTPException) as error:
                why = f"gateway {door}: {type(error).__name__}: {error}"
                break
            if answer.status == 200 and "cobaltpond-via" in answer.headers:
                self.delivered(door, answer)
                return
            why = f"gateway {door}: status {answer.status}: {answer.body[:120]!r}"
            if answer.headers.get("cobaltpond-retry") != "harmless":
                break
            self.tally.bounced += 1
            time.sleep(RETRY_AFTER)
        if len(self.tally.failures) < FAILURES_KEPT:
            self.tally.failures.append(f"hit {hit.number}: {why}")

    def delivered(self, door: int, answer: Answer) -> None:
        """Counts a delivered hit."""
        self.tally.delivered += 1
        self.tally.by_door[door] += 1
        self.tally.by_build[int(answer.headers.get("standin-build", 0))] += 1
