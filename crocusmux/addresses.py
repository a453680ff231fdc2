"""Parsing of ``ip:port`` addresses."""


def split(text: str) -> tuple[str, int]:
    """Splits an ``ip:port`` text into ``(ip, port)``.

    Raises:
        ValueError: The text is not of this form.
    """
    ip, colon, port = text.rpartition(":")
    if not colon or not ip or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not ip:port")
    return ip.strip("[]"), int(port)
