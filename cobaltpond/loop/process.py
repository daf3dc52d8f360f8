"""A process that consists of one part with a `run` (its main task) and a `stop(signal name)`; pools of
workers."""

import os

from cobaltpond.loop.tasks import Loop


def run_component(kernel, make, log, name: str):
    """`make(loop)` gives the part. Runs it until it ends by itself or by a signal, then cancels what is left.
    A task that dies is logged with its stack and the rest goes on; a main task that dies ends the process."""

    def died(task, trouble):
        log.error("task died", task=task.name, exc_info=(type(trouble), trouble, trouble.__traceback__))

    loop = Loop(kernel, died)
    part = make(loop)
    kernel.on_signals(part.stop)
    return kernel.run_loop(loop, loop.spawn(part.run(), name))


def map_in_workers(jobs: int, call, items, each: int = 30):
    """Gives `call(item)` for every item, in order, worked out by `jobs` processes (0: one a core; 1: this
    one). A worker is replaced after `each` items, so that what one leaves in memory goes."""
    jobs = jobs or os.cpu_count() or 1
    if jobs == 1:
        yield from map(call, items)
        return
    import multiprocessing  # not on the path of `run`, which may start nothing

    with multiprocessing.get_context("spawn").Pool(jobs, maxtasksperchild=each) as pool:
        yield from pool.imap(call, items)
