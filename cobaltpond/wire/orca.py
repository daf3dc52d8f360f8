"""Load reports in the `endpoint-load-metrics` header (ORCA, xds.data.orca.v3; TEXT and JSON forms)."""

import json

NAMES = {"cpu_utilization": "util", "rps_fractional": "qps", "eps": "eps"}
HEADER = b"endpoint-load-metrics"
MOST = 32


def parse_load_report(value: bytes | None) -> dict[str, float]:
    """Name to value; unknown forms and odd numbers give nothing: a report is a hint, never a reason to fail.

    `TEXT cpu_utilization=0.3, named_metrics.inflight=4` or `JSON {"named_metrics": {"inflight": 4}}`.
    """
    form, _, rest = (value or b"").decode("latin-1").strip().partition(" ")
    found = {}
    if form == "TEXT":
        for pair in rest.split(",")[:MOST]:
            name, _, number = pair.strip().partition("=")
            found[name] = number
    elif form == "JSON":
        try:
            whole = json.loads(rest)
            for name, number in whole.items():
                if isinstance(number, dict):
                    found.update((f"{name}.{inner}", x) for inner, x in number.items())
                else:
                    found[name] = number
        except (ValueError, AttributeError):
            return {}
    report = {}
    for name, number in list(found.items())[:MOST]:
        try:
            number = float(number)
        except (TypeError, ValueError):
            continue
        if 0 <= number < 1e12:
            report[NAMES.get(name) or name.removeprefix("named_metrics.")] = number
    return report


def format_load_report(report: dict[str, float]) -> bytes:
    other = {short: long for long, short in NAMES.items()}
    pairs = [f"{other.get(name, 'named_metrics.' + name)}={number:g}" for name, number in report.items()]
    return ("TEXT " + ", ".join(pairs)).encode()
