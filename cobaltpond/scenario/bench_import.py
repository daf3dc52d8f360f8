"""Converts a day file of the bench, as its `draw` and `hunt` commands write it, into a scenario plan.

What exceeds the capacity of one machine is scaled down; each such change is listed in the plan's notes.
"""

from cobaltpond.scenario.declarations import FAULT_KINDS

MAX_GATEWAYS, MAX_INSTANCES, MAX_HITS_PER_SECOND, MAX_LENGTH_US = 6, 24, 160.0, 60_000_000
PATH_GROUP_KINDS = {"safe": "repeatable", "keyed": "tagged", "unsafe": "mutating"}
RELEASE_GATES = {"any": "any", "share": "count", "timer": "clock"}


class BenchFileError(Exception):
    """The file is not a day file of the bench; the text says why."""


def import_bench_file(bench: dict, name: str) -> dict:
    """The scenario plan for a parsed day file; raises BenchFileError."""
    try:
        return convert_to_plan(bench, name)
    except (KeyError, IndexError, TypeError, ValueError, ZeroDivisionError) as error:
        raise BenchFileError(f"{name}: no day file of the bench: {error!r}") from error


def convert_to_plan(bench: dict, name: str) -> dict:
    """The scenario plan; raises KeyError and the like where the file has another shape."""
    notes, family, tier = [], bench["fam"], bench["tiers"][0]
    kind, network = tier["kinds"][0], bench["net"]
    zones = bench["zones"]
    servers = [s for s in bench["servers"] if s["up"]]
    gateways = [b for b in bench["balancers"]]
    kept_servers = servers[:MAX_INSTANCES]
    if len(kept_servers) < len(servers):
        notes.append(f"{len(servers)} instances scaled to {len(kept_servers)}, traffic with them")
    if len(gateways) > MAX_GATEWAYS:
        notes.append(f"{len(gateways)} gateways scaled to {MAX_GATEWAYS}")
        gateways = gateways[:MAX_GATEWAYS]
    classes = bench["classes"]
    total_share = sum(c["share"] for c in classes)
    mean_work = sum(c["share"] * (c["work"] + c["io"]) for c in classes) / total_share
    rate = bench["traffic"]["load"] * sum(kind["cores"] * s["speed"] for s in kept_servers) / mean_work * 1e6
    if rate > MAX_HITS_PER_SECOND:
        notes.append(f"{rate:.0f} hits a second scaled to {MAX_HITS_PER_SECOND:.0f} by longer work")
        work_factor, rate = rate / MAX_HITS_PER_SECOND, MAX_HITS_PER_SECOND
    else:
        work_factor = 1.0
    length = min(bench["length"], MAX_LENGTH_US)
    if length < bench["length"]:
        notes.append(f"{bench['length'] / 1e6:.0f} s cut to {length / 1e6:.0f} s")
    notes.append(
        "network delays between zones are not played; servers' pauses, swing and skew of traffic neither"
    )
    gateway_count, first_build = len(gateways), family["first_build"]
    votes_needed = [max(1, int(share * gateway_count + 0.999)) for share in family["votes"]]
    faults = []
    for n, fault in enumerate(bench["troubles"]):
        if fault["kind"] == "bad_build":
            continue
        if fault["kind"] not in FAULT_KINDS:
            notes.append(f"trouble {fault['kind']} is not known here and left out")
            continue
        if fault["kind"] == "neighbour":
            notes.append("a neighbour takes its share all the time, not on and off")
        affected_places = [
            place for place, s in enumerate(kept_servers) if bench["servers"].index(s) in fault["on"]
        ]
        faults.append(
            {
                "name": f"{fault['kind']}-{n}",
                "kind": fault["kind"],
                "at": fault["at"],
                "len": fault["len"],
                "size": fault["size"],
                "extra": fault["extra"],
                "on": affected_places,
                "which": fault["which"],
                "how": fault.get("how", ""),
            }
        )
    class_names = [c["name"] for c in classes]
    groups = [
        {
            "name": c["name"],
            "kind": PATH_GROUP_KINDS[c["effect"]],
            "scope": c["group"],
            "repeat_window": c["window"],
            "target_latency": c["aim"],
            "client_timeout": c["deadline"],
            "benefit": c["worth"],
            "late_benefit": c["late_worth"],
            "share": c["share"] / total_share,
            "work": c["work"] * work_factor,
            "cv": c["cv"],
            "dist": "exp" if c["dist"] == "exp" else "lognormal",
            "method": "GET" if c["effect"] == "safe" else "POST",
        }
        for c in classes
    ]
    allow, clients, discovery = bench["allow"], bench["clients"], bench["discovery"]
    return {
        "name": name,
        "seed": bench["noise"] % (1 << 31),
        "length": length,
        "rate": rate,
        "crowds": 1,
        "notes": notes,
        "zone_names": zones,
        "home": zones[family["home"]],
        "gateways": [{"zone": zones[b["zone"]], "weight": b["weight"]} for b in gateways],
        "groups": groups,
        "customers": [
            {"name": fault["name"], "share": fault["share"], "traffic": fault["traffic"]}
            for fault in bench["tenants"]
        ],
        "clients": {
            "retries": int(clients["retries"]),
            "try_share": clients["try_share"],
            "backoff": int(clients["backoff_us"]) or 1000,
            "honour": clients["honour"],
            "style": "exp" if clients["backoff"] == "exp" else "fixed",
            "marks": clients["marks_retry"],
        },
        "keys": int(bench["traffic"]["keys"]) // 10,
        "build": first_build,
        "places": [
            {
                "name": f"place-{n:02d}",
                "id": f"i{n * 7919 % 9973:05x}",
                "zone": zones[s["zone"]],
                "cell": s["cell"],
                "speed": s["speed"],
            }
            for n, s in enumerate(kept_servers)
        ],
        "kind": {
            "cores": kind["cores"],
            "slots": kind["slots"],
            "queue": kind["queue"],
            "cancel": kind["cancel"],
            "cold_share": kind["cold_from"],
            "cold_time": kind["cold"],
            "error_rate": kind["error_rate"],
            "thrash": kind["thrash"] / 10,
            "knee": kind["knee"],
            "drops_expired": kind["drops_expired"],
        },
        "boot": family["boot"],
        "list": {
            "by": "asking" if discovery["ask"] else "push",
            "notice": discovery["notice"],
            "spread": discovery["spread"],
            "add": discovery["add"],
            "silent": discovery["silent_notice"],
            "ask_within": 10_000_000,
        },
        "report": {
            "period": tier["report_period"],
            "names": tier["report_fields"] if tier["report_how"] != "none" else [],
        },
        "release": {
            "gate": RELEASE_GATES[family["control"]],
            "layout": "beside" if family["beside"] else "in place",
            "shares": family["stages"],
            "caps": family["caps"],
            "exposure_window": family["window"],
            "exposure_free": family["free"],
            "exposure_by": "path group" if family["by_class"] else "all",
            "shielded_stages": family["guarded"],
            "keys_stay": family["one_way"],
            "on_votes": votes_needed[0],
            "hold_votes": votes_needed[1],
            "back_votes": votes_needed[2],
            "vote_life": family["vote_life"],
            "vote_wait": family["call_timeout"],
            "vote_rate": family["calls_per_s"],
            "dwell": family["bake"],
            "step": family["step"],
            "drain_time": family["drain"],
            "news_period": family["push"],
            "tally_period": family["tally"],
            "tally_sample": family["tally_sample"] if family["tally"] else 0.0,
            "wrong_reported": family["flag_share"],
            "delay_price": family["behind_price"],
            "harm_price": family["harm_price"],
        },
        "rules": {
            "drain_grace": bench["drain_grace"],
            "cold_time": tier["stated_cold"],
            "cold_share": tier["stated_cold_from"],
            "overload_factor": bench["fall_multiple"],
            "tip_time": bench["fall_for"],
        },
        "allow": {
            "most_forwards": allow["max_attempts"],
            "cancel": allow["cancel"],
            "probe": allow["probes"],
            "tell": allow["peers"],
            "advise": allow["retry_after"],
            "most_advice": clients["max_retry_after"] or 1000,
        },
        "reports": {"how": tier["report_how"], "names": tier["report_fields"]},
        "prices": {
            "crossing": bench["prices"]["cross_zone"],
            "probe": bench["prices"]["probe"],
            "tell": bench["prices"]["peer"],
            "waste": bench["prices"]["waste"],
        },
        "door": {},
        "kills": [],
        "offers": [{"at": r["at"], "build": first_build + 1 + n} for n, r in enumerate(family["releases"])],
        "flaws": {
            str(first_build + 1 + n): {
                "how": r["bad"],
                "strength": r["strength"],
                "speed": r["speed"],
                "group": class_names[r["class"] % len(class_names)],
            }
            for n, r in enumerate(family["releases"])
        },
        "troubles": faults,
        "net": network,
        "goal": {
            "whole": bench["goal"]["whole"],
            "worst_window": bench["goal"]["worst_window"],
            "worst_group": bench["goal"]["worst_class"],
            "worst_customer": bench["goal"]["worst_tenant"],
        },
    }
