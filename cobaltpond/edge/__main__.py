"""Runs one gateway in the foreground: `python -m cobaltpond.edge`.

The environment variable EDGE_CONFIG names the configuration file.
"""

import sys

from cobaltpond.edge.config import ConfigError, read_config
from cobaltpond.edge.log import Log
from cobaltpond.edge.main import run_edge
from cobaltpond.loop import EpollKernel, UnreachableError


def main() -> int:
    """Returns the exit code: 2 where the configuration is unusable or its address can't be bound, else 0."""
    kernel = EpollKernel()
    path = kernel.environment_variable("EDGE_CONFIG")
    if not path:
        print("cobaltpond: EDGE_CONFIG names no file", file=sys.stderr)
        return 2
    try:
        config = read_config(kernel, path)
    except ConfigError as error:
        print(f"cobaltpond: {error}", file=sys.stderr)
        return 2
    try:
        run_edge(kernel, path, config, Log(sys.stderr, config.name, kernel.wall_clock))
    except UnreachableError as error:
        print(f"cobaltpond: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
