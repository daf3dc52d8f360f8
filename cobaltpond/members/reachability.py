"""Judges whether silence is due to a member, a zone, a link or our own network. Does no I/O.

A probe ends in one of four ways: DIRECT (the member answered us), INDIRECT (it answered a helper only, so our
link to it or back is broken), NACKED (a helper reports that the member does not answer it either) or NO_REPLY
(no helper answered, so the fault may be ours). Broken links follow from these results; the state of a zone
follows from which of its members are suspect or failed, which probes and helpers have established.
"""

from cobaltpond.members.states import ALIVE, FAILED, LEFT, SUSPECT, UNHEARD

DIRECT, INDIRECT, NACKED, NO_REPLY = "direct", "helped", "lost", "mute"
ALONE_AFTER_PERIODS = 4  # protocol periods without a datagram from any member
REACHABLE = "fine"
GONE = "gone"
PARTLY_GONE = "partly gone"
CUT_OFF = "cut off from it"
ALONE = "alone"
UNKNOWN = "unknown"


class Reachability:
    """Reachability of members, links and zones as one gateway's view shows it."""

    def __init__(self, view):
        self.view = view

    def is_isolated(self, now: int) -> bool:
        """Returns whether no datagram has come for ALONE_AFTER_PERIODS, though other members are or were
        running."""
        heard = [m.heard_at for m in self.view.members.values() if m.heard_at is not None]
        known = any(m.state not in (UNHEARD, LEFT) for m in self.view.members.values())
        wait = ALONE_AFTER_PERIODS * self.view.probe_settings.period
        return known and now - max(heard, default=self.view.began) > wait

    def broken_links(self) -> list[int]:
        """Returns the members that helpers reach and this gateway does not: the link is broken, in either
        direction."""
        return sorted(
            n for n, m in self.view.members.items() if m.state == ALIVE and m.probe_result == INDIRECT
        )

    def zones(self, now: int) -> dict[str, str]:
        """Returns the state of each zone as seen from here, by zone.

        GONE: none of the zone's members answers, while most members do. CUT_OFF: none of them answers, and
        more than half of all members are silent too, so this gateway is more likely on the smaller side of a
        network partition."""
        view, own_zone = self.view, self.view.zones[self.view.number]
        states, known = {}, [m for m in view.members.values() if m.state not in (UNHEARD, LEFT)]
        all_silent = [m for m in known if m.state in (SUSPECT, FAILED)]
        if self.is_isolated(now):
            return dict.fromkeys(dict.fromkeys(view.zones.values()), ALONE)
        for zone in dict.fromkeys(view.zones.values()):
            members = [m for m in known if m.zone == zone]
            silent = [m for m in members if m.state in (SUSPECT, FAILED)]
            if not members:
                states[zone] = REACHABLE if zone == own_zone else UNKNOWN
            elif not silent:
                states[zone] = REACHABLE
            elif len(silent) < len(members) or zone == own_zone:
                states[zone] = PARTLY_GONE
            elif 2 * len(all_silent) > len(known) + 1:
                states[zone] = CUT_OFF
            else:
                states[zone] = GONE
        return states

    def is_on_minority_side(self, now: int) -> bool:
        """Returns whether this gateway is on the smaller side of a network partition."""
        return any(state in (CUT_OFF, ALONE) for state in self.zones(now).values())

    def summary(self, now: int) -> dict:
        """Returns the members by state (this gateway counts as alive), zones and links, as the status pages
        show them."""
        states = [m.state for m in self.view.members.values()]
        return {
            "alive": 1 + states.count(ALIVE),
            "suspect": states.count(SUSPECT),
            "failed": states.count(FAILED),
            "left": states.count(LEFT),
            "unheard": states.count(UNHEARD),
            "zones": self.zones(now),
            "broken_links": self.broken_links(),
            "alone": self.is_isolated(now),
            "health": self.view.health,
        }
