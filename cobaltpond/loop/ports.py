"""Reserves blocks of consecutive free TCP ports for stand-ins and tests, below the ephemeral port range
that the system uses for outgoing connections.
"""

from cobaltpond.loop.errors import UnreachableError

# (first port, end of the range, ports of a block): small blocks, then large ones
PORT_RANGES = (
    (10_000, 26_000, 400),
    (26_000, 32_000, 3_000),
)


def reserve_ports(kernel, count: int):
    """Reserves `count` consecutive ports and returns (lock listener, first port).

    The caller keeps the listener open while it uses the ports and closes it at the end: it occupies the port
    before the first one, so that two callers who find the same block free at the same moment do not both use
    it. Raises UnreachableError where no block is large enough or none is free.
    """
    candidates = [port_range for port_range in PORT_RANGES if count < port_range[2]]
    if not candidates:
        raise UnreachableError(f"{count} ports are more than the largest block of consecutive ports has")
    first_port, last_port, block_size = candidates[0]
    start_block, block_count = kernel.random_seed(), (last_port - first_port) // block_size
    for offset in range(block_count):
        lock_port, listeners = first_port + (start_block + offset) % block_count * block_size, []
        try:
            lock_listener = kernel.listen(("127.0.0.1", lock_port), 1)
        except UnreachableError:
            continue
        try:
            for port in range(lock_port + 1, lock_port + 1 + count):
                listeners.append(kernel.listen(("127.0.0.1", port), 1))
            return lock_listener, lock_port + 1
        except UnreachableError:
            lock_listener.close()
        finally:
            for listener in listeners:
                listener.close()
    raise UnreachableError(f"no block with {count} consecutive free ports")
