"""The deletion of an agent's record is done late, after its next start."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

FLOWS = 10
# Between the crash of the endpoint and the stop of the agent beside it.
STOP_AFTER_S = 3.2
# Time for which the endpoint is down.
CRASH_S = 5.1
# The store does the deletion at most 6 s after it was sent.
LATE_S = 6.0


async def play(case: standins.Case) -> bool:
    """Returns True if an open flow got a reset that no endpoint sent."""
    await case.start(
        case.desired_state(7, {1: "rounds"}), 1, {1: "rounds", 2: "rounds"}
    )
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
    await machine.terminate()
    await asyncio.sleep(max(0.0, crashed_at + CRASH_S - loop.time()))
    endpoint = standins.Endpoint(machine)
    await endpoint.start()
    case.endpoints.append(endpoint)
    if not deleted_at:
        raise standins.CannotRunError("the agent deleted no record")
    while not endpoint.acks:
        await asyncio.sleep(0.05)
    # Two report intervals, so that the balancer knows of the new boot.
    await asyncio.sleep(0.6)
    flows = [case.client.flow(case.route()) for _ in range(FLOWS)]
    for number, flow in enumerate(flows):
        if not await flow.connect():
            raise standins.CannotRunError("no flow was opened")
        await flow.request(f"a{number}")
    mine = [x for x in flows if (x.src, x.route) in endpoint.held]
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
