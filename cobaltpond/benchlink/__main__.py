"""python -m cobaltpond.benchlink: batches of events in, one reply a batch out."""

import sys

from cobaltpond.benchlink.adapter import WireError, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as trouble:
        sys.exit(f"benchlink: {trouble}")
