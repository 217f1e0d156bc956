"""Parsing and formatting of ``IP:PORT`` addresses."""

from chivewall.integers import parse_digits

Address = tuple[str, int]

PORTS = range(1, 65_536)


def parse_address(value: str) -> Address:
    """Split ``IP:PORT`` into address and port; raises ``ValueError``.

    Example: ``parse_address("10.1.0.38:8141") == ("10.1.0.38", 8141)``.
    """
    host, _, port = value.rpartition(":")
    number = parse_digits(port)
    if not host or number not in PORTS:
        raise ValueError(f"{value!r} is not of the form IP:PORT")
    return host, number


def describe_address(address: Address) -> str:
    """Return an address as ``IP:PORT``."""
    return f"{address[0]}:{address[1]}"


def check_address(_instance: object, _attribute: object, value: str) -> None:
    """Raise ``ValueError`` unless a setting is an ``IP:PORT`` address; an attrs validator."""
    parse_address(value)
