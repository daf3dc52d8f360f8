"""Appends one line a day of a finished score to docs/standing.md. Reads files only; plays nothing.

    python bench/standing.py journal/20261201T212353-f7f56b87.json

The journal's record holds the days as the bench closed them (figures are of simulated servers). A record that
is in the page already, by its snapshot, is not entered twice.
"""

import argparse
import json
import sys
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "standing.md"
HEAD = """# The standing record

One line a day of each score of the fleet days, appended by \
`python bench/standing.py journal/RECORD.json`; figures
are of simulated servers. "Wanted" is what the gate asks of the served share. \
The largest loss is the larger of: worth
not served, and what came off it further (all prices, and the worst class, 10 s and customer, together).

| date | commit, snapshot | day | seed | served | wanted | score | rules | largest loss |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
"""


class NoRecord(Exception):
    """What is wrong with the file, in one line."""


def loss(day: dict) -> str:
    """The largest loss of one day, in words; shares of the day's worth."""
    mark, unserved, rest = day.get("signature") or {}, 1 - day["served"], day["served"] - day["G"]
    if unserved < rest:
        words = [f"prices and worst parts {rest:.3f}"]
        if mark.get("good_builds_sent_back"):
            words.append("a good build sent back")
        if mark.get("probes_per_try", 0) >= 0.5:
            words.append(f"{mark['probes_per_try']:.2f} probes a hit")
        return ", ".join(words)
    refused = mark.get("refused_share", 0)
    return f"not served {unserved:.3f}" + (f", of it refused {min(refused, unserved):.3f}" if refused else "")


def lines(record: dict) -> list[str]:
    """Raises NoRecord."""
    try:
        rows = []
        for day in record["days"]:
            broken = " ".join(f"{name} {count}" for name, count in day["rules"].items() if count)
            broken = ", ".join(filter(None, [broken, day.get("fault") or ""])) or "kept"
            cells = (
                record["at"][0][:10],
                f"{record['head'][:7]}, {record['id']}",
                day["name"],
                day["seed"],
                f"{day['served']:.3f}",
                f"{day['served_least']:.3f}",
                f"{day['score']:.2f}",
                broken,
                loss(day),
            )
            rows.append(f"| {' | '.join(map(str, cells))} |")
        return rows
    except (KeyError, TypeError, IndexError, AttributeError) as trouble:
        raise NoRecord(f"no score of fleet days: {trouble!r}") from None


def enter(page: str, record: dict) -> str:
    """The page with the record in it. Raises NoRecord."""
    rows = lines(record)
    if not rows:
        raise NoRecord("the record holds no day")
    page = page or HEAD
    return page if f", {record['id']} |" in page else page + "\n".join(rows) + "\n"


def main() -> int:
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("records", nargs="+", type=Path)
    for path in options.parse_args().records:
        try:
            page = enter(PAGE.read_text() if PAGE.exists() else "", json.loads(path.read_text()))
        except (OSError, ValueError, NoRecord) as trouble:
            print(f"standing: {path}: {trouble}", file=sys.stderr)
            return 2
        PAGE.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
