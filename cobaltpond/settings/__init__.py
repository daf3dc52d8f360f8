"""The settings of a deployment: a Starlark file, read into checked, frozen values."""

from cobaltpond.settings.deployment import Sheet
from cobaltpond.settings.reader import BadSheet, read_sheet

__all__ = ["BadSheet", "Sheet", "read_sheet"]
