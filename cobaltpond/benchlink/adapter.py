"""Reads batches, feeds each gateway its events in order and writes down what it does."""

import base64
import json

from cobaltpond.benchlink.policy_settings import micros, policy_settings
from cobaltpond.decisions.rules import Gateway

ENDINGS = {
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
    """Input that is no message of this wire."""


class Fields(dict):
    """A decoded object; a field that must be there and is not ends the adapter with a plain message."""

    def __missing__(self, name):
        raise WireError(f"field {name!r} is missing in {dict(self)!r:.120}")


class HostAdapter:
    """The host of one gateway: turns its calls into action lines."""

    def __init__(self, who: str, out: list):
        self.who, self.out = who, out
        self.gateway: Gateway | None = None

    def emit(self, name: str, **fields) -> None:
        self.out.append(json.dumps({name: {"who": self.who, **fields}}, separators=(",", ":")))

    def send_forward(self, hit, instance, time_out, send_within):
        """The wire has no word for `send_within`: what is sent again there is sent as it is decided."""
        self.emit("RELAY", txn=hit, instance=instance, patience=time_out / 1000)

    def cancel_forward(self, hit, forward):
        self.emit("DROP_ATTEMPT", txn=hit, hop=forward)

    def reject_hit(self, hit, retry_after):
        self.emit("BOUNCE", txn=hit, retryAfter=retry_after / 1000)

    def fail_hit(self, hit):
        self.emit("GIVE_UP", txn=hit)

    def schedule_wakeup(self, token, delay):
        self.emit("AFTER", keyBack=token, wait=delay / 1000)

    def probe_instance(self, instance):
        self.emit("TEST", instance=instance)

    def cast_vote(self, build, stage, verdict):
        self.emit("SAY_SO", edition=build, tranche=stage, code=VERDICTS[verdict])

    def fetch_list(self):
        self.emit("LIST_ALL")

    def watch_list(self):
        self.emit("TAIL", enable=True)

    def send_to_peer(self, peer, data):
        self.emit("ANNOUNCE", addressee=peer, data=base64.b64encode(data).decode())

    def log_note(self, text):
        self.emit("REMARK", msg=text)


def row(entry: dict) -> dict:
    since = entry.get("upSince")
    return {
        "id": entry["instance"],
        "build": entry.get("runs") or 0,
        "cell": entry.get("group"),
        "zone": entry.get("campus"),
        "state": STATES.get(entry.get("health"), "up"),
        "weight": entry.get("weight") or 1,
        "started": micros(since) if since else None,
    }


def deliver(link: HostAdapter, lists: dict, now: int, name: str, e: dict) -> None:
    """One event, field by field, into one call."""
    gateway = link.gateway
    ending = ENDINGS.get(e.get("stateCode"), "error")
    if name == "ORDER":
        cost = e.get("work")
        gateway.on_hit(
            now,
            e["txn"],
            e["cls"],
            e.get("owner") or None,
            e.get("targetKey"),
            micros(e["left"]),
            micros(cost) if cost else None,
            bool(e.get("resent")),
        )
    elif name == "OUTCOME":
        gateway.on_outcome(
            now,
            e["txn"],
            e["hop"],
            ending,
            micros(e["duration"]),
            bool(e.get("closed")),
            e.get("serverStats") or {},
        )
    elif name == "ALARM":
        gateway.on_wake(now, e["keyBack"])
    elif name == "TOPOLOGY" and e["scope"] == "Error":
        gateway.on_list_error(now)
    elif name == "TOPOLOGY":
        gateway.on_list(now, e["scope"] != "Partial", lists[e["rosterId"]])
    elif name == "PHASE_TOLD":
        phase = PHASES.get(e.get("course"), "trial")
        gateway.on_news(
            now,
            e.get("edition") or 0,
            e.get("tranche") or 0,
            phase,
            e.get("mostShare") or 0.0,
            micros(e.get("lateness") or 0),
            e.get("code") == 1,
            ending,
        )
    elif name == "PLATFORM_SAW":
        gateway.on_tally(
            now,
            e["edition"],
            e["cls"],
            e.get("samples") or 0,
            e.get("notOk") or 0,
            micros(e.get("duration") or 0),
            micros(e.get("lateness") or 0),
        )
    elif name == "FLAGGED":
        gateway.on_wrong(now, e["instance"], e["cls"], micros(e.get("lateness") or 0))
    elif name == "PROBED":
        gateway.on_probed(now, e["instance"], ending, micros(e["duration"]), e.get("serverStats") or {})
    elif name == "DATAGRAM":
        gateway.on_peer(now, e["author"], base64.b64decode(e["data"]))
    elif name == "GONE":
        gateway.on_gone(now, e["txn"])


def serve(source, sink) -> None:
    """Batches until the input ends."""
    links: dict[str, HostAdapter] = {}
    lists: dict[int, list] = {}
    out: list[str] = []
    now = 0
    for line in source:
        try:
            ((name, e),) = json.loads(line, object_hook=Fields).items()
        except (ValueError, AttributeError) as trouble:
            raise WireError(f"no valid message: {line[:120]!r}") from trouble
        if not isinstance(e, dict):
            raise WireError(f"{name!r} holds no object: {line[:120]!r}")
        if name == "FRAME":
            now, out[:] = micros(e["time"]), []
        elif name == "END":
            sink.write(("\n".join(out + ['{"END":{}}']) + "\n").encode())
            sink.flush()
        elif name == "LEDGER":
            lists[e["rosterId"]] = [row(entry) for entry in e["rows"]]
        elif name == "ATTACH":
            link = links[e["who"]] = HostAdapter(e["who"], out)
            link.gateway = Gateway(link, now, e["initSeed"], policy_settings(e["setup"]))
        elif name == "TEARDOWN":
            links.pop(e["who"], None)
        elif e["who"] in links:
            deliver(links[e["who"]], lists, now, name, e)
