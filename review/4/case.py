"""A route's weights move to one service, then a balancer restarts."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

FLOWS = 6
BEFORE = {"rounds": 90, "wheelbook": 10}
AFTER = {"wheelbook": 100}
# Longer than `config_apply_ms`, so that every balancer has the new version.
CONFIG_APPLY_S = 4.0


async def play(case: standins.Case) -> bool:
    """Returns True if an open flow got a reset that no endpoint sent."""
    services = {1: "rounds", 2: "wheelbook"}
    await case.start(case.desired_state(7, services, split=BEFORE), 2, services)
    route = case.route()
    last = case.balancers[-1]
    flows = [
        case.client.flow(
            route, lambda src: case.router.pick(src, route) is last
        )
        for _ in range(FLOWS)
    ]
    for number, flow in enumerate(flows):
        opened = await flow.connect()
        if not opened or await flow.request(f"a{number}") != "answer":
            raise standins.CannotRunError("no flow was opened")
    split = AFTER if case.trouble else BEFORE
    await case.store.put(
        "config", "main", case.desired_state(12, services, split=split)
    )
    await asyncio.sleep(CONFIG_APPLY_S)
    for number, flow in enumerate(flows):
        if await flow.request(f"b{number}") != "answer":
            raise standins.CannotRunError("a flow ended before the restart")
    # The routers move the flows to the other balancer.
    await last.terminate()
    for number, flow in enumerate(flows):
        await flow.request(f"c{number}")
    return any(standins.flows_reset(case, flow) for flow in flows)


if __name__ == "__main__":
    standins.main(__file__, play)
