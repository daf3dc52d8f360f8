"""Membership: the table, the datagram, hearsay, and whole societies of its service on the virtual kernel."""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cobaltpond.decisions.records import RandomSource
from cobaltpond.decisions.stats import rendezvous_weight
from cobaltpond.members import wire
from cobaltpond.members.compare import compare_tables, format_comparison, format_ranges
from cobaltpond.members.gossip import Gossip
from cobaltpond.members.receiving import MAX_DATAGRAMS_PER_PERIOD
from cobaltpond.members.states import (
    ALIVE,
    CAUSE_OF_STATE,
    FAILED,
    HEARD,
    LEFT,
    NEXT_STATE,
    SUSPECT,
    SUSPICION_EXPIRED,
    UNHEARD,
    Member,
    change_state,
)
from cobaltpond.members.trial_evidence import TrialEvidence
from cobaltpond.members.view import ProbeSettings, View

EXAMPLES = int(os.environ.get("COBALTPOND_EXAMPLES", "60"))
BRISK = ProbeSettings(200_000, 60_000)


# --- the table ----------------------------------------------------------------------------------------------


def test_every_change_goes_by_the_table_and_a_failed_one_comes_back_only_by_its_own_word():
    member = Member(3, "a", 0)
    assert change_state(member, HEARD, 5, 3, 100, 0) == UNHEARD and member.state == ALIVE
    change_state(member, "doubted", 6, 1, 100, 0)
    change_state(member, SUSPICION_EXPIRED, 7, 1, 100, 0)
    assert (member.state, member.since) == (FAILED, 7)
    with pytest.raises(RuntimeError):
        change_state(member, SUSPICION_EXPIRED, 8, 1, 100, 0)
    assert not member.supersedes(ALIVE, 100, 0) and not member.supersedes(SUSPECT, 100, 0)
    assert (
        member.supersedes(ALIVE, 100, 1)
        and member.supersedes(ALIVE, 101, 0)
        and not member.supersedes(ALIVE, 99, 9)
    )
    member.facts = {"out": 3}
    change_state(member, HEARD, 9, 3, 101, 0)
    assert member.facts == {} and member.state == ALIVE


def test_whoever_left_stays_so_until_another_start():
    member = Member(3, "a", 0)
    change_state(member, HEARD, 1, 3, 100, 4)
    change_state(member, "told left", 2, 3, 100, 4)
    assert (
        not member.supersedes(FAILED, 100, 4)
        and not member.supersedes(ALIVE, 100, 4)
        and member.supersedes(ALIVE, 101, 0)
    )


ROWS = st.tuples(
    st.integers(1, 4),
    st.integers(1, 3),
    st.integers(0, 3),
    st.sampled_from([ALIVE, SUSPECT, FAILED, LEFT]),
    st.integers(1, 4),
)


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.lists(ROWS, max_size=40), st.randoms())
def test_views_told_the_same_in_any_order_end_alike_and_as_the_plain_model(rows, dice):
    """The plain model: of all that was said of a member the greatest (start, incarnation, rank) holds."""
    rank = {ALIVE: 0, SUSPECT: 1, FAILED: 2, LEFT: 3}
    best = {}
    for number, start, incarnation, state, _ in rows:
        best[number] = max(best.get(number, (0, 0, -1)), (start, incarnation, rank[state]))
    for _ in range(2):
        view = View(0, dict.fromkeys(range(5), "a"), ProbeSettings(), RandomSource(1), 50, 0)
        for row in rows:
            view.apply_row(10, *row)
        assert {
            n: (m.start, m.incarnation, rank[m.state]) for n, m in view.members.items() if m.state != UNHEARD
        } == best
        again = 0
        for n in view.zones:
            again ^= view.row_digest(n)
        assert view.table_digest == again  # kept up step by step, it is what it would be anew
        dice.shuffle(rows)


def test_the_table_knows_every_cause_that_words_can_bring():
    for state, nexts in NEXT_STATE.items():
        assert set(CAUSE_OF_STATE.values()) <= set(nexts), state


# --- the datagram -------------------------------------------------------------------------------------------


def pair(zones="ab", settings=BRISK):
    names = {n: zones[n % len(zones)] for n in range(4)}
    return [View(n, names, settings, RandomSource(n + 1), 1000 + n, 0) for n in range(4)]


