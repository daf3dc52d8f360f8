"""Tests of the membership table, the datagrams, gossip, trial evidence and the comparison of tables."""

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
FAST = ProbeSettings(200_000, 60_000)


# --- state transitions --------------------------------------------------------------------------------------


def test_failed_member_returns_only_with_a_newer_incarnation_or_start():
    """A stale report must not revive a failed member, and facts of its previous start must not survive."""
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


def test_left_member_stays_left_until_a_newer_start():
    """A late report of failure or life must not override an orderly leave."""
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
def test_row_order_does_not_change_the_resulting_table(rows, random_source):
    """Gateways that receive the same rows in another order would otherwise disagree for good."""
    rank = {ALIVE: 0, SUSPECT: 1, FAILED: 2, LEFT: 3}
    expected = {}  # Of all reports the greatest (start, incarnation, rank) wins.
    for number, start, incarnation, state, _ in rows:
        expected[number] = max(expected.get(number, (0, 0, -1)), (start, incarnation, rank[state]))
    for _ in range(2):
        view = View(0, dict.fromkeys(range(5), "a"), ProbeSettings(), RandomSource(1), 50, 0)
        for row in rows:
            view.apply_row(10, *row)
        assert {
            n: (m.start, m.incarnation, rank[m.state]) for n, m in view.members.items() if m.state != UNHEARD
        } == expected
        recomputed = 0
        for n in view.zones:
            recomputed ^= view.row_digest(n)
        assert view.table_digest == recomputed  # The digest is updated incrementally.
        random_source.shuffle(rows)


def test_transition_table_covers_every_reportable_state():
    """A report that the table lacks would raise RuntimeError in the gateway that receives it."""
    for state, transitions in NEXT_STATE.items():
        assert set(CAUSE_OF_STATE.values()) <= set(transitions), state


# --- datagrams ----------------------------------------------------------------------------------------------


def make_views(zones="ab", settings=FAST):
    names = {n: zones[n % len(zones)] for n in range(4)}
    return [View(n, names, settings, RandomSource(n + 1), 1000 + n, 0) for n in range(4)]


def encode_ping(view, receiver=1, kind=wire.PING):
    view.send(kind, receiver, 77)
    return view.outbox.pop()[1]


def test_datagrams_stay_within_the_size_limit_in_a_large_cluster():
    """The platform limits datagrams to 256 bytes; 400 members have more rows to send than fit in."""
    zones = {n: "a" for n in range(400)}
    view = View(0, zones, ProbeSettings(), RandomSource(1), 9, 0)
    for n in range(1, 400):
        view.apply_row(1, n, 5, 0, ALIVE if n % 3 else SUSPECT, n)
    view.news, view.drains = (7, 1, 0, 0.4, 3_000_000), list(range(20))
    for kind in (wire.PING, wire.INDIRECT_PING):
        view.send(kind, 3, 1, subject=5, differs=True)
    sizes = [len(data) for _, data in view.outbox]
    assert max(sizes) <= 250 and min(sizes) > 200
    other = View(3, zones, ProbeSettings(), RandomSource(1), 9, 0)
    heard = []
    other.on_gossip = lambda member, news, drains: heard.append((member.number, news, drains))
    other.receive_datagram(5, 0, view.outbox[0][1])
    assert heard == [(0, (7, 1, 0, pytest.approx(0.4, abs=1e-4), 3_000_000), list(range(wire.MAX_DRAINS)))]
    assert sum(m.state != UNHEARD for m in other.members.values()) >= 5


@pytest.mark.parametrize(
    "corrupt, reason",
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
def test_corrupt_datagram_is_rejected_without_effect(corrupt, reason):
    first, second = make_views()[:2]
    with pytest.raises(wire.DatagramError, match=reason):
        second.receive_datagram(5, 0, corrupt(encode_ping(first)))
    assert all(m.state == UNHEARD for m in second.members.values()) and not second.outbox


def test_datagram_with_wrong_sender_or_receiver_is_rejected():
    """An address may have passed from one gateway to another."""
    first, second, third, _ = make_views()
    with pytest.raises(wire.DatagramError, match="checksum"):
        second.receive_datagram(5, 2, encode_ping(first))  # The sender is given as the third member.
    with pytest.raises(wire.DatagramError, match="receiver"):
        third.receive_datagram(5, 0, encode_ping(first))
    with pytest.raises(wire.DatagramError, match="stranger"):
        second.receive_datagram(5, 9, encode_ping(first))


def test_unknown_fields_are_skipped_and_longers_read_in_part():
    """During an upgrade, gateways of a newer minor version send fields that this version does not know."""
    first, second = make_views()[:2]
    first.self_description["out"] = 41
    fields = wire.encode_facts({**first.self_description, "start": 1000, "incarnation": 0, "state": 1})
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
    for n, received in enumerate((data, newer)):
        second.receive_datagram(5 + n, 0, received)
    assert second.members[0].state == ALIVE and second.members[0].facts["out"] == 41
    assert len(second.outbox) == 2  # Both were answered.


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 250), st.integers(0, 255))
def test_decoder_raises_only_datagram_errors(noise, at, byte):
    """Any other exception on random or damaged bytes would end the receiving task."""
    first, second = make_views()[:2]
    valid = encode_ping(first)
    at %= len(valid)
    for data in (
        noise,
        valid[:at] + bytes([byte]) + valid[at + 1 :],
        valid[:at],
        valid + noise,
        wire.encode_datagram(wire.PING, 0, 1, 1, 1, noise[:200]),
    ):
        try:
            second.receive_datagram(5, 0, data)
        except wire.DatagramError:
            pass
    assert len(second.members) == 3


