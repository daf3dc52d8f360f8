"""Addresses as the parts write them: host:port."""


def split_address(address: str) -> tuple[str, int]:
    """Raises ValueError where it is none."""
    host, _, port = address.rpartition(":")
    return host, int(port)