def datagram(view, to=1, kind=wire.PING):
    view.send(kind, to, 77)
    return view.out.pop()[1]


def test_no_datagram_is_longer_than_the_platform_allows_however_much_there_is_to_tell():
    zones = {n: "a" for n in range(400)}
    view = View(0, zones, ProbeSettings(), RandomSource(1), 9, 0)
    for n in range(1, 400):
        view.apply_row(1, n, 5, 0, ALIVE if n % 3 else SUSPECT, n)
    view.news, view.drains = (7, 1, 0, 0.4, 3_000_000), list(range(20))
    for kind in (wire.PING, wire.INDIRECT_PING):
        view.send(kind, 3, 1, about=5, differs=True)
    sizes = [len(data) for _, data in view.out]
    assert max(sizes) <= 250 and min(sizes) > 200
    other = View(3, zones, ProbeSettings(), RandomSource(1), 9, 0)
    heard = []
    other.on_gossip = lambda member, news, drains: heard.append((member.number, news, drains))
    other.receive_datagram(5, 0, view.out[0][1])
    assert heard == [(0, (7, 1, 0, pytest.approx(0.4, abs=1e-4), 3_000_000), list(range(wire.MAX_DRAINS)))]
    assert sum(m.state != UNHEARD for m in other.members.values()) >= 5


@pytest.mark.parametrize(
    "spoil, why",
    [
        (lambda d: b"", "length"),
        (lambda d: d[:-1], "checksum"),
        (lambda d: d + b"\0", "checksum"),
        (lambda d: d[:10] + bytes([d[10] ^ 1]) + d[11:], "checksum"),
        (lambda d: bytes([0x25]) + d[1:], "version"),
        (lambda d: d + bytes(260), "length"),
        (lambda d: b"\xff" * len(d), "version"),
    ],
)
def test_what_is_garbled_is_dropped_and_nothing_of_it_kept(spoil, why):
    one, two = pair()[:2]
    with pytest.raises(wire.DatagramError, match=why):
        two.receive_datagram(5, 0, spoil(datagram(one)))
    assert all(m.state == UNHEARD for m in two.members.values()) and not two.out


def test_anothers_datagram_is_not_taken():
    one, two, three, _ = pair()
    with pytest.raises(wire.DatagramError, match="checksum"):
        two.receive_datagram(5, 2, datagram(one))  # said to come from the third
    with pytest.raises(wire.DatagramError, match="receiver"):
        three.receive_datagram(5, 0, datagram(one))
    with pytest.raises(wire.DatagramError, match="stranger"):
        two.receive_datagram(5, 9, datagram(one))


def test_a_newer_program_s_fields_are_skipped_and_longer_ones_read_as_far_as_known():
    one, two = pair()[:2]
    one.self_description["out"] = 41
    fields = wire.self_field({**one.self_description, "start": 1000, "incarnation": 0, "state": 1})
    longer = wire.encode_field(wire.SELF, fields[2:] + b"later")
    data = wire.encode_datagram(
        wire.PING,
        0,
        1,
        7,
        1,
        wire.encode_field(200, b"unknown") + longer + wire.encode_field(wire.NEWS, bytes(20)),
    )
    newer = bytes([wire.MAJOR << 4 | 5]) + data[1:]
    newer = (
        newer[:2]
        + wire.pack(">I", wire.crc32(wire.pack(">HBB", 0, newer[0], newer[1]) + newer[6:]))
        + newer[6:]
    )
    for n, given_ in enumerate((data, newer)):
        two.receive_datagram(5 + n, 0, given_)
    assert two.members[0].state == ALIVE and two.members[0].facts["out"] == 41
    assert len(two.out) == 2  # both were answered


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 250), st.integers(0, 255))
def test_the_reader_gives_fields_or_says_why_not(noise, at, byte):
    one, two = pair()[:2]
    whole = datagram(one)
    at %= len(whole)
    for data in (
        noise,
        whole[:at] + bytes([byte]) + whole[at + 1 :],
        whole[:at],
        whole + noise,
        wire.encode_datagram(wire.PING, 0, 1, 1, 1, noise[:200]),
    ):
        try:
            two.receive_datagram(5, 0, data)
        except wire.DatagramError:
            pass
    assert len(two.members) == 3


