"""The settings of a deployment: a Starlark file, read into checked, frozen values."""

from cobaltpond.sheet.parts import Sheet
from cobaltpond.sheet.read import BadSheet, read_sheet

__all__ = ["BadSheet", "Sheet", "read_sheet"]
