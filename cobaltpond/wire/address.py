"""Network addresses written as host:port."""


def split_address(address: str) -> tuple[str, int]:
    """Splits "host:port" into (host, port). Raises ValueError where the port is no number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