def test_replayed_or_reordered_datagram_does_not_replace_newer_facts():
    """A datagram of a previous start is ignored as a whole and not answered."""
    first, second = make_views()[:2]
    first.self_description["out"] = 1
    older = encode_ping(first)
    first.self_description["out"] = 2
    second.receive_datagram(5, 0, encode_ping(first))
    second.receive_datagram(6, 0, older)
    assert second.members[0].facts["out"] == 2 and second.counts["old"] == 1
    second.apply_row(7, 0, 2000, 0, ALIVE, 3)  # A newer start is known by now.
    second.outbox.clear()
    second.receive_datagram(8, 0, encode_ping(first))
    assert second.members[0].start == 2000 and not second.outbox


def test_datagrams_of_one_sender_are_limited_per_period():
    """Without the limit a flood from one sender would take the CPU time of all others."""
    first, second = make_views()[:2]
    data = encode_ping(first)
    for _ in range(1000):
        second.receive_datagram(5, 0, data)
    assert (
        second.counts["heard"] == MAX_DATAGRAMS_PER_PERIOD
        and len(second.outbox) <= MAX_DATAGRAMS_PER_PERIOD
        and second.counts["flood"] > 900
    )
    second.receive_datagram(5 + second.probe_settings.period, 0, data)
    assert second.counts["heard"] == MAX_DATAGRAMS_PER_PERIOD + 1


def test_unanswered_probe_of_a_previous_start_raises_no_suspicion():
    """A member killed while probed, and back before the ack timeout, was suspected: found by a transcript."""
    first, _ = make_views()[:2]
    first.apply_row(0, 1, 1001, 0, ALIVE, 1)
    first.begin_probe(10)
    assert first.probe.member.number == 1
    first.apply_row(20, 1, 2001, 0, ALIVE, 1)
    first.end_probe(first.probe.end_at)
    assert first.members[1].state == ALIVE and first.counts["probes failed"] == 0


# --- gossip and trial evidence ------------------------------------------------------------------------------


def make_gossip():
    posted = []
    gossip = Gossip(lambda *what: posted.append(what))
    member = Member(4, "a", 0)
    change_state(member, HEARD, 0, 4, 1, 0)
    member.facts = {"revision": 9}
    return gossip, member, posted


TRIAL, RELEASED, GOING_BACK, WITHDRAWN = 0, 1, 2, 3


@pytest.mark.parametrize(
    "own, gossiped, is_accepted",
    [
        ((7, 1, "trial", 0.5), (7, 1, GOING_BACK, 0.0), True),
        ((7, 1, "released", 1.0), (7, 1, WITHDRAWN, 0.0), True),
        ((7, 1, "trial", 0.5), (8, 0, GOING_BACK, 0.0), True),
        ((7, 1, "trial", 0.5), (7, 1, TRIAL, 0.2), True),
        ((7, 1, "trial", 0.5), (7, 0, TRIAL, 0.2), False),  # The reporting member is behind.
        ((7, 1, "trial", 0.5), (6, 1, GOING_BACK, 0.0), False),
        ((7, 1, "trial", 0.5), (7, 1, RELEASED, 1.0), False),
        ((7, 1, "trial", 0.5), (7, 2, TRIAL, 1.0), False),
        ((7, 1, "trial", 0.5), (8, 0, TRIAL, 1.0), False),
        ((7, 1, "withdrawn", 0.0), (7, 1, GOING_BACK, 0.0), False),
        ((7, 1, "trial", 0.5), (7, 1, 9, 0.0), False),
    ],
)
def test_gossip_only_restricts_traffic(own, gossiped, is_accepted):
    """Late or wrong gossip must never open a build, a stage or a cap."""
    gossip, member, posted = make_gossip()
    gossip.update_release(100, *own, 50)
    posted.clear()
    gossip.receive(100, member, (*gossiped, 10), [])
    assert posted == ([("on_build_blocked", gossiped[0])] if is_accepted else [])