def test_a_replayed_or_overtaken_datagram_changes_no_facts_and_a_former_life_s_nothing():
    one, two = pair()[:2]
    one.self_description["out"] = 1
    first = datagram(one)
    one.self_description["out"] = 2
    two.receive_datagram(5, 0, datagram(one))
    two.receive_datagram(6, 0, first)
    assert two.members[0].facts["out"] == 2 and two.counts["old"] == 1
    two.apply_row(7, 0, 2000, 0, ALIVE, 3)  # a newer start is known by now
    two.out.clear()
    two.receive_datagram(8, 0, datagram(one))
    assert two.members[0].start == 2000 and not two.out


def test_a_flood_from_one_costs_no_more_than_its_share_of_a_period():
    one, two = pair()[:2]
    data = datagram(one)
    for _ in range(1000):
        two.receive_datagram(5, 0, data)
    assert (
        two.counts["heard"] == MAX_DATAGRAMS_PER_PERIOD
        and len(two.out) <= MAX_DATAGRAMS_PER_PERIOD
        and two.counts["flood"] > 900
    )
    two.receive_datagram(5 + two.probe_settings.period, 0, data)
    assert two.counts["heard"] == MAX_DATAGRAMS_PER_PERIOD + 1


def test_a_probe_of_a_former_life_says_nothing_of_the_next():
    """Found by a transcript: killed while asked, and back before the wait was over, it was doubted in its new
    life."""
    one, other = pair()[:2]
    one.apply_row(0, 1, 1001, 0, ALIVE, 1)
    one.begin_probe(10)
    assert one.probe.member.number == 1
    one.apply_row(20, 1, 2001, 0, ALIVE, 1)
    one.end_probe(one.probe.end_at)
    assert one.members[1].state == ALIVE and one.counts["probes failed"] == 0


# --- hearsay ------------------------------------------------------------------------------------------------


def hearsay():
    said = []
    one = Gossip(lambda *what: said.append(what))
    member = Member(4, "a", 0)
    change_state(member, HEARD, 0, 4, 1, 0)
    member.facts = {"revision": 9}
    return one, member, said


TRIAL, RELEASED, BACK, GONE_ = 0, 1, 2, 3


@pytest.mark.parametrize(
    "own, told, shut",
    [
        ((7, 1, "trial", 0.5), (7, 1, BACK, 0.0), True),
        ((7, 1, "released", 1.0), (7, 1, GONE_, 0.0), True),
        ((7, 1, "trial", 0.5), (8, 0, BACK, 0.0), True),
        ((7, 1, "trial", 0.5), (7, 1, TRIAL, 0.2), True),
        ((7, 1, "trial", 0.5), (7, 0, TRIAL, 0.2), False),  # its teller is behind
        ((7, 1, "trial", 0.5), (6, 1, BACK, 0.0), False),
        ((7, 1, "trial", 0.5), (7, 1, RELEASED, 1.0), False),
        ((7, 1, "trial", 0.5), (7, 2, TRIAL, 1.0), False),
        ((7, 1, "trial", 0.5), (8, 0, TRIAL, 1.0), False),
        ((7, 1, "withdrawn", 0.0), (7, 1, BACK, 0.0), False),
        ((7, 1, "trial", 0.5), (7, 1, 9, 0.0), False),
    ],
)
def test_a_member_s_word_only_ever_shuts(own, told, shut):
    one, member, said = hearsay()
    one.update_release(100, *own, 50)
    said.clear()
    one.receive(100, member, (*told, 10), [])
    assert said == ([("on_shut", told[0])] if shut else [])


def test_our_own_desk_ends_what_was_taken_on_another_s_word_and_it_is_not_taken_again():
    one, member, said = hearsay()
    one.update_release(100, 7, 1, "trial", 0.5, 50)
    one.receive(200, member, (7, 1, BACK, 0.0, 10), [])
    assert one.outgoing(300)[0] == (7, 1, BACK, 0.0, 110)  # told on, older by the time it lay here
    one.update_release(400, 7, 1, "trial", 0.5, 350)
    one.receive(500, member, (7, 1, BACK, 0.0, 310), [])
    assert said == [("on_shut", 7), ("on_shut", None)] and one.outgoing(500)[0][2] == TRIAL


