"""Appends one line per day of a finished benchmark score to docs/standing.md.

    python bench/standing.py journal/20261201T212353-f7f56b87.json

It reads files only and runs no benchmark. The record in the journal holds the days as the benchmark closed
them; the figures are of simulated servers. A record whose snapshot id is in the page already is not added
again.
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


class RecordError(Exception):
    """The file holds no score; the message says why in one line."""


def describe_loss(day: dict) -> str:
    """Describes the largest loss of one day as text; its figures are shares of the day's worth."""
    signature, unserved, rest = day.get("signature") or {}, 1 - day["served"], day["served"] - day["G"]
    if unserved < rest:
        details = [f"prices and worst parts {rest:.3f}"]
        if signature.get("good_builds_sent_back"):
            details.append("a good build sent back")
        if signature.get("probes_per_try", 0) >= 0.5:
            details.append(f"{signature['probes_per_try']:.2f} probes a hit")
        return ", ".join(details)
    refused = signature.get("refused_share", 0)
    return f"not served {unserved:.3f}" + (f", of it refused {min(refused, unserved):.3f}" if refused else "")


def record_rows(record: dict) -> list[str]:
    """Returns the table rows of a record, one per day. Raises RecordError."""
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
                describe_loss(day),
            )
            rows.append(f"| {' | '.join(map(str, cells))} |")
        return rows
    except (KeyError, TypeError, IndexError, AttributeError) as error:
        raise RecordError(f"no score of fleet days: {error!r}") from None


def append_record(page: str, record: dict) -> str:
    """Returns the page with the rows of a record, unchanged where it holds them already.

    An empty page gets the heading first. Raises RecordError.
    """
    rows = record_rows(record)
    if not rows:
        raise RecordError("the record holds no day")
    page = page or HEAD
    return page if f", {record['id']} |" in page else page + "\n".join(rows) + "\n"


def main() -> int:
    """Appends each record to the page; returns the exit code: 0, or 2 at the first file without a score."""
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("records", nargs="+", type=Path)
    for path in options.parse_args().records:
        try:
            page = append_record(PAGE.read_text() if PAGE.exists() else "", json.loads(path.read_text()))
        except (OSError, ValueError, RecordError) as error:
            print(f"standing: {path}: {error}", file=sys.stderr)
            return 2
        PAGE.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
