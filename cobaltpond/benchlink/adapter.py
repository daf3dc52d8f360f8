"""Runs the decisions of gateways on batches of JSON lines.

Each batch of events ends with END and gets one reply: the actions of the gateways, one a line, and an END.
Times in the messages are milliseconds.
"""

import base64
import json

from cobaltpond.benchlink.policy_settings import milliseconds_to_us, policy_settings
from cobaltpond.decisions.rules import Gateway

FORWARD_RESULTS = {
    200: "ok",
    502: "error",
    429: "full",
    408: "timeout",
    521: "unreachable",
    520: "reset",
    444: "cancelled",
    409: "moot",
}
PHASES = {0: "trial", 1: "going back", 2: "released", 3: "withdrawn"}
VERDICTS = {"none": 0, "on": 1, "hold": 2, "back": 3}
STATES = {"U": "up", "L": "draining", "D": "gone"}


class WireError(Exception):
    """The input is not a message of the protocol."""


class Fields(dict):
    """A decoded object; reading a required field that is missing raises WireError, which ends the adapter."""

    def __missing__(self, name):
        """Raises WireError with the name of the field."""
        raise WireError(f"field {name!r} is missing in {dict(self)!r:.120}")


class HostAdapter:
    """The `DecisionHost` of one gateway: turns its calls into action lines, added to `out`."""

    def __init__(self, who: str, out: list):
        self.who, self.out = who, out
        self.gateway: Gateway | None = None

    def emit(self, name: str, **fields) -> None:
        """Adds one action line."""
        self.out.append(json.dumps({name: {"who": self.who, **fields}}, separators=(",", ":")))

    def send_forward(self, hit, instance, timeout, send_within):
        """Sends a forward. `send_within` has no field: the simulator sends a retry when it is decided."""
        self.emit("RELAY", txn=hit, instance=instance, patience=timeout / 1000)

    def cancel_forward(self, hit, forward):
        """Cancels a forward."""
        self.emit("DROP_ATTEMPT", txn=hit, hop=forward)

    def reject_hit(self, hit, retry_after):
        """Rejects a hit."""
        self.emit("BOUNCE", txn=hit, retryAfter=retry_after / 1000)

    def fail_hit(self, hit):
        """Fails a hit."""
        self.emit("GIVE_UP", txn=hit)

    def schedule_wakeup(self, token, delay):
        """Asks for an ALARM event after the delay."""
        self.emit("AFTER", keyBack=token, wait=delay / 1000)

    def probe_instance(self, instance):
        """Probes an instance."""
        self.emit("TEST", instance=instance)

    def cast_vote(self, build, stage, verdict):
        """Sends a vote."""
        self.emit("SAY_SO", edition=build, tranche=stage, code=VERDICTS[verdict])

    def fetch_list(self):
        """Requests the whole instance list."""
        self.emit("LIST_ALL")

    def watch_list(self):
        """Requests the instance list and its changes."""
        self.emit("TAIL", enable=True)

    def send_to_peer(self, peer, data):
        """Sends a datagram, in base64."""
        self.emit("ANNOUNCE", addressee=peer, data=base64.b64encode(data).decode())

    def log_note(self, text):
        """Logs a remark."""
        self.emit("REMARK", msg=text)


def list_row(entry: dict) -> dict:
    """Returns a row of the instance list in the names and units of the decisions."""
    started = entry.get("upSince")
    return {
        "id": entry["instance"],
        "build": entry.get("runs") or 0,
        "cell": entry.get("group"),
        "zone": entry.get("campus"),
        "state": STATES.get(entry.get("health"), "up"),
        "weight": entry.get("weight") or 1,
        "started": milliseconds_to_us(started) if started else None,
    }


def deliver_event(adapter: HostAdapter, lists: dict, now: int, name: str, event: dict) -> None:
    """Delivers one event as one call to the gateway; an event of another name is ignored."""
    gateway = adapter.gateway
    ending = FORWARD_RESULTS.get(event.get("stateCode"), "error")
    if name == "ORDER":
        cost = event.get("work")
        gateway.on_hit(
            now,
            event["txn"],
            event["cls"],
            event.get("owner") or None,
            event.get("targetKey"),
            milliseconds_to_us(event["left"]),
            milliseconds_to_us(cost) if cost else None,
            bool(event.get("resent")),
        )
    elif name == "OUTCOME":
        gateway.on_outcome(
            now,
            event["txn"],
            event["hop"],
            ending,
            milliseconds_to_us(event["duration"]),
            bool(event.get("closed")),
            event.get("serverStats") or {},
        )
    elif name == "ALARM":
        gateway.on_wake(now, event["keyBack"])
    elif name == "TOPOLOGY" and event["scope"] == "Error":
        gateway.on_list_error(now)
    elif name == "TOPOLOGY":
        gateway.on_list(now, event["scope"] != "Partial", lists[event["rosterId"]])
    elif name == "PHASE_TOLD":
        phase = PHASES.get(event.get("course"), "trial")
        gateway.on_news(
            now,
            event.get("edition") or 0,
            event.get("tranche") or 0,
            phase,
            event.get("mostShare") or 0.0,
            milliseconds_to_us(event.get("lateness") or 0),
            event.get("code") == 1,
            ending,
        )
    elif name == "PLATFORM_SAW":
        gateway.on_platform_counts(
            now,
            event["edition"],
            event["cls"],
            event.get("samples") or 0,
            event.get("notOk") or 0,
            milliseconds_to_us(event.get("duration") or 0),
            milliseconds_to_us(event.get("lateness") or 0),
        )
    elif name == "FLAGGED":
        gateway.on_wrong_answer(
            now, event["instance"], event["cls"], milliseconds_to_us(event.get("lateness") or 0)
        )
    elif name == "PROBED":
        gateway.on_probed(
            now,
            event["instance"],
            ending,
            milliseconds_to_us(event["duration"]),
            event.get("serverStats") or {},
        )
    elif name == "DATAGRAM":
        gateway.on_peer(now, event["author"], base64.b64decode(event["data"]))
    elif name == "GONE":
        gateway.on_gone(now, event["txn"])


def serve(source, sink) -> None:
    """Handles batches from `source` until it ends, and writes the replies to `sink`, both binary streams.
    Raises WireError where the input is not of the protocol."""
    adapters: dict[str, HostAdapter] = {}
    lists: dict[int, list] = {}
    out: list[str] = []
    now = 0
    for line in source:
        try:
            ((name, event),) = json.loads(line, object_hook=Fields).items()
        except (ValueError, AttributeError) as error:
            raise WireError(f"no valid message: {line[:120]!r}") from error
        if not isinstance(event, dict):
            raise WireError(f"{name!r} holds no object: {line[:120]!r}")
        if name == "FRAME":
            now, out[:] = milliseconds_to_us(event["time"]), []
        elif name == "END":
            sink.write(("\n".join(out + ['{"END":{}}']) + "\n").encode())
            sink.flush()
        elif name == "LEDGER":
            lists[event["rosterId"]] = [list_row(entry) for entry in event["rows"]]
        elif name == "ATTACH":
            adapter = adapters[event["who"]] = HostAdapter(event["who"], out)
            adapter.gateway = Gateway(adapter, now, event["initSeed"], policy_settings(event["setup"]))
        elif name == "TEARDOWN":
            adapters.pop(event["who"], None)
        elif event["who"] in adapters:
            deliver_event(adapters[event["who"]], lists, now, name, event)
