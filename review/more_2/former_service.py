"""FLOW: flows of a route's former service are reset after all is killed."""

import asyncio
import signal

from review.lib_2 import consumer
from review.lib_2 import endpoint
from review.lib_2 import fleet

MOVED = ("127.254.0.1", 443)
OTHER = ("127.254.0.2", 443)
FLOWS = 24
BUDGET_S = 6.0


async def _request_all(
    node: fleet.Fleet, flows: list[consumer.Flow], what: str
) -> None:
    """Sends a request on each flow."""

    async def use(flow: consumer.Flow, name: str) -> None:
        outcome = await flow.request(name, BUDGET_S, last=False)
        node.note("answer", id=name, via=flow.by, outcome=outcome)

    await asyncio.gather(
        *(use(flow, f"{what}-{n}") for n, flow in enumerate(flows))
    )


async def play(node: fleet.Fleet) -> int:
    """Plays the case and returns its outcome."""
    other = fleet.route("q", OTHER, "other")
    await node.start(
        2,
        ["svc", "svc", "other", "other"],
        [fleet.route("r", MOVED, "svc"), other],
    )
    if not await node.until_ready():
        return fleet.NOT_RUN
    # All machines are in touch after the stable window.
    await asyncio.sleep(4.5)
    holders: dict[endpoint.Key, int] = {}
    for each in node.endpoints.values():
        each.on_open = lambda at, key, isn: holders.update({key: isn})
    flows = [node.flow(n % 4, 9_000 + n, MOVED) for n in range(FLOWS)]
    await asyncio.gather(*(x.open() for x in flows))
    await _request_all(node, flows, "first")
    if any(x.state != "open" for x in flows):
        return fleet.NOT_RUN
    node.set_config(2, [fleet.route("r", MOVED, "other"), other])
    await asyncio.sleep(2)
    if node.trouble:
        node.note("killed", what="all processes")
        daemons = [*node.balancers, *node.agents.values()]
        await asyncio.gather(*(x.restart(signal.SIGKILL, 1.0) for x in daemons))
    # All machines are in touch again.
    await asyncio.sleep(6)
    await _request_all(node, flows, "second")
    broken = sum(
        holders[x.key] == x.chosen and any(s.own_reset for s in x.resets)
        for x in flows
    )
    node.note("judged", flows=FLOWS, broken=broken)
    return fleet.BROKEN if broken else fleet.HELD


if __name__ == "__main__":
    fleet.run(__file__, play)
