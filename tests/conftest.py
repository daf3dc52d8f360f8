"""Fixtures that several test files share."""

import pytest
from pgworld import PgWorld


@pytest.fixture(params=["sockets", "virtual"])
def each_kernel(request, monkeypatch):
    """Runs the test on real sockets and on the virtual kernel, where the order of events is deterministic."""
    monkeypatch.setattr(PgWorld, "virtual", request.param == "virtual")
