"""Delayed status reports of an earlier boot arrive while the next one drains."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

FLOWS = 12
# Status reports of the earlier boot that are delayed, one interval apart.
DELAYED = 2
# Time between the crash and the start of the next boot.
CRASH_S = 2.0
# Time for which the next boot is ready before it drains.
READY_S = 1.5
# Time after the ack of the drain at which the delayed reports arrive.
ARRIVE_S = standins.DRAIN_MS / 1000 + 1.0


async def play(case: standins.Case) -> bool:
    """Returns True if an opening reached the draining endpoint too late."""
    await case.start(
        case.desired_state(7, {1: "rounds"}), 1, {1: "rounds", 2: "rounds"}
    )
    machine, earlier = case.agents[0], case.endpoints[0]
    delayed = [earlier.report() for _ in range(DELAYED)]
    earlier.crash()
    await asyncio.sleep(CRASH_S)
    endpoint = standins.Endpoint(machine, born=int(time.time() * 1000))
    await endpoint.start()
    case.endpoints.append(endpoint)
    await asyncio.sleep(READY_S)
    endpoint.state = "draining"
    while not any(state == "draining" for _, state in endpoint.acks):
        await asyncio.sleep(0.05)
    acked_at = next(at for at, state in endpoint.acks if state == "draining")
    case.record.note("drain-acked", id=endpoint.id)
    await asyncio.sleep(acked_at + ARRIVE_S - case.record.now())
    # Between two status reports of the draining boot.
    count = len(endpoint.acks)
    while len(endpoint.acks) == count:
        await asyncio.sleep(0.02)
    if case.trouble:
        for report in delayed:
            await earlier.deliver(report)
    for number in range(FLOWS):
        flow = case.client.flow(case.route())
        if await flow.connect():
            await flow.request(f"a{number}")
    late = [
        at
        for at, _ in endpoint.taken
        if at > acked_at + standins.DRAIN_MS / 1000
    ]
    case.record.note("openings-after-drain", count=len(late))
    return bool(late)


if __name__ == "__main__":
    standins.main(__file__, play)
