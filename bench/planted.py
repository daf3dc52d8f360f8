"""Mutation testing: how many drawn scenarios the simulation needs to find each planted bug.

    .venv/bin/python bench/planted.py [--seeds 200] [--jobs 8] [NAME ...]

Each bug is a replacement of text in a copy of the package; the scenarios are those of
`cobaltpond sim run --seeds 0..N`.
"""

# ruff: noqa: E501
import argparse
import os
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# name: (file, source text, replacement), or a list of them
BUGS = {
    "kept key lowered by a late answer": (
        "decisions/rules.py",
        "max(\n"
        "                self.kept_keys.get(hit.key, forward.instance.build),\n"
        "                forward.instance.build,\n"
        "                key=lambda build: build.number,\n"
        "            )",
        "forward.instance.build",
    ),
    "door listens before it takes hits": (
        "gateway/main.py",
        "        self.list_follower.restore_kept_list()\n",
        "        self.list_follower.restore_kept_list()\n        early = loop.kernel.listen(split_address(self.gateway_settings.door), 512)\n",
    ),
    "agent goes on without its journal": ("agent/main.py", "if died is not None:", "if False:"),
    "no evict when handles are used up": [
        ("loop/streams.py", "yield Sleep(0 if evict() else pause)", "yield Sleep(pause)"),
        ("gateway/endpoints.py", "if not self.evict():", "if True:"),
    ],
    "held build asks for its key again": (
        "agent/actions.py",
        "        self.manifests[build] = read_stored_manifest(signed), signed\n",
        "        from cobaltpond.builds.manifest import KeyRing\n\n"
        "        self.manifests[build] = read_manifest(signed, KeyRing(9, []), 1, ordered=build), signed\n",
    ),
    "a lowered cap binds four graces late": (
        "decisions/voting.py",
        'now + self.settings.get("drain_grace", 0)',
        'now + 4 * self.settings.get("drain_grace", 0)',
    ),
    "drained instances stay in the list of those that are up": (
        "decisions/records.py",
        'if i.state == "up")',
        'if i.state != "gone")',
    ),
    "repeat window measured from the last forward": (
        "decisions/rules.py",
        "now - hit.risky.sent <",
        "now - hit.forwards[-1].sent <",
    ),
    "repeat window overshot by 100 ms": (
        "decisions/rules.py",
        "hit.group.repeat_window - self.tick",
        "hit.group.repeat_window + 100_000",
    ),
    "lost wake-up: an interrupted task is not made ready": (
        "loop/tasks.py",
        "            self.wake()\n            self.woken_normally = False",
        "            self.woken_normally = False",
    ),
    "an edge that comes while its reader is busy is lost": (
        "loop/streams.py",
        "        while (data := self.handle.recv(size)) is None:\n            yield Readable(self.handle)\n",
        "        yield Readable(self.handle)\n        while (data := self.handle.recv(size)) is None:\n"
        "            yield Readable(self.handle)\n",
    ),
    "double answer: the overdue timer runs on after the answer": [
        (
            "gateway/decision_host.py",
            '        if not hit.final:\n            self.counts["overdue"]',
            '        if True:\n            self.counts["overdue"]',
        ),
        (
            "gateway/frontend.py",
            "        if self.overdue is not None:\n            self.overdue.cancel()\n",
            "",
        ),
    ],
    "a forward goes on after its time is up": (
        "gateway/forwards.py",
        "with Deadline(self.loop, timeout):\n"
        "                    result_key = yield from attempt.run_until_commit()",
        "with Deadline(self.loop, 60 * timeout):\n"
        "                    result_key = yield from attempt.run_until_commit()",
    ),
    "cap of the stage before": (
        "decisions/voting.py",
        "        self.cap = cap\n",
        "        self.cap = max(cap, self.cap or 0)\n",
    ),
    "exposure counted over half the window": (
        "decisions/choosing.py",
        'now - self.settings["exposure_window"], group.counter_name',
        'now - self.settings["exposure_window"] // 2, group.counter_name',
    ),
    "a list change applied over a gap": (
        "gateway/instance_list.py",
        "raise ListGapError(\n"
        "                    f\"change to {message['epoch']}/{message['base']}, list at "
        '{self.epoch}/{self.revision}"\n'
        "                )",
        "pass",
    ),
    "mutating hits sent again": (
        "decisions/rules.py",
        'hit.group.kind == "tagged" and remembered',
        'hit.group.kind == "mutating" or remembered',
    ),
    "desk forgets votes over a restart": (
        "desk/stages.py",
        "int(n): Vote(b, s, verdict, at + moved)",
        'int(n): Vote(b, s, "none", at + moved)',
    ),
    "desk forgets a take-back over a restart": (
        "desk/service.py",
        "            self.stages.load(kept, self.loop.now())\n",
        '            self.stages.load({**kept, "phase": "trial" if kept["phase"] == "going back" else '
        'kept["phase"]}, self.loop.now())\n',
    ),
    "agent kills without a drain": (
        "agent/states.py",
        '"keep": (DRAINING, "list draining", "wait drained"),\n'
        '        "gone": (DRAINING, "list draining", "wait drained")',
        '"keep": (STOPPING, "kill"),\n        "gone": (STOPPING, "kill")',
    ),
    "agent starts a second process after a restart": (
        "agent/main.py",
        '            child = self.loop.kernel.adopt_process(row["mark"])\n',
        "            child = None\n",
    ),
    "connection given back with an answer on its way": (
        "gateway/forwards.py",
        'attempt.close(reuse=result_key in ("answer", "refusal", "server error"))\n            self.result_counts',
        "attempt.close(reuse=True)\n            self.result_counts",
    ),
    "a cancelled forward is not reset": (
        "gateway/endpoints.py",
        "connection.abort() if reset else connection.close()",
        "connection.close()",
    ),
    "stop does not wait for hits under way": (
        "gateway/frontend.py",
        "        while any(v.hit is not None and (not v.hit.final or v.hit.streaming) for v in "
        "self.clients):",
        "        while False:",
    ),
    "tokens of cold instances are not spent": (
        "decisions/rules.py",
        "instance.tokens -= 1",
        "instance.tokens -= 0",
    ),
}


