"""A day file of the bench, as its `draw` and `hunt` write it, turned into the plan of a day over sockets.

What one machine cannot hold is scaled down, and every such change is said in the plan's notes.
"""

from cobaltpond.scenario.declarations import FAULT_KINDS

MOST_GATEWAYS, MOST_PLACES, MOST_RATE, MOST_LENGTH = 6, 24, 160.0, 60_000_000
EFFECTS = {"safe": "repeatable", "keyed": "tagged", "unsafe": "mutating"}
GATES = {"any": "any", "share": "count", "timer": "clock"}


class BenchFileError(Exception):
    """The file is no day of the bench; the text says why."""


def import_bench_file(day: dict, name: str) -> dict:
    """Raises BenchFileError."""
    try:
        return convert(day, name)
    except (KeyError, IndexError, TypeError, ValueError, ZeroDivisionError) as trouble:
        raise BenchFileError(f"{name}: no day file of the bench: {trouble!r}") from trouble


def convert(day: dict, name: str) -> dict:
    notes, fam, tier = [], day["fam"], day["tiers"][0]
    kind, net = tier["kinds"][0], day["net"]
    zones = day["zones"]
    servers = [s for s in day["servers"] if s["up"]]
    gateways = [b for b in day["balancers"]]
    kept = servers[:MOST_PLACES]
    if len(kept) < len(servers):
        notes.append(f"{len(servers)} instances scaled to {len(kept)}, traffic with them")
    if len(gateways) > MOST_GATEWAYS:
        notes.append(f"{len(gateways)} gateways scaled to {MOST_GATEWAYS}")
        gateways = gateways[:MOST_GATEWAYS]
    classes = day["classes"]
    total = sum(c["share"] for c in classes)
    work = sum(c["share"] * (c["work"] + c["io"]) for c in classes) / total
    rate = day["traffic"]["load"] * sum(kind["cores"] * s["speed"] for s in kept) / work * 1e6
    if rate > MOST_RATE:
        notes.append(f"{rate:.0f} hits a second scaled to {MOST_RATE:.0f} by longer work")
        work_factor, rate = rate / MOST_RATE, MOST_RATE
    else:
        work_factor = 1.0
    length = min(day["length"], MOST_LENGTH)
    if length < day["length"]:
        notes.append(f"{day['length'] / 1e6:.0f} s cut to {length / 1e6:.0f} s")
    notes.append(
        "network delays between zones are not played; servers' pauses, swing and skew of traffic neither"
    )
    count, first = len(gateways), fam["first_build"]
    votes = [max(1, int(share * count + 0.999)) for share in fam["votes"]]
    troubles = []
    for n, t in enumerate(day["troubles"]):
        if t["kind"] == "bad_build":
            continue
        if t["kind"] not in FAULT_KINDS:
            notes.append(f"trouble {t['kind']} is not known here and left out")
            continue
        if t["kind"] == "neighbour":
            notes.append("a neighbour takes its share all the time, not on and off")
        on = [place for place, s in enumerate(kept) if day["servers"].index(s) in t["on"]]
        troubles.append(
            {
                "name": f"{t['kind']}-{n}",
                "kind": t["kind"],
                "at": t["at"],
                "len": t["len"],
                "size": t["size"],
                "extra": t["extra"],
                "on": on,
                "which": t["which"],
                "how": t.get("how", ""),
            }
        )
    names = [c["name"] for c in classes]
    groups = [
        {
            "name": c["name"],
            "kind": EFFECTS[c["effect"]],
            "scope": c["group"],
            "repeat_window": c["window"],
            "target_latency": c["aim"],
            "client_timeout": c["deadline"],
            "benefit": c["worth"],
            "late_benefit": c["late_worth"],
            "share": c["share"] / total,
            "work": c["work"] * work_factor,
            "cv": c["cv"],
            "dist": "exp" if c["dist"] == "exp" else "lognormal",
            "method": "GET" if c["effect"] == "safe" else "POST",
        }
        for c in classes
    ]
    allow, clients, found = day["allow"], day["clients"], day["discovery"]
    return {
        "name": name,
        "seed": day["noise"] % (1 << 31),
        "length": length,
        "rate": rate,
        "crowds": 1,
        "notes": notes,
        "zone_names": zones,
        "home": zones[fam["home"]],
        "gateways": [{"zone": zones[b["zone"]], "weight": b["weight"]} for b in gateways],
        "groups": groups,
        "customers": [
            {"name": t["name"], "share": t["share"], "traffic": t["traffic"]} for t in day["tenants"]
        ],
        "clients": {
            "retries": int(clients["retries"]),
            "try_share": clients["try_share"],
            "backoff": int(clients["backoff_us"]) or 1000,
            "honour": clients["honour"],
            "style": "exp" if clients["backoff"] == "exp" else "fixed",
            "marks": clients["marks_retry"],
        },
        "keys": int(day["traffic"]["keys"]) // 10,
        "build": first,
        "places": [
            {
                "name": f"place-{n:02d}",
                "id": f"i{n * 7919 % 9973:05x}",
                "zone": zones[s["zone"]],
                "cell": s["cell"],
                "speed": s["speed"],
            }
            for n, s in enumerate(kept)
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
        "boot": fam["boot"],
        "list": {
            "by": "asking" if found["ask"] else "push",
            "notice": found["notice"],
            "spread": found["spread"],
            "add": found["add"],
            "silent": found["silent_notice"],
            "ask_within": 10_000_000,
        },
        "report": {
            "period": tier["report_period"],
            "names": tier["report_fields"] if tier["report_how"] != "none" else [],
        },
        "release": {
            "gate": GATES[fam["control"]],
            "layout": "beside" if fam["beside"] else "in place",
            "shares": fam["stages"],
            "caps": fam["caps"],
            "exposure_window": fam["window"],
            "exposure_free": fam["free"],
            "exposure_by": "path group" if fam["by_class"] else "all",
            "shielded_stages": fam["guarded"],
            "keys_stay": fam["one_way"],
            "on_votes": votes[0],
            "hold_votes": votes[1],
            "back_votes": votes[2],
            "vote_life": fam["vote_life"],
            "vote_wait": fam["call_timeout"],
            "vote_rate": fam["calls_per_s"],
            "dwell": fam["bake"],
            "step": fam["step"],
            "drain_time": fam["drain"],
            "news_period": fam["push"],
            "tally_period": fam["tally"],
            "tally_sample": fam["tally_sample"] if fam["tally"] else 0.0,
            "wrong_reported": fam["flag_share"],
            "delay_price": fam["behind_price"],
            "harm_price": fam["harm_price"],
        },
        "rules": {
            "drain_grace": day["drain_grace"],
            "cold_time": tier["stated_cold"],
            "cold_share": tier["stated_cold_from"],
            "overload_factor": day["fall_multiple"],
            "tip_time": day["fall_for"],
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
            "crossing": day["prices"]["cross_zone"],
            "probe": day["prices"]["probe"],
            "tell": day["prices"]["peer"],
            "waste": day["prices"]["waste"],
        },
        "door": {},
        "kills": [],
        "offers": [{"at": r["at"], "build": first + 1 + n} for n, r in enumerate(fam["releases"])],
        "flaws": {
            str(first + 1 + n): {
                "how": r["bad"],
                "strength": r["strength"],
                "speed": r["speed"],
                "group": names[r["class"] % len(names)],
            }
            for n, r in enumerate(fam["releases"])
        },
        "troubles": troubles,
        "net": net,
        "goal": {
            "whole": day["goal"]["whole"],
            "worst_window": day["goal"]["worst_window"],
            "worst_group": day["goal"]["worst_class"],
            "worst_customer": day["goal"]["worst_tenant"],
        },
    }
