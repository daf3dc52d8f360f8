"""Instance lists of a new epoch: which of their statements a gateway applies."""

import pytest

from cobaltpond.recovery.list_reconciliation import DOUBT_TIME_US, ListReconciler

S = 1_000_000


def list_row(id, state="up", start=1):
    return {"id": id, "state": state, "start": start, "build": 1}


CURRENT_ROWS = {f"i{n}": list_row(f"i{n}") for n in range(6)}


def test_an_empty_list_of_a_new_epoch_does_not_remove_answering_instances():
    reconciler = ListReconciler(lambda id, now: id != "i5")
    assert sorted(r["id"] for r in reconciler.filter_whole_list(0, CURRENT_ROWS, [])) == [
        "i0",
        "i1",
        "i2",
        "i3",
        "i4",
    ]
    reconciler.apply_change([list_row("i1", "draining")])
    assert reconciler.due_rows(S) == []
    reconciler.is_answering = lambda id, now: id not in ("i5", "i2")
    assert [(r["id"], r["state"]) for r in reconciler.due_rows(2 * S)] == [("i2", "gone")]
    assert [r["id"] for r in reconciler.due_rows(DOUBT_TIME_US)] == [
        "i0",
        "i3",
        "i4",
    ] and reconciler.due_rows(2 * DOUBT_TIME_US) == []


def test_a_list_that_lost_a_few_instances_is_applied():
    reconciler = ListReconciler(lambda id, now: True)
    rows = [list_row(f"i{n}") for n in range(4)]
    assert (
        reconciler.filter_whole_list(0, CURRENT_ROWS, rows) == rows
        and reconciler.due_rows(DOUBT_TIME_US) == []
    )


@pytest.mark.parametrize(
    "before, told, applied",
    [
        ("draining", "up", "draining"),
        ("gone", "up", "gone"),
        ("gone", "draining", "gone"),
        ("up", "draining", "draining"),
        ("draining", "gone", "gone"),
    ],
)
def test_a_stale_list_does_not_restore_a_drained_start(before, told, applied):
    reconciler = ListReconciler(lambda id, now: True)
    reconciler.record_rows([list_row("i0", before)])
    rows = [list_row("i0", told), *(list_row(f"i{n}") for n in range(1, 6))]
    assert reconciler.filter_whole_list(0, CURRENT_ROWS, rows)[0]["state"] == applied
    another = list_row("i0", "up", start=2)
    assert reconciler.filter_whole_list(0, CURRENT_ROWS, [another, *rows[1:]])[0] == another
