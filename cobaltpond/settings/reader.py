"""Evaluates a Starlark settings file whose calls declare sections. Every error names the file, the line
and what was expected.
"""

import re
from collections.abc import Callable

import msgspec
import starlark

# How often a call may stand in the file.
ANY_NUMBER, AT_MOST_ONE, EXACTLY_ONE = "many", "one", "needed"


class SettingsError(Exception):
    """The settings file is not valid; the text says where and why."""


def microseconds(factor: int) -> Callable[[float], int]:
    """Returns a function that converts an amount of a unit to whole microseconds; `factor` is the unit in
    microseconds.
    """
    return lambda amount: round(amount * factor)


class DeclarationReader:
    """Evaluates one file and collects the sections that its calls declare."""

    def __init__(self, declarations: dict[str, tuple[type, str]], functions: dict | None = None):
        """`declarations` maps the name of a call to (section type, ANY_NUMBER | AT_MOST_ONE |
        EXACTLY_ONE); `functions` maps the names of further functions of the file to callables that
        return plain values.
        """
        self.declarations = declarations
        self.functions = functions or {}
        self.calls = {name: [] for name in declarations}

    def make_callable(self, name: str):
        """Returns the function behind a call of the file. It validates the keywords and records the
        section; it raises ValueError with a text for the operator, which Starlark reports with the
        line.
        """
        section_type, multiplicity = self.declarations[name]

        def call(**fields):
            try:
                section = msgspec.convert(fields, section_type)
            except msgspec.ValidationError as error:
                raise ValueError(self.describe_validation_error(name, str(error), fields)) from None
            if multiplicity != ANY_NUMBER and self.calls[name]:
                raise ValueError(f"{name}: only one such call")
            if error := section.validation_error(self.calls):
                raise ValueError(f"{name}: {error}")
            self.calls[name].append(section)

        return call

    @staticmethod
    def describe_validation_error(name: str, text: str, fields: dict) -> str:
        """Rewrites a message of msgspec in terms of the settings file: call, field, what was expected, and
        the value.
        """
        path_match = re.search(r" - at `\$\.([^`]+)`", text)
        if path_match:
            field_path = path_match[1]
            value = fields.get(field_path.split("[")[0])
            hint = ", a time: write ms(...) or s(...)" if ">= 1000" in text else ""
            return f"{name}: {field_path}: {text[:path_match.start()].replace('`', '')}{hint}, got {value!r}"
        return f"{name}: {text.replace('`', '').replace('Object ', '')}"

    def run(self, path: str, text: str) -> dict[str, list]:
        """Evaluates the text and returns the sections by the name of the call. Raises SettingsError."""
        module = starlark.Module()
        module.add_callable("ms", microseconds(1000))
        module.add_callable("s", microseconds(1_000_000))
        for name, function in self.functions.items():
            module.add_callable(name, function)
        for name in self.declarations:
            module.add_callable(name, self.make_callable(name))
        try:
            # The extended dialect allows loops and conditions at the top level, as operators expect.
            dialect = starlark.Dialect.extended()
            starlark.eval(
                module,
                starlark.parse(path, text, dialect),
                starlark.Globals.extended_by([starlark.LibraryExtension.Print]),
            )
        except starlark.StarlarkError as error:
            raise SettingsError(self.describe_starlark_error(path, str(error))) from None
        for name, (_, multiplicity) in self.declarations.items():
            if multiplicity == EXACTLY_ONE and not self.calls[name]:
                raise SettingsError(f"{path}: no call of {name}(...): exactly one is needed")
        return self.calls

    @staticmethod
    def describe_starlark_error(path: str, text: str) -> str:
        """Extracts `file:line: message` from the report of the interpreter; the line is `?` where it has
        none.
        """
        position = re.search(rf"--> *{re.escape(path)}:(\d+):", text)
        message = re.search(r"error: (.*)", text)
        description = (message[1] if message else text.strip().splitlines()[0]).removeprefix("ValueError: ")
        return f"{path}:{position[1] if position else '?'}: {description}"


def read_settings(path: str, text: str):
    """Reads the text of a settings file into `DeploymentSettings`; `path` serves for messages only. Raises
    SettingsError.
    """
    from cobaltpond.settings import sections
    from cobaltpond.settings.deployment import DeploymentSettings
    from cobaltpond.settings.limits import LIMIT_FUNCTIONS, LimitSettings

    calls = DeclarationReader(
        {
            "path_group": (sections.PathGroupSettings, ANY_NUMBER),
            "route": (sections.RouteSettings, ANY_NUMBER),
            "customer": (sections.CustomerSettings, ANY_NUMBER),
            "gateway": (sections.GatewaySettings, ANY_NUMBER),
            "release": (sections.ReleaseSettings, EXACTLY_ONE),
            "rules": (sections.RuleSettings, EXACTLY_ONE),
            "allow": (sections.PermissionSettings, AT_MOST_ONE),
            "reports": (sections.ReportSettings, AT_MOST_ONE),
            "prices": (sections.PriceSettings, AT_MOST_ONE),
            "door": (sections.FrontendSettings, AT_MOST_ONE),
            "instances": (sections.InstanceSettings, AT_MOST_ONE),
            "listing": (sections.InstanceListSettings, EXACTLY_ONE),
            "desk": (sections.DeskSettings, EXACTLY_ONE),
            "builds": (sections.BuildSettings, AT_MOST_ONE),
            "host": (sections.HostSettings, ANY_NUMBER),
            "members": (sections.MembershipSettings, AT_MOST_ONE),
            "recovery": (sections.RecoverySettings, AT_MOST_ONE),
            "limit": (LimitSettings, ANY_NUMBER),
        },
        LIMIT_FUNCTIONS,
    ).run(path, text)
    if calls["host"] and not calls["builds"]:
        raise SettingsError(f"{path}: host(...) needs a call of builds(...): where builds come from")
    for name in ("path_group", "route", "gateway"):
        if not calls[name]:
            raise SettingsError(f"{path}: no call of {name}(...): at least one is needed")

    def single_section(name, section_type):
        return calls[name][0] if calls[name] else section_type()

    return DeploymentSettings(
        path_groups=tuple(calls["path_group"]),
        routes=tuple(calls["route"]),
        customers=tuple(calls["customer"]),
        gateways=tuple(calls["gateway"]),
        release=calls["release"][0],
        rules=calls["rules"][0],
        allow=single_section("allow", sections.PermissionSettings),
        reports=single_section("reports", sections.ReportSettings),
        prices=single_section("prices", sections.PriceSettings),
        door=single_section("door", sections.FrontendSettings),
        instances=single_section("instances", sections.InstanceSettings),
        listing=calls["listing"][0],
        desk=calls["desk"][0],
        builds=calls["builds"][0] if calls["builds"] else None,
        hosts=tuple(calls["host"]),
        members=calls["members"][0] if calls["members"] else None,
        recovery=calls["recovery"][0] if calls["recovery"] else None,
        limits=tuple(calls["limit"]),
    )
