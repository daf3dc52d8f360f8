"""The checker on small records: a sound one passes, and each single break in it is found."""

import pytest

from cobaltpond.audit.check import check_rules
from cobaltpond.audit.findings import RULES

S = 1_000_000
GROUPS = [
    {"name": "look", "kind": "repeatable", "scope": "all", "repeat_window": 0},
    {"name": "hold", "kind": "tagged", "scope": "zone", "repeat_window": S},
    {"name": "pay", "kind": "mutating", "scope": "all", "repeat_window": 0},
]
SHEET = {
    "path_groups": GROUPS,
    "most_forwards": 3,
    "drain_grace": 250_000,
    "exposure_window": 2 * S,
    "exposure_free": 2.0,
    "exposure_by": "all",
    "stage_caps": [0.5, 1.0],
    "shielded_stages": 0,
    "keys_stay": False,
    "rules": {"tip_time": S, "overload_factor": 2.0, "answer_slack": 20_000},
}
START = 1 * S


class Records:
    """A gateway, instances a (zone n, build 1), b (zone m, build 1) and c (zone n, build 2), all long up."""

    def __init__(self):
        self.crowd, self.yard, self.hits = [], [], 0
        self.acts = [{"kind": "started", "gateway": 0, "at": 0}]
        for id, zone, build in (("a", "n", 1), ("b", "m", 1), ("c", "n", 2)):
            self.add(
                "up",
                0,
                instance=id,
                start=START,
                build=build,
                warm=True,
                zone=zone,
                cell=0,
                cores=2,
                speed=1.0,
                cold_share=0.5,
                cold_time=3 * S,
            )
        self.add(
            "list",
            0,
            gateway=0,
            base=None,
            revision=1,
            rows=[{"id": id, "state": "up", "start": START} for id in "abc"],
        )
        self.news(0, 2, 0, "trial", 0.5)

    def add(self, kind, at, **more):
        self.yard.append({"kind": kind, "at": at, "from": at, **more})

    def news(self, at, build, stage, phase, cap):
        self.add("news", at, gateway=0, build=build, stage=stage, phase=phase, cap=cap, age_us=0)

    def hit(
        self,
        at,
        group="look",
        forwards=(("a", 0, "ok"),),
        seen="delivered",
        took=100_000,
        left=S,
        op=None,
        effects=1,
        key=None,
        promise=False,
    ):
        """`forwards`: (instance, microseconds after the hit, how it ended)."""
        self.hits += 1
        name, op = f"h{self.hits}", op or f"o{self.hits}"
        kind = next(g["kind"] for g in GROUPS if g["name"] == group)
        self.crowd.append(
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
        for n, (instance, after, how) in enumerate(forwards):
            about = {
                "instance": instance,
                "start": START,
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
            self.add("arrive", at + after, **about, work=1000)
            self.add(
                "refused" if how == "full" else "left" if how == "left" else "end",
                at + after + 1000,
                **about,
                how=how,
            )
            if kind != "repeatable" and how == "ok":
                for _ in range(effects):
                    self.add("effect", at + after + 1000, **about)
        if seen:
            self.crowd.append(
                {
                    "kind": "answer",
                    "op": op,
                    "number": self.hits,
                    "gateway": 0,
                    "seen": seen,
                    "at": at + took,
                    "from": at + took,
                    "hit": name,
                    "promise": promise,
                    "build": builds[forwards[-1][0]] if forwards else 0,
                }
            )

    def broken(self, **sheet):
        found = check_rules(self.crowd, self.yard, self.acts, {**SHEET, **sheet})
        return [rule for rule in RULES if found.broken[rule]]


def sound():
    records = Records()
    for n in range(20):
        records.hit(
            2 * S + n * 100_000, ("look", "hold", "pay")[n % 3], [("abc"[n // 3 % 3], 0, "ok")], key=str(n)
        )
    return records


def test_a_sound_record_passes_in_all_modes():
    for sheet in ({}, {"exposure_by": "path group"}, {"keys_stay": True}):
        assert sound().broken(**sheet) == []


T = 6 * S
LOST, TWICE, DRAIN, COLD, EXPOSED = RULES
BREAKS = {
    "no answer": (LOST, lambda r: r.hit(T, seen=None)),
    "cut": (LOST, lambda r: r.hit(T, seen="lost")),
    "too late": (LOST, lambda r: r.hit(T, took=S + 21_000)),
    "stray bytes": (LOST, lambda r: r.crowd.append({"kind": "stray", "gateway": 0, "bytes": 9})),
    "sent after its answer": (LOST, lambda r: r.hit(T, forwards=[("a", 0, "error"), ("b", 300_000, "ok")])),
    "two effects at once": (TWICE, lambda r: r.hit(T, "pay", effects=2)),
    "an effect for each of two tries": (
        TWICE,
        lambda r: [r.hit(T + n, "hold", op="x") for n in (0, 500_000)],
    ),
    "mutating sent again": (TWICE, lambda r: r.hit(T, "pay", [("a", 0, "error"), ("b", 50_000, "error")])),
    "tagged out of its zone": (TWICE, lambda r: r.hit(T, "hold", [("a", 0, "error"), ("b", 50_000, "ok")])),
    "tagged past its window": (
        TWICE,
        lambda r: r.hit(T, "hold", [("a", 0, "error"), ("a", S + 60_000, "ok")], left=9 * S, took=2 * S),
    ),
    "two at once": (
        TWICE,
        lambda r: (
            r.hit(T, forwards=[("a", 0, "ok"), ("b", 10_000, "ok")]),
            [
                e.update({"at": T + 90_000, "from": T + 90_000})
                for e in r.yard
                if e["kind"] == "end" and e["at"] == T + 1000
            ],
        ),
    ),
    "too many forwards": (TWICE, lambda r: r.hit(T, forwards=[("a", n * 1100, "full") for n in range(4)])),
    "a bounce that may do harm": (
        TWICE,
        lambda r: r.hit(T, "pay", [("a", 0, "error")], seen="bounced", promise=True),
    ),
    "after a drain": (
        DRAIN,
        lambda r: (
            r.add(
                "list",
                T,
                gateway=0,
                base=1,
                revision=2,
                rows=[{"id": "a", "state": "draining", "start": START}],
            ),
            r.hit(T + 310_000),
        ),
    ),
    "after it left a whole list": (
        DRAIN,
        lambda r: (
            r.add(
                "list", T, gateway=0, base=None, revision=2, rows=[{"id": "b", "state": "up", "start": START}]
            ),
            r.hit(T + 310_000),
        ),
    ),
    "fell over": (COLD, lambda r: r.add("fell", T, instance="a", start=START)),
    "over the cap": (EXPOSED, lambda r: [r.hit(T + n * 1000, forwards=[("c", 0, "ok")]) for n in range(8)]),
    "no news yet of a later build": (
        EXPOSED,
        lambda r: (
            r.news(T, 1, 0, "released", 1.0),
            [r.hit(T + S + n * 1000, forwards=[("c", 0, "ok")]) for n in range(8)],
        ),
    ),
    "a lowered cap": (
        EXPOSED,
        lambda r: (
            r.news(T, 2, 0, "going back", 0.0),
            [r.hit(T + 400_000 + n, forwards=[("c", 0, "ok")]) for n in range(3)],
        ),
    ),
}


@pytest.mark.parametrize("name", BREAKS)
def test_each_single_break_is_found(name):
    rule, change = BREAKS[name]
    records = sound()
    change(records)
    assert records.broken() == [rule]


def test_breaks_of_the_other_exposure_modes():
    records = sound()
    for n in range(8):
        records.hit(T + n * 1000, forwards=[("a", 0, "ok")])
    for n in range(6):
        records.hit(T + 10_000 + n, "pay", [("c", 0, "ok")])
    assert records.broken() == [] and records.broken(exposure_by="path group") == [EXPOSED]
    assert sound().broken(shielded_stages=1) == [EXPOSED]  # it has tagged and mutating hits on trial
    records = sound()
    records.hit(T, forwards=[("c", 0, "ok")], key="k")
    records.hit(T + S, forwards=[("a", 0, "ok")], key="k")
    assert records.broken() == [] and records.broken(keys_stay=True) == [EXPOSED]


def test_what_is_excused():
    """A killed gateway's hits, a drain told to one that stood still, a lowered cap within the grace."""
    records = sound()
    records.hit(T, seen="lost")
    records.acts.append({"kind": "killed", "gateway": 0, "at": T + 50_000})
    records.acts.append({"kind": "started", "gateway": 0, "at": T + S})
    records.add(
        "list",
        T + S,
        gateway=0,
        base=None,
        revision=1,
        rows=[{"id": id, "state": "up", "start": START} for id in "abc"],
    )
    records.news(T + S, 2, 0, "trial", 0.5)
    records.acts.append({"kind": "stalled", "gateway": 0, "at": 8 * S, "len": S})
    records.add(
        "list",
        8 * S + 1,
        gateway=0,
        base=1,
        revision=2,
        rows=[{"id": "a", "state": "draining", "start": START}],
    )
    records.hit(9 * S + 100_000)
    records.news(10 * S, 2, 0, "going back", 0.0)
    records.hit(10 * S + 100_000, forwards=[("c", 0, "ok")])
    assert records.broken() == []
