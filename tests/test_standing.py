"""The standing record: a line a day, once, and clear words for what is no record."""

import pytest

from bench.standing import HEAD, NoRecord, enter

DAY = {
    "name": "calm+mass",
    "seed": 7,
    "served": 0.9,
    "served_least": 0.8,
    "G": 0.85,
    "score": 0.5,
    "fault": None,
    "rules": {"lost": 0, "drain": 0},
    "signature": {"refused_share": 0.04},
}
RECORD = {"id": "abcd1234", "at": ["2026-12-01T20:00:00Z", ""], "head": "5c90de4aaaa", "days": [DAY]}


def test_each_day_gets_a_line_and_no_record_is_entered_twice():
    priced = {
        **DAY,
        "name": "herd+mass",
        "G": 0.4,
        "fault": "node n0 crashed",
        "rules": {"lost": 2},
        "signature": {"good_builds_sent_back": 1.0, "probes_per_try": 1.9},
    }
    page = enter("", {**RECORD, "days": [DAY, priced]})
    calm, herd = page.removeprefix(HEAD).splitlines()
    assert calm == (
        "| 2026-12-01 | 5c90de4, abcd1234 | calm+mass | 7 | 0.900 | 0.800 | 0.50 | kept "
        "| not served 0.100, of it refused 0.040 |"
    )
    assert "| lost 2, node n0 crashed |" in herd
    assert herd.endswith("| prices and worst parts 0.500, a good build sent back, 1.90 probes a hit |")
    assert enter(page, RECORD) == page
    assert len(enter(page, {**RECORD, "id": "other"}).splitlines()) == len(page.splitlines()) + 1


@pytest.mark.parametrize(
    "record",
    [{}, {"days": []}, {**RECORD, "days": []}, {**RECORD, "days": [{"name": "calm"}]}, {**RECORD, "days": 3}],
)
def test_what_is_no_score_is_refused_in_words(record):
    with pytest.raises(NoRecord):
        enter("", record)
