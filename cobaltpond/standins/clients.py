"""An open-loop load generator that retries as the contract allows and records every outcome.

A client may retry a repeatable hit after any outcome; a tagged hit whose repeats all instances drop, as long
as the try can end within the repeat window from the first; any other hit only after a bounce, or where no
byte was sent.
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
MIN_TRY_TIME_US = 200_000  # a try with less time left is not started


class ClientLoad:
    """The clients of one process; all times are in microseconds.

    `plan` has seed, number (of this process), rate, length, gateways, groups, customers, keys, clients,
    troubles and begin (start of the scenario on the common clock).
    """

    def __init__(self, loop, plan, path):
        self.loop, self.plan, self.record = loop, plan, RecordWriter(loop, path)
        self.random_source = seeded_random(plan["seed"] * 1000 + plan["number"])
        self.idle_connections, self.hits_started, self.open_hits, self.stop_asked = {}, 0, 0, False
        self.weights = [g["weight"] for g in plan["gateways"]]
        keys = plan.get("keys") or 0
        self.key_weights = [1 / (n + 1) ** 0.8 for n in range(keys)] if keys else None
        self.max_lateness = 0

    def scenario_time(self):
        """Microseconds since the scenario began."""
        return self.loop.now() - self.plan["begin"]

    def rate_factor(self, at, customer=None):
        """The factor that bursts apply to the rate at this time, for all or for one customer (an index)."""
        rate = 1.0
        for fault in self.plan["troubles"]:
            if not fault["at"] <= at < fault["at"] + fault["len"]:
                continue
            if fault["kind"] == "burst" and customer is None:
                rate *= fault["size"]
            elif fault["kind"] == "tenant_burst" and customer == fault["which"]:
                rate *= fault["size"]
        return rate

    def active_faults(self, kind):
        """The faults of a kind that are active now."""
        at = self.scenario_time()
        return [
            fault
            for fault in self.plan["troubles"]
            if fault["kind"] == kind and fault["at"] <= at < fault["at"] + fault["len"]
        ]

    def run(self):
        """Starts hits by a Poisson process until the scenario ends, then waits up to 15 s for open ones."""
        plan, random_source = self.plan, self.random_source
        customers = plan["customers"] or [{"name": None, "traffic": 1.0}]
        at, max_factor = (
            0,
            1
            + sum(fault["size"] for fault in plan["troubles"] if fault["kind"] in ("burst", "tenant_burst")),
        )
        while at < plan["length"] and not self.stop_asked:
            at += max(1, int(random_source.expovariate(plan["rate"] * max_factor) * 1e6))
            draw, customer = (
                random_source.random() * max_factor,
                random_source.choices(range(len(customers)), [c["traffic"] for c in customers])[0],
            )
            if draw >= self.rate_factor(at) * self.rate_factor(at, customer):
                continue
            wait = plan["begin"] + at - self.loop.kernel.now()
            if wait > 0:
                yield Sleep(wait)
            self.max_lateness = max(self.max_lateness, self.loop.kernel.now() - plan["begin"] - at)
            self.open_hits += 1
            self.loop.spawn(self.run_hit(customers[customer]["name"], at), "hit")
        end = self.loop.now() + 15_000_000
        while self.open_hits and self.loop.now() < end:
            yield Sleep(20_000)
        self.record("end", open=self.open_hits, late=self.max_lateness)

    def run_hit(self, customer, at):
        """Runs one hit; `at` is its start in the scenario."""
        try:
            yield from self.run_tries(customer, at)
        finally:
            self.open_hits -= 1

    def work(self, group):
        """Draws the work of a hit, in microseconds: lognormal or exponential, with heavy tails by fault."""
        if group.get("dist") == "exp":
            work = self.random_source.expovariate(1.0) * group["work"]
        else:
            spread = math.sqrt(math.log(1 + group["cv"] ** 2))
            work = self.random_source.lognormvariate(math.log(group["work"]) - spread**2 / 2, spread)
        for fault in self.active_faults("heavy_tail"):
            if self.random_source.random() < fault["extra"]:
                work *= fault["size"]
        return work

    def run_tries(self, customer, at):
        """Tries a hit until it is answered, may not be retried, or has no time left."""
        plan, random_source, clients = self.plan, self.random_source, self.plan["clients"]
        group = random_source.choices(plan["groups"], [g["share"] for g in plan["groups"]])[0]
        self.hits_started += 1
        op, started_at = f"{plan['number']}-{self.hits_started}", self.loop.kernel.now()
        key = None
        if self.key_weights:
            key = random_source.choices(range(len(self.key_weights)), self.key_weights)[0]
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
        if self.active_faults("bad_requests") and random_source.random() < max(
            fault["size"] for fault in self.active_faults("bad_requests")
        ):
            fields.append((b"standin-bad", b"1"))
        gateway_index = random_source.choices(range(len(self.weights)), self.weights)[0]
        left = group["client_timeout"]
        self.record(
            "asked",
            op=op,
            group=group["name"],
            type=group["kind"],
            customer=customer,
            begun=started_at,
            day=at,
            benefit=group["benefit"],
            target=group["target_latency"],
        )
        backoff = clients["backoff"]
        for number in range(1 + clients["retries"]):
            now = self.loop.kernel.now()
            try_time = int(left * clients["try_share"]) if number < clients["retries"] else left
            try_time = min(try_time, started_at + left - now)
            if number and group["kind"] == "tagged":  # past the window no instance would drop the repeat
                try_time = min(try_time, started_at + group["repeat_window"] - 100_000 - now)
            if try_time < MIN_TRY_TIME_US:
                break
            give_up_after = None
            if self.active_faults("give_up") and random_source.random() < max(
                fault["size"] for fault in self.active_faults("give_up")
            ):
                give_up_after = int(try_time * random_source.uniform(0.1, 0.6))
            outcome, advice = yield from self.try_once(
                op, number, group, gateway_index, fields, try_time, give_up_after
            )
            if outcome in ("delivered", "gave up"):
                break
            may_retry = (
                group["kind"] == "repeatable"
                or outcome in ("bounced", "not sent")
                or (group["kind"] == "tagged" and group["scope"] == "all")
            )
            if not may_retry:
                break
            wait = backoff if clients["style"] == "fixed" else backoff * 2**number
            if advice and random_source.random() < clients["honour"]:
                wait = max(wait, advice)
            if outcome in ("not sent", "lost"):  # the gateway has failed, so the next one is used
                gateway_index = (gateway_index + 1) % len(self.weights)
            yield Sleep(int(wait * random_source.uniform(0.8, 1.2)))

    def try_once(self, op, number, group, gateway_index, fields, left, give_up_after):
        """Makes one try; returns (outcome, retry advice in microseconds or 0).

        The outcome is delivered, bounced, errored, late, lost, not sent or gave up. `left` is the time for
        the try; `give_up_after` ends it earlier unless it is None.
        """
        gateway = self.plan["gateways"][gateway_index]
        fields = fields + [(b"cobaltpond-timeout-ms", b"%d" % (left // 1000))]
        if number and self.plan["clients"]["marks"]:
            fields.append((b"cobaltpond-try", b"%d" % number))
        body = b"{}" if group["method"] == "POST" else b""
        data = http1.request(group["method"], group["path"], fields, body)
        sent, outcome, response_fields, connection, request_sent = (
            self.loop.kernel.now(),
            "not sent",
            {},
            None,
            False,
        )
        advice = 0
        try:
            with Deadline(self.loop, give_up_after or left + 200_000):
                connection, reused = yield from self.connect(gateway_index, gateway)
                self.record(
                    "try",
                    op=op,
                    number=number,
                    gateway=gateway_index,
                    left=left,
                    type=group["kind"],
                    group=group["name"],
                    sent=self.loop.kernel.now(),
                )
                request_sent = True
                yield from connection.write(data)
                head, size = None, 0
                parser = http1.ResponseParser(LIMITS)
                while outcome == "not sent":
                    received = yield from connection.read()
                    for kind, value in parser.feed(received) if received else parser.closed():
                        if kind == "head":
                            head = value
                        elif kind == "body":
                            size += len(value)
                        else:
                            outcome = self.classify_response(head)
                            response_fields = {
                                "status": head.status,
                                "hit": (head.get(b"cobaltpond-hit") or b"").decode(),
                                "via": (head.get(b"cobaltpond-via") or b"").decode(),
                                "promise": head.get(b"cobaltpond-retry") == b"harmless",
                                "wrong": head.get(b"standin-wrong") is not None,
                                "build": int(head.get(b"standin-build") or 0),
                            }
                            advice = int(head.get(b"cobaltpond-retry-after-ms") or 0) * 1000
                if head.keep_alive:
                    self.idle_connections.setdefault(gateway_index, deque()).append(connection)
                    connection = None
        except DeadlineExceededError:
            outcome = "gave up" if give_up_after else "late" if request_sent else "not sent"
        except (RefusedError, UnreachableError, HandlesExhaustedError):
            outcome = "not sent"
        except (ConnectionLostError, http1.HttpMessageError):
            outcome = "lost" if request_sent else "not sent"
        finally:
            if connection is not None:
                connection.close()
        self.record(
            "answer", op=op, number=number, gateway=gateway_index, seen=outcome, sent=sent, **response_fields
        )
        if response_fields.get("wrong") and self.random_source.random() < self.plan["wrong_reported"]:
            self.loop.spawn(
                self.report_wrong_answer(gateway_index, response_fields["via"], group["name"], sent), "report"
            )
        return outcome, advice

    def connect(self, gateway_index, gateway):
        """(connection to a gateway, whether it is a reused one); records unexpected bytes on idle ones."""
        idle_connections = self.idle_connections.get(gateway_index)
        while idle_connections:
            connection = idle_connections.pop()
            try:
                stray = connection.read_now(4096)
                if stray is None:
                    return connection, True
                if stray:
                    self.record("stray", gateway=gateway_index, bytes=len(stray))
            except ConnectionLostError:
                pass
            connection.close()
        host, port = gateway["door"].split(":")
        return (yield from dial(self.loop, (host, int(port)), 1_000_000)), False

    @staticmethod
    def classify_response(head):
        """The outcome that a response shows: delivered, bounced or errored."""
        if head.get(b"cobaltpond-via") is not None:
            return "delivered"
        return "bounced" if head.get(b"cobaltpond-retry") == b"harmless" else "errored"

    def report_wrong_answer(self, gateway, instance, group, sent):
        """Reports a wrong answer to the desk after 0.8 to 2.5 s; errors are ignored."""
        yield Sleep(self.random_source.randrange(800_000, 2_500_000))
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
        """Stops starting hits."""
        self.stop_asked = True


def run_clients(kernel, plan, path, log):
    """Runs the clients of one process as its component; records go to `path`."""
    run_component(kernel, lambda loop: ClientLoad(loop, plan, path), log, "crowd")
