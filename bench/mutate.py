"""Mutation of the decisions: what share of small breaks in the module is noticed, and by what.

    .venv/bin/pip install -r bench/requirements.txt
    .venv/bin/python bench/mutate.py [--mutants 120] [--seeds 12] [--jobs 8] [--tests-of COMMIT]

Mutants are made by cosmic-ray's operators; a seeded sample of them is tried: first the module's own tests,
then drawn days of the simulation. --tests-of takes tests/ of another commit, and no simulation: what was
noticed before.
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
PARTS = [
    os.path.join("cobaltpond", "decisions", f"{name}.py")
    for name in ("rules", "choosing", "judging", "voting")
]


def positions(code):
    """(operator's name, occurrence) of every mutant; nothing is made yet."""
    nodes, found = list(ast_nodes(get_ast(code))), []
    for name in sorted(plugins.operator_names()):
        if "Number" in name:  # tuned figures: the bench judges them, not the rules
            continue
        try:
            operator = plugins.get_operator(name)()
        except TypeError:  # one that wants arguments of its own
            continue
        count = sum(1 for node in nodes for _ in operator.mutation_positions(node))
        found += [(name, n) for n in range(count)]
    return found


def made(code, part, name, occurrence):
    """(operator, line, text, file)."""
    text = mutate_code(code, plugins.get_operator(name)(), occurrence)
    pairs = zip(code.splitlines(), text.splitlines(), strict=False)
    return name.partition("/")[2], next((n for n, (a, b) in enumerate(pairs, 1) if a != b), 0), text, part


def noticed(mutant, seeds, tests_of):
    """By what a mutant is noticed, or survived."""
    _, _, text, part = mutant
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
        with open(os.path.join(folder, part), "w") as file:
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
        for what, words in runs:
            try:
                done = subprocess.run(words, cwd=folder, capture_output=True, timeout=240)
            except subprocess.TimeoutExpired:
                return f"{what} (time)"
            if done.returncode:
                return what
        return "survived"
    finally:
        shutil.rmtree(folder)


def main():
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--mutants", type=int, default=120)
    words.add_argument("--seeds", type=int, default=12)
    words.add_argument("--jobs", type=int, default=os.cpu_count())
    words.add_argument("--tests-of", default="")
    words = words.parse_args()
    codes = {}
    for part in PARTS:
        with open(os.path.join(ROOT, part)) as file:
            codes[part] = file.read()
    every = [(part, *one) for part, code in codes.items() for one in positions(code)]
    chosen = [
        made(codes[one[0]], *one) for one in random.Random(1).sample(every, min(words.mutants, len(every)))
    ]
    counts = Counter()
    with ThreadPoolExecutor(words.jobs) as pool:
        results = pool.map(lambda m: noticed(m, words.seeds, words.tests_of), chosen)
        for (name, line, text, part), how in zip(chosen, results, strict=True):
            counts[how] += 1
            if how == "survived":
                before, after = (code.splitlines()[line - 1].strip() for code in (codes[part], text))
                print(f"{part}, line {line}: {name}\n  - {before}\n  + {after}", flush=True)
            if sum(counts.values()) % 10 == 0:
                print(f"{sum(counts.values())} tried: {dict(counts)}", flush=True)
    caught = sum(n for how, n in counts.items() if how != "survived")
    print(
        f"{len(every)} mutants, {len(chosen)} tried: {caught} noticed "
        f"({caught / len(chosen):.3f}): {dict(counts)}"
    )


if __name__ == "__main__":
    main()
