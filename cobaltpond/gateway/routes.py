"""Maps a request's head to its path group and attributes. Does no I/O."""

import hashlib
from dataclasses import dataclass

from cobaltpond.settings.deployment import DeploymentSettings
from cobaltpond.settings.sections import PathGroupSettings
from cobaltpond.wire.http1 import HttpMessageError, MessageHead

IDEMPOTENCY_KEY_FIELD = b"idempotency-key"


@dataclass(slots=True)
class RoutedRequest:
    """The attributes of a hit that its request's head states.

    `customer`: None where it is not configured. `key`: a hash, None where the request has none. `time_left`
    and `cost` are microseconds; `cost` is None where the request states none.
    """

    group: PathGroupSettings
    customer: str | None
    key: int | None
    time_left: int
    cost: int | None
    is_retry: bool


class Routes:
    """The routing table of the settings."""

    def __init__(self, settings: DeploymentSettings):
        self.settings, self.frontend_settings = settings, settings.door
        self.groups = {g.name: g for g in settings.path_groups}
        self.customers = {c.name for c in settings.customers}
        self.exact, self.prefixes = {}, []
        for order, route in enumerate(settings.routes):
            if route.path.endswith("*"):
                self.prefixes.append(
                    (order, route.method, route.path[:-1].encode(), self.groups[route.group])
                )
            else:
                self.exact.setdefault((route.method, route.path.encode()), (order, self.groups[route.group]))

    def group_of(self, method: str, target: bytes) -> PathGroupSettings:
        """Returns the path group of the first route in the settings that matches.

        Raises HttpMessageError: 405 where a route matches the path with another method, else 404.
        """
        path = target.partition(b"?")[0]
        matches = [self.exact[name] for name in ((method, path), ("*", path)) if name in self.exact]
        matches += [
            (order, group)
            for order, route_method, prefix, group in self.prefixes
            if route_method in (method, "*") and path.startswith(prefix)
        ]
        if matches:
            return min(matches, key=lambda match: match[0])[1]
        path_known = any(path == exact_path for _, exact_path in self.exact) or any(
            path.startswith(p[2]) for p in self.prefixes
        )
        raise HttpMessageError(
            405 if path_known else 404, "no route for this method" if path_known else "no route for this path"
        )

    def read(self, head: MessageHead) -> RoutedRequest:
        """Reads the path group and the attributes. Raises HttpMessageError on an invalid head."""
        group, names = self.group_of(head.method, head.target), self.frontend_settings
        idempotency_keys = head.all(IDEMPOTENCY_KEY_FIELD)
        if group.kind == "tagged" and (len(idempotency_keys) != 1 or not 0 < len(idempotency_keys[0]) <= 255):
            raise HttpMessageError(400, "this path group needs one Idempotency-Key of at most 255 bytes")
        key, customer = head.get(names.key_field.encode()), head.get(names.customer_field.encode())
        customer = customer.decode("latin-1") if customer else None
        time_left = self.read_milliseconds(head, names.timeout_field, group.client_timeout)
        return RoutedRequest(
            group,
            customer if customer in self.customers else None,
            hash_key(key) if key else None,
            min(time_left, group.client_timeout),
            self.read_milliseconds(head, names.cost_field, 0) or None,
            self.read_milliseconds(head, names.again_field, 0) > 0,
        )

    @staticmethod
    def read_milliseconds(head: MessageHead, name: str, default: int) -> int:
        """Returns a header field with whole milliseconds, in microseconds; `default` where it is absent.

        Raises HttpMessageError (400) on anything but 1 to 9 digits.
        """
        value = head.get(name.encode())
        if value is None:
            return default
        if not value.isdigit() or len(value) > 9:
            raise HttpMessageError(400, f"{name}: a whole number was expected")
        return int(value) * 1000


def hash_key(key: bytes) -> int:
    """Returns a number below 2^53 that stands for the key; every gateway computes the same one."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big") >> 11
