"""Tests that names which leave the process stand in docs/outer-names.txt.

A rename inside the package must not change a key of a stored document, a setting or a reported error.
"""

import importlib
import pathlib
import pkgutil

import msgspec

import cobaltpond

OUTER_NAMES_FILE = pathlib.Path(__file__).parent.parent / "docs" / "outer-names.txt"
MIN_STRUCT_CLASSES = 20
MIN_REPORTED_ERRORS = 16


def listed_names():
    return {line for line in OUTER_NAMES_FILE.read_text().splitlines() if line and "#" not in line}


def package_classes():
    """All classes that are defined in the modules of the package; `__main__` modules would run on import."""
    classes = set()
    for info in pkgutil.walk_packages(cobaltpond.__path__, "cobaltpond."):
        if info.name.endswith(".__main__"):
            continue
        module = importlib.import_module(info.name)
        classes |= {
            value
            for value in vars(module).values()
            if isinstance(value, type) and value.__module__ == info.name
        }
    return classes


def test_every_encoded_field_of_a_struct_is_a_listed_outer_name():
    """msgspec writes a field under its attribute's name unless the field has a name of its own."""
    listed = listed_names()
    structs = [each for each in package_classes() if issubclass(each, msgspec.Struct)]
    unlisted = {
        f"{each.__module__}.{each.__qualname__}.{name}"
        for each in structs
        for name in each.__struct_encode_fields__
        if name not in listed
    }
    assert len(structs) >= MIN_STRUCT_CLASSES
    assert unlisted == set()


def test_every_reported_error_name_is_a_listed_outer_name():
    """Agents' reports and RPC error bodies give an error by its `outer_name`."""
    listed = listed_names()
    errors = [
        each for each in package_classes() if issubclass(each, Exception) and hasattr(each, "outer_name")
    ]
    unlisted = {
        f"{each.__module__}.{each.__qualname__}: {each.outer_name}"
        for each in errors
        if each.outer_name not in listed
    }
    assert len(errors) >= MIN_REPORTED_ERRORS
    assert unlisted == set()
