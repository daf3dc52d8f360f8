"""python -m cobaltpond.edge: one gateway in the foreground. Exit code 2: the configuration is of no use."""

import sys

from cobaltpond.edge.config import ConfigError, read_config
from cobaltpond.edge.log import Log
from cobaltpond.edge.main import run_edge
from cobaltpond.loop import EpollKernel, UnreachableError


def main() -> int:
    kernel = EpollKernel()
    path = kernel.environment_variable("EDGE_CONFIG")
    if not path:
        print("cobaltpond: EDGE_CONFIG names no file", file=sys.stderr)
        return 2
    try:
        config = read_config(kernel, path)
    except ConfigError as trouble:
        print(f"cobaltpond: {trouble}", file=sys.stderr)
        return 2
    try:
        run_edge(kernel, path, config, Log(sys.stderr, config.name, kernel.wall_clock))
    except UnreachableError as trouble:
        print(f"cobaltpond: {trouble}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
