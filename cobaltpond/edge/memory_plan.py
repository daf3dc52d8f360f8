"""Divides the memory of the configuration among what peers can make the gateway hold.

All figures are bytes unless their name says otherwise.
"""

from dataclasses import dataclass

from cobaltpond.edge.discovery import ListLimits
from cobaltpond.edge.sent_ids import SLOT_BYTES

MB = 1 << 20
DEFAULT_MEMORY_BYTES = 192 * MB  # where the configuration names none: the most that the platform gives
SPARE_SHARE = 1 / 8  # for garbage, fragments, and what one step of the loop holds for a moment
CONTROL_SHARE = 1 / 8  # for what discovery, feed and desk send, and the list that is made of it
CONNECTIONS_SHARE = 1 / 2  # of what the process leaves
SENT_IDS_SHARE = 1 / 64
MIN_POOL_SHARE = 1 / 16  # however little is left
REQUESTS_SHARE = 0.6  # of the pool; the rest is for responses
MIN_CLIENTS = 16  # that are let in, however little is left
CLIENT_BYTES = 12 << 10  # of one client's connection with its request, without what it reserves
KEPT_KEYS_SHARE = 1 / 64
KEPT_KEY_BYTES = 160  # of one key that is bound to a build
INSTANCES_SHARE = 1 / 4  # at most; what the control share does not cover is taken from the pool
INSTANCE_BYTES = 2 << 10  # of one listed instance
BODIES_SHARE = 1 / 4  # of the control share, for the bodies of discovery's responses
VALUE_BYTES = 100  # of one value of a list while it is read


@dataclass(frozen=True)
class MemoryPlan:
    """The shares of one process: `pool` for large messages of clients and instances, of which `requests` for
    requests; `control` for messages of discovery, feed and desk; and counts.
    """

    limit: int
    pool: int
    requests: int
    control: int
    max_clients: int
    sent_id_slots: int
    max_kept_keys: int
    max_instances: int

    @property
    def list_limits(self) -> ListLimits:
        """Limits on what discovery may send."""
        return ListLimits(int(self.control * BODIES_SHARE), self.control // VALUE_BYTES, self.max_instances)

    def pool_beside(self, instances: int) -> int:
        """Returns the pool while so many instances are listed."""
        excess = max(0, instances * INSTANCE_BYTES - self.control // 2)
        return max(int(self.limit * MIN_POOL_SHARE), self.pool - excess)


def plan_memory(limit_mb: float, used: int, client_limit: int) -> MemoryPlan:
    """Plans for a limit in MB (0: none is known), `used` bytes of a process without peers, and at most
    `client_limit` clients.
    """
    limit = int(limit_mb * MB) or DEFAULT_MEMORY_BYTES
    control, sent_ids = int(limit * CONTROL_SHARE), int(limit * SENT_IDS_SHARE)
    kept_keys = int(limit * KEPT_KEYS_SHARE)
    available = max(0, limit - used - int(limit * SPARE_SHARE))
    max_clients = min(client_limit, max(MIN_CLIENTS, int(available * CONNECTIONS_SHARE) // CLIENT_BYTES))
    left = available - control - sent_ids - kept_keys - max_clients * CLIENT_BYTES
    pool = max(int(limit * MIN_POOL_SHARE), left)
    return MemoryPlan(
        limit,
        pool,
        int(pool * REQUESTS_SHARE),
        control,
        max_clients,
        sent_ids // SLOT_BYTES,
        kept_keys // KEPT_KEY_BYTES,
        int(limit * INSTANCES_SHARE) // INSTANCE_BYTES,
    )
