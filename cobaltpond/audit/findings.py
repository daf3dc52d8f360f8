"""The names of the invariant rules and the results of their checks."""

RULES = ("no hit lost", "no effect twice", "drains kept", "cold instances", "exposure")


class Findings:
    """For each rule, the number of checks made and the texts of the violations found."""

    def __init__(self):
        self.checked = dict.fromkeys(RULES, 0)
        self.broken = {rule: [] for rule in RULES}

    def record(self, rule: str, passed: bool, text: str) -> None:
        """Counts one check of a rule and keeps `text` if it failed."""
        self.checked[rule] += 1
        if not passed:
            self.broken[rule].append(text)

    @property
    def all_kept(self) -> bool:
        """Whether no check of any rule has failed."""
        return not any(self.broken.values())
