"""The deletion of an agent's record is done late, after its next start."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

# Flows are opened until the new boot has some of them.
MAX_FLOWS = 400
NEW_BOOT_FLOWS = 4
# One of them crashes, a share of .14.
ENDPOINTS = 7
# Restarted in turn while the first agent waits for the store.
OTHERS = 2
OTHERS_GAP_S = 1.2
# Between the crash of the endpoint and the stop of the agent beside it.
STOP_AFTER_S = 3.2
# Time for which the endpoint is down.
CRASH_S = 5.0
# The store does the deletion at most 6 s after it was sent.
LATE_S = 6.0


async def restart_in_turn(case: standins.Case) -> None:
    """Restarts the agent of the crashed endpoint and some others."""
    first = asyncio.create_task(case.agents[0].terminate())
    for other in case.agents[1 : OTHERS + 1]:
        await asyncio.sleep(OTHERS_GAP_S)
        await other.terminate()
    await first


async def play(case: standins.Case) -> bool:
    """Returns True if an open flow got a reset that no endpoint sent."""
    services = dict.fromkeys(range(1, ENDPOINTS + 1), "rounds")
    await case.start(case.desired_state(7, {1: "rounds"}), 1, services)
    machine, crashed = case.agents[0], case.endpoints[0]
    loop = asyncio.get_running_loop()
    deleted_at: list[float] = []

    def lose(method: str, kind: str, name: str) -> float | None:
        if method != "DELETE" or name != machine.name or deleted_at:
            return None
        deleted_at.append(loop.time())
        return LATE_S if case.trouble else None

    case.store.lose = lose
    crashed.crash()
    crashed_at = loop.time()
    await asyncio.sleep(STOP_AFTER_S)
    restarts = asyncio.create_task(restart_in_turn(case))
    await asyncio.sleep(max(0.0, crashed_at + CRASH_S - loop.time()))
    endpoint = standins.Endpoint(machine)
    await endpoint.start()
    case.endpoints.append(endpoint)
    await restarts
    if not deleted_at:
        raise standins.CannotRunError("the agent deleted no record")
    while not endpoint.acks:
        await asyncio.sleep(0.05)
    # Two report intervals, so that the balancer knows of the new boot.
    await asyncio.sleep(0.6)
    mine: list[standins.Flow] = []
    for number in range(MAX_FLOWS):
        flow = case.client.flow(case.route())
        if not await flow.connect():
            raise standins.CannotRunError("no flow was opened")
        await flow.request(f"a{number}")
        if (flow.src, flow.route) in endpoint.held:
            mine.append(flow)
        if len(mine) == NEW_BOOT_FLOWS:
            break
    case.record.note("flows-of-the-new-boot", count=len(mine))
    if not mine:
        raise standins.CannotRunError("the new boot got no flow")
    # All machines and the store are calm for more than `stable_window_ms`.
    calm_at = deleted_at[0] + LATE_S + standins.STABLE_WINDOW_S + 1.0
    await asyncio.sleep(max(0.0, calm_at - loop.time()))
    case.record.note("records", agents=case.store.names("agents"))
    for number, flow in enumerate(mine):
        await flow.request(f"b{number}")
    return any(standins.flows_reset(case, flow) for flow in mine)


if __name__ == "__main__":
    standins.main(__file__, play)
