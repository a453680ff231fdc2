"""FLOW: the agent of an ended flow claims a new one from the same port."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_2

RECORD = pathlib.Path(__file__).with_name("record.txt")
ADDRESS = ("127.254.0.1", 443)
FLOWS = 24
ENDPOINTS = 4
BUDGET_S = 5.0


class Flows:
    """What consumers and endpoints see of the flows from some ports."""

    def __init__(self, node: standins_2.Fleet) -> None:
        self.holders: dict[standins_2.Key, tuple[str, int]] = {}
        self.reset_by: set[tuple[str, standins_2.Key]] = set()
        self._node = node
        for each in node.endpoints.values():
            each.on_open = self._on_open
            each.on_reset = self._on_reset

    def _on_open(
        self, at: standins_2.Endpoint, key: standins_2.Key, isn: int
    ) -> None:
        self.holders[key] = at.name, isn

    def _on_reset(self, at: standins_2.Endpoint, key: standins_2.Key) -> None:
        self.reset_by.add((at.name, key))

    async def open_all(self, what: str, last: bool) -> list[standins_2.Flow]:
        """Opens a flow from each port and sends one request on it."""
        flows = [
            self._node.flow(n % 4, 3_000 + n, ADDRESS) for n in range(FLOWS)
        ]

        async def use(flow: standins_2.Flow, name: str) -> None:
            outcome = await flow.open()
            if outcome == "open":
                outcome = await flow.request(name, BUDGET_S, last)
            self._node.note("answer", id=name, via=flow.by, outcome=outcome)

        await asyncio.gather(
            *(use(flow, f"{what}-{n}") for n, flow in enumerate(flows))
        )
        return flows


async def _wait_for(node: standins_2.Fleet, name: str, ready: bool) -> bool:
    for _ in range(150):
        if node.router.ready(name) == ready:
            return True
        await asyncio.sleep(0.1)
    return False


async def play(node: standins_2.Fleet) -> int:
    """Plays the case and returns its outcome."""
    routes = [standins_2.route("r", ADDRESS, "svc")]
    await node.start(2, ["svc"] * ENDPOINTS, routes)
    if not await node.until_ready():
        return standins_2.NOT_RUN
    # All machines are in touch after the stable window.
    await asyncio.sleep(4.5)
    flows = Flows(node)
    # The endpoint closes each flow first, so the consumer's port is free again.
    first = await flows.open_all("first", last=True)
    former = dict(flows.holders)
    closed = sum(x.state == "closed" for x in first)
    restart = None
    if node.trouble:
        node.note("planned", what="roll_term", machine="balancer-1")
        target = node.balancers[0]
        restart = asyncio.create_task(target.restart(signal.SIGTERM))
        if not await _wait_for(node, "balancer-1", ready=False):
            return standins_2.NOT_RUN
    else:
        await asyncio.sleep(1)
    second = await flows.open_all("second", last=False)
    opened = [x for x in second if x.state == "open"]
    moved = sum(former.get(x.key) != flows.holders.get(x.key) for x in opened)
    node.note("second", opened=len(opened), other_endpoint=moved, closed=closed)
    if restart is not None:
        await restart
        if not await _wait_for(node, "balancer-1", ready=True):
            return standins_2.NOT_RUN
    else:
        await asyncio.sleep(4.5)
    if closed < FLOWS or len(opened) < FLOWS:
        return standins_2.NOT_RUN
    return await _judge(node, flows, opened)


async def _judge(
    node: standins_2.Fleet, flows: Flows, opened: list[standins_2.Flow]
) -> int:
    """Sends one more request on each flow, and counts foreign resets."""

    async def use(flow: standins_2.Flow, name: str) -> None:
        outcome = await flow.request(name, BUDGET_S, last=False)
        node.note("answer", id=name, via=flow.by, outcome=outcome)

    await asyncio.gather(
        *(use(flow, f"third-{n}") for n, flow in enumerate(opened))
    )
    broken = 0
    for flow in opened:
        holder, isn = flows.holders[flow.key]
        if isn != flow.chosen or (holder, flow.key) in flows.reset_by:
            continue
        if flow.resets:
            broken += 1
            node.note("foreign-reset", flow=flow.key, holder=holder)
    node.note("judged", flows=len(opened), broken=broken)
    return standins_2.BROKEN if broken else standins_2.HELD


if __name__ == "__main__":
    standins_2.run(play, RECORD)
