"""Runs the adapter on standard input and output: `python -m cobaltpond.benchlink`."""

import sys

from cobaltpond.benchlink.adapter import WireError, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        sys.exit(f"benchlink: {error}")