def scenarios_until_found(name, seeds):
    """Return (number of scenarios, first finding), or (None, reason) where no scenario finds the bug."""
    changes = BUGS[name] if isinstance(BUGS[name], list) else [BUGS[name]]
    folder = tempfile.mkdtemp(prefix="cobaltpond-planted-")
    try:
        shutil.copytree(os.path.join(ROOT, "cobaltpond"), os.path.join(folder, "cobaltpond"))
        for file, original, replacement in changes:
            path = os.path.join(folder, "cobaltpond", file)
            with open(path) as source:
                text = source.read()
            if original not in text:
                return None, f"no such text in {file}"
            with open(path, "w") as target:
                target.write(text.replace(original, replacement))
        completed = subprocess.run(
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
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=1200,
        )
        found = re.match(r"seed (\d+): \d+ found, first: (.*)", completed.stdout)
        if found:
            return int(found[1]) + 1, found[2]
        return None, completed.stdout.strip() or completed.stderr[-200:]
    finally:
        shutil.rmtree(folder)


def main():
    """Print a table of the bugs and the number of scenarios until each is found."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("names", nargs="*")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    arguments = parser.parse_args()
    names = arguments.names or list(BUGS)
    print("| bug put in | days until found | first finding |\n| --- | --- | --- |")
    with ThreadPoolExecutor(arguments.jobs) as pool:
        for name, (count, finding) in zip(
            names, pool.map(lambda name: scenarios_until_found(name, arguments.seeds), names), strict=True
        ):
            finding = finding.replace("\n", " ")
            print(f"| {name} | {count or 'not found'} | {finding[:150]} |", flush=True)


if __name__ == "__main__":
    main()
