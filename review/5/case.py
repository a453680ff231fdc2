"""A flow that is idle for less than its idle timeout moves to a balancer."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

FLOWS = 3
IDLE_TIMEOUT_MS = 30_000
# Pause of the consumer, shorter than the idle timeout.
PAUSE_S = 23.0
# Stop of the balancer after this part of the pause.
STOP_AFTER_S = 17.0


async def play(case: standins.Case) -> bool:
    """Returns True if an open flow got a reset that no endpoint sent."""
    state = case.desired_state(7, {1: "rounds"}, IDLE_TIMEOUT_MS)
    await case.start(state, 2, {1: "rounds"})
    route, last = case.route(), case.balancers[-1]
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
    idle_since = asyncio.get_running_loop().time()
    await asyncio.sleep(STOP_AFTER_S)
    if case.trouble:
        await last.terminate()
    left_s = idle_since + PAUSE_S - asyncio.get_running_loop().time()
    await asyncio.sleep(left_s)
    for number, flow in enumerate(flows):
        await flow.request(f"b{number}")
    return any(standins.flows_reset(case, flow) for flow in flows)


if __name__ == "__main__":
    standins.main(__file__, play)
