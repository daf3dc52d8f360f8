"""What silence means: a member, a zone, a link, or we ourselves. Free of I/O.

A probe ends DIRECT (it answered us), HELPED (it answered a helper only: our link to it or back is broken),
LOST (a helper says that it does not answer it either) or MUTE (no helper answered us: it may as well be us).
Links are named by that; zones by who is suspect or failed, which is what probes and helpers have come to.
"""

from cobaltpond.members.states import ALIVE, FAILED, LEFT, SUSPECT, UNHEARD

DIRECT, HELPED, LOST, MUTE = "direct", "helped", "lost", "mute"
ALONE_PERIODS = 4  # of a probe, without a word from anybody
REACHABLE, GONE, PARTLY_GONE, CUT_OFF, ALONE, UNKNOWN = (
    "fine",
    "gone",
    "partly gone",
    "cut off from it",
    "alone",
    "unknown",
)


class Reachability:
    def __init__(self, view):
        self.view = view

    def is_alone(self, now: int) -> bool:
        """Nothing came from anybody for a while, though others are known to be or have been there."""
        heard = [m.heard_at for m in self.view.members.values() if m.heard_at is not None]
        known = any(m.state not in (UNHEARD, LEFT) for m in self.view.members.values())
        wait = ALONE_PERIODS * self.view.probe_settings.period
        return known and now - max(heard, default=self.view.began) > wait

    def links(self) -> list[int]:
        """Members that others hear and we do not, or that do not hear us: one link, whichever way it is
        broken."""
        return sorted(n for n, m in self.view.members.items() if m.state == ALIVE and m.reached == HELPED)

    def zones(self, now: int) -> dict[str, str]:
        """zone -> what it looks like from here.

        Gone: none of it is there, while most members are. Cut off from it: none of it is there, and more than
        half of all members are silent with it: then it is rather we who are the island."""
        view, own = self.view, self.view.zones[self.view.number]
        rows, counted = {}, [m for m in view.members.values() if m.state not in (UNHEARD, LEFT)]
        dark = [m for m in counted if m.state in (SUSPECT, FAILED)]
        if self.is_alone(now):
            return dict.fromkeys(dict.fromkeys(view.zones.values()), ALONE)
        for zone in dict.fromkeys(view.zones.values()):
            members = [m for m in counted if m.zone == zone]
            silent = [m for m in members if m.state in (SUSPECT, FAILED)]
            if not members:
                rows[zone] = REACHABLE if zone == own else UNKNOWN
            elif not silent:
                rows[zone] = REACHABLE
            elif len(silent) < len(members) or zone == own:
                rows[zone] = PARTLY_GONE
            elif 2 * len(dark) > len(counted) + 1:
                rows[zone] = CUT_OFF
            else:
                rows[zone] = GONE
        return rows

    def is_island(self, now: int) -> bool:
        """Are we on the smaller side?"""
        return any(state in (CUT_OFF, ALONE) for state in self.zones(now).values())

    def summary(self, now: int) -> dict:
        states = [m.state for m in self.view.members.values()]
        return {
            "alive": 1 + states.count(ALIVE),
            "suspect": states.count(SUSPECT),
            "failed": states.count(FAILED),
            "left": states.count(LEFT),
            "unheard": states.count(UNHEARD),
            "zones": self.zones(now),
            "broken_links": self.links(),
            "alone": self.is_alone(now),
            "health": self.view.health,
        }
