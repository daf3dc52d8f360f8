"""The audit on small records: a valid one passes, and each single violation in it is found."""

import pytest

from cobaltpond.audit.check import check_rules
from cobaltpond.audit.findings import RULES

SECOND = 1_000_000
GROUPS = [
    {"name": "look", "kind": "repeatable", "scope": "all", "repeat_window": 0},
    {"name": "hold", "kind": "tagged", "scope": "zone", "repeat_window": SECOND},
    {"name": "pay", "kind": "mutating", "scope": "all", "repeat_window": 0},
]
RULE_SETTINGS = {
    "path_groups": GROUPS,
    "most_forwards": 3,
    "drain_grace": 250_000,
    "exposure_window": 2 * SECOND,
    "exposure_free": 2.0,
    "exposure_by": "all",
    "stage_caps": [0.5, 1.0],
    "shielded_stages": 0,
    "keys_stay": False,
    "rules": {"tip_time": SECOND, "overload_factor": 2.0, "answer_slack": 20_000},
}
INSTANCE_START = 1 * SECOND


class Records:
    """One gateway and warm instances a (zone n, build 1), b (zone m, build 1), c (zone n, build 2)."""

    def __init__(self):
        self.client_records, self.instance_records, self.hits = [], [], 0
        self.actions = [{"kind": "started", "gateway": 0, "at": 0}]
        for id, zone, build in (("a", "n", 1), ("b", "m", 1), ("c", "n", 2)):
            self.add(
                "up",
                0,
                instance=id,
                start=INSTANCE_START,
                build=build,
                warm=True,
                zone=zone,
                cell=0,
                cores=2,
                speed=1.0,
                cold_share=0.5,
                cold_time=3 * SECOND,
            )
        self.add(
            "list",
            0,
            gateway=0,
            base=None,
            revision=1,
            rows=[{"id": id, "state": "up", "start": INSTANCE_START} for id in "abc"],
        )
        self.news(0, 2, 0, "trial", 0.5)

    def add(self, kind, at, **more):
        self.instance_records.append({"kind": kind, "at": at, "from": at, **more})

    def news(self, at, build, stage, phase, cap):
        self.add("news", at, gateway=0, build=build, stage=stage, phase=phase, cap=cap, age_us=0)

    def hit(
        self,
        at,
        group="look",
        forwards=(("a", 0, "ok"),),
        seen="delivered",
        latency=100_000,
        left=SECOND,
        op=None,
        effects=1,
        key=None,
        promise=False,
    ):
        """`forwards`: (instance, microseconds after the hit, result)."""
        self.hits += 1
        name, op = f"h{self.hits}", op or f"o{self.hits}"
        kind = next(g["kind"] for g in GROUPS if g["name"] == group)
        self.client_records.append(
            {
                "kind": "try",
                "op": op,
                "number": self.hits,
                "gateway": 0,
                "left": left,
                "sent": at,
                "group": group,
                "type": kind,
                "at": at,
                "from": at,
            }
        )
        builds = {"a": 1, "b": 1, "c": 2}
        for n, (instance, after, result) in enumerate(forwards):
            fields = {
                "instance": instance,
                "start": INSTANCE_START,
                "build": builds[instance],
                "gateway": "0",
                "hit": name,
                "forward": n,
                "op": op,
                "group": group,
                "type": kind,
                "key": key,
                "since": at + after,
            }
            self.add("arrive", at + after, **fields, work=1000)
            self.add(
                "refused" if result == "full" else "left" if result == "left" else "end",
                at + after + 1000,
                **fields,
                how=result,
            )
            if kind != "repeatable" and result == "ok":
                for _ in range(effects):
                    self.add("effect", at + after + 1000, **fields)
        if seen:
            self.client_records.append(
                {
                    "kind": "answer",
                    "op": op,
                    "number": self.hits,
                    "gateway": 0,
                    "seen": seen,
                    "at": at + latency,
                    "from": at + latency,
                    "hit": name,
                    "promise": promise,
                    "build": builds[forwards[-1][0]] if forwards else 0,
                }
            )

    def broken_rules(self, **changed_settings):
        findings = check_rules(
            self.client_records, self.instance_records, self.actions, {**RULE_SETTINGS, **changed_settings}
        )
        return [rule for rule in RULES if findings.broken[rule]]