def test_own_desk_overrules_gossip_and_it_is_not_accepted_again():
    """Members that lag behind would otherwise close a build again that our own desk has opened."""
    gossip, member, posted = make_gossip()
    gossip.update_release(100, 7, 1, "trial", 0.5, 50)
    gossip.receive(200, member, (7, 1, GOING_BACK, 0.0, 10), [])
    assert gossip.outgoing(300)[0] == (7, 1, GOING_BACK, 0.0, 110)  # It is passed on with its age.
    gossip.update_release(400, 7, 1, "trial", 0.5, 350)
    gossip.receive(500, member, (7, 1, GOING_BACK, 0.0, 310), [])
    assert posted == [("on_build_blocked", 7), ("on_build_blocked", None)]
    assert gossip.outgoing(500)[0][2] == TRIAL


def test_drains_are_accepted_from_newer_lists_only_and_gossiped_for_a_while():
    """Drains of an older list would take instances out of use that are up again."""
    gossip, member, posted = make_gossip()
    gossip.set_draining(0, 9, [5])
    gossip.receive(1, member, None, [11])
    assert posted == []  # That list is as old as ours.
    member.facts["revision"] = 10
    gossip.receive(2, member, None, [11])
    assert posted == [("on_drains", [11])]
    gossip.set_draining(3, 11, [5, 6])
    assert gossip.outgoing(4)[1] == [6, 5] and gossip.outgoing(5_000_002)[1] == [6]


def test_rendezvous_weights_replace_only_the_judge_that_is_gone():
    """The next in rank replaces a judge that is gone, the other judge stays, and places are spread evenly."""
    members = list(range(50))

    def judges(build, living):
        return sorted(living, key=lambda n: -rendezvous_weight(build, n))[:2]

    times = {n: 0 for n in members}
    for build in range(2000):
        before = judges(build, members)
        after = judges(build, [n for n in members if n != before[0]])
        assert after[0] == before[1] and after[1] not in before
        for n in before:
            times[n] += 1
    assert min(times.values()) > 40 and max(times.values()) < 130  # The mean is 80.


def test_trial_counts_are_requested_from_two_members_and_never_added_up():
    """Both members may have counted the same hits; a sum would make the evidence look stronger than it is."""
    posted = []
    evidence = TrialEvidence(1000, lambda *what: posted.append(what), RandomSource(3), 500)
    evidence.update_release(600, 7, "trial", 50)  # The trial began after this gateway did.
    assert evidence.due_requests(600, [1, 2, 3, 4]) == []
    evidence.update_release(610, 8, "trial", 300)
    asked = evidence.due_requests(610, [1, 2, 3, 4])
    assert len(asked) == 2 and evidence.due_requests(620, [1, 2, 3, 4]) == []
    evidence.apply_response(9, [(8, "look", 100, 50, 0)])  # This member was not asked.
    assert posted == []
    evidence.apply_response(asked[0], [(8, "look", 100, 10, 500), (7, "look", 40, 0, 2000)])
    assert posted == [("on_platform_counts", 8, "look", 50, 5, 0, 500)]
    evidence.apply_response(asked[0], [(8, "look", 900, 90, 0)])  # Only its first answer counts.
    living = [n for n in (1, 2, 3, 4) if n != asked[1]]
    replacement = evidence.due_requests(610 + 500_000, living)  # A member that is gone is replaced.
    assert len(replacement) == 1 and replacement[0] not in asked
    evidence.apply_response(replacement[0], [(8, "look", 80, 6, 0)])  # The larger count wins.
    assert posted[1:] == [("on_platform_counts", 8, "look", 30, 1, 0, 0)]
    assert evidence.due_requests(10**9, living) == []


# --- comparison of tables -----------------------------------------------------------------------------------


def test_comparison_of_tables_names_differing_members_and_facts():
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

    comparison = compare_tables({0: table(0), 1: table(1), 2: table(2, m0=FAILED), 3: None})
    assert comparison["silent"] == [3] and comparison["apart"]["revision"] == {"3": [0, 1], "4": [2]}
    assert comparison["members"][0]["otherwise"] == {
        2: {"state": FAILED, "since_us": 2_000_000, "cause": "ran out", "by": 2}
    }
    text = "\n".join(format_comparison(comparison))
    assert "no answer from: 3" in text and "but failed at gateway 2 for 2.0 s (ran out by 2)" in text
    not_ready = table(1)
    not_ready["members"][1]["flags"] = 0  # It answers probes but takes no hits.
    assert "there, but not open for hits: 1" in "\n".join(
        format_comparison(compare_tables({0: table(0), 1: not_ready}))
    )
    assert format_ranges([0, 1, 2, 5, 7, 8]) == "0-2, 5, 7-8"
