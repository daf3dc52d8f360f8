"""Event loop and access to the operating system: clock, epoll, sockets, timers, tasks, processes and
files. No other package calls the operating system directly.
"""

from cobaltpond.loop.errors import ConnectionLostError, HandlesExhaustedError, RefusedError, UnreachableError
from cobaltpond.loop.event_loop import Loop
from cobaltpond.loop.kernel import EpollKernel
from cobaltpond.loop.kernel_interface import Kernel
from cobaltpond.loop.ports import reserve_ports
from cobaltpond.loop.process import map_in_workers, run_component
from cobaltpond.loop.streams import Connection, dial, open_when_possible, serve
from cobaltpond.loop.tasks import (
    Deadline,
    DeadlineExceededError,
    Event,
    NextTurn,
    Queue,
    Readable,
    Sleep,
    Task,
    TaskCancelledError,
    Writable,
)
from cobaltpond.loop.turn_share import TurnShare

__all__ = [
    "TaskCancelledError",
    "Connection",
    "Deadline",
    "EpollKernel",
    "Event",
    "HandlesExhaustedError",
    "Kernel",
    "Loop",
    "NextTurn",
    "ConnectionLostError",
    "Queue",
    "Readable",
    "RefusedError",
    "Sleep",
    "Task",
    "TurnShare",
    "DeadlineExceededError",
    "UnreachableError",
    "Writable",
    "dial",
    "open_when_possible",
    "reserve_ports",
    "map_in_workers",
    "run_component",
    "serve",
]