def valid_records():
    records = Records()
    for n in range(20):
        records.hit(
            2 * SECOND + n * 100_000,
            ("look", "hold", "pay")[n % 3],
            [("abc"[n // 3 % 3], 0, "ok")],
            key=str(n),
        )
    return records


def test_valid_records_pass_in_all_exposure_modes():
    for changed_settings in ({}, {"exposure_by": "path group"}, {"keys_stay": True}):
        assert valid_records().broken_rules(**changed_settings) == []


HIT_TIME = 6 * SECOND
LOST, TWICE, DRAIN, COLD, EXPOSED = RULES
VIOLATIONS = {
    "no answer": (LOST, lambda r: r.hit(HIT_TIME, seen=None)),
    "cut": (LOST, lambda r: r.hit(HIT_TIME, seen="lost")),
    "too late": (LOST, lambda r: r.hit(HIT_TIME, latency=SECOND + 21_000)),
    "stray bytes": (LOST, lambda r: r.client_records.append({"kind": "stray", "gateway": 0, "bytes": 9})),
    "sent after its answer": (
        LOST,
        lambda r: r.hit(HIT_TIME, forwards=[("a", 0, "error"), ("b", 300_000, "ok")]),
    ),
    "two effects at once": (TWICE, lambda r: r.hit(HIT_TIME, "pay", effects=2)),
    "an effect for each of two tries": (
        TWICE,
        lambda r: [r.hit(HIT_TIME + n, "hold", op="x") for n in (0, 500_000)],
    ),
    "mutating sent again": (
        TWICE,
        lambda r: r.hit(HIT_TIME, "pay", [("a", 0, "error"), ("b", 50_000, "error")]),
    ),
    "tagged out of its zone": (
        TWICE,
        lambda r: r.hit(HIT_TIME, "hold", [("a", 0, "error"), ("b", 50_000, "ok")]),
    ),
    "tagged past its window": (
        TWICE,
        lambda r: r.hit(
            HIT_TIME,
            "hold",
            [("a", 0, "error"), ("a", SECOND + 60_000, "ok")],
            left=9 * SECOND,
            latency=2 * SECOND,
        ),
    ),
    "two at once": (
        TWICE,
        lambda r: (
            r.hit(HIT_TIME, forwards=[("a", 0, "ok"), ("b", 10_000, "ok")]),
            [
                e.update({"at": HIT_TIME + 90_000, "from": HIT_TIME + 90_000})
                for e in r.instance_records
                if e["kind"] == "end" and e["at"] == HIT_TIME + 1000
            ],
        ),
    ),
    "too many forwards": (
        TWICE,
        lambda r: r.hit(HIT_TIME, forwards=[("a", n * 1100, "full") for n in range(4)]),
    ),
    "a bounce that may do harm": (
        TWICE,
        lambda r: r.hit(HIT_TIME, "pay", [("a", 0, "error")], seen="bounced", promise=True),
    ),
    "after a drain": (
        DRAIN,
        lambda r: (
            r.add(
                "list",
                HIT_TIME,
                gateway=0,
                base=1,
                revision=2,
                rows=[{"id": "a", "state": "draining", "start": INSTANCE_START}],
            ),
            r.hit(HIT_TIME + 310_000),
        ),
    ),
    "after it left a whole list": (
        DRAIN,
        lambda r: (
            r.add(
                "list",
                HIT_TIME,
                gateway=0,
                base=None,
                revision=2,
                rows=[{"id": "b", "state": "up", "start": INSTANCE_START}],
            ),
            r.hit(HIT_TIME + 310_000),
        ),
    ),
    "fell over": (COLD, lambda r: r.add("fell", HIT_TIME, instance="a", start=INSTANCE_START)),
    "over the cap": (
        EXPOSED,
        lambda r: [r.hit(HIT_TIME + n * 1000, forwards=[("c", 0, "ok")]) for n in range(8)],
    ),
    "no news yet of a later build": (
        EXPOSED,
        lambda r: (
            r.news(HIT_TIME, 1, 0, "released", 1.0),
            [r.hit(HIT_TIME + SECOND + n * 1000, forwards=[("c", 0, "ok")]) for n in range(8)],
        ),
    ),
    "a lowered cap": (
        EXPOSED,
        lambda r: (
            r.news(HIT_TIME, 2, 0, "going back", 0.0),
            [r.hit(HIT_TIME + 400_000 + n, forwards=[("c", 0, "ok")]) for n in range(3)],
        ),
    ),
}


@pytest.mark.parametrize("name", VIOLATIONS)
def test_each_single_violation_is_found(name):
    rule, change = VIOLATIONS[name]
    records = valid_records()
    change(records)
    assert records.broken_rules() == [rule]


def test_violations_of_the_other_exposure_modes():
    records = valid_records()
    for n in range(8):
        records.hit(HIT_TIME + n * 1000, forwards=[("a", 0, "ok")])
    for n in range(6):
        records.hit(HIT_TIME + 10_000 + n, "pay", [("c", 0, "ok")])
    assert records.broken_rules() == [] and records.broken_rules(exposure_by="path group") == [EXPOSED]
    assert valid_records().broken_rules(shielded_stages=1) == [
        EXPOSED
    ]  # has tagged and mutating hits on trial
    records = valid_records()
    records.hit(HIT_TIME, forwards=[("c", 0, "ok")], key="k")
    records.hit(HIT_TIME + SECOND, forwards=[("a", 0, "ok")], key="k")
    assert records.broken_rules() == [] and records.broken_rules(keys_stay=True) == [EXPOSED]


def test_excused_events_are_no_violations():
    """Hits lost with a killed gateway, a drain during a suspension, a lowered cap within the grace."""
    records = valid_records()
    records.hit(HIT_TIME, seen="lost")
    records.actions.append({"kind": "killed", "gateway": 0, "at": HIT_TIME + 50_000})
    records.actions.append({"kind": "started", "gateway": 0, "at": HIT_TIME + SECOND})
    records.add(
        "list",
        HIT_TIME + SECOND,
        gateway=0,
        base=None,
        revision=1,
        rows=[{"id": id, "state": "up", "start": INSTANCE_START} for id in "abc"],
    )
    records.news(HIT_TIME + SECOND, 2, 0, "trial", 0.5)
    records.actions.append({"kind": "stalled", "gateway": 0, "at": 8 * SECOND, "len": SECOND})
    records.add(
        "list",
        8 * SECOND + 1,
        gateway=0,
        base=1,
        revision=2,
        rows=[{"id": "a", "state": "draining", "start": INSTANCE_START}],
    )
    records.hit(9 * SECOND + 100_000)
    records.news(10 * SECOND, 2, 0, "going back", 0.0)
    records.hit(10 * SECOND + 100_000, forwards=[("c", 0, "ok")])
    assert records.broken_rules() == []
