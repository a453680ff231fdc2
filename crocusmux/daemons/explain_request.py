"""Answers requests to explain where a balancer would place a new flow."""

from collections.abc import Mapping, Sequence

import msgspec

from crocusmux import addresses
from crocusmux import forwarding
from crocusmux.core.forward import balancer
from crocusmux.core.forward import explanation
from crocusmux.core.forward import routes

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503


def explain(
    core: balancer.ForwardingBalancer,
    now: float,
    arguments: Mapping[str, Sequence[bytes]],
) -> tuple[int, bytes]:
    """Explains where a balancer would place a new flow.

    Args:
        core: The balancer.
        now: Time in seconds.
        arguments: Query arguments of the request.

    Returns:
        Status and body of the response: an ``Explanation`` as JSON, or one line
        with the reason for its absence.
    """
    try:
        caller = _address_argument(arguments, "caller")
        address = _address_argument(arguments, "address")
    except ValueError as exc:
        return BAD_REQUEST, f"{exc}\n".encode()
    key = routes.encode_flow_key(caller, address)
    found = core.explain(now, key)
    if found.outcome == explanation.IGNORED:
        missing = {
            explanation.IGNORED_NO_CONFIGURATION: b"no configuration",
            explanation.IGNORED_NO_EVACUATIONS: b"no list of evacuations",
        }[found.reason]
        return UNAVAILABLE, b"the balancer has %s yet\n" % missing
    if found.outcome == explanation.REFUSED:
        text = f"no route for {address[0]}:{address[1]}"
        text += f" in configuration version {found.version}\n"
        return NOT_FOUND, text.encode()
    return OK, msgspec.json.encode(found)


def _address_argument(
    arguments: Mapping[str, Sequence[bytes]], name: str
) -> forwarding.Address:
    """Returns an address from a query.

    Raises:
        ValueError: It is missing, repeated or not ``IP:PORT``.
    """
    values = arguments.get(name, ())
    if len(values) != 1:
        raise ValueError(f"give {name}=IP:PORT once")
    try:
        address = addresses.split(values[0].decode())
        addresses.check(address)
    except ValueError as exc:
        raise ValueError(f"{name}: {exc}") from exc
    return address
