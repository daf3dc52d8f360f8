"""Evaluates a Starlark file whose calls build up parts; every fault names file, line and what was
expected."""

import re
from collections.abc import Callable

import msgspec
import starlark

MANY, ONE, NEEDED = "many", "one", "needed"


class BadSheet(Exception):
    """The file is no valid sheet; the text says where and why."""


def microseconds(factor: int) -> Callable[[float], int]:
    return lambda amount: round(amount * factor)


class Reader:
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
            if how != MANY and self.calls[name]:
                raise ValueError(f"{name}: only one such call")
            if trouble := part.wrong(self.calls):
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
            raise BadSheet(self.located(path, str(trouble))) from None
        for name, (_, how) in self.parts.items():
            if how == NEEDED and not self.calls[name]:
                raise BadSheet(f"{path}: no call of {name}(...): exactly one is needed")
        return self.calls

    @staticmethod
    def located(path: str, text: str) -> str:
        """`file:line: what`, out of the interpreter's report."""
        spot = re.search(rf"--> *{re.escape(path)}:(\d+):", text)
        said = re.search(r"error: (.*)", text)
        what = (said[1] if said else text.strip().splitlines()[0]).removeprefix("ValueError: ")
        return f"{path}:{spot[1] if spot else '?'}: {what}"


def read_sheet(path: str, text: str):
    """A `Sheet` from the text of a file. Raises BadSheet."""
    from cobaltpond.settings import sections as p
    from cobaltpond.settings.deployment import Sheet
    from cobaltpond.settings.limits import WORDS, Limit

    calls = Reader(
        {
            "path_group": (p.PathGroup, MANY),
            "route": (p.Route, MANY),
            "customer": (p.Customer, MANY),
            "gateway": (p.GatewayPlace, MANY),
            "release": (p.Release, NEEDED),
            "rules": (p.Rules, NEEDED),
            "allow": (p.Allow, ONE),
            "reports": (p.Reports, ONE),
            "prices": (p.Prices, ONE),
            "door": (p.Door, ONE),
            "instances": (p.Instances, ONE),
            "listing": (p.Listing, NEEDED),
            "desk": (p.DeskAddress, NEEDED),
            "builds": (p.Builds, ONE),
            "host": (p.Host, MANY),
            "members": (p.Membership, ONE),
            "recovery": (p.Recovery, ONE),
            "limit": (Limit, MANY),
        },
        WORDS,
    ).run(path, text)
    if calls["host"] and not calls["builds"]:
        raise BadSheet(f"{path}: host(...) needs a call of builds(...): where builds come from")
    for name in ("path_group", "route", "gateway"):
        if not calls[name]:
            raise BadSheet(f"{path}: no call of {name}(...): at least one is needed")

    def one(name, kind):
        return calls[name][0] if calls[name] else kind()

    return Sheet(
        path_groups=tuple(calls["path_group"]),
        routes=tuple(calls["route"]),
        customers=tuple(calls["customer"]),
        gateways=tuple(calls["gateway"]),
        release=calls["release"][0],
        rules=calls["rules"][0],
        allow=one("allow", p.Allow),
        reports=one("reports", p.Reports),
        prices=one("prices", p.Prices),
        door=one("door", p.Door),
        instances=one("instances", p.Instances),
        listing=calls["listing"][0],
        desk=calls["desk"][0],
        builds=calls["builds"][0] if calls["builds"] else None,
        hosts=tuple(calls["host"]),
        members=calls["members"][0] if calls["members"] else None,
        recovery=calls["recovery"][0] if calls["recovery"] else None,
        limits=tuple(calls["limit"]),
    )
