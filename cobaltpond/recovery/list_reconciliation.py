"""Reconciles a restarted instance list with the list that the gateway knows. Does no I/O.

Within one epoch the list is authoritative, whatever it says. A full list of another epoch comes from a list
service that has restarted, perhaps without state or from an old copy (a stale read). Such a list must not
empty a fleet that still answers, and must not bring back a start of an instance that was seen draining or
gone.
"""

STATES = ("up", "draining", "gone")
MIN_MISSING_SHARE = 0.5  # of the instances known as up; the list is believed where fewer are missing
DOUBT_TIME_US = 30_000_000  # an instance that is still missing after this time is dropped
MAX_ENDED_STARTS = 4096  # remembered starts that were draining or gone, over all epochs


class ListReconciler:
    """Decides which rows of a full list of a new epoch a gateway applies.

    `is_answering(id, now)` tells whether that instance answered this gateway recently. Times are in
    microseconds.
    """

    def __init__(self, is_answering):
        self.is_answering, self.ended_starts, self.missing, self.doubt_deadline = is_answering, {}, {}, None
        self.counts = {"doubted": 0, "kept": 0, "not brought back": 0}

    def record_rows(self, rows) -> None:
        """Remembers which starts of instances the given list rows show as draining or gone."""
        for row in rows:
            start_key = row["id"], row.get("start")
            if row["state"] != "up":
                self.ended_starts.pop(start_key, None)
                self.ended_starts[start_key] = row["state"]
        while len(self.ended_starts) > MAX_ENDED_STARTS:
            del self.ended_starts[next(iter(self.ended_starts))]

    def filter_whole_list(self, now: int, current_rows: dict, rows: list) -> list:
        """Returns the rows to apply of a full list whose epoch differs from the current one.

        `current_rows` maps an instance id to its row as received. Instances that are missing from the new
        list but still answer are kept for `DOUBT_TIME_US` if they are at least `MIN_MISSING_SHARE` of those
        that were up.
        """
        applied_rows = []
        for row in rows:
            known_state = self.ended_starts.get((row["id"], row.get("start")))
            if known_state is not None and STATES.index(known_state) > STATES.index(row["state"]):
                self.counts["not brought back"] += 1
                row = {**row, "state": known_state}
            applied_rows.append(row)
        listed = {row["id"] for row in rows}
        up_ids = [id for id, row in current_rows.items() if row["state"] == "up"]
        missing = {id: current_rows[id] for id in up_ids if id not in listed and self.is_answering(id, now)}
        if up_ids and len(missing) >= MIN_MISSING_SHARE * len(up_ids):
            self.counts["doubted"] += 1
            self.counts["kept"] += len(missing)
            self.missing, self.doubt_deadline = missing, now + DOUBT_TIME_US
            applied_rows += missing.values()
        else:
            self.missing, self.doubt_deadline = {}, None
        return applied_rows

    def apply_change(self, rows) -> None:
        """Ends the doubt about each instance that the list names again."""
        for row in rows:
            self.missing.pop(row["id"], None)

    def due_rows(self, now: int) -> list[dict]:
        """Returns rows that mark as gone the missing instances whose time has run out or that stopped
        answering.
        """
        if self.doubt_deadline is None:
            return []
        expired = {
            id: row
            for id, row in self.missing.items()
            if now >= self.doubt_deadline or not self.is_answering(id, now)
        }
        for id in expired:
            del self.missing[id]
        if not self.missing:
            self.doubt_deadline = None
        return [{**row, "state": "gone"} for row in expired.values()]
