"""A list that comes back: what of it is obeyed. Free of I/O.

Within one epoch the list is the authority, whatever it says. A whole list of another epoch comes from a list
that has begun anew: perhaps from nothing, perhaps from an old copy. It does not empty a fleet that answers,
and it does not bring back a start of an instance that was seen draining or gone.
"""

STATES = ("up", "draining", "gone")
SHARE = 0.5  # of those held: so many must be missing to be doubted
DOUBT_TIME = 30_000_000  # so long the doubt lasts: what is then still missing goes
REMEMBERED = 4096  # starts seen draining or gone, over all epochs


class ListReconciler:
    """`answers(id, now)`: has that instance answered us a short while ago?"""

    def __init__(self, answers):
        self.is_answering, self.ends, self.missing, self.until = answers, {}, {}, None
        self.counts = {"doubted": 0, "kept": 0, "not brought back": 0}

    def record_rows(self, rows) -> None:
        """Rows of the list, as told: remembers which starts have come to drain."""
        for row in rows:
            mark = row["id"], row.get("start")
            if row["state"] != "up":
                self.ends.pop(mark, None)
                self.ends[mark] = row["state"]
        while len(self.ends) > REMEMBERED:
            del self.ends[next(iter(self.ends))]

    def filter_whole_list(self, now: int, held: dict, rows: list) -> list:
        """A whole list of another epoch than the one held. `held`: id -> row as told. Gives the rows to be
        obeyed."""
        out = []
        for row in rows:
            before = self.ends.get((row["id"], row.get("start")))
            if before is not None and STATES.index(before) > STATES.index(row["state"]):
                self.counts["not brought back"] += 1
                row = {**row, "state": before}
            out.append(row)
        listed = {row["id"] for row in rows}
        up = [id for id, row in held.items() if row["state"] == "up"]
        missing = {id: held[id] for id in up if id not in listed and self.is_answering(id, now)}
        if up and len(missing) >= SHARE * len(up):
            self.counts["doubted"] += 1
            self.counts["kept"] += len(missing)
            self.missing, self.until = missing, now + DOUBT_TIME
            out += missing.values()
        else:
            self.missing, self.until = {}, None
        return out

    def apply_change(self, rows) -> None:
        """What the list now says of one that it had lost is no matter of doubt any more."""
        for row in rows:
            self.missing.pop(row["id"], None)

    def due_rows(self, now: int) -> list[dict]:
        """Rows that end the doubt: what is still missing after the patience, or does not answer any more, is
        gone."""
        if self.until is None:
            return []
        over = {
            id: row for id, row in self.missing.items() if now >= self.until or not self.is_answering(id, now)
        }
        for id in over:
            del self.missing[id]
        if not self.missing:
            self.until = None
        return [{**row, "state": "gone"} for row in over.values()]
