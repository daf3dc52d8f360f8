"""Load reports in the `endpoint-load-metrics` header (ORCA, xds.data.orca.v3; TEXT and JSON forms)."""

import json

SHORT_NAMES = {"cpu_utilization": "util", "rps_fractional": "qps", "eps": "eps"}
HEADER = b"endpoint-load-metrics"
MAX_METRICS = 32


def parse_load_report(value: bytes | None) -> dict[str, float]:
    """Parses a report into name -> value; None or an unknown form gives an empty map.

    Invalid numbers are skipped: a report is a hint, never a reason to fail. Both forms are understood: `TEXT
    cpu_utilization=0.3, named_metrics.inflight=4` and `JSON {"named_metrics": {"inflight": 4}}`.
    """
    form, _, rest = (value or b"").decode("latin-1").strip().partition(" ")
    raw_values = {}
    if form == "TEXT":
        for pair in rest.split(",")[:MAX_METRICS]:
            name, _, number = pair.strip().partition("=")
            raw_values[name] = number
    elif form == "JSON":
        try:
            document = json.loads(rest)
            for name, number in document.items():
                if isinstance(number, dict):
                    raw_values.update((f"{name}.{inner}", x) for inner, x in number.items())
                else:
                    raw_values[name] = number
        except (ValueError, AttributeError):
            return {}
    report = {}
    for name, number in list(raw_values.items())[:MAX_METRICS]:
        try:
            number = float(number)
        except (TypeError, ValueError):
            continue
        if 0 <= number < 1e12:
            report[SHORT_NAMES.get(name) or name.removeprefix("named_metrics.")] = number
    return report


def format_load_report(report: dict[str, float]) -> bytes:
    """Formats a report in the TEXT form."""
    orca_names = {short: long for long, short in SHORT_NAMES.items()}
    pairs = [f"{orca_names.get(name, 'named_metrics.' + name)}={number:g}" for name, number in report.items()]
    return ("TEXT " + ", ".join(pairs)).encode()
