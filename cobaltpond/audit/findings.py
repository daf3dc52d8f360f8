"""The names of the rules, and what the check of each has found."""

RULES = ("no hit lost", "no effect twice", "drains kept", "cold instances", "exposure")


class Findings:
    def __init__(self):
        self.checked = dict.fromkeys(RULES, 0)
        self.broken = {rule: [] for rule in RULES}

    def record(self, rule: str, fine: bool, text: str) -> None:
        self.checked[rule] += 1
        if not fine:
            self.broken[rule].append(text)

    @property
    def all_kept(self) -> bool:
        return not any(self.broken.values())
