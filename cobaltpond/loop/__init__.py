"""The only room that knows the operating system: clock, epoll, sockets, timers, tasks, processes, files."""

from cobaltpond.loop.errors import HandlesUsedUp, PeerLost, Refused, Unreachable
from cobaltpond.loop.kernel import EpollKernel, Kernel
from cobaltpond.loop.ports import free_run
from cobaltpond.loop.process import in_workers, run_part
from cobaltpond.loop.streams import Connection, dial, serve
from cobaltpond.loop.tasks import (
    Cancelled,
    Deadline,
    Event,
    Loop,
    Queue,
    Readable,
    Sleep,
    Task,
    TimedOut,
    Writable,
)

__all__ = [
    "Cancelled",
    "Connection",
    "Deadline",
    "EpollKernel",
    "Event",
    "HandlesUsedUp",
    "Kernel",
    "Loop",
    "PeerLost",
    "Queue",
    "Readable",
    "Refused",
    "Sleep",
    "Task",
    "TimedOut",
    "Unreachable",
    "Writable",
    "dial",
    "free_run",
    "in_workers",
    "run_part",
    "serve",
]
