"""Tests of the deploy file's `run` as a process under two unrelated settings, and of invalid settings."""

import json
import signal
import subprocess
import tomllib
from pathlib import Path

import pytest
from pgworld import SETTINGS, PgWorld, answer_script, good_answer, outcome_of, row, statement

from cobaltpond.edge.config import ConfigError, parse_config
from cobaltpond.edge.main import Edge
from cobaltpond.gateway.pending_hit import PendingHit
from cobaltpond.loop import Loop, Sleep
from cobaltpond.wire import pg

ROOT = Path(__file__).resolve().parent.parent
OK = ("delivered", b"fine")
MS = 1000

OTHER_SETTINGS = {
    "balancers": 40,
    "position": 7,
    "zone": "Põhi",
    "areas": ["Põhi", "Lõuna"],
    "quantum": 8.0,
    "discovery": "subscribe",
    "categories": [
        {"name": "hinnapäring", "idempotency": "idempotent", "aim": 220.0, "deadline": 900.0, "points": 2.5},
        {
            "name": "pilet/välja",
            "idempotency": "at_most_once",
            "aim": 350.0,
            "deadline": 1100.0,
            "points": 9.0,
        },
        {
            "name": "koht",
            "idempotency": "deduplicated",
            "dedupScope": "zone",
            "window": 450.0,
            "aim": 310.0,
            "deadline": 1300.0,
            "points": 4.0,
        },
    ],
    "tenants": [{"name": "Kalev & Co", "share": 0.7}, {"name": "õhtu", "share": 0.3}],
    "familyInfo": {
        "gateMode": "automatic",
        "layout": "replace",
        "shares": [0.2, 1.0],
        "exposureCaps": [0.3, 1.0],
        "exposureWindow": 3500.0,
        "uncounted": 1.5,
        "answerWait": 650.0,
        "ballotTtl": 2500.0,
        "toAbort": 4,
    },
    "obligations": {
        "answerSlack": 12.0,
        "cold": 900.0,
        "coldFrom": 0.25,
        "stopSendingWithin": 410.0,
        "overloadFactor": 2.75,
        "mustAskIn": 6000.0,
    },
    "policyLimits": {
        "connIdle": 2600.0,
        "dialTimeout": 330.0,
        "maxAttempts": 6,
        "mayCancel": False,
        "retryAfter": True,
        "maxRetryAfter": 640.0,
        "probes": True,
    },
}


def all_values(document):
    """All names and numbers of settings, except the words of the protocol itself."""
    if isinstance(document, dict):
        return {inner_value for value in document.values() for inner_value in all_values(value)}
    if isinstance(document, list):
        return {inner_value for value in document for inner_value in all_values(value)}
    protocol_values = {
        "automatic",
        "subscribe",
        "by_count",
        "parallel",
        "replace",
        "idempotent",
        "deduplicated",
        "at_most_once",
        "all",
        "zone",
        True,
        False,
    }
    return set() if document in protocol_values else {document}


@pytest.mark.parametrize(
    "settings, classes, tenant",
    [
        (SETTINGS, {"look": "look", "pay": "pay"}, "ann"),
        (OTHER_SETTINGS, {"look": "hinnapäring", "pay": "pilet/välja"}, "Kalev & Co"),
    ],
)
def test_run_serves_two_settings_without_common_names_or_numbers(settings, classes, tenant, tmp_path):
    """Guards against hard-coded names and numbers.

    The process gets ready, answers one request of each kind, has one open over SIGTERM, and exits.
    """
    assert all_values(SETTINGS) & all_values(OTHER_SETTINGS) == set()
    unanswered = b"id=%016x" % 3

    def reply(text, _):
        if text.startswith(b"SHOW"):
            return row(b"inflight=1", b"SHOW") + pg.READY_FOR_QUERY
        return None if unanswered in text else good_answer(text)

    world = PgWorld(answer_script(reply), tmp=tmp_path, start_edge=False)
    Path(world.path).write_text(json.dumps({**world.configuration, "settings": settings}))
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    with open(tmp_path / "log", "wb") as log:
        process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            stderr=log,
            env={"EDGE_CONFIG": world.path, "PATH": "/usr/bin:/bin"},
        )

    def text(number, kind):
        return (
            statement(number, "look" if kind == "look" else "pay", 800)
            .decode()
            .replace(f"c={kind}", f"c={classes[kind]}")
            .replace("t=ann", f"t={tenant}")
            .encode()
        )

    def go():
        while True:
            try:
                client = yield from world.connect()
                break
            except Exception:
                assert process.poll() is None, (tmp_path / "log").read_text()
                yield Sleep(20 * MS)
        yield from client.send(b"", text(1, "look"), text(2, "pay"), start=True)
        got = []
        for _ in range(4):
            got.append(outcome_of((yield from client.read())))
        yield from client.send(text(3, "pay"))  # never answered by the instance
        yield from world.until(lambda: any(unanswered in text for text in world.received))
        process.send_signal(signal.SIGTERM)
        late = yield from world.connect()
        yield from late.send(text(4, "look"), start=True)
        yield from late.read()
        got += [outcome_of((yield from late.read())), outcome_of((yield from client.read()))[0]]
        yield from world.until(lambda: process.poll() is not None)
        return got

    try:
        world.opened = lambda: True
        assert world.run(go()) == [("nothing",), ("empty",), OK, OK, OK, "57014"]
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()
    assert process.returncode == 0


class DiscardedHit(PendingHit):
    """A hit whose responses are discarded."""

    def reject(self, retry_after):
        self.final = True

    def fail(self, late):
        self.final = True


INVALID_VALUES = (None, "x", -1.0, [], {"a": 1})


def test_settings_with_a_missing_or_invalid_part_are_refused_or_usable():
    """Invalid settings must not crash a starting gateway: each is either refused with ConfigError, or the
    decisions start and run with it.
    """

    def changed(settings, path, value):
        copy = json.loads(json.dumps(settings))
        part = copy
        for step in path[:-1]:
            part = part[step]
        if value is None:
            del part[path[-1]]
        else:
            part[path[-1]] = value
        return copy

    def paths(part, path=()):
        for key in part if isinstance(part, dict) else range(len(part)):
            yield (*path, key)
            if isinstance(part[key], (dict, list)):
                yield from paths(part[key], (*path, key))

    world, refused = PgWorld(), 0
    for settings in (SETTINGS, OTHER_SETTINGS):
        for path in paths(settings):
            for value in INVALID_VALUES:
                document = {**world.configuration, "settings": changed(settings, path, value)}
                try:
                    config = parse_config(document)
                except ConfigError as error:
                    assert "\n" not in str(error)
                    refused += 1
                    continue
                edge = Edge(Loop(world.loop.kernel), world.path, config, world.log)
                edge.host.start_decisions(seed=1)
                decisions = edge.host.decisions
                rows = [
                    {"id": id, "build": 1, "state": "up", "started": None, "zone": "a", "cell": 0}
                    for id in "ab"
                ]
                decisions.on_list(0, True, rows)
                decisions.on_news(0, 2, 0, "trial", 0.5, 0, False, "ok")
                decisions.hits.clear()
                for number, name in enumerate(edge.frontend.groups):  # the host knows them by then
                    edge.host.pending_hits[number] = DiscardedHit(number, "", edge.frontend)
                    decisions.on_hit(1, number, name, None, 7, 500_000, None, False)
                    decisions.on_outcome(2, number, 0, "ok", 1_000, False, {})
    assert refused > 100
    world.run(iter(()))
