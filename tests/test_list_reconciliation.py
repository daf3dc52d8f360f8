"""Instance lists that begin anew: which of their statements a gateway obeys."""

import pytest

from cobaltpond.recovery.list_reconciliation import DOUBT_TIME_US, ListReconciler

S = 1_000_000


def listed(id, state="up", start=1):
    return {"id": id, "state": state, "start": start, "build": 1}


HELD = {f"i{n}": listed(f"i{n}") for n in range(6)}


def test_a_list_that_comes_back_empty_does_not_empty_a_fleet_that_answers():
    doubt = ListReconciler(lambda id, now: id != "i5")
    assert sorted(r["id"] for r in doubt.filter_whole_list(0, HELD, [])) == ["i0", "i1", "i2", "i3", "i4"]
    doubt.apply_change([listed("i1", "draining")])
    assert doubt.due_rows(S) == []
    doubt.is_answering = lambda id, now: id not in ("i5", "i2")
    assert [(r["id"], r["state"]) for r in doubt.due_rows(2 * S)] == [("i2", "gone")]
    assert [r["id"] for r in doubt.due_rows(DOUBT_TIME_US)] == ["i0", "i3", "i4"] and doubt.due_rows(
        2 * DOUBT_TIME_US
    ) == []


def test_a_list_that_lost_a_few_is_obeyed():
    doubt = ListReconciler(lambda id, now: True)
    rows = [listed(f"i{n}") for n in range(4)]
    assert doubt.filter_whole_list(0, HELD, rows) == rows and doubt.due_rows(DOUBT_TIME_US) == []


@pytest.mark.parametrize(
    "before, told, obeyed",
    [
        ("draining", "up", "draining"),
        ("gone", "up", "gone"),
        ("gone", "draining", "gone"),
        ("up", "draining", "draining"),
        ("draining", "gone", "gone"),
    ],
)
def test_an_older_list_brings_no_drained_start_back(before, told, obeyed):
    doubt = ListReconciler(lambda id, now: True)
    doubt.record_rows([listed("i0", before)])
    rows = [listed("i0", told), *(listed(f"i{n}") for n in range(1, 6))]
    assert doubt.filter_whole_list(0, HELD, rows)[0]["state"] == obeyed
    another = listed("i0", "up", start=2)
    assert doubt.filter_whole_list(0, HELD, [another, *rows[1:]])[0] == another
