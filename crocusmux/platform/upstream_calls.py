"""Calls of an upstream to the agent on its host."""

import re
from typing import Literal

import msgspec

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.core.forward import heartbeats

_PATH = re.compile(r"/crocusmux/endpoints/([^/]+)/(heartbeat|deregister)")


class _StatusReport(msgspec.Struct):
    service: str
    address: str
    max_concurrency: int
    state: Literal["ready", "draining"]
    # Rises with each call of one start of the upstream.
    sequence: int
    warmup_left_ms: float = 0
    # Unix milliseconds of its start; absent on older installations.
    born: int = 0


def decode_call(
    method: str, path: str, body: bytes
) -> heartbeats.Heartbeat | forwarding.Leave:
    """Decodes a heartbeat or the last word of an upstream.

    Raises:
        errors.WireError: It is none of these, or malformed.
    """
    match = _PATH.fullmatch(path)
    if method != "POST" or match is None:
        raise errors.WireError("unknown call", step=f"{method} {path}")
    upstream, what = match.groups()
    if what == "deregister":
        return forwarding.Leave(upstream)
    try:
        report = msgspec.json.decode(body, type=_StatusReport)
        ip, _, port = report.address.rpartition(":")
        address = (ip, int(port))
    except (msgspec.DecodeError, ValueError) as exc:
        raise errors.WireError(
            f"malformed: {exc}", step="decode heartbeat", peer=upstream
        ) from exc
    return heartbeats.Heartbeat(
        upstream=upstream,
        born_ms=report.born,
        sequence=report.sequence,
        service=report.service,
        address=address,
        slots=max(report.max_concurrency, 1),
        draining=report.state == "draining",
        warmup_s=report.warmup_left_ms / 1000,
    )
