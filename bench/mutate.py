"""Mutation test of the decisions: which share of the mutants is detected, and by which run.

    .venv/bin/pip install -r bench/requirements.txt
    .venv/bin/python bench/mutate.py [--mutants 120] [--seeds 12] [--jobs 8] [--tests-of COMMIT]

cosmic-ray's operators make the mutants. A seeded sample of them is run against the tests of the decisions
first and then against drawn scenarios of the simulation. With --tests-of the tests/ folder of another commit
is run and no simulation; this gives the earlier detection rate.
"""

import argparse
import io
import os
import random
import shutil
import subprocess
import sys
import tarfile
import tempfile
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from cosmic_ray import plugins
from cosmic_ray.ast import ast_nodes, get_ast
from cosmic_ray.mutating import mutate_code

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MUTATED_FILES = [
    os.path.join("cobaltpond", "decisions", f"{name}.py")
    for name in ("rules", "choosing", "judging", "voting")
]


def mutation_positions(code):
    """Returns (operator name, occurrence) of every mutant without creating it."""
    nodes, found = list(ast_nodes(get_ast(code))), []
    for name in sorted(plugins.operator_names()):
        if "Number" in name:  # tuned numbers are judged by the benchmark, not by the rule tests
            continue
        try:
            operator = plugins.get_operator(name)()
        except TypeError:  # the operator needs arguments
            continue
        count = sum(1 for node in nodes for _ in operator.mutation_positions(node))
        found += [(name, n) for n in range(count)]
    return found


def make_mutant(code, path, name, occurrence):
    """Returns (operator, first changed line, mutated source, path of the file)."""
    text = mutate_code(code, plugins.get_operator(name)(), occurrence)
    pairs = zip(code.splitlines(), text.splitlines(), strict=False)
    return name.partition("/")[2], next((n for n, (a, b) in enumerate(pairs, 1) if a != b), 0), text, path


def run_mutant(mutant, seeds, tests_of):
    """Returns the name of the run that detects a mutant, or "survived"."""
    _, _, text, path = mutant
    folder = tempfile.mkdtemp(prefix="cobaltpond-mutant-")
    try:
        shutil.copytree(os.path.join(ROOT, "cobaltpond"), os.path.join(folder, "cobaltpond"))
        if tests_of:
            done = subprocess.run(
                ["git", "archive", tests_of, "tests"], cwd=ROOT, capture_output=True, check=True
            )
            tarfile.open(fileobj=io.BytesIO(done.stdout)).extractall(folder, filter="data")
        else:
            shutil.copytree(os.path.join(ROOT, "tests"), os.path.join(folder, "tests"))
        shutil.copy(os.path.join(ROOT, "pyproject.toml"), folder)
        with open(os.path.join(folder, path), "w") as file:
            file.write(text)
        pytest = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", "tests/test_rules.py"]
        runs = [("tests", pytest)]
        if not tests_of:
            runs.append(
                (
                    "simulation",
                    [
                        sys.executable,
                        "-m",
                        "cobaltpond",
                        "sim",
                        "run",
                        "--seeds",
                        f"0..{seeds - 1}",
                        "--jobs",
                        "1",
                        "--quiet",
                        "--first",
                    ],
                )
            )
        for run_name, command in runs:
            try:
                done = subprocess.run(command, cwd=folder, capture_output=True, timeout=240)
            except subprocess.TimeoutExpired:
                return f"{run_name} (time)"
            if done.returncode:
                return run_name
        return "survived"
    finally:
        shutil.rmtree(folder)


def main():
    """Runs the sampled mutants and prints the survivors and the counts."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--mutants", type=int, default=120)
    parser.add_argument("--seeds", type=int, default=12)
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("--tests-of", default="")
    options = parser.parse_args()
    codes = {}
    for path in MUTATED_FILES:
        with open(os.path.join(ROOT, path)) as file:
            codes[path] = file.read()
    positions = [(path, *position) for path, code in codes.items() for position in mutation_positions(code)]
    chosen = [
        make_mutant(codes[position[0]], *position)
        for position in random.Random(1).sample(positions, min(options.mutants, len(positions)))
    ]
    counts = Counter()
    with ThreadPoolExecutor(options.jobs) as pool:
        results = pool.map(lambda mutant: run_mutant(mutant, options.seeds, options.tests_of), chosen)
        for (name, line, text, path), result in zip(chosen, results, strict=True):
            counts[result] += 1
            if result == "survived":
                before, after = (code.splitlines()[line - 1].strip() for code in (codes[path], text))
                print(f"{path}, line {line}: {name}\n  - {before}\n  + {after}", flush=True)
            if sum(counts.values()) % 10 == 0:
                print(f"{sum(counts.values())} tried: {dict(counts)}", flush=True)
    detected = sum(n for result, n in counts.items() if result != "survived")
    print(
        f"{len(positions)} mutants, {len(chosen)} tried: {detected} detected "
        f"({detected / len(chosen):.3f}): {dict(counts)}"
    )


if __name__ == "__main__":
    main()
