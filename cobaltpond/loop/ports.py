"""Runs of free ports for stand-ins and tests, below those that the system gives out to dials by itself."""
from cobaltpond.loop.trouble import Unreachable

FIRST, LAST, BLOCK = 10_000, 32_000, 400


def free_run(kernel, count: int):
    """(a listener that holds the run for whoever else asks this way, its first port). Keep the first, and close
    it at the end: guards against two that find the same run free at the same moment. Raises Unreachable."""
    first, blocks = kernel.seed(), (LAST - FIRST) // BLOCK
    if count >= BLOCK:
        raise Unreachable(f"{count} ports are more than a run has")
    for n in range(blocks):
        base, held = FIRST + (first + n) % blocks * BLOCK, []
        try:
            lock = kernel.listen(("127.0.0.1", base), 1)
        except Unreachable:
            continue
        try:
            for port in range(base + 1, base + 1 + count):
                held.append(kernel.listen(("127.0.0.1", port), 1))
            return lock, base + 1
        except Unreachable:
            lock.close()
        finally:
            for handle in held:
                handle.close()
    raise Unreachable("no free ports")
