"""Runs a process that consists of one component, and pools of worker processes."""

import os

from cobaltpond.loop.event_loop import Loop


def run_component(kernel, make_component, log, name: str):
    """Runs one component on a new event loop and returns the result of its main task.

    `make_component(loop)` returns the component: an object with a `run` generator, the main task, and a
    `stop(signal name)` method. It runs until it ends by itself or after a signal; then the tasks that remain
    are cancelled. A task that fails is logged with its stack trace and the other tasks go on; a main task
    that fails ends the process with its exception.
    """

    def log_failure(task, error):
        log.error("task died", task=task.name, exc_info=(type(error), error, error.__traceback__))

    loop = Loop(kernel, log_failure)
    component = make_component(loop)
    kernel.on_signals(component.stop)
    return kernel.run_loop(loop, loop.spawn(component.run(), name))


def map_in_workers(jobs: int, function, items, items_per_worker: int = 30):
    """Yields `function(item)` for every item, in order, computed by `jobs` processes (0: one per core; 1:
    in this process). A worker process is replaced after `items_per_worker` items, which frees the
    memory that the items left behind.
    """
    jobs = jobs or os.cpu_count() or 1
    if jobs == 1:
        yield from map(function, items)
        return
    import multiprocessing  # imported here: the `run` command loads this module and may start no process

    with multiprocessing.get_context("spawn").Pool(jobs, maxtasksperchild=items_per_worker) as pool:
        yield from pool.imap(function, items)
