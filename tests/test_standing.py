"""Tests of the standing record: one line per day, no record twice, and a clear error for other files."""

import pytest

from bench.standing import HEAD, RecordError, append_record

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


def test_each_day_gets_one_line_and_a_record_is_added_only_once():
    """A second call with the same snapshot must not duplicate its rows; another snapshot adds its own."""
    priced = {
        **DAY,
        "name": "herd+mass",
        "G": 0.4,
        "fault": "node n0 crashed",
        "rules": {"lost": 2},
        "signature": {"good_builds_sent_back": 1.0, "probes_per_try": 1.9},
    }
    page = append_record("", {**RECORD, "days": [DAY, priced]})
    calm, herd = page.removeprefix(HEAD).splitlines()
    assert calm == (
        "| 2026-12-01 | 5c90de4, abcd1234 | calm+mass | 7 | 0.900 | 0.800 | 0.50 | kept "
        "| not served 0.100, of it refused 0.040 |"
    )
    assert "| lost 2, node n0 crashed |" in herd
    assert herd.endswith("| prices and worst parts 0.500, a good build sent back, 1.90 probes a hit |")
    assert append_record(page, RECORD) == page
    assert len(append_record(page, {**RECORD, "id": "other"}).splitlines()) == len(page.splitlines()) + 1


@pytest.mark.parametrize(
    "record",
    [{}, {"days": []}, {**RECORD, "days": []}, {**RECORD, "days": [{"name": "calm"}]}, {**RECORD, "days": 3}],
)
def test_a_file_without_a_score_raises_a_record_error(record):
    """A record with missing or malformed days must raise RecordError, not the error of a lookup."""
    with pytest.raises(RecordError):
        append_record("", record)
