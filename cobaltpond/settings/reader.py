"""Evaluates a Starlark file whose calls build up parts; every fault names file, line and what was
expected."""

import re
from collections.abc import Callable

import msgspec
import starlark

ANY_NUMBER, AT_MOST_ONE, EXACTLY_ONE = "many", "one", "needed"


class SettingsError(Exception):
    """The file is no valid sheet; the text says where and why."""


def microseconds(factor: int) -> Callable[[float], int]:
    return lambda amount: round(amount * factor)


class DeclarationReader:
    """Runs one file. `parts`: call name -> (record type, MANY | ONE | NEEDED)."""

    def __init__(self, parts: dict[str, tuple[type, str]], words: dict | None = None):
        """`words`: further functions of the file, name -> what gives a plain value."""
        self.parts, self.words, self.calls = parts, words or {}, {name: [] for name in parts}

    def called(self, name: str):
        kind, how = self.parts[name]

        def call(**fields):
            try:
                part = msgspec.convert(fields, kind)
            except msgspec.ValidationError as trouble:
                raise ValueError(self.plain(name, str(trouble), fields)) from None
            if how != ANY_NUMBER and self.calls[name]:
                raise ValueError(f"{name}: only one such call")
            if trouble := part.validation_error(self.calls):
                raise ValueError(f"{name}: {trouble}")
            self.calls[name].append(part)

        return call

    @staticmethod
    def plain(name: str, text: str, fields: dict) -> str:
        """msgspec's message in the words of the file."""
        where = re.search(r" - at `\$\.([^`]+)`", text)
        if where:
            at = where[1]
            value = fields.get(at.split("[")[0])
            hint = ", a time: write ms(...) or s(...)" if ">= 1000" in text else ""
            return f"{name}: {at}: {text[:where.start()].replace('`', '')}{hint}, got {value!r}"
        return f"{name}: {text.replace('`', '').replace('Object ', '')}"

    def run(self, path: str, text: str) -> dict[str, list]:
        module = starlark.Module()
        module.add_callable("ms", microseconds(1000))
        module.add_callable("s", microseconds(1_000_000))
        for name, word in self.words.items():
            module.add_callable(name, word)
        for name in self.parts:
            module.add_callable(name, self.called(name))
        try:
            # extended: loops and conditions at the top level, as operators expect of a settings file
            dialect = starlark.Dialect.extended()
            starlark.eval(
                module,
                starlark.parse(path, text, dialect),
                starlark.Globals.extended_by([starlark.LibraryExtension.Print]),
            )
        except starlark.StarlarkError as trouble:
            raise SettingsError(self.located(path, str(trouble))) from None
        for name, (_, how) in self.parts.items():
            if how == EXACTLY_ONE and not self.calls[name]:
                raise SettingsError(f"{path}: no call of {name}(...): exactly one is needed")
        return self.calls

    @staticmethod
    def located(path: str, text: str) -> str:
        """`file:line: what`, out of the interpreter's report."""
        spot = re.search(rf"--> *{re.escape(path)}:(\d+):", text)
        said = re.search(r"error: (.*)", text)
        what = (said[1] if said else text.strip().splitlines()[0]).removeprefix("ValueError: ")
        return f"{path}:{spot[1] if spot else '?'}: {what}"


def read_settings(path: str, text: str):
    """A `DeploymentSettings` from the text of a file. Raises SettingsError."""
    from cobaltpond.settings import sections as p
    from cobaltpond.settings.deployment import DeploymentSettings
    from cobaltpond.settings.limits import LIMIT_FUNCTIONS, LimitSettings

    calls = DeclarationReader(
        {
            "path_group": (p.PathGroupSettings, ANY_NUMBER),
            "route": (p.RouteSettings, ANY_NUMBER),
            "customer": (p.CustomerSettings, ANY_NUMBER),
            "gateway": (p.GatewaySettings, ANY_NUMBER),
            "release": (p.ReleaseSettings, EXACTLY_ONE),
            "rules": (p.RuleSettings, EXACTLY_ONE),
            "allow": (p.PermissionSettings, AT_MOST_ONE),
            "reports": (p.ReportSettings, AT_MOST_ONE),
            "prices": (p.PriceSettings, AT_MOST_ONE),
            "door": (p.FrontendSettings, AT_MOST_ONE),
            "instances": (p.InstanceSettings, AT_MOST_ONE),
            "listing": (p.InstanceListSettings, EXACTLY_ONE),
            "desk": (p.DeskSettings, EXACTLY_ONE),
            "builds": (p.BuildSettings, AT_MOST_ONE),
            "host": (p.HostSettings, ANY_NUMBER),
            "members": (p.MembershipSettings, AT_MOST_ONE),
            "recovery": (p.RecoverySettings, AT_MOST_ONE),
            "limit": (LimitSettings, ANY_NUMBER),
        },
        LIMIT_FUNCTIONS,
    ).run(path, text)
    if calls["host"] and not calls["builds"]:
        raise SettingsError(f"{path}: host(...) needs a call of builds(...): where builds come from")
    for name in ("path_group", "route", "gateway"):
        if not calls[name]:
            raise SettingsError(f"{path}: no call of {name}(...): at least one is needed")

    def one(name, kind):
        return calls[name][0] if calls[name] else kind()

    return DeploymentSettings(
        path_groups=tuple(calls["path_group"]),
        routes=tuple(calls["route"]),
        customers=tuple(calls["customer"]),
        gateways=tuple(calls["gateway"]),
        release=calls["release"][0],
        rules=calls["rules"][0],
        allow=one("allow", p.PermissionSettings),
        reports=one("reports", p.ReportSettings),
        prices=one("prices", p.PriceSettings),
        door=one("door", p.FrontendSettings),
        instances=one("instances", p.InstanceSettings),
        listing=calls["listing"][0],
        desk=calls["desk"][0],
        builds=calls["builds"][0] if calls["builds"] else None,
        hosts=tuple(calls["host"]),
        members=calls["members"][0] if calls["members"] else None,
        recovery=calls["recovery"][0] if calls["recovery"] else None,
        limits=tuple(calls["limit"]),
    )
