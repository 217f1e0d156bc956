"""Addresses written as ``IP:PORT``."""

Address = tuple[str, int]

PORTS = range(1, 65_536)


def parse_address(value: str) -> Address:
    """Split ``IP:PORT``; raises ``ValueError``.

    Example: ``parse_address("10.1.0.38:8141") == ("10.1.0.38", 8141)``.
    """
    host, _, port = value.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) not in PORTS:
        raise ValueError(f"{value!r} is no IP:PORT")
    return host, int(port)


def describe_address(address: Address) -> str:
    """Return ``IP:PORT``."""
    return f"{address[0]}:{address[1]}"


def check_address(_instance: object, _attribute: object, value: str) -> None:
    """Validate a setting that holds ``IP:PORT``."""
    parse_address(value)
