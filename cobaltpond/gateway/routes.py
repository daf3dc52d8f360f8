"""From a request's head to a hit's path group and marks; free of I/O."""

import hashlib
from dataclasses import dataclass

from cobaltpond.settings.deployment import DeploymentSettings
from cobaltpond.settings.sections import PathGroupSettings
from cobaltpond.wire.http1 import HttpMessageError, MessageHead

MARK_FIELD = b"idempotency-key"


@dataclass(slots=True)
class RoutedRequest:
    """What the head of a request says of the hit; `left` and `cost` in microseconds."""

    group: PathGroupSettings
    customer: str | None
    key: int | None
    left: int
    cost: int | None
    again: bool


class Routes:
    def __init__(self, sheet: DeploymentSettings):
        self.settings, self.door = sheet, sheet.door
        self.groups = {g.name: g for g in sheet.path_groups}
        self.customers = {c.name for c in sheet.customers}
        self.exact, self.open = {}, []
        for order, route in enumerate(sheet.routes):
            if route.path.endswith("*"):
                self.open.append((order, route.method, route.path[:-1].encode(), self.groups[route.group]))
            else:
                self.exact.setdefault((route.method, route.path.encode()), (order, self.groups[route.group]))

    def group_of(self, method: str, target: bytes) -> PathGroupSettings:
        """The first route of the sheet that fits. Raises HttpMessageError (404, or 405 where only the method
        is off)."""
        path = target.partition(b"?")[0]
        fits = [self.exact[name] for name in ((method, path), ("*", path)) if name in self.exact]
        fits += [
            (order, group)
            for order, known, start, group in self.open
            if known in (method, "*") and path.startswith(start)
        ]
        if fits:
            return min(fits, key=lambda fit: fit[0])[1]
        other = any(path == known for _, known in self.exact) or any(path.startswith(o[2]) for o in self.open)
        raise HttpMessageError(
            405 if other else 404, "no route for this method" if other else "no route for this path"
        )

    def read(self, head: MessageHead) -> RoutedRequest:
        """Raises HttpMessageError: what is wrong with a head is said before the hit is taken."""
        group, door = self.group_of(head.method, head.target), self.door
        marks = head.all(MARK_FIELD)
        if group.kind == "tagged" and (len(marks) != 1 or not 0 < len(marks[0]) <= 255):
            raise HttpMessageError(400, "this path group needs one Idempotency-Key of at most 255 bytes")
        key, customer = head.get(door.key_field.encode()), head.get(door.customer_field.encode())
        customer = customer.decode("latin-1") if customer else None
        left = self.number(head, door.timeout_field, group.client_timeout)
        return RoutedRequest(
            group,
            customer if customer in self.customers else None,
            key_number(key) if key else None,
            min(left, group.client_timeout),
            self.number(head, door.cost_field, 0) or None,
            self.number(head, door.again_field, 0) > 0,
        )

    @staticmethod
    def number(head: MessageHead, name: str, otherwise: int) -> int:
        """A whole number of milliseconds, as microseconds."""
        value = head.get(name.encode())
        if value is None:
            return otherwise
        if not value.isdigit() or len(value) > 9:
            raise HttpMessageError(400, f"{name}: a whole number was expected")
        return int(value) * 1000


def key_number(key: bytes) -> int:
    """A number below 2^53 that stands for a key, the same at every gateway."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big") >> 11
