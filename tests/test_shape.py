"""Tests of the source layout: file length, line width, and the list of the decision modules."""

import pathlib
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
MAX_FILE_LINES, MAX_POLICY_WIDTH = 400, 110


def test_no_source_file_exceeds_the_line_limit():
    """Files over the limit must be split into modules with one job each."""
    files = [
        path for folder in ("cobaltpond", "tests", "bench") for path in sorted((ROOT / folder).rglob("*.py"))
    ]
    lengths = {str(path.relative_to(ROOT)): len(path.read_text().splitlines()) for path in files}
    assert len(lengths) > 100 and {name: n for name, n in lengths.items() if n > MAX_FILE_LINES} == {}


def test_policy_lists_every_decision_module_and_its_lines_keep_the_width_limit():
    """A decision module that `policy` in deploy/balancer.toml omits would be missing from the deployment."""
    names = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    lines = [line for name in names for line in (ROOT / name).read_text().splitlines() if line.strip()]
    assert max(map(len, lines)) <= MAX_POLICY_WIDTH
    # These modules decide nothing.
    helpers = {
        "__init__.py",
        "stats.py",
        "interface.py",
        "records.py",
        "sample_message.py",
    }
    present = {path.name for path in (ROOT / "cobaltpond" / "decisions").glob("*.py")}
    assert present - helpers == {name.rpartition("/")[2] for name in names}
