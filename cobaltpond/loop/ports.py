"""Runs of free ports for stand-ins and tests, below those that the system gives out to dials by itself."""

from cobaltpond.loop.errors import UnreachableError

RANGES = (
    (10_000, 26_000, 400),
    (26_000, 32_000, 3_000),
)  # first, last, ports of a run: small ones, and large


def reserve_ports(kernel, count: int):
    """(a listener that holds the run for whoever else asks this way, its first port). Keep the first, and
    close it at the end: guards against two that find the same run free at the same moment. Raises
    Unreachable."""
    fits = [one for one in RANGES if count < one[2]]
    if not fits:
        raise UnreachableError(f"{count} ports are more than a run has")
    begin, end, block = fits[0]
    first, blocks = kernel.random_seed(), (end - begin) // block
    for n in range(blocks):
        base, held = begin + (first + n) % blocks * block, []
        try:
            lock = kernel.listen(("127.0.0.1", base), 1)
        except UnreachableError:
            continue
        try:
            for port in range(base + 1, base + 1 + count):
                held.append(kernel.listen(("127.0.0.1", port), 1))
            return lock, base + 1
        except UnreachableError:
            lock.close()
        finally:
            for handle in held:
                handle.close()
    raise UnreachableError("no free ports")
