"""A process that consists of one part with a `run` (its main task) and a `stop(signal name)`."""
from cobaltpond.loop.tasks import Loop


def run_part(kernel, make, log, name: str):
    """`make(loop)` gives the part. Runs it until it ends by itself or by a signal, then cancels what is left. A
    task that dies is logged with its stack and the rest goes on; a main task that dies ends the process."""
    def died(task, trouble):
        log.error("task died", task=task.name, exc_info=(type(trouble), trouble, trouble.__traceback__))

    loop = Loop(kernel, died)
    part = make(loop)
    kernel.on_signals(part.stop)
    try:
        return loop.run(loop.spawn(part.run(), name))
    finally:
        loop.close()