def test_drains_are_taken_from_newer_lists_only_and_told_for_a_while():
    one, member, said = hearsay()
    one.set_draining(0, 9, [5])
    one.receive(1, member, None, [11])
    assert said == []  # that list is as old as ours
    member.facts["revision"] = 10
    one.receive(2, member, None, [11])
    assert said == [("on_drains", [11])]
    one.set_draining(3, 11, [5, 6])
    assert one.outgoing(4)[1] == [6, 5] and one.outgoing(5_000_002)[1] == [6]


def test_a_judge_s_place_falls_to_the_next_lot_and_hardly_anything_else_moves():
    everybody = list(range(50))

    def judges(build, living):
        return sorted(living, key=lambda n: -rendezvous_weight(build, n))[:2]

    times = {n: 0 for n in everybody}
    for build in range(2000):
        before = judges(build, everybody)
        after = judges(build, [n for n in everybody if n != before[0]])
        assert after[0] == before[1] and after[1] not in before
        for n in before:
            times[n] += 1
    assert min(times.values()) > 40 and max(times.values()) < 130  # 80 on the mean


def test_counts_of_a_trial_are_asked_of_two_weighed_by_age_and_never_added_up():
    said = []
    one = TrialEvidence(1000, lambda *what: said.append(what), RandomSource(3), 500)
    one.update_release(600, 7, "trial", 50)  # began after we did: nothing was missed
    assert one.due_requests(600, [1, 2, 3, 4]) == []
    one.update_release(610, 8, "trial", 300)
    first = one.due_requests(610, [1, 2, 3, 4])
    assert len(first) == 2 and one.due_requests(620, [1, 2, 3, 4]) == []
    one.apply_answer(9, [(8, "look", 100, 50, 0)])  # was not asked
    assert said == []
    one.apply_answer(first[0], [(8, "look", 100, 10, 500), (7, "look", 40, 0, 2000)])
    assert said == [("on_tally", 8, "look", 50, 5, 0, 500)]
    one.apply_answer(first[0], [(8, "look", 900, 90, 0)])  # it has answered
    living = [n for n in (1, 2, 3, 4) if n != first[1]]
    second = one.due_requests(610 + 500_000, living)  # the other one has gone: another is asked
    assert len(second) == 1 and second[0] not in first
    one.apply_answer(second[0], [(8, "look", 80, 6, 0)])  # of the same hits, perhaps: the larger holds
    assert said[1:] == [("on_tally", 8, "look", 30, 1, 0, 0)]
    assert one.due_requests(10**9, living) == []


# --- who is there in whose eyes -----------------------------------------------------------------------------


def test_tables_side_by_side_name_who_differs_and_since_when():
    def table(at, **states):
        rows = [
            {
                "number": n,
                "zone": "a",
                "state": ALIVE,
                "start": 5,
                "since_us": 9_000_000,
                "settings": 1,
                "version": 2,
                "revision": 3 + (at == 2),
                "build": 1,
                "stage": 0,
                "phase": 1,
                "cause": "",
                "by": None,
            }
            for n in range(3)
        ]
        for name, state in states.items():
            rows[int(name[1:])].update(state=state, since_us=2_000_000, cause="ran out", by=at)
        return {"members": rows, "zones": {"a": "fine"}, "broken_links": []}

    told = compare_tables({0: table(0), 1: table(1), 2: table(2, m0=FAILED), 3: None})
    assert told["silent"] == [3] and told["apart"]["revision"] == {"3": [0, 1], "4": [2]}
    assert told["members"][0]["otherwise"] == {
        2: {"state": FAILED, "since_us": 2_000_000, "cause": "ran out", "by": 2}
    }
    text = "\n".join(format_comparison(told))
    assert "no answer from: 3" in text and "but failed at gateway 2 for 2.0 s (ran out by 2)" in text
    idle = table(1)
    idle["members"][1]["flags"] = 0  # answers probes, and has no open door
    assert "there, but not open for hits: 1" in "\n".join(
        format_comparison(compare_tables({0: table(0), 1: idle}))
    )
    assert format_ranges([0, 1, 2, 5, 7, 8]) == "0-2, 5, 7-8"
