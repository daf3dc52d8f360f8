"""Clients: hits arrive in open loop, tries are repeated as the contract allows, all that is seen is recorded.

What a client may repeat: a repeatable hit after anything; a tagged one whose repeats all instances drop,
while a try can end within the window from its first; else only after a bounce, or where no byte got through.
"""

import json
import math
from collections import deque

from cobaltpond.loop import (
    ConnectionLostError,
    Deadline,
    DeadlineExceededError,
    HandlesExhaustedError,
    RefusedError,
    Sleep,
    UnreachableError,
    dial,
    run_component,
)
from cobaltpond.loop.random_source import seeded_random
from cobaltpond.rpc import CALL_ERRORS, call
from cobaltpond.standins.record import RecordWriter
from cobaltpond.wire import http1

LIMITS = http1.MessageLimits(body=64 << 20)
LEAST_LEFT = 200_000  # a try with less time than this is not begun


class ClientLoad:
    """`plan`: seed, number (of this process), rate, length, gateways, groups, customers, keys, clients,
    troubles, begin (when the day began, on the common clock)."""

    def __init__(self, loop, plan, path):
        self.loop, self.plan, self.record = loop, plan, RecordWriter(loop, path)
        self.chance = seeded_random(plan["seed"] * 1000 + plan["number"])
        self.idle, self.serial, self.open, self.stop_asked = {}, 0, 0, False
        self.weights = [g["weight"] for g in plan["gateways"]]
        keys = plan.get("keys") or 0
        self.key_weights = [1 / (n + 1) ** 0.8 for n in range(keys)] if keys else None
        self.late = 0

    def now_in_day(self):
        return self.loop.now() - self.plan["begin"]

    def factor(self, at, customer=None):
        """What bursts make of the rate at this moment of the day."""
        rate = 1.0
        for t in self.plan["troubles"]:
            if not t["at"] <= at < t["at"] + t["len"]:
                continue
            if t["kind"] == "burst" and customer is None:
                rate *= t["size"]
            elif t["kind"] == "tenant_burst" and customer == t["which"]:
                rate *= t["size"]
        return rate

    def active(self, kind):
        at = self.now_in_day()
        return [t for t in self.plan["troubles"] if t["kind"] == kind and t["at"] <= at < t["at"] + t["len"]]

    def run(self):
        plan, chance = self.plan, self.chance
        customers = plan["customers"] or [{"name": None, "traffic": 1.0}]
        at, most = 0, 1 + sum(t["size"] for t in plan["troubles"] if t["kind"] in ("burst", "tenant_burst"))
        while at < plan["length"] and not self.stop_asked:
            at += max(1, int(chance.expovariate(plan["rate"] * most) * 1e6))
            draw, customer = (
                chance.random() * most,
                chance.choices(range(len(customers)), [c["traffic"] for c in customers])[0],
            )
            if draw >= self.factor(at) * self.factor(at, customer):
                continue
            wait = plan["begin"] + at - self.loop.kernel.now()
            if wait > 0:
                yield Sleep(wait)
            self.late = max(self.late, self.loop.kernel.now() - plan["begin"] - at)
            self.open += 1
            self.loop.spawn(self.run_hit(customers[customer]["name"], at), "hit")
        end = self.loop.now() + 15_000_000
        while self.open and self.loop.now() < end:
            yield Sleep(20_000)
        self.record("end", open=self.open, late=self.late)

    def run_hit(self, customer, at):
        try:
            yield from self.tries(customer, at)
        finally:
            self.open -= 1

    def work(self, group):
        """Lognormal or exponential, by its mean and spread; heavy tails by trouble."""
        if group.get("dist") == "exp":
            work = self.chance.expovariate(1.0) * group["work"]
        else:
            spread = math.sqrt(math.log(1 + group["cv"] ** 2))
            work = self.chance.lognormvariate(math.log(group["work"]) - spread**2 / 2, spread)
        for t in self.active("heavy_tail"):
            if self.chance.random() < t["extra"]:
                work *= t["size"]
        return work

    def tries(self, customer, at):
        plan, chance, clients = self.plan, self.chance, self.plan["clients"]
        group = chance.choices(plan["groups"], [g["share"] for g in plan["groups"]])[0]
        self.serial += 1
        op, began = f"{plan['number']}-{self.serial}", self.loop.kernel.now()
        key = None
        if self.key_weights:
            key = chance.choices(range(len(self.key_weights)), self.key_weights)[0]
        fields = [
            (b"host", b"day"),
            (b"standin-op", op.encode()),
            (b"standin-group", group["name"].encode()),
            (b"standin-kind", group["kind"].encode()),
            (b"standin-work", b"%d" % self.work(group)),
        ]
        if key is not None:
            fields.append((b"cobaltpond-key", b"%d" % key))
        if customer:
            fields.append((b"cobaltpond-customer", customer.encode()))
        if group["kind"] == "tagged":
            fields.append((b"idempotency-key", op.encode()))
        if self.active("bad_requests") and chance.random() < max(
            t["size"] for t in self.active("bad_requests")
        ):
            fields.append((b"standin-bad", b"1"))
        home = chance.choices(range(len(self.weights)), self.weights)[0]
        left = group["client_timeout"]
        self.record(
            "asked",
            op=op,
            group=group["name"],
            type=group["kind"],
            customer=customer,
            begun=began,
            day=at,
            benefit=group["benefit"],
            target=group["target_latency"],
        )
        backoff = clients["backoff"]
        for number in range(1 + clients["retries"]):
            now = self.loop.kernel.now()
            this = int(left * clients["try_share"]) if number < clients["retries"] else left
            this = min(this, began + left - now)
            if number and group["kind"] == "tagged":  # past the window nobody would drop it
                this = min(this, began + group["repeat_window"] - 100_000 - now)
            if this < LEAST_LEFT:
                break
            give_up = None
            if self.active("give_up") and chance.random() < max(t["size"] for t in self.active("give_up")):
                give_up = int(this * chance.uniform(0.1, 0.6))
            outcome, advice = yield from self.try_once(op, number, group, home, fields, this, give_up)
            if outcome in ("delivered", "gave up"):
                break
            again = (
                group["kind"] == "repeatable"
                or outcome in ("bounced", "not sent")
                or (group["kind"] == "tagged" and group["scope"] == "all")
            )
            if not again:
                break
            wait = backoff if clients["style"] == "fixed" else backoff * 2**number
            if advice and chance.random() < clients["honour"]:
                wait = max(wait, advice)
            if outcome in ("not sent", "lost"):
                home = (home + 1) % len(self.weights)  # its gateway is gone: the next one
            yield Sleep(int(wait * chance.uniform(0.8, 1.2)))

    def try_once(self, op, number, group, home, fields, left, give_up):
        """One try. (delivered | bounced | errored | late | lost | not sent | gave up, advice in
        microseconds)."""
        gateway = self.plan["gateways"][home]
        fields = fields + [(b"cobaltpond-timeout-ms", b"%d" % (left // 1000))]
        if number and self.plan["clients"]["marks"]:
            fields.append((b"cobaltpond-try", b"%d" % number))
        body = b"{}" if group["method"] == "POST" else b""
        data = http1.request(group["method"], group["path"], fields, body)
        sent, seen, more, connection, wrote = self.loop.kernel.now(), "not sent", {}, None, False
        advice = 0
        try:
            with Deadline(self.loop, give_up or left + 200_000):
                connection, kept = yield from self.connect(home, gateway)
                self.record(
                    "try",
                    op=op,
                    number=number,
                    gateway=home,
                    left=left,
                    type=group["kind"],
                    group=group["name"],
                    sent=self.loop.kernel.now(),
                )
                wrote = True
                yield from connection.write(data)
                head, size = None, 0
                parser = http1.ResponseParser(LIMITS)
                while seen == "not sent":
                    got = yield from connection.read()
                    for kind, value in parser.feed(got) if got else parser.closed():
                        if kind == "head":
                            head = value
                        elif kind == "body":
                            size += len(value)
                        else:
                            seen = self.outcome(head)
                            more = {
                                "status": head.status,
                                "hit": (head.get(b"cobaltpond-hit") or b"").decode(),
                                "via": (head.get(b"cobaltpond-via") or b"").decode(),
                                "promise": head.get(b"cobaltpond-retry") == b"harmless",
                                "wrong": head.get(b"standin-wrong") is not None,
                                "build": int(head.get(b"standin-build") or 0),
                            }
                            advice = int(head.get(b"cobaltpond-retry-after-ms") or 0) * 1000
                if head.keep_alive:
                    self.idle.setdefault(home, deque()).append(connection)
                    connection = None
        except DeadlineExceededError:
            seen = "gave up" if give_up else "late" if wrote else "not sent"
        except (RefusedError, UnreachableError, HandlesExhaustedError):
            seen = "not sent"
        except (ConnectionLostError, http1.HttpMessageError):
            seen = "lost" if wrote else "not sent"
        finally:
            if connection is not None:
                connection.close()
        self.record("answer", op=op, number=number, gateway=home, seen=seen, sent=sent, **more)
        if more.get("wrong") and self.chance.random() < self.plan["wrong_reported"]:
            self.loop.spawn(self.report(home, more["via"], group["name"], sent), "report")
        return seen, advice

    def connect(self, home, gateway):
        idle = self.idle.get(home)
        while idle:
            connection = idle.pop()
            try:
                stray = connection.read_now(4096)
                if stray is None:
                    return connection, True
                if stray:
                    self.record("stray", gateway=home, bytes=len(stray))
            except ConnectionLostError:
                pass
            connection.close()
        host, port = gateway["door"].split(":")
        return (yield from dial(self.loop, (host, int(port)), 1_000_000)), False

    @staticmethod
    def outcome(head):
        if head.get(b"cobaltpond-via") is not None:
            return "delivered"
        return "bounced" if head.get(b"cobaltpond-retry") == b"harmless" else "errored"

    def report(self, gateway, instance, group, sent):
        yield Sleep(self.chance.randrange(800_000, 2_500_000))
        body = {"gateway": gateway, "instance": instance, "group": group, "age_us": self.loop.now() - sent}
        try:
            with Deadline(self.loop, 2_000_000):
                yield from call(
                    self.loop,
                    tuple(self.plan["desk"]),
                    "POST",
                    "/v1/wrong",
                    json.dumps(body).encode(),
                    500_000,
                )
        except (*CALL_ERRORS, DeadlineExceededError):
            pass

    def stop(self, name=""):
        self.stop_asked = True


def run_clients(kernel, plan, path, log):
    run_component(kernel, lambda loop: ClientLoad(loop, plan, path), log, "crowd")
