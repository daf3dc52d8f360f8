#!/bin/sh
# The stand-ins of cases 6 to 10 are Python and need the standard library alone: this checks that they can be loaded
# by the interpreter that the deploy file's build has left in .venv.
set -e
cd "$(dirname "$0")"
for file in rig2.py settings2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    ../.venv/bin/python -B -c 'import sys, tomllib; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
