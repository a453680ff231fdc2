"""Parsing and checks of ``ip:port`` addresses."""

import ipaddress

MAX_PORT = 65_535


def split(text: str) -> tuple[str, int]:
    """Splits an ``ip:port`` text into ``(ip, port)``.

    Raises:
        ValueError: The text is not of this form.
    """
    ip, colon, port = text.rpartition(":")
    if not colon or not ip or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"{text!r} is not ip:port")
    return ip.strip("[]"), int(port)


def check(address: tuple[str, int]) -> None:
    """Checks that an address is an IPv4 address and a port.

    A host name would be looked up, which blocks the event loop.

    Raises:
        ValueError: It is something else.
    """
    ip, port = address
    ipaddress.IPv4Address(ip)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f"port {port} is not between 0 and {MAX_PORT}")
