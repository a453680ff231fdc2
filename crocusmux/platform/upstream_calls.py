"""Decodes the HTTP calls of an upstream to the agent on its host."""

import re
from typing import Annotated, Literal

import msgspec

from crocusmux import errors
from crocusmux import forwarding
from crocusmux import jsonlimits
from crocusmux.core.forward import heartbeats
from crocusmux.core.forward import reports

_CALL_PATH = re.compile(r"/crocusmux/endpoints/([^/]+)/(heartbeat|deregister)")

# Heartbeats have a few hundred bytes.  Decoding the 4 MB that the HTTP server
# takes keeps the event loop busy for seconds.
MAX_HEARTBEAT_BYTES = 65_536
# The agent reports the slots to balancers, so a heartbeat with a number that a
# load report cannot carry is malformed.
_MAX_NUMBER = int(reports.MAX_NUMBER)
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_DurationMs = Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
# Numbers that only order heartbeats may take 63 bits.
_Ordinal = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class _StatusReport(msgspec.Struct):
    service: str
    address: str
    max_concurrency: _Count
    state: Literal["ready", "draining"]
    # Increases with each call within a boot of the upstream.
    sequence: _Ordinal
    warmup_left_ms: _DurationMs = 0
    # Start of the boot, Unix milliseconds; absent on older installations.
    born: _Ordinal = 0


def decode_call(
    method: str, path: str, body: bytes
) -> heartbeats.Heartbeat | forwarding.Deregistration:
    """Decodes a heartbeat or a deregistration.

    Raises:
        errors.WireError: The call is unknown or malformed.
    """
    match = _CALL_PATH.fullmatch(path)
    if method != "POST" or match is None:
        raise errors.WireError("unknown call", step=f"{method} {path}")
    upstream, action = match.groups()
    if action == "deregister":
        return forwarding.Deregistration(upstream)
    if len(body) > MAX_HEARTBEAT_BYTES:
        raise errors.WireError(
            f"{len(body)} bytes are too many",
            step="decode heartbeat",
            peer=upstream,
        )
    try:
        report = msgspec.json.decode(jsonlimits.prune(body), type=_StatusReport)
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
