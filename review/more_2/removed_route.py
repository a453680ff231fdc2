"""CONFIG: a port that is used again reaches an endpoint by a removed route."""

import asyncio

from review.lib_2 import endpoint
from review.lib_2 import fleet
from review.lib_2 import packet

KEPT = ("127.254.0.1", 443)
DROPPED = ("127.254.0.2", 443)
PORTS = 20
BUDGET_S = 3.0
APPLY_S = 3.0


class Requests:
    """Requests on a flow each, from some ports of the consumers."""

    def __init__(self, node: fleet.Fleet) -> None:
        self.ran: set[str] = set()
        self._node = node
        for each in node.endpoints.values():
            each.on_run = self._on_run

    def _on_run(
        self, at: endpoint.Endpoint, key: endpoint.Key, name: str
    ) -> None:
        self.ran.add(name)

    async def send(
        self, what: str, first_port: int, address: packet.Address
    ) -> list[str]:
        """Sends one request from each port; returns which of them ran."""
        names = [f"{what}-{n}" for n in range(PORTS)]
        await asyncio.gather(
            *(
                self._use(name, n, first_port, address)
                for n, name in enumerate(names)
            )
        )
        return [name for name in names if name in self.ran]

    async def _use(
        self, name: str, number: int, first_port: int, address: packet.Address
    ) -> None:
        port = first_port + number
        flow = self._node.flow(number % 4, port, address)
        outcome = await flow.open()
        if outcome == "open":
            outcome = await flow.request(name, BUDGET_S, last=True)
        fields = {"id": name, "via": flow.by, "outcome": repr(outcome)}
        self._node.note("request", port=port, state=flow.state, **fields)


async def play(node: fleet.Fleet) -> int:
    """Plays the case and returns its outcome."""
    kept = fleet.route("r1", KEPT, "svc")
    dropped = fleet.route("r2", DROPPED, "svc")
    await node.start(2, ["svc"] * 3, [kept, dropped])
    if not await node.until_ready():
        return fleet.NOT_RUN
    # All machines are in touch after the stable window.
    await asyncio.sleep(4.5)
    requests = Requests(node)
    # The endpoint closes each flow first, so the consumer's port is free again.
    before = await requests.send("before", 5_000, DROPPED)
    if node.trouble:
        node.set_config(2, [kept])
    await asyncio.sleep(APPLY_S + 1)
    fresh = await requests.send("fresh-port", 6_000, DROPPED)
    used = await requests.send("same-port", 5_000, DROPPED)
    node.note("judged", before=len(before), fresh=len(fresh), same=len(used))
    if len(before) < PORTS or (not node.trouble and len(used) < PORTS):
        return fleet.NOT_RUN
    return fleet.BROKEN if node.trouble and (fresh or used) else fleet.HELD


if __name__ == "__main__":
    fleet.run(__file__, play)
