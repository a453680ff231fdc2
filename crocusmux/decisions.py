"""Decision log: one line for each routing or placement decision.

Ordinary decisions are sampled; refusals and errors are always logged.
Malformed input may arrive at any rate, so its log lines are rate-limited; the
metrics count all of it.
"""

from collections.abc import Callable
import logging

import msgspec

logger = logging.getLogger("crocusmux.decisions")

BAD_INPUT_LINES_PER_S = 5


class Decision(msgspec.Struct, frozen=True, gc=False):
    """A routing or placement decision.

    Attributes:
        what: Decision word: ``"place"``, ``"refuse"``, ``"route"``,
            ``"takeover"`` and others.
        flow: Flow id; empty if the decision concerns no single flow.
        service: Name of the service.
        upstream: Name of the chosen upstream or host; empty if none.
        reason: Reason, as words joined by ``-``.
        epoch: Membership version that the decision is based on.
        always: True for refusals and errors, which are logged unsampled.
    """

    what: str
    flow: bytes
    service: str
    upstream: str
    reason: str
    epoch: int
    always: bool = False


def format_flow(flow: bytes) -> str:
    """Returns a flow id as printable text."""
    if flow[:1] == b"U":
        return (
            "U-" + flow[1:9].hex() + "-" + flow[9:].decode("ascii", "replace")
        )
    return flow[:1].decode("ascii", "replace") + "-" + flow[1:].hex()


def parse_flow(text: str) -> bytes:
    """Returns the flow id from the text of ``format_flow``.

    Raises:
        ValueError: The text is not a flow id.
    """
    kind, _, rest = text.partition("-")
    if kind == "U":
        key, _, caller = rest.partition("-")
        return b"U" + bytes.fromhex(key) + caller.encode()
    return kind.encode() + bytes.fromhex(rest)


def format_decision(decision: Decision, version: int) -> str:
    """Returns the log line of a decision.

    Args:
        decision: The decision.
        version: Version of the preset in force.
    """
    return (
        f"decision={decision.what} flow={format_flow(decision.flow) or '-'} "
        f"service={decision.service or '-'} "
        f"upstream={decision.upstream or '-'} reason={decision.reason} "
        f"epoch={decision.epoch} preset_version={version}"
    )


def make_log(
    sample_every: int, version: Callable[[], int]
) -> Callable[[Decision], None]:
    """Returns a function that logs decisions.

    Args:
        sample_every: One of this many ordinary decisions is logged.
        version: Returns the version of the preset in force.
    """
    seen = 0

    def log(decision: Decision) -> None:
        nonlocal seen
        if decision.always:
            logger.warning(format_decision(decision, version()))
            return
        seen += 1
        if seen % sample_every == 0:
            logger.info(format_decision(decision, version()))

    return log


def make_bad_input_log(clock: Callable[[], float]) -> Callable[[str], None]:
    """Returns a function that logs bad input, limited in rate.

    Args:
        clock: Returns the time in seconds.
    """
    second, lines, dropped = -1, 0, 0

    def log(text: str) -> None:
        nonlocal second, lines, dropped
        if int(clock()) != second:
            if dropped:
                logger.warning("bad input: %d lines were not logged", dropped)
            second, lines, dropped = int(clock()), 0, 0
        if lines >= BAD_INPUT_LINES_PER_S:
            dropped += 1
            return
        lines += 1
        logger.warning("bad input: %s", text)

    return log
