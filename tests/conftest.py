"""Fixtures that several test files share."""

import pytest
from pgworld import PgWorld


@pytest.fixture(params=["sockets", "virtual"])
def either(request, monkeypatch):
    """The same on the virtual kernel, where the order does not hang on what lies in a real socket."""
    monkeypatch.setattr(PgWorld, "virtual", request.param == "virtual")
