"""The shape of the project: files that can be read at a sitting, and a module that stays within its
bounds."""

import pathlib
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
MOST_LINES, POLICY_WIDTH = 400, 110


def test_no_file_is_longer_than_can_be_read_at_a_sitting():
    files = [
        path for folder in ("cobaltpond", "tests", "bench") for path in sorted((ROOT / folder).rglob("*.py"))
    ]
    lengths = {str(path.relative_to(ROOT)): len(path.read_text().splitlines()) for path in files}
    assert len(lengths) > 100 and {name: n for name, n in lengths.items() if n > MOST_LINES} == {}


def test_the_module_stands_whole_under_policy_and_within_its_bounds():
    names = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    lines = [line for name in names for line in (ROOT / name).read_text().splitlines() if line.strip()]
    assert max(map(len, lines)) <= POLICY_WIDTH
    helpers = {
        "__init__.py",
        "stats.py",
        "interface.py",
        "records.py",
        "sample_message.py",
    }  # hold no decision
    there = {path.name for path in (ROOT / "cobaltpond" / "decisions").glob("*.py")}
    assert there - helpers == {name.rpartition("/")[2] for name in names}
