"""The settings of a deployment: a Starlark file, read into checked, frozen values."""

from cobaltpond.sheet.read import BadSheet, read_sheet
from cobaltpond.sheet.sheet import Sheet

__all__ = ["BadSheet", "Sheet", "read_sheet"]
