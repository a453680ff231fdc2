"""CONFIG: an entry of another writer stops all changes of the desired state."""

import asyncio

from review.lib_2 import consumer
from review.lib_2 import fleet
from review.lib_2 import packet
from review.lib_2 import web

KEPT = ("127.254.0.1", 443)
DROPPED = ("127.254.0.2", 443)
ADDED = ("127.254.0.3", 443)
BUDGET_S = 3.0
APPLY_S = 3.0
REQUESTS = 20
# A string whose only character can't be read: half of a surrogate pair.
ENTRY = rb'{"meta":{"name":"notes"},"spec":{"text":"\ud800"}}'


async def play(node: fleet.Fleet) -> int:
    """Plays the case and returns its outcome."""
    ran: set[str] = set()
    await node.start(
        2,
        ["svc"] * 3,
        [fleet.route("r1", KEPT, "svc"), fleet.route("r2", DROPPED, "svc")],
    )
    for each in node.endpoints.values():
        each.on_run = lambda at, key, name: ran.add(name)
    if not await node.until_ready():
        return fleet.NOT_RUN
    # All machines are in touch after the stable window.
    await asyncio.sleep(4.5)
    if node.trouble:
        path = "/crocusmux/objects/config"
        status, _ = await web.fetch("POST", node.store.address, path, ENTRY, 1)
        node.note("entry-of-another-writer", status=status)
    await asyncio.sleep(2)
    new = [fleet.route("r1", KEPT, "svc"), fleet.route("r3", ADDED, "svc")]
    node.set_config(2, new)
    await asyncio.sleep(APPLY_S + 1)
    results: dict[str, list[str]] = {}
    for what, address in (("kept", KEPT), ("old", DROPPED), ("new", ADDED)):
        results[what] = await _use(node, what, address)
    served = {
        what: sum(
            name in ran for name in (f"{what}-{n}" for n in range(REQUESTS))
        )
        for what in results
    }
    refused = results["new"].count("reset")
    node.note("judged", ran=served, new_route_refused=refused)
    if served["kept"] < REQUESTS:
        return fleet.NOT_RUN
    return fleet.BROKEN if served["old"] or refused else fleet.HELD


async def _use(
    node: fleet.Fleet, what: str, address: packet.Address
) -> list[str]:
    """Sends requests on a flow each; returns how they ended."""

    async def use(flow: consumer.Flow, name: str) -> str:
        outcome = await flow.open()
        if outcome == "open":
            outcome = await flow.request(name, BUDGET_S, last=True)
        node.note("request", id=name, via=flow.by, outcome=repr(outcome))
        return outcome

    flows = [node.flow(n % 4, 4_000 + n, address) for n in range(REQUESTS)]
    return await asyncio.gather(
        *(use(flow, f"{what}-{n}") for n, flow in enumerate(flows))
    )


if __name__ == "__main__":
    fleet.run(__file__, play)
